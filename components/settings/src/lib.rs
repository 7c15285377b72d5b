//! Settings of one entry host, read from a TOML file.
//!
//! Addresses, the availability zone and the platform's endpoints are configured only here.

pub mod file;
pub mod relayed_reads;
mod switch;

pub use file::HostSettings;
pub use file::read_settings;
pub use relayed_reads::RelayedReads;
pub use switch::FeatureSwitch;
