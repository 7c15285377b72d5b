//! Calls of the decisions about upstreams that several hosts cannot reach: reports, publication and use.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use wagtailledge_inventory::UpstreamKey;

use crate::effect::DecisionKind;
use crate::effect::DecisionRecord;
use crate::effect::HostEffect;
use crate::identity::HostIdentity;
use crate::message::ProcessRow;
use crate::reachability::FailureRow;
use crate::reachability::OutageBook;
use crate::reachability::OutageRow;
use crate::time::Moment;

use super::state::HostReducer;

/// Most upstreams that are named in one log line.
const MAX_LOGGED_NAMES: usize = 4;

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

impl HostReducer {
    /// Whether this host cannot reach most other zones but its own. It is then cut off itself: its
    /// failures say nothing about upstreams, and reports of others do not count for its own zone.
    fn is_cut_off_itself(&self) -> bool {
        let zones: BTreeSet<&str> =
            self.catalog.upstreams.values().map(|record| record.zone.as_str()).collect();
        let others = zones.iter().filter(|zone| **zone != self.me.zone).count();
        let unreachable = self.reach.zones.unreachable().filter(|zone| *zone != self.me.zone);
        unreachable.count() * 2 > others && !self.reach.zones.is_unreachable(&self.me.zone)
    }

    /// Whether an upstream gets no requests because other hosts cannot reach it.
    pub(super) fn is_reported(&self, now: Moment, upstream: UpstreamKey) -> bool {
        if !self.reach.reported.avoids(now, upstream) {
            return false;
        }
        let is_own = self.catalog.upstreams.get(upstream).is_some_and(|at| at.zone == self.me.zone);
        !(is_own && self.is_cut_off_itself())
    }

    /// Whether a report about failures is due, with `waited` since the last message to the leader.
    pub(super) fn is_failure_report_due(&self, now: Moment, waited: Duration) -> bool {
        let (pause, idle) = (self.timing.notice_pause, self.timing.notice_idle);
        self.reach.failures.is_report_due(now, waited, pause, idle)
    }

    /// Failures to report to the leader.
    pub(super) fn failure_rows(&mut self, now: Moment) -> Vec<FailureRow> {
        let failures: Vec<_> = self.reach.failures.current(now).collect();
        self.reach.failures.mark_reported(now);
        if failures.is_empty() || self.is_cut_off_itself() {
            return Vec::new();
        }
        let row = |(upstream, age): (UpstreamKey, Duration)| {
            let ProcessRow(name, started_ms) = self.process_row(upstream)?;
            Some(FailureRow { upstream: name, started_ms, age_ms: millis(age) })
        };
        failures.into_iter().filter_map(row).collect()
    }

    /// Takes over the report of another host, if this host leads.
    pub(super) fn handle_failures(
        &mut self,
        now: Moment,
        from: &HostIdentity,
        rows: &[FailureRow],
    ) {
        let catalog = &self.catalog;
        let failure = |row: &FailureRow| {
            let upstream = catalog.process_named(&row.upstream, row.started_ms)?;
            Some((upstream, Duration::from_millis(row.age_ms)))
        };
        self.reach.book.replace(now, &from.name, &from.zone, rows.iter().filter_map(failure));
    }

    /// Decides as leader which upstreams several hosts cannot reach, and publishes them.
    pub(super) fn lead_outages(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        if self.placement.is_none() {
            return;
        }
        let own: Vec<_> = self.reach.failures.current(now).collect();
        let counts = own.is_empty() || !self.is_cut_off_itself();
        let own = if counts { own } else { Vec::new() };
        self.reach.book.replace(now, &self.me.name, &self.me.zone, own.into_iter());
        for outage in self.reach.book.update(now) {
            let record = self.catalog.upstreams.get(outage.upstream);
            effects.push(HostEffect::LogDecision(DecisionRecord {
                kind: DecisionKind::Health,
                ticket: None,
                subject: record.map_or_else(String::new, |record| record.name.clone()),
                choice: "published".to_owned(),
                reason: "several hosts cannot reach it",
                alternatives: 0,
                inputs: format!(
                    "hosts={} zones={} age_ms={}",
                    outage.hosts,
                    outage.zones,
                    millis(now.since(outage.failed_at))
                ),
            }));
        }
        if self.reach.book.take_publication(now) {
            self.notices_due = true;
            for sync in self.member_syncs.values_mut() {
                sync.dirty = true;
            }
            let rows = self.outage_rows(now);
            self.apply_outages(now, &rows, effects);
        }
    }

    /// Upstreams that several hosts cannot reach, as this host publishes them as leader.
    pub(super) fn outage_rows(&self, now: Moment) -> Vec<OutageRow> {
        let outages = self.reach.book.outages();
        let row = |outage: &crate::reachability::Outage| {
            let ProcessRow(upstream, started_ms) = self.process_row(outage.upstream)?;
            Some(OutageRow {
                upstream,
                started_ms,
                age_ms: millis(now.since(outage.failed_at)),
                left_ms: millis(outage.until.since(now)),
                hosts: outage.hosts as u32,
            })
        };
        outages.filter_map(row).collect()
    }

    /// Applies what the leader published.
    pub(super) fn apply_outages(
        &mut self,
        now: Moment,
        rows: &[OutageRow],
        effects: &mut Vec<HostEffect>,
    ) {
        let mut outages = Vec::new();
        for row in rows {
            let process = self.catalog.process_named(&row.upstream, row.started_ms);
            let zone = process.and_then(|upstream| Some((upstream, self.watched_zone(upstream)?)));
            let (age, left) =
                (Duration::from_millis(row.age_ms), Duration::from_millis(row.left_ms));
            outages.extend(zone.map(|(upstream, zone)| (upstream, zone, age, left)));
        }
        let avoided = self.reach.reported.replace(now, outages.into_iter());
        if avoided.is_empty() {
            return;
        }
        self.reach.examine_at_once(now);
        self.log_reported(&avoided, rows, effects);
    }

    /// Logs the upstreams that are avoided from now on because of reports, with one line for each zone.
    fn log_reported(
        &self,
        avoided: &[UpstreamKey],
        rows: &[OutageRow],
        effects: &mut Vec<HostEffect>,
    ) {
        let mut zones: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for upstream in avoided {
            if let Some(record) = self.catalog.upstreams.get(*upstream) {
                zones.entry(&record.zone).or_default().push(&record.name);
            }
        }
        for (zone, names) in zones {
            let of_zone = || rows.iter().filter(|row| names.contains(&row.upstream.as_str()));
            let hosts = of_zone().map(|row| row.hosts).min().unwrap_or(0);
            let age_ms = of_zone().map(|row| row.age_ms).max().unwrap_or(0);
            let shown = &names[..names.len().min(MAX_LOGGED_NAMES)];
            effects.push(HostEffect::LogDecision(DecisionRecord {
                kind: DecisionKind::Health,
                ticket: None,
                subject: zone.to_owned(),
                choice: "reported by others".to_owned(),
                reason: "several hosts cannot reach upstreams there",
                alternatives: 0,
                inputs: format!(
                    "upstreams={} hosts={hosts} age_ms={age_ms} {}",
                    names.len(),
                    shown.join(",")
                ),
            }));
        }
    }

    /// Forgets the reports that this host got as leader, when its term begins or ends.
    pub(super) fn reset_outages(&mut self) {
        self.reach.book = OutageBook::default();
    }
}
