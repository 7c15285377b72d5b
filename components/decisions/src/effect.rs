//! Everything that the reducer can ask the shell to do.

use wagtailledge_inventory::UpstreamKey;

use crate::identity::HostStamp;
use crate::message::PeerMessage;
use crate::order::EngineOrder;
use crate::request::CallerRefusal;
use crate::request::RecordedAnswer;
use crate::request::RequestKey;
use crate::request::RequestTicket;
use crate::store::StoreCall;

/// What a decision was about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecisionKind {
    /// Which upstream gets a request.
    Route,
    /// A request is refused.
    Refuse,
    /// A request ends because its caller went away.
    Abandon,
    /// A replica is loaded.
    Load,
    /// A replica is unloaded.
    Unload,
    /// Who leads a zone.
    Lead,
    /// Which configuration is in force.
    Configure,
    /// An upstream is set aside or taken back.
    Health,
}

/// A decision to be logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecisionNote {
    /// What it was about.
    pub kind: DecisionKind,
    /// The request, if there is one.
    pub ticket: Option<RequestTicket>,
    /// The asset, service or zone.
    pub subject: String,
    /// What was chosen.
    pub choice: String,
    /// Why.
    pub reason: &'static str,
    /// How many other choices there were.
    pub alternatives: usize,
}

/// Everything that the reducer can ask the shell to do.
#[derive(Debug, Clone)]
pub enum HostEffect {
    /// Send the request to the upstream; answer with `AttemptStarted` and `AttemptEnded`.
    Dispatch {
        /// The request.
        request: RequestKey,
        /// Number of the attempt within the request.
        attempt: u32,
        /// Number given by the front.
        ticket: RequestTicket,
        /// The upstream.
        upstream: UpstreamKey,
        /// Unique name of the asset; empty for plain services.
        asset: String,
        /// Rank of the request's class, for upstreams that honour priorities.
        rank: u8,
    },
    /// Pass the answer that began on to the caller.
    Forward {
        /// Number given by the front.
        ticket: RequestTicket,
        /// Number of the attempt within the request.
        attempt: u32,
    },
    /// Give the caller this answer.
    Answer(RequestTicket, Box<RecordedAnswer>),
    /// Refuse the request, or cut its answer off if it has begun.
    Refuse(RequestTicket, CallerRefusal),
    /// Close the connection of this attempt.
    Cancel(RequestTicket, u32),
    /// Send a message to another entry host.
    Send(HostStamp, Box<PeerMessage>),
    /// Send the same message to several other entry hosts.
    Broadcast(Vec<HostStamp>, Box<PeerMessage>),
    /// Call the key-value service.
    Store(StoreCall),
    /// Send an order to an engine.
    Order(EngineOrder),
    /// Log a decision.
    Note(DecisionNote),
}

impl HostEffect {
    /// Sends `message` to another entry host.
    pub fn send(to: HostStamp, message: PeerMessage) -> Self {
        Self::Send(to, Box::new(message))
    }
}
