//! What upstreams say about how many requests they accept.

use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use wagtailledge_inventory::UpstreamKey;

/// Requests a second, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate(pub u64);

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0 as f64 / 1e3)
    }
}

/// What an answer says about its upstream's limit, at the time of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitNotice {
    /// The upstream accepts this many requests from all hosts together.
    Limited(RequestRate),
    /// The upstream names no limit.
    Unlimited,
}

/// Upstreams whose limits the leader takes into account when it places replicas.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LimitPressure {
    /// Upstreams with a limit.
    pub limited: BTreeSet<UpstreamKey>,
    /// Those of them for which more requests wait than their limit allows.
    pub exceeded: BTreeSet<UpstreamKey>,
}
