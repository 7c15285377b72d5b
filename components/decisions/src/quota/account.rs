//! What a host uses of the quota of one account, and what it admits without its leader.

use std::time::Duration;

use crate::time::Moment;

use super::bucket::TokenLevel;
use super::bucket::UseRate;
use super::limit::QuotaLimit;
use super::limit::time_for;

/// Time for which a host without a leader collects unused tokens of its share.
const SHARE_BURST_TIME: Duration = Duration::from_secs(1);
/// Least time between two starts of an account without a leader, each of which admits a little more.
const START_INTERVAL: Duration = Duration::from_secs(30);
/// Time over which a host without a leader may use its part of the rate that all hosts left unused, and the most
/// of it as a time at the whole rate. Accounts that use half of their rate would else be refused whenever
/// two requests reach a host in one second; what they left unused before makes up for it in the bound.
const UNUSED_TIME: Duration = Duration::from_secs(2);
const MAX_UNUSED_TIME: Duration = Duration::from_secs(1);
/// Time of its share with which a host without a leader begins, so that requests that are small beside the share
/// are not refused. Over all hosts it is a tenth of a second of the rate.
const FIRST_SHARE_TIME: Duration = Duration::from_millis(100);
/// Time for which changed use is reported again, because reports may be lost.
const REPORT_TIME: Duration = Duration::from_secs(2);

/// What is known of a request when its quota is checked.
#[derive(Debug, Clone, Copy)]
pub struct QuotaQuery<'a> {
    /// Name of the account.
    pub account: &'a str,
    /// Its quota.
    pub limit: QuotaLimit,
    /// Tokens of the request.
    pub cost: u64,
    /// Number of hosts of the scope, this one included.
    pub hosts: usize,
    /// Position of this host among those of the scope, from 0 to below 1, in an order that differs
    /// between accounts.
    pub position: f64,
}

/// What a host decides about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request is within the quota.
    Admitted,
    /// The leader has to be asked.
    Ask,
    /// The quota is used up; the time until the request fits.
    Refused(Duration),
}

/// What this host knows of an account with a quota.
#[derive(Debug, Clone, Default)]
pub(super) struct AccountUse {
    /// Totals since this host has followed the present leader.
    pub(super) used: u64,
    pub(super) returned: u64,
    /// Tokens of admitted requests that have not been sent yet.
    pub(super) waiting: u64,
    /// When the totals last changed; `None` if they have not.
    changed_at: Option<Moment>,
    pub(super) use_rate: UseRate,
    /// What this host may admit without the leader. Filled at the host's share of the rate.
    pub(super) level: TokenLevel,
    /// When the level was last given the start for a time without a leader.
    started_at: Option<Moment>,
    /// Most tokens of one request since then.
    largest: u64,
    /// Whether every request needs the leader, as it last published.
    pub(super) metered: bool,
    /// Use of all hosts, as the leader last published.
    total_use: f64,
    /// Share by which this host decides while no leader answers. Fixed at the start of that time: what the
    /// host uses then must not raise its share.
    lone_share: Option<f64>,
    /// Tokens that this host may use beside its share while no leader answers: its part of what was unused.
    lone_extra: f64,
}

impl AccountUse {
    /// An account of which nothing is known counts as metered, until the leader publishes its state.
    pub(super) fn new(now: Moment, metered: bool) -> Self {
        Self { level: TokenLevel::empty(now), metered, ..Self::default() }
    }

    fn share(&self, now: Moment, query: &QuotaQuery<'_>) -> f64 {
        query.limit.host_share(self.use_rate.at(now), self.total_use, query.hosts)
    }

    fn lone_share(&mut self, now: Moment, query: &QuotaQuery<'_>) -> f64 {
        let share = self.lone_share.unwrap_or_else(|| self.share(now, query));
        *self.lone_share.insert(share.min(query.limit.rate()))
    }

    /// Records the use of all hosts, as the leader states it.
    pub(super) fn record_total_use(&mut self, total_use: f64) {
        self.total_use = total_use;
        self.lone_share = None;
    }

    pub(super) fn record_use(&mut self, now: Moment, cost: u64) {
        self.used += cost;
        self.use_rate.add(now, cost as f64);
        self.changed_at = Some(now);
    }

    /// Admits a request that this host's own bucket covers, while the account is open; asks for others.
    pub(super) fn admit_open(&mut self, now: Moment, query: &QuotaQuery<'_>) -> QuotaDecision {
        if self.metered {
            self.level.drain(now);
            return QuotaDecision::Ask;
        }
        let share = self.share(now, query);
        self.level.refill(now, share, query.limit.host_capacity(query.hosts));
        if self.level.tokens() < query.cost as f64 {
            return QuotaDecision::Ask;
        }
        self.take(now, query.cost);
        QuotaDecision::Admitted
    }

    fn take(&mut self, now: Moment, cost: u64) {
        self.level.take(cost as f64, 0.0);
        self.record_use(now, cost);
        self.waiting += cost;
    }

    /// This host's part of the rate that all hosts left unused while the account was open.
    fn unused_part(&self, query: &QuotaQuery<'_>) -> f64 {
        let rate = query.limit.rate();
        let unused = (rate - self.total_use).max(0.0) * UNUSED_TIME.as_secs_f64();
        unused.min(rate * MAX_UNUSED_TIME.as_secs_f64()) / query.hosts.max(1) as f64
    }

    /// Decides by this host's share. Hosts with a share far below one request start at levels that are
    /// spread evenly between zero and the cost, so that together they admit the rate from the start.
    pub(super) fn admit_alone(&mut self, now: Moment, query: &QuotaQuery<'_>) -> QuotaDecision {
        let cost = query.cost as f64;
        let share = self.lone_share(now, query);
        let starts = self.started_at.is_none_or(|at| now.since(at) >= START_INTERVAL);
        self.largest = if starts { query.cost } else { self.largest.max(query.cost) };
        if starts {
            self.lone_extra = if self.metered { 0.0 } else { self.unused_part(query) };
        }
        let share_burst = (share * SHARE_BURST_TIME.as_secs_f64()).max(self.largest as f64);
        let capacity = share_burst + self.lone_extra;
        if starts {
            self.level.refill(now, share, query.limit.host_capacity(query.hosts));
            let first = (query.position * cost).max(share * FIRST_SHARE_TIME.as_secs_f64());
            self.level.add(first + self.lone_extra, capacity);
        } else {
            self.level.refill(now, share, capacity);
        }
        self.started_at = self.started_at.filter(|_| !starts).or(Some(now));
        let missing = cost - self.level.tokens();
        if missing > 0.0 {
            return QuotaDecision::Refused(time_for(missing, share));
        }
        self.take(now, query.cost);
        QuotaDecision::Admitted
    }

    /// Returns the tokens of a request that never ran.
    pub(super) fn return_tokens(&mut self, now: Moment, cost: u64) {
        self.returned += cost;
        self.changed_at = Some(now);
    }

    /// Applies what the leader publishes.
    pub(super) fn apply_state(&mut self, now: Moment, metered: bool, total_use: f64) {
        if self.metered && !metered {
            self.level.drain(now);
        }
        self.metered = metered;
        self.record_total_use(total_use);
    }

    /// Begins new totals, for another leader.
    pub(super) fn reset_totals(&mut self, now: Moment) {
        (self.used, self.returned, self.changed_at) = (0, 0, None);
        self.level.drain(now);
    }

    /// Whether the leader may not know the present totals.
    pub(super) fn has_changed(&self, now: Moment) -> bool {
        let is_recent = |at: Moment| now.since(at) < REPORT_TIME;
        self.changed_at.is_some_and(is_recent) || self.waiting > 0
    }
}
