//! What was last sent to another host, so that only changes are sent again.

use std::time::Duration;

use crate::identity::HostStamp;
use crate::message::TableAck;
use crate::routing::ReplicaView;
use crate::routing::TableRange;
use crate::time::Moment;

/// State of the messages to one other host.
#[derive(Debug, Clone, Default)]
pub struct PeerLink {
    /// The process at the other end; messages start over when it is replaced.
    pub stamp: Option<HostStamp>,
    /// What the other end has confirmed of this process's table.
    pub ack: TableAck,
    /// Version of the table sent last.
    pub sent: Option<u64>,
    /// Configuration revision the other end has in force.
    pub revision: u64,
    /// When the last message was sent.
    pub sent_at: Moment,
    /// Something other than placement should be sent soon.
    pub dirty: bool,
}

impl PeerLink {
    /// Whether a message is due: changes after a pause, anything after a heartbeat.
    pub fn is_due(&self, now: Moment, pause: Duration, heartbeat: Duration, behind: bool) -> bool {
        let waited = now.since(self.sent_at);
        (self.sent_at == Moment::default())
            || waited >= heartbeat
            || ((behind || self.dirty) && waited >= pause)
    }

    /// Notes the sender of a message; forgets everything about an earlier process.
    pub fn heard(&mut self, from: &HostStamp) {
        if self.stamp.as_ref() != Some(from) {
            *self = Self { stamp: Some(from.clone()), ..Self::default() };
        }
    }

    /// Whether the other end lacks changes that were not sent to it yet.
    pub fn is_behind(&self, view: &ReplicaView, scope: TableRange) -> bool {
        view.is_behind(scope, self.ack) && self.sent != Some(view.version(scope))
    }
}
