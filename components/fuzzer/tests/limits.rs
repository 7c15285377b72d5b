//! Limits of engines over all hosts, at several numbers of hosts, in virtual time.

use std::time::Duration;

use wagtailledge_decisions::TimingRules;
use wagtailledge_decisions::limits::RequestRate;
use wagtailledge_fuzzer::action::FuzzAction;
use wagtailledge_fuzzer::world::FuzzWorld;

/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(5);
/// One second, in microseconds.
const SECOND: u64 = 1_000_000;
/// Limit that the engine names.
const LIMIT: RequestRate = RequestRate(1_000);
/// Requests a second over all hosts.
const LOAD: u64 = 20;
/// Time for which the limit is named, in seconds.
const LIMITED_TIME: u64 = 40;
/// Numbers of hosts: those of a small site, of a grown one and of a large one.
const HOST_COUNTS: [usize; 3] = [8, 72, 195];

/// Timing rules of hosts on the users' platform.
fn timing() -> TimingRules {
    TimingRules {
        heartbeat: Duration::from_millis(600),
        peer_timeout: Duration::from_millis(1_500),
        lease_ttl: Duration::from_secs(3),
        lease_renewal: Duration::from_secs(1),
        lease_margin: Duration::from_millis(400),
        promise_ttl: Duration::from_secs(3),
        notice_pause: Duration::from_millis(2),
        ..TimingRules::default()
    }
}

/// A world with `hosts` hosts in one zone, whose only engine with `m0` has a limit.
#[derive(Debug)]
struct LimitedWorld {
    world: FuzzWorld,
    engine: usize,
    calls: u64,
    /// Number of hosts that get requests.
    busy_hosts: usize,
}

impl LimitedWorld {
    fn start(seed: u64, hosts: usize) -> Self {
        Self::start_in_zones(seed, [hosts, 0, 0, 0])
    }

    /// Like [`Self::start`], with this number of hosts in each zone.
    fn start_in_zones(seed: u64, zones: [usize; 4]) -> Self {
        let hosts = zones.iter().sum();
        let mut world = FuzzWorld::with_hosts(seed, timing(), zones);
        world.disable_late_orders();
        world.advance(12 * SECOND);
        let mut limited = Self { world, engine: 0, calls: 0, busy_hosts: hosts };
        limited.run(10, |_, _| ());
        limited.engine = limited.world.engine_with("m0@1").expect("the model is loaded");
        limited.world.set_limit(limited.engine, Some(LIMIT));
        limited
    }

    /// Sends requests through all hosts in turn for `seconds`. `disrupt` is called each second with
    /// its number.
    fn run(&mut self, seconds: u64, mut disrupt: impl FnMut(&mut FuzzWorld, u64)) {
        for second in 0..seconds {
            disrupt(&mut self.world, second);
            for _ in 0..LOAD {
                let slot = (self.calls * 7) as usize % self.busy_hosts;
                self.calls += 1;
                self.world.request_model(slot, 0, DEADLINE);
                self.world.advance(SECOND / LOAD);
            }
        }
    }

    /// Requests that reached the engine during `run`.
    fn arrivals(&mut self, run: impl FnOnce(&mut Self)) -> usize {
        let before = self.world.arrival_count(self.engine);
        run(self);
        self.world.arrival_count(self.engine) - before
    }

    fn assert_kept(&self, name: &str) {
        assert_eq!(self.world.oracle.violation(), None, "{name}");
    }
}

#[test]
fn can_use_a_limit_fully_at_any_number_of_hosts() {
    for hosts in HOST_COUNTS {
        let mut limited = LimitedWorld::start(1, hosts);
        limited.run(4, |_, _| ());
        let used = limited.arrivals(|limited| limited.run(LIMITED_TIME, |_, _| ()));
        limited.assert_kept(&format!("{hosts} hosts"));
        let allowed = LIMITED_TIME * LIMIT.0 / 1_000;
        let range = allowed * 9 / 10..=allowed + 2;
        assert!(range.contains(&(used as u64)), "{hosts} hosts sent {used} of {allowed}");
    }
}

#[test]
fn can_use_a_limit_fully_when_one_host_gets_all_requests() {
    for hosts in HOST_COUNTS {
        let mut limited = LimitedWorld::start(5, hosts);
        limited.busy_hosts = 1;
        limited.run(4, |_, _| ());
        let used = limited.arrivals(|limited| limited.run(LIMITED_TIME, |_, _| ()));
        limited.assert_kept(&format!("{hosts} hosts"));
        let allowed = LIMITED_TIME * LIMIT.0 / 1_000;
        let range = allowed * 9 / 10..=allowed + 2;
        assert!(range.contains(&(used as u64)), "{hosts} hosts sent {used} of {allowed}");
    }
}

#[test]
fn can_keep_a_limit_below_one_request_a_second() {
    for hosts in HOST_COUNTS {
        let mut limited = LimitedWorld::start(6, hosts);
        let engine = limited.engine;
        limited.world.set_limit(engine, Some(RequestRate(200)));
        limited.run(6, |_, _| ());
        let used = limited.arrivals(|limited| limited.run(LIMITED_TIME, disrupt_hosts));
        limited.assert_kept(&format!("{hosts} hosts"));
        assert!(used > 0, "{hosts} hosts sent none");
    }
}

/// Kills, starts, drains, freezes and cuts off hosts and their leader, a different one each second.
fn disrupt_hosts(world: &mut FuzzWorld, second: u64) {
    let host = (second * 31) as u8;
    let leader = world.leader_slot(0);
    match (second % 10, leader) {
        (0, _) => world.apply_action(FuzzAction::Kill(host)),
        (1, _) => world.apply_action(FuzzAction::Drain(host)),
        (2, _) => world.apply_action(FuzzAction::CutHosts(host, host.wrapping_add(1))),
        (3 | 6, _) => world.start_missing(),
        (4, Some(slot)) => world.kill_process(slot),
        (5, _) => world.apply_action(FuzzAction::Pause(host, 20)),
        (7, Some(slot)) => {
            for other in 0..world.slot_count() / 3 {
                world.cut_hosts(slot, other);
            }
        }
        (8, Some(slot)) => world.freeze_for(slot, 2 * SECOND),
        _ => world.heal(),
    }
}

#[test]
fn can_keep_a_limit_while_hosts_come_go_and_are_cut_off() {
    for (hosts, seeds) in HOST_COUNTS.into_iter().zip([6, 3, 1]) {
        for seed in 0..seeds {
            let mut limited = LimitedWorld::start(seed, hosts);
            let used = limited.arrivals(|limited| limited.run(LIMITED_TIME, disrupt_hosts));
            limited.assert_kept(&format!("{hosts} hosts, seed {seed}"));
            assert!(used as u64 > LIMITED_TIME / 4, "{hosts} hosts sent {used}, seed {seed}");
        }
    }
}

#[test]
fn can_use_a_limited_engine_without_the_key_value_service() {
    for hosts in HOST_COUNTS {
        let mut limited = LimitedWorld::start(2, hosts);
        limited.world.set_store_down();
        let used = limited.arrivals(|limited| limited.run(LIMITED_TIME, |_, _| ()));
        limited.assert_kept(&format!("{hosts} hosts"));
        assert!(used as u64 > LIMITED_TIME / 2, "{hosts} hosts sent {used}");
    }
}

#[test]
fn can_use_an_engine_fully_once_it_lifts_its_limit() {
    for hosts in HOST_COUNTS {
        let mut limited = LimitedWorld::start(3, hosts);
        limited.run(6, |_, _| ());
        let engine = limited.engine;
        limited.world.set_limit(engine, None);
        limited.run(3, |_, _| ());
        let used = limited.arrivals(|limited| limited.run(10, |_, _| ()));
        limited.assert_kept(&format!("{hosts} hosts"));
        assert!(used as u64 >= 10 * LOAD * 9 / 10, "{hosts} hosts sent {used}");
    }
}

/// Seeds of each run with late messages, or with answers that do not name the limit.
const SEEDS: u64 = 10;

/// Violations with the seeds of the runs in which they happened.
fn broken_runs(play: impl Fn(u64) -> LimitedWorld) -> Vec<String> {
    let run = |seed| play(seed).world.oracle.violation().map(|found| format!("{seed}: {found}"));
    (0..SEEDS).filter_map(run).collect()
}

/// Lifts the limit at the start of every ten seconds and names it again `pause` seconds later. Two
/// seconds after that, the leader of the engine's zone freezes.
fn lift_and_name_again(engine: usize, pause: u64) -> impl FnMut(&mut FuzzWorld, u64) {
    move |world, second| {
        let leader = world.leader_slot(world.zone_of_engine(engine));
        match (second % 10, leader) {
            (0, _) => world.set_limit(engine, None),
            (named, _) if named == pause => world.set_limit(engine, Some(LIMIT)),
            (later, Some(slot)) if later == pause + 2 => world.freeze_for(slot, 2 * SECOND),
            _ => {}
        }
    }
}

#[test]
fn can_keep_a_limit_that_ended_and_was_named_again_while_messages_are_late() {
    let delays = [(2, 300_000), (2, SECOND), (2, 2 * SECOND), (18, 2 * SECOND)];
    for ((hosts, longest_delay), pause) in delays.into_iter().flat_map(|run| [(run, 2), (run, 5)]) {
        let broken = broken_runs(|seed| {
            let mut limited = LimitedWorld::start_in_zones(seed, [hosts; 4]);
            limited.world.set_loss(10);
            limited.world.set_message_delay(longest_delay);
            let engine = limited.engine;
            limited.run(LIMITED_TIME, lift_and_name_again(engine, pause));
            limited
        });
        let run = format!("{hosts} hosts a zone, up to {longest_delay} us, after {pause} s");
        assert!(broken.is_empty(), "{run}: {broken:#?}");
    }
}

#[test]
fn can_keep_a_limit_that_some_answers_do_not_name() {
    for (hosts, unnamed) in [(2, 50), (2, 100), (18, 100)] {
        let broken = broken_runs(|seed| {
            let mut limited = LimitedWorld::start_in_zones(seed, [hosts; 4]);
            limited.world.set_unnamed_limits(limited.engine, unnamed);
            limited.run(LIMITED_TIME, |_, _| ());
            limited
        });
        assert!(broken.is_empty(), "{hosts} hosts a zone, {unnamed} in 1,000: {broken:#?}");
    }
}
