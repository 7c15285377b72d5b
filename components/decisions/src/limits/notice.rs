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
    /// The answer names no limit. Only a complete, successful answer to a caller's request shows that
    /// there may be none.
    Unlimited,
}

/// Identifies a phase of a limit: the epoch of the leader that decides about it, and a number that
/// grows with each change of any limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitPhase(pub u64, pub u64);

/// Evidence that the phase of a limit is over, from an answer to a request that was sent in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitEvidence {
    /// The phase.
    pub phase: LimitPhase,
    /// The higher limit that the answer named; `None` if it named none.
    pub raised: Option<RequestRate>,
}

/// Limit of one upstream, as a leader publishes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PublishedLimit {
    /// The limit that the upstream named; `None` if it has ended.
    pub rate: Option<RequestRate>,
    /// Phase of the limit; `None` if the leader of the upstream's scope has not confirmed it.
    pub phase: Option<LimitPhase>,
    /// Whether more requests than that are granted, because answers no longer name it.
    pub eased: bool,
}

/// Upstreams whose limits the leader takes into account when it places replicas.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LimitPressure {
    /// Upstreams with a limit.
    pub limited: BTreeSet<UpstreamKey>,
    /// Those of them for which more requests wait than their limit allows.
    pub exceeded: BTreeSet<UpstreamKey>,
}
