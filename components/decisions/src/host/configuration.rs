//! Log records of the exchange of configurations between hosts.

use crate::effect::DecisionKind;
use crate::effect::DecisionRecord;
use crate::effect::HostEffect;
use crate::identity::HostIdentity;

use super::state::HostReducer;

impl HostReducer {
    /// Logs that a configuration which another host offered does not fit the one in force.
    pub(super) fn log_rejected_offer(
        &self,
        from: &HostIdentity,
        base: u64,
        revision: u64,
        effects: &mut Vec<HostEffect>,
    ) {
        effects.push(HostEffect::LogDecision(DecisionRecord {
            kind: DecisionKind::Offer,
            ticket: None,
            subject: "configuration".to_owned(),
            choice: format!("revision {}", self.catalog.revision),
            reason: "the offered changes do not fit the revision in force",
            alternatives: 0,
            inputs: format!("offered={revision} base={base} from={}", from.name),
        }));
    }
}
