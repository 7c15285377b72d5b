//! Callers' connections while they are open.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

/// One open connection.
#[derive(Debug)]
pub struct ConnectionRecord {
    /// Requests being served on it.
    active: Cell<u32>,
    /// When the last request ended, or it was opened.
    since: Cell<Instant>,
    /// Tells the connection's task to close it once no request is being served.
    pub closing: Notify,
}

impl ConnectionRecord {
    /// Counts a request until the guard is dropped.
    pub fn serve(self: &Rc<Self>) -> ActiveGuard {
        self.active.set(self.active.get() + 1);
        ActiveGuard { record: Rc::clone(self) }
    }

    fn is_idle_since(&self, moment: Instant) -> bool {
        self.active.get() == 0 && self.since.get() <= moment
    }
}

/// Counts one request of a connection.
#[derive(Debug)]
pub struct ActiveGuard {
    record: Rc<ConnectionRecord>,
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.record.active.set(self.record.active.get() - 1);
        self.record.since.set(Instant::now());
    }
}

/// All open connections.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    records: RefCell<Vec<Weak<ConnectionRecord>>>,
    open: Rc<Cell<usize>>,
}

/// Counts a connection while it is open.
#[derive(Debug)]
pub struct ConnectionPermit {
    /// The connection.
    pub record: Rc<ConnectionRecord>,
    open: Rc<Cell<usize>>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

impl ConnectionTable {
    /// Adds a connection.
    pub fn open(&self) -> ConnectionPermit {
        let record = Rc::new(ConnectionRecord {
            active: Cell::new(0),
            since: Cell::new(Instant::now()),
            closing: Notify::new(),
        });
        self.records.borrow_mut().push(Rc::downgrade(&record));
        self.open.set(self.open.get() + 1);
        ConnectionPermit { record, open: Rc::clone(&self.open) }
    }

    /// Connections open now.
    pub fn count(&self) -> usize {
        self.open.get()
    }

    /// Closes the connections that have been unused for `idle`. Those with a request stay open
    /// until it is answered if `all` is set, and go on otherwise.
    pub fn close_idle(&self, idle: Duration, all: bool) {
        let oldest = Instant::now().checked_sub(idle);
        self.records.borrow_mut().retain(|record| {
            let Some(record) = record.upgrade() else {
                return false;
            };
            if all || oldest.is_some_and(|oldest| record.is_idle_since(oldest)) {
                record.closing.notify_one();
            }
            true
        });
    }
}
