//! Sends requests to upstreams and their answers to callers.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use futures::future::AbortHandle;
use futures::future::Abortable;
use futures::future::LocalBoxFuture;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::request::RequestKey;
use wagtailledge_decisions::request::RequestTicket;
use wagtailledge_frontend::CallTarget;
use wagtailledge_frontend::DepartureGuard;
use wagtailledge_frontend::part_channel;
use wagtailledge_inventory::UpstreamKey;
use wagtailledge_upstreams::CallEvent;
use wagtailledge_upstreams::UpstreamCall;

use crate::calls::LiveAttempt;
use crate::calls::PendingStream;
use crate::notes::AttemptTimes;
use crate::notes::log_attempt;
use crate::shell::EntryShell;

/// Parts of a stream held for a slow caller before its upstream has to wait.
const STREAM_PARTS: usize = 8;
/// Connections for requests that may run once only must have been used this recently, so that
/// they hardly ever meet a connection which its upstream is closing.
const RECENT_USE: Duration = Duration::from_secs(2);
/// An exchange goes on this much longer than its request may, so that the decisions end it.
const PAUSE_SLACK: Duration = Duration::from_secs(1);

/// One dispatch, as decided.
#[derive(Debug)]
pub struct DispatchPlan {
    /// The request.
    pub request: RequestKey,
    /// Number of the attempt within the request.
    pub attempt: u32,
    /// Number given by the front.
    pub ticket: RequestTicket,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Unique name of the asset; empty for plain services.
    pub asset: String,
    /// Rank of the request.
    pub rank: u8,
}

impl EntryShell {
    /// Sends a request to its upstream.
    pub(crate) fn dispatch(self: &Rc<Self>, plan: DispatchPlan) {
        let (request, number) = (plan.request, plan.attempt);
        let Some(call) = self.upstream_call(&plan) else {
            let outcome = AttemptOutcome::NotRun { misplaced: true };
            self.submit(HostEvent::AttemptEnded(request, number, outcome));
            return;
        };
        let (abort, registration) = AbortHandle::new_pair();
        if let Some(live) = self.calls.borrow_mut().get_mut(plan.ticket) {
            live.attempt = Some(LiveAttempt { number, abort });
        }
        self.recent.borrow_mut().insert(plan.upstream, Instant::now());
        let shell = Rc::clone(self);
        let times = Rc::new(RefCell::new(AttemptTimes::start()));
        let (request_id, upstream) = (call.request_id.clone(), call.upstream.clone());
        actix_rt::spawn(async move {
            let ticket = plan.ticket;
            let exchange = Rc::clone(&shell).exchange(call, plan, Rc::clone(&times));
            // An aborted exchange has closed its connection; the upstream may have run it.
            let outcome =
                Abortable::new(exchange, registration).await.unwrap_or(AttemptOutcome::Broken);
            if outcome == AttemptOutcome::Streamed {
                let mut calls = shell.calls.borrow_mut();
                let sender = calls.get_mut(ticket).and_then(|live| live.sender.take());
                if let Some(sender) = sender {
                    sender.finish();
                }
            }
            let times = times.borrow();
            log_attempt(&shell.me.name, &request_id, &upstream, number, &times, &outcome);
            shell.submit(HostEvent::AttemptEnded(request, number, outcome));
        });
    }

    fn upstream_call(&self, plan: &DispatchPlan) -> Option<UpstreamCall> {
        let (address, upstream, relayed_engine) = self.read(|reducer| {
            let record = reducer.catalog().upstreams.get(plan.upstream)?;
            Some((record.address.parse().ok()?, record.name.clone(), record.registered))
        })?;
        let mut calls = self.calls.borrow_mut();
        let live = calls.get_mut(plan.ticket)?;
        let call = &live.call;
        let left = live.deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
        let remaining = left.unwrap_or(self.parts.stream_pause);
        let reuse = match &call.target {
            _ if live.terms.repeatable => Duration::MAX,
            CallTarget::Route { .. } if relayed_engine => RECENT_USE,
            CallTarget::Model { .. } => Duration::MAX,
            _ => Duration::ZERO,
        };
        let pause = match &call.target {
            CallTarget::Route { .. } => remaining + PAUSE_SLACK,
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
            remaining,
            resume_after: live.last_event,
            repeatable: live.terms.repeatable,
            whole_events: live.terms.resumable,
            reuse,
            pause,
            max_answer: self.parts.max_answer,
        })
    }

    async fn exchange(
        self: Rc<Self>,
        call: UpstreamCall,
        plan: DispatchPlan,
        times: Rc<RefCell<AttemptTimes>>,
    ) -> AttemptOutcome {
        let upstreams = Rc::clone(&self.parts.upstreams);
        let shell = Rc::clone(&self);
        let mut on_event = move |event: CallEvent| -> LocalBoxFuture<'static, bool> {
            match event {
                CallEvent::Load(load) => {
                    shell.submit(HostEvent::Load(plan.upstream, load));
                    futures::future::ready(true).boxed_local()
                }
                CallEvent::Started(head) => {
                    times.borrow_mut().status = head.status;
                    shell.begin_stream(plan.ticket, head.status, head.headers);
                    shell.submit(HostEvent::AttemptStarted(plan.request, plan.attempt));
                    // Nobody waits for an answer that was not passed on.
                    let unwanted = shell.take_pending(plan.ticket);
                    drop(unwanted);
                    futures::future::ready(true).boxed_local()
                }
                CallEvent::Part(part, last) => {
                    times.borrow_mut().part_came();
                    let mut calls = shell.calls.borrow_mut();
                    let Some(live) = calls.get_mut(plan.ticket) else {
                        return futures::future::ready(false).boxed_local();
                    };
                    live.last_event = last.or(live.last_event);
                    let sender = live.sender.clone();
                    async move {
                        match sender {
                            Some(sender) => sender.send(part).await,
                            None => false,
                        }
                    }
                    .boxed_local()
                }
            }
        };
        upstreams.call(call, &mut on_event).await
    }

    /// Makes the way for an answer that is passed on, unless an earlier attempt did.
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
        let guard = DepartureGuard::new(move || shell.submit(HostEvent::CallerLeft(ticket)));
        let (sender, parts) = part_channel(STREAM_PARTS, guard);
        live.sender = Some(sender);
        live.pending = Some(PendingStream { status, headers, parts });
    }

    /// Takes back an answer that has begun and was not passed on.
    fn take_pending(&self, ticket: RequestTicket) -> Option<PendingStream> {
        self.calls.borrow_mut().get_mut(ticket)?.pending.take()
    }
}
