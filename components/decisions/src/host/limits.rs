//! Limits of upstreams: what hosts tell each other of them, and the permits for requests to limited
//! upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SecondaryMap;
use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::UpstreamKey;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::effect::DecisionKind;
use crate::effect::DecisionRecord;
use crate::effect::HostEffect;
use crate::identity::HostIdentity;
use crate::limits::HeldPermits;
use crate::limits::LimitNotice;
use crate::limits::LimitPressure;
use crate::limits::LimitRecord;
use crate::limits::LimitView;
use crate::limits::OWN_REPORT;
use crate::limits::PERMIT_LIFETIME;
use crate::limits::PermitAllocator;
use crate::limits::PermitAward;
use crate::limits::PermitBucket;
use crate::limits::RequestRate;
use crate::limits::WantEntry;
use crate::message::LimitReport;
use crate::message::LimitRow;
use crate::message::LimitTable;
use crate::message::PeerMessage;
use crate::message::PermitGrant;
use crate::message::PermitWant;
use crate::message::ReplicaState;
use crate::message::WaitRow;
use crate::request::RefusalOutcome;
use crate::request::RefusalReason;
use crate::request::RequestKey;
use crate::request::RequestTarget;
use crate::time::Moment;

use super::dispatch::TargetUpstreams;
use super::state::HostReducer;

/// Interval at which a host repeats what it waits for. Must be shorter than [`PERMIT_LIFETIME`].
pub(super) const WANT_INTERVAL: Duration = Duration::from_millis(400);
/// Most permits in one grant and most requests in one want that are taken from a message.
const MAX_PERMITS: u32 = 1_000;
/// Least time that an answer is assumed to take once its request has a permit.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(200);
/// Expected wait for a permit from which other engines get replicas of what is requested.
const EXCEEDED_WAIT: Duration = Duration::from_millis(1_200);
/// Rank at which hosts ask for permits that no request waits for.
const SPARE_RANK: u8 = u8::MAX;
/// Number of hosts that ask for permits that no request waits for.
const SPARE_HOSTS: usize = 3;
/// Number of hosts of a zone that send requests to its limited upstreams without a leader.
const LEADERLESS_SENDERS: usize = 2;
/// Divisor of a limit for the share of each of these hosts.
const LEADERLESS_DIVISOR: u64 = 16;
/// Peer timeouts without a leader that grants permits, after which hosts do without one.
const LEADERLESS_TIMEOUTS: u32 = 2;

/// What a host knows of limits and its share of them.
#[derive(Debug, Clone)]
pub(super) struct HostLimits {
    pub(super) view: LimitView,
    pub(super) permits: HeldPermits,
    /// If this process leads: limits that its placement takes into account.
    pub(super) pressure: LimitPressure,
    /// Present while this process leads.
    allocator: Option<PermitAllocator>,
    /// If this process leads: permits that leaders of other scopes granted for their upstreams.
    foreign_permits: HeldPermits,
    /// If this process leads: number of requests that wait for upstreams of other scopes, by
    /// upstream and rank, when the other leaders were last due to be told.
    foreign_counts: BTreeMap<(UpstreamKey, u8), u32>,
    /// Expected waits for a permit by rank, as last published by the leader, or by the leaders of
    /// other scopes for their upstreams.
    waits: SecondaryMap<UpstreamKey, Vec<(u8, Duration)>>,
    /// When a request that a limited upstream could have served was last sent to another one.
    spared_at: SecondaryMap<UpstreamKey, Moment>,
    /// When the leader last said that it grants permits.
    leader_granted_at: Moment,
    /// This host's own share of limits while no leader grants permits.
    leaderless_shares: SecondaryMap<UpstreamKey, PermitBucket>,
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

/// Whether `name` is among the first `count` of `names` in an order that is the same on all hosts
/// and differs between subjects.
fn is_among_first<'n>(
    subject: &str,
    name: &str,
    names: impl Iterator<Item = &'n str>,
    count: usize,
) -> bool {
    let seed = xxh3_64(subject.as_bytes());
    let position = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed);
    let own = position(name);
    names.filter(|other| *other != name && position(other) < own).count() < count
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
        if !self.catalog.upstreams.contains_key(upstream) {
            return;
        }
        if self.limits.view.observe(now, upstream, dispatched, notice) {
            self.log_limit(upstream, "named by an answer", effects);
            self.leader_sync.dirty = true;
            self.limits_changed(now, effects);
        }
    }

    /// Applies the limits that another host knows.
    pub(super) fn merge_limits(
        &mut self,
        now: Moment,
        rows: &[LimitRow],
        effects: &mut Vec<HostEffect>,
    ) {
        let mut changed = false;
        for row in rows {
            let Some(upstream) = self.catalog.upstream_named(&row.upstream) else {
                continue;
            };
            let record = LimitRecord { rate: row.rate, age: Duration::from_millis(row.age_ms) };
            if self.limits.view.merge(now, upstream, record) {
                self.log_limit(upstream, "announced by another host", effects);
                changed = true;
            }
        }
        if changed {
            self.limits_changed(now, effects);
        }
    }

    fn log_limit(
        &self,
        upstream: UpstreamKey,
        reason: &'static str,
        effects: &mut Vec<HostEffect>,
    ) {
        let name = self.catalog.upstreams.get(upstream).map(|record| record.name.clone());
        let rate = self.limits.view.rate(upstream);
        let choice = rate.map_or_else(|| "none".to_owned(), |rate| format!("{rate} a second"));
        effects.push(HostEffect::LogDecision(DecisionRecord {
            kind: DecisionKind::Limit,
            ticket: None,
            subject: name.unwrap_or_default(),
            choice,
            reason,
            alternatives: 0,
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
    fn update_granted_rates(&mut self, now: Moment) {
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

    fn limit_rows(
        &self,
        records: impl Iterator<Item = (UpstreamKey, LimitRecord)>,
    ) -> Vec<LimitRow> {
        let row = |(key, record): (UpstreamKey, LimitRecord)| {
            let upstream = self.catalog.upstreams.get(key)?.name.clone();
            let age_ms = record.age.as_millis() as u64;
            Some(LimitRow { upstream, rate: record.rate, age_ms })
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
        self.merge_limits(now, &table.rows, effects);
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
    fn is_loading(&self, target: RequestTarget) -> bool {
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

    /// What this host reports to its leader about limits; empty without limits.
    pub(super) fn limit_report(&mut self, now: Moment) -> LimitReport {
        if self.limits.view.is_empty() {
            return LimitReport::default();
        }
        let want = |entry: WantEntry| {
            Some(PermitWant {
                upstream: self.catalog.upstreams.get(entry.upstream)?.name.clone(),
                rank: entry.rank,
                count: entry.count,
                slack_ms: entry.deadline.since(now).as_millis() as u64,
                seen: entry.seen,
            })
        };
        let wants = self.permit_wants(now).into_iter().filter_map(want).collect();
        let rows = self.limit_rows(self.limits.view.unconfirmed(now));
        LimitReport { number: self.limits.permits.record_report(now), rows, wants }
    }

    /// Whether this host has to repeat what it waits for.
    pub(super) fn is_limit_report_due(&self, now: Moment, sent_at: Moment) -> bool {
        !self.limits.view.is_empty()
            && now.since(sent_at) >= WANT_INTERVAL
            && !self.permit_wants(now).is_empty()
    }

    /// Requests that wait for permits, by upstream and rank. Each waiting request asks for one
    /// permit, of the upstream with the shortest wait.
    fn permit_wants(&self, now: Moment) -> Vec<WantEntry> {
        let mut wants: BTreeMap<(UpstreamKey, u8), (u32, Moment)> = BTreeMap::new();
        for (target, head, _) in self.queue.targets() {
            let Some(upstream) = self.shortest_wait(now, target, head.rank) else {
                continue;
            };
            for waiting in self.queue.waiting_for(target) {
                let (count, deadline) =
                    wants.entry((upstream, waiting.rank)).or_insert((0, waiting.deadline));
                *count += 1;
                *deadline = waiting.deadline.min(*deadline);
            }
        }
        for (upstream, spared_at) in &self.limits.spared_at {
            if now.since(*spared_at) < PERMIT_LIFETIME && self.asks_for_spare_permits(upstream) {
                wants.entry((upstream, SPARE_RANK)).or_insert((1, now.after(PERMIT_LIFETIME)));
            }
        }
        let entry = |((upstream, rank), (count, deadline))| {
            let seen = self.limits.permits.seen(upstream);
            WantEntry { upstream, rank, count, deadline, seen }
        };
        wants.into_iter().map(entry).collect()
    }

    /// The limited upstream that could serve a request for `target` with the shortest wait.
    fn shortest_wait(&self, now: Moment, target: RequestTarget, rank: u8) -> Option<UpstreamKey> {
        let blocked = self.candidates(now, target).blocked;
        let wait = |key: &UpstreamKey| self.limits.expected_wait(now, *key, rank);
        blocked.into_iter().min_by_key(wait)
    }

    /// Whether this host is one of those that use the permits of an upstream that no request waits
    /// for, so that the upstream is not left idle and its limit is found to have ended.
    fn asks_for_spare_permits(&self, upstream: UpstreamKey) -> bool {
        let Some(record) = self.catalog.upstreams.get(upstream) else {
            return false;
        };
        let members = self.members.in_scope(&self.me.scope, &self.me.name);
        let names = members.map(|identity| identity.name.as_str());
        self.limits.view.rate(upstream).is_some()
            && is_among_first(&record.name, &self.me.name, names, SPARE_HOSTS)
    }

    /// What this leader reports to the leader of another scope about that scope's upstreams.
    pub(super) fn foreign_limit_report(&mut self, now: Moment, scope: &str) -> LimitReport {
        let Some(allocator) = &self.limits.allocator else {
            return LimitReport::default();
        };
        let want = |((key, rank), (count, deadline)): ((UpstreamKey, u8), (u32, Moment))| {
            let record = self.catalog.upstreams.get(key).filter(|record| record.scope == scope)?;
            let slack_ms = deadline.since(now).as_millis() as u64;
            let (upstream, seen) = (record.name.clone(), self.limits.foreign_permits.seen(key));
            Some(PermitWant { upstream, rank, count, slack_ms, seen })
        };
        let wants: Vec<PermitWant> =
            allocator.foreign_wants().into_iter().filter_map(want).collect();
        let is_foreign = |key: UpstreamKey| {
            self.catalog.upstreams.get(key).is_some_and(|record| record.scope == scope)
        };
        let rows =
            self.limit_rows(self.limits.view.records(now).filter(|(key, _)| is_foreign(*key)));
        if rows.is_empty() {
            return LimitReport::default();
        }
        LimitReport { number: self.limits.foreign_permits.record_report(now), rows, wants }
    }

    /// Whether requests of this scope wait for permits of the other scope's upstreams.
    pub(super) fn waits_for_scope(&self, scope: &str) -> bool {
        let mut counts = self.limits.foreign_counts.keys();
        counts.any(|(key, _)| {
            self.catalog.upstreams.get(*key).is_some_and(|record| record.scope == scope)
        })
    }

    /// Records what another host of this scope, or the leader of another scope, reported, if this
    /// host leads.
    pub(super) fn handle_limit_report(
        &mut self,
        now: Moment,
        from: &HostIdentity,
        report: &LimitReport,
        effects: &mut Vec<HostEffect>,
    ) {
        if report.number == OWN_REPORT {
            return;
        }
        self.merge_limits(now, &report.rows, effects);
        let entry = |want: &PermitWant| {
            Some(WantEntry {
                upstream: self.catalog.upstream_named(&want.upstream)?,
                rank: want.rank,
                count: want.count.min(MAX_PERMITS),
                deadline: now.after(Duration::from_millis(want.slack_ms)),
                seen: want.seen,
            })
        };
        let entries = report.wants.iter().filter_map(entry).collect();
        if let Some(allocator) = &mut self.limits.allocator {
            allocator.replace_wants(now, from, report.number, entries);
        }
        // Tells the host at once how long its requests have to wait.
        if !report.wants.is_empty()
            && let Some(sync) = self.member_syncs.get_mut(&from.name)
        {
            sync.dirty = true;
            self.notices_due = true;
        }
    }

    /// Grants the permits that are available, if this host leads and has authority.
    pub(super) fn allocate_permits(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let leads = self.limits.allocator.is_some() && self.lease.authority(now).is_some();
        if !leads || self.limits.view.is_empty() {
            return;
        }
        let wants = self.permit_wants(now);
        let me = self.me.clone();
        let Some(allocator) = &mut self.limits.allocator else {
            return;
        };
        allocator.replace_wants(now, &me, OWN_REPORT, wants);
        let awards = allocator.allocate(now, &mut self.limits.foreign_permits);
        self.update_pressure(now);
        let Some(allocator) = &self.limits.allocator else {
            return;
        };
        let foreign = allocator.foreign_wants().into_iter();
        let counts: BTreeMap<_, _> = foreign.map(|(key, (count, _))| (key, count)).collect();
        if counts != self.limits.foreign_counts {
            self.limits.foreign_counts = counts;
            self.notices_due = true;
            self.mark_digests_due();
        }
        let mut granted_here = false;
        for award in awards {
            self.log_award(&award, effects);
            if award.host == me {
                granted_here = true;
                self.limits.permits.add(award.upstream, now.after(PERMIT_LIFETIME), award.count);
            } else if let Some(record) = self.catalog.upstreams.get(award.upstream) {
                let grant = PermitGrant {
                    epoch: self.placement.as_ref().map_or(0, |placement| placement.epoch),
                    upstream: record.name.clone(),
                    report: award.report,
                    serial: award.serial,
                    count: award.count,
                };
                effects.push(HostEffect::send(award.host, PeerMessage::Permit(grant)));
            }
        }
        if granted_here {
            self.dispatch_all_waiting(now, effects);
        }
    }

    /// Replans if requests have begun to wait longer for permits than another replica takes to load.
    fn update_pressure(&mut self, now: Moment) {
        let limited = self.limits.view.limited().map(|(key, _)| key).collect();
        let is_exceeded = |key: &UpstreamKey| {
            let wait = self.limits.expected_wait(now, *key, SPARE_RANK - 1);
            wait.is_some_and(|wait| wait >= EXCEEDED_WAIT)
        };
        let keys = self.limits.view.limited().map(|(key, _)| key);
        let exceeded = keys.filter(is_exceeded).collect();
        let pressure = LimitPressure { limited, exceeded };
        if pressure != self.limits.pressure {
            self.limits.pressure = pressure;
            if let Some(placement) = &mut self.placement {
                placement.schedule_plan();
            }
        }
    }

    fn log_award(&self, award: &PermitAward, effects: &mut Vec<HostEffect>) {
        let name = self.catalog.upstreams.get(award.upstream).map(|record| record.name.clone());
        effects.push(HostEffect::LogDecision(DecisionRecord {
            kind: DecisionKind::Permit,
            ticket: None,
            subject: name.unwrap_or_default(),
            choice: award.host.name.clone(),
            reason: "lowest rank, earliest deadline",
            alternatives: 0,
        }));
    }

    /// Accepts permits of this host's leader and dispatches the requests that wait for them. If this
    /// host leads, accepts permits of other leaders and grants them to the hosts of its scope.
    pub(super) fn handle_permit_grant(
        &mut self,
        now: Moment,
        from: &HostIdentity,
        grant: &PermitGrant,
        effects: &mut Vec<HostEffect>,
    ) {
        let from_leader = if from.scope == self.me.scope {
            let leader = self.leader.as_ref();
            leader.is_some_and(|leader| leader.identity == *from && leader.epoch == grant.epoch)
        } else {
            self.is_peer_leader(from, grant.epoch)
        };
        let Some(upstream) = self.catalog.upstream_named(&grant.upstream).filter(|_| from_leader)
        else {
            return;
        };
        let count = grant.count.min(MAX_PERMITS);
        if from.scope != self.me.scope {
            let permits = &mut self.limits.foreign_permits;
            permits.accept(now, upstream, grant.report, grant.serial, count);
            return;
        }
        let permits = &mut self.limits.permits;
        if permits.accept(now, upstream, grant.report, grant.serial, count) {
            self.dispatch_all_waiting(now, effects);
        }
    }

    /// Removes outdated limits, and gives this host its own small share of the limits in its zone
    /// while no leader grants permits. A zone that is cut off can use its limited upstreams then.
    pub(super) fn limit_tick(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        if self.limits.view.is_empty() {
            return;
        }
        let upstreams = &self.catalog.upstreams;
        self.limits.view.sweep(now, |key| upstreams.contains_key(key));
        let waited = now.since(self.limits.leader_granted_at.max(self.resumed_at));
        let has_leader = waited < self.timing.peer_timeout * LEADERLESS_TIMEOUTS;
        if has_leader || self.limits.allocator.is_some() {
            return;
        }
        let mut granted = false;
        for want in self.permit_wants(now) {
            let Some(rate) = self.leaderless_rate(want.upstream) else {
                continue;
            };
            let shares = &mut self.limits.leaderless_shares;
            if !shares.contains_key(want.upstream) {
                shares.insert(want.upstream, PermitBucket::new(now, rate));
            }
            if shares.get_mut(want.upstream).is_some_and(|share| share.try_take(now)) {
                self.limits.permits.add(want.upstream, now.after(PERMIT_LIFETIME), 1);
                granted = true;
            }
        }
        if granted {
            self.dispatch_all_waiting(now, effects);
        }
    }

    /// Rate at which this host may send requests to a limited upstream without a leader; `None` if
    /// it may not.
    fn leaderless_rate(&self, upstream: UpstreamKey) -> Option<RequestRate> {
        let RequestRate(rate) = self.limits.view.rate(upstream)?;
        let record = self.catalog.upstreams.get(upstream)?;
        let members = self.members.in_scope(&self.me.scope, &self.me.name);
        let in_zone = members.filter(|identity| identity.zone == record.zone);
        let names = in_zone.map(|identity| identity.name.as_str());
        let is_sender = record.zone == self.me.zone
            && is_among_first(&record.name, &self.me.name, names, LEADERLESS_SENDERS);
        is_sender.then_some(RequestRate(rate / LEADERLESS_DIVISOR))
    }
}
