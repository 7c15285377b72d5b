//! State of a scope's leader.

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
use crate::effect::DecisionNote;
use crate::effect::HostEffect;
use crate::membership::MemberDirectory;
use crate::message::ReplicaState;
use crate::order::EngineListing;
use crate::order::OrderKey;
use crate::routing::ReplicaView;
use crate::time::Moment;
use crate::timing::TimingRules;

use super::budget::LoadBudget;
use super::demand::DemandTable;
use super::engine::EngineState;
use super::reach::ScopeReach;
use super::survey::PlacementSurvey;
use super::usage::UsageTable;

/// Weight of the latest load in the expected load time, as a divisor.
const LOAD_TIME_WEIGHT: u32 = 4;

/// What the placement logic needs for one step.
#[derive(Debug)]
pub struct PlacementContext<'c> {
    /// Now.
    pub now: Moment,
    /// The leader's scope.
    pub scope: &'c str,
    /// Configuration in force.
    pub catalog: &'c InventoryCatalog,
    /// Hosts and upstreams known.
    pub members: &'c MemberDirectory,
    /// Durations.
    pub timing: &'c TimingRules,
    /// Placement of all scopes; this scope's part is written here.
    pub view: &'c mut ReplicaView,
    /// End of the authority to send orders; `None` when there is none now.
    pub valid_until: Option<Moment>,
    /// Where effects go.
    pub effects: &'c mut Vec<HostEffect>,
}

impl PlacementContext<'_> {
    /// Logs a placement decision.
    pub fn note(
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
        let note = DecisionNote { kind, ticket: None, subject, choice, reason, alternatives };
        self.effects.push(HostEffect::Note(note));
    }

    /// Whether the engine may get new work.
    pub fn accepts(&self, engine: UpstreamKey) -> bool {
        self.members.upstream_accepts(self.catalog, engine)
    }

    /// Whether the engine tells the platform what it holds, so that it need not be asked.
    pub fn publishes(&self, engine: UpstreamKey) -> bool {
        self.catalog.upstreams.get(engine).is_some_and(|record| record.registered)
    }
}

/// State of a scope's leader. Starts empty at each takeover.
#[derive(Debug, Clone)]
pub struct PlacementState {
    /// Epoch of the lease; the fencing token of all orders.
    pub epoch: u64,
    /// When the lease was taken.
    pub(super) started: Moment,
    pub(super) engines: SecondaryMap<UpstreamKey, EngineState>,
    /// Orders without an answer. Each is the open order of its engine.
    pub(super) orders: SlotMap<OrderKey, UpstreamKey>,
    /// Demand of this scope's hosts.
    pub hosts: DemandTable,
    /// Demand that other scopes hand on.
    pub scopes: DemandTable,
    /// How much each asset is asked for, everywhere.
    pub usage: UsageTable,
    /// Assets each other scope cannot place now.
    pub declined_by: BTreeMap<String, BTreeSet<AssetKey>>,
    /// What is known of the other scopes.
    pub(super) reach: BTreeMap<String, ScopeReach>,
    /// Assets this scope cannot place now.
    pub declined: BTreeSet<AssetKey>,
    pub(super) budget: LoadBudget,
    /// The model that may be loaded from the weight store next; `None` when any may.
    pub(super) store_turn: Option<AssetKey>,
    /// As of the last plan.
    pub(super) survey: PlacementSurvey,
    /// Engines came, went or changed since everything was last told to routers.
    pub(super) publish_due: bool,
    /// Expected duration of a model load, from those seen; `None` before the first.
    load_time: Option<Duration>,
    pub(super) next_plan: Moment,
}

impl PlacementState {
    /// Starts a term as leader.
    pub fn new(now: Moment, epoch: u64) -> Self {
        Self {
            epoch,
            started: now,
            engines: SecondaryMap::new(),
            orders: SlotMap::with_key(),
            hosts: DemandTable::default(),
            scopes: DemandTable::default(),
            usage: UsageTable::default(),
            declined_by: BTreeMap::new(),
            reach: BTreeMap::new(),
            declined: BTreeSet::new(),
            budget: LoadBudget::spent(now),
            store_turn: None,
            survey: PlacementSurvey::default(),
            publish_due: true,
            load_time: None,
            next_plan: now,
        }
    }

    /// Expected duration of a model load.
    pub fn expected_load(&self, catalog: &InventoryCatalog) -> Duration {
        self.load_time.unwrap_or(catalog.rules.expected_load.0)
    }

    pub(super) fn learn_load_time(&mut self, took: Duration) {
        let old = self.load_time.unwrap_or(took);
        self.load_time = Some(old.saturating_sub(old / LOAD_TIME_WEIGHT) + took / LOAD_TIME_WEIGHT);
    }

    /// Plans at the next opportunity.
    pub fn next_plan_now(&mut self) {
        self.next_plan = Moment::default();
    }

    /// Notes that `asset` was used just now somewhere: `requests` times since it was last told,
    /// with `tokens` of prompts.
    pub fn used(
        &mut self,
        context: &PlacementContext<'_>,
        asset: AssetKey,
        requests: u32,
        tokens: u64,
    ) {
        let base = context.catalog.assets.get(asset).and_then(|record| record.base);
        for key in [Some(asset), base].into_iter().flatten() {
            self.usage.add(context.now, key, requests, tokens);
            for (upstream, _) in context.view.held(key) {
                let engine = self.engines.get_mut(*upstream);
                if let Some(replica) = engine.and_then(|engine| engine.replicas.get_mut(&key)) {
                    replica.used = context.now;
                }
            }
        }
    }

    /// Claims an engine soon because its state was not what a router expected.
    pub fn suspect(&mut self, now: Moment, upstream: UpstreamKey) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.next_claim = engine.next_claim.min(now);
        }
    }

    /// Follows the configuration and the host list: engines come and go.
    pub fn follow_inventory(&mut self, context: &PlacementContext<'_>) {
        let catalog = context.catalog;
        let stays = |key: UpstreamKey| {
            let inside =
                catalog.upstreams.get(key).is_some_and(|record| record.scope == context.scope);
            inside && context.members.upstream_exists(catalog, key)
        };
        self.engines.retain(|key, _| stays(key));
        self.usage.retain(|asset| catalog.assets.contains_key(asset));
        for key in catalog.engines_in(context.scope) {
            if stays(key) && !self.engines.contains_key(key) {
                let next_claim = self.first_claim(context, key);
                self.engines.insert(key, EngineState { next_claim, ..EngineState::default() });
            }
        }
        self.refresh_names(catalog);
        self.publish_due = true;
    }

    /// An engine that ignores tokens is first claimed once no order of a predecessor can arrive.
    fn first_claim(&self, context: &PlacementContext<'_>, key: UpstreamKey) -> Moment {
        match context.catalog.upstreams[key].kind {
            UpstreamKind::Engine { checks_tokens: false } => {
                self.started.after(context.timing.order_lifetime)
            }
            _ => context.now,
        }
    }

    /// Replicas whose asset left the configuration count as foreign from then on.
    fn refresh_names(&mut self, catalog: &InventoryCatalog) {
        for engine in self.engines.values_mut() {
            let gone = engine.replicas.keys().any(|asset| !catalog.assets.contains_key(*asset));
            if gone {
                // The next listing names what is held; until then nothing more is loaded there.
                engine.claimed = false;
                engine.next_claim = Moment::default();
            }
        }
    }

    /// Takes in what an engine published of itself.
    pub fn published(
        &mut self,
        context: &mut PlacementContext<'_>,
        upstream: UpstreamKey,
        listing: &EngineListing,
    ) {
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        if engine.apply_published(context.now, context.catalog, listing) {
            self.next_plan = context.now;
        }
        self.publish(context, upstream);
    }

    /// Writes what one engine holds into the view for routers.
    pub(super) fn publish(&self, context: &mut PlacementContext<'_>, upstream: UpstreamKey) {
        let accepts = context.accepts(upstream);
        let Some(engine) = self.engines.get(upstream) else {
            return;
        };
        for asset in context.view.own_assets_at(upstream) {
            if !engine.replicas.contains_key(&asset) && engine.claimed {
                context.view.put_own(asset, upstream, None);
            }
        }
        let assets: Vec<AssetKey> = engine.replicas.keys().copied().collect();
        for asset in assets {
            let state = engine.published(asset, accepts && !engine.is_suspect());
            context.view.put_own(asset, upstream, state);
        }
    }

    /// Writes everything into the view, and takes out what is no longer there.
    pub fn publish_all(&self, context: &mut PlacementContext<'_>) {
        for ((asset, upstream), _) in context.view.own_rows() {
            let engine = self.engines.get(upstream);
            // Until the first listing the predecessor's word is the best there is for routers.
            let stands = engine.is_some_and(|engine| !engine.claimed || engine.may_hold(asset));
            if !stands {
                context.view.put_own(asset, upstream, None);
            }
        }
        for (upstream, engine) in &self.engines {
            if engine.claimed {
                self.publish(context, upstream);
            } else if !context.accepts(upstream) {
                Self::retire_rows(context, upstream);
            }
        }
    }

    fn retire_rows(context: &mut PlacementContext<'_>, upstream: UpstreamKey) {
        for asset in context.view.own_assets_at(upstream) {
            context.view.put_own(asset, upstream, Some(ReplicaState::Retiring));
        }
    }

    /// Memory held or reserved and memory there is, in bytes, over all engines.
    pub fn memory(&self, catalog: &InventoryCatalog) -> (u64, u64) {
        let mut sums = (0, 0);
        for (key, engine) in &self.engines {
            sums.0 += engine.reserved();
            sums.1 += catalog.upstreams.get(key).map_or(0, |record| record.memory_bytes);
        }
        sums
    }
}
