//! Quotas of accounts over all hosts, in virtual time. The bound itself is checked by the world's oracle.

use wagtailledge_decisions::TimingRules;
use wagtailledge_fuzzer::action::FuzzAction;
use wagtailledge_fuzzer::world::FuzzWorld;

/// One second, in microseconds.
const SECOND: u64 = 1_000_000;
/// Number that selects no hot account.
const NO_HOT: usize = 3;
/// Number of accounts.
const ACCOUNTS: usize = 3;
/// Load of a hot account, in thousandths of its rate.
const HOT: u64 = 4_166;
/// Time between two disruptions, in seconds.
const PAUSE: u64 = 4;

/// A world with quotas in force at all hosts and all models loaded.
fn start(seed: u64, hosts: usize, hot: usize) -> FuzzWorld {
    let mut world = FuzzWorld::with_hosts(seed, TimingRules::default(), [hosts; 4]);
    world.disable_late_orders();
    world.advance(12 * SECOND);
    for asset in 0..6 {
        world.apply_action(FuzzAction::Burst { asset });
    }
    world.start_quota_load(hot);
    world.advance(12 * SECOND);
    world
}

fn assert_kept(world: &FuzzWorld, name: &str) {
    assert_eq!(world.oracle.violation(), None, "{name}");
}

/// Runs a hot account while `disrupt` is called every four seconds, after the account has been hot for
/// none, one, and four seconds.
fn run_hot(name: &str, disrupt: impl Fn(&mut FuzzWorld, u64)) {
    for (seed, hot_for) in [(0, 0), (1, 1), (2, 4)] {
        let mut world = start(seed, 4, NO_HOT);
        world.set_account_load(0, HOT);
        world.advance(hot_for * SECOND);
        for round in 0..6 {
            disrupt(&mut world, round);
            world.advance(PAUSE * SECOND);
        }
        assert_kept(&world, &format!("{name}, seed {seed}"));
        let outcomes = world.account_outcomes(0);
        assert!(outcomes.refused > 0 && outcomes.runs > 0, "{name}: {outcomes:?}");
    }
}

#[test]
fn can_refuse_less_than_one_in_a_thousand_within_the_limit_in_calm() {
    for hosts in [4, 15] {
        let mut world = start(1, hosts, NO_HOT);
        let before = sum_outcomes(&world);
        world.advance(120 * SECOND);
        assert_kept(&world, "calm");
        let after = sum_outcomes(&world);
        let (within, refused) = (after.0 - before.0, after.1 - before.1);
        assert!(refused * 1_000 <= within, "{hosts} hosts: {refused} of {within} refused");
    }
}

/// Requests of all accounts that were within the limit, and those of them that were refused.
fn sum_outcomes(world: &FuzzWorld) -> (u64, u64) {
    let outcomes = (0..ACCOUNTS).map(|account| world.account_outcomes(account));
    outcomes.fold((0, 0), |(within, refused), outcome| {
        (within + outcome.within, refused + outcome.refused_within)
    })
}

#[test]
fn can_keep_the_bound_of_a_hot_account() {
    run_hot("calm", |_, _| ());
}

#[test]
fn can_keep_the_bound_while_leaders_die() {
    run_hot("killed", |world, round| {
        world.start_missing();
        if let Some(slot) = world.leader_slot(round as usize % 4) {
            world.kill_process(slot);
        }
    });
}

#[test]
fn can_keep_the_bound_while_leaders_are_frozen() {
    run_hot("frozen", |world, round| {
        if let Some(slot) = world.leader_slot(round as usize % 4) {
            world.freeze_for(slot, 2 * SECOND);
        }
    });
}

#[test]
fn can_keep_the_bound_while_hosts_are_cut_off_from_their_leader() {
    run_hot("cut off", |world, round| {
        world.heal();
        let zone = round as usize % 4;
        if let (Some(leader), 0) = (world.leader_slot(zone), round % 2) {
            for other in 0..world.slot_count() {
                if other != leader {
                    world.cut_hosts(leader.min(other), leader.max(other));
                }
            }
        }
    });
}

#[test]
fn can_keep_the_bound_while_zones_are_cut_off_and_messages_are_lost() {
    run_hot("zones", |world, round| {
        world.heal();
        world.set_loss(100);
        world.set_message_delay(300_000);
        world.isolate_zone(round as usize % 4);
    });
}

#[test]
fn can_keep_the_bound_without_the_key_value_service() {
    run_hot("store", |world, round| match round {
        0 => world.set_store_down(),
        2 => {
            if let Some(slot) = world.leader_slot(0) {
                world.kill_process(slot);
            }
        }
        _ => {}
    });
}

#[test]
fn can_keep_a_limit_that_is_lowered_and_raised() {
    run_hot("lowered", |world, round| {
        let rate = if round % 2 == 0 { 130_000 } else { 400_000 };
        world.set_account_rate(0, rate);
        world.accept_edit(1);
    });
}
