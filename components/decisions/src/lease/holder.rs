//! A lease that this process holds.

use std::collections::BTreeMap;

use crate::identity::HostStamp;
use crate::time::Moment;
use crate::timing::TimingRules;

use super::record::LeaseRecord;

/// Successors named in a lease.
const MAX_SUCCESSORS: usize = 2;
/// Rounds of promises that are remembered.
const MAX_ROUNDS: usize = 8;

/// One round of asking for promises.
#[derive(Debug, Clone)]
struct PromiseRound {
    sent: Moment,
    /// Names of the successors whose promise is still missing.
    missing: Vec<String>,
}

/// A lease that this process holds, or held until it lapsed.
#[derive(Debug, Clone)]
pub struct HeldLease {
    /// The record as last confirmed.
    pub record: LeaseRecord,
    /// Version of that record.
    pub version: u64,
    /// No order may be written at or after this moment.
    pub authority_until: Moment,
    /// When the lease was taken.
    pub since: Moment,
    /// When the last renewal that is known to have succeeded was sent.
    pub renewed: Moment,
    /// A renewal that may have been written; its list of successors may be in force.
    pub unsettled: Option<LeaseRecord>,
    rounds: BTreeMap<u64, PromiseRound>,
    last_round: u64,
}

impl HeldLease {
    /// Starts with a record whose write was sent at `sent`.
    pub fn new(record: LeaseRecord, version: u64, sent: Moment, timing: &TimingRules) -> Self {
        Self {
            record,
            version,
            authority_until: sent.after(timing.lease_authority()),
            since: sent,
            renewed: sent,
            unsettled: None,
            rounds: BTreeMap::new(),
            last_round: 0,
        }
    }

    /// The record to write next. While an earlier write is unsettled its successors are kept, so
    /// that at most two lists can be in force.
    pub fn next_record(&mut self, successors: Vec<HostStamp>) -> LeaseRecord {
        let base = self.unsettled.as_ref().unwrap_or(&self.record);
        let successors = match &self.unsettled {
            Some(unsettled) => unsettled.successors.clone(),
            None => successors,
        };
        let next = LeaseRecord {
            holder: self.record.holder.clone(),
            epoch: self.record.epoch,
            renewals: base.renewals + 1,
            successors,
            ended: false,
        };
        self.unsettled = Some(next.clone());
        next
    }

    /// Notes that a write sent at `sent` is in force.
    pub fn confirmed(
        &mut self,
        record: LeaseRecord,
        version: u64,
        sent: Moment,
        timing: &TimingRules,
    ) {
        self.record = record;
        self.version = version;
        self.unsettled = None;
        self.renewed = self.renewed.max(sent);
        let until = sent.after(timing.lease_authority());
        self.authority_until = self.authority_until.max(until);
        self.rounds.clear();
    }

    /// Everyone whose promise an extension needs; `None` when no extension is allowed.
    fn guarantors(&self) -> Option<Vec<HostStamp>> {
        let mut union = self.record.successors.clone();
        if union.is_empty() {
            return None;
        }
        if let Some(unsettled) = &self.unsettled {
            if unsettled.successors.is_empty() {
                return None;
            }
            union.extend(unsettled.successors.iter().cloned());
        }
        union.sort();
        union.dedup();
        Some(union)
    }

    /// Starts a round of asking; returns its number and whom to ask.
    pub fn start_round(&mut self, now: Moment) -> Option<(u64, Vec<HostStamp>)> {
        let guarantors = self.guarantors()?;
        self.last_round += 1;
        let missing = guarantors.iter().map(|stamp| stamp.name.clone()).collect();
        self.rounds.insert(self.last_round, PromiseRound { sent: now, missing });
        while self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_first();
        }
        Some((self.last_round, guarantors))
    }

    /// Takes in one promise; the authority grows once all of a round are there.
    pub fn promised(&mut self, from: &HostStamp, round: u64, timing: &TimingRules) {
        let listed = self.guarantors().is_some_and(|all| all.contains(from));
        let Some(current) = self.rounds.get_mut(&round).filter(|_| listed) else {
            return;
        };
        current.missing.retain(|name| *name != from.name);
        if !current.missing.is_empty() {
            return;
        }
        let until = current.sent.after(timing.promise_authority());
        let limit = self.renewed.after(timing.max_extension);
        self.authority_until = self.authority_until.max(until.min(limit));
    }

    /// Chooses successors: those of the present record that are still heard, then others.
    pub fn choose_successors(&self, heard: &[HostStamp]) -> Vec<HostStamp> {
        let kept = self.record.successors.iter().filter(|stamp| heard.contains(stamp));
        let mut chosen: Vec<HostStamp> = kept.cloned().collect();
        for stamp in heard {
            if chosen.len() < MAX_SUCCESSORS && !chosen.contains(stamp) {
                chosen.push(stamp.clone());
            }
        }
        chosen.truncate(MAX_SUCCESSORS);
        chosen
    }
}
