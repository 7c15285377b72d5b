//! Interface between the callers' HTTP servers and the code that decides on calls.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use hyper::HeaderMap;
use hyper::Method;
use hyper::header::HeaderName;
use tokio::sync::mpsc;
use wagtailledge_decisions::request::CallerRefusal;
use wagtailledge_decisions::request::PromptShape;
use wagtailledge_decisions::request::RecordedAnswer;
use wagtailledge_decisions::request::ResumedStream;
use wagtailledge_inventory::KeyDigest;
use wagtailledge_memory::MemoryBudget;

/// Target of a call, as the caller names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallTarget {
    /// A model or adapter.
    Model {
        /// Public name of the model or adapter.
        name: String,
        /// Whether the caller asks for a streamed answer.
        stream: bool,
    },
    /// A plain service.
    Service {
        /// Name of the service in the inventory.
        name: String,
    },
    /// The target that the routes of the configuration select.
    Route {
        /// Host name in the caller's request.
        host: String,
        /// `model` or `model/adapter`, if the caller names one.
        asset: Option<String>,
    },
}

/// A parsed and validated call.
#[derive(Debug, Clone)]
pub struct CallerCall {
    /// Request id of the caller, or a generated one if it sent none.
    pub request_id: String,
    /// Target that the caller names.
    pub target: CallTarget,
    /// HTTP method at the upstream.
    pub method: Method,
    /// Path and query at the upstream.
    pub path: String,
    /// Headers to send to the upstream.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Time when the relay had read the request's head, or the completion API the whole request.
    pub arrived: Instant,
    /// Time left for the answer at `arrived`; `None` if the caller sets no deadline.
    pub deadline: Option<Duration>,
    /// Prompt parts and token counts that the caller declares; empty if it declares none.
    pub prompt: PromptShape,
    /// Stream that the call takes up; `None` if it begins one.
    pub resumes: Option<ResumedStream>,
    /// Digest of the key by which the caller identifies its account; `None` if it states none.
    pub key: Option<KeyDigest>,
    /// Names of those `headers` that identify the caller. They are not sent to upstreams if the
    /// configuration has accounts.
    pub identity_headers: &'static [HeaderName],
    /// Value of the header `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// Hash that identifies the caller. The completion API hashes the `Authorization` header or,
    /// without one, the IP address. The relay hashes the request id.
    pub caller: u64,
}

impl CallerCall {
    /// Removes the headers that identify the caller, among them its key.
    pub fn remove_identity(&mut self) {
        for name in self.identity_headers {
            self.headers.remove(name);
        }
    }
}

/// Error: a stream ended before it was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamCut;

impl fmt::Display for StreamCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the upstream's answer was cut off")
    }
}

impl std::error::Error for StreamCut {}

/// Reply to a call.
#[derive(Debug)]
pub enum CallerReply {
    /// A complete answer.
    Answer(RecordedAnswer),
    /// An answer that is forwarded while the upstream sends it.
    Stream {
        /// HTTP status of the upstream's answer.
        status: u16,
        /// Headers to send to the caller.
        headers: HeaderMap,
        /// Body, received part by part.
        parts: PartStream,
    },
    /// The call was refused, with what is known about whether it ran.
    Refusal(CallerRefusal),
    /// No model, adapter, service or route has this name.
    UnknownName,
    /// No configuration is in force here yet.
    Unconfigured,
    /// The target needs the key of an account, and the call has none or an unknown one.
    UnknownKey,
}

/// Creates the channel of a streamed answer, which buffers up to `parts` parts for a slow caller.
/// `guard` runs its callback if the caller disconnects before the end.
pub fn part_channel(parts: usize, guard: DepartureGuard) -> (PartSender, PartStream) {
    let (sender, receiver) = mpsc::channel(parts);
    let complete = Rc::new(Cell::new(false));
    let stream = PartStream { receiver, complete: Rc::clone(&complete), guard: Some(guard) };
    (PartSender { sender, complete }, stream)
}

/// Sending end of a streamed answer. The answer counts as truncated if all clones are dropped and
/// [`Self::finish`] was not called.
#[derive(Debug, Clone)]
pub struct PartSender {
    sender: mpsc::Sender<Bytes>,
    complete: Rc<Cell<bool>>,
}

impl PartSender {
    /// Sends a part, waiting while the buffer is full; false if the caller has disconnected.
    pub async fn send(&self, part: Bytes) -> bool {
        self.sender.send(part).await.is_ok()
    }

    /// Marks the answer as complete.
    pub fn finish(self) {
        self.complete.set(true);
    }
}

/// Receiving end of a streamed answer. Dropping it before the end runs the guard's callback.
#[derive(Debug)]
pub struct PartStream {
    receiver: mpsc::Receiver<Bytes>,
    complete: Rc<Cell<bool>>,
    guard: Option<DepartureGuard>,
}

impl PartStream {
    /// Polls for the next part; `None` after the last part of a complete answer.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamCut>>> {
        match self.receiver.poll_recv(cx) {
            Poll::Ready(None) => {
                if let Some(mut guard) = self.guard.take() {
                    guard.disarm();
                }
                Poll::Ready((!self.complete.get()).then_some(Err(StreamCut)))
            }
            next => next.map(|part| part.map(Ok)),
        }
    }
}

/// Runs a callback if the guard is dropped before the caller has its complete answer.
pub struct DepartureGuard {
    notify: Option<Box<dyn FnOnce()>>,
}

impl fmt::Debug for DepartureGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DepartureGuard")
    }
}

impl DepartureGuard {
    /// Creates a guard that calls `notify` on drop unless it was disarmed.
    pub fn new(notify: impl FnOnce() + 'static) -> Self {
        Self { notify: Some(Box::new(notify)) }
    }

    /// Drops the callback, as the caller has its complete answer.
    pub fn disarm(&mut self) {
        self.notify = None;
    }
}

impl Drop for DepartureGuard {
    fn drop(&mut self) {
        if let Some(notify) = self.notify.take() {
            notify();
        }
    }
}

/// Limits for callers, set by the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest request body, in bytes.
    pub body: usize,
    /// Longest wait for the complete body.
    pub body_timeout: Duration,
    /// Time for which an idle connection is kept open.
    pub idle_timeout: Duration,
}

/// Serves the calls that the HTTP servers have parsed.
pub trait CallerGate: fmt::Debug {
    /// Serves or refuses a call. Dropping the future reports that the caller has disconnected.
    fn serve(&self, call: CallerCall) -> LocalBoxFuture<'static, CallerReply>;

    /// Whether a caller with this key may use what is not public.
    fn admits(&self, key: Option<&KeyDigest>) -> bool;

    /// Names of models and adapters that callers may use.
    fn model_names(&self) -> Vec<String>;

    /// Whether this host accepts new calls, as answered to readiness checks.
    fn is_ready(&self) -> bool;

    /// Whether this process drains, so that connections should be closed after the next response.
    fn is_draining(&self) -> bool;

    /// Limits of the configuration in force.
    fn limits(&self) -> CallerLimits;

    /// Memory for the bodies of all requests that this host holds.
    fn body_budget(&self) -> &Arc<MemoryBudget>;

    /// Refusal of a request for whose body that memory does not suffice; it is counted and logged.
    fn refuse_body(&self, request_id: &str) -> CallerRefusal;
}
