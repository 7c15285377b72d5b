//! Answer to readiness checks.

use std::rc::Rc;

use hyper::StatusCode;

use crate::gate::CallerGate;

use super::text::TextSource;

/// Answers readiness checks: 200 while `gate` is ready, else 503.
pub fn readiness_source(gate: Rc<dyn CallerGate>) -> TextSource {
    Rc::new(move || {
        if gate.is_ready() {
            (StatusCode::OK, "ready\n".to_owned())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
        }
    })
}
