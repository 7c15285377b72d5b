//! What the platform's host list shows of the processes that a lease record names.

use crate::identity::HostIdentity;
use crate::membership::MemberDirectory;
use crate::time::Moment;
use crate::timing::TimingRules;

use super::ground::TakeoverGround;
use super::record::LeaseRecord;

/// Evidence that no process can have authority under the observed lease record any more.
#[derive(Debug, Clone, Copy)]
pub struct ListEvidence {
    /// Since when the list has named neither the holder nor any of its successors, without a failed read in
    /// between; `None` if it names one.
    unlisted_since: Option<Moment>,
    /// Since when the list has shown that the holder or one of its successors has ended, because another
    /// process of the same host is listed.
    replaced_since: Option<Moment>,
    /// When the latest list was requested.
    listed_at: Moment,
}

impl ListEvidence {
    /// Creates a state without evidence.
    pub fn new(now: Moment) -> Self {
        Self { unlisted_since: None, replaced_since: None, listed_at: now }
    }

    /// Records that `members` has the list as of `at`, which arrived at `now`. `record` is the observed record
    /// with its version, if there is one.
    pub fn record_list(
        &mut self,
        now: Moment,
        at: Moment,
        me: &HostIdentity,
        members: &MemberDirectory,
        record: Option<(u64, &LeaseRecord)>,
    ) {
        self.listed_at = at;
        let Some((version, record)) = record else {
            return;
        };
        let mut named = record.successors.iter().chain([&record.holder]);
        let is_unlisted =
            named.clone().all(|host| host.name != me.name && !members.is_listed(&host.name));
        let is_replaced = named.any(|host| members.is_replaced(host, version));
        self.unlisted_since = is_unlisted.then(|| self.unlisted_since.unwrap_or(at));
        // A later list that does not name the host leaves it known that the process has ended.
        if is_replaced {
            self.replaced_since.get_or_insert(now);
        }
    }

    /// Records that the list could not be read.
    pub fn record_list_lost(&mut self) {
        self.unlisted_since = None;
    }

    /// Why a candidate may take an expired lease over without a release; `None` if it may not.
    pub fn takeover_ground(&self, now: Moment, timing: &TimingRules) -> Option<TakeoverGround> {
        let is_unlisted = timing.unlisted_takeover.is_some_and(|time| {
            self.unlisted_since.is_some_and(|since| self.listed_at.since(since) >= time)
        });
        if is_unlisted {
            return Some(TakeoverGround::Unlisted);
        }
        // The promises that extend a lease are requested by the process that holds it, and all successors
        // must give them. They end soon after one of these processes has.
        let promise_end = timing.promise_ttl + timing.lease_margin;
        let is_replaced = self.replaced_since.is_some_and(|since| now >= since.after(promise_end));
        is_replaced.then_some(TakeoverGround::Replaced)
    }
}
