//! The reducer over all events of one entry host.

mod attempts;
mod callers;
mod calls;
mod dispatch;
mod links;
mod names;
mod neighbours;
mod refusals;
mod registry;
mod scope;
mod state;
mod status;
mod uses;

pub use names::RouteMatch;
pub use names::RouteResolution;
pub use state::HostReducer;
pub use status::HostStatus;
pub use status::ReplicaStatus;
