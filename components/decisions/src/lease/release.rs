//! What a candidate asks and logs while promises may extend an expired lease.

use crate::effect::DecisionKind;
use crate::effect::DecisionRecord;
use crate::effect::HostEffect;
use crate::message::PeerMessage;

use super::context::LeaseContext;
use super::epoch::epoch_text;
use super::record::LeaseRecord;

/// Asks the hosts that a record names to release it. The holder's host is asked too, as another process may
/// run there by now.
pub fn request_release(context: &mut LeaseContext<'_>, record: &LeaseRecord, version: u64) {
    let named = record.successors.iter().chain([&record.holder]);
    for identity in named.filter(|identity| identity.name != context.me.name) {
        let message = PeerMessage::PromiseReleaseRequest { epoch: record.epoch, version };
        let latest = context.members.latest(&identity.name).unwrap_or(identity);
        context.effects.push(HostEffect::send(latest.clone(), message));
    }
}

/// Logs that this process waits for a release, once for each version of a record.
pub fn log_wait(context: &mut LeaseContext<'_>, record: &LeaseRecord, version: u64) {
    let successors: Vec<&str> =
        record.successors.iter().map(|identity| identity.name.as_str()).collect();
    let (holder, successors) = (&record.holder.name, successors.join(","));
    context.effects.push(HostEffect::LogDecision(DecisionRecord {
        kind: DecisionKind::Lead,
        ticket: None,
        subject: context.me.scope.clone(),
        choice: format!("epoch {}", epoch_text(record.epoch)),
        reason: "lease expired, waits for a release",
        alternatives: record.successors.len(),
        inputs: format!("holder={holder} successors={successors} version={version}"),
    }));
}
