//! Measures in virtual time: how long an edit takes to be in force in every process, how long a
//! zone has no leader after its leader dies, and how many cold requests are served during an outage
//! of the key-value service, with and without promises of successors.

use std::time::Duration;

use hdrhistogram::Histogram;
use wagtailledge_decisions::TimingRules;
use wagtailledge_fuzzer::world::FuzzWorld;

/// One second, in microseconds.
const SECOND: u64 = 1_000_000;
/// Time between two polls of the world, in microseconds.
const POLL_INTERVAL: u64 = 10_000;
/// Number of edits, at ten a second.
const EDITS: usize = 1_200;
/// Polls between two edits.
const POLLS_PER_EDIT: usize = 10;
/// Number of seeds for takeovers and outages.
const SEEDS: u64 = 20;
/// Number of cold requests in one outage.
const COLD_REQUESTS: usize = 30;
/// Deadline of the cold requests.
const DEADLINE: Duration = Duration::from_secs(8);

fn main() {
    measure_edits(false);
    measure_edits(true);
    measure_takeover();
    measure_outage("promises of successors", &TimingRules::default());
    let stop = TimingRules { max_extension: Duration::ZERO, ..TimingRules::default() };
    measure_outage("stop at lease expiry", &stop);
}

/// Commits ten edits a second; with `restarts` a process is killed every four seconds, and all
/// killed processes are started again about two seconds later.
fn measure_edits(restarts: bool) {
    let mut world = FuzzWorld::new(11);
    world.advance(20 * SECOND);
    let mut pending: Vec<(u64, u64)> = Vec::new();
    let mut times = Histogram::<u64>::new(3).expect("three digits are allowed");
    for edit in 0..EDITS {
        world.accept_edit(edit as u8);
        pending.push((world.accepted_revision(), world.now));
        if restarts && edit % 40 == 20 {
            world.kill_process(edit % world.slot_count());
        }
        if restarts && edit % 40 == 39 {
            world.start_missing();
        }
        for _ in 0..POLLS_PER_EDIT {
            world.advance(POLL_INTERVAL);
            record_in_force(&world, &mut pending, &mut times);
        }
    }
    for _ in 0..1_000 {
        world.advance(POLL_INTERVAL);
        record_in_force(&world, &mut pending, &mut times);
    }
    let millis = |quantile| times.value_at_quantile(quantile) / 1_000;
    println!(
        "edits, restarts {restarts}: {} in force everywhere, {} not; p50 {} ms, p99 {} ms, worst {} ms",
        times.len(),
        pending.len(),
        millis(0.5),
        millis(0.99),
        times.max() / 1_000
    );
}

/// Records the delay of each edit that is now in force in every running process.
fn record_in_force(world: &FuzzWorld, pending: &mut Vec<(u64, u64)>, times: &mut Histogram<u64>) {
    let lowest_revision = world.active_revisions().into_iter().min().unwrap_or(0);
    pending.retain(|(revision, accepted)| {
        let in_force = *revision <= lowest_revision;
        if in_force {
            times.record(world.now - accepted).expect("the histogram grows");
        }
        !in_force
    });
}

/// Measures the time from a leader's death until another process of its zone may send orders.
fn measure_takeover() {
    let mut times = Histogram::<u64>::new(3).expect("three digits are allowed");
    for seed in 0..SEEDS {
        let mut world = FuzzWorld::new(seed);
        world.advance(20 * SECOND);
        let leader = world.leader_slot(0).expect("the zone has a leader");
        let died = world.now;
        world.kill_process(leader);
        while world.leader_slot(0).is_none() && world.now - died < 60 * SECOND {
            world.advance(POLL_INTERVAL);
        }
        times.record(world.now - died).expect("the histogram grows");
    }
    println!(
        "takeover after a death: p50 {} ms, worst {} ms, {SEEDS} seeds",
        times.value_at_quantile(0.5) / 1_000,
        times.max() / 1_000
    );
}

/// Takes the key-value service down for five minutes and requests a cold model every ten seconds.
fn measure_outage(name: &str, timing: &TimingRules) {
    let (mut requested, mut answered) = (0, 0);
    for seed in 0..SEEDS {
        let mut world = FuzzWorld::with_timing(seed, timing.clone());
        world.advance(20 * SECOND);
        world.set_store_down();
        let mut calls = Vec::new();
        for round in 0..COLD_REQUESTS {
            // Idle models are unloaded after a few seconds, so each of these is cold again.
            let slot = round % world.slot_count();
            calls.extend(world.request_model(slot, round % 4, DEADLINE));
            world.advance(10 * SECOND);
        }
        requested += calls.len();
        answered += calls.iter().filter(|call| world.oracle.was_answered(**call)).count();
        assert_eq!(world.oracle.violation(), None, "seed {seed}");
    }
    println!(
        "outage, {name}: {answered} of {requested} cold requests served, others refused in time"
    );
}
