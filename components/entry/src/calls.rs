//! Open calls of callers.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::future::AbortHandle;
use hyper::HeaderMap;
use tokio::sync::oneshot;
use wagtailledge_decisions::request::RequestKey;
use wagtailledge_decisions::request::RequestTicket;
use wagtailledge_frontend::CallerCall;
use wagtailledge_frontend::CallerReply;
use wagtailledge_frontend::PartSender;
use wagtailledge_frontend::PartStream;
use wagtailledge_inventory::UpstreamKey;
use wagtailledge_upstreams::ExchangeStop;

use crate::streams::StreamProgress;

/// A stream that an upstream has started and the reducer has not yet allowed to be forwarded.
#[derive(Debug)]
pub struct PendingStream {
    /// HTTP status of the upstream's answer.
    pub status: u16,
    /// Headers to forward to the caller.
    pub headers: HeaderMap,
    /// Body, received part by part.
    pub parts: PartStream,
}

/// The attempt of a call whose exchange with an upstream is in progress.
#[derive(Debug)]
pub struct LiveAttempt {
    /// Number of the attempt within its request.
    pub number: u32,
    /// Key of the request in the reducer.
    pub request: RequestKey,
    /// Upstream that the request was sent to.
    pub upstream: UpstreamKey,
    /// Aborts the exchange, which closes its connection.
    pub abort: AbortHandle,
    /// Ends the exchange as if its upstream had failed.
    pub stop: ExchangeStop,
    /// What was seen of the answer.
    pub progress: Rc<StreamProgress>,
}

/// Which retries the call allows, and what kind of answer it expects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RetryTerms {
    /// The call is idempotent: it may be sent again even if an earlier attempt may have run.
    pub repeatable: bool,
    /// The route is for event streams.
    pub streaming: bool,
    /// Another upstream may continue the stream, so only complete events are forwarded.
    pub resumable: bool,
}

/// A call from its arrival until the reducer has finished it.
#[derive(Debug)]
pub struct LiveCall {
    /// The parsed request of the caller.
    pub call: CallerCall,
    /// Latest time for an answer or a refusal; `None` without a deadline.
    pub deadline: Option<Instant>,
    /// Which retries the call allows.
    pub terms: RetryTerms,
    /// Name of the caller's account; `None` if it has none.
    pub account: Option<String>,
    /// Passes the reply to the frontend; `None` once it was sent.
    responder: Option<oneshot::Sender<CallerReply>>,
    /// Latest attempt; `None` before the first dispatch.
    pub attempt: Option<LiveAttempt>,
    /// Stream that has started and is not forwarded yet, until the reducer decides on it.
    pub pending: Option<PendingStream>,
    /// Passes the parts of the stream to the frontend. Dropping it truncates the caller's answer.
    pub sender: Option<PartSender>,
    /// Number of the last stream event that the caller has, after which another upstream would resume.
    pub last_event: Option<u64>,
}

/// Open calls by ticket.
#[derive(Debug, Default)]
pub struct CallTable {
    last_ticket: u64,
    calls: HashMap<RequestTicket, LiveCall>,
}

impl CallTable {
    /// Adds a call under a new ticket; the returned receiver yields its reply.
    pub fn open(
        &mut self,
        call: CallerCall,
        account: Option<String>,
        deadline: Option<Instant>,
        terms: RetryTerms,
    ) -> (RequestTicket, oneshot::Receiver<CallerReply>) {
        self.last_ticket += 1;
        let ticket = RequestTicket(self.last_ticket);
        let (responder, reply) = oneshot::channel();
        let last_event = call.resumes.and_then(|resumed| resumed.after);
        let live = LiveCall {
            call,
            deadline,
            terms,
            account,
            responder: Some(responder),
            attempt: None,
            pending: None,
            sender: None,
            last_event,
        };
        self.calls.insert(ticket, live);
        (ticket, reply)
    }

    /// The call with this ticket; `None` once it was removed.
    pub fn get_mut(&mut self, ticket: RequestTicket) -> Option<&mut LiveCall> {
        self.calls.get_mut(&ticket)
    }

    /// Latest attempts of all calls.
    pub fn attempts(&self) -> impl Iterator<Item = &LiveAttempt> {
        self.calls.values().filter_map(|live| live.attempt.as_ref())
    }

    /// Request id of the call with this ticket; empty once it was removed.
    pub fn request_id(&self, ticket: RequestTicket) -> &str {
        self.calls.get(&ticket).map_or("", |live| &live.call.request_id)
    }

    /// Account of the call with this ticket; `None` if it has none or was removed.
    pub fn account(&self, ticket: RequestTicket) -> Option<&str> {
        self.calls.get(&ticket)?.account.as_deref()
    }

    /// Sends the caller its reply and returns the time since the call arrived. If a reply was sent
    /// before, truncates the stream in progress and returns `None`.
    pub fn reply(&mut self, ticket: RequestTicket, reply: CallerReply) -> Option<Duration> {
        let live = self.calls.get_mut(&ticket)?;
        let Some(responder) = live.responder.take() else {
            live.sender = None;
            return None;
        };
        if !matches!(reply, CallerReply::Stream { .. }) {
            live.call.body = Bytes::new();
        }
        // Sending fails only if the caller has disconnected.
        let _ = responder.send(reply);
        Some(live.call.arrived.elapsed())
    }

    /// Drops the body of a call that has ended, before the call itself is removed.
    pub fn drop_body(&mut self, ticket: RequestTicket) {
        if let Some(live) = self.calls.get_mut(&ticket) {
            live.call.body = Bytes::new();
        }
    }

    /// Tickets of the calls whose callers have got no reply.
    pub fn unanswered(&self) -> Vec<RequestTicket> {
        let calls = self.calls.iter().filter(|(_, live)| live.responder.is_some());
        calls.map(|(ticket, _)| *ticket).collect()
    }

    /// Removes and returns the calls for which `is_open` is false.
    pub fn remove_ended(&mut self, is_open: impl Fn(RequestTicket) -> bool) -> Vec<LiveCall> {
        let ended: Vec<RequestTicket> =
            self.calls.keys().copied().filter(|ticket| !is_open(*ticket)).collect();
        ended.iter().filter_map(|ticket| self.calls.remove(ticket)).collect()
    }
}
