//! Reads of the configuration, and log records of its exchange between hosts.

use crate::effect::DecisionKind;
use crate::effect::DecisionRecord;
use crate::effect::HostEffect;
use crate::identity::HostIdentity;
use crate::time::Moment;

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

    /// Reads the configuration's head when that is due.
    pub(super) fn configuration_tick(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let Some(interval) = self.timing.configuration_read else {
            return;
        };
        if now < self.next_configuration_read {
            return;
        }
        self.next_configuration_read = now.after(interval);
        let leader_unreachable = self
            .leader
            .as_ref()
            .is_none_or(|leader| now.since(leader.last_message) >= self.timing.peer_timeout);
        if leader_unreachable || self.placement.is_some() || self.reads_as_standby() {
            self.configuration.request_head(&mut self.store_calls, effects);
        }
    }

    /// Whether this host is the one that reads the configuration besides its scope's leader.
    fn reads_as_standby(&self) -> bool {
        let leader = self.leader.as_ref().map_or("", |leader| &leader.identity.name);
        let mut others = self.members.in_scope(&self.me.scope, &self.me.name);
        !others.any(|identity| identity.name != leader && identity.name < self.me.name)
    }
}
