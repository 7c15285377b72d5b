//! Where a replica should go, and what must make room for it.

use std::time::Duration;

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::UpstreamKey;

use super::engine::EngineState;
use super::engine::ReplicaPhase;
use super::engine::is_coming;
use super::state::PlacementContext;
use super::state::PlacementState;
use super::summary::EngineSummary;

/// Time until an unload ends when nothing runs, in seconds.
const UNLOAD_TIME: f64 = 0.08;

/// Where an asset could go.
#[derive(Debug, Clone, PartialEq)]
pub enum PlaceChoice {
    /// There is room on this engine; counts the other engines that were looked at.
    Room(UpstreamKey, usize),
    /// Room must be made there by unloading these.
    Evict(UpstreamKey, Vec<AssetKey>),
    /// Nothing can be done now, but something under way may change that.
    Wait,
    /// An adapter whose base is only where there is no room for the adapter.
    Crowded,
    /// No engine can take it.
    Nowhere,
}

/// An engine that could take the asset, and at what cost.
#[derive(Debug, Clone)]
struct PlaceOffer {
    engine: UpstreamKey,
    victims: Vec<AssetKey>,
    /// Expected time until it serves and value of what is lost, in seconds.
    cost: f64,
    /// The engine takes the order now.
    free: bool,
}

/// What looking at one engine gave.
enum EngineFit {
    /// What is to be unloaded, and what that costs in seconds beside the load.
    Fits(Vec<AssetKey>, f64),
    Pending,
    Crowded,
    Unfit,
}

impl PlacementState {
    /// Chooses the engine that can serve `asset` soonest at the least loss, which may be one that
    /// must be waited for. `urgent` tells whether something waits for it; without that nothing is
    /// unloaded that is worth more than `worth`.
    pub(super) fn choose_place(
        &self,
        context: &PlacementContext<'_>,
        asset: AssetKey,
        urgent: bool,
        worth: f64,
    ) -> PlaceChoice {
        let record = &context.catalog.assets[asset];
        let (mut pending, mut crowded, mut others) = (false, false, 0);
        let mut best: Option<PlaceOffer> = None;
        for (key, engine) in &self.engines {
            let Some(summary) = self.survey.summary(key) else {
                continue;
            };
            let compatible = summary.memory >= record.bytes
                && !engine.replicas.contains_key(&asset)
                && context.catalog.is_compatible(asset, key);
            if !compatible {
                continue;
            }
            if !summary.usable {
                pending |= context.accepts(key) && !engine.is_suspect();
                continue;
            }
            let load = self.load_estimate(context, key, asset);
            match fit(context, key, engine, summary, asset, load, urgent) {
                EngineFit::Fits(victims, lost) => {
                    others += 1;
                    let cost = load.as_secs_f64() + lost + summary.wait.as_secs_f64();
                    if best.as_ref().is_none_or(|best| cost < best.cost) {
                        let free = summary.wait.is_zero();
                        best = Some(PlaceOffer { engine: key, victims, cost, free });
                    }
                }
                EngineFit::Pending => pending = true,
                EngineFit::Crowded => crowded = true,
                EngineFit::Unfit => {}
            }
        }
        match best {
            Some(offer) if !offer.free => PlaceChoice::Wait,
            Some(offer) if offer.victims.is_empty() => PlaceChoice::Room(offer.engine, others - 1),
            Some(offer) if urgent || offer.cost <= worth => {
                PlaceChoice::Evict(offer.engine, offer.victims)
            }
            Some(_) => PlaceChoice::Wait,
            None if crowded && !pending => PlaceChoice::Crowded,
            // An adapter waits for its base as long as that is on its way.
            None if pending || record.base.is_some_and(|base| !self.declined.contains(&base)) => {
                PlaceChoice::Wait
            }
            None => PlaceChoice::Nowhere,
        }
    }
}

fn fit(
    context: &PlacementContext<'_>,
    key: UpstreamKey,
    engine: &EngineState,
    summary: &EngineSummary,
    asset: AssetKey,
    load: Duration,
    urgent: bool,
) -> EngineFit {
    let record = &context.catalog.assets[asset];
    match record.base {
        Some(base) => fit_adapter(context, key, engine, summary, record.bytes, base, load),
        None => fit_model(summary, record.bytes, load, urgent),
    }
}

fn fit_adapter(
    context: &PlacementContext<'_>,
    key: UpstreamKey,
    engine: &EngineState,
    summary: &EngineSummary,
    bytes: u64,
    base: AssetKey,
    load: Duration,
) -> EngineFit {
    match engine.replicas.get(&base).map(|entry| entry.phase) {
        Some(ReplicaPhase::Ready) => {}
        Some(phase) if is_coming(phase) => return EngineFit::Pending,
        _ => return EngineFit::Unfit,
    }
    let slots = context.catalog.pool_of(key).map_or(usize::MAX, |pool| pool.adapters as usize);
    if summary.adapters < slots && summary.free >= bytes {
        return EngineFit::Fits(Vec::new(), summary.crowding);
    }
    // Room is being made: nothing more need make way.
    if summary.adapter_leaves {
        return EngineFit::Pending;
    }
    // The adapter that was used longest ago makes way; a slot is worth as much as any other.
    if let Some((_, victim, freed)) = summary.spare_adapter
        && summary.free + freed >= bytes
    {
        return EngineFit::Fits(vec![victim], load.as_secs_f64() + summary.crowding);
    }
    let full = if summary.settled { EngineFit::Crowded } else { EngineFit::Pending };
    if summary.adapters >= slots {
        return full;
    }
    match summary.evict(Some(base), bytes.saturating_sub(summary.free)) {
        Some((victims, lost)) => EngineFit::Fits(victims, lost + summary.crowding),
        None => full,
    }
}

fn fit_model(summary: &EngineSummary, bytes: u64, load: Duration, urgent: bool) -> EngineFit {
    let load = load.as_secs_f64();
    // Requests for adapters wait meanwhile, half the time on average.
    let cost = summary.crowding + summary.blocked_rate * load * load / 2.0;
    if summary.free_after_unloads >= bytes {
        return EngineFit::Fits(Vec::new(), cost);
    }
    match summary.evict(None, bytes - summary.free_after_unloads) {
        Some((victims, lost)) => EngineFit::Fits(victims, cost + lost + UNLOAD_TIME),
        None if urgent && !summary.settled => EngineFit::Pending,
        None => EngineFit::Unfit,
    }
}
