//! Placement scopes: their order for an asset, and their engines.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::AssetKey;
use super::InventoryCatalog;
use super::UpstreamKey;
use super::UpstreamKind;
use super::UpstreamRecord;

impl InventoryCatalog {
    /// Scopes in the order of preference for placing `asset`; the first is its home.
    ///
    /// An adapter is loaded only where its base is, so both have the same order.
    pub fn scopes_by_preference(&self, asset: AssetKey) -> Vec<&str> {
        let record = &self.assets[asset];
        let model = record.base.and_then(|base| self.assets.get(base)).unwrap_or(record);
        let seed = xxh3_64_with_seed(model.name.as_bytes(), 0);
        let mut scopes: Vec<&str> = self.scopes.iter().map(String::as_str).collect();
        scopes.sort_by_key(|scope| std::cmp::Reverse(xxh3_64_with_seed(scope.as_bytes(), seed)));
        scopes
    }

    /// Engines that belong to placement scope `scope`.
    pub fn engines_in<'c>(&'c self, scope: &'c str) -> impl Iterator<Item = UpstreamKey> + 'c {
        let is_engine = |kind: UpstreamKind| matches!(kind, UpstreamKind::Engine { .. });
        let in_scope =
            move |record: &UpstreamRecord| record.scope == scope && is_engine(record.kind);
        self.upstreams.iter().filter(move |(_, record)| in_scope(record)).map(|(key, _)| key)
    }
}
