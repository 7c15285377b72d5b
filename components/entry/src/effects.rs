//! Executes the effects that the reducer returns.

use std::rc::Rc;

use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::HostIdentity;
use wagtailledge_decisions::effect::DecisionRecord;
use wagtailledge_decisions::message::MESSAGE_VERSION;
use wagtailledge_decisions::message::PeerEnvelope;
use wagtailledge_decisions::message::PeerMessage;
use wagtailledge_decisions::order::EngineOrder;
use wagtailledge_decisions::order::OrderOutcome;
use wagtailledge_decisions::request::RefusalReason;
use wagtailledge_decisions::request::RequestTicket;
use wagtailledge_decisions::store::StoreCall;
use wagtailledge_decisions::store::StoreOutcome;
use wagtailledge_frontend::CallerReply;
use wagtailledge_inventory::UpstreamKey;
use wagtailledge_upstreams::OrderRequest;
use wagtailledge_upstreams::OrderTarget;
use wagtailledge_upstreams::WritePermit;

use crate::calls::PendingStream;
use crate::dispatch::DispatchPlan;
use crate::log_records::describe_order;
use crate::log_records::kind_name;
use crate::log_records::log_decision;
use crate::log_records::log_order;
use crate::shell::EntryShell;

impl EntryShell {
    /// Executes one effect. Requests, orders and store calls run in tasks, which submit the outcome
    /// as an event.
    pub(crate) fn execute(self: &Rc<Self>, effect: HostEffect) {
        match effect {
            HostEffect::Dispatch { request, attempt, ticket, upstream, asset, rank } => {
                let dispatched = self.now();
                let plan =
                    DispatchPlan { request, attempt, ticket, upstream, asset, rank, dispatched };
                self.dispatch(plan);
            }
            HostEffect::Forward { ticket, .. } => self.forward_stream(ticket),
            HostEffect::Answer(ticket, answer) => self.reply(ticket, CallerReply::Answer(*answer)),
            HostEffect::Refuse(ticket, refusal) => {
                if refusal.reason == RefusalReason::AccountQuota {
                    self.parts.metrics.count("quota.refused");
                }
                self.reply(ticket, CallerReply::Refusal(refusal));
            }
            HostEffect::Cancel(ticket, attempt) => self.cancel_attempt(ticket, attempt),
            HostEffect::EndAttempt(ticket, attempt) => {
                self.parts.metrics.count("attempt.cut_off");
                self.end_attempt(ticket, attempt);
            }
            HostEffect::CheckUpstream(upstream) => self.check_upstream(upstream),
            HostEffect::Send(to, message) => self.send_message(&[to], *message),
            HostEffect::Broadcast(receivers, message) => self.send_message(&receivers, *message),
            HostEffect::Store(call) => self.call_store(call),
            HostEffect::Order(order) => self.send_order(order),
            HostEffect::RecordEstimate(first) => {
                self.parts.metrics.time("route.estimate_error", first.error());
            }
            HostEffect::LogDecision(record) => self.record_decision(&record),
        }
    }

    fn record_decision(&self, record: &DecisionRecord) {
        let calls = self.calls.borrow();
        let request_id = record.ticket.map_or("", |ticket| calls.request_id(ticket));
        let account = record.ticket.and_then(|ticket| calls.account(ticket));
        log_decision(record, &self.identity.name, request_id, account);
        self.parts.metrics.count(&format!("decision.{}", kind_name(record.kind)));
    }

    fn reply(&self, ticket: RequestTicket, reply: CallerReply) {
        if let Some(waited) = self.calls.borrow_mut().reply(ticket, reply) {
            self.parts.metrics.time("request.time", waited);
        }
    }

    fn forward_stream(&self, ticket: RequestTicket) {
        let mut calls = self.calls.borrow_mut();
        let Some(stream) = calls.get_mut(ticket).and_then(|live| live.pending.take()) else {
            return;
        };
        let PendingStream { status, headers, parts } = stream;
        let waited = calls.reply(ticket, CallerReply::Stream { status, headers, parts });
        if let Some(waited) = waited {
            self.parts.metrics.time("request.time", waited);
        }
    }

    fn cancel_attempt(self: &Rc<Self>, ticket: RequestTicket, attempt: u32) {
        let mut calls = self.calls.borrow_mut();
        let current = calls.get_mut(ticket).and_then(|live| live.attempt.as_ref());
        if let Some(current) = current.filter(|current| current.number == attempt) {
            current.abort.abort();
        }
    }

    fn send_message(&self, receivers: &[HostIdentity], message: PeerMessage) {
        if let PeerMessage::QuotaAsk(report) = &message {
            report.asks.iter().for_each(|_| self.parts.metrics.count("quota.asked"));
        }
        let envelope =
            PeerEnvelope { version: MESSAGE_VERSION, from: self.identity.clone(), message };
        let addresses = receivers.iter().map(|receiver| receiver.address.as_str());
        self.parts.peers.send(addresses, &envelope);
    }

    fn check_upstream(self: &Rc<Self>, upstream: UpstreamKey) {
        let address = self.read(|reducer| {
            let record = reducer.catalog().upstreams.get(upstream)?;
            record.address.parse().ok()
        });
        let Some(address) = address else {
            return;
        };
        let check = self.parts.upstreams.check(address);
        let shell = Rc::clone(self);
        actix_rt::spawn(async move {
            let reach = check.await;
            shell.submit(HostEvent::UpstreamChecked(upstream, reach));
        });
    }

    fn call_store(self: &Rc<Self>, call: StoreCall) {
        let outcome = self.parts.store.call(call.op);
        let shell = Rc::clone(self);
        actix_rt::spawn(async move {
            let outcome = outcome.await;
            if outcome == StoreOutcome::Failed {
                shell.parts.metrics.count("store.failed");
            }
            shell.submit(HostEvent::StoreOutcome(call.id, outcome));
        });
    }

    fn send_order(self: &Rc<Self>, order: EngineOrder) {
        let target = self.read(|reducer| {
            let record = reducer.catalog().upstreams.get(order.upstream)?;
            let address = record.address.parse().ok()?;
            let (upstream, holder) = (record.name.clone(), self.identity.name.clone());
            let services = &reducer.catalog().services;
            let service = record.service.and_then(|service| services.get(service));
            let service = service.map_or_else(String::new, |service| service.name.clone());
            Some(OrderTarget { address, upstream, service, holder })
        });
        let Some(target) = target else {
            self.submit(HostEvent::OrderOutcome(order.key, OrderOutcome::NotSent));
            return;
        };
        let shell = Rc::clone(self);
        let (token, valid_until) = (order.token, order.valid_until);
        let permit = WritePermit::new(Box::new(move || {
            let now = shell.now();
            now < valid_until && shell.read(|reducer| reducer.may_send_order(now, token))
        }));
        let upstream = target.upstream.clone();
        let request = OrderRequest { token, expected: order.expected, order: order.kind };
        let described = describe_order(&request.order);
        let dispatched = self.now();
        let reply = self.parts.orders.send(target, request, permit);
        let shell = Rc::clone(self);
        actix_rt::spawn(async move {
            let reply = reply.await;
            if reply.outcome == OrderOutcome::NotSent {
                shell.parts.metrics.count("order.not_sent");
            }
            let host = &shell.identity.name;
            log_order(host, &upstream, &described, token, order.expected, &reply);
            shell.submit_statement(order.upstream, dispatched, &reply.statement);
            shell.submit(HostEvent::OrderOutcome(order.key, reply.outcome));
        });
    }
}
