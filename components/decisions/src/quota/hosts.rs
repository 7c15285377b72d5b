//! What a leader knows of the hosts of its scope.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identity::HostIdentity;
use crate::time::Moment;

use super::bucket::UseRate;
use super::limit::QuotaLimit;
use super::message::QuotaVerdict;

/// Time without a report after which a host that last reported use counts as cut off. Such hosts report
/// every 250 ms, so this takes three lost reports.
const ACTIVE_SILENCE: Duration = Duration::from_millis(800);
/// The same for a host that had no use to report, which sends something every two heartbeats.
const IDLE_SILENCE: Duration = Duration::from_millis(3_500);
/// Time for which the share of a host that is not heard is subtracted: the host has ended or found
/// another leader by then.
const SHARE_RETENTION: Duration = Duration::from_secs(30);
/// Time for which answers are kept, for repeated requests.
const ANSWER_RETENTION: Duration = Duration::from_secs(2);

/// What one host uses of the quota of one account.
#[derive(Debug, Clone, Default)]
pub(super) struct HostUse {
    /// Highest totals reported.
    pub(super) used: u64,
    pub(super) returned: u64,
    /// Tokens of admitted requests that wait at the host.
    pub(super) waiting: u64,
    pub(super) use_rate: UseRate,
    /// Rate that is subtracted while the host is not heard; `None` while it is.
    pub(super) silent_share: Option<f64>,
    /// Tokens that were subtracted while the host was not heard, and that it has not reported.
    pub(super) prepaid: f64,
}

/// One host of the scope.
#[derive(Debug, Clone)]
pub(super) struct HostRecord {
    /// Its process; `None` while it has not reported.
    pub(super) identity: Option<HostIdentity>,
    /// When it last reported, or when this leader first knew of it.
    pub(super) heard_at: Moment,
    /// Whether it has reported since this leader's term began, or since the leader's last freeze.
    pub(super) is_heard: bool,
    /// Whether its last report showed use.
    pub(super) is_active: bool,
    /// Number of its latest report.
    pub(super) report: u64,
    pub(super) accounts: BTreeMap<String, HostUse>,
    /// Answers given in the last [`ANSWER_RETENTION`], by the number of the request.
    pub(super) answers: BTreeMap<u64, (QuotaVerdict, Moment)>,
    /// The same of the process that reported before this one, whose last reports may still arrive.
    earlier: Option<Box<HostRecord>>,
}

impl HostRecord {
    pub(super) fn unheard(now: Moment) -> Self {
        Self {
            identity: None,
            heard_at: now,
            is_heard: false,
            is_active: false,
            report: 0,
            accounts: BTreeMap::new(),
            answers: BTreeMap::new(),
            earlier: None,
        }
    }

    /// Turns to the process that reports. Returns whether it is another one than before.
    pub(super) fn turn_to(&mut self, now: Moment, process: &HostIdentity) -> bool {
        if self.identity.is_none() {
            self.identity = Some(process.clone());
        }
        if self.identity.as_ref() == Some(process) {
            return false;
        }
        let earlier =
            self.earlier.take().filter(|earlier| earlier.identity.as_ref() == Some(process));
        let known = earlier.map_or_else(|| Self::unheard(now), |earlier| *earlier);
        let replaced = std::mem::replace(self, known);
        self.identity = Some(process.clone());
        self.earlier = Some(Box::new(replaced));
        true
    }

    /// Whether the host may use its share without this leader's knowledge.
    pub(super) fn is_silent(&self, now: Moment) -> bool {
        let silence = match (self.is_heard, self.is_active) {
            (false, _) => Duration::ZERO,
            (true, true) => ACTIVE_SILENCE,
            (true, false) => IDLE_SILENCE,
        };
        now.since(self.heard_at) >= silence && self.is_counted(now)
    }

    /// Whether the host counts as one of those that share the rate.
    pub(super) fn is_counted(&self, now: Moment) -> bool {
        now.since(self.heard_at) < SHARE_RETENTION
    }

    /// Rate that the host, which is not heard, may use of an account, of which all hosts use `use_rate`. It
    /// stays as it is first worked out, as it does at the host.
    pub(super) fn silent_share(
        &mut self,
        account: &str,
        limit: &QuotaLimit,
        use_rate: f64,
        hosts: usize,
    ) -> f64 {
        if !self.is_heard {
            return limit.rate() / hosts.max(1) as f64;
        }
        let heard_at = self.heard_at;
        let known = self.accounts.entry(account.to_owned()).or_default();
        *known
            .silent_share
            .get_or_insert_with(|| limit.host_share(known.use_rate.at(heard_at), use_rate, hosts))
    }

    /// Forgets old answers.
    pub(super) fn remove_expired(&mut self, now: Moment) {
        self.answers.retain(|_, (_, at)| now.since(*at) < ANSWER_RETENTION);
    }
}
