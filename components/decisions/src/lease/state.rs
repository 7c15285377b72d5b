//! Acquires, renews, extends and releases the lease of one scope.

use std::time::Duration;

use rand::Rng;

use crate::effect::HostEffect;
use crate::era::era_of;
use crate::identity::HostIdentity;
use crate::membership::MemberDirectory;
use crate::message::PeerMessage;
use crate::message::StoredLease;
use crate::registry::CallPurpose;
use crate::registry::LeaseCall;
use crate::store::StoreOp;
use crate::store::StoreOutcome;
use crate::time::Moment;
use crate::timing::TimingRules;

use super::basis::EpochSource;
use super::basis::KnownEpoch;
use super::basis::TakeoverBasis;
use super::context::LeaseContext;
use super::epoch::is_current;
use super::epoch::next_epoch;
use super::ground::TakeoverGround;
use super::holder::HeldLease;
use super::holder::choose_successors;
use super::observed::ObservedRecord;
use super::record::LeaseRecord;
use super::record::lease_key;
use super::successor::SuccessorState;

/// Each candidate delays its takeover by a random time of up to this.
const TAKEOVER_JITTER: Duration = Duration::from_millis(400);
/// Extra delay of a takeover if another host has more CPU time: long enough for that host to
/// acquire the lease and announce it.
const SMALLER_HOST_DELAY: Duration = Duration::from_millis(500);
/// The holder releases the lease if another host has more than this many times its CPU time.
const YIELD_CAPACITY_RATIO: u32 = 2;
/// Time before another release for a larger host, in case that host did not acquire the lease.
const YIELD_COOLDOWN: Duration = Duration::from_secs(60);
/// Shortest term before the lease is released for a larger host.
const MIN_TERM_BEFORE_YIELD: Duration = Duration::from_secs(2);

/// One process's view of the lease of its scope, as holder, candidate and successor.
#[derive(Debug, Clone)]
pub struct LeaseState {
    observed: Option<ObservedRecord>,
    /// Record that the key-value service lost when it came back from an earlier copy, of the same epoch as the
    /// observed one or a later one. Its holder may have authority, by promises of its own successors.
    lost: Option<ObservedRecord>,
    /// Set if the service came back from an earlier copy while this process had authority: the version that
    /// was there then, and the end of that authority, before which no other process can have any.
    interrupted_term: Option<(u64, Moment)>,
    /// Process that ran before this one, if it held the lease when this one first saw the record. It has ended, so
    /// it sends no more orders and no promise can extend its lease.
    predecessor: Option<HostIdentity>,
    /// The lease that this process holds; its authority may have expired.
    held: Option<HeldLease>,
    successor: SuccessorState,
    /// Set while a call is unanswered. Calls are made one at a time to keep their answers in order.
    call_in_flight: bool,
    next_call: Moment,
    next_promise_round: Moment,
    /// The lease is not released for a larger host before this moment.
    next_yield: Moment,
    /// When to take over the observed version; `None` until a takeover is allowed.
    takeover_at: Option<Moment>,
    /// A takeover that may have been stored, and when the first write for the observed version was
    /// sent; an earlier write may have stored the same record.
    pending_takeover: Option<(LeaseRecord, Moment)>,
    /// On what this process based its last takeover.
    basis: Option<TakeoverBasis>,
    /// Highest epoch of any record or holder that this process heard of. A service that does not number its
    /// eras may have lost that record, but its holder's orders have used the epoch.
    highest_epoch: KnownEpoch,
    draining: bool,
}

impl LeaseState {
    /// Creates the state of a process that holds no lease.
    pub fn new(now: Moment) -> Self {
        Self {
            observed: None,
            lost: None,
            interrupted_term: None,
            predecessor: None,
            held: None,
            successor: SuccessorState::new(now),
            call_in_flight: false,
            next_call: now,
            next_promise_round: now,
            next_yield: now,
            takeover_at: None,
            pending_takeover: None,
            basis: None,
            highest_epoch: KnownEpoch::default(),
            draining: false,
        }
    }

    /// Epoch and end of the authority; `None` while this process must not send orders.
    pub fn authority(&self, now: Moment) -> Option<(u64, Moment)> {
        let held = self.held.as_ref()?;
        (now < held.authority_until).then_some((held.record.epoch, held.authority_until))
    }

    /// For the log: on what this process based the takeover of the lease that it holds, or the record that
    /// it found in place of its own.
    pub fn describe(&self) -> String {
        match (&self.held, &self.basis, &self.observed) {
            (Some(_), Some(basis), _) => basis.to_string(),
            (None, _, Some(observed)) => observed.to_string(),
            _ => String::new(),
        }
    }

    /// Epoch of the lease that this process holds, even if its authority has expired.
    pub fn held_epoch(&self) -> Option<u64> {
        self.held.as_ref().map(|held| held.record.epoch)
    }

    /// Names of the successors in the held lease; empty if this process holds none.
    pub fn successors(&self) -> Vec<String> {
        let held = self.held.iter().flat_map(|held| &held.record.successors);
        held.map(|identity| identity.name.clone()).collect()
    }

    /// Stops acquiring leases and schedules the release of a held one.
    pub fn drain(&mut self) {
        self.draining = true;
        self.next_call = Moment::default();
    }

    /// Starts the calls and messages that are due. `leader_reachable` is set if a leader of the
    /// scope sent a message within `peer_timeout`.
    pub fn tick(&mut self, context: &mut LeaseContext<'_>, leader_reachable: bool) {
        if self.held.is_some() {
            self.tick_holder(context);
        } else if self.pending_takeover.is_some() && leader_reachable {
            // This process makes no promises until it knows whether its takeover was stored.
            self.read_when_due(context);
        } else if !self.draining && !leader_reachable {
            self.tick_candidate(context);
        }
    }

    fn tick_holder(&mut self, context: &mut LeaseContext<'_>) {
        let now = context.now;
        if !self.call_in_flight && now >= self.next_call {
            self.renew_or_release(context);
        }
        let Some(held) = self.held.as_mut() else {
            return;
        };
        let renewal_overdue = now >= held.renewed_at.after(context.timing.lease_renewal * 3 / 2);
        if renewal_overdue && !self.draining && now >= self.next_promise_round {
            self.next_promise_round = now.after(context.timing.heartbeat);
            let version = held.version;
            let epoch = held.record.epoch;
            if let Some((round, successors)) = held.start_promise_round(now) {
                for identity in successors {
                    let message = PeerMessage::PromiseRequest { epoch, version, round };
                    context.effects.push(HostEffect::send(identity, message));
                }
            }
        }
    }

    fn renew_or_release(&mut self, context: &mut LeaseContext<'_>) {
        let Some(held) = self.held.as_mut() else {
            return;
        };
        let successors = held.choose_successors(&context.reachable_peers());
        let mut record = held.next_record(successors);
        let mut call = LeaseCall::Renew;
        let may_yield =
            context.now >= held.acquired_at.after(MIN_TERM_BEFORE_YIELD).max(self.next_yield);
        let yields = may_yield && context.has_larger_peer(YIELD_CAPACITY_RATIO);
        if yields {
            self.next_yield = context.now.after(YIELD_COOLDOWN);
        }
        if self.draining || yields {
            record.ended = true;
            // No order may be sent once the record is marked as ended.
            held.end_authority();
            call = LeaseCall::Release;
        }
        let expected = held.version;
        self.next_call = context.now.after(context.timing.lease_renewal);
        self.compare_and_swap(context, call, expected, &record);
    }

    fn compare_and_swap(
        &mut self,
        context: &mut LeaseContext<'_>,
        call: LeaseCall,
        expected: u64,
        record: &LeaseRecord,
    ) {
        self.call_in_flight = true;
        let key = lease_key(&context.me.scope);
        let op = StoreOp::CompareAndSwap { key, expected, value: record.to_value(), ttl: None };
        context.store_calls.call(CallPurpose::Lease(call, context.now), op, context.effects);
    }

    fn tick_candidate(&mut self, context: &mut LeaseContext<'_>) {
        if self.call_in_flight {
            return;
        }
        if let Some(ground) = self.takeover_ground(context) {
            let start = *self.takeover_at.get_or_insert_with(|| {
                if ground == TakeoverGround::StoreReturned {
                    return context.now;
                }
                let spread = context.rng.random_range(0..=TAKEOVER_JITTER.as_micros() as u64);
                let start = context.now.after(Duration::from_micros(spread));
                if context.has_larger_peer(1) { start.after(SMALLER_HOST_DELAY) } else { start }
            });
            if context.now >= start {
                self.take_over(context, ground);
                return;
            }
        }
        self.read_when_due(context);
    }

    fn read_when_due(&mut self, context: &mut LeaseContext<'_>) {
        if self.call_in_flight || context.now < self.next_call {
            return;
        }
        self.next_call = context.now.after(context.read_interval);
        self.call_in_flight = true;
        let op = StoreOp::Read { key: lease_key(&context.me.scope) };
        context.store_calls.call(
            CallPurpose::Lease(LeaseCall::Read, context.now),
            op,
            context.effects,
        );
    }

    /// Why no process can still have authority under the observed record or a lost one; `None` if one may.
    fn takeover_ground(&mut self, context: &mut LeaseContext<'_>) -> Option<TakeoverGround> {
        let (successor, predecessor) = (&mut self.successor, self.predecessor.as_ref());
        let observed = self.observed.as_mut()?;
        let had_authority = self
            .interrupted_term
            .is_some_and(|(version, until)| version == observed.version && context.now < until);
        if had_authority {
            return Some(TakeoverGround::StoreReturned);
        }
        let ground = observed.takeover_ground(context, successor, predecessor)?;
        if let Some(lost) = self.lost.as_mut() {
            lost.takeover_ground(context, successor, predecessor)?;
        }
        Some(ground)
    }

    fn take_over(&mut self, context: &mut LeaseContext<'_>, ground: TakeoverGround) {
        let Some(observed) = self.observed.as_ref() else {
            return;
        };
        let epoch = next_epoch(observed.version, observed.epoch().max(self.highest_epoch.epoch));
        self.basis =
            Some(TakeoverBasis { ground, version: observed.version, known: self.highest_epoch });
        let successors = choose_successors(context.me, context.reachable_peers().iter());
        let record = LeaseRecord {
            holder: context.me.clone(),
            epoch,
            renewals: 0,
            successors,
            ended: false,
        };
        let expected = observed.version;
        self.takeover_at = None;
        let first_sent = self.pending_takeover.take().map_or(context.now, |(_, sent)| sent);
        self.pending_takeover = Some((record.clone(), first_sent));
        self.compare_and_swap(context, LeaseCall::Acquire, expected, &record);
    }

    /// Applies the outcome of a call on the lease key. Returns whether this process acquired or
    /// lost the lease.
    pub fn apply_outcome(
        &mut self,
        context: &mut LeaseContext<'_>,
        call: &LeaseCall,
        sent: Moment,
        outcome: StoreOutcome,
    ) -> bool {
        self.call_in_flight = false;
        let epoch_before = self.held_epoch();
        match outcome {
            StoreOutcome::Failed => self.next_call = context.now.after(context.read_interval),
            StoreOutcome::Done { version } => self.write_succeeded(context, call, version, sent),
            StoreOutcome::Absent { version } => self.observe(context, version, None),
            StoreOutcome::Found { version, value } => {
                self.observe(context, version, LeaseRecord::parse(&value));
            }
        }
        epoch_before != self.held_epoch()
    }

    fn write_succeeded(
        &mut self,
        context: &mut LeaseContext<'_>,
        call: &LeaseCall,
        version: u64,
        sent: Moment,
    ) {
        match call {
            LeaseCall::Acquire => {
                let Some((record, _)) = self.pending_takeover.take() else {
                    return;
                };
                self.highest_epoch.record(record.epoch, EpochSource::Record);
                if is_current(record.epoch, version) {
                    self.start_term(HeldLease::new(record, version, sent, context.timing));
                    self.next_call = sent.after(context.timing.lease_renewal);
                } else {
                    self.observe(context, version, Some(record));
                }
            }
            LeaseCall::Renew => {
                let Some(held) = self.held.as_mut() else {
                    return;
                };
                if !is_current(held.record.epoch, version) {
                    let record = held.unconfirmed.take();
                    self.observe_as_holder(context, version, record);
                } else if let Some(record) = held.unconfirmed.take() {
                    held.confirm_write(record, version, sent, context.timing);
                }
            }
            LeaseCall::Release => self.held = None,
            LeaseCall::Read => {}
        }
    }

    fn start_term(&mut self, held: HeldLease) {
        self.held = Some(held);
        self.lost = None;
        self.interrupted_term = None;
    }

    /// The record of the lease that this process holds as last known to be stored, with its version.
    /// Its authority may have expired.
    pub fn stored(&self) -> Option<StoredLease> {
        let held = self.held.as_ref()?;
        Some(StoredLease { version: held.version, record: held.record.clone() })
    }

    /// Records that `members` has the platform's host list as of `at`, which arrived at `now`.
    pub fn record_list(
        &mut self,
        now: Moment,
        at: Moment,
        me: &HostIdentity,
        members: &MemberDirectory,
    ) {
        for observed in self.observed.iter_mut().chain(&mut self.lost) {
            observed.record_list(now, at, me, members);
        }
    }

    /// Records that the platform's host list could not be read.
    pub fn record_list_lost(&mut self) {
        for observed in self.observed.iter_mut().chain(&mut self.lost) {
            observed.record_list_lost();
        }
    }

    /// Records the epoch that a leader's notice names.
    pub fn record_notice(&mut self, epoch: u64) {
        self.highest_epoch.record(epoch, EpochSource::Notice);
    }

    /// Applies a record that the key-value service or its holder announced without a read. If the
    /// leader later becomes unreachable, a candidate measures the lease time from this announcement,
    /// not from its first read.
    pub fn apply_announced(
        &mut self,
        context: &mut LeaseContext<'_>,
        version: u64,
        record: Option<LeaseRecord>,
    ) {
        let known = self.observed.as_ref().map_or(0, |observed| observed.version);
        if self.held.is_some() || self.pending_takeover.is_some() {
            return;
        }
        if version > known {
            self.observe(context, version, record);
        } else if era_of(version) < era_of(known) {
            self.keep_lost(ObservedRecord::new(context.now, version, record));
        }
    }

    /// Gives the held lease up if the record of a later epoch is known to be stored, which this process
    /// cannot see if it does not reach the key-value service. Returns whether it did.
    pub fn give_way(&mut self, context: &LeaseContext<'_>, stored: &StoredLease) -> bool {
        let is_superseded =
            self.held.as_ref().is_some_and(|held| held.record.epoch < stored.record.epoch);
        if is_superseded {
            self.held = None;
            let record = Some(stored.record.clone());
            self.observed = Some(ObservedRecord::new(context.now, stored.version, record));
        }
        is_superseded
    }

    fn observe(
        &mut self,
        context: &mut LeaseContext<'_>,
        version: u64,
        record: Option<LeaseRecord>,
    ) {
        let epoch = record.as_ref().map_or(0, |record| record.epoch);
        self.highest_epoch.record(epoch, EpochSource::Record);
        if self.held.is_some() {
            self.observe_as_holder(context, version, record);
            return;
        }
        let same = self.observed.as_ref().is_some_and(|observed| observed.version == version);
        if same {
            return;
        }
        self.takeover_at = None;
        if self.observed.is_none() {
            // A process of this host that takes the lease from now on is a later one.
            let holder = record.as_ref().map(|record| &record.holder);
            let of_this_host = holder.filter(|holder| holder.name == context.me.name);
            self.predecessor = of_this_host.filter(|holder| *holder != context.me).cloned();
        }
        let stored_takeover = self
            .pending_takeover
            .take()
            .filter(|(attempted, _)| record.as_ref() == Some(attempted))
            // It may have been stored after another process took an equal epoch, which the service forgot.
            .filter(|(attempted, _)| is_current(attempted.epoch, version));
        if let Some((record, sent)) = stored_takeover {
            // The takeover was stored although its answer was lost.
            self.start_term(HeldLease::new(record, version, sent, context.timing));
            self.next_call = context.now;
            return;
        }
        let observed = ObservedRecord::new(context.now, version, record);
        let version_before = self.observed.as_ref().map_or(version, |before| before.version);
        let before = self.observed.replace(observed.after(version_before));
        if let Some(before) = before.filter(|before| era_of(before.version) < era_of(version)) {
            self.keep_lost(before);
        }
        let epoch = self.observed.as_ref().map_or(0, ObservedRecord::epoch);
        self.lost.take_if(|lost| lost.epoch() < epoch);
    }

    /// Keeps a record of an earlier era, unless the observed one is the same or of a later epoch.
    fn keep_lost(&mut self, before: ObservedRecord) {
        let is_superseded = self.observed.as_ref().is_some_and(|observed| {
            before.epoch() < observed.epoch() || before.record == observed.record
        });
        let age = |record: &ObservedRecord| (record.epoch(), record.version);
        let is_known = self.lost.as_ref().is_some_and(|lost| age(lost) >= age(&before));
        if before.record.is_some() && !is_superseded && !is_known {
            self.lost = Some(before.into_lost());
        }
    }

    fn observe_as_holder(
        &mut self,
        context: &mut LeaseContext<'_>,
        version: u64,
        record: Option<LeaseRecord>,
    ) {
        let Some(held) = self.held.as_mut() else {
            return;
        };
        let still_held = record.as_ref().is_some_and(|record| {
            let is_mine = record.holder == *context.me && record.epoch == held.record.epoch;
            is_mine && !record.ended && is_current(record.epoch, version)
        });
        match record {
            Some(record) if still_held => {
                // An earlier renewal was stored although its answer was lost.
                held.observe_write(record, version);
                self.next_call = context.now;
            }
            record => {
                let is_superseded =
                    record.as_ref().is_some_and(|record| is_current(record.epoch, version));
                let is_interrupted = !is_superseded && !is_current(held.record.epoch, version);
                self.interrupted_term = is_interrupted.then_some((version, held.authority_until));
                let observed = ObservedRecord::new(context.now, version, record);
                self.observed = Some(observed.after(held.version));
                self.held = None;
            }
        }
    }

    /// Answers a leader's request for a promise, unless this process holds the lease or is
    /// acquiring it.
    pub fn answer_promise_request(
        &mut self,
        context: &mut LeaseContext<'_>,
        from: HostIdentity,
        epoch: u64,
        version: u64,
        round: u64,
    ) {
        let competes = self.held.is_some() || self.pending_takeover.is_some();
        if competes || !self.successor.promise(context.now, context.timing, epoch, version) {
            return;
        }
        let message = PeerMessage::Promise { epoch, round };
        context.effects.push(HostEffect::send(from, message));
    }

    /// Applies a successor's promise to the held lease.
    pub fn record_promise(
        &mut self,
        timing: &TimingRules,
        from: &HostIdentity,
        epoch: u64,
        round: u64,
    ) {
        if let Some(held) = self.held.as_mut().filter(|held| held.record.epoch == epoch) {
            held.record_promise(from, round, timing);
        }
    }

    /// Answers a candidate that asks whether this process's promises have expired.
    pub fn answer_release_request(
        &mut self,
        context: &mut LeaseContext<'_>,
        from: HostIdentity,
        epoch: u64,
        version: u64,
    ) {
        if self.held.is_some() {
            return;
        }
        let me = context.me.clone();
        // Only the candidate knows whether the record names this host. A release is safe either
        // way, because no promise follows it. Incarnation 0 stands for an unknown earlier process.
        let requested_record = LeaseRecord {
            holder: me.clone(),
            epoch,
            renewals: 0,
            successors: vec![HostIdentity { incarnation: 0, ..me.clone() }],
            ended: false,
        };
        if self.successor.release(context.now, context.timing, &me, &requested_record, version) {
            let message = PeerMessage::PromiseReleased { epoch, version };
            context.effects.push(HostEffect::send(from, message));
        }
    }

    /// Records that the promises of a successor for the observed record or a lost one have expired, or that
    /// another process runs in place of the holder's, which can request no promises any more.
    pub fn record_release(&mut self, from: &HostIdentity, epoch: u64, version: u64) {
        for observed in self.observed.iter_mut().chain(&mut self.lost) {
            observed.record_release(from, epoch, version);
        }
    }
}
