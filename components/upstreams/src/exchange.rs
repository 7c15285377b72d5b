//! Calls to upstreams over HTTP/1.1.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::timeout;
use bytes::Bytes;
use bytes::BytesMut;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hyper::body::Body;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use hyper::http::response;
use log::debug;
use log::info;
use log::warn;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::event::UpstreamLoad;
use wagtailledge_decisions::event::UpstreamReach;
use wagtailledge_decisions::event::UpstreamStatement;
use wagtailledge_decisions::request::RecordedAnswer;
use wagtailledge_memory::BudgetShare;
use wagtailledge_memory::MemoryBudget;

use crate::body::BufferedBody;
use crate::body::next_part;
use crate::body::read_body;
use crate::call::AnswerHead;
use crate::call::CallEvent;
use crate::call::UpstreamCall;
use crate::call::UpstreamCaller;
use crate::dialect::HeadVerdict;
use crate::dialect::UpstreamDialect;
use crate::dialect::keep_alive_time;
use crate::dialect::strip_hop_headers;
use crate::events::EventSplitter;
use crate::framing::BodyEnd;
use crate::framing::BodyFraming;
use crate::framing::EndCause;
use crate::framing::contains_answer;
use crate::pool::ConnectionPool;
use crate::pool::ExchangeFault;
use crate::pool::OpenAnswer;

/// Number of bytes at the end of a stream that are checked for the end marker.
const TAIL_BYTES: usize = 64;
/// Longest part that is passed on at once, in bytes; longer ones are divided.
const MAX_PART_BYTES: usize = 16 << 10;
/// Content type of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Sends calls over pooled HTTP/1.1 connections, in the dialect of the upstreams.
#[derive(Debug, Clone)]
pub struct HttpUpstreams {
    pool: ConnectionPool,
    dialect: Rc<dyn UpstreamDialect>,
    /// Memory for the answers of all exchanges.
    budget: Arc<MemoryBudget>,
}

/// Callback awaited for each event of an exchange. The exchange ends if it returns false.
type EventSink<'a> = &'a mut dyn FnMut(CallEvent) -> LocalBoxFuture<'static, bool>;

impl HttpUpstreams {
    /// Creates a caller for upstreams that speak `dialect`, with connections of `pool`. All answers
    /// together may hold the memory of `budget`.
    pub fn new(
        pool: ConnectionPool,
        dialect: Rc<dyn UpstreamDialect>,
        budget: Arc<MemoryBudget>,
    ) -> Self {
        Self { pool, dialect, budget }
    }

    async fn exchange(&self, call: UpstreamCall, on_event: EventSink<'_>) -> AttemptOutcome {
        let request = match self.dialect.request(&call) {
            Ok(request) => request,
            Err(error) => {
                debug!(
                    "request {} for {} cannot be built: {error}",
                    call.request_id, call.upstream
                );
                return AttemptOutcome::NotRun { misplaced: false };
            }
        };
        let sending = self.pool.send(call.address, request, call.reuse_within);
        let sent = tokio::select! {
            sent = timeout(call.max_wait, sending) => sent,
            () = call.stop.requested() => return AttemptOutcome::Broken,
        };
        let mut answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(ExchangeFault::NotSent(problem))) => {
                debug!("request {} not sent to {}: {problem}", call.request_id, call.upstream);
                return AttemptOutcome::Unreached;
            }
            Ok(Err(ExchangeFault::Lost(problem))) => {
                debug!(
                    "no answer to request {} from {}: {problem}",
                    call.request_id, call.upstream
                );
                return AttemptOutcome::Broken;
            }
            Err(_elapsed) => return AttemptOutcome::Broken,
        };
        let check = self.dialect.read_head(&call, &answer.head);
        let status = answer.head.status.as_u16();
        let is_foreign = check.verdict == HeadVerdict::Foreign
            || (!check.names_request && answer.connection.is_reused());
        let statement = if is_foreign { UpstreamStatement::default() } else { check.statement };
        on_event(CallEvent::Statement(status, statement)).await;
        if is_foreign {
            info!(
                "{} answered request {} with the answer of another request, status {status}",
                call.upstream, call.request_id
            );
            self.pool.use_once(call.address);
            return AttemptOutcome::Broken;
        }
        match check.verdict {
            HeadVerdict::Answer => {}
            HeadVerdict::Refused => return AttemptOutcome::NotRun { misplaced: false },
            HeadVerdict::Misplaced => return AttemptOutcome::NotRun { misplaced: true },
            HeadVerdict::Foreign => return AttemptOutcome::Broken,
        }
        let framing = BodyFraming::of(&answer.head);
        // A connection is kept only if the next answer on it can be told from a late one.
        let keep_alive =
            if check.names_request { keep_alive_time(&answer.head) } else { Some(Duration::ZERO) };
        strip_hop_headers(&mut answer.head.headers);
        let mut share = self.budget.share();
        let buffered = if is_streamed(&call, &answer, framing) {
            Ok(BufferedBody::default())
        } else {
            read_body(&mut answer, &call, &mut share).await
        };
        let (end, outcome) = match buffered {
            Ok(body) if framing == BodyFraming::UntilClose && contains_answer(&body.bytes) => {
                (BodyEnd::of_buffered(framing, EndCause::Failed), AttemptOutcome::Broken)
            }
            Ok(body) if body.is_whole && self.has_crashed(&call, framing).await => {
                (BodyEnd::of_buffered(framing, EndCause::Failed), AttemptOutcome::Broken)
            }
            Ok(body) if body.is_whole => {
                answer.connection.release(keep_alive);
                let recorded = recorded_answer(&answer.head, share.attach(body.bytes.freeze()));
                (
                    BodyEnd::of_buffered(framing, EndCause::Regular),
                    AttemptOutcome::Answered(recorded),
                )
            }
            Ok(body) if answer.head.status.is_success() => {
                let read = body.bytes.freeze();
                self.forward(read, share, answer, &call, framing, keep_alive, on_event).await
            }
            Ok(body) => {
                self.warn_exhausted(&call, body.bytes.len());
                (BodyEnd::of_buffered(framing, EndCause::Stopped), AttemptOutcome::Broken)
            }
            Err(cause) => (BodyEnd::of_buffered(framing, cause), AttemptOutcome::Broken),
        };
        on_event(CallEvent::Ended(end)).await;
        outcome
    }

    /// Whether a body that ended with its connection may have been cut by the end of the upstream's process, which
    /// closes it in the same way: nobody listens at its address any more.
    async fn has_crashed(&self, call: &UpstreamCall, framing: BodyFraming) -> bool {
        let has_crashed = framing == BodyFraming::UntilClose
            && self.pool.check(call.address).await == UpstreamReach::Refused;
        if has_crashed {
            let (upstream, id) = (&call.upstream, &call.request_id);
            info!("{upstream} refuses connections: its answer to request {id} may be incomplete");
        }
        has_crashed
    }

    fn warn_exhausted(&self, call: &UpstreamCall, held: usize) {
        warn!(
            "answer to request {} from {} is given up at {held} bytes, {} bytes of answers are held",
            call.request_id,
            call.upstream,
            self.budget.used()
        );
    }

    /// Forwards an answer to `on_event` as its parts arrive, after the bytes `read` of it that were
    /// buffered and have the given share of the budget.
    #[allow(clippy::too_many_arguments, reason = "each is a part of the exchange")]
    async fn forward(
        &self,
        read: Bytes,
        mut share: BudgetShare,
        mut answer: OpenAnswer,
        call: &UpstreamCall,
        framing: BodyFraming,
        keep_alive: Option<Duration>,
        on_event: EventSink<'_>,
    ) -> (BodyEnd, AttemptOutcome) {
        let status = answer.head.status.as_u16();
        let splitter = EventSplitter::new(call.complete_events_only);
        let mut splitter = is_event_stream(call, &answer.head).then_some(splitter);
        let started = AnswerHead { status, headers: std::mem::take(&mut answer.head.headers) };
        if !on_event(CallEvent::Started(started)).await {
            let end = BodyEnd::of_buffered(framing, EndCause::Stopped);
            return (end, AttemptOutcome::Broken);
        }
        let mut tail = BytesMut::new();
        let mut forwarded = false;
        let mut read = Some(read).filter(|read| !read.is_empty());
        let cause = loop {
            let part = match read.take() {
                Some(read) => read,
                None => match next_part(&mut answer, call).await {
                    Ok(Some(part)) => part,
                    Ok(None) => break EndCause::Regular,
                    Err(cause) => break cause,
                },
            };
            update_tail(&mut tail, &part);
            let (part, last_event, has_other_answer) = match &mut splitter {
                Some(splitter) if framing == BodyFraming::UntilClose => {
                    let own = splitter.push_before_answer(part);
                    (own.part, splitter.last_event(), own.has_other_answer)
                }
                Some(splitter) => (splitter.push(part), splitter.last_event(), false),
                None => (part, None, false),
            };
            let continues = call.resume_after.is_none_or(|last| {
                splitter.as_ref().is_some_and(|splitter| splitter.continues_after(last))
            });
            if !continues {
                break EndCause::Failed;
            }
            forwarded |= !part.is_empty();
            let held = part.len() + splitter.as_ref().map_or(0, EventSplitter::held_bytes);
            if !share.resize(held) {
                self.warn_exhausted(call, held);
                break EndCause::Stopped;
            }
            if !forward_part(part, last_event, on_event).await {
                break EndCause::Stopped;
            }
            if has_other_answer {
                break EndCause::Failed;
            }
        };
        let has_crashed = cause == EndCause::Regular && self.has_crashed(call, framing).await;
        let cause = if has_crashed { EndCause::Failed } else { cause };
        let open_bytes = splitter.as_ref().map_or(0, EventSplitter::open_bytes);
        let end = BodyEnd { framing, cause, open_bytes };
        // Only the framing tells whether other bodies are complete.
        let events_complete = splitter.as_ref().is_none_or(|splitter| {
            ends_complete(splitter, framing) && self.dialect.is_complete(&tail)
        });
        if cause != EndCause::Regular || !events_complete {
            let is_continuable = splitter.is_some_and(|splitter| splitter.is_continuable());
            if forwarded && !is_continuable {
                return (end, AttemptOutcome::Truncated);
            }
            return (end, AttemptOutcome::Broken);
        }
        answer.connection.release(keep_alive);
        (end, AttemptOutcome::Streamed)
    }
}

/// Forwards the bytes of a part, divided if it is long; false if the exchange must end. The pieces of a
/// long part are copies, as a piece would keep the memory of the whole.
async fn forward_part(part: Bytes, last_event: Option<u64>, on_event: EventSink<'_>) -> bool {
    if part.len() <= MAX_PART_BYTES {
        return part.is_empty() || on_event(CallEvent::Part(part, last_event)).await;
    }
    let mut pieces = part.chunks(MAX_PART_BYTES).peekable();
    while let Some(piece) = pieces.next() {
        let last_event = last_event.filter(|_| pieces.peek().is_none());
        if !on_event(CallEvent::Part(Bytes::copy_from_slice(piece), last_event)).await {
            return false;
        }
    }
    true
}

/// Whether a stream whose body has ended was not truncated, as far as its events show. The end of
/// the connection alone proves nothing, because a crashed upstream closes it as well.
fn ends_complete(splitter: &EventSplitter, framing: BodyFraming) -> bool {
    let has_end = framing != BodyFraming::UntilClose || splitter.has_event();
    splitter.open_bytes() == 0 && has_end
}

/// Whether an answer is forwarded as it arrives: only a successful one that is an event stream, is
/// longer than `max_buffered_bytes` or comes in chunks. A body that lasts until its connection is
/// closed is buffered first, as the connection may still be reset.
fn is_streamed(call: &UpstreamCall, answer: &OpenAnswer, framing: BodyFraming) -> bool {
    let head = &answer.head;
    if !head.status.is_success() {
        return false;
    }
    let is_long = match answer.body.size_hint().exact() {
        Some(length) => length > call.max_buffered_bytes as u64,
        None => framing == BodyFraming::Chunked,
    };
    is_event_stream(call, head) || is_long
}

/// Whether the body consists of server-sent events; without a content type, the call decides.
fn is_event_stream(call: &UpstreamCall, head: &response::Parts) -> bool {
    let Some(content_type) = head.headers.get(CONTENT_TYPE) else {
        return call.expects_events;
    };
    let prefix = content_type.as_bytes().get(..EVENT_STREAM.len());
    prefix.is_some_and(|prefix| prefix.eq_ignore_ascii_case(EVENT_STREAM))
}

fn recorded_answer(head: &response::Parts, body: Bytes) -> RecordedAnswer {
    let content_type = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let other_headers =
        head.headers.iter().filter(|(name, _)| *name != CONTENT_TYPE && *name != CONTENT_LENGTH);
    RecordedAnswer {
        status: head.status.as_u16(),
        content_type: content_type.unwrap_or_default().to_owned(),
        headers: other_headers
            .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
            .collect(),
        body,
    }
}

/// Appends `part` to `tail` and keeps the last [`TAIL_BYTES`] bytes.
fn update_tail(tail: &mut BytesMut, part: &[u8]) {
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

    fn check(&self, address: SocketAddr) -> LocalBoxFuture<'static, UpstreamReach> {
        let pool = self.pool.clone();
        async move { pool.check(address).await }.boxed_local()
    }

    fn sweep(&self) {
        self.pool.sweep();
    }
}
