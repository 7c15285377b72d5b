//! Outcomes of attempts and their consequences for the request.

use std::time::Duration;

use wagtailledge_inventory::UpstreamKey;

use crate::admission::RequestStage;
use crate::effect::DecisionKind;
use crate::effect::DecisionRecord;
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

/// Answer statuses that count as a failure of the upstream; excludes the timeout status 504.
const FAILURE_STATUSES: std::ops::RangeInclusive<u16> = 500..=503;

impl HostReducer {
    /// Forwards an answer that begins, unless the request is settled or the attempt superseded.
    pub(super) fn attempt_started(
        &mut self,
        now: Moment,
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
        // With route terms the deadline covers the whole answer, else only its start.
        if request.terms.is_none() {
            self.deadlines.remove(&(deadline, key));
        }
        effects.push(HostEffect::Forward { ticket, attempt });
        let target = request.target;
        self.clear_replica_backoff(target, upstream);
        self.record_success(upstream, effects);
        self.reach_answered(now, upstream, now, effects);
    }

    /// Records that the first part of the answer of an attempt arrived.
    pub(super) fn attempt_advanced(
        &mut self,
        now: Moment,
        key: RequestKey,
        attempt: u32,
        effects: &mut Vec<HostEffect>,
    ) {
        let request = self.requests.get_mut(key);
        let Some(request) = request.filter(|request| request.attempts == attempt) else {
            return;
        };
        let Some(upstream) = request.upstream() else {
            return;
        };
        if request.first_part.is_none() {
            request.first_part = Some(now);
            self.first_event_arrived(now, key, effects);
            self.bind_begun(now, key, upstream, effects);
            self.reach_answered(now, upstream, now, effects);
        }
    }

    /// Ends the backoff of a replica that serves a request, and its limit to one probe at a time.
    fn clear_replica_backoff(&mut self, target: RequestTarget, upstream: UpstreamKey) {
        if let RequestTarget::Asset(asset) = target {
            self.replica_probes.remove(&(asset, upstream));
            self.replica_backoffs.clear(asset, upstream);
        }
    }

    /// Records that `upstream` answered, and logs if that readmits it.
    fn record_success(&mut self, upstream: UpstreamKey, effects: &mut Vec<HostEffect>) {
        if self.tracker.record_success(upstream) {
            self.log_health(upstream, "taken back", "probe answered", effects);
        }
    }

    /// Logs that an upstream was ejected or readmitted.
    fn log_health(
        &self,
        upstream: UpstreamKey,
        choice: &str,
        reason: &'static str,
        effects: &mut Vec<HostEffect>,
    ) {
        let subject = self.catalog.upstreams.get(upstream).map_or("", |record| &record.name);
        effects.push(HostEffect::LogDecision(DecisionRecord {
            kind: DecisionKind::Health,
            ticket: None,
            subject: subject.to_owned(),
            choice: choice.to_owned(),
            reason,
            alternatives: 0,
            inputs: String::new(),
        }));
    }

    /// Sends an upstream that said that it is leaving nothing new, and loads its replicas elsewhere.
    pub(super) fn upstream_leaves(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        effects: &mut Vec<HostEffect>,
    ) {
        if !self.catalog.has_process(upstream) || !self.members.record_leaving(upstream) {
            return;
        }
        self.log_health(upstream, "leaving", "said in an answer", effects);
        self.leader_sync.dirty = true;
        self.inventory_changed(now, effects);
    }

    /// Sends an upstream that asked for a pause nothing new until its end.
    pub(super) fn upstream_pauses(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        pause: Duration,
        effects: &mut Vec<HostEffect>,
    ) {
        self.tracker.record_pause(now, upstream, pause);
        let choice = format!("paused for {} ms", pause.as_millis());
        self.log_health(upstream, &choice, "asked in an answer", effects);
    }

    /// Handles the end of an attempt; ignores all but the latest attempt of a request.
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
        self.tracker.record_end(upstream);
        self.work.record_ended(key);
        self.decrement_running(target);
        if let RequestTarget::Asset(asset) = target {
            self.replica_probes.remove(&(asset, upstream));
        }
        self.observe_attempt_end(now, key, upstream, &outcome, effects);
        self.reach_ended(now, key, upstream, &outcome, effects);
        match outcome {
            AttemptOutcome::Streamed => self.remove_request(key),
            AttemptOutcome::Answered(answer) => {
                self.record_success(upstream, effects);
                self.handle_answer(now, key, upstream, answer, effects);
            }
            AttemptOutcome::NotRun { misplaced } => {
                self.handle_not_run(now, key, upstream, misplaced, effects);
            }
            AttemptOutcome::Unreached => {
                if self.tracker.record_failure(now, upstream) {
                    self.suspects.insert(upstream);
                    self.log_health(upstream, "set aside", "no connection", effects);
                }
                self.handle_not_run(now, key, upstream, false, effects);
            }
            AttemptOutcome::Broken => self.handle_broken(now, key, upstream, true, effects),
            AttemptOutcome::Truncated => self.handle_broken(now, key, upstream, false, effects),
        }
        self.dispatch_all_waiting(now, effects);
    }

    /// Passes a complete answer on, or retries if it is a failure and a retry is allowed.
    fn handle_answer(
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
        if self.may_retry_elsewhere(now, key, &answer) {
            let request = &mut self.requests[key];
            request.failure = Some(Box::new(answer));
            self.enqueue(now, key, effects);
            // No upstream is free now: passes the failure on instead of waiting for a retry.
            if self.requests.get(key).is_some_and(|request| request.upstream().is_none()) {
                let reason = RefusalReason::UpstreamFailed;
                self.refuse(key, RefusalOutcome::Unknown, reason, effects);
            }
            return;
        }
        let state = LedgerState::for_answer(&answer);
        self.record_outcome(now, key, state, effects);
        let request = &self.requests[key];
        if !request.settled {
            effects.push(HostEffect::Answer(request.ticket, Box::new(answer)));
        }
        self.remove_request(key);
    }

    /// Whether the answer is a failure and the request may be sent to another upstream.
    fn may_retry_elsewhere(&self, now: Moment, key: RequestKey, answer: &RecordedAnswer) -> bool {
        let request = &self.requests[key];
        let hosts = self.host_count();
        FAILURE_STATUSES.contains(&answer.status)
            && !request.settled
            && request.may_run_again()
            && self.retry_budget.allows_retry(now, self.service_of(request.target), hosts)
    }

    /// Queues a request again that did not run: a retry is safe even if it is not idempotent.
    fn handle_not_run(
        &mut self,
        now: Moment,
        key: RequestKey,
        upstream: UpstreamKey,
        misplaced: bool,
        effects: &mut Vec<HostEffect>,
    ) {
        match self.requests[key].target {
            // The engine may be full, or be loading or unloading this asset, so only the replica
            // backs off.
            RequestTarget::Asset(asset) if self.catalog.upstreams.contains_key(upstream) => {
                self.replica_backoffs.record_refusal(now, asset, upstream);
            }
            _ => self.tracker.record_busy(now, upstream),
        }
        if misplaced {
            self.suspects.insert(upstream);
            self.leader_sync.dirty = true;
        }
        if self.requests[key].settled {
            self.requests[key].stage = RequestStage::Waiting;
            self.delete_claim(key, effects);
            self.remove_request(key);
            return;
        }
        self.enqueue(now, key, effects);
    }

    /// Handles a failed attempt whose request may have run: retries if allowed, else refuses.
    /// `continuable` says whether another attempt can continue after what was forwarded.
    fn handle_broken(
        &mut self,
        now: Moment,
        key: RequestKey,
        upstream: UpstreamKey,
        continuable: bool,
        effects: &mut Vec<HostEffect>,
    ) {
        let settled = self.requests[key].settled;
        // If settled, this host may have closed the connection, which is no upstream failure.
        if !settled && self.tracker.record_failure(now, upstream) {
            self.suspects.insert(upstream);
            self.log_health(upstream, "set aside", "failures in a row", effects);
        }
        let request = &mut self.requests[key];
        request.may_have_run = true;
        request.runs += 1;
        let streaming = matches!(request.stage, RequestStage::Streaming(_));
        let resumable = request.terms.as_ref().is_some_and(|terms| terms.resumable);
        let may_continue = !streaming || (resumable && continuable);
        let may_retry = request.may_run_again() && may_continue && !settled;
        request.tried.push(upstream);
        let keyed = matches!(request.repeat, RequestRepeat::Keyed(_));
        let service = self.service_of(self.requests[key].target);
        let hosts = self.host_count();
        if may_retry && self.retry_budget.allows_retry(now, service, hosts) {
            self.enqueue(now, key, effects);
            return;
        }
        if keyed {
            self.record_outcome(now, key, LedgerState::Unknown, effects);
        }
        // Also cuts off an answer that has begun.
        self.refuse(key, RefusalOutcome::Unknown, RefusalReason::UpstreamFailed, effects);
        self.remove_request(key);
    }
}
