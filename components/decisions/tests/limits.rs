//! Limits of upstreams: who may send a request to a limited upstream, and what happens to the others.

mod support;

use std::time::Duration;

use quickcheck::quickcheck;
use support::TestHost;
use support::leader::TestLeader;
use support::leader::engine_report;
use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::Moment;
use wagtailledge_decisions::discovery::RegistryUpdate;
use wagtailledge_decisions::effect::DecisionKind;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::event::ListedState;
use wagtailledge_decisions::event::RegisteredUpstream;
use wagtailledge_decisions::event::RegistryChange;
use wagtailledge_decisions::limits::LimitAuthority;
use wagtailledge_decisions::limits::LimitEvidence;
use wagtailledge_decisions::limits::LimitNotice;
use wagtailledge_decisions::limits::LimitPhase;
use wagtailledge_decisions::limits::PERMIT_LIFETIME;
use wagtailledge_decisions::limits::PermitBucket;
use wagtailledge_decisions::limits::RequestRate;
use wagtailledge_decisions::message::EvidenceRow;
use wagtailledge_decisions::message::LeaderNotice;
use wagtailledge_decisions::message::LimitReport;
use wagtailledge_decisions::message::LimitRow;
use wagtailledge_decisions::message::LimitTable;
use wagtailledge_decisions::message::PeerMessage;
use wagtailledge_decisions::message::PermitGrant;
use wagtailledge_decisions::message::QuarantineTable;
use wagtailledge_decisions::message::StoreView;
use wagtailledge_decisions::message::TableUpdate;
use wagtailledge_decisions::message::WaitRow;
use wagtailledge_decisions::order::OrderKind;
use wagtailledge_decisions::quota::QuotaTable;
use wagtailledge_decisions::request::RefusalOutcome;
use wagtailledge_decisions::request::RefusalReason;
use wagtailledge_decisions::request::RequestRepeat;
use wagtailledge_decisions::request::RequestTarget;
use wagtailledge_inventory::UpstreamKey;

/// One request a second.
const ONE: RequestRate = RequestRate(1_000);
/// Time until the leader's deadline checks would end a request.
const DEADLINE_MS: u64 = 9_000;

/// Inventory with one pool, two models and an adapter.
const POOL_INVENTORY: &str = r#"
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
cap = 2
[[adapter]]
name = "barn-1"
base = "heat"
size = "1GiB"
class = "alarm"
"#;

/// Inventory with a plain service of two instances.
const SERVICE_INVENTORY: &str = r#"
[[class]]
name = "alarm"
rank = 0
deadline = "10s"
[[service]]
name = "vents"
class = "alarm"
[[service.instance]]
name = "vents-1"
zone = "east"
address = "127.0.0.1:9001"
slots = 4
[[service.instance]]
name = "vents-2"
zone = "east"
address = "127.0.0.1:9002"
slots = 4
"#;

/// Says that the only engine of the host limits requests, in the answer to a request sent now.
fn name_limit(host: &mut TestHost, notice: LimitNotice) {
    let engine = host.reducer.catalog().upstream_named("llm").unwrap();
    host.submit(HostEvent::LimitStatement(engine, host.now, notice));
}

/// Latest report of the host about limits.
fn last_report(host: &TestHost) -> LimitReport {
    let report = |effect: &HostEffect| match effect {
        HostEffect::Send(_, message) => match message.as_ref() {
            PeerMessage::Demand(notice) => Some(notice.limits.clone()),
            _ => None,
        },
        _ => None,
    };
    host.effects.iter().rev().find_map(report).expect("the host reported")
}

/// A grant of the leader of [`TestHost::new`].
fn grant(report: u64, serial: u64) -> PeerMessage {
    PeerMessage::Permit(PermitGrant {
        epoch: 1,
        upstream: "llm".to_owned(),
        started_ms: 0,
        report,
        serial,
        count: 1,
    })
}

/// What the leader publishes about the limit of the host's only engine, in phase 1 of epoch 1, having
/// applied the report with the number `report`.
fn limit_table(version: u64, report: u64, rate: Option<RequestRate>) -> LimitTable {
    let phase = Some(LimitPhase(1, 1));
    let row = LimitRow { upstream: "llm".to_owned(), rate, phase, ..LimitRow::default() };
    LimitTable { grants: true, rows: vec![row], waits: Vec::new(), version, report }
}

/// A notice of the leader of [`TestHost::new`] with what it publishes about limits.
fn leader_notice(limits: LimitTable) -> LeaderNotice {
    LeaderNotice {
        epoch: 1,
        successors: Vec::new(),
        revision: 1,
        update: TableUpdate { table: 1, since: 3, version: 3, rows: Vec::new() },
        registry: RegistryUpdate::default(),
        declined: Vec::new(),
        limits,
        quarantine: QuarantineTable::default(),
        quota: QuotaTable::default(),
        hosts: 0,
        lease: None,
        store: StoreView::default(),
        outages: Vec::new(),
    }
}

/// A host that knows the limit of its only engine, with one request that waits for a permit.
fn waiting_host() -> TestHost {
    let mut host = TestHost::new();
    name_limit(&mut host, LimitNotice::Limited(ONE));
    host.request_model("heat", 1, DEADLINE_MS);
    host.advance(10);
    assert!(host.dispatches().is_empty(), "sent without a permit");
    host
}

#[test]
fn can_send_a_request_to_a_limited_engine_with_a_permit_only() {
    let mut host = waiting_host();
    let report = last_report(&host);
    assert_eq!(report.rows[0].rate, Some(ONE));
    assert_eq!((report.wants[0].count, report.wants[0].rank), (1, 0));
    host.receive(grant(report.number, 1));
    assert_eq!(host.dispatches().len(), 1);
    host.request_model("heat", 1, DEADLINE_MS);
    host.receive(grant(report.number, 1));
    assert_eq!(host.dispatches().len(), 1, "a repeated grant counts once");
    host.receive(grant(last_report(&host).number, 2));
    assert_eq!(host.dispatches().len(), 2);
}

#[test]
fn can_ignore_permits_that_come_late_or_from_a_former_leader() {
    let mut host = waiting_host();
    let report = last_report(&host);
    host.advance(PERMIT_LIFETIME.as_millis() as u64);
    host.receive(grant(report.number, 1));
    assert!(host.dispatches().is_empty(), "the permit has expired");
    let number = last_report(&host).number;
    host.receive(PeerMessage::Permit(PermitGrant {
        epoch: 0,
        upstream: "llm".to_owned(),
        started_ms: 0,
        report: number,
        serial: 2,
        count: 1,
    }));
    assert!(host.dispatches().is_empty(), "the epoch is over");
}

#[test]
fn can_count_retries_and_continuations_towards_the_limit() {
    let mut host = waiting_host();
    host.receive(grant(last_report(&host).number, 1));
    for outcome in [AttemptOutcome::Broken, AttemptOutcome::NotRun { misplaced: false }] {
        let sent = host.dispatches().len();
        host.end_attempt(sent - 1, outcome);
        host.advance(1_500);
        assert_eq!(host.dispatches().len(), sent, "sent again without a permit");
        host.receive(grant(last_report(&host).number, sent as u64 + 1));
        assert_eq!(host.dispatches().len(), sent + 1);
    }
}

#[test]
fn can_keep_a_limit_that_an_earlier_request_does_not_know() {
    let mut host = TestHost::new();
    let engine = host.reducer.catalog().upstream_named("llm").unwrap();
    let dispatched = host.now;
    host.advance(10);
    name_limit(&mut host, LimitNotice::Limited(ONE));
    host.advance(10);
    host.submit(HostEvent::LimitStatement(engine, dispatched, LimitNotice::Unlimited));
    host.request_model("heat", 1, DEADLINE_MS);
    assert!(host.dispatches().is_empty(), "the answer is older than the limit");
    let number = last_report(&host).number;
    host.receive(PeerMessage::Leader(leader_notice(limit_table(1, number, Some(ONE)))));
    host.submit(HostEvent::LimitStatement(engine, dispatched, LimitNotice::Unlimited));
    host.advance(1_000);
    assert_eq!(last_report(&host).evidence, [], "the answer is older than the phase");
    name_limit(&mut host, LimitNotice::Unlimited);
    host.advance(10);
    let phase = LimitPhase(1, 1);
    let evidence = EvidenceRow { upstream: "llm".to_owned(), started_ms: 0, phase, raised: None };
    assert_eq!(last_report(&host).evidence, [evidence]);
    assert!(host.dispatches().is_empty(), "only the leader decides");
    host.receive(PeerMessage::Leader(leader_notice(limit_table(2, number, None))));
    assert_eq!(host.dispatches().len(), 1, "the limit is over");
}

#[test]
fn can_keep_a_limit_that_its_leader_did_not_know_when_it_published_the_end() {
    let mut host = waiting_host();
    let number = last_report(&host).number;
    host.receive(PeerMessage::Leader(leader_notice(limit_table(7, 0, None))));
    host.advance(1_000);
    assert!(host.dispatches().is_empty(), "the leader has not applied the report");
    assert_eq!(last_report(&host).rows[0].rate, Some(ONE), "still reported");
    host.receive(PeerMessage::Leader(leader_notice(limit_table(8, number, None))));
    assert_eq!(host.dispatches().len(), 1, "the leader has applied the report");
    name_limit(&mut host, LimitNotice::Limited(ONE));
    host.request_model("heat", 1, DEADLINE_MS);
    assert_eq!(host.dispatches().len(), 1, "named again");
}

#[test]
fn can_keep_a_limit_that_was_named_again_before_its_published_end_arrived() {
    for named_again in [false, true] {
        let mut host = waiting_host();
        let number = last_report(&host).number;
        host.receive(PeerMessage::Leader(leader_notice(limit_table(1, number, Some(ONE)))));
        if named_again {
            name_limit(&mut host, LimitNotice::Limited(ONE));
        }
        host.receive(PeerMessage::Leader(leader_notice(limit_table(9, number, None))));
        assert_eq!(host.dispatches().is_empty(), named_again);
        host.advance(1_000);
        let reported = last_report(&host);
        if named_again {
            assert_eq!(reported.rows[0].rate, Some(ONE), "reported again");
        }
        let end = limit_table(9, reported.number, None);
        host.receive(PeerMessage::Leader(leader_notice(end)));
        assert_eq!(host.dispatches().len(), 1, "the leader has applied the report");
    }
}

#[test]
fn can_ignore_a_publication_that_a_later_one_has_overtaken() {
    let mut host = waiting_host();
    let number = last_report(&host).number;
    host.receive(PeerMessage::Leader(leader_notice(limit_table(3, number, Some(ONE)))));
    host.receive(PeerMessage::Leader(leader_notice(limit_table(2, number, None))));
    assert!(host.dispatches().is_empty());
}

#[test]
fn can_report_a_limit_again_to_the_next_leader() {
    let mut host = waiting_host();
    let number = last_report(&host).number;
    host.receive(PeerMessage::Leader(leader_notice(limit_table(1, number, Some(ONE)))));
    host.advance(1_000);
    assert_eq!(last_report(&host).rows, [], "the leader has it");
    let next = LeaderNotice { epoch: 2, ..leader_notice(LimitTable::default()) };
    host.receive(PeerMessage::Leader(next));
    host.advance(1_000);
    assert_eq!(last_report(&host).rows[0].rate, Some(ONE));
    assert!(host.dispatches().is_empty(), "the new leader has published nothing");
}

#[test]
fn can_drop_permits_that_were_granted_when_a_limit_seemed_to_be_ending() {
    let mut host = waiting_host();
    let number = last_report(&host).number;
    let mut eased = limit_table(1, number, Some(ONE));
    eased.rows[0].eased = true;
    host.receive(PeerMessage::Leader(leader_notice(eased)));
    host.advance(500);
    let report = last_report(&host).number;
    name_limit(&mut host, LimitNotice::Limited(ONE));
    host.receive(grant(report, 1));
    assert!(host.dispatches().is_empty(), "granted before the leader knew");
    host.advance(10);
    host.receive(grant(last_report(&host).number, 2));
    assert_eq!(host.dispatches().len(), 1);
}

/// Key of an upstream, for tests of states that are kept by upstream.
fn upstream_key() -> UpstreamKey {
    TestHost::new().reducer.catalog().upstream_named("llm").unwrap()
}

/// Evidence that the present phase of the limit is over.
fn evidence(authority: &LimitAuthority, key: UpstreamKey) -> LimitEvidence {
    let phase = authority.published(key).and_then(|limit| limit.phase).expect("a phase");
    LimitEvidence { phase, raised: None }
}

fn granted(authority: &LimitAuthority) -> Vec<u64> {
    authority.granted().map(|(_, rate)| rate.0).collect()
}

#[test]
fn can_end_a_limit_only_step_by_step() {
    let key = upstream_key();
    let mut authority = LimitAuthority::new(1);
    authority.name(key, ONE);
    for rate in [1_000, 1_000, 2_000, 4_000, 8_000, 16_000] {
        assert_eq!(granted(&authority), [rate]);
        let unnamed = evidence(&authority, key);
        assert!(authority.ease(key, unnamed));
        assert!(!authority.ease(key, unnamed), "the phase is over");
    }
    assert_eq!(authority.published(key).unwrap().rate, None);
    authority.name(key, ONE);
    assert_eq!(granted(&authority), [1_000], "named again");
}

#[test]
fn can_return_to_a_limit_at_once_when_it_is_named_while_it_ends() {
    let key = upstream_key();
    let mut authority = LimitAuthority::new(1);
    authority.name(key, ONE);
    for _ in 0..3 {
        assert!(authority.ease(key, evidence(&authority, key)));
    }
    let late = evidence(&authority, key);
    authority.name(key, RequestRate(4_000));
    assert_eq!(granted(&authority), [1_000], "a higher limit raises nothing without evidence");
    assert!(!authority.ease(key, late), "the evidence is older than the last naming");
    let raised = Some(RequestRate(4_000));
    assert!(authority.ease(key, LimitEvidence { raised, ..evidence(&authority, key) }));
    assert_eq!(granted(&authority), [4_000]);
    authority.name(key, RequestRate(500));
    assert_eq!(granted(&authority), [500], "a lower limit applies at once");
}

#[test]
fn can_refuse_at_once_when_a_permit_would_come_too_late() {
    let mut host = waiting_host();
    let row = LimitRow { upstream: "llm".to_owned(), rate: Some(ONE), ..LimitRow::default() };
    let limits = LimitTable {
        grants: true,
        rows: vec![row],
        waits: vec![WaitRow("llm".to_owned(), vec![(0, 2_000), (5, 7_000)])],
        ..LimitTable::default()
    };
    host.receive(PeerMessage::Leader(leader_notice(limits)));
    assert!(host.refusals().is_empty(), "the permit comes in time");
    let summary = host.request_model("flock", 2, 6_000);
    let alarm = host.request_model("heat", 3, 6_000);
    let refusal = (summary, RefusalOutcome::NotRun, RefusalReason::UpstreamLimit);
    assert_eq!(host.refusals(), [refusal], "the alarm {alarm} waits, the summary cannot");
    let retry_after = host.effects.iter().find_map(|effect| match effect {
        HostEffect::Refuse(_, refusal) => Some(refusal.retry_after),
        _ => None,
    });
    assert_eq!(retry_after, Some(Duration::from_secs(7)), "when the permits before it are used");
}

#[test]
fn can_send_commands_to_an_instance_of_a_plain_service_within_its_limit() {
    let mut host = TestHost::with_inventory(SERVICE_INVENTORY);
    let service = host.reducer.catalog().services.keys().next().unwrap();
    let instance = host.reducer.catalog().upstream_named("vents-1").unwrap();
    let named = LimitNotice::Limited(ONE);
    host.submit(HostEvent::LimitStatement(instance, host.now, named));
    let target = RequestTarget::Service(service);
    for _ in 0..6 {
        host.submit_request(target, RequestRepeat::Unkeyed, 1, DEADLINE_MS);
    }
    let sent_to = |effect: &HostEffect| match effect {
        HostEffect::Dispatch { upstream, .. } => Some(*upstream),
        _ => None,
    };
    let upstreams: Vec<_> = host.effects.iter().filter_map(sent_to).collect();
    assert_eq!(upstreams.len(), 4, "the slots of the other instance");
    assert!(!upstreams.contains(&instance));
}

/// Registers an engine of the pool.
fn engine(name: &str, address: &str) -> HostEvent {
    HostEvent::Registry(vec![RegistryChange::Present(Box::new(RegisteredUpstream {
        name: name.to_owned(),
        service: "llm".to_owned(),
        scope: "east".to_owned(),
        zone: "east".to_owned(),
        address: address.to_owned(),
        software: "v1".to_owned(),
        slots: 64,
        started_ms: 1,
        state: ListedState::Live,
        remaining: None,
        revision: 2,
        report: None,
    }))])
}

#[test]
fn can_load_elsewhere_what_more_requests_wait_for_than_a_limit_allows() {
    let mut leader = TestLeader::with_engine(POOL_INVENTORY, "llm");
    leader.answer(&OrderKind::Claim, engine_report(1, false, &["heat@1", "barn-1"]));
    leader.submit(engine("llm-2", "127.0.0.1:9002"));
    leader.advance(50);
    leader.answer(&OrderKind::Claim, engine_report(1, false, &["heat@1"]));
    let limited = leader.host.reducer.catalog().upstream_named("llm-1").unwrap();
    let notice = LimitNotice::Limited(ONE);
    leader.submit(HostEvent::LimitStatement(limited, leader.host.now, notice));
    assert_eq!(leader.wait_for_order(100), None, "no request waits");
    for _ in 0..3 {
        leader.request_model("barn-1");
    }
    let load = OrderKind::LoadAdapter {
        asset: "barn-1".to_owned(),
        base: "heat@1".to_owned(),
        bytes: 1 << 30,
    };
    assert_eq!(leader.wait_for_order(1_000), Some(load));
    let order = leader.next_order().unwrap();
    let other = leader.host.reducer.catalog().upstream_named("llm-2").unwrap();
    assert_eq!(order.upstream, other, "the engine without a limit");
}

#[test]
fn can_grant_permits_to_other_hosts_by_rank_and_deadline() {
    let mut leader = TestLeader::with_engine(POOL_INVENTORY, "llm");
    leader.answer(&OrderKind::Claim, engine_report(1, false, &["heat@1"]));
    let limited = leader.host.reducer.catalog().upstream_named("llm-1").unwrap();
    let notice = LimitNotice::Limited(ONE);
    leader.submit(HostEvent::LimitStatement(limited, leader.host.now, notice));
    let wants = [("east-2", 5, 2_000), ("east-3", 0, 9_000), ("east-4", 0, 6_000)];
    let mut granted = Vec::new();
    for step in 0..320 {
        if step % 40 == 0 {
            for (name, rank, slack_ms) in wants {
                let count = u32::from(!granted.contains(&name.to_owned()));
                leader.host.report_wants(name, "llm-1", rank, count, slack_ms);
            }
        }
        let before = leader.host.effects.len();
        leader.advance(10);
        let award = |effect: &HostEffect| match effect {
            HostEffect::Send(to, message) if matches!(**message, PeerMessage::Permit(_)) => {
                Some(to.name.clone())
            }
            _ => None,
        };
        granted.extend(leader.host.effects[before..].iter().filter_map(award));
    }
    assert_eq!(granted, ["east-4", "east-3", "east-2"], "one each second");
}

quickcheck! {
    fn can_keep_permits_within_the_rate(rate: u16, pauses: Vec<u16>) -> bool {
        let rate = RequestRate(u64::from(rate) + 100);
        let start = Moment(1_000_000);
        let mut bucket = PermitBucket::new(start, rate);
        let (mut now, mut taken) = (start, 0_u64);
        for pause in pauses {
            now = now.after(Duration::from_millis(u64::from(pause % 3_000)));
            while bucket.try_take(now) {
                taken += 1;
            }
        }
        // In billionths of a permit.
        taken * 1_000_000_000 <= now.since(start).as_micros() as u64 * rate.0
    }
}

#[test]
fn can_log_what_a_limit_was_based_on() {
    let mut host = TestHost::new();
    name_limit(&mut host, LimitNotice::Limited(ONE));
    let row = LimitRow { upstream: "llm".to_owned(), ..LimitRow::default() };
    host.advance(20);
    host.receive(PeerMessage::Leader(leader_notice(LimitTable {
        grants: true,
        rows: vec![row],
        waits: Vec::new(),
        ..LimitTable::default()
    })));
    let limit = |effect: &HostEffect| match effect {
        HostEffect::LogDecision(record) if record.kind == DecisionKind::Limit => {
            Some(record.inputs.clone())
        }
        _ => None,
    };
    let inputs: Vec<String> = host.effects.iter().filter_map(limit).collect();
    assert_eq!(
        inputs,
        ["process 0, request sent 0 ms before", "process 0, from east-2, version 0"]
    );
}
