//! Entry hosts: each is a slot in which one process after another runs.

use std::collections::BTreeMap;

use wagtailledge_decisions::HostIdentity;
use wagtailledge_decisions::HostReducer;
use wagtailledge_decisions::Moment;
use wagtailledge_decisions::TimingRules;
use wagtailledge_decisions::event::ListedProcess;
use wagtailledge_decisions::request::RequestTicket;

use super::event_queue::ProcessId;

/// Value of a process's clock at its start, in microseconds.
const CLOCK_START: u64 = 1_000_000_000;

/// A running process of an entry host.
#[derive(Debug)]
pub struct FuzzProcess {
    /// Reducer that makes the decisions of this process.
    pub reducer: HostReducer,
    /// Slot and incarnation.
    pub id: ProcessId,
    /// Identity that it sends to peers.
    pub identity: HostIdentity,
    /// Start time, in microseconds of virtual time.
    pub started: u64,
    /// Time until which the process is frozen, in microseconds of virtual time.
    pub frozen_until: u64,
    /// Whether its drain has started.
    pub draining: bool,
    /// Numbers of its open calls by their tickets.
    pub open_calls: BTreeMap<RequestTicket, u64>,
    /// Time of the next tick, in microseconds of virtual time.
    pub next_tick: u64,
    /// Time of the next read of the host list, in microseconds of virtual time.
    pub next_list_read: u64,
    /// Ticket and attempt number of each cancelled attempt.
    pub cancelled: Vec<(RequestTicket, u32)>,
    /// Highest era of the key-value service that an answer named to it.
    pub store_era: u64,
    /// Rate of its clock, in parts per million of virtual time.
    rate: u64,
}

impl FuzzProcess {
    /// Starts a process; `drift` is the drift of its clock, in parts per million.
    pub fn start(
        now: u64,
        id: ProcessId,
        identity: HostIdentity,
        timing: TimingRules,
        drift: i64,
        seed: u64,
    ) -> Self {
        let reducer = HostReducer::new(Moment(CLOCK_START), identity.clone(), timing, seed);
        Self {
            reducer,
            id,
            identity,
            started: now,
            frozen_until: now,
            draining: false,
            open_calls: BTreeMap::new(),
            next_tick: now,
            next_list_read: now,
            cancelled: Vec::new(),
            store_era: 0,
            rate: (1_000_000 + drift) as u64,
        }
    }

    /// Time by its own clock at virtual time `now`.
    pub fn clock(&self, now: u64) -> Moment {
        Moment(CLOCK_START + (now - self.started) * self.rate / 1_000_000)
    }
}

/// An entry host, with or without a running process.
#[derive(Debug)]
pub struct FuzzSlot {
    /// Name of the entry host.
    pub name: String,
    /// Availability zone of the entry host.
    pub zone: String,
    /// The running process; `None` after it was killed or drained.
    pub process: Option<FuzzProcess>,
    /// Number of processes started so far.
    pub incarnations: u64,
    /// Whether the host list contains it.
    pub listed: bool,
    /// Number of times that it moved to another address.
    pub moves: u64,
    /// Process that wrote its entry of the host list, if the list names processes.
    pub writer: Option<ListedProcess>,
}

impl FuzzSlot {
    /// Address of its present or last process.
    pub fn address(&self) -> String {
        format!("{}.{}:70", self.name, self.moves)
    }
}
