//! Planning: which replicas to load and which to unload.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::UpstreamKey;
use wagtailledge_inventory::document::VersionState;

use crate::effect::DecisionKind;
use crate::order::OrderKind;
use crate::time::Moment;

use super::budget::LoadBudget;
use super::choose::PlaceChoice;
use super::demand::AssetDemand;
use super::demand::add_demand;
use super::engine::EngineState;
use super::engine::ReplicaEntry;
use super::engine::ReplicaPhase;
use super::engine::is_load_pending;
use super::state::PlacementContext;
use super::state::PlacementState;
use super::survey::PlacementSurvey;

/// Number of waiting requests that call for one more replica.
const WAITING_PER_REPLICA: u32 = 64;
/// A load that is expected to end within this time is not late, so no other replica is loaded
/// instead.
const LATE_AFTER: Duration = Duration::from_secs(2);
/// Shortest time between two plans while requests wait, unless a change calls for a plan at once.
const URGENT_PLAN_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two plans while no requests wait.
const IDLE_PLAN_INTERVAL: Duration = Duration::from_millis(500);

impl PlacementState {
    /// Sends due claims, and makes a plan and sends its orders if one is due.
    pub fn plan(&mut self, context: &mut PlacementContext<'_>) {
        self.finish_due_loads(context);
        self.send_claims(context);
        if context.now < self.next_plan_at || context.valid_until.is_none() {
            return;
        }
        let urgent = self.host_demand.has_any() || self.scope_demand.has_any();
        self.next_plan_at =
            context.now.after(if urgent { URGENT_PLAN_INTERVAL } else { IDLE_PLAN_INTERVAL });
        self.update_reachability(context);
        let oldest = context.now.before(context.timing.peer_timeout);
        self.host_demand.remove_received_before(oldest);
        self.scope_demand.remove_received_before(oldest);
        self.survey = PlacementSurvey::collect(self, context);
        self.summarize_all(context);
        let desired = self.desired_assets(context);
        self.retire_idle(context, &desired);
        self.unload_retired(context);
        self.unload_unknown_assets(context);
        self.load_desired(context, desired);
        self.scale_out(context);
        if std::mem::take(&mut self.publish_all_due) {
            self.publish_all(context);
        }
    }

    fn summarize_all(&mut self, context: &PlacementContext<'_>) {
        let keys: Vec<UpstreamKey> = self.engines.keys().collect();
        for key in keys {
            let summary = self.summarize(context, key);
            self.survey.put_summary(key, summary);
        }
    }

    /// Marks the replicas ready whose load is expected to have ended by now.
    fn finish_due_loads(&mut self, context: &mut PlacementContext<'_>) {
        let mut changed = Vec::new();
        for (key, engine) in &mut self.engines {
            if !engine.finish_due_loads(context.now).is_empty() {
                changed.push(key);
            }
        }
        for key in changed {
            self.next_plan_at = context.now;
            self.publish(context, key);
        }
    }

    /// When the next plan, claim or expected end of a load is due, if no event arrives earlier.
    pub fn next_due(&self) -> Moment {
        let load_ends = self.engines.values().filter_map(EngineState::next_load_end).min();
        let claims = self.engines.values().map(|engine| engine.next_claim_at).min();
        let earliest = load_ends.into_iter().chain(claims).min().unwrap_or(Moment(u64::MAX));
        earliest.min(self.next_plan_at)
    }

    /// Assets that should have replicas, with the demand of this scope's hosts and the demand that
    /// other scopes hand over.
    fn desired_assets(&self, context: &PlacementContext<'_>) -> BTreeMap<AssetKey, AssetDemand> {
        let mut desired = self.scope_demand.total(context.catalog);
        for (asset, demand) in self.host_demand.total(context.catalog) {
            add_demand(&mut desired, asset, demand);
        }
        self.add_configured(context, &mut desired);
        desired
    }

    /// Adds assets that need replicas without demand: those with a minimum number of replicas
    /// (`floor`), and rolling versions while another version of the model is loaded.
    fn add_configured(
        &self,
        context: &PlacementContext<'_>,
        desired: &mut BTreeMap<AssetKey, AssetDemand>,
    ) {
        let earliest_deadline = Moment(u64::MAX);
        for asset in context.catalog.always_desired() {
            let record = &context.catalog.assets[*asset];
            let versions = context.catalog.versions_of(&record.public_name).iter();
            let is_active =
                |other: &AssetKey| other != asset && self.survey.active_replicas(*other) > 0;
            let is_rolling_out =
                record.state == VersionState::Rolling && versions.into_iter().any(is_active);
            if record.floor > 0 || is_rolling_out {
                let demand = AssetDemand { waiting: 0, rank: record.rank, earliest_deadline };
                desired.entry(*asset).or_insert(demand);
            }
        }
    }

    /// The number of this scope's engines on which the asset may be resident.
    fn count_possible_replicas(&self, asset: AssetKey) -> usize {
        self.engines.values().filter(|engine| engine.may_hold(asset)).count()
    }

    /// Whether every replica of an asset is late: it is retiring or unloading, its load is expected
    /// to end more than `LATE_AFTER` from now, its load has an unknown end and began longer ago than
    /// that, or more requests wait for its engine than the engine's limit allows.
    fn are_replicas_late(&self, context: &PlacementContext<'_>, asset: AssetKey) -> bool {
        let limit = context.now.after(LATE_AFTER);
        let late = |(engine, replica): (UpstreamKey, &ReplicaEntry)| match replica.phase {
            _ if context.limits.exceeded.contains(&engine) => true,
            ReplicaPhase::Loading(Some(due)) => due > limit,
            ReplicaPhase::Loading(None) => replica.since.after(LATE_AFTER) < context.now,
            ReplicaPhase::Ordered | ReplicaPhase::Ready => false,
            ReplicaPhase::Retiring(_) | ReplicaPhase::Unloading => true,
        };
        let engines = self.engines.iter();
        engines.filter_map(|(key, engine)| Some((key, engine.replicas.get(&asset)?))).all(late)
    }

    fn load_desired(
        &mut self,
        context: &mut PlacementContext<'_>,
        desired: BTreeMap<AssetKey, AssetDemand>,
    ) {
        self.declined.clear();
        let mut desired: Vec<(AssetKey, AssetDemand)> = desired.into_iter().collect();
        desired.sort_by_key(|(asset, demand)| {
            let class = context.catalog.assets[*asset].rank;
            (class.min(demand.rank), demand.earliest_deadline, *asset)
        });
        self.next_store_load = self.most_requested_without_copy(context, &desired);
        for (asset, demand) in desired {
            if self.is_responsible(context, asset, demand.earliest_deadline) {
                self.load_if_below_target(context, asset, demand);
            }
        }
    }

    /// The model with the most waiting requests among those without a replica or a local copy.
    /// Loads from the weight store slow each other down, so a load for few requests must not delay
    /// one for many.
    fn most_requested_without_copy(
        &self,
        context: &PlacementContext<'_>,
        desired: &[(AssetKey, AssetDemand)],
    ) -> Option<AssetKey> {
        let copied = |asset: AssetKey| {
            self.engines
                .keys()
                .any(|engine| context.accepts_work(engine) && self.has_copy(engine, asset))
        };
        let lacking = desired.iter().filter(|(asset, demand)| {
            let is_model = context.catalog.assets[*asset].base.is_none();
            is_model
                && demand.waiting > 0
                && self.survey.active_replicas(*asset) == 0
                && !copied(*asset)
        });
        let first =
            lacking.max_by_key(|(_, demand)| (demand.waiting, Reverse(demand.earliest_deadline)));
        first.map(|(asset, _)| *asset)
    }

    fn load_if_below_target(
        &mut self,
        context: &mut PlacementContext<'_>,
        asset: AssetKey,
        demand: AssetDemand,
    ) {
        let record = &context.catalog.assets[asset];
        if record.state == VersionState::Retired {
            self.declined.insert(asset);
            return;
        }
        let min_replicas = if demand.waiting > 0 { record.floor.max(1) } else { record.floor };
        let rolling = u16::from(record.state == VersionState::Rolling);
        let extra = (demand.waiting / WAITING_PER_REPLICA) as usize;
        let desired = (usize::from(min_replicas.max(rolling)) + extra).min(usize::from(record.cap));
        let active = self.survey.active_replicas(asset);
        let late = demand.waiting > 0 && active > 0 && self.are_replicas_late(context, asset);
        if active >= desired && !late {
            return;
        }
        if self.count_possible_replicas(asset) >= usize::from(record.cap) {
            self.decline_at_cap(context, asset, active);
            return;
        }
        let urgent = demand.waiting > 0;
        let is_adapter = record.base.is_some();
        match self.choose_place(context, asset, urgent, 0.0) {
            // A further load of a model from the weight store would end even later.
            PlaceChoice::Room(engine, _) | PlaceChoice::Evict(engine, _)
                if late && !is_adapter && !self.has_copy(engine, asset) => {}
            PlaceChoice::Room(engine, others) => {
                self.order_load(context, asset, engine, others, "demand");
            }
            PlaceChoice::Evict(engine, victims) => {
                self.make_room(context, asset, engine, &victims, "demand");
            }
            PlaceChoice::BasesFull => self.add_base(context, asset),
            PlaceChoice::Unplaceable if active == 0 => {
                self.declined.insert(asset);
            }
            PlaceChoice::Wait | PlaceChoice::Unplaceable => {}
        }
    }

    /// Loads the base of an adapter on one more engine, because the engines with the base have no
    /// room for the adapter.
    fn add_base(&mut self, context: &mut PlacementContext<'_>, adapter: AssetKey) {
        let assets = &context.catalog.assets;
        let base = assets.get(adapter).and_then(|record| record.base);
        let Some((base, record)) = base.and_then(|base| Some((base, assets.get(base)?))) else {
            return;
        };
        if self.count_possible_replicas(base) >= usize::from(record.cap) {
            return;
        }
        match self.choose_place(context, base, true, 0.0) {
            PlaceChoice::Room(engine, others) => {
                self.order_load(context, base, engine, others, "no room for its adapter");
            }
            PlaceChoice::Evict(engine, victims) => {
                self.make_room(context, base, engine, &victims, "no room for its adapter");
            }
            PlaceChoice::Wait | PlaceChoice::BasesFull | PlaceChoice::Unplaceable => {}
        }
    }

    /// Declines an asset whose cap is used up by replicas that cannot serve, so that another scope
    /// places it. Shortly after a takeover, the cap also counts engines that have not reported yet,
    /// so the asset is not declined then.
    fn decline_at_cap(&mut self, context: &PlacementContext<'_>, asset: AssetKey, active: usize) {
        let engines_known = context.now >= self.started.after(context.timing.order_lifetime * 2);
        if active == 0 && engines_known {
            self.declined.insert(asset);
        }
    }

    /// Orders a load unless the load budget or the concurrency limits forbid it now.
    pub(super) fn order_load(
        &mut self,
        context: &mut PlacementContext<'_>,
        asset: AssetKey,
        upstream: UpstreamKey,
        others: usize,
        reason: &'static str,
    ) {
        let record = &context.catalog.assets[asset];
        let name = record.name.clone();
        let bytes = record.bytes;
        let base = record.base.and_then(|base| context.catalog.assets.get(base));
        let is_adapter = base.is_some();
        let (model_loads, adapter_loads) = self.count_loads(context);
        let kind = match base {
            Some(base) if adapter_loads < LoadBudget::max_adapter_loads(context.catalog) => {
                OrderKind::LoadAdapter { asset: name, base: base.name.clone(), bytes }
            }
            Some(_) => return,
            None => OrderKind::LoadModel { asset: name, bytes },
        };
        if !is_adapter && !self.has_copy(upstream, asset) {
            if model_loads >= self.budget.max_model_loads(context.catalog) {
                return;
            }
            if self.next_store_load.is_some_and(|next| next != asset) {
                return;
            }
            if !self.budget.try_start(context.now, context.catalog) {
                return;
            }
        }
        if !self.send_order(context, upstream, Some(asset), kind) {
            return;
        }
        let now = context.now;
        let entry = ReplicaEntry {
            phase: ReplicaPhase::Ordered,
            bytes,
            since: now,
            last_used: now,
            is_confirmed: false,
        };
        self.engines[upstream].replicas.insert(asset, entry);
        self.survey.add_replica(asset);
        self.update_summary(context, upstream);
        self.publish(context, upstream);
        context.log_decision(DecisionKind::Load, asset, upstream, reason, others);
    }

    /// Recomputes the summary of an engine after its replicas have changed.
    fn update_summary(&mut self, context: &PlacementContext<'_>, upstream: UpstreamKey) {
        let summary = self.summarize(context, upstream);
        self.survey.put_summary(upstream, summary);
    }

    /// Whether the engine has a local copy of the weights and can load them without the store.
    pub(super) fn has_copy(&self, upstream: UpstreamKey, asset: AssetKey) -> bool {
        self.known_engine(upstream).is_some_and(|engine| {
            engine.copies.memory.contains(&asset) || engine.copies.disk.contains(&asset)
        })
    }

    /// Counts the pending model loads from the weight store and the pending adapter loads.
    fn count_loads(&self, context: &PlacementContext<'_>) -> (usize, usize) {
        let mut counts = (0, 0);
        for (key, engine) in &self.engines {
            // Probably a load that a previous leader ordered.
            counts.0 += usize::from(engine.has_unexplained_work);
            for (asset, replica) in &engine.replicas {
                if !is_load_pending(replica.phase) {
                    continue;
                }
                let record = context.catalog.assets.get(*asset);
                match record.and_then(|record| record.base) {
                    Some(_) => counts.1 += 1,
                    None if !self.has_copy(key, *asset) => counts.0 += 1,
                    None => {}
                }
            }
        }
        counts
    }

    /// Retires the victims. A later plan orders the load once there is room.
    pub(super) fn make_room(
        &mut self,
        context: &mut PlacementContext<'_>,
        asset: AssetKey,
        upstream: UpstreamKey,
        victims: &[AssetKey],
        reason: &'static str,
    ) {
        for victim in victims {
            self.retire(context, *victim, upstream, "evicted");
        }
        if context.timing.retire_grace.is_zero() {
            self.unload_retired(context);
        }
        context.log_decision(DecisionKind::Load, asset, upstream, reason, victims.len());
    }

    /// Stops new requests to a replica, and schedules its unload after `retire_grace`.
    fn retire(
        &mut self,
        context: &mut PlacementContext<'_>,
        asset: AssetKey,
        upstream: UpstreamKey,
        reason: &'static str,
    ) {
        let due = context.now.after(context.timing.retire_grace);
        let Some(replica) = self.engines[upstream].replicas.get_mut(&asset) else {
            return;
        };
        replica.phase = ReplicaPhase::Retiring(due);
        replica.since = context.now;
        self.survey.remove_replica(asset);
        self.update_summary(context, upstream);
        self.publish(context, upstream);
        context.log_decision(DecisionKind::Unload, asset, upstream, reason, 0);
    }

    /// Retires replicas of retired versions, and those above the floor that were not used for
    /// `keep_alive`.
    fn retire_idle(
        &mut self,
        context: &mut PlacementContext<'_>,
        desired: &BTreeMap<AssetKey, AssetDemand>,
    ) {
        let idle_since = context.now.before(context.catalog.rules.keep_alive.0);
        let mut retiring = Vec::new();
        for (upstream, engine) in &self.engines {
            for (asset, replica) in &engine.replicas {
                let Some(record) = context.catalog.assets.get(*asset) else {
                    continue;
                };
                if replica.phase != ReplicaPhase::Ready {
                    continue;
                }
                let retired = record.state == VersionState::Retired;
                let idle = replica.last_used <= idle_since
                    && desired.get(asset).is_none_or(|demand| demand.waiting == 0)
                    && self.survey.active_replicas(*asset) > usize::from(record.floor);
                if (retired || idle) && !engine.has_adapters_of(context.catalog, *asset) {
                    let reason = if retired { "version retired" } else { "idle" };
                    retiring.push((*asset, upstream, reason));
                }
            }
        }
        for (asset, upstream, reason) in retiring {
            let floor = context.catalog.assets[asset].floor;
            if reason != "idle" || self.survey.active_replicas(asset) > usize::from(floor) {
                self.retire(context, asset, upstream, reason);
            }
        }
    }

    /// Sends the due unload orders of retiring replicas, at most one to each engine.
    fn unload_retired(&mut self, context: &mut PlacementContext<'_>) {
        let mut due = Vec::new();
        for (upstream, engine) in &self.engines {
            if !engine.accepts_orders() {
                continue;
            }
            let is_due = |replica: &ReplicaEntry| matches!(replica.phase, ReplicaPhase::Retiring(at) if at <= context.now);
            let model_orders_blocked =
                engine.next_order_at > context.now || engine.is_loading_model(context.catalog);
            let mut assets = engine.replicas.iter().filter(|(asset, replica)| {
                let is_model =
                    context.catalog.assets.get(**asset).is_none_or(|record| record.base.is_none());
                is_due(replica) && !(is_model && model_orders_blocked)
            });
            if let Some((asset, _)) = assets.next() {
                due.push((*asset, upstream));
            }
        }
        for (asset, upstream) in due {
            let Some(record) = context.catalog.assets.get(asset) else {
                continue;
            };
            let name = record.name.clone();
            if self.send_order(context, upstream, Some(asset), OrderKind::Unload { asset: name })
                && let Some(replica) = self.engines[upstream].replicas.get_mut(&asset)
            {
                replica.phase = ReplicaPhase::Unloading;
            }
            self.update_summary(context, upstream);
        }
    }

    /// Unloads assets that the configuration does not name, one at a time on each engine.
    fn unload_unknown_assets(&mut self, context: &mut PlacementContext<'_>) {
        let accepting = self.engines.iter().filter(|(_, engine)| engine.accepts_orders());
        let due: Vec<(UpstreamKey, String)> = accepting
            .filter_map(|(key, engine)| Some((key, engine.unknown_assets.keys().next()?.clone())))
            .collect();
        for (upstream, asset) in due {
            self.send_order(context, upstream, None, OrderKind::Unload { asset });
        }
    }
}
