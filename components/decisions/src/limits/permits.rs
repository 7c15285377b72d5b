//! Permits that a host holds.

use std::collections::VecDeque;
use std::time::Duration;

use slotmap::SecondaryMap;
use wagtailledge_inventory::UpstreamKey;

use crate::time::Moment;

/// Time from a host's report to the end of the permits granted for it. Bounds how many permits of
/// the past can be used at once.
pub const PERMIT_LIFETIME: Duration = Duration::from_secs(1);

/// Whether the report with the number `report` is the one with the number `first` or a later one of
/// the same host; false for 0, the number of no report.
pub fn is_report_since(report: u64, first: u64) -> bool {
    report != 0 && report.wrapping_sub(first) <= u64::MAX / 2
}

/// Permits for requests to limited upstreams, and the reports that asked for them.
#[derive(Debug, Clone, Default)]
pub struct HeldPermits {
    /// When each unused permit expires, earliest first.
    held: SecondaryMap<UpstreamKey, VecDeque<Moment>>,
    /// Number of the latest permit that the current leader granted for each upstream.
    seen: SecondaryMap<UpstreamKey, u64>,
    /// Number of the latest report for which permits of an upstream are not accepted any more.
    void: SecondaryMap<UpstreamKey, u64>,
    /// Numbers of the reports sent within [`PERMIT_LIFETIME`], and when they were sent.
    reports: VecDeque<(u64, Moment)>,
    last_report: u64,
}

impl HeldPermits {
    /// Creates a state without permits. Reports are numbered from `first_report`, which must differ
    /// from the numbers of the host's earlier processes.
    pub fn new(first_report: u64) -> Self {
        Self { last_report: first_report, ..Self::default() }
    }

    /// Records that a report is sent, and returns its number.
    pub fn record_report(&mut self, now: Moment) -> u64 {
        self.last_report = self.last_report.wrapping_add(1);
        let oldest = now.before(PERMIT_LIFETIME);
        while self.reports.front().is_some_and(|(_, sent)| *sent <= oldest) {
            self.reports.pop_front();
        }
        self.reports.push_back((self.last_report, now));
        self.last_report
    }

    /// Number of the latest permit that the current leader granted for an upstream; 0 if none.
    pub fn seen(&self, upstream: UpstreamKey) -> u64 {
        self.seen.get(upstream).copied().unwrap_or(0)
    }

    /// Accepts `count` permits, the last of which has the number `serial`, granted for the report
    /// with the number `report`. Returns whether they are new and still valid.
    pub fn accept(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        report: u64,
        serial: u64,
        count: u32,
    ) -> bool {
        if serial <= self.seen(upstream) {
            return false;
        }
        self.seen.insert(upstream, serial);
        if self.void.get(upstream).is_some_and(|void| is_report_since(*void, report)) {
            return false;
        }
        let sent = self.reports.iter().find(|(number, _)| *number == report);
        let Some(expires) = sent.map(|(_, sent)| sent.after(PERMIT_LIFETIME)) else {
            return false;
        };
        if expires <= now {
            return false;
        }
        self.add(upstream, expires, count);
        true
    }

    /// Drops the permits of an upstream that were granted for the reports so far, also those that are
    /// in transit, because the upstream named a limit that its leader did not know then.
    pub fn void(&mut self, upstream: UpstreamKey) {
        self.held.remove(upstream);
        self.void.insert(upstream, self.last_report);
    }

    /// Adds `count` permits that expire at `expires`.
    pub fn add(&mut self, upstream: UpstreamKey, expires: Moment, count: u32) {
        if !self.held.contains_key(upstream) {
            self.held.insert(upstream, VecDeque::new());
        }
        if let Some(permits) = self.held.get_mut(upstream) {
            permits.extend(std::iter::repeat_n(expires, count as usize));
        }
    }

    /// Whether a permit for the upstream is valid.
    pub fn has(&self, now: Moment, upstream: UpstreamKey) -> bool {
        let permits = self.held.get(upstream);
        permits.is_some_and(|permits| permits.iter().any(|expires| *expires > now))
    }

    /// Uses up one permit; false if none is valid.
    pub fn take(&mut self, now: Moment, upstream: UpstreamKey) -> bool {
        let Some(permits) = self.held.get_mut(upstream) else {
            return false;
        };
        permits.retain(|expires| *expires > now);
        permits.pop_front().is_some()
    }

    /// Drops all permits and the numbers of the last leader's grants, because another host leads.
    pub fn reset_leader(&mut self) {
        self.held.clear();
        self.seen.clear();
        self.void.clear();
    }

    /// Drops all permits and reports, because this process was frozen.
    pub fn expire_all(&mut self) {
        self.held.clear();
        self.reports.clear();
    }
}
