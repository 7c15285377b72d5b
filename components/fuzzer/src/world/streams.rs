//! Streamed answers: how upstreams end them, and which events callers got.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::request::PromptShape;
use wagtailledge_decisions::request::RouteTerms;

use super::event_queue::DispatchedCall;
use super::state::FuzzWorld;

/// Number of events in a complete stream.
const STREAM_EVENTS: u64 = 4;
/// Time from the start of a stream to its end, in microseconds.
const STREAM_TIME: u64 = 30_000;

/// Stream of a call, as its caller sees it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CallerStream {
    /// Latest attempt whose events are forwarded.
    forwarded_attempt: u32,
    /// Number of the last event that the caller got.
    last_event: u64,
    /// Number after which a resumed stream continues.
    resume_after: u64,
}

/// Streams by the number of their call.
pub(super) type StreamTable = BTreeMap<u64, CallerStream>;

/// How an upstream ends its stream.
#[derive(Debug, Clone, Copy)]
struct StreamCut {
    /// Number of events before the cut.
    events: u64,
    /// Whether these events have numbers.
    numbered: bool,
}

/// Whether the answer to a call for an asset is streamed.
fn is_streamed(call: u64) -> bool {
    call.is_multiple_of(2)
}

fn is_resumable(call: u64) -> bool {
    call.is_multiple_of(4)
}

/// Terms of the route of a call for an asset; `None` if its stream cannot be resumed.
pub(super) fn stream_terms(call: u64) -> Option<RouteTerms> {
    is_resumable(call).then(|| RouteTerms {
        rank: 1,
        attempts: 3,
        objective: Duration::from_secs(1),
        streaming: true,
        resumable: true,
        sticky: false,
        prompt: PromptShape::default(),
        stream_id: None,
        resumes: None,
    })
}

/// Cut of the stream of an attempt; `None` if it is complete.
fn stream_cut(call: u64, attempt: u32) -> Option<StreamCut> {
    match (call / 4 + 3 * u64::from(attempt)) % 8 {
        0 => Some(StreamCut { events: 0, numbered: true }),
        1 => Some(StreamCut { events: 1, numbered: true }),
        2 => Some(StreamCut { events: 3, numbered: true }),
        3 => Some(StreamCut { events: 2, numbered: false }),
        _ => None,
    }
}

impl FuzzWorld {
    /// Records that the events of an attempt are forwarded to the caller.
    pub(super) fn forward_stream(&mut self, call: u64, attempt: u32) {
        self.streams.entry(call).or_default().forwarded_attempt = attempt;
    }

    /// Streams the answer of an upstream, if the call is answered that way.
    pub(super) fn finish_stream(&mut self, call: &DispatchedCall) -> bool {
        let (number, attempt) = (call.ticket.0, call.attempt);
        let can_stream = self.resumes_at(call.from).is_some_and(|resume| resume <= self.now);
        if call.asset.is_empty() || !is_streamed(number) || !can_stream {
            return false;
        }
        self.submit(call.from.slot, HostEvent::AttemptStarted(call.request, attempt));
        let outcome = self.stream_events(number, attempt);
        self.schedule_attempt_end(call, STREAM_TIME, outcome);
        true
    }

    /// Sends the caller the events of an attempt, if they are forwarded. Returns how it ends.
    fn stream_events(&mut self, call: u64, attempt: u32) -> AttemptOutcome {
        let cut = stream_cut(call, attempt);
        let numbered = cut.is_none_or(|cut| cut.numbered);
        let mut stream = self.streams.get(&call).copied().unwrap_or_default();
        // The host forwards no events without numbers behind numbered ones.
        let is_rejected = !numbered && stream.resume_after > 0;
        let forwarded = stream.forwarded_attempt == attempt && !is_rejected;
        let first = if numbered { stream.resume_after } else { 0 } + 1;
        let count = cut.map_or(STREAM_EVENTS, |cut| cut.events);
        let last = STREAM_EVENTS.min(first + count - 1);
        if forwarded {
            for event in first..=last {
                self.oracle.record_event(call, stream.last_event, event);
                stream.last_event = event;
            }
            if numbered && is_resumable(call) {
                stream.resume_after = stream.last_event;
            }
            self.streams.insert(call, stream);
        }
        if cut.is_none() {
            if forwarded {
                self.oracle.check_stream_end(call, stream.last_event, STREAM_EVENTS);
            }
            return AttemptOutcome::Streamed;
        }
        let is_continuable = numbered && is_resumable(call);
        if forwarded && first <= last && !is_continuable {
            AttemptOutcome::Truncated
        } else {
            AttemptOutcome::Broken
        }
    }
}
