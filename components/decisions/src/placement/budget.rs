//! This scope's share of the weight store's load rate and concurrency.
//!
//! The weight store is the shared storage from which an engine loads a model that it has no local
//! copy of.

use std::time::Duration;

use wagtailledge_inventory::InventoryCatalog;

use crate::time::Moment;

/// Most model loads that a scope may start at once after being idle.
const MAX_BURST_LOADS: u32 = 2;

/// Limits the rate and concurrency of model loads from the weight store. The shares of all scopes
/// sum to the deployment's limits.
#[derive(Debug, Clone)]
pub struct LoadBudget {
    /// Virtual start of the last load, from which the next start is paced.
    virtual_start: Moment,
    /// Concurrent loads that the weight store is known to sustain at full speed. Never zero.
    sustained_loads: usize,
}

/// Concurrent loads allowed until one has ended in time.
const INITIAL_SUSTAINED_LOADS: usize = 1;

impl LoadBudget {
    /// This scope's share of the configured limit of concurrent loads from the weight store.
    fn configured_model_loads(catalog: &InventoryCatalog) -> usize {
        let scopes = catalog.scopes.len().max(1);
        (catalog.rules.store_concurrent_loads as usize / scopes).max(1)
    }

    /// Concurrent loads from the weight store allowed in this scope now. More would only slow each
    /// of them down.
    pub fn max_model_loads(&self, catalog: &InventoryCatalog) -> usize {
        self.sustained_loads.min(Self::configured_model_loads(catalog))
    }

    /// Raises the concurrency by one after a load that took about as long as declared.
    pub fn record_timely_load(&mut self, catalog: &InventoryCatalog) {
        self.sustained_loads =
            (self.sustained_loads + 1).min(Self::configured_model_loads(catalog));
    }

    /// Halves the concurrency because a load takes longer than declared.
    pub fn record_late_load(&mut self) {
        self.sustained_loads = (self.sustained_loads / 2).max(1);
    }

    /// Concurrent adapter loads allowed in this scope.
    pub fn max_adapter_loads(catalog: &InventoryCatalog) -> usize {
        let scopes = catalog.scopes.len().max(1);
        (catalog.rules.adapters_in_flight as usize / scopes).max(1)
    }

    /// Time between two starts of loads in this scope. Follows from the lowest rate that a pool
    /// declares, or from the rules if none does.
    fn interval(catalog: &InventoryCatalog) -> Duration {
        let scopes = catalog.scopes.len().max(1) as u32;
        let pools = catalog.services.values().filter_map(|service| service.pool.as_ref());
        let declared = pools.map(|pool| pool.loads_per_minute).filter(|rate| *rate > 0).min();
        let rate = declared.unwrap_or(catalog.rules.store_loads_per_second.max(1) * 60);
        Duration::from_secs(60) * scopes / rate
    }

    /// Reserves the start of one load from the weight store; `false` if the rate does not allow one
    /// now.
    pub fn try_start(&mut self, now: Moment, catalog: &InventoryCatalog) -> bool {
        let interval = Self::interval(catalog);
        let burst_time =
            interval * MAX_BURST_LOADS.min(Self::configured_model_loads(catalog) as u32);
        let next = self.virtual_start.max(now.before(burst_time)).after(interval);
        if next > now {
            return false;
        }
        self.virtual_start = next;
        true
    }

    /// A budget without burst allowance, for a new leader: its predecessor may have used it.
    pub fn exhausted(now: Moment) -> Self {
        Self { virtual_start: now, sustained_loads: INITIAL_SUSTAINED_LOADS }
    }
}
