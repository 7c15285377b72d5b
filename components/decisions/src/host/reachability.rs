//! Calls of the decisions about zones and upstreams that cannot be reached.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use wagtailledge_inventory::ServiceKey;
use wagtailledge_inventory::UpstreamKey;

use crate::admission::RequestRecord;
use crate::admission::RequestStage;
use crate::effect::DecisionKind;
use crate::effect::DecisionRecord;
use crate::effect::HostEffect;
use crate::event::AttemptOutcome;
use crate::event::StreamObservation;
use crate::event::UpstreamLoad;
use crate::event::UpstreamReach;
use crate::reachability::AwaitedAnswer;
use crate::reachability::END_SILENCE;
use crate::reachability::FailureLog;
use crate::reachability::OutageBook;
use crate::reachability::REPORT_TIME;
use crate::reachability::ReportedOutages;
use crate::reachability::SharedFailures;
use crate::reachability::ZoneChange;
use crate::reachability::ZoneWatch;
use crate::request::RequestKey;
use crate::time::Moment;

use super::state::HostReducer;

/// Interval at which requests in flight are examined. Short against the times that are decided by.
const EXAMINATION_INTERVAL: Duration = Duration::from_millis(50);
/// Age up to which a report about silent streams holds; the runtime repeats it every 50 ms.
const OBSERVATION_TIME: Duration = Duration::from_millis(150);

/// What this host has observed of zones and upstreams that cannot be reached.
#[derive(Debug, Clone, Default)]
pub(super) struct HostReach {
    pub(super) zones: ZoneWatch,
    pub(super) failures: FailureLog,
    /// If this host leads: reports of the scope's hosts.
    pub(super) book: OutageBook,
    pub(super) reported: ReportedOutages,
    /// Services with an upstream that has stated its pace.
    paced_services: BTreeSet<ServiceKey>,
    /// When requests in flight are examined next.
    next_examination: Moment,
    /// When the runtime last reported silent streams.
    observed_at: Moment,
    /// Silent streams by that report: number of the attempt, and when its last part arrived.
    silent: BTreeMap<RequestKey, (u32, Moment)>,
}

impl HostReach {
    /// Whether an upstream of any service has stated its pace.
    pub(super) fn has_paced_services(&self) -> bool {
        !self.paced_services.is_empty()
    }

    /// Examines the requests in flight with the next tick.
    pub(super) fn examine_at_once(&mut self, now: Moment) {
        self.next_examination = now;
    }

    /// Since when the answer of the latest attempt of a request has been silent, as far as known.
    fn silent_since(
        &self,
        now: Moment,
        key: RequestKey,
        request: &RequestRecord,
    ) -> Option<Moment> {
        match request.stage {
            RequestStage::Dispatched(_) => Some(request.dispatched),
            RequestStage::Streaming(_) if now.since(self.observed_at) < OBSERVATION_TIME => {
                let (attempt, since) = self.silent.get(&key)?;
                (*attempt == request.attempts).then_some(*since)
            }
            _ => None,
        }
    }
}

impl HostReducer {
    /// Whether failures of the upstreams of a service are judged by zone.
    fn shares_failures(&self, service: Option<ServiceKey>) -> bool {
        match self.timing.shared_failures {
            SharedFailures::On => true,
            SharedFailures::Off => false,
            SharedFailures::Auto => {
                self.catalog.has_accounts()
                    || service.is_some_and(|service| self.reach.paced_services.contains(&service))
            }
        }
    }

    /// Records that an upstream reported its load, perhaps with its pace.
    pub(super) fn reach_load_reported(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        load: UpstreamLoad,
        effects: &mut Vec<HostEffect>,
    ) {
        let record = self.catalog.upstreams.get(upstream).filter(|_| load.pace.is_some());
        self.reach.paced_services.extend(record.and_then(|record| record.service));
        self.reach_answered(now, upstream, now, effects);
    }

    /// Whether failures of any upstream are judged by zone, so that silent streams are of interest.
    pub fn watches_streams(&self) -> bool {
        match self.timing.shared_failures {
            SharedFailures::On => true,
            SharedFailures::Off => false,
            SharedFailures::Auto => self.catalog.has_accounts() || self.reach.has_paced_services(),
        }
    }

    /// Number of zones that this host cannot reach.
    pub fn unreachable_zones(&self) -> usize {
        self.reach.zones.unreachable().count()
    }

    /// Zone of an upstream, if its failures are judged by zone.
    pub(super) fn watched_zone(&self, upstream: UpstreamKey) -> Option<String> {
        let record = self.catalog.upstreams.get(upstream)?;
        self.shares_failures(record.service).then(|| record.zone.clone())
    }

    /// Whether an upstream may get another request as far as it can be reached.
    pub(super) fn may_be_reached(&self, now: Moment, upstream: UpstreamKey) -> bool {
        let Some(record) = self.catalog.upstreams.get(upstream) else {
            return true;
        };
        !self.shares_failures(record.service)
            || (self.reach.zones.admits(now, &record.zone) && !self.is_reported(now, upstream))
    }

    /// Whether the zone of an upstream cannot be reached.
    pub(super) fn is_cut_off(&self, upstream: UpstreamKey) -> bool {
        let zone = self.watched_zone(upstream);
        zone.is_some_and(|zone| self.reach.zones.is_unreachable(&zone))
    }

    /// Records that a request was sent to an upstream.
    pub(super) fn reach_dispatched(&mut self, upstream: UpstreamKey) {
        if let Some(zone) = self.watched_zone(upstream) {
            self.reach.zones.record_dispatch(&zone);
        }
    }

    /// Records that something came from an upstream at `at`.
    pub(super) fn reach_answered(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        at: Moment,
        effects: &mut Vec<HostEffect>,
    ) {
        if let Some(zone) = self.watched_zone(upstream) {
            self.reach.failures.record_answer(upstream, at);
            self.reach.reported.record_answer(now, upstream, at);
            let change = self.reach.zones.record_answer(now, &zone, at);
            self.zone_changed(now, &zone, change, effects);
        }
    }

    /// Records what the end of an attempt shows about the zone of its upstream.
    pub(super) fn reach_ended(
        &mut self,
        now: Moment,
        key: RequestKey,
        upstream: UpstreamKey,
        outcome: &AttemptOutcome,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(zone) = self.watched_zone(upstream) else {
            return;
        };
        let request = &self.requests[key];
        let began = request.dispatched;
        let was_ended = request.ended_attempt == request.attempts;
        match outcome {
            AttemptOutcome::Streamed
            | AttemptOutcome::Answered(_)
            | AttemptOutcome::NotRun { .. } => self.reach_answered(now, upstream, now, effects),
            // This host ended the attempt itself, so it shows nothing new about the zone.
            AttemptOutcome::Broken | AttemptOutcome::Truncated if was_ended => {
                self.reach.failures.record_failure(now, upstream);
            }
            AttemptOutcome::Broken | AttemptOutcome::Truncated if request.settled => {}
            AttemptOutcome::Unreached | AttemptOutcome::Broken | AttemptOutcome::Truncated => {
                // An upstream that leaves may end its process at any time.
                if self.members.upstream_accepts(&self.catalog, upstream) {
                    let change = self.reach.zones.record_failure(now, &zone, upstream, began);
                    self.zone_changed(now, &zone, change, effects);
                    self.reach.failures.record_failure(now, upstream);
                    self.reach.examine_at_once(now);
                }
            }
        }
    }

    /// Records the result of a check of an upstream.
    pub(super) fn reach_checked(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        reach: UpstreamReach,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(zone) = self.watched_zone(upstream) else {
            return;
        };
        if reach == UpstreamReach::Listening {
            self.reach.failures.record_answer(upstream, now);
            self.reach.reported.record_answer(now, upstream, now);
        } else if self.members.upstream_accepts(&self.catalog, upstream) {
            self.reach.failures.record_failure(now, upstream);
        } else {
            // An upstream that leaves may end its process at any time.
            self.reach.zones.forget_check(&zone, upstream);
            return;
        }
        let change = self.reach.zones.record_check(now, &zone, upstream, reach);
        self.zone_changed(now, &zone, change, effects);
    }

    /// Records which streams are silent, and from which upstreams something came lately.
    pub(super) fn streams_observed(
        &mut self,
        now: Moment,
        observation: StreamObservation,
        effects: &mut Vec<HostEffect>,
    ) {
        self.reach.observed_at = now;
        let silent = observation.silent.into_iter();
        self.reach.silent = silent.map(|(key, attempt, since)| (key, (attempt, since))).collect();
        for (upstream, at) in observation.heard {
            self.reach_answered(now, upstream, at, effects);
        }
    }

    /// Forgets the observations of a process that was frozen.
    pub(super) fn reach_restart(&mut self, now: Moment) {
        self.reach.zones.restart(now);
        self.reach.silent.clear();
        self.reach.failures.clear();
        self.reach.reported.clear();
    }

    /// Examines the requests in flight, checks suspected zones and ends attempts in unreachable ones.
    pub(super) fn reach_tick(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        if !self.watches_streams() {
            return;
        }
        for (zone, change) in self.reach.zones.tick(now) {
            self.zone_changed(now, &zone, Some(change), effects);
        }
        if now < self.reach.next_examination {
            return;
        }
        self.reach.next_examination = now.after(EXAMINATION_INTERVAL);
        let suspected = self.hanging_zones(now);
        let catalog = &self.catalog;
        let members = &self.members;
        let upstreams_of = |zone: &str| {
            let in_zone = catalog.upstreams.iter().filter(|(_, record)| record.zone == zone);
            let accepts = in_zone.filter(|(key, _)| members.upstream_accepts(catalog, *key));
            accepts.map(|(key, _)| key).collect()
        };
        let checks = self.reach.zones.start_checks(now, &suspected, upstreams_of, &mut self.rng);
        effects.extend(checks.into_iter().map(HostEffect::CheckUpstream));
        let HostReach { zones, reported, .. } = &mut self.reach;
        reported.remove_before(now.before(REPORT_TIME * 2));
        for (upstream, zone) in reported.start_checks(now, |zone| !zones.is_unreachable(zone)) {
            zones.record_check_started(now, &zone, upstream);
            effects.push(HostEffect::CheckUpstream(upstream));
        }
        self.lead_outages(now, effects);
        self.end_silent_attempts(now, effects);
    }

    /// Zones from which nothing comes although requests wait for it.
    fn hanging_zones(&mut self, now: Moment) -> BTreeSet<String> {
        let mut awaited = Vec::new();
        for (key, request) in &self.requests {
            let since = self.reach.silent_since(now, key, request);
            let record = request.upstream().and_then(|key| self.catalog.upstreams.get(key));
            if let (Some(since), Some(record)) = (since, record)
                && self.shares_failures(record.service)
            {
                awaited.push(AwaitedAnswer { zone: &record.zone, since });
            }
        }
        self.reach.zones.hanging_zones(now, awaited.into_iter())
    }

    /// Ends the attempts in unreachable zones that are silent. Those that may run again go elsewhere.
    fn end_silent_attempts(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        if self.reach.zones.unreachable().next().is_none() {
            return;
        }
        let is_silent = |key: RequestKey, request: &RequestRecord| {
            let upstream = request.upstream()?;
            let since = self.reach.silent_since(now, key, request)?;
            let is_due = now.since(since) >= END_SILENCE
                && request.ended_attempt != request.attempts
                && self.is_cut_off(upstream);
            is_due.then_some((key, upstream, now.since(since)))
        };
        let silent: Vec<(RequestKey, UpstreamKey, Duration)> =
            self.requests.iter().filter_map(|(key, request)| is_silent(key, request)).collect();
        for (key, upstream, silence) in silent {
            let request = &mut self.requests[key];
            request.ended_attempt = request.attempts;
            let (ticket, attempt) = (request.ticket, request.attempts);
            let subject = self.catalog.upstreams.get(upstream).map_or("", |record| &record.name);
            effects.push(HostEffect::LogDecision(DecisionRecord {
                kind: DecisionKind::Health,
                ticket: Some(ticket),
                subject: subject.to_owned(),
                choice: "attempt ended".to_owned(),
                reason: "its zone is unreachable",
                alternatives: 0,
                inputs: format!("attempt={attempt} silent_ms={}", silence.as_millis()),
            }));
            effects.push(HostEffect::EndAttempt(ticket, attempt));
        }
    }

    /// Logs a change of a zone. When a zone is back, its upstreams are not avoided for failures that the
    /// cut caused.
    fn zone_changed(
        &mut self,
        now: Moment,
        zone: &str,
        change: Option<ZoneChange>,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(change) = change else {
            return;
        };
        let (choice, reason, inputs) = match change {
            ZoneChange::Unreachable { failed, silent } => (
                "zone unreachable",
                "several of its upstreams failed and none answered",
                format!("failed={failed} silent_ms={}", silent.as_millis()),
            ),
            ZoneChange::Back { lasted } => {
                let in_zone = self.catalog.upstreams.iter().filter(|(_, at)| at.zone == zone);
                for (upstream, _) in in_zone {
                    self.tracker.end_ejection(now, upstream);
                }
                self.reach.reported.record_zone_back(now, zone);
                let inputs = format!("lasted_ms={}", lasted.as_millis());
                ("zone back", "one of its upstreams answered", inputs)
            }
        };
        self.reach.examine_at_once(now);
        effects.push(HostEffect::LogDecision(DecisionRecord {
            kind: DecisionKind::Health,
            ticket: None,
            subject: zone.to_owned(),
            choice: choice.to_owned(),
            reason,
            alternatives: 0,
            inputs,
        }));
    }
}
