//! Non-idempotent calls with a key: claiming, finishing and settling their ledger records.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admission::RequestStage;
use crate::effect::HostEffect;
use crate::identity::HostStamp;
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

/// Between two tries to record an outcome.
const FINISH_RETRY: Duration = Duration::from_millis(500);
/// Between a lost answer and the look whether the write took effect.
const READ_BACK_RETRY: Duration = Duration::from_millis(100);
/// Between two questions to the holder of an earlier claim.
const ASK_RETRY: Duration = Duration::from_millis(500);

/// An outcome that is not known to be recorded yet.
#[derive(Debug, Clone)]
struct PendingFinish {
    version: u64,
    record: LedgerRecord,
    /// `None` while a write is on its way.
    next_try: Option<Moment>,
}

/// A request that waits for the holder of an earlier claim.
#[derive(Debug, Clone)]
struct EarlierCall {
    claim: LedgerClaim,
    version: u64,
    next_ask: Moment,
    /// When the record was found.
    since: Moment,
}

/// This host's calls that the ledger knows, or will.
#[derive(Debug, Clone, Default)]
pub struct CallLedger {
    last_sequence: u64,
    /// Sequence of each live request's claim.
    live: BTreeMap<RequestKey, u64>,
    finishes: BTreeMap<LedgerKey, PendingFinish>,
    earlier: BTreeMap<RequestKey, EarlierCall>,
    /// Requests whose claim was not answered, and when to read its record back.
    read_backs: BTreeMap<RequestKey, Moment>,
}

impl CallLedger {
    /// Whether the request waits for what became of an earlier call with its key.
    pub fn has_earlier(&self, key: RequestKey) -> bool {
        self.earlier.contains_key(&key)
    }

    /// Outcomes not recorded yet.
    pub fn unrecorded(&self) -> usize {
        self.finishes.len()
    }
}

impl HostReducer {
    fn ledger_key(&self, key: RequestKey) -> Option<LedgerKey> {
        match &self.requests.get(key)?.repeat {
            RequestRepeat::Keyed(ledger_key) => Some(ledger_key.clone()),
            _ => None,
        }
    }

    /// The record by which `key` claims the right to dispatch.
    fn claim_record(&mut self, key: RequestKey, fingerprint: u64) -> LedgerRecord {
        let ledger = &mut self.ledger;
        let sequence = *ledger.live.entry(key).or_insert_with(|| {
            ledger.last_sequence += 1;
            ledger.last_sequence
        });
        let claim = LedgerClaim { host: self.me.clone(), sequence };
        LedgerRecord { claim, fingerprint, state: LedgerState::Claimed }
    }

    /// Writes a claim over version `expected` of the record; 0 creates it.
    pub(super) fn claim(&mut self, key: RequestKey, expected: u64, effects: &mut Vec<HostEffect>) {
        let Some(ledger_key) = self.ledger_key(key) else {
            return;
        };
        let record = self.claim_record(key, ledger_key.fingerprint);
        let op = StoreOp::Swap {
            key: store_key(&ledger_key),
            expected,
            value: record.to_value(),
            lasting: Some(self.retention()),
        };
        self.registry.call(CallPurpose::LedgerClaim(key), op, effects);
    }

    /// The claim's write was answered.
    pub(super) fn claim_answered(
        &mut self,
        now: Moment,
        key: RequestKey,
        outcome: StoreOutcome,
        effects: &mut Vec<HostEffect>,
    ) {
        match outcome {
            StoreOutcome::Done { version } => self.claimed(now, key, version, effects),
            StoreOutcome::Found { version, value } => {
                self.claim_found(now, key, version, &value, effects);
            }
            StoreOutcome::Absent => self.read_back(key, effects),
            StoreOutcome::Failed => self.read_back_later(now, key),
        }
    }

    /// Settles a lost answer by reading the record.
    fn read_back(&mut self, key: RequestKey, effects: &mut Vec<HostEffect>) {
        let Some(ledger_key) = self.ledger_key(key) else {
            return;
        };
        if self.requests[key].settled {
            // Nothing was dispatched and nothing will be; whoever finds the record asks here.
            self.forget_call(key);
            return;
        }
        let op = StoreOp::Read { key: store_key(&ledger_key) };
        self.registry.call(CallPurpose::LedgerReadBack(key), op, effects);
    }

    fn read_back_later(&mut self, now: Moment, key: RequestKey) {
        self.ledger.read_backs.insert(key, now.after(READ_BACK_RETRY));
    }

    /// The record was read back.
    pub(super) fn read_back_answered(
        &mut self,
        now: Moment,
        key: RequestKey,
        outcome: StoreOutcome,
        effects: &mut Vec<HostEffect>,
    ) {
        match outcome {
            StoreOutcome::Found { version, value } => {
                self.claim_found(now, key, version, &value, effects);
            }
            StoreOutcome::Absent => self.claim(key, 0, effects),
            StoreOutcome::Failed | StoreOutcome::Done { .. } => self.read_back_later(now, key),
        }
    }

    /// The record is this request's own.
    fn claimed(
        &mut self,
        now: Moment,
        key: RequestKey,
        version: u64,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(sequence) = self.ledger.live.get(&key).copied() else {
            return;
        };
        self.ledger.earlier.remove(&key);
        let claim = LedgerClaim { host: self.me.clone(), sequence };
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.claim = Some((claim, version));
        if request.settled {
            self.drop_claim(key, effects);
            self.remove(key);
        } else if request.stage == RequestStage::Claiming {
            self.wait(now, key, effects);
        }
    }

    /// The record exists already.
    fn claim_found(
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
            self.end_call(key, RefusalOutcome::Unknown, RefusalReason::EarlierCall, effects);
            return;
        };
        let own = self.ledger.live.get(&key) == Some(&record.claim.sequence);
        if own && record.claim.host == self.me {
            self.claimed(now, key, version, effects);
            return;
        }
        if self.requests[key].settled {
            self.forget_call(key);
            return;
        }
        if record.fingerprint != ledger_key.fingerprint {
            self.end_call(key, RefusalOutcome::NotRun, RefusalReason::KeyReused, effects);
            return;
        }
        let verdict = match record.state {
            LedgerState::Claimed => {
                let call = EarlierCall { claim: record.claim, version, next_ask: now, since: now };
                self.ledger.earlier.insert(key, call);
                self.ask_holder(now, key, effects);
                return;
            }
            LedgerState::Done(answer) => LedgerVerdict::Done(answer),
            LedgerState::DoneUnkept => LedgerVerdict::DoneUnkept,
            LedgerState::Unknown => LedgerVerdict::Unknown,
        };
        self.follow_verdict(key, &verdict, effects);
    }

    /// Asks the holder of an earlier claim what became of it.
    fn ask_holder(&mut self, now: Moment, key: RequestKey, effects: &mut Vec<HostEffect>) {
        let Some(ledger_key) = self.ledger_key(key) else {
            return;
        };
        let Some(call) = self.ledger.earlier.get_mut(&key) else {
            return;
        };
        call.next_ask = now.after(ASK_RETRY);
        let silent = now.since(call.since) >= self.timing.peer_timeout;
        let claim = call.claim.clone();
        if claim.host == self.me {
            let verdict = self.verdict(&ledger_key, &claim);
            self.follow_verdict(key, &verdict, effects);
            return;
        }
        if silent {
            // A process that took the holder's place would have answered that it does not know.
            self.follow_verdict(key, &LedgerVerdict::Unknown, effects);
            return;
        }
        let holder = claim.host.clone();
        let message = PeerMessage::LedgerAsk { key: ledger_key, claim };
        effects.push(HostEffect::send(holder, message));
    }

    /// What this process knows of one of its own claims.
    fn verdict(&self, key: &LedgerKey, claim: &LedgerClaim) -> LedgerVerdict {
        let live = self.ledger.live.iter().find(|(_, sequence)| **sequence == claim.sequence);
        let finish = self.ledger.finishes.get(key).filter(|finish| finish.record.claim == *claim);
        if let Some(finish) = finish {
            return match &finish.record.state {
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
            // A settled request is never dispatched, and a sequence is never used again. A call
            // that ended is recorded by now, so that its record can no longer be taken over.
            _ => LedgerVerdict::NeverDispatched,
        }
    }

    /// Another host asks about a claim of this one.
    pub(super) fn ledger_asked(
        &mut self,
        from: HostStamp,
        key: LedgerKey,
        claim: LedgerClaim,
        effects: &mut Vec<HostEffect>,
    ) {
        let verdict =
            if claim.host == self.me { self.verdict(&key, &claim) } else { LedgerVerdict::Unknown };
        effects.push(HostEffect::send(from, PeerMessage::LedgerTell { key, claim, verdict }));
    }

    /// A holder tells what became of its claim.
    pub(super) fn ledger_told(
        &mut self,
        key: &LedgerKey,
        claim: &LedgerClaim,
        verdict: &LedgerVerdict,
        effects: &mut Vec<HostEffect>,
    ) {
        let waiting: Vec<RequestKey> = self
            .ledger
            .earlier
            .iter()
            .filter(|(_, call)| call.claim == *claim)
            .map(|(request, _)| *request)
            .collect();
        for request in waiting {
            if self.ledger_key(request).as_ref() == Some(key) {
                self.follow_verdict(request, verdict, effects);
            }
        }
    }

    fn follow_verdict(
        &mut self,
        key: RequestKey,
        verdict: &LedgerVerdict,
        effects: &mut Vec<HostEffect>,
    ) {
        let earlier = self.ledger.earlier.remove(&key);
        let reason = RefusalReason::EarlierCall;
        match verdict {
            LedgerVerdict::NeverDispatched => {
                if self.requests.get(key).is_some_and(|request| request.settled) {
                    self.forget_call(key);
                } else if let Some(call) = earlier {
                    self.claim(key, call.version, effects);
                }
            }
            LedgerVerdict::Done(answer) => self.repeat_answer(key, answer.clone(), effects),
            LedgerVerdict::InProgress => {
                self.end_call(key, RefusalOutcome::InProgress, reason, effects);
            }
            LedgerVerdict::DoneUnkept => {
                self.end_call(key, RefusalOutcome::Ran, reason, effects);
            }
            LedgerVerdict::Unknown => {
                self.end_call(key, RefusalOutcome::Unknown, reason, effects);
            }
        }
    }

    fn repeat_answer(
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
        self.settle(key, effects);
        self.forget_call(key);
    }

    /// Refuses a request whose record belongs to another one.
    fn end_call(
        &mut self,
        key: RequestKey,
        outcome: RefusalOutcome,
        reason: RefusalReason,
        effects: &mut Vec<HostEffect>,
    ) {
        self.refuse(key, outcome, reason, effects);
        self.forget_call(key);
    }

    /// Forgets a request that holds no record and was never dispatched.
    fn forget_call(&mut self, key: RequestKey) {
        self.ledger.live.remove(&key);
        self.ledger.earlier.remove(&key);
        self.remove(key);
    }

    /// Drops the record of a call that was not run and never will be.
    pub(super) fn drop_claim(&mut self, key: RequestKey, effects: &mut Vec<HostEffect>) {
        let Some(ledger_key) = self.ledger_key(key) else {
            return;
        };
        self.ledger.live.remove(&key);
        self.ledger.earlier.remove(&key);
        let Some((_, version)) = self.requests[key].claim.take() else {
            return;
        };
        // Even if this is lost the claim is void: whoever finds the record asks here.
        let op = StoreOp::Delete { key: store_key(&ledger_key), expected: version };
        self.registry.call(CallPurpose::LedgerDrop, op, effects);
    }

    /// Records how a call ended.
    pub(super) fn finish(
        &mut self,
        now: Moment,
        key: RequestKey,
        state: LedgerState,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(ledger_key) = self.ledger_key(key) else {
            return;
        };
        self.ledger.live.remove(&key);
        let Some((claim, version)) = self.requests[key].claim.take() else {
            return;
        };
        let fingerprint = ledger_key.fingerprint;
        let record = LedgerRecord { claim, fingerprint, state };
        let finish = PendingFinish { version, record, next_try: Some(now) };
        self.ledger.finishes.insert(ledger_key.clone(), finish);
        self.write_finish(&ledger_key, effects);
    }

    /// How long the service is to keep a record.
    fn retention(&self) -> Duration {
        self.catalog.rules.ledger_retention.0
    }

    fn write_finish(&mut self, key: &LedgerKey, effects: &mut Vec<HostEffect>) {
        let lasting = Some(self.retention());
        let Some(finish) = self.ledger.finishes.get_mut(key) else {
            return;
        };
        finish.next_try = None;
        let op = StoreOp::Swap {
            key: store_key(key),
            expected: finish.version,
            value: finish.record.to_value(),
            lasting,
        };
        self.registry.call(CallPurpose::LedgerFinish(key.clone()), op, effects);
    }

    /// The outcome's write was answered.
    pub(super) fn finish_answered(&mut self, now: Moment, key: &LedgerKey, outcome: &StoreOutcome) {
        if *outcome != StoreOutcome::Failed {
            // Written now, or written before with a lost answer, or collected.
            self.ledger.finishes.remove(key);
        } else if let Some(finish) = self.ledger.finishes.get_mut(key) {
            finish.next_try = Some(now.after(FINISH_RETRY));
        }
    }

    /// Tries again what has not been recorded, and asks again what has not been told.
    pub(super) fn ledger_tick(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let due = |finish: &PendingFinish| finish.next_try.is_some_and(|next| next <= now);
        let finishes: Vec<LedgerKey> = self
            .ledger
            .finishes
            .iter()
            .filter(|(_, finish)| due(finish))
            .map(|(key, _)| key.clone())
            .collect();
        for key in finishes {
            self.write_finish(&key, effects);
        }
        let reads: Vec<RequestKey> = self
            .ledger
            .read_backs
            .iter()
            .filter(|(_, due)| **due <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in reads {
            self.ledger.read_backs.remove(&key);
            self.read_back(key, effects);
        }
        let asks: Vec<RequestKey> = self
            .ledger
            .earlier
            .iter()
            .filter(|(_, call)| call.next_ask <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in asks {
            self.ask_holder(now, key, effects);
        }
    }
}
