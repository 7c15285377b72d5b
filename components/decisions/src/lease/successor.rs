//! Promises that a successor makes to the leader of its scope.
//!
//! A successor releases a lease record when it confirms to a candidate that its promises for that
//! record have expired, and then promises nothing more for it.

use std::time::Duration;

use crate::era::era_of;
use crate::identity::HostIdentity;
use crate::time::Moment;
use crate::timing::TimingRules;

use super::record::LeaseRecord;

/// Order of lease records: era and epoch, then version. A record of an earlier era may have a later epoch than
/// the one that the key-value service has since it came back.
type RecordAge = (u64, u64, u64);

fn record_age(epoch: u64, version: u64) -> RecordAge {
    (era_of(version), epoch, version)
}

/// Promises of this process not to acquire the lease.
#[derive(Debug, Clone)]
pub struct SuccessorState {
    started: Moment,
    /// End of the latest promise; this process releases no record before it.
    promised_until: Moment,
    /// The latest lease record whose promises were released. No promise is made for it or an earlier one. A
    /// later version may be promised to again, because its write makes the compare-and-swap of a candidate
    /// that relied on the release fail.
    released_up_to: RecordAge,
}

impl SuccessorState {
    /// Starts without promises of its own; those of an earlier process may still be valid.
    pub fn new(now: Moment) -> Self {
        Self { started: now, promised_until: Moment::default(), released_up_to: record_age(0, 0) }
    }

    /// Promises not to acquire the lease for `promise_ttl`. Returns false if the record was
    /// released.
    pub fn promise(&mut self, now: Moment, timing: &TimingRules, epoch: u64, version: u64) -> bool {
        if record_age(epoch, version) <= self.released_up_to {
            return false;
        }
        let validity = timing.promise_ttl + timing.lease_margin;
        self.promised_until = self.promised_until.max(now.after(validity));
        true
    }

    /// Releases `record` for a takeover. Returns false while a promise may still be valid, or if
    /// the record does not name this host as a successor.
    pub fn release(
        &mut self,
        now: Moment,
        timing: &TimingRules,
        me: &HostIdentity,
        record: &LeaseRecord,
        version: u64,
    ) -> bool {
        let Some(successor) = record.successors.iter().find(|identity| identity.name == me.name)
        else {
            return false;
        };
        // Promises of an earlier process of this host are unknown, but their validity is limited.
        let earlier_promise_ttl = if successor.incarnation == me.incarnation {
            Duration::ZERO
        } else {
            timing.promise_ttl + timing.lease_margin * 2
        };
        if now < self.promised_until || now < self.started.after(earlier_promise_ttl) {
            return false;
        }
        self.released_up_to = self.released_up_to.max(record_age(record.epoch, version));
        true
    }
}
