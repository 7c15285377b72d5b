//! What a leader publishes about upstreams that several hosts cannot reach.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use wagtailledge_inventory::UpstreamKey;

use crate::time::Moment;

use super::REPORT_TIME;

/// Hosts that must report an upstream, so that one faulty host takes no work from it.
const REPORTING_HOSTS: usize = 3;
/// Zones of reporting hosts that also suffice: two hosts of one zone may share a fault of its network.
const REPORTING_ZONES: usize = 2;
/// Time from the latest failure for which an outage is published.
const OUTAGE_TIME: Duration = Duration::from_secs(3);
/// Least time between two publications. Reports of one cut arrive within some hundred milliseconds.
const PUBLISH_PAUSE: Duration = Duration::from_millis(100);
/// Time after which newer failures of a published upstream are published again, well before
/// `OUTAGE_TIME` ends.
const RENEWAL_TIME: Duration = Duration::from_secs(1);

/// Report of one host about one upstream.
#[derive(Debug, Clone)]
struct HostReport {
    zone: String,
    failed_at: Moment,
}

/// Upstream that several hosts cannot reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outage {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Its latest failure at any host.
    pub failed_at: Moment,
    /// When the outage ends unless it is reported again.
    pub until: Moment,
    /// Number of hosts that report it.
    pub hosts: usize,
    /// Number of their zones.
    pub zones: usize,
}

/// Reports of the hosts of a scope, and what follows from them.
#[derive(Debug, Clone, Default)]
pub struct OutageBook {
    /// Reports by upstream and host.
    reports: BTreeMap<UpstreamKey, BTreeMap<String, HostReport>>,
    outages: BTreeMap<UpstreamKey, Outage>,
    /// Latest failure of each upstream as last published.
    published: BTreeMap<UpstreamKey, Moment>,
    next_publication: Moment,
}

impl OutageBook {
    /// Replaces the report of a host: the upstreams that failed there, with the age of the failure.
    /// Failures that are too old are ignored.
    pub fn replace(
        &mut self,
        now: Moment,
        host: &str,
        zone: &str,
        failures: impl Iterator<Item = (UpstreamKey, Duration)>,
    ) {
        for reports in self.reports.values_mut() {
            reports.remove(host);
        }
        for (upstream, age) in failures.filter(|(_, age)| *age < REPORT_TIME) {
            let report = HostReport { zone: zone.to_owned(), failed_at: now.before(age) };
            self.reports.entry(upstream).or_default().insert(host.to_owned(), report);
        }
        self.reports.retain(|_, reports| !reports.is_empty());
    }

    /// Updates the outages. Returns the new ones.
    pub fn update(&mut self, now: Moment) -> Vec<Outage> {
        let mut added = Vec::new();
        for (upstream, reports) in &mut self.reports {
            reports.retain(|_, report| now.since(report.failed_at) < REPORT_TIME);
            let zones: BTreeSet<&str> =
                reports.values().map(|report| report.zone.as_str()).collect();
            if reports.len() < REPORTING_HOSTS && zones.len() < REPORTING_ZONES {
                continue;
            }
            let latest = reports.values().map(|report| report.failed_at).max().unwrap_or(now);
            let outage = Outage {
                upstream: *upstream,
                failed_at: latest,
                until: latest.after(OUTAGE_TIME),
                hosts: reports.len(),
                zones: zones.len(),
            };
            if self.outages.insert(*upstream, outage).is_none() {
                added.push(outage);
            }
        }
        self.reports.retain(|_, reports| !reports.is_empty());
        // An outage that no host reports any longer is over.
        let reports = &self.reports;
        self.outages
            .retain(|upstream, outage| outage.until > now && reports.contains_key(upstream));
        added
    }

    /// All outages.
    pub fn outages(&self) -> impl Iterator<Item = &Outage> {
        self.outages.values()
    }

    /// Whether the outages differ so much from the published ones that they must be published now.
    /// Records that they are.
    pub fn take_publication(&mut self, now: Moment) -> bool {
        if now < self.next_publication {
            return false;
        }
        let is_news = |(upstream, outage): (&UpstreamKey, &Outage)| {
            let published = self.published.get(upstream);
            published.is_none_or(|at| outage.failed_at.since(*at) >= RENEWAL_TIME)
        };
        let is_over = self.published.keys().any(|upstream| !self.outages.contains_key(upstream));
        if !is_over && !self.outages.iter().any(is_news) {
            return false;
        }
        let failures = self.outages.iter().map(|(upstream, outage)| (*upstream, outage.failed_at));
        self.published = failures.collect();
        self.next_publication = now.after(PUBLISH_PAUSE);
        true
    }
}
