//! The last known state of one engine.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::InventoryCatalog;

use crate::message::ReplicaState;
use crate::order::EngineReport;
use crate::order::OrderKey;
use crate::order::OrderKind;
use crate::order::ResidentState;
use crate::order::WeightCopies;
use crate::time::Moment;

/// Consecutive unanswered claims and orders after which an engine is not used until it answers.
const UNRESPONSIVE_AFTER_MISSES: u32 = 2;
/// Maximum age of the state that a report in the platform's registry describes.
pub const REGISTRY_REPORT_AGE: Duration = Duration::from_secs(3);

/// Lifecycle phase of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaPhase {
    /// Its load order may have been sent.
    Ordered,
    /// The engine is loading it, with the expected end if known.
    Loading(Option<Moment>),
    /// It serves requests.
    Ready,
    /// Published as retiring, so that it gets no new requests; the unload order is due at the given
    /// moment.
    Retiring(Moment),
    /// Its unload order may have been sent.
    Unloading,
}

/// One replica on one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaEntry {
    /// Lifecycle phase.
    pub phase: ReplicaPhase,
    /// Memory reserved for it, in bytes.
    pub bytes: u64,
    /// When it entered this phase; while it is loading, when the load was ordered or accepted.
    pub since: Moment,
    /// When a request last used it; initially when it was ordered or first reported.
    pub last_used: Moment,
    /// Whether the engine has said since its load was ordered that it is loaded.
    pub is_confirmed: bool,
}

impl ReplicaEntry {
    /// When its load is expected to end; `None` if unknown or not loading.
    pub fn expected_ready(&self) -> Option<Moment> {
        match self.phase {
            ReplicaPhase::Loading(due) => due,
            _ => None,
        }
    }
}

/// The order that an engine has not answered yet. An engine has at most one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenOrder {
    /// Identifies the order.
    pub key: OrderKey,
    /// The requested operation.
    pub kind: OrderKind,
    /// The asset to be loaded or unloaded; `None` for a claim and for the unload of an asset that
    /// the configuration does not name.
    pub asset: Option<AssetKey>,
}

/// Models whose weights an engine has a local copy of.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CopySet {
    /// Copies in its host memory.
    pub memory: BTreeSet<AssetKey>,
    /// Copies on its disk.
    pub disk: BTreeSet<AssetKey>,
}

impl CopySet {
    fn new(catalog: &InventoryCatalog, copies: &WeightCopies) -> Self {
        let known =
            |names: &[String]| names.iter().filter_map(|name| catalog.asset_named(name)).collect();
        Self { memory: known(&copies.in_memory), disk: known(&copies.on_disk) }
    }
}

/// The last known state of one engine.
#[derive(Debug, Clone, Default)]
pub struct EngineState {
    /// Whether it has reported its resident assets in this leader's term, so that `replicas` and
    /// `unknown_assets` are complete.
    pub claimed: bool,
    /// Number of orders that it has accepted, if it counts them. Sent with each order as the
    /// expected number, so that the engine refuses an order that was overtaken by another.
    pub sequence: Option<u64>,
    /// Replicas that are or may be resident.
    pub replicas: BTreeMap<AssetKey, ReplicaEntry>,
    /// Replicas whose unload it has accepted and that it drops once no request runs on them. All
    /// are in `replicas`, in the phase `Unloading`.
    pub accepted_unloads: BTreeSet<AssetKey>,
    /// Resident assets that the configuration does not name, with their size in bytes.
    pub unknown_assets: BTreeMap<String, u64>,
    /// Its copies of weights; empty if it does not report them.
    pub copies: CopySet,
    /// The order that it has not answered yet.
    pub open_order: Option<OpenOrder>,
    /// An order that got no answer and is sent again: the lost one may still be carried out until
    /// the engine accepts an order or reports its resident assets.
    pub lost_order: Option<(OrderKind, AssetKey)>,
    /// Low part of the fencing token. Incremented after a lost order, so that an engine that checks
    /// tokens refuses the lost one from then on.
    pub fencing_term: u64,
    /// Set after a lost order that the engine may still carry out. No claim is sent before this
    /// moment, because that order could make the report obsolete.
    pub uncertain_until: Option<Moment>,
    /// Whether its last report showed it busy with something other than an order that this leader
    /// knows it accepted. Its free memory is unknown then, so nothing is loaded there until a report
    /// shows the engine idle.
    pub has_unexplained_work: bool,
    /// Set if `sequence` may be one too high until the next report, because an answer did not say
    /// whether the engine counted the order.
    pub is_sequence_uncertain: bool,
    /// Since when every report has shown it busy; `None` if the last one did not.
    pub busy_since: Option<Moment>,
    /// When it last accepted an order, or answered that the requested state was already reached.
    pub last_change: Moment,
    /// When the next claim is due.
    pub next_claim_at: Moment,
    /// Earliest time for the next load or unload of a model.
    pub next_order_at: Moment,
    /// Consecutive orders refused because the engine was busy or had accepted an unexpected order.
    pub conflicts: u32,
    /// Consecutive claims and orders without an answer.
    pub misses: u32,
}

impl EngineState {
    /// The state with which an engine goes on whose entry returned: what it accepted still holds, and
    /// nothing is ordered there before its next report.
    #[must_use]
    pub fn returned(self, next_claim_at: Moment) -> Self {
        Self { claimed: false, misses: 0, conflicts: 0, next_claim_at, ..self }
    }

    /// The state that a plan depends on: claimed, unresponsive, unknown assets, and replica phases.
    pub fn plan_inputs(&self) -> (bool, bool, usize, Vec<(AssetKey, ReplicaPhase)>) {
        let phases = self.replicas.iter().map(|(asset, replica)| (*asset, replica.phase));
        (self.claimed, self.is_unresponsive(), self.unknown_assets.len(), phases.collect())
    }

    /// Memory of resident and ordered replicas and of unknown assets, in bytes.
    pub fn reserved_bytes(&self) -> u64 {
        let replicas: u64 = self.replicas.values().map(|replica| replica.bytes).sum();
        replicas + self.unknown_assets.values().sum::<u64>()
    }

    /// Memory that stays reserved once the unload in progress has ended, in bytes. The engine accepts
    /// no load of a model before that. An adapter in use does not keep it from accepting one, so the
    /// adapter's memory is not free before a report no longer lists it.
    pub fn reserved_bytes_after_unloads(&self, catalog: &InventoryCatalog) -> u64 {
        let base_of = |asset| catalog.assets.get(asset).and_then(|record| record.base);
        let is_unloading = |asset| {
            let replica: Option<&ReplicaEntry> = self.replicas.get(&asset);
            replica.is_some_and(|replica| replica.phase == ReplicaPhase::Unloading)
        };
        let is_freed = |asset: AssetKey| {
            let keeps_memory = self.accepted_unloads.contains(&asset)
                && base_of(asset).is_some_and(|base| !is_unloading(base));
            is_unloading(asset) && !keeps_memory
        };
        let freed = self.replicas.iter().filter(|(asset, _)| is_freed(**asset));
        self.reserved_bytes() - freed.map(|(_, replica)| replica.bytes).sum::<u64>()
    }

    /// Whether it has stopped answering.
    pub fn is_unresponsive(&self) -> bool {
        self.misses >= UNRESPONSIVE_AFTER_MISSES
    }

    /// Whether a load or unload may be sent now.
    pub fn accepts_orders(&self) -> bool {
        let no_lost_order = self.uncertain_until.is_none() && self.lost_order.is_none();
        self.claimed
            && self.open_order.is_none()
            && no_lost_order
            && !self.has_unexplained_work
            && !self.is_unresponsive()
    }

    /// Whether `asset` may be resident. True for every asset until the engine is claimed.
    pub fn may_hold(&self, asset: AssetKey) -> bool {
        !self.claimed || self.replicas.contains_key(&asset)
    }

    /// Whether any load is pending.
    pub fn is_loading(&self) -> bool {
        self.replicas.values().any(|replica| is_load_pending(replica.phase))
    }

    /// Whether a model load is pending: the engine then accepts no other load or unload of a model.
    pub fn is_loading_model(&self, catalog: &InventoryCatalog) -> bool {
        self.replicas.iter().any(|(asset, replica)| {
            let is_model = catalog.assets.get(*asset).is_none_or(|record| record.base.is_none());
            is_model && is_load_pending(replica.phase)
        })
    }

    /// Whether it is carrying out the unload of a model.
    pub fn is_unloading_model(&self, catalog: &InventoryCatalog) -> bool {
        self.accepted_unloads
            .iter()
            .any(|asset| catalog.assets.get(*asset).is_none_or(|record| record.base.is_none()))
    }

    /// Adapter replicas in any phase.
    pub fn adapters<'e>(
        &'e self,
        catalog: &'e InventoryCatalog,
    ) -> impl Iterator<Item = (AssetKey, &'e ReplicaEntry)> + 'e {
        let is_adapter = |asset: &AssetKey| {
            catalog.assets.get(*asset).is_some_and(|record| record.base.is_some())
        };
        let all = self.replicas.iter().filter(move |(asset, _)| is_adapter(asset));
        all.map(|(asset, replica)| (*asset, replica))
    }

    /// Whether it has a replica, in any phase, of an adapter on `base`.
    pub fn has_adapters_of(&self, catalog: &InventoryCatalog, base: AssetKey) -> bool {
        let on_base = |asset: &AssetKey| {
            catalog.assets.get(*asset).is_some_and(|record| record.base == Some(base))
        };
        self.replicas.keys().any(on_base)
    }

    /// Marks the replicas ready whose load is expected to have ended by `now`, and returns them.
    pub fn finish_due_loads(&mut self, now: Moment) -> Vec<AssetKey> {
        let mut ready = Vec::new();
        for (asset, replica) in &mut self.replicas {
            if matches!(replica.phase, ReplicaPhase::Loading(Some(due)) if due <= now) {
                replica.phase = ReplicaPhase::Ready;
                replica.since = now;
                ready.push(*asset);
                // The engine keeps copies of the weights that it has loaded.
                self.copies.memory.insert(*asset);
                self.copies.disk.insert(*asset);
            }
        }
        ready
    }

    /// The earliest expected end of a load.
    pub fn next_load_end(&self) -> Option<Moment> {
        self.replicas.values().filter_map(ReplicaEntry::expected_ready).min()
    }

    /// Applies a report in answer to an order, which replaces the last known state. Returns the
    /// durations of the loads that it shows to have ended.
    pub fn apply_report(
        &mut self,
        now: Moment,
        catalog: &InventoryCatalog,
        report: &EngineReport,
    ) -> Vec<(AssetKey, Duration)> {
        self.claimed = true;
        self.misses = 0;
        self.uncertain_until = None;
        self.sequence = report.sequence;
        self.is_sequence_uncertain = false;
        if let Some(copies) = &report.copies {
            self.copies = CopySet::new(catalog, copies);
        }
        self.lost_order = None;
        let accepted_unloads = std::mem::take(&mut self.accepted_unloads);
        let old = std::mem::take(&mut self.replicas);
        self.unknown_assets.clear();
        let mut loads = Vec::new();
        for item in &report.resident {
            let Some(asset) = catalog.asset_named(&item.asset) else {
                self.unknown_assets.insert(item.asset.clone(), item.bytes);
                continue;
            };
            let before = old.get(&asset).copied();
            // An idle engine has ended all unloads of models, but not those of adapters in use.
            let is_still_unloading = report.busy || catalog.assets[asset].base.is_some();
            if let Some(before) = before
                && is_still_unloading
                && accepted_unloads.contains(&asset)
            {
                self.accepted_unloads.insert(asset);
                self.replicas.insert(asset, before);
                continue;
            }
            let bytes = item.bytes.max(catalog.assets[asset].bytes);
            let entry = reported_entry(now, item.state, bytes, before);
            let was_loading =
                before.filter(|before| matches!(before.phase, ReplicaPhase::Loading(_)));
            if let (Some(before), ReplicaPhase::Ready) = (was_loading, entry.phase) {
                loads.push((asset, now.since(before.since)));
            }
            self.replicas.insert(asset, entry);
        }
        loads
    }

    /// Removes the accepted unloads that must have ended when the engine accepts a load of a model,
    /// since it carries out one load or unload of a model at a time. Adapters on other models may
    /// still be in use.
    pub fn finish_model_unloads(&mut self, catalog: &InventoryCatalog) {
        let stays = |asset: &AssetKey| {
            let base = catalog.assets.get(*asset).and_then(|record| record.base);
            base.is_some_and(|base| !self.accepted_unloads.contains(&base))
        };
        let remaining: BTreeSet<AssetKey> =
            self.accepted_unloads.iter().copied().filter(stays).collect();
        for asset in self.accepted_unloads.difference(&remaining) {
            self.replicas.remove(asset);
        }
        self.accepted_unloads = remaining;
    }

    /// Applies a report that the engine published to the platform's registry. It may be outdated by
    /// as long as the platform was unreachable, so it only confirms loads. Any other difference
    /// makes a claim due. Returns whether a load was confirmed.
    pub fn apply_registry_report(
        &mut self,
        now: Moment,
        catalog: &InventoryCatalog,
        report: &EngineReport,
    ) -> bool {
        if let Some(copies) = &report.copies {
            self.copies = CopySet::new(catalog, copies);
        }
        if !self.claimed {
            return false;
        }
        let resident = report.resident.iter();
        let reported: BTreeSet<AssetKey> =
            resident.filter_map(|item| catalog.asset_named(&item.asset)).collect();
        let mut confirmed = false;
        for (asset, replica) in &mut self.replicas {
            if reported.contains(asset) && matches!(replica.phase, ReplicaPhase::Loading(_)) {
                *replica = ReplicaEntry { phase: ReplicaPhase::Ready, since: now, ..*replica };
                confirmed = true;
            }
        }
        let is_current = self.last_change <= now.before(REGISTRY_REPORT_AGE);
        if is_current && !self.replicas.keys().eq(reported.iter()) {
            self.next_claim_at = self.next_claim_at.min(now);
        }
        confirmed
    }

    /// State of `asset` to publish to entry hosts; `None` if there is no replica. `accepts` is
    /// set if the engine accepts new requests.
    pub fn published_state(&self, asset: AssetKey, accepts: bool) -> Option<ReplicaState> {
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

/// Whether the load of a replica in this phase is ordered or in progress.
pub fn is_load_pending(phase: ReplicaPhase) -> bool {
    matches!(phase, ReplicaPhase::Ordered | ReplicaPhase::Loading(_))
}

/// The entry for a reported replica, based on the entry `before` the report.
fn reported_entry(
    now: Moment,
    state: ResidentState,
    bytes: u64,
    before: Option<ReplicaEntry>,
) -> ReplicaEntry {
    let phase = match (state, before.map(|entry| entry.phase)) {
        (ResidentState::Ready, Some(ReplicaPhase::Retiring(due))) => ReplicaPhase::Retiring(due),
        (ResidentState::Ready, _) => ReplicaPhase::Ready,
        (ResidentState::Loading, Some(loading @ ReplicaPhase::Loading(_))) => loading,
        (ResidentState::Loading, _) => ReplicaPhase::Loading(None),
    };
    let is_confirmed = state == ResidentState::Ready;
    let Some(entry) = before else {
        return ReplicaEntry { phase, bytes, since: now, last_used: now, is_confirmed };
    };
    let same_step = entry.phase == phase
        || entry.phase == ReplicaPhase::Ordered
        || (is_load_pending(entry.phase) && is_load_pending(phase));
    let since = if same_step { entry.since } else { now };
    let bytes = bytes.max(entry.bytes);
    ReplicaEntry { phase, bytes, since, last_used: entry.last_used, is_confirmed }
}
