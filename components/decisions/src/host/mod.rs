//! `HostReducer`: the state of one entry host and its transitions on every event.

mod attempts;
mod callers;
mod calls;
mod configuration;
mod crashes;
mod dispatch;
mod limits;
mod names;
mod origins;
mod outages;
mod peer_leaders;
mod peer_sync;
mod permits;
mod quarantine;
mod quota_exchange;
mod quotas;
mod reachability;
mod refusals;
mod registry;
mod scope;
mod software;
mod state;
mod status;
mod store_reads;
mod stored_record;
mod usage;
mod work;

pub use names::RouteMatch;
pub use names::RouteResolution;
pub use state::HostReducer;
pub use status::HostStatus;
pub use status::ReplicaStatus;
