//! Requests of callers, their answers and their refusals.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use slotmap::new_key_type;
use wagtailledge_inventory::AccountKey;
use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::InventoryCatalog;
use wagtailledge_inventory::ServiceKey;

new_key_type! {
    /// Key of a request between its arrival and its end.
    pub struct RequestKey;
}

/// Number that the frontend gives each request, unique within a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestTicket(pub u64);

/// Asset or service that a request is sent to.
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
    /// Idempotent, so it may be retried.
    Idempotent,
    /// Not idempotent, with a key from the caller: recorded in the ledger and run at most once.
    Keyed(LedgerKey),
    /// Not idempotent, without a key: dispatched at most once by the host that received it.
    Unkeyed,
}

/// Identifies a non-idempotent call across all hosts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LedgerKey {
    /// Name of the plain service.
    pub service: String,
    /// The caller's `Idempotency-Key`.
    pub key: String,
    /// Hash of method, path and body; a later call with the same key must have the same hash.
    pub fingerprint: u64,
}

/// Size and parts of a prompt, as the caller declares them; empty if it declares none.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PromptShape {
    /// Hash and number of tokens of each part, in order. Requests with the same leading parts can
    /// share computed work.
    pub parts: Vec<(u64, u32)>,
    /// Number of tokens of the prompt.
    pub input: u32,
    /// Maximum number of tokens of the answer.
    pub output: u32,
}

impl PromptShape {
    /// Hashes of the parts that other requests may have too: all but the last.
    pub fn shared_parts(&self) -> impl Iterator<Item = u64> + '_ {
        let shared = self.parts.len().saturating_sub(1);
        self.parts.iter().take(shared).map(|(part, _)| *part)
    }
}

/// Stream of another request that a request takes up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResumedStream {
    /// Hash of the id of the request that brought its first event; `None` if the caller does not name
    /// one.
    pub first: Option<u64>,
    /// Number of the last event that the caller received; `None` if that is no number.
    pub after: Option<u64>,
}

/// Settings of the route that a request matched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTerms {
    /// Priority of the request; lower ranks are served first and shed last.
    pub rank: u8,
    /// Maximum number of upstreams that may run the request.
    pub attempts: u32,
    /// Target for the time to answer.
    pub objective: Duration,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Whether another engine may continue a broken stream after its last event.
    pub resumable: bool,
    /// Whether requests that share prompt parts should go to the same engine.
    pub sticky: bool,
    /// Size and parts of the prompt.
    pub prompt: PromptShape,
    /// Hash of the request's id, by which a later request may take its stream up; `None` if it has no
    /// id.
    pub stream_id: Option<u64>,
    /// Stream that the request takes up; `None` if it begins one.
    pub resumes: Option<ResumedStream>,
}

impl RouteTerms {
    /// Id under which the stream of the request is known: that of the request that began it.
    pub fn origin_id(&self) -> Option<u64> {
        self.resumes.map_or(self.stream_id, |resumed| resumed.first)
    }
}

/// Request as received from the frontend.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Number that the frontend gave the request.
    pub ticket: RequestTicket,
    /// Asset or service that it is sent to.
    pub target: RequestTarget,
    /// Whether it may be sent more than once.
    pub repeat: RequestRepeat,
    /// Time left until it must be answered or refused; `None` means the deadline of its class.
    pub deadline: Option<Duration>,
    /// Hash that identifies the caller.
    pub caller: u64,
    /// Account of the caller; `None` if it has none.
    pub account: Option<AccountKey>,
    /// Settings of its route; `None` if it matched none.
    pub terms: Option<RouteTerms>,
}

impl CallerRequest {
    /// Rank of the request: that of its account if it has one, else that of its route, else that of
    /// its class.
    pub fn rank(&self, catalog: &InventoryCatalog, class_rank: u8) -> u8 {
        let account = self.account.and_then(|account| catalog.accounts.get(account));
        let route_rank = self.terms.as_ref().map(|terms| terms.rank);
        account.and_then(|account| account.rank).or(route_rank).unwrap_or(class_rank)
    }
}

/// Whether a refused request ran, as far as known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalOutcome {
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
    /// An earlier call with the same key is running.
    InProgress,
    /// An earlier call with the same key ran, and its answer was too long to keep.
    Ran,
}

/// Reason for which a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The deadline passed before the request was answered.
    DeadlinePassed,
    /// No replica can be ready before the deadline.
    TooLate,
    /// The queue is full of requests of the same or a higher priority.
    QueueFull,
    /// The caller has reached its limit of waiting requests on this host.
    CallerLimit,
    /// The quota of the caller's account is used up.
    AccountQuota,
    /// The upstreams that could serve the request have limits that are used up until the deadline.
    UpstreamLimit,
    /// Its prompt has a part that crashes upstreams.
    Quarantined,
    /// It takes up a stream, and it is not known which software version began that.
    UnknownOrigin,
    /// It belongs to a stream that no upstream with its software version can continue.
    NoSuchSoftware,
    /// The upstreams that could serve the request asked for pauses beyond the deadline.
    UpstreamsPaused,
    /// None of the engines with its replicas can begin it before the deadline.
    EnginesBusy,
    /// No engine has capacity for a replica within the caps on replicas.
    NoCapacity,
    /// An upstream failed, and no further attempt is made.
    UpstreamFailed,
    /// The ledger could not be reached in time.
    LedgerAway,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// An earlier call with the same key has not ended, or its outcome is unknown.
    EarlierCall,
    /// The requested asset or service was removed from the inventory.
    Removed,
    /// The bodies of other requests use up the host's memory for them.
    HostMemory,
    /// The host shuts down before the request could be served.
    HostEnds,
}

/// Refusal that a caller receives instead of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerRefusal {
    /// Whether the request ran, as far as known.
    pub outcome: RefusalOutcome,
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// Complete answer of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Other headers that are passed on to the caller.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub headers: Vec<(String, Bytes)>,
    /// Complete body.
    pub body: Bytes,
}
