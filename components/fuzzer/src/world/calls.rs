//! Callers' calls and their exchanges with upstreams.

use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::request::CallerRequest;
use wagtailledge_decisions::request::RecordedAnswer;
use wagtailledge_decisions::request::RequestRepeat;
use wagtailledge_decisions::request::RequestTarget;
use wagtailledge_decisions::request::RequestTicket;

use crate::oracle::CallRecord;

use super::flight::CallFlight;
use super::flight::Flight;
use super::flight::ProcessId;
use super::inventory::ASSETS;
use super::inventory::SERVICE;
use super::state::FuzzWorld;

/// Time until a lost answer counts as broken, in microseconds.
const CALL_TIMEOUT: u64 = 2_000_000;
/// Time after which a leaving upstream must get no new work, in microseconds.
const LEAVING_GRACE: u64 = 5_000_000;

impl FuzzWorld {
    /// The running process in a slot that takes calls.
    fn open_process(&self, slot: usize) -> Option<ProcessId> {
        let process = self.slots[slot].process.as_ref()?;
        let awake = process.paused_until <= self.now;
        (awake && !process.draining).then_some(process.id)
    }

    /// A caller asks for a model or adapter. Returns the call, if the host takes it.
    pub fn ask_model(&mut self, slot: usize, asset: usize, deadline: Duration) -> Option<u64> {
        self.open_process(slot)?;
        let process = self.slots[slot].process.as_ref()?;
        let name = ASSETS[asset % ASSETS.len()];
        let target = process.reducer.resolve_model(name)?;
        let RequestTarget::Asset(key) = target else {
            return None;
        };
        let unique = process.reducer.catalog().assets[key].name.clone();
        let call = self.last_call + 1;
        let expected = format!("{call} {unique}");
        self.arrive(slot, target, RequestRepeat::Idempotent, deadline, expected, None);
        Some(call)
    }

    /// A caller makes a non-idempotent call; key 0 means none.
    pub fn call_service(&mut self, slot: usize, key: u32, deadline: Duration) -> Option<u64> {
        self.open_process(slot)?;
        let process = self.slots[slot].process.as_ref()?;
        let (target, idempotent) = process.reducer.resolve_service(SERVICE, "POST", "/start")?;
        let name = (key > 0).then(|| format!("key-{key}"));
        let call = self.last_call + 1;
        let expected = name.clone().unwrap_or_else(|| format!("call {call}"));
        let reducer = &process.reducer;
        let repeat = reducer.service_repeat(SERVICE, idempotent, name.as_deref(), u64::from(key));
        self.arrive(slot, target, repeat, deadline, expected, name);
        Some(call)
    }

    fn arrive(
        &mut self,
        slot: usize,
        target: RequestTarget,
        repeat: RequestRepeat,
        deadline: Duration,
        expected: String,
        key: Option<String>,
    ) {
        self.last_call += 1;
        let call = self.last_call;
        let ticket = RequestTicket(call);
        let now = self.now;
        let Some(process) = self.slots[slot].process.as_mut() else {
            return;
        };
        process.open.insert(ticket, call);
        let idempotent = repeat == RequestRepeat::Idempotent;
        let deadline_at = process.clock(now).after(deadline).0;
        let record = CallRecord {
            expected,
            deadline: deadline_at,
            key,
            idempotent,
            runs: 0,
            settled: false,
            refused_unrun: false,
        };
        self.oracle.called(call, record);
        let deadline = Some(deadline);
        let request =
            CallerRequest { ticket, target, repeat, deadline, caller: call % 5, terms: None };
        self.submit(slot, HostEvent::Arrived(request));
    }

    /// A caller goes away.
    pub(super) fn leave(&mut self, choice: usize) {
        let open: Vec<(usize, RequestTicket)> = self
            .slots
            .iter()
            .enumerate()
            .filter_map(|(slot, place)| Some((slot, place.process.as_ref()?)))
            .filter(|(_, process)| process.paused_until <= self.now)
            .flat_map(|(slot, process)| process.open.keys().map(move |ticket| (slot, *ticket)))
            .collect();
        if open.is_empty() {
            return;
        }
        let (slot, ticket) = open[choice % open.len()];
        let process = self.slots[slot].process.as_mut();
        if let Some(call) = process.and_then(|process| process.open.remove(&ticket)) {
            self.oracle.abandoned(call);
        }
        self.submit(slot, HostEvent::CallerLeft(ticket));
    }

    /// Carries out what concerns callers and upstreams.
    pub(super) fn call_effect(&mut self, from: ProcessId, effect: HostEffect) {
        match effect {
            HostEffect::Dispatch { request, attempt, ticket, upstream, asset, .. } => {
                let Some(process) = self.slots[from.slot].process.as_ref() else {
                    return;
                };
                let name = process.reducer.catalog().upstreams[upstream].name.clone();
                let upstream = self.upstream_named(&name);
                self.check_leaving(upstream);
                let call = CallFlight { upstream, asset, from, request, attempt, ticket };
                if self.engine_is_cut(from.slot, upstream) {
                    self.end_call(&call, 50_000, AttemptOutcome::NotRun { misplaced: false });
                    return;
                }
                let delay = self.rng.random_range(500..3_000 + self.faults.delay / 4);
                self.send_after(delay, Flight::Call(call));
            }
            HostEffect::Answer(ticket, answer) => {
                let content = String::from_utf8_lossy(&answer.body).into_owned();
                self.answer(from, ticket, &content);
            }
            HostEffect::Forward { ticket, .. } => {
                let process = self.slots[from.slot].process.as_ref();
                let call = process.and_then(|process| process.open.get(&ticket).copied());
                if let Some(call) = call {
                    let expected = self.oracle.expected(call);
                    self.answer(from, ticket, &expected);
                }
            }
            HostEffect::Refuse(ticket, refusal) => {
                if let Some((call, clock)) = self.take_open(from, ticket) {
                    self.oracle.refused(call, clock, refusal.outcome);
                }
            }
            HostEffect::Cancel(ticket, attempt) => {
                if let Some(process) = self.slots[from.slot].process.as_mut() {
                    process.cancelled.push((ticket, attempt));
                }
            }
            _ => {}
        }
    }

    fn take_open(&mut self, from: ProcessId, ticket: RequestTicket) -> Option<(u64, u64)> {
        let now = self.now;
        let process = self.slots[from.slot].process.as_mut()?;
        let clock = process.clock(now).0;
        // A caller that is gone gets nothing, and is owed nothing.
        process.open.remove(&ticket).map(|call| (call, clock))
    }

    fn answer(&mut self, from: ProcessId, ticket: RequestTicket, content: &str) {
        if let Some((call, clock)) = self.take_open(from, ticket) {
            self.oracle.answered(call, clock, content);
        }
    }

    fn upstream_named(&self, name: &str) -> usize {
        let engine = self.engines.iter().position(|engine| engine.name == name);
        engine.unwrap_or_else(|| {
            let zone = super::inventory::ZONES.iter().position(|zone| name.starts_with(zone));
            self.engines.len() + zone.unwrap_or(0)
        })
    }

    fn check_leaving(&mut self, upstream: usize) {
        let Some(engine) = self.engines.get(upstream) else {
            return;
        };
        let long = engine.leaving_since.is_some_and(|since| self.now > since + LEAVING_GRACE);
        if long {
            let name = engine.name.clone();
            self.oracle.work_while_leaving(&name);
        }
    }

    fn end_call(&mut self, call: &CallFlight, delay: u64, outcome: AttemptOutcome) {
        let end = Flight::CallEnd(call.from, call.request, call.attempt, outcome);
        self.send_after(delay, end);
    }

    /// A request reaches its upstream.
    pub(super) fn call_arrives(&mut self, call: CallFlight) {
        if self.engine_is_cut(call.from.slot, call.upstream) {
            self.end_call(&call, CALL_TIMEOUT, AttemptOutcome::Broken);
            return;
        }
        if let Some(engine) = self.engines.get_mut(call.upstream) {
            if !engine.is_ready(self.now, &call.asset) {
                self.end_call(&call, 1_000, AttemptOutcome::NotRun { misplaced: true });
                return;
            }
            engine.count_running(&call.asset, true);
            if self.chance(20) {
                self.engines[call.upstream].count_running(&call.asset, false);
                self.end_call(&call, 1_000, AttemptOutcome::NotRun { misplaced: false });
                return;
            }
        }
        self.oracle.ran(call.ticket.0);
        let time = self.rng.random_range(5_000..400_000);
        self.send_after(time, Flight::CallDone(call));
    }

    /// An upstream has finished with a request.
    pub(super) fn call_done(&mut self, call: CallFlight) {
        if let Some(engine) = self.engines.get_mut(call.upstream) {
            engine.count_running(&call.asset, false);
        }
        let Some(process) = self.slots[call.from.slot].process.as_ref() else {
            return;
        };
        if process.id != call.from {
            return;
        }
        let cancelled = process.cancelled.contains(&(call.ticket, call.attempt));
        let lost =
            self.chance(self.faults.loss) || self.engine_is_cut(call.from.slot, call.upstream);
        if cancelled || lost {
            self.end_call(&call, CALL_TIMEOUT, AttemptOutcome::Broken);
            return;
        }
        let streams = !call.asset.is_empty() && call.ticket.0.is_multiple_of(2);
        if streams && self.wakes_at(call.from).is_some_and(|wakes| wakes <= self.now) {
            self.submit(call.from.slot, HostEvent::AttemptStarted(call.request, call.attempt));
            self.end_call(&call, 30_000, AttemptOutcome::Streamed);
            return;
        }
        let body = Bytes::from(self.content_of(&call));
        let content_type = "text/plain".to_owned();
        let answer = RecordedAnswer { status: 200, content_type, headers: Vec::new(), body };
        self.end_call(&call, 1_000, AttemptOutcome::Answered(answer));
    }

    /// What the upstream answers: it knows only what the request says.
    fn content_of(&self, call: &CallFlight) -> String {
        if call.asset.is_empty() {
            self.oracle.expected(call.ticket.0)
        } else {
            format!("{} {}", call.ticket.0, call.asset)
        }
    }
}
