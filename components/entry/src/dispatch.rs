//! Sends requests to upstreams and forwards the answers to callers.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use futures::future::AbortHandle;
use futures::future::Abortable;
use futures::future::LocalBoxFuture;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::Moment;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::event::UpstreamStatement;
use wagtailledge_decisions::limits::LimitNotice;
use wagtailledge_decisions::request::RequestKey;
use wagtailledge_decisions::request::RequestTicket;
use wagtailledge_frontend::CallTarget;
use wagtailledge_frontend::DepartureGuard;
use wagtailledge_frontend::part_channel;
use wagtailledge_inventory::UpstreamKey;
use wagtailledge_upstreams::CallEvent;
use wagtailledge_upstreams::ExchangeStop;
use wagtailledge_upstreams::UpstreamCall;

use crate::calls::LiveAttempt;
use crate::calls::PendingStream;
use crate::log_records::AttemptTimes;
use crate::log_records::log_attempt;
use crate::shell::EntryShell;
use crate::streams::StreamProgress;

/// Parts of a stream buffered for a slow caller before reading from its upstream stops.
const MAX_BUFFERED_PARTS: usize = 8;
/// Requests that may run only once reuse a connection only if it was used this recently, because
/// the upstream may be closing an older one.
const SINGLE_RUN_REUSE: Duration = Duration::from_secs(2);
/// Added to the time left for a request to get the timeout of its exchange, so that the reducer
/// ends the request before the timeout does.
const TIMEOUT_SLACK: Duration = Duration::from_secs(1);

/// A decision of the reducer to send a request to an upstream.
#[derive(Debug)]
pub struct DispatchPlan {
    /// Key of the request in the reducer.
    pub request: RequestKey,
    /// Number of the attempt within the request.
    pub attempt: u32,
    /// Ticket of the request's open call.
    pub ticket: RequestTicket,
    /// Upstream that the request is sent to.
    pub upstream: UpstreamKey,
    /// Unique name of the asset; empty for plain services.
    pub asset: String,
    /// Rank of the request, passed on to the upstream; lower ranks are served first.
    pub rank: u8,
    /// When the reducer dispatched it.
    pub dispatched: Moment,
}

impl EntryShell {
    /// Sends a request to its upstream in a new task, which submits the outcome of the attempt.
    pub(crate) fn dispatch(self: &Rc<Self>, plan: DispatchPlan) {
        let (request, number) = (plan.request, plan.attempt);
        let (key, dispatched) = (plan.upstream, plan.dispatched);
        let Some(call) = self.upstream_call(&plan) else {
            let outcome = AttemptOutcome::NotRun { misplaced: true };
            self.submit(HostEvent::AttemptEnded(request, number, outcome));
            return;
        };
        let (abort, registration) = AbortHandle::new_pair();
        let progress = Rc::new(StreamProgress::default());
        if let Some(live) = self.calls.borrow_mut().get_mut(plan.ticket) {
            live.attempt = Some(LiveAttempt {
                number,
                request,
                upstream: key,
                abort,
                stop: call.stop.clone(),
                progress: Rc::clone(&progress),
            });
        }
        self.recently_used.borrow_mut().insert(plan.upstream, Instant::now());
        let shell = Rc::clone(self);
        let prompt = self.read(|reducer| reducer.prompt_text(request));
        let times = Rc::new(RefCell::new(AttemptTimes::start(prompt)));
        let (request_id, upstream) = (call.request_id.clone(), call.upstream.clone());
        actix_rt::spawn(async move {
            let ticket = plan.ticket;
            let exchange =
                Rc::clone(&shell).exchange(call, plan, Rc::clone(&times), Rc::clone(&progress));
            // Aborting closes the connection, but the upstream may have run the request.
            let outcome =
                Abortable::new(exchange, registration).await.unwrap_or(AttemptOutcome::Broken);
            progress.record_end();
            if outcome == AttemptOutcome::Streamed {
                let mut calls = shell.calls.borrow_mut();
                let sender = calls.get_mut(ticket).and_then(|live| live.sender.take());
                if let Some(sender) = sender {
                    sender.finish();
                }
            }
            let times = times.borrow();
            log_attempt(&shell.identity.name, &request_id, &upstream, number, &times, &outcome);
            if times.is_truncated() {
                shell.parts.metrics.count("answer.truncated");
            }
            if times.is_without_parts() {
                shell.parts.metrics.count("answer.broken_at_start");
            }
            if times.is_without_limit(&outcome) {
                let notice = LimitNotice::Unlimited;
                shell.submit(HostEvent::LimitStatement(key, dispatched, notice));
            }
            shell.submit(HostEvent::AttemptEnded(request, number, outcome));
            if !shell.read(|reducer| reducer.is_request_open(ticket)) {
                shell.calls.borrow_mut().drop_body(ticket);
            }
        });
    }

    fn upstream_call(&self, plan: &DispatchPlan) -> Option<UpstreamCall> {
        let (address, upstream, is_registered, has_accounts) = self.read(|reducer| {
            let catalog = reducer.catalog();
            let record = catalog.upstreams.get(plan.upstream)?;
            let address = record.address.parse().ok()?;
            Some((address, record.name.clone(), record.registered, catalog.has_accounts()))
        })?;
        let mut calls = self.calls.borrow_mut();
        let live = calls.get_mut(plan.ticket)?;
        if has_accounts {
            // The configuration may have got accounts since the call arrived.
            live.call.remove_identity();
        }
        let call = &live.call;
        let time_left =
            live.deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
        let remaining = time_left.unwrap_or(self.parts.stream_pause);
        let reuse_within = match &call.target {
            // An answer cannot name a request without an id.
            _ if call.request_id.is_empty() => Duration::ZERO,
            _ if live.terms.repeatable => Duration::MAX,
            CallTarget::Route { .. } if is_registered => SINGLE_RUN_REUSE,
            CallTarget::Model { .. } => Duration::MAX,
            _ => Duration::ZERO,
        };
        let max_wait = match &call.target {
            CallTarget::Route { .. } => remaining + TIMEOUT_SLACK,
            _ => self.parts.stream_pause.max(remaining),
        };
        Some(UpstreamCall {
            address,
            upstream,
            method: call.method.clone(),
            path: call.path.clone(),
            headers: call.headers.clone(),
            body: call.body.clone(),
            request_id: call.request_id.clone(),
            asset: plan.asset.clone(),
            rank: plan.rank,
            account: live.account.clone(),
            remaining,
            resume_after: live.last_event,
            repeatable: live.terms.repeatable,
            expects_events: live.terms.streaming,
            complete_events_only: live.terms.resumable,
            reuse_within,
            max_wait,
            max_buffered_bytes: self.parts.max_answer_bytes,
            stop: ExchangeStop::default(),
        })
    }

    async fn exchange(
        self: Rc<Self>,
        call: UpstreamCall,
        plan: DispatchPlan,
        times: Rc<RefCell<AttemptTimes>>,
        progress: Rc<StreamProgress>,
    ) -> AttemptOutcome {
        let upstreams = Rc::clone(&self.parts.upstreams);
        let shell = Rc::clone(&self);
        let mut on_event = move |event: CallEvent| -> LocalBoxFuture<'static, bool> {
            match event {
                CallEvent::Statement(status, mut statement) => {
                    times.borrow_mut().status = status;
                    times.borrow_mut().statement = statement;
                    // Only the end of the answer shows whether that counts.
                    statement.limit.take_if(|notice| *notice == LimitNotice::Unlimited);
                    shell.submit_statement(plan.upstream, plan.dispatched, &statement);
                    futures::future::ready(true).boxed_local()
                }
                CallEvent::Started(head) => {
                    progress.record_read(shell.now());
                    shell.begin_stream(plan.ticket, head.status, head.headers);
                    shell.submit(HostEvent::AttemptStarted(plan.request, plan.attempt));
                    // If the reducer did not forward the stream, no caller waits for it.
                    let unforwarded = shell.take_pending(plan.ticket);
                    drop(unforwarded);
                    futures::future::ready(true).boxed_local()
                }
                CallEvent::Ended(end) => {
                    times.borrow_mut().body_end = Some(end);
                    futures::future::ready(true).boxed_local()
                }
                CallEvent::Part(part, last) => {
                    let is_first = times.borrow_mut().record_part();
                    if is_first {
                        shell.submit(HostEvent::AttemptAdvanced(plan.request, plan.attempt));
                    }
                    let mut calls = shell.calls.borrow_mut();
                    let Some(live) = calls.get_mut(plan.ticket) else {
                        return futures::future::ready(false).boxed_local();
                    };
                    live.last_event = last.or(live.last_event);
                    let sender = live.sender.clone();
                    progress.record_held_back(shell.now());
                    let (shell, progress) = (Rc::clone(&shell), Rc::clone(&progress));
                    async move {
                        let is_sent = match sender {
                            Some(sender) => sender.send(part).await,
                            None => false,
                        };
                        progress.record_read(shell.now());
                        is_sent
                    }
                    .boxed_local()
                }
            }
        };
        upstreams.call(call, &mut on_event).await
    }

    /// Submits what the answer to a request or order, sent at `dispatched`, says about its upstream.
    pub(crate) fn submit_statement(
        self: &Rc<Self>,
        upstream: UpstreamKey,
        dispatched: Moment,
        statement: &UpstreamStatement,
    ) {
        let load = statement.load.map(|load| HostEvent::LoadReport(upstream, load));
        let limit = statement.limit;
        let limit = limit.map(|notice| HostEvent::LimitStatement(upstream, dispatched, notice));
        let leaving = statement.leaving.then_some(HostEvent::LeavingReport(upstream));
        let pause = statement.pause.map(|pause| HostEvent::PauseReport(upstream, pause));
        for event in [load, limit, leaving, pause].into_iter().flatten() {
            self.submit(event);
        }
    }

    /// Creates the channel to the caller for a stream, unless an earlier attempt did.
    fn begin_stream(
        self: &Rc<Self>,
        ticket: RequestTicket,
        status: u16,
        headers: hyper::HeaderMap,
    ) {
        let mut calls = self.calls.borrow_mut();
        let Some(live) = calls.get_mut(ticket).filter(|live| live.sender.is_none()) else {
            return;
        };
        let shell = Rc::clone(self);
        let guard =
            DepartureGuard::new(move || shell.submit(HostEvent::CallerDisconnected(ticket)));
        let (sender, parts) = part_channel(MAX_BUFFERED_PARTS, guard);
        live.sender = Some(sender);
        live.pending = Some(PendingStream { status, headers, parts });
    }

    /// Takes the started stream, unless it was forwarded.
    fn take_pending(&self, ticket: RequestTicket) -> Option<PendingStream> {
        self.calls.borrow_mut().get_mut(ticket)?.pending.take()
    }
}
