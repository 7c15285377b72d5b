//! Limits that upstreams set on the requests of all hosts together.
//!
//! An upstream in need names in its answers how many requests a second it accepts from all hosts.
//! Hosts pass this on to the leader of their scope, which publishes it to all of them. A request is
//! sent to a limited upstream only with a permit of the leader. Permits are granted at the rate of
//! the limit, so their sum doesn't depend on the number of hosts. A limit applies as soon as one
//! answer names it; its end is decided by the leader of the upstream's scope alone. See
//! `docs/design/limits.md`.

mod allocator;
mod authority;
mod bucket;
mod notice;
mod permits;
mod view;

pub use allocator::OWN_REPORT;
pub use allocator::PermitAllocator;
pub use allocator::PermitAward;
pub use allocator::WantEntry;
pub use authority::LimitAuthority;
pub use bucket::PermitBucket;
pub use notice::LimitEvidence;
pub use notice::LimitNotice;
pub use notice::LimitPhase;
pub use notice::LimitPressure;
pub use notice::PublishedLimit;
pub use notice::RequestRate;
pub use permits::HeldPermits;
pub use permits::PERMIT_LIFETIME;
pub use permits::is_report_since;
pub use view::LimitView;
