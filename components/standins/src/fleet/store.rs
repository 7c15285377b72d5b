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

use super::gate::StoreGate;

/// Interval at which a watch checks for changes.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Debug, Clone)]
struct StoredValue {
    /// Base64 text.
    value: String,
    /// Revision of the last write.
    revision: u64,
    /// Lease id; 0 when the key has no lease.
    lease: u64,
}

/// What the store held at one moment.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    revision: u64,
    items: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, StoreLease>,
}

#[derive(Debug, Clone, Copy)]
struct StoreLease {
    expires_at: Instant,
    ttl: Duration,
}

#[derive(Debug)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, StoredValue>,
    /// Changes in order: revision, key, and value, which is `None` for a removal.
    history: Vec<(u64, String, Option<String>)>,
    /// Revision up to which the history was discarded.
    compacted_revision: u64,
    /// Incremented whenever the store comes back from a copy.
    era: u64,
    leases: BTreeMap<u64, StoreLease>,
    /// Number of silent periods so far; a watch that was open in one never gets an answer.
    silent_periods: u64,
    silent: bool,
    refusing: bool,
    calls: u64,
    watches: u64,
    /// Most items of a page.
    page_items: usize,
    /// Prefix of a key, and the delay of the next transaction that writes such a key.
    late_write: Option<(String, Duration)>,
}

/// Most items of a page, unless a test sets another number.
const PAGE_ITEMS: usize = 500;

impl Default for StoreState {
    fn default() -> Self {
        Self {
            revision: 0,
            items: BTreeMap::new(),
            history: Vec::new(),
            compacted_revision: 0,
            era: 1,
            leases: BTreeMap::new(),
            silent_periods: 0,
            silent: false,
            refusing: false,
            calls: 0,
            watches: 0,
            page_items: PAGE_ITEMS,
            late_write: None,
        }
    }
}

/// Whether a call is a transaction that writes a key with this prefix.
pub(super) fn writes_key(request: &StandInRequest, prefix: &str) -> bool {
    let body = if request.path == "/-/kv-txn" { request.json() } else { Value::Null };
    let mut rows = body["writes"].as_array().into_iter().flatten();
    rows.any(|row| row["key"].as_str().is_some_and(|key| key.starts_with(prefix)))
}

/// The store, which can simulate faults.
#[derive(Debug, Clone, Default)]
pub struct FleetStore {
    state: Arc<Mutex<StoreState>>,
}

impl FleetStore {
    /// Starts its HTTP server on a free loopback port.
    pub fn start(&self) -> StandInServer {
        StandInServer::start(Arc::new(self.clone()))
    }

    /// A way to the store for one host.
    pub fn gate(&self) -> StoreGate {
        StoreGate::new(self.clone())
    }

    /// Starts or ends a silent period, during which no call is answered. Watches that are open when
    /// it starts never get an answer.
    pub fn set_silent(&self, silent: bool) {
        let mut state = self.lock();
        state.silent = silent;
        state.silent_periods += u64::from(silent);
    }

    /// Sets whether every call is answered with status 503 and not executed.
    pub fn set_refusing(&self, refusing: bool) {
        self.lock().refusing = refusing;
    }

    /// Sets the most items that a page lists.
    pub fn set_page_items(&self, count: usize) {
        self.lock().page_items = count;
    }

    /// Executes the next transaction that writes a key with this prefix `delay` later, and never answers it.
    pub fn delay_next_write(&self, prefix: &str, delay: Duration) {
        self.lock().late_write = Some((prefix.to_owned(), delay));
    }

    /// Discards the history, so that a watch from an older revision fails with status 410.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted_revision = state.revision;
        state.history.clear();
    }

    /// Copies what the store holds.
    pub fn copy(&self) -> StoreCopy {
        let state = self.lock();
        StoreCopy {
            revision: state.revision,
            items: state.items.clone(),
            leases: state.leases.clone(),
        }
    }

    /// Replaces what the store holds by an earlier copy. All later changes are lost and their revisions
    /// are given out again. Watches that are open never get an answer.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.lock();
        state.revision = copy.revision;
        state.items = copy.items.clone();
        state.leases = copy.leases.clone();
        state.compacted_revision = 0;
        state.history.retain(|(revision, _, _)| *revision <= copy.revision);
        state.era += 1;
        state.silent_periods += 1;
    }

    /// Number of calls received so far, including those without an answer.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Number of watch calls received so far.
    pub fn watches(&self) -> u64 {
        self.lock().watches
    }

    /// Keys that start with `prefix`, sorted, without those of expired leases.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let mut state = self.lock();
        state.remove_expired();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Writes a key without a lease, as operators and upstreams do.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.lock().write(key.to_owned(), Some(STANDARD.encode(value)), 0);
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.lock().write(key.to_owned(), None, 0);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, StoreState> {
        self.state.lock().expect("no thread panics while holding the lock")
    }

    async fn watch(&self, request: &StandInRequest) -> StandInAnswer {
        let prefix = request.query_parameter("prefix");
        let after: u64 = request.query_parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.query_parameter("waitMs").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let silent_periods = {
            let mut state = self.lock();
            state.watches += 1;
            state.silent_periods
        };
        loop {
            {
                let mut state = self.lock();
                state.remove_expired();
                if state.silent_periods != silent_periods {
                    return StandInAnswer::Hang;
                }
                if after < state.compacted_revision || after > state.revision {
                    return StandInAnswer::Json(410, json!({}));
                }
                let events = state.events(&prefix, after);
                if !events.is_empty() || Instant::now() >= deadline {
                    let at = state.revision;
                    return StandInAnswer::Json(200, json!({ "events": events, "at": at }));
                }
            }
            actix_rt::time::sleep(WATCH_CHECK_INTERVAL).await;
        }
    }
}

impl StoreState {
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

    /// Removes expired leases and their keys.
    fn remove_expired(&mut self) {
        let now = Instant::now();
        let ended: BTreeSet<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        self.end_leases(&ended);
    }

    fn end_leases(&mut self, ended: &BTreeSet<u64>) {
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

    fn item_json(&self, key: &str) -> Value {
        match self.items.get(key) {
            Some(item) => json!({
                "key": key, "value": item.value, "revision": item.revision, "lease": item.lease
            }),
            None => json!({ "key": key, "revision": 0, "deleted": true }),
        }
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let changes = self
            .history
            .iter()
            .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
        changes
            .map(|(revision, key, value)| match value {
                Some(value) => json!({ "key": key, "value": value, "revision": revision }),
                None => json!({ "key": key, "revision": revision, "deleted": true }),
            })
            .collect()
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let matches = |row: &Value| {
            let revision = self.items.get(&text(&row["key"])).map_or(0, |item| item.revision);
            row["revision"].as_u64() == Some(revision)
        };
        let expected = rows("expected");
        if !expected.iter().all(matches) {
            let items: Vec<Value> =
                expected.iter().map(|row| self.item_json(&text(&row["key"]))).collect();
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

    /// Delay of a transaction that is to be executed late; once.
    fn take_delay(&mut self, request: &StandInRequest) -> Option<Duration> {
        let is_late = |(prefix, _): &mut (String, Duration)| writes_key(request, prefix);
        self.late_write.take_if(is_late).map(|(_, delay)| delay)
    }

    fn grant_lease(&mut self, body: &Value) -> (u16, Value) {
        let ttl = Duration::from_millis(body["ttlMs"].as_u64().unwrap_or(1_000));
        self.revision += 1;
        let lease = self.revision;
        self.leases.insert(lease, StoreLease { expires_at: Instant::now() + ttl, ttl });
        (200, json!({ "lease": lease, "ttlMs": ttl.as_millis() as u64 }))
    }

    fn renew_lease(&mut self, lease: u64) -> (u16, Value) {
        match self.leases.get_mut(&lease) {
            Some(found) => {
                found.expires_at = Instant::now() + found.ttl;
                (200, json!({ "ttlMs": found.ttl.as_millis() as u64 }))
            }
            None => (404, json!({})),
        }
    }

    fn answer(&mut self, request: &StandInRequest) -> (u16, Value) {
        self.remove_expired();
        let path = request.path.as_str();
        let number = |prefix: &str| path.strip_prefix(prefix)?.parse::<u64>().ok();
        match path {
            "/-/kv-key" => {
                let key = request.query_parameter("key");
                let status = if self.items.contains_key(&key) { 200 } else { 404 };
                (status, self.item_json(&key))
            }
            "/-/kv-range" => {
                let prefix = request.query_parameter("prefix");
                let after = request.query_parameter("after");
                let keys = self.items.keys().filter(|key| key.starts_with(&prefix));
                let mut keys = keys.filter(|key| after.is_empty() || **key > after);
                let page = keys.by_ref().take(self.page_items);
                let items: Vec<Value> = page.map(|key| self.item_json(key)).collect();
                let has_more = keys.next().is_some();
                (200, json!({ "items": items, "hasMore": has_more, "at": self.revision }))
            }
            "/-/kv-txn" => self.transact(&request.json()),
            "/-/kv-lease" => self.grant_lease(&request.json()),
            _ => match (number("/-/kv-keep/"), number("/-/kv-lease-end/")) {
                (Some(lease), _) => self.renew_lease(lease),
                (_, Some(lease)) => {
                    self.end_leases(&BTreeSet::from([lease]));
                    (200, json!({}))
                }
                _ => (404, json!({})),
            },
        }
    }
}

impl FleetStore {
    async fn answer(&self, request: &StandInRequest) -> StandInAnswer {
        {
            let mut state = self.lock();
            state.calls += 1;
            if state.silent {
                return StandInAnswer::Hang;
            }
            if state.refusing {
                return StandInAnswer::Json(503, json!({}));
            }
        }
        if request.path == "/-/kv-watch" {
            return self.watch(request).await;
        }
        if let Some(delay) = self.lock().take_delay(request) {
            let (store, request) = (self.clone(), request.clone());
            actix_rt::spawn(async move {
                actix_rt::time::sleep(delay).await;
                let _ = store.lock().answer(&request);
            });
            return StandInAnswer::Hang;
        }
        let (status, body) = self.lock().answer(request);
        StandInAnswer::Json(status, body)
    }
}

impl StandInHandler for FleetStore {
    fn handle(self: Arc<Self>, request: StandInRequest) -> LocalBoxFuture<'static, StandInAnswer> {
        async move {
            let answer = self.answer(&request).await;
            let StandInAnswer::Json(status, body) = answer else {
                return answer;
            };
            let era = ("store-era", self.lock().era.to_string());
            StandInAnswer::Reply(status, vec![era], body.to_string().into())
        }
        .boxed_local()
    }
}
