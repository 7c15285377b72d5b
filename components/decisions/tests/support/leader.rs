//! Test leader: a host that leads its scope. Its key-value store answers every call at once; tests
//! answer its engine orders.

use std::collections::BTreeMap;

use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::event::ListedHost;
use wagtailledge_decisions::event::ListedState;
use wagtailledge_decisions::event::RegisteredUpstream;
use wagtailledge_decisions::event::RegistryChange;
use wagtailledge_decisions::message::PeerMessage;
use wagtailledge_decisions::order::EngineOrder;
use wagtailledge_decisions::order::EngineReport;
use wagtailledge_decisions::order::OrderKind;
use wagtailledge_decisions::order::OrderOutcome;
use wagtailledge_decisions::order::ResidentAsset;
use wagtailledge_decisions::order::ResidentState;
use wagtailledge_decisions::store::StoreOp;
use wagtailledge_decisions::store::StoreOutcome;

use super::TestHost;

/// Maximum time until the host acquires the lease, in milliseconds.
const LEASE_WAIT_MS: u64 = 20_000;

/// Host that leads its scope, with its key-value store and pending engine orders.
#[derive(Debug)]
pub struct TestLeader {
    /// Host that leads the scope.
    pub host: TestHost,
    /// Key-value store: version and value by key.
    store: BTreeMap<String, (u64, String)>,
    /// Latest version that the store has assigned.
    revision: u64,
    /// Whether calls take effect in the store without an answer.
    loses_answers: bool,
    /// Whether calls fail without an effect.
    is_away: bool,
    /// Number of effects already processed.
    processed: usize,
    /// Orders without an answer, oldest first.
    pending: Vec<EngineOrder>,
}

impl TestLeader {
    /// Creates a host that has acquired the lease and sent its first order, with one registered
    /// engine of `service`.
    pub fn with_engine(inventory: &str, service: &str) -> Self {
        let mut leader = Self::before_election(inventory, service);
        for _ in 0..LEASE_WAIT_MS / 10 {
            leader.advance(10);
            if !leader.pending.is_empty() {
                return leader;
            }
        }
        panic!("no lease and no order within {LEASE_WAIT_MS} ms");
    }

    /// Creates the same host before its first tick, so before it reads the lease.
    pub fn before_election(inventory: &str, service: &str) -> Self {
        let mut host = TestHost::with_inventory(inventory);
        host.submit(engine_entry_of(service, 1));
        Self::of_host(host)
    }

    /// Creates a leader from a host before its first tick.
    pub fn of_host(host: TestHost) -> Self {
        Self {
            host,
            store: BTreeMap::new(),
            revision: 0,
            loses_answers: false,
            is_away: false,
            processed: 0,
            pending: Vec::new(),
        }
    }

    /// Sets whether calls take effect in the store without an answer.
    pub fn lose_answers(&mut self, loses_answers: bool) {
        self.loses_answers = loses_answers;
    }

    /// Sets whether calls fail without an effect.
    pub fn set_away(&mut self, is_away: bool) {
        self.is_away = is_away;
    }

    /// Writes a key, as another host would.
    pub fn store_value(&mut self, key: &str, value: &str) {
        self.revision += 1;
        self.store.insert(key.to_owned(), (self.revision, value.to_owned()));
    }

    /// Version and value of the first key that starts with `prefix`.
    pub fn stored(&self, prefix: &str) -> Option<(u64, String)> {
        let mut found = self.store.iter().filter(|(key, _)| key.starts_with(prefix));
        found.next().map(|(_, stored)| stored.clone())
    }

    /// Adds another entry host of the scope to the platform's host list.
    pub fn list_host(&mut self, name: &str, capacity: u32) {
        let host = ListedHost {
            name: name.to_owned(),
            zone: "east".to_owned(),
            scope: "east".to_owned(),
            peer_address: format!("{name}:1"),
            capacity,
            state: ListedState::Live,
            process: None,
        };
        self.submit(HostEvent::Members(vec![host]));
    }

    /// Advances the clock in ticks of 10 ms.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.host.advance(10);
            self.process_effects();
        }
    }

    /// Passes an event to the reducer and answers its store calls.
    pub fn submit(&mut self, event: HostEvent) {
        self.host.submit(event);
        self.process_effects();
    }

    /// Submits a request for a model.
    pub fn request_model(&mut self, model: &str) {
        self.host.request_model(model, 1, 20_000);
        self.process_effects();
    }

    /// Removes and returns the oldest pending order.
    pub fn next_order(&mut self) -> Option<EngineOrder> {
        (!self.pending.is_empty()).then(|| self.pending.remove(0))
    }

    /// Answers the oldest pending order, which must be of this kind.
    pub fn answer(&mut self, kind: &OrderKind, outcome: OrderOutcome) {
        let order = self.next_order().unwrap_or_else(|| panic!("no order; expected {kind:?}"));
        assert_eq!(order.kind, *kind);
        self.submit(HostEvent::OrderOutcome(order.key, outcome));
    }

    /// Advances the clock until an order is pending, by `millis` at most, and returns its kind.
    pub fn wait_for_order(&mut self, millis: u64) -> Option<OrderKind> {
        for _ in 0..millis / 10 {
            if let Some(order) = self.pending.first() {
                return Some(order.kind.clone());
            }
            self.advance(10);
        }
        self.pending.first().map(|order| order.kind.clone())
    }

    /// Answers new store calls and queues new orders.
    fn process_effects(&mut self) {
        self.answer_store_calls(usize::MAX);
    }

    /// Latest request of the leader for a promise: its epoch and the number of its round.
    pub fn last_promise_request(&self) -> Option<(u64, u64)> {
        let request = |effect: &HostEffect| match effect {
            HostEffect::Send(_, message) => match message.as_ref() {
                PeerMessage::PromiseRequest { epoch, round, .. } => Some((*epoch, *round)),
                _ => None,
            },
            _ => None,
        };
        self.host.effects.iter().rev().find_map(request)
    }

    /// Forgets the effects so far, after a test has read and removed them.
    pub fn forget_effects(&mut self) {
        self.host.effects.clear();
        self.processed = 0;
    }

    /// Answers up to `count` new store calls and queues the orders before them.
    pub fn answer_store_calls(&mut self, count: usize) {
        let mut answered = 0;
        while self.processed < self.host.effects.len() && answered < count {
            let effect = self.host.effects[self.processed].clone();
            self.processed += 1;
            match effect {
                HostEffect::Store(call) => {
                    answered += 1;
                    let answer =
                        if self.is_away { StoreOutcome::Failed } else { self.execute(call.op) };
                    let outcome = if self.loses_answers { StoreOutcome::Failed } else { answer };
                    self.host.submit(HostEvent::StoreOutcome(call.id, outcome));
                }
                HostEffect::Order(order) => self.pending.push(order),
                _ => {}
            }
        }
    }

    fn execute(&mut self, op: StoreOp) -> StoreOutcome {
        let (key, expected, value) = match op {
            StoreOp::Read { key } => return self.read(&key),
            StoreOp::CompareAndSwap { key, expected, value, .. } => (key, expected, Some(value)),
            StoreOp::Delete { key, expected } => (key, expected, None),
        };
        if self.store.get(&key).map_or(0, |(version, _)| *version) != expected {
            return self.read(&key);
        }
        self.revision += 1;
        match value {
            Some(value) => self.store.insert(key, (self.revision, value)),
            None => self.store.remove(&key),
        };
        StoreOutcome::Done { version: self.revision }
    }

    fn read(&self, key: &str) -> StoreOutcome {
        self.store.get(key).map_or(StoreOutcome::Absent { version: 0 }, |(version, value)| {
            StoreOutcome::Found { version: *version, value: value.clone() }
        })
    }
}

/// Event that brings the entry of the engine of service `llm`, at this revision.
pub fn engine_entry(revision: u64) -> HostEvent {
    engine_entry_of("llm", revision)
}

fn engine_entry_of(service: &str, revision: u64) -> HostEvent {
    HostEvent::Registry(vec![RegistryChange::Present(Box::new(RegisteredUpstream {
        name: "llm-1".to_owned(),
        service: service.to_owned(),
        scope: "east".to_owned(),
        zone: "east".to_owned(),
        address: "127.0.0.1:9001".to_owned(),
        software: "v1".to_owned(),
        slots: 64,
        started_ms: 1,
        state: ListedState::Live,
        remaining: None,
        revision,
        report: None,
    }))])
}

/// Report of an engine that has accepted `sequence` orders and serves `assets`, in answer to an order.
pub fn engine_report(sequence: u64, busy: bool, assets: &[&str]) -> OrderOutcome {
    OrderOutcome::Accepted(engine_report_of(sequence, busy, assets))
}

/// Report of an engine that has accepted `sequence` orders and serves `assets`.
pub fn engine_report_of(sequence: u64, busy: bool, assets: &[&str]) -> EngineReport {
    let serving = |asset: &&str| ResidentAsset {
        asset: (*asset).to_owned(),
        bytes: 0,
        state: ResidentState::Ready,
    };
    EngineReport {
        resident: assets.iter().map(serving).collect(),
        sequence: Some(sequence),
        busy,
        copies: None,
    }
}
