//! A host that leads its scope, with a store that always answers and engines that tests answer for.

use std::collections::BTreeMap;

use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::event::ListedHost;
use wagtailledge_decisions::event::ListedState;
use wagtailledge_decisions::event::RegisteredUpstream;
use wagtailledge_decisions::event::RegistryChange;
use wagtailledge_decisions::order::EngineListing;
use wagtailledge_decisions::order::EngineOrder;
use wagtailledge_decisions::order::HeldAsset;
use wagtailledge_decisions::order::HeldState;
use wagtailledge_decisions::order::OrderKind;
use wagtailledge_decisions::order::OrderOutcome;
use wagtailledge_decisions::store::StoreOp;
use wagtailledge_decisions::store::StoreOutcome;

use super::TestHost;

/// Longest wait for the lease, in milliseconds.
const LEASE_WAIT: u64 = 20_000;

/// A host that leads its scope.
#[derive(Debug)]
pub struct TestLeader {
    /// The host.
    pub host: TestHost,
    store: BTreeMap<String, (u64, String)>,
    revision: u64,
    /// Effects already looked at.
    seen: usize,
    /// Orders not answered yet, oldest first.
    open: Vec<EngineOrder>,
}

impl TestLeader {
    /// A host that has just taken the lease, with one engine of `service` that registered itself.
    pub fn with_engine(inventory: &str, service: &str) -> Self {
        let mut leader = Self::waiting(inventory, service);
        for _ in 0..LEASE_WAIT / 10 {
            leader.pass(10);
            if !leader.open.is_empty() {
                return leader;
            }
        }
        panic!("no lease and no order within {LEASE_WAIT} ms");
    }

    /// The same before it looked at the lease.
    pub fn waiting(inventory: &str, service: &str) -> Self {
        let mut host = TestHost::with_inventory(inventory);
        let engine = RegisteredUpstream {
            name: "llm-1".to_owned(),
            service: service.to_owned(),
            scope: "east".to_owned(),
            zone: "east".to_owned(),
            address: "127.0.0.1:9001".to_owned(),
            slots: 64,
            born: 1,
            state: ListedState::Live,
            remaining: None,
            revision: 1,
            listing: None,
        };
        host.submit(HostEvent::Registry(vec![RegistryChange::Present(Box::new(engine))]));
        Self { host, store: BTreeMap::new(), revision: 0, seen: 0, open: Vec::new() }
    }

    /// Another host writes a key.
    pub fn store_value(&mut self, key: &str, value: &str) {
        self.revision += 1;
        self.store.insert(key.to_owned(), (self.revision, value.to_owned()));
    }

    /// The value of a key that starts with `prefix`, and its version.
    pub fn stored(&self, prefix: &str) -> Option<(u64, String)> {
        let mut found = self.store.iter().filter(|(key, _)| key.starts_with(prefix));
        found.next().map(|(_, stored)| stored.clone())
    }

    /// Another entry host of the scope is listed.
    pub fn list_host(&mut self, name: &str, capacity: u32) {
        let host = ListedHost {
            name: name.to_owned(),
            zone: "east".to_owned(),
            scope: "east".to_owned(),
            peer_address: format!("{name}:1"),
            capacity,
            state: ListedState::Live,
        };
        self.submit(HostEvent::Members(vec![host]));
    }

    /// Time passes; the store answers at once.
    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.host.pass(10);
            self.settle();
        }
    }

    /// Takes in an event; the store answers at once.
    pub fn submit(&mut self, event: HostEvent) {
        self.host.submit(event);
        self.settle();
    }

    /// A caller asks for a model.
    pub fn ask(&mut self, model: &str) {
        self.host.ask(model, 1, 20_000);
        self.settle();
    }

    /// Takes the oldest open order.
    pub fn next_order(&mut self) -> Option<EngineOrder> {
        (!self.open.is_empty()).then(|| self.open.remove(0))
    }

    /// Answers the oldest open order, which must be of the kind expected.
    pub fn answer(&mut self, kind: &OrderKind, outcome: OrderOutcome) {
        let order = self.next_order().unwrap_or_else(|| panic!("no order; expected {kind:?}"));
        assert_eq!(order.kind, *kind);
        self.submit(HostEvent::Order(order.key, outcome));
    }

    /// Lets time pass until an order is open, for `millis` at most, and returns its kind.
    pub fn wait_for_order(&mut self, millis: u64) -> Option<OrderKind> {
        for _ in 0..millis / 10 {
            if let Some(order) = self.open.first() {
                return Some(order.kind.clone());
            }
            self.pass(10);
        }
        self.open.first().map(|order| order.kind.clone())
    }

    fn settle(&mut self) {
        while self.seen < self.host.effects.len() {
            let effect = self.host.effects[self.seen].clone();
            self.seen += 1;
            match effect {
                HostEffect::Store(call) => {
                    let outcome = self.carry_out(call.op);
                    self.host.submit(HostEvent::Store(call.id, outcome));
                }
                HostEffect::Order(order) => self.open.push(order),
                _ => {}
            }
        }
    }

    fn carry_out(&mut self, op: StoreOp) -> StoreOutcome {
        let (key, expected, value) = match op {
            StoreOp::Read { key } => return self.read(&key),
            StoreOp::Swap { key, expected, value, .. } => (key, expected, Some(value)),
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
        self.store.get(key).map_or(StoreOutcome::Absent, |(version, value)| StoreOutcome::Found {
            version: *version,
            value: value.clone(),
        })
    }
}

/// What an engine says that has accepted `sequence` orders and serves `assets`.
pub fn listing(sequence: u64, busy: bool, assets: &[&str]) -> OrderOutcome {
    let serving =
        |asset: &&str| HeldAsset { asset: (*asset).to_owned(), bytes: 0, state: HeldState::Ready };
    OrderOutcome::Accepted(EngineListing {
        held: assets.iter().map(serving).collect(),
        sequence: Some(sequence),
        busy,
        copies: None,
    })
}
