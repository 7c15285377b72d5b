//! How hosts and leaders keep their tables in sync when messages are lost.

mod support;

use std::time::Duration;

use support::TestHost;
use support::leader::TestLeader;
use support::leader::engine_entry;
use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::TimingRules;
use wagtailledge_decisions::discovery::RegistryUpdate;
use wagtailledge_decisions::message::CrashReport;
use wagtailledge_decisions::message::DemandNotice;
use wagtailledge_decisions::message::LeaderNotice;
use wagtailledge_decisions::message::LimitReport;
use wagtailledge_decisions::message::LimitTable;
use wagtailledge_decisions::message::MESSAGE_VERSION;
use wagtailledge_decisions::message::PeerEnvelope;
use wagtailledge_decisions::message::PeerMessage;
use wagtailledge_decisions::message::QuarantineTable;
use wagtailledge_decisions::message::ReplicaRow;
use wagtailledge_decisions::message::ReplicaState;
use wagtailledge_decisions::message::StoreView;
use wagtailledge_decisions::message::TableAck;
use wagtailledge_decisions::message::TableUpdate;
use wagtailledge_decisions::quota::QuotaReport;
use wagtailledge_decisions::quota::QuotaTable;

/// Inventory with one service whose engines register themselves.
const INVENTORY: &str = r#"
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
checks_tokens = true
"#;
/// Version of the table that the test host has at first.
const FIRST_VERSION: u64 = 3;

fn update(since: u64, version: u64) -> TableUpdate {
    let row = ReplicaRow("heat@1".to_owned(), "llm".to_owned(), Some(ReplicaState::Ready));
    TableUpdate { table: 1, since, version, rows: vec![row] }
}

fn notice(epoch: u64, update: TableUpdate) -> PeerMessage {
    PeerMessage::Leader(LeaderNotice {
        epoch,
        successors: Vec::new(),
        revision: 1,
        update,
        registry: RegistryUpdate::default(),
        declined: Vec::new(),
        limits: LimitTable::default(),
        quarantine: QuarantineTable::default(),
        quota: QuotaTable::default(),
        hosts: 0,
        lease: None,
        store: StoreView::default(),
        outages: Vec::new(),
    })
}

/// Reports of the host to its leader so far.
fn reports(host: &TestHost) -> Vec<&DemandNotice> {
    let sent = host.effects.iter().filter_map(|effect| match effect {
        HostEffect::Send(_, message) => Some(message),
        _ => None,
    });
    sent.filter_map(|message| match message.as_ref() {
        PeerMessage::Demand(notice) => Some(notice),
        _ => None,
    })
    .collect()
}

#[test]
fn can_apply_a_repeat_of_changes_that_starts_before_what_the_host_has() {
    let mut host = TestHost::new();
    host.receive(notice(1, update(FIRST_VERSION - 1, FIRST_VERSION + 2)));
    host.advance(2_500);
    assert_eq!(reports(&host).last().unwrap().ack.version, FIRST_VERSION + 2);
    // A late copy of an earlier update takes nothing back.
    host.receive(notice(1, update(FIRST_VERSION, FIRST_VERSION + 1)));
    host.advance(2_500);
    assert_eq!(reports(&host).last().unwrap().ack.version, FIRST_VERSION + 2);
}

#[test]
fn can_report_rejected_updates_no_faster_than_other_changes() {
    let mut host = TestHost::new();
    host.advance(2_500);
    host.effects.clear();
    for version in 0..100 {
        host.receive(notice(1, update(FIRST_VERSION + 5 + version, FIRST_VERSION + 6 + version)));
        host.advance(10);
    }
    let most = Duration::from_secs(1).as_millis() / TimingRules::default().notice_idle.as_millis();
    let count = reports(&host).len();
    assert!((1..=most as usize + 1).contains(&count), "{count} reports in a second");
}

#[test]
fn can_repeat_changes_to_a_host_that_confirms_none_without_a_storm() {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    leader.list_host("east-2", 0);
    let confirm = |leader: &mut TestLeader| {
        let demand = DemandNotice {
            epoch: 1,
            revision: 1,
            ack: TableAck::default(),
            registry_ack: TableAck::default(),
            demand: Vec::new(),
            used: Vec::new(),
            suspects: Vec::new(),
            limits: LimitReport::default(),
            quota: QuotaReport::default(),
            leaving: Vec::new(),
            draining: false,
            stamp: None,
            crash_report: CrashReport::default(),
            failures: Vec::new(),
        };
        leader.submit(HostEvent::Peer(Box::new(PeerEnvelope {
            version: MESSAGE_VERSION,
            from: support::identity("east-2"),
            message: PeerMessage::Demand(demand),
        })));
    };
    let mut with_entries = 0;
    for step in 0..500_u64 {
        leader.submit(engine_entry(step + 2));
        leader.advance(10);
        if step % 10 == 0 {
            confirm(&mut leader);
        }
        if step == 100 {
            leader.host.effects.clear();
            leader.forget_effects();
        }
        if step > 100 {
            with_entries += leader.host.effects.drain(..).filter(has_entries).count();
            leader.forget_effects();
        }
    }
    // Repeats after 0.8, 1.6, 3.2 and 3.2 s without a confirmation.
    assert!((1..=4).contains(&with_entries), "{with_entries} notices with entries in 4 s");
}

fn has_entries(effect: &HostEffect) -> bool {
    match effect {
        HostEffect::Broadcast(receivers, message) => match message.as_ref() {
            PeerMessage::Leader(notice) => {
                let is_receiver = receivers.iter().any(|receiver| receiver.name == "east-2");
                is_receiver && !notice.registry.rows.is_empty()
            }
            _ => false,
        },
        _ => false,
    }
}

#[test]
fn can_tell_a_new_leader_the_usage_of_the_last_seconds() {
    let mut host = TestHost::new();
    host.advance(500);
    for caller in 0..4 {
        host.request_model("heat", caller, 5_000);
    }
    host.advance(1_000);
    let usage_of = |host: &TestHost| -> u32 {
        reports(host).iter().flat_map(|report| &report.used).map(|row| row.1).sum()
    };
    assert_eq!(usage_of(&host), 4, "the first leader learns of each request once");
    host.effects.clear();
    // Another process leads now.
    let from = support::identity("east-3");
    let message = notice(2, TableUpdate { table: 2, ..update(0, 1) });
    host.submit(HostEvent::Peer(Box::new(PeerEnvelope {
        version: MESSAGE_VERSION,
        from,
        message,
    })));
    host.advance(100);
    assert!((2..=4).contains(&usage_of(&host)), "{} requests told", usage_of(&host));
    host.effects.clear();
    host.advance(2_500);
    assert_eq!(usage_of(&host), 0, "the usage is told once");
}
