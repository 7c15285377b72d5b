//! Work of one engine, as far as this host knows it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::event::UpstreamLoad;
use crate::request::RequestKey;
use crate::time::Moment;

use super::pace::UsualPace;

/// Time constant with which a load report loses weight against the engine's average: the requests of
/// the report have mostly ended by then.
const REPORT_DECAY: Duration = Duration::from_secs(1);
/// Weight of a load report in the engine's average. A host gets a few reports a minute from an engine,
/// so the average spans about a minute.
const AVERAGE_WEIGHT: f64 = 0.25;
/// Weight of an observed wait in the engine's average.
const WAIT_WEIGHT: f64 = 0.25;
/// Time constant with which observed waits lose weight.
const WAIT_DECAY: Duration = Duration::from_secs(10);
/// Longest wait that is recorded, so that one stuck request does not exclude its engine for long.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Prompt of a request of this host that its engine has not begun to answer.
#[derive(Debug, Clone, Copy)]
struct PendingPrompt {
    /// When it was sent.
    sent: Moment,
    /// Tokens that the engine was expected to process.
    tokens: f64,
    /// When the first event was expected.
    expected: Moment,
}

/// Work of one engine, as far as this host knows it.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineWork {
    pub(super) pace: UsualPace,
    /// Prompts of this host without a first event.
    pending: BTreeMap<RequestKey, PendingPrompt>,
    /// Streams of this host with a first event.
    streams: u32,
    /// Average of the requests running by the load reports; `None` before the first one.
    average_running: Option<f64>,
    /// Last load report, and when it was received.
    report: Option<(UpstreamLoad, Moment)>,
    /// Average in ms of the time for which requests of this host waited before their own prompt was
    /// processed, and when it was last updated.
    wait: (f64, Moment),
}

impl EngineWork {
    /// Records a load report.
    pub(super) fn record_load(&mut self, now: Moment, load: UpstreamLoad) {
        if let Some(percent) = load.pace {
            self.pace.record(now, percent);
        }
        let running = f64::from(load.running);
        let average = self.average_running.unwrap_or(running);
        self.average_running = Some(average + (running - average) * AVERAGE_WEIGHT);
        self.report = Some((load, now));
    }

    /// Records that a prompt was sent.
    pub(super) fn record_sent(
        &mut self,
        now: Moment,
        request: RequestKey,
        tokens: f64,
        expected: Moment,
    ) {
        self.pending.insert(request, PendingPrompt { sent: now, tokens, expected });
    }

    /// Records that the engine began to answer, after a wait of `wait` before it processed the prompt.
    pub(super) fn record_begun(&mut self, now: Moment, request: RequestKey, wait: Duration) {
        if self.pending.remove(&request).is_some() {
            self.streams += 1;
        }
        let average = self.observed_wait(now);
        let sample = wait.min(MAX_WAIT).as_secs_f64() * 1e3;
        self.wait = (average + (sample - average) * WAIT_WEIGHT, now);
    }

    /// Records that a request ended.
    pub(super) fn record_ended(&mut self, request: RequestKey) {
        if self.pending.remove(&request).is_none() {
            self.streams = self.streams.saturating_sub(1);
        }
    }

    /// Expected number of requests that run there, without the prompts of this host that are pending.
    /// `usual` is the number at an engine that has not reported its load.
    pub(super) fn streams(&self, now: Moment, usual: f64) -> f64 {
        let average = self.average_running.unwrap_or(usual);
        let running = self.report.map_or(average, |(load, at)| {
            average + (f64::from(load.running) - average) * report_weight(now, at)
        });
        running.max(f64::from(self.streams))
    }

    /// Requests in the engine's own queue by its last report.
    pub(super) fn waiting(&self, now: Moment) -> f64 {
        self.report.map_or(0.0, |(load, at)| f64::from(load.waiting) * report_weight(now, at))
    }

    /// Tokens of this host's own prompts that the engine has not processed yet, if it processes one
    /// in `token_ms`.
    pub(super) fn pending_tokens(&self, now: Moment, token_ms: f64) -> f64 {
        // Prompts are processed one after the other, so only the time since the latest progress
        // counts; the time since the first pending one was sent is an upper bound of it.
        let tokens: f64 = self.pending.values().map(|prompt| prompt.tokens).sum();
        let first = self.pending.values().map(|prompt| prompt.sent).min();
        let elapsed_ms = first.map_or(0.0, |first| now.since(first).as_secs_f64() * 1e3);
        let largest = self.pending.values().map(|prompt| prompt.tokens).fold(0.0, f64::max);
        (tokens - (elapsed_ms / token_ms).min(largest)).max(0.0)
    }

    /// Longest time in ms by which a prompt of this host is overdue: others are expected to wait as
    /// long.
    pub(super) fn overdue_ms(&self, now: Moment) -> f64 {
        let overdue = self.pending.values().map(|prompt| now.since(prompt.expected));
        overdue.max().unwrap_or_default().min(MAX_WAIT).as_secs_f64() * 1e3
    }

    /// Average in ms of the waits that this host observed, less the older they are.
    pub(super) fn observed_wait(&self, now: Moment) -> f64 {
        let (wait, at) = self.wait;
        wait * (-now.since(at).as_secs_f64() / WAIT_DECAY.as_secs_f64()).exp()
    }

    /// Time since this host last learnt something about the engine's load; `None` if it never did.
    pub(super) fn report_age(&self, now: Moment) -> Option<Duration> {
        let reported = self.report.map(|(_, at)| at);
        let observed = (self.wait.1 > Moment::default()).then_some(self.wait.1);
        reported.max(observed).map(|at| now.since(at))
    }

    /// Requests that ran there by the load reports so far; `None` without one.
    pub(super) fn average_running(&self) -> Option<f64> {
        self.average_running
    }
}

/// Weight of a load report against the engine's average.
fn report_weight(now: Moment, reported: Moment) -> f64 {
    (-now.since(reported).as_secs_f64() / REPORT_DECAY.as_secs_f64()).exp()
}
