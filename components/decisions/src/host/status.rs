//! What a host tells operators.

use serde::Deserialize;
use serde::Serialize;

use crate::message::ReplicaState;
use crate::time::Moment;

use super::state::HostReducer;

/// One replica as a host sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Availability zone.
    pub zone: String,
    /// Unique name of the asset.
    pub asset: String,
    /// Name of the engine.
    pub upstream: String,
    /// Its state.
    pub state: ReplicaState,
}

/// What a host tells operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Name of the host.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Configuration revision in force.
    pub revision: u64,
    /// The leader it follows, or itself.
    pub leader: Option<String>,
    /// Epoch of that leader.
    pub epoch: u64,
    /// Whether it leads with authority to send orders.
    pub authority: bool,
    /// Whether it is on its way out.
    pub draining: bool,
    /// Requests waiting.
    pub waiting: usize,
    /// Requests between arrival and end.
    pub requests: usize,
    /// Outcomes of calls not recorded in the ledger yet.
    pub unrecorded: usize,
    /// Memory held or reserved on this zone's engines, if it leads; in bytes.
    pub memory_reserved: u64,
    /// Memory of this zone's engines, if it leads; in bytes.
    pub memory_total: u64,
    /// Replicas known, of all zones.
    pub replicas: Vec<ReplicaStatus>,
}

impl HostReducer {
    /// Builds the status for operators.
    pub fn status(&self, now: Moment) -> HostStatus {
        let leader = self.following.as_ref();
        let memory = self.placement.as_ref().map(|placement| placement.memory(&self.catalog));
        let (memory_reserved, memory_total) = memory.unwrap_or_default();
        HostStatus {
            host: self.me.name.clone(),
            zone: self.me.zone.clone(),
            revision: self.catalog.revision,
            leader: leader.map(|leader| leader.stamp.name.clone()),
            epoch: leader.map_or(0, |leader| leader.epoch),
            authority: self.lease.authority(now).is_some(),
            draining: self.draining,
            waiting: self.queue.len(),
            requests: self.requests.len(),
            unrecorded: self.ledger.unrecorded(),
            memory_reserved,
            memory_total,
            replicas: self.replica_statuses(),
        }
    }

    /// Whether nothing is left to be done before this process may end.
    pub fn is_drained(&self) -> bool {
        let held = self.lease.held_epoch().is_some();
        self.requests.is_empty() && self.ledger.unrecorded() == 0 && !held
    }

    /// Whether this host can serve: it has a configuration and is not on its way out.
    pub fn is_ready(&self) -> bool {
        self.catalog.revision > 0 && !self.draining
    }

    /// Whether this process is on its way out.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    fn replica_statuses(&self) -> Vec<ReplicaStatus> {
        let rows = self.view.rows();
        let statuses = rows.filter_map(|((asset, upstream), state)| {
            let asset = self.catalog.assets.get(asset)?;
            let upstream = self.catalog.upstreams.get(upstream)?;
            Some(ReplicaStatus {
                zone: upstream.zone.clone(),
                asset: asset.name.clone(),
                upstream: upstream.name.clone(),
                state,
            })
        });
        statuses.collect()
    }
}
