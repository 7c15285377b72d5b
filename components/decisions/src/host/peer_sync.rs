//! What was sent to and confirmed by another host, so that messages carry only changes.

use std::time::Duration;

use crate::identity::HostIdentity;
use crate::message::TableAck;
use crate::time::Moment;
use crate::timing::TimingRules;

/// Time after which a message without confirmation counts as lost.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(400);
/// Most doublings of [`DELIVERY_TIMEOUT`] while repeated changes are lost in a row. A host without
/// processor time answers late, and repeating changes sooner would keep both sides busy.
const MAX_DOUBLINGS: u32 = 3;

/// How far another host's copy of one of this process's tables is known to be up to date.
#[derive(Debug, Clone, Copy, Default)]
pub struct TableSync {
    /// Table and version that the other host last confirmed.
    ack: TableAck,
    /// Latest version sent; `None` before the first, or after a message counts as lost.
    sent: Option<u64>,
    /// Since when sent changes are unconfirmed without progress; `None` if none are.
    unacked_since: Option<Moment>,
    /// Repeats of lost changes since the last progress. While there are any, nothing is sent on top of
    /// a repeat that is unconfirmed, because the other host would reject it if the repeat was lost.
    repeats: u32,
}

/// What the next update to a host starts from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpdateBase {
    /// Version that the receiver has, or will have once earlier messages arrive.
    pub version: u64,
    /// Whether the update contains the changes since then; if not, it only names `version`.
    pub has_changes: bool,
}

impl TableSync {
    /// Whether the table has changes that may be sent to the other host now.
    pub fn is_behind(&self, now: Moment, table: u64, version: u64) -> bool {
        let has_unsent = match self.sent {
            Some(sent) => sent != version || self.is_repeat_lost(now),
            None => self.ack.table != table || self.ack.version != version,
        };
        has_unsent && !self.awaits_repeat(now)
    }

    /// Whether a repeat is unconfirmed and may still be confirmed.
    fn awaits_repeat(&self, now: Moment) -> bool {
        self.repeats > 0 && self.unacked_since.is_some() && !self.is_repeat_lost(now)
    }

    fn is_repeat_lost(&self, now: Moment) -> bool {
        let doublings = self.repeats.saturating_sub(1).min(MAX_DOUBLINGS);
        let timeout = DELIVERY_TIMEOUT * 2u32.pow(doublings);
        self.repeats > 0 && self.unacked_since.is_some_and(|since| now.since(since) >= timeout)
    }

    /// What the next update starts from: the sent version, as messages are rarely lost, else the
    /// confirmed one.
    pub fn next_base(&self, now: Moment, table: u64) -> UpdateBase {
        let confirmed = if self.ack.table == table { self.ack.version } else { 0 };
        let sent = self.sent.filter(|_| !self.is_repeat_lost(now));
        if self.awaits_repeat(now) && confirmed > 0 {
            return UpdateBase { version: confirmed, has_changes: false };
        }
        let has_changes = !self.awaits_repeat(now);
        UpdateBase { version: sent.unwrap_or(confirmed), has_changes }
    }

    /// Records that an update from [`Self::next_base`] to `version` was sent.
    pub fn record_sent(&mut self, now: Moment, version: u64) {
        if self.awaits_repeat(now) {
            return;
        }
        let is_repeat = self.is_repeat_lost(now) || (self.repeats > 0 && self.sent.is_none());
        if is_repeat {
            self.unacked_since = Some(now);
            self.repeats += u32::from(self.sent.is_some());
        } else if self.sent != Some(version) {
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
            self.repeats = 0;
        } else if advanced {
            self.unacked_since = Some(now);
            self.repeats = 0;
        } else if self.repeats == 0
            && self.unacked_since.is_none_or(|since| now.since(since) >= DELIVERY_TIMEOUT)
        {
            self.sent = None;
            self.unacked_since = None;
            self.repeats = 1;
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
    /// Whether this host rejected an update, which its next message shows by what it confirms.
    pub has_gap: bool,
    /// Number of its latest report about limits; 0 if there was none.
    pub limit_report: u64,
    /// The same if that report named limits, else 0.
    pub limit_ack: u64,
    /// Highest stamp of this leader's notices that it has confirmed; 0 if none.
    pub stamp: u64,
    /// Version of the states of quotas that it was last sent, and when.
    pub quotas_sent: (u64, Moment),
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

    /// Whether a message of a leader to a host of its scope is due. `is_behind` and `lacks_entries` are
    /// set if there are unsent changes of replicas and of registered upstreams.
    pub fn is_notice_due(
        &self,
        now: Moment,
        timing: &TimingRules,
        is_behind: bool,
        lacks_entries: bool,
    ) -> bool {
        let waited = now.since(self.sent_at);
        let is_urgent = self.dirty || lacks_entries;
        self.sent_at == Moment::default()
            || waited >= timing.heartbeat
            || (is_urgent && waited >= timing.notice_pause)
            || (is_behind && waited >= timing.notice_idle)
    }

    /// Sets the process that sent a message, and resets the state if it is a new one.
    pub fn observe_process(&mut self, from: &HostIdentity) {
        if self.identity.as_ref() != Some(from) {
            *self = Self { identity: Some(from.clone()), ..Self::default() };
        }
    }
}
