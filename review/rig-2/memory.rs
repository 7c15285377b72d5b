//! Many users ask for a rare model at once, with bodies of the longest size that the configuration allows.
//! The requests wait while the model is loaded. The platform kills a process that exceeds `memoryMb`.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Finding;
use crate::engine::Engine;
use crate::engine::Plan;
use crate::has_trouble;
use crate::hosts::Deployment;
use crate::hosts::Host;
use crate::hosts::wait_for;
use crate::http;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

const SERVICE: &str = "zigo56a";
const HOST_HEADER: &str = "goka77.example";
const PATH: &str = "/nozi721/2f";
/// `maxBodyBytes` of the configuration.
const MAX_BODY_BYTES: usize = 4_194_304;
/// `memoryMb` of the machines, read in favour of the host: in units of 1,024 x 1,024 bytes, and without the
/// pages of files.
const MEMORY_KB: u64 = 260 * 1_024;
/// Requests for a rare model that come to one host within a second, usually.
const USERS: usize = 28;
/// The users of a burst, in tenths of the usual ones: `x = 2.4`.
const BURST_TENTHS: usize = 24;
/// Time within which they come, in milliseconds.
const SPREAD_MS: u64 = 100;
/// Rounds of requests; each asks for another model.
const ROUNDS: usize = 3;
const DEADLINE_MS: u64 = 15_000;
/// Time after which the platform starts a process again.
const RESTART: Duration = Duration::from_millis(500);

fn configuration() -> String {
    let models: Vec<String> = (0..ROUNDS + 1)
        .map(|number| {
            format!(
                "{{\"name\":\"daka{number:02}\",\"weightsMb\":42700.0,\"loadS\":6.0,\"warmS\":0.44,\
                 \"diskS\":0.57,\"adapters\":0,\"adapterMb\":66.0}}"
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
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":{MAX_BODY_BYTES},\
         \"headerTimeoutMs\":2000,\"idleTimeoutMs\":10000}}}}",
        models.join(",")
    )
}

/// Memory of a process without the pages of files, in KB; `None` if it has ended.
fn memory_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let figure = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse::<u64>().ok()
    };
    Some(figure("VmRSS:")?.saturating_sub(figure("RssFile:")?))
}

/// What the platform saw of one host.
#[derive(Default, Clone)]
struct Watch {
    peak_kb: u64,
    kills: usize,
}

/// The platform: kills a process that exceeds its memory, and starts it again.
fn watch(hosts: &Arc<Mutex<Vec<Host>>>, record: &Record, ends: &Arc<AtomicBool>) -> Vec<Watch> {
    let mut seen = vec![Watch::default(); hosts.lock().expect("a lock").len()];
    while !ends.load(Ordering::Relaxed) {
        for (index, seen) in seen.iter_mut().enumerate() {
            let (name, pid) = {
                let hosts = hosts.lock().expect("a lock");
                (hosts[index].name.clone(), hosts[index].pid())
            };
            let Some(memory) = memory_kb(pid) else {
                continue;
            };
            seen.peak_kb = seen.peak_kb.max(memory);
            if memory > MEMORY_KB {
                seen.kills += 1;
                record.say(&format!(
                    "{name} has {} MB of {}: the platform kills it, and starts it again",
                    memory / 1_024,
                    MEMORY_KB / 1_024
                ));
                hosts.lock().expect("a lock")[index].kill();
                let hosts = Arc::clone(hosts);
                std::thread::spawn(move || {
                    std::thread::sleep(RESTART);
                    hosts.lock().expect("a lock")[index].start();
                });
                std::thread::sleep(RESTART);
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    seen
}

fn ask(id: &str, model: &str, host: SocketAddr, body: &[u8]) -> http::Reply {
    let headers = [
        ("Host", HOST_HEADER.to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Model", model.to_owned()),
        ("X-Token-Count", "9190,52".to_owned()),
        ("X-Prompt-Prefix", format!("5c1e07a2:6300,{}:2890", &id[4..12])),
        ("X-Deadline-Ms", DEADLINE_MS.to_string()),
    ];
    http::call(host, "POST", PATH, &headers, body, Duration::from_millis(DEADLINE_MS + 2_000))
}

pub fn run(record: &Record, folder: &Path) -> Finding {
    let (store, address) = Store::start();
    store.put("op/config", &configuration());
    let plan = Plan {
        weights_mb: 200_000,
        model_mb: 42_700,
        load: Duration::from_secs(6),
        disk: Duration::from_millis(570),
        events: 13,
        pause: Duration::from_millis(10),
    };
    let held = [format!("daka{:02}", ROUNDS)];
    let _engines: Vec<Engine> = (0..2)
        .map(|number| {
            let id = format!("i-7f3a91c{number}");
            Engine::start(&id, "dothan", SERVICE, &held, plan, &store, record)
        })
        .collect();
    let zones = vec![("dothan".to_owned(), "deep-south".to_owned())];
    let deployment = Deployment { store: address, zones };
    let names = ["edge-dothan-1", "edge-dothan-2"];
    let mut hosts: Vec<Host> =
        names.iter().map(|name| Host::new(name, "dothan", &deployment, folder)).collect();
    hosts.iter_mut().for_each(Host::start);
    let frontends: Vec<SocketAddr> = hosts.iter().map(|host| host.frontend).collect();
    let hosts = Arc::new(Mutex::new(hosts));
    let are_ready = || {
        let leads = Json::parse(store.text("lease/deep-south").as_bytes()).is_some();
        leads && hosts.lock().expect("a lock").iter().all(Host::is_ready)
    };
    if !wait_for(Duration::from_secs(15), are_ready) {
        return Finding::CouldNotRun("the hosts do not get ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(2));
    let ends = Arc::new(AtomicBool::new(false));
    let watching = {
        let (hosts, record, ends) = (Arc::clone(&hosts), record.clone(), Arc::clone(&ends));
        std::thread::spawn(move || watch(&hosts, &record, &ends))
    };
    let users = if has_trouble() { USERS * BURST_TENTHS / 10 } else { USERS };
    let body = Arc::new(vec![b'x'; MAX_BODY_BYTES]);
    let (mut answered, mut lost, mut asked) = (0, 0, 0);
    for round in 0..ROUNDS {
        let model = format!("daka{round:02}");
        record.say(&format!("{users} users ask each host for {model}, which is not loaded"));
        let mut waiting = Vec::new();
        for number in 0..users {
            for (index, host) in frontends.iter().copied().enumerate() {
                let id = format!("c{round}{index}f{number:012x}");
                let (model, body) = (model.clone(), Arc::clone(&body));
                asked += 1;
                record.line(&format!("sent {id} model {model} to {host}, {} bytes", body.len()));
                waiting
                    .push((id.clone(), std::thread::spawn(move || ask(&id, &model, host, &body))));
            }
            std::thread::sleep(Duration::from_millis(SPREAD_MS / users as u64));
        }
        for (id, thread) in waiting {
            let reply = thread.join().unwrap_or_default();
            let is_lost = reply.status == 0;
            lost += usize::from(is_lost);
            answered += usize::from(!is_lost);
            record.line(&format!(
                "answer to {id}: {} after {} ms{}{}",
                if is_lost { "none".to_owned() } else { reply.status.to_string() },
                reply.took_ms,
                if reply.problem.is_empty() { "" } else { ", " },
                reply.problem
            ));
        }
        if !wait_for(Duration::from_secs(10), are_ready) {
            return Finding::CouldNotRun("the hosts do not get ready again".to_owned());
        }
        std::thread::sleep(Duration::from_secs(3));
    }
    ends.store(true, Ordering::Relaxed);
    let Ok(seen) = watching.join() else {
        return Finding::CouldNotRun("the platform's watch ended".to_owned());
    };
    for (name, seen) in names.iter().zip(&seen) {
        record.say(&format!(
            "{name}: at most {} MB, killed {} times for its memory",
            seen.peak_kb / 1_024,
            seen.kills
        ));
    }
    record.say(&format!("of {asked} requests {answered} were answered, {lost} got no answer"));
    let machines = seen.iter().filter(|seen| seen.kills >= 3).count();
    if machines >= 2 { Finding::Broken } else { Finding::Held }
}
