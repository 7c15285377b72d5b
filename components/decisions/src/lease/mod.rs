//! Leader election: the lease that decides which host leads a scope.
//!
//! The lease is a record in the key-value service, renewed by compare-and-swap. The holder counts
//! its authority from the time it sent the renewal. A candidate takes over once its own clock has
//! measured the full lease time without a new version of the record. While the service is
//! unreachable, the holder may extend its authority with promises from all successors, the hosts
//! that the record names for this. A candidate must therefore also learn from one successor that
//! its promises have expired, or wait for the longest possible extension. See
//! `docs/design/leadership.md`.

mod basis;
mod context;
mod epoch;
mod evidence;
mod ground;
mod holder;
mod observed;
mod record;
mod release;
mod state;
mod successor;

pub use context::LeaseContext;
pub use context::RARE_READ_INTERVAL;
pub use context::READ_INTERVAL;
pub use epoch::epoch_text;
pub use holder::HeldLease;
pub use record::LeaseRecord;
pub use record::lease_key;
pub use state::LeaseState;
pub use successor::SuccessorState;
