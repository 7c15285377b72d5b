//! Carrying out calls over HTTP.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::timeout;
use bytes::Bytes;
use bytes::BytesMut;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use hyper::http::response;
use log::debug;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::event::UpstreamLoad;
use wagtailledge_decisions::request::RecordedAnswer;

use crate::call::AnswerHead;
use crate::call::CallEvent;
use crate::call::UpstreamCall;
use crate::call::UpstreamCaller;
use crate::dialect::HeadVerdict;
use crate::dialect::UpstreamDialect;
use crate::dialect::keep_time;
use crate::dialect::strip_hop_headers;
use crate::events::EventSplitter;
use crate::pool::ConnectionPool;
use crate::pool::ExchangeFault;
use crate::pool::OpenAnswer;

/// Bytes at the end of a stream that are looked at to tell whether it is whole.
const TAIL_BYTES: usize = 64;

/// Calls upstreams over HTTP/1.1.
#[derive(Debug, Clone)]
pub struct HttpUpstreams {
    pool: ConnectionPool,
    dialect: Rc<dyn UpstreamDialect>,
}

/// Awaited for each event of an exchange; false ends the exchange.
type EventSink<'a> = &'a mut dyn FnMut(CallEvent) -> LocalBoxFuture<'static, bool>;

impl HttpUpstreams {
    /// Calls upstreams that speak `dialect` over connections of `pool`.
    pub fn new(pool: ConnectionPool, dialect: Rc<dyn UpstreamDialect>) -> Self {
        Self { pool, dialect }
    }

    async fn exchange(&self, call: UpstreamCall, on_event: EventSink<'_>) -> AttemptOutcome {
        let request = match self.dialect.request(&call) {
            Ok(request) => request,
            Err(error) => {
                debug!("request {} cannot be written: {error}", call.request_id);
                return AttemptOutcome::NotRun { misplaced: false };
            }
        };
        let sent = timeout(call.pause, self.pool.send(call.address, request, call.reuse)).await;
        let mut answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(ExchangeFault::NotSent(problem))) => {
                debug!("request {} to {}: {problem}", call.request_id, call.upstream);
                return AttemptOutcome::Unreached;
            }
            Ok(Err(ExchangeFault::Lost(problem))) => {
                debug!("request {} to {}: {problem}", call.request_id, call.upstream);
                return AttemptOutcome::Broken;
            }
            Err(_elapsed) => return AttemptOutcome::Broken,
        };
        let reading = self.dialect.read_head(&call, &answer.head);
        if let Some(load) = reading.load {
            on_event(CallEvent::Load(load)).await;
        }
        match reading.verdict {
            HeadVerdict::Answer => {}
            HeadVerdict::Refused => return AttemptOutcome::NotRun { misplaced: false },
            HeadVerdict::Misplaced => return AttemptOutcome::NotRun { misplaced: true },
            HeadVerdict::Stranger => return AttemptOutcome::Broken,
        }
        let keep = keep_time(&answer.head);
        strip_hop_headers(&mut answer.head.headers);
        if is_streamed(&call, &answer) {
            self.pass_on(answer, &call, keep, on_event).await
        } else {
            collect(answer, &call, keep).await
        }
    }

    /// Passes an answer on part by part.
    async fn pass_on(
        &self,
        mut answer: OpenAnswer,
        call: &UpstreamCall,
        keep: Option<Duration>,
        on_event: EventSink<'_>,
    ) -> AttemptOutcome {
        let status = answer.head.status.as_u16();
        let started = AnswerHead { status, headers: std::mem::take(&mut answer.head.headers) };
        if !on_event(CallEvent::Started(started)).await {
            return AttemptOutcome::Broken;
        }
        let mut splitter = call.whole_events.then(EventSplitter::default);
        let mut tail = BytesMut::new();
        loop {
            let part = match timeout(call.pause, answer.body.frame()).await {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(part) => part,
                    Err(_trailers) => continue,
                },
                Ok(None) => break,
                Ok(Some(Err(error))) => {
                    debug!("stream of {} from {}: {error}", call.request_id, call.upstream);
                    return AttemptOutcome::Broken;
                }
                Err(_elapsed) => return AttemptOutcome::Broken,
            };
            keep_tail(&mut tail, &part);
            let (part, last) = match &mut splitter {
                Some(splitter) => (splitter.push(&part), splitter.last()),
                None => (part, None),
            };
            if !part.is_empty() && !on_event(CallEvent::Part(part, last)).await {
                return AttemptOutcome::Broken;
            }
        }
        if !self.dialect.is_whole(&tail) {
            return AttemptOutcome::Broken;
        }
        if let Some(mut splitter) = splitter {
            let (rest, last) = (splitter.rest(), splitter.last());
            if !rest.is_empty() && !on_event(CallEvent::Part(rest, last)).await {
                return AttemptOutcome::Broken;
            }
        }
        answer.connection.keep(keep);
        AttemptOutcome::Streamed
    }
}

/// Whether an answer is passed on while it comes: event streams, and what is too long to keep.
fn is_streamed(call: &UpstreamCall, answer: &OpenAnswer) -> bool {
    let head = &answer.head;
    if !head.status.is_success() {
        return false;
    }
    let content_type = head.headers.get(CONTENT_TYPE);
    let events =
        content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
    let length = answer.body.size_hint().exact();
    events || length.is_none_or(|length| length > call.max_answer as u64)
}

/// Collects a whole answer; anything short of it counts as broken.
async fn collect(
    mut answer: OpenAnswer,
    call: &UpstreamCall,
    keep: Option<Duration>,
) -> AttemptOutcome {
    let mut body = BytesMut::new();
    loop {
        match timeout(call.pause, answer.body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(part) = frame.into_data() {
                    if body.len() + part.len() > call.max_answer {
                        return AttemptOutcome::Broken;
                    }
                    body.extend_from_slice(&part);
                }
            }
            Ok(None) => break,
            Ok(Some(Err(error))) => {
                debug!("answer to {} from {}: {error}", call.request_id, call.upstream);
                return AttemptOutcome::Broken;
            }
            Err(_elapsed) => return AttemptOutcome::Broken,
        }
    }
    answer.connection.keep(keep);
    AttemptOutcome::Answered(recorded(&answer.head, body.freeze()))
}

fn recorded(head: &response::Parts, body: Bytes) -> RecordedAnswer {
    let content_type = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let others =
        head.headers.iter().filter(|(name, _)| *name != CONTENT_TYPE && *name != CONTENT_LENGTH);
    RecordedAnswer {
        status: head.status.as_u16(),
        content_type: content_type.unwrap_or_default().to_owned(),
        headers: others
            .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
            .collect(),
        body,
    }
}

/// Keeps the last bytes of a stream, enough to recognise its end.
fn keep_tail(tail: &mut BytesMut, part: &[u8]) {
    tail.extend_from_slice(&part[part.len().saturating_sub(TAIL_BYTES)..]);
    let excess = tail.len().saturating_sub(TAIL_BYTES);
    let _ = tail.split_to(excess);
}

impl UpstreamCaller for HttpUpstreams {
    fn call<'a>(
        &'a self,
        call: UpstreamCall,
        on_event: &'a mut dyn FnMut(CallEvent) -> LocalBoxFuture<'static, bool>,
    ) -> LocalBoxFuture<'a, AttemptOutcome> {
        self.exchange(call, on_event).boxed_local()
    }

    fn load(&self, address: SocketAddr) -> LocalBoxFuture<'static, Option<UpstreamLoad>> {
        self.dialect.load(self.pool.clone(), address)
    }

    fn sweep(&self) {
        self.pool.sweep();
    }
}
