//! The border between the callers' HTTP and the decisions.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use hyper::HeaderMap;
use hyper::Method;
use tokio::sync::mpsc;
use wagtailledge_decisions::request::CallerRefusal;
use wagtailledge_decisions::request::PromptShape;
use wagtailledge_decisions::request::RecordedAnswer;

/// What a call is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallTarget {
    /// A model or adapter, by the name callers use.
    Model {
        /// The name.
        name: String,
        /// The answer is to be streamed.
        stream: bool,
    },
    /// A plain service.
    Service {
        /// The name.
        name: String,
    },
    /// Whatever the routes of the configuration say.
    Route {
        /// Host name that the caller asked for.
        host: String,
        /// Model, or model and adapter with a slash between, if the caller names one.
        asset: Option<String>,
    },
}

/// A call that was read and checked.
#[derive(Debug, Clone)]
pub struct CallerCall {
    /// The caller's request id, or one made here.
    pub request_id: String,
    /// What it is for.
    pub target: CallTarget,
    /// HTTP method.
    pub method: Method,
    /// Path and query at the upstream.
    pub path: String,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When its head had been read.
    pub arrived: Instant,
    /// Time left at its arrival, if the caller says.
    pub deadline: Option<Duration>,
    /// What it says of its prompt.
    pub prompt: PromptShape,
    /// Value of `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// Hash that tells callers apart: of their `Authorization`, else of their address.
    pub caller: u64,
}

/// A stream ended before it was whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamCut;

impl fmt::Display for StreamCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the upstream's answer was cut off")
    }
}

impl std::error::Error for StreamCut {}

/// What a caller gets.
#[derive(Debug)]
pub enum CallerReply {
    /// A whole answer.
    Answer(RecordedAnswer),
    /// An answer that is passed on while it comes.
    Stream {
        /// HTTP status.
        status: u16,
        /// Headers that are passed on.
        headers: HeaderMap,
        /// The parts.
        parts: PartStream,
    },
    /// A refusal.
    Refusal(CallerRefusal),
    /// No model, adapter, service or route has this name.
    UnknownName,
    /// No configuration is in force here yet.
    Unconfigured,
}

/// Makes the two ends of an answer that is passed on while it comes; up to `parts` of it are held
/// for a slow caller. `guard` is told when the caller leaves before the end.
pub fn part_channel(parts: usize, guard: DepartureGuard) -> (PartSender, PartStream) {
    let (sender, receiver) = mpsc::channel(parts);
    let whole = Rc::new(Cell::new(false));
    let stream = PartStream { receiver, whole: Rc::clone(&whole), guard: Some(guard) };
    (PartSender { sender, whole }, stream)
}

/// Sending end. The answer counts as cut off unless it is finished before all clones are dropped.
#[derive(Debug, Clone)]
pub struct PartSender {
    sender: mpsc::Sender<Bytes>,
    whole: Rc<Cell<bool>>,
}

impl PartSender {
    /// Passes a part on; waits while the caller is slow. False when the caller is gone.
    pub async fn send(&self, part: Bytes) -> bool {
        self.sender.send(part).await.is_ok()
    }

    /// The answer is whole.
    pub fn finish(self) {
        self.whole.set(true);
    }
}

/// Receiving end. Dropping it before the end means that the caller went away.
#[derive(Debug)]
pub struct PartStream {
    receiver: mpsc::Receiver<Bytes>,
    whole: Rc<Cell<bool>>,
    guard: Option<DepartureGuard>,
}

impl PartStream {
    /// The next part; `None` after the last one of a whole answer.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamCut>>> {
        match self.receiver.poll_recv(cx) {
            Poll::Ready(None) => {
                if let Some(mut guard) = self.guard.take() {
                    guard.disarm();
                }
                Poll::Ready((!self.whole.get()).then_some(Err(StreamCut)))
            }
            next => next.map(|part| part.map(Ok)),
        }
    }
}

/// Tells when a caller leaves before it has its whole answer.
pub struct DepartureGuard {
    notify: Option<Box<dyn FnOnce()>>,
}

impl fmt::Debug for DepartureGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DepartureGuard")
    }
}

impl DepartureGuard {
    /// Calls `notify` when it is dropped, unless it was disarmed.
    pub fn new(notify: impl FnOnce() + 'static) -> Self {
        Self { notify: Some(Box::new(notify)) }
    }

    /// The caller has its whole answer.
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

/// What callers may send, as the configuration says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest body, in bytes.
    pub body: usize,
    /// Longest wait for a body.
    pub body_timeout: Duration,
    /// Time an unused connection stays open.
    pub idle_timeout: Duration,
}

/// Takes calls in.
pub trait CallerGate: fmt::Debug {
    /// Serves or refuses a call. Dropping the future means that the caller went away.
    fn serve(&self, call: CallerCall) -> LocalBoxFuture<'static, CallerReply>;

    /// Names of models and adapters that callers may use.
    fn model_names(&self) -> Vec<String>;

    /// Whether new calls should come here.
    fn is_ready(&self) -> bool;

    /// Whether this process is on its way out.
    fn is_draining(&self) -> bool;

    /// What callers may send.
    fn limits(&self) -> CallerLimits;
}
