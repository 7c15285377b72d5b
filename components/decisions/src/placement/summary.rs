//! What choosing a place needs to know of one engine, looked up once a plan.

use std::time::Duration;

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::UpstreamKey;

use crate::time::Moment;

use super::engine::EngineState;
use super::engine::ReplicaEntry;
use super::engine::ReplicaPhase;
use super::state::PlacementContext;
use super::state::PlacementState;

/// A replica used this recently probably still runs something: unloading it waits for that.
const RUNNING_TIME: Duration = Duration::from_millis(1_500);
/// Cost of waiting for such runs, in seconds.
const RUNNING_COST: f64 = 0.6;
/// Part of the value of an asset that one of several replicas of it has.
const SPARE_VALUE: f64 = 0.25;
/// Time until an order is answered.
const ANSWER_TIME: Duration = Duration::from_millis(3);
/// Time until a load ends whose duration is not known.
const UNKNOWN_LOAD: Duration = Duration::from_secs(1);
/// Requests a second below which an asset's next request is far away.
const RARE_RATE: f64 = 0.1;
/// Seconds that each request a second on an engine delays another one there.
const CROWDING_COST: f64 = 0.03;

/// A model that may be unloaded, with the adapters on it.
#[derive(Debug, Clone)]
pub struct EvictionOffer {
    /// The model.
    pub model: AssetKey,
    /// Adapters that must be unloaded before it.
    pub adapters: Vec<AssetKey>,
    /// Memory that is freed, in bytes.
    pub bytes: u64,
    /// Seconds of waiting that unloading it will probably cause.
    pub value: f64,
}

/// What choosing a place needs to know of one engine.
#[derive(Debug, Clone, Default)]
pub struct EngineSummary {
    /// It has said what it holds and takes new work.
    pub usable: bool,
    /// Memory for weights and adapters, in bytes.
    pub memory: u64,
    /// Memory that is free now, in bytes.
    pub free: u64,
    /// Memory that is free once the unloads under way have ended, in bytes.
    pub free_after_unloads: u64,
    /// Expected time until it takes an order.
    pub wait: Duration,
    /// Seconds that a request there waits longer because of what it has to do already.
    pub crowding: f64,
    /// Requests a second that an order about a model keeps from getting their adapters.
    pub blocked_rate: f64,
    /// Adapters held or on their way.
    pub adapters: usize,
    /// An adapter is being unloaded.
    pub adapter_leaves: bool,
    /// The adapter to unload first, when it was last used, and its bytes.
    pub spare_adapter: Option<(Moment, AssetKey, u64)>,
    /// Models that may be unloaded, those of the least value first.
    pub evictions: Vec<EvictionOffer>,
    /// All replicas serve: nothing is on its way in or out.
    pub settled: bool,
}

impl EngineSummary {
    /// Models of the least value that free `needed` bytes, and their value in seconds. `kept`
    /// stays.
    pub fn evict(&self, kept: Option<AssetKey>, needed: u64) -> Option<(Vec<AssetKey>, f64)> {
        let mut victims = Vec::new();
        let (mut freed, mut lost) = (0, 0.0);
        for offer in self.evictions.iter().filter(|offer| Some(offer.model) != kept) {
            if freed >= needed {
                break;
            }
            freed += offer.bytes;
            lost += offer.value;
            victims.extend(&offer.adapters);
            victims.push(offer.model);
        }
        (freed >= needed).then_some((victims, lost))
    }
}

impl PlacementState {
    /// Sums up one engine.
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
        let (mut crowding, mut blocked_rate) = (0.0, 0.0);
        for (asset, _) in models(context, engine) {
            crowding += self.survey.rate_per_replica(asset) * CROWDING_COST;
            blocked_rate += self.survey.adapter_rate_per_replica(asset);
        }
        let idle = engine.adapters(context.catalog).filter(|(adapter, replica)| {
            !self.survey.is_wanted(*adapter) && is_idle(context, replica)
        });
        let spare = idle.map(|(adapter, replica)| (replica.used, adapter, replica.bytes)).min();
        let mut evictions: Vec<EvictionOffer> = models(context, engine)
            .filter_map(|(model, replica)| self.eviction(context, key, engine, model, replica))
            .collect();
        evictions.sort_by(|one, other| one.value.total_cmp(&other.value));
        let unanswered = !engine.claimed || engine.settle_at.is_some();
        EngineSummary {
            usable: !unanswered && context.accepts(key) && !engine.is_suspect(),
            memory: upstream.memory_bytes,
            free: upstream.memory_bytes.saturating_sub(engine.reserved()),
            free_after_unloads: upstream
                .memory_bytes
                .saturating_sub(engine.reserved_after_unloads()),
            wait: wait_for(context, engine),
            crowding,
            blocked_rate,
            adapters: engine.adapters(context.catalog).count(),
            adapter_leaves: engine.adapters(context.catalog).any(|(_, replica)| {
                matches!(replica.phase, ReplicaPhase::Retiring(_) | ReplicaPhase::Unloading)
            }),
            spare_adapter: spare,
            evictions,
            settled: engine.replicas.values().all(|replica| replica.phase == ReplicaPhase::Ready),
        }
    }

    /// What unloading a model would free and cost; `None` when it must stay.
    fn eviction(
        &self,
        context: &PlacementContext<'_>,
        key: UpstreamKey,
        engine: &EngineState,
        model: AssetKey,
        replica: &ReplicaEntry,
    ) -> Option<EvictionOffer> {
        let floor = usize::from(context.catalog.assets.get(model)?.floor);
        let wanted = self.survey.is_wanted(model) || self.survey.useful(model) <= floor;
        if wanted || !is_idle(context, replica) {
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
            // Engines that publish what they hold drop the adapters of a model with it.
            if !context.publishes(key) {
                adapters.push(adapter);
            }
        }
        let value = self.replica_value(context, key, model, replica);
        Some(EvictionOffer { model, adapters, bytes, value })
    }

    /// What a replica is worth, in seconds of waiting that unloading it will probably cause.
    fn replica_value(
        &self,
        context: &PlacementContext<'_>,
        engine: UpstreamKey,
        model: AssetKey,
        replica: &ReplicaEntry,
    ) -> f64 {
        let rate = self.survey.rate(model);
        let reload = self.load_estimate(context, engine, model).as_secs_f64();
        let share = if self.survey.useful(model) > 1 { SPARE_VALUE } else { 1.0 };
        // The next request waits for a reload, and so do those that come meanwhile.
        let next = reload * rate / (rate + RARE_RATE);
        let running = context.now.since(replica.used) < RUNNING_TIME;
        let running = if running { RUNNING_COST } else { 0.0 };
        (next + rate * reload * reload / 2.0) * share + running
    }
}

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

/// Whether a replica serves and was not used lately.
fn is_idle(context: &PlacementContext<'_>, replica: &ReplicaEntry) -> bool {
    replica.phase == ReplicaPhase::Ready
        && context.now.since(replica.used) >= context.timing.eviction_idle
}

/// Expected time until the engine takes an order: it carries out one about a model at a time.
fn wait_for(context: &PlacementContext<'_>, engine: &EngineState) -> Duration {
    let mut wait = engine.next_order.since(context.now);
    if engine.open.is_some() || engine.lost.is_some() {
        wait = wait.max(ANSWER_TIME);
    }
    if engine.unexplained {
        wait = wait.max(UNKNOWN_LOAD);
    }
    for (_, replica) in models(context, engine) {
        let left = match replica.phase {
            ReplicaPhase::Ordered | ReplicaPhase::Loading(None) => UNKNOWN_LOAD,
            ReplicaPhase::Loading(Some(due)) => due.since(context.now),
            _ => continue,
        };
        wait = wait.max(left);
    }
    wait
}
