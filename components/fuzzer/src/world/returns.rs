//! Returns of the key-value service from a copy that is some seconds old.

use rand::Rng;
use wagtailledge_decisions::lease::LeaseRecord;
use wagtailledge_decisions::lease::lease_key;
use wagtailledge_decisions::store::StoreCall;
use wagtailledge_decisions::store::StoreOp;
use wagtailledge_decisions::store::StoreOutcome;

use super::event_queue::ProcessId;
use super::event_queue::ScheduledEvent;
use super::inventory::ZONES;
use super::state::FuzzWorld;
use super::store::StoreReply;
use super::store::expected_version;

/// Step in which the world waits for something, in microseconds.
const WAIT_STEP: u64 = 100_000;
/// Longest wait for another leader, in microseconds.
const MAX_TAKEOVER_WAIT: u64 = 12_000_000;
/// Time for which the service is away before it comes back, in microseconds.
const AWAY_TIME: u64 = 500_000;
/// Shortest and longest time after which a late write is carried out, in microseconds.
const MIN_LATE_TIME: u64 = 500_000;
const MAX_LATE_TIME: u64 = 6_000_000;
/// Writes without an answer that are carried out late, per thousand.
const LATE_WRITES: u32 = 300;

/// How a lease changes hands after the copy was made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LostTakeover {
    /// It doesn't.
    #[default]
    None,
    /// Its holder drains.
    Drained,
    /// Its holder is killed.
    Killed,
}

/// Whom a leader reaches around the return of the key-value service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LeaderTouch {
    /// Everyone.
    #[default]
    All,
    /// Neither the service nor any host, from the absence of the service on.
    Apart,
    /// Of all hosts only the successors that its record names, and not the service, from then on.
    Successors,
    /// The same, and the successors reach no others and not the service.
    Island,
    /// Neither the service nor any host, and no host from the takeover on.
    Unheard,
}

/// A return of the key-value service from a copy, and the faults around it.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreReturn {
    /// Zone whose lease the other fields concern.
    pub zone: usize,
    /// Age that the copy has when the takeover begins, in microseconds.
    pub age: u64,
    /// Takeover that the copy doesn't have.
    pub takeover: LostTakeover,
    /// Time from the takeover to the absence of the service, in microseconds.
    pub term: u64,
    /// Whom the leader reaches.
    pub leader: LeaderTouch,
    /// Whether all hosts but the leader and the next one are out of touch with the service and each other
    /// from the takeover on, until the service returns.
    pub others_apart: bool,
    /// Whether all processes are killed while the service is away, and others start when it is back.
    pub restarts: bool,
    /// Whether writes without an answer are carried out seconds later.
    pub late_writes: bool,
}

impl StoreReturn {
    /// The return that two numbers select.
    pub(super) fn new(kind: u8, time: u8) -> Self {
        let has = |bit: u8| kind & bit != 0;
        let takeover = match (has(4), has(8)) {
            (false, _) => LostTakeover::None,
            (true, false) => LostTakeover::Drained,
            (true, true) => LostTakeover::Killed,
        };
        let leader = match (has(16), has(128)) {
            (false, _) => LeaderTouch::All,
            (true, false) => LeaderTouch::Apart,
            (true, true) if time.is_multiple_of(2) => LeaderTouch::Unheard,
            (true, true) if time % 4 == 3 => LeaderTouch::Island,
            (true, true) => LeaderTouch::Successors,
        };
        Self {
            zone: usize::from(kind) % ZONES.len(),
            age: u64::from(time % 16) * 250_000,
            takeover,
            term: u64::from(time / 16) * 200_000,
            leader,
            others_apart: has(128) && !has(16),
            restarts: has(32),
            late_writes: has(64),
        }
    }
}

impl FuzzWorld {
    /// Keeps copies of the key-value service, so that it can come back from one.
    pub fn keep_store_copies(&mut self) {
        self.store.start_copies();
    }

    /// Takes the key-value service away and brings it back from a copy.
    pub fn return_store(&mut self, plan: StoreReturn) {
        let StoreReturn { zone, age, takeover, .. } = plan;
        let taken_by = self.now.saturating_sub(age);
        if plan.late_writes {
            self.faults.late_writes = LATE_WRITES;
        }
        let others = if plan.others_apart { self.hosts_without_lease(zone) } else { Vec::new() };
        for slot in &others {
            self.cut_off(*slot);
        }
        if takeover != LostTakeover::None {
            self.change_leader(zone, takeover);
        }
        let leader = self.leader_slot(zone);
        if let Some(slot) = leader.filter(|_| plan.leader == LeaderTouch::Unheard) {
            self.cut_from_hosts(slot);
        }
        self.advance(plan.term);
        if let Some(slot) = leader.filter(|_| plan.leader != LeaderTouch::All) {
            self.cut_off(slot);
            let successors = self.successors_of(zone);
            match plan.leader {
                LeaderTouch::Successors => self.join(&[slot], &successors),
                LeaderTouch::Island => {
                    for successor in &successors {
                        self.cut_off(*successor);
                    }
                    let island: Vec<usize> = successors.into_iter().chain([slot]).collect();
                    self.join(&island, &island);
                }
                _ => {}
            }
        }
        self.store.go_away();
        if plan.restarts {
            for slot in 0..self.slots.len() {
                self.kill(slot);
            }
        }
        self.advance(AWAY_TIME);
        self.store.return_from_copy(taken_by);
        if self.trace {
            println!("{:>10.3} the store is in era {}", self.now as f64 / 1e6, self.store.era());
        }
        let leader = leader.filter(|_| plan.leader != LeaderTouch::All);
        for slot in &others {
            self.end_cuts(*slot, leader);
        }
        if plan.restarts {
            self.start_missing();
        }
    }

    /// Executes a call at the key-value service. The answer may get lost.
    pub(super) fn execute_store_call(&mut self, id: ProcessId, call: StoreCall) {
        if self.faults.store_cuts.contains(&id.slot) {
            return;
        }
        let late = self.faults.late_writes;
        if late > 0 && self.chance(late) {
            let delay = self.rng.random_range(MIN_LATE_TIME..MAX_LATE_TIME);
            self.schedule_after(delay, ScheduledEvent::LateWrite(call.op));
            return;
        }
        if self.is_store_down() {
            return;
        }
        self.store.keep_copy(self.now);
        let expected = expected_version(&call.op).unwrap_or(0);
        let outcome = self.store.call(call.op);
        if self.chance(self.faults.loss + 5) {
            return;
        }
        let delay = self.rng.random_range(500..20_000);
        let reply = StoreReply { outcome, era: self.store.era(), expected };
        self.schedule_after(delay, ScheduledEvent::StoreAnswer(id, call.id, reply));
    }

    /// Executes a write whose process gets no answer, as soon as the key-value service is there.
    pub(super) fn execute_late_write(&mut self, op: StoreOp) {
        if self.is_store_down() {
            self.schedule_after(WAIT_STEP, ScheduledEvent::LateWrite(op));
            return;
        }
        self.store.keep_copy(self.now);
        let outcome = self.store.call(op.clone());
        if self.trace && matches!(outcome, StoreOutcome::Done { .. }) {
            println!("{:>10.3} late write {op:?}", self.now as f64 / 1e6);
        }
    }

    fn is_store_down(&self) -> bool {
        self.faults.store_down || self.store.is_away()
    }

    /// Ends the term of a zone's leader and waits for the next one.
    fn change_leader(&mut self, zone: usize, how: LostTakeover) {
        let Some(leader) = self.leader_slot(zone) else {
            return;
        };
        match how {
            LostTakeover::None => return,
            LostTakeover::Drained => self.drain(leader),
            LostTakeover::Killed => self.kill(leader),
        }
        for _ in 0..MAX_TAKEOVER_WAIT / WAIT_STEP {
            if self.leader_slot(zone).is_some_and(|slot| slot != leader) {
                return;
            }
            self.advance(WAIT_STEP);
        }
    }

    /// Running hosts of a zone but its leader and one that may follow.
    fn hosts_without_lease(&self, zone: usize) -> Vec<usize> {
        let leader = self.leader_slot(zone);
        let running = self.slots_in(zone).filter(|slot| self.slots[*slot].process.is_some());
        running.filter(|slot| Some(*slot) != leader).skip(1).collect()
    }

    fn cut_off(&mut self, slot: usize) {
        self.cut_from_hosts(slot);
        self.faults.store_cuts.insert(slot);
    }

    /// Ends the cuts of a host but the one from `apart`.
    fn end_cuts(&mut self, slot: usize, apart: Option<usize>) {
        self.faults.healed_at = Some(self.now);
        self.faults.store_cuts.remove(&slot);
        let stays = |other: usize| Some(other) == apart;
        self.faults
            .host_cuts
            .retain(|(a, b)| (*a != slot || stays(*b)) && (*b != slot || stays(*a)));
    }

    /// Stored record of a zone's lease.
    pub(super) fn stored_lease(&mut self, zone: usize) -> Option<LeaseRecord> {
        match self.store.call(StoreOp::Read { key: lease_key(ZONES[zone]) }) {
            StoreOutcome::Found { value, .. } => LeaseRecord::parse(&value),
            _ => None,
        }
    }

    /// Slots of the successors that the stored record of a zone's lease names.
    fn successors_of(&mut self, zone: usize) -> Vec<usize> {
        let record = self.stored_lease(zone);
        let named = record.iter().flat_map(|record| &record.successors);
        let slot_of = |name: &str| self.slots.iter().position(|slot| slot.name == name);
        named.filter_map(|identity| slot_of(&identity.name)).collect()
    }

    /// Ends the cuts between two groups of hosts.
    fn join(&mut self, some: &[usize], others: &[usize]) {
        let joins = |a: usize, b: usize| some.contains(&a) && others.contains(&b);
        self.faults.host_cuts.retain(|(a, b)| !joins(*a, *b) && !joins(*b, *a));
    }

    fn cut_from_hosts(&mut self, slot: usize) {
        for other in (0..self.slots.len()).filter(|other| *other != slot) {
            self.faults.host_cuts.insert((slot.min(other), slot.max(other)));
        }
    }
}
