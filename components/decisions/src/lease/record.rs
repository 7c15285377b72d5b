//! The lease record as stored in the key-value service.

use serde::Deserialize;
use serde::Serialize;

use crate::identity::HostIdentity;

/// Value stored under a scope's lease key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Process that holds the lease.
    pub holder: HostIdentity,
    /// Grows with each change of holder, and begins with the era of the key-value service in which the
    /// holder took the lease. The fencing tokens of the holder's orders begin with it.
    pub epoch: u64,
    /// Number of renewals in this epoch, so that each renewal writes a new value.
    pub renewals: u64,
    /// Hosts whose promises can extend the lease; if empty, it cannot be extended.
    pub successors: Vec<HostIdentity>,
    /// Set when the holder has released the lease and sends no more orders.
    pub ended: bool,
}

impl LeaseRecord {
    /// Parses a stored value. Returns `None` if it is not a lease record.
    pub fn parse(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// Serializes the record for the key-value service.
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).expect("a lease record has only string keys")
    }
}

/// Key of a scope's lease record in the key-value service.
pub fn lease_key(scope: &str) -> String {
    format!("lease/{scope}")
}
