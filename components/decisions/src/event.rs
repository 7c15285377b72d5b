//! Everything that can happen to an entry host.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use wagtailledge_inventory::UpstreamKey;
use wagtailledge_inventory::item::ItemMap;

use crate::message::PeerEnvelope;
use crate::order::EngineListing;
use crate::order::OrderKey;
use crate::order::OrderOutcome;
use crate::request::CallerRequest;
use crate::request::RecordedAnswer;
use crate::request::RequestKey;
use crate::request::RequestTicket;
use crate::retry::RetryRules;
use crate::store::CallId;
use crate::store::StoreOutcome;
use crate::time::Moment;

/// Whether a listed host takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedState {
    /// In service.
    Live,
    /// On its way out: takes no new work.
    Leaving,
}

/// One line of the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// Name, unique in the deployment.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Scope of placement that the zone belongs to.
    pub scope: String,
    /// Address for messages between entry hosts; empty for upstreams.
    pub peer_address: String,
    /// Processor time an entry host may use, in thousandths of a core; 0 when that is not known.
    pub capacity: u32,
    /// Whether it takes new work.
    pub state: ListedState,
}

/// An upstream that registered itself with the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredUpstream {
    /// Name, unique among those registered.
    pub name: String,
    /// Start of its process, in milliseconds since 1970 on its own clock; tells restarts apart.
    pub born: u64,
    /// Service that it is an instance of, or whose pool it belongs to.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Scope of placement that the zone belongs to.
    pub scope: String,
    /// IP address and port.
    pub address: String,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ListedState,
    /// How long it stays, if it is to be taken away soon.
    pub remaining: Option<Duration>,
    /// The platform's revision of its entry.
    #[serde(skip)]
    pub revision: u64,
    /// What an engine holds, where it is known; names only what serves.
    #[serde(skip)]
    pub listing: Option<EngineListing>,
}

/// One change among the upstreams that register themselves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryChange {
    /// It appeared, or says something new.
    Present(Box<RegisteredUpstream>),
    /// Its entry, by name, is gone as of this revision of the platform.
    Absent(String, u64),
}

impl RegistryChange {
    /// Name of the upstream.
    pub fn name(&self) -> &str {
        match self {
            Self::Present(upstream) => &upstream.name,
            Self::Absent(name, _) => name,
        }
    }
}

/// Load of an upstream, as it tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting there.
    pub waiting: u32,
}

/// How an exchange with an upstream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer was passed on while it came.
    Streamed,
    /// The whole answer is here.
    Answered(RecordedAnswer),
    /// The upstream says, or the connection shows, that it did not run.
    NotRun {
        /// The upstream holds something else than the placement says.
        misplaced: bool,
    },
    /// No connection: it did not run, and the upstream may be gone.
    Unreached,
    /// It may have run.
    Broken,
}

/// Everything that can happen to an entry host.
#[derive(Debug, Clone)]
pub enum HostEvent {
    /// Time passed.
    Tick,
    /// A caller's request arrived whole.
    Arrived(CallerRequest),
    /// The caller went away.
    CallerLeft(RequestTicket),
    /// The upstream's answer begins and has not been passed on yet.
    AttemptStarted(RequestKey, u32),
    /// The exchange with the upstream ended.
    AttemptEnded(RequestKey, u32, AttemptOutcome),
    /// A message from another entry host.
    Peer(Box<PeerEnvelope>),
    /// An answer of the key-value service.
    Store(CallId, StoreOutcome),
    /// An answer of an engine to an order.
    Order(OrderKey, OrderOutcome),
    /// A load report of an upstream.
    Load(UpstreamKey, UpstreamLoad),
    /// The platform's configuration, whole, with its revision.
    Inventory(u64, ItemMap),
    /// The lease record of this host's scope as the key-value service tells it without being asked:
    /// its version and value.
    Lease(u64, String),
    /// All entry hosts that the platform knows.
    Members(Vec<ListedHost>),
    /// Changes among the upstreams that register themselves.
    Registry(Vec<RegistryChange>),
    /// The host list was read; the question was asked at the moment given.
    Hosts(Moment, Vec<ListedHost>),
    /// The settings name other limits on retries.
    RetryRules(RetryRules),
    /// This process was told to end.
    Drain,
    /// This process ends within a moment: what still waits is refused.
    DrainOver,
}
