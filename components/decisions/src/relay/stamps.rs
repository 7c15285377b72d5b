//! When this host received the stamps of its leader's notices.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Moment;

/// Most stamps kept. They cover [`StampLog::stamp_at`]'s granularity times this many, which is longer than
/// any age of a view that still counts.
const MAX_STAMPS: usize = 32;
/// Granularity of stamps. Hosts that report at about the same time confirm the same stamp, so that they can
/// be sent the same message.
const STAMP_INTERVAL: Duration = Duration::from_millis(200);

/// Age up to which confirmed stamps count as recent. Hosts with traffic report four times a second.
const RECENT_TIME: Duration = Duration::from_secs(1);

/// Stamps of one leader's process, each with the moment at which it first arrived.
#[derive(Debug, Clone, Default)]
pub struct StampLog {
    /// In ascending order.
    received: VecDeque<(u64, Moment)>,
    /// Highest stamp that was reported to the leader.
    reported: u64,
}

impl StampLog {
    /// The stamp of a notice that is built at `now`; never 0.
    pub fn stamp_at(now: Moment) -> u64 {
        now.0 / STAMP_INTERVAL.as_micros() as u64 + 1
    }

    /// Records that a notice with this stamp arrived. Late notices with earlier stamps change nothing.
    pub fn record(&mut self, now: Moment, stamp: u64) {
        if self.received.back().is_some_and(|(latest, _)| *latest >= stamp) {
            return;
        }
        self.received.push_back((stamp, now));
        if self.received.len() > MAX_STAMPS {
            self.received.pop_front();
        }
    }

    /// When the first stamp from `stamp` on arrived; `None` if none did, or long ago. The stamp may be an
    /// earlier one than this host has confirmed, as hosts that are sent the same message share the lowest.
    pub fn received_at(&self, stamp: u64) -> Option<Moment> {
        // Stamps that were dropped may be among those that this host has confirmed.
        let earliest = self.received.front()?.0;
        if stamp == 0 || (earliest > stamp && self.received.len() >= MAX_STAMPS) {
            return None;
        }
        // An earlier process of this host confirmed it.
        if stamp > self.reported {
            return None;
        }
        let found = self.received.iter().find(|(received, _)| *received >= stamp);
        found.map(|(_, at)| *at)
    }

    /// Whether a stamp that a host confirmed is recent at `now`, so that it can share a message with others.
    pub fn is_recent(now: Moment, stamp: u64) -> bool {
        let age = Self::stamp_at(now).saturating_sub(stamp);
        stamp > 0 && age <= (RECENT_TIME.as_micros() / STAMP_INTERVAL.as_micros()) as u64
    }

    /// Whether a stamp arrived since the last report.
    pub fn has_unreported(&self) -> bool {
        self.received.back().is_some_and(|(latest, _)| *latest > self.reported)
    }

    /// The stamp for a report that is sent now; `None` if none arrived.
    pub fn report(&mut self) -> Option<u64> {
        let latest = self.received.back().map(|(latest, _)| *latest);
        self.reported = latest.unwrap_or_default();
        latest
    }
}
