//! Calls to upstreams: one request and its answer.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use hyper::HeaderMap;
use hyper::Method;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::event::UpstreamLoad;
use wagtailledge_decisions::event::UpstreamReach;
use wagtailledge_decisions::event::UpstreamStatement;

use crate::framing::BodyEnd;

/// Request to an upstream, and how to send it.
#[derive(Debug, Clone)]
pub struct UpstreamCall {
    /// IP address and port of the upstream.
    pub address: SocketAddr,
    /// Name of the upstream, as in the inventory or its registration.
    pub upstream: String,
    /// HTTP method of the caller's request.
    pub method: Method,
    /// Path and query of the request.
    pub path: String,
    /// Forwarded headers of the caller.
    pub headers: HeaderMap,
    /// Complete body of the request.
    pub body: Bytes,
    /// Request id, echoed by the upstream.
    pub request_id: String,
    /// Unique name of the asset; empty for plain services.
    pub asset: String,
    /// Rank of the request, for engines that honour priorities.
    pub rank: u8,
    /// Name of the caller's account; `None` if it has none.
    pub account: Option<String>,
    /// Time left until the request's deadline.
    pub remaining: Duration,
    /// Id of the last event that the caller received; a resumed stream continues after it.
    pub resume_after: Option<u64>,
    /// Whether the request may be sent again after it may have run.
    pub repeatable: bool,
    /// Whether an answer without a content type is an event stream.
    pub expects_events: bool,
    /// Whether a stream is forwarded in complete events only.
    pub complete_events_only: bool,
    /// Only connections that have been idle for less than this time are reused.
    pub reuse_within: Duration,
    /// Maximum wait for the head of the answer, and then for each part of its body.
    pub max_wait: Duration,
    /// Maximum size of a buffered answer, in bytes. Longer successful answers are streamed.
    pub max_buffered_bytes: usize,
}

/// Head of an answer that is streamed.
#[derive(Debug, Clone)]
pub struct AnswerHead {
    /// HTTP status of the answer.
    pub status: u16,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
}

/// Event during an exchange.
#[derive(Debug)]
pub enum CallEvent {
    /// The head of the answer arrived: its HTTP status, and what it says about the upstream.
    Statement(u16, UpstreamStatement),
    /// A streamed answer begins.
    Started(AnswerHead),
    /// Part of a streamed answer, and the id of the last complete event so far, if known.
    Part(Bytes, Option<u64>),
    /// The body was read to its end, or reading stopped.
    Ended(BodyEnd),
}

/// Sends calls to upstreams and reads their load.
pub trait UpstreamCaller: fmt::Debug {
    /// Sends a call and reads its answer. `on_event` is awaited for each event, which applies
    /// back-pressure; it returns false to end the call. Dropping the future closes the connection.
    fn call<'a>(
        &'a self,
        call: UpstreamCall,
        on_event: &'a mut dyn FnMut(CallEvent) -> LocalBoxFuture<'static, bool>,
    ) -> LocalBoxFuture<'a, AttemptOutcome>;

    /// Requests the upstream's load. `None` if its dialect has no such request or it failed.
    fn load(&self, address: SocketAddr) -> LocalBoxFuture<'static, Option<UpstreamLoad>>;

    /// Checks whether the upstream accepts connections.
    fn check(&self, address: SocketAddr) -> LocalBoxFuture<'static, UpstreamReach>;

    /// Closes idle connections that have expired.
    fn sweep(&self);
}
