//! Crashes of upstreams, and what their requests had in common.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use wagtailledge_inventory::catalog::UNDATED;
use wagtailledge_inventory::catalog::UpstreamProcess;

use crate::time::Moment;

use super::rules::QuarantineRule;

/// Time after the last crash for which requests with its cause are refused.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Time for which a crash is remembered. Exceeds [`QUARANTINE_TIME`], so that a single crash after
/// its end is enough to quarantine its cause again.
const CRASH_RETENTION: Duration = Duration::from_secs(1_200);
/// Most crashes that are remembered.
const MAX_CRASHES: usize = 64;
/// Crashes with a part from which it is a suspect.
const SUSPECT_CRASHES: usize = 2;
/// Crashes with a part after which it may be quarantined. Fewer would also be met by requests that
/// happen to begin at upstreams which crash for other reasons.
const QUARANTINE_CRASHES: usize = 3;
/// Time within which reports of a crash count as the same one if the start of the process is unknown.
const SAME_CRASH_TIME: Duration = Duration::from_secs(2);

/// Crash of one process.
#[derive(Debug, Clone)]
pub struct CrashRecord {
    /// The process that crashed.
    pub process: UpstreamProcess,
    /// When it was first seen.
    pub seen: Moment,
    /// Parts of the prompts that the process had just begun to work on, without those known to be
    /// sound.
    pub parts: BTreeSet<u64>,
}

impl CrashRecord {
    fn is_same(&self, process: &UpstreamProcess, seen: Moment) -> bool {
        let apart = self.seen.since(seen).max(seen.since(self.seen));
        self.process == *process && (process.started_ms != UNDATED || apart < SAME_CRASH_TIME)
    }
}

/// The latest crashes, from the reports of one or several hosts.
#[derive(Debug, Clone, Default)]
pub struct CrashLog {
    /// In the order in which they became known.
    crashes: VecDeque<CrashRecord>,
}

impl CrashLog {
    /// Records a crash, or more parts of one. Returns whether anything of it was unknown.
    pub fn record(
        &mut self,
        process: &UpstreamProcess,
        seen: Moment,
        parts: impl IntoIterator<Item = u64>,
    ) -> bool {
        let known = self.crashes.iter_mut().find(|crash| crash.is_same(process, seen));
        if let Some(crash) = known {
            let before = crash.parts.len();
            crash.parts.extend(parts);
            return crash.parts.len() != before;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.pop_front();
        }
        let parts = parts.into_iter().collect();
        self.crashes.push_back(CrashRecord { process: process.clone(), seen, parts });
        true
    }

    /// Removes a part that is sound. Returns whether a crash had it.
    pub fn remove_part(&mut self, part: u64) -> bool {
        let removed = self.crashes.iter_mut().filter_map(|crash| crash.parts.take(&part));
        removed.count() > 0
    }

    /// Removes the crashes that are too old at `now`.
    pub fn remove_expired(&mut self, now: Moment) {
        self.crashes.retain(|crash| now.since(crash.seen) < CRASH_RETENTION);
    }

    /// All crashes, in the order in which they became known.
    pub fn crashes(&self) -> impl Iterator<Item = &CrashRecord> {
        self.crashes.iter()
    }

    /// The crash of a process that was seen at this time; `None` if it is not known any more.
    pub fn crash_of(&self, process: &UpstreamProcess, seen: Moment) -> Option<&CrashRecord> {
        self.crashes.iter().find(|crash| crash.is_same(process, seen))
    }

    /// Indices of the crashes that have each part.
    fn crashes_by_part(&self) -> BTreeMap<u64, BTreeSet<usize>> {
        let mut by_part: BTreeMap<u64, BTreeSet<usize>> = BTreeMap::new();
        for (index, crash) in self.crashes.iter().enumerate() {
            for part in &crash.parts {
                by_part.entry(*part).or_default().insert(index);
            }
        }
        by_part
    }

    /// Parts that several crashes have.
    pub fn suspects(&self) -> BTreeSet<u64> {
        let by_part = self.crashes_by_part().into_iter();
        by_part
            .filter(|(_, crashes)| crashes.len() >= SUSPECT_CRASHES)
            .map(|(part, _)| part)
            .collect()
    }

    /// Causes that are quarantined at `now`. `may_quarantine` says whether a part may be taken for a
    /// cause.
    ///
    /// A cause is a part that enough crashes have, together with all parts that every one of these
    /// crashes has too: as long as nothing tells them apart, only requests with all of them are
    /// refused. So a part that merely was there when others crashed upstreams is never refused
    /// without them.
    pub fn causes(
        &self,
        now: Moment,
        may_quarantine: impl Fn(u64) -> bool,
    ) -> BTreeSet<QuarantineRule> {
        let by_part = self.crashes_by_part();
        let mut causes = BTreeSet::new();
        for (part, crashes) in &by_part {
            if crashes.len() < QUARANTINE_CRASHES || !may_quarantine(*part) {
                continue;
            }
            let last = crashes.iter().filter_map(|index| self.crashes.get(*index));
            let last = last.map(|crash| crash.seen).max().unwrap_or_default();
            let until = last.after(QUARANTINE_TIME);
            if until <= now {
                continue;
            }
            let together = by_part.iter().filter(|(_, others)| others.is_superset(crashes));
            let parts = together.map(|(part, _)| *part).collect();
            causes.insert(QuarantineRule { parts, until });
        }
        causes
    }

    /// Names of the upstreams that crashed with all of these parts.
    pub fn crashes_with(&self, parts: &BTreeSet<u64>) -> Vec<String> {
        let with_parts = self.crashes.iter().filter(|crash| crash.parts.is_superset(parts));
        with_parts.map(|crash| crash.process.name.clone()).collect()
    }

    /// Whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }
}
