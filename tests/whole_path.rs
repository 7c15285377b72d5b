//! End-to-end tests of entry hosts with stand-ins over loopback sockets.

use std::path::Path;
use std::time::Duration;

use futures::future::join_all;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use wagtailledge_decisions::configuration::to_items;
use wagtailledge_inventory::document::VersionState;
use wagtailledge_operator::read_inventory;
use wagtailledge_standins::client::CallerOutcome;
use wagtailledge_standins::client::complete;
use wagtailledge_standins::client::post;
use wagtailledge_standins::service::ChunkedEnd;
use wagtailledge_standins::stack::EngineTiming;
use wagtailledge_standins::stack::LocalStack;

/// Entry hosts and their zones.
const ENTRY_HOSTS: [(&str, &str); 4] =
    [("east-1", "east"), ("east-2", "east"), ("west-1", "west"), ("west-2", "west")];
/// Upper bound for each wait; a passing test needs less.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Deadline of requests that must be served.
const DEADLINE: Duration = Duration::from_secs(50);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// Starts the deployment `local` and waits until every zone has a leader.
async fn start_stack(load_time: Duration) -> LocalStack {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("deployments/local");
    let document = read_inventory(&root).unwrap();
    let timing = EngineTiming { load_time, token_time: Duration::from_millis(3) };
    let stack = LocalStack::start(document, timing, &ENTRY_HOSTS).await;
    assert!(stack.wait_until_ready(WAIT_LIMIT).await, "some zones have no leader");
    stack
}

/// Waits until `condition` holds.
async fn wait_until(mut condition: impl AsyncFnMut() -> bool) {
    let started = std::time::Instant::now();
    while !condition().await {
        assert!(started.elapsed() < WAIT_LIMIT, "the condition did not hold within {WAIT_LIMIT:?}");
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends a POST request without a body on a new connection and reads until the host closes it.
async fn raw_answer(address: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!("POST {path} HTTP/1.1\r\nHost: local\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // After a reset, `answer` holds what was received before it.
    let _ = actix_rt::time::timeout(WAIT_LIMIT, stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn caller_address(stack: &LocalStack, index: usize) -> String {
    stack.entry_hosts[index].caller_address.to_string()
}

/// Number of loads of `asset` on all engines.
fn load_count(stack: &LocalStack, asset: &str) -> u32 {
    stack.engines.iter().filter_map(|engine| engine.loads().get(asset).copied()).sum()
}

fn text_of(outcome: &CallerOutcome) -> String {
    outcome.json()["choices"][0]["text"].as_str().unwrap_or("").to_owned()
}

/// Waits until `zone` has a leader and returns its index.
async fn leader_of(stack: &LocalStack, zone: &str) -> usize {
    loop {
        for (index, host) in stack.entry_hosts.iter().enumerate() {
            let status = host.status().await;
            if status.is_some_and(|status| status.zone == zone && status.authority) {
                return index;
            }
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

#[test]
fn can_load_once_for_concurrent_requests_at_all_hosts() {
    run(async {
        let stack = start_stack(Duration::from_millis(400)).await;
        let calls = (0..40).map(|number| {
            let address = caller_address(&stack, number % 4);
            async move {
                let prompt = format!("call {number}");
                (prompt.clone(), complete(&address, "fan-advice", &prompt, DEADLINE).await)
            }
        });
        for (prompt, outcome) in join_all(calls).await {
            assert_eq!(outcome.status, 200, "{}", outcome.body);
            assert_eq!(text_of(&outcome), format!("fan-advice@1 heard {prompt}"));
        }
        assert_eq!(load_count(&stack, "fan-advice@1"), 1);
    });
}

#[test]
fn can_stream_an_answer_and_report_a_truncated_one() {
    run(async {
        let stack = start_stack(Duration::from_millis(200)).await;
        let body = json!({ "model": "alarm-triage", "prompt": "house 7", "stream": true });
        let address = caller_address(&stack, 0);
        let complete_stream =
            post(&address, "/v1/completions", &[("x-deadline-ms", "50000")], &body).await;
        assert_eq!(complete_stream.status, 200, "{}", complete_stream.body);
        assert!(complete_stream.body.ends_with("data: [DONE]\n\n"), "{}", complete_stream.body);
        for engine in &stack.engines {
            engine.truncate_next_streams(1);
        }
        let truncated = post(&address, "/v1/completions", &[], &body).await;
        assert!(truncated.body.contains("event: error"), "{}", truncated.body);
        assert!(!truncated.body.contains("[DONE]"));
    });
}

#[test]
fn can_serve_a_cold_request_when_the_leader_dies_during_the_load() {
    run(async {
        let mut stack = start_stack(Duration::from_millis(1_500)).await;
        // A request for an adapter loads its base model first.
        let zone = stack.home_zone("feed-report@1");
        let leader = leader_of(&stack, &zone).await;
        let other =
            (0..4).find(|index| !stack.entry_hosts[*index].name.starts_with(&zone)).unwrap();
        let address = caller_address(&stack, other);
        let waiting =
            actix_rt::spawn(
                async move { complete(&address, "feed-report", "weekly", DEADLINE).await },
            );
        wait_until(async || load_count(&stack, "feed-report@1") > 0).await;
        stack.entry_hosts[leader].kill();
        let outcome = waiting.await.unwrap();
        assert_eq!(outcome.status, 200, "{}", outcome.body);
        assert_eq!(load_count(&stack, "feed-report@1"), 1);
    });
}

#[test]
fn can_serve_during_an_outage_of_the_key_value_service() {
    run(async {
        let stack = start_stack(Duration::from_millis(200)).await;
        let address = caller_address(&stack, 0);
        assert_eq!(complete(&address, "alarm-triage", "one", DEADLINE).await.status, 200);
        // A leader records its successors when it first renews its lease.
        wait_until(async || {
            let leases = stack.store.values("lease/");
            leases.len() == 2
                && leases.iter().all(|(_, lease)| !lease.contains("\"successors\":[]"))
        })
        .await;
        stack.store.set_down(true);
        // The outage lasts longer than the lease, so the leaders keep authority only through the
        // promises of their successors.
        actix_rt::time::sleep(Duration::from_secs(8)).await;
        assert_eq!(complete(&address, "alarm-triage", "two", DEADLINE).await.status, 200);
        for index in 0..4 {
            let outcome =
                complete(&caller_address(&stack, index), "flock-summary", "cold", DEADLINE).await;
            assert_eq!(outcome.status, 200, "{}", outcome.body);
        }
        assert_eq!(load_count(&stack, "flock-summary@1"), 1);
    });
}

#[test]
fn can_run_a_call_with_an_idempotency_key_once_across_hosts() {
    run(async {
        let stack = start_stack(Duration::from_millis(200)).await;
        let body = json!({ "house": 7, "command": "curtain-drop" });
        let calls = (0..12).map(|number| {
            let address = caller_address(&stack, number % 4);
            let body = body.clone();
            async move {
                let headers = [("idempotency-key", "drop-7"), ("x-deadline-ms", "20000")];
                post(&address, "/services/house-control/drop", &headers, &body).await
            }
        });
        let outcomes = join_all(calls).await;
        let total: u32 = stack.services[0].runs().values().sum();
        assert_eq!(total, 1, "{:?}", stack.services[0].runs());
        for outcome in &outcomes {
            let answered = outcome.status == 200 && outcome.json()["run"] == json!(1);
            assert!(answered || outcome.outcome == "in-progress", "{outcome:?}");
        }
        assert!(outcomes.iter().any(|outcome| outcome.status == 200));
        // After the answer is recorded, every repeated call gets the recorded answer.
        wait_until(async || {
            let headers = [("idempotency-key", "drop-7")];
            let address = caller_address(&stack, 3);
            let repeat = post(&address, "/services/house-control/drop", &headers, &body).await;
            repeat.status == 200 && repeat.json()["run"] == json!(1)
        })
        .await;
        let other = json!({ "house": 8, "command": "curtain-drop" });
        let headers = [("idempotency-key", "drop-7")];
        let address = caller_address(&stack, 1);
        let reused = post(&address, "/services/house-control/drop", &headers, &other).await;
        assert_eq!(reused.status, 422);
    });
}

#[test]
fn can_refuse_as_not_run_while_the_ledger_is_unreachable() {
    run(async {
        let stack = start_stack(Duration::from_millis(200)).await;
        stack.store.set_down(true);
        let headers = [("idempotency-key", "start-1"), ("x-deadline-ms", "1500")];
        let body = json!({ "command": "generator-start" });
        let address = caller_address(&stack, 0);
        let refused = post(&address, "/services/house-control/start", &headers, &body).await;
        assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"));
        stack.store.set_down(false);
        let headers = [("idempotency-key", "start-1"), ("x-deadline-ms", "20000")];
        let address = caller_address(&stack, 2);
        let repeat = post(&address, "/services/house-control/start", &headers, &body).await;
        assert_eq!(repeat.status, 200, "{}", repeat.body);
        assert_eq!(stack.services[0].runs().values().sum::<u32>(), 1);
    });
}

#[test]
fn can_run_calls_once_when_answers_of_the_ledger_are_lost() {
    run(async {
        let stack = start_stack(Duration::from_millis(200)).await;
        for number in 0..5 {
            stack.store.lose_next_writes(2);
            let key = format!("filing-{number}");
            let headers = [("idempotency-key", key.as_str()), ("x-deadline-ms", "20000")];
            let body = json!({ "filing": number });
            let address = caller_address(&stack, number % 4);
            let outcome = post(&address, "/services/house-control/file", &headers, &body).await;
            assert_eq!(outcome.status, 200, "{}", outcome.body);
        }
        assert!(stack.services[0].runs().values().all(|runs| *runs == 1));
    });
}

#[test]
fn can_report_an_unknown_outcome_when_the_answer_is_lost() {
    run(async {
        let stack = start_stack(Duration::from_millis(200)).await;
        stack.services[0].lose_next_answers(1);
        let headers = [("idempotency-key", "lost-1"), ("x-deadline-ms", "1000")];
        let body = json!({ "command": "curtain-drop" });
        let address = caller_address(&stack, 0);
        let lost = post(&address, "/services/house-control/drop", &headers, &body).await;
        assert_eq!(lost.outcome, "unknown", "{lost:?}");
        let address = caller_address(&stack, 2);
        let repeat = post(&address, "/services/house-control/drop", &headers, &body).await;
        assert!(["unknown", "in-progress"].contains(&repeat.outcome.as_str()), "{repeat:?}");
        assert_eq!(stack.services[0].runs().values().sum::<u32>(), 1);
    });
}

#[test]
fn can_pass_on_a_chunked_answer_of_a_plain_service() {
    run(async {
        let stack = start_stack(Duration::from_millis(200)).await;
        let address = caller_address(&stack, 0);
        let body = json!({ "report": "week" });
        for service in &stack.services {
            service.chunk_next_answers(&[ChunkedEnd::Complete]);
        }
        let answer = post(&address, "/services/house-control/report", &[], &body).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "/report {\"report\":\"week\"}"));
    });
}

#[test]
fn can_keep_a_cut_answer_of_a_plain_service_from_looking_complete() {
    run(async {
        let stack = start_stack(Duration::from_millis(200)).await;
        let address = caller_address(&stack, 0);
        for (end, is_complete) in [(ChunkedEnd::Complete, true), (ChunkedEnd::Cut, false)] {
            for service in &stack.services {
                service.chunk_next_answers(&[end]);
            }
            let answer = raw_answer(&address, "/services/house-control/report").await;
            assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{end:?}: {answer}");
            assert!(answer.contains("/report"), "{end:?}: {answer}");
            assert_eq!(answer.ends_with("0\r\n\r\n"), is_complete, "{end:?}: {answer}");
        }
    });
}

#[test]
fn can_keep_a_call_with_a_cut_body_from_running() {
    run(async {
        let stack = start_stack(Duration::from_millis(200)).await;
        let address = caller_address(&stack, 0);
        let cuts =
            ["Content-Length: 9\r\n\r\ncurt", "Transfer-Encoding: chunked\r\n\r\n4\r\ncurt\r\n"];
        for cut in cuts {
            let mut stream = TcpStream::connect(&address).await.unwrap();
            let head = "POST /services/house-control/drop HTTP/1.1\r\nHost: local\r\n";
            stream.write_all(format!("{head}{cut}").as_bytes()).await.unwrap();
            stream.shutdown().await.unwrap();
            let mut answer = String::new();
            // The host may reset the connection instead of answering.
            let _ = stream.read_to_string(&mut answer).await;
            assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 400"), "{cut:?}: {answer}");
        }
        let whole = raw_answer(&address, "/services/house-control/drop").await;
        assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
        let runs: u32 =
            stack.services.iter().flat_map(|service| service.runs().into_values()).sum();
        assert_eq!(runs, 1);
    });
}

#[test]
fn can_finish_running_requests_while_draining() {
    run(async {
        let mut stack = start_stack(Duration::from_millis(200)).await;
        stack.services[0].set_delay(Duration::from_secs(2));
        let address = caller_address(&stack, 0);
        let running = actix_rt::spawn(async move {
            let body = json!({ "command": "slow" });
            post(&address, "/services/house-control/slow", &[], &body).await
        });
        wait_until(async || !stack.services[0].runs().is_empty()).await;
        stack.entry_hosts[0].begin_drain();
        let outcome = running.await.unwrap();
        assert_eq!(outcome.status, 200, "{}", outcome.body);
        stack.entry_hosts[0].join();
        let zone_has_leader = async || {
            let status = stack.entry_hosts[1].status().await;
            status.is_some_and(|status| status.authority)
        };
        wait_until(zone_has_leader).await;
    });
}

#[test]
fn can_load_a_replacement_for_a_leaving_engine() {
    run(async {
        let stack = start_stack(Duration::from_millis(200)).await;
        let address = caller_address(&stack, 0);
        assert_eq!(complete(&address, "alarm-triage", "one", DEADLINE).await.status, 200);
        let leaving =
            stack.engines.iter().position(|engine| engine.has_asset("alarm-triage@1")).unwrap();
        stack.host_list.set_leaving(&stack.engines[leaving].spec().name);
        // Hosts read the host list every second, and loading the replacement takes time.
        wait_until(async || {
            let second = complete(&address, "alarm-triage", "two", DEADLINE).await;
            assert_eq!(second.status, 200, "{}", second.body);
            let others = stack.engines.iter().enumerate().filter(|(index, _)| *index != leaving);
            others.into_iter().any(|(_, engine)| engine.has_asset("alarm-triage@1"))
        })
        .await;
    });
}

#[test]
fn can_apply_an_edit_on_every_host() {
    run(async {
        let mut stack = start_stack(Duration::from_millis(200)).await;
        let base = to_items(&stack.document);
        stack.document.models[0].cap = 1;
        stack.store.lose_next_writes(1);
        let revision = stack.apply(&base, "edit-1").await;
        assert_eq!(
            stack.apply(&base, "edit-1").await,
            revision,
            "the same edit was accepted twice"
        );
        stack.add_entry_host("west-3", "west");
        wait_until(async || {
            for host in &stack.entry_hosts {
                let status = host.status().await;
                if status.is_none_or(|status| status.revision < revision) {
                    return false;
                }
            }
            true
        })
        .await;
    });
}

#[test]
fn can_name_the_invalid_field_of_a_bad_request() {
    run(async {
        let stack = start_stack(Duration::from_millis(200)).await;
        let address = caller_address(&stack, 0);
        let cases = [
            (json!({ "prompt": "x" }), 400, "model"),
            (json!({ "model": 7, "prompt": "x" }), 400, "model"),
            (json!({ "model": "alarm-triage" }), 400, "prompt"),
            (json!({ "model": "alarm-triage", "prompt": "x", "stream": 1 }), 400, "stream"),
            (json!({ "model": "alarm-triage", "prompt": "x", "max_tokens": 0 }), 400, "max_tokens"),
            (json!({ "model": "nobody", "prompt": "x" }), 404, "model"),
        ];
        for (body, status, field) in cases {
            let outcome = post(&address, "/v1/completions", &[], &body).await;
            assert_eq!(outcome.status, status, "{body}");
            assert_eq!(outcome.json()["error"]["param"], json!(field), "{body}");
        }
        let headers = [("x-deadline-ms", "soon")];
        let body = json!({ "model": "alarm-triage", "prompt": "x" });
        let outcome = post(&address, "/v1/completions", &headers, &body).await;
        assert_eq!(outcome.json()["error"]["param"], json!("x-deadline-ms"));
        let too_late = post(&address, "/v1/completions", &[("x-deadline-ms", "100")], &body).await;
        assert_eq!(too_late.outcome, "not-run", "{too_late:?}");
    });
}

#[test]
fn can_expire_ledger_records_with_their_leases() {
    run(async {
        let stack = start_stack(Duration::from_millis(200)).await;
        for number in 0..3 {
            let key = format!("old-{number}");
            let headers = [("idempotency-key", key.as_str()), ("x-deadline-ms", "20000")];
            let address = caller_address(&stack, number);
            let body = json!({ "number": number });
            let outcome = post(&address, "/services/house-control/drop", &headers, &body).await;
            assert_eq!(outcome.status, 200, "{}", outcome.body);
        }
        assert_eq!(stack.store.values("ledger/").len(), 3);
        let granted = stack.store.expire_leases();
        // Each host uses one lease for all its records, which lasts a little longer than their
        // retention.
        assert_eq!(granted.len(), 3, "{granted:?}");
        assert!(granted.iter().all(|seconds| *seconds >= 86_400));
        assert!(stack.store.values("ledger/").is_empty());
        assert_eq!(stack.store.values("lease/").len(), 2, "the records of the leaders remain");
        assert!(!stack.store.values("configuration/").is_empty());
    });
}

#[test]
fn can_roll_out_a_new_version_without_refusals() {
    run(async {
        let mut stack = start_stack(Duration::from_millis(300)).await;
        let address = caller_address(&stack, 0);
        let first = complete(&address, "fan-advice", "one", DEADLINE).await;
        assert_eq!(text_of(&first), "fan-advice@1 heard one");
        let base = to_items(&stack.document);
        let index = stack.document.models.iter().position(|model| model.name == "fan-advice");
        let mut next = stack.document.models[index.unwrap()].clone();
        next.version = 2;
        next.state = VersionState::Rolling;
        stack.document.models.push(next);
        stack.apply(&base, "roll").await;
        wait_until(async || {
            let outcome = complete(&address, "fan-advice", "two", DEADLINE).await;
            assert_eq!(outcome.status, 200, "{}", outcome.body);
            text_of(&outcome) == "fan-advice@2 heard two"
        })
        .await;
        let base = to_items(&stack.document);
        stack.document.models[index.unwrap()].state = VersionState::Retired;
        stack.apply(&base, "retire").await;
        wait_until(async || {
            let outcome = complete(&address, "fan-advice", "three", DEADLINE).await;
            assert_eq!(text_of(&outcome), "fan-advice@2 heard three", "{}", outcome.body);
            stack.engines.iter().all(|engine| !engine.has_asset("fan-advice@1"))
        })
        .await;
    });
}
