//! What was sent to and confirmed by another host, so that messages carry only changes.

use std::time::Duration;

use crate::identity::HostIdentity;
use crate::message::TableAck;
use crate::time::Moment;

/// Time after which a message without confirmation counts as lost.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(400);

/// How far another host's copy of one of this process's tables is known to be up to date.
#[derive(Debug, Clone, Copy, Default)]
pub struct TableSync {
    /// Table and version that the other host last confirmed.
    ack: TableAck,
    /// Latest version sent; `None` before the first, or after a message counts as lost.
    sent: Option<u64>,
    /// Since when sent changes are unconfirmed without progress; `None` if none are.
    unacked_since: Option<Moment>,
}

impl TableSync {
    /// Whether the table has changes that were not sent to the other host.
    pub fn is_behind(&self, table: u64, version: u64) -> bool {
        match self.sent {
            Some(sent) => sent != version,
            None => self.ack.table != table || self.ack.version != version,
        }
    }

    /// Version that the next update starts from: the sent one, as messages are rarely lost, else
    /// the confirmed one.
    pub fn base_version(&self, table: u64) -> u64 {
        let confirmed = if self.ack.table == table { self.ack.version } else { 0 };
        self.sent.unwrap_or(confirmed)
    }

    /// Records that all changes up to `version` were sent.
    pub fn record_sent(&mut self, now: Moment, version: u64) {
        if self.sent != Some(version) {
            self.unacked_since.get_or_insert(now);
        }
        self.sent = Some(version);
    }

    /// Records a confirmation. Without progress for `DELIVERY_TIMEOUT`, unconfirmed changes are
    /// sent again.
    pub fn record_ack(&mut self, now: Moment, ack: TableAck, table: u64) {
        let advanced =
            ack.table == table && (self.ack.table != table || ack.version > self.ack.version);
        self.ack = ack;
        if ack.table == table && self.sent == Some(ack.version) {
            self.unacked_since = None;
        } else if advanced {
            self.unacked_since = Some(now);
        } else if self.unacked_since.is_none_or(|since| now.since(since) >= DELIVERY_TIMEOUT) {
            self.sent = None;
            self.unacked_since = None;
        }
    }
}

/// State of the message exchange with one other host.
#[derive(Debug, Clone, Default)]
pub struct PeerSync {
    /// Process that the state is about; the state is reset when another one replaces it.
    pub identity: Option<HostIdentity>,
    /// State of its copy of the replica table.
    pub replicas: TableSync,
    /// State of its copy of the registered upstreams.
    pub registry: TableSync,
    /// Configuration revision in force there, as last reported.
    pub revision: u64,
    /// When the last message was sent; the default if there was none.
    pub sent_at: Moment,
    /// Whether there is something to send besides table changes.
    pub dirty: bool,
    /// Number of its latest report about limits; 0 if there was none.
    pub limit_report: u64,
    /// The same if that report named limits, else 0.
    pub limit_ack: u64,
}

impl PeerSync {
    /// Whether a message is due: `pause` after the last one if there is something to send, else
    /// `heartbeat` after it. `behind` is set if there are unsent changes.
    pub fn is_due(&self, now: Moment, pause: Duration, heartbeat: Duration, behind: bool) -> bool {
        let waited = now.since(self.sent_at);
        (self.sent_at == Moment::default())
            || waited >= heartbeat
            || ((behind || self.dirty) && waited >= pause)
    }

    /// Sets the process that sent a message, and resets the state if it is a new one.
    pub fn observe_process(&mut self, from: &HostIdentity) {
        if self.identity.as_ref() != Some(from) {
            *self = Self { identity: Some(from.clone()), ..Self::default() };
        }
    }
}
