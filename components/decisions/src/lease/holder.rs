//! The state of a lease that this process holds.

use std::collections::BTreeMap;

use crate::identity::HostIdentity;
use crate::time::Moment;
use crate::timing::TimingRules;

use super::record::LeaseRecord;

/// Most successors that a lease record names.
const MAX_SUCCESSORS: usize = 2;
/// Most rounds of promise requests kept; the oldest are dropped.
const MAX_PROMISE_ROUNDS: usize = 8;

/// One round of promise requests to all required successors.
#[derive(Debug, Clone)]
struct PromiseRound {
    /// When the promises were requested.
    asked_at: Moment,
    /// Successors that have not promised yet. Two of them may be processes of one host.
    missing: Vec<HostIdentity>,
}

/// A lease that this process holds, or held until its authority expired.
#[derive(Debug, Clone)]
pub struct HeldLease {
    /// Last record known to be stored.
    pub record: LeaseRecord,
    /// Version of `record` in the key-value service.
    pub version: u64,
    /// Time from which no order may be sent to an engine.
    pub authority_until: Moment,
    /// When the write that acquired the lease was sent.
    pub acquired_at: Moment,
    /// When the last renewal known to have succeeded was sent.
    pub renewed_at: Moment,
    /// A record sent but not confirmed. It may be stored, so its successors may be in force.
    pub unconfirmed: Option<LeaseRecord>,
    /// Whether a record that ends the lease was sent for `version` and may be stored. No promise
    /// extends the authority then, because a candidate needs none to take over.
    may_have_ended: bool,
    rounds: BTreeMap<u64, PromiseRound>,
    last_round: u64,
}

impl HeldLease {
    /// Starts with a record that was stored as `version` by a write sent at `sent`.
    pub fn new(record: LeaseRecord, version: u64, sent: Moment, timing: &TimingRules) -> Self {
        Self {
            record,
            version,
            authority_until: sent.after(timing.lease_authority()),
            acquired_at: sent,
            renewed_at: sent,
            unconfirmed: None,
            may_have_ended: false,
            rounds: BTreeMap::new(),
            last_round: 0,
        }
    }

    /// Returns the record to write next. Keeps the successors of an unconfirmed write, so that at
    /// most two lists of successors can be in force.
    pub fn next_record(&mut self, successors: Vec<HostIdentity>) -> LeaseRecord {
        let base = self.unconfirmed.as_ref().unwrap_or(&self.record);
        let successors = match &self.unconfirmed {
            Some(unconfirmed) => unconfirmed.successors.clone(),
            None => successors,
        };
        let next = LeaseRecord {
            holder: self.record.holder.clone(),
            epoch: self.record.epoch,
            renewals: base.renewals + 1,
            successors,
            ended: false,
        };
        self.unconfirmed = Some(next.clone());
        next
    }

    /// Ends the authority, because a record that ends the lease is about to be sent.
    pub fn end_authority(&mut self) {
        self.authority_until = Moment::default();
        self.may_have_ended = true;
    }

    /// Records that the stored record is this lease's, though an answer to its write was lost.
    pub fn observe_write(&mut self, record: LeaseRecord, version: u64) {
        // A write for the version before can't be stored any more.
        self.may_have_ended &= version == self.version;
        self.record = record;
        self.version = version;
        self.unconfirmed = None;
    }

    /// Records that a write sent at `sent` succeeded, and extends the authority.
    pub fn confirm_write(
        &mut self,
        record: LeaseRecord,
        version: u64,
        sent: Moment,
        timing: &TimingRules,
    ) {
        self.record = record;
        self.version = version;
        self.unconfirmed = None;
        self.may_have_ended = false;
        self.renewed_at = self.renewed_at.max(sent);
        let until = sent.after(timing.lease_authority());
        self.authority_until = self.authority_until.max(until);
        self.rounds.clear();
    }

    /// Successors that must all promise for an extension; `None` if no extension is possible.
    fn required_successors(&self) -> Option<Vec<HostIdentity>> {
        let mut union = self.record.successors.clone();
        if union.is_empty() || self.may_have_ended {
            return None;
        }
        if let Some(unconfirmed) = &self.unconfirmed {
            if unconfirmed.successors.is_empty() {
                return None;
            }
            union.extend(unconfirmed.successors.iter().cloned());
        }
        union.sort();
        union.dedup();
        Some(union)
    }

    /// Starts a round of promise requests. Returns its number and the successors that must
    /// promise, or `None` if no extension is possible.
    pub fn start_promise_round(&mut self, now: Moment) -> Option<(u64, Vec<HostIdentity>)> {
        let required_successors = self.required_successors()?;
        self.last_round += 1;
        let missing = required_successors.clone();
        self.rounds.insert(self.last_round, PromiseRound { asked_at: now, missing });
        while self.rounds.len() > MAX_PROMISE_ROUNDS {
            self.rounds.pop_first();
        }
        Some((self.last_round, required_successors))
    }

    /// Records a promise. The last one of a round extends the authority.
    pub fn record_promise(&mut self, from: &HostIdentity, round: u64, timing: &TimingRules) {
        let is_required = self.required_successors().is_some_and(|all| all.contains(from));
        let Some(current) = self.rounds.get_mut(&round).filter(|_| is_required) else {
            return;
        };
        current.missing.retain(|identity| identity != from);
        if !current.missing.is_empty() {
            return;
        }
        let until = current.asked_at.after(timing.promise_authority());
        let max_until = self.renewed_at.after(timing.max_extension);
        self.authority_until = self.authority_until.max(until.min(max_until));
    }

    /// Chooses successors among the reachable hosts, those of the current record first.
    pub fn choose_successors(&self, reachable: &[HostIdentity]) -> Vec<HostIdentity> {
        let known = &self.record.successors;
        let kept = reachable.iter().filter(|identity| known.contains(identity));
        let others = reachable.iter().filter(|identity| !known.contains(identity));
        choose_successors(&self.record.holder, kept.chain(others))
    }
}

/// Chooses successors of `holder` among `hosts`, the preferred ones first. As far as possible they are in other
/// zones than the holder and each other, so that the loss of a zone leaves one of the three.
pub fn choose_successors<'h>(
    holder: &HostIdentity,
    hosts: impl Iterator<Item = &'h HostIdentity>,
) -> Vec<HostIdentity> {
    let mut left: Vec<&HostIdentity> = hosts.collect();
    let mut chosen: Vec<HostIdentity> = Vec::new();
    while chosen.len() < MAX_SUCCESSORS && !left.is_empty() {
        let is_taken = |zone: &str| chosen.iter().chain([holder]).any(|host| host.zone == zone);
        let index = left.iter().position(|host| !is_taken(&host.zone)).unwrap_or(0);
        chosen.push(left.remove(index).clone());
    }
    chosen
}
