//! Test scope: several hosts, one key-value service and one engine.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::HostIdentity;
use wagtailledge_decisions::TimingRules;
use wagtailledge_decisions::event::ListedHost;
use wagtailledge_decisions::event::ListedProcess;
use wagtailledge_decisions::event::ListedState;
use wagtailledge_decisions::event::RegisteredUpstream;
use wagtailledge_decisions::event::RegistryChange;
use wagtailledge_decisions::lease::LeaseRecord;
use wagtailledge_decisions::message::MESSAGE_VERSION;
use wagtailledge_decisions::message::PeerEnvelope;
use wagtailledge_decisions::message::PeerMessage;
use wagtailledge_decisions::order::OrderKind;
use wagtailledge_decisions::order::OrderOutcome;
use wagtailledge_decisions::store::StoreCallId;
use wagtailledge_decisions::store::StoreOp;
use wagtailledge_decisions::store::StoreOutcome;

use super::TestHost;
use super::identity;
use super::leader::engine_report;
use super::returning_store::TestStore;

/// Name of the engine.
const ENGINE: &str = "llm-1";

/// Inventory with a pool and models for it.
const INVENTORY: &str = r#"
[[class]]
name = "alarm"
rank = 0
deadline = "30s"
[[service]]
name = "llm"
class = "alarm"
[service.pool]
memory = "80GiB"
adapters = 2
tokens = 100000
host_memory = "100GiB"
disk = "100GiB"
loads_per_minute = 120
checks_tokens = true
[[model]]
name = "heat"
size = "10GiB"
class = "alarm"
service = "llm"
[[model]]
name = "fan"
size = "10GiB"
class = "alarm"
service = "llm"
[[model]]
name = "flock"
size = "10GiB"
class = "alarm"
service = "llm"
"#;

/// How a host's calls reach the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreLink {
    /// They are carried out and answered.
    Open,
    /// They are neither carried out nor answered.
    Down,
    /// They are carried out and not answered.
    LosesAnswers,
    /// They are not answered, and carried out when the test says so.
    Late,
    /// They are carried out at once and answered when the test says so.
    Slow,
}

/// One host of the scope.
#[derive(Debug)]
pub struct ScopeHost {
    /// The host.
    pub host: TestHost,
    /// Identity of its process.
    pub me: HostIdentity,
    /// Its link to the key-value service.
    pub link: StoreLink,
    /// Whether messages from and to other hosts arrive.
    pub is_heard: bool,
    /// Whether it runs.
    pub is_up: bool,
    /// Highest era that an answer has named to it.
    era: u64,
    /// Revision of its entry in the platform's list.
    entry: u64,
    /// Number of effects already processed.
    processed: usize,
    /// Calls that are carried out later.
    late: Vec<StoreOp>,
    /// Answers that arrive later.
    answers: Vec<(StoreCallId, StoreOutcome)>,
}

/// An order that reached the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenOrder {
    /// Host that sent it.
    pub holder: String,
    /// Its fencing token.
    pub token: u64,
}

/// Hosts that compete for one lease.
#[derive(Debug)]
pub struct TestScope {
    /// The hosts, named `h0`, `h1` and so on.
    pub hosts: Vec<ScopeHost>,
    /// The key-value service.
    pub store: TestStore,
    /// Orders that reached the engine, without claims, which carry no token there.
    pub orders: Vec<SeenOrder>,
    sequence: u64,
    /// Steps at which two hosts had authority, with their names.
    pub overlaps: Vec<(String, String)>,
}

impl TestScope {
    /// Hosts of one scope, none of which has read the lease.
    pub fn with_hosts(count: usize) -> Self {
        let identities = (0..count).map(|index| identity(&format!("h{index}")));
        Self::with_identities(identities.collect())
    }

    /// The same with these identities.
    pub fn with_identities(identities: Vec<HostIdentity>) -> Self {
        let hosts = identities.into_iter().map(|me| ScopeHost {
            host: TestHost::of_process(INVENTORY, TimingRules::default(), me.clone()),
            me,
            link: StoreLink::Down,
            is_heard: true,
            is_up: true,
            era: 0,
            entry: 1,
            processed: 0,
            late: Vec::new(),
            answers: Vec::new(),
        });
        let mut scope = Self {
            hosts: hosts.collect(),
            store: TestStore::new(),
            orders: Vec::new(),
            sequence: 0,
            overlaps: Vec::new(),
        };
        for index in 0..scope.hosts.len() {
            scope.register_engine(index);
        }
        scope.list_hosts();
        scope
    }

    fn register_engine(&mut self, index: usize) {
        let ScopeHost { host, me, .. } = &mut self.hosts[index];
        let entry = RegisteredUpstream {
            name: ENGINE.to_owned(),
            started_ms: 1,
            service: "llm".to_owned(),
            zone: "east".to_owned(),
            scope: me.scope.clone(),
            address: "127.0.0.1:9001".to_owned(),
            software: "v1".to_owned(),
            slots: 64,
            state: ListedState::Live,
            remaining: None,
            revision: 1,
            report: None,
        };
        host.submit(HostEvent::Registry(vec![RegistryChange::Present(Box::new(entry))]));
    }

    /// Delivers the platform's list of all hosts to each of them.
    fn list_hosts(&mut self) {
        let listed: Vec<ListedHost> = self
            .hosts
            .iter()
            .map(|host| ListedHost {
                name: host.me.name.clone(),
                zone: host.me.zone.clone(),
                scope: host.me.scope.clone(),
                peer_address: host.me.address.clone(),
                capacity: 0,
                state: ListedState::Live,
                process: Some(ListedProcess {
                    incarnation: host.me.incarnation,
                    version: self.store.version(host.entry),
                }),
            })
            .collect();
        for host in &mut self.hosts {
            let name = &host.me.name;
            let others = listed.iter().filter(|other| other.name != *name).cloned().collect();
            host.host.submit(HostEvent::Members(others));
        }
    }

    /// Sets the link of every host.
    pub fn link_all(&mut self, link: StoreLink) {
        self.hosts.iter_mut().for_each(|host| host.link = link);
    }

    /// Advances all clocks in ticks of 10 ms.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            for host in self.hosts.iter_mut().filter(|host| host.is_up) {
                host.host.advance(10);
            }
            self.process_effects();
            self.record_overlap();
        }
    }

    /// Advances the clocks until `is_reached` holds, by `millis` at most. Returns whether it does.
    pub fn wait_until(&mut self, millis: u64, is_reached: impl Fn(&Self) -> bool) -> bool {
        for _ in 0..millis / 10 {
            if is_reached(self) {
                return true;
            }
            self.advance(10);
        }
        is_reached(self)
    }

    /// Advances the clocks until a host leads with authority, and returns its index.
    pub fn wait_for_leader(&mut self, millis: u64) -> Option<usize> {
        self.wait_until(millis, |scope| scope.leader().is_some());
        self.leader()
    }

    /// Index of the first running host with authority.
    pub fn leader(&self) -> Option<usize> {
        let mut indices = 0..self.hosts.len();
        indices.find(|index| self.leads(*index))
    }

    /// Whether a host runs and has authority.
    pub fn leads(&self, index: usize) -> bool {
        let ScopeHost { host, is_up, .. } = &self.hosts[index];
        *is_up && host.reducer.has_authority(host.now)
    }

    /// Submits a request for a model to a host.
    pub fn request(&mut self, index: usize, model: &str) {
        self.hosts[index].host.request_model(model, 1, 20_000);
        self.process_effects();
    }

    /// The lease record of a scope.
    pub fn lease(&self, scope: &str) -> Option<LeaseRecord> {
        LeaseRecord::parse(self.store.value(&format!("lease/{scope}"))?)
    }

    /// Delivers the answers that a host waits for.
    pub fn deliver_answers(&mut self, index: usize) {
        for (id, outcome) in std::mem::take(&mut self.hosts[index].answers) {
            self.hosts[index].host.submit(HostEvent::StoreOutcome(id, outcome));
        }
        self.process_effects();
    }

    /// Replaces the process of a host by a new one that knows nothing.
    pub fn restart(&mut self, index: usize) {
        let mut me = self.hosts[index].me.clone();
        me.incarnation += 1;
        me.address = format!("{}:{}", me.name, me.incarnation);
        self.hosts[index].host =
            TestHost::of_process(INVENTORY, TimingRules::default(), me.clone());
        self.hosts[index].me = me;
        self.hosts[index].is_up = true;
        self.hosts[index].era = 0;
        self.hosts[index].processed = 0;
        self.hosts[index].answers.clear();
        self.register_engine(index);
        self.hosts[index].entry = self.store.next_number();
        self.list_hosts();
    }

    /// Carries out the late calls of a host. Returns how many took effect.
    pub fn deliver_late(&mut self, index: usize) -> usize {
        let late = std::mem::take(&mut self.hosts[index].late);
        let outcomes = late.into_iter().map(|op| self.store.execute(op));
        outcomes.filter(|outcome| matches!(outcome, StoreOutcome::Done { .. })).count()
    }

    /// Tokens that the engine saw from two hosts.
    pub fn shared_tokens(&self) -> Vec<(u64, String, String)> {
        let mut first: BTreeMap<u64, &str> = BTreeMap::new();
        let mut shared = Vec::new();
        for SeenOrder { holder, token } in &self.orders {
            let known = *first.entry(*token).or_insert(holder);
            if known != holder {
                shared.push((*token, known.to_owned(), holder.clone()));
            }
        }
        shared
    }

    /// Number of different tokens that the engine saw.
    pub fn token_count(&self) -> usize {
        let tokens = self.orders.iter().map(|order| order.token);
        tokens.collect::<BTreeSet<u64>>().len()
    }

    fn record_overlap(&mut self) {
        let leaders: Vec<usize> = (0..self.hosts.len()).filter(|at| self.leads(*at)).collect();
        if let [first, second, ..] = leaders[..] {
            let name = |index: usize| self.hosts[index].me.name.clone();
            self.overlaps.push((name(first), name(second)));
        }
    }

    /// Answers calls and orders, and delivers messages, until there are none left.
    fn process_effects(&mut self) {
        let mut has_more = true;
        while has_more {
            has_more = false;
            for index in 0..self.hosts.len() {
                while self.hosts[index].processed < self.hosts[index].host.effects.len() {
                    let host = &mut self.hosts[index];
                    let effect = host.host.effects[host.processed].clone();
                    host.processed += 1;
                    has_more = true;
                    self.process(index, effect);
                }
            }
        }
    }

    fn process(&mut self, index: usize, effect: HostEffect) {
        match effect {
            HostEffect::Store(call) => self.call(index, call.id, call.op),
            HostEffect::Order(order) => {
                let outcome = if order.kind == OrderKind::Claim {
                    engine_report(self.sequence, false, &[])
                } else {
                    let holder = self.hosts[index].me.name.clone();
                    self.orders.push(SeenOrder { holder, token: order.token });
                    OrderOutcome::Conflict
                };
                self.hosts[index].host.submit(HostEvent::OrderOutcome(order.key, outcome));
            }
            HostEffect::Send(to, message) => self.deliver(index, &[to], *message),
            HostEffect::Broadcast(receivers, message) => self.deliver(index, &receivers, *message),
            _ => {}
        }
    }

    fn deliver(&mut self, from: usize, receivers: &[HostIdentity], message: PeerMessage) {
        if !self.hosts[from].is_heard {
            return;
        }
        let from = self.hosts[from].me.clone();
        let envelope = PeerEnvelope { version: MESSAGE_VERSION, from, message };
        for host in self.hosts.iter_mut().filter(|host| host.is_heard && host.is_up) {
            if receivers.iter().any(|receiver| receiver.address == host.me.address) {
                host.host.submit(HostEvent::Peer(Box::new(envelope.clone())));
            }
        }
    }

    fn call(&mut self, index: usize, id: StoreCallId, op: StoreOp) {
        let outcome = match self.hosts[index].link {
            StoreLink::Open => self.store.answer(&mut self.hosts[index].era, op),
            StoreLink::Down => StoreOutcome::Failed,
            StoreLink::LosesAnswers => {
                self.store.execute(op);
                StoreOutcome::Failed
            }
            StoreLink::Slow => {
                let outcome = self.store.answer(&mut self.hosts[index].era, op);
                self.hosts[index].answers.push((id, outcome));
                return;
            }
            StoreLink::Late => {
                self.hosts[index].late.push(op);
                StoreOutcome::Failed
            }
        };
        self.hosts[index].host.submit(HostEvent::StoreOutcome(id, outcome));
    }

    /// Announces the lease record to a host, as its watch would.
    pub fn announce_lease(&mut self, index: usize) {
        let key = format!("lease/{}", self.hosts[index].me.scope);
        if let StoreOutcome::Found { version, value } = self.store.read(&key) {
            self.hosts[index].era = self.store.era();
            self.hosts[index].host.submit(HostEvent::Lease(version, value));
            self.process_effects();
        }
    }
}
