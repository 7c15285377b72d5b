//! One log line per decision.

use log::info;
use wagtailledge_decisions::effect::DecisionKind;
use wagtailledge_decisions::effect::DecisionNote;
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
