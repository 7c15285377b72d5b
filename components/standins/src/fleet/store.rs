//! The platform's store: keys with revisions, watches and leases.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

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

/// Between two looks whether a watch has news.
const WATCH_LOOK: Duration = Duration::from_millis(5);

#[derive(Debug, Clone)]
struct StoredValue {
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Debug, Clone, Copy)]
struct StoreLease {
    ends: Instant,
    span: Duration,
}

#[derive(Debug, Default)]
struct StoreContent {
    revision: u64,
    items: BTreeMap<String, StoredValue>,
    /// Changes in order: revision, key and, unless it was removed, its value.
    history: Vec<(u64, String, Option<String>)>,
    /// Changes up to this revision are forgotten.
    compacted: u64,
    leases: BTreeMap<u64, StoreLease>,
    /// Grows with each silence: a connection that was silent once stays so.
    silences: u64,
    silent: bool,
    refusing: bool,
    calls: u64,
}

/// The store, with switches for its faults.
#[derive(Debug, Clone, Default)]
pub struct FleetStore {
    content: Arc<Mutex<StoreContent>>,
}

impl FleetStore {
    /// Starts it on loopback.
    pub fn start(&self) -> StandInServer {
        StandInServer::start(Arc::new(self.clone()))
    }

    /// Stops answering, also the calls that wait, or answers new calls again.
    pub fn set_silent(&self, silent: bool) {
        let mut content = self.lock();
        content.silent = silent;
        content.silences += u64::from(silent);
    }

    /// Refuses every call as not done.
    pub fn set_refusing(&self, refusing: bool) {
        self.lock().refusing = refusing;
    }

    /// Forgets its history.
    pub fn compact(&self) {
        let mut content = self.lock();
        content.compacted = content.revision;
        content.history.clear();
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let mut content = self.lock();
        content.expire();
        content.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Writes a key as operators and upstreams do.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.lock().write(key.to_owned(), Some(STANDARD.encode(value)), 0);
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.lock().write(key.to_owned(), None, 0);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, StoreContent> {
        self.content.lock().expect("no holder panics")
    }

    async fn watch(&self, request: &StandInRequest) -> StandInAnswer {
        let prefix = request.parameter("prefix");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let silences = self.lock().silences;
        loop {
            {
                let mut content = self.lock();
                content.expire();
                if content.silences != silences {
                    return StandInAnswer::Hang;
                }
                if after < content.compacted {
                    return StandInAnswer::Json(410, json!({}));
                }
                let events = content.events(prefix, after);
                if !events.is_empty() || Instant::now() >= until {
                    let at = content.revision;
                    return StandInAnswer::Json(200, json!({ "events": events, "at": at }));
                }
            }
            actix_rt::time::sleep(WATCH_LOOK).await;
        }
    }
}

impl StoreContent {
    fn write(&mut self, key: String, value: Option<String>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        self.history.push((revision, key.clone(), value.clone()));
        match value {
            Some(value) => {
                self.items.insert(key, StoredValue { value, revision, lease });
            }
            None => {
                self.items.remove(&key);
            }
        }
    }

    /// Ends the leases that have run out.
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: BTreeSet<u64> =
            self.leases.iter().filter(|(_, lease)| lease.ends <= now).map(|(id, _)| *id).collect();
        self.end(&ended);
    }

    fn end(&mut self, ended: &BTreeSet<u64>) {
        self.leases.retain(|id, _| !ended.contains(id));
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| ended.contains(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.write(key, None, 0);
        }
    }

    fn item(&self, key: &str) -> Value {
        match self.items.get(key) {
            Some(item) => json!({
                "key": key, "value": item.value, "revision": item.revision, "lease": item.lease
            }),
            None => json!({ "key": key, "revision": 0, "deleted": true }),
        }
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let news = self
            .history
            .iter()
            .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
        news.map(|(revision, key, value)| match value {
            Some(value) => json!({ "key": key, "value": value, "revision": revision }),
            None => json!({ "key": key, "revision": revision, "deleted": true }),
        })
        .collect()
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let holds = |row: &Value| {
            let revision = self.items.get(&text(&row["key"])).map_or(0, |item| item.revision);
            row["revision"].as_u64() == Some(revision)
        };
        let expected = rows("expected");
        if !expected.iter().all(holds) {
            let items: Vec<Value> =
                expected.iter().map(|row| self.item(&text(&row["key"]))).collect();
            return (412, json!({ "items": items }));
        }
        let writes = rows("writes");
        let lease = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        if writes.iter().any(|row| lease(row) != 0 && !self.leases.contains_key(&lease(row))) {
            return (404, json!({}));
        }
        for row in &writes {
            self.write(text(&row["key"]), Some(text(&row["value"])), lease(row));
        }
        for key in rows("remove") {
            self.write(text(&key), None, 0);
        }
        (200, json!({ "revision": self.revision }))
    }

    fn grant(&mut self, body: &Value) -> (u16, Value) {
        let span = Duration::from_millis(body["ttlMs"].as_u64().unwrap_or(1_000));
        self.revision += 1;
        let lease = self.revision;
        self.leases.insert(lease, StoreLease { ends: Instant::now() + span, span });
        (200, json!({ "lease": lease, "ttlMs": span.as_millis() as u64 }))
    }

    fn keep(&mut self, lease: u64) -> (u16, Value) {
        match self.leases.get_mut(&lease) {
            Some(found) => {
                found.ends = Instant::now() + found.span;
                (200, json!({ "ttlMs": found.span.as_millis() as u64 }))
            }
            None => (404, json!({})),
        }
    }

    fn answer(&mut self, request: &StandInRequest) -> (u16, Value) {
        self.expire();
        let path = request.path.as_str();
        let number = |prefix: &str| path.strip_prefix(prefix)?.parse::<u64>().ok();
        match path {
            "/-/kv-key" => {
                let key = request.parameter("key");
                let status = if self.items.contains_key(key) { 200 } else { 404 };
                (status, self.item(key))
            }
            "/-/kv-range" => {
                let prefix = request.parameter("prefix");
                let keys = self.items.keys().filter(|key| key.starts_with(prefix));
                let items: Vec<Value> = keys.map(|key| self.item(key)).collect();
                (200, json!({ "items": items, "hasMore": false, "at": self.revision }))
            }
            "/-/kv-txn" => self.transact(&request.json()),
            "/-/kv-lease" => self.grant(&request.json()),
            _ => match (number("/-/kv-keep/"), number("/-/kv-lease-end/")) {
                (Some(lease), _) => self.keep(lease),
                (_, Some(lease)) => {
                    self.end(&BTreeSet::from([lease]));
                    (200, json!({}))
                }
                _ => (404, json!({})),
            },
        }
    }
}

impl StandInHandler for FleetStore {
    fn handle(self: Arc<Self>, request: StandInRequest) -> LocalBoxFuture<'static, StandInAnswer> {
        async move {
            {
                let mut content = self.lock();
                content.calls += 1;
                if content.silent {
                    return StandInAnswer::Hang;
                }
                if content.refusing {
                    return StandInAnswer::Json(503, json!({}));
                }
            }
            if request.path == "/-/kv-watch" {
                return self.watch(&request).await;
            }
            let (status, body) = self.lock().answer(&request);
            StandInAnswer::Json(status, body)
        }
        .boxed_local()
    }
}
