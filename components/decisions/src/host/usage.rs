//! Request and token counts by asset, collected until they are sent to a leader.

use std::collections::BTreeMap;

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::InventoryCatalog;

use crate::message::UsageRow;

/// Usage of one asset since the last report.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AssetUsage {
    /// Number of requests.
    pub(super) requests: u32,
    /// Sum of the tokens of their prompts.
    pub(super) tokens: u64,
}

impl AssetUsage {
    /// Adds `requests` whose prompts have `tokens` in total.
    pub(super) fn add(&mut self, requests: u32, tokens: u64) {
        self.requests += requests;
        self.tokens += tokens;
    }
}

/// Usage by asset.
pub(super) type UsageCounts = BTreeMap<AssetKey, AssetUsage>;

/// Converts usage to message rows, with assets by name.
pub(super) fn to_usage_rows(catalog: &InventoryCatalog, counts: UsageCounts) -> Vec<UsageRow> {
    let row = |(asset, count): (AssetKey, AssetUsage)| {
        let name = catalog.assets.get(asset)?.name.clone();
        Some(UsageRow(name, count.requests, count.tokens))
    };
    counts.into_iter().filter_map(row).collect()
}

/// Converts message rows to usage; skips assets that are not in this configuration.
pub(super) fn from_usage_rows(catalog: &InventoryCatalog, rows: &[UsageRow]) -> UsageCounts {
    let count = |UsageRow(name, requests, tokens): &UsageRow| {
        let asset = catalog.asset_named(name)?;
        Some((asset, AssetUsage { requests: *requests, tokens: *tokens }))
    };
    rows.iter().filter_map(count).collect()
}
