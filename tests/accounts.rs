//! End-to-end tests of accounts and keys on the users' platform, with stand-ins over loopback sockets.

mod support;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use log::Log;
use serde_json::Value;
use serde_json::json;
use support::SPEC;
use support::WAIT_LIMIT;
use support::ask;
use support::exchange;
use support::ready_stack;
use support::run;
use support::send;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use wagtailledge_inventory::KeyDigest;
use wagtailledge_standins::fleet::FleetEngine;
use wagtailledge_standins::fleet::FleetService;
use wagtailledge_standins::fleet::FleetSpec;
use wagtailledge_standins::fleet::FleetStack;

/// Key of the account `anna`.
const ANNA: &str = "key-of-anna-7f3a";
/// Key of the account `bert`, whose requests have rank 7.
const BERT: &str = "key-of-bert-91c0";
/// Key of no account.
const STRANGER: &str = "key-of-nobody-55";
/// Time within which keys must be in force at every host.
const APPLY_BOUND: Duration = Duration::from_secs(3);

fn accounts() -> Value {
    json!([
        { "name": "anna", "apiKeys": [ANNA], "ratePerS": 29_000, "burst": 29_000 },
        { "name": "bert", "apiKeys": ["another", BERT], "priority": 7 }
    ])
}

/// A route to the plain service that needs no key.
fn public_route() -> Value {
    json!([{
        "name": "open", "host": "farm.example", "prefix": "/open/", "routeKind": "idempotent",
        "timeoutMs": 5000, "priority": 1, "service": "app", "attempts": 2, "public": true
    }])
}

/// Header line with a key.
fn with_key(key: &str) -> String {
    format!("Authorization: Token {key}\r\n")
}

async fn get(stack: &FleetStack, path: &str, id: &str, more: &str) -> support::RawAnswer {
    send(stack.hosts[0].caller_address, "GET", path, id, more).await
}

/// Starts a deployment whose configuration gets accounts, and waits until they are in force.
async fn stack_with_accounts() -> FleetStack {
    let stack = ready_stack().await;
    stack.configure_with(2, public_route(), &accounts());
    assert!(keys_in_force(&stack, "/read/1", 401).await, "the accounts are not in force");
    stack
}

/// Waits until requests without a key get this status at every host.
async fn keys_in_force(stack: &FleetStack, path: &str, status: u16) -> bool {
    let wait = stack.wait_until(WAIT_LIMIT, async |stack| {
        for host in &stack.hosts {
            if send(host.caller_address, "GET", path, "wait", "").await.status != status {
                return false;
            }
        }
        true
    });
    wait.await
}

#[test]
fn can_reject_requests_without_the_key_of_an_account() {
    run(async {
        let stack = stack_with_accounts().await;
        let rejected = [
            String::new(),
            with_key(STRANGER),
            format!("Authorization: Bearer {ANNA}\r\n"),
            format!("Authorization: {ANNA}\r\n"),
            "Authorization: Token\r\n".to_owned(),
            "Authorization: Token \r\n".to_owned(),
            // It is not clear for which account the request is.
            with_key(ANNA) + &with_key(BERT),
            "X-Tenant: anna\r\n".to_owned(),
        ];
        for (number, headers) in rejected.iter().enumerate() {
            let id = format!("rejected-{number}");
            let answer = get(&stack, "/read/1", &id, headers).await;
            assert_eq!(answer.status, 401, "{headers}{}", answer.head);
            assert_eq!(answer.header("www-authenticate"), Some("Token"), "{}", answer.head);
            let asked = format!("X-Model: m0\r\n{headers}");
            let address = stack.hosts[1].caller_address;
            let answer = send(address, "POST", "/ask/1", &id, &asked).await;
            assert_eq!(answer.status, 401, "{headers}");
        }
        assert_eq!(get(&stack, "/read/1", "anna-1", &with_key(ANNA)).await.status, 200);
        // Without a route, the key is not looked at; what is behind a route is not shown without key.
        assert_eq!(get(&stack, "/nowhere", "none-1", "").await.status, 404);
        let model = "X-Model: unknown\r\n";
        assert_eq!(get(&stack, "/ask/1", "model-1", model).await.status, 401);
        let model = format!("X-Model: unknown\r\n{}", with_key(ANNA));
        assert_eq!(get(&stack, "/ask/1", "model-2", &model).await.status, 404);
        let runs: Vec<String> = stack.services.iter().flat_map(FleetService::runs).collect();
        assert!(!runs.iter().any(|id| id.starts_with("rejected")), "{runs:?}");
        let runs = stack.engines.iter().flat_map(FleetEngine::runs);
        assert_eq!(runs.filter(|run| run.request_id.starts_with("rejected")).count(), 0);
    });
}

#[test]
fn can_answer_503_without_a_configuration_whatever_the_key() {
    run(async {
        let mut stack = FleetStack::start(FleetSpec { hosts: 0, ..SPEC });
        stack.store.remove("op/config");
        stack.add_host("east-0");
        for headers in [String::new(), with_key(ANNA)] {
            assert_eq!(get(&stack, "/read/1", "early", &headers).await.status, 503);
        }
    });
}

#[test]
fn can_name_the_account_to_upstreams_in_place_of_the_key() {
    run(async {
        let stack = stack_with_accounts().await;
        let forged = "X-Tenant: bert\r\nx-tenant: carl\r\n";
        for (id, headers) in [
            ("anna", with_key(ANNA) + forged),
            ("bert", format!("{forged}authorization:  tOKEN   {BERT} \r\n")),
        ] {
            let asked = format!("X-Model: m0\r\nX-Token-Count: 100,20\r\n{headers}");
            let address = stack.hosts[1].caller_address;
            let answer = send(address, "POST", "/ask/1", id, &asked).await;
            assert_eq!(answer.status, 200, "{}", answer.head);
            let runs = stack.engines.iter().flat_map(FleetEngine::runs);
            let run = runs.into_iter().find(|run| run.request_id == id).unwrap();
            assert_eq!(run.headers["x-tenant"], id);
            // The account's priority takes the place of the route's, if it has one.
            let rank = if id == "bert" { "7" } else { "1" };
            assert_eq!(run.headers["x-request-priority"], rank);
            assert!(!run.headers.contains_key("authorization"), "{:?}", run.headers);
        }
        for (path, headers, account) in [
            ("/read/1", with_key(ANNA) + forged, Some("anna")),
            ("/open/1", with_key(BERT) + forged, Some("bert")),
            ("/open/1", with_key(STRANGER) + forged, None),
            ("/open/1", forged.to_owned(), None),
        ] {
            assert_eq!(get(&stack, path, "plain", &headers).await.status, 200, "{path} {headers}");
            let runs = stack.services.iter().flat_map(FleetService::run_headers);
            let runs: Vec<_> = runs.filter(|run| run["x-request-id"] == "plain").collect();
            for run in &runs {
                assert!(!run.contains_key("authorization"), "{run:?}");
                assert!(run.get("x-tenant").is_none_or(|name| name == "anna" || name == "bert"));
            }
            let named = runs.iter().filter_map(|run| run.get("x-tenant").map(String::as_str));
            assert!(account.is_none_or(|account| named.clone().any(|name| name == account)));
            assert!(account.is_some() || named.count() < runs.len(), "{runs:?}");
        }
    });
}

#[test]
fn can_pass_on_the_headers_of_callers_without_accounts() {
    run(async {
        let stack = ready_stack().await;
        let headers = with_key(STRANGER) + "X-Tenant: carl\r\n";
        let answer = get(&stack, "/read/1", "plain", &headers).await;
        assert_eq!(answer.status, 200, "{}", answer.head);
        let runs = stack.services.iter().flat_map(FleetService::run_headers);
        let run = runs.into_iter().find(|run| run["x-request-id"] == "plain").unwrap();
        assert_eq!(run["authorization"], format!("Token {STRANGER}"));
        assert_eq!(run["x-tenant"], "carl");
    });
}

/// A caller's connection that is kept open.
struct OpenConnection(TcpStream);

impl OpenConnection {
    async fn open(address: SocketAddr) -> Self {
        Self(TcpStream::connect(address).await.unwrap())
    }

    /// Sends a request with a key and reads the whole answer. Returns its status.
    async fn get(&mut self, key: &str) -> u16 {
        let text = format!(
            "GET /read/1 HTTP/1.1\r\nHost: farm.example\r\nX-Request-Id: kept\r\n{}\r\n",
            with_key(key)
        );
        self.0.write_all(text.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        loop {
            let read = self.0.read_buf(&mut answer).await.unwrap();
            assert!(read > 0, "the host closed the connection");
            let text = String::from_utf8_lossy(&answer);
            let Some((head, body)) = text.split_once("\r\n\r\n") else {
                continue;
            };
            let length = head.lines().find_map(|line| {
                line.to_ascii_lowercase().strip_prefix("content-length: ")?.parse::<usize>().ok()
            });
            if body.len() == length.unwrap() {
                return head.split(' ').nth(1).unwrap().parse().unwrap();
            }
        }
    }
}

#[test]
fn can_add_and_remove_a_key_at_hosts_without_the_store_while_connections_are_open() {
    run(async {
        let mut stack = ready_stack().await;
        let gate = stack.add_gated_host("east-gated", 3);
        stack.configure_with(2, public_route(), &accounts());
        assert!(keys_in_force(&stack, "/read/1", 401).await, "the accounts are not in force");
        gate.set_refusing(true);
        let mut connections = Vec::new();
        for host in &stack.hosts {
            connections.push(OpenConnection::open(host.caller_address).await);
        }
        let more = json!([
            { "name": "anna", "apiKeys": [ANNA, "new-key"] },
            { "name": "bert", "apiKeys": ["another"], "priority": 7 }
        ]);
        for (version, accounts, key, before, after) in [
            (3, more.clone(), "new-key", 401, 200),
            (4, more, BERT, 401, 401),
            (5, self::accounts(), BERT, 401, 200),
            (6, json!([{ "name": "anna", "apiKeys": [ANNA] }]), BERT, 200, 401),
        ] {
            for connection in &mut connections {
                assert_eq!(connection.get(key).await, before, "{key} before version {version}");
            }
            stack.configure_with(version, public_route(), &accounts);
            let written = Instant::now();
            for connection in &mut connections {
                while connection.get(key).await != after {
                    assert!(written.elapsed() < APPLY_BOUND, "{key} at version {version}");
                }
            }
            assert!(written.elapsed() < APPLY_BOUND, "{key}: {:?}", written.elapsed());
            for connection in &mut connections {
                assert_eq!(connection.get(ANNA).await, 200, "the key that stays");
            }
        }
    });
}

#[test]
fn can_keep_requiring_keys_after_a_configuration_without_valid_accounts() {
    run(async {
        let stack = stack_with_accounts().await;
        for (version, broken) in [
            (3, json!([{ "name": "", "apiKeys": [ANNA] }])),
            (4, json!("anna")),
            (5, json!([{ "name": "anna", "apiKeys": 7 }])),
        ] {
            let route = json!([{
                "name": "mark", "host": "farm.example", "prefix": format!("/mark-{version}/"),
                "routeKind": "idempotent", "service": "app", "public": true
            }]);
            stack.configure_with(version, route, &broken);
            let mark = format!("/mark-{version}/");
            assert!(keys_in_force(&stack, &mark, 200).await, "version {version} is not in force");
            assert_eq!(get(&stack, "/read/1", "late", "").await.status, 401, "{version}");
            assert_eq!(get(&stack, "/read/1", "late", &with_key(ANNA)).await.status, 401);
        }
        stack.configure_with(6, json!([]), &json!([]));
        assert!(keys_in_force(&stack, "/read/1", 200).await, "accounts are still required");
    });
}

/// Keeps all log lines of this process.
struct LineKeeper;

fn kept_lines() -> &'static Mutex<Vec<String>> {
    static LINES: OnceLock<Mutex<Vec<String>>> = OnceLock::new();
    LINES.get_or_init(Mutex::default)
}

impl Log for LineKeeper {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        struct Pairs(String);
        impl<'kvs> log::kv::VisitSource<'kvs> for Pairs {
            fn visit_pair(
                &mut self,
                key: log::kv::Key<'kvs>,
                value: log::kv::Value<'kvs>,
            ) -> Result<(), log::kv::Error> {
                self.0.extend([" ", key.as_str(), "=", &format!("{value:?}")]);
                Ok(())
            }
        }
        let mut pairs = Pairs(String::new());
        record.key_values().visit(&mut pairs).unwrap();
        let (level, target) = (record.level(), record.target());
        let line = format!("{level} {target} {}{}", record.args(), pairs.0);
        kept_lines().lock().unwrap().push(line);
    }

    fn flush(&self) {}
}

#[test]
fn can_keep_keys_out_of_logs_status_metrics_and_answers() {
    log::set_boxed_logger(Box::new(LineKeeper)).unwrap();
    log::set_max_level(log::LevelFilter::Trace);
    run(async {
        let stack = stack_with_accounts().await;
        let broken = json!([
            { "name": "anna", "apiKeys": [ANNA, 7], "ratePerS": "many" },
            { "name": "bert", "apiKeys": [BERT, ANNA] },
            { "name": "carl", "apiKeys": BERT },
        ]);
        stack.configure_with(3, json!([]), &broken);
        assert!(keys_in_force(&stack, "/open/1", 404).await, "version 3 is not in force");
        let mut shown = Vec::new();
        for key in [ANNA, BERT, STRANGER] {
            for path in ["/read/1", "/nowhere", "/ask/1"] {
                let id = format!("logged-{}", key.len());
                let headers = format!("X-Model: m0\r\n{}", with_key(key));
                let answer = get(&stack, path, &id, &headers).await;
                shown.push(format!("{}{}", answer.head, answer.body));
            }
            // A request that is refused or broken off shows its key no more than others.
            let key = with_key(key);
            let bad = format!("GET /read/1 HTTP/1.1\r\nConnection: close\r\n{key}\r\n");
            shown.push(exchange(stack.hosts[0].caller_address, bad.as_bytes()).await.body);
        }
        assert_eq!(ask(&stack, 0, "m0", "no-key").await.status, 401);
        for host in &stack.hosts {
            shown.push(format!("{:?}", host.status().await.unwrap()));
            let metrics = exchange(host.metrics_address.unwrap(), b"GET / HTTP/1.0\r\n\r\n").await;
            shown.push(metrics.body);
        }
        assert!(shown.iter().any(|text| text.contains("account_unknown_key")), "no metric");
        shown.extend(kept_lines().lock().unwrap().iter().cloned());
        for key in [ANNA, BERT, STRANGER] {
            let digest = serde_json::to_string(&KeyDigest::of(key.as_bytes())).unwrap();
            let digest = digest.trim_matches('"');
            let found = shown.iter().find(|text| text.contains(key));
            assert!(found.is_none(), "{key}: {found:?}");
            // At the level for tracing, a library logs messages between hosts, which have digests.
            let found =
                shown.iter().find(|text| text.contains(digest) && !text.starts_with("TRACE"));
            assert!(found.is_none(), "digest of {key}: {found:?}");
        }
        let has =
            |parts: &[&str]| shown.iter().any(|line| parts.iter().all(|part| line.contains(part)));
        assert!(has(&["unresolved", "unknown key"]), "no line of a request without key");
        assert!(has(&["decision", "kind=\"route\"", "account=\"anna\""]), "no account in the log");
        assert!(has(&["account #3 \"carl\"", "the account has none"]), "no line of the fault");
    });
}
