//! Orders, which make engines load or unload assets: request, answer and sender.

use std::fmt;
use std::net::SocketAddr;

use futures::future::LocalBoxFuture;
use serde::Deserialize;
use serde::Serialize;
use wagtailledge_decisions::event::UpstreamStatement;
use wagtailledge_decisions::order::EngineReport;
use wagtailledge_decisions::order::OrderKind;
use wagtailledge_decisions::order::OrderOutcome;
use wagtailledge_decisions::order::ResidentAsset;

use crate::stream::WritePermit;

/// Body of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Fencing token. Engines that check tokens refuse one smaller than the largest seen so far.
    pub token: u64,
    /// Number of orders that the engine must have accepted before, if it counts them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected: Option<u64>,
    /// Action to execute.
    pub order: OrderKind,
}

/// Whether an engine executed an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderVerdict {
    /// The order was executed.
    Accepted,
    /// The order was not executed.
    Refused,
    /// The order was not executed because the engine has seen a larger token.
    StaleToken,
}

/// Body of the answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Whether the order was executed.
    pub verdict: OrderVerdict,
    /// All resident assets after the order.
    pub held: Vec<ResidentAsset>,
}

impl From<OrderAnswer> for OrderOutcome {
    fn from(answer: OrderAnswer) -> Self {
        match answer.verdict {
            OrderVerdict::Accepted => Self::Accepted(resident_assets(answer.held)),
            OrderVerdict::Refused => Self::Refused(resident_assets(answer.held)),
            OrderVerdict::StaleToken => Self::StaleToken,
        }
    }
}

fn resident_assets(resident: Vec<ResidentAsset>) -> EngineReport {
    EngineReport { resident, ..EngineReport::default() }
}

/// Engine that receives an order, and the host that sends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderTarget {
    /// IP address and port of the engine.
    pub address: SocketAddr,
    /// Name of the engine.
    pub upstream: String,
    /// Service whose pool the engine belongs to; empty if none.
    pub service: String,
    /// Name of the host that sends the order.
    pub holder: String,
}

/// Outcome of an order, and what the answer to it said about the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderReply {
    /// Whether the engine executed the order.
    pub outcome: OrderOutcome,
    /// What the engine said about itself; nothing if it did not answer.
    pub statement: UpstreamStatement,
}

impl From<OrderOutcome> for OrderReply {
    fn from(outcome: OrderOutcome) -> Self {
        Self { outcome, statement: UpstreamStatement::default() }
    }
}

/// Client that sends orders to engines.
pub trait OrderSender: fmt::Debug {
    /// Sends an order. `permit` is checked right before the order is written on an open connection; if
    /// it does not hold, the order is not sent and the outcome is `NotSent`.
    fn send(
        &self,
        target: OrderTarget,
        request: OrderRequest,
        permit: WritePermit,
    ) -> LocalBoxFuture<'static, OrderReply>;
}
