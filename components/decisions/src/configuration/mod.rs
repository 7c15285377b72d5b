//! The configuration in force, and how a host obtains a newer one.

mod head;
mod state;

pub use head::ConfigurationHead;
pub use head::HEAD_KEY;
pub use head::HistoryEntry;
pub use head::SHARD_COUNT;
pub use head::ShardContent;
pub use head::shard_key;
pub use head::shard_of;
pub use head::split_shards;
pub use state::ConfigurationOrigin;
pub use state::ConfigurationState;
pub use state::STORE_SOURCE;
pub use wagtailledge_inventory::item::ConfigurationChange;
pub use wagtailledge_inventory::item::ConfigurationItem;
pub use wagtailledge_inventory::item::ItemMap;
pub use wagtailledge_inventory::item::difference;
pub use wagtailledge_inventory::item::digest_of;
pub use wagtailledge_inventory::item::to_document;
pub use wagtailledge_inventory::item::to_items;
