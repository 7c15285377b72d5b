//! Choice of an upstream for each request.

mod backoff;
mod tracker;
mod view;

pub use backoff::ReplicaBackoffs;
pub use tracker::UpstreamCandidate;
pub use tracker::UpstreamTracker;
pub use view::ReplicaView;
pub use view::TableRange;
pub use view::UpdateOutcome;
