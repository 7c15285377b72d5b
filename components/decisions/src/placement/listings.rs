//! What an engine says it holds, and when it is asked again.

use std::time::Duration;

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::InventoryCatalog;
use wagtailledge_inventory::UpstreamKey;

use crate::order::EngineListing;
use crate::time::Moment;

use super::engine::EngineState;
use super::engine::LISTING_LAG;
use super::engine::ReplicaEntry;
use super::engine::ReplicaPhase;
use super::orders::CLAIM_RETRY;
use super::orders::LOAD_SLACK;
use super::state::PlacementContext;
use super::state::PlacementState;

/// Claims a leader sends a second at most to engines at rest; more engines are claimed less often.
const MAX_IDLE_CLAIMS_PER_SECOND: u32 = 50;
/// Time until a load that takes longer than expected is looked at again.
const LATE_LOAD: Duration = Duration::from_millis(400);
/// What an engine lists when it is asked is no older than this.
const REPORT_LAG: Duration = Duration::from_secs(1);
/// Longest time between two looks at an engine that is busy for long.
const BUSY_LOOK: Duration = Duration::from_millis(1_200);

impl PlacementState {
    pub(super) fn listed(
        &mut self,
        context: &PlacementContext<'_>,
        upstream: UpstreamKey,
        listing: &EngineListing,
    ) {
        let interval = self.idle_interval(context);
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        engine.next_claim = Moment(u64::MAX);
        engine.conflicts = 0;
        let recent = context.now.since(engine.changed) < REPORT_LAG;
        if recent && listing.sequence.is_some() && listing.sequence < engine.sequence {
            // This listing is from before the last order.
            engine.misses = 0;
            engine.next_claim = context.now.after(CLAIM_RETRY / 2);
            engine.next_order = engine.next_claim;
            return;
        }
        let mut under_way = if listing.busy {
            engine.recently_ordered(context.now, context.catalog)
        } else {
            Vec::new()
        };
        let loads = engine.apply_listing(context.now, context.catalog, listing);
        under_way.retain(|(asset, _)| !engine.replicas.contains_key(asset));
        engine.unexplained =
            listing.busy && under_way.is_empty() && !engine.unloads_model(context.catalog);
        let next_ready = under_way.iter().filter_map(|(_, entry)| entry.due()).min();
        let late = under_way.iter().any(|(asset, entry)| {
            let declared = context
                .catalog
                .assets
                .get(*asset)
                .map_or(Duration::ZERO, |record| record.loads.store.0);
            entry.due().is_none() && context.now.since(entry.since) > declared + declared / 4
        });
        for (asset, entry) in under_way {
            engine.replicas.entry(asset).or_insert(entry);
        }
        let pause = if engine.is_loading() { context.timing.loading_claim } else { interval };
        if !listing.busy {
            engine.busy_since = None;
        }
        if let Some(due) = next_ready {
            engine.next_order = due;
            engine.next_claim = due.after(LOAD_SLACK);
        } else if listing.busy {
            // The longer it has taken, the longer it will.
            let since = *engine.busy_since.get_or_insert(context.now);
            let shortest = context.timing.loading_claim;
            let look = (context.now.since(since) / 2).clamp(shortest, BUSY_LOOK.max(shortest));
            engine.next_order = context.now.after(look);
            engine.next_claim = engine.next_order;
        } else if !context.publishes(upstream) {
            engine.next_claim = context.now.after(pause);
        }
        if late {
            self.budget.is_late();
        }
        for (asset, took) in loads {
            let Some(record) = context.catalog.assets.get(asset) else {
                continue;
            };
            if record.base.is_none() {
                self.learn_load_time(took);
            }
            let declared = record.loads.store.0;
            if took >= declared / 2 && took <= declared + declared / 4 {
                self.budget.ended_in_time(context.catalog);
            }
        }
    }

    fn idle_interval(&self, context: &PlacementContext<'_>) -> Duration {
        let paced = Duration::from_secs(self.engines.len() as u64) / MAX_IDLE_CLAIMS_PER_SECOND;
        context.timing.idle_claim.max(paced)
    }
}

impl EngineState {
    /// Replicas that a busy engine may still be loading although it does not list them.
    fn recently_ordered(
        &self,
        now: Moment,
        catalog: &InventoryCatalog,
    ) -> Vec<(AssetKey, ReplicaEntry)> {
        let oldest = now.before(LISTING_LAG);
        let recent = |replica: &ReplicaEntry| match replica.phase {
            ReplicaPhase::Ordered | ReplicaPhase::Loading(_) => true,
            ReplicaPhase::Ready => replica.since > oldest,
            ReplicaPhase::Retiring(_) | ReplicaPhase::Unloading => false,
        };
        let loading = |(asset, entry): (&AssetKey, &ReplicaEntry)| {
            let copied = self.copies.memory.contains(asset) || self.copies.disk.contains(asset);
            let model = catalog.assets.get(*asset).is_none_or(|record| record.base.is_none());
            let due = (copied || !model).then(|| now.after(LATE_LOAD));
            (*asset, ReplicaEntry { phase: ReplicaPhase::Loading(due), ..*entry })
        };
        self.replicas.iter().filter(|(_, replica)| recent(replica)).map(loading).collect()
    }
}
