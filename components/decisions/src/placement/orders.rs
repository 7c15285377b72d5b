//! Orders to engines, and what their answers mean.

use std::time::Duration;

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::UpstreamKey;
use wagtailledge_inventory::catalog::UpstreamKind;

use crate::effect::HostEffect;
use crate::order::EngineOrder;
use crate::order::OrderKey;
use crate::order::OrderKind;
use crate::order::OrderOutcome;
use crate::order::fencing_token;
use crate::time::Moment;

use super::engine::EngineState;
use super::engine::OpenOrder;
use super::engine::ReplicaPhase;
use super::state::PlacementContext;
use super::state::PlacementState;

/// Pause before an engine that did not answer a claim is claimed again.
pub(super) const CLAIM_RETRY: Duration = Duration::from_millis(500);
/// Pause before a busy engine gets another order; doubles with each refusal in a row.
const BUSY_PAUSE: Duration = Duration::from_millis(25);
/// Refusals in a row after which an engine is asked what it holds.
const MAX_CONFLICTS: u32 = 4;
/// Allowance for the way of an order and for rounding in the expected time of a load.
pub(super) const LOAD_SLACK: Duration = Duration::from_millis(10);
/// Expected time of an adapter load until one was seen to take longer.
const ADAPTER_LOAD: Duration = Duration::from_millis(12);

impl PlacementState {
    /// Sends the claims that are due, and orders that were not answered once more.
    pub fn send_claims(&mut self, context: &mut PlacementContext<'_>) {
        let due: Vec<UpstreamKey> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.open.is_none() && engine.next_claim <= context.now)
            .filter(|(_, engine)| engine.settle_at.is_none_or(|settle| settle <= context.now))
            .map(|(key, _)| key)
            .collect();
        for key in due {
            self.order(context, key, None, OrderKind::Claim);
        }
        let unanswered: Vec<(UpstreamKey, OrderKind, AssetKey)> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.open.is_none() && !engine.is_suspect())
            .filter_map(|(key, engine)| {
                let (kind, asset) = engine.lost.clone()?;
                Some((key, kind, asset))
            })
            .collect();
        for (key, kind, asset) in unanswered {
            self.order(context, key, Some(asset), kind);
        }
    }

    /// Sends an order unless authority is missing. Returns whether it was handed to the shell.
    pub(super) fn order(
        &mut self,
        context: &mut PlacementContext<'_>,
        upstream: UpstreamKey,
        asset: Option<AssetKey>,
        kind: OrderKind,
    ) -> bool {
        let Some(valid_until) = context.valid_until else {
            return false;
        };
        let Some(engine) = self.engines.get_mut(upstream) else {
            return false;
        };
        let key = self.orders.insert(upstream);
        engine.open = Some(OpenOrder { key, kind: kind.clone(), asset });
        let token = fencing_token(self.epoch, engine.term);
        let expected = engine.sequence;
        let order = EngineOrder { key, upstream, token, expected, kind, valid_until };
        context.effects.push(HostEffect::Order(order));
        true
    }

    /// Takes in an engine's answer.
    pub fn answered(
        &mut self,
        context: &mut PlacementContext<'_>,
        key: OrderKey,
        outcome: OrderOutcome,
    ) {
        let Some(upstream) = self.orders.remove(key) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        let Some(open) = engine.open.take_if(|open| open.key == key) else {
            return;
        };
        let mut news = true;
        match outcome {
            OrderOutcome::Accepted(listing) | OrderOutcome::Refused(listing) => {
                let before = engine.summary();
                self.listed(context, upstream, &listing);
                let after = self.engines.get(upstream).map(EngineState::summary);
                news = open.asset.is_some() || after != Some(before);
            }
            OrderOutcome::Started => self.started(context, upstream, &open),
            OrderOutcome::Unchanged => self.unchanged(context, upstream, &open),
            OrderOutcome::Conflict => self.conflict(context, upstream, &open),
            OrderOutcome::StaleToken | OrderOutcome::Gone => {
                // Someone holds a larger token, or the engine is another one: nothing is known of
                // it any more.
                engine.claimed = false;
                engine.lost = None;
                engine.next_claim = context.now.after(CLAIM_RETRY);
                self.undo(context, upstream, &open);
            }
            OrderOutcome::NotSent => {
                let pause = context.now.after(CLAIM_RETRY);
                engine.next_order = pause;
                if !context.publishes(upstream) || open.asset.is_none() {
                    engine.next_claim = pause;
                }
                engine.misses += 1;
                self.undo(context, upstream, &open);
            }
            OrderOutcome::Lost => Self::lost(engine, context, upstream, open),
        }
        self.publish(context, upstream);
        if news {
            self.next_plan = context.now;
        }
    }

    /// The engine carries the order out, after everything that it accepted before.
    fn started(&mut self, context: &PlacementContext<'_>, upstream: UpstreamKey, open: &OpenOrder) {
        let Some(asset) = open.asset else {
            return;
        };
        let estimate = self.load_estimate(context, upstream, asset);
        let from_store = !self.has_copy(upstream, asset);
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        engine.answers(open);
        engine.sequence = engine.sequence.map(|sequence| sequence + 1);
        let now = context.now;
        engine.changed = now;
        match open.kind {
            OrderKind::Claim => {}
            OrderKind::LoadModel { .. } => {
                engine.end_model_unloads(context.catalog);
                let due = now.after(estimate);
                if from_store {
                    // How long it takes depends on the other loads: the engine is asked.
                    engine.set_phase(asset, now, ReplicaPhase::Loading(None));
                    engine.next_order = due.after(context.timing.loading_claim);
                    engine.next_claim = engine.next_order;
                } else {
                    engine.set_phase(asset, now, ReplicaPhase::Loading(Some(due)));
                }
            }
            OrderKind::LoadAdapter { .. } => {
                let due = now.after(ADAPTER_LOAD);
                engine.set_phase(asset, now, ReplicaPhase::Loading(Some(due)));
            }
            OrderKind::Unload { .. } => {
                engine.set_phase(asset, now, ReplicaPhase::Unloading);
                engine.leaving.insert(asset);
                // The adapters of a model go with it, and hold their places until then.
                for (other, replica) in &mut engine.replicas {
                    let record = context.catalog.assets.get(*other);
                    if record.is_some_and(|record| record.base == Some(asset)) {
                        replica.phase = ReplicaPhase::Unloading;
                        engine.leaving.insert(*other);
                    }
                }
            }
        }
    }

    /// How long the engine takes to load an asset, by where it finds the weights.
    pub(super) fn load_estimate(
        &self,
        context: &PlacementContext<'_>,
        upstream: UpstreamKey,
        asset: AssetKey,
    ) -> Duration {
        let Some(record) = context.catalog.assets.get(asset) else {
            return Duration::ZERO;
        };
        let Some(engine) = self.engines.get(upstream) else {
            return Duration::ZERO;
        };
        if record.base.is_some() {
            return ADAPTER_LOAD;
        }
        let known = if engine.copies.memory.contains(&asset) {
            record.loads.memory.0
        } else if engine.copies.disk.contains(&asset) {
            record.loads.disk.0
        } else {
            record.loads.store.0
        };
        let span = if known.is_zero() { self.expected_load(context.catalog) } else { known };
        span + LOAD_SLACK
    }

    /// What the order asks for holds already.
    fn unchanged(
        &mut self,
        context: &PlacementContext<'_>,
        upstream: UpstreamKey,
        open: &OpenOrder,
    ) {
        let (Some(engine), Some(asset)) = (self.engines.get_mut(upstream), open.asset) else {
            return;
        };
        engine.answers(open);
        engine.changed = context.now;
        match open.kind {
            OrderKind::Unload { .. } => {
                let adapter =
                    context.catalog.assets.get(asset).is_some_and(|record| record.base.is_some());
                // An idle adapter is unloaded at once; that counts as an order carried out.
                if adapter {
                    engine.sequence = engine.sequence.map(|sequence| sequence + 1);
                }
                engine.replicas.remove(&asset);
                engine.leaving.remove(&asset);
                if !adapter {
                    // What was believed of this engine was wrong: nothing is loaded on that belief.
                    engine.next_claim = context.now;
                }
            }
            _ => engine.set_phase(asset, context.now, ReplicaPhase::Ready),
        }
    }

    /// The engine was busy, or has accepted an order that this leader does not know of.
    fn conflict(
        &mut self,
        context: &PlacementContext<'_>,
        upstream: UpstreamKey,
        open: &OpenOrder,
    ) {
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        engine.misses = 0;
        engine.conflicts += 1;
        let busy = engine.replicas.values().any(|replica| {
            matches!(replica.phase, ReplicaPhase::Unloading | ReplicaPhase::Loading(_))
        });
        let doublings = engine.conflicts.min(MAX_CONFLICTS) - 1;
        engine.next_order = context.now.after(BUSY_PAUSE * 2u32.pow(doublings));
        if engine.lost.is_some() {
            // The lost order may be what it is busy with: only a listing tells.
            engine.next_claim = context.now;
            return;
        }
        if !busy || engine.conflicts >= MAX_CONFLICTS {
            engine.next_claim = context.now;
        }
        self.undo(context, upstream, open);
    }

    /// The order may still arrive: what it reserved stays until a listing by which it cannot.
    fn lost(
        engine: &mut EngineState,
        context: &PlacementContext<'_>,
        upstream: UpstreamKey,
        open: OpenOrder,
    ) {
        engine.misses += 1;
        let Some(asset) = open.asset else {
            engine.next_claim = context.now.after(CLAIM_RETRY);
            return;
        };
        if engine.sequence.is_some() {
            // Once the same order, or any other, is accepted the lost one no longer can be.
            engine.lost = Some((open.kind, asset));
            if engine.is_suspect() {
                engine.next_claim = context.now.after(CLAIM_RETRY);
            }
            return;
        }
        engine.next_claim = context.now.after(CLAIM_RETRY);
        engine.term += 1;
        let kind = context.catalog.upstreams.get(upstream).map(|record| record.kind);
        let checks = kind == Some(UpstreamKind::Engine { checks_tokens: true });
        let wait = if checks { Duration::ZERO } else { context.timing.order_lifetime };
        engine.settle_at = Some(context.now.after(wait));
    }

    /// An order that certainly had no effect leaves the replica as it was.
    fn undo(&mut self, context: &PlacementContext<'_>, upstream: UpstreamKey, open: &OpenOrder) {
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        let Some(asset) = open.asset else {
            return;
        };
        let Some(replica) = engine.replicas.get_mut(&asset) else {
            return;
        };
        match replica.phase {
            ReplicaPhase::Ordered => {
                engine.replicas.remove(&asset);
            }
            ReplicaPhase::Unloading => replica.phase = ReplicaPhase::Retiring(context.now),
            _ => {}
        }
    }
}

impl EngineState {
    /// Notes that it answered `open` and carries it out.
    fn answers(&mut self, open: &OpenOrder) {
        self.misses = 0;
        self.conflicts = 0;
        if self.lost.as_ref().is_some_and(|(kind, _)| *kind == open.kind) {
            self.lost = None;
        }
    }

    fn set_phase(&mut self, asset: AssetKey, now: Moment, phase: ReplicaPhase) {
        if let Some(replica) = self.replicas.get_mut(&asset) {
            replica.phase = phase;
            replica.since = now;
        }
    }
}
