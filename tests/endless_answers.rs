//! Memory of a host whose engines send bytes without end.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use support::run;
use support::scripted::ASK_HEADERS;
use support::scripted::ReceivedRequest;
use support::scripted::ScriptedAnswer;
use support::scripted::stack_with;
use support::scripted::whole_answer;
use support::send;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Requests that get bytes without end.
const ENDLESS: usize = 160;
/// Memory that a host may use, in bytes.
const MEMORY_LIMIT: usize = 256_000_000;
/// Time for which the memory is observed.
const OBSERVED_TIME: Duration = Duration::from_secs(3);
/// Pause between two requests of a caller that is served.
const SOUND_INTERVAL: Duration = Duration::from_millis(100);

/// Answers whose end never comes, by the last segment of the path.
fn endless(request: &ReceivedRequest) -> ScriptedAnswer {
    let filler = vec![b'x'; 64 << 10];
    let head = |status: &str, more: &str| {
        let id = &request.id;
        format!("HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Server-Stamp: s\r\n{more}\r\n")
            .into_bytes()
    };
    match request.path.rsplit('/').next() {
        Some("head") => {
            let line = format!("X-More: {}\r\n", "x".repeat(100));
            ScriptedAnswer::Endless(b"HTTP/1.1 200 OK\r\n".to_vec(), line.into_bytes())
        }
        Some("event") => {
            ScriptedAnswer::Endless(head("200 OK", "Content-Type: text/event-stream\r\n"), filler)
        }
        Some("events") => {
            let event = b"id: 1\ndata: x\n\n".repeat(4_000);
            ScriptedAnswer::Endless(head("200 OK", "Content-Type: text/event-stream\r\n"), event)
        }
        Some("plain") => {
            ScriptedAnswer::Endless(head("200 OK", "Content-Type: text/plain\r\n"), filler)
        }
        Some("failure") => ScriptedAnswer::Endless(head("500 Internal Server Error", ""), filler),
        _ => ScriptedAnswer::Kept(whole_answer(&request.id, "whole")),
    }
}

/// Sends a request whose answer is never read. The connection stays open while the result lives.
async fn ask_without_reading(address: SocketAddr, path: &str, id: &str) -> TcpStream {
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: farm.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 4500\r\n{ASK_HEADERS}\r\n"
    );
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

/// Memory of this process, in bytes.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    let kilobytes: usize = line.split_whitespace().next().unwrap().parse().unwrap();
    kilobytes * 1_024
}

/// Guards against a host that runs out of memory because it keeps what engines send without end.
#[test]
fn can_bound_the_memory_of_answers_without_end() {
    run(async {
        let (stack, _engines) = stack_with(Arc::new(endless)).await;
        let address = stack.hosts[0].caller_address;
        let paths = ["/ask/head", "/ask/event", "/ask/events", "/ask/plain", "/ask/failure"];
        let mut unread = Vec::new();
        for number in 0..ENDLESS {
            let path = paths[number % paths.len()];
            unread.push(ask_without_reading(address, path, &format!("endless-{number}")).await);
        }
        let started = Instant::now();
        let mut most = 0;
        let mut statuses = Vec::new();
        while started.elapsed() < OBSERVED_TIME {
            let answer = send(address, "GET", "/read/whole", "sound", "").await;
            statuses.push(answer.status);
            most = most.max(resident_bytes());
            actix_rt::time::sleep(SOUND_INTERVAL).await;
        }
        println!("{most} bytes at most");
        // The process also holds the engines, the store and another host.
        assert!(most < MEMORY_LIMIT, "{most} bytes");
        let served = statuses.iter().filter(|status| **status == 200).count();
        assert_eq!(served, statuses.len(), "{statuses:?}");
    });
}
