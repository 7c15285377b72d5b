//! A model engine and the weight store that engines load from.

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

use crate::http::ChunkStream;
use crate::http::StandInAnswer;
use crate::http::StandInHandler;
use crate::http::StandInRequest;
use crate::http::StandInServer;

/// Number of tokens in each completion.
const TOKENS_PER_ANSWER: usize = 4;
/// Time to load an adapter; the slowdown by many concurrent loads is not simulated.
const ADAPTER_LOAD: Duration = Duration::from_millis(7);

/// The weight store that all engines load from. Too many concurrent loads slow each other down.
#[derive(Debug, Clone, Default)]
pub struct WeightStandIn {
    loads_in_progress: Arc<Mutex<u32>>,
}

impl WeightStandIn {
    /// Number of concurrent loads up to which each one runs at full speed.
    const FULL_SPEED_LOADS: u32 = 4;

    /// Counts a load and returns its duration, where `base` is the duration at full speed.
    fn begin_load(&self, base: Duration) -> Duration {
        let mut loads =
            self.loads_in_progress.lock().expect("no thread panics while holding the lock");
        *loads += 1;
        base * (*loads).div_ceil(Self::FULL_SPEED_LOADS)
    }

    fn end_load(&self) {
        *self.loads_in_progress.lock().expect("no thread panics while holding the lock") -= 1;
    }
}

/// Properties of a simulated engine.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// Name in the inventory and on the host list.
    pub name: String,
    /// Accelerator memory, in bytes.
    pub memory: u64,
    /// Whether the engine rejects orders with an outdated fencing token.
    pub checks_tokens: bool,
    /// Maximum number of requests that run at once; more are rejected as busy.
    pub slots: u32,
    /// Time to load a model at the full speed of the weight store.
    pub load_time: Duration,
    /// Time to produce one token.
    pub token_time: Duration,
}

#[derive(Debug, Default)]
struct EngineState {
    /// Highest fencing token received.
    token: u64,
    /// Resident and loading assets: size in bytes, and when the load finishes.
    resident: BTreeMap<String, (u64, Instant)>,
    running: u32,
    peak_bytes: u64,
    loads: BTreeMap<String, u32>,
    streams_to_truncate: u32,
}

/// A model engine that can simulate faults.
#[derive(Debug, Clone)]
pub struct EngineStandIn {
    spec: EngineSpec,
    weights: WeightStandIn,
    state: Arc<Mutex<EngineState>>,
}

/// Frees the slot of a running request when dropped.
struct RunningPermit(EngineStandIn);

impl Drop for RunningPermit {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

impl EngineStandIn {
    /// Creates an engine without resident assets.
    pub fn new(spec: EngineSpec, weights: WeightStandIn) -> Self {
        Self { spec, weights, state: Arc::default() }
    }

    /// Starts its HTTP server on a free loopback port.
    pub fn start(&self) -> StandInServer {
        StandInServer::start(Arc::new(self.clone()))
    }

    /// Properties that the engine was created with.
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Highest total size of resident and loading assets so far, in bytes.
    pub fn peak_bytes(&self) -> u64 {
        self.lock().peak_bytes
    }

    /// Number of loads started so far, by asset.
    pub fn loads(&self) -> BTreeMap<String, u32> {
        self.lock().loads.clone()
    }

    /// Whether `asset` is resident or loading.
    pub fn has_asset(&self, asset: &str) -> bool {
        self.lock().resident.contains_key(asset)
    }

    /// Closes the connections of the next `count` streams after two events.
    pub fn truncate_next_streams(&self, count: u32) {
        self.lock().streams_to_truncate = count;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, EngineState> {
        self.state.lock().expect("no thread panics while holding the lock")
    }

    fn assets(&self) -> Vec<ResidentAsset> {
        let state = self.lock();
        let now = Instant::now();
        let load_state = |ready: Instant| {
            if ready <= now { ResidentState::Ready } else { ResidentState::Loading }
        };
        let item = |(asset, (bytes, ready)): (&String, &(u64, Instant))| ResidentAsset {
            asset: asset.clone(),
            bytes: *bytes,
            state: load_state(*ready),
        };
        state.resident.iter().map(item).collect()
    }

    fn is_ready(&self, asset: &str) -> bool {
        let state = self.lock();
        state.resident.get(asset).is_some_and(|(_, ready)| *ready <= Instant::now())
    }

    async fn execute_order(&self, request: OrderRequest) -> OrderAnswer {
        {
            let mut state = self.lock();
            if self.spec.checks_tokens && request.token < state.token {
                return OrderAnswer { verdict: OrderVerdict::StaleToken, held: Vec::new() };
            }
            state.token = state.token.max(request.token);
        }
        let accepted = match request.order {
            OrderKind::Claim => true,
            OrderKind::LoadModel { asset, bytes } => self.start_load(asset, bytes),
            OrderKind::LoadAdapter { asset, base, bytes } => {
                let base_ready = self.is_ready(&base);
                if base_ready {
                    actix_rt::time::sleep(ADAPTER_LOAD).await;
                    self.insert_asset(asset, bytes, Duration::ZERO);
                }
                base_ready
            }
            OrderKind::Unload { asset } => self.lock().resident.remove(&asset).is_some(),
        };
        let verdict = if accepted { OrderVerdict::Accepted } else { OrderVerdict::Refused };
        OrderAnswer { verdict, held: self.assets() }
    }

    fn insert_asset(&self, asset: String, bytes: u64, load_time: Duration) {
        let mut state = self.lock();
        *state.loads.entry(asset.clone()).or_default() += 1;
        state.resident.insert(asset, (bytes, Instant::now() + load_time));
        let total = state.resident.values().map(|(bytes, _)| bytes).sum();
        state.peak_bytes = state.peak_bytes.max(total);
    }

    /// Starts a load. Keeping within the engine's memory is up to the system that sends orders.
    fn start_load(&self, asset: String, bytes: u64) -> bool {
        if self.lock().resident.contains_key(&asset) {
            return false;
        }
        let load_time = self.weights.begin_load(self.spec.load_time);
        self.insert_asset(asset, bytes, load_time);
        let weights = self.weights.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(load_time).await;
            weights.end_load();
        });
        true
    }

    async fn complete(&self, body: &Value) -> StandInAnswer {
        let asset = body["model"].as_str().unwrap_or("").to_owned();
        if !self.is_ready(&asset) {
            return StandInAnswer::Json(409, json!({ "error": "not loaded" }));
        }
        let truncate = {
            let mut state = self.lock();
            if state.running >= self.spec.slots {
                return StandInAnswer::Json(503, json!({ "error": "busy" }));
            }
            state.running += 1;
            let truncate = state.streams_to_truncate > 0;
            state.streams_to_truncate -= u32::from(truncate);
            truncate
        };
        let permit = RunningPermit(self.clone());
        let prompt = match &body["prompt"] {
            Value::Null => body["messages"].to_string(),
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        let text = format!("{asset} heard {prompt}");
        if body["stream"] == json!(true) {
            return StandInAnswer::Events(self.event_stream(text, truncate, permit));
        }
        actix_rt::time::sleep(self.spec.token_time * TOKENS_PER_ANSWER as u32).await;
        drop(permit);
        let choice = json!({ "index": 0, "text": text, "finish_reason": "stop" });
        let answer = json!({ "object": "text_completion", "model": asset, "choices": [choice] });
        StandInAnswer::Json(200, answer)
    }

    fn event_stream(&self, text: String, truncate: bool, permit: RunningPermit) -> ChunkStream {
        let token_time = self.spec.token_time;
        let size = text.len().div_ceil(TOKENS_PER_ANSWER).max(1);
        let bytes = text.into_bytes();
        let mut chunks: Vec<Result<Bytes, std::io::Error>> = bytes
            .chunks(size)
            .map(|chunk| {
                let text = String::from_utf8_lossy(chunk);
                let event = json!({ "choices": [{ "index": 0, "text": text }] });
                Ok(Bytes::from(format!("data: {event}\n\n")))
            })
            .collect();
        if truncate {
            chunks.truncate(2);
            chunks.push(Err(std::io::Error::other("cut")));
        } else {
            chunks.push(Ok(Bytes::from_static(b"data: [DONE]\n\n")));
        }
        futures::stream::iter(chunks)
            .then(move |chunk| {
                let _running = &permit;
                async move {
                    actix_rt::time::sleep(token_time).await;
                    chunk
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
                    Ok(order) => StandInAnswer::Json(200, json!(self.execute_order(order).await)),
                    Err(error) => StandInAnswer::Json(400, json!({ "error": error.to_string() })),
                },
                _ => self.complete(&request.json()).await,
            }
        }
        .boxed_local()
    }
}
