//! Per-engine figures for selecting an engine, computed once for each plan.

use std::time::Duration;

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::UpstreamKey;

use crate::time::Moment;

use super::engine::EngineState;
use super::engine::ReplicaEntry;
use super::engine::ReplicaPhase;
use super::state::PlacementContext;
use super::state::PlacementState;

/// A replica used within this time probably still runs requests, for which an unload waits.
const RECENT_USE: Duration = Duration::from_millis(1_500);
/// Expected time until the requests that run on a recently used replica end.
const RUNNING_REQUEST_SECONDS: f64 = 0.6;
/// Value of one of several replicas of a model, relative to that of an only replica.
const REDUNDANT_REPLICA_VALUE: f64 = 0.25;
/// Expected time until an order is answered.
const ORDER_ROUND_TRIP: Duration = Duration::from_millis(3);
/// Assumed remaining time of a load whose end is unknown.
const UNKNOWN_LOAD_TIME: Duration = Duration::from_secs(1);
/// Requests a second for a model at which another one is expected soon with a probability of 1/2.
const RARE_RATE: f64 = 0.1;
/// Seconds by which each request a second on an engine delays the other requests there.
const CONTENTION_SECONDS_PER_RATE: f64 = 0.03;

/// A model that may be evicted, with the adapters on it.
#[derive(Debug, Clone)]
pub struct EvictionCandidate {
    /// The model to evict.
    pub model: AssetKey,
    /// Adapters that must be unloaded before it.
    pub adapters: Vec<AssetKey>,
    /// Memory that the eviction frees, in bytes.
    pub bytes: u64,
    /// Expected waiting time that evicting it causes, in seconds.
    pub value: f64,
}

/// Figures of one engine for selecting where an asset goes.
#[derive(Debug, Clone, Default)]
pub struct EngineSummary {
    /// Whether its resident assets are known and it accepts new work.
    pub usable: bool,
    /// Memory for weights and adapters, in bytes.
    pub memory: u64,
    /// Memory that is free now, in bytes.
    pub free: u64,
    /// Memory that is free once the current unloads have ended, in bytes.
    pub free_after_unloads: u64,
    /// Expected time until it accepts a load or unload of a model.
    pub order_wait: Duration,
    /// Expected delay of a request by the other requests on the engine, in seconds.
    pub contention_delay: f64,
    /// Requests a second for adapters, which wait during a load or unload of a model.
    pub blocked_adapter_rate: f64,
    /// Number of adapter replicas in any phase.
    pub adapters: usize,
    /// Whether an adapter is retiring or being unloaded.
    pub is_unloading_adapter: bool,
    /// The least recently used idle adapter: when it was last used, its key and its size in bytes.
    pub evictable_adapter: Option<(Moment, AssetKey, u64)>,
    /// Models that may be evicted, sorted by increasing value.
    pub evictions: Vec<EvictionCandidate>,
    /// Whether all replicas are ready: none is being loaded or unloaded.
    pub all_ready: bool,
}

impl EngineSummary {
    /// The models of least value that free `needed` bytes, each after its adapters, and their total
    /// value in seconds. Never includes `kept`. `None` if they do not free enough.
    pub fn cheapest_evictions(
        &self,
        kept: Option<AssetKey>,
        needed: u64,
    ) -> Option<(Vec<AssetKey>, f64)> {
        let mut victims = Vec::new();
        let (mut freed, mut cost) = (0, 0.0);
        for candidate in self.evictions.iter().filter(|candidate| Some(candidate.model) != kept) {
            if freed >= needed {
                break;
            }
            freed += candidate.bytes;
            cost += candidate.value;
            victims.extend(&candidate.adapters);
            victims.push(candidate.model);
        }
        (freed >= needed).then_some((victims, cost))
    }
}

impl PlacementState {
    /// Computes the summary of one engine.
    pub(super) fn summarize(
        &self,
        context: &PlacementContext<'_>,
        key: UpstreamKey,
    ) -> EngineSummary {
        let (Some(engine), Some(upstream)) =
            (self.engines.get(key), context.catalog.upstreams.get(key))
        else {
            return EngineSummary::default();
        };
        let (mut contention_delay, mut blocked_adapter_rate) = (0.0, 0.0);
        for (asset, _) in models(context, engine) {
            contention_delay += self.survey.rate_per_replica(asset) * CONTENTION_SECONDS_PER_RATE;
            blocked_adapter_rate += self.survey.adapter_rate_per_replica(asset);
        }
        let idle = engine.adapters(context.catalog).filter(|(adapter, replica)| {
            !self.survey.is_requested(*adapter) && is_idle(context, replica)
        });
        let spare =
            idle.map(|(adapter, replica)| (replica.last_used, adapter, replica.bytes)).min();
        let mut evictions: Vec<EvictionCandidate> = models(context, engine)
            .filter_map(|(model, replica)| self.eviction(context, key, engine, model, replica))
            .collect();
        evictions.sort_by(|one, other| one.value.total_cmp(&other.value));
        let state_unknown = !engine.claimed || engine.uncertain_until.is_some();
        EngineSummary {
            usable: !state_unknown && context.accepts_work(key) && !engine.is_unresponsive(),
            memory: upstream.memory_bytes,
            free: upstream.memory_bytes.saturating_sub(engine.reserved_bytes()),
            free_after_unloads: upstream
                .memory_bytes
                .saturating_sub(engine.reserved_bytes_after_unloads(context.catalog)),
            order_wait: time_until_order(context, engine),
            contention_delay,
            blocked_adapter_rate,
            adapters: engine.adapters(context.catalog).count(),
            is_unloading_adapter: engine.adapters(context.catalog).any(|(_, replica)| {
                matches!(replica.phase, ReplicaPhase::Retiring(_) | ReplicaPhase::Unloading)
            }),
            evictable_adapter: spare,
            evictions,
            all_ready: engine.replicas.values().all(|replica| replica.phase == ReplicaPhase::Ready),
        }
    }

    /// The candidate for evicting a model; `None` if it must stay loaded.
    fn eviction(
        &self,
        context: &PlacementContext<'_>,
        key: UpstreamKey,
        engine: &EngineState,
        model: AssetKey,
        replica: &ReplicaEntry,
    ) -> Option<EvictionCandidate> {
        let floor = usize::from(context.catalog.assets.get(model)?.floor);
        let needed_here =
            self.survey.is_requested(model) || self.survey.active_replicas(model) <= floor;
        if needed_here || !is_idle(context, replica) {
            return None;
        }
        let mut bytes = replica.bytes;
        let mut adapters = Vec::new();
        for (adapter, held) in engine.adapters(context.catalog) {
            if context.catalog.assets[adapter].base != Some(model) {
                continue;
            }
            if !is_idle(context, held) {
                return None;
            }
            bytes += held.bytes;
            // Registered engines unload the adapters of a model with it.
            if !context.is_registered(key) {
                adapters.push(adapter);
            }
        }
        let value = self.replica_value(context, key, model, replica);
        Some(EvictionCandidate { model, adapters, bytes, value })
    }

    /// Expected waiting time that unloading a replica causes, in seconds.
    fn replica_value(
        &self,
        context: &PlacementContext<'_>,
        engine: UpstreamKey,
        model: AssetKey,
        replica: &ReplicaEntry,
    ) -> f64 {
        let rate = self.survey.rate(model);
        let reload = self.load_estimate(context, engine, model).as_secs_f64();
        let share =
            if self.survey.active_replicas(model) > 1 { REDUNDANT_REPLICA_VALUE } else { 1.0 };
        // The next request waits for the whole reload, and later ones for half of it on average.
        let next = reload * rate / (rate + RARE_RATE);
        let running = context.now.since(replica.last_used) < RECENT_USE;
        let running = if running { RUNNING_REQUEST_SECONDS } else { 0.0 };
        (next + rate * reload * reload / 2.0) * share + running
    }
}

/// The model replicas of an engine, in any phase.
fn models<'e>(
    context: &'e PlacementContext<'_>,
    engine: &'e EngineState,
) -> impl Iterator<Item = (AssetKey, &'e ReplicaEntry)> + 'e {
    let model = |asset: AssetKey| {
        context.catalog.assets.get(asset).is_some_and(|record| record.base.is_none())
    };
    let all = engine.replicas.iter().filter(move |(asset, _)| model(**asset));
    all.map(|(asset, replica)| (*asset, replica))
}

/// Whether a replica is ready and was not used for `eviction_idle`.
fn is_idle(context: &PlacementContext<'_>, replica: &ReplicaEntry) -> bool {
    replica.phase == ReplicaPhase::Ready
        && context.now.since(replica.last_used) >= context.timing.eviction_idle
}

/// Expected time until the engine accepts a load or unload of a model; it carries out one at a
/// time.
fn time_until_order(context: &PlacementContext<'_>, engine: &EngineState) -> Duration {
    let mut wait = engine.next_order_at.since(context.now);
    if engine.open_order.is_some() || engine.lost_order.is_some() {
        wait = wait.max(ORDER_ROUND_TRIP);
    }
    if engine.has_unexplained_work {
        wait = wait.max(UNKNOWN_LOAD_TIME);
    }
    for (_, replica) in models(context, engine) {
        let left = match replica.phase {
            ReplicaPhase::Ordered | ReplicaPhase::Loading(None) => UNKNOWN_LOAD_TIME,
            ReplicaPhase::Loading(Some(due)) => due.since(context.now),
            _ => continue,
        };
        wait = wait.max(left);
    }
    wait
}
