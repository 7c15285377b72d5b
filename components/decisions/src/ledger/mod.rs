//! Ledger of non-idempotent calls, which prevents a call from running twice.
//!
//! A record is created in the key-value service before the only dispatch of its call. Only the
//! holder of the record's claim may dispatch. Another process may take the claim over by
//! compare-and-swap if the holder reports that it never dispatched and never will.

use serde::Deserialize;
use serde::Serialize;

use crate::identity::HostIdentity;
use crate::request::LedgerKey;
use crate::request::RecordedAnswer;

/// Longest answer body that is stored to answer later calls with the same key.
pub const MAX_RECORDED_BODY_BYTES: usize = 64 * 1024;

/// The right to dispatch one call once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LedgerClaim {
    /// Process that holds the claim.
    pub host: HostIdentity,
    /// Number of the claim within that process; never reused.
    pub sequence: u64,
}

/// State of a call in its ledger record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LedgerState {
    /// The claim's holder may dispatch the call, or has done so.
    Claimed,
    /// The call ran and returned this answer.
    Done(RecordedAnswer),
    /// The call ran; its answer was too long to store.
    DoneUnkept,
    /// The call was dispatched, and whether it ran is not known.
    Unknown,
}

/// Value stored under a call's ledger key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRecord {
    /// The claim whose holder may dispatch the call.
    pub claim: LedgerClaim,
    /// Hash of method, path and body; a later call with the same key must have the same hash.
    pub fingerprint: u64,
    /// State of the call as last recorded.
    pub state: LedgerState,
}

/// Outcome of the call under a claim, as the claim's holder reports it to another host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LedgerVerdict {
    /// The holder did not dispatch the call and never will.
    NeverDispatched,
    /// The call has not ended.
    InProgress,
    /// The call ran and returned this answer.
    Done(RecordedAnswer),
    /// The call ran; its answer was too long to store.
    DoneUnkept,
    /// Whether the call ran is not known.
    Unknown,
}

impl LedgerRecord {
    /// Parses a stored value. Returns `None` if it is not a ledger record.
    pub fn parse(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// Serializes the record for the key-value service.
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).expect("a ledger record has only string keys")
    }
}

impl LedgerState {
    /// State of a call that ran: `Done`, or `DoneUnkept` if the answer's body is too long to store.
    pub fn for_answer(answer: &RecordedAnswer) -> Self {
        if answer.body.len() > MAX_RECORDED_BODY_BYTES {
            return Self::DoneUnkept;
        }
        Self::Done(answer.clone())
    }
}

/// Key of a call's record in the key-value service.
pub fn store_key(key: &LedgerKey) -> String {
    format!("ledger/{}/{}", key.service, key.key)
}
