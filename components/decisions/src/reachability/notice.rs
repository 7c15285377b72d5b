//! Failures of upstreams in messages between hosts.

use serde::Deserialize;
use serde::Serialize;

/// Failure of an upstream's process, as a host reports it to its leader. A host's report lists all
/// of its failures that count.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureRow {
    /// Name of the upstream.
    #[serde(rename = "u")]
    pub upstream: String,
    /// When the upstream's process started, by its own clock; 0 if that is not known.
    #[serde(rename = "b", default)]
    pub started_ms: u64,
    /// Time since its latest failure, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// Upstream that several hosts cannot reach, as a leader publishes it. The leader always publishes all
/// of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutageRow {
    /// Name of the upstream.
    #[serde(rename = "u")]
    pub upstream: String,
    /// When the upstream's process started, by its own clock; 0 if that is not known.
    #[serde(rename = "b", default)]
    pub started_ms: u64,
    /// Time since its latest failure, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Time until the row no longer counts unless it is renewed, in milliseconds.
    #[serde(rename = "l")]
    pub left_ms: u64,
    /// Number of hosts that reported it.
    #[serde(rename = "n", default)]
    pub hosts: u32,
}
