//! Which upstream gets a request.

mod tracker;
mod view;

pub use tracker::UpstreamOffer;
pub use tracker::UpstreamTracker;
pub use view::ReplicaView;
pub use view::TableRange;
pub use view::ViewChange;
