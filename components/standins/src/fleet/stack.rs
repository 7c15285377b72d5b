//! The platform with engines, a plain service and entry hosts, on loopback.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use wagtailledge_settings::file::parse_settings;

use super::engine::FleetEngine;
use super::service::FleetService;
use super::store::FleetStore;
use crate::http::StandInServer;
use crate::stack::HostThread;
use crate::stack::SECRET;

/// Between two looks at a condition.
const WAIT_PAUSE: Duration = Duration::from_millis(20);

/// What a deployment is made of.
#[derive(Debug, Clone, Copy)]
pub struct FleetSpec {
    /// Entry hosts.
    pub hosts: usize,
    /// Engines; each has room for two models and serves the first at the start.
    pub engines: usize,
    /// Models that are declared, `m0` and on.
    pub models: usize,
    /// Time to load one.
    pub load_time: Duration,
}

/// A deployment on loopback. Its one zone is `east`, its callers' host `farm.example`.
#[derive(Debug)]
pub struct FleetStack {
    /// The store.
    pub store: FleetStore,
    /// The engines.
    pub engines: Vec<FleetEngine>,
    /// The instances of the plain service.
    pub services: Vec<FleetService>,
    /// The entry hosts.
    pub hosts: Vec<HostThread>,
    spec: FleetSpec,
    store_server: StandInServer,
    servers: Vec<StandInServer>,
}

impl FleetStack {
    /// Starts a deployment; its hosts are ready somewhat later.
    ///
    /// # Panics
    /// When a host does not start.
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

    /// The operators write a configuration with more routes to the plain service.
    pub fn configure(&self, version: u64, more_routes: Value) {
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
        let configuration = json!({
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
        self.store.put("op/config", configuration.to_string().as_bytes());
    }

    /// Every engine and instance writes its entry.
    pub fn register(&self) {
        let names = self.engines.iter().map(|engine| (engine.name(), "llm", engine.models()));
        let services = self.services.iter().map(|service| (service.name(), "app", json!([])));
        for ((name, service, models), server) in names.chain(services).zip(&self.servers) {
            let entry = json!({
                "service": service, "address": server.address().to_string(), "zone": "east",
                "slots": 64, "state": "ready", "models": models, "sequence": 1, "born": 1
            });
            self.store.put(&format!("servers/{name}"), entry.to_string().as_bytes());
        }
    }

    /// Settings of a host, as TOML.
    pub fn settings_text(&self, name: &str) -> String {
        format!(
            "[host]\nname = \"{name}\"\nzone = \"east\"\n\
             [listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             readiness = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n\
             [platform]\nprotocol = \"store\"\naddress = \"{}\"\ntimeout = \"500ms\"\n\
             checks_tokens = true\n[security]\nshared_secret = \"{SECRET}\"\n[drain]\nnotice = \"200ms\"\ngrace = \"5s\"\n\
             [timing]\nheartbeat = \"200ms\"\npeer_timeout = \"1s\"\nlease_ttl = \"2s\"\n\
             lease_renewal = \"500ms\"\nlease_margin = \"300ms\"\npromise_ttl = \"2s\"\n\
             retire_grace = \"0ms\"\neviction_idle = \"300ms\"\n",
            self.store_server.address()
        )
    }

    /// Starts one more entry host.
    ///
    /// # Panics
    /// When it does not start.
    pub fn add_host(&mut self, name: &str) {
        let text = self.settings_text(name);
        let settings = parse_settings("fleet stack", &text).expect("its settings are valid");
        self.hosts.push(HostThread::start_with(settings, |settings| {
            wagtailledge_platform::adapters(settings).expect("the settings name a store")
        }));
    }

    /// Address where a host tells whether it is ready.
    ///
    /// # Panics
    /// When there is no such host.
    pub fn readiness(&self, host: usize) -> std::net::SocketAddr {
        self.hosts[host].readiness.expect("its settings name an address")
    }

    /// Waits until a condition holds, for `patience` at most; returns whether it does.
    pub async fn wait(
        &self,
        patience: Duration,
        mut holds: impl AsyncFnMut(&Self) -> bool,
    ) -> bool {
        let started = Instant::now();
        while started.elapsed() < patience {
            if holds(self).await {
                return true;
            }
            actix_rt::time::sleep(WAIT_PAUSE).await;
        }
        false
    }
}
