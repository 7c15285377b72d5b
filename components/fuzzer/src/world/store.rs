//! Simulated key-value service, and what the client of a process makes of its answers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use wagtailledge_decisions::era::absent_in;
use wagtailledge_decisions::era::dated;
use wagtailledge_decisions::era::era_of;
use wagtailledge_decisions::era::undated;
use wagtailledge_decisions::store::StoreOp;
use wagtailledge_decisions::store::StoreOutcome;

/// Time between two copies, in microseconds.
const COPY_INTERVAL: u64 = 1_000_000;
/// Copies kept; the oldest are dropped.
const MAX_COPIES: usize = 32;

type StoredValues = BTreeMap<String, (u64, String)>;

/// What the service held at some time.
#[derive(Debug, Clone)]
struct StoreCopy {
    /// In microseconds of virtual time.
    taken_at: u64,
    version: u64,
    values: StoredValues,
}

/// Values by key, each with the number of its last write. Keys never expire here.
#[derive(Debug, Default)]
pub struct FuzzStore {
    /// Number of the last write.
    version: u64,
    values: StoredValues,
    /// One more after each return from a copy; 0 if the service never returns from one.
    era: u64,
    /// Whether the service is about to come back from a copy, and answers nothing until then.
    is_away: bool,
    /// Keys that operators write, and write again after a return.
    operator_keys: BTreeSet<String>,
    /// Oldest first.
    copies: VecDeque<StoreCopy>,
}

impl FuzzStore {
    /// Executes one operation. Versions that it names count as given out in the present era.
    pub fn call(&mut self, op: StoreOp) -> StoreOutcome {
        match op {
            StoreOp::Read { key } => self.find(&key),
            StoreOp::CompareAndSwap { key, expected, value, .. } => {
                if self.number_of(&key) != undated(expected) {
                    return self.find(&key);
                }
                let version = self.write(key, value);
                StoreOutcome::Done { version }
            }
            StoreOp::Delete { key, expected } => {
                if self.number_of(&key) != undated(expected) {
                    return self.find(&key);
                }
                self.values.remove(&key);
                StoreOutcome::Done { version: 0 }
            }
        }
    }

    /// Writes a key for an operator, unless it has this value.
    pub fn write_as_operator(&mut self, key: String, value: String) {
        if self.values.get(&key).is_none_or(|(_, present)| *present != value) {
            self.operator_keys.insert(key.clone());
            self.write(key, value);
        }
    }

    /// Version of a write to another part of the service.
    pub fn next_version(&mut self) -> u64 {
        self.version += 1;
        dated(self.era, self.version)
    }

    /// Era that all answers name.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Starts the first era; copies are kept from now on.
    pub fn start_copies(&mut self) {
        self.era = self.era.max(1);
    }

    /// Keeps a copy if one is due at time `now`.
    pub fn keep_copy(&mut self, now: u64) {
        let is_due = self.copies.back().is_none_or(|last| last.taken_at + COPY_INTERVAL <= now);
        if self.era == 0 || !is_due {
            return;
        }
        let (version, values) = (self.version, self.values.clone());
        self.copies.push_back(StoreCopy { taken_at: now, version, values });
        if self.copies.len() > MAX_COPIES {
            self.copies.pop_front();
        }
    }

    /// Whether the service answers nothing until it comes back from a copy.
    pub fn is_away(&self) -> bool {
        self.is_away
    }

    /// Goes away until it comes back from a copy.
    pub fn go_away(&mut self) {
        self.is_away = true;
    }

    /// Comes back from the latest copy taken at `taken_by` or before, else from the oldest. What the
    /// service gave out since is given out again, and operators write again what was lost.
    pub fn return_from_copy(&mut self, taken_by: u64) {
        self.is_away = false;
        let later = self.copies.iter().position(|copy| copy.taken_at > taken_by);
        let index = later.unwrap_or(self.copies.len()).saturating_sub(1);
        self.copies.truncate(index + 1);
        let Some(copy) = self.copies.back().cloned() else {
            return;
        };
        self.era += 1;
        self.version = copy.version;
        let lost = std::mem::replace(&mut self.values, copy.values);
        for (key, (_, value)) in lost {
            if self.operator_keys.contains(&key) {
                self.write_as_operator(key, value);
            }
        }
    }

    fn write(&mut self, key: String, value: String) -> u64 {
        self.version += 1;
        self.values.insert(key, (self.version, value));
        dated(self.era, self.version)
    }

    fn number_of(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |(number, _)| *number)
    }

    fn find(&self, key: &str) -> StoreOutcome {
        match self.values.get(key) {
            Some((number, value)) => {
                StoreOutcome::Found { version: dated(self.era, *number), value: value.clone() }
            }
            None => StoreOutcome::Absent { version: absent_in(self.era) },
        }
    }
}

/// Version that a write expects; `None` for a read.
pub fn expected_version(op: &StoreOp) -> Option<u64> {
    match op {
        StoreOp::Read { .. } => None,
        StoreOp::CompareAndSwap { expected, .. } | StoreOp::Delete { expected, .. } => {
            Some(*expected)
        }
    }
}

/// What the client of a process that knows this era sends for an operation. A version of an earlier
/// era may stand for another value now, so the client reads the key in place of the write.
pub fn client_operation(op: StoreOp, known_era: u64) -> StoreOp {
    let is_outdated = |version: u64| version != 0 && era_of(version) != known_era;
    match op {
        StoreOp::CompareAndSwap { key, expected, .. } | StoreOp::Delete { key, expected }
            if is_outdated(expected) =>
        {
            StoreOp::Read { key }
        }
        current => current,
    }
}

/// Answer of the service on its way to a process.
#[derive(Debug, Clone)]
pub struct StoreReply {
    /// What the service did.
    pub outcome: StoreOutcome,
    /// Era in which it did so.
    pub era: u64,
    /// Version that the write expected; 0 if it expected none.
    pub expected: u64,
}

impl StoreReply {
    /// No answer.
    pub fn lost() -> Self {
        Self { outcome: StoreOutcome::Failed, era: 0, expected: 0 }
    }

    /// Outcome for a process that knows this era, which the answer may raise. Answers of an earlier era
    /// count as lost, and so do writes that were carried out over a value of another era.
    pub fn outcome_at(self, known_era: &mut u64) -> StoreOutcome {
        if self.era < *known_era {
            return StoreOutcome::Failed;
        }
        *known_era = self.era;
        match self.outcome {
            StoreOutcome::Done { .. }
                if self.expected != 0 && era_of(self.expected) != self.era =>
            {
                StoreOutcome::Failed
            }
            outcome => outcome,
        }
    }
}
