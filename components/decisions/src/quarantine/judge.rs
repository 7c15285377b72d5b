//! Decides what crashes upstreams; only the leader of a scope does.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use wagtailledge_inventory::catalog::UpstreamProcess;

use crate::time::Moment;

use super::crash_log::CrashLog;
use super::crash_log::CrashRecord;
use super::rules::QuarantineRule;

/// Least time between the publication of a suspect and its quarantine, in which hosts that know it to
/// be sound object.
const OBJECTION_TIME: Duration = Duration::from_millis(300);
/// Time for which other leaders are told of a crash or a sound part, which covers several digests.
const RELAY_TIME: Duration = Duration::from_secs(5);
/// Time for which hosts are told that a rule was lifted.
const LIFT_RETENTION: Duration = Duration::from_secs(60);

/// Crashes that the hosts of a scope and other leaders have reported, and what follows from them.
#[derive(Debug, Clone, Default)]
pub struct CrashJudge {
    log: CrashLog,
    /// Processes of the crashes that hosts of this scope reported, and when they last did.
    own: BTreeMap<(String, u64), Moment>,
    /// Parts that hosts are asked about, and since when.
    suspects: BTreeMap<u64, Moment>,
    /// Parts that were found to be sound, and when.
    cleared: BTreeMap<u64, Moment>,
    /// Rules that were lifted, and when.
    lifted: BTreeMap<BTreeSet<u64>, Moment>,
}

impl CrashJudge {
    /// Records a crash. `is_own` says whether a host of this scope reported it. Returns whether
    /// anything of it was unknown.
    pub fn record_crash(
        &mut self,
        now: Moment,
        process: &UpstreamProcess,
        seen: Moment,
        parts: impl IntoIterator<Item = u64>,
        is_own: bool,
    ) -> bool {
        let is_new = self.log.record(process, seen, parts);
        if is_own && is_new {
            self.own.insert((process.name.clone(), process.started_ms), now);
        }
        is_new
    }

    /// Records that a part is sound. Returns whether it was a suspect or is part of a crash.
    pub fn clear_part(&mut self, now: Moment, part: u64) -> bool {
        let had_crashes = self.log.remove_part(part);
        let was_suspect = self.suspects.remove(&part).is_some();
        if had_crashes || was_suspect {
            self.cleared.insert(part, now);
        }
        had_crashes || was_suspect
    }

    /// Parts that have become suspects and that hosts have not been asked about.
    pub fn new_suspects(&self) -> Vec<u64> {
        let suspects = self.log.suspects().into_iter();
        suspects.filter(|part| !self.suspects.contains_key(part)).collect()
    }

    /// Records that hosts are asked from now on whether a part is sound.
    pub fn ask_about(&mut self, now: Moment, part: u64) {
        self.suspects.insert(part, now);
    }

    /// Parts that hosts are asked about.
    pub fn suspects(&self) -> impl Iterator<Item = u64> + '_ {
        self.suspects.keys().copied()
    }

    /// Causes of crashes to which no host has objected in time.
    pub fn causes(&self, now: Moment) -> BTreeSet<QuarantineRule> {
        let asked =
            |part| self.suspects.get(&part).is_some_and(|at| at.after(OBJECTION_TIME) <= now);
        self.log.causes(now, asked)
    }

    /// When hosts have next had the time to object to suspects; `None` if they have had it.
    pub fn next_decision(&self, now: Moment) -> Option<Moment> {
        let ends = self.suspects.values().map(|at| at.after(OBJECTION_TIME));
        ends.filter(|end| *end > now).min()
    }

    /// Records that a rule is in force, also if it was lifted before.
    pub fn record_rule(&mut self, parts: &BTreeSet<u64>) {
        self.lifted.remove(parts);
    }

    /// Names of the upstreams that crashed with all of these parts.
    pub fn crashes_with(&self, parts: &BTreeSet<u64>) -> Vec<String> {
        self.log.crashes_with(parts)
    }

    /// Records that a rule was lifted, so that no host reintroduces it.
    pub fn record_lift(&mut self, now: Moment, parts: BTreeSet<u64>) {
        self.lifted.insert(parts, now);
    }

    /// Whether a rule was lifted a short time ago.
    pub fn is_lifted(&self, parts: &BTreeSet<u64>) -> bool {
        self.lifted.contains_key(parts)
    }

    /// Rules that were lifted a short time ago.
    pub fn lifted(&self) -> impl Iterator<Item = &BTreeSet<u64>> {
        self.lifted.keys()
    }

    /// Crashes that other leaders are told of.
    pub fn relayed_crashes(&self, now: Moment) -> impl Iterator<Item = &CrashRecord> {
        let is_recent = move |crash: &&CrashRecord| {
            let key = (crash.process.name.clone(), crash.process.started_ms);
            self.own.get(&key).is_some_and(|at| now.since(*at) < RELAY_TIME)
        };
        self.log.crashes().filter(is_recent)
    }

    /// Sound parts that other leaders are told of.
    pub fn relayed_sound(&self, now: Moment) -> impl Iterator<Item = u64> + '_ {
        let recent = self.cleared.iter().filter(move |(_, at)| now.since(**at) < RELAY_TIME);
        recent.map(|(part, _)| *part)
    }

    /// Whether nothing of note has become known.
    pub fn is_empty(&self) -> bool {
        self.log.is_empty() && self.lifted.is_empty() && self.cleared.is_empty()
    }

    /// Forgets what is too old at `now`.
    pub fn remove_expired(&mut self, now: Moment) {
        self.log.remove_expired(now);
        self.own.retain(|_, at| now.since(*at) < RELAY_TIME);
        self.cleared.retain(|_, at| now.since(*at) < RELAY_TIME);
        self.lifted.retain(|_, at| now.since(*at) < LIFT_RETENTION);
        let suspects = self.log.suspects();
        self.suspects.retain(|part, _| suspects.contains(part));
    }
}
