//! Calls from callers, and their attempts at upstreams.

use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::request::CallerRequest;
use wagtailledge_decisions::request::RecordedAnswer;
use wagtailledge_decisions::request::RefusalReason;
use wagtailledge_decisions::request::RequestRepeat;
use wagtailledge_decisions::request::RequestTarget;
use wagtailledge_decisions::request::RequestTicket;

use crate::oracle::CallRecord;

use super::event_queue::DispatchedCall;
use super::event_queue::ProcessId;
use super::event_queue::ScheduledEvent;
use super::inventory::ASSETS;
use super::inventory::SERVICE;
use super::state::FuzzWorld;
use super::streams::stream_terms;

/// Time after which an attempt without an answer counts as broken, in microseconds.
const CALL_TIMEOUT: u64 = 2_000_000;
/// Time after which a leaving upstream must receive no new work, in microseconds.
const LEAVING_GRACE: u64 = 5_000_000;

impl FuzzWorld {
    /// The process in a slot, if it accepts calls: it runs and is neither frozen nor draining.
    pub(super) fn accepting_process(&self, slot: usize) -> Option<ProcessId> {
        let process = self.slots[slot].process.as_ref()?;
        let awake = process.frozen_until <= self.now;
        (awake && !process.draining).then_some(process.id)
    }

    /// Makes a call for a model or adapter. Returns its number, or `None` if the host does not
    /// accept it.
    pub fn request_model(&mut self, slot: usize, asset: usize, deadline: Duration) -> Option<u64> {
        self.accepting_process(slot)?;
        let process = self.slots[slot].process.as_ref()?;
        let name = ASSETS[asset % ASSETS.len()];
        let target = process.reducer.resolve_model(name)?;
        let RequestTarget::Asset(key) = target else {
            return None;
        };
        let unique_name = process.reducer.catalog().assets[key].name.clone();
        let call = self.last_call + 1;
        let expected = format!("{call} {unique_name}");
        let request = CallerRequest {
            ticket: RequestTicket(call),
            target,
            repeat: RequestRepeat::Idempotent,
            deadline: Some(deadline),
            caller: call % 5,
            account: None,
            terms: stream_terms(call),
        };
        self.submit_request(slot, request, expected, None);
        Some(call)
    }

    /// Makes a non-idempotent service call; `key` 0 means no idempotency key. Returns its number,
    /// or `None` if the host does not accept it.
    pub fn call_service(&mut self, slot: usize, key: u32, deadline: Duration) -> Option<u64> {
        self.accepting_process(slot)?;
        let process = self.slots[slot].process.as_ref()?;
        let (target, idempotent) = process.reducer.resolve_service(SERVICE, "POST", "/start")?;
        let name = (key > 0).then(|| format!("key-{key}"));
        let call = self.last_call + 1;
        let expected = name.clone().unwrap_or_else(|| format!("call {call}"));
        let reducer = &process.reducer;
        let repeat = reducer.service_repeat(SERVICE, idempotent, name.as_deref(), u64::from(key));
        let request = CallerRequest {
            ticket: RequestTicket(call),
            target,
            repeat,
            deadline: Some(deadline),
            caller: call % 5,
            account: None,
            terms: None,
        };
        self.submit_request(slot, request, expected, name);
        Some(call)
    }

    pub(super) fn submit_request(
        &mut self,
        slot: usize,
        request: CallerRequest,
        expected: String,
        key: Option<String>,
    ) {
        let ticket = request.ticket;
        let call = ticket.0;
        self.last_call = call;
        let now = self.now;
        let Some(process) = self.slots[slot].process.as_mut() else {
            return;
        };
        process.open_calls.insert(ticket, call);
        let idempotent = request.repeat == RequestRepeat::Idempotent;
        let deadline = process.clock(now).after(request.deadline.unwrap_or(Duration::MAX)).0;
        let record = CallRecord {
            expected,
            deadline,
            key,
            idempotent,
            runs: 0,
            settled: false,
            refused_as_not_run: false,
        };
        self.oracle.record_call(call, record);
        self.submit(slot, HostEvent::RequestArrived(request));
    }

    /// Disconnects the caller of an open call, picked by `choice`.
    pub(super) fn disconnect_caller(&mut self, choice: usize) {
        let open: Vec<(usize, RequestTicket)> = self
            .slots
            .iter()
            .enumerate()
            .filter_map(|(slot, place)| Some((slot, place.process.as_ref()?)))
            .filter(|(_, process)| process.frozen_until <= self.now)
            .flat_map(|(slot, process)| {
                process.open_calls.keys().map(move |ticket| (slot, *ticket))
            })
            .collect();
        if open.is_empty() {
            return;
        }
        let (slot, ticket) = open[choice % open.len()];
        let process = self.slots[slot].process.as_mut();
        if let Some(call) = process.and_then(|process| process.open_calls.remove(&ticket)) {
            self.oracle.record_abandoned(call);
        }
        self.submit(slot, HostEvent::CallerDisconnected(ticket));
    }

    /// Executes an effect that concerns callers or upstreams.
    pub(super) fn apply_request_effect(&mut self, from: ProcessId, effect: HostEffect) {
        match effect {
            HostEffect::Dispatch { request, attempt, ticket, upstream, asset, .. } => {
                let Some(process) = self.slots[from.slot].process.as_ref() else {
                    return;
                };
                let name = process.reducer.catalog().upstreams[upstream].name.clone();
                let dispatched = process.clock(self.now);
                let upstream = self.upstream_index(&name);
                self.check_leaving(upstream);
                let call =
                    DispatchedCall { upstream, asset, from, request, attempt, ticket, dispatched };
                if self.is_upstream_cut(from.slot, upstream) {
                    self.schedule_attempt_end(
                        &call,
                        50_000,
                        AttemptOutcome::NotRun { misplaced: false },
                    );
                    return;
                }
                let delay = self.rng.random_range(500..3_000 + self.faults.max_extra_delay / 4);
                self.schedule_after(delay, ScheduledEvent::CallArrival(call));
            }
            HostEffect::Answer(ticket, answer) => {
                let content = String::from_utf8_lossy(&answer.body).into_owned();
                self.deliver_answer(from, ticket, &content);
            }
            HostEffect::Forward { ticket, attempt } => {
                self.forward_stream(ticket.0, attempt);
                let process = self.slots[from.slot].process.as_ref();
                let call = process.and_then(|process| process.open_calls.get(&ticket).copied());
                if let Some(call) = call {
                    // The events of a streamed answer are checked one by one.
                    let expected = self.oracle.expected_content(call);
                    self.deliver_answer(from, ticket, &expected);
                }
            }
            HostEffect::Refuse(ticket, refusal) => {
                if let Some((call, clock)) = self.close_call(from, ticket) {
                    if refusal.reason == RefusalReason::AccountQuota {
                        self.record_quota_refusal(call);
                    }
                    self.oracle.record_refusal(call, clock, refusal.outcome);
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

    /// Closes an open call. Returns its number and the time by its host's clock.
    fn close_call(&mut self, from: ProcessId, ticket: RequestTicket) -> Option<(u64, u64)> {
        let now = self.now;
        let process = self.slots[from.slot].process.as_mut()?;
        let clock = process.clock(now).0;
        // A disconnected caller has no open call, so its answer is not recorded.
        process.open_calls.remove(&ticket).map(|call| (call, clock))
    }

    fn deliver_answer(&mut self, from: ProcessId, ticket: RequestTicket, content: &str) {
        if let Some((call, clock)) = self.close_call(from, ticket) {
            self.oracle.record_answer(call, clock, content);
        }
    }

    fn upstream_index(&self, name: &str) -> usize {
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
        let grace_over = engine.leaving_since.is_some_and(|since| self.now > since + LEAVING_GRACE);
        if grace_over {
            let name = engine.name.clone();
            self.oracle.report_work_while_leaving(&name);
        }
    }

    pub(super) fn schedule_attempt_end(
        &mut self,
        call: &DispatchedCall,
        delay: u64,
        outcome: AttemptOutcome,
    ) {
        let end = ScheduledEvent::AttemptEnd(call.from, call.request, call.attempt, outcome);
        self.schedule_after(delay, end);
    }

    /// Starts a call at its upstream, or ends the attempt if it cannot run.
    pub(super) fn start_call(&mut self, call: DispatchedCall) {
        if self.is_upstream_cut(call.from.slot, call.upstream) {
            self.schedule_attempt_end(&call, CALL_TIMEOUT, AttemptOutcome::Broken);
            return;
        }
        self.record_arrival(&call);
        if call.upstream < self.engines.len() {
            self.retries.record(self.now, call.attempt);
        }
        if let Some(engine) = self.engines.get_mut(call.upstream) {
            if !engine.is_ready(self.now, &call.asset) {
                self.schedule_limit_notice(&call, 1_000, true);
                self.schedule_attempt_end(&call, 1_000, AttemptOutcome::NotRun { misplaced: true });
                return;
            }
            engine.count_running(&call.asset, true);
            if self.chance(20) {
                self.engines[call.upstream].count_running(&call.asset, false);
                self.schedule_limit_notice(&call, 1_000, true);
                self.schedule_attempt_end(
                    &call,
                    1_000,
                    AttemptOutcome::NotRun { misplaced: false },
                );
                return;
            }
        }
        self.oracle.record_run(call.ticket.0);
        self.record_quota_run(&call);
        let time = self.rng.random_range(5_000..400_000);
        self.schedule_after(time, ScheduledEvent::CallDone(call));
    }

    /// Sends the answer of an upstream that has finished a call.
    pub(super) fn finish_call(&mut self, call: DispatchedCall) {
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
        if self.faults.upstreams_failing {
            self.schedule_attempt_end(&call, 1_000, AttemptOutcome::Broken);
            return;
        }
        let lost =
            self.chance(self.faults.loss) || self.is_upstream_cut(call.from.slot, call.upstream);
        if cancelled || lost {
            self.schedule_attempt_end(&call, CALL_TIMEOUT, AttemptOutcome::Broken);
            return;
        }
        self.schedule_limit_notice(&call, 1_000, false);
        if self.finish_stream(&call) {
            return;
        }
        let body = Bytes::from(self.answer_content(&call));
        let content_type = "text/plain".to_owned();
        let answer = RecordedAnswer { status: 200, content_type, headers: Vec::new(), body };
        self.schedule_attempt_end(&call, 1_000, AttemptOutcome::Answered(answer));
    }

    /// Content of the upstream's answer, computed from what the request says.
    fn answer_content(&self, call: &DispatchedCall) -> String {
        if call.asset.is_empty() {
            self.oracle.expected_content(call.ticket.0)
        } else {
            format!("{} {}", call.ticket.0, call.asset)
        }
    }
}
