//! Status of a host for operators.

use serde::Deserialize;
use serde::Serialize;

use crate::message::ReplicaState;
use crate::request::RequestKey;
use crate::time::Moment;

use super::state::DrainStage;
use super::state::HostReducer;

/// One replica in a host's view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Availability zone of the engine.
    pub zone: String,
    /// Unique name of the asset.
    pub asset: String,
    /// Name of the engine that the replica is on.
    pub upstream: String,
    /// Last known state of the replica.
    pub state: ReplicaState,
}

/// Status of a host for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Configuration revision in force.
    pub revision: u64,
    /// Name of its leader, which may be the host itself; `None` if it knows none.
    pub leader: Option<String>,
    /// Epoch of that leader; 0 if it knows none.
    pub epoch: u64,
    /// Whether it leads and may send orders to engines.
    pub authority: bool,
    /// Whether it is draining before its shutdown.
    pub draining: bool,
    /// Number of requests in the queue.
    pub waiting: usize,
    /// Number of open requests, waiting ones included.
    pub requests: usize,
    /// Number of call outcomes whose write to the ledger has not been confirmed.
    pub unrecorded: usize,
    /// Memory of resident and ordered assets on its scope's engines, in bytes; 0 if it does not
    /// lead.
    pub memory_reserved: u64,
    /// Total memory of its scope's engines, in bytes; 0 if it does not lead.
    pub memory_total: u64,
    /// Names of the accounts of which every request needs the leader, as far as the host knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub metered: Vec<String>,
    /// All replicas that the host knows of, in all zones.
    pub replicas: Vec<ReplicaStatus>,
}

impl HostReducer {
    /// Shared parts of the prompt of an open request, as they are logged.
    pub fn prompt_text(&self, request: RequestKey) -> String {
        let request = self.requests.get(request);
        let terms = request.and_then(|request| request.terms.as_ref());
        let parts = terms.into_iter().flat_map(|terms| terms.prompt.shared_parts());
        let names: Vec<String> = parts.map(|part| format!("{part:x}")).collect();
        names.join(",")
    }

    /// Builds the status for operators.
    pub fn status(&self, now: Moment) -> HostStatus {
        let leader = self.leader.as_ref();
        let memory = self.placement.as_ref().map(|placement| placement.memory_use(&self.catalog));
        let (memory_reserved, memory_total) = memory.unwrap_or_default();
        HostStatus {
            host: self.me.name.clone(),
            zone: self.me.zone.clone(),
            revision: self.catalog.revision,
            leader: leader.map(|leader| leader.identity.name.clone()),
            epoch: leader.map_or(0, |leader| leader.epoch),
            authority: self.lease.authority(now).is_some(),
            draining: self.is_draining(),
            waiting: self.queue.len(),
            requests: self.requests.len(),
            unrecorded: self.ledger.unrecorded(),
            memory_reserved,
            memory_total,
            metered: self.quotas.metered(),
            replicas: self.replica_statuses(),
        }
    }

    /// Whether this process may terminate: no open requests, unrecorded outcomes or lease, and its
    /// leader does not need it as a successor.
    pub fn is_drained(&self) -> bool {
        let holds_lease = self.lease.held_epoch().is_some();
        let is_successor = self.leader.is_some() && self.leader_successors.contains(&self.me.name);
        let has_duties = holds_lease || is_successor;
        self.requests.is_empty() && self.ledger.unrecorded() == 0 && !has_duties
    }

    /// Whether this host can serve: it has a configuration and is not draining.
    pub fn is_ready(&self) -> bool {
        self.catalog.revision > 0 && !self.is_draining()
    }

    /// Whether a configuration is in force.
    pub fn is_configured(&self) -> bool {
        self.catalog.revision > 0
    }

    /// Whether this process is draining before its shutdown.
    pub fn is_draining(&self) -> bool {
        self.drain != DrainStage::Serving
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
