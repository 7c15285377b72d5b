//! Upstreams that register themselves with the platform.

mod directory;

pub use directory::RegistryDirectory;
pub use directory::RegistryRow;
pub use directory::RegistryUpdate;
