//! Budget for retries: this host's share of the retries that all hosts may send to a service.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use wagtailledge_inventory::ServiceKey;

use crate::time::Moment;

/// Number of buckets that a window is divided into.
const WINDOW_BUCKETS: u64 = 20;
/// Share of the budget that a host uses at most, because the number of hosts changes and the hosts'
/// windows are not aligned.
const USABLE_SHARE: f64 = 0.8;

/// Limits on the retries of all hosts together, for each service.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryRules {
    /// Maximum ratio of retries to requests in the window.
    pub ratio: f64,
    /// Retries that are allowed in each window regardless of the number of requests.
    pub allowance: u32,
    /// Length of the sliding window in which requests and retries are counted.
    pub window: Duration,
    /// Time after its start in which a host uses less of `allowance`, as its earlier process may have used it in
    /// the same window: none if there was one a short time ago, else a part that grows with time.
    pub settle: Duration,
}

impl Default for RetryRules {
    fn default() -> Self {
        let window = Duration::from_secs(10);
        Self { ratio: 0.1, allowance: 160, window, settle: window }
    }
}

/// Requests and retries of one bucket of a window.
#[derive(Debug, Clone, Copy, Default)]
struct WindowBucket {
    /// Index of the bucket, counted from the start of the clock.
    index: u64,
    requests: u32,
    retries: u32,
}

/// Counts the requests and retries of each service, and limits the retries.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    rules: RetryRules,
    /// Start of this process.
    started: Moment,
    /// Whether an earlier process of this host ended a short time before.
    has_predecessor: bool,
    /// Buckets of the last window, oldest first. Assets without a service share the `None` entry.
    services: BTreeMap<Option<ServiceKey>, VecDeque<WindowBucket>>,
}

impl RetryBudget {
    /// Creates the budget of a process that starts at `now`, without counted requests.
    pub fn new(now: Moment, rules: RetryRules) -> Self {
        Self { rules, started: now, has_predecessor: false, services: BTreeMap::new() }
    }

    /// Replaces the limits. A changed window resets all counts.
    pub fn set_rules(&mut self, rules: RetryRules) {
        if rules.window != self.rules.window {
            self.services.clear();
        }
        self.rules = rules;
    }

    /// Records that an earlier process of this host ended a short time before this one started.
    pub fn record_predecessor(&mut self) {
        self.has_predecessor = true;
    }

    /// Part of this host's share of the allowance that it may use now.
    fn usable_part(&self, now: Moment) -> f64 {
        let (elapsed, settle) = (now.since(self.started), self.rules.settle);
        if elapsed >= settle {
            1.0
        } else if self.has_predecessor {
            0.0
        } else {
            elapsed.div_duration_f64(settle)
        }
    }

    fn bucket_index(&self, now: Moment) -> u64 {
        let length = (self.rules.window.as_micros() as u64 / WINDOW_BUCKETS).max(1);
        now.0 / length
    }

    fn bucket(&mut self, now: Moment, service: Option<ServiceKey>) -> &mut WindowBucket {
        let index = self.bucket_index(now);
        let buckets = self.services.entry(service).or_default();
        while buckets.front().is_some_and(|bucket| bucket.index + WINDOW_BUCKETS < index) {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|bucket| bucket.index < index) {
            buckets.push_back(WindowBucket { index, ..WindowBucket::default() });
        }
        buckets.back_mut().expect("a bucket was pushed if there was none")
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, now: Moment, service: Option<ServiceKey>) {
        self.bucket(now, service).requests += 1;
    }

    /// Counts a retry of a request for a service.
    pub fn record_retry(&mut self, now: Moment, service: Option<ServiceKey>) {
        self.bucket(now, service).retries += 1;
    }

    /// Whether one more retry is allowed, given that `hosts` hosts share the allowance. While their
    /// number is unknown, only retries in proportion to the own requests are.
    pub fn allows_retry(
        &self,
        now: Moment,
        service: Option<ServiceKey>,
        hosts: Option<usize>,
    ) -> bool {
        let oldest = self.bucket_index(now).saturating_sub(WINDOW_BUCKETS);
        let buckets = self.services.get(&service).into_iter().flatten();
        let (mut requests, mut retries) = (0, 0);
        for bucket in buckets.filter(|bucket| bucket.index >= oldest) {
            requests += bucket.requests;
            retries += bucket.retries;
        }
        let allowance = f64::from(self.rules.allowance);
        let share = hosts.map_or(0.0, |hosts| allowance / hosts.max(1) as f64);
        let share = share * self.usable_part(now);
        let allowed = (self.rules.ratio * f64::from(requests) + share) * USABLE_SHARE;
        f64::from(retries) + 1.0 <= allowed
    }
}
