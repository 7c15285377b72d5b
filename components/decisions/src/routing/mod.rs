//! Choice of an upstream for each request.

mod backoff;
mod engine_work;
mod pace;
mod prefixes;
mod rules;
mod tracker;
mod view;
mod work;

pub use backoff::ReplicaBackoffs;
pub use rules::ChoiceBasis;
pub use tracker::UpstreamCandidate;
pub use tracker::UpstreamTracker;
pub use view::ReplicaView;
pub use view::TableRange;
pub use view::UpdateOutcome;
pub use work::FirstEvent;
pub use work::PromptWork;
pub use work::WorkChoice;
pub use work::WorkEstimate;
pub use work::WorkTracker;
