//! Crashes of upstreams: how this host finds them, and what it reports about them.
//!
//! A crash ends all exchanges with an upstream at once, and its address refuses connections then.
//! Requests whose answers had just begun, or had not, may have caused it.

use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::SecondaryMap;
use wagtailledge_inventory::UpstreamKey;
use wagtailledge_inventory::catalog::UpstreamProcess;

use crate::effect::HostEffect;
use crate::event::AttemptOutcome;
use crate::event::UpstreamReach;
use crate::message::CrashReport;
use crate::message::CrashRow;
use crate::quarantine::CrashLog;
use crate::quarantine::CrashRecord;
use crate::quarantine::SoundParts;
use crate::request::RequestKey;
use crate::time::Moment;

use super::state::HostReducer;

/// Time from the first part of an answer within which its request may be what crashes the upstream.
const START_TIME: Duration = Duration::from_millis(200);
/// Time for which a part that was sound is not reported with a crash.
const SOUND_TIME: Duration = Duration::from_secs(5);
/// Least time between two checks of an upstream.
const CHECK_PAUSE: Duration = Duration::from_millis(500);
/// Time within which the registry may show that an upstream crashed whose exchanges broke.
const CHECK_RETENTION: Duration = Duration::from_secs(10);
/// Times that a crash is reported, because reports may be lost.
const REPORT_COUNT: u32 = 4;
/// Least time between two reports of the same crash.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Exchanges with an upstream that broke before or just after their answers began.
#[derive(Debug, Clone)]
struct BrokenStarts {
    /// When the first of them broke.
    since: Moment,
    /// When the upstream was last checked.
    checked_at: Moment,
    /// Parts of their prompts.
    parts: BTreeSet<u64>,
}

/// A crash that the leader may not know.
#[derive(Debug, Clone)]
struct PendingReport {
    process: UpstreamProcess,
    seen: Moment,
    /// Number of reports that are still to be sent.
    left: u32,
    /// When the next one is due.
    next: Moment,
}

/// What this host has seen of crashes and sound parts.
#[derive(Debug, Clone, Default)]
pub(super) struct CrashObserver {
    sound: SoundParts,
    /// By the upstreams that may have crashed.
    broken_starts: SecondaryMap<UpstreamKey, BrokenStarts>,
    /// Crashes that this host has seen itself.
    pub(super) log: CrashLog,
    reports: Vec<PendingReport>,
    /// Parts that the leader asked about last.
    suspects: BTreeSet<u64>,
}

impl CrashObserver {
    /// Suspects that this host knows to be sound.
    fn sound_suspects(&self) -> impl Iterator<Item = u64> + '_ {
        self.suspects.iter().copied().filter(|part| self.is_sound(*part))
    }

    /// Whether an upstream has answered a request with the part.
    pub(super) fn is_sound(&self, part: u64) -> bool {
        self.sound.last_seen(part).is_some()
    }

    /// Forgets that a part was sound, so that only a new answer counts from now on.
    pub(super) fn forget_sound(&mut self, part: u64) {
        self.sound.forget(part);
    }

    /// Takes over the parts that the leader asks about. Returns whether any of them is sound.
    pub(super) fn set_suspects(&mut self, suspects: BTreeSet<u64>) -> bool {
        // The leader has taken the objection into account, or the crashes are too long ago.
        for part in self.suspects.difference(&suspects) {
            self.sound.forget(*part);
        }
        self.suspects = suspects;
        self.sound_suspects().next().is_some()
    }

    /// Reports all crashes to a leader that may know none of them.
    pub(super) fn report_all(&mut self, now: Moment) {
        let report = |crash: &CrashRecord| PendingReport {
            process: crash.process.clone(),
            seen: crash.seen,
            left: REPORT_COUNT,
            next: now,
        };
        self.reports = self.log.crashes().map(report).collect();
        self.suspects.clear();
    }

    fn report(&mut self, now: Moment, process: &UpstreamProcess, seen: Moment) {
        self.reports.retain(|report| report.process != *process || report.seen != seen);
        let process = process.clone();
        self.reports.push(PendingReport { process, seen, left: REPORT_COUNT, next: now });
    }

    /// Whether a report is due.
    pub(super) fn is_report_due(&self, now: Moment) -> bool {
        self.reports.iter().any(|report| report.next <= now)
    }

    /// The crashes to report now.
    fn take_due_rows(&mut self, now: Moment) -> Vec<CrashRow> {
        let mut rows = Vec::new();
        for report in self.reports.iter_mut().filter(|report| report.next <= now) {
            report.left -= 1;
            report.next = now.after(REPORT_INTERVAL);
            let crash = self.log.crash_of(&report.process, report.seen);
            rows.extend(crash.map(|crash| crash_row(now, crash)));
        }
        self.reports.retain(|report| report.left > 0);
        rows
    }

    /// Forgets what is too old at `now`.
    pub(super) fn remove_expired(&mut self, now: Moment) {
        self.log.remove_expired(now);
        self.broken_starts.retain(|_, broken| now.since(broken.since) < CHECK_RETENTION);
    }
}

/// Row about a crash, as hosts tell each other.
pub(super) fn crash_row(now: Moment, crash: &CrashRecord) -> CrashRow {
    CrashRow {
        upstream: crash.process.name.clone(),
        started_ms: crash.process.started_ms,
        age_ms: now.since(crash.seen).as_millis() as u64,
        parts: crash.parts.iter().copied().collect(),
    }
}

impl HostReducer {
    /// Records what the end of an attempt shows about the parts of its prompt.
    pub(super) fn observe_attempt_end(
        &mut self,
        now: Moment,
        key: RequestKey,
        upstream: UpstreamKey,
        outcome: &AttemptOutcome,
        effects: &mut Vec<HostEffect>,
    ) {
        let request = &self.requests[key];
        let Some(terms) = &request.terms else {
            return;
        };
        let parts: Vec<u64> = terms.prompt.shared_parts().collect();
        if parts.is_empty() {
            return;
        }
        let ended_well = match outcome {
            AttemptOutcome::Streamed => true,
            AttemptOutcome::Answered(answer) => (200..300).contains(&answer.status),
            _ => false,
        };
        let is_broken = matches!(outcome, AttemptOutcome::Broken | AttemptOutcome::Truncated);
        if ended_well || self.has_run_on(now, key) {
            self.record_sound(now, &parts, effects);
        } else if is_broken && !request.settled {
            self.record_broken_start(now, upstream, &parts, effects);
        }
    }

    /// Whether the answer to a request began so long ago that it does not crash its upstream.
    fn has_run_on(&self, now: Moment, key: RequestKey) -> bool {
        let first_part = self.requests.get(key).and_then(|request| request.first_part);
        first_part.is_some_and(|at| now.since(at) >= START_TIME)
    }

    fn record_sound(&mut self, now: Moment, parts: &[u64], effects: &mut Vec<HostEffect>) {
        for part in parts {
            self.crashes.sound.record(now, *part);
            self.crashes.log.remove_part(*part);
        }
        if parts.iter().any(|part| self.crashes.suspects.contains(part)) {
            self.leader_sync.dirty = true;
        }
        self.clear_parts(now, parts.iter().copied(), effects);
    }

    fn record_broken_start(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        parts: &[u64],
        effects: &mut Vec<HostEffect>,
    ) {
        // An upstream that leaves may end its process without a crash, and a cut breaks exchanges too.
        if !self.members.upstream_accepts(&self.catalog, upstream) || self.is_cut_off(upstream) {
            return;
        }
        let is_new = !self.crashes.broken_starts.contains_key(upstream);
        if is_new {
            let starts = BrokenStarts { since: now, checked_at: now, parts: BTreeSet::new() };
            self.crashes.broken_starts.insert(upstream, starts);
        }
        let Some(broken) = self.crashes.broken_starts.get_mut(upstream) else {
            return;
        };
        broken.parts.extend(parts);
        if is_new || now.since(broken.checked_at) >= CHECK_PAUSE {
            broken.checked_at = now;
            effects.push(HostEffect::CheckUpstream(upstream));
        }
    }

    /// Handles the end of a check: an upstream that refuses connections after exchanges broke has
    /// crashed.
    pub(super) fn upstream_checked(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        reach: UpstreamReach,
        effects: &mut Vec<HostEffect>,
    ) {
        if reach == UpstreamReach::Refused {
            self.confirm_crash(now, upstream, effects);
        }
    }

    /// Records the crash of an upstream, if exchanges with it broke at their start a short time ago.
    pub(super) fn confirm_crash(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(broken) = self.crashes.broken_starts.remove(upstream) else {
            return;
        };
        let Some(process) = self.catalog.process(upstream).cloned() else {
            return;
        };
        if now.since(broken.since) >= CHECK_RETENTION {
            return;
        }
        let running = self.parts_running_on(now);
        let is_sound = |part: &u64| {
            let last = self.crashes.sound.last_seen(*part);
            running.contains(part) || last.is_some_and(|at| now.since(at) < SOUND_TIME)
        };
        let parts: Vec<u64> = broken.parts.into_iter().filter(|part| !is_sound(part)).collect();
        self.log_crash(upstream, &parts, effects);
        if parts.is_empty() {
            return;
        }
        if self.crashes.log.record(&process, broken.since, parts.iter().copied()) {
            self.crashes.report(now, &process, broken.since);
            self.leader_sync.dirty = true;
            self.crash_recorded(now, &process, broken.since, parts, true, effects);
        }
    }

    /// Parts of requests that are being answered and do not crash their upstreams.
    fn parts_running_on(&self, now: Moment) -> BTreeSet<u64> {
        let running = self
            .requests
            .iter()
            .filter(|(key, request)| request.upstream().is_some() && self.has_run_on(now, *key));
        let terms = running.filter_map(|(_, request)| request.terms.as_ref());
        terms.flat_map(|terms| terms.prompt.shared_parts()).collect()
    }

    /// What this host reports to its leader about crashes.
    pub(super) fn crash_report(&mut self, now: Moment) -> CrashReport {
        CrashReport {
            crashes: self.crashes.take_due_rows(now),
            sound: self.crashes.sound_suspects().collect(),
            rules: self.unlisted_rules(now),
        }
    }
}
