//! Model engines and plain services, as `PROTOCOL.md` describes them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Next;
use crate::http::Request;
use crate::json::Json;
use crate::json::quote;
use crate::record::Record;
use crate::store::Store;

/// Interval of the entries that an engine writes to the store.
const BEAT: Duration = Duration::from_millis(1_200);

/// How an engine is built; all engines of a case are alike.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub weights_mb: u64,
    pub model_mb: u64,
    /// Load time from the weight store, and from the engine's own disk.
    pub load: Duration,
    pub disk: Duration,
    /// Events of an answer, and the pause before each.
    pub events: u64,
    pub pause: Duration,
}

#[derive(Default)]
struct State {
    /// Resident models, each with the number of its runs.
    resident: BTreeMap<String, u64>,
    on_disk: BTreeSet<String>,
    loading: Option<(String, Instant)>,
    unloading: Option<String>,
    sequence: u64,
    token: u64,
    loads: u64,
    runs: u64,
}

impl State {
    fn settle(&mut self) {
        if let Some((model, _)) = self.loading.take_if(|(_, end)| *end <= Instant::now()) {
            self.on_disk.insert(model.clone());
            self.resident.insert(model, 0);
        }
        let idle = |model: &mut String| self.resident.get(model).is_none_or(|runs| *runs == 0);
        if let Some(model) = self.unloading.take_if(idle) {
            self.resident.remove(&model);
        }
    }

    fn models(&self) -> String {
        let names = self
            .resident
            .keys()
            .map(|name| format!("{{\"name\":{},\"version\":1,\"adapters\":[]}}", quote(name)));
        names.collect::<Vec<String>>().join(",")
    }

    fn copies(&self) -> String {
        let names: Vec<String> = self.on_disk.iter().map(|name| quote(name)).collect();
        format!("{{\"inMemory\":[],\"onDisk\":[{}]}}", names.join(","))
    }
}

/// A model engine.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    born: u64,
    zone: String,
    service: String,
    plan: Plan,
    state: Arc<Mutex<State>>,
}

impl Engine {
    /// Starts an engine that holds `models`, and its entries in the store.
    pub fn start(
        id: &str,
        zone: &str,
        service: &str,
        models: &[String],
        plan: Plan,
        store: &Store,
        record: &Record,
    ) -> Self {
        let resident = models.iter().map(|model| (model.clone(), 0)).collect();
        let on_disk = models.iter().cloned().collect();
        let state = Arc::new(Mutex::new(State { resident, on_disk, ..State::default() }));
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let born = since.map_or(1, |since| since.as_millis() as u64);
        let mut engine = Self {
            id: id.to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            born,
            zone: zone.to_owned(),
            service: service.to_owned(),
            plan,
            state,
        };
        let (served, record) = (engine.clone(), record.clone());
        let handler = move |request: &Request, stream: &mut TcpStream| {
            served.handle(request, stream, &record)
        };
        engine.address = http::serve(Arc::new(handler));
        let (beating, store) = (engine.clone(), store.clone());
        std::thread::spawn(move || {
            for number in 1.. {
                store.put(&format!("servers/{}", beating.id), &beating.entry(number));
                std::thread::sleep(BEAT);
            }
        });
        engine
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("a lock");
        state.settle();
        state
    }

    /// Number of requests that ran, and of loads from the weight store or the disk.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.runs, state.loads)
    }

    fn entry(&self, number: u64) -> String {
        let state = self.lock();
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"combined\",\"models\":[{}],\
             \"available\":{},\"born\":{},\"sequence\":{number}}}",
            quote(&self.service),
            self.address,
            quote(&self.zone),
            state.models(),
            state.copies(),
            self.born
        )
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream, record: &Record) -> Next {
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            let headers = [("X-Instance-Id", self.id.clone())];
            return http::answer(stream, 421, &headers, b"");
        }
        match request.path.as_str() {
            "/-/report" => {
                let body = self.report();
                http::answer(stream, 200, &crate::store::json_headers(), body.as_bytes())
            }
            "/-/order" => {
                let status = match Json::parse(&request.body) {
                    Some(order) => self.order(&order, record),
                    None => 400,
                };
                http::answer(stream, status, &[], b"")
            }
            _ => self.run(request, stream, record),
        }
    }

    fn report(&self) -> String {
        let state = self.lock();
        let busy = state.loading.is_some() || state.unloading.is_some();
        format!(
            "{{\"stage\":\"combined\",\"models\":[{}],\"busy\":{busy},\"sequence\":{},\
             \"queued\":0,\"active\":0,\"kvCacheUsed\":0,\"kvCacheTotal\":265689,\"handles\":0,\
             \"available\":{},\"born\":{}}}",
            state.models(),
            state.sequence,
            state.copies(),
            self.born
        )
    }

    fn order(&self, order: &Json, record: &Record) -> u16 {
        let mut state = self.lock();
        let status = self.execute(&mut state, order);
        record.line(&format!(
            "order at {}: {} {} holder {} token {} expected {:?} -> {status}",
            self.id,
            order.get("operation").text(),
            order.get("model").text(),
            order.get("holder").text(),
            order.get("fencingToken").number().unwrap_or(0),
            order.get("expected").number()
        ));
        status
    }

    fn execute(&self, state: &mut State, order: &Json) -> u16 {
        let Some(token) = order.get("fencingToken").number() else {
            return 400;
        };
        if token < state.token {
            return 412;
        }
        state.token = token;
        let expected = order.get("expected").number();
        let busy = state.loading.is_some() || state.unloading.is_some();
        if busy || expected.is_some_and(|expected| expected != state.sequence) {
            return 409;
        }
        let model = order.get("model").text().to_owned();
        match order.get("operation").text() {
            "loading" if state.resident.contains_key(&model) => 200,
            "loading" => {
                let held = (state.resident.len() as u64 + 1) * self.plan.model_mb;
                assert!(held <= self.plan.weights_mb, "an order exceeds the memory for weights");
                let known = state.on_disk.contains(&model);
                let span = if known { self.plan.disk } else { self.plan.load };
                state.loading = Some((model, Instant::now() + span));
                state.sequence += 1;
                state.loads += 1;
                202
            }
            "unloading" if state.resident.contains_key(&model) => {
                state.unloading = Some(model);
                state.sequence += 1;
                202
            }
            "unloading" => 200,
            _ => 400,
        }
    }

    fn run(&self, request: &Request, stream: &mut TcpStream, record: &Record) -> Next {
        let id = request.header("x-request-id").to_owned();
        let model = request.header("x-model").to_owned();
        {
            let mut state = self.lock();
            let loads = state.loading.as_ref().is_some_and(|(loading, _)| *loading == model);
            let leaves = state.unloading.as_ref() == Some(&model);
            if loads || leaves {
                let headers = [("X-Request-Id", id), ("X-Not-Executed", "1".to_owned())];
                return http::answer(stream, 503, &headers, b"");
            }
            let Some(runs) = state.resident.get_mut(&model) else {
                let headers = [("X-Request-Id", id), ("X-Instance-Id", self.id.clone())];
                return http::answer(stream, 421, &headers, b"");
            };
            *runs += 1;
            state.runs += 1;
        }
        record.line(&format!("run at {}: request {id} model {model}", self.id));
        let next = self.stream(&id, stream);
        if let Some(runs) = self.lock().resident.get_mut(&model) {
            *runs -= 1;
        }
        next
    }

    fn stream(&self, id: &str, stream: &mut TcpStream) -> Next {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\n\
             X-Server-Stamp: {}.{id}\r\nX-Server-Load: 1,0,64\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return Next::Close;
        }
        for number in 1..=self.plan.events {
            std::thread::sleep(self.plan.pause);
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return Next::Close;
            }
        }
        match stream.write_all(b"0\r\n\r\n") {
            Ok(()) => Next::Keep,
            Err(_) => Next::Close,
        }
    }
}
