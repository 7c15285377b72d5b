//! Hosts that cannot read the platform's store learn from the others which upstreams leave.

mod support;

use support::TestHost;
use support::leader::TestLeader;
use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::discovery::RegistryRow;
use wagtailledge_decisions::discovery::RegistryUpdate;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::event::ListedState;
use wagtailledge_decisions::event::RegisteredUpstream;
use wagtailledge_decisions::event::RegistryChange;
use wagtailledge_decisions::message::LeaderNotice;
use wagtailledge_decisions::message::LimitTable;
use wagtailledge_decisions::message::PeerMessage;
use wagtailledge_decisions::message::QuarantineTable;
use wagtailledge_decisions::message::StoreView;
use wagtailledge_decisions::message::TableUpdate;
use wagtailledge_decisions::quota::QuotaTable;
use wagtailledge_decisions::request::RequestRepeat;
use wagtailledge_decisions::request::RequestTarget;

/// Inventory with a pool, which leaders send orders to, and a plain service, most of whose instances
/// register themselves.
const INVENTORY: &str = r#"
[[class]]
name = "alarm"
rank = 0
deadline = "10s"
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
checks_tokens = true
[[service]]
name = "vents"
class = "alarm"
idempotent = ["/"]
[[service.instance]]
name = "vents-0"
zone = "east"
address = "127.0.0.1:9003"
slots = 6
"#;

fn instance(name: &str, state: ListedState, revision: u64) -> RegisteredUpstream {
    RegisteredUpstream {
        name: name.to_owned(),
        started_ms: 1,
        service: "vents".to_owned(),
        zone: "east".to_owned(),
        scope: "east".to_owned(),
        address: "127.0.0.1:9002".to_owned(),
        software: "v1".to_owned(),
        slots: 6,
        state,
        remaining: None,
        revision,
        report: None,
    }
}

fn entry(name: &str, state: ListedState, revision: u64) -> HostEvent {
    let change = RegistryChange::Present(Box::new(instance(name, state, revision)));
    HostEvent::Registry(vec![change])
}

/// Notice of the leader `east-2`.
fn notice(store: StoreView) -> PeerMessage {
    PeerMessage::Leader(LeaderNotice {
        epoch: 1,
        successors: Vec::new(),
        revision: 1,
        update: TableUpdate { table: 1, since: 0, version: 1, rows: Vec::new() },
        registry: RegistryUpdate::default(),
        declined: Vec::new(),
        limits: LimitTable::default(),
        quarantine: QuarantineTable::default(),
        quota: QuotaTable::default(),
        hosts: 0,
        lease: None,
        store,
        outages: Vec::new(),
    })
}

/// Names and revisions of the entries that a host has sent to its leader.
fn sent_entries(host: &TestHost) -> Vec<(String, u64)> {
    let rows = host.effects.iter().filter_map(|effect| match effect {
        HostEffect::Send(to, message) if to.name == "east-2" => match message.as_ref() {
            PeerMessage::Entries(rows) => Some(rows.clone()),
            _ => None,
        },
        _ => None,
    });
    rows.flatten().map(|RegistryRow(name, revision, _)| (name, revision)).collect()
}

/// Notices of a leader that say whether it has lost the store.
fn published_views(leader: &TestLeader) -> Vec<StoreView> {
    let view = |effect: &HostEffect| match effect {
        HostEffect::Broadcast(_, message) => match message.as_ref() {
            PeerMessage::Leader(notice) => Some(notice.store.clone()),
            _ => None,
        },
        _ => None,
    };
    leader.host.effects.iter().filter_map(view).collect()
}

#[test]
fn can_tell_hosts_at_once_that_their_leader_cannot_read_the_store() {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    leader.list_host("east-2", 0);
    leader.submit(entry("vents-1", ListedState::Live, 7));
    leader.advance(2_000);
    leader.forget_effects();
    leader.submit(HostEvent::StoreLost);
    leader.advance(30);
    let lost = StoreView { revision: 7, is_lost: true, relay: None };
    assert_eq!(published_views(&leader), std::slice::from_ref(&lost));
    leader.submit(HostEvent::StoreSeen(leader.host.now));
    leader.advance(30);
    assert_eq!(published_views(&leader).last(), Some(&StoreView { is_lost: false, ..lost }));
}

/// Guards against hosts that go on using a leaving upstream, because neither they nor their leader can
/// read the store.
#[test]
fn can_send_a_leader_the_entries_that_it_cannot_read() {
    let mut host = TestHost::with_inventory(INVENTORY);
    host.submit(entry("vents-1", ListedState::Live, 7));
    host.receive(notice(StoreView { revision: 7, is_lost: true, relay: None }));
    host.advance(100);
    assert_eq!(sent_entries(&host), [], "the leader knows all that this host knows");
    host.submit(entry("vents-1", ListedState::Leaving, 8));
    host.advance(20);
    assert_eq!(sent_entries(&host), [("vents-1".to_owned(), 8)]);
    // Repeated until the leader knows it.
    host.advance(1_000);
    assert!((2..=4).contains(&sent_entries(&host).len()), "{:?}", sent_entries(&host));
    host.effects.clear();
    host.receive(notice(StoreView { revision: 8, is_lost: true, relay: None }));
    host.advance(1_000);
    assert_eq!(sent_entries(&host), []);
}

#[test]
fn can_send_a_leader_the_entries_that_it_does_not_learn_of() {
    let mut host = TestHost::with_inventory(INVENTORY);
    host.receive(notice(StoreView { revision: 7, is_lost: false, relay: None }));
    host.submit(entry("vents-1", ListedState::Leaving, 8));
    host.advance(900);
    assert_eq!(sent_entries(&host), [], "the leader may still read the entry by itself");
    host.advance(200);
    assert_eq!(sent_entries(&host), [("vents-1".to_owned(), 8)]);
}

/// Guards against entries that the leader never gets because those with other names were sent first.
#[test]
fn can_send_a_leader_many_entries_in_the_order_of_their_revisions() {
    let mut host = TestHost::with_inventory(INVENTORY);
    host.receive(notice(StoreView { revision: 1, is_lost: true, relay: None }));
    // As one read of the store delivers them.
    let change = |number: u64| {
        let name = format!("vents-{:04}", 1_000 - number);
        RegistryChange::Present(Box::new(instance(&name, ListedState::Leaving, 2 + number)))
    };
    host.submit(HostEvent::Registry((0..600).map(change).collect()));
    host.advance(20);
    let revisions: Vec<u64> = sent_entries(&host).iter().map(|(_, revision)| *revision).collect();
    assert!(revisions.iter().copied().eq(2..502), "{revisions:?}");
}

/// Number of ten requests that go to an upstream.
fn requests_to(leader: &mut TestLeader, upstream: &str) -> usize {
    let service = leader.host.reducer.catalog().service_named("vents").unwrap();
    leader.forget_effects();
    for _ in 0..10 {
        let target = RequestTarget::Service(service);
        leader.host.submit_request(target, RequestRepeat::Unkeyed, 1, 5_000);
    }
    let key = leader.host.reducer.catalog().upstream_named(upstream);
    let sent = leader.host.effects.iter().filter(
        |effect| matches!(effect, HostEffect::Dispatch { upstream, .. } if Some(*upstream) == key),
    );
    let count = sent.count();
    for index in 0..leader.host.dispatches().len() {
        leader.host.end_attempt(index, AttemptOutcome::Streamed);
    }
    count
}

#[test]
fn can_apply_the_entries_that_another_host_knows() {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    leader.submit(entry("vents-1", ListedState::Live, 7));
    leader.submit(entry("vents-2", ListedState::Live, 8));
    leader.submit(HostEvent::StoreLost);
    assert!(requests_to(&mut leader, "vents-1") > 0);
    let leaving = instance("vents-1", ListedState::Leaving, 9);
    let stale = instance("vents-2", ListedState::Leaving, 6);
    leader.host.receive(PeerMessage::Entries(vec![
        RegistryRow("vents-1".to_owned(), 9, Some(leaving)),
        RegistryRow("vents-2".to_owned(), 6, Some(stale)),
    ]));
    assert_eq!(requests_to(&mut leader, "vents-1"), 0);
    assert!(requests_to(&mut leader, "vents-2") > 0, "an older entry changes nothing");
}
