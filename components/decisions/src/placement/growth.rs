//! Replicas beyond the first: as many as an asset's share of all work is worth.

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::document::VersionState;

use super::choose::PlaceChoice;
use super::state::PlacementContext;
use super::state::PlacementState;

/// Replicas for an asset that causes all the work, as a multiple of the engines: below one, as
/// rare assets need their places too.
const REPLICA_HEADROOM: f64 = 0.8;
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
            let useful = self.survey.useful(asset);
            let share = self.survey.engine_share(record.service, asset) * REPLICA_HEADROOM;
            let desired = (share.round() as usize).clamp(1, usize::from(record.cap));
            if useful > 0 && useful < desired {
                short.push((self.survey.work(asset) / useful as f64, asset, useful));
            }
        }
        short.sort_by(|one, other| other.0.total_cmp(&one.0));
        for (_, asset, useful) in short {
            let saved = self.survey.rate(asset) * SAVED_WAIT / useful as f64;
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
}
