//! Test key-value service that can come back from an earlier copy of what it held.

use std::collections::BTreeMap;

use wagtailledge_decisions::era::ERA_SHIFT;
use wagtailledge_decisions::era::absent_in;
use wagtailledge_decisions::store::StoreOp;
use wagtailledge_decisions::store::StoreOutcome;

/// Key-value service of a test. Versions are dated, as the client of the platform's store dates them.
#[derive(Debug, Clone)]
pub struct TestStore {
    /// Revision and value, by key.
    contents: BTreeMap<String, (u64, String)>,
    /// Latest revision.
    number: u64,
    era: u64,
}

impl TestStore {
    /// Creates an empty service.
    pub fn new() -> Self {
        Self { contents: BTreeMap::new(), number: 10, era: 1 }
    }

    /// The present era.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// The version that a revision of this era has.
    pub fn version(&self, number: u64) -> u64 {
        (self.era << ERA_SHIFT) | number
    }

    /// A revision that was not given out in this era.
    pub fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Comes back from a copy.
    pub fn restore(&mut self, copy: &Self) {
        *self = Self { era: self.era + 1, ..copy.clone() };
    }

    /// Writes a key, as another writer would.
    pub fn write(&mut self, key: &str, value: &str) {
        let number = self.next_number();
        self.contents.insert(key.to_owned(), (number, value.to_owned()));
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<&str> {
        self.contents.get(key).map(|(_, value)| value.as_str())
    }

    /// Carries a call out as the client of a host does; `known` is the highest era that an answer named to it.
    pub fn answer(&mut self, known: &mut u64, op: StoreOp) -> StoreOutcome {
        let known_before = std::mem::replace(known, self.era);
        let (key, expected) = match &op {
            StoreOp::Read { key } => return self.read(key),
            StoreOp::CompareAndSwap { key, expected, .. } | StoreOp::Delete { key, expected } => {
                (key, *expected)
            }
        };
        let expected_era = expected >> ERA_SHIFT;
        if expected != 0 && expected_era != known_before {
            return self.read(key);
        }
        let outcome = self.execute(op);
        let is_written = matches!(outcome, StoreOutcome::Done { .. });
        let is_unknown = expected != 0 && expected_era != self.era;
        if is_written && is_unknown { StoreOutcome::Failed } else { outcome }
    }

    /// Carries a call out.
    pub fn execute(&mut self, op: StoreOp) -> StoreOutcome {
        let (key, expected, value) = match op {
            StoreOp::Read { key } => return self.read(&key),
            StoreOp::CompareAndSwap { key, expected, value, .. } => (key, expected, Some(value)),
            StoreOp::Delete { key, expected } => (key, expected, None),
        };
        let number = expected & ((1 << ERA_SHIFT) - 1);
        if self.contents.get(&key).map_or(0, |(number, _)| *number) != number {
            return self.read(&key);
        }
        let number = self.next_number();
        match value {
            Some(value) => self.contents.insert(key, (number, value)),
            None => self.contents.remove(&key),
        };
        StoreOutcome::Done { version: self.version(number) }
    }

    /// Reads a key.
    pub fn read(&self, key: &str) -> StoreOutcome {
        self.contents.get(key).map_or(
            StoreOutcome::Absent { version: absent_in(self.era) },
            |(number, value)| StoreOutcome::Found {
                version: self.version(*number),
                value: value.clone(),
            },
        )
    }
}
