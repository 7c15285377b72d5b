//! HTTP calls to entry hosts, and deployments on the users' platform, for the tests over sockets.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod scripted;
pub mod tokens;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use wagtailledge_standins::fleet::FleetSpec;
use wagtailledge_standins::fleet::FleetStack;

/// Upper bound for each wait; a passing test needs less.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Size of the standard deployment.
pub const SPEC: FleetSpec =
    FleetSpec { hosts: 2, engines: 2, models: 4, load_time: Duration::from_millis(150) };

pub fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// An HTTP response as received; all fields are empty or 0 when none came.
#[derive(Debug, Clone, Default)]
pub struct RawAnswer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl RawAnswer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(": ")?;
            key.eq_ignore_ascii_case(name).then_some(value)
        })
    }
}

/// Writes `bytes` on a new connection and reads until the host closes it.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> RawAnswer {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(bytes).await.ok()?;
        let mut answer = Vec::new();
        // After a reset, `answer` holds what was received before it.
        let _ = stream.read_to_end(&mut answer).await;
        Some(String::from_utf8_lossy(&answer).into_owned())
    };
    let text =
        actix_rt::time::timeout(WAIT_LIMIT, exchange).await.ok().flatten().unwrap_or_default();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return RawAnswer::default();
    };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    RawAnswer { status, head: head.to_owned(), body: body.to_owned() }
}

/// Sends a request with the additional header lines `more` on a new connection.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    more: &str,
) -> RawAnswer {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: farm.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 4000\r\nConnection: close\r\n{more}\r\n"
    );
    exchange(address, text.as_bytes()).await
}

/// Sends a request for `model` to the host with index `host`.
pub async fn ask(stack: &FleetStack, host: usize, model: &str, id: &str) -> RawAnswer {
    let headers = format!("X-Model: {model}\r\nX-Token-Count: 100,20\r\n");
    send(stack.hosts[host].caller_address, "POST", "/ask/1", id, &headers).await
}

/// Starts the standard deployment and waits until every host is ready and serves `m0`.
pub async fn ready_stack() -> FleetStack {
    ready_stack_of(SPEC).await
}

/// Starts a deployment and waits until every host is ready and serves `m0`.
pub async fn ready_stack_of(spec: FleetSpec) -> FleetStack {
    let stack = FleetStack::start(spec);
    let ready = stack
        .wait_until(WAIT_LIMIT, async |stack| {
            for host in 0..stack.hosts.len() {
                let answer = ask(stack, host, "m0", "warm-up").await;
                let ready =
                    send(stack.readiness_address(host), "GET", "/-/readiness", "r", "").await;
                if answer.status != 200 || ready.status != 200 {
                    return false;
                }
            }
            true
        })
        .await;
    assert!(ready, "the hosts are not ready");
    stack
}

/// Whether the framing of an answer says that its body is complete.
pub fn is_framed_as_complete(answer: &RawAnswer) -> bool {
    let length = answer.header("content-length").and_then(|text| text.parse::<usize>().ok());
    match length {
        Some(length) => answer.body.len() == length,
        None => answer.body.ends_with("0\r\n\r\n"),
    }
}
