//! A rare model is asked for while an adapter that is in use waits to be unloaded.

use std::collections::BTreeMap;
use std::net::TcpStream;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::base::Finding;
use crate::base::Record;
use crate::base::Setup;
use crate::base::exchange;
use crate::engine::Engine;
use crate::engine::EngineSpec;
use crate::host::Host;
use crate::host::start_hosts;
use crate::store::Store;

/// Memory of the engine. `house` and `rare` fit together, but not with an adapter of `house` beside
/// them.
const ENGINE_MB: u64 = 100_000;
const HOUSE_MB: u64 = 60_000;
const RARE_MB: u64 = 39_800;
const ADAPTER_MB: u64 = 400;
/// Longest time that clients wait, as on the sheet of Hollis Creek.
pub const LONG_WAIT: Duration = Duration::from_secs(15);

fn configuration() -> String {
    let route = "{\"name\":\"triage\",\"host\":\"farm.example\",\"prefix\":\"/triage/\",\
                 \"routeKind\":\"streaming\",\"timeoutMs\":15000,\"targetLatencyMs\":500,\"priority\":0,\
                 \"service\":\"vent-llm\",\"attempts\":1,\"sticky\":true,\"resumable\":false,\"gapTargetMs\":400}";
    let model = |name: &str, mb: u64, adapters: u32| {
        format!(
            "{{\"name\":\"{name}\",\"weightsMb\":{mb},\"loadS\":6.0,\"warmS\":0.5,\"diskS\":2.0,\
             \"adapters\":{adapters},\"adapterMb\":{ADAPTER_MB}}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{route}],\"services\":[{{\"name\":\"vent-llm\",\"healthPath\":\"/health\",\
         \"connectionLimit\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\
         \"kvCacheTokens\":200000,\"weightsMb\":{ENGINE_MB},\"adapterSlots\":1,\"loadsPerS\":2.1,\
         \"models\":[{},{}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        model("house", HOUSE_MB, 3),
        model("rare", RARE_MB, 0)
    )
}

/// Asks for a stream in a thread of its own.
pub fn ask(
    host: &str,
    id: &str,
    model: &str,
    output: u32,
    wait: Duration,
    record: &Record,
) -> JoinHandle<u16> {
    let (host, id, model) = (host.to_owned(), id.to_owned(), model.to_owned());
    let record = record.clone();
    std::thread::spawn(move || {
        record.line(&format!("client: request {id} for {model} sent"));
        let headers = [
            ("Host", "farm.example".to_owned()),
            ("X-Request-Id", id.clone()),
            ("X-Model", model.clone()),
            ("X-Token-Count", format!("800,{output}")),
            (
                "X-Prompt-Prefix",
                format!("5c1e07a2:200,{:x}:600", u64::from(output) + id.len() as u64),
            ),
            ("X-Deadline-Ms", wait.as_millis().to_string()),
        ];
        let answer = TcpStream::connect(&host)
            .and_then(|stream| exchange(&stream, "POST /triage/1", &headers, b"prompt", wait));
        match answer {
            Ok(answer) => {
                let events = answer.body.windows(4).filter(|bytes| bytes == b"id: ").count();
                let end = if answer.whole { "whole" } else { "cut" };
                record.line(&format!(
                    "client: request {id} gets {}, {events} events, {end}",
                    answer.first
                ));
                answer.status()
            }
            Err(error) => {
                record.line(&format!("client: request {id} gets no answer: {error}"));
                0
            }
        }
    })
}

pub fn run(setup: &Setup) -> Finding {
    let record = &setup.record;
    let failed = |error: std::io::Error| error.to_string();
    let store = Store::default();
    let address = store.start().map_err(failed)?.to_string();
    store.put("op/config", &configuration());
    let models = BTreeMap::from([
        ("house".to_owned(), (HOUSE_MB, ADAPTER_MB)),
        ("rare".to_owned(), (RARE_MB, ADAPTER_MB)),
    ]);
    let spec = EngineSpec {
        name: "i-1".to_owned(),
        service: "vent-llm".to_owned(),
        zone: "dothan".to_owned(),
        slots: 64,
        weights_mb: ENGINE_MB,
        adapter_slots: 1,
        models,
        load_time: Duration::from_secs(2),
        on_disk: vec!["house".to_owned(), "rare".to_owned()],
        report_lag: Duration::from_millis(100),
        first_token: Duration::ZERO,
    };
    let engine = Engine::start(spec, &["house"], &store, record).map_err(failed)?;
    let hosts = start_hosts(&["edge-dothan-1", "edge-dothan-2"], &address, setup)?;
    // Traffic starts 10 s after the machines do.
    std::thread::sleep(Duration::from_secs(10));
    let callers = hosts[0].callers.clone();
    // Somebody uses the adapter a1 for six seconds.
    let first = ask(&callers, "a1-long", "house/a1", 240, LONG_WAIT, record);
    std::thread::sleep(Duration::from_millis(1_500));
    if !engine.ran().contains(&"a1-long".to_owned()) {
        return Err("the first request does not run".to_owned());
    }
    // Another adapter is asked for; there is place for one only.
    let second = ask(&callers, "a2", "house/a2", 40, LONG_WAIT, record);
    std::thread::sleep(Duration::from_millis(500));
    let mut asked = vec![first, second];
    if setup.trouble {
        asked.push(ask(&callers, "rare", "rare", 40, LONG_WAIT, record));
    }
    for request in asked {
        let _ = request.join();
    }
    record.line(&format!("the engine holds {} in the end", engine.held()));
    let is_alive = hosts.iter().all(Host::is_running);
    if !is_alive {
        return Err("an entry host ended by itself".to_owned());
    }
    Ok(engine.overload())
}
