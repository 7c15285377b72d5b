//! Timestamps of a process's monotonic clock.

use std::time::Duration;

/// Timestamp in microseconds of one process's monotonic clock; never sent to another process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Moment(pub u64);

impl Moment {
    /// The moment `span` later.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }

    /// The moment `span` earlier, or the start of the clock.
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span.as_micros() as u64))
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later than this moment.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
