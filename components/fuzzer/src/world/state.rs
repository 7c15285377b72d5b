//! State of the world and the passing of time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::HostStamp;
use wagtailledge_decisions::TimingRules;

use crate::action::FuzzAction;
use crate::oracle::PromiseOracle;

use super::engines::FuzzEngine;
use super::flight::Flight;
use super::flight::ProcessId;
use super::inventory::ENGINES_PER_ZONE;
use super::inventory::HOSTS_PER_ZONE;
use super::inventory::MEMORY;
use super::inventory::ZONES;
use super::inventory::document;
use super::processes::FuzzProcess;
use super::processes::FuzzSlot;
use super::store::FuzzStore;

/// Between two ticks of a process, in microseconds.
const TICK: u64 = 20_000;
/// Between two reads of the host list, in microseconds.
const LIST_READ: u64 = 1_000_000;
/// Largest error of a process's clock, in parts per million.
const MAX_DRIFT: i64 = 10_000;

/// What is cut, and how bad the network is.
#[derive(Debug, Default)]
pub struct FaultState {
    /// The key-value service is away.
    pub store_down: bool,
    /// Slots that cannot reach the key-value service.
    pub store_cuts: BTreeSet<usize>,
    /// Pairs of zones that cannot reach each other, smaller index first.
    pub zone_cuts: BTreeSet<(usize, usize)>,
    /// Pairs of slots that cannot reach each other, smaller index first.
    pub host_cuts: BTreeSet<(usize, usize)>,
    /// Slots and upstreams that cannot reach each other.
    pub engine_cuts: BTreeSet<(usize, usize)>,
    /// Messages lost, per thousand.
    pub loss: u32,
    /// Orders that stay in transit for seconds, per thousand; lost messages come on top.
    pub late_orders: u32,
    /// Messages delivered twice, per thousand.
    pub twice: u32,
    /// Longest extra delay of a message, in microseconds.
    pub delay: u64,
    /// How many times slower loads are.
    pub load_factor: u64,
}

/// Orders that stay in transit for seconds unless a situation says otherwise, per thousand.
const LATE_ORDERS: u32 = 100;

/// Reducers, engines, services and the key-value service in virtual time.
#[derive(Debug)]
pub struct FuzzWorld {
    /// Now, in microseconds.
    pub now: u64,
    /// Events that reducers took in.
    pub steps: u64,
    /// Whether to print actions, decisions and orders.
    pub trace: bool,
    /// Durations of all processes.
    timing: TimingRules,
    /// The promises.
    pub oracle: PromiseOracle,
    pub(super) rng: SmallRng,
    pub(super) slots: Vec<FuzzSlot>,
    pub(super) engines: Vec<FuzzEngine>,
    /// Zones of the service's instances; they follow the engines in the numbering of upstreams.
    pub(super) instances: Vec<usize>,
    pub(super) store: FuzzStore,
    pub(super) faults: FaultState,
    pub(super) flights: BTreeMap<(u64, u64), Flight>,
    pub(super) sequence: u64,
    pub(super) last_call: u64,
    /// Revision accepted last.
    pub(super) revision: u64,
    /// Replicas that each asset may have in a zone.
    pub(super) caps: BTreeMap<String, usize>,
}

impl FuzzWorld {
    /// A world with an accepted inventory and all processes just started.
    pub fn new(seed: u64) -> Self {
        Self::with_timing(seed, TimingRules::default())
    }

    /// The same with other durations.
    pub fn with_timing(seed: u64, timing: TimingRules) -> Self {
        let mut world = Self {
            now: 1_000_000,
            steps: 0,
            trace: false,
            timing,
            oracle: PromiseOracle::default(),
            rng: SmallRng::seed_from_u64(seed),
            slots: Vec::new(),
            engines: Vec::new(),
            instances: (0..ZONES.len()).collect(),
            store: FuzzStore::default(),
            faults: FaultState {
                load_factor: 1,
                late_orders: LATE_ORDERS,
                ..FaultState::default()
            },
            flights: BTreeMap::new(),
            sequence: 0,
            last_call: 0,
            revision: 0,
            caps: BTreeMap::new(),
        };
        for engine in document(1).engines {
            world.engines.push(FuzzEngine::new(engine.name, engine.zone, engine.checks_tokens));
        }
        for model in document(1).models {
            world.caps.insert(format!("{}@1", model.name), usize::from(model.cap));
        }
        for adapter in document(1).adapters {
            let cap = world.caps[&format!("{}@1", adapter.base)];
            world.caps.insert(adapter.name, cap);
        }
        for zone in ZONES {
            for number in 0..HOSTS_PER_ZONE {
                world.slots.push(FuzzSlot {
                    name: format!("{zone}-{number}"),
                    zone: zone.to_owned(),
                    process: None,
                    incarnations: 0,
                    listed: false,
                });
            }
        }
        world.edit(1);
        for slot in 0..world.slots.len() {
            world.start(slot);
        }
        world
    }

    pub(super) fn zone_of_slot(slot: usize) -> usize {
        slot / HOSTS_PER_ZONE
    }

    pub(super) fn zone_of_upstream(&self, upstream: usize) -> usize {
        if upstream < self.engines.len() {
            upstream / ENGINES_PER_ZONE
        } else {
            self.instances[upstream - self.engines.len()]
        }
    }

    /// Starts a process in a slot, unless one runs there.
    pub(super) fn start(&mut self, slot: usize) {
        if self.slots[slot].process.is_some() {
            return;
        }
        let place = &mut self.slots[slot];
        place.incarnations += 1;
        place.listed = true;
        let id = ProcessId { slot, incarnation: place.incarnations };
        let stamp = HostStamp {
            name: place.name.clone(),
            zone: place.zone.clone(),
            scope: place.zone.clone(),
            address: format!("10.2.{slot}.0:70"),
            incarnation: place.incarnations,
            capacity: 0,
        };
        let drift = self.rng.random_range(-MAX_DRIFT..=MAX_DRIFT);
        let seed = self.rng.random();
        let mut process = FuzzProcess::start(self.now, id, stamp, self.timing.clone(), drift, seed);
        process.next_tick += self.rng.random_range(0..TICK);
        self.slots[slot].process = Some(process);
    }

    /// The process in a slot dies: nothing is owed to its callers.
    pub(super) fn kill(&mut self, slot: usize) {
        if let Some(process) = self.slots[slot].process.take() {
            for call in process.open.values() {
                self.oracle.abandoned(*call);
            }
            self.slots[slot].listed = self.rng.random_bool(0.5);
        }
    }

    pub(super) fn send_after(&mut self, delay: u64, flight: Flight) {
        self.sequence += 1;
        self.flights.insert((self.now + delay, self.sequence), flight);
    }

    /// Carries out one action of a script.
    pub fn act(&mut self, action: FuzzAction) {
        if self.trace && !matches!(action, FuzzAction::Advance(_)) {
            println!("{:>10.3} {action:?}", self.now as f64 / 1e6);
        }
        match action {
            FuzzAction::Advance(millis) => self.advance(u64::from(millis) * 1_000),
            other => self.interfere(other),
        }
    }

    /// Lets time pass, in microseconds.
    pub fn advance(&mut self, span: u64) {
        let end = self.now + span;
        loop {
            let flight = self.flights.first_key_value().map(|(key, _)| key.0);
            let tick = self.slots.iter().filter_map(|slot| slot.process.as_ref());
            let tick = tick.map(|process| process.next_tick.max(process.paused_until)).min();
            let next = flight.into_iter().chain(tick).min().unwrap_or(u64::MAX);
            if next > end || self.oracle.violation().is_some() {
                self.now = self.now.max(end);
                return;
            }
            self.now = self.now.max(next);
            if flight == Some(next) {
                if let Some((_, flight)) = self.flights.pop_first() {
                    self.deliver(flight);
                }
            } else {
                self.tick_due();
            }
        }
    }

    fn tick_due(&mut self) {
        for slot in 0..self.slots.len() {
            let now = self.now;
            let due = self.slots[slot]
                .process
                .as_ref()
                .is_some_and(|process| process.next_tick.max(process.paused_until) <= now);
            if due {
                self.tick(slot);
            }
        }
        self.check_leaders();
    }

    fn tick(&mut self, slot: usize) {
        self.submit(slot, HostEvent::Tick);
        let Some(process) = self.slots[slot].process.as_mut() else {
            return;
        };
        process.next_tick = self.now + TICK;
        let asked = process.clock(self.now);
        let clock = asked.0;
        for call in process.open.values() {
            self.oracle.still_open(*call, clock);
        }
        let key = (slot as u64) << 32 | process.id.incarnation;
        self.oracle.in_force(key, process.reducer.catalog().revision);
        if self.now >= process.next_list {
            process.next_list = self.now + LIST_READ;
            let id = process.id;
            let hosts = self.host_list();
            let delay = self.rng.random_range(1_000..50_000);
            self.send_after(delay, Flight::Hosts(id, asked, hosts));
        }
        self.finish_drain(slot);
    }

    /// A drained process ends; nothing may be open there.
    fn finish_drain(&mut self, slot: usize) {
        let Some(process) = self.slots[slot].process.as_ref() else {
            return;
        };
        if !process.draining || !process.reducer.is_drained() {
            return;
        }
        if !process.open.is_empty() {
            let detail = format!("{} ended with open calls", process.stamp.name);
            self.oracle.broken("graceful shutdown", &detail);
        }
        self.kill(slot);
    }

    /// Checks what all engines hold.
    pub(super) fn check_engines(&mut self) {
        let mut replicas: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        for engine in &self.engines {
            self.oracle.engine_holds(&engine.name, engine.held_bytes(), MEMORY);
            for asset in engine.assets() {
                *replicas.entry((&engine.zone, asset)).or_default() += 1;
            }
        }
        for ((zone, asset), count) in replicas {
            let cap = self.caps.get(asset).copied().unwrap_or(0);
            self.oracle.zone_holds(zone, asset, count, cap);
        }
    }

    fn check_leaders(&mut self) {
        for (index, zone) in ZONES.iter().enumerate() {
            let slots = &self.slots[index * HOSTS_PER_ZONE..(index + 1) * HOSTS_PER_ZONE];
            let running = slots.iter().filter_map(|slot| slot.process.as_ref());
            let leads =
                |process: &&FuzzProcess| process.reducer.has_authority(process.clock(self.now));
            self.oracle.leaders(zone, running.filter(leads).count());
        }
    }
}
