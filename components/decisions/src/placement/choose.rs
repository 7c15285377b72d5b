//! Where a replica should go, and what must make room for it.

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
/// Time until an unload ends when nothing runs, in seconds.
const UNLOAD_TIME: f64 = 0.08;
/// Requests a second below which an asset's next request is far away.
const RARE_RATE: f64 = 0.1;

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
    Offer(PlaceOffer),
    Pending,
    Crowded,
    Unfit,
}

impl PlaceOffer {
    fn new(engine: UpstreamKey, victims: Vec<AssetKey>, cost: f64) -> Self {
        Self { engine, victims, cost, free: true }
    }
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
        let base = context.catalog.assets[asset].base;
        let (mut pending, mut crowded) = (false, false);
        let mut offers: Vec<PlaceOffer> = Vec::new();
        for key in self.engines.keys() {
            match self.fit(context, key, asset, urgent) {
                EngineFit::Offer(offer) => offers.push(offer),
                EngineFit::Pending => pending = true,
                EngineFit::Crowded => crowded = true,
                EngineFit::Unfit => {}
            }
        }
        let others = offers.len().saturating_sub(1);
        let best = offers.into_iter().min_by(|one, other| one.cost.total_cmp(&other.cost));
        match best {
            Some(offer) if !offer.free => PlaceChoice::Wait,
            Some(offer) if offer.victims.is_empty() => PlaceChoice::Room(offer.engine, others),
            Some(offer) if urgent || offer.cost <= worth => {
                PlaceChoice::Evict(offer.engine, offer.victims)
            }
            Some(_) => PlaceChoice::Wait,
            None if crowded && !pending => PlaceChoice::Crowded,
            // An adapter waits for its base as long as that is on its way.
            None if pending || base.is_some_and(|base| !self.declined.contains(&base)) => {
                PlaceChoice::Wait
            }
            None => PlaceChoice::Nowhere,
        }
    }

    fn fit(
        &self,
        context: &PlacementContext<'_>,
        key: UpstreamKey,
        asset: AssetKey,
        urgent: bool,
    ) -> EngineFit {
        let record = &context.catalog.assets[asset];
        let (Some(engine), Some(upstream)) =
            (self.engines.get(key), context.catalog.upstreams.get(key))
        else {
            return EngineFit::Unfit;
        };
        let usable = context.accepts(key)
            && !engine.is_suspect()
            && upstream.service == record.service
            && upstream.memory_bytes >= record.bytes
            && !engine.replicas.contains_key(&asset);
        if !usable {
            return EngineFit::Unfit;
        }
        if !engine.claimed || engine.settle_at.is_some() {
            return EngineFit::Pending;
        }
        let wait = wait_for(context, engine);
        let fit = match record.base {
            Some(base) => self.fit_adapter(context, key, engine, asset, base),
            None => self.fit_model(context, key, engine, asset, urgent),
        };
        match fit {
            EngineFit::Offer(offer) => EngineFit::Offer(PlaceOffer {
                cost: offer.cost + wait.as_secs_f64(),
                free: wait.is_zero(),
                ..offer
            }),
            other => other,
        }
    }

    fn fit_adapter(
        &self,
        context: &PlacementContext<'_>,
        key: UpstreamKey,
        engine: &EngineState,
        asset: AssetKey,
        base: AssetKey,
    ) -> EngineFit {
        match engine.replicas.get(&base).map(|entry| entry.phase) {
            Some(ReplicaPhase::Ready) => {}
            Some(ReplicaPhase::Ordered | ReplicaPhase::Loading(_)) => return EngineFit::Pending,
            _ => return EngineFit::Unfit,
        }
        let bytes = context.catalog.assets[asset].bytes;
        let memory = context.catalog.upstreams[key].memory_bytes;
        let slots = context.catalog.pool_of(key).map_or(usize::MAX, |pool| pool.adapters as usize);
        let held = engine.adapters(context.catalog).count();
        let load = self.load_estimate(context, key, asset).as_secs_f64();
        let free = memory.saturating_sub(engine.reserved());
        if held < slots && free >= bytes {
            let cost = load + self.crowding(context, key);
            return EngineFit::Offer(PlaceOffer::new(key, Vec::new(), cost));
        }
        let cost = load * 2.0 + self.crowding(context, key);
        // The adapter that was used longest ago makes way; a slot is worth as much as any other.
        let mut idle: Vec<(Moment, AssetKey, &ReplicaEntry)> = engine
            .adapters(context.catalog)
            .filter(|(other, replica)| self.is_unwanted(*other) && is_idle(context, replica))
            .map(|(other, replica)| (replica.used, other, replica))
            .collect();
        idle.sort_by_key(|(used, other, _)| (*used, *other));
        if let Some((_, victim, replica)) = idle.first()
            && free + replica.bytes >= bytes
        {
            let lost = self.usage.rate(context.now, *victim) * load;
            let cost = cost + lost + running_cost(context, replica);
            return EngineFit::Offer(PlaceOffer::new(key, vec![*victim], cost));
        }
        let settled = engine.replicas.values().all(|replica| replica.phase == ReplicaPhase::Ready);
        let full = if settled { EngineFit::Crowded } else { EngineFit::Pending };
        if held >= slots {
            return full;
        }
        let needed = bytes.saturating_sub(free);
        match self.models_to_evict(context, key, engine, Some(base), needed) {
            Some((victims, lost)) => EngineFit::Offer(PlaceOffer::new(key, victims, cost + lost)),
            None => full,
        }
    }

    fn fit_model(
        &self,
        context: &PlacementContext<'_>,
        key: UpstreamKey,
        engine: &EngineState,
        asset: AssetKey,
        urgent: bool,
    ) -> EngineFit {
        let record = &context.catalog.assets[asset];
        let memory = context.catalog.upstreams[key].memory_bytes;
        let reserved = engine.reserved_after_unloads();
        let load = self.load_estimate(context, key, asset).as_secs_f64();
        let crowding = self.crowding(context, key) + self.blocking(context, engine, load);
        if memory.saturating_sub(reserved) >= record.bytes {
            return EngineFit::Offer(PlaceOffer::new(key, Vec::new(), load + crowding));
        }
        let needed = record.bytes - memory.saturating_sub(reserved);
        if let Some((victims, lost)) = self.models_to_evict(context, key, engine, None, needed) {
            let cost = load + crowding + lost + UNLOAD_TIME;
            return EngineFit::Offer(PlaceOffer::new(key, victims, cost));
        }
        let settled = engine.replicas.values().all(|replica| replica.phase == ReplicaPhase::Ready);
        if urgent && !settled { EngineFit::Pending } else { EngineFit::Unfit }
    }

    /// Models of the least value that free `needed` bytes, with the adapters that must go first,
    /// and their value in seconds. `kept` stays.
    fn models_to_evict(
        &self,
        context: &PlacementContext<'_>,
        key: UpstreamKey,
        engine: &EngineState,
        kept: Option<AssetKey>,
        needed: u64,
    ) -> Option<(Vec<AssetKey>, f64)> {
        let mut candidates: Vec<(f64, AssetKey, u64)> = Vec::new();
        for (other, replica) in &engine.replicas {
            let record = context.catalog.assets.get(*other);
            let model = record.is_some_and(|record| record.base.is_none());
            if model && Some(*other) != kept && self.is_free(context, engine, *other, replica) {
                let value = self.value(context, key, *other, replica);
                candidates.push((value, *other, bytes_with_adapters(context, engine, *other)));
            }
        }
        candidates.sort_by(|one, other| one.0.total_cmp(&other.0));
        let mut victims = Vec::new();
        let (mut freed, mut lost) = (0, 0.0);
        for (value, other, bytes) in candidates {
            if freed >= needed {
                break;
            }
            freed += bytes;
            lost += value;
            // Engines that publish what they hold drop the adapters of a model with it.
            if !context.publishes(key) {
                victims.extend(adapters_on(context, engine, other));
            }
            victims.push(other);
        }
        (freed >= needed).then_some((victims, lost))
    }

    /// Whether a replica and the adapters on it may be unloaded.
    fn is_free(
        &self,
        context: &PlacementContext<'_>,
        engine: &EngineState,
        asset: AssetKey,
        replica: &ReplicaEntry,
    ) -> bool {
        let idle = |replica: &ReplicaEntry| is_idle(context, replica);
        let adapters = adapters_on(context, engine, asset);
        idle(replica)
            && self.may_evict(context, asset)
            && adapters.iter().all(|adapter| engine.replicas.get(adapter).is_some_and(idle))
    }

    /// Whether nothing waits for the asset.
    fn is_unwanted(&self, asset: AssetKey) -> bool {
        !self.hosts.wants(asset) && !self.scopes.wants(asset)
    }

    /// Whether a replica of the asset may be unloaded to make room.
    fn may_evict(&self, context: &PlacementContext<'_>, asset: AssetKey) -> bool {
        let Some(record) = context.catalog.assets.get(asset) else {
            return false;
        };
        let spare = self.useful(context, asset) > usize::from(record.floor);
        let adapters_unwanted = || {
            let on_base = |other: AssetKey| {
                context.catalog.assets.get(other).is_some_and(|other| other.base == Some(asset))
            };
            !self.hosts.wants_any(on_base) && !self.scopes.wants_any(on_base)
        };
        spare && self.is_unwanted(asset) && adapters_unwanted()
    }

    /// What a replica is worth, in seconds of waiting that unloading it will probably cause.
    fn value(
        &self,
        context: &PlacementContext<'_>,
        engine: UpstreamKey,
        asset: AssetKey,
        replica: &ReplicaEntry,
    ) -> f64 {
        let rate = self.usage.rate(context.now, asset);
        let reload = self.load_estimate(context, engine, asset).as_secs_f64();
        let share = if self.useful(context, asset) > 1 { SPARE_VALUE } else { 1.0 };
        // The next request waits for a reload, and so do those that come meanwhile.
        let next = reload * rate / (rate + RARE_RATE);
        (next + rate * reload * reload / 2.0) * share + running_cost(context, replica)
    }

    /// Waiting of requests for adapters that an order of `load` seconds causes: the engine loads no
    /// adapter meanwhile.
    fn blocking(&self, context: &PlacementContext<'_>, engine: &EngineState, load: f64) -> f64 {
        let serving =
            |base: Option<AssetKey>| base.is_some_and(|base| engine.replicas.contains_key(&base));
        let requests: f64 = self
            .usage
            .assets()
            .filter(|asset| {
                context.catalog.assets.get(*asset).is_some_and(|record| serving(record.base))
            })
            .map(|asset| {
                let base = context.catalog.assets[asset].base.unwrap_or(asset);
                self.usage.rate(context.now, asset) / self.useful(context, base).max(1) as f64
            })
            .sum();
        requests * load * load / 2.0
    }

    /// How much the engine has to do already, in seconds that a request there waits longer.
    fn crowding(&self, context: &PlacementContext<'_>, key: UpstreamKey) -> f64 {
        let Some(engine) = self.engines.get(key) else {
            return 0.0;
        };
        let share = |asset: &AssetKey| {
            self.usage.rate(context.now, *asset) / self.useful(context, *asset).max(1) as f64
        };
        let models = engine.replicas.keys().filter(|asset| {
            context.catalog.assets.get(**asset).is_some_and(|record| record.base.is_none())
        });
        let requests: f64 = models.map(share).sum();
        requests * CROWDING_COST
    }
}

/// Seconds that each request a second on an engine delays another one there.
const CROWDING_COST: f64 = 0.03;

/// Whether a replica serves and was not used lately.
fn is_idle(context: &PlacementContext<'_>, replica: &ReplicaEntry) -> bool {
    replica.phase == ReplicaPhase::Ready
        && context.now.since(replica.used) >= context.timing.eviction_idle
}

fn running_cost(context: &PlacementContext<'_>, replica: &ReplicaEntry) -> f64 {
    let running = context.now.since(replica.used) < RUNNING_TIME;
    if running { RUNNING_COST } else { 0.0 }
}

/// Adapters on `model` that the engine holds or may hold.
fn adapters_on(
    context: &PlacementContext<'_>,
    engine: &EngineState,
    model: AssetKey,
) -> Vec<AssetKey> {
    let on_model = |asset: &AssetKey| {
        context.catalog.assets.get(*asset).is_some_and(|record| record.base == Some(model))
    };
    engine.replicas.keys().copied().filter(on_model).collect()
}

/// Memory that unloading a model frees: its own and that of the adapters on it, in bytes.
fn bytes_with_adapters(
    context: &PlacementContext<'_>,
    engine: &EngineState,
    model: AssetKey,
) -> u64 {
    let adapters = adapters_on(context, engine, model);
    let assets = adapters.iter().chain(std::iter::once(&model));
    assets.filter_map(|asset| engine.replicas.get(asset)).map(|replica| replica.bytes).sum()
}

/// Expected time until the engine takes an order: it carries out one at a time.
fn wait_for(context: &PlacementContext<'_>, engine: &EngineState) -> Duration {
    let mut wait = engine.next_order.since(context.now);
    if engine.open.is_some() || engine.lost.is_some() {
        wait = wait.max(ANSWER_TIME);
    }
    for (asset, replica) in &engine.replicas {
        // Adapters load beside anything else.
        if context.catalog.assets.get(*asset).is_some_and(|record| record.base.is_some()) {
            continue;
        }
        let left = match replica.phase {
            ReplicaPhase::Ordered | ReplicaPhase::Loading(None) => UNKNOWN_LOAD,
            ReplicaPhase::Loading(Some(due)) => due.since(context.now),
            _ => continue,
        };
        wait = wait.max(left);
    }
    wait
}
