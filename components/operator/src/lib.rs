//! Operator commands: check, apply and show the inventory, and fetch the status of hosts.
//!
//! - [`files`]: reads inventory files and deployment folders.
//! - [`merge`]: merges concurrent edits.
//! - [`accept`]: reads and edits the accepted configuration in the key-value service.
//! - [`fleet`]: fetches the status of entry hosts and the revision each has in force.

pub mod accept;
pub mod files;
pub mod fleet;
pub mod merge;

pub use accept::AcceptError;
pub use accept::AcceptedEdit;
pub use accept::ConfigurationStore;
pub use files::read_inventory;
pub use merge::EditConflict;
