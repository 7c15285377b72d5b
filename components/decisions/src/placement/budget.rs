//! This scope's share of the weight store's rates.

use std::time::Duration;

use wagtailledge_inventory::InventoryCatalog;

use crate::time::Moment;

/// Loads that an idle scope keeps credit for.
const MAX_CREDIT: u32 = 2;

/// Paces load orders. The shares of all scopes sum to the deployment's limits.
#[derive(Debug, Clone)]
pub struct LoadBudget {
    /// Load starts are paced as if the last one had been at this moment.
    paced: Moment,
    /// Loads that the weight store carries at once without slowing each other down, as far as is
    /// known. Never zero.
    carried: usize,
}

/// Loads at once that are tried before any was seen to end.
const FIRST_CARRIED: usize = 1;

impl LoadBudget {
    /// Most model loads that may be under way at once in this scope.
    fn most(catalog: &InventoryCatalog) -> usize {
        let scopes = catalog.scopes.len().max(1);
        (catalog.rules.store_concurrent_loads as usize / scopes).max(1)
    }

    /// Model loads that may be under way at once in this scope. More would only make each of them
    /// take longer.
    pub fn concurrent(&self, catalog: &InventoryCatalog) -> usize {
        self.carried.min(Self::most(catalog))
    }

    /// A load took as long as declared: the weight store may carry one more.
    pub fn ended_in_time(&mut self, catalog: &InventoryCatalog) {
        self.carried = (self.carried + 1).min(Self::most(catalog));
    }

    /// A load takes longer than declared: the weight store carries fewer.
    pub fn is_late(&mut self) {
        self.carried = (self.carried / 2).max(1);
    }

    /// Adapter loads that may be under way at once in this scope.
    pub fn adapters(catalog: &InventoryCatalog) -> usize {
        let scopes = catalog.scopes.len().max(1);
        (catalog.rules.adapters_in_flight as usize / scopes).max(1)
    }

    /// Time between two load starts of this scope: by what the strictest pool declares, else by the
    /// rules.
    fn interval(catalog: &InventoryCatalog) -> Duration {
        let scopes = catalog.scopes.len().max(1) as u32;
        let pools = catalog.services.values().filter_map(|service| service.pool.as_ref());
        let declared = pools.map(|pool| pool.loads_per_minute).filter(|rate| *rate > 0).min();
        let rate = declared.unwrap_or(catalog.rules.store_loads_per_second.max(1) * 60);
        Duration::from_secs(60) * scopes / rate
    }

    /// Takes one model load out of the rate; false when it must wait.
    pub fn take(&mut self, now: Moment, catalog: &InventoryCatalog) -> bool {
        let interval = Self::interval(catalog);
        let credit = interval * MAX_CREDIT.min(Self::most(catalog) as u32);
        let next = self.paced.max(now.before(credit)).after(interval);
        if next > now {
            return false;
        }
        self.paced = next;
        true
    }

    /// Starts with the credit used up, as a new leader must: its predecessor may have used it.
    pub fn spent(now: Moment) -> Self {
        Self { paced: now, carried: FIRST_CARRIED }
    }
}
