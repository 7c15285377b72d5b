//! Calls to the platform's key-value service and their outcomes.

use std::time::Duration;

/// Identifier of a call to the key-value service, unique within a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StoreCallId(pub u64);

/// Operation of a call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreOp {
    /// Reads one key.
    Read {
        /// Key to read.
        key: String,
    },
    /// Writes one key if its version is still `expected`.
    CompareAndSwap {
        /// Key to write.
        key: String,
        /// Version that the key must have. The version of [`StoreOutcome::Absent`] means that it must be absent in
        /// that era, and 0 in any era.
        expected: u64,
        /// New value.
        value: String,
        /// Lifetime after which the service may delete the key; `None` keeps the key.
        ttl: Option<Duration>,
    },
    /// Deletes one key if its version is still `expected`.
    Delete {
        /// Key to delete.
        key: String,
        /// Version that the key must have.
        expected: u64,
    },
}

/// Call to the key-value service. The runtime reports exactly one outcome for each, which is
/// [`StoreOutcome::Failed`] on a timeout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreCall {
    /// Identifier that the runtime returns with the outcome.
    pub id: StoreCallId,
    /// Operation to perform.
    pub op: StoreOp,
}

/// Outcome of a call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The key has this value; also the outcome of a write that expected another version.
    Found {
        /// Version of the value.
        version: u64,
        /// Value of the key.
        value: String,
    },
    /// The key is absent; also the outcome of a write that expected it to exist.
    Absent {
        /// Version that stands for the absent key in the present era of the service.
        version: u64,
    },
    /// The write took effect.
    Done {
        /// Version of the value written; 0 after a delete.
        version: u64,
    },
    /// No answer was received: a write may or may not have taken effect.
    Failed,
}
