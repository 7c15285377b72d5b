//! Load of customer C without a network: engines that work in steps, and hosts that know of them only
//! what their own answers say.

mod engine;

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use wagtailledge_decisions::Moment;
use wagtailledge_decisions::event::UpstreamLoad;
use wagtailledge_decisions::request::RequestKey;
use wagtailledge_decisions::routing::PromptWork;
use wagtailledge_decisions::routing::UpstreamCandidate;
use wagtailledge_decisions::routing::UpstreamTracker;
use wagtailledge_decisions::routing::WorkTracker;
use wagtailledge_inventory::UpstreamKey;

use engine::Notice;
use engine::SimulatedEngine;

const HOSTS: usize = 86;
const ENGINES: usize = 140;
const MODELS: usize = 263;
const ZONES: usize = 4;
/// Different leading parts of the long prompts for one model.
const PREFIXES: u64 = 10;
/// Age of a load report when the host gets it.
const REPORT_AGE: Duration = Duration::from_millis(100);
/// Time at the start that does not count, while hosts learn.
const WARM_UP: Duration = Duration::from_secs(20);
/// Time that counts.
const LENGTH: Duration = Duration::from_secs(60);
/// Long and short prompts a second: two thirds more than usual.
const RATES: [f64; 2] = [280.0, 165.0];
pub const LONG: usize = 0;
pub const SHORT: usize = 1;

/// By what hosts choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Basis {
    Requests,
    Work,
}

/// Result of a run.
#[derive(Debug, Default)]
pub struct FleetResult {
    /// Times to the first event in ms, for long and short prompts.
    first_ms: [Vec<f64>; 2],
    /// Requests by engine.
    sent: Vec<u32>,
}

impl FleetResult {
    /// Share of the requests whose first event took longer.
    pub fn late(&self, kind: usize, bound_ms: f64) -> f64 {
        let late = self.first_ms[kind].iter().filter(|first| **first > bound_ms).count();
        late as f64 / self.first_ms[kind].len() as f64
    }

    /// Share of the requests that the engines of pace 1.2 got.
    pub fn share_of_slow(&self) -> f64 {
        let slow = self.sent.iter().enumerate().filter(|(engine, _)| usual_pace(*engine) > 1.0);
        f64::from(slow.map(|(_, sent)| sent).sum::<u32>())
            / f64::from(self.sent.iter().sum::<u32>())
    }
}

/// Every fourth engine is fast.
fn usual_pace(engine: usize) -> f64 {
    if engine.is_multiple_of(4) { 0.55 } else { 1.2 }
}

struct Host {
    tracker: UpstreamTracker,
    work: WorkTracker,
    rng: SmallRng,
    zone: usize,
}

/// Request in flight.
struct Open {
    host: usize,
    engine: usize,
    kind: usize,
    sent: Moment,
    begun: bool,
}

struct Fleet {
    basis: Basis,
    /// Pace that every seventh engine states, whatever it is.
    absurd: Option<u16>,
    rng: SmallRng,
    keys: Vec<UpstreamKey>,
    engines: Vec<SimulatedEngine>,
    hosts: Vec<Host>,
    /// Weights of the models, and engines with their replicas.
    models: Vec<(f64, Vec<usize>)>,
    requests: SlotMap<RequestKey, Open>,
    /// Load reports with the time at which a host gets them, the host and the engine.
    reports: VecDeque<(Moment, usize, usize, UpstreamLoad)>,
    counts: bool,
    result: FleetResult,
}

/// Runs the load with hosts that choose by `basis`; every seventh engine states the pace `absurd`.
pub fn run_fleet(seed: u64, basis: Basis, absurd: Option<u16>) -> FleetResult {
    let mut fleet = Fleet::new(seed, basis, absurd);
    let start = Moment(1_000_000_000);
    let mut now = start;
    while now.since(start) < WARM_UP + LENGTH {
        now = now.after(Duration::from_millis(1));
        fleet.counts = now.since(start) >= WARM_UP;
        for (kind, rate) in RATES.into_iter().enumerate() {
            if fleet.rng.random::<f64>() < rate / 1e3 {
                fleet.send(now, kind);
            }
        }
        fleet.deliver_reports(now);
        fleet.advance_engines(now);
    }
    fleet.result
}

impl Fleet {
    fn new(seed: u64, basis: Basis, absurd: Option<u16>) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut upstreams: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
        // Popular models have more replicas, but not in proportion to their share of the requests.
        let weights: Vec<f64> = (1..=MODELS).map(|rank| (rank as f64).powf(-0.9)).collect();
        let total: f64 = weights.iter().sum();
        let model = |weight: f64| {
            let count = ((weight / total * 600.0).ceil() as usize).clamp(1, 15);
            let mut replicas: Vec<usize> =
                (0..count).map(|_| rng.random_range(0..ENGINES)).collect();
            replicas.sort_unstable();
            replicas.dedup();
            (weight / total, replicas)
        };
        let models = weights.into_iter().map(model).collect();
        let host = |at: usize| Host {
            tracker: UpstreamTracker::default(),
            work: WorkTracker::default(),
            rng: SmallRng::seed_from_u64(seed * 1_000 + at as u64),
            zone: at % ZONES,
        };
        Self {
            basis,
            absurd,
            rng,
            keys: (0..ENGINES).map(|_| upstreams.insert(())).collect(),
            engines: (0..ENGINES).map(|at| SimulatedEngine::new(usual_pace(at), at)).collect(),
            hosts: (0..HOSTS).map(host).collect(),
            models,
            requests: SlotMap::with_key(),
            reports: VecDeque::new(),
            counts: false,
            result: FleetResult { sent: vec![0; ENGINES], ..FleetResult::default() },
        }
    }

    /// Sends a request of a random caller to a replica of a random model.
    fn send(&mut self, now: Moment, kind: usize) {
        let mut at = self.rng.random::<f64>();
        let model = self.models.iter().position(|(weight, _)| {
            at -= weight;
            at < 0.0
        });
        let model = model.unwrap_or(0);
        let prefix = model as u64 * 100;
        let prompt = if kind == LONG {
            let prefix = Some(prefix + self.rng.random_range(0..PREFIXES));
            PromptWork { tokens: 9_190, shared: 6_300, prefix, sticky: true, output: 54 }
        } else {
            let prefix = Some(prefix + PREFIXES);
            PromptWork { tokens: 826, shared: 198, prefix, sticky: true, output: 294 }
        };
        let at_host = self.rng.random_range(0..HOSTS);
        let host = &mut self.hosts[at_host];
        let candidate = |engine: &usize| UpstreamCandidate {
            key: self.keys[*engine],
            slots: 32,
            local: engine / 4 % ZONES == host.zone,
            name_hash: *engine as u64 * 7_919 + 1,
        };
        let candidates: Vec<UpstreamCandidate> =
            self.models[model].1.iter().map(candidate).collect();
        let (key, estimate) = match self.basis {
            Basis::Requests => {
                let affinity = prompt.prefix.filter(|_| kind == LONG);
                (host.tracker.choose(now, &candidates, affinity, &mut host.rng).unwrap(), None)
            }
            Basis::Work => {
                let choice = host.work.choose(now, &candidates, &prompt, &mut host.rng).unwrap();
                (choice.best.key, Some(choice.best))
            }
        };
        let engine = self.keys.iter().position(|other| *other == key).unwrap();
        let open = Open { host: at_host, engine, kind, sent: now, begun: false };
        let request = self.requests.insert(open);
        host.tracker.record_dispatch(key);
        if let Some(estimate) = estimate {
            host.work.record_sent(now, request, &prompt, estimate);
        }
        self.engines[engine].accept(request, prompt);
        // The head of the answer is sent at once.
        let mut load = self.engines[engine].load();
        load.pace = self.absurd.filter(|_| engine % 7 == 1).or(load.pace);
        self.reports.push_back((now.after(REPORT_AGE), at_host, engine, load));
        self.result.sent[engine] += u32::from(self.counts);
    }

    fn deliver_reports(&mut self, now: Moment) {
        while self.reports.front().is_some_and(|(due, ..)| *due <= now) {
            let (_, host, engine, load) = self.reports.pop_front().unwrap();
            let (host, key) = (&mut self.hosts[host], self.keys[engine]);
            host.tracker.record_load(now, key, load.running + load.waiting);
            host.work.record_load(now, key, load);
        }
    }

    fn advance_engines(&mut self, now: Moment) {
        let notices = self.engines.iter_mut().flat_map(|engine| engine.advance(now));
        for notice in notices.collect::<Vec<Notice>>() {
            match notice {
                Notice::Event(request) => {
                    let open = &mut self.requests[request];
                    if std::mem::replace(&mut open.begun, true) {
                        continue;
                    }
                    self.hosts[open.host].work.record_first_event(now, request);
                    let waited = now.since(open.sent).as_secs_f64() * 1e3;
                    if self.counts {
                        self.result.first_ms[open.kind].push(waited);
                    }
                }
                Notice::End(request) => {
                    let open = self.requests.remove(request).unwrap();
                    let host = &mut self.hosts[open.host];
                    host.tracker.record_end(self.keys[open.engine]);
                    host.work.record_ended(request);
                }
            }
        }
    }
}
