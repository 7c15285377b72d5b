//! Replicas that refused a request although they are said to be ready.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::UpstreamKey;

use crate::time::Moment;

/// First pause after a refusal; doubles with each one in a row.
const HOLD_BASE: Duration = Duration::from_millis(60);
/// Longest pause.
const HOLD_LIMIT: Duration = Duration::from_secs(1);
/// A refusal this long ago is forgotten.
const HOLD_MEMORY: Duration = Duration::from_secs(4);

/// Refusals of one replica in a row.
#[derive(Debug, Clone, Copy)]
struct ReplicaHold {
    until: Moment,
    refusals: u32,
}

/// Replicas that get no request for a while: their engine is still loading them, or holds something
/// else by now.
#[derive(Debug, Clone, Default)]
pub struct ReplicaHolds {
    holds: BTreeMap<(AssetKey, UpstreamKey), ReplicaHold>,
}

impl ReplicaHolds {
    /// Notes that the replica refused a request.
    pub fn refused(&mut self, now: Moment, asset: AssetKey, upstream: UpstreamKey) {
        let hold =
            self.holds.entry((asset, upstream)).or_insert(ReplicaHold { until: now, refusals: 0 });
        // Several requests refused at once say no more than one.
        if hold.until > now {
            return;
        }
        let pause = HOLD_BASE * 2u32.pow(hold.refusals.min(8));
        hold.until = now.after(pause.min(HOLD_LIMIT));
        hold.refusals += 1;
    }

    /// Notes that the replica served a request, or was loaded anew.
    pub fn cleared(&mut self, asset: AssetKey, upstream: UpstreamKey) {
        self.holds.remove(&(asset, upstream));
    }

    /// Whether the replica gets no request now.
    pub fn holds(&self, now: Moment, asset: AssetKey, upstream: UpstreamKey) -> bool {
        self.holds.get(&(asset, upstream)).is_some_and(|hold| hold.until > now)
    }

    /// Whether the replica refused the last request and is tried again: by one request at a time.
    pub fn is_doubtful(&self, asset: AssetKey, upstream: UpstreamKey) -> bool {
        self.holds.contains_key(&(asset, upstream))
    }

    /// Forgets what was long ago.
    pub fn sweep(&mut self, now: Moment) {
        self.holds.retain(|_, hold| hold.until.after(HOLD_MEMORY) > now);
    }
}
