//! What a leader believes of an engine from its answers, and which orders it dares to send.

mod support;

use std::time::Duration;

use support::leader::TestLeader;
use support::leader::listing;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::order::OrderKind;
use wagtailledge_decisions::order::OrderOutcome;

/// Three models of which two fit, and a pool with two places for adapters.
const INVENTORY: &str = r#"
[rules]
keep_alive = "1h"
[[class]]
name = "alarm"
rank = 0
deadline = "30s"
[[service]]
name = "llm"
class = "alarm"
[service.pool]
memory = "80GiB"
adapters = 2
slots = 64
tokens = 100000
host_memory = "100GiB"
disk = "100GiB"
loads_per_minute = 120
checks_tokens = true
[[model]]
name = "heat"
size = "40GiB"
class = "alarm"
service = "llm"
[model.loads]
store = "6s"
disk = "800ms"
memory = "600ms"
[[model]]
name = "fan"
size = "40GiB"
class = "alarm"
service = "llm"
[model.loads]
store = "6s"
disk = "800ms"
memory = "600ms"
[[model]]
name = "flock"
size = "10GiB"
class = "alarm"
service = "llm"
[model.loads]
store = "6s"
disk = "800ms"
memory = "600ms"
[[adapter]]
name = "barn-1"
base = "heat"
size = "1GiB"
class = "alarm"
[[adapter]]
name = "barn-2"
base = "heat"
size = "1GiB"
class = "alarm"
[[adapter]]
name = "barn-3"
base = "heat"
size = "1GiB"
class = "alarm"
"#;

fn load(model: &str) -> OrderKind {
    let gibibytes: u64 = if model == "flock" { 10 } else { 40 };
    OrderKind::LoadModel { asset: format!("{model}@1"), bytes: gibibytes << 30 }
}

fn load_adapter(name: &str) -> OrderKind {
    OrderKind::LoadAdapter { asset: name.to_owned(), base: "heat@1".to_owned(), bytes: 1 << 30 }
}

fn unload(asset: &str) -> OrderKind {
    OrderKind::Unload { asset: asset.to_owned() }
}

#[test]
fn can_order_again_as_soon_as_an_engine_is_at_rest() {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    // A predecessor's order is still being carried out.
    leader.answer(&OrderKind::Claim, listing(3, true, &["heat@1"]));
    assert_eq!(leader.wait_for_order(300), Some(OrderKind::Claim));
    leader.answer(&OrderKind::Claim, listing(3, true, &["heat@1"]));
    assert_eq!(leader.wait_for_order(300), Some(OrderKind::Claim));
    leader.answer(&OrderKind::Claim, listing(3, false, &["heat@1"]));
    leader.ask("flock");
    assert_eq!(leader.wait_for_order(300), Some(load("flock")));
}

#[test]
fn can_keep_an_engine_from_loads_while_its_work_is_unknown() {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    leader.answer(&OrderKind::Claim, listing(3, true, &["heat@1"]));
    leader.ask("fan");
    // It may be loading anything: until it is at rest nothing else may be loaded.
    assert_eq!(leader.wait_for_order(300), Some(OrderKind::Claim));
    leader.answer(&OrderKind::Claim, OrderOutcome::Lost);
    assert_eq!(leader.wait_for_order(2_000), Some(OrderKind::Claim), "and no load");
    leader.answer(&OrderKind::Claim, listing(3, false, &["heat@1", "flock@1"]));
    assert_eq!(leader.wait_for_order(3_000), None, "there is no room for it now");
}

#[test]
fn can_count_an_adapter_until_its_unload_has_ended() {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    leader.answer(&OrderKind::Claim, listing(0, false, &["heat@1", "barn-1", "barn-2"]));
    leader.pass(6_000);
    leader.ask("barn-3");
    assert_eq!(leader.wait_for_order(1_500), Some(unload("barn-1")));
    // It is in use: its place is free only later.
    leader.answer(&unload("barn-1"), OrderOutcome::Started);
    leader.ask("flock");
    assert_eq!(leader.wait_for_order(1_500), Some(load("flock")));
    leader.answer(&load("flock"), OrderOutcome::Started);
    while let Some(kind) = leader.wait_for_order(1_000) {
        assert_ne!(kind, load_adapter("barn-3"), "both places are still taken");
        leader.answer(&kind, OrderOutcome::Conflict);
    }
}

#[test]
fn can_believe_a_listing_that_counts_fewer_orders_than_expected() {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    leader.answer(&OrderKind::Claim, listing(4, false, &["heat@1", "barn-1", "barn-2"]));
    leader.pass(6_000);
    leader.ask("barn-3");
    // The adapter was gone already, so the engine did not count the order.
    assert_eq!(leader.wait_for_order(1_500), Some(unload("barn-1")));
    leader.answer(&unload("barn-1"), OrderOutcome::Unchanged);
    let mut refused = 0;
    let started = leader.host.now;
    while leader.host.now.since(started) < Duration::from_secs(3) {
        match leader.wait_for_order(200) {
            Some(OrderKind::Claim) => {
                leader.answer(&OrderKind::Claim, listing(4, false, &["heat@1", "barn-2"]));
            }
            Some(kind) => {
                let order = leader.next_order().unwrap();
                assert_eq!(kind, load_adapter("barn-3"));
                if order.expected == Some(4) {
                    assert!(refused <= 6, "{refused} orders refused, four a second are enough");
                    return;
                }
                refused += 1;
                leader.submit(HostEvent::Order(order.key, OrderOutcome::Conflict));
            }
            None => {}
        }
    }
    panic!("orders still expect the wrong number");
}

/// A leader whose engine serves nothing and has no copy of any weights.
fn leader_of_an_empty_engine() -> TestLeader {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    leader.answer(&OrderKind::Claim, listing(0, false, &[]));
    leader
}

#[test]
fn can_wait_for_word_of_a_load_from_the_weight_store() {
    let mut leader = leader_of_an_empty_engine();
    leader.ask("heat");
    assert_eq!(leader.wait_for_order(1_000), Some(load("heat")));
    leader.answer(&load("heat"), OrderOutcome::Started);
    // Six seconds are declared; other loads make it slower.
    assert_eq!(leader.wait_for_order(6_000), None);
    for _ in 0..3 {
        assert_eq!(leader.wait_for_order(1_500), Some(OrderKind::Claim));
        leader.answer(&OrderKind::Claim, listing(1, true, &[]));
        assert!(leader.host.served().is_empty(), "it is not there yet");
    }
    assert_eq!(leader.wait_for_order(1_500), Some(OrderKind::Claim));
    leader.answer(&OrderKind::Claim, listing(1, false, &["heat@1"]));
    leader.pass(20);
    assert_eq!(leader.host.served().len(), 1);
}

#[test]
fn can_look_less_often_the_longer_an_engine_is_busy() {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    leader.answer(&OrderKind::Claim, listing(3, true, &[]));
    let started = leader.host.now;
    let mut looks = 0;
    while leader.host.now.since(started) < Duration::from_secs(20) {
        if leader.wait_for_order(2_000) == Some(OrderKind::Claim) {
            looks += 1;
            leader.answer(&OrderKind::Claim, listing(3, true, &[]));
        }
    }
    assert!((15..=25).contains(&looks), "{looks} looks in 20 s");
}

#[test]
fn can_load_first_from_the_weight_store_what_most_requests_wait_for() {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    // Both models are asked for before the engine says that it has neither.
    leader.ask("fan");
    for _ in 0..5 {
        leader.ask("heat");
    }
    leader.answer(&OrderKind::Claim, listing(0, false, &[]));
    assert_eq!(
        leader.wait_for_order(2_000),
        Some(load("heat")),
        "five wait for it, one for the other"
    );
}
