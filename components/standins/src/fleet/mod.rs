//! The users' platform ("fleet"): its store, engines and plain services, and a deployment of them.
//!
//! Outside the platform adapter, only these modules may contain the names of its protocol, which
//! `tests/wire_names.rs` checks.

mod engine;
mod gate;
mod service;
mod stack;
mod store;

pub use engine::EventNumbering;
pub use engine::FleetEngine;
pub use engine::LeavingAnswers;
pub use engine::RunRecord;
pub use engine::StreamEnd;
pub use gate::StoreGate;
pub use service::FleetService;
pub use service::ServiceBehavior;
pub use stack::FleetSpec;
pub use stack::FleetStack;
pub use store::FleetStore;
pub use store::StoreCopy;
