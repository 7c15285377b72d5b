//! Structured log records: one for each decision, order and attempt.

use std::time::Duration;
use std::time::Instant;

use log::info;
use wagtailledge_decisions::effect::DecisionKind;
use wagtailledge_decisions::effect::DecisionRecord;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::event::UpstreamStatement;
use wagtailledge_decisions::limits::LimitNotice;
use wagtailledge_decisions::order::EngineReport;
use wagtailledge_decisions::order::OrderKind;
use wagtailledge_decisions::order::OrderOutcome;
use wagtailledge_decisions::order::ResidentState;
use wagtailledge_upstreams::BodyEnd;
use wagtailledge_upstreams::EndCause;
use wagtailledge_upstreams::OrderReply;

/// Log target of decision records.
const DECISION_TARGET: &str = "decision";

/// Logs a decision of the reducer. `request_id` is empty for decisions that concern no request;
/// `account` is the account of the request, which has its log key only if there is one.
pub fn log_decision(record: &DecisionRecord, host: &str, request_id: &str, account: Option<&str>) {
    macro_rules! log_with {
        ($($key:ident = $value:expr),*) => {
            info!(
                target: DECISION_TARGET,
                kind = kind_name(record.kind),
                host = host,
                request = request_id,
                subject = record.subject.as_str(),
                choice = record.choice.as_str(),
                reason = record.reason,
                alternatives = record.alternatives,
                inputs = record.inputs.as_str()
                $(, $key = $value)*;
                "{} {} -> {}",
                kind_name(record.kind),
                record.subject,
                record.choice
            )
        };
    }
    match account {
        Some(account) => log_with!(account = account),
        None => log_with!(),
    }
}

/// Name of a decision kind in log records and metric names.
pub fn kind_name(kind: DecisionKind) -> &'static str {
    match kind {
        DecisionKind::Route => "route",
        DecisionKind::Refuse => "refuse",
        DecisionKind::Abandon => "abandon",
        DecisionKind::Load => "load",
        DecisionKind::Unload => "unload",
        DecisionKind::Lead => "lead",
        DecisionKind::Configure => "configure",
        DecisionKind::Offer => "offer",
        DecisionKind::Health => "health",
        DecisionKind::Limit => "limit",
        DecisionKind::Permit => "permit",
        DecisionKind::Quota => "quota",
        DecisionKind::Quarantine => "quarantine",
        DecisionKind::Software => "software",
        DecisionKind::Register => "register",
    }
}

/// Describes an order in log messages.
pub fn describe_order(kind: &OrderKind) -> String {
    match kind {
        OrderKind::Claim => "list".to_owned(),
        OrderKind::LoadModel { asset, .. } | OrderKind::LoadAdapter { asset, .. } => {
            format!("load {asset}")
        }
        OrderKind::Unload { asset } => format!("unload {asset}"),
    }
}

/// Summarizes an engine's report of its resident assets for the log key `listing`.
fn describe_report(report: &EngineReport) -> String {
    let sequence = report.sequence.map_or_else(|| "?".to_owned(), |number| number.to_string());
    let loading =
        report.resident.iter().filter(|item| item.state == ResidentState::Loading).count();
    let ready = report.resident.len() - loading;
    let activity = if report.busy { "busy" } else { "at rest" };
    format!("{sequence} accepted, {ready} ready, {loading} coming, {activity}")
}

/// The limit that an answer named, in requests a second, and the pause that it asked for, in
/// milliseconds.
fn describe_statement(statement: &UpstreamStatement) -> (String, u64) {
    let limit = match statement.limit {
        Some(LimitNotice::Limited(rate)) => rate.to_string(),
        Some(LimitNotice::Unlimited) => "none".to_owned(),
        None => String::new(),
    };
    (limit, statement.pause.map_or(0, |pause| pause.as_millis() as u64))
}

/// Logs the outcome of an order with the fencing token `token`, that was sent to an engine.
pub fn log_order(
    host: &str,
    upstream: &str,
    order: &str,
    token: u64,
    expected: Option<u64>,
    reply: &OrderReply,
) {
    let listing = match &reply.outcome {
        OrderOutcome::Accepted(report) | OrderOutcome::Refused(report) => describe_report(report),
        _ => String::new(),
    };
    let outcome = match reply.outcome {
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
    let (limit, pause_ms) = describe_statement(&reply.statement);
    info!(
        target: "order",
        host = host, upstream = upstream, token = token, expected = expected.as_str(),
        outcome = outcome, listing = listing.as_str(), limit = limit.as_str(), leaving = reply.statement.leaving,
        asked_pause_ms = pause_ms;
        "{upstream}: {order}: {outcome}"
    );
}

/// Timing of one attempt, measured as the parts of its answer arrive.
#[derive(Debug)]
pub struct AttemptTimes {
    /// Start of the attempt.
    started: Instant,
    /// Time from the start to the first part; `None` before it.
    first_part: Option<Duration>,
    /// Arrival of the latest part; the start of the attempt before the first one.
    last_part: Instant,
    /// Longest time between two successive parts.
    longest_pause: Duration,
    /// Number of parts received.
    parts: u32,
    /// HTTP status of the answer; 0 until its head has arrived.
    pub status: u16,
    /// How the answer's body ended; `None` while it has not, or if the attempt was aborted.
    pub body_end: Option<BodyEnd>,
    /// What the head of the answer said about its upstream.
    pub statement: UpstreamStatement,
    /// Shared parts of the request's prompt, in hexadecimal.
    prompt: String,
}

impl AttemptTimes {
    /// Starts timing an attempt of a request with these shared parts of its prompt.
    pub fn start(prompt: String) -> Self {
        let now = Instant::now();
        Self {
            started: now,
            first_part: None,
            last_part: now,
            longest_pause: Duration::ZERO,
            parts: 0,
            status: 0,
            body_end: None,
            statement: UpstreamStatement::default(),
            prompt,
        }
    }

    /// Records the arrival of a part; returns whether it is the first one.
    pub fn record_part(&mut self) -> bool {
        let now = Instant::now();
        match self.first_part {
            None => self.first_part = Some(now - self.started),
            Some(_) => self.longest_pause = self.longest_pause.max(now - self.last_part),
        }
        self.last_part = now;
        self.parts += 1;
        self.parts == 1
    }

    /// Whether the attempt ended with a complete, successful answer that names no limit.
    pub fn is_without_limit(&self, outcome: &AttemptOutcome) -> bool {
        let is_whole = matches!(outcome, AttemptOutcome::Streamed | AttemptOutcome::Answered(_));
        is_whole
            && (200..300).contains(&self.status)
            && self.statement.limit == Some(LimitNotice::Unlimited)
    }

    /// Whether the upstream sent the head of an answer and nothing else of it.
    pub fn is_without_parts(&self) -> bool {
        self.parts == 0 && self.body_end.is_some_and(|end| end.cause == EndCause::Failed)
    }

    /// Whether the upstream began an answer and did not complete it.
    pub fn is_truncated(&self) -> bool {
        self.body_end.is_some_and(|end| {
            end.open_bytes > 0 || matches!(end.cause, EndCause::Failed | EndCause::TimedOut)
        })
    }
}

/// Logs the outcome and the timing of an attempt at an upstream.
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
        AttemptOutcome::NotRun { misplaced: true } => ("not held there", times.status),
        AttemptOutcome::NotRun { misplaced: false } => ("not run", times.status),
        AttemptOutcome::Unreached => ("no connection", 0),
        AttemptOutcome::Broken | AttemptOutcome::Truncated => ("broken", times.status),
    };
    let first_ms = times.first_part.map_or(0, |delay| delay.as_millis() as u64);
    let (pause_ms, took_ms) =
        (times.longest_pause.as_millis(), times.started.elapsed().as_millis());
    let end = times.body_end;
    let (framing, cause) = end.map_or(("", ""), |end| (end.framing.name(), end.cause.name()));
    let open_bytes = end.map_or(0, |end| end.open_bytes);
    let (limit, asked_pause_ms) = describe_statement(&times.statement);
    let pace = times.statement.load.and_then(|load| load.pace);
    let pace = pace.map_or_else(String::new, |percent| percent.to_string());
    info!(
        target: "attempt",
        host = host, request = request_id, upstream = upstream, attempt = attempt,
        outcome = outcome, status = status, first_ms = first_ms, parts = times.parts,
        pause_ms = pause_ms as u64, took_ms = took_ms as u64,
        framing = framing, end = cause, open_bytes = open_bytes, limit = limit.as_str(),
        leaving = times.statement.leaving, asked_pause_ms = asked_pause_ms,
        pace = pace.as_str(), prompt = times.prompt.as_str();
        "{request_id} at {upstream}: {outcome}"
    );
}
