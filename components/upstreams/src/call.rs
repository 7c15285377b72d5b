//! One exchange with an upstream.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use hyper::HeaderMap;
use hyper::Method;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::event::UpstreamLoad;

/// What to send.
#[derive(Debug, Clone)]
pub struct UpstreamCall {
    /// IP address and port.
    pub address: SocketAddr,
    /// Name of the upstream.
    pub upstream: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers of the caller that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Request id, echoed by the upstream.
    pub request_id: String,
    /// Unique name of the asset; empty for plain services.
    pub asset: String,
    /// Rank of the request, for engines that honour priorities.
    pub rank: u8,
    /// Time left until the request must be answered.
    pub remaining: Duration,
    /// A stream goes on after its event with this number.
    pub resume_after: Option<u64>,
    /// It may be sent again although it may have run.
    pub repeatable: bool,
    /// Only whole events of a stream are passed on.
    pub whole_events: bool,
    /// Connections that were used within this time may be taken up again.
    pub reuse: Duration,
    /// Longest wait for the answer, or for the next part of a stream.
    pub pause: Duration,
    /// Longest answer that is kept whole, in bytes.
    pub max_answer: usize,
}

/// Head of an answer.
#[derive(Debug, Clone)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: HeaderMap,
}

/// What happens during an exchange.
#[derive(Debug)]
pub enum CallEvent {
    /// The upstream told its load.
    Load(UpstreamLoad),
    /// An answer begins that is passed on while it comes.
    Started(AnswerHead),
    /// A part of it, and the number of the last whole event in it, if there is one.
    Part(Bytes, Option<u64>),
}

/// Sends calls to upstreams.
pub trait UpstreamCaller: fmt::Debug {
    /// Carries out a call. `on_event` is awaited for each event, which gives back-pressure; it
    /// answers false when the rest is of no interest. Dropping the future closes the connection.
    fn call<'a>(
        &'a self,
        call: UpstreamCall,
        on_event: &'a mut dyn FnMut(CallEvent) -> LocalBoxFuture<'static, bool>,
    ) -> LocalBoxFuture<'a, AttemptOutcome>;

    /// Reads the upstream's load; `None` where the upstream is not to be asked or does not say.
    fn load(&self, address: SocketAddr) -> LocalBoxFuture<'static, Option<UpstreamLoad>>;

    /// Closes what has been unused for too long.
    fn sweep(&self);
}
