//! Orders to engines on the wire.

use std::fmt;
use std::net::SocketAddr;

use futures::future::LocalBoxFuture;
use serde::Deserialize;
use serde::Serialize;
use wagtailledge_decisions::order::EngineListing;
use wagtailledge_decisions::order::HeldAsset;
use wagtailledge_decisions::order::OrderKind;
use wagtailledge_decisions::order::OrderOutcome;

/// Body of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Fencing token.
    pub token: u64,
    /// Orders the engine must have accepted before, where it counts them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected: Option<u64>,
    /// What to do.
    pub order: OrderKind,
}

/// An engine's word on an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderVerdict {
    /// Carried out.
    Accepted,
    /// Not carried out.
    Refused,
    /// Not carried out: a larger token has been seen.
    StaleToken,
}

/// Body of the answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// What became of it.
    pub verdict: OrderVerdict,
    /// Everything held afterwards.
    pub held: Vec<HeldAsset>,
}

impl From<OrderAnswer> for OrderOutcome {
    fn from(answer: OrderAnswer) -> Self {
        match answer.verdict {
            OrderVerdict::Accepted => Self::Accepted(listing(answer.held)),
            OrderVerdict::Refused => Self::Refused(listing(answer.held)),
            OrderVerdict::StaleToken => Self::StaleToken,
        }
    }
}

fn listing(held: Vec<HeldAsset>) -> EngineListing {
    EngineListing { held, ..EngineListing::default() }
}

/// The engine that an order is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderTarget {
    /// IP address and port.
    pub address: SocketAddr,
    /// Name of the engine.
    pub upstream: String,
    /// Service whose pool it belongs to; empty for none.
    pub service: String,
    /// Name of the host that sends the order.
    pub holder: String,
}

/// Sends orders to engines.
pub trait OrderSender: fmt::Debug {
    /// Sends an order. `may_write` is asked right before the first byte is written; when it
    /// answers false the order ends as `NotSent`.
    fn send(
        &self,
        target: OrderTarget,
        request: OrderRequest,
        may_write: Box<dyn Fn() -> bool>,
    ) -> LocalBoxFuture<'static, OrderOutcome>;
}
