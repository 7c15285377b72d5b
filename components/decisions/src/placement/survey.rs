//! What a plan needs to know of all engines and all demand, looked up once.

use std::collections::BTreeMap;

use slotmap::SecondaryMap;
use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::ServiceKey;
use wagtailledge_inventory::UpstreamKey;

use super::demand::DemandTable;
use super::engine::ReplicaPhase;
use super::state::PlacementContext;
use super::state::PlacementState;
use super::summary::EngineSummary;

/// Work of a request beside reading its prompt, in prompt tokens.
const REQUEST_TOKENS: f64 = 1_000.0;

/// Work and engines of one pool.
#[derive(Debug, Clone, Copy, Default)]
struct PoolSurvey {
    /// Work of all models, in prompt tokens a second.
    work: f64,
    /// Engines that take new work.
    engines: usize,
}

/// What a plan needs to know of all engines and all demand. Kept up to date while the plan retires
/// and loads.
#[derive(Debug, Clone, Default)]
pub struct PlacementSurvey {
    /// Replicas that serve or will soon.
    useful: SecondaryMap<AssetKey, usize>,
    /// Requests a second of every asset that was ever asked for.
    rates: SecondaryMap<AssetKey, f64>,
    /// Requests a second for all adapters on a model.
    adapter_rates: SecondaryMap<AssetKey, f64>,
    /// Work that a model causes, in prompt tokens a second.
    work: SecondaryMap<AssetKey, f64>,
    /// Assets that something waits for; bases by their adapters too.
    wanted: SecondaryMap<AssetKey, ()>,
    pools: BTreeMap<Option<ServiceKey>, PoolSurvey>,
    /// Every engine, as of the last order to it.
    summaries: SecondaryMap<UpstreamKey, EngineSummary>,
}

impl PlacementSurvey {
    /// Looks at everything as it is now.
    pub fn take(state: &PlacementState, context: &PlacementContext<'_>) -> Self {
        let mut survey = Self::default();
        survey.count_replicas(state, context);
        survey.count_demand(context, &state.hosts);
        survey.count_demand(context, &state.scopes);
        for asset in state.usage.assets() {
            let Some(record) = context.catalog.assets.get(asset) else {
                continue;
            };
            let rate = state.usage.rate(context.now, asset);
            survey.rates.insert(asset, rate);
            if let Some(base) = record.base {
                add(&mut survey.adapter_rates, base, rate);
                continue;
            }
            let tokens = state.usage.token_rate(context.now, asset);
            let work = rate * REQUEST_TOKENS + tokens;
            survey.work.insert(asset, work);
            survey.pools.entry(record.service).or_default().work += work;
        }
        survey
    }

    fn count_replicas(&mut self, state: &PlacementState, context: &PlacementContext<'_>) {
        for (key, engine) in &state.engines {
            if !context.accepts(key) || engine.is_suspect() {
                continue;
            }
            let service = context.catalog.upstreams.get(key).and_then(|record| record.service);
            self.pools.entry(service).or_default().engines += 1;
            for (asset, replica) in &engine.replicas {
                let ends =
                    matches!(replica.phase, ReplicaPhase::Retiring(_) | ReplicaPhase::Unloading);
                if !ends {
                    self.added(*asset);
                }
            }
        }
    }

    fn count_demand(&mut self, context: &PlacementContext<'_>, demand: &DemandTable) {
        for asset in demand.assets() {
            let base = context.catalog.assets.get(asset).and_then(|record| record.base);
            for wanted in std::iter::once(asset).chain(base) {
                self.wanted.insert(wanted, ());
            }
        }
    }

    /// One engine, summed up.
    pub fn summary(&self, engine: UpstreamKey) -> Option<&EngineSummary> {
        self.summaries.get(engine)
    }

    /// Takes in how an engine stands now.
    pub fn put_summary(&mut self, engine: UpstreamKey, summary: EngineSummary) {
        self.summaries.insert(engine, summary);
    }

    /// A replica is being loaded.
    pub fn added(&mut self, asset: AssetKey) {
        let count = self.useful(asset) + 1;
        self.useful.insert(asset, count);
    }

    /// A replica retires.
    pub fn removed(&mut self, asset: AssetKey) {
        let count = self.useful(asset).saturating_sub(1);
        self.useful.insert(asset, count);
    }

    /// Replicas of the scope that serve or will soon.
    pub fn useful(&self, asset: AssetKey) -> usize {
        self.useful.get(asset).copied().unwrap_or(0)
    }

    /// Whether something waits for the asset, or for an adapter on it.
    pub fn is_wanted(&self, asset: AssetKey) -> bool {
        self.wanted.contains_key(asset)
    }

    /// Requests a second.
    pub fn rate(&self, asset: AssetKey) -> f64 {
        self.rates.get(asset).copied().unwrap_or(0.0)
    }

    /// Requests a second that one replica of the asset gets.
    pub fn rate_per_replica(&self, asset: AssetKey) -> f64 {
        self.rate(asset) / self.useful(asset).max(1) as f64
    }

    /// Requests a second for adapters that one replica of their base gets.
    pub fn adapter_rate_per_replica(&self, base: AssetKey) -> f64 {
        let rate = self.adapter_rates.get(base).copied().unwrap_or(0.0);
        rate / self.useful(base).max(1) as f64
    }

    /// Work that a model causes, in prompt tokens a second.
    pub fn work(&self, model: AssetKey) -> f64 {
        self.work.get(model).copied().unwrap_or(0.0)
    }

    /// Engines that a model's share of its pool's work would keep busy by itself.
    pub fn engine_share(&self, service: Option<ServiceKey>, model: AssetKey) -> f64 {
        let pool = self.pools.get(&service).copied().unwrap_or_default();
        if pool.work <= 0.0 {
            return 0.0;
        }
        self.work(model) / pool.work * pool.engines as f64
    }
}

fn add(sums: &mut SecondaryMap<AssetKey, f64>, asset: AssetKey, value: f64) {
    let sum = sums.get(asset).copied().unwrap_or(0.0) + value;
    sums.insert(asset, sum);
}
