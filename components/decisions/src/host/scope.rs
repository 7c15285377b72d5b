//! Messages between a scope's leader and its hosts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use wagtailledge_inventory::AssetKey;

use crate::effect::HostEffect;
use crate::identity::HostStamp;
use crate::message::DemandNotice;
use crate::message::LeaderNotice;
use crate::message::PeerMessage;
use crate::message::TableUpdate;
use crate::request::RequestTarget;
use crate::routing::TableRange;
use crate::routing::ViewChange;
use crate::time::Moment;

use super::links::PeerLink;
use super::state::HostReducer;
use super::state::LeaderContact;
use super::uses::from_rows;
use super::uses::to_rows;

/// A host with nothing to tell lets this many heartbeats pass.
const QUIET_HEARTBEATS: u32 = 2;
/// Between two looks at whom a leader should send something.
const NOTICE_ROUND: Duration = Duration::from_millis(100);

impl HostReducer {
    /// Sends what is due to the leader, to the scope's hosts and to other scopes.
    pub(super) fn send_notices(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        if self.placement.is_none() {
            self.send_demand(now, effects);
            return;
        }
        let version = self.view.version(TableRange::Everywhere);
        let news = self.notices_due || version != self.notified;
        if !news && now < self.next_notices {
            return;
        }
        self.notices_due = false;
        self.next_notices = now.after(NOTICE_ROUND);
        let fresh = self.view.changed_since(self.notified);
        self.notified = version;
        self.send_leader_notices(now, fresh.as_ref(), effects);
        self.send_digests(now, effects);
    }

    /// Tells the scope's hosts what changed: those that wait for it at once, the others in batches.
    /// `fresh` are the assets that changed since the last round; `None` when that is not known.
    fn send_leader_notices(
        &mut self,
        now: Moment,
        fresh: Option<&BTreeSet<AssetKey>>,
        effects: &mut Vec<HostEffect>,
    ) {
        let members: Vec<HostStamp> =
            self.members.in_scope(&self.me.scope, &self.me.name).cloned().collect();
        let names: BTreeSet<&str> = members.iter().map(|stamp| stamp.name.as_str()).collect();
        self.member_links.retain(|name, _| names.contains(name.as_str()));
        let version = self.view.version(TableRange::Everywhere);
        // Hosts that have the same of both tables get the same message.
        let mut groups: BTreeMap<(u64, u64), Vec<HostStamp>> = BTreeMap::new();
        for stamp in members {
            let mut link = self.member_links.remove(&stamp.name).unwrap_or_default();
            let waits = |fresh: &BTreeSet<AssetKey>| {
                let placement = self.placement.as_ref();
                placement.is_some_and(|placement| placement.hosts.waits_for(&stamp.name, fresh))
            };
            link.dirty |= fresh.is_none_or(waits);
            if self.notice_due(now, &link) {
                let base = (link.replicas.base(self.view.id()), link.registry.base(self.book.id()));
                link.replicas.note_sent(now, version);
                link.registry.note_sent(now, self.book.version());
                link.sent_at = now;
                link.dirty = false;
                groups.entry(base).or_default().push(stamp.clone());
            }
            self.member_links.insert(stamp.name, link);
        }
        for ((replicas, registry), receivers) in groups {
            let notice = self.leader_message(replicas, registry);
            let message = Box::new(PeerMessage::Leader(notice));
            effects.push(HostEffect::Broadcast(receivers, message));
        }
    }

    /// Whether a host is to be told something now.
    fn notice_due(&self, now: Moment, link: &PeerLink) -> bool {
        let behind =
            link.replicas.is_behind(self.view.id(), self.view.version(TableRange::Everywhere));
        // Upstreams that leave or are gone must be known everywhere soon.
        let urgent = link.dirty || link.registry.is_behind(self.book.id(), self.book.version());
        let waited = now.since(link.sent_at);
        link.sent_at == Moment::default()
            || waited >= self.timing.heartbeat
            || (urgent && waited >= self.timing.notice_pause)
            || (behind && waited >= self.timing.notice_idle)
    }

    /// What a host lacks that has these versions of the replicas and the registered upstreams.
    fn leader_message(&self, replicas: u64, registry: u64) -> LeaderNotice {
        let declined = self.declined.iter().filter_map(|asset| self.asset_name(*asset));
        LeaderNotice {
            // A leader without authority still tells what it knows: routing must go on.
            epoch: self.placement.as_ref().map_or(0, |placement| placement.epoch),
            successors: self.lease.successors(),
            revision: self.catalog.revision,
            update: self.view.update_for(&self.catalog, TableRange::Everywhere, replicas),
            registry: self.book.update_since(registry),
            declined: declined.collect(),
        }
    }

    pub(super) fn asset_name(&self, asset: AssetKey) -> Option<String> {
        self.catalog.assets.get(asset).map(|record| record.name.clone())
    }

    fn send_demand(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let Some(leader) = self.following.clone() else {
            return;
        };
        let (pause, heartbeat) = (self.timing.notice_pause, self.timing.heartbeat);
        let counts =
            !self.used.is_empty() && now.since(self.leader_link.sent_at) >= self.timing.notice_idle;
        // The leader's own heartbeat tells that it is there; little is lost when it hears less.
        if !counts && !self.leader_link.is_due(now, pause, heartbeat * QUIET_HEARTBEATS, false) {
            return;
        }
        self.leader_link.dirty = false;
        self.leader_link.sent_at = now;
        let used = std::mem::take(&mut self.used);
        let suspects = std::mem::take(&mut self.suspects);
        let name_of = |key| self.catalog.upstreams.get(key).map(|record| record.name.clone());
        let notice = DemandNotice {
            epoch: leader.epoch,
            revision: self.catalog.revision,
            ack: self.view.ack(&self.me.scope),
            registry_ack: self.book.ack(),
            demand: self.demand_rows(now),
            used: to_rows(&self.catalog, used),
            suspects: suspects.into_iter().filter_map(name_of).collect(),
        };
        effects.push(HostEffect::send(leader.stamp, PeerMessage::Demand(notice)));
    }

    /// A leader tells its scope.
    pub(super) fn leader_notice(
        &mut self,
        now: Moment,
        from: HostStamp,
        notice: LeaderNotice,
        effects: &mut Vec<HostEffect>,
    ) {
        let known = self.following.as_ref().map_or(0, |leader| leader.epoch);
        if from.scope != self.me.scope || notice.epoch < known || self.placement.is_some() {
            return;
        }
        let same = self.following.as_ref().is_some_and(|leader| leader.stamp == from);
        if !same {
            self.leader_link = PeerLink { dirty: true, ..PeerLink::default() };
        }
        self.following =
            Some(LeaderContact { stamp: from.clone(), epoch: notice.epoch, heard: now });
        self.declined = self.known_assets(&notice.declined);
        self.following_successors = notice.successors;
        self.apply_registry(now, &notice.registry, effects);
        let scope = from.scope.clone();
        self.apply_update(now, &scope, TableRange::Everywhere, &notice.update, effects);
        self.compare_revisions(now, &from, notice.revision, effects);
    }

    /// The leader gave its lease up.
    pub(super) fn leader_ended(&mut self, from: &HostStamp, epoch: u64) {
        self.following.take_if(|leader| leader.stamp == *from && leader.epoch == epoch);
    }

    /// Whether another host leads this one's scope and was heard lately.
    pub fn hears_leader(&self, now: Moment) -> bool {
        self.following.as_ref().is_some_and(|leader| {
            leader.stamp != self.me && now.since(leader.heard) < self.timing.peer_timeout
        })
    }

    pub(super) fn known_assets(&self, names: &[String]) -> BTreeSet<AssetKey> {
        names.iter().filter_map(|name| self.catalog.asset_named(name)).collect()
    }

    /// Applies placement changes and serves what they make possible.
    pub(super) fn apply_update(
        &mut self,
        now: Moment,
        scope: &str,
        range: TableRange,
        update: &TableUpdate,
        effects: &mut Vec<HostEffect>,
    ) {
        self.view.mark_heard(scope, now);
        match self.view.apply(&self.catalog, scope, range, update) {
            ViewChange::Applied(ready) => {
                for asset in ready {
                    self.pump(now, RequestTarget::Asset(asset), effects);
                }
            }
            // The sender learns from the confirmation what is missing.
            ViewChange::Refused => self.leader_link.dirty = true,
        }
    }

    /// Asks for a newer configuration when the other end has one.
    pub(super) fn compare_revisions(
        &mut self,
        now: Moment,
        from: &HostStamp,
        theirs: u64,
        effects: &mut Vec<HostEffect>,
    ) {
        if theirs > self.catalog.revision && now >= self.next_configuration_ask {
            self.next_configuration_ask = now.after(self.timing.notice_pause * 10);
            let message = PeerMessage::ConfigurationAsk { have: self.catalog.revision };
            effects.push(HostEffect::send(from.clone(), message));
        }
    }

    /// A host tells its leader.
    pub(super) fn demand_notice(
        &mut self,
        now: Moment,
        from: HostStamp,
        notice: DemandNotice,
        effects: &mut Vec<HostEffect>,
    ) {
        self.compare_revisions(now, &from, notice.revision, effects);
        if from.scope != self.me.scope || self.placement.is_none() {
            return;
        }
        let link = self.member_links.entry(from.name.clone()).or_default();
        link.heard(&from);
        link.revision = notice.revision;
        link.replicas.confirmed(now, notice.ack, self.view.id());
        link.registry.confirmed(now, notice.registry_ack, self.book.id());
        // A host with an older configuration learns of the newer one by the next notice.
        link.dirty |= notice.revision < self.catalog.revision;
        self.notices_due |= link.dirty;
        let used = from_rows(&self.catalog, &notice.used);
        self.note_neighbour_use(&used);
        let suspects: Vec<_> =
            notice.suspects.iter().filter_map(|name| self.catalog.upstream_named(name)).collect();
        self.with_placement(now, effects, |placement, context| {
            placement.hosts.replace(now, context.catalog, &from.name, &notice.demand);
            for (asset, count) in used {
                placement.used(context, asset, count.requests, count.tokens);
            }
            for upstream in suspects {
                placement.suspect(now, upstream);
            }
        });
        self.plan(now, effects);
    }
}
