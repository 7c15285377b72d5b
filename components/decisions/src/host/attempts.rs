//! Exchanges with upstreams: what their ends mean for the request.

use wagtailledge_inventory::UpstreamKey;

use crate::admission::RequestStage;
use crate::effect::DecisionKind;
use crate::effect::DecisionNote;
use crate::effect::HostEffect;
use crate::event::AttemptOutcome;
use crate::ledger::LedgerState;
use crate::request::RecordedAnswer;
use crate::request::RefusalOutcome;
use crate::request::RefusalReason;
use crate::request::RequestKey;
use crate::request::RequestRepeat;
use crate::request::RequestTarget;
use crate::time::Moment;

use super::state::HostReducer;

/// Statuses of answers that say the upstream failed, other than by lack of time.
const FAILURES: std::ops::RangeInclusive<u16> = 500..=503;

impl HostReducer {
    /// The answer begins: it is passed on unless the caller has been refused meanwhile.
    pub(super) fn attempt_started(
        &mut self,
        key: RequestKey,
        attempt: u32,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let RequestStage::Dispatched(upstream) = request.stage else {
            return;
        };
        if request.attempts != attempt || request.settled {
            return;
        }
        request.stage = RequestStage::Streaming(upstream);
        let (ticket, deadline) = (request.ticket, request.deadline);
        // The deadline of a request that is passed through bounds its whole answer.
        if request.terms.is_none() {
            self.deadlines.remove(&(deadline, key));
        }
        effects.push(HostEffect::Forward { ticket, attempt });
        let target = request.target;
        self.replica_served(target, upstream);
        self.upstream_answered(upstream, effects);
    }

    /// The replica serves: it may get requests as it comes.
    fn replica_served(&mut self, target: RequestTarget, upstream: UpstreamKey) {
        if let RequestTarget::Asset(asset) = target {
            self.trials.remove(&(asset, upstream));
            self.holds.cleared(asset, upstream);
        }
    }

    fn upstream_answered(&mut self, upstream: UpstreamKey, effects: &mut Vec<HostEffect>) {
        if self.tracker.succeeded(upstream) {
            self.note_health(upstream, "taken back", "probe answered", effects);
        }
    }

    fn note_health(
        &self,
        upstream: UpstreamKey,
        choice: &str,
        reason: &'static str,
        effects: &mut Vec<HostEffect>,
    ) {
        let subject = self.catalog.upstreams.get(upstream).map_or("", |record| &record.name);
        effects.push(HostEffect::Note(DecisionNote {
            kind: DecisionKind::Health,
            ticket: None,
            subject: subject.to_owned(),
            choice: choice.to_owned(),
            reason,
            alternatives: 0,
        }));
    }

    /// The exchange ended.
    pub(super) fn attempt_ended(
        &mut self,
        now: Moment,
        key: RequestKey,
        attempt: u32,
        outcome: AttemptOutcome,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(request) = self.requests.get(key).filter(|request| request.attempts == attempt)
        else {
            return;
        };
        let Some(upstream) = request.upstream() else {
            return;
        };
        let target = request.target;
        self.tracker.released(upstream);
        self.ran(target);
        if let RequestTarget::Asset(asset) = target {
            self.trials.remove(&(asset, upstream));
        }
        match outcome {
            AttemptOutcome::Streamed => self.remove(key),
            AttemptOutcome::Answered(answer) => {
                self.upstream_answered(upstream, effects);
                self.answered(now, key, upstream, answer, effects);
            }
            AttemptOutcome::NotRun { misplaced } => {
                self.not_run(now, key, upstream, misplaced, effects);
            }
            AttemptOutcome::Unreached => {
                if self.tracker.failed(now, upstream) {
                    self.suspects.insert(upstream);
                    self.note_health(upstream, "set aside", "no connection", effects);
                }
                self.not_run(now, key, upstream, false, effects);
            }
            AttemptOutcome::Broken => self.broken(now, key, upstream, effects),
        }
        self.pump_all(now, effects);
    }

    fn answered(
        &mut self,
        now: Moment,
        key: RequestKey,
        upstream: UpstreamKey,
        answer: RecordedAnswer,
        effects: &mut Vec<HostEffect>,
    ) {
        let request = &mut self.requests[key];
        request.may_have_run = true;
        request.runs += 1;
        request.tried.push(upstream);
        if self.may_do_better(now, key, &answer) {
            let request = &mut self.requests[key];
            request.failure = Some(Box::new(answer));
            self.wait(now, key, effects);
            // Nothing is free: the failure is not held back for a chance later.
            if self.requests.get(key).is_some_and(|request| request.upstream().is_none()) {
                let reason = RefusalReason::UpstreamFailed;
                self.refuse(key, RefusalOutcome::Unknown, reason, effects);
            }
            return;
        }
        let state = LedgerState::for_answer(&answer);
        self.finish(now, key, state, effects);
        let request = &self.requests[key];
        if !request.settled {
            effects.push(HostEffect::Answer(request.ticket, Box::new(answer)));
        }
        self.remove(key);
    }

    /// Whether another upstream should be asked, as this one answered that it failed.
    fn may_do_better(&self, now: Moment, key: RequestKey, answer: &RecordedAnswer) -> bool {
        let request = &self.requests[key];
        let hosts = self.members.count() + 1;
        FAILURES.contains(&answer.status)
            && !request.settled
            && request.may_run_again()
            && self.retries.may_repeat(now, self.service_of(request.target), hosts)
    }

    /// The upstream did not run it, so any request may be sent again.
    fn not_run(
        &mut self,
        now: Moment,
        key: RequestKey,
        upstream: UpstreamKey,
        misplaced: bool,
        effects: &mut Vec<HostEffect>,
    ) {
        match self.requests[key].target {
            // The engine may be full, or load or unload just this asset: others are not affected.
            RequestTarget::Asset(asset) if self.catalog.upstreams.contains_key(upstream) => {
                self.holds.refused(now, asset, upstream);
            }
            _ => self.tracker.was_busy(now, upstream),
        }
        if misplaced {
            self.suspects.insert(upstream);
            self.leader_link.dirty = true;
        }
        if self.requests[key].settled {
            self.drop_claim(key, effects);
            self.remove(key);
            return;
        }
        self.wait(now, key, effects);
    }

    fn broken(
        &mut self,
        now: Moment,
        key: RequestKey,
        upstream: UpstreamKey,
        effects: &mut Vec<HostEffect>,
    ) {
        let settled = self.requests[key].settled;
        // A connection that this host closed says nothing about the upstream.
        if !settled && self.tracker.failed(now, upstream) {
            self.suspects.insert(upstream);
            self.note_health(upstream, "set aside", "failures in a row", effects);
        }
        let request = &mut self.requests[key];
        request.may_have_run = true;
        request.runs += 1;
        let streaming = matches!(request.stage, RequestStage::Streaming(_));
        let resumable = request.terms.as_ref().is_some_and(|terms| terms.resumable);
        let may_retry = request.may_run_again() && (!streaming || resumable) && !settled;
        request.tried.push(upstream);
        let keyed = matches!(request.repeat, RequestRepeat::Keyed(_));
        let service = self.service_of(self.requests[key].target);
        let hosts = self.members.count() + 1;
        if may_retry && self.retries.may_repeat(now, service, hosts) {
            self.wait(now, key, effects);
            return;
        }
        if keyed {
            self.finish(now, key, LedgerState::Unknown, effects);
        }
        // Cuts the answer off if it has begun.
        self.refuse(key, RefusalOutcome::Unknown, RefusalReason::UpstreamFailed, effects);
        self.remove(key);
    }
}
