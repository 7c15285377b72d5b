//! Many requests with long bodies wait for a model that is being loaded.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::base::Finding;
use crate::base::Message;
use crate::base::Setup;
use crate::base::exchange;
use crate::base::reply;
use crate::base::serve;
use crate::engine::Engine;
use crate::engine::EngineSpec;
use crate::host::start_hosts;
use crate::store::Store;

/// `memoryMb` of the sheet, read as binary megabytes, the larger reading.
const MEMORY_LIMIT: u64 = 260 << 20;
/// Length of the bodies; `maxBodyBytes` of the configuration is 4,194,304.
const BODY_BYTES: usize = 4_000_000;
/// Requests a second for the model that is loaded, and the factor of the burst.
const REQUESTS_PER_SECOND: f64 = 6.0;
const BURST: f64 = 2.4;
/// Time for which they are sent; the model is loaded from the weight store in 6 s.
const SENDING: Duration = Duration::from_secs(8);
/// Clients that keep their connections and use a plain service meanwhile.
const KEPT_CONNECTIONS: usize = 8;
/// Work of a request to the plain service.
const WORK: Duration = Duration::from_millis(300);

fn configuration() -> String {
    let route = |name: &str, kind: &str, timeout: u32, service: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"farm.example\",\"prefix\":\"/{name}/\",\"routeKind\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"targetLatencyMs\":2500,\"priority\":1,\"service\":\"{service}\",\
             \"attempts\":{attempts},\"sticky\":false,\"resumable\":false}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"vent-llm\",\"healthPath\":\"/health\",\
         \"connectionLimit\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\
         \"kvCacheTokens\":200000,\"weightsMb\":200000,\"adapterSlots\":8,\"loadsPerS\":2.1,\
         \"models\":[{{\"name\":\"rare\",\"weightsMb\":72700,\"loadS\":6.0,\"warmS\":0.63,\"diskS\":0.84,\
         \"adapters\":0,\"adapterMb\":66}}]}}}},{{\"name\":\"vent-app\",\"healthPath\":\"/health\",\
         \"connectionLimit\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        route("review", "streaming", 15_000, "vent-llm", 1),
        route("status", "idempotent", 1_500, "vent-app", 2)
    )
}

/// What the clients with kept connections saw.
#[derive(Default)]
struct Kept {
    answered: usize,
    /// Ids of the requests whose connection ended without an answer.
    unanswered: Vec<String>,
}

pub fn run(setup: &Setup) -> Finding {
    let record = &setup.record;
    let failed = |error: std::io::Error| error.to_string();
    let store = Store::default();
    let address = store.start().map_err(failed)?.to_string();
    store.put("op/config", &configuration());
    let spec = EngineSpec {
        name: "i-1".to_owned(),
        service: "vent-llm".to_owned(),
        zone: "dothan".to_owned(),
        slots: 64,
        weights_mb: 200_000,
        adapter_slots: 8,
        models: BTreeMap::from([("rare".to_owned(), (72_700, 66))]),
        load_time: Duration::from_secs(6),
        on_disk: Vec::new(),
        report_lag: Duration::from_millis(100),
        first_token: Duration::ZERO,
    };
    let _engine = Engine::start(spec, &[], &store, record).map_err(failed)?;
    // A sound instance of the plain service: it answers every request after its work.
    let ran: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let seen = Arc::clone(&ran);
    let app = serve(Arc::new(move |request: Message, writer: &mut TcpStream| {
        let id = request.header("x-request-id").to_owned();
        seen.lock().unwrap().insert(id.clone());
        std::thread::sleep(WORK);
        reply(writer, 200, &[("X-Request-Id", &id), ("X-Server-Stamp", "i-2")], b"all is well")
    }))
    .map_err(failed)?;
    let (beats, entry) = (
        store.clone(),
        format!(
            "{{\"service\":\"vent-app\",\"address\":\"{app}\",\"zone\":\"dothan\",\"version\":\"v1\",\"slots\":64,\
         \"state\":\"ready\",\"coldRemainingMs\":0,\"born\":1,\"sequence\":1}}"
        ),
    );
    std::thread::spawn(move || {
        loop {
            beats.beat("servers/i-2", &entry, Duration::from_millis(3_600));
            std::thread::sleep(Duration::from_millis(1_200));
        }
    });
    let hosts = start_hosts(&["edge-dothan-1", "edge-dothan-2"], &address, setup)?;
    std::thread::sleep(Duration::from_secs(8));
    let callers = hosts[0].callers.clone();
    let ends = Arc::new(AtomicBool::new(false));
    let kept: Arc<Mutex<Kept>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..KEPT_CONNECTIONS {
        let (callers, ends, kept) = (callers.clone(), Arc::clone(&ends), Arc::clone(&kept));
        clients.push(std::thread::spawn(move || {
            let Ok(stream) = TcpStream::connect(&callers) else {
                return;
            };
            let mut number = 0;
            while !ends.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("kept-{client}-{number}");
                let headers = [
                    ("Host", "farm.example".to_owned()),
                    ("X-Request-Id", id.clone()),
                    ("X-Deadline-Ms", "1500".to_owned()),
                ];
                match exchange(&stream, "GET /status/1", &headers, b"", Duration::from_secs(3)) {
                    Ok(answer) if answer.whole => kept.lock().unwrap().answered += 1,
                    _ => {
                        kept.lock().unwrap().unanswered.push(id);
                        return;
                    }
                }
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(2));
    // The requests for the model that must be loaded first.
    let rate = REQUESTS_PER_SECOND * if setup.trouble { BURST } else { 1.0 };
    let (started, mut number, mut highest, mut killed) = (Instant::now(), 0, 0, false);
    let mut waiting = Vec::new();
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    while started.elapsed() < SENDING + Duration::from_secs(3) {
        let memory = hosts[0].memory();
        highest = highest.max(memory);
        if memory > MEMORY_LIMIT && !killed {
            record.line(&format!(
                "edge-dothan-1 uses {memory} bytes of memory with {number} requests for the model sent; the \
                 platform kills a process that exceeds {MEMORY_LIMIT}"
            ));
            hosts[0].kill();
            killed = true;
        }
        let is_due = started.elapsed().as_secs_f64() * rate >= f64::from(number);
        if is_due && started.elapsed() < SENDING && !killed {
            number += 1;
            let (callers, body, id) =
                (callers.clone(), Arc::clone(&body), format!("rare-{number}"));
            let record = record.clone();
            waiting.push(std::thread::spawn(move || {
                let headers = [
                    ("Host", "farm.example".to_owned()),
                    ("X-Request-Id", id.clone()),
                    ("X-Model", "rare".to_owned()),
                    ("X-Token-Count", "9190,8".to_owned()),
                    ("X-Prompt-Prefix", "5c1e07a2:6300,91bd3f06:2890".to_owned()),
                    ("X-Deadline-Ms", "15000".to_owned()),
                ];
                let answer = TcpStream::connect(&callers).and_then(|stream| {
                    exchange(&stream, "POST /review/1", &headers, &body, Duration::from_secs(15))
                });
                let text = answer.map_or_else(|error| error.to_string(), |answer| answer.first);
                record.line(&format!("client: request {id} of {} bytes: {text}", body.len()));
            }));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    ends.store(true, Ordering::Relaxed);
    for client in clients.into_iter().chain(waiting) {
        let _ = client.join();
    }
    let kept = kept.lock().unwrap();
    let ran = ran.lock().unwrap();
    let lost = kept.unanswered.iter().filter(|id| ran.contains(*id)).count();
    let text = format!(
        "highest memory {highest} bytes, killed: {killed}; on kept connections {} requests were answered, and \
         {lost} were passed on to a sound engine and their connections closed without an answer",
        kept.answered
    );
    record.line(&text);
    println!("{text}");
    Ok((lost > 3).then_some(text))
}
