//! A model engine.

use std::collections::BTreeMap;
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
use wagtailledge_decisions::order::OrderKind;
use wagtailledge_decisions::order::ResidentAsset;
use wagtailledge_decisions::order::ResidentState;
use wagtailledge_upstreams::OrderAnswer;
use wagtailledge_upstreams::OrderRequest;
use wagtailledge_upstreams::OrderVerdict;

use crate::http::PartStream;
use crate::http::StandInAnswer;
use crate::http::StandInHandler;
use crate::http::StandInRequest;
use crate::http::StandInServer;

/// Tokens of each answer.
const TOKENS: usize = 4;
/// Time to load an adapter while few are in flight.
const ADAPTER_LOAD: Duration = Duration::from_millis(7);

/// The weight store that engines load from: a few loads at full speed, more share it.
#[derive(Debug, Clone, Default)]
pub struct WeightStandIn {
    loading: Arc<Mutex<u32>>,
}

impl WeightStandIn {
    /// Loads at once at full speed.
    const FULL_SPEED: u32 = 4;

    fn begin(&self, base: Duration) -> Duration {
        let mut loading = self.loading.lock().expect("no holder panics");
        *loading += 1;
        base * (*loading).div_ceil(Self::FULL_SPEED)
    }

    fn end(&self) {
        *self.loading.lock().expect("no holder panics") -= 1;
    }
}

/// What an engine is made of.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// Name.
    pub name: String,
    /// Accelerator memory, in bytes.
    pub memory: u64,
    /// Whether it refuses an order with an old fencing token.
    pub checks_tokens: bool,
    /// Requests it runs at once.
    pub slots: u32,
    /// Time to load a model at the store's full speed.
    pub load_time: Duration,
    /// Time between two tokens.
    pub token_time: Duration,
}

#[derive(Debug, Default)]
struct EngineContent {
    token: u64,
    /// Assets held: bytes and, once loaded, when.
    held: BTreeMap<String, (u64, Instant)>,
    running: u32,
    peak_bytes: u64,
    loads: BTreeMap<String, u32>,
    cut_streams: u32,
}

/// A model engine with switches for its faults.
#[derive(Debug, Clone)]
pub struct EngineStandIn {
    spec: EngineSpec,
    weights: WeightStandIn,
    content: Arc<Mutex<EngineContent>>,
}

/// Counts a request while it runs.
struct RunningPermit(EngineStandIn);

impl Drop for RunningPermit {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

impl EngineStandIn {
    /// An engine that holds nothing yet.
    pub fn new(spec: EngineSpec, weights: WeightStandIn) -> Self {
        Self { spec, weights, content: Arc::default() }
    }

    /// Starts it on loopback.
    pub fn start(&self) -> StandInServer {
        StandInServer::start(Arc::new(self.clone()))
    }

    /// What it is made of.
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Most memory ever held or being loaded, in bytes.
    pub fn peak_bytes(&self) -> u64 {
        self.lock().peak_bytes
    }

    /// How often each asset was loaded.
    pub fn loads(&self) -> BTreeMap<String, u32> {
        self.lock().loads.clone()
    }

    /// Whether `asset` is held or being loaded.
    pub fn holds(&self, asset: &str) -> bool {
        self.lock().held.contains_key(asset)
    }

    /// Cuts the next `count` streams in the middle.
    pub fn cut_streams(&self, count: u32) {
        self.lock().cut_streams = count;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, EngineContent> {
        self.content.lock().expect("no holder panics")
    }

    fn listing(&self) -> Vec<ResidentAsset> {
        let content = self.lock();
        let now = Instant::now();
        let state = |ready: Instant| {
            if ready <= now { ResidentState::Ready } else { ResidentState::Loading }
        };
        let item = |(asset, (bytes, ready)): (&String, &(u64, Instant))| ResidentAsset {
            asset: asset.clone(),
            bytes: *bytes,
            state: state(*ready),
        };
        content.held.iter().map(item).collect()
    }

    fn is_ready(&self, asset: &str) -> bool {
        let content = self.lock();
        content.held.get(asset).is_some_and(|(_, ready)| *ready <= Instant::now())
    }

    async fn order(&self, request: OrderRequest) -> OrderAnswer {
        {
            let mut content = self.lock();
            if self.spec.checks_tokens && request.token < content.token {
                return OrderAnswer { verdict: OrderVerdict::StaleToken, held: Vec::new() };
            }
            content.token = content.token.max(request.token);
        }
        let accepted = match request.order {
            OrderKind::Claim => true,
            OrderKind::LoadModel { asset, bytes } => self.load(asset, bytes),
            OrderKind::LoadAdapter { asset, base, bytes } => {
                let fits = self.is_ready(&base);
                if fits {
                    actix_rt::time::sleep(ADAPTER_LOAD).await;
                    self.insert(asset, bytes, Duration::ZERO);
                }
                fits
            }
            OrderKind::Unload { asset } => self.lock().held.remove(&asset).is_some(),
        };
        let verdict = if accepted { OrderVerdict::Accepted } else { OrderVerdict::Refused };
        OrderAnswer { verdict, held: self.listing() }
    }

    fn insert(&self, asset: String, bytes: u64, wait: Duration) {
        let mut content = self.lock();
        *content.loads.entry(asset.clone()).or_default() += 1;
        content.held.insert(asset, (bytes, Instant::now() + wait));
        let held = content.held.values().map(|(bytes, _)| bytes).sum();
        content.peak_bytes = content.peak_bytes.max(held);
    }

    /// Starts a load without checking memory: that is the decisions' part.
    fn load(&self, asset: String, bytes: u64) -> bool {
        if self.lock().held.contains_key(&asset) {
            return false;
        }
        let wait = self.weights.begin(self.spec.load_time);
        self.insert(asset, bytes, wait);
        let weights = self.weights.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(wait).await;
            weights.end();
        });
        true
    }

    async fn complete(&self, body: &Value) -> StandInAnswer {
        let asset = body["model"].as_str().unwrap_or("").to_owned();
        if !self.is_ready(&asset) {
            return StandInAnswer::Json(409, json!({ "error": "not loaded" }));
        }
        let cut = {
            let mut content = self.lock();
            if content.running >= self.spec.slots {
                return StandInAnswer::Json(503, json!({ "error": "busy" }));
            }
            content.running += 1;
            let cut = content.cut_streams > 0;
            content.cut_streams -= u32::from(cut);
            cut
        };
        let permit = RunningPermit(self.clone());
        let prompt = match &body["prompt"] {
            Value::Null => body["messages"].to_string(),
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        let text = format!("{asset} heard {prompt}");
        if body["stream"] == json!(true) {
            return StandInAnswer::Events(self.events(text, cut, permit));
        }
        actix_rt::time::sleep(self.spec.token_time * TOKENS as u32).await;
        drop(permit);
        let choice = json!({ "index": 0, "text": text, "finish_reason": "stop" });
        let answer = json!({ "object": "text_completion", "model": asset, "choices": [choice] });
        StandInAnswer::Json(200, answer)
    }

    fn events(&self, text: String, cut: bool, permit: RunningPermit) -> PartStream {
        let pause = self.spec.token_time;
        let size = text.len().div_ceil(TOKENS).max(1);
        let bytes = text.into_bytes();
        let mut parts: Vec<Result<Bytes, std::io::Error>> = bytes
            .chunks(size)
            .map(|part| {
                let text = String::from_utf8_lossy(part);
                let event = json!({ "choices": [{ "index": 0, "text": text }] });
                Ok(Bytes::from(format!("data: {event}\n\n")))
            })
            .collect();
        if cut {
            parts.truncate(2);
            parts.push(Err(std::io::Error::other("cut")));
        } else {
            parts.push(Ok(Bytes::from_static(b"data: [DONE]\n\n")));
        }
        futures::stream::iter(parts)
            .then(move |part| {
                let _running = &permit;
                async move {
                    actix_rt::time::sleep(pause).await;
                    part
                }
            })
            .boxed_local()
    }
}

impl StandInHandler for EngineStandIn {
    fn handle(self: Arc<Self>, request: StandInRequest) -> LocalBoxFuture<'static, StandInAnswer> {
        async move {
            match request.path.as_str() {
                "/load" => {
                    let running = self.lock().running;
                    StandInAnswer::Json(200, json!({ "running": running, "queued": 0 }))
                }
                "/orders" => match serde_json::from_slice(&request.body) {
                    Ok(order) => StandInAnswer::Json(200, json!(self.order(order).await)),
                    Err(error) => StandInAnswer::Json(400, json!({ "error": error.to_string() })),
                },
                _ => self.complete(&request.json()).await,
            }
        }
        .boxed_local()
    }
}
