//! Applying engine reports of resident assets, and scheduling the next claim.

use std::time::Duration;

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::InventoryCatalog;
use wagtailledge_inventory::UpstreamKey;

use crate::order::EngineReport;
use crate::time::Moment;

use super::engine::EngineState;
use super::engine::ReplicaEntry;
use super::engine::ReplicaPhase;
use super::orders::CLAIM_RETRY;
use super::orders::LOAD_TIME_MARGIN;
use super::state::PlacementContext;
use super::state::PlacementState;

/// Most claims a second that a leader sends to idle engines; with more engines, each is claimed
/// less often.
const MAX_IDLE_CLAIMS_PER_SECOND: u32 = 50;
/// Assumed remaining time of a load that a busy engine does not report, if it is the load of an
/// adapter or from a local copy.
const LATE_LOAD_RECHECK: Duration = Duration::from_millis(400);
/// Maximum age of the state that a report in answer to an order describes.
const CLAIM_REPORT_AGE: Duration = Duration::from_secs(1);
/// Longest time between two claims of an engine that stays busy.
const MAX_BUSY_RECHECK: Duration = Duration::from_millis(1_200);

impl PlacementState {
    /// Applies an engine's report in answer to an order, and schedules its next claim.
    pub(super) fn apply_report(
        &mut self,
        context: &PlacementContext<'_>,
        upstream: UpstreamKey,
        report: &EngineReport,
    ) {
        let interval = self.idle_interval(context);
        let Some(engine) = self.known_engine_mut(upstream) else {
            return;
        };
        engine.next_claim_at = Moment(u64::MAX);
        let recent = context.now.since(engine.last_change) < CLAIM_REPORT_AGE;
        if recent && report.sequence.is_some() && report.sequence < engine.sequence {
            // The engine wrote this report before it accepted the last order.
            engine.misses = 0;
            engine.next_claim_at = context.now.after(CLAIM_RETRY / 2);
            engine.next_order_at = engine.next_claim_at;
            return;
        }
        engine.conflicts = 0;
        let orders_known = engine.knows_orders_until(report);
        let mut unreported_loads = if report.busy {
            engine.unconfirmed_loads(context.now, context.catalog)
        } else {
            Vec::new()
        };
        let loads = engine.apply_report(context.now, context.catalog, report);
        unreported_loads.retain(|(asset, _)| !engine.replicas.contains_key(asset));
        let is_model = |asset: AssetKey| {
            context.catalog.assets.get(asset).is_none_or(|record| record.base.is_none())
        };
        let is_explained = unreported_loads.iter().any(|(asset, _)| is_model(*asset))
            || engine.is_unloading_model(context.catalog);
        engine.has_unexplained_work = report.busy && !(orders_known && is_explained);
        if engine.has_unexplained_work {
            // When they end is not known either.
            for (_, entry) in &mut unreported_loads {
                entry.phase = ReplicaPhase::Loading(None);
            }
        }
        let next_expected_ready =
            unreported_loads.iter().filter_map(|(_, entry)| entry.expected_ready()).min();
        let is_late = unreported_loads.iter().any(|(asset, entry)| {
            let declared = context
                .catalog
                .assets
                .get(*asset)
                .map_or(Duration::ZERO, |record| record.loads.store.0);
            entry.expected_ready().is_none()
                && context.now.since(entry.since) > declared + declared / 4
        });
        for (asset, entry) in unreported_loads {
            engine.replicas.entry(asset).or_insert(entry);
        }
        let recheck_interval =
            if engine.is_loading() { context.timing.loading_claim } else { interval };
        if !report.busy {
            engine.busy_since = None;
        }
        if let Some(due) = next_expected_ready {
            engine.next_order_at = due;
            engine.next_claim_at = due.after(LOAD_TIME_MARGIN);
        } else if report.busy {
            // The remaining time is assumed to grow with the time the engine has been busy.
            let since = *engine.busy_since.get_or_insert(context.now);
            let shortest = context.timing.loading_claim;
            let recheck =
                (context.now.since(since) / 2).clamp(shortest, MAX_BUSY_RECHECK.max(shortest));
            engine.next_order_at = context.now.after(recheck);
            engine.next_claim_at = engine.next_order_at;
        } else if !context.is_registered(upstream) {
            engine.next_claim_at = context.now.after(recheck_interval);
        }
        if is_late {
            self.budget.record_late_load();
        }
        for (asset, took) in loads {
            let Some(record) = context.catalog.assets.get(asset) else {
                continue;
            };
            if record.base.is_none() {
                self.record_load_time(took);
            }
            let declared = record.loads.store.0;
            if took >= declared / 2 && took <= declared + declared / 4 {
                self.budget.record_timely_load(context.catalog);
            }
        }
    }

    /// Time between two claims of an idle engine.
    fn idle_interval(&self, context: &PlacementContext<'_>) -> Duration {
        let paced = Duration::from_secs(self.engines.len() as u64) / MAX_IDLE_CLAIMS_PER_SECOND;
        context.timing.idle_claim.max(paced)
    }
}

impl EngineState {
    /// Whether this leader knows every order that the engine had accepted when it wrote the report.
    /// Then the work in the report can only be one of them. What the other orders do can't be told from
    /// what is missing in a report, which may be the result of an unload.
    fn knows_orders_until(&self, report: &EngineReport) -> bool {
        report.sequence.is_some()
            && report.sequence == self.sequence
            && !self.is_sequence_uncertain
            && !self.has_unexplained_work
    }

    /// Replicas whose load the engine accepted and has not confirmed, marked as loading.
    fn unconfirmed_loads(
        &self,
        now: Moment,
        catalog: &InventoryCatalog,
    ) -> Vec<(AssetKey, ReplicaEntry)> {
        let is_unconfirmed = |replica: &ReplicaEntry| match replica.phase {
            ReplicaPhase::Ordered | ReplicaPhase::Loading(_) => true,
            ReplicaPhase::Ready | ReplicaPhase::Retiring(_) => !replica.is_confirmed,
            ReplicaPhase::Unloading => false,
        };
        let loading = |(asset, entry): (&AssetKey, &ReplicaEntry)| {
            let copied = self.copies.memory.contains(asset) || self.copies.disk.contains(asset);
            let model = catalog.assets.get(*asset).is_none_or(|record| record.base.is_none());
            let due = (copied || !model).then(|| now.after(LATE_LOAD_RECHECK));
            (*asset, ReplicaEntry { phase: ReplicaPhase::Loading(due), ..*entry })
        };
        self.replicas.iter().filter(|(_, replica)| is_unconfirmed(replica)).map(loading).collect()
    }
}
