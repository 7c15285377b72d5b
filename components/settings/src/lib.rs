//! Settings of one entry host, read from a TOML file.
//!
//! Addresses, the availability zone and the platform's endpoints are configured only here.

pub mod file;
mod switch;

pub use file::HostSettings;
pub use file::read_settings;
pub use switch::FeatureSwitch;
