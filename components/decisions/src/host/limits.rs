//! Limits of upstreams: what hosts tell each other of them, and what they mean for requests.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SecondaryMap;
use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::UpstreamKey;

use crate::effect::DecisionKind;
use crate::effect::DecisionRecord;
use crate::effect::HostEffect;
use crate::identity::HostIdentity;
use crate::limits::HeldPermits;
use crate::limits::LimitNotice;
use crate::limits::LimitPressure;
use crate::limits::LimitRecord;
use crate::limits::LimitView;
use crate::limits::PermitAllocator;
use crate::limits::PermitBucket;
use crate::limits::RequestRate;
use crate::message::LimitRow;
use crate::message::LimitTable;
use crate::message::ProcessRow;
use crate::message::ReplicaState;
use crate::message::WaitRow;
use crate::request::RefusalOutcome;
use crate::request::RefusalReason;
use crate::request::RequestKey;
use crate::request::RequestTarget;
use crate::time::Moment;

use super::dispatch::TargetUpstreams;
use super::state::HostReducer;

/// Least time that an answer is assumed to take once its request has a permit.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(200);
/// Rank at which hosts ask for permits that no request waits for.
pub(super) const SPARE_RANK: u8 = u8::MAX;

/// What a host knows of limits and its share of them.
#[derive(Debug, Clone)]
pub(super) struct HostLimits {
    pub(super) view: LimitView,
    pub(super) permits: HeldPermits,
    /// If this process leads: limits that its placement takes into account.
    pub(super) pressure: LimitPressure,
    /// Present while this process leads.
    pub(super) allocator: Option<PermitAllocator>,
    /// If this process leads: permits that leaders of other scopes granted for their upstreams.
    pub(super) foreign_permits: HeldPermits,
    /// If this process leads: number of requests that wait for upstreams of other scopes, by
    /// upstream and rank, when the other leaders were last due to be told.
    pub(super) foreign_counts: BTreeMap<(UpstreamKey, u8), u32>,
    /// Expected waits for a permit by rank, as last published by the leader, or by the leaders of
    /// other scopes for their upstreams.
    pub(super) waits: SecondaryMap<UpstreamKey, Vec<(u8, Duration)>>,
    /// When a request that a limited upstream could have served was last sent to another one.
    pub(super) spared_at: SecondaryMap<UpstreamKey, Moment>,
    /// When the leader last said that it grants permits.
    pub(super) leader_granted_at: Moment,
    /// This host's own share of limits while no leader grants permits.
    pub(super) leaderless_shares: SecondaryMap<UpstreamKey, PermitBucket>,
}

impl HostLimits {
    /// Creates a state without limits; `first_report` as for [`HeldPermits::new`].
    pub(super) fn new(now: Moment, first_report: u64) -> Self {
        Self {
            view: LimitView::default(),
            permits: HeldPermits::new(first_report),
            pressure: LimitPressure::default(),
            allocator: None,
            foreign_permits: HeldPermits::new(first_report),
            foreign_counts: BTreeMap::new(),
            waits: SecondaryMap::new(),
            spared_at: SecondaryMap::new(),
            leader_granted_at: now,
            leaderless_shares: SecondaryMap::new(),
        }
    }

    /// Whether a request may be sent to the upstream now, as far as its limit is concerned.
    pub(super) fn allows(&self, now: Moment, upstream: UpstreamKey) -> bool {
        self.view.rate(upstream).is_none() || self.permits.has(now, upstream)
    }

    /// Uses up a permit if the upstream is limited.
    pub(super) fn record_dispatch(&mut self, now: Moment, upstream: UpstreamKey) {
        if self.view.rate(upstream).is_some() {
            self.permits.take(now, upstream);
        }
    }

    /// Records that a request was sent elsewhere because the upstreams in `blocked` are limited.
    pub(super) fn record_spared(&mut self, now: Moment, blocked: &[UpstreamKey]) {
        for upstream in blocked {
            self.spared_at.insert(*upstream, now);
        }
    }

    /// Expected wait of a request of `rank` for a permit; `None` if no leader has published it.
    pub(super) fn expected_wait(
        &self,
        now: Moment,
        upstream: UpstreamKey,
        rank: u8,
    ) -> Option<Duration> {
        let own = self.allocator.as_ref().and_then(|allocator| allocator.waits(now, upstream));
        let waits = own.as_ref().or_else(|| self.waits.get(upstream))?;
        waits.iter().rev().find(|(from, _)| *from <= rank).map(|(_, wait)| *wait)
    }
}

impl HostReducer {
    /// Records what an answer said about the limit of its upstream.
    pub(super) fn limit_observed(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        dispatched: Moment,
        notice: LimitNotice,
        effects: &mut Vec<HostEffect>,
    ) {
        if !self.catalog.has_process(upstream) {
            return;
        }
        if self.limits.view.observe(now, upstream, dispatched, notice) {
            let inputs = format!("request sent {} ms before", now.since(dispatched).as_millis());
            self.log_limit(upstream, "named by an answer", inputs, effects);
            self.leader_sync.dirty = true;
            self.limits_changed(now, effects);
        }
    }

    /// Applies the limits that another host knows.
    pub(super) fn merge_limits(
        &mut self,
        now: Moment,
        from: &HostIdentity,
        rows: &[LimitRow],
        effects: &mut Vec<HostEffect>,
    ) {
        let mut changed = false;
        for row in rows {
            let process = self.catalog.process_named(&row.upstream, row.started_ms);
            let Some(upstream) = process else {
                continue;
            };
            let record = LimitRecord { rate: row.rate, age: Duration::from_millis(row.age_ms) };
            if self.limits.view.merge(now, upstream, record) {
                let inputs = format!("from {}, {} ms old when sent", from.name, row.age_ms);
                self.log_limit(upstream, "announced by another host", inputs, effects);
                changed = true;
            }
        }
        if changed {
            self.limits_changed(now, effects);
        }
    }

    /// Logs the limit that is now known of a process of an upstream.
    pub(super) fn log_limit(
        &self,
        upstream: UpstreamKey,
        reason: &'static str,
        inputs: String,
        effects: &mut Vec<HostEffect>,
    ) {
        let process = self.catalog.process(upstream);
        let (name, started_ms) =
            process.map_or(("", 0), |process| (process.name.as_str(), process.started_ms));
        let rate = self.limits.view.rate(upstream);
        let choice = rate.map_or_else(|| "none".to_owned(), |rate| format!("{rate} a second"));
        effects.push(HostEffect::LogDecision(DecisionRecord {
            kind: DecisionKind::Limit,
            ticket: None,
            subject: name.to_owned(),
            choice,
            reason,
            alternatives: 0,
            inputs: format!("process {started_ms}, {inputs}"),
        }));
    }

    /// Publishes changed limits if this host leads, and dispatches requests that may be sent now.
    fn limits_changed(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        self.update_granted_rates(now);
        if self.placement.is_some() {
            self.notices_due = true;
            for sync in self.member_syncs.values_mut() {
                sync.dirty = true;
            }
            self.mark_digests_due();
        }
        self.dispatch_all_waiting(now, effects);
    }

    /// Sets the limits of this scope's upstreams, at which this host grants permits if it leads.
    pub(super) fn update_granted_rates(&mut self, now: Moment) {
        let is_own = |key: UpstreamKey| {
            self.catalog.upstreams.get(key).is_some_and(|record| record.scope == self.me.scope)
        };
        let rates: Vec<_> = self.limits.view.limited().filter(|(key, _)| is_own(*key)).collect();
        if let Some(allocator) = &mut self.limits.allocator {
            allocator.set_rates(now, &rates);
        }
    }

    /// Starts or ends granting permits, after this process acquired or lost the lease.
    pub(super) fn limit_leadership_changed(&mut self, now: Moment, leads: bool) {
        self.limit_leader_replaced();
        self.limits.foreign_permits.reset_leader();
        self.limits.foreign_counts.clear();
        self.limits.pressure = LimitPressure::default();
        self.limits.allocator = leads.then(PermitAllocator::default);
        self.update_granted_rates(now);
    }

    /// Drops what another leader granted, because a new one was found.
    pub(super) fn limit_leader_replaced(&mut self) {
        self.limits.permits.reset_leader();
        self.limits.waits.clear();
        self.limits.view.reset_confirmations();
    }

    pub(super) fn limit_rows(
        &self,
        records: impl Iterator<Item = (UpstreamKey, LimitRecord)>,
    ) -> Vec<LimitRow> {
        let row = |(key, record): (UpstreamKey, LimitRecord)| {
            let ProcessRow(upstream, started_ms) = self.process_row(key)?;
            let age_ms = record.age.as_millis() as u64;
            Some(LimitRow { upstream, started_ms, rate: record.rate, age_ms })
        };
        records.filter_map(row).collect()
    }

    /// What this leader publishes about limits to the hosts of its scope; empty without limits.
    pub(super) fn limit_table(&self, now: Moment) -> LimitTable {
        self.limit_table_of(now, |_| true)
    }

    /// What this leader publishes about the limits of its scope's upstreams to other leaders.
    pub(super) fn own_limit_table(&self, now: Moment) -> LimitTable {
        self.limit_table_of(now, |key| {
            self.catalog.upstreams.get(key).is_some_and(|record| record.scope == self.me.scope)
        })
    }

    fn limit_table_of(&self, now: Moment, includes: impl Fn(UpstreamKey) -> bool) -> LimitTable {
        let records = self.limits.view.records(now).filter(|(key, _)| includes(*key));
        let rows = self.limit_rows(records);
        let wait = |(key, _): (UpstreamKey, RequestRate)| {
            let upstream = self.catalog.upstreams.get(key)?.name.clone();
            let allocator = self.limits.allocator.as_ref();
            let own = allocator.and_then(|allocator| allocator.waits(now, key));
            let waits = own.or_else(|| self.limits.waits.get(key).cloned())?;
            let waits = waits.into_iter().map(|(rank, wait)| (rank, wait.as_millis() as u64));
            Some(WaitRow(upstream, waits.collect()))
        };
        let limited = self.limits.view.limited().filter(|(key, _)| includes(*key));
        LimitTable {
            grants: self.lease.authority(now).is_some(),
            rows,
            waits: limited.filter_map(wait).collect(),
        }
    }

    /// Applies what this host's leader, or the leader of another scope, publishes about limits.
    pub(super) fn apply_limit_table(
        &mut self,
        now: Moment,
        from: &HostIdentity,
        table: &LimitTable,
        effects: &mut Vec<HostEffect>,
    ) {
        if table.grants && from.scope == self.me.scope {
            self.limits.leader_granted_at = now;
            self.limits.leaderless_shares.clear();
        }
        for WaitRow(upstream, waits) in &table.waits {
            if let Some(key) = self.catalog.upstream_named(upstream) {
                let wait = |(rank, millis): &(u8, u64)| (*rank, Duration::from_millis(*millis));
                self.limits.waits.insert(key, waits.iter().map(wait).collect());
            }
        }
        self.merge_limits(now, from, &table.rows, effects);
        let view = &self.limits.view;
        self.limits.waits.retain(|key, _| view.rate(key).is_some());
        self.refuse_without_permits(now, effects);
    }

    /// Whether a waiting request can only go to limited upstreams and its permit is expected after
    /// its deadline.
    pub(super) fn is_permit_late(&self, now: Moment, key: RequestKey) -> bool {
        let request = &self.requests[key];
        let target = request.target;
        let TargetUpstreams { open, blocked } = self.candidates(now, target);
        if !open.is_empty() || self.is_loading(target) {
            return false;
        }
        let waits =
            blocked.iter().map(|upstream| self.limits.expected_wait(now, *upstream, request.rank));
        // An unknown wait is not known to be too long, and is the least.
        let shortest = waits.min().flatten();
        let objective = request.terms.as_ref().map_or(Duration::ZERO, |terms| terms.objective);
        let answer_time = objective.max(MIN_ANSWER_TIME);
        shortest.is_some_and(|wait| now.after(wait + answer_time) > request.deadline)
    }

    /// Whether a ready replica of the asset is on an engine without a limit.
    pub(super) fn has_unlimited_replica(&self, asset: AssetKey) -> bool {
        let mut ready = self.view.ready(asset).iter();
        ready.any(|upstream| self.limits.view.rate(*upstream).is_none())
    }

    /// Whether another replica of the target is being loaded.
    pub(super) fn is_loading(&self, target: RequestTarget) -> bool {
        let RequestTarget::Asset(asset) = target else {
            return false;
        };
        let mut replicas = self.view.replicas_of(asset).iter();
        replicas.any(|(_, state)| *state == ReplicaState::Loading)
    }

    /// Expected wait of the least urgent request for a permit of the upstreams of `target`; zero if
    /// it is unknown.
    pub(super) fn longest_permit_wait(&self, now: Moment, target: RequestTarget) -> Duration {
        let blocked = self.candidates(now, target).blocked;
        let waits = blocked
            .iter()
            .filter_map(|upstream| self.limits.expected_wait(now, *upstream, SPARE_RANK - 1));
        waits.min().unwrap_or_default()
    }

    /// Refuses requests that wait for permits which are expected too late. Each request is checked
    /// once, as those that came later wait behind it.
    fn refuse_without_permits(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        if self.limits.view.is_empty() {
            return;
        }
        let targets: Vec<RequestTarget> =
            self.queue.targets().map(|(target, _, _)| target).collect();
        for target in targets {
            let waiting: Vec<RequestKey> =
                self.queue.waiting_for(target).map(|waiting| waiting.request).collect();
            for key in waiting {
                if std::mem::replace(&mut self.requests[key].permit_checked, true) {
                    continue;
                }
                if self.is_permit_late(now, key) {
                    let reason = RefusalReason::UpstreamLimit;
                    self.refuse(key, RefusalOutcome::NotRun, reason, effects);
                }
            }
        }
    }
}
