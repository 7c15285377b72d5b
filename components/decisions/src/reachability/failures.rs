//! Failures of upstreams that this host has seen itself, for its reports to the leader.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailledge_inventory::UpstreamKey;

use crate::time::Moment;

use super::REPORT_TIME;

/// Failures of one upstream.
#[derive(Debug, Clone, Copy)]
struct OwnFailure {
    /// Latest failure.
    at: Moment,
    /// Latest failure that was reported; `None` if none was.
    reported: Option<Moment>,
}

/// Latest failure of each upstream that has not answered this host since.
#[derive(Debug, Clone, Default)]
pub struct FailureLog {
    failures: BTreeMap<UpstreamKey, OwnFailure>,
}

impl FailureLog {
    /// Records a failure of an upstream.
    pub fn record_failure(&mut self, now: Moment, upstream: UpstreamKey) {
        let failure =
            self.failures.entry(upstream).or_insert(OwnFailure { at: now, reported: None });
        if now.since(failure.at) >= REPORT_TIME {
            failure.reported = None;
        }
        failure.at = now;
    }

    /// Records that something came from an upstream at `at`.
    pub fn record_answer(&mut self, upstream: UpstreamKey, at: Moment) {
        if self.failures.get(&upstream).is_some_and(|failure| failure.at <= at) {
            self.failures.remove(&upstream);
        }
    }

    /// Forgets all failures.
    pub fn clear(&mut self) {
        self.failures.clear();
    }

    /// Whether a report is due, with `waited` since the last message: after `pause` if an upstream
    /// failed that was not reported lately, else after `idle` if one failed again.
    pub fn is_report_due(
        &self,
        now: Moment,
        waited: Duration,
        pause: Duration,
        idle: Duration,
    ) -> bool {
        let is_due = |failure: &OwnFailure| match failure.reported {
            _ if now.since(failure.at) >= REPORT_TIME => false,
            None => waited >= pause,
            Some(reported) => failure.at > reported && waited >= idle,
        };
        self.failures.values().any(is_due)
    }

    /// All failures that count, with their ages.
    pub fn current(&self, now: Moment) -> impl Iterator<Item = (UpstreamKey, Duration)> + '_ {
        let ages = self.failures.iter().map(move |(upstream, at)| (*upstream, now.since(at.at)));
        ages.filter(|(_, age)| *age < REPORT_TIME)
    }

    /// Records that all failures were reported, and forgets those that no longer count.
    pub fn mark_reported(&mut self, now: Moment) {
        self.failures.retain(|_, failure| now.since(failure.at) < REPORT_TIME);
        for failure in self.failures.values_mut() {
            failure.reported = Some(failure.at);
        }
    }
}
