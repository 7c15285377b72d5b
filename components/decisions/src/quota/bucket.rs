//! A level of tokens that is refilled over time, and the measured rate of use.

use std::time::Duration;

use crate::time::Moment;

/// Time over which use is averaged: long enough for a few requests of most accounts, short enough to
/// follow a hot account within seconds.
const USE_TIME: Duration = Duration::from_secs(2);

/// Level of tokens; may be below zero, which is a debt.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TokenLevel {
    tokens: f64,
    refilled_at: Moment,
}

impl TokenLevel {
    /// Creates an empty bucket, so that a new process adds nothing to what others have admitted.
    pub(super) fn empty(now: Moment) -> Self {
        Self { tokens: 0.0, refilled_at: now }
    }

    /// Adds what `rate` gave since the last refill, up to `capacity`. Returns the elapsed time.
    pub(super) fn refill(&mut self, now: Moment, rate: f64, capacity: f64) -> Duration {
        let elapsed = now.since(self.refilled_at);
        self.refilled_at = now;
        self.add(rate * elapsed.as_secs_f64(), capacity);
        elapsed
    }

    /// Adds tokens, up to `capacity`. A level above it, after the capacity was lowered, is cut.
    pub(super) fn add(&mut self, tokens: f64, capacity: f64) {
        self.tokens = (self.tokens + tokens).min(capacity);
    }

    /// Takes tokens; the level does not fall below `floor`.
    pub(super) fn take(&mut self, tokens: f64, floor: f64) {
        self.tokens = (self.tokens - tokens).max(floor.min(self.tokens));
    }

    /// Empties the bucket, and keeps a debt.
    pub(super) fn drain(&mut self, now: Moment) {
        self.tokens = self.tokens.min(0.0);
        self.refilled_at = now;
    }

    /// Multiplies the level.
    pub(super) fn scale(&mut self, factor: f64) {
        self.tokens *= factor;
    }

    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }
}

/// Tokens a second, averaged over the last [`USE_TIME`] or so.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UseRate {
    rate: f64,
    measured_at: Moment,
}

impl UseRate {
    /// Records the use of tokens.
    pub(super) fn add(&mut self, now: Moment, tokens: f64) {
        self.rate = self.at(now) + tokens / USE_TIME.as_secs_f64();
        self.measured_at = now;
    }

    /// The rate at `now`.
    pub(super) fn at(&self, now: Moment) -> f64 {
        let elapsed = now.since(self.measured_at).as_secs_f64();
        self.rate * (-elapsed / USE_TIME.as_secs_f64()).exp()
    }
}
