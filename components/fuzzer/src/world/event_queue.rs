//! Events that are scheduled in virtual time, among them messages in flight.

use wagtailledge_decisions::Moment;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::event::ListedHost;
use wagtailledge_decisions::limits::LimitNotice;
use wagtailledge_decisions::message::PeerEnvelope;
use wagtailledge_decisions::order::EngineOrder;
use wagtailledge_decisions::order::OrderKey;
use wagtailledge_decisions::order::OrderKind;
use wagtailledge_decisions::order::OrderOutcome;
use wagtailledge_decisions::request::RequestKey;
use wagtailledge_decisions::request::RequestTicket;
use wagtailledge_decisions::store::StoreCall;
use wagtailledge_decisions::store::StoreCallId;
use wagtailledge_decisions::store::StoreOp;

use super::store::StoreReply;

/// Identifies a process by its slot and its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessId {
    /// Index of the slot.
    pub slot: usize,
    /// Number of the process within its slot, from 1.
    pub incarnation: u64,
}

/// A call that was dispatched to an upstream.
#[derive(Debug, Clone)]
pub struct DispatchedCall {
    /// Index of the upstream: engines first, then service instances.
    pub upstream: usize,
    /// Unique name of the asset; empty for a service call.
    pub asset: String,
    /// Process that dispatched it.
    pub from: ProcessId,
    /// Key of the request in the process's reducer.
    pub request: RequestKey,
    /// Number of the attempt within the request.
    pub attempt: u32,
    /// Ticket that the frontend would give the call; it contains the number of the call.
    pub ticket: RequestTicket,
    /// When it was dispatched, by the clock of that process.
    pub dispatched: Moment,
}

/// A message in flight, or the end of an operation that takes time.
#[derive(Debug, Clone)]
pub enum ScheduledEvent {
    /// A peer message arrives at the process in this slot.
    Peer(usize, Box<PeerEnvelope>),
    /// A call from this process reaches the key-value service.
    StoreCall(ProcessId, StoreCall),
    /// The key-value service carries out a write whose process gets no answer.
    LateWrite(StoreOp),
    /// The answer to a call to the key-value service reaches the process that made the call.
    StoreAnswer(ProcessId, StoreCallId, StoreReply),
    /// A process is about to send an order.
    OrderWrite(ProcessId, EngineOrder),
    /// An order from this process reaches an engine: order key, engine index, fencing token, kind.
    OrderArrival(ProcessId, OrderKey, usize, u64, OrderKind),
    /// The outcome of an order reaches the process that sent the order.
    OrderAnswer(ProcessId, OrderKey, OrderOutcome),
    /// A dispatched call reaches its upstream.
    CallArrival(DispatchedCall),
    /// The upstream finishes a dispatched call.
    CallDone(DispatchedCall),
    /// The outcome of an attempt reaches the process that made the attempt.
    AttemptEnd(ProcessId, RequestKey, u32, AttemptOutcome),
    /// What the answer to a call says about a limit reaches the process that made the call.
    LimitNotice(DispatchedCall, LimitNotice),
    /// A caller of this account sends a request.
    QuotaCall(usize),
    /// The host list reaches a process that requested it at this time of its own clock.
    HostList(ProcessId, Moment, Vec<ListedHost>),
}
