//! Relayed reads: hosts learn of changes in the platform's store from their leader, which follows it for
//! all of them, and ask the store themselves only when what they know may be too old.
//!
//! A host's view is *complete as of* a moment of its own clock if all changes that the store acknowledged
//! before that moment are known here. An own read makes it complete as of the moment at which its call was
//! sent. A leader's notice makes it complete as of the moment at which this host received the stamp that the
//! notice confirms, less the age of the leader's view: the leader built the notice after that moment,
//! however long it was on its way and whichever side was frozen meanwhile. Clocks of two hosts are never
//! compared. See `docs/design/store-calls.md`.

mod reads;
mod stamps;
mod view;

pub use reads::ReadRole;
pub use reads::StoreReads;
pub use reads::StoreSituation;
pub use stamps::StampLog;
pub use view::RelayedView;
pub use view::StoreView;
