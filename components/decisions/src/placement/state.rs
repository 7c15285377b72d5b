//! Placement state of a scope's leader.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::SecondaryMap;
use slotmap::SlotMap;
use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::InventoryCatalog;
use wagtailledge_inventory::UpstreamKey;
use wagtailledge_inventory::catalog::UpstreamKind;

use crate::effect::DecisionKind;
use crate::effect::DecisionRecord;
use crate::effect::HostEffect;
use crate::limits::LimitPressure;
use crate::membership::MemberDirectory;
use crate::message::ReplicaState;
use crate::order::EngineReport;
use crate::order::OrderKey;
use crate::routing::ReplicaView;
use crate::time::Moment;
use crate::timing::TimingRules;

use super::budget::LoadBudget;
use super::demand::DemandTable;
use super::engine::EngineState;
use super::scopes::ScopeReachability;
use super::survey::PlacementSurvey;
use super::usage::UsageTable;

/// Divisor of the moving average of load times: the latest load has a weight of 1/4.
const LOAD_TIME_DIVISOR: u32 = 4;

/// Inputs and outputs of the placement logic for one event.
#[derive(Debug)]
pub struct PlacementContext<'c> {
    /// Current time.
    pub now: Moment,
    /// Scope of this leader.
    pub scope: &'c str,
    /// Configuration in force.
    pub catalog: &'c InventoryCatalog,
    /// Known hosts and upstreams, with their availability.
    pub members: &'c MemberDirectory,
    /// Timeouts and intervals of the deployment.
    pub timing: &'c TimingRules,
    /// Replica table of all scopes, as published to entry hosts; the leader writes the rows of its
    /// own scope.
    pub view: &'c mut ReplicaView,
    /// Upstreams with limits on requests.
    pub limits: &'c LimitPressure,
    /// When the leader's authority to send orders ends; `None` if it has none now.
    pub valid_until: Option<Moment>,
    /// Effects to be executed by the runtime, in order.
    pub effects: &'c mut Vec<HostEffect>,
}

impl PlacementContext<'_> {
    /// Logs a placement decision; `alternatives` counts the other options.
    pub fn log_decision(
        &mut self,
        kind: DecisionKind,
        asset: AssetKey,
        engine: UpstreamKey,
        reason: &'static str,
        alternatives: usize,
    ) {
        let subject = self.catalog.assets.get(asset).map_or("", |record| &record.name).to_owned();
        let choice =
            self.catalog.upstreams.get(engine).map_or("", |record| &record.name).to_owned();
        let record = DecisionRecord {
            kind,
            ticket: None,
            subject,
            choice,
            reason,
            alternatives,
            inputs: String::new(),
        };
        self.effects.push(HostEffect::LogDecision(record));
    }

    /// Whether the engine accepts new replicas and requests.
    pub fn accepts_work(&self, engine: UpstreamKey) -> bool {
        self.members.upstream_accepts(self.catalog, engine)
    }

    /// Whether the engine reports to the platform's registry and needs no periodic claims.
    pub fn is_registered(&self, engine: UpstreamKey) -> bool {
        self.catalog.upstreams.get(engine).is_some_and(|record| record.registered)
    }
}

/// Placement state of a scope's leader. Starts empty at each takeover.
#[derive(Debug, Clone)]
pub struct PlacementState {
    /// Epoch of the lease; the high part of the fencing token of all orders.
    pub epoch: u64,
    /// When this leader's term began.
    pub(super) started: Moment,
    pub(super) engines: SecondaryMap<UpstreamKey, EngineState>,
    /// Engines whose entries are missing. What they accepted still holds if they return.
    pub(super) departed: SecondaryMap<UpstreamKey, EngineState>,
    /// Pending orders, at most one for each engine.
    pub(super) orders: SlotMap<OrderKey, UpstreamKey>,
    /// Demand reported by this scope's hosts.
    pub host_demand: DemandTable,
    /// Demand handed over by the leaders of other scopes.
    pub scope_demand: DemandTable,
    /// Request rates of assets, from the reports of all scopes.
    pub usage: UsageTable,
    /// Assets that each other scope cannot place now.
    pub declined_by: BTreeMap<String, BTreeSet<AssetKey>>,
    /// Reachability of each other scope.
    pub(super) scope_reachability: BTreeMap<String, ScopeReachability>,
    /// Assets that this scope cannot place now, as of the last plan.
    pub declined: BTreeSet<AssetKey>,
    /// Limits of loads from the weight store.
    pub(super) budget: LoadBudget,
    /// The only model that may be loaded from the weight store next; `None` if any may.
    pub(super) next_store_load: Option<AssetKey>,
    /// Snapshot of the last plan.
    pub(super) survey: PlacementSurvey,
    /// Whether engines were added, removed or changed since all rows were last published.
    pub(super) publish_all_due: bool,
    /// Moving average of observed model load times; `None` before the first.
    average_load_time: Option<Duration>,
    /// When the next plan is due.
    pub(super) next_plan_at: Moment,
}

impl PlacementState {
    /// The initial state of a leader whose term begins at `now`.
    pub fn new(now: Moment, epoch: u64) -> Self {
        Self {
            epoch,
            started: now,
            engines: SecondaryMap::new(),
            departed: SecondaryMap::new(),
            orders: SlotMap::with_key(),
            host_demand: DemandTable::default(),
            scope_demand: DemandTable::default(),
            usage: UsageTable::default(),
            declined_by: BTreeMap::new(),
            scope_reachability: BTreeMap::new(),
            declined: BTreeSet::new(),
            budget: LoadBudget::exhausted(now),
            next_store_load: None,
            survey: PlacementSurvey::default(),
            publish_all_due: true,
            average_load_time: None,
            next_plan_at: now,
        }
    }

    /// Expected duration of a model load: the observed average, or else the configured one.
    pub fn expected_load(&self, catalog: &InventoryCatalog) -> Duration {
        self.average_load_time.unwrap_or(catalog.rules.expected_load.0)
    }

    pub(super) fn record_load_time(&mut self, took: Duration) {
        let old = self.average_load_time.unwrap_or(took);
        self.average_load_time =
            Some(old.saturating_sub(old / LOAD_TIME_DIVISOR) + took / LOAD_TIME_DIVISOR);
    }

    /// Makes the next plan due at once.
    pub fn schedule_plan(&mut self) {
        self.next_plan_at = Moment::default();
    }

    /// Records the use of `asset`: `requests` requests with `tokens` prompt tokens in total since
    /// the sender's last report. Use of an adapter also counts as use of its base.
    pub fn record_usage(
        &mut self,
        context: &PlacementContext<'_>,
        asset: AssetKey,
        requests: u32,
        tokens: u64,
    ) {
        let base = context.catalog.assets.get(asset).and_then(|record| record.base);
        for key in [Some(asset), base].into_iter().flatten() {
            self.usage.add(context.now, key, requests, tokens);
            for (upstream, _) in context.view.replicas_of(key) {
                let engine = self.engines.get_mut(*upstream);
                if let Some(replica) = engine.and_then(|engine| engine.replicas.get_mut(&key)) {
                    replica.last_used = context.now;
                }
            }
        }
    }

    /// Makes a claim of the engine due at once, because it may have failed or lost assets.
    pub fn schedule_claim(&mut self, now: Moment, upstream: UpstreamKey) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.next_claim_at = engine.next_claim_at.min(now);
        }
    }

    /// Adds and removes engines to match the configuration and the member list.
    pub fn update_engines(&mut self, context: &PlacementContext<'_>) {
        let catalog = context.catalog;
        let exists = |key: UpstreamKey| {
            let in_scope =
                catalog.upstreams.get(key).is_some_and(|record| record.scope == context.scope);
            in_scope && context.members.upstream_exists(catalog, key)
        };
        let missing: Vec<UpstreamKey> = self.engines.keys().filter(|key| !exists(*key)).collect();
        for key in missing {
            if let Some(engine) = self.engines.remove(key) {
                self.departed.insert(key, engine);
            }
        }
        self.departed.retain(|key, _| catalog.has_process(key));
        self.usage.retain(|asset| catalog.assets.contains_key(asset));
        for key in catalog.engines_in(context.scope) {
            if exists(key) && !self.engines.contains_key(key) {
                let next_claim_at = self.first_claim(context, key);
                let engine = self.departed.remove(key).unwrap_or_default();
                self.engines.insert(key, engine.returned(next_claim_at));
            }
        }
        self.invalidate_claims(catalog);
        self.publish_all_due = true;
    }

    /// State of an engine, also if its entry is missing.
    pub(super) fn known_engine(&self, key: UpstreamKey) -> Option<&EngineState> {
        self.engines.get(key).or_else(|| self.departed.get(key))
    }

    /// State of an engine, also if its entry is missing.
    pub(super) fn known_engine_mut(&mut self, key: UpstreamKey) -> Option<&mut EngineState> {
        self.engines.get_mut(key).or_else(|| self.departed.get_mut(key))
    }

    /// When to claim a new engine first. An engine that ignores fencing tokens is not claimed
    /// before all orders of a previous leader have expired.
    fn first_claim(&self, context: &PlacementContext<'_>, key: UpstreamKey) -> Moment {
        match context.catalog.upstreams[key].kind {
            UpstreamKind::Engine { checks_tokens: false } => {
                self.started.after(context.timing.order_lifetime)
            }
            _ => context.now,
        }
    }

    /// Invalidates the claims of engines with a replica whose asset was removed from the
    /// configuration. The engine's next report adds that asset to `unknown_assets`.
    fn invalidate_claims(&mut self, catalog: &InventoryCatalog) {
        for engine in self.engines.values_mut() {
            let has_removed_asset =
                engine.replicas.keys().any(|asset| !catalog.assets.contains_key(*asset));
            if has_removed_asset {
                // Nothing more is loaded there until the next report.
                engine.claimed = false;
                engine.next_claim_at = Moment::default();
            }
        }
    }

    /// Applies a report that an engine published to the platform's registry.
    pub fn apply_registry_report(
        &mut self,
        context: &mut PlacementContext<'_>,
        upstream: UpstreamKey,
        report: &EngineReport,
    ) {
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        if engine.apply_registry_report(context.now, context.catalog, report) {
            self.next_plan_at = context.now;
        }
        self.publish(context, upstream);
    }

    /// Publishes the replicas of one engine to entry hosts.
    pub(super) fn publish(&self, context: &mut PlacementContext<'_>, upstream: UpstreamKey) {
        let accepts = context.accepts_work(upstream);
        let Some(engine) = self.engines.get(upstream) else {
            return;
        };
        for asset in context.view.own_assets_at(upstream) {
            if !engine.replicas.contains_key(&asset) && engine.claimed {
                context.view.put_own(asset, upstream, None);
            }
        }
        // Replicas of removed assets count for memory only.
        let assets =
            engine.replicas.keys().filter(|key| context.catalog.assets.contains_key(**key));
        let assets: Vec<AssetKey> = assets.copied().collect();
        for asset in assets {
            let state = engine.published_state(asset, accepts && !engine.is_unresponsive());
            context.view.put_own(asset, upstream, state);
        }
    }

    /// Publishes the replicas of all engines to entry hosts, and removes rows that are no longer
    /// valid.
    pub fn publish_all(&self, context: &mut PlacementContext<'_>) {
        for ((asset, upstream), _) in context.view.own_rows() {
            let engine = self.engines.get(upstream);
            // Until an engine's first report, the rows of the previous leader are used.
            let is_valid = engine.is_some_and(|engine| !engine.claimed || engine.may_hold(asset));
            if !is_valid {
                context.view.put_own(asset, upstream, None);
            }
        }
        for (upstream, engine) in &self.engines {
            if engine.claimed {
                self.publish(context, upstream);
            } else if !context.accepts_work(upstream) {
                Self::mark_rows_retiring(context, upstream);
            }
        }
    }

    /// Publishes all rows of an engine as retiring, so that it gets no new requests.
    fn mark_rows_retiring(context: &mut PlacementContext<'_>, upstream: UpstreamKey) {
        for asset in context.view.own_assets_at(upstream) {
            context.view.put_own(asset, upstream, Some(ReplicaState::Retiring));
        }
    }

    /// Reserved memory and total memory of all engines, in bytes.
    pub fn memory_use(&self, catalog: &InventoryCatalog) -> (u64, u64) {
        let mut sums = (0, 0);
        for (key, engine) in &self.engines {
            sums.0 += engine.reserved_bytes();
            sums.1 += catalog.upstreams.get(key).map_or(0, |record| record.memory_bytes);
        }
        sums
    }
}
