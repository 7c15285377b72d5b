//! The users' platform ("fleet"): its store, engines and plain services, and a deployment of them.
//!
//! Outside the platform adapter, only these modules may contain the names of its protocol, which
//! `tests/wire_names.rs` checks.

mod engine;
mod gate;
mod orders;
mod service;
mod stack;
mod store;
mod streams;

pub use engine::FleetEngine;
pub use engine::LeavingAnswers;
pub use engine::RunRecord;
pub use gate::StoreGate;
pub use orders::OrderRecord;
pub use service::FleetService;
pub use service::ServiceBehavior;
pub use stack::FleetSpec;
pub use stack::FleetStack;
pub use store::FleetStore;
pub use store::StoreCopy;
pub use streams::EventNumbering;
pub use streams::StreamEnd;
