//! What arrives, and what reducers want done.

use rand::Rng;
use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::HostStamp;
use wagtailledge_decisions::event::ListedHost;
use wagtailledge_decisions::event::ListedState;
use wagtailledge_decisions::message::MESSAGE_VERSION;
use wagtailledge_decisions::message::PeerEnvelope;
use wagtailledge_decisions::message::PeerMessage;
use wagtailledge_decisions::order::EngineOrder;
use wagtailledge_decisions::order::OrderOutcome;
use wagtailledge_decisions::store::StoreCall;
use wagtailledge_decisions::store::StoreOutcome;

use super::flight::Flight;
use super::flight::ProcessId;
use super::inventory::ZONES;
use super::state::FuzzWorld;

/// Time after which an unanswered call to the key-value service counts as failed.
const STORE_TIMEOUT: u64 = 1_000_000;
/// Time after which an unanswered order counts as lost.
const ORDER_TIMEOUT: u64 = 2_000_000;
/// Longest life of an order on its way to an engine that ignores tokens; the rules allow 3 s,
/// less the drift of clocks.
const ORDER_LIFE: u64 = 2_700_000;
/// Longest life of an order on its way to an engine that checks tokens.
const LONG_ORDER_LIFE: u64 = 20_000_000;
/// Time to load a model at full speed.
const LOAD_TIME: u64 = 800_000;

impl FuzzWorld {
    /// Hands an event to the process in a slot and carries out what follows.
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
            self.carry_out(id, effect);
        }
    }

    fn carry_out(&mut self, from: ProcessId, effect: HostEffect) {
        match effect {
            HostEffect::Send(to, message) => self.send_peer(from, &to, *message),
            HostEffect::Broadcast(receivers, message) => {
                for to in receivers {
                    self.send_peer(from, &to, message.as_ref().clone());
                }
            }
            HostEffect::Store(call) => self.send_store(from, call),
            HostEffect::Order(order) => self.write_order(from, order),
            HostEffect::Note(note) => {
                if self.trace {
                    let host = &self.slots[from.slot].name;
                    println!("{:>10.3} {host} {note:?}", self.now as f64 / 1e6);
                }
            }
            other => self.call_effect(from, other),
        }
    }

    /// Whether the process runs, and when it can take something in.
    pub(super) fn wakes_at(&self, id: ProcessId) -> Option<u64> {
        let process = self.slots[id.slot].process.as_ref()?;
        (process.id == id).then_some(process.paused_until)
    }

    fn send_peer(&mut self, from: ProcessId, to: &HostStamp, message: PeerMessage) {
        let Some(slot) = self.slots.iter().position(|slot| slot.name == to.name) else {
            return;
        };
        let Some(process) = self.slots[from.slot].process.as_ref() else {
            return;
        };
        let stamp = process.stamp.clone();
        let envelope = PeerEnvelope { version: MESSAGE_VERSION, from: stamp, message };
        let copies = 1 + usize::from(self.chance(self.faults.twice));
        for _ in 0..copies {
            if self.chance(self.faults.loss) {
                continue;
            }
            let delay = self.rng.random_range(500..3_000 + self.faults.delay);
            self.send_after(delay, Flight::Peer(slot, Box::new(envelope.clone())));
        }
    }

    pub(super) fn chance(&mut self, permille: u32) -> bool {
        self.rng.random_range(0..1_000) < permille
    }

    fn send_store(&mut self, from: ProcessId, call: StoreCall) {
        let id = call.id;
        let slow = self.chance(20);
        let longest = if slow { 4_000_000 } else { 20_000 };
        let delay = self.rng.random_range(1_000..longest);
        self.send_after(delay, Flight::StoreCall(from, call));
        self.send_after(STORE_TIMEOUT, Flight::StoreAnswer(from, id, StoreOutcome::Failed));
    }

    fn write_order(&mut self, from: ProcessId, order: EngineOrder) {
        let longest = if self.chance(30) { 600_000 } else { 2_000 };
        let delay = self.rng.random_range(100..longest);
        self.send_after(delay, Flight::OrderWrite(from, order));
    }

    /// Something arrives; a frozen process takes it in when it goes on.
    pub(super) fn deliver(&mut self, flight: Flight) {
        let receiver = match &flight {
            Flight::Peer(slot, _) => self.slots[*slot].process.as_ref().map(|process| process.id),
            Flight::StoreAnswer(id, ..)
            | Flight::OrderWrite(id, _)
            | Flight::OrderAnswer(id, ..)
            | Flight::CallEnd(id, ..)
            | Flight::Hosts(id, ..) => Some(*id),
            Flight::StoreCall(..) | Flight::Order(..) | Flight::Call(_) | Flight::CallDone(_) => {
                self.arrive_outside(flight);
                return;
            }
        };
        let Some(wakes) = receiver.and_then(|id| self.wakes_at(id)) else {
            return;
        };
        if wakes > self.now {
            let delay = wakes - self.now + self.rng.random_range(0..2_000);
            self.send_after(delay, flight);
            return;
        }
        self.arrive_inside(flight);
    }

    fn arrive_inside(&mut self, flight: Flight) {
        match flight {
            Flight::Peer(slot, envelope) => {
                if self.reaches_host(&envelope.from, slot) {
                    self.submit(slot, HostEvent::Peer(envelope));
                }
            }
            Flight::StoreAnswer(id, call, outcome) => {
                self.submit(id.slot, HostEvent::Store(call, outcome));
            }
            Flight::OrderWrite(id, order) => self.order_written(id, order),
            Flight::OrderAnswer(id, key, outcome) => {
                self.submit(id.slot, HostEvent::Order(key, outcome));
            }
            Flight::CallEnd(id, request, attempt, outcome) => {
                self.submit(id.slot, HostEvent::AttemptEnded(request, attempt, outcome));
            }
            Flight::Hosts(id, asked, hosts) => {
                self.submit(id.slot, HostEvent::Hosts(asked, hosts));
            }
            Flight::StoreCall(..) | Flight::Order(..) | Flight::Call(_) | Flight::CallDone(_) => {}
        }
    }

    fn arrive_outside(&mut self, flight: Flight) {
        match flight {
            Flight::StoreCall(id, call) => self.store_called(id, call),
            Flight::Order(id, key, engine, token, kind) => {
                let load_time = LOAD_TIME * self.faults.load_factor;
                let outcome = self.engines[engine].order(self.now, token, &kind, load_time);
                if self.trace {
                    let name = &self.engines[engine].name;
                    let host = &self.slots[id.slot].name;
                    let now = self.now as f64 / 1e6;
                    println!("{now:>10.3} {host} -> {name} {token} {kind:?} {outcome:?}");
                }
                self.check_engines();
                let lost = self.chance(self.faults.loss) || self.engine_is_cut(id.slot, engine);
                if !lost {
                    let delay = self.rng.random_range(500..5_000);
                    self.send_after(delay, Flight::OrderAnswer(id, key, outcome));
                }
            }
            Flight::Call(call) => self.call_arrives(call),
            Flight::CallDone(call) => self.call_done(call),
            _ => {}
        }
    }

    fn store_called(&mut self, id: ProcessId, call: StoreCall) {
        if self.faults.store_down || self.faults.store_cuts.contains(&id.slot) {
            return;
        }
        let outcome = self.store.call(call.op);
        if self.chance(self.faults.loss + 5) {
            return;
        }
        let delay = self.rng.random_range(500..20_000);
        self.send_after(delay, Flight::StoreAnswer(id, call.id, outcome));
    }

    /// The process checks its clock once more and writes the order.
    fn order_written(&mut self, id: ProcessId, order: EngineOrder) {
        let now = self.now;
        let Some(process) = self.slots[id.slot].process.as_ref() else {
            return;
        };
        let clock = process.clock(now);
        let valid = clock < order.valid_until && process.reducer.may_order(clock, order.token);
        let upstream = process.reducer.catalog().upstreams.get(order.upstream);
        let engine = upstream
            .and_then(|record| self.engines.iter().position(|engine| engine.name == record.name));
        let Some(engine) = engine.filter(|engine| valid && !self.engine_is_cut(id.slot, *engine))
        else {
            let answer = Flight::OrderAnswer(id, order.key, OrderOutcome::NotSent);
            self.send_after(1_000, answer);
            return;
        };
        let late = self.chance(self.faults.late_orders + self.faults.loss);
        let longest = match (late, self.engines[engine].checks_tokens) {
            (false, _) => 10_000,
            (true, true) => LONG_ORDER_LIFE,
            (true, false) => ORDER_LIFE,
        };
        let delay = self.rng.random_range(500..longest);
        self.send_after(delay, Flight::Order(id, order.key, engine, order.token, order.kind));
        let lost = Flight::OrderAnswer(id, order.key, OrderOutcome::Lost);
        self.send_after(ORDER_TIMEOUT, lost);
    }

    fn reaches_host(&self, from: &HostStamp, slot: usize) -> bool {
        let Some(sender) = self.slots.iter().position(|other| other.name == from.name) else {
            return false;
        };
        let pair = (sender.min(slot), sender.max(slot));
        let zones = (Self::zone_of_slot(pair.0), Self::zone_of_slot(pair.1));
        !self.faults.host_cuts.contains(&pair) && !self.faults.zone_cuts.contains(&zones)
    }

    /// Whether a host cannot reach an upstream.
    pub(super) fn engine_is_cut(&self, slot: usize, upstream: usize) -> bool {
        let (here, there) = (Self::zone_of_slot(slot), self.zone_of_upstream(upstream));
        let zones = (here.min(there), here.max(there));
        self.faults.engine_cuts.contains(&(slot, upstream))
            || self.faults.zone_cuts.contains(&zones)
    }

    /// The host list as it stands.
    pub(super) fn host_list(&self) -> Vec<ListedHost> {
        let mut hosts = Vec::new();
        for (index, slot) in self.slots.iter().enumerate().filter(|(_, slot)| slot.listed) {
            hosts.push(ListedHost {
                name: slot.name.clone(),
                zone: slot.zone.clone(),
                scope: slot.zone.clone(),
                peer_address: format!("10.2.{index}.0:70"),
                capacity: 0,
                state: ListedState::Live,
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
            });
        }
        for zone in &self.instances {
            hosts.push(ListedHost {
                name: format!("{}-app", ZONES[*zone]),
                zone: ZONES[*zone].to_owned(),
                scope: ZONES[*zone].to_owned(),
                peer_address: String::new(),
                capacity: 0,
                state: ListedState::Live,
            });
        }
        hosts
    }
}
