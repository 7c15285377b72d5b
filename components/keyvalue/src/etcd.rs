//! Client of the key-value service through the JSON gateway of etcd v3.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use wagtailledge_decisions::store::StoreOp;
use wagtailledge_decisions::store::StoreOutcome;

use crate::KeyValueService;

/// Largest accepted answer, in bytes. A single value can have up to a megabyte.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A lease is reused for new keys during this fraction of their TTL (a divisor: 1/24 of it), so
/// that few leases are granted.
const LEASE_REUSE_DIVISOR: u32 = 24;

/// A lease granted by etcd and shared by several keys.
#[derive(Debug)]
struct SharedLease {
    id: String,
    /// Minimum TTL of the keys that share the lease.
    key_ttl: Duration,
    /// When the lease was requested.
    requested_at: Instant,
}

#[derive(Debug, Deserialize)]
struct GrantAnswer {
    #[serde(rename = "ID")]
    id: String,
}

/// Client of the JSON gateway of etcd v3.
#[derive(Debug, Clone)]
pub struct EtcdService {
    base: String,
    timeout: Duration,
    client: Client,
    /// Latest lease, shared by all clones of this client.
    lease: Rc<RefCell<Option<SharedLease>>>,
}

/// Wraps the HTTP client, which does not implement `Debug`.
#[derive(Clone)]
struct Client(awc::Client);

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Client")
    }
}

#[derive(Debug, Deserialize)]
struct StoredPair {
    #[serde(default)]
    value: String,
    mod_revision: String,
}

#[derive(Debug, Deserialize, Default)]
struct RangeAnswer {
    #[serde(default)]
    kvs: Vec<StoredPair>,
}

#[derive(Debug, Deserialize)]
struct AnswerHeader {
    revision: String,
}

#[derive(Debug, Deserialize)]
struct OperationAnswer {
    response_range: Option<RangeAnswer>,
}

#[derive(Debug, Deserialize)]
struct TxnAnswer {
    header: AnswerHeader,
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    responses: Vec<OperationAnswer>,
}

impl EtcdService {
    /// Creates a client of the gateway at URL `base` that waits at most `timeout` per HTTP request.
    pub fn new(base: &str, timeout: Duration) -> Self {
        let client = Client(awc::Client::builder().timeout(timeout).finish());
        Self { base: base.trim_end_matches('/').to_owned(), timeout, client, lease: Rc::default() }
    }

    /// Writes a key that etcd deletes once its lease expires, at least `ttl` later. Keys that
    /// are written at about the same time share a lease.
    fn compare_and_swap_with_ttl(
        &self,
        key: String,
        expected: u64,
        value: String,
        ttl: Duration,
    ) -> LocalBoxFuture<'static, StoreOutcome> {
        let service = self.clone();
        async move {
            let Some(lease) = service.shared_lease(ttl).await else {
                return StoreOutcome::Failed;
            };
            let put = json!({ "request_put": {
                "key": encode(&key), "value": encode(&value), "lease": lease,
            } });
            let answer = service.post("/v3/kv/txn", &transaction(&key, expected, &put)).await;
            txn_outcome(answer).unwrap_or(StoreOutcome::Failed)
        }
        .boxed_local()
    }

    /// Returns a lease that lasts at least `key_ttl`. Requests a new one if the latest is too
    /// old or was granted for another TTL.
    async fn shared_lease(&self, key_ttl: Duration) -> Option<String> {
        let reuse_period = key_ttl / LEASE_REUSE_DIVISOR;
        let is_reusable = |lease: &SharedLease| {
            lease.key_ttl == key_ttl && lease.requested_at.elapsed() < reuse_period
        };
        if let Some(lease) = self.lease.borrow().as_ref().filter(|lease| is_reusable(lease)) {
            return Some(lease.id.clone());
        }
        let requested_at = Instant::now();
        let seconds = (key_ttl + reuse_period).as_secs().max(1);
        let answer = self.post("/v3/lease/grant", &json!({ "TTL": seconds.to_string() })).await?;
        let answer: GrantAnswer = serde_json::from_slice(&answer).ok()?;
        let lease = SharedLease { id: answer.id, key_ttl, requested_at };
        let id = lease.id.clone();
        *self.lease.borrow_mut() = Some(lease);
        Some(id)
    }

    /// Sends a POST request. Returns `None` on timeout, a failed connection, an error status or a
    /// body that is too large.
    fn post(&self, path: &str, body: &Value) -> LocalBoxFuture<'static, Option<Vec<u8>>> {
        let url = format!("{}{path}", self.base);
        let request = self.client.0.post(url).timeout(self.timeout).send_json(body);
        async move {
            let mut response = request.await.ok()?;
            if !response.status().is_success() {
                return None;
            }
            let body = response.body().limit(MAX_ANSWER_BYTES).await.ok()?;
            Some(body.to_vec())
        }
        .boxed_local()
    }
}

impl KeyValueService for EtcdService {
    fn call(&self, op: StoreOp) -> LocalBoxFuture<'static, StoreOutcome> {
        match op {
            StoreOp::Read { key } => {
                let answer = self.post("/v3/kv/range", &json!({ "key": encode(&key) }));
                async move { range_outcome(answer.await).unwrap_or(StoreOutcome::Failed) }
                    .boxed_local()
            }
            StoreOp::CompareAndSwap { key, expected, value, ttl: Some(ttl) } => {
                self.compare_and_swap_with_ttl(key, expected, value, ttl)
            }
            StoreOp::CompareAndSwap { key, expected, value, ttl: None } => {
                let put =
                    json!({ "request_put": { "key": encode(&key), "value": encode(&value) } });
                let answer = self.post("/v3/kv/txn", &transaction(&key, expected, &put));
                async move { txn_outcome(answer.await).unwrap_or(StoreOutcome::Failed) }
                    .boxed_local()
            }
            StoreOp::Delete { key, expected } => {
                let delete = json!({ "request_delete_range": { "key": encode(&key) } });
                let answer = self.post("/v3/kv/txn", &transaction(&key, expected, &delete));
                async move { txn_outcome(answer.await).unwrap_or(StoreOutcome::Failed) }
                    .boxed_local()
            }
        }
    }
}

fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

/// Builds a transaction that applies `write` if the key has the version `expected`, and otherwise
/// reads the key.
fn transaction(key: &str, expected: u64, write: &Value) -> Value {
    let key = encode(key);
    json!({
        "compare": [{
            "key": key,
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": expected.to_string(),
        }],
        "success": [write],
        "failure": [{ "request_range": { "key": key } }],
    })
}

/// Outcome of reading one key; `None` if its version or value cannot be decoded.
fn read_outcome(range: &RangeAnswer) -> Option<StoreOutcome> {
    let Some(pair) = range.kvs.first() else {
        return Some(StoreOutcome::Absent { version: 0 });
    };
    let version = pair.mod_revision.parse().ok()?;
    let value = String::from_utf8(STANDARD.decode(&pair.value).ok()?).ok()?;
    Some(StoreOutcome::Found { version, value })
}

fn range_outcome(body: Option<Vec<u8>>) -> Option<StoreOutcome> {
    let answer: RangeAnswer = serde_json::from_slice(&body?).ok()?;
    read_outcome(&answer)
}

fn txn_outcome(body: Option<Vec<u8>>) -> Option<StoreOutcome> {
    let answer: TxnAnswer = serde_json::from_slice(&body?).ok()?;
    if answer.succeeded {
        return Some(StoreOutcome::Done { version: answer.header.revision.parse().ok()? });
    }
    let range = answer.responses.into_iter().next()?.response_range.unwrap_or_default();
    read_outcome(&range)
}
