//! Availability zones and upstreams that cannot be reached, as far as this host can tell.
//!
//! - [`ZoneWatch`]: what this host observes itself, zone by zone.
//! - [`FailureLog`]: failures that it reports to the leader.
//! - [`OutageBook`]: what a leader publishes from the reports of all hosts.
//! - [`ReportedOutages`]: what this host makes of it. See `docs/design/reachability.md`.

mod failures;
mod notice;
mod outages;
mod reported;
mod zone;
mod zones;

pub use failures::FailureLog;
pub use notice::FailureRow;
pub use notice::OutageRow;
pub use outages::Outage;
pub use outages::OutageBook;
pub use reported::ReportedOutages;
pub use zone::ZoneChange;
pub use zones::AwaitedAnswer;
pub use zones::ZoneWatch;

use std::time::Duration;

/// Time without any event from a zone after which a wait for one of its upstreams counts as a hang. A
/// connection takes under 5 ms, and a hang only causes checks, so slow upstreams cost nothing but
/// those.
pub const HANG_TIME: Duration = Duration::from_millis(200);
/// Silence after which an attempt at an upstream of an unreachable zone is ended. Longer than opening a
/// connection may take (300 ms), so that it is known whether a byte of the request was sent.
pub const END_SILENCE: Duration = Duration::from_millis(350);

/// Time for which a failure counts in the reports of hosts.
pub const REPORT_TIME: Duration = Duration::from_secs(2);

/// Whether failures are judged by zone and shared with other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SharedFailures {
    /// For the services whose upstreams state their pace, and for all if the configuration has accounts.
    #[default]
    Auto,
    /// For all services.
    On,
    /// For none.
    Off,
}
