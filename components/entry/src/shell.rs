//! Turns I/O into events for the reducer.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::HostReducer;
use wagtailledge_decisions::HostStamp;
use wagtailledge_decisions::Moment;
use wagtailledge_decisions::TimingRules;
use wagtailledge_decisions::host::HostStatus;
use wagtailledge_inventory::UpstreamKey;
use wagtailledge_keyvalue::KeyValueService;
use wagtailledge_peers::PeerClient;
use wagtailledge_upstreams::OrderSender;
use wagtailledge_upstreams::UpstreamCaller;

use crate::calls::CallTable;
use crate::metrics::HostMetrics;

/// Load reports are read from upstreams that this host used within this time.
const LOAD_INTEREST: Duration = Duration::from_secs(5);
/// The monotonic clock starts above zero, so that no moment before the start is cut off at zero.
const CLOCK_START: Duration = Duration::from_secs(86_400);

/// What an entry host is put together from.
#[derive(Debug, Clone)]
pub struct ShellParts {
    /// The key-value service.
    pub store: Rc<dyn KeyValueService>,
    /// Calls to upstreams.
    pub upstreams: Rc<dyn UpstreamCaller>,
    /// Orders to engines.
    pub orders: Rc<dyn OrderSender>,
    /// Messages to other entry hosts.
    pub peers: PeerClient,
    /// Metrics.
    pub metrics: Rc<HostMetrics>,
    /// Longest answer kept whole, in bytes.
    pub max_answer: usize,
    /// Longest pause within a stream.
    pub stream_pause: Duration,
}

/// The reducer of one entry host with everything around it. All of it runs on one thread.
#[derive(Debug)]
pub struct EntryShell {
    pub(crate) parts: ShellParts,
    pub(crate) me: HostStamp,
    reducer: RefCell<HostReducer>,
    pub(crate) calls: RefCell<CallTable>,
    /// Upstreams used lately, and when.
    pub(crate) recent: RefCell<HashMap<UpstreamKey, Instant>>,
    events: RefCell<VecDeque<HostEvent>>,
    /// The queue of events is being worked off further up the call stack.
    working: Cell<bool>,
    started: Instant,
}

impl EntryShell {
    /// Puts an entry host together; nothing runs yet.
    pub fn new(parts: ShellParts, me: HostStamp, timing: TimingRules, seed: u64) -> Rc<Self> {
        let started = Instant::now();
        let now = Moment(CLOCK_START.as_micros() as u64);
        let reducer = HostReducer::new(now, me.clone(), timing, seed);
        Rc::new(Self {
            parts,
            me,
            reducer: RefCell::new(reducer),
            calls: RefCell::default(),
            recent: RefCell::default(),
            events: RefCell::default(),
            working: Cell::new(false),
            started,
        })
    }

    /// Who this process is.
    pub fn stamp(&self) -> &HostStamp {
        &self.me
    }

    /// Now, on the clock the reducer knows.
    pub fn now(&self) -> Moment {
        Moment((CLOCK_START + self.started.elapsed()).as_micros() as u64)
    }

    /// Hands an event to the reducer and carries out what follows.
    pub fn submit(self: &Rc<Self>, event: HostEvent) {
        self.events.borrow_mut().push_back(event);
        if self.working.replace(true) {
            return;
        }
        let mut effects = Vec::new();
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else {
                break;
            };
            self.reducer.borrow_mut().reduce(self.now(), event, &mut effects);
            for effect in effects.drain(..) {
                self.carry_out(effect);
            }
        }
        self.working.set(false);
    }

    /// Reads from the reducer.
    pub fn read<T>(&self, read: impl FnOnce(&HostReducer) -> T) -> T {
        read(&self.reducer.borrow())
    }

    /// The status for operators.
    pub fn status(&self) -> HostStatus {
        self.read(|reducer| reducer.status(self.now()))
    }

    /// Forgets calls that have ended.
    pub fn sweep(&self) {
        let ended = {
            let reducer = self.reducer.borrow();
            self.calls.borrow_mut().take_ended(|ticket| reducer.holds(ticket))
        };
        // What is dropped here may submit events, for which nothing may be borrowed.
        drop(ended);
        self.recent.borrow_mut().retain(|_, used| used.elapsed() < LOAD_INTEREST);
    }

    /// Addresses of the upstreams whose load is of interest.
    pub fn load_targets(&self) -> Vec<(UpstreamKey, SocketAddr)> {
        let reducer = self.reducer.borrow();
        let recent = self.recent.borrow();
        let address = |key: &UpstreamKey| {
            let record = reducer.catalog().upstreams.get(*key)?;
            Some((*key, record.address.parse().ok()?))
        };
        recent.keys().filter_map(address).collect()
    }

    /// Sends the gauges.
    pub fn report(&self) {
        let status = self.status();
        let metrics = &self.parts.metrics;
        let (messages, bytes) = self.parts.peers.sent();
        metrics.gauge("request.waiting", status.waiting as u64);
        metrics.gauge("request.open", status.requests as u64);
        metrics.gauge("configuration.revision", status.revision);
        metrics.gauge("ledger.unrecorded", status.unrecorded as u64);
        metrics.gauge("peer.messages", messages);
        metrics.gauge("peer.bytes", bytes);
    }
}
