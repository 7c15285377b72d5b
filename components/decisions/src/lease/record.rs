//! The stored lease.

use serde::Deserialize;
use serde::Serialize;

use crate::identity::HostStamp;

/// Value of a scope's lease key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Who leads.
    pub holder: HostStamp,
    /// Grows with each change of holder; the fencing token of the holder's orders.
    pub epoch: u64,
    /// Counts renewals, so that each writes a new value.
    pub renewals: u64,
    /// Who may extend the lease by promises. Empty: no extension.
    pub successors: Vec<HostStamp>,
    /// The holder gave the lease up and sends no more orders.
    pub ended: bool,
}

impl LeaseRecord {
    /// Reads a stored value; `None` when it is not a lease record.
    pub fn parse(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// Text for the key-value service.
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).expect("a lease record has only string keys")
    }
}

/// Key of a scope's lease.
pub fn lease_key(scope: &str) -> String {
    format!("lease/{scope}")
}
