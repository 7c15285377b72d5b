//! Delivers events, and executes the effects that reducers return.

use rand::Rng;
use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::HostIdentity;
use wagtailledge_decisions::event::ListedHost;
use wagtailledge_decisions::event::ListedState;
use wagtailledge_decisions::message::MESSAGE_VERSION;
use wagtailledge_decisions::message::PeerEnvelope;
use wagtailledge_decisions::message::PeerMessage;
use wagtailledge_decisions::order::EngineOrder;
use wagtailledge_decisions::order::OrderOutcome;
use wagtailledge_decisions::store::StoreCall;

use super::event_queue::ProcessId;
use super::event_queue::ScheduledEvent;
use super::inventory::ZONES;
use super::processes::FuzzSlot;
use super::state::FuzzWorld;
use super::state::HeldOrders;
use super::store::StoreReply;
use super::store::client_operation;

/// Time after which an unanswered call to the key-value service counts as failed, in
/// microseconds.
const STORE_TIMEOUT: u64 = 1_000_000;
/// Time after which an unanswered order counts as lost, in microseconds.
const ORDER_TIMEOUT: u64 = 2_000_000;
/// Longest transit of an order to an engine that ignores fencing tokens, in microseconds. The
/// timing rules allow 3 s, less the drift of clocks. Hosts drop what they have not sent when they
/// give an order up, so the rest is time in the network.
const MAX_ORDER_TRANSIT: u64 = 2_700_000;
/// Longest transit of an order to an engine that checks fencing tokens, in microseconds.
const MAX_CHECKED_ORDER_TRANSIT: u64 = 20_000_000;
/// Longest time for which a host's kernel goes on sending what was not dropped, in microseconds.
const MAX_HELD_TIME: u64 = 20_000_000;
/// Time after a freeze or the repair of a cut in which orders don't count, in microseconds.
const THAW_TIME: u64 = 300_000;
/// Time to load a model at full speed, in microseconds.
const LOAD_TIME: u64 = 800_000;

impl FuzzWorld {
    /// Gives an event to the reducer of the process in a slot and executes its effects.
    pub(super) fn submit(&mut self, slot: usize, event: HostEvent) {
        let now = self.now;
        let Some(process) = self.slots[slot].process.as_mut() else {
            return;
        };
        let mut effects = Vec::new();
        let clock = process.clock(now);
        process.reducer.reduce(clock, event, &mut effects);
        let id = process.id;
        self.steps += 1;
        for effect in effects {
            self.apply_effect(id, effect);
        }
    }

    fn apply_effect(&mut self, from: ProcessId, effect: HostEffect) {
        match effect {
            HostEffect::Send(to, message) => self.send_peer(from, &to, *message),
            HostEffect::Broadcast(receivers, message) => {
                for to in receivers {
                    self.send_peer(from, &to, message.as_ref().clone());
                }
            }
            HostEffect::Store(call) => self.schedule_store_call(from, call),
            HostEffect::Order(order) => self.schedule_order(from, order),
            HostEffect::LogDecision(record) => {
                if self.trace {
                    let host = &self.slots[from.slot].name;
                    println!("{:>10.3} {host} {record:?}", self.now as f64 / 1e6);
                }
            }
            other => self.apply_request_effect(from, other),
        }
    }

    /// Earliest time at which the process can receive events; `None` if it no longer runs.
    pub(super) fn resumes_at(&self, id: ProcessId) -> Option<u64> {
        let process = self.slots[id.slot].process.as_ref()?;
        (process.id == id).then_some(process.frozen_until)
    }

    fn send_peer(&mut self, from: ProcessId, to: &HostIdentity, message: PeerMessage) {
        let is_receiver = |slot: &FuzzSlot| slot.name == to.name && slot.address() == to.address;
        let Some(slot) = self.slots.iter().position(is_receiver) else {
            return;
        };
        let Some(process) = self.slots[from.slot].process.as_ref() else {
            return;
        };
        let identity = process.identity.clone();
        let envelope = PeerEnvelope { version: MESSAGE_VERSION, from: identity, message };
        let copies = 1 + usize::from(self.chance(self.faults.duplication));
        for _ in 0..copies {
            if self.chance(self.faults.loss) {
                continue;
            }
            let delay = self.rng.random_range(500..3_000 + self.faults.max_extra_delay);
            self.schedule_after(delay, ScheduledEvent::Peer(slot, Box::new(envelope.clone())));
        }
    }

    /// Draws true with a probability of `permille` per thousand.
    pub(super) fn chance(&mut self, permille: u32) -> bool {
        self.rng.random_range(0..1_000) < permille
    }

    fn schedule_store_call(&mut self, from: ProcessId, call: StoreCall) {
        let Some(process) = self.slots[from.slot].process.as_ref() else {
            return;
        };
        let StoreCall { id, op } = call;
        let call = StoreCall { id, op: client_operation(op, process.store_era) };
        let slow = self.chance(20);
        let longest = if slow { 4_000_000 } else { 20_000 };
        let delay = self.rng.random_range(1_000..longest);
        self.schedule_after(delay, ScheduledEvent::StoreCall(from, call));
        self.schedule_after(
            STORE_TIMEOUT,
            ScheduledEvent::StoreAnswer(from, id, StoreReply::lost()),
        );
    }

    fn schedule_order(&mut self, from: ProcessId, order: EngineOrder) {
        let longest = if self.chance(30) { 600_000 } else { 2_000 };
        let delay = self.rng.random_range(100..longest);
        self.schedule_after(delay, ScheduledEvent::OrderWrite(from, order));
    }

    /// Processes an event that is due. If its receiver is frozen, delays the event until just after
    /// the freeze ends.
    pub(super) fn deliver(&mut self, event: ScheduledEvent) {
        let receiver = match &event {
            ScheduledEvent::Peer(slot, _) => {
                self.slots[*slot].process.as_ref().map(|process| process.id)
            }
            ScheduledEvent::StoreAnswer(id, ..)
            | ScheduledEvent::OrderWrite(id, _)
            | ScheduledEvent::OrderAnswer(id, ..)
            | ScheduledEvent::AttemptEnd(id, ..)
            | ScheduledEvent::HostList(id, ..) => Some(*id),
            ScheduledEvent::LimitNotice(call, _) => Some(call.from),
            ScheduledEvent::StoreCall(..)
            | ScheduledEvent::LateWrite(_)
            | ScheduledEvent::OrderArrival(..)
            | ScheduledEvent::CallArrival(_)
            | ScheduledEvent::QuotaCall(_)
            | ScheduledEvent::CallDone(_) => {
                self.deliver_to_environment(event);
                return;
            }
        };
        let Some(resume) = receiver.and_then(|id| self.resumes_at(id)) else {
            return;
        };
        if resume > self.now {
            let delay = resume - self.now + self.rng.random_range(0..2_000);
            self.schedule_after(delay, event);
            return;
        }
        self.deliver_to_process(event);
    }

    fn deliver_to_process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Peer(slot, envelope) => {
                if self.can_reach_host(&envelope.from, slot) {
                    self.submit(slot, HostEvent::Peer(envelope));
                }
            }
            ScheduledEvent::StoreAnswer(id, call, reply) => {
                let Some(process) = self.slots[id.slot].process.as_mut() else {
                    return;
                };
                let outcome = reply.outcome_at(&mut process.store_era);
                self.submit(id.slot, HostEvent::StoreOutcome(call, outcome));
            }
            ScheduledEvent::OrderWrite(id, order) => self.send_order(id, order),
            ScheduledEvent::OrderAnswer(id, key, outcome) => {
                self.submit(id.slot, HostEvent::OrderOutcome(key, outcome));
            }
            ScheduledEvent::AttemptEnd(id, request, attempt, outcome) => {
                self.submit(id.slot, HostEvent::AttemptEnded(request, attempt, outcome));
            }
            ScheduledEvent::LimitNotice(call, notice) => self.deliver_limit(&call, notice),
            ScheduledEvent::HostList(id, requested_at, hosts) => {
                self.submit(id.slot, HostEvent::HostListRead(requested_at, hosts));
                if self.names_processes {
                    self.submit(id.slot, HostEvent::StoreSeen(requested_at));
                }
            }
            ScheduledEvent::StoreCall(..)
            | ScheduledEvent::LateWrite(_)
            | ScheduledEvent::OrderArrival(..)
            | ScheduledEvent::CallArrival(_)
            | ScheduledEvent::QuotaCall(_)
            | ScheduledEvent::CallDone(_) => {}
        }
    }

    fn deliver_to_environment(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::StoreCall(id, call) => self.execute_store_call(id, call),
            ScheduledEvent::LateWrite(op) => self.execute_late_write(op),
            ScheduledEvent::QuotaCall(account) => self.send_quota_call(account),
            ScheduledEvent::OrderArrival(id, key, engine, token, kind) => {
                let load_time = LOAD_TIME * self.faults.load_factor;
                let seen = self.engines[engine].highest_token();
                let name = &self.engines[engine].name;
                if !self.was_just_out_of_touch(id) {
                    self.oracle.record_order(engine, name, token, &self.slots[id.slot].name);
                }
                if !self.engines[engine].checks_tokens && token < seen {
                    self.oracle.report_overtaken_order(name, token, seen);
                }
                let outcome = self.engines[engine].apply_order(self.now, token, &kind, load_time);
                if self.trace {
                    let name = &self.engines[engine].name;
                    let host = &self.slots[id.slot].name;
                    let now = self.now as f64 / 1e6;
                    println!("{now:>10.3} {host} -> {name} {token} {kind:?} {outcome:?}");
                }
                self.check_engines();
                let lost = self.chance(self.faults.loss) || self.is_upstream_cut(id.slot, engine);
                if !lost {
                    let delay = self.rng.random_range(500..5_000);
                    self.schedule_after(delay, ScheduledEvent::OrderAnswer(id, key, outcome));
                }
            }
            ScheduledEvent::CallArrival(call) => self.start_call(call),
            ScheduledEvent::CallDone(call) => self.finish_call(call),
            _ => {}
        }
    }

    /// Whether the process was thawed or a cut was repaired so shortly before that its orders don't count.
    fn was_just_out_of_touch(&self, id: ProcessId) -> bool {
        let is_recent = |since: u64| since <= self.now && self.now < since + THAW_TIME;
        let process = self.slots[id.slot].process.as_ref().filter(|process| process.id == id);
        let thawed = process.map(|process| process.frozen_until);
        let thawed = thawed.filter(|until| process.is_some_and(|process| *until > process.started));
        thawed.is_some_and(is_recent) || self.faults.healed_at.is_some_and(is_recent)
    }

    /// Sends an order if it is still valid by the process's clock and authority.
    fn send_order(&mut self, id: ProcessId, order: EngineOrder) {
        let now = self.now;
        let Some(process) = self.slots[id.slot].process.as_ref() else {
            return;
        };
        let clock = process.clock(now);
        let valid = clock < order.valid_until && process.reducer.may_send_order(clock, order.token);
        let upstream = process.reducer.catalog().upstreams.get(order.upstream);
        let engine = upstream
            .and_then(|record| self.engines.iter().position(|engine| engine.name == record.name));
        let Some(engine) = engine.filter(|engine| valid && !self.is_upstream_cut(id.slot, *engine))
        else {
            let answer = ScheduledEvent::OrderAnswer(id, order.key, OrderOutcome::NotSent);
            self.schedule_after(1_000, answer);
            return;
        };
        let late = self.chance(self.faults.late_orders + self.faults.loss);
        let longest = match (late, self.engines[engine].checks_tokens) {
            (false, _) => 10_000,
            (true, true) => MAX_CHECKED_ORDER_TRANSIT,
            (true, false) => MAX_ORDER_TRANSIT,
        };
        let lost = ScheduledEvent::OrderAnswer(id, order.key, OrderOutcome::Lost);
        self.schedule_after(ORDER_TIMEOUT, lost);
        let HeldOrders { permille, sent_after_all } = self.faults.held_orders;
        let held = permille > 0 && self.chance(permille);
        if held && !sent_after_all {
            return;
        }
        let delay = if held {
            self.rng.random_range(ORDER_TIMEOUT..MAX_HELD_TIME)
        } else {
            self.rng.random_range(500..longest)
        };
        self.schedule_after(
            delay,
            ScheduledEvent::OrderArrival(id, order.key, engine, order.token, order.kind),
        );
    }

    fn can_reach_host(&self, from: &HostIdentity, slot: usize) -> bool {
        let Some(sender) = self.slots.iter().position(|other| other.name == from.name) else {
            return false;
        };
        let pair = (sender.min(slot), sender.max(slot));
        let zones = (self.zone_of_slot(pair.0), self.zone_of_slot(pair.1));
        !self.faults.host_cuts.contains(&pair) && !self.faults.zone_cuts.contains(&zones)
    }

    /// Whether the network between a host and an upstream is cut.
    pub(super) fn is_upstream_cut(&self, slot: usize, upstream: usize) -> bool {
        let (here, there) = (self.zone_of_slot(slot), self.zone_of_upstream(upstream));
        let zones = (here.min(there), here.max(there));
        self.faults.upstream_cuts.contains(&(slot, upstream))
            || self.faults.zone_cuts.contains(&zones)
    }

    /// Current content of the host list.
    pub(super) fn host_list(&self) -> Vec<ListedHost> {
        let mut hosts = Vec::new();
        for slot in self.slots.iter().filter(|slot| slot.listed) {
            hosts.push(ListedHost {
                name: slot.name.clone(),
                zone: slot.zone.clone(),
                scope: slot.zone.clone(),
                peer_address: slot.address(),
                capacity: 0,
                state: ListedState::Live,
                process: slot.writer,
            });
        }
        for engine in &self.engines {
            let leaving = engine.leaving_since.is_some();
            hosts.push(ListedHost {
                name: engine.name.clone(),
                zone: engine.zone.clone(),
                scope: engine.zone.clone(),
                peer_address: String::new(),
                capacity: 0,
                state: if leaving { ListedState::Leaving } else { ListedState::Live },
                process: None,
            });
        }
        for zone in &self.instance_zones {
            hosts.push(ListedHost {
                name: format!("{}-app", ZONES[*zone]),
                zone: ZONES[*zone].to_owned(),
                scope: ZONES[*zone].to_owned(),
                peer_address: String::new(),
                capacity: 0,
                state: ListedState::Live,
                process: None,
            });
        }
        hosts
    }
}
