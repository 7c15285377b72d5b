//! The lease record as a process last saw it, and whether that allows a takeover.

use std::fmt;

use crate::era::era_of;
use crate::identity::HostIdentity;
use crate::membership::MemberDirectory;
use crate::time::Moment;

use super::context::LeaseContext;
use super::epoch::epoch_text;
use super::epoch::is_current;
use super::evidence::ListEvidence;
use super::ground::TakeoverGround;
use super::record::LeaseRecord;
use super::release::log_wait;
use super::release::request_release;
use super::successor::SuccessorState;

/// First era of a service that numbers its eras.
const FIRST_ERA: u64 = 1;

/// A record, since when its version has not changed, and what is known of the processes that it names.
#[derive(Debug, Clone)]
pub struct ObservedRecord {
    /// Version of the record in the key-value service.
    pub version: u64,
    /// `None` if the key is absent or has another value.
    pub record: Option<LeaseRecord>,
    /// When this version was first seen.
    unchanged_since: Moment,
    /// Whether this process saw the key-value service in an earlier era.
    follows_return: bool,
    /// Entries of the platform's host list with a later version were written after the record.
    entry_version: u64,
    /// What the platform's host list shows of the processes that the record names.
    evidence: ListEvidence,
    /// Whether a successor confirmed that its promises for the record have expired.
    is_released: bool,
    next_release_request: Moment,
    /// Whether it was logged that this process waits for a release.
    is_wait_logged: bool,
}

impl ObservedRecord {
    /// A version that was first seen at `now`.
    pub fn new(now: Moment, version: u64, record: Option<LeaseRecord>) -> Self {
        Self {
            version,
            record,
            unchanged_since: now,
            follows_return: false,
            entry_version: version,
            evidence: ListEvidence::new(now),
            is_released: false,
            next_release_request: now,
            is_wait_logged: false,
        }
    }

    /// Records that this process saw the key-value service in the era of `before`.
    pub fn after(mut self, before: u64) -> Self {
        self.follows_return |= era_of(before) < era_of(self.version);
        self
    }

    /// Keeps a record that the key-value service has lost. Entries that were written before the record have
    /// later versions too by now.
    pub fn into_lost(self) -> Self {
        Self { entry_version: u64::MAX, ..self }
    }

    /// Epoch of the record; 0 if there is none.
    pub fn epoch(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.epoch)
    }

    /// Whether the key-value service may have lost the record of a later term: that of this one was stored
    /// before the service last came back from an earlier copy, or there is none and the service has come
    /// back.
    fn may_hide_later_term(&self) -> bool {
        match &self.record {
            Some(record) => !is_current(record.epoch, self.version),
            None => self.follows_return || era_of(self.version) > FIRST_ERA,
        }
    }

    /// Records that `members` has the platform's host list as of `at`, which arrived at `now`.
    pub fn record_list(
        &mut self,
        now: Moment,
        at: Moment,
        me: &HostIdentity,
        members: &MemberDirectory,
    ) {
        let record = self.record.as_ref().map(|record| (self.entry_version, record));
        self.evidence.record_list(now, at, me, members, record);
    }

    /// Records that the platform's host list could not be read.
    pub fn record_list_lost(&mut self) {
        self.evidence.record_list_lost();
    }

    /// Records that the promises of a successor for this record have expired, or that another process runs
    /// in place of the holder's, which can request no promises any more.
    pub fn record_release(&mut self, from: &HostIdentity, epoch: u64, version: u64) {
        let Some(record) = self.record.as_ref() else {
            return;
        };
        let is_successor = record.successors.iter().any(|identity| identity.name == from.name);
        let replaces_holder =
            record.holder.name == from.name && record.holder.incarnation != from.incarnation;
        let is_entitled = is_successor || replaces_holder;
        self.is_released |= is_entitled && self.version == version && record.epoch == epoch;
    }

    /// Why no process can still have authority under this record; `None` if one may. If only promises may
    /// prevent a takeover, requests their release. `predecessor` is the process before this one, if it
    /// held the lease.
    pub fn takeover_ground(
        &mut self,
        context: &mut LeaseContext<'_>,
        successor: &mut SuccessorState,
        predecessor: Option<&HostIdentity>,
    ) -> Option<TakeoverGround> {
        let timing = context.timing;
        let expired_at = self.unchanged_since.after(timing.lease_ttl + timing.lease_margin);
        let is_expired = context.now >= expired_at;
        // The holder of a later term may have authority.
        if !is_expired && self.may_hide_later_term() {
            return None;
        }
        let Some(record) = self.record.as_ref() else {
            return Some(TakeoverGround::NoRecord);
        };
        if record.ended {
            return Some(TakeoverGround::Ended);
        }
        if predecessor == Some(&record.holder) {
            return Some(TakeoverGround::EarlierProcess);
        }
        if record.holder == *context.me {
            return Some(TakeoverGround::OwnTakeover);
        }
        if !is_expired {
            return None;
        }
        if record.successors.is_empty() {
            return Some(TakeoverGround::NoSuccessors);
        }
        if let Some(ground) = self.evidence.takeover_ground(context.now, timing) {
            return Some(ground);
        }
        if context.now >= expired_at.after(timing.max_extension * 11 / 10) {
            return Some(TakeoverGround::LongestExtension);
        }
        if self.is_released
            || successor.release(context.now, timing, context.me, record, self.version)
        {
            return Some(TakeoverGround::Released);
        }
        if context.now >= self.next_release_request {
            self.next_release_request = context.now.after(timing.heartbeat);
            request_release(context, record, self.version);
            if !std::mem::replace(&mut self.is_wait_logged, true) {
                log_wait(context, record, self.version);
            }
        }
        None
    }
}

impl fmt::Display for ObservedRecord {
    /// Writes `key=value` pairs for the log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.record {
            Some(record) => {
                let ended = if record.ended { " ended" } else { "" };
                let (holder, epoch) = (&record.holder.name, epoch_text(record.epoch));
                write!(f, "holder={holder} epoch={epoch}{ended}")?;
            }
            None => f.write_str("no record")?,
        }
        write!(f, " version={} era={}", self.version, era_of(self.version))
    }
}
