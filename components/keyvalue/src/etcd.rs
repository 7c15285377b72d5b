//! The key-value service by the JSON gateway of etcd v3.

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

/// Longest answer that is read, in bytes; values hold up to a megabyte.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Keys share a lease for this part of their time, so that few leases are granted.
const LEASE_SHARE: u32 = 24;

/// A lease of the service that keys share.
#[derive(Debug)]
struct SharedLease {
    id: String,
    /// Time that keys are to last.
    span: Duration,
    granted: Instant,
}

#[derive(Debug, Deserialize)]
struct LeaseAnswer {
    #[serde(rename = "ID")]
    id: String,
}

/// Talks to the JSON gateway of etcd v3.
#[derive(Debug, Clone)]
pub struct EtcdService {
    base: String,
    timeout: Duration,
    client: Client,
    lease: Rc<RefCell<Option<SharedLease>>>,
}

/// The HTTP client, which has no `Debug` of its own.
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
struct BranchAnswer {
    response_range: Option<RangeAnswer>,
}

#[derive(Debug, Deserialize)]
struct TxnAnswer {
    header: AnswerHeader,
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    responses: Vec<BranchAnswer>,
}

impl EtcdService {
    /// Talks to the gateway at `base`, waiting for at most `timeout` per call.
    pub fn new(base: &str, timeout: Duration) -> Self {
        let client = Client(awc::Client::builder().timeout(timeout).finish());
        Self { base: base.trim_end_matches('/').to_owned(), timeout, client, lease: Rc::default() }
    }

    /// Writes a key that is dropped after `span`. Keys written about the same time share a lease.
    fn swap_for(
        &self,
        key: String,
        expected: u64,
        value: String,
        span: Duration,
    ) -> LocalBoxFuture<'static, StoreOutcome> {
        let service = self.clone();
        async move {
            let Some(lease) = service.shared_lease(span).await else {
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

    /// A lease that lasts at least `span`; a new one is granted when the last is too old.
    async fn shared_lease(&self, span: Duration) -> Option<String> {
        let share = span / LEASE_SHARE;
        let fits = |lease: &SharedLease| lease.span == span && lease.granted.elapsed() < share;
        if let Some(lease) = self.lease.borrow().as_ref().filter(|lease| fits(lease)) {
            return Some(lease.id.clone());
        }
        let granted = Instant::now();
        let seconds = (span + share).as_secs().max(1);
        let answer = self.post("/v3/lease/grant", &json!({ "TTL": seconds.to_string() })).await?;
        let answer: LeaseAnswer = serde_json::from_slice(&answer).ok()?;
        let lease = SharedLease { id: answer.id, span, granted };
        let id = lease.id.clone();
        *self.lease.borrow_mut() = Some(lease);
        Some(id)
    }

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
            StoreOp::CompareAndSwap { key, expected, value, ttl: Some(span) } => {
                self.swap_for(key, expected, value, span)
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

/// A write that holds only while the key is at version `expected`; otherwise the key is read.
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

fn found(range: &RangeAnswer) -> Option<StoreOutcome> {
    let Some(pair) = range.kvs.first() else {
        return Some(StoreOutcome::Absent);
    };
    let version = pair.mod_revision.parse().ok()?;
    let value = String::from_utf8(STANDARD.decode(&pair.value).ok()?).ok()?;
    Some(StoreOutcome::Found { version, value })
}

fn range_outcome(body: Option<Vec<u8>>) -> Option<StoreOutcome> {
    let answer: RangeAnswer = serde_json::from_slice(&body?).ok()?;
    found(&answer)
}

fn txn_outcome(body: Option<Vec<u8>>) -> Option<StoreOutcome> {
    let answer: TxnAnswer = serde_json::from_slice(&body?).ok()?;
    if answer.succeeded {
        return Some(StoreOutcome::Done { version: answer.header.revision.parse().ok()? });
    }
    let range = answer.responses.into_iter().next()?.response_range.unwrap_or_default();
    found(&range)
}
