//! Messages between the leaders of zones.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use wagtailledge_inventory::AssetKey;

use crate::effect::HostEffect;
use crate::identity::HostStamp;
use crate::message::DemandRow;
use crate::message::PeerMessage;
use crate::message::ZoneDigest;
use crate::routing::TableScope;
use crate::time::Moment;

use super::links::PeerLink;
use super::state::HostReducer;

/// What a leader knows of the leader of another zone.
#[derive(Debug, Clone, Default)]
pub struct NeighbourLink {
    link: PeerLink,
    /// Its leader and that leader's epoch, as far as known.
    leader: Option<(HostStamp, u64)>,
    heard: Option<Moment>,
    /// Which of the zone's hosts to try next while no leader is known.
    probe: usize,
    /// Assets of that zone's engines used by this zone since the last digest.
    used: BTreeSet<AssetKey>,
    /// Demand in the last digest, by asset, without the time left.
    demand: BTreeMap<String, u32>,
}

/// Probes of a silent zone per heartbeat.
const PROBE_RATE: u32 = 4;
/// Hosts of a zone asked at once who leads there.
const MAX_PROBES: usize = 2;

impl HostReducer {
    /// Remembers which assets other zones' engines were used for.
    pub(super) fn note_neighbour_use(&mut self, used: &BTreeSet<AssetKey>) {
        for asset in used {
            for (upstream, _) in self.view.held(*asset) {
                let record = self.catalog.upstreams.get(*upstream);
                let neighbour = record.and_then(|record| self.neighbours.get_mut(&record.zone));
                if let Some(neighbour) = neighbour {
                    neighbour.used.insert(*asset);
                }
            }
        }
    }

    fn other_zones(&self) -> Vec<String> {
        let zones = self.catalog.zones.iter();
        zones.filter(|zone| **zone != self.me.zone).cloned().collect()
    }

    /// Demand of this zone that `placing` names another zone for.
    fn demand_by_zone(&mut self, now: Moment) -> BTreeMap<String, Vec<DemandRow>> {
        let mut by_zone: BTreeMap<String, Vec<DemandRow>> = BTreeMap::new();
        let catalog = &self.catalog;
        let Some(placement) = self.placement.as_ref() else {
            return by_zone;
        };
        let total = placement.hosts.total(catalog);
        let mut ignored = Vec::new();
        let mut rows = Vec::new();
        self.with_placement(now, &mut ignored, |placement, context| {
            placement.update_reach(context);
            for (asset, demand) in total {
                let Some(zone) = placement.placing_zone(context, asset, demand.earliest) else {
                    continue;
                };
                if zone != context.zone {
                    let asset = context.catalog.assets[asset].name.clone();
                    let slack_ms = demand.earliest.since(now).as_millis() as u64;
                    let row = DemandRow { asset, waiting: demand.waiting, slack_ms };
                    rows.push((zone.to_owned(), row));
                }
            }
        });
        for (zone, row) in rows {
            by_zone.entry(zone).or_default().push(row);
        }
        by_zone
    }

    /// Sends the digests that are due.
    pub(super) fn send_digests(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let mut demand = self.demand_by_zone(now);
        for zone in self.other_zones() {
            let rows = demand.remove(&zone).unwrap_or_default();
            let mut neighbour = self.neighbours.remove(&zone).unwrap_or_default();
            self.send_digest(now, &zone, &mut neighbour, rows, effects);
            self.neighbours.insert(zone, neighbour);
        }
    }

    fn send_digest(
        &self,
        now: Moment,
        zone: &str,
        neighbour: &mut NeighbourLink,
        demand: Vec<DemandRow>,
        effects: &mut Vec<HostEffect>,
    ) {
        let link = &mut neighbour.link;
        let waiting: BTreeMap<String, u32> =
            demand.iter().map(|row| (row.asset.clone(), row.waiting)).collect();
        let news = !waiting.keys().eq(neighbour.demand.keys());
        let behind = news || link.is_behind(&self.view, TableScope::OwnZone);
        let silent = neighbour.heard.is_none_or(|heard| heard < self.silent_since(now));
        let heartbeat = self.timing.heartbeat / if silent { PROBE_RATE } else { 1 };
        if !link.is_due(now, self.timing.notice_pause, heartbeat, behind) {
            return;
        }
        let receivers = self.digest_receivers(now, zone, neighbour);
        if receivers.is_empty() {
            return;
        }
        let link = &mut neighbour.link;
        let update = self.view.update_for(&self.catalog, TableScope::OwnZone, link.ack);
        link.sent = Some(update.version);
        link.sent_at = now;
        link.dirty = false;
        neighbour.demand = waiting;
        let used = std::mem::take(&mut neighbour.used);
        let declined = self.placement.as_ref().map(|placement| placement.declined.iter());
        let digest = ZoneDigest {
            epoch: self.placement.as_ref().map_or(0, |placement| placement.epoch),
            revision: self.catalog.revision,
            update,
            ack: self.view.ack(zone),
            demand,
            used: used.into_iter().filter_map(|asset| self.asset_name(asset)).collect(),
            declined: declined
                .into_iter()
                .flatten()
                .filter_map(|asset| self.asset_name(*asset))
                .collect(),
        };
        for receiver in receivers {
            effects.push(HostEffect::send(receiver, PeerMessage::Digest(digest.clone())));
        }
    }

    /// A leader not heard since this moment counts as silent.
    fn silent_since(&self, now: Moment) -> Moment {
        now.before(self.timing.heartbeat * 2)
    }

    /// The leader of `zone`; once it has been silent for a while also other hosts of the zone,
    /// which tell who leads, or at least that the zone is there.
    fn digest_receivers(
        &self,
        now: Moment,
        zone: &str,
        neighbour: &mut NeighbourLink,
    ) -> Vec<HostStamp> {
        let heard = neighbour.heard.is_some_and(|heard| heard >= self.silent_since(now));
        let known = neighbour.leader.as_ref().map(|(leader, _)| leader.clone());
        let mut receivers: Vec<HostStamp> = known.into_iter().collect();
        if heard && !receivers.is_empty() {
            return receivers;
        }
        let hosts: Vec<&HostStamp> = self.members.in_zone(zone, &self.me.name).collect();
        for _ in 0..MAX_PROBES.min(hosts.len()) {
            let probed = hosts[neighbour.probe % hosts.len()];
            neighbour.probe = neighbour.probe.wrapping_add(1);
            if !receivers.contains(probed) {
                receivers.push(probed.clone());
            }
        }
        receivers
    }

    /// Another zone's leader tells.
    pub(super) fn zone_digest(
        &mut self,
        now: Moment,
        from: HostStamp,
        digest: ZoneDigest,
        effects: &mut Vec<HostEffect>,
    ) {
        self.compare_revisions(now, &from, digest.revision, effects);
        if self.placement.is_none() {
            let leader = self.following.as_ref().map(|leader| (leader.stamp.clone(), leader.epoch));
            effects.push(HostEffect::send(from, PeerMessage::LeaderHint { leader }));
            return;
        }
        let neighbour = self.neighbours.entry(from.zone.clone()).or_default();
        if neighbour.leader.as_ref().is_some_and(|(_, epoch)| *epoch > digest.epoch) {
            return;
        }
        neighbour.leader = Some((from.clone(), digest.epoch));
        neighbour.heard = Some(now);
        neighbour.link.heard(&from);
        neighbour.link.ack = digest.ack;
        let changed = self.view.ack(&from.zone).version != digest.update.version;
        neighbour.link.dirty |= changed;
        self.notices_due |= changed;
        self.apply_update(now, &from.zone, TableScope::OwnZone, &digest.update, effects);
        let used = self.known_assets(&digest.used);
        let declined = self.known_assets(&digest.declined);
        self.with_placement(now, effects, |placement, context| {
            placement.zones.replace(now, context.catalog, &from.zone, &digest.demand);
            placement.declined_by.insert(from.zone.clone(), declined);
            for asset in used {
                placement.used(context, asset);
            }
        });
        self.plan(now, effects);
    }

    /// A host names the leader of its zone, if it knows one.
    pub(super) fn leader_hint(&mut self, leader: Option<(HostStamp, u64)>) {
        let Some((leader, epoch)) = leader else {
            return;
        };
        let neighbour = self.neighbours.entry(leader.zone.clone()).or_default();
        if neighbour.leader.as_ref().is_none_or(|(_, known)| *known < epoch) {
            neighbour.leader = Some((leader, epoch));
            neighbour.link.dirty = true;
            self.notices_due = true;
        }
    }
}
