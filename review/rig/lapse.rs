//! The store is down until the engines' entries lapse, while rare models are asked for.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::base::Finding;
use crate::base::Record;
use crate::base::Setup;
use crate::engine::Engine;
use crate::engine::EngineSpec;
use crate::host::Host;
use crate::host::start_hosts;
use crate::limit::LONG_WAIT;
use crate::limit::ask;
use crate::store::Store;

/// Memory of each engine.
const ENGINE_MB: u64 = 100_000;
/// Sizes of the models.
const MODELS: [(&str, u64); 7] = [
    ("often", 30_000),
    ("small", 25_000),
    ("other", 44_000),
    ("large", 60_000),
    ("full-1", 90_000),
    ("full-2", 90_000),
    ("full-3", 90_000),
];
/// Length of an outage; the longest of the site's troubles with leases that run out is 4.5 s.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// Time for which a client waits for the model `other`; that of `flock-digest` on the sheet.
pub const SHORT_WAIT: Duration = Duration::from_secs(5);
/// Time from the request for the first rare model to the end of the outage, in the rounds in turn.
const BEFORE_END_MS: [u64; 4] = [300, 200, 100, 0];
/// Time from the end of the outage to the request for the second one.
const AFTER_END: Duration = Duration::from_millis(150);
/// Number of outages at most, and the time after which no further one begins.
const ROUNDS: usize = 9;
const LAST_ROUND: Duration = Duration::from_secs(90);

pub fn configuration() -> String {
    let route = "{\"name\":\"triage\",\"host\":\"farm.example\",\"prefix\":\"/triage/\",\
                 \"routeKind\":\"streaming\",\"timeoutMs\":15000,\"targetLatencyMs\":500,\"priority\":0,\
                 \"service\":\"vent-llm\",\"attempts\":1,\"sticky\":true,\"resumable\":false,\"gapTargetMs\":400}";
    let models = MODELS.map(|(name, mb)| {
        format!(
            "{{\"name\":\"{name}\",\"weightsMb\":{mb},\"loadS\":6.0,\"warmS\":0.63,\"diskS\":0.84,\
             \"adapters\":0,\"adapterMb\":66}}"
        )
    });
    format!(
        "{{\"version\":1,\"routes\":[{route}],\"services\":[{{\"name\":\"vent-llm\",\"healthPath\":\"/health\",\
         \"connectionLimit\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\
         \"kvCacheTokens\":200000,\"weightsMb\":{ENGINE_MB},\"adapterSlots\":8,\"loadsPerS\":2.1,\
         \"models\":[{}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        models.join(",")
    )
}

/// Asks for a model again and again, so that it is never idle.
pub fn keep_asking(host: &str, model: &'static str, ends: &Arc<AtomicBool>, setup: &Setup) {
    let (host, ends, record) = (host.to_owned(), Arc::clone(ends), setup.record.quiet());
    std::thread::spawn(move || {
        let mut number = 0;
        while !ends.load(Ordering::Relaxed) {
            number += 1;
            let _ = ask(&host, &format!("{model}-{number}"), model, 4, LONG_WAIT, &record).join();
            std::thread::sleep(Duration::from_millis(50));
        }
    });
}

/// Starts an engine with these models in memory and on its disk.
pub fn start_engine(
    name: &str,
    held: &[&str],
    on_disk: &[&str],
    store: &Store,
    record: &Record,
) -> Result<Engine, String> {
    let spec = EngineSpec {
        name: name.to_owned(),
        service: "vent-llm".to_owned(),
        zone: "dothan".to_owned(),
        slots: 64,
        weights_mb: ENGINE_MB,
        adapter_slots: 8,
        models: MODELS.iter().map(|(name, mb)| ((*name).to_owned(), (*mb, 66))).collect(),
        load_time: Duration::from_millis(840),
        on_disk: on_disk.iter().map(|name| (*name).to_owned()).collect(),
        report_lag: Duration::from_millis(300),
        first_token: Duration::ZERO,
    };
    Engine::start(spec, held, store, record).map_err(|error| error.to_string())
}

pub fn run(setup: &Setup) -> Finding {
    let record = &setup.record;
    let failed = |error: std::io::Error| error.to_string();
    let begun = Instant::now();
    let store = Store::default();
    let address = store.start().map_err(failed)?.to_string();
    store.put("op/config", &configuration());
    let engines = [
        start_engine("i-1", &["full-1"], &["full-1"], &store, record)?,
        start_engine("i-2", &["full-2"], &["full-2"], &store, record)?,
        start_engine("i-3", &["full-3"], &["full-3"], &store, record)?,
        start_engine(
            "i-4",
            &["often", "small"],
            &["often", "small", "other", "large"],
            &store,
            record,
        )?,
    ];
    let hosts = start_hosts(&["edge-dothan-1", "edge-dothan-2"], &address, setup)?;
    let callers = hosts[0].callers.clone();
    let ends = Arc::new(AtomicBool::new(false));
    for model in ["often", "full-1", "full-2", "full-3"] {
        keep_asking(&callers, model, &ends, setup);
    }
    std::thread::sleep(Duration::from_secs(6));
    for round in 0..ROUNDS {
        if begun.elapsed() > LAST_ROUND {
            break;
        }
        if setup.trouble {
            record.line("the store goes down");
            store.set_down(true);
        }
        // A rare model is asked for around the end of the outage, and soon after it another one.
        let before_end = Duration::from_millis(BEFORE_END_MS[round % BEFORE_END_MS.len()]);
        std::thread::sleep(OUTAGE - before_end);
        let large = ask(&callers, &format!("large-{round}"), "large", 8, LONG_WAIT, record);
        std::thread::sleep(before_end);
        if setup.trouble {
            record.line("the store is back");
            store.set_down(false);
        }
        std::thread::sleep(AFTER_END);
        let other = ask(&callers, &format!("other-{round}"), "other", 8, SHORT_WAIT, record);
        std::thread::sleep(Duration::from_millis(2_500));
        if engines.iter().any(|engine| engine.overload().is_some()) {
            break;
        }
        for request in [large, other] {
            let _ = request.join();
        }
        // Brings the engine back to the models with which the round began.
        for model in ["large", "small"] {
            let _ = ask(&callers, &format!("{model}-again-{round}"), model, 8, LONG_WAIT, record)
                .join();
        }
    }
    ends.store(true, Ordering::Relaxed);
    if !hosts.iter().all(Host::is_running) {
        return Err("an entry host ended by itself".to_owned());
    }
    Ok(engines.iter().find_map(Engine::overload))
}
