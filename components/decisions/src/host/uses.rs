//! Requests counted by asset until they are told to a leader.

use std::collections::BTreeMap;

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::InventoryCatalog;

use crate::message::UseRow;

/// Requests for one asset.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UseCount {
    /// Requests.
    pub(super) requests: u32,
    /// Tokens of their prompts.
    pub(super) tokens: u64,
}

impl UseCount {
    /// Adds requests with the sum of their prompt tokens.
    pub(super) fn add(&mut self, requests: u32, tokens: u64) {
        self.requests += requests;
        self.tokens += tokens;
    }
}

/// Requests by asset.
pub(super) type UseCounts = BTreeMap<AssetKey, UseCount>;

/// Writes counts with the assets' names.
pub(super) fn to_rows(catalog: &InventoryCatalog, counts: UseCounts) -> Vec<UseRow> {
    let row = |(asset, count): (AssetKey, UseCount)| {
        let name = catalog.assets.get(asset)?.name.clone();
        Some(UseRow(name, count.requests, count.tokens))
    };
    counts.into_iter().filter_map(row).collect()
}

/// Reads counts; assets that this configuration does not name are left out.
pub(super) fn from_rows(catalog: &InventoryCatalog, rows: &[UseRow]) -> UseCounts {
    let count = |UseRow(name, requests, tokens): &UseRow| {
        let asset = catalog.asset_named(name)?;
        Some((asset, UseCount { requests: *requests, tokens: *tokens }))
    };
    rows.iter().filter_map(count).collect()
}
