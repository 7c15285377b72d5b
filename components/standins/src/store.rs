//! The key-value service: the subset of etcd's JSON gateway that the project uses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use serde_json::Value;
use serde_json::json;

use crate::http::StandInAnswer;
use crate::http::StandInHandler;
use crate::http::StandInRequest;
use crate::http::StandInServer;

#[derive(Debug, Default)]
struct StoreState {
    revision: u64,
    /// Modification revision and value by key.
    values: BTreeMap<String, (u64, String)>,
    /// Keys to delete when a lease expires, by lease id.
    leased: BTreeMap<String, BTreeSet<String>>,
    /// Time to live of each granted lease, in seconds.
    leases: Vec<u64>,
    calls: u64,
    down: bool,
    writes_to_lose: u32,
    delay: Duration,
}

/// A key-value service that can simulate faults.
#[derive(Debug, Clone, Default)]
pub struct StoreStandIn {
    state: Arc<Mutex<StoreState>>,
}

impl StoreStandIn {
    /// Starts its HTTP server on a free loopback port.
    pub fn start(&self) -> StandInServer {
        StandInServer::start(Arc::new(self.clone()))
    }

    /// Starts or ends an outage, during which calls have no effect and get no answer.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Applies the next `count` successful transactions without answering them.
    pub fn lose_next_writes(&self, count: u32) {
        self.lock().writes_to_lose = count;
    }

    /// Sets the delay of every answer.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Expires all leases and deletes their keys. Returns their times to live, in seconds.
    pub fn expire_leases(&self) -> Vec<u64> {
        let mut state = self.lock();
        let keys: BTreeSet<String> =
            std::mem::take(&mut state.leased).into_values().flatten().collect();
        state.values.retain(|key, _| !keys.contains(key));
        std::mem::take(&mut state.leases)
    }

    /// Number of calls received so far, including those without an answer.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Keys that start with `prefix`, and their values, sorted by key.
    pub fn values(&self, prefix: &str) -> Vec<(String, String)> {
        let state = self.lock();
        let values = state.values.range(prefix.to_owned()..);
        let matching = values.take_while(|(key, _)| key.starts_with(prefix));
        matching.map(|(key, (_, value))| (key.clone(), value.clone())).collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, StoreState> {
        self.state.lock().expect("no thread panics while holding the lock")
    }
}

fn decode_base64(value: &Value) -> String {
    let bytes = STANDARD.decode(value.as_str().unwrap_or("")).unwrap_or_default();
    String::from_utf8(bytes).unwrap_or_default()
}

impl StoreState {
    fn get(&self, key: &Value) -> Value {
        let pair = self.values.get(&decode_base64(key)).map(|(revision, value)| {
            json!({
                "key": key,
                "value": STANDARD.encode(value),
                "mod_revision": revision.to_string(),
            })
        });
        json!({ "kvs": pair.into_iter().collect::<Vec<_>>() })
    }

    fn run_operation(&mut self, operation: &Value) -> Value {
        if let Some(put) = operation.get("request_put") {
            self.revision += 1;
            let value = (self.revision, decode_base64(&put["value"]));
            let key = decode_base64(&put["key"]);
            self.leased.values_mut().for_each(|keys| {
                keys.remove(&key);
            });
            if let Some(lease) = put["lease"].as_str() {
                self.leased.entry(lease.to_owned()).or_default().insert(key.clone());
            }
            self.values.insert(key, value);
            return json!({ "response_put": {} });
        }
        if let Some(delete) = operation.get("request_delete_range") {
            self.revision += 1;
            self.values.remove(&decode_base64(&delete["key"]));
            return json!({ "response_delete_range": {} });
        }
        json!({ "response_range": self.get(&operation["request_range"]["key"]) })
    }

    fn grant_lease(&mut self, body: &Value) -> Value {
        let seconds = body["TTL"].as_str().and_then(|text| text.parse().ok()).unwrap_or(0);
        self.leases.push(seconds);
        json!({ "ID": self.leases.len().to_string(), "TTL": body["TTL"] })
    }

    fn transact(&mut self, body: &Value) -> Value {
        let empty = Vec::new();
        let list = |name: &str| body[name].as_array().unwrap_or(&empty).clone();
        let matches = list("compare").iter().all(|compare| {
            let current = self
                .values
                .get(&decode_base64(&compare["key"]))
                .map_or(0, |(revision, _)| *revision);
            compare["mod_revision"].as_str() == Some(current.to_string().as_str())
        });
        let operations = list(if matches { "success" } else { "failure" });
        let responses: Vec<Value> =
            operations.iter().map(|operation| self.run_operation(operation)).collect();
        json!({
            "header": { "revision": self.revision.to_string() },
            "succeeded": matches,
            "responses": responses,
        })
    }
}

impl StandInHandler for StoreStandIn {
    fn handle(self: Arc<Self>, request: StandInRequest) -> LocalBoxFuture<'static, StandInAnswer> {
        async move {
            let body = request.json();
            let (answer, delay) = {
                let mut state = self.lock();
                state.calls += 1;
                if state.down {
                    (None, Duration::ZERO)
                } else if request.path.ends_with("/lease/grant") {
                    (Some(state.grant_lease(&body)), state.delay)
                } else if request.path.ends_with("/range") {
                    (Some(state.get(&body["key"])), state.delay)
                } else {
                    let answer = state.transact(&body);
                    let wrote = answer["succeeded"] == json!(true);
                    let lost = wrote && state.writes_to_lose > 0;
                    state.writes_to_lose -= u32::from(lost);
                    ((!lost).then_some(answer), state.delay)
                }
            };
            if !delay.is_zero() {
                actix_rt::time::sleep(delay).await;
            }
            answer.map_or(StandInAnswer::Hang, |answer| StandInAnswer::Json(200, answer))
        }
        .boxed_local()
    }
}
