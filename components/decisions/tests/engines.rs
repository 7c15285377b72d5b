//! How a leader infers the state of an engine from its answers, and which orders the leader sends.

mod support;

use std::time::Duration;

use support::leader::TestLeader;
use support::leader::engine_entry;
use support::leader::engine_report;
use support::leader::engine_report_of;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::TimingRules;
use wagtailledge_decisions::event::RegistryChange;
use wagtailledge_decisions::order::EngineReport;
use wagtailledge_decisions::order::OrderKind;
use wagtailledge_decisions::order::OrderOutcome;
use wagtailledge_decisions::order::WeightCopies;

/// Inventory of three models, of which two fit an engine, and a pool with two adapter slots.
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
fn can_send_a_load_as_soon_as_an_engine_is_idle() {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    // An order of the previous leader is still in progress.
    leader.answer(&OrderKind::Claim, engine_report(3, true, &["heat@1"]));
    assert_eq!(leader.wait_for_order(300), Some(OrderKind::Claim));
    leader.answer(&OrderKind::Claim, engine_report(3, true, &["heat@1"]));
    assert_eq!(leader.wait_for_order(300), Some(OrderKind::Claim));
    leader.answer(&OrderKind::Claim, engine_report(3, false, &["heat@1"]));
    leader.request_model("flock");
    assert_eq!(leader.wait_for_order(300), Some(load("flock")));
}

#[test]
fn can_send_no_load_while_the_work_of_an_engine_is_unknown() {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    leader.answer(&OrderKind::Claim, engine_report(3, true, &["heat@1"]));
    leader.request_model("fan");
    // The engine may be loading any asset, so it gets no load until it is idle.
    assert_eq!(leader.wait_for_order(300), Some(OrderKind::Claim));
    leader.answer(&OrderKind::Claim, OrderOutcome::Lost);
    assert_eq!(leader.wait_for_order(2_000), Some(OrderKind::Claim), "no load order");
    leader.answer(&OrderKind::Claim, engine_report(3, false, &["heat@1", "flock@1"]));
    assert_eq!(leader.wait_for_order(3_000), None, "no memory left for the model");
}

#[test]
fn can_count_an_adapter_until_its_unload_is_complete() {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    leader.answer(&OrderKind::Claim, engine_report(0, false, &["heat@1", "barn-1", "barn-2"]));
    leader.advance(6_000);
    leader.request_model("barn-3");
    assert_eq!(leader.wait_for_order(1_500), Some(unload("barn-1")));
    // The adapter is in use, so its slot becomes free only later.
    leader.answer(&unload("barn-1"), OrderOutcome::Started);
    leader.request_model("flock");
    assert_eq!(leader.wait_for_order(1_500), Some(load("flock")));
    leader.answer(&load("flock"), OrderOutcome::Started);
    while let Some(kind) = leader.wait_for_order(1_000) {
        assert_ne!(kind, load_adapter("barn-3"), "both adapter slots are still in use");
        leader.answer(&kind, OrderOutcome::Conflict);
    }
}

#[test]
fn can_accept_a_report_with_fewer_orders_than_expected() {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    leader.answer(&OrderKind::Claim, engine_report(4, false, &["heat@1", "barn-1", "barn-2"]));
    leader.advance(6_000);
    leader.request_model("barn-3");
    // The adapter was unloaded already, so the engine did not count the order.
    assert_eq!(leader.wait_for_order(1_500), Some(unload("barn-1")));
    leader.answer(&unload("barn-1"), OrderOutcome::Unchanged);
    let mut refused = 0;
    let started = leader.host.now;
    while leader.host.now.since(started) < Duration::from_secs(3) {
        match leader.wait_for_order(200) {
            Some(OrderKind::Claim) => {
                leader.answer(&OrderKind::Claim, engine_report(4, false, &["heat@1", "barn-2"]));
            }
            Some(kind) => {
                let order = leader.next_order().unwrap();
                assert_eq!(kind, load_adapter("barn-3"));
                if order.expected == Some(4) {
                    assert!(refused <= 6, "{refused} orders refused, four a second are enough");
                    return;
                }
                refused += 1;
                leader.submit(HostEvent::OrderOutcome(order.key, OrderOutcome::Conflict));
            }
            None => {}
        }
    }
    panic!("orders still expect the wrong number of accepted orders");
}

/// Leader whose engine has no resident assets and no copies of weights.
fn leader_with_empty_engine() -> TestLeader {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    leader.answer(&OrderKind::Claim, engine_report(0, false, &[]));
    leader
}

#[test]
fn can_wait_until_an_engine_reports_a_load_from_the_weight_store() {
    let mut leader = leader_with_empty_engine();
    leader.request_model("heat");
    assert_eq!(leader.wait_for_order(1_000), Some(load("heat")));
    leader.answer(&load("heat"), OrderOutcome::Started);
    // The inventory declares six seconds; concurrent loads may make the load slower.
    assert_eq!(leader.wait_for_order(6_000), None);
    for _ in 0..3 {
        assert_eq!(leader.wait_for_order(1_500), Some(OrderKind::Claim));
        leader.answer(&OrderKind::Claim, engine_report(1, true, &[]));
        assert!(leader.host.dispatched_tickets().is_empty(), "the model is not ready yet");
    }
    assert_eq!(leader.wait_for_order(1_500), Some(OrderKind::Claim));
    leader.answer(&OrderKind::Claim, engine_report(1, false, &["heat@1"]));
    leader.advance(20);
    assert_eq!(leader.host.dispatched_tickets().len(), 1);
}

#[test]
fn can_claim_less_often_the_longer_an_engine_is_busy() {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    leader.answer(&OrderKind::Claim, engine_report(3, true, &[]));
    let started = leader.host.now;
    let mut claims = 0;
    while leader.host.now.since(started) < Duration::from_secs(20) {
        if leader.wait_for_order(2_000) == Some(OrderKind::Claim) {
            claims += 1;
            leader.answer(&OrderKind::Claim, engine_report(3, true, &[]));
        }
    }
    assert!((15..=25).contains(&claims), "{claims} claims in 20 s");
}

#[test]
fn can_load_the_model_with_most_waiting_requests_first_from_the_weight_store() {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    // Both models are requested before the engine reports that neither is resident.
    leader.request_model("fan");
    for _ in 0..5 {
        leader.request_model("heat");
    }
    leader.answer(&OrderKind::Claim, engine_report(0, false, &[]));
    assert_eq!(
        leader.wait_for_order(2_000),
        Some(load("heat")),
        "five requests wait for it, one for the other"
    );
}

/// Guards against orders and claims in turns, without a pause, while reports are older than a lost order.
#[test]
fn can_pause_between_repeats_of_a_lost_order_that_the_engine_refuses() {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    let copies = Some(WeightCopies { in_memory: vec!["flock@1".to_owned()], on_disk: Vec::new() });
    let report = EngineReport { copies, ..engine_report_of(0, false, &["heat@1"]) };
    leader.answer(&OrderKind::Claim, OrderOutcome::Accepted(report.clone()));
    leader.request_model("flock");
    assert_eq!(leader.wait_for_order(1_000), Some(load("flock")));
    leader.answer(&load("flock"), OrderOutcome::Started);
    leader.request_model("barn-1");
    assert_eq!(leader.wait_for_order(900), Some(load_adapter("barn-1")));
    leader.answer(&load_adapter("barn-1"), OrderOutcome::Lost);
    let mut orders = 0;
    let started = leader.host.now;
    while leader.host.now.since(started) < Duration::from_millis(200) {
        while let Some(order) = leader.next_order() {
            orders += 1;
            assert!(orders < 20, "{orders} orders and claims in 200 ms");
            // The engine has carried the order out, and its report is older than the one before.
            let outcome = match order.kind {
                OrderKind::Claim => OrderOutcome::Accepted(report.clone()),
                _ => OrderOutcome::Conflict,
            };
            leader.submit(HostEvent::OrderOutcome(order.key, outcome));
        }
        leader.advance(10);
    }
}

/// Report of an engine that does not count orders.
fn uncounted_report(assets: &[&str]) -> OrderOutcome {
    match engine_report(0, false, assets) {
        OrderOutcome::Accepted(report) => {
            OrderOutcome::Accepted(EngineReport { sequence: None, ..report })
        }
        other => other,
    }
}

/// Removes the entry of the engine and writes it again for the same process.
fn lapse_entry(leader: &mut TestLeader, revision: u64) {
    let change = RegistryChange::Absent("llm-1".to_owned(), revision);
    leader.submit(HostEvent::Registry(vec![change]));
    leader.advance(500);
    leader.submit(engine_entry(revision + 1));
}

#[test]
fn can_keep_the_fencing_term_of_an_engine_whose_entry_lapsed_and_returned() {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    leader.answer(&OrderKind::Claim, uncounted_report(&[]));
    leader.request_model("heat");
    assert_eq!(leader.wait_for_order(1_000), Some(load("heat")));
    let lost = leader.next_order().unwrap();
    leader.submit(HostEvent::OrderOutcome(lost.key, OrderOutcome::Lost));
    lapse_entry(&mut leader, 2);
    assert_eq!(leader.wait_for_order(5_000), Some(OrderKind::Claim));
    let claim = leader.next_order().unwrap();
    assert!(claim.token > lost.token, "the engine would still carry out the lost order");
}

#[test]
fn can_wait_for_a_lost_order_of_an_engine_whose_entry_lapsed_and_returned() {
    let inventory = INVENTORY.replace("checks_tokens = true", "checks_tokens = false");
    for lost_meanwhile in [false, true] {
        let mut leader = TestLeader::with_engine(&inventory, "llm");
        leader.answer(&OrderKind::Claim, uncounted_report(&[]));
        leader.request_model("heat");
        assert_eq!(leader.wait_for_order(1_000), Some(load("heat")));
        let order = leader.next_order().unwrap();
        if !lost_meanwhile {
            leader.submit(HostEvent::OrderOutcome(order.key, OrderOutcome::Lost));
        }
        let lost_at = leader.host.now;
        lapse_entry(&mut leader, 2);
        if lost_meanwhile {
            leader.submit(HostEvent::OrderOutcome(order.key, OrderOutcome::Lost));
        }
        assert_eq!(leader.wait_for_order(8_000), Some(OrderKind::Claim));
        let waited = leader.host.now.since(lost_at);
        let lifetime = TimingRules::default().order_lifetime;
        assert!(waited >= lifetime, "claimed {waited:?} after the order was lost");
    }
}
