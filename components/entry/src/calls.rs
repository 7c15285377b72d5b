//! Callers' calls while they are open.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use futures::future::AbortHandle;
use hyper::HeaderMap;
use tokio::sync::oneshot;
use wagtailledge_decisions::request::RequestTicket;
use wagtailledge_frontend::CallerCall;
use wagtailledge_frontend::CallerReply;
use wagtailledge_frontend::PartSender;
use wagtailledge_frontend::PartStream;

/// An answer that an upstream began and that has not been passed on yet.
#[derive(Debug)]
pub struct PendingStream {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Its parts.
    pub parts: PartStream,
}

/// The exchange with an upstream that is under way.
#[derive(Debug)]
pub struct LiveAttempt {
    /// Number within the request.
    pub number: u32,
    /// Ends the exchange and closes its connection.
    pub abort: AbortHandle,
}

/// How the answer to a call is to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AnswerTerms {
    /// The call may be sent again although it may have run.
    pub repeatable: bool,
    /// A stream may go on at another upstream, so only whole events are passed on.
    pub resumable: bool,
}

/// One open call.
#[derive(Debug)]
pub struct LiveCall {
    /// What the caller sent.
    pub call: CallerCall,
    /// When it must have been answered.
    pub deadline: Option<Instant>,
    /// How its answer is to be read.
    pub terms: AnswerTerms,
    /// Where its reply goes; taken by the reply.
    responder: Option<oneshot::Sender<CallerReply>>,
    /// The exchange under way.
    pub attempt: Option<LiveAttempt>,
    /// Present between the beginning of a stream and the decision to pass it on.
    pub pending: Option<PendingStream>,
    /// Where the parts of a stream go. Dropping it cuts the answer off.
    pub sender: Option<PartSender>,
    /// Number of the last event passed on.
    pub last_event: Option<u64>,
}

/// All open calls.
#[derive(Debug, Default)]
pub struct CallTable {
    last: u64,
    live: HashMap<RequestTicket, LiveCall>,
}

impl CallTable {
    /// Adds a call; its reply will come from the receiver.
    pub fn open(
        &mut self,
        call: CallerCall,
        deadline: Option<Instant>,
        terms: AnswerTerms,
    ) -> (RequestTicket, oneshot::Receiver<CallerReply>) {
        self.last += 1;
        let ticket = RequestTicket(self.last);
        let (responder, reply) = oneshot::channel();
        let live = LiveCall {
            call,
            deadline,
            terms,
            responder: Some(responder),
            attempt: None,
            pending: None,
            sender: None,
            last_event: None,
        };
        self.live.insert(ticket, live);
        (ticket, reply)
    }

    /// The call with this number.
    pub fn get_mut(&mut self, ticket: RequestTicket) -> Option<&mut LiveCall> {
        self.live.get_mut(&ticket)
    }

    /// Request id of the call with this number.
    pub fn request_id(&self, ticket: RequestTicket) -> &str {
        self.live.get(&ticket).map_or("", |live| &live.call.request_id)
    }

    /// Gives the caller its reply, once; cuts the answer off if it has begun. Returns how long the
    /// caller waited for its reply.
    pub fn reply(&mut self, ticket: RequestTicket, reply: CallerReply) -> Option<Duration> {
        let live = self.live.get_mut(&ticket)?;
        let Some(responder) = live.responder.take() else {
            live.sender = None;
            return None;
        };
        // It fails only when the caller is gone.
        let _ = responder.send(reply);
        Some(live.call.arrived.elapsed())
    }

    /// Takes out the calls that the reducer is done with.
    pub fn take_ended(&mut self, held: impl Fn(RequestTicket) -> bool) -> Vec<LiveCall> {
        let ended: Vec<RequestTicket> =
            self.live.keys().copied().filter(|ticket| !held(*ticket)).collect();
        ended.iter().filter_map(|ticket| self.live.remove(ticket)).collect()
    }
}
