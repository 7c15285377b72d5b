//! Tests of a lease whose holder or successors were replaced by other processes of the same hosts.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use support::TestHost;
use support::identity;
use support::leader::TestLeader;
use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::HostIdentity;
use wagtailledge_decisions::Moment;
use wagtailledge_decisions::TimingRules;
use wagtailledge_decisions::effect::DecisionKind;
use wagtailledge_decisions::event::ListedHost;
use wagtailledge_decisions::event::ListedProcess;
use wagtailledge_decisions::event::ListedState;
use wagtailledge_decisions::lease::LeaseRecord;
use wagtailledge_decisions::message::MESSAGE_VERSION;
use wagtailledge_decisions::message::PeerEnvelope;
use wagtailledge_decisions::message::PeerMessage;

/// Version of the lease record in the key-value service.
const RECORD_VERSION: u64 = 100;
/// Incarnation of the processes that the record names.
const NAMED: u64 = 1;
/// Incarnation of a later process of the same host.
const LATER: u64 = 2;
/// Time between two reads of the host list.
const LIST_INTERVAL_MS: u64 = 1_000;
/// Time after which the lease record of a silent holder has expired and releases were requested.
const RELEASE_WAIT_MS: u64 = 8_000;
/// Number of reads of the host list until a takeover that did not happen counts as barred.
const LIST_READS: u64 = 30;

/// Record of the holder `east-2` with the successors `east-3` and `east-4`.
fn record() -> LeaseRecord {
    LeaseRecord {
        holder: identity("east-2"),
        epoch: 1,
        renewals: 9,
        successors: vec![identity("east-3"), identity("east-4")],
        ended: false,
    }
}

/// Entry of a host that a process wrote.
fn entry(name: &str, incarnation: u64, version: u64) -> ListedHost {
    let HostIdentity { name, zone, scope, address, .. } = identity(name);
    ListedHost {
        name,
        zone,
        scope,
        peer_address: address,
        capacity: 0,
        state: ListedState::Live,
        process: Some(ListedProcess { incarnation, version }),
    }
}

/// Host `east-1`, which knows the lease record and hears from no other host.
fn candidate(timing: TimingRules) -> TestLeader {
    candidate_of(timing, &record())
}

/// The same with another lease record.
fn candidate_of(timing: TimingRules, record: &LeaseRecord) -> TestLeader {
    let mut leader = TestLeader::of_host(TestHost::with_timing(support::INVENTORY, timing));
    for _ in 1..RECORD_VERSION {
        leader.store_value("other", "");
    }
    leader.store_value("lease/east", &record.to_value());
    leader.submit(HostEvent::Lease(RECORD_VERSION, record.to_value()));
    leader
}

/// Reads a host list that was requested at `requested`.
fn read_list(leader: &mut TestLeader, requested: Moment, entries: &[ListedHost]) {
    leader.submit(HostEvent::Members(entries.to_vec()));
    leader.submit(HostEvent::StoreSeen(requested));
}

/// Time until the candidate takes over if the host list has these entries; `None` if it does not.
fn takeover_time(entries: &[ListedHost]) -> Option<Duration> {
    let mut leader = candidate(TimingRules::default());
    let started = leader.host.now;
    for _ in 0..LIST_READS {
        let requested = leader.host.now;
        read_list(&mut leader, requested, entries);
        for _ in 0..LIST_INTERVAL_MS / 10 {
            leader.advance(10);
            if leader.host.reducer.has_authority(leader.host.now) {
                return Some(leader.host.now.since(started));
            }
        }
    }
    None
}

/// Longest time until a takeover: the lease and the promises end, then jitter and the calls.
fn takeover_limit() -> Duration {
    let timing = TimingRules::default();
    let promise = timing.promise_ttl + timing.lease_margin;
    (timing.lease_ttl + timing.lease_margin).max(promise) + Duration::from_secs(2)
}

/// Guards against a scope without a leader after its holder came back as another process, which does not
/// stand for the lease, while its successors are gone.
#[test]
fn can_take_over_when_the_holder_is_listed_as_another_process() {
    let took = takeover_time(&[entry("east-2", LATER, RECORD_VERSION + 1)]);
    assert!(took.is_some_and(|took| took <= takeover_limit()), "{took:?}");
}

/// Guards against a wait for a successor that came back as another process and cannot be reached.
#[test]
fn can_take_over_when_a_successor_is_listed_as_another_process() {
    let holder = entry("east-2", NAMED, RECORD_VERSION - 1);
    let took = takeover_time(&[holder, entry("east-4", LATER, RECORD_VERSION + 1)]);
    assert!(took.is_some_and(|took| took <= takeover_limit()), "{took:?}");
}

/// Guards against two leaders: none of these lists shows that a process which the record names has ended.
#[test]
fn can_wait_while_the_processes_that_the_record_names_may_run() {
    let same_process = entry("east-2", NAMED, RECORD_VERSION + 1);
    let leftover = entry("east-2", LATER, RECORD_VERSION - 1);
    let unknown = ListedHost { process: None, ..entry("east-2", NAMED, 0) };
    for entries in [vec![same_process], vec![leftover], vec![unknown], Vec::new()] {
        assert_eq!(takeover_time(&entries), None, "{entries:?}");
    }
}

/// Guards against a takeover while a promise holds that the replaced successor gave: the list was
/// requested long before it arrived.
#[test]
fn can_wait_for_the_promises_of_a_successor_that_was_replaced() {
    let timing = TimingRules::default();
    let mut leader = candidate(timing.clone());
    let requested = leader.host.now;
    leader.advance((timing.lease_ttl + timing.lease_margin).as_millis() as u64);
    let arrived = leader.host.now;
    let entries =
        [entry("east-2", NAMED, RECORD_VERSION - 1), entry("east-3", LATER, RECORD_VERSION + 1)];
    read_list(&mut leader, requested, &entries);
    while !leader.host.reducer.has_authority(leader.host.now) {
        leader.advance(10);
        assert!(leader.host.now.since(arrived) < takeover_limit(), "no takeover");
    }
    assert!(leader.host.now.since(arrived) >= timing.promise_ttl + timing.lease_margin);
}

/// Process of the host `name`.
fn process(name: &str, incarnation: u64) -> HostIdentity {
    HostIdentity { incarnation, ..identity(name) }
}

/// Passes a message of the process `from` to the candidate.
fn receive(leader: &mut TestLeader, from: HostIdentity, message: PeerMessage) {
    let envelope = PeerEnvelope { version: MESSAGE_VERSION, from, message };
    leader.submit(HostEvent::Peer(Box::new(envelope)));
}

/// Hosts that the candidate has asked to release the record, and their addresses.
fn asked_hosts(leader: &TestLeader) -> BTreeSet<(String, String)> {
    let asked = |effect: &HostEffect| match effect {
        HostEffect::Send(to, message) => {
            let is_request = matches!(**message, PeerMessage::PromiseReleaseRequest { .. });
            is_request.then(|| (to.name.clone(), to.address.clone()))
        }
        _ => None,
    };
    leader.host.effects.iter().filter_map(asked).collect()
}

/// Candidate whose lease record has expired, so that it waits for a release.
fn waiting_candidate() -> TestLeader {
    let mut leader = candidate(TimingRules::default());
    leader.advance(RELEASE_WAIT_MS);
    assert!(!leader.host.reducer.has_authority(leader.host.now));
    leader
}

/// Whether the candidate leads soon after the process `from` has released this version of the record.
fn leads_after_release(from: HostIdentity, version: u64) -> bool {
    let mut leader = waiting_candidate();
    receive(&mut leader, from, PeerMessage::PromiseReleased { epoch: 1, version });
    leader.advance(RELEASE_WAIT_MS / 2);
    leader.host.reducer.has_authority(leader.host.now)
}

/// Guards against a wait for a holder whose host answers as another process, where the platform does not
/// list processes, and against two leaders.
#[test]
fn can_take_over_by_a_release_of_the_process_that_replaced_the_holder() {
    assert!(leads_after_release(process("east-2", LATER), RECORD_VERSION));
    let holder = process("east-2", NAMED);
    assert!(!leads_after_release(holder, RECORD_VERSION), "the holder itself released its lease");
    let other = process("east-5", LATER);
    assert!(!leads_after_release(other, RECORD_VERSION), "a host that the record does not name");
    let later = process("east-2", LATER);
    assert!(!leads_after_release(later, RECORD_VERSION - 1), "a release of another version");
}

/// Guards against requests for a release to addresses at which nobody listens any more.
#[test]
fn can_ask_for_a_release_at_the_latest_address_of_a_host() {
    let mut leader = candidate(TimingRules::default());
    let moved = HostIdentity { address: "elsewhere:1".to_owned(), ..process("east-3", LATER) };
    receive(&mut leader, moved, PeerMessage::StreamOrigins(Vec::new()));
    leader.advance(RELEASE_WAIT_MS);
    let expected = [("east-2", "east-2:1"), ("east-3", "elsewhere:1"), ("east-4", "east-4:1")];
    let expected = expected.map(|(name, address)| (name.to_owned(), address.to_owned()));
    assert_eq!(asked_hosts(&leader), BTreeSet::from(expected));
}

/// Guards against a holder that lets another host take its lease over.
#[test]
fn can_hold_a_lease_without_releasing_it_to_a_candidate() {
    let mut leader = TestLeader::of_host(TestHost::with_inventory(support::INVENTORY));
    leader.advance(RELEASE_WAIT_MS);
    let epoch = leader.host.reducer.status(leader.host.now).epoch;
    let (version, _) = leader.stored("lease/east").expect("the host holds the lease");
    let request = PeerMessage::PromiseReleaseRequest { epoch, version };
    receive(&mut leader, identity("east-2"), request);
    let releases = |effect: &HostEffect| {
        matches!(effect, HostEffect::Send(_, message)
            if matches!(**message, PeerMessage::PromiseReleased { .. }))
    };
    assert!(!leader.host.effects.iter().any(releases));
}

/// Time until the host `east-1` takes over from the process `holder`, whose record it reads after `before`,
/// the first one that it sees.
fn time_to_replace(before: &LeaseRecord, holder: HostIdentity) -> Duration {
    let mut leader = candidate_of(TimingRules::default(), before);
    leader.advance(10);
    let record = LeaseRecord { holder, successors: Vec::new(), ..record() };
    leader.store_value("lease/east", &record.to_value());
    let (version, value) = leader.stored("lease/east").expect("a record was stored");
    leader.submit(HostEvent::Lease(version, value));
    let started = leader.host.now;
    while !leader.host.reducer.has_authority(leader.host.now) {
        leader.advance(10);
        assert!(leader.host.now.since(started) < takeover_limit(), "no takeover");
    }
    leader.host.now.since(started)
}

/// Guards against two leaders: a process that still runs, though another one was started in its place, takes
/// the lease of that one for that of an earlier process.
#[test]
fn can_wait_for_the_lease_of_a_process_that_was_started_later() {
    let timing = TimingRules::default();
    let lease = timing.lease_ttl + timing.lease_margin;
    let took = time_to_replace(&record(), process("east-1", LATER));
    assert!(took >= lease, "{took:?}");
    // A renewal of the earlier process that was stored late changes nothing.
    let earlier = LeaseRecord { holder: process("east-1", LATER), ..record() };
    let took = time_to_replace(&earlier, process("east-1", LATER));
    assert!(took < lease, "{took:?}");
}

/// Service whose engines do not check tokens.
const UNCHECKED_SERVICE: &str = r#"
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
tokens = 100000
host_memory = "100GiB"
disk = "100GiB"
loads_per_minute = 120
checks_tokens = false
"#;

/// Guards against orders of the process before that arrive between those of this one: its connections may still
/// deliver what it wrote.
#[test]
fn can_wait_for_late_orders_of_the_earlier_process_of_the_same_host() {
    let timing = TimingRules::default();
    for holder in [process("east-1", LATER), process("east-2", NAMED)] {
        let mut leader = TestLeader::before_election(UNCHECKED_SERVICE, "llm");
        let record = LeaseRecord { holder: holder.clone(), successors: Vec::new(), ..record() };
        leader.store_value("lease/east", &record.to_value());
        let started = leader.host.now;
        while !leader.host.reducer.has_authority(leader.host.now) {
            leader.advance(10);
            assert!(leader.host.now.since(started) < 2 * takeover_limit(), "no takeover");
        }
        let led_at = leader.host.now;
        assert!(leader.wait_for_order(RELEASE_WAIT_MS).is_some(), "no order");
        let waited = leader.host.now.since(led_at);
        assert!(waited + Duration::from_millis(10) >= timing.order_lifetime, "{waited:?}");
    }
}

/// Guards against two leaders: a holder goes on by promises of a process that replaced one of its successors,
/// while candidates count the lease as ended because the record names the process before.
#[test]
fn can_have_no_authority_by_promises_of_a_process_that_the_stored_record_does_not_name() {
    let mut leader = TestLeader::of_host(TestHost::with_inventory(support::INVENTORY));
    let (earlier, later) = (process("east-2", NAMED), process("east-2", LATER));
    let hear = |leader: &mut TestLeader, from: &HostIdentity| {
        receive(leader, from.clone(), PeerMessage::StreamOrigins(Vec::new()));
        leader.advance(10);
    };
    let stored = |leader: &TestLeader| {
        let (_, value) = leader.stored("lease/east")?;
        LeaseRecord::parse(&value)
    };
    while stored(&leader).is_none_or(|record| !record.successors.contains(&earlier)) {
        hear(&mut leader, &earlier);
    }
    // The next record names the later process, and is not stored.
    leader.set_away(true);
    let lost_at = leader.host.now;
    let limit = TimingRules::default().lease_ttl;
    while leader.host.now.since(lost_at) < limit * 2 {
        hear(&mut leader, &later);
        if let Some((epoch, round)) = leader.last_promise_request() {
            receive(&mut leader, later.clone(), PeerMessage::Promise { epoch, round });
        }
    }
    assert_eq!(stored(&leader).map(|record| record.successors), Some(vec![earlier]));
    assert!(!leader.host.reducer.has_authority(leader.host.now));
}

/// Reasons and inputs of the log lines about leadership.
fn lead_lines(leader: &TestLeader) -> Vec<(&'static str, String)> {
    let line = |effect: &HostEffect| match effect {
        HostEffect::LogDecision(record) if record.kind == DecisionKind::Lead => {
            Some((record.reason, record.inputs.clone()))
        }
        _ => None,
    };
    leader.host.effects.iter().filter_map(line).collect()
}

/// Guards against a scope without a leader whose logs do not say what the candidates wait for.
#[test]
fn can_log_what_a_candidate_waits_for_and_why_it_takes_over() {
    let mut leader = waiting_candidate();
    let waits = format!("holder=east-2 successors=east-3,east-4 version={RECORD_VERSION}");
    let expected = ("lease expired, waits for a release", waits);
    assert_eq!(lead_lines(&leader), std::slice::from_ref(&expected), "once for a record");
    let released = PeerMessage::PromiseReleased { epoch: 1, version: RECORD_VERSION };
    receive(&mut leader, process("east-2", LATER), released);
    leader.advance(RELEASE_WAIT_MS / 2);
    let basis = format!("released; replaces version={RECORD_VERSION} era=0 known=1 (record)");
    assert_eq!(lead_lines(&leader), [expected, ("lease taken", basis)]);
}

/// Guards against a log that does not say which term ended, and who holds the lease instead.
#[test]
fn can_log_which_term_was_lost_and_to_whom() {
    let mut leader = TestLeader::with_engine(support::INVENTORY, "llm");
    leader.forget_effects();
    let record = LeaseRecord { epoch: 9, ..record() };
    leader.store_value("lease/east", &record.to_value());
    let (version, _) = leader.stored("lease/east").expect("the record was stored");
    leader.advance(TimingRules::default().lease_ttl.as_millis() as u64);
    let lines = lead_lines(&leader);
    let expected = format!("holder=east-2 epoch=9 version={version} era=0");
    assert_eq!(lines.first(), Some(&("lease lost", expected)), "{lines:?}");
    let choices = leader.host.effects.iter().filter_map(|effect| match effect {
        HostEffect::LogDecision(record) if record.reason == "lease lost" => Some(&record.choice),
        _ => None,
    });
    assert_eq!(choices.collect::<Vec<_>>(), ["epoch 1"]);
}
