//! Queue of waiting requests, ordered by rank and deadline.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::request::RequestKey;
use crate::request::RequestTarget;
use crate::time::Moment;

use super::record::RequestRecord;

/// Position in the queue: the lowest rank comes first, then the earliest deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitKey {
    /// Rank of the request; lower ranks are served first.
    pub rank: u8,
    /// When the request must have been answered or refused.
    pub deadline: Moment,
    /// Key of the waiting request.
    pub request: RequestKey,
}

/// Queue of requests that wait for an upstream.
#[derive(Debug, Clone, Default)]
pub struct WaitingQueue {
    /// Every waiting request, in order of service.
    all: BTreeSet<WaitKey>,
    /// The same requests by target. Empty sets are removed.
    by_target: BTreeMap<RequestTarget, BTreeSet<WaitKey>>,
}

impl WaitingQueue {
    /// Adds a request for `target`.
    pub fn push(&mut self, target: RequestTarget, key: WaitKey) {
        self.all.insert(key);
        self.by_target.entry(target).or_default().insert(key);
    }

    /// Removes a request for `target`; does nothing if it is not waiting.
    pub fn remove(&mut self, target: RequestTarget, key: WaitKey) {
        self.all.remove(&key);
        if let Some(set) = self.by_target.get_mut(&target) {
            set.remove(&key);
            if set.is_empty() {
                self.by_target.remove(&target);
            }
        }
    }

    /// Position of the request to serve next for `target`.
    pub fn first(&self, target: RequestTarget) -> Option<WaitKey> {
        self.by_target.get(&target).and_then(|set| set.first().copied())
    }

    /// Position of the request to shed first: the highest rank, then the latest deadline.
    pub fn last(&self) -> Option<WaitKey> {
        self.all.last().copied()
    }

    /// Number of requests in the queue.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether the queue has no requests.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Targets with waiting requests, each with its first request and the number of requests.
    pub fn targets(&self) -> impl Iterator<Item = (RequestTarget, WaitKey, usize)> + '_ {
        let head = |set: &BTreeSet<WaitKey>| *set.first().expect("no set is empty");
        self.by_target.iter().map(move |(target, set)| (*target, head(set), set.len()))
    }

    /// Waiting requests for `target`, in order of service.
    pub fn waiting_for(&self, target: RequestTarget) -> impl Iterator<Item = WaitKey> + '_ {
        self.by_target.get(&target).into_iter().flatten().copied()
    }

    /// Earliest deadline of the waiting requests for `target`.
    pub fn earliest_deadline(&self, target: RequestTarget) -> Option<Moment> {
        self.waiting_for(target).map(|key| key.deadline).min()
    }
}

/// Position of `request` in the queue.
pub fn queue_key(key: RequestKey, request: &RequestRecord) -> WaitKey {
    WaitKey { rank: request.rank, deadline: request.deadline, request: key }
}
