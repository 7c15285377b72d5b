//! What a leader's notice says of the platform's store.

use serde::Deserialize;
use serde::Serialize;

use crate::message::TableAck;

/// How far a host follows the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StoreView {
    /// Highest revision among the entries of upstreams that it knows; 0 if it knows none.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Whether its last call to follow the store failed.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_lost: bool,
    /// Present if the hosts of the scope may rely on its reads.
    #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
    pub relay: Option<RelayedView>,
}

impl StoreView {
    /// Whether the view is the default one, which says nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// How old a leader's view of the store is, and what a host must have applied to have the same view.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RelayedView {
    /// Time in milliseconds since the moment as of which the leader's view is complete, rounded up;
    /// `None` if the leader has not read the store.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
    /// Stamp of the notice; grows within a leader's process.
    #[serde(rename = "s")]
    pub stamp: u64,
    /// Highest stamp that the receiver had confirmed when the notice was built; 0 if none.
    #[serde(rename = "c", default)]
    pub confirmed: u64,
    /// The leader's directory of upstreams, with all changes that it knows.
    #[serde(rename = "d")]
    pub directory: TableAck,
    /// Version and value of the record of software versions; version 0 if there is none.
    #[serde(rename = "w")]
    pub software: (u64, String),
}
