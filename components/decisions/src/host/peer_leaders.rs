//! Messages between the leaders of scopes.

use std::collections::BTreeMap;

use crate::effect::HostEffect;
use crate::identity::HostIdentity;
use crate::message::DemandRow;
use crate::message::PeerMessage;
use crate::message::ScopeDigest;
use crate::routing::TableRange;
use crate::time::Moment;

use super::peer_sync::PeerSync;
use super::permits::WANT_INTERVAL;
use super::state::HostReducer;
use super::usage::UsageCounts;
use super::usage::from_usage_rows;
use super::usage::to_usage_rows;

/// State of the message exchange with the leader of another scope.
#[derive(Debug, Clone, Default)]
pub struct PeerLeader {
    sync: PeerSync,
    /// Last known leader of the scope, and its epoch.
    leader: Option<(HostIdentity, u64)>,
    /// Leader that sent the last digest, and its epoch.
    digest_from: Option<(HostIdentity, u64)>,
    /// When a digest of the scope's leader last arrived.
    last_message: Option<Moment>,
    /// Index of the scope's host to probe next while its leader is unknown or silent.
    next_probe: usize,
    /// Usage in this host's scope since the last digest sent to that leader.
    unreported_usage: UsageCounts,
    /// Waiting requests by asset in the last digest sent.
    sent_demand: BTreeMap<String, u32>,
}

/// Digests per heartbeat period to a scope whose leader is silent.
const PROBES_PER_HEARTBEAT: u32 = 4;
/// Hosts of a scope probed at once if its leader is unknown or silent.
const PROBED_HOSTS: usize = 2;

impl PeerLeader {
    /// State of the message exchange.
    pub(super) fn sync_mut(&mut self) -> &mut PeerSync {
        &mut self.sync
    }
}

impl HostReducer {
    /// Adds usage in this scope to the next digests for the leaders of other scopes.
    pub(super) fn add_peer_usage(&mut self, usage: &UsageCounts) {
        for peer_leader in self.peer_leaders.values_mut() {
            for (asset, count) in usage {
                peer_leader
                    .unreported_usage
                    .entry(*asset)
                    .or_default()
                    .add(count.requests, count.tokens);
            }
        }
    }

    /// Whether `identity` is the last known leader of another scope, with this epoch.
    pub(super) fn is_peer_leader(&self, identity: &HostIdentity, epoch: u64) -> bool {
        let peer_leader = self.peer_leaders.get(&identity.scope);
        let leader = peer_leader.and_then(|peer_leader| peer_leader.leader.as_ref());
        leader.is_some_and(|(leader, known)| leader == identity && *known == epoch)
    }

    /// Makes a digest due for every other scope.
    pub(super) fn mark_digests_due(&mut self) {
        for peer_leader in self.peer_leaders.values_mut() {
            peer_leader.sync.dirty = true;
        }
    }

    /// All configured scopes except this host's.
    fn other_scopes(&self) -> Vec<String> {
        let scopes = self.catalog.scopes.iter();
        scopes.filter(|scope| **scope != self.me.scope).cloned().collect()
    }

    /// Demand of this scope that other scopes should place, by the scope that should place it.
    fn demand_by_scope(&mut self, now: Moment) -> BTreeMap<String, Vec<DemandRow>> {
        let mut by_scope: BTreeMap<String, Vec<DemandRow>> = BTreeMap::new();
        let catalog = &self.catalog;
        let Some(placement) = self.placement.as_ref() else {
            return by_scope;
        };
        let total = placement.host_demand.total(catalog);
        let mut ignored = Vec::new();
        let mut rows = Vec::new();
        self.with_placement(now, &mut ignored, |placement, context| {
            placement.update_reachability(context);
            for (asset, demand) in total {
                let Some(scope) = placement.placing_scope(context, asset, demand.earliest_deadline)
                else {
                    continue;
                };
                if scope != context.scope {
                    let asset = context.catalog.assets[asset].name.clone();
                    let slack_ms = demand.earliest_deadline.since(now).as_millis() as u64;
                    let (waiting, rank) = (demand.waiting, demand.rank);
                    let row = DemandRow { asset, waiting, rank, slack_ms };
                    rows.push((scope.to_owned(), row));
                }
            }
        });
        for (scope, row) in rows {
            by_scope.entry(scope).or_default().push(row);
        }
        by_scope
    }

    /// Sends the digests that are due.
    pub(super) fn send_digests(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let mut demand = self.demand_by_scope(now);
        for scope in self.other_scopes() {
            let rows = demand.remove(&scope).unwrap_or_default();
            let mut peer_leader = self.peer_leaders.remove(&scope).unwrap_or_default();
            self.send_digest(now, &scope, &mut peer_leader, rows, effects);
            self.peer_leaders.insert(scope, peer_leader);
        }
    }

    fn send_digest(
        &mut self,
        now: Moment,
        scope: &str,
        peer_leader: &mut PeerLeader,
        demand: Vec<DemandRow>,
        effects: &mut Vec<HostEffect>,
    ) {
        let sync = &mut peer_leader.sync;
        let waiting: BTreeMap<String, u32> =
            demand.iter().map(|row| (row.asset.clone(), row.waiting)).collect();
        let demand_changed = !waiting.keys().eq(peer_leader.sent_demand.keys());
        let version = self.view.version(TableRange::OwnScope);
        let behind = demand_changed || sync.replicas.is_behind(now, self.view.id(), version);
        let silent = peer_leader.last_message.is_none_or(|at| at < self.silent_since(now));
        let heartbeat = self.timing.heartbeat / if silent { PROBES_PER_HEARTBEAT } else { 1 };
        let wants_due = now.since(sync.sent_at) >= WANT_INTERVAL && self.owes_limit_report(scope);
        if !wants_due && !sync.is_due(now, self.timing.notice_pause, heartbeat, behind) {
            return;
        }
        let receivers = self.digest_receivers(now, scope, peer_leader);
        if receivers.is_empty() {
            return;
        }
        let sync = &mut peer_leader.sync;
        let base = sync.replicas.next_base(now, self.view.id());
        let update = if base.has_changes {
            self.view.update_for(&self.catalog, TableRange::OwnScope, base.version)
        } else {
            self.view.unchanged(base.version)
        };
        sync.replicas.record_sent(now, version);
        sync.sent_at = now;
        sync.dirty = false;
        let limit_ack = sync.limit_ack;
        peer_leader.sent_demand = waiting;
        let usage = std::mem::take(&mut peer_leader.unreported_usage);
        let declined = self.placement.as_ref().map(|placement| placement.declined.iter());
        let digest = ScopeDigest {
            epoch: self.placement.as_ref().map_or(0, |placement| placement.epoch),
            revision: self.catalog.revision,
            update,
            ack: self.view.ack(scope),
            demand,
            used: to_usage_rows(&self.catalog, usage),
            declined: declined
                .into_iter()
                .flatten()
                .filter_map(|asset| self.asset_name(*asset))
                .collect(),
            limits: self.own_limit_table(now, limit_ack),
            foreign_limits: self.foreign_limit_report(now, scope),
            quarantine: self.quarantine_table(now, false),
            crash_report: self.relayed_crash_report(now),
        };
        for receiver in receivers {
            effects.push(HostEffect::send(receiver, PeerMessage::Digest(digest.clone())));
        }
    }

    /// A leader whose latest digest arrived before this moment counts as silent.
    fn silent_since(&self, now: Moment) -> Moment {
        now.before(self.timing.heartbeat * 2)
    }

    /// Receivers of a digest to `scope`: its leader if known, and while the leader is unknown or
    /// silent also other hosts of the scope. These reply with the leader that they follow, or at
    /// least show that the scope is reachable.
    fn digest_receivers(
        &self,
        now: Moment,
        scope: &str,
        peer_leader: &mut PeerLeader,
    ) -> Vec<HostIdentity> {
        let responsive = peer_leader.last_message.is_some_and(|at| at >= self.silent_since(now));
        let known = peer_leader.leader.as_ref().map(|(leader, _)| leader.clone());
        let mut receivers: Vec<HostIdentity> = known.into_iter().collect();
        if responsive && !receivers.is_empty() {
            return receivers;
        }
        let hosts: Vec<&HostIdentity> = self.members.in_scope(scope, &self.me.name).collect();
        for _ in 0..PROBED_HOSTS.min(hosts.len()) {
            let probed = hosts[peer_leader.next_probe % hosts.len()];
            peer_leader.next_probe = peer_leader.next_probe.wrapping_add(1);
            if !receivers.contains(probed) {
                receivers.push(probed.clone());
            }
        }
        receivers
    }

    /// Applies a digest of another scope's leader, or replies with this scope's leader if this host
    /// does not lead.
    pub(super) fn handle_digest(
        &mut self,
        now: Moment,
        from: HostIdentity,
        digest: ScopeDigest,
        effects: &mut Vec<HostEffect>,
    ) {
        self.request_newer_configuration(now, &from, digest.revision, effects);
        if self.placement.is_none() {
            let leader = self.leader.as_ref().map(|leader| (leader.identity.clone(), leader.epoch));
            effects.push(HostEffect::send(from, PeerMessage::LeaderHint { leader }));
            return;
        }
        let peer_leader = self.peer_leaders.entry(from.scope.clone()).or_default();
        if peer_leader.leader.as_ref().is_some_and(|(_, epoch)| *epoch > digest.epoch) {
            return;
        }
        let leader = (from.clone(), digest.epoch);
        let is_new = peer_leader.digest_from.as_ref() != Some(&leader);
        peer_leader.digest_from = Some(leader.clone());
        peer_leader.leader = Some(leader);
        peer_leader.last_message = Some(now);
        peer_leader.sync.observe_process(&from);
        peer_leader.sync.replicas.record_ack(now, digest.ack, self.view.id());
        let changed = self.view.ack(&from.scope).version != digest.update.version;
        peer_leader.sync.dirty |= changed;
        self.notices_due |= changed;
        if is_new {
            self.limit_peer_replaced(&from.scope);
        }
        self.apply_update(now, &from.scope, TableRange::OwnScope, &digest.update, effects);
        self.apply_limit_table(now, &from, &digest.limits, effects);
        self.handle_limit_report(now, &from, &digest.foreign_limits, effects);
        self.apply_quarantine_table(now, &from, &digest.quarantine, effects);
        self.handle_crash_report(now, &from, &digest.crash_report, effects);
        let usage = from_usage_rows(&self.catalog, &digest.used);
        let declined = self.assets_named(&digest.declined);
        self.with_placement(now, effects, |placement, context| {
            placement.scope_demand.replace(now, context.catalog, &from.scope, &digest.demand);
            placement.declined_by.insert(from.scope.clone(), declined);
            for (asset, count) in usage {
                placement.record_usage(context, asset, count.requests, count.tokens);
            }
        });
        self.plan(now, effects);
    }

    /// Applies a reply that names the leader of another scope, if it has a newer epoch.
    pub(super) fn handle_leader_hint(&mut self, leader: Option<(HostIdentity, u64)>) {
        let Some((leader, epoch)) = leader else {
            return;
        };
        let peer_leader = self.peer_leaders.entry(leader.scope.clone()).or_default();
        if peer_leader.leader.as_ref().is_none_or(|(_, known)| *known < epoch) {
            peer_leader.leader = Some((leader, epoch));
            peer_leader.sync.dirty = true;
            self.notices_due = true;
        }
    }
}
