//! A model engine of the users' platform.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::FutureExt;
use futures::StreamExt;
use futures::future::LocalBoxFuture;
use serde_json::Value;
use serde_json::json;

use crate::http::KillSwitch;
use crate::http::StandInAnswer;
use crate::http::StandInHandler;
use crate::http::StandInRequest;
use crate::http::StandInServer;

use super::orders::OrderRecord;
use super::streams::EventNumbering;
use super::streams::StreamEnd;
use super::streams::event_stream;

/// Time from the head of an answer that crashes the engine to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// In which answers an engine says that it is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LeavingAnswers {
    /// In none.
    #[default]
    None,
    /// In all.
    All,
    /// In those to orders only.
    Orders,
    /// In those to report requests only.
    Reports,
}

/// A request that the engine ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// Value of the header `x-request-id`.
    pub request_id: String,
    /// Number of the last event that an earlier attempt delivered; `None` if it was not resumed.
    pub resumed_after: Option<u64>,
    /// Request headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// When the request arrived.
    pub arrived: Instant,
}

#[derive(Debug, Default)]
struct EngineState {
    /// Resident models and their resident adapters.
    resident: BTreeMap<String, BTreeSet<String>>,
    /// The loading model and when its load finishes.
    loading: Option<(String, Instant)>,
    /// Number of orders accepted with status 202; the sequence number of engine reports.
    accepted: u64,
    /// Highest fencing token received.
    token: u64,
    /// Orders that arrived, in that order.
    orders: Vec<OrderRecord>,
    /// Highest number of resident and loading models so far.
    peak_models: usize,
    runs: Vec<RunRecord>,
    /// How the next streams end; later ones end with the last chunk.
    stream_ends: VecDeque<StreamEnd>,
    order_answers_to_lose: u32,
    numbering: EventNumbering,
    /// Arrival times of all requests, those that did not run included.
    arrivals: Vec<Instant>,
    /// Limit that answers name, in requests a second; no limit if empty.
    limit: String,
    /// Only requests with a number divisible by this one succeed; all if 0.
    succeeding: usize,
    leaving: LeavingAnswers,
    /// Version of the engine's software.
    software: String,
    /// Part of a prompt that crashes the engine when it begins to answer; none if empty.
    crash_part: String,
    /// When the engine crashed.
    crashed_at: Option<Instant>,
    server: Option<KillSwitch>,
}

/// A model engine that can simulate faults.
#[derive(Debug, Clone)]
pub struct FleetEngine {
    name: String,
    load_time: Duration,
    state: Arc<Mutex<EngineState>>,
}

impl FleetEngine {
    /// Creates an engine with `models` resident; loading another one takes `load_time`.
    pub fn new(name: &str, models: &[&str], load_time: Duration) -> Self {
        let resident = models.iter().map(|model| ((*model).to_owned(), BTreeSet::new())).collect();
        let software = "v1".to_owned();
        let state = EngineState { resident, software, ..EngineState::default() };
        Self { name: name.to_owned(), load_time, state: Arc::new(Mutex::new(state)) }
    }

    /// An engine without models that crashes on the same part of a prompt.
    #[must_use]
    pub fn replacement(&self, name: &str) -> Self {
        let engine = Self::new(name, &[], self.load_time);
        engine.set_software(&self.software());
        engine.crash_on_part(&self.lock().crash_part.clone());
        engine
    }

    /// Starts its HTTP server on a free loopback port.
    pub fn start(&self) -> StandInServer {
        let server = StandInServer::start(Arc::new(self.clone()));
        self.lock().server = Some(server.kill_switch());
        server
    }

    /// Name of the engine in the store.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Resident models and adapters, in the form of store entries and engine reports.
    pub fn models(&self) -> Value {
        self.lock().models()
    }

    /// Requests that ran, in the order of arrival.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.lock().runs.clone()
    }

    /// Highest number of resident and loading models so far.
    pub fn peak_models(&self) -> usize {
        self.lock().peak_models
    }

    /// Closes the connections of the next `count` streams in the middle of an event.
    pub fn truncate_next_streams(&self, count: u32) {
        self.end_next_streams(&vec![StreamEnd::MissingChunk; count as usize]);
    }

    /// Sets how the next streams end, one after the other.
    pub fn end_next_streams(&self, ends: &[StreamEnd]) {
        self.lock().stream_ends = ends.iter().copied().collect();
    }

    /// Number of streams whose end was set and that have not been requested yet.
    pub fn pending_stream_ends(&self) -> usize {
        self.lock().stream_ends.len()
    }

    /// Changes how events of later streams are numbered.
    pub fn set_numbering(&self, numbering: EventNumbering) {
        self.lock().numbering = numbering;
    }

    /// Orders that arrived, in that order, refused ones included.
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.lock().orders.clone()
    }

    /// Arrival times of all requests of callers, in order.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.lock().arrivals.clone()
    }

    /// Names a limit in all later answers, in requests a second; none if empty. The engine itself
    /// accepts any number of requests.
    pub fn name_limit(&self, limit: &str) {
        limit.clone_into(&mut self.lock().limit);
    }

    /// Answers all but one in `interval` later requests with status 500, and says nothing about the
    /// engine in these answers.
    pub fn succeed_one_in(&self, interval: usize) {
        self.lock().succeeding = interval;
    }

    /// Says in all later answers that the engine is leaving. Its entry in the store stays as it is.
    pub fn say_leaving(&self) {
        self.say_leaving_in(LeavingAnswers::All);
    }

    /// Says in these later answers that the engine is leaving.
    pub fn say_leaving_in(&self, answers: LeavingAnswers) {
        self.lock().leaving = answers;
    }

    /// Changes the version of the engine's software in its entry.
    pub fn set_software(&self, version: &str) {
        version.clone_into(&mut self.lock().software);
    }

    /// Version of the engine's software.
    pub fn software(&self) -> String {
        self.lock().software.clone()
    }

    /// Crashes when it begins to answer a request with this part in its prompt.
    pub fn crash_on_part(&self, part: &str) {
        part.clone_into(&mut self.lock().crash_part);
    }

    /// When the engine crashed; `None` if it runs.
    pub fn crashed_at(&self) -> Option<Instant> {
        self.lock().crashed_at
    }

    /// Executes the next `count` orders without answering them.
    pub fn lose_next_order_answers(&self, count: u32) {
        self.lock().order_answers_to_lose = count;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, EngineState> {
        let mut state = self.state.lock().expect("no thread panics while holding the lock");
        state.finish_load();
        state
    }

    /// Ends the engine with all its connections.
    async fn crash(self) -> Result<Bytes, std::io::Error> {
        actix_rt::time::sleep(CRASH_DELAY).await;
        {
            let mut state = self.lock();
            state.crashed_at.get_or_insert_with(Instant::now);
            if let Some(server) = &state.server {
                server.kill();
            }
        }
        futures::future::pending().await
    }

    fn order(&self, body: &Value) -> StandInAnswer {
        let mut state = self.lock();
        let status = state.execute_order(body, self.load_time);
        state.orders.push(OrderRecord::new(body, status));
        if state.order_answers_to_lose > 0 {
            state.order_answers_to_lose -= 1;
            return StandInAnswer::Hang;
        }
        StandInAnswer::Reply(
            status,
            state.statements(LeavingAnswers::Orders),
            Bytes::from_static(b"{}"),
        )
    }

    fn serve(&self, request: &StandInRequest) -> StandInAnswer {
        let mut state = self.lock();
        state.arrivals.push(Instant::now());
        let statements = state.statements(LeavingAnswers::All);
        let target = request.header("x-model");
        let (model, adapter) = target.split_once('/').unwrap_or((target, ""));
        let adapters = state.resident.get(model);
        let resident = adapters.is_some_and(|names| adapter.is_empty() || names.contains(adapter));
        if !resident || request.header("x-expect-instance") != self.name {
            let mut headers = vec![("x-instance-id", self.name.clone())];
            headers.extend(statements);
            return StandInAnswer::Reply(421, headers, Bytes::new());
        }
        if state.succeeding > 0 && !state.arrivals.len().is_multiple_of(state.succeeding) {
            return StandInAnswer::Reply(500, Vec::new(), Bytes::new());
        }
        let after = request.header("last-event-id").parse().ok();
        let id = request.request_id.clone().unwrap_or_default();
        let headers = request.headers.clone();
        let arrived = Instant::now();
        state.runs.push(RunRecord {
            request_id: id.clone(),
            resumed_after: after,
            headers,
            arrived,
        });
        let end = state.stream_ends.pop_front().unwrap_or_default();
        let mut response_headers = vec![
            ("x-request-id", id.clone()),
            ("x-server-stamp", self.name.clone()),
            ("x-server-load", "1,0,64".to_owned()),
        ];
        response_headers.extend(statements);
        if state.crashes_on(request.header("x-prompt-prefix")) {
            let crash = self.clone().crash();
            let events = futures::stream::once(crash).boxed_local();
            return StandInAnswer::EventsWithHeaders(response_headers, events);
        }
        let events = event_stream(&id, after.unwrap_or(0), end, state.numbering);
        match end {
            StreamEnd::Close | StreamEnd::CloseInsideEvent => {
                StandInAnswer::EventsUntilClose(response_headers, events)
            }
            _ => StandInAnswer::EventsWithHeaders(response_headers, events),
        }
    }
}

impl EngineState {
    /// Headers of answers of one kind that say something about the engine.
    fn statements(&self, kind: LeavingAnswers) -> Vec<(&'static str, String)> {
        let limit = (!self.limit.is_empty()).then(|| ("server-limit", self.limit.clone()));
        let leaves = self.leaving == LeavingAnswers::All || self.leaving == kind;
        let leaving = leaves.then(|| ("server-leaving", "1".to_owned()));
        limit.into_iter().chain(leaving).collect()
    }

    /// Whether the prompt with these parts crashes the engine.
    fn crashes_on(&self, prompt: &str) -> bool {
        let mut parts = prompt.split(',').filter_map(|part| part.split_once(':'));
        !self.crash_part.is_empty() && parts.any(|(part, _)| part == self.crash_part)
    }

    /// Makes the loading model resident once its load time has passed.
    fn finish_load(&mut self) {
        if let Some((model, _)) = self.loading.take_if(|(_, ready)| *ready <= Instant::now()) {
            self.resident.insert(model, BTreeSet::new());
        }
    }

    fn models(&self) -> Value {
        let model = |(name, adapters): (&String, &BTreeSet<String>)| json!({ "name": name, "version": 1, "adapters": adapters });
        self.resident.iter().map(model).collect()
    }

    fn execute_order(&mut self, body: &Value, load_time: Duration) -> u16 {
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        if token < self.token {
            return 412;
        }
        self.token = token;
        let state_changed =
            body["expected"].as_u64().is_some_and(|expected| expected != self.accepted);
        if state_changed || self.loading.is_some() {
            return 409;
        }
        let model = body["model"].as_str().unwrap_or_default().to_owned();
        let status = match (body["operation"].as_str(), body["adapter"].as_str()) {
            (Some("loading"), Some(adapter)) => match self.resident.get_mut(&model) {
                Some(adapters) => {
                    if adapters.insert(adapter.to_owned()) {
                        202
                    } else {
                        200
                    }
                }
                None => 400,
            },
            (Some("loading"), None) if self.resident.contains_key(&model) => 200,
            (Some("loading"), None) => {
                self.loading = Some((model, Instant::now() + load_time));
                202
            }
            (Some("unloading"), Some(adapter)) => {
                if let Some(adapters) = self.resident.get_mut(&model) {
                    adapters.remove(adapter);
                }
                200
            }
            (Some("unloading"), None) if self.resident.remove(&model).is_some() => 202,
            (Some("unloading"), None) => 200,
            _ => 400,
        };
        self.accepted += u64::from(status == 202);
        self.peak_models =
            self.peak_models.max(self.resident.len() + usize::from(self.loading.is_some()));
        status
    }
}

impl StandInHandler for FleetEngine {
    fn handle(self: Arc<Self>, request: StandInRequest) -> LocalBoxFuture<'static, StandInAnswer> {
        async move {
            match request.path.as_str() {
                "/-/report" => {
                    let state = self.lock();
                    let (models, sequence) = (state.models(), state.accepted);
                    let busy = state.loading.is_some();
                    let report = json!({ "models": models, "busy": busy, "sequence": sequence });
                    StandInAnswer::Reply(
                        200,
                        state.statements(LeavingAnswers::Reports),
                        report.to_string().into(),
                    )
                }
                "/-/order" => self.order(&request.json()),
                _ => self.serve(&request),
            }
        }
        .boxed_local()
    }
}
