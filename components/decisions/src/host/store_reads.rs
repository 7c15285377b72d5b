//! When this host asks the platform's store, and what leaders relay of it.

use std::time::Duration;

use crate::effect::HostEffect;
use crate::lease::RARE_READ_INTERVAL;
use crate::lease::READ_INTERVAL;
use crate::message::TableAck;
use crate::relay::ReadRole;
use crate::relay::RelayedView;
use crate::relay::StampLog;
use crate::relay::StoreSituation;
use crate::relay::StoreView;
use crate::time::Moment;

use super::state::HostReducer;

/// Number of hosts that follow the store besides the leader and its successors, so that a scope which
/// loses those three at once is taken over as soon as without relayed reads.
const MORE_STANDBYS: usize = 4;

impl HostReducer {
    /// Records a successful read of the store whose call was sent at `requested`.
    pub(super) fn store_read(&mut self, now: Moment, requested: Moment) {
        self.set_store_lost(false);
        // Two lists with a long time between them do not show that a host was missing all the time.
        let gap = self.store_reads.since_read(now);
        if self.timing.unlisted_takeover.is_some_and(|time| gap.is_none_or(|gap| gap > time)) {
            self.lease.record_list_lost();
        }
        self.store_reads.record_read(now, requested);
        if self.relays_reads() {
            self.store_reads.record_relaying(now);
        }
        self.lease.record_list(now, requested, &self.me, &self.members);
        self.store_seen(now, requested);
    }

    /// Records that a call to follow the store failed.
    pub(super) fn store_read_failed(&mut self) {
        self.lease.record_list_lost();
        self.store_reads.record_failure();
        self.set_store_lost(true);
    }

    /// Records whether this host can follow the platform's store. A leader tells its hosts at once, as
    /// they then have to follow it themselves.
    fn set_store_lost(&mut self, is_lost: bool) {
        if std::mem::replace(&mut self.store_reads.is_lost, is_lost) == is_lost {
            return;
        }
        self.notices_due = true;
        for sync in self.member_syncs.values_mut() {
            sync.dirty = true;
        }
    }

    /// What this leader's notices say of the store, for hosts that have confirmed the stamp `confirmed`.
    pub(super) fn store_view(&self, now: Moment, confirmed: u64) -> StoreView {
        StoreView {
            revision: self.registered_upstreams.revision(),
            is_lost: self.store_reads.is_lost,
            relay: self.relayed_view(now, confirmed),
        }
    }

    /// Whether this host relays its reads: it leads, and its scope is large enough.
    fn relays_reads(&self) -> bool {
        let others = self.members.in_scope(&self.me.scope, &self.me.name).count();
        self.placement.is_some() && self.store_reads.relays(others + 1)
    }

    fn relayed_view(&self, now: Moment, confirmed: u64) -> Option<RelayedView> {
        if self.timing.change_bound.is_none() || !self.relays_reads() {
            return None;
        }
        let directory = &self.registered_upstreams;
        Some(RelayedView {
            age_ms: self.store_reads.age_ms(now),
            stamp: StampLog::stamp_at(now),
            confirmed,
            directory: TableAck { table: directory.id(), version: directory.version() },
            software: self.stored_software()?,
        })
    }

    /// Applies what the leader's notice, whose other parts are applied, says of the store. `revision` is
    /// that of the leader's configuration.
    pub(super) fn apply_relayed_view(
        &mut self,
        now: Moment,
        view: &StoreView,
        revision: u64,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(relay) = &view.relay else {
            return;
        };
        let (version, value) = &relay.software;
        if *version > 0 {
            self.apply_software_record(now, *version, value, effects);
        }
        let is_applied = self.catalog.revision >= revision;
        let directory = self.registered_upstreams.ack();
        let complete_at = self.store_reads.record_notice(now, relay, directory, is_applied);
        if let Some(at) = complete_at {
            self.store_seen(now, at);
        }
    }

    /// Whether another host leads this scope and sent a message within the peer timeout.
    pub fn has_live_leader(&self, now: Moment) -> bool {
        self.leader.as_ref().is_some_and(|leader| {
            leader.identity != self.me && now.since(leader.last_message) < self.timing.peer_timeout
        })
    }

    /// Whether another host leads this scope, is alive and follows the platform's store, so that this
    /// host need not ask the store for changes as often.
    pub fn has_informed_leader(&self, now: Moment) -> bool {
        let is_lost = self.leader.as_ref().is_some_and(|leader| leader.store.is_lost);
        self.has_live_leader(now) && !is_lost
    }

    /// Whether this host may soon lead its scope: it is a successor, or one of the few hosts with the most
    /// CPU time.
    fn is_standby(&self) -> bool {
        if self.leader_successors.contains(&self.me.name) {
            return true;
        }
        let mine = (std::cmp::Reverse(self.me.capacity), &self.me.name);
        let others = self.members.in_scope(&self.me.scope, &self.me.name);
        let preferred = others.filter(|host| (std::cmp::Reverse(host.capacity), &host.name) < mine);
        preferred.take(MORE_STANDBYS).count() < MORE_STANDBYS
    }

    fn read_role(&self) -> ReadRole {
        if self.placement.is_some() {
            ReadRole::Leader
        } else if self.is_standby() {
            ReadRole::Standby
        } else {
            ReadRole::Follower
        }
    }

    fn store_situation(&self, now: Moment) -> StoreSituation {
        StoreSituation {
            now,
            role: self.read_role(),
            has_informed_leader: self.has_informed_leader(now),
            bound: self.timing.change_bound.unwrap_or_default(),
        }
    }

    /// Whether reads of the store are relayed in this host's scope, or were a short time ago.
    pub fn has_relayed_reads(&self, now: Moment) -> bool {
        self.relays_reads() || self.store_reads.is_relayed(now)
    }

    /// Time until this host should ask the store for changes; zero if it should now.
    pub fn store_wait(&self, now: Moment) -> Duration {
        self.store_reads.wait(&self.store_situation(now))
    }

    /// Delay after a failed call to follow the store.
    pub fn store_retry_delay(&self, now: Moment) -> Duration {
        self.store_reads.retry_delay(&self.store_situation(now))
    }

    /// Interval at which this host reads the lease record while it has no leader.
    pub(super) fn lease_read_interval(&self, now: Moment) -> Duration {
        if self.store_reads.is_relayed(now) && self.read_role() == ReadRole::Follower {
            RARE_READ_INTERVAL
        } else {
            READ_INTERVAL
        }
    }
}
