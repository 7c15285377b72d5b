//! The orders that reached an engine.

use std::time::Instant;

use serde_json::Value;

/// An order that reached an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRecord {
    /// Name of the host that sent it.
    pub holder: String,
    /// Fencing token that it carried.
    pub token: u64,
    /// Model that it names.
    pub model: String,
    /// Status that it was answered with; 412 if its token was lower than an earlier one.
    pub status: u16,
    /// When it arrived.
    pub arrived: Instant,
}

impl OrderRecord {
    /// Record of an order that arrives now.
    pub(super) fn new(body: &Value, status: u16) -> Self {
        let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        let arrived = Instant::now();
        Self { holder: text("holder"), token, model: text("model"), status, arrived }
    }
}
