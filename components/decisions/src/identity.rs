//! Identity of an entry host's process.

use serde::Deserialize;
use serde::Serialize;

/// Identity of one process run of an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HostIdentity {
    /// Name of the host, unique in the deployment.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Placement scope: availability zones whose engines are loaded by one leader.
    pub scope: String,
    /// IP address and port for messages from other entry hosts.
    pub address: String,
    /// Random number drawn at each start; distinguishes the runs of a host.
    pub incarnation: u64,
    /// CPU time that the process may use, in thousandths of a core; 0 when unknown.
    #[serde(default)]
    pub capacity: u32,
}
