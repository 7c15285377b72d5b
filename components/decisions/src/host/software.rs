//! Software versions of upstreams: which ones serve, and where streams may begin and go on.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use wagtailledge_inventory::ServiceKey;
use wagtailledge_inventory::UpstreamKey;
use wagtailledge_inventory::catalog::SoftwareVersion;

use crate::admission::SoftwareBinding;
use crate::effect::DecisionKind;
use crate::effect::DecisionRecord;
use crate::effect::HostEffect;
use crate::registry::CallPurpose;
use crate::request::RefusalReason;
use crate::request::RequestKey;
use crate::request::RequestTarget;
use crate::routing::UpstreamCandidate;
use crate::software::SOFTWARE_KEY;
use crate::software::SoftwareRecord;
use crate::software::VersionRow;
use crate::store::StoreOutcome;
use crate::time::Moment;

use super::state::HostReducer;
use super::stored_record::StoredRecord;

/// Interval at which a leader compares the record with the upstreams.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Added to the time within which all hosts know a new version, for clocks that differ.
const OPENING_MARGIN: Duration = Duration::from_millis(500);
/// Time without upstreams of a version after which it is removed from the record. Longer than callers
/// wait for a stream.
const VERSION_RETENTION: Duration = Duration::from_secs(60);

/// Version of a service: the names of both.
type ServiceVersion = (String, String);

/// What this host knows of software versions.
#[derive(Debug, Clone, Default)]
pub(super) struct HostSoftware {
    record: StoredRecord<SoftwareRecord>,
    /// All that was in the key-value service at this moment is known here; `None` before the first read,
    /// or if the platform does not announce changes.
    seen_at: Option<Moment>,
    next_check: Moment,
    /// If this process leads: since when versions are in the record that are not open yet.
    closed_since: BTreeMap<ServiceVersion, Moment>,
    /// If this process leads: since when versions in the record have no upstreams.
    absent_since: BTreeMap<ServiceVersion, Moment>,
}

impl HostSoftware {
    /// Versions of a service in the record; empty if they are not known.
    fn versions_of(&self, service: &str) -> &[VersionRow] {
        self.record.known().map_or(&[], |record| record.versions_of(service))
    }

    /// Keeps since when versions are in the record that are not open.
    fn note_closed(&mut self, now: Moment) {
        let mut closed = BTreeSet::new();
        for (service, rows) in self.record.known().into_iter().flat_map(|record| &record.services) {
            let rows = rows.iter().filter(|row| !row.is_open);
            closed.extend(rows.map(|row| (service.clone(), row.version.clone())));
        }
        self.closed_since.retain(|version, _| closed.contains(version));
        for version in closed {
            self.closed_since.entry(version).or_insert(now);
        }
    }
}

impl HostReducer {
    /// Whether several software versions of the service serve, or did a short time ago.
    pub(super) fn is_split(&self, service: ServiceKey) -> bool {
        let record = self.catalog.services.get(service);
        record.is_some_and(|record| self.software.versions_of(&record.name).len() > 1)
    }

    /// The only software version that can have begun a stream of the service; `None` if there may be
    /// others, or this host's view is too old to tell.
    pub(super) fn sole_version(&self, now: Moment, service: ServiceKey) -> Option<SoftwareVersion> {
        let Some(bound) = self.timing.change_bound else {
            return Some(SoftwareVersion::default());
        };
        let is_current = self.software.seen_at.is_some_and(|at| now.since(at) <= bound);
        let record = self.catalog.services.get(service)?;
        match self.software.versions_of(&record.name) {
            [row] if is_current => Some(SoftwareVersion::new(&row.version)),
            _ => None,
        }
    }

    /// Whether a stream that may be taken up may begin at the upstream: only if every host knows its
    /// version.
    fn may_begin_at(&self, upstream: UpstreamKey) -> bool {
        let Some(record) = self.catalog.upstreams.get(upstream) else {
            return false;
        };
        let service = record.service.and_then(|service| self.catalog.services.get(service));
        let rows = service.map_or(&[][..], |service| self.software.versions_of(&service.name));
        let row = rows.iter().find(|row| row.version == record.software.name());
        rows.is_empty() || row.is_some_and(|row| row.is_open)
    }

    /// Whether a request may be sent to an upstream, as far as the software's version is concerned.
    fn allows_software(&self, key: RequestKey, upstream: UpstreamKey) -> bool {
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        match &request.binding {
            SoftwareBinding::Asking => false,
            SoftwareBinding::Bound(version) => {
                let record = self.catalog.upstreams.get(upstream);
                record.is_some_and(|record| record.software == *version)
            }
            SoftwareBinding::Free => {
                let is_resumable = request.terms.as_ref().is_some_and(|terms| terms.resumable);
                !is_resumable || self.may_begin_at(upstream)
            }
        }
    }

    /// The candidates that a request may be sent to.
    pub(super) fn allowed_candidates<'c>(
        &self,
        key: RequestKey,
        candidates: &'c [UpstreamCandidate],
    ) -> Cow<'c, [UpstreamCandidate]> {
        let is_allowed = |candidate: &UpstreamCandidate| self.allows_software(key, candidate.key);
        if candidates.iter().all(is_allowed) {
            return Cow::Borrowed(candidates);
        }
        let allowed = candidates.iter().copied().filter(is_allowed);
        Cow::Owned(allowed.collect())
    }

    /// Reason to refuse a waiting request because its stream cannot go on.
    pub(super) fn software_fault(&self, key: RequestKey) -> Option<RefusalReason> {
        let request = self.requests.get(key)?;
        match &request.binding {
            SoftwareBinding::Free => None,
            SoftwareBinding::Asking => {
                (!self.origins.is_searched(key)).then_some(RefusalReason::UnknownOrigin)
            }
            SoftwareBinding::Bound(version) => {
                let is_lost = self.has_other_software(request.target, version)
                    && !self.has_upstream_with(request.target, version);
                is_lost.then_some(RefusalReason::NoSuchSoftware)
            }
        }
    }

    /// Whether an upstream of the target's service that accepts work has another version.
    fn has_other_software(&self, target: RequestTarget, version: &SoftwareVersion) -> bool {
        let service = self.service_of(target);
        let service = service.and_then(|service| self.catalog.services.get(service));
        let mut instances = service.into_iter().flat_map(|service| &service.instances);
        instances.any(|key| {
            let record = self.catalog.upstreams.get(*key);
            record.is_some_and(|record| record.software != *version)
                && self.members.upstream_accepts(&self.catalog, *key)
        })
    }

    /// Whether an upstream with this version could serve the target now, or soon.
    fn has_upstream_with(&self, target: RequestTarget, version: &SoftwareVersion) -> bool {
        let is_usable = |key: &UpstreamKey| {
            let record = self.catalog.upstreams.get(*key);
            record.is_some_and(|record| record.software == *version)
                && self.members.upstream_accepts(&self.catalog, *key)
        };
        match target {
            RequestTarget::Asset(asset) => {
                self.view.replicas_of(asset).iter().any(|(key, _)| is_usable(key))
            }
            RequestTarget::Service(service) => {
                let record = self.catalog.services.get(service);
                record.is_some_and(|record| record.instances.iter().any(is_usable))
            }
        }
    }

    /// Keeps the record up to date, if this host leads.
    pub(super) fn software_tick(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        if self.placement.is_none() || now < self.software.next_check {
            return;
        }
        let Some(bound) = self.timing.change_bound else {
            return;
        };
        self.software.next_check = now.after(CHECK_INTERVAL);
        if !self.software.record.may_call(now) {
            return;
        }
        let Some(record) = self.next_software_record(now, bound + OPENING_MARGIN) else {
            return;
        };
        let value = SoftwareRecord::to_value;
        if let Some(write) = self.software.record.write(SOFTWARE_KEY, record, value) {
            self.store_calls.call(CallPurpose::SoftwareWrite, write, effects);
        }
    }

    /// The record as it should be: with all versions that serve, or did a short time ago, and open those
    /// that have been in it for `opening_time`. `None` if the present one is not known.
    fn next_software_record(
        &mut self,
        now: Moment,
        opening_time: Duration,
    ) -> Option<SoftwareRecord> {
        let mut record = self.software.record.known()?.clone();
        let mut present: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for upstream in self.registered_upstreams.present() {
            if self.catalog.service_named(&upstream.service).is_some() {
                let versions = present.entry(upstream.service.clone()).or_default();
                versions.insert(upstream.software.clone());
            }
        }
        for (service, versions) in &present {
            let rows = record.services.entry(service.clone()).or_default();
            // No stream has begun before the first record.
            let is_first = rows.is_empty();
            for version in versions {
                if !rows.iter().any(|row| row.version == *version) {
                    rows.push(VersionRow { version: version.clone(), is_open: is_first });
                }
            }
        }
        let closed_since = &self.software.closed_since;
        for (service, rows) in &mut record.services {
            for row in rows.iter_mut().filter(|row| !row.is_open) {
                let version = (service.clone(), row.version.clone());
                let since = closed_since.get(&version);
                row.is_open = since.is_some_and(|since| now.since(*since) >= opening_time);
            }
        }
        self.remove_absent_versions(now, &mut record, &present);
        Some(record)
    }

    /// Removes the versions that have had no upstreams for long, except the last one of a service.
    fn remove_absent_versions(
        &mut self,
        now: Moment,
        record: &mut SoftwareRecord,
        present: &BTreeMap<String, BTreeSet<String>>,
    ) {
        let absent_since = &mut self.software.absent_since;
        let mut absent = BTreeSet::new();
        for (service, rows) in &mut record.services {
            let serving = present.get(service);
            rows.retain(|row| {
                let serves = serving.is_some_and(|versions| versions.contains(&row.version));
                // Without any upstreams of the service, its entries may just not be known.
                if serves || serving.is_none() {
                    return true;
                }
                let version = (service.clone(), row.version.clone());
                let since = *absent_since.entry(version.clone()).or_insert(now);
                absent.insert(version);
                now.since(since) < VERSION_RETENTION
            });
        }
        absent_since.retain(|version, _| absent.contains(version));
    }

    /// Handles the reply to a write of the record.
    pub(super) fn handle_software_reply(
        &mut self,
        now: Moment,
        outcome: StoreOutcome,
        effects: &mut Vec<HostEffect>,
    ) {
        let before = self.software.record.known().cloned().unwrap_or_default();
        match self.software.record.apply_reply(now, outcome) {
            Some((version, value)) => self.apply_software_record(now, version, &value, effects),
            None => self.software_changed(now, &before, effects),
        }
    }

    /// Applies the record in the key-value service; `value` is empty if there is none.
    pub(super) fn apply_software_record(
        &mut self,
        now: Moment,
        version: u64,
        value: &str,
        effects: &mut Vec<HostEffect>,
    ) {
        let before = self.software.record.known().cloned().unwrap_or_default();
        let record = SoftwareRecord::parse(value).unwrap_or_default();
        if self.software.record.observe(version, record) {
            self.software_changed(now, &before, effects);
        }
    }

    /// The record of software versions with its version, for other hosts; `None` before it was read.
    pub(super) fn stored_software(&self) -> Option<(u64, String)> {
        let record = &self.software.record;
        Some((record.version()?, record.known()?.to_value()))
    }

    /// Records how much of the key-value service this host knows.
    pub(super) fn store_seen(&mut self, now: Moment, at: Moment) {
        if at <= now {
            self.software.seen_at = self.software.seen_at.max(Some(at));
        }
    }

    /// Acts on a change of the record: tells other hosts of streams if there are several versions now,
    /// and dispatches what may begin at a version that is open now.
    fn software_changed(
        &mut self,
        now: Moment,
        before: &SoftwareRecord,
        effects: &mut Vec<HostEffect>,
    ) {
        self.software.note_closed(now);
        let record = self.software.record.known().cloned().unwrap_or_default();
        if record == *before {
            return;
        }
        for (service, rows) in &record.services {
            if rows != before.versions_of(service) {
                log_versions(service, rows, effects);
            }
            if rows.len() > 1 && before.versions_of(service).len() <= 1 {
                self.tell_open_origins(service, effects);
            }
        }
        self.dispatch_all_waiting(now, effects);
    }

    /// Begins or ends keeping the record, after this process acquired or lost the lease.
    pub(super) fn software_leadership_changed(&mut self, now: Moment) {
        self.software.closed_since.clear();
        self.software.absent_since.clear();
        self.software.note_closed(now);
    }
}

/// Logs the versions of a service.
fn log_versions(service: &str, rows: &[VersionRow], effects: &mut Vec<HostEffect>) {
    let name = |row: &VersionRow| {
        format!("{}{}", row.version, if row.is_open { "" } else { " (not open)" })
    };
    let names: Vec<String> = rows.iter().map(name).collect();
    effects.push(HostEffect::LogDecision(DecisionRecord {
        kind: DecisionKind::Software,
        ticket: None,
        subject: service.to_owned(),
        choice: names.join(", "),
        reason: "versions that serve or did a short time ago",
        alternatives: 0,
        inputs: String::new(),
    }));
}
