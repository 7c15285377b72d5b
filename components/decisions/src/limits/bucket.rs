//! Token bucket for the permits of one upstream.

use std::time::Duration;

use crate::time::Moment;

use super::notice::RequestRate;

/// One permit in units of the level: a rate of one thousandth a second adds one unit in one
/// microsecond.
const PERMIT: u64 = 1_000_000_000;
/// Time for which unused permits are collected, besides the first one.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Lowest rate of permits, so that the end of a limit is noticed.
const MIN_RATE: RequestRate = RequestRate(100);

/// Hands out permits at a fixed rate.
#[derive(Debug, Clone)]
pub struct PermitBucket {
    rate: RequestRate,
    /// Unused permits in units of 1 / [`PERMIT`], as of `refilled_at`; at most the capacity.
    level: u64,
    refilled_at: Moment,
}

impl PermitBucket {
    /// Creates an empty bucket, so that a new leader adds nothing to the permits of the last one.
    pub fn new(now: Moment, rate: RequestRate) -> Self {
        Self { rate: rate.max(MIN_RATE), level: 0, refilled_at: now }
    }

    /// Changes the rate from `now` on.
    pub fn set_rate(&mut self, now: Moment, rate: RequestRate) {
        self.level = self.level_at(now);
        self.refilled_at = now;
        self.rate = rate.max(MIN_RATE);
        self.level = self.level.min(self.capacity());
    }

    fn capacity(&self) -> u64 {
        PERMIT + self.rate.0 * BURST_TIME.as_micros() as u64
    }

    fn level_at(&self, now: Moment) -> u64 {
        let elapsed = now.since(self.refilled_at).as_micros() as u64;
        self.level.saturating_add(self.rate.0.saturating_mul(elapsed)).min(self.capacity())
    }

    /// Takes a permit; false if none is available.
    pub fn try_take(&mut self, now: Moment) -> bool {
        let level = self.level_at(now);
        if level < PERMIT {
            return false;
        }
        self.level = level - PERMIT;
        self.refilled_at = now;
        true
    }

    /// Time until `count` permits have become available.
    pub fn time_until(&self, now: Moment, count: u64) -> Duration {
        let missing = count.saturating_mul(PERMIT).saturating_sub(self.level_at(now));
        Duration::from_micros(missing.div_ceil(self.rate.0))
    }
}
