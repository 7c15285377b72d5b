//! The key-value service comes back from a copy that is some seconds old.

use std::time::Duration;

use wagtailledge_decisions::TimingRules;
use wagtailledge_fuzzer::run::generate_script;
use wagtailledge_fuzzer::run::run_script;
use wagtailledge_fuzzer::world::FuzzWorld;
use wagtailledge_fuzzer::world::LeaderTouch;
use wagtailledge_fuzzer::world::LostTakeover;
use wagtailledge_fuzzer::world::StoreReturn;

/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(10);
/// One second, in microseconds.
const SECOND: u64 = 1_000_000;
/// Seeds that each scenario runs with.
const SEEDS: std::ops::Range<u64> = 0..10;
/// Seeds whose scripts are run if the service returns in them.
const SCRIPT_SEEDS: std::ops::Range<u64> = 0..300;

/// One zone of six hosts with a leader whose lease record is in every copy that is used.
fn start_zone(seed: u64) -> FuzzWorld {
    let mut world = FuzzWorld::with_hosts(seed, TimingRules::default(), [6, 0, 0, 0]);
    world.keep_store_copies();
    world.advance(20 * SECOND);
    world
}

/// Requests models at every host for some seconds, so that leaders order.
fn request_models(world: &mut FuzzWorld, seconds: u64) {
    for round in 0..2 * seconds as usize {
        for slot in world.running_slots() {
            let _ = world.request_model(slot, (round + slot) % 4, DEADLINE);
        }
        world.advance(SECOND / 2);
    }
}

/// Plays the return twice, with requests around it, and requires that every promise is kept and the
/// zone has a leader at the end.
fn check_return(plan: StoreReturn) {
    let mut broken = Vec::new();
    for seed in SEEDS {
        let mut world = start_zone(seed);
        for _ in 0..2 {
            request_models(&mut world, 3);
            world.return_store(plan);
            request_models(&mut world, 12);
            world.heal();
            world.start_missing();
            request_models(&mut world, 12);
        }
        if let Some(violation) = world.oracle.violation() {
            broken.push(format!("seed {seed}: {violation}"));
        } else if world.leader_slot(0).is_none() {
            broken.push(format!("seed {seed}: no leader"));
        }
    }
    assert!(broken.is_empty(), "{} of {}: {broken:#?}", broken.len(), SEEDS.end);
}

/// Plays a return from a copy without any lease record, and requires that every promise is kept.
fn check_first_record(leader: LeaderTouch, restarts: bool) {
    let plan = StoreReturn { age: 30 * SECOND, leader, restarts, ..StoreReturn::default() };
    let mut broken = Vec::new();
    for seed in SEEDS {
        let mut world = FuzzWorld::with_hosts(seed, TimingRules::default(), [4, 0, 0, 0]);
        world.keep_store_copies();
        request_models(&mut world, 5);
        world.return_store(plan);
        request_models(&mut world, 20);
        broken.extend(world.oracle.violation().map(|text| format!("seed {seed}: {text}")));
    }
    assert!(broken.is_empty(), "{} of {}: {broken:#?}", broken.len(), SEEDS.end);
}

/// A return from a copy that lacks a takeover by a drain.
fn after_takeover() -> StoreReturn {
    StoreReturn {
        takeover: LostTakeover::Drained,
        age: SECOND,
        term: SECOND,
        ..StoreReturn::default()
    }
}

/// Guards against two leaders after a return that loses renewals only.
#[test]
fn can_lead_on_when_the_store_lost_renewals() {
    check_return(StoreReturn { age: 3 * SECOND, ..StoreReturn::default() });
}

/// Guards against a second use of the epoch of a takeover that the store lost.
#[test]
fn can_order_with_own_tokens_when_the_store_lost_a_takeover() {
    check_return(after_takeover());
}

/// Guards against the same after the loss of the earlier leader, which ended no lease.
#[test]
fn can_order_with_own_tokens_when_the_store_lost_a_takeover_from_a_killed_leader() {
    check_return(StoreReturn { takeover: LostTakeover::Killed, ..after_takeover() });
}

/// Guards against orders of a leader that is cut off beside those of the next one.
#[test]
fn can_order_with_own_tokens_while_the_lost_leader_is_apart() {
    check_return(StoreReturn { leader: LeaderTouch::Apart, ..after_takeover() });
}

/// Guards against the same where no host ever heard of the lost epoch.
#[test]
fn can_order_with_own_tokens_when_nobody_heard_of_the_lost_leader() {
    check_return(StoreReturn { leader: LeaderTouch::Unheard, ..after_takeover() });
}

/// Guards against a second use of an epoch by a running host that missed it.
#[test]
fn can_order_with_own_tokens_when_the_next_leader_missed_the_lost_takeover() {
    check_return(StoreReturn { others_apart: true, ..after_takeover() });
}

/// Guards against the same while the lost leader is cut off.
#[test]
fn can_order_with_own_tokens_when_each_of_two_leaders_missed_the_other() {
    let leader = LeaderTouch::Apart;
    check_return(StoreReturn { others_apart: true, leader, ..after_takeover() });
}

/// Guards against the same after the death of the leader before both.
#[test]
fn can_order_with_own_tokens_when_two_leaders_missed_each_other_after_a_death() {
    let (takeover, leader) = (LostTakeover::Killed, LeaderTouch::Apart);
    check_return(StoreReturn { takeover, others_apart: true, leader, ..after_takeover() });
}

/// Guards against a takeover over a value of an earlier era that a read then shows as stored.
#[test]
fn can_lead_alone_after_a_write_over_a_value_of_an_earlier_era() {
    let plan = StoreReturn { takeover: LostTakeover::Killed, age: 0, ..after_takeover() };
    check_return(StoreReturn { others_apart: true, leader: LeaderTouch::Apart, ..plan });
}

/// Guards against a takeover of an ended older record while promises extend the lost lease.
#[test]
fn can_lead_alone_while_promises_extend_a_lost_lease_after_a_drain() {
    check_return(StoreReturn { leader: LeaderTouch::Successors, ..after_takeover() });
}

/// Guards against a takeover of an expired older record while promises extend the lost lease.
#[test]
fn can_lead_alone_while_promises_extend_a_lost_lease_after_a_death() {
    let (takeover, leader) = (LostTakeover::Killed, LeaderTouch::Successors);
    check_return(StoreReturn { takeover, leader, ..after_takeover() });
}

/// Guards against the same where the successors who promise are out of touch, too.
#[test]
fn can_lead_alone_while_unreachable_successors_extend_a_lost_lease() {
    let (takeover, leader) = (LostTakeover::Killed, LeaderTouch::Island);
    check_return(StoreReturn { takeover, leader, ..after_takeover() });
}

/// Guards against a takeover at once, beside a leader that is cut off, when the copy has no record.
#[test]
fn can_wait_for_the_end_of_a_lease_whose_only_record_the_store_lost() {
    check_first_record(LeaderTouch::Apart, false);
}

/// Guards against a second use of an epoch that all processes forgot by restarting.
#[test]
fn can_order_with_own_tokens_when_all_hosts_restart_as_the_store_returns() {
    check_return(StoreReturn { restarts: true, ..after_takeover() });
}

/// Guards against the same of the first epochs, where the copy has no record.
#[test]
fn can_order_with_own_tokens_when_the_store_lost_the_first_record() {
    check_first_record(LeaderTouch::All, true);
}

/// Guards against a takeover that is carried out late, in the next era.
#[test]
fn can_order_with_own_tokens_while_writes_are_carried_out_late() {
    check_return(StoreReturn { late_writes: true, ..after_takeover() });
}

/// Guards against the same while the lost leader is cut off.
#[test]
fn can_order_with_own_tokens_while_writes_are_late_and_the_leader_is_apart() {
    let leader = LeaderTouch::Apart;
    check_return(StoreReturn { late_writes: true, leader, ..after_takeover() });
}

/// Guards against any broken promise in generated scripts in which the service returns.
#[test]
fn can_keep_promises_in_generated_scripts_with_returns_of_the_store() {
    let scripts = SCRIPT_SEEDS.map(|seed| (seed, generate_script(seed)));
    let returning = scripts.filter(|(_, script)| script.returns_store());
    let results = returning.map(|(seed, script)| (seed, run_script(&script, false).violation));
    let results: Vec<(u64, Option<String>)> = results.collect();
    let broken: Vec<_> = results.iter().filter(|(_, violation)| violation.is_some()).collect();
    assert!(broken.is_empty(), "{} of {}: {broken:#?}", broken.len(), results.len());
}
