//! Which replicas to load and which to unload.

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
use super::engine::is_coming;
use super::state::PlacementContext;
use super::state::PlacementState;
use super::survey::PlacementSurvey;

/// Waiting requests that one more replica is worth.
const WAITING_PER_REPLICA: u32 = 64;
/// A replica that comes within this time is waited for.
const SOON: Duration = Duration::from_secs(2);
/// Least time between two plans while something waits.
const PLAN_PAUSE: Duration = Duration::from_millis(20);
/// Time between two plans while nothing waits.
const IDLE_PLAN: Duration = Duration::from_millis(500);

impl PlacementState {
    /// Plans and sends orders, if it is time to.
    pub fn plan(&mut self, context: &mut PlacementContext<'_>) {
        self.mature(context);
        self.send_claims(context);
        if context.now < self.next_plan || context.valid_until.is_none() {
            return;
        }
        let urgent = self.hosts.has_any() || self.scopes.has_any();
        self.next_plan = context.now.after(if urgent { PLAN_PAUSE } else { IDLE_PLAN });
        self.update_reach(context);
        let oldest = context.now.before(context.timing.peer_timeout);
        self.hosts.forget_before(oldest);
        self.scopes.forget_before(oldest);
        self.survey = PlacementSurvey::take(self, context);
        self.summarize_all(context);
        let wanted = self.wanted(context);
        self.retire_idle(context, &wanted);
        self.unload_retired(context);
        self.unload_foreign(context);
        self.load_wanted(context, wanted);
        self.grow_replicas(context);
        if std::mem::take(&mut self.publish_due) {
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

    /// Marks replicas ready whose load has ended by now.
    fn mature(&mut self, context: &mut PlacementContext<'_>) {
        let mut changed = Vec::new();
        for (key, engine) in &mut self.engines {
            if !engine.mature(context.now).is_empty() {
                changed.push(key);
            }
        }
        for key in changed {
            self.next_plan = context.now;
            self.publish(context, key);
        }
    }

    /// When something is to be done next, if no event comes before.
    pub fn next_due(&self) -> Moment {
        let ready = self.engines.values().filter_map(EngineState::next_ready).min();
        let claims = self.engines.values().map(|engine| engine.next_claim).min();
        let earliest = ready.into_iter().chain(claims).min().unwrap_or(Moment(u64::MAX));
        earliest.min(self.next_plan)
    }

    /// Demand that this scope should meet: its own and what others hand on.
    fn wanted(&self, context: &PlacementContext<'_>) -> BTreeMap<AssetKey, AssetDemand> {
        let mut wanted = self.scopes.total(context.catalog);
        for (asset, demand) in self.hosts.total(context.catalog) {
            add_demand(&mut wanted, asset, demand);
        }
        self.add_standing(context, &mut wanted);
        wanted
    }

    /// Floors are wanted without demand; a rolling version beside the pinned one it is to replace.
    fn add_standing(
        &self,
        context: &PlacementContext<'_>,
        wanted: &mut BTreeMap<AssetKey, AssetDemand>,
    ) {
        let earliest = Moment(u64::MAX);
        for asset in context.catalog.standing() {
            let record = &context.catalog.assets[*asset];
            let versions = context.catalog.versions_of(&record.public_name).iter();
            let replaces = |other: &AssetKey| other != asset && self.survey.useful(*other) > 0;
            let rolls = record.state == VersionState::Rolling && versions.into_iter().any(replaces);
            if record.floor > 0 || rolls {
                let demand = AssetDemand { waiting: 0, rank: record.rank, earliest };
                wanted.entry(*asset).or_insert(demand);
            }
        }
    }

    /// Replicas that may exist here.
    fn possible(&self, asset: AssetKey) -> usize {
        self.engines.values().filter(|engine| engine.may_hold(asset)).count()
    }

    /// Whether all replicas of an asset are on their way and none comes soon.
    fn is_late(&self, context: &PlacementContext<'_>, asset: AssetKey) -> bool {
        let soon = context.now.after(SOON);
        let late = |replica: &ReplicaEntry| match replica.phase {
            ReplicaPhase::Loading(Some(due)) => due > soon,
            ReplicaPhase::Loading(None) => replica.since.after(SOON) < context.now,
            ReplicaPhase::Ordered | ReplicaPhase::Ready => false,
            ReplicaPhase::Retiring(_) | ReplicaPhase::Unloading => true,
        };
        self.engines.values().filter_map(|engine| engine.replicas.get(&asset)).all(late)
    }

    fn load_wanted(
        &mut self,
        context: &mut PlacementContext<'_>,
        wanted: BTreeMap<AssetKey, AssetDemand>,
    ) {
        self.declined.clear();
        let mut wanted: Vec<(AssetKey, AssetDemand)> = wanted.into_iter().collect();
        wanted.sort_by_key(|(asset, demand)| {
            let class = context.catalog.assets[*asset].rank;
            (class.min(demand.rank), demand.earliest, *asset)
        });
        self.store_turn = self.most_wanted_without_copy(context, &wanted);
        for (asset, demand) in wanted {
            if self.is_responsible(context, asset, demand.earliest) {
                self.load_if_short(context, asset, demand);
            }
        }
    }

    /// The model without any replica or copy that most requests wait for. Loads from the weight
    /// store hold each other up, so one that few wait for must not delay one that many wait for.
    fn most_wanted_without_copy(
        &self,
        context: &PlacementContext<'_>,
        wanted: &[(AssetKey, AssetDemand)],
    ) -> Option<AssetKey> {
        let copied = |asset: AssetKey| {
            self.engines
                .keys()
                .any(|engine| context.accepts(engine) && self.has_copy(engine, asset))
        };
        let lacking = wanted.iter().filter(|(asset, demand)| {
            let model = context.catalog.assets[*asset].base.is_none();
            model && demand.waiting > 0 && self.survey.useful(*asset) == 0 && !copied(*asset)
        });
        let first = lacking.max_by_key(|(_, demand)| (demand.waiting, Reverse(demand.earliest)));
        first.map(|(asset, _)| *asset)
    }

    fn load_if_short(
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
        let least = if demand.waiting > 0 { record.floor.max(1) } else { record.floor };
        let rolling = u16::from(record.state == VersionState::Rolling);
        let extra = (demand.waiting / WAITING_PER_REPLICA) as usize;
        let desired = (usize::from(least.max(rolling)) + extra).min(usize::from(record.cap));
        let useful = self.survey.useful(asset);
        let late = demand.waiting > 0 && useful > 0 && self.is_late(context, asset);
        if useful >= desired && !late {
            return;
        }
        if self.possible(asset) >= usize::from(record.cap) {
            self.decline_unless_pending(context, asset, useful);
            return;
        }
        let urgent = demand.waiting > 0;
        match self.choose_place(context, asset, urgent, 0.0) {
            // Another load from the weight store would end even later.
            PlaceChoice::Room(engine, _) | PlaceChoice::Evict(engine, _)
                if late && !self.has_copy(engine, asset) => {}
            PlaceChoice::Room(engine, others) => {
                self.load(context, asset, engine, others, "demand");
            }
            PlaceChoice::Evict(engine, victims) => {
                self.swap(context, asset, engine, &victims, "demand");
            }
            PlaceChoice::Crowded => self.add_base(context, asset),
            PlaceChoice::Nowhere if useful == 0 => {
                self.declined.insert(asset);
            }
            PlaceChoice::Wait | PlaceChoice::Nowhere => {}
        }
    }

    /// Loads the base of an adapter at one more engine, as those that hold it are full.
    fn add_base(&mut self, context: &mut PlacementContext<'_>, adapter: AssetKey) {
        let Some(base) = context.catalog.assets[adapter].base else {
            return;
        };
        if self.possible(base) >= usize::from(context.catalog.assets[base].cap) {
            return;
        }
        match self.choose_place(context, base, true, 0.0) {
            PlaceChoice::Room(engine, others) => {
                self.load(context, base, engine, others, "no room for its adapter");
            }
            PlaceChoice::Evict(engine, victims) => {
                self.swap(context, base, engine, &victims, "no room for its adapter");
            }
            PlaceChoice::Wait | PlaceChoice::Crowded | PlaceChoice::Nowhere => {}
        }
    }

    /// The cap is used up by replicas that cannot serve: another scope should help out.
    fn decline_unless_pending(
        &mut self,
        context: &PlacementContext<'_>,
        asset: AssetKey,
        useful: usize,
    ) {
        let settled = context.now >= self.started.after(context.timing.order_lifetime * 2);
        if useful == 0 && settled {
            self.declined.insert(asset);
        }
    }

    pub(super) fn load(
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
        let adapter = base.is_some();
        let (models, adapters) = self.loading(context);
        let kind = match base {
            Some(base) if adapters < LoadBudget::adapters(context.catalog) => {
                OrderKind::LoadAdapter { asset: name, base: base.name.clone(), bytes }
            }
            Some(_) => return,
            None => OrderKind::LoadModel { asset: name, bytes },
        };
        if !adapter && !self.has_copy(upstream, asset) {
            if models >= self.budget.concurrent(context.catalog) {
                return;
            }
            if self.store_turn.is_some_and(|turn| turn != asset) {
                return;
            }
            if !self.budget.take(context.now, context.catalog) {
                return;
            }
        }
        if !self.order(context, upstream, Some(asset), kind) {
            return;
        }
        let now = context.now;
        let entry = ReplicaEntry { phase: ReplicaPhase::Ordered, bytes, since: now, used: now };
        self.engines[upstream].replicas.insert(asset, entry);
        self.survey.added(asset);
        self.resummarize(context, upstream);
        self.publish(context, upstream);
        context.note(DecisionKind::Load, asset, upstream, reason, others);
    }

    /// Sums up an engine anew after an order to it.
    fn resummarize(&mut self, context: &PlacementContext<'_>, upstream: UpstreamKey) {
        let summary = self.summarize(context, upstream);
        self.survey.put_summary(upstream, summary);
    }

    /// Whether the engine can load the asset without the weight store.
    pub(super) fn has_copy(&self, upstream: UpstreamKey, asset: AssetKey) -> bool {
        self.engines.get(upstream).is_some_and(|engine| {
            engine.copies.memory.contains(&asset) || engine.copies.disk.contains(&asset)
        })
    }

    /// Model loads from the weight store and adapter loads under way in this scope.
    fn loading(&self, context: &PlacementContext<'_>) -> (usize, usize) {
        let mut counts = (0, 0);
        for (key, engine) in &self.engines {
            // Probably a load for a predecessor.
            counts.0 += usize::from(engine.unexplained);
            for (asset, replica) in &engine.replicas {
                if !is_coming(replica.phase) {
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

    /// Makes room and loads as soon as that is done.
    pub(super) fn swap(
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
        context.note(DecisionKind::Load, asset, upstream, reason, victims.len());
    }

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
        self.survey.removed(asset);
        self.resummarize(context, upstream);
        self.publish(context, upstream);
        context.note(DecisionKind::Unload, asset, upstream, reason, 0);
    }

    /// Retires replicas that nobody used for the time that the rules keep them.
    fn retire_idle(
        &mut self,
        context: &mut PlacementContext<'_>,
        wanted: &BTreeMap<AssetKey, AssetDemand>,
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
                let idle = replica.used <= idle_since
                    && wanted.get(asset).is_none_or(|demand| demand.waiting == 0)
                    && self.survey.useful(*asset) > usize::from(record.floor);
                if (retired || idle) && !engine.has_adapters_of(context.catalog, *asset) {
                    let reason = if retired { "version retired" } else { "idle" };
                    retiring.push((*asset, upstream, reason));
                }
            }
        }
        for (asset, upstream, reason) in retiring {
            let floor = context.catalog.assets[asset].floor;
            if reason != "idle" || self.survey.useful(asset) > usize::from(floor) {
                self.retire(context, asset, upstream, reason);
            }
        }
    }

    fn unload_retired(&mut self, context: &mut PlacementContext<'_>) {
        let mut due = Vec::new();
        for (upstream, engine) in &self.engines {
            if !engine.takes_orders() {
                continue;
            }
            let ready = |replica: &ReplicaEntry| matches!(replica.phase, ReplicaPhase::Retiring(at) if at <= context.now);
            let waits = engine.next_order > context.now || engine.is_loading_model(context.catalog);
            let mut assets = engine.replicas.iter().filter(|(asset, replica)| {
                let model =
                    context.catalog.assets.get(**asset).is_none_or(|record| record.base.is_none());
                ready(replica) && !(model && waits)
            });
            if let Some((asset, _)) = assets.next() {
                due.push((*asset, upstream));
            }
        }
        for (asset, upstream) in due {
            let name = context.catalog.assets[asset].name.clone();
            if self.order(context, upstream, Some(asset), OrderKind::Unload { asset: name })
                && let Some(replica) = self.engines[upstream].replicas.get_mut(&asset)
            {
                replica.phase = ReplicaPhase::Unloading;
            }
            self.resummarize(context, upstream);
        }
    }

    fn unload_foreign(&mut self, context: &mut PlacementContext<'_>) {
        let takes = self.engines.iter().filter(|(_, engine)| engine.takes_orders());
        let due: Vec<(UpstreamKey, String)> = takes
            .filter_map(|(key, engine)| Some((key, engine.foreign.keys().next()?.clone())))
            .collect();
        for (upstream, asset) in due {
            self.order(context, upstream, None, OrderKind::Unload { asset });
        }
    }
}
