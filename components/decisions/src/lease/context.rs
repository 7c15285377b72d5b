//! Inputs of the lease logic.

use std::time::Duration;

use rand::rngs::SmallRng;

use crate::effect::HostEffect;
use crate::identity::HostIdentity;
use crate::membership::MemberDirectory;
use crate::registry::PendingCalls;
use crate::time::Moment;
use crate::timing::TimingRules;

/// Time between two reads of the record of a host that may soon hold the lease.
pub const READ_INTERVAL: Duration = Duration::from_millis(500);
/// The same of a host that watches the store, while others may sooner hold the lease. It learns of a new
/// version by its watch; a read only shows that the record is gone.
pub const RARE_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Inputs of one step of the lease logic.
#[derive(Debug)]
pub struct LeaseContext<'c> {
    /// Time of this step.
    pub now: Moment,
    /// Identity of this process.
    pub me: &'c HostIdentity,
    /// Durations that all hosts of the deployment share.
    pub timing: &'c TimingRules,
    /// Other hosts, listed or known from their messages.
    pub members: &'c MemberDirectory,
    /// Time between two reads of the record while no leader is reachable, and after a failed call.
    pub read_interval: Duration,
    /// Source of the takeover jitter.
    pub rng: &'c mut SmallRng,
    /// Registers calls to the key-value service.
    pub store_calls: &'c mut PendingCalls,
    /// Collects the effects of this step.
    pub effects: &'c mut Vec<HostEffect>,
}

impl LeaseContext<'_> {
    /// Whether another host of the scope has more than `factor` times this one's CPU time.
    pub(super) fn has_larger_peer(&self, factor: u32) -> bool {
        let oldest = self.now.before(self.timing.peer_timeout);
        let min_capacity = self.me.capacity.saturating_mul(factor).saturating_add(1);
        self.members.has_host_with_capacity(&self.me.scope, &self.me.name, oldest, min_capacity)
    }

    /// Other hosts of the scope that sent a message within `peer_timeout` and are not leaving.
    pub(super) fn reachable_peers(&self) -> Vec<HostIdentity> {
        let oldest = self.now.before(self.timing.peer_timeout);
        self.members.reachable_in_scope(&self.me.scope, &self.me.name, oldest)
    }
}
