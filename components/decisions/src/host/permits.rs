//! Permits for requests to limited upstreams: asking for them, and granting them as leader.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailledge_inventory::UpstreamKey;
use wagtailledge_inventory::UpstreamRecord;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::effect::DecisionKind;
use crate::effect::DecisionRecord;
use crate::effect::HostEffect;
use crate::identity::HostIdentity;
use crate::limits::LimitEvidence;
use crate::limits::LimitPressure;
use crate::limits::OWN_REPORT;
use crate::limits::PERMIT_LIFETIME;
use crate::limits::PermitAward;
use crate::limits::PermitBucket;
use crate::limits::PublishedLimit;
use crate::limits::RequestRate;
use crate::limits::WantEntry;
use crate::limits::is_report_since;
use crate::message::EvidenceRow;
use crate::message::LimitReport;
use crate::message::LimitRow;
use crate::message::PeerMessage;
use crate::message::PermitGrant;
use crate::message::PermitWant;
use crate::message::ProcessRow;
use crate::request::RequestTarget;
use crate::time::Moment;

use super::limits::SPARE_RANK;
use super::peer_leaders::PeerLeader;
use super::state::HostReducer;

/// Interval at which a host repeats what it waits for. Must be shorter than [`PERMIT_LIFETIME`].
pub(super) const WANT_INTERVAL: Duration = Duration::from_millis(400);
/// Most permits in one grant and most requests in one want that are taken from a message.
const MAX_PERMITS: u32 = 1_000;
/// Expected wait for a permit from which other engines get replicas of what is requested.
const EXCEEDED_WAIT: Duration = Duration::from_millis(1_200);
/// Number of hosts that ask for permits that no request waits for.
const SPARE_HOSTS: usize = 3;
/// Number of hosts of a zone that send requests to its limited upstreams without a leader.
const LEADERLESS_SENDERS: usize = 2;
/// Divisor of a limit for the share of each of these hosts.
const LEADERLESS_DIVISOR: u64 = 16;
/// Peer timeouts without a leader that grants permits, after which hosts do without one.
const LEADERLESS_TIMEOUTS: u32 = 2;

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
    /// What this host reports to its leader about limits; empty without limits.
    pub(super) fn limit_report(&mut self, now: Moment) -> LimitReport {
        if self.limits.view.is_empty() {
            return LimitReport::default();
        }
        let want = |entry: WantEntry| {
            let ProcessRow(upstream, started_ms) = self.process_row(entry.upstream)?;
            Some(PermitWant {
                upstream,
                started_ms,
                rank: entry.rank,
                count: entry.count,
                slack_ms: entry.deadline.since(now).as_millis() as u64,
                seen: entry.seen,
            })
        };
        let wants = self.permit_wants(now).into_iter().filter_map(want).collect();
        let (rows, evidence) = self.limit_news(now, |_| true);
        let number = self.limits.permits.record_report(now);
        self.limits.view.record_report(number, |_| true);
        LimitReport { number, rows, evidence, wants }
    }

    /// Limits of the upstreams for which `covers` is true that their leader may not have, and the
    /// evidence about limits.
    fn limit_news(
        &self,
        now: Moment,
        covers: impl Fn(UpstreamKey) -> bool,
    ) -> (Vec<LimitRow>, Vec<EvidenceRow>) {
        let named = self.limits.view.named(now).filter(|(key, ..)| covers(*key));
        let row = |(key, rate, age): (UpstreamKey, RequestRate, Duration)| {
            let published = PublishedLimit { rate: Some(rate), ..PublishedLimit::default() };
            self.limit_row(key, published, age)
        };
        let evidence = self.limits.view.evidence().filter(|(key, _)| covers(*key));
        let evidence_row = |(key, evidence): (UpstreamKey, LimitEvidence)| {
            let process = self.catalog.process(key)?;
            Some(EvidenceRow {
                upstream: process.name.clone(),
                started_ms: process.started_ms,
                phase: evidence.phase,
                raised: evidence.raised,
            })
        };
        (named.filter_map(row).collect(), evidence.filter_map(evidence_row).collect())
    }

    /// Whether this host has to repeat what it waits for, or what its leader may not have.
    pub(super) fn is_limit_report_due(&self, now: Moment, sent_at: Moment) -> bool {
        !self.limits.view.is_empty()
            && now.since(sent_at) >= WANT_INTERVAL
            && (self.limits.view.has_news(|_| true) || !self.permit_wants(now).is_empty())
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
            self.catalog.upstreams.get(key).filter(|record| record.scope == scope)?;
            let ProcessRow(upstream, started_ms) = self.process_row(key)?;
            let slack_ms = deadline.since(now).as_millis() as u64;
            let seen = self.limits.foreign_permits.seen(key);
            Some(PermitWant { upstream, started_ms, rank, count, slack_ms, seen })
        };
        let wants: Vec<PermitWant> =
            allocator.foreign_wants().into_iter().filter_map(want).collect();
        let (rows, evidence) = self.limit_news(now, |key| self.is_in_scope(key, scope));
        if rows.is_empty() && evidence.is_empty() && wants.is_empty() {
            return LimitReport::default();
        }
        let number = self.limits.foreign_permits.record_report(now);
        let upstreams = &self.catalog.upstreams;
        let is_foreign =
            |key| upstreams.get(key).is_some_and(|record: &UpstreamRecord| record.scope == scope);
        self.limits.view.record_report(number, is_foreign);
        LimitReport { number, rows, evidence, wants }
    }

    /// Whether the leader of the other scope is still to be told of requests of this scope that wait for
    /// permits, or of limits of its upstreams.
    pub(super) fn owes_limit_report(&self, scope: &str) -> bool {
        let mut counts = self.limits.foreign_counts.keys();
        counts.any(|(key, _)| self.is_in_scope(*key, scope))
            || self.limits.view.has_news(|key| self.is_in_scope(key, scope))
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
        if !self.record_limit_report(from, report) {
            return;
        }
        self.merge_named_limits(now, from, &report.rows, effects);
        self.merge_evidence(now, &report.evidence, effects);
        let entry = |want: &PermitWant| {
            Some(WantEntry {
                upstream: self.catalog.process_named(&want.upstream, want.started_ms)?,
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

    /// Records the number of a report of a host of this scope or of the leader of another one. Returns
    /// whether it is newer than the last one; messages may overtake each other.
    fn record_limit_report(&mut self, from: &HostIdentity, report: &LimitReport) -> bool {
        let sync = if from.scope == self.me.scope {
            self.member_syncs.get_mut(&from.name)
        } else {
            self.peer_leaders.get_mut(&from.scope).map(PeerLeader::sync_mut)
        };
        let Some(sync) = sync else {
            return false;
        };
        if report.number == OWN_REPORT {
            // The host knows no limits any more.
            sync.limit_ack = 0;
            return false;
        }
        if is_report_since(sync.limit_report, report.number) {
            return false;
        }
        sync.limit_report = report.number;
        sync.limit_ack = if report.rows.is_empty() { 0 } else { report.number };
        // The host counts its limits as unknown here until it is told that they have arrived.
        sync.dirty |= sync.limit_ack != 0;
        self.notices_due |= sync.limit_ack != 0;
        true
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
            } else if let Some(ProcessRow(upstream, started_ms)) = self.process_row(award.upstream)
            {
                let grant = PermitGrant {
                    epoch: self.placement.as_ref().map_or(0, |placement| placement.epoch),
                    upstream,
                    started_ms,
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
            inputs: String::new(),
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
        let process = self.catalog.process_named(&grant.upstream, grant.started_ms);
        let Some(upstream) = process.filter(|_| from_leader) else {
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
        let catalog = &self.catalog;
        self.limits.view.sweep(now, |key| catalog.has_process(key));
        if let Some(authority) = &mut self.limits.authority {
            authority.retain(|key| catalog.has_process(key));
        }
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
