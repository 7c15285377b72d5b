//! All stand-ins with entry hosts, on loopback, in one process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use actix_rt::time::sleep;
use tokio::sync::oneshot;
use wagtailledge_decisions::configuration::ItemMap;
use wagtailledge_decisions::configuration::to_items;
use wagtailledge_decisions::host::HostStatus;
use wagtailledge_entry::EntryHost;
use wagtailledge_entry::HostAdapters;
use wagtailledge_entry::etcd_adapters;
use wagtailledge_inventory::InventoryCatalog;
use wagtailledge_inventory::InventoryDocument;
use wagtailledge_inventory::document::InstanceEntry;
use wagtailledge_keyvalue::EtcdService;
use wagtailledge_keyvalue::HostEntry;
use wagtailledge_operator::ConfigurationStore;
use wagtailledge_settings::HostSettings;
use wagtailledge_settings::file::parse_settings;

use crate::engine::EngineSpec;
use crate::engine::EngineStandIn;
use crate::engine::WeightStandIn;
use crate::hosts::HostListStandIn;
use crate::http::StandInServer;
use crate::service::ServiceStandIn;
use crate::store::StoreStandIn;

/// Secret of the local stack.
pub const SECRET: &str = "a secret for the loopback interface only";
/// Between two looks at a condition.
const WAIT_PAUSE: Duration = Duration::from_millis(20);

/// How stand-in engines behave.
#[derive(Debug, Clone, Copy)]
pub struct EnginePace {
    /// Time to load a model at the store's full speed.
    pub load_time: Duration,
    /// Time between two tokens.
    pub token_time: Duration,
}

/// An entry host on a thread of its own.
#[derive(Debug)]
pub struct HostThread {
    /// Name of the host.
    pub name: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other hosts and operators.
    pub peers: SocketAddr,
    /// Address for readiness checks, where callers' port does not answer them.
    pub readiness: Option<SocketAddr>,
    /// Address where metrics are served, if they are.
    pub metrics: Option<SocketAddr>,
    end: Option<oneshot::Sender<HostEnd>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HostEnd {
    Kill,
    Drain,
}

impl HostThread {
    fn start(settings: HostSettings) -> Self {
        Self::start_with(settings, etcd_adapters)
    }

    /// Starts a host that speaks to the outside by what `adapters` makes.
    ///
    /// # Panics
    /// When it does not start.
    pub fn start_with(
        settings: HostSettings,
        adapters: impl FnOnce(&HostSettings) -> HostAdapters + Send + 'static,
    ) -> Self {
        let name = settings.host.name.clone();
        let (ready, addresses) = mpsc::channel();
        let (end, ended) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let host = EntryHost::start(&settings, adapters(&settings))
                    .await
                    .expect("free loopback ports");
                let _ = ready.send((
                    host.caller_address(),
                    host.peer_address(),
                    host.readiness_address(),
                    host.metrics_address(),
                ));
                if ended.await == Ok(HostEnd::Drain) {
                    host.drain().await;
                }
            });
        });
        let (callers, peers, readiness, metrics) = addresses.recv().expect("the entry host starts");
        Self { name, callers, peers, readiness, metrics, end: Some(end), thread: Some(thread) }
    }

    fn finish(&mut self, end: HostEnd) {
        if let Some(sender) = self.end.take() {
            let _ = sender.send(end);
        }
    }

    /// Ends it at once, with all its connections.
    pub fn kill(&mut self) {
        self.finish(HostEnd::Kill);
        self.join();
    }

    /// Asks it to leave gracefully; returns before it has.
    pub fn begin_drain(&mut self) {
        self.finish(HostEnd::Drain);
    }

    /// Waits until it has ended.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    /// Asks it for its status.
    pub async fn status(&self) -> Option<HostStatus> {
        let seal = wagtailledge_operator::fleet::seal_of(SECRET);
        let text =
            wagtailledge_operator::fleet::fetch_host_status(&self.peers.to_string(), &seal).await;
        text.ok()
    }
}

impl Drop for HostThread {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A whole deployment on loopback.
#[derive(Debug)]
pub struct LocalStack {
    /// The inventory in force, with the addresses of the stand-ins.
    pub document: InventoryDocument,
    /// The key-value service.
    pub store: StoreStandIn,
    /// The host list.
    pub hosts: HostListStandIn,
    /// The engines, in the order of the inventory.
    pub engines: Vec<EngineStandIn>,
    /// The plain services, in the order of the inventory.
    pub services: Vec<ServiceStandIn>,
    /// The entry hosts.
    pub entries: Vec<HostThread>,
    /// Servers of the engines, in the order of the inventory.
    pub engine_servers: Vec<StandInServer>,
    /// Servers of the services' instances.
    pub service_servers: Vec<StandInServer>,
    store_server: StandInServer,
    host_server: StandInServer,
}

impl LocalStack {
    /// Starts stand-ins for `document` and entry hosts with the given names and zones.
    pub async fn start(
        mut document: InventoryDocument,
        pace: EnginePace,
        entries: &[(&str, &str)],
    ) -> Self {
        let store = StoreStandIn::default();
        let hosts = HostListStandIn::default();
        let (store_server, host_server) = (store.start(), hosts.start());
        let mut stack = Self {
            document: InventoryDocument::default(),
            store,
            hosts,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            engine_servers: Vec::new(),
            service_servers: Vec::new(),
            store_server,
            host_server,
        };
        stack.start_engines(&mut document, pace);
        stack.start_services(&mut document);
        stack.document = document;
        stack.apply(&ItemMap::new(), "first").await;
        for (name, zone) in entries {
            stack.add_entry(name, zone);
        }
        stack
    }

    fn start_engines(&mut self, document: &mut InventoryDocument, pace: EnginePace) {
        let weights = WeightStandIn::default();
        for entry in &mut document.engines {
            let engine = EngineStandIn::new(
                EngineSpec {
                    name: entry.name.clone(),
                    memory: entry.memory.0,
                    checks_tokens: entry.checks_tokens,
                    slots: entry.slots,
                    load_time: pace.load_time,
                    token_time: pace.token_time,
                },
                weights.clone(),
            );
            let server = engine.start();
            entry.address = server.address().to_string();
            self.list_upstream(&entry.name, &entry.zone);
            self.engines.push(engine);
            self.engine_servers.push(server);
        }
    }

    fn start_services(&mut self, document: &mut InventoryDocument) {
        for entry in &mut document.services {
            let service = ServiceStandIn::default();
            for instance in &mut entry.instances {
                let instance: &mut InstanceEntry = instance;
                let server = service.start();
                instance.address = server.address().to_string();
                self.list_upstream(&instance.name, &instance.zone);
                self.service_servers.push(server);
            }
            self.services.push(service);
        }
    }

    fn list_upstream(&self, name: &str, zone: &str) {
        self.hosts.put(HostEntry {
            name: name.to_owned(),
            zone: zone.to_owned(),
            peer_address: String::new(),
            leaving: false,
        });
    }

    /// Base URL of the key-value service.
    pub fn store_url(&self) -> String {
        format!("http://{}", self.store_server.address())
    }

    /// URL of the host list.
    pub fn hosts_url(&self) -> String {
        format!("http://{}/hosts", self.host_server.address())
    }

    /// Settings of an entry host of this stack, as TOML.
    pub fn settings_text(&self, name: &str, zone: &str) -> String {
        format!(
            "[host]\nname = \"{name}\"\nzone = \"{zone}\"\n\
             [listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             [platform]\nkey_value = \"{}\"\nhost_list = \"{}\"\ntimeout = \"500ms\"\n\
             [security]\nshared_secret = \"{SECRET}\"\n\
             [drain]\nnotice = \"200ms\"\n",
            self.store_url(),
            self.hosts_url(),
        )
    }

    /// Starts one more entry host and puts it on the host list.
    pub fn add_entry(&mut self, name: &str, zone: &str) {
        let text = self.settings_text(name, zone);
        let settings = parse_settings("local stack", &text).expect("its settings are valid");
        let entry = HostThread::start(settings);
        self.hosts.put(HostEntry {
            name: name.to_owned(),
            zone: zone.to_owned(),
            peer_address: entry.peers.to_string(),
            leaving: false,
        });
        self.entries.push(entry);
    }

    /// Gets the inventory in `document` accepted over `base`. Returns the revision.
    pub async fn apply(&self, base: &ItemMap, edit: &str) -> u64 {
        let service = Rc::new(EtcdService::new(&self.store_url(), Duration::from_secs(1)));
        let store = ConfigurationStore::new(service);
        let edited = to_items(&self.document);
        store.accept(edit, base, &edited).await.expect("a valid edit").revision
    }

    /// The zone that should hold an asset.
    pub fn home_zone(&self, asset: &str) -> String {
        let mut catalog = InventoryCatalog::default();
        catalog.replace(1, &self.document);
        let key = catalog.asset_named(asset).expect("the asset is declared");
        catalog.scopes_by_preference(key)[0].to_owned()
    }

    /// Waits until every zone has a leader with all its engines claimed, or `patience` is over.
    pub async fn wait_ready(&self, patience: Duration) -> bool {
        let started = std::time::Instant::now();
        while started.elapsed() < patience {
            if self.is_ready().await {
                return true;
            }
            sleep(WAIT_PAUSE).await;
        }
        false
    }

    async fn is_ready(&self) -> bool {
        let mut zones = std::collections::BTreeMap::new();
        for entry in &self.entries {
            let Some(status) = entry.status().await else {
                return false;
            };
            if status.revision == 0 || status.leader.is_none() {
                return false;
            }
            let led: &mut bool = zones.entry(status.zone.clone()).or_default();
            *led |= status.authority;
        }
        zones.values().all(|led| *led)
    }
}
