//! The users' platform: its store, its engines and plain services, and a deployment of them.
//!
//! These modules and the adapter are the only ones that know the names on that platform's wire.

mod engine;
mod service;
mod stack;
mod store;

pub use engine::FleetEngine;
pub use engine::RunRecord;
pub use service::FleetService;
pub use service::ServiceMood;
pub use stack::FleetSpec;
pub use stack::FleetStack;
pub use store::FleetStore;
