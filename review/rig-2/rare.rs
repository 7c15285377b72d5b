//! A small deployment for many rarely used models, and requests for all of them.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::engine::Engine;
use crate::engine::Plan;
use crate::hosts::Deployment;
use crate::hosts::Host;
use crate::hosts::wait_for;
use crate::http;
use crate::http::Reply;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

const SERVICE: &str = "zigo56a";
const HOST_HEADER: &str = "goka77.example";
const PATH: &str = "/nozi721/2f";
/// Rarely used models; each engine has memory for two.
const MODELS: usize = 24;
const ENGINES: usize = 2;
/// `recoveryS` of the pages.
pub const RECOVERY: Duration = Duration::from_secs(12);
/// Deadline of a request: that of `loss-review` and `alarm-triage`.
const DEADLINE_MS: u64 = 15_000;
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(900);
/// Requests before and after the disruption: one for each model.
pub const REQUESTS: usize = MODELS;

fn model(number: usize) -> String {
    format!("daka{number:02}")
}

fn configuration() -> String {
    let models: Vec<String> = (0..MODELS)
        .map(|number| {
            format!(
                "{{\"name\":\"{}\",\"weightsMb\":72700.0,\"loadS\":1.0,\"warmS\":0.63,\"diskS\":0.84,\
                 \"adapters\":0,\"adapterMb\":66.0}}",
                model(number)
            )
        })
        .collect();
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST_HEADER}\",\
         \"prefix\":\"/nozi721/\",\"routeKind\":\"streaming\",\"timeoutMs\":{DEADLINE_MS},\
         \"targetLatencyMs\":2500,\"priority\":1,\"service\":\"{SERVICE}\",\"attempts\":1,\
         \"sticky\":true,\"resumable\":false,\"gapTargetMs\":400}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"connectionLimit\":370,\
         \"engine\":{{\"slots\":64,\"kvCacheTokens\":265689,\"weightsMb\":200000.0,\"adapterSlots\":8,\
         \"loadsPerS\":2.1,\"models\":[{}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":2000,\
         \"idleTimeoutMs\":10000}}}}",
        models.join(",")
    )
}

/// Sends one request for each model, to the hosts in turn, and returns how many were served.
pub fn ask_for_all(label: &str, hosts: &[SocketAddr], record: &Record) -> usize {
    let mut waiting = Vec::new();
    for number in 0..REQUESTS {
        let host = hosts[number % hosts.len()];
        let id = format!("{label}{number:012x}");
        let headers = vec![
            ("Host", HOST_HEADER.to_owned()),
            ("X-Request-Id", id.clone()),
            ("X-Model", model(number % MODELS)),
            ("X-Token-Count", "826,292".to_owned()),
            ("X-Prompt-Prefix", format!("5c1e07a2:198,{number:08x}:628")),
            ("X-Deadline-Ms", DEADLINE_MS.to_string()),
        ];
        record.line(&format!("sent {id} model {} to {host}", model(number % MODELS)));
        let wait = Duration::from_millis(DEADLINE_MS + 2_000);
        waiting.push((
            id,
            std::thread::spawn(move || {
                http::call(host, "POST", PATH, &headers, &[b'x'; 1_700], wait)
            }),
        ));
        std::thread::sleep(PAUSE);
    }
    let mut served = 0;
    for (id, thread) in waiting {
        let reply: Reply = thread.join().unwrap_or_default();
        let is_served = reply.status == 200
            && reply.complete
            && !http::find(&reply.headers, "x-server-stamp").is_empty();
        served += usize::from(is_served);
        record.line(&format!(
            "answer to {id}: {} after {} ms, whole {}, {} bytes{}{}",
            reply.status,
            reply.took_ms,
            reply.complete,
            reply.body.len(),
            if reply.problem.is_empty() { "" } else { ", " },
            reply.problem
        ));
    }
    served
}

/// The lease record of the region: its holder and its successors.
pub fn lease(store: &Store) -> Option<(String, Vec<String>)> {
    let record = Json::parse(store.text("lease/deep-south").as_bytes())?;
    let name = |identity: &Json| identity.get("name").text().to_owned();
    let successors = record.get("successors").list().iter().map(name).collect();
    Some((name(record.get("holder")), successors))
}

/// The store, the engines and the hosts of a case.
pub struct Fleet {
    pub store: Store,
    pub engines: Vec<Engine>,
    pub hosts: Vec<Host>,
    deployment: Deployment,
}

impl Fleet {
    /// Starts hosts with these names and zones, and waits until all are ready and one leads with two
    /// successors; `None` if that does not happen.
    pub fn start(places: &[(&str, &str)], record: &Record, folder: &Path) -> Option<Self> {
        let (store, address) = Store::start();
        store.put("op/config", &configuration());
        let plan = Plan {
            weights_mb: 200_000,
            model_mb: 72_700,
            load: Duration::from_millis(1_000),
            disk: Duration::from_millis(840),
            events: 20,
            pause: Duration::from_millis(10),
        };
        let engines: Vec<Engine> = (0..ENGINES)
            .map(|number| {
                let held = [model(number * 2), model(number * 2 + 1)];
                let id = format!("i-7f3a91c{number}");
                let zone = ["dothan", "gainesville"][number % 2];
                Engine::start(&id, zone, SERVICE, &held, plan, &store, record)
            })
            .collect();
        let region = |zone: &str| (zone.to_owned(), "deep-south".to_owned());
        let zones = vec![region("dothan"), region("gainesville")];
        let deployment = Deployment { store: address, zones };
        let mut fleet = Self { store, engines, hosts: Vec::new(), deployment };
        for (name, zone) in places {
            fleet.add_host(name, zone, folder);
        }
        let is_led = || lease(&fleet.store).is_some_and(|(_, successors)| successors.len() == 2);
        let started = wait_for(Duration::from_secs(15), || {
            fleet.hosts.iter().all(Host::is_ready) && is_led()
        });
        std::thread::sleep(Duration::from_secs(2));
        let all_run = !fleet.hosts.iter_mut().any(Host::has_ended);
        (started && all_run).then_some(fleet)
    }

    /// Starts a host at an address that no host had before.
    pub fn add_host(&mut self, name: &str, zone: &str, folder: &Path) {
        let mut host = Host::new(name, zone, &self.deployment, folder);
        host.start();
        self.hosts.push(host);
    }

    /// Addresses for requests of all hosts.
    pub fn frontends(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.frontend).collect()
    }

    /// Names of the hosts that say that they are ready.
    pub fn ready(&self) -> Vec<&str> {
        let ready = self.hosts.iter().filter(|host| host.is_ready());
        ready.map(|host| host.name.as_str()).collect()
    }

    /// Records what the engines ran, and whether all hosts still run.
    pub fn end(&mut self, record: &Record) -> bool {
        for engine in &self.engines {
            let (runs, loads) = engine.counts();
            record.say(&format!("{}: {runs} requests run, {loads} loads", engine.id));
        }
        !self.hosts.iter_mut().any(Host::has_ended)
    }
}
