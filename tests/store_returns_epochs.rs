//! Fencing tokens after the platform's store came back from an earlier copy of what it held.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use actix_rt::time::sleep;
use serde_json::json;
use support::SPEC;
use support::WAIT_LIMIT;
use support::ask;
use support::run;
use support::tokens::order_lines;
use support::tokens::token_faults;
use wagtailledge_standins::fleet::FleetEngine;
use wagtailledge_standins::fleet::FleetSpec;
use wagtailledge_standins::fleet::FleetStack;
use wagtailledge_standins::fleet::StoreCopy;
use wagtailledge_standins::fleet::StoreGate;

/// Time after the return of the store within which a leader must have loaded a model.
const BOUND: Duration = Duration::from_secs(10);
/// Longest wait for a host to write the lease record; it may have reasons not to.
const WRITE_LIMIT: Duration = Duration::from_secs(5);
/// Time without a message after which a host counts as unreachable.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Prefix of the keys of lease records.
const LEASE_KEYS: &str = "lease/";
/// Prefix of the keys that hosts register under.
const HOST_KEYS: &str = "wagtailledge/hosts/";

/// Starts a deployment of one engine, without hosts.
fn hostless_stack() -> FleetStack {
    FleetStack::start(FleetSpec { hosts: 0, engines: 1, ..SPEC })
}

/// Whether the host with this index may send orders.
async fn leads(stack: &FleetStack, host: usize) -> bool {
    stack.hosts[host].status().await.is_some_and(|status| status.authority)
}

/// Waits until the last host leads and has ordered the engine to load `model`.
async fn wait_for_leader(stack: &FleetStack, model: &str) {
    let host = stack.hosts.len() - 1;
    let leading = stack.wait_until(WAIT_LIMIT, async |stack| leads(stack, host).await).await;
    assert!(leading, "the last host does not lead");
    let served = stack
        .wait_until(WAIT_LIMIT, async |stack| ask(stack, host, model, "cold").await.status == 200);
    assert!(served.await, "{model} is not served: {:?}", order_lines(&stack.engines));
}

/// Waits until the last host follows the one with index `leader`.
async fn wait_for_follower(stack: &FleetStack, leader: usize) {
    let (host, leader) = (stack.hosts.len() - 1, Some(stack.hosts[leader].name.clone()));
    let follows = async |stack: &FleetStack| {
        let status = stack.hosts[host].status().await;
        status.is_some_and(|status| status.leader == leader)
            && ask(stack, host, "m0", "warm-up").await.status == 200
    };
    assert!(stack.wait_until(WAIT_LIMIT, follows).await, "the last host does not follow");
}

/// Drains the host with index `host`, which ends its lease.
fn drain(stack: &mut FleetStack, host: usize) {
    let mut leaving = stack.hosts.remove(host);
    leaving.begin_drain();
    leaving.join();
}

/// Lets the store go away and come back from `copy`.
fn return_from(stack: &FleetStack, copy: &StoreCopy) {
    stack.store.set_silent(true);
    stack.store.restore(copy);
    stack.configure(1, json!([]));
    stack.register();
    stack.store.set_silent(false);
}

/// Whether a host leads and loads `model` within the bound. Any host is asked.
async fn recovers(stack: &FleetStack, model: &str) -> bool {
    stack
        .wait_until(BOUND, async |stack| {
            for host in 0..stack.hosts.len() {
                if leads(stack, host).await {
                    return ask(stack, host, model, "after").await.status == 200;
                }
            }
            false
        })
        .await
}

/// Epochs of the hosts that may send orders.
async fn epochs(stack: &FleetStack) -> Vec<u64> {
    let mut epochs = Vec::new();
    for host in &stack.hosts {
        let status = host.status().await.filter(|status| status.authority);
        epochs.extend(status.map(|status| status.epoch));
    }
    epochs
}

/// Lets the store come back from `copy` while all hosts live. Whether one takes the lease anew and loads a model
/// within the bound.
async fn recovers_from(stack: &FleetStack, copy: &StoreCopy) -> bool {
    let before = epochs(stack).await;
    return_from(stack, copy);
    let is_later = async |stack: &FleetStack| {
        let after = epochs(stack).await;
        !after.is_empty() && after != before
    };
    stack.wait_until(BOUND, is_later).await && recovers(stack, "m3").await
}

/// Checks the tokens of all orders, and that the last of the cold models was served.
fn assert_tokens(stack: &FleetStack, recovered: bool) {
    let (faults, orders) = (token_faults(&stack.engines), order_lines(&stack.engines));
    let served = if recovered { "served" } else { "not served" };
    assert!(faults.is_empty(), "{faults:?}, {served}; orders: {orders:?}");
    assert!(recovered, "no leader or a model not served; orders: {orders:?}");
    let holders: BTreeSet<_> =
        stack.engines.iter().flat_map(FleetEngine::orders).map(|order| order.holder).collect();
    assert!(holders.len() > 1, "only one host sent orders: {orders:?}");
}

/// Starts `east-0`, which leads and loads `m1`, and `east-1`, which follows it.
async fn led_stack() -> FleetStack {
    let mut stack = hostless_stack();
    stack.add_host("east-0");
    wait_for_leader(&stack, "m1").await;
    stack.add_host("east-1");
    wait_for_follower(&stack, 0).await;
    stack
}

/// Lets `east-1` take over from `east-0`, which follows after another start.
async fn take_over(stack: &mut FleetStack) {
    drain(stack, 0);
    wait_for_leader(stack, "m2").await;
    stack.add_host("east-0");
    wait_for_follower(stack, 0).await;
}

/// Kills all hosts, lets the store come back from `copy`, and starts hosts with these names, the second when the
/// first leads.
async fn restart_with(stack: &mut FleetStack, copy: &StoreCopy, names: [&str; 2]) -> bool {
    stack.hosts.clear();
    return_from(stack, copy);
    stack.add_host(names[0]);
    let recovered = recovers(stack, "m3").await;
    stack.add_host(names[1]);
    recovered && recovers(stack, "m1").await
}

/// Guards against an epoch that only killed hosts and the lost record had known.
#[test]
fn can_order_with_new_tokens_after_a_restart_without_the_last_takeover() {
    run(async {
        let mut stack = led_stack().await;
        let copy = stack.store.copy();
        take_over(&mut stack).await;
        let recovered = restart_with(&mut stack, &copy, ["east-0", "east-1"]).await;
        assert_tokens(&stack, recovered);
    });
}

#[test]
fn can_order_with_new_tokens_after_a_restart_without_a_lease_record() {
    run(async {
        let mut stack = hostless_stack();
        let copy = stack.store.copy();
        stack.add_host("east-0");
        wait_for_leader(&stack, "m1").await;
        stack.add_host("east-1");
        wait_for_follower(&stack, 0).await;
        let recovered = restart_with(&mut stack, &copy, ["east-1", "east-0"]).await;
        assert_tokens(&stack, recovered);
    });
}

/// Guards against a leader whose tokens are below those that the engines have seen.
#[test]
fn can_order_with_later_tokens_after_a_restart_without_any_of_two_records() {
    run(async {
        let mut stack = hostless_stack();
        let copy = stack.store.copy();
        stack.add_host("east-0");
        wait_for_leader(&stack, "m1").await;
        stack.add_host("east-1");
        wait_for_follower(&stack, 0).await;
        take_over(&mut stack).await;
        let recovered = restart_with(&mut stack, &copy, ["east-0", "east-1"]).await;
        assert_tokens(&stack, recovered);
    });
}

/// How the host that is cut off comes to the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LatePath {
    /// It reads the record that came back, then takes the lease over.
    ReadFirst,
    /// Its takeover was sent before the return, and is executed after it without an answer.
    WriteHeldBack,
    /// Its takeover names what it read before the return, and is answered after it.
    WriteFirst,
}

/// Starts `east-0`, which leads and loads `m1`, and `east-1` behind a gate, which follows it.
async fn gated_stack() -> (FleetStack, StoreGate) {
    let mut stack = hostless_stack();
    stack.add_host("east-0");
    wait_for_leader(&stack, "m1").await;
    let gate = stack.add_gated_host("east-1", 60);
    wait_for_follower(&stack, 0).await;
    (stack, gate)
}

/// Opens the gate until a takeover is held back, and closes it then.
async fn hold_takeover(stack: &FleetStack, gate: &StoreGate) {
    gate.hold_next_write(LEASE_KEYS);
    let held = stack.wait_until(WAIT_LIMIT, async |_| gate.is_holding()).await;
    assert!(held, "no host takes the lease over");
}

/// Starts `east-2` behind a gate while `east-1` is cut off, and waits until it leads and loads `m2`. Neither hears
/// of the other.
async fn add_second_leader(stack: &mut FleetStack) -> StoreGate {
    // As when its lease has ended.
    stack.store.remove(&format!("{HOST_KEYS}east-1"));
    let gate = stack.add_gated_host("east-2", 60);
    wait_for_leader(stack, "m2").await;
    gate
}

/// Lets the store come back from `copy` and `east-1` reach it first, while `east-2` is cut off.
async fn reach_first(stack: &FleetStack, copy: &StoreCopy, gate: &StoreGate, path: LatePath) {
    return_from(stack, copy);
    match path {
        LatePath::ReadFirst => gate.set_silent(false),
        LatePath::WriteHeldBack => {
            gate.execute_held().await;
            gate.set_silent(false);
        }
        LatePath::WriteFirst => {
            gate.pass_next_write(LEASE_KEYS);
            stack.wait_until(WRITE_LIMIT, async |_| gate.is_open()).await;
            gate.set_silent(false);
        }
    }
}

/// Cuts `east-1` off when `east-0` leaves, lets `east-2` take over, and the store come back without that.
async fn miss_a_takeover(path: LatePath, keeps_leader: bool) {
    let (mut stack, gate) = gated_stack().await;
    gate.set_silent(true);
    drain(&mut stack, 0);
    if path != LatePath::ReadFirst {
        // From now on all its takeovers name the same successors, as it reaches no other host.
        sleep(2 * PEER_TIMEOUT).await;
        hold_takeover(&stack, &gate).await;
    }
    let copy = stack.store.copy();
    let other = add_second_leader(&mut stack).await;
    other.set_silent(true);
    if !keeps_leader {
        stack.hosts.truncate(1);
    }
    reach_first(&stack, &copy, &gate, path).await;
    let mut recovered = recovers(&stack, "m3").await;
    if keeps_leader {
        other.set_silent(false);
        recovered &= recovers(&stack, "m1").await;
    }
    assert_tokens(&stack, recovered);
}

/// Guards against a takeover by a host that did not hear of the one that the store lost.
#[test]
fn can_order_with_new_tokens_at_a_host_that_missed_the_last_takeover() {
    run(miss_a_takeover(LatePath::ReadFirst, false));
}

#[test]
fn can_order_with_new_tokens_at_a_host_that_missed_the_takeover_of_a_living_one() {
    run(miss_a_takeover(LatePath::ReadFirst, true));
}

/// Guards against a takeover that is stored because its revision was given out again.
#[test]
fn can_order_with_new_tokens_when_a_takeover_is_stored_after_the_return() {
    run(miss_a_takeover(LatePath::WriteHeldBack, false));
}

/// Guards against a write that is answered from a later era than the revision that it names.
#[test]
fn can_order_with_new_tokens_when_a_takeover_is_answered_after_the_return() {
    run(miss_a_takeover(LatePath::WriteFirst, false));
}

/// Guards against a leader that goes on in its term when the store has lost the next one.
#[test]
fn can_order_with_later_tokens_at_a_leader_that_missed_its_successor() {
    run(async {
        let mut stack = hostless_stack();
        let gate = stack.add_gated_host("east-1", 60);
        wait_for_leader(&stack, "m1").await;
        gate.set_silent(true);
        let copy = stack.store.copy();
        add_second_leader(&mut stack).await;
        stack.hosts.truncate(1);
        reach_first(&stack, &copy, &gate, LatePath::ReadFirst).await;
        let recovered = recovers(&stack, "m3").await;
        assert_tokens(&stack, recovered);
    });
}

/// Cuts `east-1` off before it has stored the first record, lets `east-2` lead, and the store come back empty.
async fn miss_the_first_term(path: LatePath) {
    let mut stack = hostless_stack();
    let gate = stack.add_gated_host("east-1", 60);
    hold_takeover(&stack, &gate).await;
    let copy = stack.store.copy();
    assert!(stack.store.keys(LEASE_KEYS).is_empty(), "the lease was taken before");
    add_second_leader(&mut stack).await;
    stack.hosts.truncate(1);
    reach_first(&stack, &copy, &gate, path).await;
    let recovered = recovers(&stack, "m3").await;
    assert_tokens(&stack, recovered);
}

/// Guards against a write on the condition that there is no record, which names no era.
#[test]
fn can_order_with_new_tokens_when_a_first_record_is_stored_after_the_return() {
    run(miss_the_first_term(LatePath::WriteHeldBack));
}

#[test]
fn can_order_with_new_tokens_when_a_first_record_is_answered_after_the_return() {
    run(miss_the_first_term(LatePath::WriteFirst));
}

/// Holds the first takeover of `east-1` back, which names the host that leaves as its successor, and executes it
/// after others that name none, and after a return of the store if it `returns`.
async fn store_takeover_late(returns: bool) {
    let (mut stack, gate) = gated_stack().await;
    gate.hold_next_write(LEASE_KEYS);
    drain(&mut stack, 0);
    let held = stack.wait_until(WAIT_LIMIT, async |_| gate.is_holding()).await;
    assert!(held, "no host takes the lease over");
    sleep(2 * PEER_TIMEOUT).await;
    if returns {
        return_from(&stack, &stack.store.copy());
    }
    gate.execute_held().await;
    gate.set_silent(false);
    let recovered = recovers(&stack, "m3").await;
    assert_tokens(&stack, recovered);
}

/// Guards against a host that waits for the end of a lease which it does not know to be its own.
#[test]
fn can_lead_when_an_earlier_takeover_with_other_successors_is_stored_late() {
    run(store_takeover_late(false));
}

#[test]
fn can_lead_when_an_earlier_takeover_is_stored_after_the_return() {
    run(store_takeover_late(true));
}

#[test]
fn can_order_with_new_tokens_without_the_last_takeover_while_the_hosts_live() {
    run(async {
        let mut stack = led_stack().await;
        let copy = stack.store.copy();
        take_over(&mut stack).await;
        let recovered = recovers_from(&stack, &copy).await;
        assert_tokens(&stack, recovered);
    });
}

#[test]
fn can_order_with_new_tokens_without_a_lease_record_while_the_hosts_live() {
    run(async {
        let mut stack = hostless_stack();
        let copy = stack.store.copy();
        stack.add_host("east-0");
        wait_for_leader(&stack, "m1").await;
        stack.add_host("east-1");
        wait_for_follower(&stack, 0).await;
        take_over(&mut stack).await;
        let recovered = recovers_from(&stack, &copy).await;
        assert_tokens(&stack, recovered);
    });
}
