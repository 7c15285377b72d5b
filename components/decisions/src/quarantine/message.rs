//! Messages about quarantined prompt parts and crashes.

use serde::Deserialize;
use serde::Serialize;

/// Requests with all of these prompt parts crash upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRow {
    /// The parts.
    #[serde(rename = "p")]
    pub parts: Vec<u64>,
    /// Time until the end of the quarantine, in milliseconds; 0 if it was lifted.
    #[serde(rename = "l")]
    pub left_ms: u64,
}

/// Quarantined prompt parts, as a leader publishes them.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct QuarantineTable {
    /// Rules in force, and those that were lifted a short time ago.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<QuarantineRow>,
    /// Parts that may crash upstreams. Hosts that know one to be sound report that.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<u64>,
}

impl QuarantineTable {
    /// Whether there is nothing to publish.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.suspects.is_empty()
    }
}

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
