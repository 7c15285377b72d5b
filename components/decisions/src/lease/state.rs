//! Takes, renews, extends and gives up the lease of one scope.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::effect::HostEffect;
use crate::identity::HostStamp;
use crate::membership::MemberDirectory;
use crate::message::PeerMessage;
use crate::registry::CallPurpose;
use crate::registry::CallRegistry;
use crate::registry::LeaseCall;
use crate::store::StoreOp;
use crate::store::StoreOutcome;
use crate::time::Moment;
use crate::timing::TimingRules;

use super::holder::HeldLease;
use super::record::LeaseRecord;
use super::record::lease_key;
use super::successor::SuccessorState;

/// Between two looks at the record while no leader is heard.
const READ_PAUSE: Duration = Duration::from_millis(500);
/// Rivals spread their takeover over this time.
const TAKE_SPREAD: Duration = Duration::from_millis(400);
/// Rivals leave hosts with more processor time this much of a start: long enough for one of them to
/// take the lease and for others to hear of it.
const TAKE_DEFERENCE: Duration = Duration::from_millis(500);
/// A holder gives up the lease for a host with this many times its processor time.
const YIELD_FACTOR: u32 = 2;
/// After that it keeps the lease this long, should the other host not take it.
const YIELD_PAUSE: Duration = Duration::from_secs(60);
/// A term lasts at least this long before it ends for a host with more processor time.
const YIELD_AFTER: Duration = Duration::from_secs(2);

/// The record as last read, and since when it has been the same.
#[derive(Debug, Clone)]
struct ObservedRecord {
    version: u64,
    record: Option<LeaseRecord>,
    since: Moment,
}

/// What the lease logic needs for one step.
#[derive(Debug)]
pub struct LeaseContext<'c> {
    /// Now.
    pub now: Moment,
    /// This process.
    pub me: &'c HostStamp,
    /// Durations.
    pub timing: &'c TimingRules,
    /// Hosts known.
    pub members: &'c MemberDirectory,
    /// Randomness.
    pub rng: &'c mut SmallRng,
    /// Calls to the key-value service.
    pub registry: &'c mut CallRegistry,
    /// Where effects go.
    pub effects: &'c mut Vec<HostEffect>,
}

impl LeaseContext<'_> {
    /// Whether another host of the scope has more processor time than `factor` times this one's.
    fn is_outdone(&self, factor: u32) -> bool {
        let oldest = self.now.before(self.timing.peer_timeout);
        let more = self.me.capacity.saturating_mul(factor).saturating_add(1);
        self.members.has_capable(&self.me.scope, &self.me.name, oldest, more)
    }

    /// Other hosts of the scope heard lately.
    fn heard(&self) -> Vec<HostStamp> {
        let oldest = self.now.before(self.timing.peer_timeout);
        self.members.heard_in_scope(&self.me.scope, &self.me.name, oldest)
    }
}

/// One process's part in the lease of its scope.
#[derive(Debug, Clone)]
pub struct LeaseState {
    observed: Option<ObservedRecord>,
    /// Present while this process holds the lease; it may have lapsed.
    held: Option<HeldLease>,
    successor: SuccessorState,
    /// One call at a time, so that answers cannot cross.
    calling: bool,
    next_call: Moment,
    next_round: Moment,
    next_release: Moment,
    /// The lease is not given up for another host before this moment.
    next_yield: Moment,
    /// When the takeover of the observed version starts, once it is allowed.
    take_at: Option<Moment>,
    /// A takeover that may have been written, and when it was sent.
    taking: Option<(LeaseRecord, Moment)>,
    /// A successor released the observed version.
    released: Option<(u64, u64)>,
    draining: bool,
}

impl LeaseState {
    /// Starts without a lease.
    pub fn new(now: Moment) -> Self {
        Self {
            observed: None,
            held: None,
            successor: SuccessorState::new(now),
            calling: false,
            next_call: now,
            next_round: now,
            next_release: now,
            next_yield: now,
            take_at: None,
            taking: None,
            released: None,
            draining: false,
        }
    }

    /// Epoch and end of authority while this process may send orders.
    pub fn authority(&self, now: Moment) -> Option<(u64, Moment)> {
        let held = self.held.as_ref()?;
        (now < held.authority_until).then_some((held.record.epoch, held.authority_until))
    }

    /// Epoch of the lease that this process holds, lapsed or not.
    pub fn held_epoch(&self) -> Option<u64> {
        self.held.as_ref().map(|held| held.record.epoch)
    }

    /// Names of the hosts that stand by for this one, while it holds the lease.
    pub fn successors(&self) -> Vec<String> {
        let held = self.held.iter().flat_map(|held| &held.record.successors);
        held.map(|stamp| stamp.name.clone()).collect()
    }

    /// Stops taking leases and gives up the one held.
    pub fn drain(&mut self) {
        self.draining = true;
        self.next_call = Moment::default();
    }

    /// Lets time pass. `leader_heard` tells whether another leader was heard lately.
    pub fn tick(&mut self, context: &mut LeaseContext<'_>, leader_heard: bool) {
        if self.held.is_some() {
            self.tick_holder(context);
        } else if self.taking.is_some() && leader_heard {
            // Until the fate of an unanswered takeover is known this process promises nothing.
            self.read_when_due(context);
        } else if !self.draining && !leader_heard {
            self.tick_rival(context);
        }
    }

    fn tick_holder(&mut self, context: &mut LeaseContext<'_>) {
        let now = context.now;
        if !self.calling && now >= self.next_call {
            self.write_held(context);
        }
        let Some(held) = self.held.as_mut() else {
            return;
        };
        let late = now >= held.renewed.after(context.timing.lease_renewal * 3 / 2);
        if late && !self.draining && now >= self.next_round {
            self.next_round = now.after(context.timing.heartbeat);
            let version = held.version;
            let epoch = held.record.epoch;
            if let Some((round, asked)) = held.start_round(now) {
                for stamp in asked {
                    let message = PeerMessage::PromiseAsk { epoch, version, round };
                    context.effects.push(HostEffect::send(stamp, message));
                }
            }
        }
    }

    fn write_held(&mut self, context: &mut LeaseContext<'_>) {
        let Some(held) = self.held.as_mut() else {
            return;
        };
        let successors = held.choose_successors(&context.heard());
        let mut record = held.next_record(successors);
        let mut call = LeaseCall::Renew;
        let long = context.now >= held.since.after(YIELD_AFTER).max(self.next_yield);
        let yields = long && context.is_outdone(YIELD_FACTOR);
        if yields {
            self.next_yield = context.now.after(YIELD_PAUSE);
        }
        if self.draining || yields {
            record.ended = true;
            // No order may leave after the record says so.
            held.authority_until = Moment::default();
            call = LeaseCall::End;
        }
        let expected = held.version;
        self.next_call = context.now.after(context.timing.lease_renewal);
        self.swap(context, call, expected, &record);
    }

    fn swap(
        &mut self,
        context: &mut LeaseContext<'_>,
        call: LeaseCall,
        expected: u64,
        record: &LeaseRecord,
    ) {
        self.calling = true;
        let key = lease_key(&context.me.scope);
        let op = StoreOp::Swap { key, expected, value: record.to_value(), lasting: None };
        context.registry.call(CallPurpose::Lease(call, context.now), op, context.effects);
    }

    fn tick_rival(&mut self, context: &mut LeaseContext<'_>) {
        if self.calling {
            return;
        }
        if self.may_take(context) {
            let start = *self.take_at.get_or_insert_with(|| {
                let spread = context.rng.random_range(0..=TAKE_SPREAD.as_micros() as u64);
                let start = context.now.after(Duration::from_micros(spread));
                if context.is_outdone(1) { start.after(TAKE_DEFERENCE) } else { start }
            });
            if context.now >= start {
                self.take(context);
                return;
            }
        }
        self.read_when_due(context);
    }

    fn read_when_due(&mut self, context: &mut LeaseContext<'_>) {
        if self.calling || context.now < self.next_call {
            return;
        }
        self.next_call = context.now.after(READ_PAUSE);
        self.calling = true;
        let op = StoreOp::Read { key: lease_key(&context.me.scope) };
        context.registry.call(
            CallPurpose::Lease(LeaseCall::Read, context.now),
            op,
            context.effects,
        );
    }

    /// Whether nobody can hold authority under the observed record any more.
    fn may_take(&mut self, context: &mut LeaseContext<'_>) -> bool {
        let Some(observed) = self.observed.as_ref() else {
            return false;
        };
        let Some(record) = observed.record.as_ref() else {
            return true;
        };
        let timing = context.timing;
        if record.ended {
            return true;
        }
        let lapsed = observed.since.after(timing.lease_ttl + timing.lease_margin);
        if context.now < lapsed {
            return false;
        }
        if record.successors.is_empty()
            || context.now >= lapsed.after(timing.max_extension * 11 / 10)
        {
            return true;
        }
        let version = observed.version;
        if self.released == Some((record.epoch, version)) {
            return true;
        }
        if self.successor.release(context.now, timing, context.me, record, version) {
            return true;
        }
        if context.now >= self.next_release {
            self.next_release = context.now.after(timing.heartbeat);
            for stamp in record.successors.iter().filter(|stamp| stamp.name != context.me.name) {
                let message = PeerMessage::ReleaseAsk { epoch: record.epoch, version };
                context.effects.push(HostEffect::send(stamp.clone(), message));
            }
        }
        false
    }

    fn take(&mut self, context: &mut LeaseContext<'_>) {
        let Some(observed) = self.observed.as_ref() else {
            return;
        };
        let epoch = observed.record.as_ref().map_or(0, |record| record.epoch) + 1;
        let successors: Vec<HostStamp> = context.heard().into_iter().take(2).collect();
        let record = LeaseRecord {
            holder: context.me.clone(),
            epoch,
            renewals: 0,
            successors,
            ended: false,
        };
        let expected = observed.version;
        self.take_at = None;
        self.taking = Some((record.clone(), context.now));
        self.swap(context, LeaseCall::Take, expected, &record);
    }

    /// Takes in the answer to a call on the lease key. Returns whether the holder changed here.
    pub fn answered(
        &mut self,
        context: &mut LeaseContext<'_>,
        call: &LeaseCall,
        sent: Moment,
        outcome: StoreOutcome,
    ) -> bool {
        self.calling = false;
        let before = self.held_epoch();
        match outcome {
            StoreOutcome::Failed => self.next_call = context.now.after(READ_PAUSE),
            StoreOutcome::Done { version } => self.written(context, call, version, sent),
            StoreOutcome::Absent => self.seen(context, 0, None),
            StoreOutcome::Found { version, value } => {
                self.seen(context, version, LeaseRecord::parse(&value));
            }
        }
        before != self.held_epoch()
    }

    fn written(
        &mut self,
        context: &LeaseContext<'_>,
        call: &LeaseCall,
        version: u64,
        sent: Moment,
    ) {
        match call {
            LeaseCall::Take => {
                if let Some((record, _)) = self.taking.take() {
                    self.held = Some(HeldLease::new(record, version, sent, context.timing));
                    self.next_call = sent.after(context.timing.lease_renewal);
                }
            }
            LeaseCall::Renew => {
                if let Some(held) = self.held.as_mut()
                    && let Some(record) = held.unsettled.take()
                {
                    held.confirmed(record, version, sent, context.timing);
                }
            }
            LeaseCall::End => self.held = None,
            LeaseCall::Read => {}
        }
    }

    /// Takes in a record that was told without being asked for. A rival that knows since when the
    /// record has been the same need not wait for that long again once the leader falls silent.
    pub fn told(&mut self, context: &mut LeaseContext<'_>, version: u64, value: &str) {
        let known = self.observed.as_ref().map_or(0, |observed| observed.version);
        if self.held.is_none() && self.taking.is_none() && version > known {
            self.seen(context, version, LeaseRecord::parse(value));
        }
    }

    fn seen(&mut self, context: &mut LeaseContext<'_>, version: u64, record: Option<LeaseRecord>) {
        if self.held.is_some() {
            self.seen_as_holder(context, version, record);
            return;
        }
        let same = self.observed.as_ref().is_some_and(|observed| observed.version == version);
        if same {
            return;
        }
        self.take_at = None;
        let taken = self.taking.take().filter(|(taking, _)| record.as_ref() == Some(taking));
        if let Some((record, sent)) = taken {
            // The answer to the takeover was lost, but it was written.
            self.held = Some(HeldLease::new(record, version, sent, context.timing));
            self.next_call = context.now;
            return;
        }
        self.observed = Some(ObservedRecord { version, record, since: context.now });
    }

    fn seen_as_holder(
        &mut self,
        context: &mut LeaseContext<'_>,
        version: u64,
        record: Option<LeaseRecord>,
    ) {
        let Some(held) = self.held.as_mut() else {
            return;
        };
        let mine = record.as_ref().is_some_and(|record| {
            record.holder == *context.me && record.epoch == held.record.epoch && !record.ended
        });
        match record {
            Some(record) if mine => {
                // An earlier renewal was written although its answer was lost.
                held.record = record;
                held.version = version;
                held.unsettled = None;
                self.next_call = context.now;
            }
            record => {
                self.held = None;
                self.observed = Some(ObservedRecord { version, record, since: context.now });
            }
        }
    }

    /// A leader asks for a promise.
    pub fn promise_asked(
        &mut self,
        context: &mut LeaseContext<'_>,
        from: HostStamp,
        epoch: u64,
        version: u64,
        round: u64,
    ) {
        let rival = self.held.is_some() || self.taking.is_some();
        if rival || !self.successor.promise(context.now, context.timing, epoch, version) {
            return;
        }
        let message = PeerMessage::Promise { epoch, round };
        context.effects.push(HostEffect::send(from, message));
    }

    /// A successor promised.
    pub fn promised(&mut self, timing: &TimingRules, from: &HostStamp, epoch: u64, round: u64) {
        if let Some(held) = self.held.as_mut().filter(|held| held.record.epoch == epoch) {
            held.promised(from, round, timing);
        }
    }

    /// A rival asks whether the promises have run out.
    pub fn release_asked(
        &mut self,
        context: &mut LeaseContext<'_>,
        from: HostStamp,
        epoch: u64,
        version: u64,
    ) {
        let me = context.me.clone();
        // Whether this process is listed is the asker's knowledge; the fence holds either way.
        let asked = LeaseRecord {
            holder: me.clone(),
            epoch,
            renewals: 0,
            successors: vec![HostStamp { incarnation: 0, ..me.clone() }],
            ended: false,
        };
        if self.successor.release(context.now, context.timing, &me, &asked, version) {
            let message = PeerMessage::Released { epoch, version };
            context.effects.push(HostEffect::send(from, message));
        }
    }

    /// A successor's promises have run out.
    pub fn released(&mut self, from: &HostStamp, epoch: u64, version: u64) {
        let Some(observed) = self.observed.as_ref() else {
            return;
        };
        let Some(record) = observed.record.as_ref() else {
            return;
        };
        let listed = record.successors.iter().any(|stamp| stamp.name == from.name);
        if listed && observed.version == version && record.epoch == epoch {
            self.released = Some((epoch, version));
        }
    }
}
