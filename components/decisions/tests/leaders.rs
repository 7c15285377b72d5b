//! Which host leads a scope.

mod support;

use std::time::Duration;

use support::leader::TestLeader;
use wagtailledge_decisions::lease::LeaseRecord;

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
