//! Limits of upstreams: what hosts tell each other of them, and what they mean for requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::SecondaryMap;
use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::UpstreamKey;

use crate::effect::DecisionKind;
use crate::effect::DecisionRecord;
use crate::effect::HostEffect;
use crate::identity::HostIdentity;
use crate::limits::HeldPermits;
use crate::limits::LimitAuthority;
use crate::limits::LimitEvidence;
use crate::limits::LimitNotice;
use crate::limits::LimitPhase;
use crate::limits::LimitPressure;
use crate::limits::LimitView;
use crate::limits::PermitAllocator;
use crate::limits::PermitBucket;
use crate::limits::PublishedLimit;
use crate::limits::RequestRate;
use crate::message::EvidenceRow;
use crate::message::LimitRow;
use crate::message::LimitTable;
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
    /// Decides about the limits of this scope's upstreams; present while this process leads.
    pub(super) authority: Option<LimitAuthority>,
    /// Grants the permits for these upstreams; present while this process leads.
    pub(super) allocator: Option<PermitAllocator>,
    /// Number of changes of what this process publishes about limits if it leads.
    pub(super) version: u64,
    /// Highest version of the tables of limits that the present leader of each scope has sent.
    pub(super) applied_versions: BTreeMap<String, u64>,
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
            authority: None,
            allocator: None,
            version: 0,
            applied_versions: BTreeMap::new(),
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
    /// Whether the upstream belongs to `scope`.
    pub(super) fn is_in_scope(&self, upstream: UpstreamKey, scope: &str) -> bool {
        self.catalog.upstreams.get(upstream).is_some_and(|record| record.scope == scope)
    }

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
            self.limit_learned(now, upstream, "named by an answer", inputs, effects);
        }
    }

    /// Passes on what was learned of a limit: decides about it if this host leads the upstream's
    /// scope, else tells the leader. `reason` and `inputs` say how it was named, if it was.
    fn limit_learned(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        reason: &'static str,
        inputs: String,
        effects: &mut Vec<HostEffect>,
    ) {
        if self.limits.view.is_named(upstream) {
            self.limits.permits.void(upstream);
            self.limits.foreign_permits.void(upstream);
            self.log_rate(upstream, reason, inputs, effects);
        }
        self.leader_sync.dirty = true;
        self.decide_limits(now, effects);
        self.limits_changed(now, effects);
    }

    /// Decides about the limits of this scope's upstreams, if this host leads, by what was learned
    /// since the last decision. Returns whether there was anything.
    pub(super) fn decide_limits(&mut self, now: Moment, effects: &mut Vec<HostEffect>) -> bool {
        let Some(mut authority) = self.limits.authority.take() else {
            return false;
        };
        let is_own = |key: &UpstreamKey| self.is_in_scope(*key, &self.me.scope);
        let named: Vec<_> = self.limits.view.named(now).filter(|(key, ..)| is_own(key)).collect();
        let evidence: Vec<_> = self.limits.view.evidence().filter(|(key, _)| is_own(key)).collect();
        let is_due = !named.is_empty() || !evidence.is_empty();
        for (upstream, rate, _) in named {
            authority.name(upstream, rate);
            if let Some(published) = authority.published(upstream) {
                self.limits.view.publish(now, upstream, published);
            }
        }
        for (upstream, evidence) in evidence {
            let eased = authority.ease(upstream, evidence);
            if let Some(published) = authority.published(upstream).filter(|_| eased) {
                self.limits.view.publish(now, upstream, published);
                let granted = authority.granted().find(|(key, _)| *key == upstream);
                let choice = granted.map_or_else(
                    || "none".to_owned(),
                    |(_, rate)| format!("{rate} a second granted"),
                );
                let LimitPhase(epoch, number) = evidence.phase;
                let inputs = format!("phase {number} of epoch {epoch}");
                let reason = match evidence.raised {
                    Some(_) => "an answer named a higher one",
                    None => "an answer did not name it",
                };
                self.log_limit(upstream, choice, reason, inputs, effects);
            }
        }
        self.limits.authority = Some(authority);
        is_due
    }

    /// Records the limits that answers named to another host.
    pub(super) fn merge_named_limits(
        &mut self,
        now: Moment,
        from: &HostIdentity,
        rows: &[LimitRow],
        effects: &mut Vec<HostEffect>,
    ) {
        for row in rows {
            let process = self.catalog.process_named(&row.upstream, row.started_ms);
            // Hosts of earlier builds also report ends, which prove nothing here.
            let Some((upstream, rate)) = process.zip(row.rate) else {
                continue;
            };
            if self.limits.view.name(now, upstream, rate) {
                let inputs = format!("from {}, {} ms old when sent", from.name, row.age_ms);
                self.limit_learned(now, upstream, "named to another host", inputs, effects);
            }
        }
    }

    /// Records the evidence about limits that another host reports.
    pub(super) fn merge_evidence(
        &mut self,
        now: Moment,
        rows: &[EvidenceRow],
        effects: &mut Vec<HostEffect>,
    ) {
        for row in rows {
            let Some(upstream) = self.catalog.process_named(&row.upstream, row.started_ms) else {
                continue;
            };
            let evidence = LimitEvidence { phase: row.phase, raised: row.raised };
            if self.limits.view.add_evidence(upstream, evidence) {
                self.limit_learned(now, upstream, "", String::new(), effects);
            }
        }
    }

    /// Applies the limits that this host's leader, or the leader of another scope, publishes about
    /// the upstreams that it decides about or relays.
    fn apply_published_limits(
        &mut self,
        now: Moment,
        from: &HostIdentity,
        table: &LimitTable,
        effects: &mut Vec<HostEffect>,
    ) {
        // Messages may overtake each other.
        if table.version < self.record_limit_version(&from.scope, table.version) {
            return;
        }
        let known: BTreeMap<UpstreamKey, RequestRate> = self.limits.view.limited().collect();
        let mut rows: BTreeMap<UpstreamKey, PublishedLimit> = BTreeMap::new();
        let mut changed = false;
        for row in &table.rows {
            let process = self.catalog.process_named(&row.upstream, row.started_ms);
            let Some(upstream) = process else {
                continue;
            };
            let published = PublishedLimit { rate: row.rate, phase: row.phase, eased: row.eased };
            rows.insert(upstream, published);
            // Earlier builds publish the age of the statement that applies, and only that.
            if table.version == 0 && row.rate.is_some() {
                changed |= self.limits.view.publish(now, upstream, published);
            } else if table.version == 0 {
                let age = Duration::from_millis(row.age_ms);
                changed |= self.limits.view.apply_dated_end(now, upstream, age);
            }
        }
        if table.version > 0 {
            let catalog = &self.catalog;
            let from_own_leader = from.scope == self.me.scope;
            let covers = |key: UpstreamKey| {
                let record = catalog.upstreams.get(key);
                from_own_leader || record.is_some_and(|record| record.scope == from.scope)
            };
            changed |= self.limits.view.apply_table(now, &rows, table.report, covers);
            self.leader_sync.dirty |= self.limits.view.has_news(covers);
        }
        if !changed {
            return;
        }
        for upstream in rows.into_keys().chain(known.keys().copied()).collect::<BTreeSet<_>>() {
            let before = known.get(&upstream).copied();
            if self.limits.view.rate(upstream) != before {
                let inputs = format!("from {}, version {}", from.name, table.version);
                self.log_rate(upstream, "published by a leader", inputs, effects);
            }
        }
        self.limits_changed(now, effects);
    }

    /// Records that a table of the leader of `scope` has arrived. Returns the highest version before.
    fn record_limit_version(&mut self, scope: &str, version: u64) -> u64 {
        let applied = self.limits.applied_versions.entry(scope.to_owned()).or_default();
        let last = *applied;
        *applied = last.max(version);
        last
    }

    /// Logs the limit of an upstream that this host knows now.
    fn log_rate(
        &self,
        upstream: UpstreamKey,
        reason: &'static str,
        inputs: String,
        effects: &mut Vec<HostEffect>,
    ) {
        let rate = self.limits.view.rate(upstream);
        let choice = rate.map_or_else(|| "none".to_owned(), |rate| format!("{rate} a second"));
        self.log_limit(upstream, choice, reason, inputs, effects);
    }

    fn log_limit(
        &self,
        upstream: UpstreamKey,
        choice: String,
        reason: &'static str,
        inputs: String,
        effects: &mut Vec<HostEffect>,
    ) {
        let process = self.catalog.process(upstream);
        let (name, started_ms) =
            process.map_or(("", 0), |process| (process.name.as_str(), process.started_ms));
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
    pub(super) fn limits_changed(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        self.update_granted_rates(now);
        if self.placement.is_some() {
            self.limits.version += 1;
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
        let Some(authority) = &self.limits.authority else {
            return;
        };
        let is_own = |key: UpstreamKey| self.is_in_scope(key, &self.me.scope);
        let rates: Vec<_> = authority.granted().filter(|(key, _)| is_own(*key)).collect();
        if let Some(allocator) = &mut self.limits.allocator {
            allocator.set_rates(now, &rates);
        }
    }

    /// Starts or ends granting permits, after this process acquired or lost the lease.
    pub(super) fn limit_leadership_changed(
        &mut self,
        now: Moment,
        leads: bool,
        effects: &mut Vec<HostEffect>,
    ) {
        self.limit_leader_replaced();
        self.limits.foreign_permits.reset_leader();
        self.limits.foreign_counts.clear();
        self.limits.pressure = LimitPressure::default();
        self.limits.allocator = leads.then(PermitAllocator::default);
        let epoch = self.placement.as_ref().map(|placement| placement.epoch);
        self.limits.authority = epoch.map(LimitAuthority::new);
        self.decide_limits(now, effects);
        self.update_granted_rates(now);
        if !self.limits.view.is_empty() {
            self.limits.version += 1;
        }
    }

    /// Takes over the limit of an upstream's process before for `next`, which has started in its
    /// place. Whatever the upstream was in need of, it is likely to be so still.
    pub(super) fn inherit_limit(
        &mut self,
        now: Moment,
        next: UpstreamKey,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(before) = self.catalog.process_before(next) else {
            return;
        };
        if self.limits.view.inherit(now, before, next) {
            let started_ms = self.catalog.process(before).map_or(0, |process| process.started_ms);
            let inputs = format!("after process {started_ms}");
            self.limit_learned(now, next, "named by the process before", inputs, effects);
        }
    }

    /// Drops what another leader granted, because a new one was found. It may not have the limits that
    /// this host knows.
    pub(super) fn limit_leader_replaced(&mut self) {
        self.limits.permits.reset_leader();
        self.limits.waits.clear();
        self.limits.applied_versions.clear();
        self.limits.view.reset_leader(|_| true);
    }

    /// The same for the leader of another scope, if this host leads.
    pub(super) fn limit_peer_replaced(&mut self, scope: &str) {
        self.limits.applied_versions.remove(scope);
        let upstreams = &self.catalog.upstreams;
        self.limits
            .view
            .reset_leader(|key| upstreams.get(key).is_some_and(|record| record.scope == scope));
    }

    /// Row about the limit of a process, whether or not its upstream's entry is there now.
    pub(super) fn limit_row(
        &self,
        key: UpstreamKey,
        published: PublishedLimit,
        age: Duration,
    ) -> Option<LimitRow> {
        let process = self.catalog.process(key)?;
        let PublishedLimit { rate, phase, eased } = published;
        Some(LimitRow {
            upstream: process.name.clone(),
            started_ms: process.started_ms,
            rate,
            age_ms: age.as_millis() as u64,
            phase,
            eased,
        })
    }

    /// What this leader publishes about limits to hosts of its scope whose latest report about limits
    /// is `report`; empty if no limit has been known.
    pub(super) fn limit_table(&self, now: Moment, report: u64) -> LimitTable {
        self.limit_table_of(now, report, |_| true)
    }

    /// What this leader publishes about the limits of its scope's upstreams to the leader of another
    /// scope, whose latest report about them is `report`.
    pub(super) fn own_limit_table(&self, now: Moment, report: u64) -> LimitTable {
        self.limit_table_of(now, report, |key| self.is_in_scope(key, &self.me.scope))
    }

    fn limit_table_of(
        &self,
        now: Moment,
        report: u64,
        includes: impl Fn(UpstreamKey) -> bool,
    ) -> LimitTable {
        let published = self.limits.view.published(now).filter(|(key, ..)| includes(*key));
        let rows = published.filter_map(|(key, limit, age)| self.limit_row(key, limit, age));
        let rows = rows.collect();
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
            version: self.limits.version,
            report,
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
        self.apply_published_limits(now, from, table, effects);
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
