//! Streams while engines of two software versions serve, with stand-ins over loopback sockets.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::RawAnswer;
use support::SPEC;
use support::WAIT_LIMIT;
use support::ask;
use support::ready_stack_of;
use support::run;
use support::send;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use wagtailledge_standins::fleet::FleetEngine;
use wagtailledge_standins::fleet::FleetSpec;
use wagtailledge_standins::fleet::FleetStack;

/// Streams that callers break off and take up again.
const STREAMS: usize = 24;
/// Event after which callers break off.
const LAST_EVENT: u64 = 2;
/// Requests after which an engine of the other version is assumed to get none.
const MAX_ASKS: usize = 2_000;

/// Headers of all requests.
const HEADERS: &str = "X-Model: m0\r\nX-Token-Count: 100,20\r\n";

/// Starts three hosts, two engines of software version `v1` and two of `v2`, which join later as in a
/// release. Returns when streams begin at both versions at every host.
async fn stack_in_release() -> FleetStack {
    let mut stack = ready_stack_of(FleetSpec { hosts: 3, engines: 2, ..SPEC }).await;
    for _ in 0..2 {
        let engine = stack.add_engine(&["m0"]);
        engine.set_software("v2");
    }
    stack.register();
    for host in 0..stack.hosts.len() {
        let mut number = 0;
        while number < MAX_ASKS && versions_run_by(&stack, &format!("both-{host}-")).len() < 2 {
            ask(&stack, host, "m0", &format!("both-{host}-{number}")).await;
            number += 1;
        }
        assert!(number < MAX_ASKS, "host {host} sends nothing to one of the versions");
    }
    stack
}

/// Software versions of the engines that ran requests whose ids start with `prefix`.
fn versions_run_by(stack: &FleetStack, prefix: &str) -> std::collections::BTreeSet<String> {
    let ran =
        |engine: &&FleetEngine| engine.runs().iter().any(|run| run.request_id.starts_with(prefix));
    stack.engines.iter().filter(ran).map(FleetEngine::software).collect()
}

/// Software version of the engine that ran this request last; `None` if none did.
fn version_of(stack: &FleetStack, request: &str) -> Option<String> {
    let ran = |engine: &&FleetEngine| engine.runs().iter().any(|run| run.request_id == request);
    stack.engines.iter().find(ran).map(FleetEngine::software)
}

/// Sends a request, reads its stream to an event, and closes the connection.
async fn break_off(address: SocketAddr, id: &str) {
    let text = format!(
        "POST /ask/1 HTTP/1.1\r\nHost: farm.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 4000\r\n{HEADERS}\r\n"
    );
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut received = String::new();
    let mut buffer = [0; 1024];
    let read = async {
        while !received.contains(&format!("id: {LAST_EVENT}\n")) {
            let count = stream.read(&mut buffer).await.unwrap();
            assert!(count > 0, "{received}");
            received.push_str(&String::from_utf8_lossy(&buffer[..count]));
        }
    };
    actix_rt::time::timeout(WAIT_LIMIT, read).await.unwrap();
}

/// Takes the stream of `first` up as `id`.
async fn take_up(address: SocketAddr, first: &str, id: &str) -> RawAnswer {
    let more = format!("{HEADERS}Last-Event-Id: {LAST_EVENT}\r\nResumes: {first}\r\n");
    send(address, "POST", "/ask/1", id, &more).await
}

/// Takes all streams up, each at the host after the one that began it. Returns how many went on;
/// none may go on at another version.
async fn take_all_up(stack: &FleetStack, begun: &[(String, String)], name: &str) -> usize {
    let mut continued = 0;
    for (number, (first, version)) in begun.iter().enumerate() {
        let host = (number + 1) % stack.hosts.len();
        let id = format!("{name}-{number}");
        let answer = take_up(stack.hosts[host].caller_address, first, &id).await;
        let went_on_at = version_of(stack, &id);
        assert!(
            went_on_at.as_ref().is_none_or(|other| other == version),
            "{first} began at {version} and went on at {went_on_at:?}"
        );
        if answer.status == 200 {
            continued += 1;
            for event in LAST_EVENT + 1..=5 {
                assert!(answer.body.contains(&format!("id: {event}\n")), "{}", answer.body);
            }
        } else {
            assert_eq!(answer.status, 503, "{}", answer.head);
            assert!(answer.header("retry-after").is_some(), "{}", answer.head);
        }
    }
    continued
}

/// Begins streams at all hosts in turn and breaks them off. Returns their ids and the versions that
/// began them.
async fn break_streams_off(stack: &FleetStack) -> Vec<(String, String)> {
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let id = format!("first-{number}");
        break_off(stack.hosts[number % stack.hosts.len()].caller_address, &id).await;
        let version = version_of(stack, &id).expect("an engine ran it");
        begun.push((id, version));
    }
    begun
}

#[test]
fn can_keep_a_stream_at_the_software_version_that_began_it() {
    run(async {
        let stack = stack_in_release().await;
        for number in 0..STREAMS {
            for engine in &stack.engines {
                engine.truncate_next_streams(1);
            }
            let id = format!("cut-{number}");
            ask(&stack, number % stack.hosts.len(), "m0", &id).await;
            let versions = versions_run_by(&stack, &id);
            assert_eq!(versions.len(), 1, "{id} ran at {versions:?}");
            for engine in &stack.engines {
                engine.end_next_streams(&[]);
            }
        }
    });
}

#[test]
fn can_take_streams_up_at_other_hosts_and_the_software_version_that_began_them() {
    run(async {
        let stack = stack_in_release().await;
        let begun = break_streams_off(&stack).await;
        assert!(begun.iter().any(|(_, version)| version == "v1"));
        assert!(begun.iter().any(|(_, version)| version == "v2"));
        let continued = take_all_up(&stack, &begun, "again").await;
        // The users ask for half of the share of new streams that begin, which is all here.
        assert!(continued * 2 >= STREAMS, "{continued} of {STREAMS} went on");
    });
}

#[test]
fn can_take_streams_up_after_the_host_that_began_them_was_killed() {
    run(async {
        let mut stack = stack_in_release().await;
        let begun = break_streams_off(&stack).await;
        stack.hosts[0].kill();
        let of_killed: Vec<_> = begun.iter().step_by(stack.hosts.len()).cloned().collect();
        stack.hosts.remove(0);
        let continued = take_all_up(&stack, &of_killed, "orphan").await;
        assert!(continued * 2 >= of_killed.len(), "{continued} of {} went on", of_killed.len());
    });
}

/// Kills all hosts and starts as many others.
async fn restart_hosts(stack: &mut FleetStack) {
    let count = stack.hosts.len();
    stack.hosts.clear();
    for number in 0..count {
        stack.add_host(&format!("east-again-{number}"));
    }
    let ready = stack.wait_until(WAIT_LIMIT, async |stack| {
        for host in 0..stack.hosts.len() {
            if ask(stack, host, "m0", "ready-again").await.status != 200 {
                return false;
            }
        }
        true
    });
    assert!(ready.await, "the hosts are not ready again");
}

#[test]
fn can_join_no_versions_after_a_kill_of_all_hosts() {
    run(async {
        let mut stack = stack_in_release().await;
        let begun = break_streams_off(&stack).await;
        restart_hosts(&mut stack).await;
        take_all_up(&stack, &begun, "restarted").await;
    });
}

#[test]
fn can_join_no_versions_after_the_old_one_left_and_all_hosts_were_killed() {
    run(async {
        let mut stack = stack_in_release().await;
        let begun = break_streams_off(&stack).await;
        for engine in stack.engines.iter().filter(|engine| engine.software() == "v1") {
            stack.store.remove(&format!("servers/{}", engine.name()));
        }
        restart_hosts(&mut stack).await;
        take_all_up(&stack, &begun, "restarted").await;
    });
}

#[test]
fn can_take_streams_up_after_a_kill_of_all_hosts_with_one_version() {
    run(async {
        let mut stack = ready_stack_of(FleetSpec { hosts: 3, engines: 2, ..SPEC }).await;
        // The platform's store keeps which versions have served.
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        let begun = break_streams_off(&stack).await;
        restart_hosts(&mut stack).await;
        let continued = take_all_up(&stack, &begun, "restarted").await;
        assert!(continued * 2 >= STREAMS, "{continued} of {STREAMS} went on");
    });
}
