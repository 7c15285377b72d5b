//! Messages between the leader of a scope and the other hosts of that scope.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::UpstreamKey;

use crate::effect::HostEffect;
use crate::identity::HostIdentity;
use crate::message::DemandNotice;
use crate::message::LeaderNotice;
use crate::message::PeerMessage;
use crate::message::ProcessRow;
use crate::message::StoredLease;
use crate::message::TableUpdate;
use crate::quota::QuotaTable;
use crate::relay::StampLog;
use crate::request::RequestTarget;
use crate::routing::TableRange;
use crate::routing::UpdateOutcome;
use crate::time::Moment;

use super::peer_sync::PeerSync;
use super::peer_sync::UpdateBase;
use super::state::HostReducer;
use super::state::LeaderContact;
use super::usage::from_usage_rows;
use super::usage::to_usage_rows;

/// Heartbeat periods between messages of a host that has nothing to report.
const IDLE_HEARTBEATS: u32 = 2;
/// Interval at which a leader checks for due messages.
const NOTICE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two checks for due messages, for each host of the scope. A check takes about
/// a tenth of it.
const SCAN_PAUSE_PER_HOST: Duration = Duration::from_micros(10);

/// Hosts that get the same notice: base versions of both tables, the confirmed report, whether the confirmed
/// stamp is recent, and whether they get the states of quotas.
type NoticeGroup = (UpdateBase, UpdateBase, u64, bool, bool);

impl HostReducer {
    /// Sends due messages: as leader to the scope's hosts and to other scopes, else to the leader.
    pub(super) fn send_notices(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        if self.placement.is_none() {
            self.send_lacking_entries(now, effects);
            self.send_demand_notice(now, effects);
            return;
        }
        let version = self.view.version(TableRange::AllScopes);
        let pending = self.notices_due || version != self.notified_version;
        let earliest = if pending { self.next_notice_scan } else { self.next_notice_check };
        if now < earliest {
            return;
        }
        self.notices_due = false;
        self.next_notice_check = now.after(NOTICE_CHECK_INTERVAL);
        self.next_notice_scan = now.after(SCAN_PAUSE_PER_HOST * self.member_syncs.len() as u32);
        let changed = self.view.changed_since(self.notified_version);
        self.notified_version = version;
        self.send_leader_notices(now, changed.as_ref(), effects);
        self.send_digests(now, effects);
    }

    /// Sends changes to the scope's hosts: at once to hosts with requests waiting for a changed
    /// asset, in batches to the others. `changed` lists the assets changed since the last check;
    /// `None` if unknown.
    fn send_leader_notices(
        &mut self,
        now: Moment,
        changed: Option<&BTreeSet<AssetKey>>,
        effects: &mut Vec<HostEffect>,
    ) {
        let (table, version) = (self.view.id(), self.view.version(TableRange::AllScopes));
        let directory = &self.registered_upstreams;
        let has_authority = self.lease.authority(now).is_some();
        // Hosts with the same base versions of both tables get the same message, unless they reported
        // limits.
        let mut groups: BTreeMap<NoticeGroup, (u64, Vec<HostIdentity>)> = BTreeMap::new();
        for identity in self.members.in_scope(&self.me.scope, &self.me.name) {
            let sync = match self.member_syncs.get_mut(&identity.name) {
                Some(sync) => sync,
                None => self.member_syncs.entry(identity.name.clone()).or_default(),
            };
            let waits_for_change = |changed: &BTreeSet<AssetKey>| {
                let placement = self.placement.as_ref();
                placement.is_some_and(|placement| {
                    placement.host_demand.waits_for(&identity.name, changed)
                })
            };
            sync.dirty |= changed.is_none_or(waits_for_change);
            let is_behind = sync.replicas.is_behind(now, table, version);
            // All hosts must soon learn of upstreams that are shutting down or were removed.
            let lacks_entries = sync.registry.is_behind(now, directory.id(), directory.version());
            if !sync.is_notice_due(now, &self.timing, is_behind, lacks_entries) {
                continue;
            }
            let replicas = sync.replicas.next_base(now, table);
            let registry = sync.registry.next_base(now, directory.id());
            sync.replicas.record_sent(now, version);
            sync.registry.record_sent(now, directory.version());
            sync.sent_at = now;
            sync.dirty = false;
            let (limit_ack, stamp) = (sync.limit_ack, sync.stamp);
            let has_quotas = self.quotas.record_table_sent(now, has_authority, sync);
            let is_recent = StampLog::is_recent(now, stamp);
            let group = (replicas, registry, limit_ack, is_recent, has_quotas);
            // A message for each host would cost a leader of 86 hosts most of its processor time.
            let (lowest, receivers) = groups.entry(group).or_insert((stamp, Vec::new()));
            *lowest = stamp.min(*lowest);
            receivers.push(identity.clone());
        }
        for ((replicas, registry, limit_ack, _, has_quotas), (stamp, receivers)) in groups {
            let mut notice = self.build_leader_notice(now, replicas, registry, limit_ack, stamp);
            if has_quotas {
                notice.quota = self.quota_table(now);
            }
            let message = Box::new(PeerMessage::Leader(notice));
            effects.push(HostEffect::Broadcast(receivers, message));
        }
    }

    /// Forgets what was sent to hosts that are no longer in the scope.
    pub(super) fn forget_departed_hosts(&mut self) {
        let members = self.members.in_scope(&self.me.scope, &self.me.name);
        let names: BTreeSet<&str> = members.map(|identity| identity.name.as_str()).collect();
        self.member_syncs.retain(|name, _| names.contains(name.as_str()));
    }

    /// Notice with all changes since these versions of the replica table and the registered
    /// upstreams, for hosts whose report about limits with the number `limit_ack` has been applied, and which have
    /// confirmed the stamp `stamp`.
    fn build_leader_notice(
        &self,
        now: Moment,
        replicas: UpdateBase,
        registry: UpdateBase,
        limit_ack: u64,
        stamp: u64,
    ) -> LeaderNotice {
        let declined = self.declined.iter().filter_map(|asset| self.asset_name(*asset));
        LeaderNotice {
            // Also sent without authority, as hosts need the replica table for routing.
            epoch: self.placement.as_ref().map_or(0, |placement| placement.epoch),
            successors: self.lease.successors(),
            revision: self.catalog.revision,
            update: if replicas.has_changes {
                self.view.update_for(&self.catalog, TableRange::AllScopes, replicas.version)
            } else {
                self.view.unchanged(replicas.version)
            },
            registry: if registry.has_changes {
                self.registered_upstreams.update_since(registry.version)
            } else {
                self.registered_upstreams.unchanged(registry.version)
            },
            declined: declined.collect(),
            limits: self.limit_table(now, limit_ack),
            quarantine: self.quarantine_table(now, true),
            quota: QuotaTable::default(),
            hosts: self.host_count().unwrap_or(0) as u32,
            lease: self.lease.stored(),
            store: self.store_view(now, stamp),
            outages: self.outage_rows(now),
        }
    }

    /// Name and start time of the process of an upstream that has a record.
    pub(super) fn process_row(&self, upstream: UpstreamKey) -> Option<ProcessRow> {
        let process = self.catalog.process(upstream)?;
        let is_present = self.catalog.upstreams.contains_key(upstream);
        is_present.then(|| ProcessRow(process.name.clone(), process.started_ms))
    }

    pub(super) fn asset_name(&self, asset: AssetKey) -> Option<String> {
        self.catalog.assets.get(asset).map(|record| record.name.clone())
    }

    fn send_demand_notice(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let Some(leader) = self.leader.clone() else {
            return;
        };
        let (pause, heartbeat) = (self.timing.notice_pause, self.timing.heartbeat);
        let usage_due = (!self.unreported_usage.is_empty() || self.quotas.ledger.has_news(now))
            && now.since(self.leader_sync.sent_at) >= self.timing.notice_idle;
        // The leader's heartbeat shows that it is alive, so idle hosts can send less often.
        let limits_due = self.is_limit_report_due(now, self.leader_sync.sent_at);
        let gap_due = (self.leader_sync.has_gap || self.store_reads.owes_stamp())
            && now.since(self.leader_sync.sent_at) >= self.timing.notice_idle;
        let waited = now.since(self.leader_sync.sent_at);
        let crashes_due = self.crashes.is_report_due(now) && waited >= pause;
        let failures_due = self.is_failure_report_due(now, waited);
        let is_due = self.leader_sync.is_due(now, pause, heartbeat * IDLE_HEARTBEATS, false);
        if !(usage_due || gap_due || crashes_due || limits_due || failures_due || is_due) {
            return;
        }
        self.leader_sync.dirty = false;
        self.leader_sync.has_gap = false;
        self.leader_sync.sent_at = now;
        let usage = std::mem::take(&mut self.unreported_usage);
        let suspects = std::mem::take(&mut self.suspects);
        let limits = self.limit_report(now);
        let crash_report = self.crash_report(now);
        let failures = self.failure_rows(now);
        let name_of = |key| self.catalog.upstreams.get(key).map(|record| record.name.clone());
        let leaving = self.members.leaving_unlisted(&self.catalog);
        let notice = DemandNotice {
            epoch: leader.epoch,
            revision: self.catalog.revision,
            ack: self.view.ack(&self.me.scope),
            registry_ack: self.registered_upstreams.ack(),
            demand: self.demand_rows(now),
            used: to_usage_rows(&self.catalog, usage),
            suspects: suspects.into_iter().filter_map(name_of).collect(),
            limits,
            crash_report,
            quota: self.quotas.ledger.report(now, false),
            leaving: leaving.filter_map(|key| self.process_row(key)).collect(),
            draining: self.is_draining(),
            failures,
            stamp: self.store_reads.report_stamp(),
        };
        effects.push(HostEffect::send(leader.identity, PeerMessage::Demand(notice)));
    }

    /// Applies a notice of this scope's leader. Ignores other scopes and earlier epochs. If this host
    /// leads, only a notice that shows that its lease has been superseded counts.
    pub(super) fn handle_leader_notice(
        &mut self,
        now: Moment,
        from: HostIdentity,
        notice: LeaderNotice,
        effects: &mut Vec<HostEffect>,
    ) {
        let known = self.leader.as_ref().map_or(0, |leader| leader.epoch);
        if from.scope != self.me.scope || notice.epoch < known {
            return;
        }
        if self.placement.is_some() && !self.gives_way(now, notice.lease.as_ref(), effects) {
            return;
        }
        let same_leader = self.leader.as_ref().is_some_and(|leader| leader.identity == from);
        if !same_leader {
            self.store_reads.leader_replaced();
            self.leader_sync = PeerSync { dirty: true, ..PeerSync::default() };
            self.report_recent_usage(now);
        }
        if !same_leader || notice.epoch != known {
            self.limit_leader_replaced();
            self.crashes.report_all(now);
        }
        let behind_since = self.leader.as_ref().filter(|_| same_leader);
        self.leader = Some(LeaderContact {
            behind_since: behind_since.and_then(|leader| leader.behind_since),
            identity: from.clone(),
            epoch: notice.epoch,
            last_message: now,
            store: notice.store.clone(),
        });
        self.lease.record_notice(notice.epoch);
        self.declined = self.assets_named(&notice.declined);
        self.leader_successors = notice.successors;
        self.leader_host_count = (notice.hosts > 0).then_some(notice.hosts as usize);
        if let Some(StoredLease { version, record }) = notice.lease {
            self.with_lease(now, effects, |lease, context| {
                lease.apply_announced(context, version, Some(record));
            });
        }
        self.apply_registry_update(now, &notice.registry, effects);
        let scope = from.scope.clone();
        self.apply_update(now, &scope, TableRange::AllScopes, &notice.update, effects);
        self.apply_limit_table(now, &from, &notice.limits, effects);
        self.apply_quarantine_table(now, &from, &notice.quarantine, effects);
        self.apply_outages(now, &notice.outages, effects);
        self.apply_relayed_view(now, &notice.store, notice.revision, effects);
        self.apply_quota_table(now, notice.epoch, &notice.quota);
        self.request_newer_configuration(now, &from, notice.revision, effects);
    }

    /// Ends this host's term if another leader's lease supersedes its own. Returns whether it did.
    fn gives_way(
        &mut self,
        now: Moment,
        stored: Option<&StoredLease>,
        effects: &mut Vec<HostEffect>,
    ) -> bool {
        let Some(stored) = stored else {
            return false;
        };
        let mut gave_way = false;
        self.with_lease(now, effects, |lease, context| gave_way = lease.give_way(context, stored));
        if gave_way {
            self.leadership_changed(now, effects);
        }
        gave_way
    }

    /// Reports the usage of the last seconds instead of that since the last report, as another leader
    /// received the reports before. Without it, a new leader would evict busy models as unused.
    pub(super) fn report_recent_usage(&mut self, now: Moment) {
        self.unreported_usage.clear();
        for (asset, requests, tokens) in self.recent_usage.recent(now) {
            self.unreported_usage.entry(asset).or_default().add(requests, tokens);
        }
    }

    /// Clears the leader when it reports that it no longer holds the lease.
    pub(super) fn handle_lease_released(&mut self, from: &HostIdentity, epoch: u64) {
        self.leader.take_if(|leader| leader.identity == *from && leader.epoch == epoch);
    }

    /// Keys of the named assets that are in this configuration.
    pub(super) fn assets_named(&self, names: &[String]) -> BTreeSet<AssetKey> {
        names.iter().filter_map(|name| self.catalog.asset_named(name)).collect()
    }

    /// Applies changes of replicas, and dispatches requests for assets that became ready.
    pub(super) fn apply_update(
        &mut self,
        now: Moment,
        scope: &str,
        range: TableRange,
        update: &TableUpdate,
        effects: &mut Vec<HostEffect>,
    ) {
        self.view.mark_leader_alive(scope, now);
        match self.view.apply(&self.catalog, scope, range, update) {
            UpdateOutcome::Applied(ready) => {
                for asset in ready {
                    self.dispatch_waiting(now, RequestTarget::Asset(asset), effects);
                }
            }
            // The sender learns of the gap from the acknowledgement in this host's next message.
            UpdateOutcome::Rejected => self.leader_sync.has_gap = true,
        }
    }

    /// Requests the configuration of `from` if its revision is newer than this host's, at most once
    /// in ten times `notice_pause`.
    pub(super) fn request_newer_configuration(
        &mut self,
        now: Moment,
        from: &HostIdentity,
        revision: u64,
        effects: &mut Vec<HostEffect>,
    ) {
        if revision > self.catalog.revision && now >= self.next_configuration_request {
            self.next_configuration_request = now.after(self.timing.notice_pause * 10);
            let message = PeerMessage::ConfigurationRequest { have: self.catalog.revision };
            effects.push(HostEffect::send(from.clone(), message));
        }
    }

    /// Applies another host's demand notice, if this host leads its scope.
    pub(super) fn handle_demand_notice(
        &mut self,
        now: Moment,
        from: HostIdentity,
        notice: DemandNotice,
        effects: &mut Vec<HostEffect>,
    ) {
        self.request_newer_configuration(now, &from, notice.revision, effects);
        if from.scope != self.me.scope || self.placement.is_none() {
            return;
        }
        for ProcessRow(name, started_ms) in &notice.leaving {
            if let Some(upstream) = self.catalog.process_named(name, *started_ms) {
                self.upstream_leaves(now, upstream, effects);
            }
        }
        let sync = self.member_syncs.entry(from.name.clone()).or_default();
        if notice.draining {
            self.members.record_draining(&from.name);
        }
        sync.observe_process(&from);
        sync.revision = notice.revision;
        // A confirmation for an earlier process of this host shows nothing.
        let is_mine = self.placement.as_ref().is_some_and(|mine| mine.epoch == notice.epoch);
        sync.stamp = notice.stamp.filter(|_| is_mine).unwrap_or_default();
        sync.replicas.record_ack(now, notice.ack, self.view.id());
        sync.registry.record_ack(now, notice.registry_ack, self.registered_upstreams.id());
        // The next notice names the newer revision to a host with an older configuration.
        sync.dirty |= notice.revision < self.catalog.revision;
        self.notices_due |= sync.dirty;
        let usage = from_usage_rows(&self.catalog, &notice.used);
        self.add_peer_usage(&usage);
        let suspects: Vec<_> =
            notice.suspects.iter().filter_map(|name| self.catalog.upstream_named(name)).collect();
        self.with_placement(now, effects, |placement, context| {
            placement.host_demand.replace(now, context.catalog, &from.name, &notice.demand);
            for (asset, count) in usage {
                placement.record_usage(context, asset, count.requests, count.tokens);
            }
            for upstream in suspects {
                placement.schedule_claim(now, upstream);
            }
        });
        self.handle_limit_report(now, &from, &notice.limits, effects);
        self.handle_crash_report(now, &from, &notice.crash_report, effects);
        self.handle_failures(now, &from, &notice.failures);
        self.handle_quota_report(now, &from, notice.epoch, &notice.quota);
        self.plan(now, effects);
    }
}
