//! Ends exchanges from outside.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

use tokio::sync::Notify;

#[derive(Default)]
struct StopState {
    is_requested: Cell<bool>,
    requested: Notify,
}

/// Ends an exchange as if its upstream had failed: the outcome says what is known of the request and
/// its answer. Clones control the same exchange.
#[derive(Clone, Default)]
pub struct ExchangeStop(Rc<StopState>);

impl ExchangeStop {
    /// Ends the exchange the next time that it waits for its upstream.
    pub fn request(&self) {
        self.0.is_requested.set(true);
        self.0.requested.notify_waiters();
    }

    /// Returns once the end was requested.
    pub(crate) async fn requested(&self) {
        if !self.0.is_requested.get() {
            self.0.requested.notified().await;
        }
    }
}

impl fmt::Debug for ExchangeStop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ExchangeStop")
    }
}
