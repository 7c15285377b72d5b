//! Calls to the store of hosts that rely on their leader's reads, and changes that take effect in time
//! when the leader fails.

mod support;

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use support::SPEC;
use support::WAIT_LIMIT;
use support::ask;
use support::send;
use wagtailledge_standins::fleet::FleetEngine;
use wagtailledge_standins::fleet::FleetSpec;
use wagtailledge_standins::fleet::FleetStack;
use wagtailledge_standins::fleet::StoreGate;

/// Time within which changes in the store must take effect, in seconds.
const BOUND_S: u32 = 3;
const BOUND: Duration = Duration::from_secs(BOUND_S as u64);
/// Number of hosts: a leader, two successors, four more that follow the store, and some that do not.
const HOSTS: usize = 12;
/// Highest price of the calls to the store per second and host, without changes by operators.
const MAX_CALM_PRICE: f64 = 0.4;
/// Time for which calls are counted.
const CALM_TIME: Duration = Duration::from_secs(10);
/// Interval at which an engine writes its entry.
const WRITE_INTERVAL: Duration = Duration::from_millis(15);
/// Time until a new leader is known, the store is read again and all hosts rely on it.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Held by the running test: the hosts of several tests at once would be late for lack of processor time.
static RUNNING: Mutex<()> = Mutex::new(());

/// Runs a test while no other one of this file runs.
fn run(test: impl Future<Output = ()>) {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    support::run(test);
}

/// How a leader fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaderFault {
    Dead,
    /// Its connections stay open, and nothing comes.
    Silent,
    /// The store turns its calls away.
    NoStore,
}

async fn leader_of(stack: &FleetStack) -> Option<usize> {
    for host in 0..stack.hosts.len() {
        let status = stack.hosts[host].status().await;
        if status.is_some_and(|status| status.authority) {
            return Some(host);
        }
    }
    None
}

/// Writes to the store as often as engines do, so that no watch waits.
fn keep_store_busy(stack: &FleetStack) -> actix_rt::task::JoinHandle<()> {
    let store = stack.store.clone();
    actix_rt::spawn(async move {
        let mut number = 0_u64;
        loop {
            number += 1;
            store.put("servers/other", number.to_string().as_bytes());
            actix_rt::time::sleep(WRITE_INTERVAL).await;
        }
    })
}

/// Starts hosts that rely on their leader, and waits until all serve.
async fn relying_stack() -> (FleetStack, Vec<StoreGate>) {
    let mut stack = FleetStack::start(FleetSpec { hosts: 0, engines: 4, ..SPEC });
    let gates = (0..HOSTS).map(|host| stack.add_relying_host(&format!("east-{host:02}"), BOUND_S));
    let gates = gates.collect();
    keep_store_busy(&stack);
    let ready = stack
        .wait_until(WAIT_LIMIT, async |stack| {
            for host in 0..HOSTS {
                if ask(stack, host, "m0", "warm-up").await.status != 200 {
                    return false;
                }
            }
            leader_of(stack).await.is_some()
        })
        .await;
    assert!(ready, "the hosts are not ready");
    actix_rt::time::sleep(SETTLE_TIME).await;
    (stack, gates)
}

fn price(gates: &[StoreGate]) -> Vec<f64> {
    gates.iter().map(StoreGate::price).collect()
}

/// Guards against hosts that each ask the store although their leader reads it for them.
#[test]
fn can_leave_the_store_alone_in_calm() {
    run(async {
        let (stack, gates) = relying_stack().await;
        let before = price(&gates);
        actix_rt::time::sleep(CALM_TIME).await;
        let after = price(&gates);
        let rates: Vec<f64> = before
            .iter()
            .zip(&after)
            .map(|(before, after)| (after - before) / CALM_TIME.as_secs_f64())
            .collect();
        let leader = leader_of(&stack).await;
        println!("calls a second of each host: {rates:.2?}, leader {leader:?}");
        // The leader, its successors and those that may soon lead read for all, however many there are.
        let relying = rates.iter().filter(|rate| **rate <= MAX_CALM_PRICE / 2.0).count();
        assert!(relying >= HOSTS - 7, "{rates:?}");
        let others = rates.iter().enumerate().filter(|(host, _)| Some(*host) != leader);
        let worst = others.map(|(_, rate)| *rate).fold(0.0, f64::max);
        assert!(worst <= 0.7, "{rates:?}");
        // Prices of 86 hosts, of which seven read: the leader, two successors and four more.
        let readers = rates.iter().sum::<f64>();
        assert!(readers / 86.0 <= MAX_CALM_PRICE / 2.0, "{rates:?}");
    });
}

/// Fails the leader, and returns the hosts that are to keep the bounds.
async fn fail_leader(
    stack: &mut FleetStack,
    gates: &mut Vec<StoreGate>,
    fault: LeaderFault,
) -> Vec<usize> {
    let leader = leader_of(stack).await.unwrap();
    let others = |count: usize| (0..count).filter(move |host| *host != leader).collect();
    match fault {
        LeaderFault::Dead => {
            stack.hosts.remove(leader);
            gates.remove(leader);
            (0..HOSTS - 1).collect()
        }
        LeaderFault::Silent => {
            stack.hosts[leader].freeze(BOUND * 4);
            others(HOSTS)
        }
        LeaderFault::NoStore => {
            gates[leader].set_refusing(true);
            (0..HOSTS).collect()
        }
    }
}

/// Time from a change of the configuration until each host applies it.
async fn configuration_delays(stack: &FleetStack, hosts: &[usize]) -> Vec<Duration> {
    let more = json!([{
        "name": "more", "host": "farm.example", "prefix": "/more/", "routeKind": "idempotent",
        "timeoutMs": 5000, "targetLatencyMs": 500, "priority": 1, "service": "app", "attempts": 1
    }]);
    stack.configure(2, more);
    let written = Instant::now();
    let waits = hosts.iter().map(|host| {
        let address = stack.hosts[*host].caller_address;
        async move {
            while written.elapsed() < BOUND * 2 {
                if send(address, "GET", "/more/1", "more", "").await.status != 404 {
                    break;
                }
            }
            written.elapsed()
        }
    });
    futures::future::join_all(waits).await
}

/// Time from the moment at which an engine's entry says that it is leaving until the last request that it
/// got from each host.
async fn last_requests(stack: &FleetStack, engine: &FleetEngine, hosts: &[usize]) -> Vec<Duration> {
    stack.announce_leaving(engine.name());
    let announced = Instant::now();
    let mut asks = Vec::new();
    let mut number = 0;
    while announced.elapsed() < BOUND + Duration::from_secs(1) {
        number += 1;
        for host in hosts {
            let address = stack.hosts[*host].caller_address;
            let id = format!("{host}-{number}");
            asks.push(actix_rt::spawn(async move {
                let headers = "X-Model: m0\r\nX-Token-Count: 100,20\r\n";
                send(address, "POST", "/ask/1", &id, headers).await
            }));
        }
        actix_rt::time::sleep(Duration::from_millis(40)).await;
    }
    futures::future::join_all(asks).await;
    let runs = engine.runs();
    let last_of = |host: &usize| {
        let prefix = format!("{host}-");
        let own = runs.iter().filter(|run| run.request_id.starts_with(&prefix));
        let after = own.map(|run| run.arrived.saturating_duration_since(announced));
        after.max().unwrap_or_default()
    };
    hosts.iter().map(last_of).collect()
}

async fn assert_configuration_in_time(fault: LeaderFault) {
    let (mut stack, mut gates) = relying_stack().await;
    let hosts = fail_leader(&mut stack, &mut gates, fault).await;
    let delays = configuration_delays(&stack, &hosts).await;
    println!("configuration, {fault:?}: {delays:.2?}");
    assert!(delays.iter().all(|delay| *delay <= BOUND), "{fault:?}: {delays:?}");
}

async fn assert_drain_in_time(fault: LeaderFault) {
    let (mut stack, mut gates) = relying_stack().await;
    let engine = stack.engines[0].clone();
    let hosts = fail_leader(&mut stack, &mut gates, fault).await;
    let last = last_requests(&stack, &engine, &hosts).await;
    println!("drain, {fault:?}: {last:.2?}");
    assert!(last.iter().all(|after| *after <= BOUND), "{fault:?}: {last:?}");
}

/// Guards against hosts that wait for the notices of a dead leader.
#[test]
fn can_apply_a_configuration_in_time_while_the_leader_dies() {
    run(assert_configuration_in_time(LeaderFault::Dead));
}

/// Guards against hosts that take open connections of a leader for a sign of life.
#[test]
fn can_apply_a_configuration_in_time_while_the_leader_is_silent() {
    run(assert_configuration_in_time(LeaderFault::Silent));
}

/// Guards against trust in a leader that cannot read the store.
#[test]
fn can_apply_a_configuration_in_time_while_the_leader_lacks_the_store() {
    run(assert_configuration_in_time(LeaderFault::NoStore));
}

/// Guards against requests to a leaving engine after the leader died.
#[test]
fn can_leave_a_leaving_engine_alone_in_time_while_the_leader_dies() {
    run(assert_drain_in_time(LeaderFault::Dead));
}

/// Guards against requests to a leaving engine after the leader froze.
#[test]
fn can_leave_a_leaving_engine_alone_in_time_while_the_leader_is_silent() {
    run(assert_drain_in_time(LeaderFault::Silent));
}

/// Guards against requests to a leaving engine while the leader cannot read the store.
#[test]
fn can_leave_a_leaving_engine_alone_in_time_while_the_leader_lacks_the_store() {
    run(assert_drain_in_time(LeaderFault::NoStore));
}
