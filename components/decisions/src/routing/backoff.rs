//! Backoff from replicas that refuse requests although the placement lists them as ready.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::UpstreamKey;

use crate::time::Moment;

/// Backoff after the first refusal; doubles with each consecutive one.
const BACKOFF_BASE: Duration = Duration::from_millis(60);
/// Maximum backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Time after the end of a backoff at which the count of refusals is removed.
const REFUSAL_RETENTION: Duration = Duration::from_secs(4);

/// Consecutive refusals of one replica.
#[derive(Debug, Clone, Copy)]
struct ReplicaBackoff {
    /// End of the backoff.
    until: Moment,
    /// Consecutive refusals, counting those within one backoff as one.
    refusals: u32,
}

/// Replicas that get no requests for a while after a refusal, because their engine is still loading
/// them or has other assets resident by now.
#[derive(Debug, Clone, Default)]
pub struct ReplicaBackoffs {
    backoffs: BTreeMap<(AssetKey, UpstreamKey), ReplicaBackoff>,
}

impl ReplicaBackoffs {
    /// Records that the replica refused a request, and starts a backoff unless one is running.
    pub fn record_refusal(&mut self, now: Moment, asset: AssetKey, upstream: UpstreamKey) {
        let backoff = self
            .backoffs
            .entry((asset, upstream))
            .or_insert(ReplicaBackoff { until: now, refusals: 0 });
        // Requests sent before the backoff began may still be refused; they count as one refusal.
        if backoff.until > now {
            return;
        }
        let delay = BACKOFF_BASE * 2u32.pow(backoff.refusals.min(8));
        backoff.until = now.after(delay.min(BACKOFF_MAX));
        backoff.refusals += 1;
    }

    /// Removes the refusals of a replica that served a request or was loaded again.
    pub fn clear(&mut self, asset: AssetKey, upstream: UpstreamKey) {
        self.backoffs.remove(&(asset, upstream));
    }

    /// Whether the replica must get no request at `now`.
    pub fn is_backing_off(&self, now: Moment, asset: AssetKey, upstream: UpstreamKey) -> bool {
        self.backoffs.get(&(asset, upstream)).is_some_and(|backoff| backoff.until > now)
    }

    /// Whether the replica has refused requests since it last served one; it then gets one probe
    /// request at a time.
    pub fn is_probing(&self, asset: AssetKey, upstream: UpstreamKey) -> bool {
        self.backoffs.contains_key(&(asset, upstream))
    }

    /// Removes the refusals of replicas whose backoff ended more than `REFUSAL_RETENTION` ago.
    pub fn sweep(&mut self, now: Moment) {
        self.backoffs.retain(|_, backoff| backoff.until.after(REFUSAL_RETENTION) > now);
    }
}
