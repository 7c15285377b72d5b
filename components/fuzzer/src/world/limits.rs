//! Limits that engines name, and the requests that reach them.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::limits::LimitNotice;
use wagtailledge_decisions::limits::RequestRate;

use super::event_queue::DispatchedCall;
use super::event_queue::ScheduledEvent;
use super::state::FuzzWorld;

/// Span in which the requests of an engine with a limit are counted, in microseconds.
const WINDOW: u64 = 4_000_000;
/// Time after an engine names a limit from which its requests are counted, in microseconds.
const CONTACT_TIME: u64 = 3_000_000;
/// Time after which a process that has received the limit must keep it, in microseconds.
const REACTION_TIME: u64 = 500_000;
/// Requests that a window may have beyond one and a half times what the limit allows.
const EXTRA_REQUESTS: u64 = 5;

/// A process, as slot and incarnation.
type ProcessKey = (usize, u64);

/// Limit of an engine, and the requests that have reached it.
#[derive(Debug, Default)]
pub struct EngineLimit {
    rate: Option<RequestRate>,
    /// When the engine first named a limit.
    first_named_at: Option<u64>,
    /// Answers that do not name the limit although it is in force, per thousand.
    unnamed: u32,
    /// When each process first received a limit in an answer since the engine last had none.
    told: BTreeMap<ProcessKey, u64>,
    /// Requests of the last window from processes that must keep the limit.
    counted: VecDeque<u64>,
    /// Highest limit of the last window, as pairs of its rate and its end; the present one is `rate`.
    earlier: VecDeque<(RequestRate, u64)>,
    arrivals: usize,
}

impl EngineLimit {
    /// Changes the limit; `None` lifts it.
    pub fn set(&mut self, now: u64, rate: Option<RequestRate>) {
        if self.rate == rate {
            return;
        }
        match (self.rate, rate) {
            (_, None) => self.told.clear(),
            (Some(earlier), _) => self.earlier.push_back((earlier, now)),
            (None, _) => {}
        }
        self.rate = rate;
        self.first_named_at = self.first_named_at.or(rate.map(|_| now));
    }

    /// Sets how many answers do not name the limit although it is in force, per thousand.
    pub fn set_unnamed(&mut self, permille: u32) {
        self.unnamed = permille;
    }

    /// Number of requests that have reached the engine.
    pub fn arrivals(&self) -> usize {
        self.arrivals
    }

    fn notice(&self) -> LimitNotice {
        self.rate.map_or(LimitNotice::Unlimited, LimitNotice::Limited)
    }

    /// Counts a request. Returns the number in the current window if it exceeds the limit.
    fn record_arrival(&mut self, now: u64, process: ProcessKey) -> Option<usize> {
        self.arrivals += 1;
        let rate = self.rate?;
        let told = self.told.get(&process).is_some_and(|at| at + REACTION_TIME <= now);
        if !told || self.first_named_at.is_none_or(|at| now < at + CONTACT_TIME) {
            return None;
        }
        self.counted.push_back(now);
        while self.counted.front().is_some_and(|at| at + WINDOW < now) {
            self.counted.pop_front();
        }
        while self.earlier.front().is_some_and(|(_, until)| until + WINDOW < now) {
            self.earlier.pop_front();
        }
        let RequestRate(highest) = self.earlier.iter().map(|(rate, _)| *rate).fold(rate, Ord::max);
        let allowed = highest * WINDOW * 3 / 2 / 1_000_000_000 + EXTRA_REQUESTS;
        let count = self.counted.len();
        (count as u64 > allowed).then_some(count)
    }
}

impl FuzzWorld {
    /// Counts a request that reaches an engine, and checks the engine's limit.
    pub(super) fn record_arrival(&mut self, call: &DispatchedCall) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(call.upstream) else {
            return;
        };
        let process = (call.from.slot, call.from.incarnation);
        if let Some(count) = engine.limit.record_arrival(now, process) {
            let detail = format!("{} got {count} requests in 4 s", engine.name);
            self.oracle.report_violation("limit", &detail);
        }
    }

    /// Schedules that the answer to a call, which comes after `delay`, tells the limit of its engine.
    /// Answers that turn a request away do not show that there is none.
    pub(super) fn schedule_limit_notice(
        &mut self,
        call: &DispatchedCall,
        delay: u64,
        turned_away: bool,
    ) {
        let Some(engine) = self.engines.get(call.upstream) else {
            return;
        };
        let (notice, unnamed) = (engine.limit.notice(), engine.limit.unnamed);
        let is_named = unnamed == 0 || !self.chance(unnamed);
        let notice = if is_named { notice } else { LimitNotice::Unlimited };
        if notice != LimitNotice::Unlimited || !turned_away {
            self.schedule_after(delay, ScheduledEvent::LimitNotice(call.clone(), notice));
        }
    }

    pub(super) fn deliver_limit(&mut self, call: &DispatchedCall, notice: LimitNotice) {
        let engine = &mut self.engines[call.upstream];
        if notice != LimitNotice::Unlimited && engine.limit.rate.is_some() {
            let process = (call.from.slot, call.from.incarnation);
            engine.limit.told.entry(process).or_insert(self.now);
        }
        let process = self.slots[call.from.slot].process.as_ref();
        let catalog = process.map(|process| process.reducer.catalog());
        let upstream = catalog.and_then(|catalog| catalog.upstream_named(&engine.name));
        if let Some(upstream) = upstream {
            let event = HostEvent::LimitStatement(upstream, call.dispatched, notice);
            self.submit(call.from.slot, event);
        }
    }
}
