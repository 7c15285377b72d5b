//! Simulated hosts with real reducers, engines, services and a key-value service, all in virtual
//! time.

mod calls;
mod deliver;
mod engines;
mod event_queue;
mod faults;
mod inventory;
mod limits;
mod processes;
mod quotas;
mod retries;
mod returns;
mod scenario;
mod state;
mod store;
mod streams;

pub use faults::HolderReturn;
pub use faults::LeaderReturn;
pub use returns::LeaderTouch;
pub use returns::LostTakeover;
pub use returns::StoreReturn;
pub use state::FuzzWorld;
