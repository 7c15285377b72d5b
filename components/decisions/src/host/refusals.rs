//! What a refused caller is told.

use std::time::Duration;

use wagtailledge_inventory::AssetKey;

use crate::request::CallerRefusal;
use crate::request::RefusalOutcome;
use crate::request::RefusalReason;
use crate::request::RequestTarget;

use super::state::HostReducer;

/// Shortest time after which a refused caller is told to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// The same for a caller whom another host can serve.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(50);

impl HostReducer {
    /// Shortest time in which a replica that nobody holds can be ready.
    pub(super) fn least_load(&self, asset: AssetKey) -> Duration {
        let record = &self.catalog.assets[asset];
        let model = match record.base {
            Some(base) if !self.view.ready(base).is_empty() => return Duration::ZERO,
            Some(base) => &self.catalog.assets[base],
            None => record,
        };
        let known = [model.loads.memory.0, model.loads.disk.0, model.loads.store.0];
        let shortest = known.into_iter().filter(|span| !span.is_zero()).min();
        shortest.unwrap_or_else(|| match &self.placement {
            Some(placement) => placement.expected_load(&self.catalog) / 2,
            None => self.catalog.rules.expected_load.0 / 2,
        })
    }

    /// When a caller that was refused should come back.
    fn retry_after(&self, target: RequestTarget, reason: RefusalReason) -> Duration {
        match (reason, target) {
            // Any other host serves now.
            (RefusalReason::HostEnds, _) => RETRY_ELSEWHERE,
            (RefusalReason::TooLate | RefusalReason::NoCapacity, RequestTarget::Asset(asset))
                if self.catalog.assets.contains_key(asset) =>
            {
                self.least_load(asset).max(RETRY_AFTER_MIN)
            }
            _ => RETRY_AFTER_MIN,
        }
    }

    pub(super) fn refusal(
        &self,
        target: RequestTarget,
        outcome: RefusalOutcome,
        reason: RefusalReason,
    ) -> CallerRefusal {
        CallerRefusal { outcome, reason, retry_after: self.retry_after(target, reason) }
    }
}

pub(super) fn reason_text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::DeadlinePassed => "deadline passed",
        RefusalReason::TooLate => "no replica can be ready in time",
        RefusalReason::QueueFull => "queue is full",
        RefusalReason::CallerLimit => "too many requests of this caller",
        RefusalReason::NoCapacity => "no engine has room",
        RefusalReason::UpstreamFailed => "upstream failed",
        RefusalReason::LedgerAway => "ledger could not be reached",
        RefusalReason::KeyReused => "key was used for another request",
        RefusalReason::EarlierCall => "an earlier call has the key",
        RefusalReason::Removed => "not in the inventory",
        RefusalReason::HostEnds => "host ends",
    }
}
