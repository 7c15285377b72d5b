//! Which host leads a scope.

mod support;

use std::time::Duration;

use support::leader::TestLeader;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::TimingRules;
use wagtailledge_decisions::discovery::RegistryUpdate;
use wagtailledge_decisions::lease::LeaseRecord;
use wagtailledge_decisions::message::LeaderNotice;
use wagtailledge_decisions::message::PeerMessage;
use wagtailledge_decisions::message::TableUpdate;

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

/// Longest wait for a lease to change hands: as long as three renewals.
const PATIENCE: Duration = Duration::from_secs(5);

fn lease(leader: &TestLeader) -> LeaseRecord {
    let (_, value) = leader.stored("lease/").expect("somebody holds the lease");
    LeaseRecord::parse(&value).expect("a record")
}

#[test]
fn can_keep_the_lease_beside_a_host_with_as_little_processor_time() {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    leader.list_host("east-2", 0);
    leader.pass(PATIENCE.as_millis() as u64);
    assert!(!lease(&leader).ended);
}

#[test]
fn can_yield_the_lease_to_a_host_with_more_processor_time() {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    leader.list_host("east-2", 500);
    let started = leader.host.now;
    while !lease(&leader).ended {
        leader.pass(10);
        assert!(leader.host.now.since(started) < PATIENCE, "it still leads");
    }
}

#[test]
fn can_lead_all_the_same_when_the_larger_host_does_not() {
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    leader.list_host("east-2", 500);
    leader.pass(PATIENCE.as_millis() as u64);
    // The larger host took no lease, so this one took it again, and keeps it.
    for _ in 0..5 {
        leader.pass(PATIENCE.as_millis() as u64);
        assert!(!lease(&leader).ended);
        assert_eq!(lease(&leader).epoch, 2);
    }
}

#[test]
fn can_take_over_sooner_when_the_record_was_seen_before_the_leader_fell_silent() {
    let record = LeaseRecord {
        holder: support::stamp("east-2"),
        epoch: 1,
        renewals: 9,
        successors: Vec::new(),
        ended: false,
    };
    let takeover = |told: bool| {
        let mut leader = TestLeader::waiting(INVENTORY, "llm");
        leader.store_value("lease/east", &record.to_value());
        let started = leader.host.now;
        if told {
            leader.submit(HostEvent::Lease(1, record.to_value()));
        }
        // The leader is heard once more and then no longer: until then nobody reads the record.
        leader.host.hear(PeerMessage::Leader(LeaderNotice {
            epoch: 1,
            successors: Vec::new(),
            revision: 1,
            update: TableUpdate { table: 1, since: 0, version: 1, rows: Vec::new() },
            registry: RegistryUpdate::default(),
            declined: Vec::new(),
        }));
        while lease(&leader).epoch == 1 {
            leader.pass(10);
            assert!(leader.host.now.since(started) < Duration::from_secs(20), "nobody leads");
        }
        leader.host.now.since(started)
    };
    let timing = TimingRules::default();
    let told = takeover(true);
    assert!(told >= timing.lease_ttl + timing.lease_margin, "the holder may still have authority");
    let longest = timing.lease_ttl + timing.lease_margin + Duration::from_secs(1);
    assert!(told <= longest, "{told:?} from the last renewal that was seen");
    let untold = takeover(false);
    assert!(untold >= told + Duration::from_secs(2), "{untold:?} without, {told:?} with");
}
