//! The inventory: models, adapters, upstreams and rules, as operators declare them.
//!
//! - [`account`]: accounts of callers.
//! - [`key`]: digests of the keys of accounts.
//! - [`document`]: the declared items, as written in TOML and exchanged between hosts.
//! - [`item`]: single items, the unit in which changes are compared, merged and sent.
//! - [`units`]: durations and sizes written with a unit.
//! - [`parse`]: turns TOML text into a document and reports every fault with file, line and item.
//! - [`check`]: validates values and the references between items.
//! - [`catalog`]: the document indexed by stable keys.

pub mod account;
pub mod catalog;
pub mod check;
pub mod document;
pub mod fault;
pub mod item;
pub mod key;
pub mod parse;
pub mod units;

pub use catalog::AccountKey;
pub use catalog::AssetKey;
pub use catalog::AssetRecord;
pub use catalog::InventoryCatalog;
pub use catalog::ServiceKey;
pub use catalog::UpstreamKey;
pub use catalog::UpstreamRecord;
pub use document::InventoryDocument;
pub use fault::FileFault;
pub use key::KeyDigest;
pub use units::ByteSize;
pub use units::TimeSpan;
