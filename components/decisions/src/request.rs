//! Callers' requests as the reducer sees them.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use slotmap::new_key_type;
use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::ServiceKey;

new_key_type! {
    /// A request between its arrival and its end.
    pub struct RequestKey;
}

/// Number the front gives to each request; never used twice in a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestTicket(pub u64);

/// What a request is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestTarget {
    /// A model version or an adapter.
    Asset(AssetKey),
    /// Any instance of a service.
    Service(ServiceKey),
}

/// Whether a request may be sent to an upstream more than once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestRepeat {
    /// Idempotent: may be retried.
    Idempotent,
    /// Not idempotent, with the caller's key: recorded in the ledger, run at most once.
    Keyed(LedgerKey),
    /// Not idempotent and without a key: dispatched at most once by the host that got it.
    Unkeyed,
}

/// Names a non-idempotent call over all hosts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LedgerKey {
    /// Name of the plain service.
    pub service: String,
    /// The caller's `Idempotency-Key`.
    pub key: String,
    /// Hash of method, path and body; a repeat must match it.
    pub fingerprint: u64,
}

/// What is known of a request's prompt before it is read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PromptShape {
    /// Parts in order: hash and tokens. Requests with the same first parts share work.
    pub parts: Vec<(u64, u32)>,
    /// Tokens of the prompt.
    pub input: u32,
    /// Most tokens of the answer.
    pub output: u32,
}

/// Terms of the route that a request took.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTerms {
    /// Lower ranks are served first and shed last.
    pub rank: u8,
    /// Most upstreams that the request may be sent to.
    pub attempts: u32,
    /// Time within which an answer is wanted.
    pub objective: Duration,
    /// It is answered by a stream of events.
    pub streaming: bool,
    /// Its stream may go on at another engine after its last event.
    pub resumable: bool,
    /// Requests that share parts of their prompts should meet at one engine.
    pub sticky: bool,
    /// Its prompt.
    pub prompt: PromptShape,
}

/// A request as it arrives.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Number given by the front.
    pub ticket: RequestTicket,
    /// What it is for.
    pub target: RequestTarget,
    /// Whether it may be repeated.
    pub repeat: RequestRepeat,
    /// Time left until it must be answered or refused; `None` takes the class's deadline.
    pub deadline: Option<Duration>,
    /// Hash that tells callers apart.
    pub caller: u64,
    /// Terms of its route, if it was passed through by one.
    pub terms: Option<RouteTerms>,
}

/// What is known about the effect of a refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalOutcome {
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
    /// An earlier call with its key is running.
    InProgress,
    /// An earlier call with its key ran, and its answer was too long to keep.
    Ran,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The deadline came before an answer.
    DeadlinePassed,
    /// No replica can be ready before the deadline.
    TooLate,
    /// The queue is full of requests at least as important.
    QueueFull,
    /// The caller has as many requests waiting here as one caller may.
    CallerLimit,
    /// No engine has room within the replica caps.
    NoCapacity,
    /// The upstream failed.
    UpstreamFailed,
    /// The ledger could not be reached in time.
    LedgerAway,
    /// The key was used for another request.
    KeyReused,
    /// An earlier call with the key has not ended, or its end is not known.
    EarlierCall,
    /// The item was removed from the inventory.
    Removed,
    /// The host ends before it could be served.
    HostEnds,
}

/// A refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerRefusal {
    /// What is known about its effect.
    pub outcome: RefusalOutcome,
    /// Why.
    pub reason: RefusalReason,
    /// When to come back.
    pub retry_after: Duration,
}

/// An answer kept whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: String,
    /// Other headers that are passed on.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub headers: Vec<(String, Bytes)>,
    /// Body.
    pub body: Bytes,
}
