//! Admission, queueing and refusal of callers' requests, and the demand they cause.

use std::time::Duration;

use crate::admission::RequestRecord;
use crate::admission::RequestStage;
use crate::admission::SoftwareBinding;
use crate::effect::DecisionKind;
use crate::effect::DecisionRecord;
use crate::effect::HostEffect;
use crate::message::DemandRow;
use crate::request::CallerRequest;
use crate::request::RefusalOutcome;
use crate::request::RefusalReason;
use crate::request::RequestKey;
use crate::request::RequestTarget;
use crate::request::RequestTicket;
use crate::time::Moment;

use super::refusals::reason_text;
use super::refusals::stage_text;
use super::state::HostReducer;
use crate::admission::queue_key;
use crate::admission::share_of;

/// How long demand for an asset is reported after a refusal, so that a retry finds a replica.
const RETRY_DEMAND_TIME: Duration = Duration::from_secs(30);

impl HostReducer {
    /// Admits a request: claims its key if it has one, else queues it. Refuses it if its target
    /// does not exist or its caller has too many open requests.
    pub(super) fn accept_request(
        &mut self,
        now: Moment,
        request: CallerRequest,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some((rank, default_deadline)) = self.rank_and_deadline(request.target) else {
            let refusal =
                self.refusal(now, request.target, RefusalOutcome::NotRun, RefusalReason::Removed);
            effects.push(HostEffect::Refuse(request.ticket, refusal));
            return;
        };
        let limit = self.catalog.rules.max_waiting_per_caller as usize;
        if self.open_by_caller.get(&request.caller).is_some_and(|open| *open >= limit) {
            let (outcome, reason) = (RefusalOutcome::NotRun, RefusalReason::CallerLimit);
            let refusal = self.refusal(now, request.target, outcome, reason);
            effects.push(HostEffect::Refuse(request.ticket, refusal));
            return;
        }
        let Some((quota, asked)) = self.check_quota(now, &request, effects) else {
            return;
        };
        *self.open_by_caller.entry(request.caller).or_default() += 1;
        if let RequestTarget::Asset(asset) = request.target {
            let tokens = request.terms.as_ref().map_or(0, |terms| terms.prompt.input);
            self.unreported_usage.entry(asset).or_default().add(1, u64::from(tokens));
            self.recent_usage.add(now, asset, 1, u64::from(tokens));
        }
        let rank = request.rank(&self.catalog, rank);
        let deadline = now.after(request.deadline.unwrap_or(default_deadline));
        let record = RequestRecord {
            ticket: request.ticket,
            target: request.target,
            repeat: request.repeat,
            rank,
            arrived: now,
            deadline,
            stage: RequestStage::Asking,
            attempts: 0,
            dispatched: now,
            ended_attempt: 0,
            settled: false,
            may_have_run: false,
            claim: None,
            caller: request.caller,
            account: request.account,
            quota,
            terms: request.terms,
            runs: 0,
            tried: Vec::new(),
            failure: None,
            binding: SoftwareBinding::Free,
            first_part: None,
            permit_checked: false,
        };
        self.retry_budget.record_request(now, self.service_of(request.target));
        let key = self.requests.insert(record);
        self.tickets.insert(request.ticket, key);
        self.deadlines.insert((deadline, key));
        match asked {
            Some(cost) => self.ask_quota(now, key, cost),
            None => self.begin_request(now, key, effects),
        }
    }

    /// Rank and default deadline of the target's class; `None` if the target does not exist.
    fn rank_and_deadline(&self, target: RequestTarget) -> Option<(u8, Duration)> {
        match target {
            RequestTarget::Asset(asset) => {
                self.catalog.assets.get(asset).map(|record| (record.rank, record.deadline))
            }
            RequestTarget::Service(key) => {
                self.catalog.services.get(key).map(|record| (record.rank, record.deadline))
            }
        }
    }

    /// Queues a request and dispatches it if possible; refuses it if it cannot be served in time or
    /// if its target was removed while it was sent to an upstream.
    pub(super) fn enqueue(&mut self, now: Moment, key: RequestKey, effects: &mut Vec<HostEffect>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.stage = RequestStage::Waiting;
        let target = request.target;
        let wait_key = queue_key(key, request);
        let share = share_of(&self.catalog, request);
        self.queue.push(target, wait_key, share);
        if self.rank_and_deadline(target).is_none() {
            self.refuse(key, RefusalOutcome::NotRun, RefusalReason::Removed, effects);
            return;
        }
        if let Some(reason) = self.reason_not_to_send(now, key) {
            self.refuse(key, RefusalOutcome::NotRun, reason, effects);
            return;
        }
        self.dispatch_waiting(now, target, effects);
        if !self.requests.get(key).is_some_and(|request| request.stage == RequestStage::Waiting) {
            return;
        }
        if let Some(reason) = self.unservable_reason(now, key) {
            if let RequestTarget::Asset(asset) = target {
                self.retry_demand_until.insert(asset, now.after(RETRY_DEMAND_TIME));
            }
            self.refuse(key, RefusalOutcome::NotRun, reason, effects);
        } else if self.queue.len() > self.catalog.rules.max_waiting as usize {
            self.shed_last(effects);
        }
        self.leader_sync.dirty |= matches!(target, RequestTarget::Asset(_));
    }

    /// Reason to refuse a waiting request now because no replica can serve it in time.
    fn unservable_reason(&self, now: Moment, key: RequestKey) -> Option<RefusalReason> {
        if let Some(reason) = self.software_fault(key) {
            return Some(reason);
        }
        let request = &self.requests[key];
        if self.is_permit_late(now, key) {
            return Some(RefusalReason::UpstreamLimit);
        }
        let target = request.target;
        if now.after(self.shortest_pause(now, target)) >= request.deadline
            && !self.is_loading(target)
        {
            return Some(RefusalReason::UpstreamsPaused);
        }
        let RequestTarget::Asset(asset) = request.target else {
            return None;
        };
        if !self.view.ready(asset).is_empty() {
            return None;
        }
        if self.declined.contains(&asset) {
            return Some(RefusalReason::NoCapacity);
        }
        let loading = !self.view.replicas_of(asset).is_empty();
        let too_late = !loading && request.deadline < now.after(self.min_load_time(asset));
        too_late.then_some(RefusalReason::TooLate)
    }

    /// Refuses the last request of the queue, which has the lowest priority.
    fn shed_last(&mut self, effects: &mut Vec<HostEffect>) {
        if let Some(last) = self.queue.last() {
            let reason = RefusalReason::QueueFull;
            self.refuse(last.request, RefusalOutcome::NotRun, reason, effects);
        }
    }

    /// Refuses and settles a request; a failure that an upstream answered with earlier is passed on
    /// instead.
    pub(super) fn refuse(
        &mut self,
        key: RequestKey,
        outcome: RefusalOutcome,
        reason: RefusalReason,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if let (false, Some(answer)) = (request.settled, request.failure.take()) {
            effects.push(HostEffect::Answer(request.ticket, answer));
            self.settle_request(key, effects);
            return;
        }
        let request = &self.requests[key];
        let outcome_unknown = outcome == RefusalOutcome::NotRun && request.may_have_run;
        let outcome = if outcome_unknown { RefusalOutcome::Unknown } else { outcome };
        let mut refusal = self.refusal(self.last_event, request.target, outcome, reason);
        let rule = self.quarantine_rule(self.last_event, key);
        let rule = rule.filter(|_| reason == RefusalReason::Quarantined);
        if let Some(rule) = rule {
            refusal.retry_after = rule.until.since(self.last_event);
        }
        let mut inputs =
            rule.map_or_else(String::new, |rule| format!("prompt parts {}", rule.name()));
        if reason == RefusalReason::EnginesBusy {
            inputs = self.delay_by_work(key, &mut refusal);
        }
        if !request.settled {
            effects.push(HostEffect::LogDecision(DecisionRecord {
                kind: DecisionKind::Refuse,
                ticket: Some(request.ticket),
                subject: self.target_name(request.target),
                choice: format!("{outcome:?}"),
                reason: reason_text(reason),
                alternatives: 0,
                inputs,
            }));
            effects.push(HostEffect::Refuse(self.requests[key].ticket, refusal));
        }
        self.settle_request(key, effects);
    }

    /// Settles a request: its caller gets nothing more. Removes it if it waits, and cancels its
    /// attempt if that is allowed; otherwise its claim or attempt ends later.
    pub(super) fn settle_request(&mut self, key: RequestKey, effects: &mut Vec<HostEffect>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.settled = true;
        let (ticket, attempt) = (request.ticket, request.attempts);
        let cancellable = request.is_cancellable();
        let deadline = request.deadline;
        match request.stage {
            RequestStage::Asking => self.remove_request(key),
            // The reply to the pending claim triggers the cleanup.
            RequestStage::Claiming => {}
            RequestStage::Waiting => {
                let wait_key = queue_key(key, request);
                let target = request.target;
                self.queue.remove(target, wait_key);
                self.leader_sync.dirty = true;
                self.delete_claim(key, effects);
                self.remove_request(key);
            }
            RequestStage::Dispatched(_) | RequestStage::Streaming(_) => {
                if cancellable {
                    effects.push(HostEffect::Cancel(ticket, attempt));
                }
            }
        }
        self.deadlines.remove(&(deadline, key));
    }

    /// Removes a request and its index entries, except its place in the queue.
    pub(super) fn remove_request(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.remove(key) {
            self.quota_request_removed(self.last_event, &request);
            if let Some(open) = self.open_by_caller.get_mut(&request.caller) {
                *open -= 1;
                if *open == 0 {
                    self.open_by_caller.remove(&request.caller);
                }
            }
            self.tickets.remove(&request.ticket);
            self.deadlines.remove(&(request.deadline, key));
        }
    }

    /// Logs and settles a request whose caller disconnected.
    pub(super) fn caller_disconnected(
        &mut self,
        now: Moment,
        ticket: RequestTicket,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(key) = self.tickets.get(&ticket).copied() else {
            return;
        };
        let request = &self.requests[key];
        if !request.settled {
            let waited = now.since(request.arrived).as_millis();
            effects.push(HostEffect::LogDecision(DecisionRecord {
                kind: DecisionKind::Abandon,
                ticket: Some(ticket),
                subject: self.target_name(request.target),
                choice: format!("after {waited} ms"),
                reason: stage_text(request.stage),
                alternatives: 0,
                inputs: String::new(),
            }));
        }
        self.settle_request(key, effects);
    }

    /// Refuses every request whose deadline is at most the refusal lead away.
    pub(super) fn refuse_expired(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let due = now.after(self.timing.refusal_lead);
        while let Some((deadline, key)) = self.deadlines.first().copied() {
            if deadline > due {
                break;
            }
            self.deadlines.pop_first();
            let Some(request) = self.requests.get(key) else {
                continue;
            };
            let (outcome, reason) = match request.stage {
                RequestStage::Claiming if self.ledger.awaits_earlier_call(key) => {
                    (RefusalOutcome::Unknown, RefusalReason::EarlierCall)
                }
                RequestStage::Claiming => (RefusalOutcome::NotRun, RefusalReason::LedgerAway),
                RequestStage::Asking | RequestStage::Waiting => {
                    (RefusalOutcome::NotRun, RefusalReason::DeadlinePassed)
                }
                RequestStage::Dispatched(_) | RequestStage::Streaming(_) => {
                    (RefusalOutcome::Unknown, RefusalReason::DeadlinePassed)
                }
            };
            self.refuse(key, outcome, reason, effects);
        }
    }

    /// Refuses every request that is not in flight, because this process terminates.
    pub(super) fn refuse_waiting(&mut self, effects: &mut Vec<HostEffect>) {
        let waiting: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, request)| request.upstream().is_none())
            .map(|(key, _)| key)
            .collect();
        for key in waiting {
            self.refuse(key, RefusalOutcome::NotRun, RefusalReason::HostEnds, effects);
        }
    }

    /// Refuses waiting requests whose asset or service was removed from the configuration.
    pub(super) fn refuse_removed(&mut self, effects: &mut Vec<HostEffect>) {
        let targets: Vec<RequestTarget> =
            self.queue.targets().map(|(target, _, _)| target).collect();
        for target in targets {
            if self.rank_and_deadline(target).is_some() {
                continue;
            }
            while let Some(head) = self.queue.first(target) {
                let reason = RefusalReason::Removed;
                self.refuse(head.request, RefusalOutcome::NotRun, reason, effects);
            }
        }
    }

    /// Demand of this host for each asset: waiting requests, and refused ones expected to retry.
    pub(super) fn demand_rows(&self, now: Moment) -> Vec<DemandRow> {
        let mut rows = Vec::new();
        for (target, head, waiting) in self.queue.targets() {
            let RequestTarget::Asset(asset) = target else {
                continue;
            };
            let Some(record) = self.catalog.assets.get(asset) else {
                continue;
            };
            let deadline = self.queue.earliest_deadline(target).unwrap_or(now);
            let slack_ms = deadline.since(now).as_millis() as u64;
            let (asset, rank) = (record.name.clone(), head.rank);
            rows.push(DemandRow { asset, waiting: waiting as u32, rank, slack_ms });
        }
        for (asset, until) in &self.retry_demand_until {
            let waiting = self.queue.first(RequestTarget::Asset(*asset)).is_some();
            let ready = self.has_unlimited_replica(*asset);
            if let (false, false, Some(record)) = (waiting, ready, self.catalog.assets.get(*asset))
            {
                let slack_ms = until.since(now).as_millis() as u64;
                let (asset, rank) = (record.name.clone(), record.rank);
                rows.push(DemandRow { asset, waiting: 1, rank, slack_ms });
            }
        }
        rows
    }

    /// Unique name of the asset or service; empty if it was removed.
    pub(super) fn target_name(&self, target: RequestTarget) -> String {
        match target {
            RequestTarget::Asset(asset) => self
                .catalog
                .assets
                .get(asset)
                .map_or_else(String::new, |record| record.name.clone()),
            RequestTarget::Service(key) => self
                .catalog
                .services
                .get(key)
                .map_or_else(String::new, |record| record.name.clone()),
        }
    }
}
