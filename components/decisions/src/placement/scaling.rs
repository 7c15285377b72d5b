//! Scaling out: models get replicas in proportion to their share of the pool's work.

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::document::VersionState;

use super::choose::PlaceChoice;
use super::state::PlacementContext;
use super::state::PlacementState;

/// Fraction of a pool's engines that a model with all of the work gets. Below one to leave room for
/// rarely used assets.
const MAX_ENGINE_FRACTION: f64 = 0.8;
/// Waiting time that a second replica saves each request, in seconds.
const SAVED_WAIT_SECONDS: f64 = 0.15;

impl PlacementState {
    /// Adds a replica of the model with the most work per replica among those below their share.
    /// One replica for each plan suffices, as plans follow each other quickly during changes.
    pub(super) fn scale_out(&mut self, context: &mut PlacementContext<'_>) {
        let mut below_target: Vec<(f64, AssetKey, usize)> = Vec::new();
        for asset in self.usage.assets() {
            let Some(record) = context.catalog.assets.get(asset) else {
                continue;
            };
            if record.base.is_some() || record.state == VersionState::Retired {
                continue;
            }
            let active = self.survey.active_replicas(asset);
            let share = self.survey.engine_share(record.service, asset) * MAX_ENGINE_FRACTION;
            let desired = (share.round() as usize).min(usize::from(record.cap)).max(1);
            if active > 0 && active < desired {
                below_target.push((self.survey.work(asset) / active as f64, asset, active));
            }
        }
        below_target.sort_by(|one, other| other.0.total_cmp(&one.0));
        for (_, asset, active) in below_target {
            let saved = self.survey.rate(asset) * SAVED_WAIT_SECONDS / active as f64;
            let load = context.catalog.assets[asset].loads.disk.0.as_secs_f64();
            match self.choose_place(context, asset, false, saved + load) {
                PlaceChoice::Room(engine, others) if self.has_copy(engine, asset) => {
                    self.order_load(context, asset, engine, others, "share of the work");
                    return;
                }
                PlaceChoice::Evict(engine, victims) if self.has_copy(engine, asset) => {
                    self.make_room(context, asset, engine, &victims, "share of the work");
                    return;
                }
                _ => {}
            }
        }
    }
}
