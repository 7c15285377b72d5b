//! Input events of the reducer.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use wagtailledge_inventory::UpstreamKey;
use wagtailledge_inventory::item::ItemMap;

use crate::limits::LimitNotice;
use crate::message::PeerEnvelope;
use crate::order::EngineReport;
use crate::order::OrderKey;
use crate::order::OrderOutcome;
use crate::request::CallerRequest;
use crate::request::RecordedAnswer;
use crate::request::RequestKey;
use crate::request::RequestTicket;
use crate::retry::RetryRules;
use crate::store::StoreCallId;
use crate::store::StoreOutcome;
use crate::time::Moment;

/// Whether a listed host or upstream accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedState {
    /// Accepts new work.
    Live,
    /// Shutting down: finishes its requests and accepts no new work.
    Leaving,
}

/// Process that wrote an entry host's entry of the platform's host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedProcess {
    /// Its incarnation, as in [`HostIdentity`](crate::identity::HostIdentity).
    pub incarnation: u64,
    /// Version of the entry. It comes from the key-value service that also holds the lease records, so it can be
    /// compared with theirs.
    pub version: u64,
}

/// Entry of the platform's host list: an entry host or an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// Name of the host or upstream, unique in the deployment.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Placement scope that the zone belongs to.
    pub scope: String,
    /// Address for messages from other entry hosts; empty for upstreams.
    pub peer_address: String,
    /// CPU time that an entry host may use, in thousandths of a core; 0 when unknown.
    pub capacity: u32,
    /// Whether it accepts new work.
    pub state: ListedState,
    /// Process of an entry host that wrote the entry; `None` if the list does not say it.
    pub process: Option<ListedProcess>,
}

/// An upstream that registered itself with the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredUpstream {
    /// Name, unique among the registered upstreams.
    pub name: String,
    /// Start time of its process, in milliseconds since 1970 on its own clock; a new value means
    /// a restart.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Service that it is an instance of, or whose pool it belongs to.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Placement scope that the zone belongs to.
    pub scope: String,
    /// IP address and port for requests.
    pub address: String,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Version of its software; empty if its entry does not say it.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub software: String,
    /// Whether it accepts new work.
    pub state: ListedState,
    /// Time until it is removed; `None` while no removal is planned.
    pub remaining: Option<Duration>,
    /// Revision of its entry in the platform's key-value service.
    #[serde(skip)]
    pub revision: u64,
    /// Engine report that lists only the assets that serve requests; `None` when unknown.
    #[serde(skip)]
    pub report: Option<EngineReport>,
}

/// Change of one registered upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryChange {
    /// The upstream registered, or its entry changed.
    Present(Box<RegisteredUpstream>),
    /// The entry of the named upstream was deleted at this revision of the platform's key-value
    /// service.
    Absent(String, u64),
}

impl RegistryChange {
    /// Name of the upstream that changed.
    pub fn name(&self) -> &str {
        match self {
            Self::Present(upstream) => &upstream.name,
            Self::Absent(name, _) => name,
        }
    }
}

/// Load of an upstream, as the upstream reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Requests that it is running.
    pub running: u32,
    /// Requests in its own queue.
    pub waiting: u32,
    /// How long work takes there at this moment, in percent of the usual time; `None` if it does not say.
    pub pace: Option<u16>,
}

/// What an answer says about the upstream that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UpstreamStatement {
    /// Its load; `None` if the answer does not name it.
    pub load: Option<UpstreamLoad>,
    /// Whether it limits requests; `None` if its protocol has no limits, or the limit is unreadable.
    pub limit: Option<LimitNotice>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Time for which it wants no request from this host; `None` if the answer does not say.
    pub pause: Option<Duration>,
}

/// How an attempt to run a request on an upstream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete answer was streamed to the caller.
    Streamed,
    /// The complete answer was received and has not been sent to the caller.
    Answered(RecordedAnswer),
    /// The request did not run, according to the upstream or the state of the connection.
    NotRun {
        /// Whether the upstream's resident assets differ from the placement.
        misplaced: bool,
    },
    /// No connection could be opened: the request did not run, and the upstream may be down.
    Unreached,
    /// The attempt failed, and the request may have run. Another attempt may serve the request, or
    /// continue its stream after the last event.
    Broken,
    /// The attempt failed after a part of the answer was forwarded, and no other attempt can
    /// continue from there.
    Truncated,
}

/// What an attempt to connect to an upstream showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamReach {
    /// It accepted the connection.
    Listening,
    /// Its address refused the connection: no process listens there.
    Refused,
    /// There was no reply.
    Silent,
}

/// Streams in progress that are silent although their callers keep up.
#[derive(Debug, Clone, Default)]
pub struct StreamObservation {
    /// Request and attempt number of each silent stream, and when its last part arrived.
    pub silent: Vec<(RequestKey, u32, Moment)>,
    /// Upstreams of the other streams, and when something last arrived from them.
    pub heard: Vec<(UpstreamKey, Moment)>,
}

/// Input event of the reducer.
#[derive(Debug, Clone)]
pub enum HostEvent {
    /// Periodic timer tick.
    Tick,
    /// A caller's request was received completely.
    RequestArrived(CallerRequest),
    /// The caller of a request disconnected.
    CallerDisconnected(RequestTicket),
    /// The answer of an attempt, given by request and attempt number, begins. The runtime holds it
    /// back until the effect `Forward`.
    AttemptStarted(RequestKey, u32),
    /// The first part of the answer of an attempt, given by request and attempt number, arrived.
    AttemptAdvanced(RequestKey, u32),
    /// An attempt, given by request and attempt number, ended.
    AttemptEnded(RequestKey, u32, AttemptOutcome),
    /// Some streams in progress are silent; repeated while they are.
    StreamsObserved(StreamObservation),
    /// A message from another entry host was received.
    Peer(Box<PeerEnvelope>),
    /// A call to the key-value service ended.
    StoreOutcome(StoreCallId, StoreOutcome),
    /// An order to an engine ended, or the engine has started it.
    OrderOutcome(OrderKey, OrderOutcome),
    /// An upstream reported its load.
    LoadReport(UpstreamKey, UpstreamLoad),
    /// An answer of an upstream says whether it limits requests; the moment is when the request or
    /// order was sent.
    LimitStatement(UpstreamKey, Moment, LimitNotice),
    /// An answer of an upstream says that it is leaving.
    LeavingReport(UpstreamKey),
    /// An upstream that turned a request away wants no other from this host for this time.
    PauseReport(UpstreamKey, Duration),
    /// The check of an upstream ended.
    UpstreamChecked(UpstreamKey, UpstreamReach),
    /// The key-value service's watch delivered the quarantine record: its version and value. The
    /// value is empty if there is none.
    Quarantine(u64, String),
    /// The key-value service's watch delivered the record of software versions: its version and value.
    /// The value is empty if there is none.
    SoftwareRecord(u64, String),
    /// Everything that was in the key-value service at this moment has been delivered.
    StoreSeen(Moment),
    /// A call to follow the key-value service failed.
    StoreLost,
    /// The platform delivered its complete configuration, with its revision.
    Inventory(u64, ItemMap),
    /// The key-value service's watch delivered the lease record of this host's scope: its version
    /// and value.
    Lease(u64, String),
    /// The platform delivered its complete list of entry hosts.
    Members(Vec<ListedHost>),
    /// Registered upstreams changed.
    Registry(Vec<RegistryChange>),
    /// The platform's list of entry hosts and upstreams was read; the moment is when the read was
    /// sent.
    HostListRead(Moment, Vec<ListedHost>),
    /// The platform's list still named an earlier process of this host when this one registered.
    EarlierProcess,
    /// The settings were reloaded with new retry limits.
    RetryRules(RetryRules),
    /// This process must shut down: it starts to drain.
    Drain,
    /// The drain time is over and this process is about to exit: waiting requests are refused, and so
    /// are those that arrive or return from an upstream.
    DrainOver,
}
