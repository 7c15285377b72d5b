//! A model is removed from the configuration while a request for it has not started.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::base::Finding;
use crate::base::Setup;
use crate::engine::Engine;
use crate::engine::EngineSpec;
use crate::host::Host;
use crate::host::start_hosts;
use crate::limit::ask;
use crate::store::Store;

/// Time that clients wait, as on the sheet.
const WAIT: Duration = Duration::from_secs(5);
/// Requests to each host after the change.
const REQUESTS: usize = 12;

fn configuration(version: u32, models: &[&str]) -> String {
    let route = "{\"name\":\"digest\",\"host\":\"farm.example\",\"prefix\":\"/triage/\",\
                 \"routeKind\":\"streaming\",\"timeoutMs\":5000,\"targetLatencyMs\":800,\"priority\":1,\
                 \"service\":\"vent-llm\",\"attempts\":1,\"sticky\":true,\"resumable\":false,\"gapTargetMs\":400}";
    let models: Vec<String> = models
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"weightsMb\":42700,\"loadS\":6.0,\"warmS\":0.44,\"diskS\":0.57,\
                 \"adapters\":0,\"adapterMb\":66}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{route}],\"services\":[{{\"name\":\"vent-llm\",\
         \"healthPath\":\"/health\",\"connectionLimit\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kvCacheTokens\":200000,\"weightsMb\":200000,\"adapterSlots\":8,\
         \"loadsPerS\":2.1,\"models\":[{}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        models.join(",")
    )
}

pub fn run(setup: &Setup) -> Finding {
    let record = &setup.record;
    let failed = |error: std::io::Error| error.to_string();
    let store = Store::default();
    let address = store.start().map_err(failed)?.to_string();
    store.put("op/config", &configuration(3, &["kept", "removed"]));
    let spec = EngineSpec {
        name: "i-1".to_owned(),
        service: "vent-llm".to_owned(),
        zone: "dothan".to_owned(),
        slots: 64,
        weights_mb: 200_000,
        adapter_slots: 8,
        models: ["kept", "removed"]
            .map(|name| (name.to_owned(), (42_700, 66)))
            .into_iter()
            .collect::<BTreeMap<_, _>>(),
        load_time: Duration::from_millis(570),
        on_disk: vec!["kept".to_owned(), "removed".to_owned()],
        report_lag: Duration::from_millis(100),
        first_token: Duration::from_millis(700),
    };
    let _engine = Engine::start(spec, &["kept", "removed"], &store, record).map_err(failed)?;
    let hosts = start_hosts(&["edge-dothan-1", "edge-dothan-2"], &address, setup)?;
    std::thread::sleep(Duration::from_secs(8));
    let mut asked = Vec::new();
    for host in &hosts {
        let id = format!("first-{}", host.spec.name);
        asked.push(ask(&host.callers, &id, "removed", 40, WAIT, record));
    }
    std::thread::sleep(Duration::from_millis(200));
    if setup.trouble {
        record.line(
            "the operator writes version 9 of the configuration, without the model `removed`",
        );
        store.put("op/config", &configuration(9, &["kept"]));
    }
    for request in asked {
        let _ = request.join();
    }
    // Later than `contactMs` after all of it.
    std::thread::sleep(Duration::from_secs(4));
    let mut later = Vec::new();
    for number in 0..REQUESTS {
        for host in &hosts {
            let id = format!("later-{}-{number}", host.spec.name);
            later.push(ask(&host.callers, &id, "kept", 8, WAIT, record));
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    let all = later.len();
    let statuses: Vec<u16> = later.into_iter().filter_map(|request| request.join().ok()).collect();
    let unanswered = statuses.iter().filter(|status| **status == 0).count();
    let denied = statuses.iter().filter(|status| (300..500).contains(*status)).count();
    for host in &hosts {
        record.line(&format!(
            "{} runs: {}, says that it is ready: {}",
            host.spec.name,
            host.is_running(),
            host.is_ready()
        ));
    }
    let text = format!(
        "of {all} requests for the model that every configuration has, sent later than contactMs after the \
         change, {denied} were ended with a 4xx of the system's own, {unanswered} not answered at all"
    );
    record.line(&text);
    println!("{text}");
    if !hosts.iter().all(Host::is_running) {
        return Err(format!("an entry host ended by itself; {text}"));
    }
    // The rule allows 5 + one in 500.
    Ok((denied * 500 > 5 * 500 + all).then_some(text))
}
