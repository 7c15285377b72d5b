//! The rules as stored in the key-value service, for hosts that start when no other is left.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::message::QuarantineRow;

/// Key of the record, which all scopes share.
pub const QUARANTINE_KEY: &str = "quarantine";

/// Value stored under [`QUARANTINE_KEY`].
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// All rules in force when the record was written.
    pub rules: Vec<QuarantineRow>,
}

impl QuarantineRecord {
    /// Parses a stored value. Returns `None` if it is not a quarantine record.
    pub fn parse(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// Serializes the record for the key-value service.
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).expect("a quarantine record has only string keys")
    }

    /// The parts of each rule.
    pub fn names(&self) -> BTreeSet<BTreeSet<u64>> {
        self.rules.iter().map(|row| row.parts.iter().copied().collect()).collect()
    }
}
