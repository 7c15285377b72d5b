//! Sending orders to engines and applying their outcomes.

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

/// Retry delay after a claim or order that was lost, was not sent or was refused for its token.
pub(super) const CLAIM_RETRY: Duration = Duration::from_millis(500);
/// Initial retry delay of orders to a busy engine; doubles with each consecutive conflict.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Consecutive conflicts after which an engine is claimed.
const MAX_CONFLICTS: u32 = 4;
/// Added to the expected duration of a load for the transmission of the order and for rounding.
pub(super) const LOAD_TIME_MARGIN: Duration = Duration::from_millis(10);
/// Expected duration of an adapter load.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(12);

impl PlacementState {
    /// Sends the claims that are due, and sends lost orders again.
    pub fn send_claims(&mut self, context: &mut PlacementContext<'_>) {
        let due: Vec<UpstreamKey> = self
            .engines
            .iter()
            .filter(|(_, engine)| {
                engine.open_order.is_none() && engine.next_claim_at <= context.now
            })
            .filter(|(_, engine)| engine.uncertain_until.is_none_or(|until| until <= context.now))
            .map(|(key, _)| key)
            .collect();
        for key in due {
            self.send_order(context, key, None, OrderKind::Claim);
        }
        let unanswered: Vec<(UpstreamKey, OrderKind, AssetKey)> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.open_order.is_none() && !engine.is_unresponsive())
            // After a conflict, only a report can show whether the lost order was carried out.
            .filter(|(_, engine)| engine.conflicts == 0)
            .filter_map(|(key, engine)| {
                let (kind, asset) = engine.lost_order.clone()?;
                Some((key, kind, asset))
            })
            .collect();
        for (key, kind, asset) in unanswered {
            self.send_order(context, key, Some(asset), kind);
        }
    }

    /// Passes an order to the runtime, if this leader has the authority. Returns whether it did.
    pub(super) fn send_order(
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
        engine.open_order = Some(OpenOrder { key, kind: kind.clone(), asset });
        let token = fencing_token(self.epoch, engine.fencing_term);
        let expected = engine.sequence;
        let order = EngineOrder { key, upstream, token, expected, kind, valid_until };
        context.effects.push(HostEffect::Order(order));
        true
    }

    /// Applies the outcome of an order, also if the entry of its engine is missing by now. Outcomes of
    /// orders that are no longer open are ignored.
    pub fn apply_outcome(
        &mut self,
        context: &mut PlacementContext<'_>,
        key: OrderKey,
        outcome: OrderOutcome,
    ) {
        let Some(upstream) = self.orders.remove(key) else {
            return;
        };
        let Some(engine) = self.known_engine_mut(upstream) else {
            return;
        };
        let Some(open) = engine.open_order.take_if(|open| open.key == key) else {
            return;
        };
        let mut state_changed = true;
        match outcome {
            OrderOutcome::Accepted(report) | OrderOutcome::Refused(report) => {
                let before = engine.plan_inputs();
                self.apply_report(context, upstream, &report);
                let after = self.known_engine(upstream).map(EngineState::plan_inputs);
                state_changed = open.asset.is_some() || after != Some(before);
            }
            OrderOutcome::Started => self.apply_started(context, upstream, &open),
            OrderOutcome::Unchanged => self.apply_unchanged(context, upstream, &open),
            OrderOutcome::Conflict => self.apply_conflict(context, upstream, &open),
            OrderOutcome::StaleToken | OrderOutcome::Gone => {
                // Another leader has a larger token, or the address belongs to another upstream.
                engine.claimed = false;
                engine.lost_order = None;
                engine.next_claim_at = context.now.after(CLAIM_RETRY);
                self.revert_order(context, upstream, &open);
            }
            OrderOutcome::NotSent => {
                let retry_at = context.now.after(CLAIM_RETRY);
                engine.next_order_at = retry_at;
                if !context.is_registered(upstream) || open.asset.is_none() {
                    engine.next_claim_at = retry_at;
                }
                engine.misses += 1;
                self.revert_order(context, upstream, &open);
            }
            OrderOutcome::Lost => Self::apply_lost(engine, context, upstream, open),
        }
        self.publish(context, upstream);
        if state_changed {
            self.next_plan_at = context.now;
        }
    }

    /// The engine accepted the order and carries it out after all orders accepted before it.
    fn apply_started(
        &mut self,
        context: &PlacementContext<'_>,
        upstream: UpstreamKey,
        open: &OpenOrder,
    ) {
        let Some(asset) = open.asset else {
            return;
        };
        let estimate = self.load_estimate(context, upstream, asset);
        let from_store = !self.has_copy(upstream, asset);
        let Some(engine) = self.known_engine_mut(upstream) else {
            return;
        };
        engine.record_answer(open);
        engine.sequence = engine.sequence.map(|sequence| sequence + 1);
        let now = context.now;
        engine.last_change = now;
        match open.kind {
            OrderKind::Claim => {}
            OrderKind::LoadModel { .. } => {
                engine.finish_model_unloads(context.catalog);
                let due = now.after(estimate);
                if from_store {
                    // The duration depends on other loads from the weight store, so the engine is
                    // claimed to learn when the load has ended.
                    engine.set_phase(asset, now, ReplicaPhase::Loading(None));
                    engine.next_order_at = due.after(context.timing.loading_claim);
                    engine.next_claim_at = engine.next_order_at;
                } else {
                    engine.set_phase(asset, now, ReplicaPhase::Loading(Some(due)));
                }
            }
            OrderKind::LoadAdapter { .. } => {
                let due = now.after(ADAPTER_LOAD_TIME);
                engine.set_phase(asset, now, ReplicaPhase::Loading(Some(due)));
            }
            OrderKind::Unload { .. } => {
                engine.set_phase(asset, now, ReplicaPhase::Unloading);
                engine.accepted_unloads.insert(asset);
                // The adapters of a model are unloaded with it, and keep their memory until then.
                for (other, replica) in &mut engine.replicas {
                    let record = context.catalog.assets.get(*other);
                    if record.is_some_and(|record| record.base == Some(asset)) {
                        replica.phase = ReplicaPhase::Unloading;
                        engine.accepted_unloads.insert(*other);
                    }
                }
            }
        }
    }

    /// Expected duration of a load, by whether the engine has the weights in memory, on disk or
    /// only in the weight store.
    pub(super) fn load_estimate(
        &self,
        context: &PlacementContext<'_>,
        upstream: UpstreamKey,
        asset: AssetKey,
    ) -> Duration {
        let Some(record) = context.catalog.assets.get(asset) else {
            return Duration::ZERO;
        };
        let Some(engine) = self.known_engine(upstream) else {
            return Duration::ZERO;
        };
        if record.base.is_some() {
            return ADAPTER_LOAD_TIME;
        }
        let known = if engine.copies.memory.contains(&asset) {
            record.loads.memory.0
        } else if engine.copies.disk.contains(&asset) {
            record.loads.disk.0
        } else {
            record.loads.store.0
        };
        let load_time = if known.is_zero() { self.expected_load(context.catalog) } else { known };
        load_time + LOAD_TIME_MARGIN
    }

    /// The engine already was in the requested state.
    fn apply_unchanged(
        &mut self,
        context: &PlacementContext<'_>,
        upstream: UpstreamKey,
        open: &OpenOrder,
    ) {
        let (Some(engine), Some(asset)) = (self.known_engine_mut(upstream), open.asset) else {
            return;
        };
        engine.record_answer(open);
        engine.last_change = context.now;
        if !matches!(open.kind, OrderKind::Unload { .. }) {
            engine.set_phase(asset, context.now, ReplicaPhase::Ready);
            if let Some(replica) = engine.replicas.get_mut(&asset) {
                replica.is_confirmed = true;
            }
            return;
        }
        let adapter = context.catalog.assets.get(asset).is_some_and(|record| record.base.is_some());
        // An idle adapter is unloaded at once; the engine counts that as an order.
        if adapter {
            engine.sequence = engine.sequence.map(|sequence| sequence + 1);
            // One that was gone already is answered in the same way, and not counted.
            engine.is_sequence_uncertain = true;
        }
        engine.replicas.remove(&asset);
        engine.accepted_unloads.remove(&asset);
        if !adapter {
            // The last known state was wrong, so the engine is claimed before it is used.
            engine.next_claim_at = context.now;
        }
    }

    /// The engine was busy, or has accepted an order that this leader does not know.
    fn apply_conflict(
        &mut self,
        context: &PlacementContext<'_>,
        upstream: UpstreamKey,
        open: &OpenOrder,
    ) {
        let Some(engine) = self.known_engine_mut(upstream) else {
            return;
        };
        engine.misses = 0;
        engine.conflicts += 1;
        let busy = engine.replicas.values().any(|replica| {
            matches!(replica.phase, ReplicaPhase::Unloading | ReplicaPhase::Loading(_))
        });
        let doublings = engine.conflicts.min(MAX_CONFLICTS) - 1;
        engine.next_order_at = context.now.after(BUSY_RETRY_DELAY * 2u32.pow(doublings));
        if engine.lost_order.is_some() {
            // It may be busy with the lost order, which only a report can show.
            engine.next_claim_at = engine.next_order_at;
            return;
        }
        if !busy || engine.conflicts >= MAX_CONFLICTS {
            engine.next_claim_at = context.now;
        }
        self.revert_order(context, upstream, open);
    }

    /// The order may still arrive, so its memory stays reserved until a report rules that out.
    fn apply_lost(
        engine: &mut EngineState,
        context: &PlacementContext<'_>,
        upstream: UpstreamKey,
        open: OpenOrder,
    ) {
        engine.misses += 1;
        let Some(asset) = open.asset else {
            engine.next_claim_at = context.now.after(CLAIM_RETRY);
            return;
        };
        if engine.sequence.is_some() {
            // Accepting any order changes the sequence, after which the lost one is refused.
            engine.lost_order = Some((open.kind, asset));
            if engine.is_unresponsive() {
                engine.next_claim_at = context.now.after(CLAIM_RETRY);
            }
            return;
        }
        engine.next_claim_at = context.now.after(CLAIM_RETRY);
        engine.fencing_term += 1;
        let kind = context.catalog.upstreams.get(upstream).map(|record| record.kind);
        let checks = kind == Some(UpstreamKind::Engine { checks_tokens: true });
        let wait = if checks { Duration::ZERO } else { context.timing.order_lifetime };
        engine.uncertain_until = Some(context.now.after(wait));
    }

    /// Restores the state before an order that certainly had no effect.
    fn revert_order(
        &mut self,
        context: &PlacementContext<'_>,
        upstream: UpstreamKey,
        open: &OpenOrder,
    ) {
        let Some(engine) = self.known_engine_mut(upstream) else {
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
    /// Records that the engine answered `open` and did not refuse it.
    fn record_answer(&mut self, open: &OpenOrder) {
        self.misses = 0;
        self.conflicts = 0;
        if self.lost_order.as_ref().is_some_and(|(kind, _)| *kind == open.kind) {
            self.lost_order = None;
        }
    }

    fn set_phase(&mut self, asset: AssetKey, now: Moment, phase: ReplicaPhase) {
        if let Some(replica) = self.replicas.get_mut(&asset) {
            replica.phase = phase;
            replica.since = now;
        }
    }
}
