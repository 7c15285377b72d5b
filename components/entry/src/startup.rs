//! Requests that arrive before the first configuration of a process.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::timeout;
use tokio::sync::Notify;

/// Most requests that wait for the first configuration. A process that starts among many gets a few
/// dozen in the half second until it has one.
const MAX_WAITING_REQUESTS: usize = 512;
/// Most bytes of the bodies of these requests.
const MAX_WAITING_BYTES: usize = 8 << 20;
/// Divisor of the time that a caller waits: a request may wait for that part of it. The rest is left to
/// serve it, or for the caller to try another host.
const WAIT_DIVISOR: u32 = 4;

/// Lets requests wait for the first configuration for a limited time after the start of the process.
#[derive(Debug)]
pub struct StartupQueue {
    /// End of the wait, whether or not there is a configuration.
    ends: Instant,
    configured: Notify,
    is_configured: Cell<bool>,
    requests: Cell<usize>,
    bytes: Cell<usize>,
}

/// Place of a request in the queue. Dropping it frees the place.
#[derive(Debug)]
pub struct StartupPlace {
    queue: Rc<StartupQueue>,
    bytes: usize,
    longest_wait: Duration,
}

impl StartupQueue {
    /// A queue in which requests wait for `max_wait` after now at most; zero means not at all.
    pub fn new(max_wait: Duration) -> Rc<Self> {
        Rc::new(Self {
            ends: Instant::now() + max_wait,
            configured: Notify::new(),
            is_configured: Cell::new(false),
            requests: Cell::new(0),
            bytes: Cell::new(0),
        })
    }

    /// Lets all waiting requests go on, because a configuration is in force.
    pub fn open(&self) {
        if !self.is_configured.replace(true) {
            self.configured.notify_waiters();
        }
    }

    /// A place for a request with a body of `bytes`, whose caller waits for `deadline`; `None` if the
    /// time is over or the queue is full.
    pub fn enter(
        self: &Rc<Self>,
        bytes: usize,
        deadline: Option<Duration>,
    ) -> Option<StartupPlace> {
        let time_left = self.ends.saturating_duration_since(Instant::now());
        let longest_wait = deadline.map_or(time_left, |wait| time_left.min(wait / WAIT_DIVISOR));
        let fits = self.requests.get() < MAX_WAITING_REQUESTS
            && self.bytes.get() + bytes <= MAX_WAITING_BYTES;
        if longest_wait.is_zero() || self.is_configured.get() || !fits {
            return None;
        }
        self.requests.set(self.requests.get() + 1);
        self.bytes.set(self.bytes.get() + bytes);
        Some(StartupPlace { queue: Rc::clone(self), bytes, longest_wait })
    }

    /// Number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.requests.get()
    }
}

impl StartupPlace {
    /// Waits until there is a configuration, or the request may wait no longer.
    pub async fn wait(&self) {
        let configured = self.queue.configured.notified();
        if !self.queue.is_configured.get() {
            // The caller looks the configuration up again, whichever of the two happened.
            let _ = timeout(self.longest_wait, configured).await;
        }
    }
}

impl Drop for StartupPlace {
    fn drop(&mut self) {
        self.queue.requests.set(self.queue.requests.get() - 1);
        self.queue.bytes.set(self.queue.bytes.get() - self.bytes);
    }
}
