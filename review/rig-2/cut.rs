//! Some answers of some engines have no length and end with their connection. One of these engines is killed
//! while it streams; its kernel then closes the connections in the regular way. An answer that ends early
//! must not look complete to its client.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Finding;
use crate::has_trouble;
use crate::hosts::Deployment;
use crate::hosts::Host;
use crate::hosts::wait_for;
use crate::http;
use crate::http::Next;
use crate::http::Reply;
use crate::http::Request;
use crate::json::quote;
use crate::record::Record;
use crate::store::Store;

const SERVICE: &str = "zigo56a";
const HOST_HEADER: &str = "goka77.example";
const PATH: &str = "/nozi721/2f";
const MODEL: &str = "daka510000";
/// Events of an answer: those of `alarm-triage`.
const EVENTS: u64 = 73;
/// Pause before each event.
const PAUSE: Duration = Duration::from_millis(20);
const ENGINES: usize = 6;
/// Streams at a time.
const STREAMS: usize = 240;
/// One answer in so many has no length, at every other engine: `x` 0.05 at a `share` of 0.5.
const UNFRAMED: u64 = 20;
/// When the engine is killed, after the streams were asked for: in the midst of them.
const KILL_AFTER: Duration = Duration::from_millis(700);

fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

/// The process of one engine: `rig engine ID`. It writes its address to its standard output, and ends with
/// its standard input, so with the process that started it.
pub fn run_engine(id: &str) {
    let id = id.to_owned();
    let is_garbling = id.bytes().nth(4).is_some_and(|digit| digit % 2 == 0);
    let answers = AtomicU64::new(0);
    let handler = move |request: &Request, stream: &mut TcpStream| {
        let is_framed = |number: u64| !is_garbling || number % UNFRAMED != UNFRAMED / 2;
        serve(&id, request, stream, || is_framed(answers.fetch_add(1, Ordering::Relaxed)))
    };
    println!("{}", http::serve(Arc::new(handler)));
    let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
    std::process::exit(0);
}

fn serve(
    id: &str,
    request: &Request,
    stream: &mut TcpStream,
    is_framed: impl Fn() -> bool,
) -> Next {
    if request.header("x-expect-instance") != id {
        return http::answer(stream, 421, &[("X-Instance-Id", id.to_owned())], b"");
    }
    if request.path == "/-/report" {
        let body = format!(
            "{{\"stage\":\"combined\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"sequence\":0,\"queued\":0,\"active\":0,\"kvCacheUsed\":0,\
             \"kvCacheTotal\":265689,\"handles\":0,\"born\":1}}"
        );
        return http::answer(stream, 200, &crate::store::json_headers(), body.as_bytes());
    }
    if request.path == "/-/order" {
        return http::answer(stream, 409, &[], b"");
    }
    let request_id = request.header("x-request-id");
    let is_framed = is_framed();
    let framing = if is_framed { "Transfer-Encoding: chunked" } else { "Connection: close" };
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {request_id}\r\n\
         X-Server-Stamp: {id}.{request_id}\r\nX-Server-Load: 1,0,64\r\n{framing}\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return Next::Close;
    }
    for number in 1..=EVENTS {
        std::thread::sleep(PAUSE);
        let mut bytes = event(request_id, number);
        if is_framed {
            bytes = format!("{:x}\r\n{bytes}\r\n", bytes.len());
        }
        if stream.write_all(bytes.as_bytes()).is_err() {
            return Next::Close;
        }
    }
    if is_framed && stream.write_all(b"0\r\n\r\n").is_ok() {
        return Next::Keep;
    }
    Next::Close
}

struct EngineProcess {
    id: String,
    address: SocketAddr,
    process: Child,
}

impl EngineProcess {
    fn start(id: &str) -> Option<Self> {
        let program = std::env::current_exe().ok()?;
        let mut command = Command::new(program);
        command.args(["engine", id]).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut process = command.spawn().ok()?;
        let mut line = String::new();
        let output = process.stdout.take()?;
        std::io::BufRead::read_line(&mut std::io::BufReader::new(output), &mut line).ok()?;
        Some(Self { id: id.to_owned(), address: line.trim().parse().ok()?, process })
    }

    fn entry(&self, number: u64) -> String {
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":\"dothan\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"combined\",\
             \"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}],\"born\":1,\
             \"sequence\":{number}}}",
            quote(SERVICE),
            self.address
        )
    }
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST_HEADER}\",\
         \"prefix\":\"/nozi721/\",\"routeKind\":\"streaming\",\"timeoutMs\":15000,\
         \"targetLatencyMs\":500,\"priority\":0,\"service\":\"{SERVICE}\",\"attempts\":1,\
         \"sticky\":true,\"resumable\":false,\"gapTargetMs\":400}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"connectionLimit\":370,\
         \"engine\":{{\"slots\":64,\"kvCacheTokens\":265689,\"weightsMb\":200000.0,\"adapterSlots\":8,\
         \"loadsPerS\":2.1,\"models\":[{{\"name\":\"{MODEL}\",\"weightsMb\":72700.0,\"loadS\":6.0,\
         \"warmS\":0.63,\"diskS\":0.84,\"adapters\":0,\"adapterMb\":66.0}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":2000,\
         \"idleTimeoutMs\":10000}}}}"
    )
}

fn ask(id: &str, host: SocketAddr) -> Reply {
    let headers = [
        ("Host", HOST_HEADER.to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Model", MODEL.to_owned()),
        ("X-Token-Count", "826,292".to_owned()),
        ("X-Prompt-Prefix", format!("5c1e07a2:198,{}:628", &id[4..12])),
        ("X-Deadline-Ms", "15000".to_owned()),
    ];
    http::call(host, "POST", PATH, &headers, &[b'x'; 1_700], Duration::from_secs(17))
}

pub fn run(record: &Record, folder: &Path) -> Finding {
    let (store, address) = Store::start();
    store.put("op/config", &configuration());
    let started: Option<Vec<EngineProcess>> =
        (0..ENGINES).map(|number| EngineProcess::start(&format!("i-85{number}ab2e8"))).collect();
    let Some(engines) = started else {
        return Finding::CouldNotRun("the engines do not start".to_owned());
    };
    let engines = Arc::new(Mutex::new(engines));
    let (beating, entries) = (Arc::clone(&engines), store.clone());
    std::thread::spawn(move || {
        for number in 1.. {
            for engine in beating.lock().expect("a lock").iter() {
                entries.put(&format!("servers/{}", engine.id), &engine.entry(number));
            }
            std::thread::sleep(Duration::from_millis(1_200));
        }
    });
    let zones = vec![("dothan".to_owned(), "deep-south".to_owned())];
    let deployment = Deployment { store: address, zones };
    let mut host = Host::new("edge-dothan-1", "dothan", &deployment, folder);
    host.start();
    let served = || ask("0000000000000000", host.frontend).status == 200;
    if !wait_for(Duration::from_secs(15), || host.is_ready() && served()) {
        return Finding::CouldNotRun("no request is served".to_owned());
    }
    std::thread::sleep(Duration::from_secs(2));
    let waiting: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (id, frontend) = (format!("c784{number:012x}"), host.frontend);
            record.line(&format!("sent {id}"));
            (id.clone(), std::thread::spawn(move || ask(&id, frontend)))
        })
        .collect();
    std::thread::sleep(KILL_AFTER);
    if has_trouble() {
        let crashed = engines.lock().expect("a lock").remove(0);
        record.say(&format!("{} crashes: its process is killed", crashed.id));
        drop(crashed);
    }
    let (mut whole, mut cut, mut early, mut others) = (0, 0, 0, 0);
    for (id, thread) in waiting {
        let reply = thread.join().unwrap_or_default();
        let body: String = (1..=EVENTS).map(|number| event(&id, number)).collect();
        let got = String::from_utf8_lossy(&reply.body);
        let events = got.matches("\n\n").count();
        let verdict = match (reply.status == 200 && reply.complete, got == body) {
            (true, true) => "whole",
            (true, false) => "ENDS EARLY AND LOOKS COMPLETE",
            (false, _) if reply.status == 200 => "cut",
            (false, _) => "not served",
        };
        match verdict {
            "whole" => whole += 1,
            "cut" => cut += 1,
            "not served" => others += 1,
            _ => early += 1,
        }
        record.line(&format!(
            "answer to {id}: {} signature {} framing {}, {events} of {EVENTS} events: {verdict}",
            reply.status,
            http::find(&reply.headers, "x-server-stamp"),
            if http::find(&reply.headers, "transfer-encoding").is_empty() {
                "none"
            } else {
                "chunked"
            },
        ));
    }
    record.say(&format!(
        "of {STREAMS} streams {whole} are whole, {cut} visibly cut, {others} not served, \
         {early} end early and look complete"
    ));
    if whole == 0 {
        return Finding::CouldNotRun("no stream was whole".to_owned());
    }
    if early > 0 { Finding::Broken } else { Finding::Held }
}
