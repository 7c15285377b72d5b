//! Crashes of upstreams in messages between hosts.

use serde::Deserialize;
use serde::Serialize;

use crate::message::QuarantineRow;

/// Crash of a process, and what it had just begun to work on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRow {
    /// Name of the upstream.
    #[serde(rename = "u")]
    pub upstream: String,
    /// When the upstream's process started, by its own clock; 0 if that is not known.
    #[serde(rename = "b")]
    pub started_ms: u64,
    /// Time since the crash was seen, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Prompt parts of the requests that it had just begun to work on.
    #[serde(rename = "p")]
    pub parts: Vec<u64>,
}

/// What a host reports about crashes of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CrashReport {
    /// Crashes that the receiver may not know.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashRow>,
    /// Published suspects that the sender knows to be sound.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub sound: Vec<u64>,
    /// Rules that the receiver did not publish.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rules: Vec<QuarantineRow>,
}

impl CrashReport {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.sound.is_empty() && self.rules.is_empty()
    }
}
