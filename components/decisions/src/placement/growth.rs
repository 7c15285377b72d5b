//! Replicas beyond the first: as many as an asset's share of all work is worth.

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::ServiceKey;
use wagtailledge_inventory::document::VersionState;

use super::choose::PlaceChoice;
use super::state::PlacementContext;
use super::state::PlacementState;

/// Replicas for an asset that causes all the work, as a multiple of the engines: below one, as
/// rare assets need their places too.
const REPLICA_HEADROOM: f64 = 0.8;
/// Work of a request beside reading its prompt, in prompt tokens.
const REQUEST_TOKENS: f64 = 1_000.0;
/// What one more replica saves of the waiting for each request, in seconds.
const SAVED_WAIT: f64 = 0.15;

impl PlacementState {
    /// Adds replicas of assets that have fewer than their share of the work calls for. One a plan
    /// is enough: plans follow each other quickly while anything changes.
    pub(super) fn grow_replicas(&mut self, context: &mut PlacementContext<'_>) {
        let mut short: Vec<(f64, AssetKey, usize)> = Vec::new();
        for asset in self.usage.assets() {
            let Some(record) = context.catalog.assets.get(asset) else {
                continue;
            };
            if record.base.is_some() || record.state == VersionState::Retired {
                continue;
            }
            let useful = self.useful(context, asset);
            let desired = self.desired_replicas(context, asset).min(usize::from(record.cap));
            if useful > 0 && useful < desired {
                let lack = self.work(context, asset) / useful as f64;
                short.push((lack, asset, useful));
            }
        }
        short.sort_by(|one, other| other.0.total_cmp(&one.0));
        for (_, asset, useful) in short {
            let saved = self.usage.rate(context.now, asset) * SAVED_WAIT / useful as f64;
            let load = context.catalog.assets[asset].loads.disk.0.as_secs_f64();
            match self.choose_place(context, asset, false, saved + load) {
                PlaceChoice::Room(engine, others) if self.has_copy(engine, asset) => {
                    self.load(context, asset, engine, others, "share of the work");
                    return;
                }
                PlaceChoice::Evict(engine, victims) if self.has_copy(engine, asset) => {
                    self.swap(context, asset, engine, &victims, "share of the work");
                    return;
                }
                _ => {}
            }
        }
    }

    /// Replicas that the asset's share of the work is worth.
    fn desired_replicas(&self, context: &PlacementContext<'_>, asset: AssetKey) -> usize {
        let service = context.catalog.assets[asset].service;
        let all = self.total_work(context, service);
        if all <= 0.0 {
            return 1;
        }
        let engines = self.engines.keys().filter(|key| {
            let same =
                context.catalog.upstreams.get(*key).is_some_and(|record| record.service == service);
            same && context.accepts(*key)
        });
        let share = self.work(context, asset) / all;
        (share * engines.count() as f64 * REPLICA_HEADROOM).round().max(1.0) as usize
    }

    /// Work that an asset causes, in prompt tokens a second.
    fn work(&self, context: &PlacementContext<'_>, asset: AssetKey) -> f64 {
        let requests = self.usage.rate(context.now, asset) * REQUEST_TOKENS;
        requests + self.usage.token_rate(context.now, asset)
    }

    fn total_work(&self, context: &PlacementContext<'_>, service: Option<ServiceKey>) -> f64 {
        let models = self.usage.assets().filter(|asset| {
            let record = context.catalog.assets.get(*asset);
            record.is_some_and(|record| record.base.is_none() && record.service == service)
        });
        models.map(|asset| self.work(context, asset)).sum()
    }
}
