//! Which upstream gets a request.

mod holds;
mod tracker;
mod view;

pub use holds::ReplicaHolds;
pub use tracker::UpstreamOffer;
pub use tracker::UpstreamTracker;
pub use view::ReplicaView;
pub use view::TableRange;
pub use view::ViewChange;
