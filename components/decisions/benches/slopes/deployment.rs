//! Entry hosts of one zone whose store calls and engine orders are answered at once.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::HostIdentity;
use wagtailledge_decisions::HostReducer;
use wagtailledge_decisions::Moment;
use wagtailledge_decisions::TimingRules;
use wagtailledge_decisions::configuration::ConfigurationChange;
use wagtailledge_decisions::configuration::ItemMap;
use wagtailledge_decisions::configuration::difference;
use wagtailledge_decisions::configuration::digest_of;
use wagtailledge_decisions::configuration::to_items;
use wagtailledge_decisions::event::ListedHost;
use wagtailledge_decisions::event::ListedState;
use wagtailledge_decisions::message::MESSAGE_VERSION;
use wagtailledge_decisions::message::PeerEnvelope;
use wagtailledge_decisions::message::PeerMessage;
use wagtailledge_decisions::message::TableAck;
use wagtailledge_decisions::order::EngineReport;
use wagtailledge_decisions::order::OrderKind;
use wagtailledge_decisions::order::OrderOutcome;
use wagtailledge_decisions::order::ResidentAsset;
use wagtailledge_decisions::order::ResidentState;
use wagtailledge_decisions::store::StoreOp;
use wagtailledge_decisions::store::StoreOutcome;
use wagtailledge_inventory::ByteSize;
use wagtailledge_inventory::InventoryDocument;
use wagtailledge_inventory::TimeSpan;
use wagtailledge_inventory::UpstreamKey;
use wagtailledge_inventory::document::AdapterEntry;
use wagtailledge_inventory::document::ClassRule;
use wagtailledge_inventory::document::EngineEntry;
use wagtailledge_inventory::document::LoadTimes;
use wagtailledge_inventory::document::ModelEntry;
use wagtailledge_inventory::document::VersionState;

/// Number of models at every size.
pub const MODELS: usize = 110;
/// Number of availability zones at every size.
pub const ZONES: usize = 21;
/// Start of the clock, in microseconds.
const CLOCK_START: u64 = 1_000_000_000;

/// Size of a measured deployment.
#[derive(Debug)]
pub struct DeploymentSize {
    /// Name of the size in the printed table.
    pub label: &'static str,
    /// Number of engines in all zones.
    pub engines: usize,
    /// Number of adapters.
    pub adapters: usize,
    /// Number of entry hosts in all zones.
    pub hosts: usize,
}

/// Returns the name of the zone with this index.
pub fn zone(index: usize) -> String {
    format!("zone-{index:02}")
}

/// Builds the inventory of a deployment of this size.
pub fn document(size: &DeploymentSize) -> InventoryDocument {
    let class = ClassRule {
        name: "alarm".to_owned(),
        rank: 0,
        deadline: TimeSpan(Duration::from_secs(15)),
    };
    let model = |index: usize| ModelEntry {
        name: format!("model-{index:03}"),
        version: 1,
        state: VersionState::Pinned,
        size: ByteSize(30 << 30),
        class: "alarm".to_owned(),
        service: None,
        loads: LoadTimes::default(),
        floor: 0,
        cap: 40,
    };
    let adapter = |index: usize| AdapterEntry {
        name: format!("adapter-{index:05}"),
        base: format!("model-{:03}", index % MODELS),
        size: ByteSize(200 << 20),
        class: "alarm".to_owned(),
    };
    let engine = |index: usize| EngineEntry {
        name: format!("engine-{index:05}"),
        zone: zone(index % ZONES),
        address: format!("10.{}.{}.{}:8000", index / 65_536, index / 256 % 256, index % 256),
        accelerators: 4,
        memory: ByteSize(320 << 30),
        slots: 32,
        checks_tokens: true,
        service: None,
    };
    InventoryDocument {
        classes: vec![class],
        models: (0..MODELS).map(model).collect(),
        adapters: (0..size.adapters).map(adapter).collect(),
        engines: (0..size.engines).map(engine).collect(),
        ..InventoryDocument::default()
    }
}

/// An entry host with the store and the engines that it uses.
#[derive(Debug)]
pub struct BenchHost {
    /// Reducer that makes the host's decisions.
    pub reducer: HostReducer,
    /// Current time of the host's clock.
    pub now: Moment,
    /// Messages sent since a caller last cleared the list, with their receivers.
    pub sent: Vec<(HostIdentity, PeerMessage)>,
    /// Bytes of each resident asset by engine and asset name.
    resident: HashMap<UpstreamKey, BTreeMap<String, u64>>,
    /// Version and value of each key in the store.
    stored: BTreeMap<String, (u64, String)>,
    version: u64,
}

/// Returns the identity of a host of the zone with this index.
pub fn identity(zone_index: usize, number: usize) -> HostIdentity {
    HostIdentity {
        name: format!("host-{zone_index:02}-{number:02}"),
        zone: zone(zone_index),
        scope: zone(zone_index),
        address: format!("10.9.{zone_index}.{number}:7000"),
        incarnation: 0x1234_5678_9abc_def0,
        capacity: 0,
    }
}

/// Returns the host list of a deployment of this size.
pub fn host_list(size: &DeploymentSize) -> Vec<ListedHost> {
    let entry = |index: usize| {
        let identity = identity(index % ZONES, index / ZONES);
        ListedHost {
            name: identity.name,
            zone: identity.zone,
            scope: identity.scope,
            peer_address: identity.address,
            capacity: 0,
            state: ListedState::Live,
            process: None,
        }
    };
    let engine = |index: usize| ListedHost {
        name: format!("engine-{index:05}"),
        zone: zone(index % ZONES),
        scope: zone(index % ZONES),
        peer_address: String::new(),
        capacity: 0,
        state: ListedState::Live,
        process: None,
    };
    (0..size.hosts).map(entry).chain((0..size.engines).map(engine)).collect()
}

impl BenchHost {
    /// Creates a host of the first zone that has the configuration in force and has read the host
    /// list.
    pub fn new(size: &DeploymentSize, items: &ItemMap, number: usize) -> Self {
        let now = Moment(CLOCK_START);
        let me = identity(0, number);
        let reducer = HostReducer::new(now, me, TimingRules::default(), 1);
        let mut host = Self {
            reducer,
            now,
            sent: Vec::new(),
            resident: HashMap::new(),
            stored: BTreeMap::new(),
            version: 0,
        };
        let changes = difference(&ItemMap::new(), items);
        host.receive(identity(1, 1), offer(0, 1, digest_of(items), changes));
        host.submit(HostEvent::HostListRead(now, host_list(size)));
        host
    }

    /// Acknowledgement that an up-to-date host sends for this leader's last table.
    pub fn ack(&self) -> TableAck {
        let notices = self.sent.iter().rev().filter_map(|(_, message)| match message {
            PeerMessage::Leader(notice) => Some(&notice.update),
            _ => None,
        });
        let update = notices.take(1).next();
        update.map_or_else(TableAck::default, |update| TableAck {
            table: update.table,
            version: update.version,
        })
    }

    /// Applies a message from another host.
    pub fn receive(&mut self, from: HostIdentity, message: PeerMessage) {
        let envelope = PeerEnvelope { version: MESSAGE_VERSION, from, message };
        self.submit(HostEvent::Peer(Box::new(envelope)));
    }

    /// Applies an event. The store and the engines answer at once; messages are kept in `sent`.
    pub fn submit(&mut self, event: HostEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut effects = Vec::new();
            self.reducer.reduce(self.now, event, &mut effects);
            for effect in effects {
                match effect {
                    HostEffect::Store(call) => {
                        let outcome = self.answer_call(call.op);
                        events.push(HostEvent::StoreOutcome(call.id, outcome));
                    }
                    HostEffect::Order(order) => {
                        let outcome = self.answer_order(order.upstream, order.kind);
                        events.push(HostEvent::OrderOutcome(order.key, outcome));
                    }
                    HostEffect::Send(to, message) => self.sent.push((to, *message)),
                    HostEffect::Broadcast(receivers, message) => {
                        let copies = receivers.into_iter().map(|to| (to, message.as_ref().clone()));
                        self.sent.extend(copies);
                    }
                    _ => {}
                }
            }
        }
    }

    fn answer_call(&mut self, op: StoreOp) -> StoreOutcome {
        match op {
            StoreOp::Read { key } => match self.stored.get(&key) {
                Some((version, value)) => {
                    StoreOutcome::Found { version: *version, value: value.clone() }
                }
                None => StoreOutcome::Absent { version: 0 },
            },
            StoreOp::CompareAndSwap { key, value, .. } => {
                self.version += 1;
                self.stored.insert(key, (self.version, value));
                StoreOutcome::Done { version: self.version }
            }
            StoreOp::Delete { .. } => StoreOutcome::Done { version: 0 },
        }
    }

    fn answer_order(&mut self, upstream: UpstreamKey, kind: OrderKind) -> OrderOutcome {
        let resident = self.resident.entry(upstream).or_default();
        match kind {
            OrderKind::LoadModel { asset, bytes } | OrderKind::LoadAdapter { asset, bytes, .. } => {
                resident.insert(asset, bytes);
            }
            OrderKind::Unload { asset } => {
                resident.remove(&asset);
            }
            OrderKind::Claim => {}
        }
        let item = |(asset, bytes): (&String, &u64)| ResidentAsset {
            asset: asset.clone(),
            bytes: *bytes,
            state: ResidentState::Ready,
        };
        let resident = resident.iter().map(item).collect();
        OrderOutcome::Accepted(EngineReport { resident, ..EngineReport::default() })
    }

    /// Makes an asset resident in an engine before the leader claims that engine.
    pub fn preload(&mut self, upstream: UpstreamKey, asset: &str, bytes: u64) {
        self.resident.entry(upstream).or_default().insert(asset.to_owned(), bytes);
    }

    /// Advances the clock by `span` in ticks of ten milliseconds.
    pub fn run(&mut self, span: Duration) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(Duration::from_millis(10));
            self.submit(HostEvent::Tick);
        }
    }
}

/// Builds an offer of configuration changes.
pub fn offer(
    base: u64,
    revision: u64,
    digest: u64,
    changes: Vec<ConfigurationChange>,
) -> PeerMessage {
    PeerMessage::ConfigurationOffer { base, revision, digest, changes }
}

/// Returns the configuration items of a deployment of this size.
pub fn items(size: &DeploymentSize) -> ItemMap {
    to_items(&document(size))
}
