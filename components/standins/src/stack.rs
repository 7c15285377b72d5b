//! A deployment of all stand-ins and entry hosts on loopback, in one process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use actix_rt::time::sleep;
use tokio::sync::mpsc as unbounded;
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

/// Shared secret of all entry hosts of a stack.
pub const SHARED_SECRET: &str = "a secret for the loopback interface only";
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Simulated durations of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineTiming {
    /// Time to load a model at the full speed of the weight store.
    pub load_time: Duration,
    /// Time to produce one token.
    pub token_time: Duration,
}

/// An entry host that runs on its own thread; killed when dropped.
#[derive(Debug)]
pub struct HostThread {
    /// Name of the entry host.
    pub name: String,
    /// Address of the HTTP server for callers.
    pub caller_address: SocketAddr,
    /// Address of the server for other hosts and operators.
    pub peer_address: SocketAddr,
    /// Address of the readiness checks; `None` when they have no port of their own.
    pub readiness_address: Option<SocketAddr>,
    /// Address of the metrics as text; `None` when they are not served.
    pub metrics_address: Option<SocketAddr>,
    stop: Option<oneshot::Sender<HostStop>>,
    freezes: unbounded::UnboundedSender<Duration>,
    thread: Option<std::thread::JoinHandle<()>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HostStop {
    Kill,
    Drain,
}

impl HostThread {
    fn start(settings: HostSettings) -> Self {
        Self::start_with(settings, etcd_adapters)
    }

    /// Starts a host that reaches external systems through the result of `adapters`.
    ///
    /// # Panics
    /// When the host does not start.
    pub fn start_with(
        settings: HostSettings,
        adapters: impl FnOnce(&HostSettings) -> HostAdapters + Send + 'static,
    ) -> Self {
        let name = settings.host.name.clone();
        let (ready, addresses) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let (freezes, mut frozen) = unbounded::unbounded_channel::<Duration>();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let host = EntryHost::start(&settings, adapters(&settings))
                    .await
                    .expect("the entry host binds free loopback ports");
                let _ = ready.send((
                    host.caller_address(),
                    host.peer_address(),
                    host.readiness_address(),
                    host.metrics_address(),
                ));
                actix_rt::spawn(async move {
                    while let Some(time) = frozen.recv().await {
                        // The host's only thread: nothing of it runs meanwhile.
                        std::thread::sleep(time);
                    }
                });
                if stopped.await == Ok(HostStop::Drain) {
                    host.drain().await;
                }
            });
        });
        let (caller_address, peer_address, readiness_address, metrics_address) =
            addresses.recv().expect("the entry host starts");
        Self {
            name,
            caller_address,
            peer_address,
            readiness_address,
            metrics_address,
            stop: Some(stop),
            freezes,
            thread: Some(thread),
        }
    }

    fn send_stop(&mut self, mode: HostStop) {
        if let Some(sender) = self.stop.take() {
            let _ = sender.send(mode);
        }
    }

    /// Freezes the host for a time. Its connections stay open.
    pub fn freeze(&self, time: Duration) {
        let _ = self.freezes.send(time);
    }

    /// Stops the host at once and closes all its connections.
    pub fn kill(&mut self) {
        self.send_stop(HostStop::Kill);
        self.join();
    }

    /// Starts draining the host and returns at once.
    pub fn begin_drain(&mut self) {
        self.send_stop(HostStop::Drain);
    }

    /// Blocks until the host has stopped.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    /// Requests the status of the host; `None` when it does not answer.
    pub async fn status(&self) -> Option<HostStatus> {
        let seal = wagtailledge_operator::fleet::seal_of(SHARED_SECRET);
        let text =
            wagtailledge_operator::fleet::fetch_host_status(&self.peer_address.to_string(), &seal)
                .await;
        text.ok()
    }
}

impl Drop for HostThread {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A deployment of stand-ins and entry hosts on loopback.
#[derive(Debug)]
pub struct LocalStack {
    /// The inventory, with the addresses of the stand-ins; tests change it and then call `apply`.
    pub document: InventoryDocument,
    /// The key-value service.
    pub store: StoreStandIn,
    /// The host list.
    pub host_list: HostListStandIn,
    /// The model engines, in the order of the inventory.
    pub engines: Vec<EngineStandIn>,
    /// The plain services, in the order of the inventory.
    pub services: Vec<ServiceStandIn>,
    /// The entry hosts, in the order in which they were started.
    pub entry_hosts: Vec<HostThread>,
    /// HTTP servers of the engines, in the order of the inventory.
    pub engine_servers: Vec<StandInServer>,
    /// HTTP servers of the instances of all services, in the order of the inventory.
    pub service_servers: Vec<StandInServer>,
    store_server: StandInServer,
    host_list_server: StandInServer,
}

impl LocalStack {
    /// Starts stand-ins for `document` and entry hosts with the given names and zones.
    pub async fn start(
        mut document: InventoryDocument,
        timing: EngineTiming,
        entry_hosts: &[(&str, &str)],
    ) -> Self {
        let store = StoreStandIn::default();
        let host_list = HostListStandIn::default();
        let (store_server, host_list_server) = (store.start(), host_list.start());
        let mut stack = Self {
            document: InventoryDocument::default(),
            store,
            host_list,
            engines: Vec::new(),
            services: Vec::new(),
            entry_hosts: Vec::new(),
            engine_servers: Vec::new(),
            service_servers: Vec::new(),
            store_server,
            host_list_server,
        };
        stack.start_engines(&mut document, timing);
        stack.start_services(&mut document);
        stack.document = document;
        stack.apply(&ItemMap::new(), "first").await;
        for (name, zone) in entry_hosts {
            stack.add_entry_host(name, zone);
        }
        stack
    }

    fn start_engines(&mut self, document: &mut InventoryDocument, timing: EngineTiming) {
        let weights = WeightStandIn::default();
        for entry in &mut document.engines {
            let engine = EngineStandIn::new(
                EngineSpec {
                    name: entry.name.clone(),
                    memory: entry.memory.0,
                    checks_tokens: entry.checks_tokens,
                    slots: entry.slots,
                    load_time: timing.load_time,
                    token_time: timing.token_time,
                },
                weights.clone(),
            );
            let server = engine.start();
            entry.address = server.address().to_string();
            self.add_to_host_list(&entry.name, &entry.zone);
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
                self.add_to_host_list(&instance.name, &instance.zone);
                self.service_servers.push(server);
            }
            self.services.push(service);
        }
    }

    fn add_to_host_list(&self, name: &str, zone: &str) {
        self.host_list.put(HostEntry {
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
    pub fn host_list_url(&self) -> String {
        format!("http://{}/hosts", self.host_list_server.address())
    }

    /// Settings file (TOML) for an entry host of this stack.
    pub fn settings_text(&self, name: &str, zone: &str) -> String {
        format!(
            "[host]\nname = \"{name}\"\nzone = \"{zone}\"\n\
             [listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             [platform]\nkey_value = \"{}\"\nhost_list = \"{}\"\ntimeout = \"500ms\"\n\
             [security]\nshared_secret = \"{SHARED_SECRET}\"\n\
             [drain]\nnotice = \"200ms\"\n",
            self.store_url(),
            self.host_list_url(),
        )
    }

    /// Starts another entry host and adds it to the host list.
    pub fn add_entry_host(&mut self, name: &str, zone: &str) {
        let text = self.settings_text(name, zone);
        let settings = parse_settings("local stack", &text).expect("the settings are valid");
        let host = HostThread::start(settings);
        self.host_list.put(HostEntry {
            name: name.to_owned(),
            zone: zone.to_owned(),
            peer_address: host.peer_address.to_string(),
            leaving: false,
        });
        self.entry_hosts.push(host);
    }

    /// Merges the edit that turned `base` into `document` into the stored configuration, under the
    /// id `edit`. Returns the revision that contains the edit.
    pub async fn apply(&self, base: &ItemMap, edit: &str) -> u64 {
        let service = Rc::new(EtcdService::new(&self.store_url(), Duration::from_secs(1)));
        let store = ConfigurationStore::new(service);
        let edited = to_items(&self.document);
        store.accept(edit, base, &edited).await.expect("the edit is valid").revision
    }

    /// Availability zone that an asset is placed in first.
    pub fn home_zone(&self, asset: &str) -> String {
        let mut catalog = InventoryCatalog::default();
        catalog.replace(1, &self.document);
        let key = catalog.asset_named(asset).expect("the asset is declared");
        catalog.scopes_by_preference(key)[0].to_owned()
    }

    /// Waits until every host has a configuration in force and knows its leader, and every zone has
    /// a leader that may send orders. Returns `false` after `timeout`.
    pub async fn wait_until_ready(&self, timeout: Duration) -> bool {
        let started = std::time::Instant::now();
        while started.elapsed() < timeout {
            if self.is_ready().await {
                return true;
            }
            sleep(POLL_INTERVAL).await;
        }
        false
    }

    async fn is_ready(&self) -> bool {
        let mut zones = std::collections::BTreeMap::new();
        for host in &self.entry_hosts {
            let Some(status) = host.status().await else {
                return false;
            };
            if status.revision == 0 || status.leader.is_none() {
                return false;
            }
            let has_leader: &mut bool = zones.entry(status.zone.clone()).or_default();
            *has_leader |= status.authority;
        }
        zones.values().all(|has_leader| *has_leader)
    }
}
