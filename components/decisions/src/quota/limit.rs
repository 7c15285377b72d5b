//! The quota of one account as the hosts of one scope apply it.

use std::time::Duration;

/// Share of the burst that the buckets of all hosts together hold, so that what they admit without the
/// leader stays far below the burst.
const HOST_BURST_SHARE: f64 = 0.25;
/// Share of the burst with which a new leader begins, and the smaller one of accounts that are large beside the
/// bound's allowance, together with a part of that. Callers would else be refused for seconds at each takeover.
const FIRST_SHARE: f64 = 0.4;
const LARGE_FIRST_SHARE: f64 = 0.1;
/// The part of the allowance, as a multiple of the headroom.
const FIRST_HEADROOMS: f64 = 2.0;
/// Longest time that a caller is told to wait.
pub(super) const MAX_WAIT: Duration = Duration::from_secs(60);

/// Rate and burst of an account in one scope, in tokens or requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// Tokens a second; above zero.
    rate: f64,
    /// Tokens that may be used at once after a pause; at least 1.
    burst: f64,
    /// Tokens that the leader's bucket holds besides the burst.
    headroom: f64,
}

impl QuotaLimit {
    /// Quota of an account of whose `rate` and `burst` each of `scopes` scopes applies an equal part.
    /// `headroom` is what the leader's bucket holds besides the burst, over all scopes.
    pub fn new(rate: u64, burst: u64, headroom: u64, scopes: usize) -> Self {
        let part = |tokens: u64| tokens as f64 / scopes.max(1) as f64;
        Self { rate: part(rate.max(1)), burst: part(burst).max(1.0), headroom: part(headroom) }
    }

    /// Tokens a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Tokens that may be used at once after a pause.
    pub(super) fn burst(&self) -> f64 {
        self.burst
    }

    /// Most tokens that the leader's bucket holds.
    pub(super) fn capacity(&self) -> f64 {
        self.burst + self.headroom
    }

    /// Level of the bucket of a new leader.
    pub(super) fn first_level(&self) -> f64 {
        let part = self.burst * LARGE_FIRST_SHARE + self.headroom * FIRST_HEADROOMS;
        part.min(self.burst * FIRST_SHARE)
    }

    /// Most tokens that the bucket of each of `hosts` hosts holds.
    pub(super) fn host_capacity(&self, hosts: usize) -> f64 {
        self.burst * HOST_BURST_SHARE / hosts.max(1) as f64
    }

    /// Level that a bucket must have for a request of `cost`. A request that is larger than the burst
    /// needs a full burst and leaves a debt.
    pub(super) fn needed(&self, cost: u64) -> f64 {
        (cost as f64).min(self.burst)
    }

    /// Rate that a host may use without a leader, if it used `host_use` and all hosts together `use_rate`:
    /// its own use, and an equal part of what is left. Over all hosts that is the rate of the account.
    pub(super) fn host_share(&self, host_use: f64, use_rate: f64, hosts: usize) -> f64 {
        let scale = if use_rate > self.rate { self.rate / use_rate } else { 1.0 };
        let left = (self.rate - use_rate).max(0.0);
        host_use * scale + left / hosts.max(1) as f64
    }
}

/// Time in which `tokens` are added at `rate`, at most [`MAX_WAIT`].
pub(super) fn time_for(tokens: f64, rate: f64) -> Duration {
    let seconds = (tokens / rate.max(f64::MIN_POSITIVE)).clamp(0.0, MAX_WAIT.as_secs_f64());
    Duration::from_secs_f64(seconds)
}
