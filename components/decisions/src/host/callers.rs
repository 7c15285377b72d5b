//! Requests from their arrival to their dispatch or refusal.

use std::time::Duration;

use crate::admission::RequestRecord;
use crate::admission::RequestStage;
use crate::effect::DecisionKind;
use crate::effect::DecisionNote;
use crate::effect::HostEffect;
use crate::message::DemandRow;
use crate::request::CallerRequest;
use crate::request::RefusalOutcome;
use crate::request::RefusalReason;
use crate::request::RequestKey;
use crate::request::RequestRepeat;
use crate::request::RequestTarget;
use crate::request::RequestTicket;
use crate::time::Moment;

use super::refusals::reason_text;
use super::state::HostReducer;
use crate::admission::queue_key;

/// How long an asset that was refused as too late is still wanted for callers who come back.
const WANTED_TIME: Duration = Duration::from_secs(30);

impl HostReducer {
    /// A caller's request arrived.
    pub(super) fn arrived(
        &mut self,
        now: Moment,
        request: CallerRequest,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some((rank, span)) = self.class_of(request.target) else {
            let refusal =
                self.refusal(request.target, RefusalOutcome::NotRun, RefusalReason::Removed);
            effects.push(HostEffect::Refuse(request.ticket, refusal));
            return;
        };
        let limit = self.catalog.rules.max_waiting_per_caller as usize;
        if self.by_caller.get(&request.caller).is_some_and(|open| *open >= limit) {
            let refusal =
                self.refusal(request.target, RefusalOutcome::NotRun, RefusalReason::CallerLimit);
            effects.push(HostEffect::Refuse(request.ticket, refusal));
            return;
        }
        *self.by_caller.entry(request.caller).or_default() += 1;
        if let RequestTarget::Asset(asset) = request.target {
            let tokens = request.terms.as_ref().map_or(0, |terms| terms.prompt.input);
            self.used.entry(asset).or_default().add(1, u64::from(tokens));
        }
        let rank = request.terms.as_ref().map_or(rank, |terms| terms.rank);
        let deadline = now.after(request.deadline.unwrap_or(span));
        let keyed = matches!(request.repeat, RequestRepeat::Keyed(_));
        let record = RequestRecord {
            ticket: request.ticket,
            target: request.target,
            repeat: request.repeat,
            rank,
            arrived: now,
            deadline,
            stage: if keyed { RequestStage::Claiming } else { RequestStage::Waiting },
            attempts: 0,
            settled: false,
            may_have_run: false,
            claim: None,
            caller: request.caller,
            terms: request.terms,
            runs: 0,
            tried: Vec::new(),
            failure: None,
        };
        self.retries.requested(now, self.service_of(request.target));
        let key = self.requests.insert(record);
        self.tickets.insert(request.ticket, key);
        self.deadlines.insert((deadline, key));
        if keyed {
            self.claim(key, 0, effects);
        } else {
            self.wait(now, key, effects);
        }
    }

    fn class_of(&self, target: RequestTarget) -> Option<(u8, Duration)> {
        match target {
            RequestTarget::Asset(asset) => {
                self.catalog.assets.get(asset).map(|record| (record.rank, record.deadline))
            }
            RequestTarget::Service(key) => {
                self.catalog.services.get(key).map(|record| (record.rank, record.deadline))
            }
        }
    }

    /// Puts a request into the queue and serves it if possible.
    pub(super) fn wait(&mut self, now: Moment, key: RequestKey, effects: &mut Vec<HostEffect>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.stage = RequestStage::Waiting;
        let target = request.target;
        let place = queue_key(key, request);
        self.queue.push(target, place);
        self.pump(now, target, effects);
        if !self.requests.get(key).is_some_and(|request| request.stage == RequestStage::Waiting) {
            return;
        }
        if let Some(reason) = self.unservable_reason(now, key) {
            if let RequestTarget::Asset(asset) = target {
                self.wanted_until.insert(asset, now.after(WANTED_TIME));
            }
            self.refuse(key, RefusalOutcome::NotRun, reason, effects);
        } else if self.queue.len() > self.catalog.rules.max_waiting as usize {
            self.shed(effects);
        }
        self.leader_link.dirty |= matches!(target, RequestTarget::Asset(_));
    }

    /// Why a waiting request cannot be served in time, if that is known already.
    fn unservable_reason(&self, now: Moment, key: RequestKey) -> Option<RefusalReason> {
        let request = &self.requests[key];
        let RequestTarget::Asset(asset) = request.target else {
            return None;
        };
        if !self.view.ready(asset).is_empty() {
            return None;
        }
        if self.declined.contains(&asset) {
            return Some(RefusalReason::NoCapacity);
        }
        let coming = !self.view.held(asset).is_empty();
        let late = !coming && request.deadline < now.after(self.least_load(asset));
        late.then_some(RefusalReason::TooLate)
    }

    /// Refuses the least important waiting request.
    fn shed(&mut self, effects: &mut Vec<HostEffect>) {
        if let Some(last) = self.queue.last() {
            let reason = RefusalReason::QueueFull;
            self.refuse(last.request, RefusalOutcome::NotRun, reason, effects);
        }
    }

    /// Refuses a request and ends it, unless it must go on without its caller.
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
            self.settle(key, effects);
            return;
        }
        let request = &self.requests[key];
        let claims_unrun = outcome == RefusalOutcome::NotRun && request.may_have_run;
        let outcome = if claims_unrun { RefusalOutcome::Unknown } else { outcome };
        let refusal = self.refusal(request.target, outcome, reason);
        if !request.settled {
            effects.push(HostEffect::Note(DecisionNote {
                kind: DecisionKind::Refuse,
                ticket: Some(request.ticket),
                subject: self.target_name(request.target),
                choice: format!("{outcome:?}"),
                reason: reason_text(reason),
                alternatives: 0,
            }));
            effects.push(HostEffect::Refuse(self.requests[key].ticket, refusal));
        }
        self.settle(key, effects);
    }

    /// Ends the caller's part of a request; the rest ends as soon as it may.
    pub(super) fn settle(&mut self, key: RequestKey, effects: &mut Vec<HostEffect>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.settled = true;
        let (ticket, attempt) = (request.ticket, request.attempts);
        let cancellable = request.is_cancellable();
        let deadline = request.deadline;
        match request.stage {
            // The answer of the ledger decides what is left to be cleaned up.
            RequestStage::Claiming => {}
            RequestStage::Waiting => {
                let place = queue_key(key, request);
                let target = request.target;
                self.queue.remove(target, place);
                self.leader_link.dirty = true;
                self.drop_claim(key, effects);
                self.remove(key);
            }
            RequestStage::Dispatched(_) | RequestStage::Streaming(_) => {
                if cancellable {
                    effects.push(HostEffect::Cancel(ticket, attempt));
                }
            }
        }
        self.deadlines.remove(&(deadline, key));
    }

    /// Takes a request out of all lists.
    pub(super) fn remove(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.remove(key) {
            if let Some(open) = self.by_caller.get_mut(&request.caller) {
                *open -= 1;
                if *open == 0 {
                    self.by_caller.remove(&request.caller);
                }
            }
            self.tickets.remove(&request.ticket);
            self.deadlines.remove(&(request.deadline, key));
        }
    }

    /// The caller went away.
    pub(super) fn caller_left(
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
            effects.push(HostEffect::Note(DecisionNote {
                kind: DecisionKind::Abandon,
                ticket: Some(ticket),
                subject: self.target_name(request.target),
                choice: format!("after {waited} ms"),
                reason: stage_text(request.stage),
                alternatives: 0,
            }));
        }
        self.settle(key, effects);
    }

    /// Refuses every request whose time is up.
    pub(super) fn expire(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
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
                RequestStage::Claiming if self.ledger.has_earlier(key) => {
                    (RefusalOutcome::Unknown, RefusalReason::EarlierCall)
                }
                RequestStage::Claiming => (RefusalOutcome::NotRun, RefusalReason::LedgerAway),
                RequestStage::Waiting => (RefusalOutcome::NotRun, RefusalReason::DeadlinePassed),
                RequestStage::Dispatched(_) | RequestStage::Streaming(_) => {
                    (RefusalOutcome::Unknown, RefusalReason::DeadlinePassed)
                }
            };
            self.refuse(key, outcome, reason, effects);
        }
    }

    /// Refuses every waiting request: this process ends.
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

    /// Refuses waiting requests whose asset or service is gone.
    pub(super) fn refuse_removed(&mut self, effects: &mut Vec<HostEffect>) {
        let targets: Vec<RequestTarget> =
            self.queue.targets().map(|(target, _, _)| target).collect();
        for target in targets {
            if self.class_of(target).is_some() {
                continue;
            }
            while let Some(head) = self.queue.first(target) {
                let reason = RefusalReason::Removed;
                self.refuse(head.request, RefusalOutcome::NotRun, reason, effects);
            }
        }
    }

    /// Everything that waits for a replica here.
    pub(super) fn demand_rows(&self, now: Moment) -> Vec<DemandRow> {
        let mut rows = Vec::new();
        for (target, head, waiting) in self.queue.targets() {
            let RequestTarget::Asset(asset) = target else {
                continue;
            };
            let Some(record) = self.catalog.assets.get(asset) else {
                continue;
            };
            let earliest = self.queue.earliest(target).unwrap_or(now);
            let slack_ms = earliest.since(now).as_millis() as u64;
            let (asset, rank) = (record.name.clone(), head.rank);
            rows.push(DemandRow { asset, waiting: waiting as u32, rank, slack_ms });
        }
        for (asset, until) in &self.wanted_until {
            let waiting = self.queue.first(RequestTarget::Asset(*asset)).is_some();
            let ready = !self.view.ready(*asset).is_empty();
            if let (false, false, Some(record)) = (waiting, ready, self.catalog.assets.get(*asset))
            {
                let slack_ms = until.since(now).as_millis() as u64;
                let (asset, rank) = (record.name.clone(), record.rank);
                rows.push(DemandRow { asset, waiting: 1, rank, slack_ms });
            }
        }
        rows
    }

    fn target_name(&self, target: RequestTarget) -> String {
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

fn stage_text(stage: RequestStage) -> &'static str {
    match stage {
        RequestStage::Claiming => "waited for the ledger",
        RequestStage::Waiting => "waited for an upstream",
        RequestStage::Dispatched(_) => "waited for an answer",
        RequestStage::Streaming(_) => "was being answered",
    }
}
