//! The runtime: feeds events to the reducer and executes the effects that it returns.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use log::error;
use rustix::time::ClockId;
use rustix::time::clock_gettime;
use tokio::sync::Notify;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::HostIdentity;
use wagtailledge_decisions::HostReducer;
use wagtailledge_decisions::Moment;
use wagtailledge_decisions::TimingRules;
use wagtailledge_decisions::host::HostStatus;
use wagtailledge_decisions::request::RefusalOutcome;
use wagtailledge_frontend::CallerReply;
use wagtailledge_inventory::UpstreamKey;
use wagtailledge_keyvalue::KeyValueService;
use wagtailledge_memory::MemoryBudget;
use wagtailledge_peers::PeerClient;
use wagtailledge_upstreams::OrderSender;
use wagtailledge_upstreams::UpstreamCaller;

use crate::calls::CallTable;
use crate::gate::host_ends;
use crate::metrics::HostMetrics;
use crate::startup::StartupQueue;
use crate::streams::StreamWatch;

/// Load is polled only from upstreams to which this host sent a request within this time.
const LOAD_POLL_WINDOW: Duration = Duration::from_secs(5);
/// Time on the reducer's clock when the process starts. Far from zero, so that subtracting a
/// duration from a time never saturates.
const CLOCK_OFFSET: Duration = Duration::from_secs(86_400);

/// Services and limits that the runtime executes effects with.
#[derive(Debug, Clone)]
pub struct ShellParts {
    /// Client of the key-value service.
    pub store: Rc<dyn KeyValueService>,
    /// Sends requests to upstreams.
    pub upstreams: Rc<dyn UpstreamCaller>,
    /// Sends orders (load, unload, claim) to engines.
    pub orders: Rc<dyn OrderSender>,
    /// Sends messages to other entry hosts.
    pub peers: PeerClient,
    /// Receives counters, gauges and timers.
    pub metrics: Rc<HostMetrics>,
    /// Maximum size of an answer that is buffered, in bytes.
    pub max_answer_bytes: usize,
    /// Maximum wait for the next part of a stream.
    pub stream_pause: Duration,
    /// Time after the start of the process for which requests wait for its first configuration.
    pub startup_wait: Duration,
    /// Memory for the bodies of requests.
    pub bodies: Arc<MemoryBudget>,
}

/// The runtime of one entry host: the reducer, its open calls and its clock, all on one thread.
#[derive(Debug)]
pub struct EntryShell {
    pub(crate) parts: ShellParts,
    pub(crate) identity: HostIdentity,
    reducer: RefCell<HostReducer>,
    pub(crate) calls: RefCell<CallTable>,
    /// Time of the latest dispatch to each upstream, kept for [`LOAD_POLL_WINDOW`].
    pub(crate) recently_used: RefCell<HashMap<UpstreamKey, Instant>>,
    pub(crate) stream_watch: StreamWatch,
    event_queue: RefCell<VecDeque<HostEvent>>,
    /// Set while a call of [`Self::submit`] further up the stack is processing the event queue.
    is_reducing: Cell<bool>,
    /// Set for good when the code that decides or feeds it has panicked. Its state may be inconsistent
    /// then, so no further event is processed.
    has_failed: Cell<bool>,
    failure: Notify,
    pub(crate) startup: Rc<StartupQueue>,
    /// Time since the boot of the machine when this process started.
    started: Duration,
}

/// Time since the boot of the machine, including the time for which it was suspended. The monotonic
/// clock leaves that out, so that a lease would seem to last longer on a suspended machine.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

impl EntryShell {
    /// Creates the runtime with a reducer seeded with `seed`; no task runs yet.
    pub fn new(
        parts: ShellParts,
        identity: HostIdentity,
        timing: TimingRules,
        seed: u64,
    ) -> Rc<Self> {
        let started = time_since_boot();
        let now = Moment(CLOCK_OFFSET.as_micros() as u64);
        let reducer = HostReducer::new(now, identity.clone(), timing, seed);
        let startup = StartupQueue::new(parts.startup_wait);
        Rc::new(Self {
            parts,
            identity,
            reducer: RefCell::new(reducer),
            calls: RefCell::default(),
            recently_used: RefCell::default(),
            stream_watch: StreamWatch::default(),
            event_queue: RefCell::default(),
            is_reducing: Cell::new(false),
            has_failed: Cell::new(false),
            failure: Notify::new(),
            startup,
            started,
        })
    }

    /// Identity of this process, as other entry hosts see it.
    pub fn identity(&self) -> &HostIdentity {
        &self.identity
    }

    /// Current time on the reducer's clock.
    pub fn now(&self) -> Moment {
        Moment((CLOCK_OFFSET + time_since_boot().saturating_sub(self.started)).as_micros() as u64)
    }

    /// Passes an event to the reducer and executes the effects. Events submitted meanwhile are
    /// queued, and processed before the outermost call returns. A panic in here fails this host.
    pub fn submit(self: &Rc<Self>, event: HostEvent) {
        if self.has_failed() {
            return;
        }
        self.event_queue.borrow_mut().push_back(event);
        if self.is_reducing.replace(true) {
            return;
        }
        let result = catch_unwind(AssertUnwindSafe(|| self.process_events()));
        self.is_reducing.set(false);
        if result.is_err() {
            self.fail("the processing of an event panicked");
        }
    }

    fn process_events(self: &Rc<Self>) {
        let mut effects = Vec::new();
        loop {
            let Some(event) = self.event_queue.borrow_mut().pop_front() else {
                break;
            };
            self.reducer.borrow_mut().reduce(self.now(), event, &mut effects);
            for effect in effects.drain(..) {
                self.execute(effect);
            }
        }
        if self.read(HostReducer::is_configured) {
            self.startup.open();
        }
    }

    /// Records that this host can't go on, and why. It is not ready from then on.
    fn fail(&self, cause: &str) {
        if !self.has_failed.replace(true) {
            error!(host = self.identity.name.as_str(); "this host can no longer serve: {cause}");
            self.failure.notify_one();
        }
    }

    /// Tells callers without a reply that this process ends, and that their calls may have run.
    pub fn end_unanswered_calls(&self) {
        let mut calls = self.calls.borrow_mut();
        for ticket in calls.unanswered() {
            let reply = CallerReply::Refusal(host_ends(RefusalOutcome::Unknown));
            calls.reply(ticket, reply);
        }
    }

    /// Whether this host can no longer decide anything, so that its process must end.
    pub fn has_failed(&self) -> bool {
        self.has_failed.get()
    }

    /// Returns once this host has failed. At most one task may wait for it.
    pub async fn failure(&self) {
        if !self.has_failed() {
            self.failure.notified().await;
        }
    }

    /// Runs a task without which this host can't serve; if it panics, the host fails.
    pub(crate) fn spawn_vital(
        self: &Rc<Self>,
        name: &'static str,
        task: impl Future<Output = ()> + 'static,
    ) {
        let task = actix_rt::spawn(task);
        let shell = Rc::clone(self);
        actix_rt::spawn(async move {
            if task.await.is_err_and(|error| error.is_panic()) {
                shell.fail(&format!("the task '{name}' panicked"));
            }
        });
    }

    /// Calls `read` with the reducer borrowed; `read` must not submit events.
    pub fn read<T>(&self, read: impl FnOnce(&HostReducer) -> T) -> T {
        read(&self.reducer.borrow())
    }

    /// State of this host as reported to operators.
    pub fn status(&self) -> HostStatus {
        self.read(|reducer| reducer.status(self.now()))
    }

    /// Removes the calls that the reducer has finished, and the upstreams not used recently.
    pub fn sweep(&self) {
        let ended = {
            let reducer = self.reducer.borrow();
            self.calls.borrow_mut().remove_ended(|ticket| reducer.is_request_open(ticket))
        };
        // Dropping a call may submit events, so no `RefCell` may be borrowed here.
        drop(ended);
        self.recently_used.borrow_mut().retain(|_, used| used.elapsed() < LOAD_POLL_WINDOW);
    }

    /// Addresses of the upstreams whose load is polled: those used recently.
    pub fn load_targets(&self) -> Vec<(UpstreamKey, SocketAddr)> {
        let reducer = self.reducer.borrow();
        let recently_used = self.recently_used.borrow();
        let address = |key: &UpstreamKey| {
            let record = reducer.catalog().upstreams.get(*key)?;
            Some((*key, record.address.parse().ok()?))
        };
        recently_used.keys().filter_map(address).collect()
    }

    /// Sends the current value of a gauge that an event source keeps.
    pub fn send_gauge(&self, name: &str, value: u64) {
        self.parts.metrics.gauge(name, value);
    }

    /// Sends the current value of every gauge.
    pub fn send_gauges(&self) {
        let status = self.status();
        let metrics = &self.parts.metrics;
        let (messages, bytes) = self.parts.peers.sent();
        metrics.gauge("request.waiting", status.waiting as u64);
        metrics.gauge("request.open", status.requests as u64);
        metrics.gauge("configuration.revision", status.revision);
        metrics.gauge("ledger.unrecorded", status.unrecorded as u64);
        let unreachable = self.read(HostReducer::unreachable_zones);
        metrics.gauge("zone.unreachable", unreachable as u64);
        metrics.gauge("peer.messages", messages);
        metrics.gauge("peer.bytes", bytes);
    }
}
