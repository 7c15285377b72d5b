//! What hosts hold for true once the key-value service has come back from an earlier copy of what it held.

mod support;

use std::time::Duration;

use support::TestHost;
use support::identity;
use support::scope::StoreLink;
use support::scope::TestScope;
use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::TimingRules;
use wagtailledge_decisions::event::ListedState;
use wagtailledge_decisions::event::RegisteredUpstream;
use wagtailledge_decisions::event::RegistryChange;
use wagtailledge_decisions::request::PromptShape;
use wagtailledge_decisions::request::RequestRepeat;
use wagtailledge_decisions::request::RequestTarget;
use wagtailledge_decisions::request::ResumedStream;
use wagtailledge_decisions::request::RouteTerms;

/// Time in which a lease lapses and is taken over, in milliseconds.
const TAKEOVER_MS: u64 = 20_000;
/// The bits of a version from here on hold the era.
const ERA_SHIFT: u32 = 44;
/// Time within which changes reach every host.
const CHANGE_BOUND: Duration = Duration::from_secs(2);

/// Inventory with a plain service whose instances register themselves.
const INVENTORY: &str = r#"
[[class]]
name = "alarm"
rank = 0
deadline = "10s"
[[service]]
name = "vents"
class = "alarm"
idempotent = ["/"]
[[service.instance]]
name = "unlisted"
zone = "east"
address = "127.0.0.1:9000"
"#;

fn version(era: u64, number: u64) -> u64 {
    (era << ERA_SHIFT) | number
}

/// Lets `leader` take the lease while the other hosts do not reach the key-value service.
fn lead_with(scope: &mut TestScope, leader: usize) {
    scope.link_all(StoreLink::Down);
    scope.hosts[leader].link = StoreLink::Open;
    assert!(scope.wait_until(TAKEOVER_MS, |scope| scope.leads(leader)), "host {leader} leads");
    scope.advance(5_000);
}

/// Guards against a candidate that takes a lease whose record the service has lost while its holder has authority.
#[test]
fn can_wait_for_a_holder_whose_record_the_copy_does_not_have() {
    let mut scope = TestScope::with_hosts(2);
    scope.advance(5_000);
    let copy = scope.store.clone();
    lead_with(&mut scope, 0);
    scope.hosts[0].is_heard = false;
    scope.hosts[1].link = StoreLink::Open;
    scope.advance(6_000);
    assert_eq!((scope.leader(), &scope.overlaps[..]), (Some(0), &[][..]));
    scope.store.restore(&copy);
    scope.advance(TAKEOVER_MS);
    let overlap_ms = scope.overlaps.len() * 10;
    assert_eq!(overlap_ms, 0, "ms in which both hosts have authority");
}

/// Guards against the same with a holder whose successors promise not to take over.
#[test]
fn can_wait_for_a_holder_with_promises_whose_record_the_copy_does_not_have() {
    let mut scope = TestScope::with_hosts(4);
    scope.advance(5_000);
    let copy = scope.store.clone();
    lead_with(&mut scope, 0);
    scope.hosts[3].is_heard = false;
    scope.advance(10_000);
    let named = scope.lease("east").unwrap().successors;
    assert_eq!(named.iter().map(|host| host.name.as_str()).collect::<Vec<_>>(), ["h1", "h2"]);
    scope.hosts[3].link = StoreLink::Open;
    scope.hosts[0].link = StoreLink::Down;
    scope.advance(TAKEOVER_MS);
    assert_eq!(
        (scope.leader(), &scope.overlaps[..]),
        (Some(0), &[][..]),
        "promises extend the lease"
    );
    scope.store.restore(&copy);
    scope.advance(TAKEOVER_MS);
    let overlap_ms = scope.overlaps.len() * 10;
    assert_eq!(overlap_ms, 0, "ms of 20,000 in which both hosts have authority");
}

/// Guards against a takeover while all hosts hear a holder whose record the service has lost.
#[test]
fn can_leave_the_lease_to_a_holder_that_all_hosts_hear() {
    let mut scope = TestScope::with_hosts(3);
    scope.advance(5_000);
    let copy = scope.store.clone();
    lead_with(&mut scope, 0);
    scope.link_all(StoreLink::Open);
    scope.advance(6_000);
    scope.store.restore(&copy);
    scope.advance(TAKEOVER_MS);
    assert_eq!(scope.overlaps, []);
    assert!(scope.leader().is_some());
    assert_eq!(scope.shared_tokens(), []);
}

/// Guards against a scope without a leader for a lease time after each return.
#[test]
fn can_go_on_leading_in_a_new_term_when_the_copy_does_not_have_the_record() {
    let mut scope = TestScope::with_hosts(3);
    scope.advance(5_000);
    let copy = scope.store.clone();
    lead_with(&mut scope, 0);
    scope.link_all(StoreLink::Open);
    scope.advance(6_000);
    let epoch = scope.lease("east").unwrap().epoch;
    scope.store.restore(&copy);
    scope.advance(TimingRules::default().lease_renewal.as_millis() as u64 + 500);
    assert!(scope.leads(0), "the holder had authority and reaches the service");
    assert!(scope.lease("east").unwrap().epoch > epoch);
}

/// Guards against the same with a holder that does not reach the service any more.
#[test]
fn can_wait_for_a_holder_out_of_touch_whose_record_the_copy_does_not_have() {
    let mut scope = TestScope::with_hosts(2);
    scope.advance(5_000);
    let copy = scope.store.clone();
    lead_with(&mut scope, 0);
    scope.hosts[0].is_heard = false;
    scope.hosts[1].link = StoreLink::Open;
    scope.advance(6_000);
    scope.hosts[0].link = StoreLink::Down;
    scope.store.restore(&copy);
    scope.advance(TAKEOVER_MS);
    let overlap_ms = scope.overlaps.len() * 10;
    assert_eq!(overlap_ms, 0, "ms in which both hosts have authority");
}

/// Guards against a candidate that takes a lease at once as the copy has the ended record of the term before.
#[test]
fn can_wait_for_a_holder_whose_takeover_of_an_ended_lease_the_copy_does_not_have() {
    let mut scope = TestScope::with_hosts(3);
    scope.advance(5_000);
    lead_with(&mut scope, 2);
    scope.hosts[2].host.submit(HostEvent::Drain);
    assert!(
        scope.wait_until(TAKEOVER_MS, |scope| scope.lease("east").is_some_and(|old| old.ended))
    );
    scope.hosts[2].is_up = false;
    let copy = scope.store.clone();
    lead_with(&mut scope, 0);
    scope.hosts[0].is_heard = false;
    scope.hosts[1].link = StoreLink::Open;
    scope.advance(6_000);
    assert_eq!((scope.leader(), &scope.overlaps[..]), (Some(0), &[][..]));
    scope.store.restore(&copy);
    scope.advance(TAKEOVER_MS);
    let overlap_ms = scope.overlaps.len() * 10;
    assert_eq!(overlap_ms, 0, "ms in which both hosts have authority");
}

/// Guards against a process that takes a lease at once as the copy has the record of the process before it.
#[test]
fn can_wait_for_a_holder_that_followed_an_earlier_process_of_this_host() {
    let mut scope = TestScope::with_hosts(2);
    scope.advance(5_000);
    lead_with(&mut scope, 1);
    let copy = scope.store.clone();
    scope.hosts[1].is_up = false;
    scope.link_all(StoreLink::Open);
    assert!(scope.wait_until(TAKEOVER_MS, |scope| scope.leads(0)), "the other host takes over");
    scope.advance(5_000);
    scope.hosts[0].is_heard = false;
    scope.store.restore(&copy);
    scope.restart(1);
    scope.advance(TAKEOVER_MS);
    let overlap_ms = scope.overlaps.len() * 10;
    assert_eq!(overlap_ms, 0, "ms in which both hosts have authority");
}

fn timing() -> TimingRules {
    TimingRules {
        configuration_read: None,
        change_bound: Some(CHANGE_BOUND),
        ..TimingRules::default()
    }
}

/// Event that brings the entry of an upstream.
fn entry(name: &str, software: &str, state: ListedState, revision: u64) -> HostEvent {
    process_entry(name, software, state, 1, revision)
}

/// Event that brings the entry of a process of an upstream, which started at `started_ms`.
fn process_entry(
    name: &str,
    software: &str,
    state: ListedState,
    started_ms: u64,
    revision: u64,
) -> HostEvent {
    HostEvent::Registry(vec![RegistryChange::Present(Box::new(RegisteredUpstream {
        name: name.to_owned(),
        service: "vents".to_owned(),
        scope: "east".to_owned(),
        zone: "east".to_owned(),
        address: "127.0.0.1:9001".to_owned(),
        slots: 64,
        software: software.to_owned(),
        started_ms,
        state,
        remaining: None,
        revision,
        report: None,
    }))])
}

/// Event that brings the record with these versions of the service, all of them open.
fn record(version: u64, names: &[&str]) -> HostEvent {
    let rows: Vec<String> =
        names.iter().map(|name| format!("{{\"v\":\"{name}\",\"o\":true}}")).collect();
    let value = format!("{{\"services\":{{\"vents\":[{}]}}}}", rows.join(","));
    HostEvent::SoftwareRecord(version, value)
}

/// A host without upstreams.
fn empty_host() -> TestHost {
    let mut host = TestHost::of_process(INVENTORY, timing(), identity("east-1"));
    host.submit(HostEvent::HostListRead(host.now, Vec::new()));
    host.effects.clear();
    host
}

/// Submits a request for a stream, which takes up another one or begins one.
fn ask(host: &mut TestHost, resumes: Option<ResumedStream>) {
    let terms = RouteTerms {
        rank: 1,
        attempts: 2,
        objective: Duration::from_millis(500),
        streaming: true,
        resumable: true,
        sticky: false,
        prompt: PromptShape::default(),
        stream_id: Some(1_000),
        resumes,
    };
    let service = host.reducer.catalog().services.keys().next().unwrap();
    let target = RequestTarget::Service(service);
    host.submit_with_terms(target, RequestRepeat::Idempotent, 1, 5_000, Some(terms));
}

/// Names of the upstreams that requests were sent to, in order.
fn sent_to(host: &TestHost) -> Vec<String> {
    let name = |effect: &HostEffect| match effect {
        HostEffect::Dispatch { upstream, .. } => {
            Some(host.reducer.catalog().upstreams[*upstream].name.clone())
        }
        _ => None,
    };
    host.effects.iter().filter_map(name).collect()
}

/// Guards against a stream of one version that goes on at another one, as the copy lists only the other.
#[test]
fn can_refuse_a_stream_that_a_version_began_which_the_copy_does_not_list() {
    let mut host = empty_host();
    host.submit(record(version(1, 50), &["v1", "v2"]));
    host.submit(entry("app-v1", "v1", ListedState::Live, version(1, 10)));
    host.submit(entry("app-v2", "v2", ListedState::Live, version(1, 11)));
    host.submit(HostEvent::StoreSeen(host.now));
    let stream = ResumedStream { first: Some(77), after: Some(2) };
    ask(&mut host, Some(stream));
    assert_eq!(sent_to(&host), [""; 0], "the version of the stream is not known");
    host.advance(1_000);
    host.submit(record(version(2, 20), &["v1"]));
    host.submit(HostEvent::StoreSeen(host.now));
    ask(&mut host, Some(stream));
    assert_eq!(sent_to(&host), [""; 0], "any of two versions may have begun the stream");
}

/// Guards against requests to an upstream that has left, while the copy still has its entry.
#[test]
fn can_send_nothing_to_an_upstream_whose_removed_entry_the_copy_has() {
    let mut host = empty_host();
    host.submit(entry("app-1", "v1", ListedState::Live, version(1, 10)));
    let absent = RegistryChange::Absent("app-1".to_owned(), version(1, 20));
    host.submit(HostEvent::Registry(vec![absent]));
    host.advance(9_000);
    host.submit(entry("app-1", "v1", ListedState::Live, version(2, 10)));
    ask(&mut host, None);
    assert_eq!(sent_to(&host), [""; 0], "its entry was removed after revision 10");
}

/// Guards against requests to an upstream that said that it leaves, while the copy has its entry before that.
#[test]
fn can_send_nothing_to_a_leaving_upstream_whose_earlier_entry_the_copy_has() {
    let mut host = empty_host();
    host.submit(entry("app-1", "v1", ListedState::Live, version(1, 10)));
    host.submit(entry("app-1", "v1", ListedState::Leaving, version(1, 20)));
    host.advance(1_000);
    host.submit(entry("app-1", "v1", ListedState::Live, version(2, 10)));
    ask(&mut host, None);
    assert_eq!(sent_to(&host), [""; 0]);
}

/// Guards against an upstream that counts as its process before, whose entry the copy has.
#[test]
fn can_keep_the_process_of_an_upstream_whose_earlier_entry_the_copy_has() {
    let mut host = empty_host();
    host.submit(process_entry("app-1", "v1", ListedState::Live, 1_000, version(1, 10)));
    host.submit(process_entry("app-1", "v1", ListedState::Live, 2_000, version(1, 20)));
    host.submit(process_entry("app-1", "v1", ListedState::Live, 1_000, version(2, 10)));
    ask(&mut host, None);
    let sent = host.effects.iter().filter_map(|effect| match effect {
        HostEffect::Dispatch { upstream, .. } => host.reducer.catalog().process(*upstream),
        _ => None,
    });
    let starts: Vec<u64> = sent.map(|process| process.started_ms).collect();
    assert_eq!(starts, [2_000], "a process started later than the copy's");
}
