//! Actions of a script: requests, process and network faults, edits, and the check of recovery.

use std::time::Duration;

use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::configuration::ConfigurationHead;
use wagtailledge_decisions::configuration::HEAD_KEY;
use wagtailledge_decisions::configuration::digest_of;
use wagtailledge_decisions::configuration::shard_key;
use wagtailledge_decisions::configuration::split_shards;
use wagtailledge_decisions::configuration::to_items;
use wagtailledge_decisions::limits::RequestRate;

use crate::action::FuzzAction;

use super::event_queue::ScheduledEvent;
use super::inventory::ASSETS;
use super::inventory::FULL_EDIT;
use super::inventory::ZONES;
use super::inventory::build_inventory;
use super::inventory::build_reduced_inventory;
use super::returns::StoreReturn;
use super::state::FuzzWorld;

/// Unit of freezes and deadlines in scripts, in milliseconds.
const UNIT_MILLIS: u64 = 100;
/// Deadline of the requests of a burst.
const BURST_DEADLINE: Duration = Duration::from_secs(12);
/// Time that a process has to catch up after a freeze, in microseconds.
const CATCH_UP_TIME: u64 = 50_000;
/// Time that the system has to settle without faults, in microseconds.
const SETTLE_TIME: u64 = 40_000_000;
/// Deadline of the calls that check recovery.
const PROBE_DEADLINE: Duration = Duration::from_secs(25);
/// Time within which the calls that check recovery must be answered, in microseconds.
const PROBE_TIME: u64 = 26_000_000;

/// Limits that engines name; `None` lifts the limit.
const LIMITS: [Option<RequestRate>; 4] =
    [None, Some(RequestRate(500)), Some(RequestRate(1_000)), Some(RequestRate(4_000))];

/// Shares of answers that do not name the limit in force, per thousand.
const UNNAMED: [u32; 4] = [0, 0, 50, 100];

/// A duration of `count` + 1 script units.
fn script_units(count: u8) -> Duration {
    Duration::from_millis(UNIT_MILLIS * (1 + u64::from(count)))
}

/// Time after which lost hosts start again, in microseconds.
const RETURN_TIME: u64 = 1_000_000;

/// What becomes of the host of a lost holder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum HolderReturn {
    /// It is gone.
    #[default]
    Gone,
    /// It starts again.
    Starts,
    /// It starts again and drains at once.
    Drains,
}

/// Which of the hosts that a lease record names start again after they were lost.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaderReturn {
    /// What becomes of the host of the holder.
    pub holder: HolderReturn,
    /// Whether the host of the first successor starts again.
    pub successor: bool,
    /// Whether they come back at other addresses.
    pub elsewhere: bool,
}

impl LeaderReturn {
    /// The return that a number selects.
    fn new(choice: u8) -> Self {
        let has = |bit: u8| choice & bit != 0;
        let holder = match (has(1), has(8)) {
            (false, _) => HolderReturn::Gone,
            (true, false) => HolderReturn::Starts,
            (true, true) => HolderReturn::Drains,
        };
        Self { holder, successor: has(2), elsewhere: has(4) }
    }
}

impl FuzzWorld {
    fn slot(&self, choice: u8) -> usize {
        usize::from(choice) % self.slots.len()
    }

    /// Applies an action of callers or on processes. Any other is applied as an environment action.
    pub(super) fn apply_host_action(&mut self, action: FuzzAction) {
        match action {
            FuzzAction::Advance(_) => {}
            FuzzAction::AskModel { host, asset, deadline } => {
                let slot = self.slot(host);
                self.request_model(slot, usize::from(asset), script_units(deadline));
            }
            FuzzAction::Burst { asset } => {
                for slot in 0..self.slots.len() {
                    self.request_model(slot, usize::from(asset), BURST_DEADLINE);
                }
            }
            FuzzAction::CallService { host, key, deadline } => {
                let slot = self.slot(host);
                self.call_service(slot, u32::from(key), script_units(deadline / 2));
            }
            FuzzAction::Leave(choice) => self.disconnect_caller(usize::from(choice)),
            FuzzAction::Kill(host) => self.kill(self.slot(host)),
            FuzzAction::LoseLeaders(choice) => {
                let zone = usize::from(choice) % ZONES.len();
                self.lose_leaders(zone, LeaderReturn::new(choice / ZONES.len() as u8));
            }
            FuzzAction::Start(host) => {
                let slot = self.slot(host);
                self.start(slot);
            }
            FuzzAction::Pause(host, time) => {
                let until = self.now + script_units(time).as_micros() as u64;
                let slot = self.slot(host);
                self.freeze(slot, until);
            }
            FuzzAction::StrikeLeader(zone, how) => {
                self.disrupt_leader(usize::from(zone) % ZONES.len(), how);
            }
            FuzzAction::BurstAndStrike { asset, how, after } => {
                self.apply_host_action(FuzzAction::Burst { asset });
                self.advance(u64::from(after) * 1_000);
                if let Some(zone) = self.home_zone(usize::from(asset)) {
                    self.disrupt_leader(zone, how);
                }
            }
            FuzzAction::StoreReturns(kind, time) => {
                self.return_store(StoreReturn::new(kind, time));
            }
            FuzzAction::Drain(host) => {
                let slot = self.slot(host);
                self.drain(slot);
            }
            other => self.apply_environment_action(other),
        }
    }

    /// Home zone of an asset, which is the zone whose leader places the asset; `None` if no process
    /// runs or the asset is unknown.
    pub(super) fn home_zone(&self, asset: usize) -> Option<usize> {
        let process = self.slots.iter().find_map(|slot| slot.process.as_ref())?;
        let catalog = process.reducer.catalog();
        let name = ASSETS[asset % ASSETS.len()];
        let key = catalog.asset_named(name).or(catalog.asset_named(&format!("{name}@1")))?;
        let home = catalog.scopes_by_preference(key);
        ZONES.iter().position(|zone| home.first() == Some(zone))
    }

    /// Kills, freezes, cuts off or drains the leader of a zone.
    fn disrupt_leader(&mut self, zone: usize, how: u8) {
        let leads = |slot: &usize| {
            self.zone_of_slot(*slot) == zone
                && self.slots[*slot]
                    .process
                    .as_ref()
                    .is_some_and(|process| process.reducer.has_authority(process.clock(self.now)))
        };
        let Some(slot) = (0..self.slots.len()).find(leads) else {
            return;
        };
        match how % 5 {
            0 => self.kill(slot),
            1 => self.freeze(slot, self.now + script_units(how).as_micros() as u64),
            2 => {
                self.faults.store_cuts.insert(slot);
            }
            3 => self.drain(slot),
            _ => self.partition_leader(slot, usize::from(how)),
        }
    }

    /// Kills the holder of a zone's lease and its successors, as the stored record names them, and starts
    /// some of them again a second later.
    pub fn lose_leaders(&mut self, zone: usize, returns: LeaderReturn) {
        let Some(record) = self.stored_lease(zone) else {
            return;
        };
        let slot_of = |name: &str| self.slots.iter().position(|slot| slot.name == name);
        let holder = slot_of(&record.holder.name);
        let successors: Vec<usize> =
            record.successors.iter().filter_map(|identity| slot_of(&identity.name)).collect();
        for slot in successors.iter().copied().chain(holder) {
            self.kill(slot);
        }
        self.advance(RETURN_TIME);
        let first_successor = successors.first().copied();
        let returning = [
            holder.filter(|_| returns.holder != HolderReturn::Gone),
            first_successor.filter(|_| returns.successor),
        ];
        for slot in returning.into_iter().flatten() {
            self.slots[slot].moves += u64::from(returns.elsewhere);
            self.start(slot);
        }
        if let Some(slot) = holder.filter(|_| returns.holder == HolderReturn::Drains) {
            self.drain(slot);
        }
    }

    /// Cuts the leader off from the key-value service, and from one host of its zone that can
    /// still reach that service.
    fn partition_leader(&mut self, slot: usize, choice: usize) {
        let in_zone: Vec<usize> = self.slots_in(self.zone_of_slot(slot)).collect();
        let other = in_zone[choice % in_zone.len()];
        self.faults.store_cuts.insert(slot);
        self.faults.host_cuts.insert((slot.min(other), slot.max(other)));
    }

    /// Freezes a process until virtual time `until`, and extends the deadlines of its open calls.
    pub(super) fn freeze(&mut self, slot: usize, until: u64) {
        let Some(process) = self.slots[slot].process.as_mut() else {
            return;
        };
        process.frozen_until = process.frozen_until.max(until);
        let caught_up = process.clock(process.frozen_until + CATCH_UP_TIME).0;
        for call in process.open_calls.values() {
            self.oracle.extend_deadline(*call, caught_up);
        }
    }

    pub(super) fn drain(&mut self, slot: usize) {
        let now = self.now;
        let Some(process) = self.slots[slot].process.as_mut() else {
            return;
        };
        if process.frozen_until <= now && !process.draining {
            process.draining = true;
            self.submit(slot, HostEvent::Drain);
        }
    }

    /// Applies an action on the network, engines, key-value service or inventory.
    fn apply_environment_action(&mut self, action: FuzzAction) {
        let zone = |choice: u8| usize::from(choice) % ZONES.len();
        match action {
            FuzzAction::CutZones(a, b) if zone(a) != zone(b) => {
                let pair = (zone(a).min(zone(b)), zone(a).max(zone(b)));
                self.faults.zone_cuts.insert(pair);
            }
            FuzzAction::CutHosts(a, b) => {
                let (a, b) = (self.slot(a), self.slot(b));
                self.faults.host_cuts.insert((a.min(b), a.max(b)));
            }
            FuzzAction::CutEngine(host, engine) => {
                let upstreams = self.engines.len() + self.instance_zones.len();
                let pair = (self.slot(host), usize::from(engine) % upstreams);
                self.faults.upstream_cuts.insert(pair);
            }
            FuzzAction::CutStore(host) => {
                let slot = self.slot(host);
                self.faults.store_cuts.insert(slot);
            }
            FuzzAction::StoreOutage => self.faults.store_down = true,
            FuzzAction::Heal => self.heal(),
            FuzzAction::RestartEngine(engine) => {
                let index = usize::from(engine) % self.engines.len();
                self.engines[index].restart();
                self.oracle.forget_orders(index);
                self.drop_orders(index);
            }
            FuzzAction::ToggleEngine(engine) => {
                let index = usize::from(engine) % self.engines.len();
                let since = self.engines[index].leaving_since;
                self.engines[index].leaving_since = since.is_none().then_some(self.now);
            }
            FuzzAction::LimitEngine(engine, rate) => {
                let index = usize::from(engine) % self.engines.len();
                let choice = usize::from(rate);
                let unnamed = UNNAMED[choice / LIMITS.len() % UNNAMED.len()];
                self.engines[index].limit.set(self.now, LIMITS[choice % LIMITS.len()]);
                self.engines[index].limit.set_unnamed(unnamed);
            }
            FuzzAction::SlowStore(factor) => self.faults.load_factor = 1 + u64::from(factor) % 8,
            FuzzAction::Network { loss, twice, delay } => {
                self.faults.loss = u32::from(loss);
                self.faults.duplication = u32::from(twice);
                self.faults.max_extra_delay = u64::from(delay) * 10_000;
            }
            FuzzAction::Edit(variant) => self.edit(variant),
            _ => {}
        }
    }

    /// Drops orders in flight to an engine, whose connections close when the engine restarts.
    fn drop_orders(&mut self, engine: usize) {
        self.events.retain(|_, event| {
            !matches!(event, ScheduledEvent::OrderArrival(_, _, to, ..) if *to == engine)
        });
    }

    /// Repairs all cuts, and ends the outage of the key-value service and late writes.
    pub fn heal(&mut self) {
        if self.faults.has_cuts() {
            self.faults.healed_at = Some(self.now);
        }
        self.faults.store_down = false;
        self.faults.late_writes = 0;
        self.faults.store_cuts.clear();
        self.faults.zone_cuts.clear();
        self.faults.host_cuts.clear();
        self.faults.upstream_cuts.clear();
    }

    /// Commits an edit of the inventory, unless the key-value service is down.
    pub(super) fn edit(&mut self, variant: u8) {
        if self.faults.store_down {
            return;
        }
        let build = if self.removes_items { build_reduced_inventory } else { build_inventory };
        let mut document = build(variant);
        document.accounts = self.quotas.entries();
        let items = to_items(&document);
        let shards = split_shards(&items);
        for (index, (hash, text)) in shards.iter().enumerate() {
            self.store.write_as_operator(shard_key(index, *hash), text.clone());
        }
        self.revision += 1;
        let head = ConfigurationHead {
            revision: self.revision,
            digest: digest_of(&items),
            shards: shards.iter().map(|(hash, _)| *hash).collect(),
            history: Vec::new(),
        };
        let value = serde_json::to_string(&head).expect("a head has only string keys");
        self.store.write_as_operator(HEAD_KEY.to_owned(), value);
    }

    /// Ends all faults and checks that every asset is served again.
    pub fn check_recovery(&mut self) {
        self.heal();
        self.stop_quota_load();
        self.faults.loss = 0;
        self.faults.duplication = 0;
        self.faults.max_extra_delay = 0;
        self.faults.load_factor = 1;
        for engine in &mut self.engines {
            engine.leaving_since = None;
            engine.limit.set(self.now, None);
        }
        if self.removes_items {
            self.edit(FULL_EDIT);
        }
        self.advance(SETTLE_TIME);
        for slot in 0..self.slots.len() {
            self.start(slot);
        }
        self.advance(SETTLE_TIME);
        self.check_settled();
        let mut calls = Vec::new();
        for asset in 0..ASSETS.len() {
            let slot = asset % self.slots.len();
            calls.extend(self.request_model(slot, asset, PROBE_DEADLINE));
        }
        self.advance(PROBE_TIME);
        for call in calls {
            if !self.oracle.was_answered(call) {
                self.oracle.report_violation("recovery", &format!("call {call} was not answered"));
            }
        }
    }

    /// Checks that each process has the last revision in force and each zone has one leader.
    fn check_settled(&mut self) {
        for slot in &self.slots {
            let Some(process) = slot.process.as_ref() else {
                continue;
            };
            let revision = process.reducer.catalog().revision;
            if revision != self.revision {
                let detail = format!("{} has {revision} of {}", slot.name, self.revision);
                self.oracle.report_violation("configuration in force everywhere", &detail);
            }
        }
        for (index, zone) in ZONES.into_iter().enumerate() {
            if self.slots_in(index).next().is_none() {
                continue;
            }
            let in_zone = self.slots.iter().filter(|slot| slot.zone == zone);
            let running = in_zone.filter_map(|slot| slot.process.as_ref());
            let leads = running
                .filter(|process| process.reducer.has_authority(process.clock(self.now)))
                .count();
            if leads != 1 {
                self.oracle.report_violation("recovery", &format!("{zone} has {leads} leaders"));
            }
        }
    }
}
