//! Epochs of leaders, also when the key-value service comes back from an earlier copy of what it held.

mod support;

use std::collections::BTreeMap;

use support::INVENTORY;
use support::TestHost;
use support::identity;
use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::TimingRules;
use wagtailledge_decisions::era::absent_in;
use wagtailledge_decisions::lease::LeaseRecord;
use wagtailledge_decisions::store::StoreOp;
use wagtailledge_decisions::store::StoreOutcome;

/// Versions hold the era from this bit on.
const ERA_SHIFT: u32 = 44;
/// Longest wait for a process to lead, in milliseconds.
const LEAD_LIMIT_MS: u64 = 20_000;
/// Time after which a process reaches none of the hosts that it was set up by.
const ALONE_MS: u64 = 4_000;

/// A key-value service that can come back from an earlier copy.
#[derive(Debug, Clone)]
struct ReturningStore {
    era: u64,
    revision: u64,
    /// Revision and value by key.
    items: BTreeMap<String, (u64, String)>,
}

impl ReturningStore {
    fn new() -> Self {
        Self { era: 1, revision: 0, items: BTreeMap::new() }
    }

    /// Comes back from `copy`, in the next era.
    fn return_from(&mut self, copy: &Self) {
        *self = Self { era: self.era + 1, ..copy.clone() };
    }

    fn dated(&self, revision: u64) -> u64 {
        (self.era << ERA_SHIFT) | revision
    }

    fn read(&self, key: &str) -> StoreOutcome {
        match self.items.get(key) {
            Some((revision, value)) => {
                StoreOutcome::Found { version: self.dated(*revision), value: value.clone() }
            }
            None => StoreOutcome::Absent { version: absent_in(self.era) },
        }
    }

    /// Answers a call of a client that knows the era.
    fn answer(&mut self, op: &StoreOp) -> StoreOutcome {
        match op {
            StoreOp::CompareAndSwap { key, expected, .. }
                if *expected != 0 && expected >> ERA_SHIFT != self.era =>
            {
                self.read(key)
            }
            _ => self.execute(op),
        }
    }

    /// Carries a call out as the service does, which knows no dated versions.
    fn execute(&mut self, op: &StoreOp) -> StoreOutcome {
        let (key, expected, value) = match op {
            StoreOp::CompareAndSwap { key, expected, value, .. } => (key, *expected, value),
            StoreOp::Read { key } => return self.read(key),
            StoreOp::Delete { .. } => return StoreOutcome::Failed,
        };
        let stored = self.items.get(key).map_or(0, |(revision, _)| *revision);
        if stored != expected & ((1 << ERA_SHIFT) - 1) {
            return self.read(key);
        }
        self.revision += 1;
        self.items.insert(key.clone(), (self.revision, value.clone()));
        StoreOutcome::Done { version: self.dated(self.revision) }
    }
}

/// A process that reaches the key-value service and no other host.
struct LoneProcess {
    host: TestHost,
    /// Number of effects already processed.
    processed: usize,
}

impl LoneProcess {
    fn start(name: &str) -> Self {
        let mut process = Self::start_in_touch(name);
        process.advance(ALONE_MS, &mut |_| Some(StoreOutcome::Failed));
        process
    }

    /// Starts a process that counts the host that set it up as reachable at first.
    fn start_in_touch(name: &str) -> Self {
        let host = TestHost::of_process(INVENTORY, TimingRules::default(), identity(name));
        Self { host, processed: 0 }
    }

    /// Advances the clock in ticks of 10 ms. Calls that `answer` has no outcome for stay open.
    fn advance(&mut self, millis: u64, answer: &mut dyn FnMut(&StoreOp) -> Option<StoreOutcome>) {
        for _ in 0..millis / 10 {
            self.host.advance(10);
            while self.processed < self.host.effects.len() {
                let effect = self.host.effects[self.processed].clone();
                self.processed += 1;
                if let HostEffect::Store(call) = effect
                    && let Some(outcome) = answer(&call.op)
                {
                    self.host.submit(HostEvent::StoreOutcome(call.id, outcome));
                }
            }
        }
    }

    /// Advances the clock until this process may send orders, and returns its epoch.
    fn lead(&mut self, store: &mut ReturningStore) -> u64 {
        for _ in 0..LEAD_LIMIT_MS / 10 {
            if self.host.reducer.has_authority(self.host.now) {
                return self.host.reducer.status(self.host.now).epoch;
            }
            self.advance(10, &mut |op| Some(store.answer(op)));
        }
        panic!("no lease within {LEAD_LIMIT_MS} ms; stored: {:?}", store.items);
    }

    /// Advances the clock until this process sends a takeover, which stays open and is returned.
    fn hold_takeover(&mut self, store: &mut ReturningStore) -> StoreOp {
        let mut held = None;
        for _ in 0..LEAD_LIMIT_MS / 10 {
            self.advance(10, &mut |op| match op {
                StoreOp::CompareAndSwap { key, .. } if key.starts_with("lease/") => {
                    held = Some(op.clone());
                    None
                }
                _ => Some(store.answer(op)),
            });
            if let Some(op) = held {
                return op;
            }
        }
        panic!("no takeover within {LEAD_LIMIT_MS} ms");
    }

    /// Gives the call that stayed open its outcome.
    fn end_takeover(&mut self, outcome: StoreOutcome) {
        let call = self.host.effects.iter().rev().find_map(|effect| match effect {
            HostEffect::Store(call) => Some(call.id),
            _ => None,
        });
        self.host.submit(HostEvent::StoreOutcome(call.expect("a call is open"), outcome));
    }
}

/// Guards against an epoch that only the lost record and ended processes had known.
#[test]
fn can_take_a_later_epoch_when_a_new_process_finds_an_older_record() {
    let mut store = ReturningStore::new();
    let first = LoneProcess::start("east-1").lead(&mut store);
    let copy = store.clone();
    let second = LoneProcess::start("east-2").lead(&mut store);
    assert!(second > first);
    store.return_from(&copy);
    let third = LoneProcess::start("east-3").lead(&mut store);
    assert!(third > second, "{third} after {second}");
}

#[test]
fn can_take_later_epochs_when_new_processes_find_no_record() {
    let mut store = ReturningStore::new();
    let copy = store.clone();
    let mut epochs = Vec::new();
    for number in 0..5 {
        epochs.push(LoneProcess::start(&format!("east-{number}")).lead(&mut store));
        store.return_from(&copy);
    }
    assert!(epochs.is_sorted_by(|earlier, later| earlier < later), "{epochs:?}");
}

/// Guards against a process that was out of touch while the lost record was in force.
#[test]
fn can_take_a_later_epoch_than_one_that_the_process_never_heard_of() {
    let mut store = ReturningStore::new();
    let first = LoneProcess::start("east-1").lead(&mut store);
    let copy = store.clone();
    let mut out_of_touch = LoneProcess::start("east-2");
    out_of_touch.advance(1_000, &mut |op| Some(store.answer(op)));
    let second = LoneProcess::start("east-3").lead(&mut store);
    assert!(second > first);
    store.return_from(&copy);
    let epoch = out_of_touch.lead(&mut store);
    assert!(epoch > second, "{epoch} after {second}");
}

/// Guards against a leader that goes on in its term when the store has lost the next one.
#[test]
fn can_take_a_later_epoch_when_the_record_of_this_process_came_back() {
    let mut store = ReturningStore::new();
    let mut first = LoneProcess::start("east-1");
    first.lead(&mut store);
    let copy = store.clone();
    first.advance(LEAD_LIMIT_MS, &mut |_| Some(StoreOutcome::Failed));
    assert!(!first.host.reducer.has_authority(first.host.now));
    let second = LoneProcess::start("east-2").lead(&mut store);
    store.return_from(&copy);
    let epoch = first.lead(&mut store);
    assert!(epoch > second, "{epoch} after {second}");
}

/// A takeover is carried out after the store has lost another of the same epoch; its answer is lost, or not. Checks the
/// epoch of the process that sent it.
fn assert_epoch_of_late_takeover(is_lost: bool, has_record: bool) {
    let mut store = ReturningStore::new();
    if has_record {
        LoneProcess::start("east-1").lead(&mut store);
    }
    let mut late = LoneProcess::start("east-2");
    let takeover = late.hold_takeover(&mut store);
    let copy = store.clone();
    let other = LoneProcess::start("east-3").lead(&mut store);
    store.return_from(&copy);
    let outcome = store.execute(&takeover);
    assert!(matches!(outcome, StoreOutcome::Done { .. }));
    late.end_takeover(if is_lost { StoreOutcome::Failed } else { outcome });
    let epoch = late.lead(&mut store);
    assert!(epoch > other, "{epoch} after {other}");
}

/// Guards against a takeover that a read shows to be stored, in a later era than it was sent in.
#[test]
fn can_take_a_later_epoch_when_a_takeover_is_read_after_a_return() {
    assert_epoch_of_late_takeover(true, true);
}

#[test]
fn can_take_a_later_epoch_when_a_takeover_is_answered_after_a_return() {
    assert_epoch_of_late_takeover(false, true);
}

#[test]
fn can_take_a_later_epoch_when_a_first_record_is_read_after_a_return() {
    assert_epoch_of_late_takeover(true, false);
}

#[test]
fn can_take_a_later_epoch_when_a_first_record_is_answered_after_a_return() {
    assert_epoch_of_late_takeover(false, false);
}

/// Guards against needless new epochs while the store loses nothing.
#[test]
fn can_hold_the_lease_when_the_answer_to_its_takeover_was_lost() {
    let mut store = ReturningStore::new();
    let mut process = LoneProcess::start("east-1");
    let takeover = process.hold_takeover(&mut store);
    store.execute(&takeover);
    process.end_takeover(StoreOutcome::Failed);
    let epoch = process.lead(&mut store);
    let StoreOp::CompareAndSwap { value, .. } = takeover else {
        panic!("a takeover is a conditional write");
    };
    let sent = LeaseRecord::parse(&value).expect("the value is a lease record");
    assert_eq!(epoch, sent.epoch);
}

/// Guards against a process that waits for the end of its own lease, as it takes the record for another's.
#[test]
fn can_lead_when_an_earlier_takeover_with_other_successors_is_found() {
    let mut store = ReturningStore::new();
    let mut process = LoneProcess::start_in_touch("east-1");
    let takeover = process.hold_takeover(&mut store);
    process.end_takeover(StoreOutcome::Failed);
    process.advance(ALONE_MS, &mut |_| Some(StoreOutcome::Failed));
    store.execute(&takeover);
    process.lead(&mut store);
}
