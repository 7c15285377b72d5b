//! A deployment of the users' platform and entry hosts on loopback.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use wagtailledge_settings::file::parse_settings;

use super::engine::FleetEngine;
use super::gate::StoreGate;
use super::service::FleetService;
use super::store::FleetStore;
use crate::http::StandInServer;
use crate::stack::HostThread;
use crate::stack::SHARED_SECRET;

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Size of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct FleetSpec {
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of engines; each has memory for two models and starts with `m0` resident.
    pub engines: usize,
    /// Number of models in the configuration, named `m0`, `m1` and so on.
    pub models: usize,
    /// Time to load a model.
    pub load_time: Duration,
}

/// A deployment on loopback with the single zone `east`. Routes match the HTTP host `farm.example`.
#[derive(Debug)]
pub struct FleetStack {
    /// The platform's store.
    pub store: FleetStore,
    /// The model engines.
    pub engines: Vec<FleetEngine>,
    /// The two instances of the plain service `app`.
    pub services: Vec<FleetService>,
    /// The entry hosts, in the order in which they were started.
    pub hosts: Vec<HostThread>,
    spec: FleetSpec,
    store_server: StandInServer,
    servers: Vec<StandInServer>,
    /// Servers of the gates to the store.
    gates: Vec<StandInServer>,
    /// Number of engines that were replaced so far.
    replacements: u64,
}

impl FleetStack {
    /// Starts a deployment without waiting until its hosts are ready.
    ///
    /// # Panics
    /// When an entry host does not start.
    pub fn start(spec: FleetSpec) -> Self {
        let store = FleetStore::default();
        let store_server = store.start();
        let mut stack = Self {
            store,
            engines: Vec::new(),
            services: Vec::new(),
            hosts: Vec::new(),
            spec,
            store_server,
            servers: Vec::new(),
            gates: Vec::new(),
            replacements: 0,
        };
        stack.configure(1, json!([]));
        for number in 0..spec.engines {
            let engine = FleetEngine::new(&format!("i-engine-{number}"), &["m0"], spec.load_time);
            stack.servers.push(engine.start());
            stack.engines.push(engine);
        }
        for number in 0..2 {
            let service = FleetService::new(&format!("i-service-{number}"));
            stack.servers.push(service.start());
            stack.services.push(service);
        }
        stack.register();
        for number in 0..spec.hosts {
            stack.add_host(&format!("east-{number}"));
        }
        stack
    }

    /// Writes a configuration with the standard routes and `more_routes`, as operators do.
    pub fn configure(&self, version: u64, more_routes: Value) {
        self.configure_with(version, more_routes, &Value::Null);
    }

    /// Writes a configuration that also has accounts, unless `accounts` is null.
    pub fn configure_with(&self, version: u64, more_routes: Value, accounts: &Value) {
        let route = |name: &str, prefix: &str, kind: &str, service: &str| {
            json!({
                "name": name, "host": "farm.example", "prefix": prefix, "routeKind": kind,
                "timeoutMs": 5000, "targetLatencyMs": 500, "priority": 1, "service": service,
                "attempts": 2, "resumable": kind == "streaming"
            })
        };
        let mut routes = vec![
            route("ask", "/ask/", "streaming", "llm"),
            route("read", "/read/", "idempotent", "app"),
            route("act", "/act/", "non_idempotent", "app"),
        ];
        routes.extend(more_routes.as_array().cloned().unwrap_or_default());
        let model = |number: usize| {
            json!({
                "name": format!("m{number}"), "weightsMb": 40_000, "loadS": 1.0,
                "adapters": 2, "adapterMb": 60
            })
        };
        let models: Vec<Value> = (0..self.spec.models).map(model).collect();
        let engine = json!({
            "weightsMb": 100_000, "adapterSlots": 4, "kvCacheTokens": 100_000,
            "loadsPerS": 5.0, "models": models
        });
        let mut configuration = json!({
            "version": version, "routes": routes,
            "services": [
                { "name": "llm", "slots": 64, "engine": engine },
                { "name": "app", "slots": 6 }
            ],
            "limits": {
                "maxHeaderBytes": 8192, "maxBodyBytes": 65536, "headerTimeoutMs": 1000,
                "idleTimeoutMs": 5000
            }
        });
        if !accounts.is_null() {
            configuration["tenants"] = accounts.clone();
        }
        self.store.put("op/config", configuration.to_string().as_bytes());
    }

    /// Writes the store entry of every engine and service instance.
    pub fn register(&self) {
        self.register_with(|_| "ready");
    }

    /// Writes the store entries again; that of the upstream `name` says that it is leaving.
    pub fn announce_leaving(&self, name: &str) {
        self.register_with(|other| if other == name { "draining" } else { "ready" });
    }

    fn register_with(&self, state_of: impl Fn(&str) -> &'static str) {
        let engines = self.engines.iter();
        let engines =
            engines.map(|engine| (engine.name(), "llm", engine.software(), engine.models()));
        let services = self.services.iter();
        let services = services.map(|service| (service.name(), "app", "v1".to_owned(), json!([])));
        for ((name, service, version, models), server) in engines.chain(services).zip(&self.servers)
        {
            let entry = json!({
                "service": service, "address": server.address().to_string(), "zone": "east",
                "version": version, "slots": 64, "state": state_of(name), "models": models,
                "sequence": 1, "born": 1
            });
            self.store.put(&format!("servers/{name}"), entry.to_string().as_bytes());
        }
    }

    /// Starts another engine with these models resident. Its entry is written by [`Self::register`].
    pub fn add_engine(&mut self, models: &[&str]) -> FleetEngine {
        let number = self.engines.len();
        let engine = FleetEngine::new(&format!("i-engine-{number}"), models, self.spec.load_time);
        self.servers.insert(number, engine.start());
        self.engines.push(engine.clone());
        engine
    }

    /// Starts another engine in place of each one that crashed `downtime` ago or earlier. It has
    /// another name, the same fault and no models. Returns the engines that were replaced.
    pub fn replace_crashed_engines(&mut self, downtime: Duration) -> Vec<FleetEngine> {
        let mut replaced = Vec::new();
        for index in 0..self.engines.len() {
            let crashed_at = self.engines[index].crashed_at();
            if crashed_at.is_none_or(|at| at.elapsed() < downtime) {
                continue;
            }
            self.replacements += 1;
            let name = format!("i-engine-{index}-{}", self.replacements);
            let engine = self.engines[index].replacement(&name);
            self.servers[index] = engine.start();
            let old = std::mem::replace(&mut self.engines[index], engine);
            self.store.remove(&format!("servers/{}", old.name()));
            replaced.push(old);
        }
        if !replaced.is_empty() {
            self.register();
        }
        replaced
    }

    /// Settings file (TOML) for an entry host of this stack. No process ran in its place before, so that it
    /// need not wait with retries.
    pub fn settings_text(&self, name: &str) -> String {
        format!(
            "[host]\nname = \"{name}\"\nzone = \"east\"\n\
             [listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             readiness = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n\
             [platform]\nprotocol = \"store\"\naddress = \"{}\"\ntimeout = \"500ms\"\n\
             checks_tokens = true\n[security]\nshared_secret = \"{SHARED_SECRET}\"\n[retries]\nsettle = \"0s\"\n[drain]\nnotice = \"200ms\"\ngrace = \"5s\"\n\
             [timing]\nheartbeat = \"200ms\"\npeer_timeout = \"1s\"\nlease_ttl = \"2s\"\n\
             lease_renewal = \"500ms\"\nlease_margin = \"300ms\"\npromise_ttl = \"2s\"\n\
             retire_grace = \"0ms\"\neviction_idle = \"300ms\"\n",
            self.store_server.address()
        )
    }

    /// Starts another entry host.
    ///
    /// # Panics
    /// When the host does not start.
    pub fn add_host(&mut self, name: &str) {
        self.add_host_with(&self.settings_text(name));
    }

    /// Starts another entry host that holds the bodies of requests up to this size together, such as `1MiB`.
    ///
    /// # Panics
    /// When the host does not start.
    pub fn add_host_with_bodies(&mut self, name: &str, size: &str) {
        let limits = format!("[limits]\nbodies = \"{size}\"\n[platform]");
        self.add_host_with(&self.settings_text(name).replace("[platform]", &limits));
    }

    /// Starts another entry host at which changes in the store must take effect within `bound` seconds.
    ///
    /// # Panics
    /// When the host does not start.
    pub fn add_host_bound_by(&mut self, name: &str, bound: u32) {
        let bounds = format!("[platform]\nchange_bounds = [\"{bound}s\"]");
        self.add_host_with(&self.settings_text(name).replace("[platform]", &bounds));
    }

    /// Starts another entry host that reaches the store through a gate of its own, and at which changes
    /// in the store must take effect within `bound` seconds.
    ///
    /// # Panics
    /// When the host does not start.
    pub fn add_gated_host(&mut self, name: &str, bound: u32) -> StoreGate {
        self.add_host_through_gate(name, &format!("change_bounds = [\"{bound}s\"]"))
    }

    /// Starts another entry host like [`Self::add_gated_host`], which relies on its leader's reads of the
    /// store.
    ///
    /// # Panics
    /// When the host does not start.
    pub fn add_relying_host(&mut self, name: &str, bound: u32) -> StoreGate {
        let platform = format!("change_bounds = [\"{bound}s\"]\nrelayed_reads = \"on\"");
        self.add_host_through_gate(name, &platform)
    }

    fn add_host_through_gate(&mut self, name: &str, platform: &str) -> StoreGate {
        let gate = self.store.gate();
        let server = gate.start();
        let bounds = format!("[platform]\n{platform}");
        let text = self.settings_text(name).replace("[platform]", &bounds);
        let address = self.store_server.address().to_string();
        self.add_host_with(&text.replace(&address, &server.address().to_string()));
        self.gates.push(server);
        gate
    }

    fn add_host_with(&mut self, text: &str) {
        let settings = parse_settings("fleet stack", text).expect("the settings are valid");
        self.hosts.push(HostThread::start_with(settings, |settings| {
            wagtailledge_platform::adapters(settings).expect("the settings name a store")
        }));
    }

    /// Address of the readiness checks of the host with index `host`.
    ///
    /// # Panics
    /// When there is no such host.
    pub fn readiness_address(&self, host: usize) -> std::net::SocketAddr {
        self.hosts[host].readiness_address.expect("the settings name an address")
    }

    /// Waits until `condition` holds. Returns `false` after `timeout`.
    pub async fn wait_until(
        &self,
        timeout: Duration,
        mut condition: impl AsyncFnMut(&Self) -> bool,
    ) -> bool {
        let started = Instant::now();
        while started.elapsed() < timeout {
            if condition(self).await {
                return true;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        false
    }
}
