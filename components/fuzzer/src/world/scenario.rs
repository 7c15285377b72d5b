//! Controls and queries for tests and examples that build a fixed scenario.

use wagtailledge_decisions::limits::RequestRate;

use super::inventory::ZONES;
use super::state::FuzzWorld;
use super::state::HeldOrders;

impl FuzzWorld {
    /// Number of slots, with and without a process.
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// Slots with a running process.
    pub fn running_slots(&self) -> Vec<usize> {
        (0..self.slots.len()).filter(|slot| self.slots[*slot].process.is_some()).collect()
    }

    /// Slots of each zone except the first `kept` ones.
    pub fn slots_except_first(&self, kept: usize) -> Vec<usize> {
        (0..ZONES.len()).flat_map(|zone| self.slots_in(zone).skip(kept)).collect()
    }

    /// Kills the process in a slot.
    pub fn kill_process(&mut self, slot: usize) {
        self.kill(slot);
    }

    /// Starts a process in every empty slot.
    pub fn start_missing(&mut self) {
        for slot in 0..self.slots.len() {
            self.start(slot);
        }
    }

    /// Freezes the process in a slot for `span` microseconds.
    pub fn freeze_for(&mut self, slot: usize, span: u64) {
        self.freeze(slot, self.now + span);
    }

    /// Home zone of an asset, which is the zone whose leader places the asset; zone 0 if no process
    /// runs.
    pub fn home_zone_of(&self, asset: usize) -> usize {
        self.home_zone(asset).unwrap_or(0)
    }

    /// Slot of the process that may send orders to a zone's engines and is not frozen.
    pub fn leader_slot(&self, zone: usize) -> Option<usize> {
        (0..self.slots.len()).find(|slot| {
            let process = self.slots[*slot].process.as_ref();
            let leads = process.is_some_and(|process| {
                process.frozen_until <= self.now
                    && process.reducer.has_authority(process.clock(self.now))
            });
            self.zone_of_slot(*slot) == zone && leads
        })
    }

    /// Numbers of the calls that are open at the process in a slot.
    pub fn open_calls(&self, slot: usize) -> Vec<u64> {
        let process = self.slots[slot].process.as_ref();
        process.map_or_else(Vec::new, |process| process.open_calls.values().copied().collect())
    }

    /// Cuts a zone off from all other zones.
    pub fn isolate_zone(&mut self, zone: usize) {
        for other in (0..ZONES.len()).filter(|other| *other != zone) {
            self.faults.zone_cuts.insert((zone.min(other), zone.max(other)));
        }
    }

    /// Makes an engine name a limit in its answers; `None` lifts it.
    pub fn set_limit(&mut self, engine: usize, rate: Option<RequestRate>) {
        self.engines[engine].limit.set(self.now, rate);
    }

    /// Makes an engine leave its limit unnamed in this share of its answers, per thousand.
    pub fn set_unnamed_limits(&mut self, engine: usize, permille: u32) {
        self.engines[engine].limit.set_unnamed(permille);
    }

    /// Number of requests that reached an engine so far.
    pub fn arrival_count(&self, engine: usize) -> usize {
        self.engines[engine].limit.arrivals()
    }

    /// Zone of an engine.
    pub fn zone_of_engine(&self, engine: usize) -> usize {
        self.zone_of_upstream(engine)
    }

    /// Index of the engine on which an asset is resident and ready; `None` if there is none.
    pub fn engine_with(&self, asset: &str) -> Option<usize> {
        self.engines.iter().position(|engine| engine.is_ready(self.now, asset))
    }

    /// Cuts the network between two entry hosts.
    pub fn cut_hosts(&mut self, one: usize, other: usize) {
        self.faults.host_cuts.insert((one.min(other), one.max(other)));
    }

    /// Cuts an entry host off from the key-value service.
    pub fn cut_store(&mut self, slot: usize) {
        self.faults.store_cuts.insert(slot);
    }

    /// Sets whether upstreams run calls and close their connections without an answer.
    pub fn set_upstreams_failing(&mut self, failing: bool) {
        self.faults.upstreams_failing = failing;
    }

    /// Makes the key-value service unreachable for all hosts.
    pub fn set_store_down(&mut self) {
        self.faults.store_down = true;
    }

    /// Makes the host list unreadable for all hosts.
    pub fn set_host_list_down(&mut self) {
        self.faults.host_list_down = true;
    }

    /// Sets the probability that a message or answer is lost, per thousand.
    pub fn set_loss(&mut self, permille: u32) {
        self.faults.loss = permille;
    }

    /// Sets the longest extra delay of a message between hosts, in microseconds.
    pub fn set_message_delay(&mut self, longest: u64) {
        self.faults.max_extra_delay = longest;
    }

    /// Makes orders take milliseconds from now on; none stays in transit for seconds.
    pub fn disable_late_orders(&mut self) {
        self.faults.late_orders = 0;
        self.faults.held_orders = HeldOrders::default();
    }

    /// Sets the probability that an order stays unsent for longer than its host waits for an answer,
    /// per thousand, and whether hosts send what they have given up.
    pub fn hold_orders(&mut self, permille: u32, sent_after_all: bool) {
        self.faults.held_orders = HeldOrders { permille, sent_after_all };
    }

    /// Number of load orders for an asset that engines accepted.
    pub fn load_count(&self, asset: &str) -> u32 {
        self.engines.iter().map(|engine| engine.load_count(asset)).sum()
    }

    /// Commits an edit of the inventory; `variant` selects it.
    pub fn accept_edit(&mut self, variant: u8) {
        self.edit(variant);
    }

    /// Last committed revision.
    pub fn accepted_revision(&self) -> u64 {
        self.revision
    }

    /// Revisions in force, one for each running process.
    pub fn active_revisions(&self) -> Vec<u64> {
        let running = self.slots.iter().filter_map(|slot| slot.process.as_ref());
        running.map(|process| process.reducer.catalog().revision).collect()
    }
}
