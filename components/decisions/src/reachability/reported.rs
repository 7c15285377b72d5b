//! Upstreams that other hosts cannot reach, as the leader published them.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailledge_inventory::UpstreamKey;

use crate::time::Moment;

/// Time for which reports count for nothing after this host contradicted one by an answer of its own:
/// other hosts may be cut off from what this one reaches, and repeat their reports.
const OWN_ANSWER_TIME: Duration = Duration::from_secs(1);
/// Reported upstreams of one zone from which one that answers stands for the others: the reports are
/// then about the zone.
const ZONE_REPORTS: usize = 3;
/// Least time between two checks of a reported upstream, so that it comes back well within a second.
const CHECK_PAUSE: Duration = Duration::from_millis(300);
/// Reported upstreams that are checked at once, every 50 ms: a whole zone within a second.
const CHECKS_AT_ONCE: usize = 3;

/// One reported upstream.
#[derive(Debug, Clone)]
struct ReportedOutage {
    zone: String,
    /// Its latest failure at any other host.
    failed_at: Moment,
    until: Moment,
    checked_at: Moment,
}

/// Published outages, and what this host knows better.
#[derive(Debug, Clone, Default)]
pub struct ReportedOutages {
    rows: BTreeMap<UpstreamKey, ReportedOutage>,
    /// Latest answer of each upstream to this host.
    answered: BTreeMap<UpstreamKey, Moment>,
    /// Failures up to these moments count for nothing, by upstream.
    contradicted: BTreeMap<UpstreamKey, Moment>,
    /// Failures up to these moments count for nothing, by zone.
    contradicted_zones: BTreeMap<String, Moment>,
}

impl ReportedOutages {
    /// Replaces the published outages: upstream, its zone, age of its latest failure, and time left.
    /// Returns the upstreams that are avoided now and were not before.
    pub fn replace(
        &mut self,
        now: Moment,
        rows: impl Iterator<Item = (UpstreamKey, String, Duration, Duration)>,
    ) -> Vec<UpstreamKey> {
        let avoided_before: Vec<UpstreamKey> = self.avoided(now).collect();
        let old = std::mem::take(&mut self.rows);
        for (upstream, zone, age, left) in rows {
            let checked_at = old.get(&upstream).map_or(Moment::default(), |row| row.checked_at);
            let (failed_at, until) = (now.before(age), now.after(left));
            self.rows.insert(upstream, ReportedOutage { zone, failed_at, until, checked_at });
        }
        self.avoided(now).filter(|upstream| !avoided_before.contains(upstream)).collect()
    }

    /// Whether the upstream gets no requests because of reports.
    pub fn avoids(&self, now: Moment, upstream: UpstreamKey) -> bool {
        self.rows.get(&upstream).is_some_and(|row| self.counts(now, upstream, row))
    }

    fn counts(&self, now: Moment, upstream: UpstreamKey, row: &ReportedOutage) -> bool {
        let is_newer = |at: Option<&Moment>| at.is_none_or(|at| row.failed_at > *at);
        now < row.until
            && is_newer(self.answered.get(&upstream))
            && is_newer(self.contradicted.get(&upstream))
            && is_newer(self.contradicted_zones.get(&row.zone))
    }

    /// Upstreams that get no requests because of reports.
    pub fn avoided(&self, now: Moment) -> impl Iterator<Item = UpstreamKey> + '_ {
        let avoided = self.rows.iter().filter(move |(key, row)| self.counts(now, **key, row));
        avoided.map(|(upstream, _)| *upstream)
    }

    /// Records that something came from an upstream at `at`.
    pub fn record_answer(&mut self, now: Moment, upstream: UpstreamKey, at: Moment) {
        let is_contradiction = self.avoids(now, upstream);
        self.answered.insert(upstream, at);
        if !is_contradiction || self.avoids(now, upstream) {
            return;
        }
        self.contradicted.insert(upstream, at.after(OWN_ANSWER_TIME));
        let Some(zone) = self.rows.get(&upstream).map(|row| row.zone.clone()) else {
            return;
        };
        if self.rows.values().filter(|row| row.zone == zone).count() >= ZONE_REPORTS {
            self.record_zone_back(at, &zone);
        }
    }

    /// Records that this host reached a zone again at `at`, so that earlier reports about it are over.
    pub fn record_zone_back(&mut self, at: Moment, zone: &str) {
        self.contradicted_zones.insert(zone.to_owned(), at.after(OWN_ANSWER_TIME));
    }

    /// Upstreams to check now, of those that are avoided and whose zone may be reached.
    pub fn start_checks(
        &mut self,
        now: Moment,
        may_be_reached: impl Fn(&str) -> bool,
    ) -> Vec<(UpstreamKey, String)> {
        let avoided: Vec<UpstreamKey> = self.avoided(now).collect();
        let is_due = |key: &UpstreamKey| {
            let row = &self.rows[key];
            now.since(row.checked_at) >= CHECK_PAUSE && may_be_reached(&row.zone)
        };
        let mut due: Vec<UpstreamKey> = avoided.into_iter().filter(is_due).collect();
        due.sort_by_key(|key| self.rows[key].checked_at);
        due.truncate(CHECKS_AT_ONCE);
        let mut checks = Vec::new();
        for upstream in due {
            if let Some(row) = self.rows.get_mut(&upstream) {
                row.checked_at = now;
                checks.push((upstream, row.zone.clone()));
            }
        }
        checks
    }

    /// Forgets all reports after this process was frozen.
    pub fn clear(&mut self) {
        self.rows.clear();
    }

    /// Forgets what is too old to matter.
    pub fn remove_before(&mut self, oldest: Moment) {
        self.answered.retain(|_, at| *at >= oldest);
        self.contradicted.retain(|_, at| *at >= oldest);
        self.contradicted_zones.retain(|_, at| *at >= oldest);
    }
}
