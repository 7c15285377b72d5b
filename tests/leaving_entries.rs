//! How soon hosts stop sending requests to an engine whose entry says that it is leaving.

mod support;

use std::time::Duration;
use std::time::Instant;

use support::SPEC;
use support::WAIT_LIMIT;
use support::ask;
use support::run;
use support::send;
use wagtailledge_standins::fleet::FleetEngine;
use wagtailledge_standins::fleet::FleetSpec;
use wagtailledge_standins::fleet::FleetStack;
use wagtailledge_standins::fleet::StoreGate;

/// Time within which changes in the store must take effect, in seconds.
const BOUND_S: u32 = 2;
/// Number of hosts.
const HOSTS: usize = 4;
/// Interval of the requests to each host.
const ASK_INTERVAL: Duration = Duration::from_millis(15);
/// Time before an engine says that it is leaving.
const LEAD_TIME: Duration = Duration::from_millis(700);
/// Time for which requests are observed after that, twice the bound.
const OBSERVED_TIME: Duration = Duration::from_secs(4);
/// Time by which a late store answers later.
const LATE_ANSWERS: Duration = Duration::from_millis(300);

async fn leader_of(stack: &FleetStack) -> Option<usize> {
    for host in 0..stack.hosts.len() {
        let status = stack.hosts[host].status().await;
        if status.is_some_and(|status| status.authority) {
            return Some(host);
        }
    }
    None
}

/// Whether all hosts follow the same leader.
async fn has_one_leader(stack: &FleetStack) -> bool {
    let mut leaders = Vec::new();
    for host in &stack.hosts {
        leaders.push(host.status().await.and_then(|status| status.leader));
    }
    leaders[0].is_some() && leaders.iter().all(|leader| *leader == leaders[0])
}

/// Starts hosts with gates to the store and four engines, and waits until all hosts follow one leader.
async fn gated_stack() -> (FleetStack, Vec<StoreGate>) {
    let mut stack = FleetStack::start(FleetSpec { hosts: 0, engines: 4, ..SPEC });
    let gates = (0..HOSTS).map(|host| stack.add_gated_host(&format!("east-{host}"), BOUND_S));
    let gates = gates.collect();
    let ready = stack
        .wait_until(WAIT_LIMIT, async |stack| {
            for host in 0..HOSTS {
                if ask(stack, host, "m0", "warm-up").await.status != 200 {
                    return false;
                }
            }
            has_one_leader(stack).await
        })
        .await;
    assert!(ready, "the hosts are not ready");
    (stack, gates)
}

/// Time from the moment at which the entry of an engine says that it is leaving until the last request
/// that it got from each host. Requests come at all hosts all the time.
async fn last_requests(stack: &FleetStack, engine: &FleetEngine) -> Vec<Duration> {
    let started = Instant::now();
    let mut announced = None;
    let mut asks = Vec::new();
    while announced.is_none_or(|at: Instant| at.elapsed() < OBSERVED_TIME) {
        if announced.is_none() && started.elapsed() > LEAD_TIME {
            stack.announce_leaving(engine.name());
            announced = Some(Instant::now());
        }
        // A busy store ends every watch at once.
        let value = started.elapsed().as_micros().to_string();
        stack.store.put("servers/other", value.as_bytes());
        for (host, thread) in stack.hosts.iter().enumerate() {
            let (address, id) = (thread.caller_address, format!("{host}-{value}"));
            let headers = "X-Model: m0\r\nX-Token-Count: 100,20\r\n";
            asks.push(actix_rt::spawn(async move {
                send(address, "POST", "/ask/1", &id, headers).await
            }));
        }
        actix_rt::time::sleep(ASK_INTERVAL).await;
    }
    futures::future::join_all(asks).await;
    let announced = announced.unwrap_or(started);
    let runs = engine.runs();
    let last_of = |host: usize| {
        let prefix = format!("{host}-");
        let own = runs.iter().filter(|run| run.request_id.starts_with(&prefix));
        let after = own.map(|run| run.arrived.saturating_duration_since(announced));
        after.max().unwrap_or_default()
    };
    (0..stack.hosts.len()).map(last_of).collect()
}

/// Lets the store turn the leader away, and as many other hosts, and two engines leave one after the
/// other. Checks that no host sends them requests for longer than the bound.
async fn assert_bound_without_store(others: usize) {
    let (stack, gates) = gated_stack().await;
    let leader = leader_of(&stack).await.unwrap();
    gates[leader].set_refusing(true);
    for gate in gates.iter().enumerate().filter(|(host, _)| *host != leader).take(others) {
        gate.1.set_refusing(true);
    }
    // The lease is taken over between the two.
    for engine in &stack.engines[..2] {
        let last = last_requests(&stack, engine).await;
        let bound = Duration::from_secs(u64::from(BOUND_S));
        assert!(last.iter().all(|after| *after <= bound), "leader {leader}: {last:?}");
    }
}

/// Guards against a leader that the store turns away and that goes on sending to leaving engines.
#[test]
fn can_leave_leaving_engines_alone_at_a_leader_without_the_store() {
    run(assert_bound_without_store(0));
}

/// Guards against hosts that the store turns away together with their leader.
#[test]
fn can_leave_leaving_engines_alone_at_hosts_without_the_store() {
    run(assert_bound_without_store(1));
}

#[test]
fn can_leave_leaving_engines_alone_while_the_store_is_late() {
    run(async {
        let (stack, gates) = gated_stack().await;
        for gate in &gates {
            gate.set_delay(LATE_ANSWERS);
        }
        let last = last_requests(&stack, &stack.engines[0]).await;
        let bound = Duration::from_secs(u64::from(BOUND_S));
        assert!(last.iter().all(|after| *after <= bound), "{last:?}");
    });
}

/// Guards against an upstream that a host knows only from others and never learns to be gone.
#[test]
fn can_forget_an_upstream_that_left_while_the_host_could_not_read_the_store() {
    run(async {
        let (mut stack, gates) = gated_stack().await;
        let leader = leader_of(&stack).await.unwrap();
        let other = usize::from(leader == 0);
        gates[other].set_refusing(true);
        let engine = stack.add_engine(&["m0"]);
        stack.register();
        let asked = stack
            .wait_until(WAIT_LIMIT, async |stack| {
                ask(stack, other, "m0", "told").await;
                !engine.arrivals().is_empty()
            })
            .await;
        assert!(asked, "the host does not learn of the engine");
        // Nobody is left who knows that the engine was there, and nothing in the history tells it.
        let address = stack.hosts[other].caller_address;
        for host in (0..HOSTS).rev().filter(|host| *host != other) {
            stack.hosts.remove(host);
        }
        stack.store.remove(&format!("servers/{}", engine.name()));
        stack.store.compact();
        gates[other].set_refusing(false);
        actix_rt::time::sleep(OBSERVED_TIME).await;
        let before = engine.arrivals().len();
        let headers = "X-Model: m0\r\nX-Token-Count: 100,20\r\n";
        for number in 0..40 {
            send(address, "POST", "/ask/1", &format!("after-{number}"), headers).await;
        }
        assert_eq!(engine.arrivals().len(), before);
    });
}
