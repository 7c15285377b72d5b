//! Ledger records of non-idempotent calls with a key: claims, outcomes and earlier calls.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admission::RequestStage;
use crate::effect::HostEffect;
use crate::identity::HostIdentity;
use crate::ledger::LedgerClaim;
use crate::ledger::LedgerRecord;
use crate::ledger::LedgerState;
use crate::ledger::LedgerVerdict;
use crate::ledger::store_key;
use crate::message::PeerMessage;
use crate::registry::CallPurpose;
use crate::request::LedgerKey;
use crate::request::RecordedAnswer;
use crate::request::RefusalOutcome;
use crate::request::RefusalReason;
use crate::request::RequestKey;
use crate::request::RequestRepeat;
use crate::store::StoreOp;
use crate::store::StoreOutcome;
use crate::time::Moment;

use super::state::HostReducer;

/// Delay before the unanswered write of an outcome is retried.
const OUTCOME_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Delay before a claim is read back to see whether its unanswered write took effect.
const READ_BACK_DELAY: Duration = Duration::from_millis(100);
/// Interval between queries to the holder of an earlier claim.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Outcome of a call whose write to the ledger has not been confirmed.
#[derive(Debug, Clone)]
struct PendingOutcome {
    /// Version of the ledger record to overwrite.
    version: u64,
    record: LedgerRecord,
    /// When to write again; `None` while a write waits for its reply.
    retry_at: Option<Moment>,
}

/// Claim of an earlier call with the same key, whose outcome a request waits for.
#[derive(Debug, Clone)]
struct EarlierCall {
    claim: LedgerClaim,
    version: u64,
    next_query: Moment,
    /// When the earlier claim was found.
    since: Moment,
}

/// State of this host's keyed calls between their claim and their recorded outcome.
#[derive(Debug, Clone, Default)]
pub struct CallLedger {
    /// Sequence number of the latest claim.
    last_sequence: u64,
    /// Sequence number of the claim of each request that has one written or pending.
    live_claims: BTreeMap<RequestKey, u64>,
    pending_outcomes: BTreeMap<LedgerKey, PendingOutcome>,
    /// Requests that wait for the outcome of an earlier call.
    earlier_calls: BTreeMap<RequestKey, EarlierCall>,
    /// Requests whose claim's write got no answer, and when to read the record back.
    read_backs: BTreeMap<RequestKey, Moment>,
}

impl CallLedger {
    /// Whether the request waits for the outcome of an earlier call with its key.
    pub fn awaits_earlier_call(&self, key: RequestKey) -> bool {
        self.earlier_calls.contains_key(&key)
    }

    /// Number of outcomes whose write has not been confirmed.
    pub fn unrecorded(&self) -> usize {
        self.pending_outcomes.len()
    }
}

impl HostReducer {
    /// Ledger key of an open request; `None` if it is not keyed.
    fn ledger_key(&self, key: RequestKey) -> Option<LedgerKey> {
        match &self.requests.get(key)?.repeat {
            RequestRepeat::Keyed(ledger_key) => Some(ledger_key.clone()),
            _ => None,
        }
    }

    /// The record that claims the right to dispatch for `key`. A retry of the write reuses the
    /// sequence number.
    fn claim_record(&mut self, key: RequestKey, fingerprint: u64) -> LedgerRecord {
        let ledger = &mut self.ledger;
        let sequence = *ledger.live_claims.entry(key).or_insert_with(|| {
            ledger.last_sequence += 1;
            ledger.last_sequence
        });
        let claim = LedgerClaim { host: self.me.clone(), sequence };
        LedgerRecord { claim, fingerprint, state: LedgerState::Claimed }
    }

    /// Writes a claim that replaces version `expected` of the record; 0 creates it.
    pub(super) fn write_claim(
        &mut self,
        key: RequestKey,
        expected: u64,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(ledger_key) = self.ledger_key(key) else {
            return;
        };
        let record = self.claim_record(key, ledger_key.fingerprint);
        let op = StoreOp::CompareAndSwap {
            key: store_key(&ledger_key),
            expected,
            value: record.to_value(),
            ttl: Some(self.record_retention()),
        };
        self.store_calls.call(CallPurpose::LedgerClaim(key), op, effects);
    }

    /// Handles the reply to the write of a claim.
    pub(super) fn handle_claim_reply(
        &mut self,
        now: Moment,
        key: RequestKey,
        outcome: StoreOutcome,
        effects: &mut Vec<HostEffect>,
    ) {
        match outcome {
            StoreOutcome::Done { version } => self.claim_succeeded(now, key, version, effects),
            StoreOutcome::Found { version, value } => {
                self.handle_existing_record(now, key, version, &value, effects);
            }
            StoreOutcome::Absent { .. } => self.read_back(key, effects),
            StoreOutcome::Failed => self.schedule_read_back(now, key),
        }
    }

    /// Reads the record of a claim whose write may or may not have taken effect.
    fn read_back(&mut self, key: RequestKey, effects: &mut Vec<HostEffect>) {
        let Some(ledger_key) = self.ledger_key(key) else {
            return;
        };
        if self.requests[key].settled {
            // A settled request is never dispatched, so the claim is void even if it was written: a
            // host that finds it queries this process, which replies `NeverDispatched`.
            self.discard_call(key);
            return;
        }
        let op = StoreOp::Read { key: store_key(&ledger_key) };
        self.store_calls.call(CallPurpose::LedgerReadBack(key), op, effects);
    }

    /// Schedules reading a claim back after an unanswered store call.
    fn schedule_read_back(&mut self, now: Moment, key: RequestKey) {
        self.ledger.read_backs.insert(key, now.after(READ_BACK_DELAY));
    }

    /// Handles the reply to reading a claim's record back.
    pub(super) fn handle_read_back(
        &mut self,
        now: Moment,
        key: RequestKey,
        outcome: StoreOutcome,
        effects: &mut Vec<HostEffect>,
    ) {
        match outcome {
            StoreOutcome::Found { version, value } => {
                self.handle_existing_record(now, key, version, &value, effects);
            }
            StoreOutcome::Absent { version } => self.write_claim(key, version, effects),
            StoreOutcome::Failed | StoreOutcome::Done { .. } => self.schedule_read_back(now, key),
        }
    }

    /// Queues a request whose claim is in force, or deletes the claim if it is settled.
    fn claim_succeeded(
        &mut self,
        now: Moment,
        key: RequestKey,
        version: u64,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(sequence) = self.ledger.live_claims.get(&key).copied() else {
            return;
        };
        self.ledger.earlier_calls.remove(&key);
        let claim = LedgerClaim { host: self.me.clone(), sequence };
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.claim = Some((claim, version));
        if request.settled {
            self.delete_claim(key, effects);
            self.remove_request(key);
        } else if request.stage == RequestStage::Claiming {
            self.enqueue(now, key, effects);
        }
    }

    /// Handles a record found under the request's key: its own claim, or an earlier call's.
    fn handle_existing_record(
        &mut self,
        now: Moment,
        key: RequestKey,
        version: u64,
        value: &str,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(ledger_key) = self.ledger_key(key) else {
            return;
        };
        let Some(record) = LedgerRecord::parse(value) else {
            self.refuse_call(key, RefusalOutcome::Unknown, RefusalReason::EarlierCall, effects);
            return;
        };
        let own = self.ledger.live_claims.get(&key) == Some(&record.claim.sequence);
        if own && record.claim.host == self.me {
            self.claim_succeeded(now, key, version, effects);
            return;
        }
        if self.requests[key].settled {
            self.discard_call(key);
            return;
        }
        if record.fingerprint != ledger_key.fingerprint {
            self.refuse_call(key, RefusalOutcome::NotRun, RefusalReason::KeyReused, effects);
            return;
        }
        let verdict = match record.state {
            LedgerState::Claimed => {
                let call =
                    EarlierCall { claim: record.claim, version, next_query: now, since: now };
                self.ledger.earlier_calls.insert(key, call);
                self.query_holder(now, key, effects);
                return;
            }
            LedgerState::Done(answer) => LedgerVerdict::Done(answer),
            LedgerState::DoneUnkept => LedgerVerdict::DoneUnkept,
            LedgerState::Unknown => LedgerVerdict::Unknown,
        };
        self.apply_verdict(key, &verdict, effects);
    }

    /// Queries the holder of an earlier claim for the outcome of its call, which counts as unknown
    /// if the holder does not reply within the peer timeout.
    fn query_holder(&mut self, now: Moment, key: RequestKey, effects: &mut Vec<HostEffect>) {
        let Some(ledger_key) = self.ledger_key(key) else {
            return;
        };
        let Some(call) = self.ledger.earlier_calls.get_mut(&key) else {
            return;
        };
        call.next_query = now.after(QUERY_INTERVAL);
        let timed_out = now.since(call.since) >= self.timing.peer_timeout;
        let claim = call.claim.clone();
        if claim.host == self.me {
            let verdict = self.own_verdict(&ledger_key, &claim);
            self.apply_verdict(key, &verdict, effects);
            return;
        }
        if timed_out {
            // A process that replaced the holder would have replied `Unknown`.
            self.apply_verdict(key, &LedgerVerdict::Unknown, effects);
            return;
        }
        let holder = claim.host.clone();
        let message = PeerMessage::LedgerQuery { key: ledger_key, claim };
        effects.push(HostEffect::send(holder, message));
    }

    /// Verdict on one of this process's own claims.
    fn own_verdict(&self, key: &LedgerKey, claim: &LedgerClaim) -> LedgerVerdict {
        let live =
            self.ledger.live_claims.iter().find(|(_, sequence)| **sequence == claim.sequence);
        let pending =
            self.ledger.pending_outcomes.get(key).filter(|pending| pending.record.claim == *claim);
        if let Some(pending) = pending {
            return match &pending.record.state {
                LedgerState::Done(answer) => LedgerVerdict::Done(answer.clone()),
                LedgerState::DoneUnkept => LedgerVerdict::DoneUnkept,
                LedgerState::Unknown | LedgerState::Claimed => LedgerVerdict::Unknown,
            };
        }
        let request = live.and_then(|(request, _)| self.requests.get(*request));
        match request {
            Some(request) if !request.settled || request.upstream().is_some() => {
                LedgerVerdict::InProgress
            }
            // A settled request is never dispatched, and a sequence number is never reused. If the
            // call ended, its outcome is recorded, and replacing the claim fails on the version.
            _ => LedgerVerdict::NeverDispatched,
        }
    }

    /// Replies to another host's query about a claim; `Unknown` if it is not this process's own.
    pub(super) fn answer_ledger_query(
        &mut self,
        from: HostIdentity,
        key: LedgerKey,
        claim: LedgerClaim,
        effects: &mut Vec<HostEffect>,
    ) {
        let verdict = if claim.host == self.me {
            self.own_verdict(&key, &claim)
        } else {
            LedgerVerdict::Unknown
        };
        effects.push(HostEffect::send(from, PeerMessage::LedgerReply { key, claim, verdict }));
    }

    /// Applies a verdict from the holder of a claim to all requests that wait for it.
    pub(super) fn handle_ledger_verdict(
        &mut self,
        key: &LedgerKey,
        claim: &LedgerClaim,
        verdict: &LedgerVerdict,
        effects: &mut Vec<HostEffect>,
    ) {
        let waiting: Vec<RequestKey> = self
            .ledger
            .earlier_calls
            .iter()
            .filter(|(_, call)| call.claim == *claim)
            .map(|(request, _)| *request)
            .collect();
        for request in waiting {
            if self.ledger_key(request).as_ref() == Some(key) {
                self.apply_verdict(request, verdict, effects);
            }
        }
    }

    /// Acts on the verdict on an earlier call: claims its key, replays its answer or refuses the
    /// request.
    fn apply_verdict(
        &mut self,
        key: RequestKey,
        verdict: &LedgerVerdict,
        effects: &mut Vec<HostEffect>,
    ) {
        let earlier = self.ledger.earlier_calls.remove(&key);
        let reason = RefusalReason::EarlierCall;
        match verdict {
            LedgerVerdict::NeverDispatched => {
                if self.requests.get(key).is_some_and(|request| request.settled) {
                    self.discard_call(key);
                } else if let Some(call) = earlier {
                    self.write_claim(key, call.version, effects);
                }
            }
            LedgerVerdict::Done(answer) => self.replay_answer(key, answer.clone(), effects),
            LedgerVerdict::InProgress => {
                self.refuse_call(key, RefusalOutcome::InProgress, reason, effects);
            }
            LedgerVerdict::DoneUnkept => {
                self.refuse_call(key, RefusalOutcome::Ran, reason, effects);
            }
            LedgerVerdict::Unknown => {
                self.refuse_call(key, RefusalOutcome::Unknown, reason, effects);
            }
        }
    }

    /// Answers a request with the recorded answer of the earlier call.
    fn replay_answer(
        &mut self,
        key: RequestKey,
        answer: RecordedAnswer,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if !request.settled {
            effects.push(HostEffect::Answer(request.ticket, Box::new(answer)));
        }
        self.settle_request(key, effects);
        self.discard_call(key);
    }

    /// Refuses a request whose ledger record belongs to an earlier call.
    fn refuse_call(
        &mut self,
        key: RequestKey,
        outcome: RefusalOutcome,
        reason: RefusalReason,
        effects: &mut Vec<HostEffect>,
    ) {
        self.refuse(key, outcome, reason, effects);
        self.discard_call(key);
    }

    /// Removes a request that has no claim in force and was never dispatched.
    fn discard_call(&mut self, key: RequestKey) {
        self.ledger.live_claims.remove(&key);
        self.ledger.earlier_calls.remove(&key);
        self.remove_request(key);
    }

    /// Deletes the record of a call that did not run and never will.
    pub(super) fn delete_claim(&mut self, key: RequestKey, effects: &mut Vec<HostEffect>) {
        let Some(ledger_key) = self.ledger_key(key) else {
            return;
        };
        self.ledger.live_claims.remove(&key);
        self.ledger.earlier_calls.remove(&key);
        let Some((_, version)) = self.requests[key].claim.take() else {
            return;
        };
        // If the delete is lost, a host that finds the record queries this process, which replies
        // `NeverDispatched`.
        let op = StoreOp::Delete { key: store_key(&ledger_key), expected: version };
        self.store_calls.call(CallPurpose::LedgerDelete, op, effects);
    }

    /// Writes the outcome of a call to its ledger record, if the request holds a claim.
    pub(super) fn record_outcome(
        &mut self,
        now: Moment,
        key: RequestKey,
        state: LedgerState,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(ledger_key) = self.ledger_key(key) else {
            return;
        };
        self.ledger.live_claims.remove(&key);
        let Some((claim, version)) = self.requests[key].claim.take() else {
            return;
        };
        let fingerprint = ledger_key.fingerprint;
        let record = LedgerRecord { claim, fingerprint, state };
        let outcome = PendingOutcome { version, record, retry_at: Some(now) };
        self.ledger.pending_outcomes.insert(ledger_key.clone(), outcome);
        self.write_outcome(&ledger_key, effects);
    }

    /// How long the key-value service keeps a ledger record.
    fn record_retention(&self) -> Duration {
        self.catalog.rules.ledger_retention.0
    }

    /// Starts the write of a pending outcome; the next retry waits for the reply.
    fn write_outcome(&mut self, key: &LedgerKey, effects: &mut Vec<HostEffect>) {
        let ttl = Some(self.record_retention());
        let Some(pending) = self.ledger.pending_outcomes.get_mut(key) else {
            return;
        };
        pending.retry_at = None;
        let op = StoreOp::CompareAndSwap {
            key: store_key(key),
            expected: pending.version,
            value: pending.record.to_value(),
            ttl,
        };
        self.store_calls.call(CallPurpose::LedgerOutcome(key.clone()), op, effects);
    }

    /// Handles the reply to the write of an outcome.
    pub(super) fn handle_outcome_reply(
        &mut self,
        now: Moment,
        key: &LedgerKey,
        outcome: &StoreOutcome,
    ) {
        if *outcome != StoreOutcome::Failed {
            // The outcome was written now, or earlier with the reply lost, or the record expired.
            self.ledger.pending_outcomes.remove(key);
        } else if let Some(pending) = self.ledger.pending_outcomes.get_mut(key) {
            pending.retry_at = Some(now.after(OUTCOME_RETRY_DELAY));
        }
    }

    /// Retries the writes, read-backs and holder queries that are due.
    pub(super) fn ledger_tick(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let due = |pending: &PendingOutcome| pending.retry_at.is_some_and(|next| next <= now);
        let due_outcomes: Vec<LedgerKey> = self
            .ledger
            .pending_outcomes
            .iter()
            .filter(|(_, pending)| due(pending))
            .map(|(key, _)| key.clone())
            .collect();
        for key in due_outcomes {
            self.write_outcome(&key, effects);
        }
        let read_backs: Vec<RequestKey> = self
            .ledger
            .read_backs
            .iter()
            .filter(|(_, due)| **due <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in read_backs {
            self.ledger.read_backs.remove(&key);
            self.read_back(key, effects);
        }
        let queries: Vec<RequestKey> = self
            .ledger
            .earlier_calls
            .iter()
            .filter(|(_, call)| call.next_query <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in queries {
            self.query_holder(now, key, effects);
        }
    }
}
