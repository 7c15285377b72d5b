//! A model engine of the platform.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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

use crate::http::PartStream;
use crate::http::StandInAnswer;
use crate::http::StandInHandler;
use crate::http::StandInRequest;
use crate::http::StandInServer;

/// Events of each answer.
const EVENTS: u64 = 5;
/// Time between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(5);

/// What a request that ran was asked with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// Id of the request.
    pub request: String,
    /// Event after which it went on, if it was resumed.
    pub after: Option<u64>,
    /// Headers that it came with.
    pub headers: BTreeMap<String, String>,
}

#[derive(Debug, Default)]
struct EngineContent {
    /// Models and their adapters that serve.
    held: BTreeMap<String, BTreeSet<String>>,
    /// The model on its way, and when it serves.
    coming: Option<(String, Instant)>,
    accepted: u64,
    token: u64,
    /// Most models held or on their way at once.
    most: usize,
    runs: Vec<RunRecord>,
    cut_streams: u32,
    lose_orders: u32,
}

/// A model engine with switches for its faults.
#[derive(Debug, Clone)]
pub struct FleetEngine {
    name: String,
    load_time: Duration,
    content: Arc<Mutex<EngineContent>>,
}

impl FleetEngine {
    /// An engine that serves `models` and loads others in `load_time`.
    pub fn new(name: &str, models: &[&str], load_time: Duration) -> Self {
        let held = models.iter().map(|model| ((*model).to_owned(), BTreeSet::new())).collect();
        let content = EngineContent { held, ..EngineContent::default() };
        Self { name: name.to_owned(), load_time, content: Arc::new(Mutex::new(content)) }
    }

    /// Starts it on loopback.
    pub fn start(&self) -> StandInServer {
        StandInServer::start(Arc::new(self.clone()))
    }

    /// Name under which it registers itself.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// What it says it holds, as its entry and its reports list it.
    pub fn models(&self) -> Value {
        self.lock().models()
    }

    /// Requests that ran, in order.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.lock().runs.clone()
    }

    /// Most models that were ever held or on their way at once.
    pub fn most_models(&self) -> usize {
        self.lock().most
    }

    /// Cuts the next `count` streams in the middle of an event.
    pub fn cut_streams(&self, count: u32) {
        self.lock().cut_streams = count;
    }

    /// Carries out the next `count` orders without an answer.
    pub fn lose_orders(&self, count: u32) {
        self.lock().lose_orders = count;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, EngineContent> {
        let mut content = self.content.lock().expect("no holder panics");
        content.settle();
        content
    }

    fn order(&self, body: &Value) -> StandInAnswer {
        let mut content = self.lock();
        let status = content.order(body, self.load_time);
        if content.lose_orders > 0 {
            content.lose_orders -= 1;
            return StandInAnswer::Hang;
        }
        StandInAnswer::Json(status, json!({}))
    }

    fn serve(&self, request: &StandInRequest) -> StandInAnswer {
        let mut content = self.lock();
        let asked = request.header("x-model");
        let (model, adapter) = asked.split_once('/').unwrap_or((asked, ""));
        let adapters = content.held.get(model);
        let holds = adapters.is_some_and(|held| adapter.is_empty() || held.contains(adapter));
        if !holds || request.header("x-expect-instance") != self.name {
            return StandInAnswer::Reply(
                421,
                vec![("x-instance-id", self.name.clone())],
                Bytes::new(),
            );
        }
        let after = request.header("last-event-id").parse().ok();
        let id = request.request_id.clone().unwrap_or_default();
        let headers = request.headers.clone();
        content.runs.push(RunRecord { request: id.clone(), after, headers });
        let cut = content.cut_streams > 0;
        content.cut_streams -= u32::from(cut);
        let marks = vec![
            ("x-request-id", id.clone()),
            ("x-server-stamp", self.name.clone()),
            ("x-server-load", "1,0,64".to_owned()),
        ];
        StandInAnswer::MarkedEvents(marks, events(&id, after.unwrap_or(0), cut))
    }
}

impl EngineContent {
    /// Takes in a load that has ended.
    fn settle(&mut self) {
        if let Some((model, _)) = self.coming.take_if(|(_, ready)| *ready <= Instant::now()) {
            self.held.insert(model, BTreeSet::new());
        }
    }

    fn models(&self) -> Value {
        let model = |(name, adapters): (&String, &BTreeSet<String>)| json!({ "name": name, "version": 1, "adapters": adapters });
        self.held.iter().map(model).collect()
    }

    fn order(&mut self, body: &Value, load_time: Duration) -> u16 {
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        if token < self.token {
            return 412;
        }
        self.token = token;
        let other = body["expected"].as_u64().is_some_and(|expected| expected != self.accepted);
        if other || self.coming.is_some() {
            return 409;
        }
        let model = body["model"].as_str().unwrap_or_default().to_owned();
        let status = match (body["operation"].as_str(), body["adapter"].as_str()) {
            (Some("loading"), Some(adapter)) => match self.held.get_mut(&model) {
                Some(adapters) => {
                    if adapters.insert(adapter.to_owned()) {
                        202
                    } else {
                        200
                    }
                }
                None => 400,
            },
            (Some("loading"), None) if self.held.contains_key(&model) => 200,
            (Some("loading"), None) => {
                self.coming = Some((model, Instant::now() + load_time));
                202
            }
            (Some("unloading"), Some(adapter)) => {
                if let Some(adapters) = self.held.get_mut(&model) {
                    adapters.remove(adapter);
                }
                200
            }
            (Some("unloading"), None) if self.held.remove(&model).is_some() => 202,
            (Some("unloading"), None) => 200,
            _ => 400,
        };
        self.accepted += u64::from(status == 202);
        self.most = self.most.max(self.held.len() + usize::from(self.coming.is_some()));
        status
    }
}

fn events(id: &str, after: u64, cut: bool) -> PartStream {
    let mut parts: Vec<Result<Bytes, std::io::Error>> = (after + 1..=EVENTS)
        .map(|number| Ok(Bytes::from(format!("id: {number}\ndata: {id} {number}\n\n"))))
        .collect();
    if cut {
        parts.truncate(2);
        parts.push(Ok(Bytes::from_static(b"id: 3\nda")));
        parts.push(Err(std::io::Error::other("cut")));
    }
    futures::stream::iter(parts)
        .then(|part| async move {
            actix_rt::time::sleep(EVENT_PAUSE).await;
            part
        })
        .boxed_local()
}

impl StandInHandler for FleetEngine {
    fn handle(self: Arc<Self>, request: StandInRequest) -> LocalBoxFuture<'static, StandInAnswer> {
        async move {
            match request.path.as_str() {
                "/-/report" => {
                    let content = self.lock();
                    let (models, sequence) = (content.models(), content.accepted);
                    let busy = content.coming.is_some();
                    let report = json!({ "models": models, "busy": busy, "sequence": sequence });
                    StandInAnswer::Json(200, report)
                }
                "/-/order" => self.order(&request.json()),
                _ => self.serve(&request),
            }
        }
        .boxed_local()
    }
}
