//! Side effects that the reducer requests from the runtime.

use wagtailledge_inventory::UpstreamKey;

use crate::identity::HostIdentity;
use crate::message::PeerMessage;
use crate::order::EngineOrder;
use crate::request::CallerRefusal;
use crate::request::RecordedAnswer;
use crate::request::RequestKey;
use crate::request::RequestTicket;
use crate::routing::FirstEvent;
use crate::store::StoreCall;

/// Category of a decision record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecisionKind {
    /// An upstream is chosen for a request.
    Route,
    /// A request is refused.
    Refuse,
    /// A request ends because its caller disconnected.
    Abandon,
    /// A replica is loaded.
    Load,
    /// A replica is unloaded.
    Unload,
    /// The leader of a scope changes.
    Lead,
    /// A configuration revision comes into force.
    Configure,
    /// Reject a configuration that another host offered.
    Offer,
    /// An upstream is ejected or readmitted.
    Health,
    /// The limit of an upstream changes.
    Limit,
    /// A host is granted permits for requests to a limited upstream.
    Permit,
    /// Hosts have to ask about every request of an account, or no longer have to.
    Quota,
    /// It becomes known which software version a stream must be continued by, or that versions of a
    /// service's software change.
    Software,
    /// A prompt part is quarantined because it crashes upstreams, or its quarantine ends.
    Quarantine,
    /// The entry of an upstream in the platform's registry appears, changes its process or state, or
    /// is removed.
    Register,
}

/// Log record of one decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecisionRecord {
    /// Category of the decision.
    pub kind: DecisionKind,
    /// Request that the decision concerns, if any.
    pub ticket: Option<RequestTicket>,
    /// Name of what the decision concerns: an asset, service, upstream or scope.
    pub subject: String,
    /// Chosen option, such as the name of an upstream.
    pub choice: String,
    /// Rule or condition that led to the choice.
    pub reason: &'static str,
    /// Number of other options.
    pub alternatives: usize,
    /// What the decision was based on, with its age or version; empty if the other fields say it.
    pub inputs: String,
}

/// Side effect that the reducer requests from the runtime.
#[derive(Debug, Clone)]
pub enum HostEffect {
    /// Sends a request to an upstream; the runtime reports `AttemptStarted` and `AttemptEnded`.
    Dispatch {
        /// Key of the request in the reducer.
        request: RequestKey,
        /// Number of the attempt among those of the request.
        attempt: u32,
        /// Number that the frontend gave the request.
        ticket: RequestTicket,
        /// Upstream that receives the request.
        upstream: UpstreamKey,
        /// Unique name of the asset; empty for plain services.
        asset: String,
        /// Rank of the request, for upstreams that support priorities.
        rank: u8,
    },
    /// Starts to pass the answer of an attempt on to the caller.
    Forward {
        /// Number that the frontend gave the request.
        ticket: RequestTicket,
        /// Number of the attempt among those of the request.
        attempt: u32,
    },
    /// Sends the caller this complete answer.
    Answer(RequestTicket, Box<RecordedAnswer>),
    /// Refuses the request, or cuts its answer off if that has begun.
    Refuse(RequestTicket, CallerRefusal),
    /// Closes the upstream connection of this attempt, given by ticket and attempt number.
    Cancel(RequestTicket, u32),
    /// Ends this attempt, given by ticket and attempt number, as if its upstream had failed. The runtime
    /// reports the outcome with `AttemptEnded`.
    EndAttempt(RequestTicket, u32),
    /// Checks whether an upstream accepts connections.
    CheckUpstream(UpstreamKey),
    /// Sends a message to another entry host.
    Send(HostIdentity, Box<PeerMessage>),
    /// Sends one message to several entry hosts.
    Broadcast(Vec<HostIdentity>, Box<PeerMessage>),
    /// Calls the key-value service.
    Store(StoreCall),
    /// Sends an order to an engine.
    Order(EngineOrder),
    /// Records how far an estimate of a request's first event was from the observed one.
    RecordEstimate(FirstEvent),
    /// Logs a decision.
    LogDecision(DecisionRecord),
}

impl HostEffect {
    /// Returns the effect that sends `message` to the entry host `to`.
    pub fn send(to: HostIdentity, message: PeerMessage) -> Self {
        Self::Send(to, Box::new(message))
    }
}
