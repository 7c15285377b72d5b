//! Open connections of callers.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

/// State of an open connection.
#[derive(Debug)]
pub struct ConnectionRecord {
    /// Number of requests being served.
    active_requests: Cell<u32>,
    /// End of the latest request; the opening of the connection before the first one.
    idle_since: Cell<Instant>,
    /// Signals the connection's task to close it once no request is being served.
    pub close_requested: Notify,
}

impl ConnectionRecord {
    /// Counts a request as being served until the guard is dropped.
    pub fn count_request(self: &Rc<Self>) -> RequestGuard {
        self.active_requests.set(self.active_requests.get() + 1);
        RequestGuard { record: Rc::clone(self) }
    }

    fn is_idle_since(&self, moment: Instant) -> bool {
        self.active_requests.get() == 0 && self.idle_since.get() <= moment
    }
}

/// Counts a request as being served until the guard is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    record: Rc<ConnectionRecord>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.record.active_requests.set(self.record.active_requests.get() - 1);
        self.record.idle_since.set(Instant::now());
    }
}

/// Open connections of a server.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    records: RefCell<Vec<Weak<ConnectionRecord>>>,
    open_count: Rc<Cell<usize>>,
}

/// Counts a connection as open until the permit is dropped.
#[derive(Debug)]
pub struct ConnectionPermit {
    /// State of the connection.
    pub record: Rc<ConnectionRecord>,
    open_count: Rc<Cell<usize>>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open_count.set(self.open_count.get() - 1);
    }
}

impl ConnectionTable {
    /// Adds a connection, which counts as open until the permit is dropped.
    pub fn open(&self) -> ConnectionPermit {
        let record = Rc::new(ConnectionRecord {
            active_requests: Cell::new(0),
            idle_since: Cell::new(Instant::now()),
            close_requested: Notify::new(),
        });
        self.records.borrow_mut().push(Rc::downgrade(&record));
        self.open_count.set(self.open_count.get() + 1);
        ConnectionPermit { record, open_count: Rc::clone(&self.open_count) }
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.open_count.get()
    }

    /// Closes the connections that have been idle for `min_idle` or, if `all` is set, every
    /// connection; one with a request in progress is then closed after the response.
    pub fn request_close(&self, min_idle: Duration, all: bool) {
        let idle_cutoff = Instant::now().checked_sub(min_idle);
        self.records.borrow_mut().retain(|record| {
            let Some(record) = record.upgrade() else {
                return false;
            };
            if all || idle_cutoff.is_some_and(|idle_cutoff| record.is_idle_since(idle_cutoff)) {
                record.close_requested.notify_one();
            }
            true
        });
    }
}
