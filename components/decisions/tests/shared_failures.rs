//! A cut of one zone with the hosts of a whole deployment, and reports about single engines. The decision
//! modules run here without hosts and without a network.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use wagtailledge_decisions::Moment;
use wagtailledge_decisions::event::UpstreamReach;
use wagtailledge_decisions::reachability::AwaitedAnswer;
use wagtailledge_decisions::reachability::END_SILENCE;
use wagtailledge_decisions::reachability::FailureLog;
use wagtailledge_decisions::reachability::OutageBook;
use wagtailledge_decisions::reachability::ReportedOutages;
use wagtailledge_decisions::reachability::ZoneWatch;
use wagtailledge_inventory::UpstreamKey;

const HOSTS: usize = 86;
const ENGINES: usize = 140;
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Zone that is cut off, at these times of the simulation.
const CUT_ZONE: &str = "d";
const CUT: std::ops::Range<u64> = 2_000..8_000;
const END_MS: u64 = 12_000;
/// Requests a second at each host, of customer C.
const RATE: f64 = 4.1;
/// Time for which a request to a reachable engine waits for its first event, at most.
const SLOWEST_FIRST_MS: u64 = 900;
/// Time that a connect without a reply takes in the runtime.
const CONNECT_MS: u64 = 300;

fn moment(ms: u64) -> Moment {
    Moment((100_000 + ms) * 1_000)
}

/// A request in flight.
#[derive(Debug, Clone, Copy)]
struct Flight {
    engine: usize,
    sent: u64,
    /// When its first event comes; `None` if it is lost.
    answered: Option<u64>,
    /// Whether it needed a new connection.
    connects: bool,
}

#[derive(Debug, Default)]
struct SimulatedHost {
    zone: usize,
    zones: ZoneWatch,
    failures: FailureLog,
    reported: ReportedOutages,
    flights: Vec<Flight>,
    checks: Vec<(usize, u64)>,
    /// Attempts that failed or hung in the cut.
    lost: usize,
    /// Time after the cut until which it avoided an engine or zone.
    avoided_ms: u64,
}

/// Hosts and engines, of which those of one zone are cut off for a while.
struct Simulation {
    engines: Vec<UpstreamKey>,
    index: BTreeMap<UpstreamKey, usize>,
    hosts: Vec<SimulatedHost>,
    book: OutageBook,
    rng: SmallRng,
    uses_reports: bool,
    /// Requests a second at each host.
    rate: f64,
}

fn zone_of(engine: usize) -> &'static str {
    ZONES[engine % ZONES.len()]
}

impl Simulation {
    fn new(seed: u64, uses_reports: bool, rate: f64) -> Self {
        let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
        let engines: Vec<UpstreamKey> = (0..ENGINES).map(|_| keys.insert(())).collect();
        let index = engines.iter().enumerate().map(|(index, key)| (*key, index)).collect();
        let mut hosts: Vec<SimulatedHost> = (0..HOSTS)
            .map(|host| SimulatedHost { zone: host % ZONES.len(), ..Default::default() })
            .collect();
        for host in &mut hosts {
            host.zones.restart(moment(0));
        }
        let rng = SmallRng::seed_from_u64(seed);
        Self { engines, index, hosts, book: OutageBook::default(), rng, uses_reports, rate }
    }

    /// Whether the host and the engine are on different sides of the cut.
    fn is_cut(&self, host: usize, engine: usize, ms: u64) -> bool {
        let host_zone = ZONES[self.hosts[host].zone];
        CUT.contains(&ms) && (host_zone == CUT_ZONE) != (zone_of(engine) == CUT_ZONE)
    }

    fn run(&mut self) {
        for ms in (0..END_MS).step_by(10) {
            for host in 0..HOSTS {
                self.arrive(host, ms);
                self.progress(host, ms);
                self.examine(host, ms);
            }
            if self.uses_reports && ms.is_multiple_of(100) {
                self.exchange_reports(ms);
            }
        }
    }

    /// Sends a request to one of three random replicas that is admitted.
    fn arrive(&mut self, host: usize, ms: u64) {
        if !self.rng.random_bool(self.rate / 100.0) {
            return;
        }
        self.send(host, ms);
    }

    fn send(&mut self, host: usize, ms: u64) {
        let now = moment(ms);
        let replicas: Vec<usize> = (0..3).map(|_| self.rng.random_range(0..ENGINES)).collect();
        let state = &self.hosts[host];
        let admitted = replicas.into_iter().find(|engine| {
            state.zones.admits(now, zone_of(*engine))
                && !state.reported.avoids(now, self.engines[*engine])
        });
        let Some(engine) = admitted else {
            return;
        };
        let is_lost = self.is_cut(host, engine, ms);
        let wait = self.rng.random_range(60..SLOWEST_FIRST_MS);
        let answered = (!is_lost).then_some(ms + wait);
        let connects = self.rng.random_bool(0.5);
        let state = &mut self.hosts[host];
        state.zones.record_dispatch(zone_of(engine));
        state.flights.push(Flight { engine, sent: ms, answered, connects });
    }

    /// Ends requests and checks that are answered, lost or given up.
    fn progress(&mut self, host: usize, ms: u64) {
        let now = moment(ms);
        for flight in std::mem::take(&mut self.hosts[host].flights) {
            let (key, zone) = (self.engines[flight.engine], zone_of(flight.engine));
            let is_cut = self.is_cut(host, flight.engine, ms);
            let state = &mut self.hosts[host];
            if flight.answered.is_some_and(|at| at <= ms) && !is_cut {
                state.zones.record_answer(now, zone, now);
                state.failures.record_answer(key, now);
                state.reported.record_answer(now, key, now);
                continue;
            }
            let waited = ms - flight.sent;
            let is_silent = waited >= END_SILENCE.as_millis() as u64;
            let is_ended = is_silent && state.zones.is_unreachable(zone);
            let is_unconnected =
                flight.answered.is_none() && flight.connects && waited >= CONNECT_MS;
            if !is_ended && !is_unconnected {
                state.flights.push(flight);
                continue;
            }
            state.lost += 1;
            if !is_ended {
                state.zones.record_failure(now, zone, key, moment(flight.sent));
            }
            state.failures.record_failure(now, key);
            self.send(host, ms);
        }
        for (engine, started) in std::mem::take(&mut self.hosts[host].checks) {
            let (key, zone) = (self.engines[engine], zone_of(engine));
            let is_lost = self.is_cut(host, engine, started);
            let state = &mut self.hosts[host];
            let reach = if !is_lost {
                state.failures.record_answer(key, now);
                state.reported.record_answer(now, key, now);
                UpstreamReach::Listening
            } else if ms - started >= CONNECT_MS {
                state.failures.record_failure(now, key);
                UpstreamReach::Silent
            } else {
                state.checks.push((engine, started));
                continue;
            };
            state.zones.record_check(now, zone, key, reach);
        }
    }

    fn examine(&mut self, host: usize, ms: u64) {
        let now = moment(ms);
        let engines = &self.engines;
        let state = &mut self.hosts[host];
        state.zones.tick(now);
        let avoids = state.zones.unreachable().next().is_some()
            || state.reported.avoided(now).next().is_some();
        if ms > CUT.end && avoids {
            state.avoided_ms = ms - CUT.end;
        }
        if !ms.is_multiple_of(50) {
            return;
        }
        let awaited = state.flights.iter().map(|flight| AwaitedAnswer {
            zone: zone_of(flight.engine),
            since: moment(flight.sent),
        });
        let suspected: BTreeSet<String> = state.zones.hanging_zones(now, awaited);
        let upstreams_of = |zone: &str| {
            let of_zone = |engine: &usize| zone_of(*engine) == zone;
            (0..ENGINES).filter(of_zone).map(|engine| engines[engine]).collect()
        };
        let mut checks = state.zones.start_checks(now, &suspected, upstreams_of, &mut self.rng);
        let SimulatedHost { zones, reported, .. } = state;
        for (upstream, zone) in reported.start_checks(now, |zone| !zones.is_unreachable(zone)) {
            zones.record_check_started(now, &zone, upstream);
            checks.push(upstream);
        }
        let index = &self.index;
        state.checks.extend(checks.into_iter().map(|key| (index[&key], ms)));
    }

    /// The leader, in another zone than the one that is cut off, collects and publishes.
    fn exchange_reports(&mut self, ms: u64) {
        let now = moment(ms);
        let hears = |host: &SimulatedHost| !CUT.contains(&ms) || ZONES[host.zone] != CUT_ZONE;
        for (number, host) in self.hosts.iter().enumerate().filter(|(_, host)| hears(host)) {
            let current = host.failures.current(now);
            self.book.replace(now, &number.to_string(), ZONES[host.zone], current);
        }
        self.book.update(now);
        if !self.book.take_publication(now) {
            return;
        }
        let index = &self.index;
        for host in self.hosts.iter_mut().filter(|host| hears(host)) {
            let rows = self.book.outages().map(|outage| {
                let (age, left) = (now.since(outage.failed_at), outage.until.since(now));
                (outage.upstream, zone_of(index[&outage.upstream]).to_owned(), age, left)
            });
            host.reported.replace(now, rows);
        }
    }
}

/// Most attempts that a host outside the cut zone lost, and their mean number.
fn lost_outside(simulation: &Simulation) -> (usize, f64) {
    let outside = simulation.hosts.iter().filter(|host| ZONES[host.zone] != CUT_ZONE);
    let lost: Vec<usize> = outside.map(|host| host.lost).collect();
    let mean = lost.iter().sum::<usize>() as f64 / lost.len() as f64;
    (lost.into_iter().max().unwrap_or(0), mean)
}

#[test]
fn can_lose_few_attempts_to_a_zone_that_is_cut_off() {
    // Without shared failures a host loses an attempt for each engine behind the cut, three times.
    for seed in 0..4 {
        let mut simulation = Simulation::new(seed, true, RATE);
        simulation.run();
        let (most, mean) = lost_outside(&simulation);
        assert!(most <= 5, "seed {seed}: {most} lost attempts at a host, {mean:.1} on average");
        let latest = simulation.hosts.iter().map(|host| host.avoided_ms).max().unwrap();
        assert!(latest < 1_000, "seed {seed}: an engine gets nothing {latest} ms after the cut");
    }
}

#[test]
fn can_find_a_cut_with_many_requests_by_own_observations_alone() {
    // Of 30 requests a second, 7.5 go to the zone. Some four of them are in flight when it is cut off, and
    // it gets new ones for 0.3 s. Deadlines of seconds would lose 40.
    let mut simulation = Simulation::new(7, false, 30.0);
    simulation.run();
    let (most, mean) = lost_outside(&simulation);
    assert!(mean <= 6.5 && most <= 16, "{most} lost attempts at a host, {mean:.1} on average");
}

#[test]
fn can_use_the_own_zone_on_the_wrong_side_of_a_cut() {
    let mut simulation = Simulation::new(3, true, RATE);
    simulation.run();
    for host in simulation.hosts.iter().filter(|host| ZONES[host.zone] == CUT_ZONE) {
        assert!(!host.zones.is_unreachable(CUT_ZONE));
        // Three zones are lost at once.
        assert!(host.lost <= 15, "{} lost attempts", host.lost);
    }
}

#[test]
fn can_keep_an_engine_that_one_faulty_host_reports() {
    let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
    let engine = keys.insert(());
    let mut book = OutageBook::default();
    for ms in (0..5_000).step_by(100) {
        let failures = [(engine, Duration::ZERO)];
        book.replace(moment(ms), "faulty", "a", failures.into_iter());
        // Another host of its zone had a single failure.
        if ms == 500 {
            book.replace(moment(ms), "other", "a", failures.into_iter());
        }
        assert_eq!(book.update(moment(ms)), [], "two hosts of one zone do not suffice");
        assert!(!book.take_publication(moment(ms)));
    }
}

#[test]
fn can_publish_an_engine_until_its_reports_end() {
    let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
    let (engine, other) = (keys.insert(()), keys.insert(()));
    let mut book = OutageBook::default();
    let failures = [(engine, Duration::from_millis(100))];
    book.replace(moment(100), "h1", "a", failures.into_iter());
    book.replace(moment(100), "h2", "b", failures.into_iter());
    // An absurd age.
    book.replace(moment(100), "h3", "c", [(other, Duration::MAX)].into_iter());
    let added: Vec<UpstreamKey> =
        book.update(moment(100)).iter().map(|outage| outage.upstream).collect();
    assert_eq!(added, [engine]);
    assert!(book.take_publication(moment(100)));
    assert!(!book.take_publication(moment(300)), "nothing new");
    book.update(moment(3_200));
    assert!(book.take_publication(moment(3_200)), "its end is published");
    assert_eq!(book.outages().count(), 0);
}

#[test]
fn can_trust_an_own_answer_more_than_reports() {
    let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
    let engine = keys.insert(());
    let left = Duration::from_secs(3);
    let row = |age_ms| (engine, "a".to_owned(), Duration::from_millis(age_ms), left);
    let mut reported = ReportedOutages::default();
    reported.record_answer(moment(100), engine, moment(100));
    reported.replace(moment(200), [row(150)].into_iter());
    assert!(!reported.avoids(moment(200), engine), "it answered after that failure");
    assert_eq!(reported.replace(moment(300), [row(50)].into_iter()), [engine]);
    let checks = reported.start_checks(moment(300), |_| true);
    assert_eq!(checks, [(engine, "a".to_owned())], "it still gets probes");
    assert_eq!(reported.start_checks(moment(400), |_| true), [], "one at a time");
    reported.record_answer(moment(410), engine, moment(410));
    assert!(!reported.avoids(moment(410), engine));
    reported.replace(moment(900), [row(0)].into_iter());
    assert!(!reported.avoids(moment(900), engine), "this host contradicts a repeated report");
    reported.replace(moment(1_500), [row(0)].into_iter());
    assert!(reported.avoids(moment(1_500), engine));
    assert!(!reported.avoids(moment(4_600), engine), "reports end");
}

#[test]
fn can_leave_checks_to_the_runtime_while_ticks_are_irregular() {
    // A host without processor time finds the replies to its checks late, and must not blame the zone.
    for (tick_ms, is_decided) in [(10, true), (60, false)] {
        let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
        let engines: Vec<UpstreamKey> = (0..4).map(|_| keys.insert(())).collect();
        let mut rng = SmallRng::seed_from_u64(1);
        let mut zones = ZoneWatch::default();
        zones.restart(moment(0));
        zones.record_failure(moment(0), "a", engines[0], moment(0));
        let chosen = zones.start_checks(moment(0), &BTreeSet::new(), |_| engines.clone(), &mut rng);
        assert_eq!(chosen.len(), 3);
        for ms in (0..=300).step_by(tick_ms) {
            zones.tick(moment(ms));
        }
        assert_eq!(zones.is_unreachable("a"), is_decided, "ticks of {tick_ms} ms");
        for engine in chosen {
            zones.record_check(moment(310), "a", engine, UpstreamReach::Silent);
        }
        assert!(zones.is_unreachable("a"), "the runtime's results count");
    }
}
