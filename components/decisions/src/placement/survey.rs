//! Snapshot of a scope's engines and demand, collected once for each plan.

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

/// Work of a request beyond processing its prompt, in prompt tokens.
const REQUEST_OVERHEAD_TOKENS: f64 = 1_000.0;

/// Work and engines of one pool: the engines of one service, or those without a service.
#[derive(Debug, Clone, Copy, Default)]
struct PoolSurvey {
    /// Work of all its models, in prompt tokens a second.
    work: f64,
    /// Number of engines that accept new work.
    engines: usize,
}

/// Snapshot of a scope's engines and demand. Updated while the plan loads and retires replicas.
#[derive(Debug, Clone, Default)]
pub struct PlacementSurvey {
    /// Number of ready, loading or ordered replicas of each asset, on engines that accept new work.
    active_replicas: SecondaryMap<AssetKey, usize>,
    /// Requests a second for every asset in the usage table.
    rates: SecondaryMap<AssetKey, f64>,
    /// Requests a second for all adapters of a model.
    adapter_rates: SecondaryMap<AssetKey, f64>,
    /// Work of the requests for a model, in prompt tokens a second.
    work: SecondaryMap<AssetKey, f64>,
    /// Assets with waiting requests, and the bases of adapters with waiting requests.
    requested: SecondaryMap<AssetKey, ()>,
    /// Work and engines of every pool, by service.
    pools: BTreeMap<Option<ServiceKey>, PoolSurvey>,
    /// Summary of every engine, updated after each order to it.
    summaries: SecondaryMap<UpstreamKey, EngineSummary>,
}

impl PlacementSurvey {
    /// Collects everything but the engine summaries, which are added by `put_summary`.
    pub fn collect(state: &PlacementState, context: &PlacementContext<'_>) -> Self {
        let mut survey = Self::default();
        survey.count_replicas(state, context);
        survey.count_demand(context, &state.host_demand);
        survey.count_demand(context, &state.scope_demand);
        for asset in state.usage.assets() {
            let Some(record) = context.catalog.assets.get(asset) else {
                continue;
            };
            let rate = state.usage.rate(context.now, asset);
            survey.rates.insert(asset, rate);
            if let Some(base) = record.base {
                add_to_sum(&mut survey.adapter_rates, base, rate);
                continue;
            }
            let tokens = state.usage.token_rate(context.now, asset);
            let work = rate * REQUEST_OVERHEAD_TOKENS + tokens;
            survey.work.insert(asset, work);
            survey.pools.entry(record.service).or_default().work += work;
        }
        survey
    }

    fn count_replicas(&mut self, state: &PlacementState, context: &PlacementContext<'_>) {
        for (key, engine) in &state.engines {
            if !context.accepts_work(key) || engine.is_unresponsive() {
                continue;
            }
            let service = context.catalog.upstreams.get(key).and_then(|record| record.service);
            self.pools.entry(service).or_default().engines += 1;
            for (asset, replica) in &engine.replicas {
                let ending =
                    matches!(replica.phase, ReplicaPhase::Retiring(_) | ReplicaPhase::Unloading);
                if !ending {
                    self.add_replica(*asset);
                }
            }
        }
    }

    fn count_demand(&mut self, context: &PlacementContext<'_>, demand: &DemandTable) {
        for asset in demand.assets() {
            let base = context.catalog.assets.get(asset).and_then(|record| record.base);
            for requested in std::iter::once(asset).chain(base) {
                self.requested.insert(requested, ());
            }
        }
    }

    /// The summary of one engine.
    pub fn summary(&self, engine: UpstreamKey) -> Option<&EngineSummary> {
        self.summaries.get(engine)
    }

    /// Replaces the summary of one engine.
    pub fn put_summary(&mut self, engine: UpstreamKey, summary: EngineSummary) {
        self.summaries.insert(engine, summary);
    }

    /// Counts a replica that is now being loaded.
    pub fn add_replica(&mut self, asset: AssetKey) {
        let count = self.active_replicas(asset) + 1;
        self.active_replicas.insert(asset, count);
    }

    /// Stops counting a replica that now retires.
    pub fn remove_replica(&mut self, asset: AssetKey) {
        let count = self.active_replicas(asset).saturating_sub(1);
        self.active_replicas.insert(asset, count);
    }

    /// Number of replicas in the scope that are ready, loading or ordered.
    pub fn active_replicas(&self, asset: AssetKey) -> usize {
        self.active_replicas.get(asset).copied().unwrap_or(0)
    }

    /// Whether requests wait for the asset, or for an adapter on it.
    pub fn is_requested(&self, asset: AssetKey) -> bool {
        self.requested.contains_key(asset)
    }

    /// Requests a second for the asset.
    pub fn rate(&self, asset: AssetKey) -> f64 {
        self.rates.get(asset).copied().unwrap_or(0.0)
    }

    /// Requests a second for each active replica of the asset.
    pub fn rate_per_replica(&self, asset: AssetKey) -> f64 {
        self.rate(asset) / self.active_replicas(asset).max(1) as f64
    }

    /// Requests a second for the adapters of a model, for each active replica of the model.
    pub fn adapter_rate_per_replica(&self, base: AssetKey) -> f64 {
        let rate = self.adapter_rates.get(base).copied().unwrap_or(0.0);
        rate / self.active_replicas(base).max(1) as f64
    }

    /// Work of the requests for a model, in prompt tokens a second.
    pub fn work(&self, model: AssetKey) -> f64 {
        self.work.get(model).copied().unwrap_or(0.0)
    }

    /// A model's share of its pool's work, as a number of engines.
    pub fn engine_share(&self, service: Option<ServiceKey>, model: AssetKey) -> f64 {
        let pool = self.pools.get(&service).copied().unwrap_or_default();
        if pool.work <= 0.0 {
            return 0.0;
        }
        self.work(model) / pool.work * pool.engines as f64
    }
}

fn add_to_sum(sums: &mut SecondaryMap<AssetKey, f64>, asset: AssetKey, value: f64) {
    let sum = sums.get(asset).copied().unwrap_or(0.0) + value;
    sums.insert(asset, sum);
}
