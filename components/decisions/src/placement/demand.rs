//! Requests that wait for replicas, as last reported by hosts and other scopes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::InventoryCatalog;

use crate::message::DemandRow;
use crate::time::Moment;

/// Waiting requests for one asset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AssetDemand {
    /// Number of waiting requests.
    pub waiting: u32,
    /// Lowest rank among them, which is served first.
    pub rank: u8,
    /// Earliest deadline among them.
    pub earliest_deadline: Moment,
}

/// The latest demand report of each sender. A report is complete, not incremental.
#[derive(Debug, Clone, Default)]
pub struct DemandTable {
    senders: BTreeMap<String, (Moment, BTreeMap<AssetKey, AssetDemand>)>,
}

impl DemandTable {
    /// Replaces the demand of `sender`; assets that the configuration does not name are ignored.
    pub fn replace(
        &mut self,
        now: Moment,
        catalog: &InventoryCatalog,
        sender: &str,
        rows: &[DemandRow],
    ) {
        let mut demand = BTreeMap::new();
        for row in rows {
            if let Some(asset) = catalog.asset_named(&row.asset) {
                let earliest_deadline = now.after(Duration::from_millis(row.slack_ms));
                let entry = AssetDemand { waiting: row.waiting, rank: row.rank, earliest_deadline };
                demand.insert(asset, entry);
            }
        }
        self.senders.insert(sender.to_owned(), (now, demand));
    }

    /// Whether `sender` has requests waiting for any of `assets`.
    pub fn waits_for(&self, sender: &str, assets: &BTreeSet<AssetKey>) -> bool {
        let rows = self.senders.get(sender);
        rows.is_some_and(|(_, rows)| rows.keys().any(|asset| assets.contains(asset)))
    }

    /// Whether any sender has waiting requests.
    pub fn has_any(&self) -> bool {
        self.senders.values().any(|(_, rows)| !rows.is_empty())
    }

    /// Assets with waiting requests, once for each sender.
    pub fn assets(&self) -> impl Iterator<Item = AssetKey> + '_ {
        self.senders.values().flat_map(|(_, rows)| rows.keys().copied())
    }

    /// Removes the demand of senders whose last report was received before `oldest`.
    pub fn remove_received_before(&mut self, oldest: Moment) {
        self.senders.retain(|_, (received, _)| *received >= oldest);
    }

    /// Sums the demand of all senders. Demand for an adapter also counts as demand for its base.
    pub fn total(&self, catalog: &InventoryCatalog) -> BTreeMap<AssetKey, AssetDemand> {
        let mut total = BTreeMap::new();
        for (asset, demand) in self.senders.values().flat_map(|(_, rows)| rows) {
            let Some(record) = catalog.assets.get(*asset) else {
                continue;
            };
            add_demand(&mut total, *asset, *demand);
            if let Some(base) = record.base {
                add_demand(&mut total, base, *demand);
            }
        }
        total
    }
}

/// Adds the demand for one asset to `total`.
pub fn add_demand(
    total: &mut BTreeMap<AssetKey, AssetDemand>,
    asset: AssetKey,
    demand: AssetDemand,
) {
    let sum = total.entry(asset).or_insert(AssetDemand { waiting: 0, ..demand });
    sum.waiting += demand.waiting;
    sum.rank = sum.rank.min(demand.rank);
    sum.earliest_deadline = sum.earliest_deadline.min(demand.earliest_deadline);
}
