//! Contents of refusals: outcome, reason and retry delay.

use std::time::Duration;

use wagtailledge_inventory::AssetKey;

use crate::admission::RequestStage;
use crate::request::CallerRefusal;
use crate::request::RefusalOutcome;
use crate::request::RefusalReason;
use crate::request::RequestTarget;
use crate::time::Moment;

use super::state::HostReducer;

/// Shortest retry delay for a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay while this host shuts down: other hosts can serve the caller at once.
const RETRY_AFTER_SHUTDOWN: Duration = Duration::from_millis(50);

/// Steps of up to a quarter of a pause by which callers return later.
const RETRY_SPREAD_STEPS: u64 = 1_000;

impl HostReducer {
    /// Shortest time in which a replica of an asset that is not resident anywhere can be ready.
    pub(super) fn min_load_time(&self, asset: AssetKey) -> Duration {
        let record = self.catalog.assets.get(asset);
        let base = record.and_then(|record| record.base);
        if base.is_some_and(|base| !self.view.ready(base).is_empty()) {
            return Duration::ZERO;
        }
        // The asset or its base may have been removed from the configuration.
        let model = base.map_or(record, |base| self.catalog.assets.get(base));
        let known = model.map_or_else(Vec::new, |model| {
            vec![model.loads.memory.0, model.loads.disk.0, model.loads.store.0]
        });
        let shortest = known.into_iter().filter(|span| !span.is_zero()).min();
        shortest.unwrap_or_else(|| match &self.placement {
            Some(placement) => placement.expected_load(&self.catalog) / 2,
            None => self.catalog.rules.expected_load.0 / 2,
        })
    }

    /// How long a refused caller should wait before it retries.
    fn retry_after(&self, now: Moment, target: RequestTarget, reason: RefusalReason) -> Duration {
        match (reason, target) {
            (RefusalReason::UpstreamLimit, _) => {
                self.longest_permit_wait(now, target).max(MIN_RETRY_AFTER)
            }
            (RefusalReason::HostEnds, _) => RETRY_AFTER_SHUTDOWN,
            (RefusalReason::UpstreamsPaused, _) => {
                let pause = self.shortest_pause(now, target).max(MIN_RETRY_AFTER);
                // The callers return at different times.
                let spread = now.0 % RETRY_SPREAD_STEPS;
                pause + pause * spread as u32 / (RETRY_SPREAD_STEPS * 4) as u32
            }
            (RefusalReason::TooLate | RefusalReason::NoCapacity, RequestTarget::Asset(asset))
                if self.catalog.assets.contains_key(asset) =>
            {
                self.min_load_time(asset).max(MIN_RETRY_AFTER)
            }
            _ => MIN_RETRY_AFTER,
        }
    }

    /// Time until the first upstream that could serve requests for `target` ends its pause.
    pub(super) fn shortest_pause(&self, now: Moment, target: RequestTarget) -> Duration {
        let open = self.candidates(now, target).open;
        let pauses = open.iter().map(|candidate| self.tracker.pause_left(now, candidate.key));
        pauses.min().unwrap_or_default()
    }

    /// Refusal with the retry delay for its target and reason.
    pub(super) fn refusal(
        &self,
        now: Moment,
        target: RequestTarget,
        outcome: RefusalOutcome,
        reason: RefusalReason,
    ) -> CallerRefusal {
        CallerRefusal { outcome, reason, retry_after: self.retry_after(now, target, reason) }
    }
}

/// Log value `reason` of a refusal.
pub(super) fn reason_text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::DeadlinePassed => "deadline passed",
        RefusalReason::TooLate => "no replica can be ready in time",
        RefusalReason::QueueFull => "queue is full",
        RefusalReason::CallerLimit => "too many requests of this caller",
        RefusalReason::AccountQuota => "quota of its account is used up",
        RefusalReason::UpstreamLimit => "limits of its upstreams are used up",
        RefusalReason::Quarantined => "its prompt crashes upstreams",
        RefusalReason::UnknownOrigin => "the software version of its stream is not known",
        RefusalReason::NoSuchSoftware => "no upstream with the software version of its stream",
        RefusalReason::UpstreamsPaused => "its upstreams asked for pauses",
        RefusalReason::EnginesBusy => "no replica can begin it in time",
        RefusalReason::NoCapacity => "no engine has room",
        RefusalReason::UpstreamFailed => "upstream failed",
        RefusalReason::LedgerAway => "ledger could not be reached",
        RefusalReason::KeyReused => "key was used for another request",
        RefusalReason::EarlierCall => "an earlier call has the key",
        RefusalReason::Removed => "not in the inventory",
        RefusalReason::HostMemory => "bodies of other requests fill the host's memory",
        RefusalReason::HostEnds => "host ends",
    }
}

/// Log value `reason` of an abandoned request.
pub(super) fn stage_text(stage: RequestStage) -> &'static str {
    match stage {
        RequestStage::Asking => "waited for the quota of its account",
        RequestStage::Claiming => "waited for the ledger",
        RequestStage::Waiting => "waited for an upstream",
        RequestStage::Dispatched(_) => "waited for an answer",
        RequestStage::Streaming(_) => "was being answered",
    }
}
