//! What the leader knows of one engine.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::InventoryCatalog;

use crate::message::ReplicaState;
use crate::order::EngineListing;
use crate::order::HeldState;
use crate::order::OrderKey;
use crate::order::OrderKind;
use crate::order::WeightCopies;
use crate::time::Moment;

/// Claims lost in a row that make an engine unusable until it answers.
const SUSPECT_MISSES: u32 = 2;
/// What an engine publishes may be older than this.
pub const LISTING_LAG: Duration = Duration::from_secs(3);

/// Where a replica stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaPhase {
    /// Its load order may have been sent.
    Ordered,
    /// The engine loads it; expected to be done at the moment given, where that is known.
    Loading(Option<Moment>),
    /// It serves.
    Ready,
    /// Routers were told to stop; the unload order is due at the moment given.
    Retiring(Moment),
    /// Its unload order may have been sent.
    Unloading,
}

/// One replica on one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaEntry {
    /// Where it stands.
    pub phase: ReplicaPhase,
    /// Memory reserved for it, in bytes.
    pub bytes: u64,
    /// Since when it has been in this phase.
    pub since: Moment,
    /// When it was last used.
    pub used: Moment,
}

impl ReplicaEntry {
    /// When its load is expected to end, where that is known.
    pub fn due(&self) -> Option<Moment> {
        match self.phase {
            ReplicaPhase::Loading(due) => due,
            _ => None,
        }
    }
}

/// The order an engine has not answered yet. There is never more than one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenOrder {
    /// The order.
    pub key: OrderKey,
    /// What it asks for.
    pub kind: OrderKind,
    /// The asset to be loaded or unloaded; `None` for a claim.
    pub asset: Option<AssetKey>,
}

/// Models whose weights an engine has a copy of.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CopySet {
    /// In its host memory.
    pub memory: BTreeSet<AssetKey>,
    /// On its disk.
    pub disk: BTreeSet<AssetKey>,
}

impl CopySet {
    fn new(catalog: &InventoryCatalog, copies: &WeightCopies) -> Self {
        let known =
            |names: &[String]| names.iter().filter_map(|name| catalog.asset_named(name)).collect();
        Self { memory: known(&copies.in_memory), disk: known(&copies.on_disk) }
    }
}

/// What the leader knows of one engine.
#[derive(Debug, Clone, Default)]
pub struct EngineState {
    /// It has said what it holds since this term began, so `replicas` and `foreign` list all it
    /// can hold.
    pub claimed: bool,
    /// Orders it has accepted, where it counts them. Grows with each one that it accepts from this
    /// leader, so that an order which was overtaken is refused.
    pub sequence: Option<u64>,
    /// Replicas that it holds or may hold.
    pub replicas: BTreeMap<AssetKey, ReplicaEntry>,
    /// Replicas whose unload it has accepted and that it drops once nothing runs on them. All are
    /// in `replicas`, in the phase `Unloading`.
    pub leaving: BTreeSet<AssetKey>,
    /// Assets it holds that the configuration does not name, with their bytes.
    pub foreign: BTreeMap<String, u64>,
    /// Weights it has copies of, where it says.
    pub copies: CopySet,
    /// The order not answered yet.
    pub open: Option<OpenOrder>,
    /// An order that was not answered, to be sent again: until then it may still be carried out.
    pub lost: Option<(OrderKind, AssetKey)>,
    /// Grows with each lost order, so that an engine that checks tokens refuses it afterwards.
    pub term: u64,
    /// After a lost order no listing before this moment is final.
    pub settle_at: Option<Moment>,
    /// It was busy with something that `replicas` does not show when it last said what it holds:
    /// it may hold more by now, so nothing is loaded until it was seen at rest.
    pub unexplained: bool,
    /// Since when every listing said that it is busy; `None` when the last one did not.
    pub busy_since: Option<Moment>,
    /// When it last accepted an order, or said something new when asked.
    pub changed: Moment,
    /// When to claim it next.
    pub next_claim: Moment,
    /// No order about a model before this moment.
    pub next_order: Moment,
    /// Orders refused in a row because the engine was busy or not in the state expected.
    pub conflicts: u32,
    /// Claims and orders lost in a row.
    pub misses: u32,
}

impl EngineState {
    /// What a plan depends on: whether it is claimed and usable, and what it holds in which phase.
    pub fn summary(&self) -> (bool, bool, usize, Vec<(AssetKey, ReplicaPhase)>) {
        let phases = self.replicas.iter().map(|(asset, replica)| (*asset, replica.phase));
        (self.claimed, self.is_suspect(), self.foreign.len(), phases.collect())
    }

    /// Memory held or reserved, in bytes.
    pub fn reserved(&self) -> u64 {
        let replicas: u64 = self.replicas.values().map(|replica| replica.bytes).sum();
        replicas + self.foreign.values().sum::<u64>()
    }

    /// Memory that is reserved once the unloads under way have ended, in bytes.
    pub fn reserved_after_unloads(&self) -> u64 {
        let ending = |replica: &&ReplicaEntry| replica.phase == ReplicaPhase::Unloading;
        let freed: u64 = self.replicas.values().filter(ending).map(|replica| replica.bytes).sum();
        self.reserved() - freed
    }

    /// Whether it stopped answering.
    pub fn is_suspect(&self) -> bool {
        self.misses >= SUSPECT_MISSES
    }

    /// Whether a load or unload may be ordered now.
    pub fn takes_orders(&self) -> bool {
        let settled = self.settle_at.is_none() && self.lost.is_none();
        self.claimed && self.open.is_none() && settled && !self.unexplained && !self.is_suspect()
    }

    /// Whether it may hold `asset`.
    pub fn may_hold(&self, asset: AssetKey) -> bool {
        !self.claimed || self.replicas.contains_key(&asset)
    }

    /// Whether anything is being loaded.
    pub fn is_loading(&self) -> bool {
        self.replicas.values().any(|replica| is_coming(replica.phase))
    }

    /// Whether a model is being loaded: the engine then takes no other order about a model.
    pub fn is_loading_model(&self, catalog: &InventoryCatalog) -> bool {
        self.replicas.iter().any(|(asset, replica)| {
            let model = catalog.assets.get(*asset).is_none_or(|record| record.base.is_none());
            model && is_coming(replica.phase)
        })
    }

    /// Whether the unload of a model is under way.
    pub fn unloads_model(&self, catalog: &InventoryCatalog) -> bool {
        self.leaving
            .iter()
            .any(|asset| catalog.assets.get(*asset).is_none_or(|record| record.base.is_none()))
    }

    /// Adapters held, being loaded or being unloaded.
    pub fn adapters<'e>(
        &'e self,
        catalog: &'e InventoryCatalog,
    ) -> impl Iterator<Item = (AssetKey, &'e ReplicaEntry)> + 'e {
        let adapter = |asset: &AssetKey| {
            catalog.assets.get(*asset).is_some_and(|record| record.base.is_some())
        };
        let all = self.replicas.iter().filter(move |(asset, _)| adapter(asset));
        all.map(|(asset, replica)| (*asset, replica))
    }

    /// Whether an adapter on `base` is held or being loaded.
    pub fn has_adapters_of(&self, catalog: &InventoryCatalog, base: AssetKey) -> bool {
        let on_base = |asset: &AssetKey| {
            catalog.assets.get(*asset).is_some_and(|record| record.base == Some(base))
        };
        self.replicas.keys().any(on_base)
    }

    /// Replicas that become ready by `now`, as far as is known; marks them ready.
    pub fn mature(&mut self, now: Moment) -> Vec<AssetKey> {
        let mut ready = Vec::new();
        for (asset, replica) in &mut self.replicas {
            if matches!(replica.phase, ReplicaPhase::Loading(Some(due)) if due <= now) {
                replica.phase = ReplicaPhase::Ready;
                replica.since = now;
                ready.push(*asset);
                // A load leaves copies of the weights.
                self.copies.memory.insert(*asset);
                self.copies.disk.insert(*asset);
            }
        }
        ready
    }

    /// When the next replica is expected to become ready.
    pub fn next_ready(&self) -> Option<Moment> {
        self.replicas.values().filter_map(ReplicaEntry::due).min()
    }

    /// Takes in a final listing. Returns how long loads that have just ended took.
    pub fn apply_listing(
        &mut self,
        now: Moment,
        catalog: &InventoryCatalog,
        listing: &EngineListing,
    ) -> Vec<(AssetKey, Duration)> {
        self.claimed = true;
        self.misses = 0;
        self.settle_at = None;
        self.sequence = listing.sequence;
        if let Some(copies) = &listing.copies {
            self.copies = CopySet::new(catalog, copies);
        }
        self.lost = None;
        let leaving = std::mem::take(&mut self.leaving);
        let old = std::mem::take(&mut self.replicas);
        self.foreign.clear();
        let mut loads = Vec::new();
        for item in &listing.held {
            let Some(asset) = catalog.asset_named(&item.asset) else {
                self.foreign.insert(item.asset.clone(), item.bytes);
                continue;
            };
            let before = old.get(&asset).copied();
            // Engines at rest have ended the unloads of models, but not those of adapters in use.
            let goes_on = listing.busy || catalog.assets[asset].base.is_some();
            if let Some(before) = before
                && goes_on
                && leaving.contains(&asset)
            {
                self.leaving.insert(asset);
                self.replicas.insert(asset, before);
                continue;
            }
            let bytes = item.bytes.max(catalog.assets[asset].bytes);
            let entry = listed_entry(now, item.state, bytes, before);
            let was_loading =
                before.filter(|before| matches!(before.phase, ReplicaPhase::Loading(_)));
            if let (Some(before), ReplicaPhase::Ready) = (was_loading, entry.phase) {
                loads.push((asset, now.since(before.since)));
            }
            self.replicas.insert(asset, entry);
        }
        loads
    }

    /// Forgets what has been unloaded by the time that the engine accepts a load of a model: it
    /// takes one order about a model at a time. Adapters of models that stay may still be in use.
    pub fn end_model_unloads(&mut self, catalog: &InventoryCatalog) {
        let stays = |asset: &AssetKey| {
            let base = catalog.assets.get(*asset).and_then(|record| record.base);
            base.is_some_and(|base| !self.leaving.contains(&base))
        };
        let still: BTreeSet<AssetKey> = self.leaving.iter().copied().filter(stays).collect();
        for asset in self.leaving.difference(&still) {
            self.replicas.remove(asset);
        }
        self.leaving = still;
    }

    /// Takes in what the engine published of itself. That may be out of date by as long as the
    /// platform was away, so it only confirms loads; where it differs otherwise the engine is to be
    /// asked. Returns whether routers should be told something.
    pub fn apply_published(
        &mut self,
        now: Moment,
        catalog: &InventoryCatalog,
        listing: &EngineListing,
    ) -> bool {
        if let Some(copies) = &listing.copies {
            self.copies = CopySet::new(catalog, copies);
        }
        if !self.claimed {
            return false;
        }
        let held = listing.held.iter();
        let listed: BTreeSet<AssetKey> =
            held.filter_map(|item| catalog.asset_named(&item.asset)).collect();
        let mut confirmed = false;
        for (asset, replica) in &mut self.replicas {
            if listed.contains(asset) && matches!(replica.phase, ReplicaPhase::Loading(_)) {
                *replica = ReplicaEntry { phase: ReplicaPhase::Ready, since: now, ..*replica };
                confirmed = true;
            }
        }
        let settled = self.changed <= now.before(LISTING_LAG);
        if settled && !self.replicas.keys().eq(listed.iter()) {
            self.next_claim = self.next_claim.min(now);
        }
        confirmed
    }

    /// State of `asset` for routers; `None` when it is not there.
    pub fn published(&self, asset: AssetKey, accepts: bool) -> Option<ReplicaState> {
        let replica = self.replicas.get(&asset)?;
        let state = match replica.phase {
            ReplicaPhase::Ordered | ReplicaPhase::Loading(_) => ReplicaState::Loading,
            ReplicaPhase::Ready if accepts => ReplicaState::Ready,
            ReplicaPhase::Ready | ReplicaPhase::Retiring(_) | ReplicaPhase::Unloading => {
                ReplicaState::Retiring
            }
        };
        Some(state)
    }
}

/// Whether a replica in this phase is on its way.
pub fn is_coming(phase: ReplicaPhase) -> bool {
    matches!(phase, ReplicaPhase::Ordered | ReplicaPhase::Loading(_))
}

fn listed_entry(
    now: Moment,
    state: HeldState,
    bytes: u64,
    before: Option<ReplicaEntry>,
) -> ReplicaEntry {
    let phase = match (state, before.map(|entry| entry.phase)) {
        (HeldState::Ready, Some(ReplicaPhase::Retiring(due))) => ReplicaPhase::Retiring(due),
        (HeldState::Ready, _) => ReplicaPhase::Ready,
        (HeldState::Loading, Some(loading @ ReplicaPhase::Loading(_))) => loading,
        (HeldState::Loading, _) => ReplicaPhase::Loading(None),
    };
    let Some(entry) = before else {
        return ReplicaEntry { phase, bytes, since: now, used: now };
    };
    let goes_on = entry.phase == phase
        || entry.phase == ReplicaPhase::Ordered
        || (is_coming(entry.phase) && is_coming(phase));
    let since = if goes_on { entry.since } else { now };
    ReplicaEntry { phase, bytes: bytes.max(entry.bytes), since, used: entry.used }
}
