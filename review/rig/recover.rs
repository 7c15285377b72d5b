//! All machines are lost for good at one moment, and new ones come at other addresses.

use std::collections::BTreeMap;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::base::Finding;
use crate::base::Setup;
use crate::engine::Engine;
use crate::engine::EngineSpec;
use crate::host::Host;
use crate::host::start_hosts;
use crate::limit::LONG_WAIT;
use crate::limit::ask;
use crate::store::Store;

/// Memory of each engine, which has room for one model at a time.
const ENGINE_MB: u64 = 100_000;
const MODEL_MB: u64 = 72_700;
/// Number of models; most are in no engine's memory at any moment, and all are on both disks.
const MODELS: usize = 12;
/// Time between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(900);
/// Time before the fault in which requests count.
const BEFORE: Duration = Duration::from_secs(20);
/// `recoveryS` of the sheet.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time after that in which requests count.
const AFTER: Duration = Duration::from_secs(30);

fn configuration() -> String {
    let route = "{\"name\":\"review\",\"host\":\"farm.example\",\"prefix\":\"/triage/\",\
                 \"routeKind\":\"streaming\",\"timeoutMs\":15000,\"targetLatencyMs\":2500,\"priority\":1,\
                 \"service\":\"vent-llm\",\"attempts\":2,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":400}";
    let models: Vec<String> = (0..MODELS)
        .map(|number| {
            format!(
                "{{\"name\":\"m{number}\",\"weightsMb\":{MODEL_MB},\"loadS\":6.0,\"warmS\":0.63,\"diskS\":0.84,\
                 \"adapters\":0,\"adapterMb\":66}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":1,\"routes\":[{route}],\"services\":[{{\"name\":\"vent-llm\",\"healthPath\":\"/health\",\
         \"connectionLimit\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\
         \"kvCacheTokens\":200000,\"weightsMb\":{ENGINE_MB},\"adapterSlots\":8,\"loadsPerS\":2.1,\
         \"models\":[{}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        models.join(",")
    )
}

/// Sends requests for all models in turn for `time`, to the ready hosts in turn. Returns them.
fn send_requests(
    time: Duration,
    phase: &str,
    next: &mut usize,
    hosts: &[Host],
    setup: &Setup,
) -> Vec<JoinHandle<u16>> {
    let started = Instant::now();
    let mut requests = Vec::new();
    while started.elapsed() < time {
        let ready: Vec<&Host> = hosts.iter().filter(|host| host.is_ready()).collect();
        if !ready.is_empty() {
            let host = ready[*next % ready.len()];
            let (id, model) = (format!("{phase}-{next}"), format!("m{}", *next % MODELS));
            requests.push(ask(&host.callers, &id, &model, 8, LONG_WAIT, &setup.record));
        }
        *next += 1;
        std::thread::sleep(REQUEST_PAUSE);
    }
    requests
}

/// Number of requests, and of those that were served.
fn count(requests: Vec<JoinHandle<u16>>) -> (usize, usize) {
    let all = requests.len();
    let statuses = requests.into_iter().filter_map(|request| request.join().ok());
    (all, statuses.filter(|status| *status == 200).count())
}

pub fn run(setup: &Setup) -> Finding {
    let record = &setup.record;
    let failed = |error: std::io::Error| error.to_string();
    let store = Store::default();
    let address = store.start().map_err(failed)?.to_string();
    store.put("op/config", &configuration());
    let models: BTreeMap<String, (u64, u64)> =
        (0..MODELS).map(|number| (format!("m{number}"), (MODEL_MB, 66))).collect();
    let on_disk: Vec<String> = models.keys().cloned().collect();
    let mut engines = Vec::new();
    for (name, held) in [("i-1", "m0"), ("i-2", "m1")] {
        let spec = EngineSpec {
            name: name.to_owned(),
            service: "vent-llm".to_owned(),
            zone: "dothan".to_owned(),
            slots: 64,
            weights_mb: ENGINE_MB,
            adapter_slots: 8,
            models: models.clone(),
            load_time: Duration::from_millis(840),
            on_disk: on_disk.clone(),
            report_lag: Duration::from_millis(100),
            first_token: Duration::ZERO,
        };
        engines.push(Engine::start(spec, &[held], &store, record).map_err(failed)?);
    }
    let mut hosts =
        start_hosts(&["edge-dothan-1", "edge-dothan-2", "edge-dothan-3"], &address, setup)?;
    std::thread::sleep(Duration::from_secs(8));
    let mut next = 0;
    let before = send_requests(BEFORE, "before", &mut next, &hosts, setup);
    if setup.trouble {
        record.line(&format!("the lease before the fault: {}", store.text("lease/deep-south")));
        for host in &hosts {
            host.kill();
            record.line(&format!("{} is gone for good", host.spec.name));
        }
        std::thread::sleep(Duration::from_secs(1));
        hosts = start_hosts(&["edge-dothan-4", "edge-dothan-5", "edge-dothan-6"], &address, setup)?;
        record.line("three new machines are there and ready");
    }
    let between = send_requests(RECOVERY, "between", &mut next, &hosts, setup);
    let after = send_requests(AFTER, "after", &mut next, &hosts, setup);
    record.line(&format!("the lease in the end: {}", store.text("lease/deep-south")));
    let (all_before, served_before) = count(before);
    let _ = count(between);
    let (all_after, served_after) = count(after);
    if !hosts.iter().all(Host::is_running) {
        return Err("an entry host ended by itself".to_owned());
    }
    let text = format!(
        "served {served_before} of {all_before} requests before the fault, and {served_after} of \
         {all_after} that were sent later than {} s after the machines were back",
        RECOVERY.as_secs()
    );
    record.line(&text);
    println!("{text}");
    if all_before == 0 || all_after == 0 || served_before * 4 < all_before {
        return Err(text);
    }
    Ok((served_after * 4 < all_after).then_some(text))
}
