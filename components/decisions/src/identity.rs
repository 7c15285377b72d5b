//! Who a process is.

use serde::Deserialize;
use serde::Serialize;

/// One run of one entry host's process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HostStamp {
    /// Name of the host, unique in the deployment.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Scope of placement: availability zones whose engines one leader loads.
    pub scope: String,
    /// IP address and port for messages between hosts.
    pub address: String,
    /// Drawn at random at each start.
    pub incarnation: u64,
    /// Processor time it may use, in thousandths of a core; 0 when that is not known.
    #[serde(default)]
    pub capacity: u32,
}
