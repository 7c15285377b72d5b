//! Stored form of the configuration: one head record and immutable shards.

use serde::Deserialize;
use serde::Serialize;
use wagtailledge_inventory::item::ConfigurationItem;
use wagtailledge_inventory::item::ItemMap;
use xxhash_rust::xxh3::xxh3_64;

/// Key of the head record in the key-value service.
pub const HEAD_KEY: &str = "configuration/head";
/// Number of shards, enough to keep each far below the key-value service's limit of a megabyte.
pub const SHARD_COUNT: usize = 64;

/// One accepted edit in the history of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Revision that the edit created.
    pub revision: u64,
    /// Identifier of the edit, which shows after a lost answer whether the edit was accepted.
    pub edit: String,
    /// Names of the first few changed items.
    pub items: Vec<String>,
}

/// Head record of the accepted configuration. An edit is accepted by replacing this record with a
/// compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct ConfigurationHead {
    /// Revision of the configuration, incremented by each accepted edit.
    pub revision: u64,
    /// Digest of all items, by which a host checks its copy.
    pub digest: u64,
    /// Hash of each shard's text, by shard index; see [`shard_key`].
    pub shards: Vec<u64>,
    /// Latest edits, the newest last.
    pub history: Vec<HistoryEntry>,
}

/// Items of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardContent(pub Vec<ConfigurationItem>);

/// Index of the shard that holds the item called `name`.
pub fn shard_of(name: &str) -> usize {
    (xxh3_64(name.as_bytes()) % SHARD_COUNT as u64) as usize
}

/// Key of the shard at `index` whose text has this hash.
pub fn shard_key(index: usize, hash: u64) -> String {
    format!("configuration/shard/{index:02}/{hash:016x}")
}

/// Serializes items into all shards; returns each shard's hash and text.
pub fn split_shards(items: &ItemMap) -> Vec<(u64, String)> {
    let mut shards = vec![ShardContent(Vec::new()); SHARD_COUNT];
    for (name, item) in items {
        shards[shard_of(name)].0.push(item.clone());
    }
    let texts = shards
        .iter()
        .map(|shard| serde_json::to_string(shard).expect("a shard has only string keys"));
    texts.map(|text| (xxh3_64(text.as_bytes()), text)).collect()
}
