//! Selecting the engine for a replica and the replicas evicted for it.

use std::time::Duration;

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::UpstreamKey;

use super::engine::EngineState;
use super::engine::ReplicaPhase;
use super::engine::is_load_pending;
use super::state::PlacementContext;
use super::state::PlacementState;
use super::summary::EngineSummary;

/// Expected duration of an unload while no request runs on the replica.
const UNLOAD_SECONDS: f64 = 0.08;

/// Cost of a replica on an engine with a limit on requests; exceeds that of most loads.
const LIMITED_SECONDS: f64 = 10.0;

/// Result of selecting an engine for an asset.
#[derive(Debug, Clone, PartialEq)]
pub enum PlaceChoice {
    /// This engine has room; the number counts the other engines that could take the asset.
    Room(UpstreamKey, usize),
    /// These replicas on the engine must be unloaded first.
    Evict(UpstreamKey, Vec<AssetKey>),
    /// No order is possible now, but a pending load, unload or claim may change that.
    Wait,
    /// No engine with the adapter's base has room for the adapter.
    BasesFull,
    /// No engine can take the asset.
    Unplaceable,
}

/// An engine that could take the asset.
#[derive(Debug, Clone)]
struct PlaceCandidate {
    engine: UpstreamKey,
    /// Replicas that must be unloaded first.
    victims: Vec<AssetKey>,
    /// Seconds until the asset is expected to be ready, plus the value of the evicted replicas.
    cost: f64,
    /// Whether the engine accepts an order now.
    accepts_now: bool,
}

/// Result of evaluating one engine for an asset.
enum EngineFit {
    /// It can take the asset: the replicas to unload, and the cost beyond the load in seconds.
    Fits(Vec<AssetKey>, f64),
    /// It may be able to once a load or unload has ended.
    Pending,
    /// The base of the adapter is resident, but there is no room for the adapter.
    Full,
    /// It cannot take the asset.
    Unfit,
}

impl PlacementState {
    /// Selects the engine with the lowest cost for `asset`, possibly one that accepts no order yet.
    /// `urgent` means that requests wait for the asset. Without it, replicas are evicted only if
    /// the cost in seconds is at most `max_cost`.
    pub(super) fn choose_place(
        &self,
        context: &PlacementContext<'_>,
        asset: AssetKey,
        urgent: bool,
        max_cost: f64,
    ) -> PlaceChoice {
        let record = &context.catalog.assets[asset];
        let (mut pending, mut bases_full, mut fitting_engines) = (false, false, 0);
        let mut best: Option<PlaceCandidate> = None;
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
                pending |= context.accepts_work(key) && !engine.is_unresponsive();
                continue;
            }
            let load = self.load_estimate(context, key, asset);
            match evaluate_engine(context, key, engine, summary, asset, load, urgent) {
                EngineFit::Fits(victims, eviction_cost) => {
                    fitting_engines += 1;
                    let limited = context.limits.limited.contains(&key);
                    let limit_cost = if limited { LIMITED_SECONDS } else { 0.0 };
                    let cost = load.as_secs_f64()
                        + eviction_cost
                        + summary.order_wait.as_secs_f64()
                        + limit_cost;
                    if best.as_ref().is_none_or(|best| cost < best.cost) {
                        let accepts_now = summary.order_wait.is_zero();
                        best = Some(PlaceCandidate { engine: key, victims, cost, accepts_now });
                    }
                }
                EngineFit::Pending => pending = true,
                EngineFit::Full => bases_full = true,
                EngineFit::Unfit => {}
            }
        }
        match best {
            Some(candidate) if !candidate.accepts_now => PlaceChoice::Wait,
            Some(candidate) if candidate.victims.is_empty() => {
                PlaceChoice::Room(candidate.engine, fitting_engines - 1)
            }
            Some(candidate) if urgent || candidate.cost <= max_cost => {
                PlaceChoice::Evict(candidate.engine, candidate.victims)
            }
            Some(_) => PlaceChoice::Wait,
            None if bases_full && !pending => PlaceChoice::BasesFull,
            // The base may still be loaded here unless this scope declined it.
            None if pending || record.base.is_some_and(|base| !self.declined.contains(&base)) => {
                PlaceChoice::Wait
            }
            None => PlaceChoice::Unplaceable,
        }
    }
}

fn evaluate_engine(
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
        Some(phase) if is_load_pending(phase) => return EngineFit::Pending,
        _ => return EngineFit::Unfit,
    }
    let slots = context.catalog.pool_of(key).map_or(usize::MAX, |pool| pool.adapters as usize);
    if summary.adapters < slots && summary.free >= bytes {
        return EngineFit::Fits(Vec::new(), summary.contention_delay);
    }
    // The current unload of an adapter already makes room.
    if summary.is_unloading_adapter {
        return EngineFit::Pending;
    }
    // Adapter slots are interchangeable, so the least recently used adapter is evicted.
    if let Some((_, victim, freed)) = summary.evictable_adapter
        && summary.free + freed >= bytes
    {
        return EngineFit::Fits(vec![victim], load.as_secs_f64() + summary.contention_delay);
    }
    let full = if summary.all_ready { EngineFit::Full } else { EngineFit::Pending };
    if summary.adapters >= slots {
        return full;
    }
    match summary.cheapest_evictions(Some(base), bytes.saturating_sub(summary.free)) {
        Some((victims, eviction_cost)) => {
            EngineFit::Fits(victims, eviction_cost + summary.contention_delay)
        }
        None => full,
    }
}

fn fit_model(summary: &EngineSummary, bytes: u64, load: Duration, urgent: bool) -> EngineFit {
    let load = load.as_secs_f64();
    // Requests for adapters that arrive during the load wait half of it on average.
    let cost = summary.contention_delay + summary.blocked_adapter_rate * load * load / 2.0;
    if summary.free_after_unloads >= bytes {
        return EngineFit::Fits(Vec::new(), cost);
    }
    match summary.cheapest_evictions(None, bytes - summary.free_after_unloads) {
        Some((victims, eviction_cost)) => {
            EngineFit::Fits(victims, cost + eviction_cost + UNLOAD_SECONDS)
        }
        None if urgent && !summary.all_ready => EngineFit::Pending,
        None => EngineFit::Unfit,
    }
}
