//! Open requests of callers, and the queue of those that wait for an upstream.

mod queue;
mod record;
mod shares;

pub use queue::WaitKey;
pub use queue::WaitingQueue;
pub use queue::queue_key;
pub use record::RequestRecord;
pub use record::RequestStage;
pub use record::SoftwareBinding;
pub use shares::AccountShares;
pub use shares::RequestShare;
pub use shares::UsedShare;
pub use shares::share_of;
