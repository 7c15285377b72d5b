//! Models, adapters, upstreams and rules, as operators declare them.
//!
//! - [`document`]: the declared items, as written in TOML and sent between hosts.
//! - [`item`]: single items, the unit of change.
//! - [`units`]: durations and sizes with their units.
//! - [`parse`]: TOML text to a document; every fault is reported with file, line and item.
//! - [`check`]: rules that hold between items.
//! - [`catalog`]: the document indexed by small keys.

pub mod catalog;
pub mod check;
pub mod document;
pub mod fault;
pub mod item;
pub mod parse;
pub mod units;

pub use catalog::AssetKey;
pub use catalog::AssetRecord;
pub use catalog::InventoryCatalog;
pub use catalog::ServiceKey;
pub use catalog::UpstreamKey;
pub use catalog::UpstreamRecord;
pub use document::InventoryDocument;
pub use fault::FileFault;
pub use units::ByteSize;
pub use units::TimeSpan;
