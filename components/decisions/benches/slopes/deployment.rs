//! A leader and a follower of one zone, with everything outside answered at once.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::HostReducer;
use wagtailledge_decisions::HostStamp;
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
use wagtailledge_decisions::order::EngineListing;
use wagtailledge_decisions::order::HeldAsset;
use wagtailledge_decisions::order::HeldState;
use wagtailledge_decisions::order::OrderKind;
use wagtailledge_decisions::order::OrderOutcome;
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

/// Models at every size.
pub const MODELS: usize = 110;
/// Zones at every size.
pub const ZONES: usize = 21;
/// Start of the clock, in microseconds.
const CLOCK_START: u64 = 1_000_000_000;

/// Size of a deployment.
#[derive(Debug)]
pub struct DeploymentSize {
    /// Name in the table.
    pub label: &'static str,
    /// Engines in all zones.
    pub engines: usize,
    /// Adapters.
    pub adapters: usize,
    /// Entry hosts in all zones.
    pub hosts: usize,
}

/// Name of a zone.
pub fn zone(index: usize) -> String {
    format!("zone-{index:02}")
}

/// Builds the inventory of a size.
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

/// One process with its surroundings.
#[derive(Debug)]
pub struct BenchHost {
    /// Its decisions.
    pub reducer: HostReducer,
    /// Its clock.
    pub now: Moment,
    /// Messages it sent and that were not taken yet.
    pub sent: Vec<(HostStamp, PeerMessage)>,
    held: HashMap<UpstreamKey, BTreeMap<String, u64>>,
    values: BTreeMap<String, (u64, String)>,
    version: u64,
}

/// Stamp of a host.
pub fn stamp(zone_index: usize, number: usize) -> HostStamp {
    HostStamp {
        name: format!("host-{zone_index:02}-{number:02}"),
        zone: zone(zone_index),
        scope: zone(zone_index),
        address: format!("10.9.{zone_index}.{number}:7000"),
        incarnation: 0x1234_5678_9abc_def0,
        capacity: 0,
    }
}

/// The host list of a size.
pub fn host_list(size: &DeploymentSize) -> Vec<ListedHost> {
    let entry = |index: usize| {
        let stamp = stamp(index % ZONES, index / ZONES);
        ListedHost {
            name: stamp.name,
            zone: stamp.zone,
            scope: stamp.scope,
            peer_address: stamp.address,
            capacity: 0,
            state: ListedState::Live,
        }
    };
    let engine = |index: usize| ListedHost {
        name: format!("engine-{index:05}"),
        zone: zone(index % ZONES),
        scope: zone(index % ZONES),
        peer_address: String::new(),
        capacity: 0,
        state: ListedState::Live,
    };
    (0..size.hosts).map(entry).chain((0..size.engines).map(engine)).collect()
}

impl BenchHost {
    /// A host that has the inventory in force and knows the host list.
    pub fn new(size: &DeploymentSize, items: &ItemMap, number: usize) -> Self {
        let now = Moment(CLOCK_START);
        let me = stamp(0, number);
        let reducer = HostReducer::new(now, me, TimingRules::default(), 1);
        let mut host = Self {
            reducer,
            now,
            sent: Vec::new(),
            held: HashMap::new(),
            values: BTreeMap::new(),
            version: 0,
        };
        let changes = difference(&ItemMap::new(), items);
        host.receive(stamp(1, 1), offer(0, 1, digest_of(items), changes));
        host.submit(HostEvent::Hosts(now, host_list(size)));
        host
    }

    /// What a host that is up to date confirms of this leader's table.
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

    /// Takes in a message from another host.
    pub fn receive(&mut self, from: HostStamp, message: PeerMessage) {
        let envelope = PeerEnvelope { version: MESSAGE_VERSION, from, message };
        self.submit(HostEvent::Peer(Box::new(envelope)));
    }

    /// Takes in an event; everything outside but other hosts answers at once.
    pub fn submit(&mut self, event: HostEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut effects = Vec::new();
            self.reducer.reduce(self.now, event, &mut effects);
            for effect in effects {
                match effect {
                    HostEffect::Store(call) => {
                        let outcome = self.store(call.op);
                        events.push(HostEvent::Store(call.id, outcome));
                    }
                    HostEffect::Order(order) => {
                        let outcome = self.order(order.upstream, order.kind);
                        events.push(HostEvent::Order(order.key, outcome));
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

    fn store(&mut self, op: StoreOp) -> StoreOutcome {
        match op {
            StoreOp::Read { key } => match self.values.get(&key) {
                Some((version, value)) => {
                    StoreOutcome::Found { version: *version, value: value.clone() }
                }
                None => StoreOutcome::Absent,
            },
            StoreOp::Swap { key, value, .. } => {
                self.version += 1;
                self.values.insert(key, (self.version, value));
                StoreOutcome::Done { version: self.version }
            }
            StoreOp::Delete { .. } => StoreOutcome::Done { version: 0 },
        }
    }

    fn order(&mut self, upstream: UpstreamKey, kind: OrderKind) -> OrderOutcome {
        let held = self.held.entry(upstream).or_default();
        match kind {
            OrderKind::LoadModel { asset, bytes } | OrderKind::LoadAdapter { asset, bytes, .. } => {
                held.insert(asset, bytes);
            }
            OrderKind::Unload { asset } => {
                held.remove(&asset);
            }
            OrderKind::Claim => {}
        }
        let item = |(asset, bytes): (&String, &u64)| HeldAsset {
            asset: asset.clone(),
            bytes: *bytes,
            state: HeldState::Ready,
        };
        let held = held.iter().map(item).collect();
        OrderOutcome::Accepted(EngineListing { held, ..EngineListing::default() })
    }

    /// Puts replicas on an engine before the process claims it.
    pub fn preload(&mut self, upstream: UpstreamKey, asset: &str, bytes: u64) {
        self.held.entry(upstream).or_default().insert(asset.to_owned(), bytes);
    }

    /// Lets time pass in ticks of ten milliseconds.
    pub fn run(&mut self, span: Duration) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(Duration::from_millis(10));
            self.submit(HostEvent::Tick);
        }
    }
}

/// An offer of configuration changes.
pub fn offer(
    base: u64,
    revision: u64,
    digest: u64,
    changes: Vec<ConfigurationChange>,
) -> PeerMessage {
    PeerMessage::ConfigurationOffer { base, revision, digest, changes }
}

/// Items of a size's inventory.
pub fn items(size: &DeploymentSize) -> ItemMap {
    to_items(&document(size))
}
