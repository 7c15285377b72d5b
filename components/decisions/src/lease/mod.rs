//! Who leads a scope.
//!
//! The lease is a record in the key-value service, renewed by compare-and-swap. Its holder counts
//! its authority from before a renewal was sent. A rival takes over once it has seen the same
//! version of the record for the whole lease time on its own clock. While the service is away the
//! holder may extend its authority by promises of all successors that the record names; a rival
//! therefore also needs one of them to say that its promises have run out, or waits for the
//! longest extension. See `docs/design/leadership.md`.

mod holder;
mod record;
mod state;
mod successor;

pub use holder::HeldLease;
pub use record::LeaseRecord;
pub use record::lease_key;
pub use state::LeaseContext;
pub use state::LeaseState;
pub use successor::SuccessorState;
