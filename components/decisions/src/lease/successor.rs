//! Promises of a successor.

use std::time::Duration;

use crate::identity::HostStamp;
use crate::time::Moment;
use crate::timing::TimingRules;

use super::record::LeaseRecord;

/// What this process has promised to the leader of its scope.
#[derive(Debug, Clone)]
pub struct SuccessorState {
    started: Moment,
    /// No takeover, and no release, before this moment.
    promised_until: Moment,
    /// Epoch and record version for which promises are over for good. A leader that has written a
    /// later version since may be promised to again: a rival that relied on this can no longer
    /// swap the record.
    fence: (u64, u64),
}

impl SuccessorState {
    /// Starts without promises. An earlier process of the same host may have left some.
    pub fn new(now: Moment) -> Self {
        Self { started: now, promised_until: Moment::default(), fence: (0, 0) }
    }

    /// Promises not to take over for a while; false when it must not promise.
    pub fn promise(&mut self, now: Moment, timing: &TimingRules, epoch: u64, version: u64) -> bool {
        if (epoch, version) <= self.fence {
            return false;
        }
        let lasting = timing.promise_ttl + timing.lease_margin;
        self.promised_until = self.promised_until.max(now.after(lasting));
        true
    }

    /// Ends promises for the record at `version`; false while one may still hold.
    pub fn release(
        &mut self,
        now: Moment,
        timing: &TimingRules,
        me: &HostStamp,
        record: &LeaseRecord,
        version: u64,
    ) -> bool {
        let Some(listed) = record.successors.iter().find(|stamp| stamp.name == me.name) else {
            return false;
        };
        // Promises of an earlier process of this host are not known here, only their length.
        let settling = if listed.incarnation == me.incarnation {
            Duration::ZERO
        } else {
            timing.promise_ttl + timing.lease_margin * 2
        };
        if now < self.promised_until || now < self.started.after(settling) {
            return false;
        }
        self.fence = self.fence.max((record.epoch, version));
        true
    }
}
