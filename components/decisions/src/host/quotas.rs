//! Quotas of accounts: what they mean for the requests of this host.

use std::time::Duration;

use rand::Rng;
use wagtailledge_inventory::account::QuotaUnit;

use crate::admission::RequestRecord;
use crate::admission::RequestStage;
use crate::admission::queue_key;
use crate::effect::DecisionKind;
use crate::effect::DecisionRecord;
use crate::effect::HostEffect;
use crate::quota::QuotaDecision;
use crate::quota::QuotaStanding;
use crate::request::CallerRefusal;
use crate::request::CallerRequest;
use crate::request::RefusalOutcome;
use crate::request::RefusalReason;
use crate::request::RequestKey;
use crate::request::RequestRepeat;
use crate::request::RequestTarget;
use crate::request::RequestTicket;
use crate::time::Moment;

use super::refusals::reason_text;
use super::state::DrainStage;
use super::state::HostReducer;

/// Part of a request's objective for which it may wait because of its quota.
const HOLD_DIVISOR: u32 = 4;
/// Longest part of a time to come back that is added to it, so that callers come back one by one.
const RETRY_SPREAD: f64 = 0.3;
/// Shortest time to come back; a shorter one is used up by the way there and back.
const MIN_RETRY: Duration = Duration::from_millis(50);

impl HostReducer {
    /// Decides about a request that arrives: what its quota means for it, and its cost if the leader has
    /// to be asked. Refuses it if its quota is used up, and returns `None` then.
    pub(super) fn check_quota(
        &mut self,
        now: Moment,
        request: &CallerRequest,
        effects: &mut Vec<HostEffect>,
    ) -> Option<(QuotaStanding, Option<u64>)> {
        let account = request.account.and_then(|account| self.catalog.accounts.get(account));
        let account = account.filter(|_| self.drain != DrainStage::Over);
        let Some((account, quota)) = account.and_then(|account| Some((account, account.quota?)))
        else {
            return Some((QuotaStanding::Free, None));
        };
        let prompt = request.terms.as_ref().map(|terms| &terms.prompt);
        let declared =
            prompt.map_or(0, |prompt| u64::from(prompt.input) + u64::from(prompt.output));
        let cost = match quota.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens if declared == 0 => quota.undeclared,
            QuotaUnit::Tokens => declared,
        };
        let Some(query) = self.quotas.query(&account.name, cost) else {
            return Some((QuotaStanding::Free, None));
        };
        match self.quotas.ledger.admit(now, &query) {
            QuotaDecision::Admitted => Some((QuotaStanding::Admitted(cost), None)),
            QuotaDecision::Ask => Some((QuotaStanding::Free, Some(cost))),
            QuotaDecision::Refused(wait) => {
                self.refuse_for_quota(request.ticket, request.target, wait, effects);
                None
            }
        }
    }

    /// Asks the leader about a request.
    pub(super) fn ask_quota(&mut self, now: Moment, key: RequestKey, cost: u64) {
        let request = &mut self.requests[key];
        let left = request.deadline.since(now);
        let objective = request.terms.as_ref().map_or(left, |terms| terms.objective.min(left));
        let account = request.account.and_then(|account| self.catalog.accounts.get(account));
        let query = account.and_then(|account| self.quotas.query(&account.name, cost));
        if let Some(query) = query {
            let hold_until = now.after(objective / HOLD_DIVISOR);
            let id = self.quotas.ledger.ask(now, &query, request.rank, hold_until, key);
            request.quota = QuotaStanding::Asked(id);
        }
    }

    /// Starts a request that is within its quota, or has none.
    pub(super) fn begin_request(
        &mut self,
        now: Moment,
        key: RequestKey,
        effects: &mut Vec<HostEffect>,
    ) {
        let request = &mut self.requests[key];
        let keyed = matches!(request.repeat, RequestRepeat::Keyed(_));
        request.stage = if keyed { RequestStage::Claiming } else { RequestStage::Waiting };
        self.bind_taken_up(now, key, effects);
        if keyed {
            self.write_claim(key, 0, effects);
        } else {
            self.enqueue(now, key, effects);
        }
    }

    /// Refuses a request that is beyond the quota of its account and that fits in `wait`. The request is
    /// not open, or its stage is [`RequestStage::Asking`].
    pub(super) fn refuse_for_quota(
        &mut self,
        ticket: RequestTicket,
        target: RequestTarget,
        wait: Duration,
        effects: &mut Vec<HostEffect>,
    ) {
        let spread = self.rng.random::<f64>() * RETRY_SPREAD;
        let retry_after = wait.mul_f64(1.0 + spread).max(MIN_RETRY);
        let (outcome, reason) = (RefusalOutcome::NotRun, RefusalReason::AccountQuota);
        let source = if self.quotas.ledger.is_alone() { "own share" } else { "leader" };
        effects.push(HostEffect::LogDecision(DecisionRecord {
            kind: DecisionKind::Refuse,
            ticket: Some(ticket),
            subject: self.target_name(target),
            choice: format!("{outcome:?}"),
            reason: reason_text(reason),
            alternatives: 0,
            inputs: format!("fits in {} ms by {source}", wait.as_millis()),
        }));
        let refusal = CallerRefusal { outcome, reason, retry_after };
        effects.push(HostEffect::Refuse(ticket, refusal));
    }

    /// Applies the decision about a request that had to wait for it.
    pub(super) fn quota_decided(
        &mut self,
        now: Moment,
        key: RequestKey,
        cost: u64,
        decision: QuotaDecision,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        match decision {
            QuotaDecision::Admitted => {
                request.quota = QuotaStanding::Admitted(cost);
                self.begin_request(now, key, effects);
            }
            QuotaDecision::Refused(wait) => {
                request.quota = QuotaStanding::Free;
                let (ticket, target) = (request.ticket, request.target);
                self.refuse_for_quota(ticket, target, wait, effects);
                self.settle_request(key, effects);
            }
            QuotaDecision::Ask => {}
        }
    }

    /// Records that a request is sent to an upstream. A run after one that may have happened counts again.
    pub(super) fn quota_dispatched(&mut self, now: Moment, key: RequestKey) {
        let request = &self.requests[key];
        let account = request.account.and_then(|account| self.catalog.accounts.get(account));
        let (Some(account), QuotaStanding::Admitted(cost)) = (account, request.quota) else {
            return;
        };
        if request.attempts == 1 {
            self.quotas.ledger.record_sent(&account.name, cost);
        } else if request.runs > 0 {
            self.quotas.ledger.record_repeat(now, &account.name, cost);
        }
    }

    /// Records that a request was removed; returns its tokens if it never ran.
    pub(super) fn quota_request_removed(&mut self, now: Moment, request: &RequestRecord) {
        let account = request.account.and_then(|account| self.catalog.accounts.get(account));
        let Some(account) = account else {
            return;
        };
        match request.quota {
            QuotaStanding::Asked(id) => self.quotas.ledger.abandon(id),
            QuotaStanding::Admitted(cost) if request.runs == 0 && request.upstream().is_none() => {
                let was_sent = request.attempts > 0;
                self.quotas.ledger.return_tokens(now, &account.name, cost, was_sent);
            }
            QuotaStanding::Admitted(_) | QuotaStanding::Free => {}
        }
    }

    /// Asks again about all requests that were admitted and not sent, because this process was frozen and
    /// their tokens may have been used by others.
    pub(super) fn quota_resumed(&mut self, now: Moment) {
        self.quotas.resume(now);
        let is_affected = |request: &RequestRecord| {
            let is_admitted = matches!(request.quota, QuotaStanding::Admitted(_));
            is_admitted && request.is_waiting() && request.attempts == 0
        };
        let open = self.requests.iter().filter(|(_, request)| is_affected(request));
        let affected: Vec<RequestKey> = open.map(|(key, _)| key).collect();
        for key in affected {
            let request = &mut self.requests[key];
            let QuotaStanding::Admitted(cost) = request.quota else {
                continue;
            };
            self.queue.remove(request.target, queue_key(key, request));
            request.stage = RequestStage::Asking;
            let account = request.account.and_then(|account| self.catalog.accounts.get(account));
            if let Some(account) = account {
                self.quotas.ledger.return_tokens(now, &account.name, cost, false);
            }
            self.ask_quota(now, key, cost);
        }
    }
}
