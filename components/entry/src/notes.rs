//! One log line per decision, order and attempt.

use std::time::Duration;
use std::time::Instant;

use log::info;
use wagtailledge_decisions::effect::DecisionKind;
use wagtailledge_decisions::effect::DecisionNote;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::order::EngineListing;
use wagtailledge_decisions::order::HeldState;
use wagtailledge_decisions::order::OrderKind;
use wagtailledge_decisions::order::OrderOutcome;

/// Name of the log target for decisions.
const TARGET: &str = "decision";

/// Logs a decision with its fields as key-values.
pub fn log_decision(note: &DecisionNote, host: &str, request_id: &str) {
    info!(
        target: TARGET,
        kind = kind_name(note.kind),
        host = host,
        request = request_id,
        subject = note.subject.as_str(),
        choice = note.choice.as_str(),
        reason = note.reason,
        alternatives = note.alternatives;
        "{} {} -> {}",
        kind_name(note.kind),
        note.subject,
        note.choice
    );
}

/// Name of a kind of decision in logs and metrics.
pub fn kind_name(kind: DecisionKind) -> &'static str {
    match kind {
        DecisionKind::Route => "route",
        DecisionKind::Refuse => "refuse",
        DecisionKind::Abandon => "abandon",
        DecisionKind::Load => "load",
        DecisionKind::Unload => "unload",
        DecisionKind::Lead => "lead",
        DecisionKind::Configure => "configure",
        DecisionKind::Health => "health",
    }
}

/// Words for what an order asks for.
pub fn describe_order(kind: &OrderKind) -> String {
    match kind {
        OrderKind::Claim => "list".to_owned(),
        OrderKind::LoadModel { asset, .. } | OrderKind::LoadAdapter { asset, .. } => {
            format!("load {asset}")
        }
        OrderKind::Unload { asset } => format!("unload {asset}"),
    }
}

/// Words for what an engine says it holds.
fn describe(listing: &EngineListing) -> String {
    let sequence = listing.sequence.map_or_else(|| "?".to_owned(), |number| number.to_string());
    let coming = listing.held.iter().filter(|held| held.state == HeldState::Loading).count();
    let ready = listing.held.len() - coming;
    let busy = if listing.busy { "busy" } else { "at rest" };
    format!("{sequence} accepted, {ready} ready, {coming} coming, {busy}")
}

/// Logs what an engine made of an order.
pub fn log_order(
    host: &str,
    upstream: &str,
    order: &str,
    expected: Option<u64>,
    outcome: &OrderOutcome,
) {
    let listing = match outcome {
        OrderOutcome::Accepted(listing) | OrderOutcome::Refused(listing) => describe(listing),
        _ => String::new(),
    };
    let outcome = match outcome {
        OrderOutcome::Accepted(_) => "accepted",
        OrderOutcome::Refused(_) => "refused",
        OrderOutcome::Started => "started",
        OrderOutcome::Unchanged => "unchanged",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::StaleToken => "stale token",
        OrderOutcome::Gone => "gone",
        OrderOutcome::NotSent => "not sent",
        OrderOutcome::Lost => "lost",
    };
    let expected = expected.map_or_else(String::new, |expected| expected.to_string());
    info!(
        target: "order",
        host = host, upstream = upstream, expected = expected.as_str(), outcome = outcome,
        listing = listing.as_str();
        "{upstream}: {order}: {outcome}"
    );
}

/// When the parts of an answer came.
#[derive(Debug)]
pub struct AttemptTimes {
    /// When the request was handed to its connection.
    started: Instant,
    /// Time until the first part of a stream.
    first: Option<Duration>,
    /// When the latest part came.
    last: Instant,
    /// Longest time between two parts.
    longest_pause: Duration,
    /// Parts that came.
    parts: u32,
    /// HTTP status of a stream; 0 before its head.
    pub status: u16,
}

impl AttemptTimes {
    /// An attempt that begins now.
    pub fn start() -> Self {
        let now = Instant::now();
        Self {
            started: now,
            first: None,
            last: now,
            longest_pause: Duration::ZERO,
            parts: 0,
            status: 0,
        }
    }

    /// Notes that a part came.
    pub fn part_came(&mut self) {
        let now = Instant::now();
        match self.first {
            None => self.first = Some(now - self.started),
            Some(_) => self.longest_pause = self.longest_pause.max(now - self.last),
        }
        self.last = now;
        self.parts += 1;
    }
}

/// Logs how an exchange with an upstream ended.
pub fn log_attempt(
    host: &str,
    request_id: &str,
    upstream: &str,
    attempt: u32,
    times: &AttemptTimes,
    outcome: &AttemptOutcome,
) {
    let (outcome, status) = match outcome {
        AttemptOutcome::Streamed => ("streamed", times.status),
        AttemptOutcome::Answered(answer) => ("answered", answer.status),
        AttemptOutcome::NotRun { misplaced: true } => ("not held there", 0),
        AttemptOutcome::NotRun { misplaced: false } => ("not run", 0),
        AttemptOutcome::Unreached => ("no connection", 0),
        AttemptOutcome::Broken => ("broken", times.status),
    };
    let first_ms = times.first.map_or(0, |first| first.as_millis() as u64);
    let (pause_ms, took_ms) =
        (times.longest_pause.as_millis(), times.started.elapsed().as_millis());
    info!(
        target: "attempt",
        host = host, request = request_id, upstream = upstream, attempt = attempt,
        outcome = outcome, status = status, first_ms = first_ms, parts = times.parts,
        pause_ms = pause_ms as u64, took_ms = took_ms as u64;
        "{request_id} at {upstream}: {outcome}"
    );
}
