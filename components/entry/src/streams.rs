//! Observes which streams in progress are silent.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::HostReducer;
use wagtailledge_decisions::Moment;
use wagtailledge_decisions::event::StreamObservation;
use wagtailledge_decisions::request::RequestTicket;
use wagtailledge_inventory::UpstreamKey;

use crate::shell::EntryShell;

/// Time without a part after which a stream is reported as silent: below the time after which the
/// reducer acts on it.
const SILENCE: Duration = Duration::from_millis(150);
/// Interval at which streams are observed. Short against `SILENCE`.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(50);
/// Gap between two observations after which streams count as heard: the process had no processor time,
/// so that parts may wait unread.
const OBSERVATION_GAP: Duration = Duration::from_millis(150);

/// What the runtime sees of the answer of one attempt.
#[derive(Debug, Default)]
pub struct StreamProgress {
    /// When something last arrived; `None` before the answer begins and after it ends.
    heard: Cell<Option<Moment>>,
    /// Whether a part waits until the caller has read earlier ones, so that nothing is read from the
    /// upstream.
    is_held_back: Cell<bool>,
}

impl StreamProgress {
    /// Records that the stream began, or that a part of it was passed on.
    pub fn record_read(&self, now: Moment) {
        self.heard.set(Some(now));
        self.is_held_back.set(false);
    }

    /// Records that a part arrived and waits for the caller.
    pub fn record_held_back(&self, now: Moment) {
        self.heard.set(Some(now));
        self.is_held_back.set(true);
    }

    /// Records that the attempt ended.
    pub fn record_end(&self) {
        self.heard.set(None);
    }
}

/// Times of the observations of streams.
#[derive(Debug, Default)]
pub struct StreamWatch {
    last: Cell<Moment>,
    /// End of the latest gap between two observations.
    gap_end: Cell<Moment>,
}

/// Observes the streams in progress until the process ends.
pub async fn stream_loop(shell: Rc<EntryShell>) {
    loop {
        sleep(OBSERVATION_INTERVAL).await;
        shell.observe_streams();
    }
}

impl EntryShell {
    /// Reports the streams that are silent, if there are any and the reducer decides by them.
    fn observe_streams(self: &Rc<Self>) {
        if !self.read(HostReducer::watches_streams) {
            return;
        }
        let now = self.now();
        let watch = &self.stream_watch;
        if now.since(watch.last.replace(now)) >= OBSERVATION_GAP {
            watch.gap_end.set(now);
        }
        let gap_end = watch.gap_end.get();
        let mut silent = Vec::new();
        let mut heard: HashMap<UpstreamKey, Moment> = HashMap::new();
        for attempt in self.calls.borrow().attempts() {
            let Some(at) = attempt.progress.heard.get() else {
                continue;
            };
            let since = at.max(gap_end);
            if now.since(since) < SILENCE {
                let latest = heard.entry(attempt.upstream).or_insert(at);
                *latest = at.max(*latest);
            } else if !attempt.progress.is_held_back.get() {
                silent.push((attempt.request, attempt.number, since));
            }
        }
        if !silent.is_empty() {
            let heard = heard.into_iter().collect();
            self.submit(HostEvent::StreamsObserved(StreamObservation { silent, heard }));
        }
    }

    /// Ends the exchange of an attempt as if its upstream had failed.
    pub(crate) fn end_attempt(&self, ticket: RequestTicket, attempt: u32) {
        let mut calls = self.calls.borrow_mut();
        let current = calls.get_mut(ticket).and_then(|live| live.attempt.as_ref());
        if let Some(current) = current.filter(|current| current.number == attempt) {
            current.stop.request();
        }
    }
}
