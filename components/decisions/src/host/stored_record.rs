//! A record in the key-value service that the leaders of all scopes write, and the calls for it.

use std::time::Duration;

use crate::store::StoreOp;
use crate::store::StoreOutcome;
use crate::time::Moment;

/// Time until a record is read or written again after a call without an answer.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// What a host knows of a record. A change is written only if no other host wrote in between; the
/// content of the other host's is then merged by the owner of this state.
#[derive(Debug, Clone, Default)]
pub(super) struct StoredRecord<T> {
    /// Its version, or the one that stands for an absent key; `None` before it was read.
    version: Option<u64>,
    /// What it contains, as far as its owner compares that.
    stored: T,
    /// The same of the value that is being written.
    written: T,
    call_in_flight: bool,
    next_call: Moment,
}

impl<T: Default + PartialEq> StoredRecord<T> {
    /// What the record contains; `None` before it was read.
    pub(super) fn known(&self) -> Option<&T> {
        self.version.is_some().then_some(&self.stored)
    }

    /// Its version, or the one that stands for an absent key; `None` before it was read.
    pub(super) fn version(&self) -> Option<u64> {
        self.version
    }

    /// Whether a call may be made now.
    pub(super) fn may_call(&self, now: Moment) -> bool {
        !self.call_in_flight && now >= self.next_call
    }

    /// The call that reads the record under `key`.
    pub(super) fn read(&mut self, key: &str) -> StoreOp {
        self.call_in_flight = true;
        StoreOp::Read { key: key.to_owned() }
    }

    /// The call that writes `value`, which has this content; `None` if the record has it already or
    /// was not read.
    pub(super) fn write(
        &mut self,
        key: &str,
        content: T,
        value: impl FnOnce(&T) -> String,
    ) -> Option<StoreOp> {
        let expected = self.version?;
        if self.stored == content {
            return None;
        }
        let value = value(&content);
        self.written = content;
        self.call_in_flight = true;
        Some(StoreOp::CompareAndSwap { key: key.to_owned(), expected, value, ttl: None })
    }

    /// Applies the reply to a call. Returns the version and value that were found, for
    /// [`Self::observe`]; an empty value if there is none.
    pub(super) fn apply_reply(
        &mut self,
        now: Moment,
        outcome: StoreOutcome,
    ) -> Option<(u64, String)> {
        self.call_in_flight = false;
        match outcome {
            StoreOutcome::Done { version } => {
                self.version = Some(version);
                self.stored = std::mem::take(&mut self.written);
                None
            }
            StoreOutcome::Found { version, value } => {
                // The store may have gone back to an older version.
                self.version = None;
                Some((version, value))
            }
            StoreOutcome::Absent { version } => {
                self.version = None;
                Some((version, String::new()))
            }
            StoreOutcome::Failed => {
                self.next_call = now.after(RETRY_DELAY);
                None
            }
        }
    }

    /// Takes over a version of the record. Returns false if a later one is known.
    pub(super) fn observe(&mut self, version: u64, content: T) -> bool {
        if version != 0 && self.version.is_some_and(|known| known >= version) {
            return false;
        }
        self.version = Some(version);
        self.stored = content;
        true
    }
}
