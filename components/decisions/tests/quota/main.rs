//! Quotas of accounts over all hosts: the decision module without hosts and network.

mod fleet;

use fleet::Fleet;
use fleet::HOSTS;
use fleet::SECOND;

/// Rates of the accounts of the customer whose callers compete, in tokens a second.
const RATES: [u64; 16] = [
    770_000, 300_000, 150_000, 100_000, 100_000, 100_000, 60_000, 60_000, 60_000, 60_000, 29_000,
    29_000, 29_000, 29_000, 29_000, 29_000,
];
/// Usual use, and that of a hot account, in multiples of the rate.
const USUAL: f64 = 1.0 / 1.8;
const HOT: f64 = 7.5 / 1.8;

/// A hot account after a calm start, with the others at their usual use.
fn hot_fleet(seed: u64, hot: usize) -> Fleet {
    let mut fleet = Fleet::start(seed, HOSTS, &RATES, USUAL);
    fleet.run(6.0);
    fleet.accounts[hot].load = HOT;
    fleet
}

fn assert_kept(fleet: &Fleet, name: &str) {
    for (account, rate) in RATES.iter().enumerate() {
        let over = fleet.overrun(account, *rate, 0);
        assert!(over <= 0.0, "{name}: account {account} at {rate} is {over:.0} tokens over");
    }
}

#[test]
fn can_admit_all_requests_within_the_limit() {
    let mut fleet = Fleet::start(1, HOSTS, &RATES, USUAL);
    fleet.run(6.0);
    let since = fleet.now;
    (fleet.reports, fleet.asks) = (0, 0);
    fleet.run(120.0);
    let (mut refused, mut all) = (0, 0);
    for account in 0..RATES.len() {
        let (few, some) = fleet.refusals(account, since);
        println!("{account}: {few} of {some}, metered {}", fleet.is_metered(1, account));
        (refused, all) = (refused + few, all + some);
    }
    println!(
        "{refused} of {all}, {} reports {} asks, {} us",
        fleet.reports, fleet.asks, fleet.longest_wait
    );
    assert!(refused * 1_000 < all, "{refused} of {all} refused");
}

#[test]
fn can_limit_a_hot_account_within_half_a_second() {
    for hot in [0, 3, 15] {
        let mut fleet = hot_fleet(2, hot);
        let start = fleet.now;
        fleet.run(20.0);
        let rate = RATES[hot];
        let early = fleet.sent_between(hot, start, start + SECOND / 2);
        let late = fleet.sent_between(hot, start + SECOND / 2, start + 20 * SECOND);
        println!("{hot}: {early} early, {late} late, {}", rate as f64 * 19.5);
        let (refused, all) = fleet.refusals(hot, start);
        println!("refused {refused} of {all}; over {}", fleet.overrun(hot, rate, 0));
        assert_kept(&fleet, "hot");
    }
}

#[test]
fn can_keep_the_bound_with_a_quarter_of_the_hosts_cut_off() {
    for hot in [0, 3, 15] {
        for hot_before in [0.0, 1.0, 4.0] {
            for seed in 0..3 {
                let mut fleet = hot_fleet(seed, hot);
                fleet.run(hot_before);
                fleet.cut_off = 1..16;
                fleet.run(6.0);
                fleet.cut_off = 0..0;
                fleet.run(10.0);
                println!("{hot} {hot_before} {seed}: {}", fleet.overrun(hot, RATES[hot], 0));
            }
        }
    }
}

#[test]
fn can_keep_the_bound_without_a_leader() {
    for hot in [0, 3, 15] {
        for hot_before in [0.0, 1.0, 4.0] {
            for seed in 0..3 {
                let mut fleet = hot_fleet(seed, hot);
                fleet.run(hot_before);
                fleet.kill_leader();
                fleet.run(5.0);
                fleet.lead(7);
                fleet.run(10.0);
                println!("{hot} {hot_before} {seed}: {}", fleet.overrun(hot, RATES[hot], 0));
            }
        }
    }
}

#[test]
fn can_keep_the_bound_with_a_frozen_leader() {
    for hot in [0, 3, 15] {
        for hot_before in [0.0, 1.0, 4.0] {
            let mut fleet = hot_fleet(1, hot);
            fleet.run(hot_before);
            fleet.freeze(0, 3 * SECOND);
            fleet.run(10.0);
            println!("{hot} {hot_before}: {}", fleet.overrun(hot, RATES[hot], 0));
        }
    }
}
