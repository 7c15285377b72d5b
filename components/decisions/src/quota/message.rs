//! Messages about quotas between the hosts of a scope and its leader.

use serde::Deserialize;
use serde::Serialize;

/// What a host has used of the quota of one account since it has followed this leader. Totals, so that
/// lost, late and repeated reports do no harm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaUseRow {
    /// Name of the account.
    #[serde(rename = "a")]
    pub account: String,
    /// Tokens of the requests that the host admitted itself, in total.
    #[serde(rename = "u")]
    pub used: u64,
    /// Tokens of requests that were admitted by the host or the leader and never ran, in total.
    #[serde(rename = "r", default)]
    pub returned: u64,
    /// Tokens of admitted requests that wait for an upstream now.
    #[serde(rename = "w", default)]
    pub waiting: u64,
}

/// A request for which a host asks its leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAskRow {
    /// Number of the request among those of the host's process.
    #[serde(rename = "i")]
    pub id: u64,
    /// Name of the account.
    #[serde(rename = "a")]
    pub account: String,
    /// Tokens of the request.
    #[serde(rename = "c")]
    pub cost: u64,
    /// Rank of the request; the lowest is served first.
    #[serde(rename = "p")]
    pub rank: u8,
    /// Time that the request can wait for the answer, in milliseconds.
    #[serde(rename = "h")]
    pub hold_ms: u64,
}

/// Report of a host to its leader about quotas.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Epoch of the leader that the totals refer to.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Number of the report among those of the host's process; 0 if there is nothing to report.
    #[serde(rename = "n")]
    pub number: u64,
    /// Use that changed in the last seconds.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<QuotaUseRow>,
    /// Requests that wait for an answer.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub asks: Vec<QuotaAskRow>,
}

impl QuotaReport {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.number == 0
    }
}

/// Answer of a leader to one request of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaVerdict {
    /// The request is within the quota.
    #[serde(rename = "g")]
    Granted,
    /// The quota is used up; the time in milliseconds until the request fits.
    #[serde(rename = "r")]
    Refused(u64),
    /// The request waits for tokens at the leader, which answers again.
    #[serde(rename = "q")]
    Queued,
}

/// Answers of a leader to requests of one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAnswer {
    /// Epoch of the leader.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Numbers of the host's requests, each with the answer.
    #[serde(rename = "v")]
    pub verdicts: Vec<(u64, QuotaVerdict)>,
    /// Tokens a second that all hosts together use, by the names of the accounts that the host asked about.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub use_rates: Vec<(String, u64)>,
}

/// State of one account, as the leader publishes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaStateRow {
    /// Name of the account.
    #[serde(rename = "a")]
    pub account: String,
    /// Whether hosts have to ask for every request.
    #[serde(rename = "m", default, skip_serializing_if = "std::ops::Not::not")]
    pub metered: bool,
    /// Tokens a second used by all hosts together.
    #[serde(rename = "u")]
    pub use_rate: u64,
}

/// States of accounts, as a leader publishes them.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct QuotaTable {
    /// Whether the leader answers requests of hosts; false from hosts of earlier builds.
    #[serde(rename = "g", default, skip_serializing_if = "std::ops::Not::not")]
    pub grants: bool,
    /// Accounts that are metered or use a notable part of their rate; all others are open.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<QuotaStateRow>,
}

impl QuotaTable {
    /// Whether there is nothing to publish.
    pub fn is_empty(&self) -> bool {
        !self.grants && self.rows.is_empty()
    }
}
