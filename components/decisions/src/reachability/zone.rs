//! State of one availability zone, as this host observes it.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailledge_inventory::UpstreamKey;

use crate::event::UpstreamReach;
use crate::time::Moment;

/// Different upstreams of a zone that must have failed. One or two may have crashed.
const FAILED_UPSTREAMS: usize = 3;
/// Time within which they must have failed, without anything from the zone since the first: half a
/// second, and the time that a check takes.
const FAILURE_WINDOW: Duration = Duration::from_millis(750);
/// Time after which a check without a result counts as failed. A connection takes under 5 ms.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which checks without a result hold back new requests to their zone, until it is known
/// whether the zone can be reached: ten times that of a connection.
const HOLD_TIME: Duration = Duration::from_millis(50);
/// Number of such checks. A single upstream may have failed alone.
const HOLD_CHECKS: usize = 2;
/// Upstreams that are checked when a zone is suspected: enough to decide on their own. After a wait alone
/// the first is checked, and the others if it does not reply within `HOLD_TIME`.
const SUSPECT_CHECKS: usize = FAILED_UPSTREAMS;
/// Least time between two rounds of checks of a suspected zone. Bounds what slow upstreams cost to
/// three connections a second and zone.
const SUSPECT_PAUSE: Duration = Duration::from_millis(400);
/// Time after which a check without a result is forgotten; the runtime reports one within 300 ms.
const LOST_CHECK_TIME: Duration = Duration::from_secs(1);
/// Least time between two probes of an unreachable zone. A zone that is back is noticed within this
/// time and that of one hanging probe, well within a second.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Requests that a zone gets at first when it is back.
const RETURN_REQUESTS: u32 = 4;
/// Further requests that it gets for each answer since.
const REQUESTS_PER_ANSWER: u32 = 2;
/// Answers since its return after which a zone gets requests without limit.
const RETURN_ANSWERS: u32 = 16;
/// Time since its return after which it does in any case. Hosts with few requests see few answers.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// How far a zone can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ZonePhase {
    /// It gets requests like any other.
    Reachable,
    /// It gets only probes.
    Unreachable {
        /// When that was decided.
        since: Moment,
    },
    /// It gets a few requests, and more with each answer.
    Returning {
        /// When the first answer came.
        since: Moment,
        /// Requests that were sent to the zone since.
        requests: u32,
        /// Answers from the zone since.
        answers: u32,
    },
}

/// Change of what a host thinks of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneChange {
    /// The zone cannot be reached.
    Unreachable {
        /// Number of its upstreams that failed.
        failed: usize,
        /// Time since anything came from the zone.
        silent: Duration,
    },
    /// The zone answered again.
    Back {
        /// Time for which it was unreachable.
        lasted: Duration,
    },
}

/// What this host has observed of one zone.
#[derive(Debug, Clone)]
pub(super) struct ZoneState {
    phase: ZonePhase,
    /// When anything last came from one of its upstreams.
    heard_at: Moment,
    /// Latest failure of each upstream that failed since then.
    failures: BTreeMap<UpstreamKey, Moment>,
    /// Checks in flight, with their start.
    checks: BTreeMap<UpstreamKey, Moment>,
    /// No check is started before this moment.
    next_check: Moment,
    /// Since when ticks have come regularly.
    steady_since: Moment,
}

impl ZoneState {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            phase: ZonePhase::Reachable,
            heard_at: now,
            failures: BTreeMap::new(),
            checks: BTreeMap::new(),
            next_check: now,
            steady_since: now,
        }
    }

    pub(super) fn heard_at(&self) -> Moment {
        self.heard_at
    }

    pub(super) fn is_unreachable(&self) -> bool {
        matches!(self.phase, ZonePhase::Unreachable { .. })
    }

    /// Whether several checks hang and nothing came from the zone since the first of them.
    fn is_held(&self, now: Moment) -> bool {
        let since = self.heard_at.max(self.steady_since);
        let hangs = |started: &&Moment| now.since(**started) >= HOLD_TIME && **started >= since;
        self.checks.values().filter(hangs).count() >= HOLD_CHECKS
    }

    /// Whether another request may be sent to the zone.
    pub(super) fn admits(&self, now: Moment) -> bool {
        if self.is_held(now) {
            return false;
        }
        match self.phase {
            ZonePhase::Reachable => true,
            ZonePhase::Unreachable { .. } => false,
            ZonePhase::Returning { since, requests, answers } => {
                let allowed = RETURN_REQUESTS + REQUESTS_PER_ANSWER * answers;
                requests < allowed || now.since(since) >= RETURN_TIME
            }
        }
    }

    pub(super) fn record_dispatch(&mut self) {
        if let ZonePhase::Returning { requests, .. } = &mut self.phase {
            *requests = requests.saturating_add(1);
        }
    }

    /// Records a failure of an upstream. Returns the change if it makes the zone unreachable.
    pub(super) fn record_failure(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
    ) -> Option<ZoneChange> {
        self.failures.retain(|_, at| now.since(*at) < FAILURE_WINDOW);
        self.failures.insert(upstream, now);
        let failed = self.failures.len();
        if self.is_unreachable() || failed < FAILED_UPSTREAMS {
            return None;
        }
        self.phase = ZonePhase::Unreachable { since: now };
        self.next_check = now;
        Some(ZoneChange::Unreachable { failed, silent: now.since(self.heard_at) })
    }

    /// Records that something came from the zone at `at`. Returns the change if the zone is back.
    pub(super) fn record_answer(&mut self, now: Moment, at: Moment) -> Option<ZoneChange> {
        if at <= self.heard_at {
            return None;
        }
        match &mut self.phase {
            ZonePhase::Reachable => {}
            ZonePhase::Unreachable { since } => {
                if at <= *since {
                    return None;
                }
                let lasted = now.since(*since);
                self.phase = ZonePhase::Returning { since: now, requests: 0, answers: 0 };
                self.heard(at);
                return Some(ZoneChange::Back { lasted });
            }
            ZonePhase::Returning { since, answers, .. } => {
                *answers += 1;
                if *answers >= RETURN_ANSWERS || now.since(*since) >= RETURN_TIME {
                    self.phase = ZonePhase::Reachable;
                }
            }
        }
        self.heard(at);
        None
    }

    fn heard(&mut self, at: Moment) {
        self.heard_at = at;
        self.failures.retain(|_, failed_at| *failed_at > at);
    }

    pub(super) fn record_check_started(&mut self, now: Moment, upstream: UpstreamKey) {
        self.checks.entry(upstream).or_insert(now);
    }

    pub(super) fn forget_check(&mut self, upstream: UpstreamKey) {
        self.checks.remove(&upstream);
    }

    /// Records the result of a check of an upstream. Returns the change if there is one.
    pub(super) fn record_check(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        reach: UpstreamReach,
    ) -> Option<ZoneChange> {
        let was_checked = self.checks.remove(&upstream).is_some();
        match reach {
            UpstreamReach::Listening => self.record_answer(now, now),
            // Some cuts refuse connections, so a refusal is no answer.
            UpstreamReach::Refused | UpstreamReach::Silent => {
                if was_checked {
                    self.record_failure(now, upstream)
                } else {
                    None
                }
            }
        }
    }

    /// Records the checks that took too long as failed, if ticks came regularly since they started:
    /// otherwise their results may be unread, and the runtime decides. Forgets lost checks.
    pub(super) fn expire_checks(
        &mut self,
        now: Moment,
        steady_since: Moment,
    ) -> Option<ZoneChange> {
        self.steady_since = steady_since;
        let is_late =
            |started: &Moment| now.since(*started) >= CHECK_TIMEOUT && *started >= steady_since;
        let late: Vec<UpstreamKey> = self
            .checks
            .iter()
            .filter(|(_, started)| is_late(started))
            .map(|(upstream, _)| *upstream)
            .collect();
        let mut change = None;
        for upstream in late {
            self.checks.remove(&upstream);
            change = change.or(self.record_failure(now, upstream));
        }
        self.checks.retain(|_, started| now.since(*started) < LOST_CHECK_TIME);
        change
    }

    /// Whether checks may be started now; `is_suspected` says whether something of the zone hangs.
    pub(super) fn wants_checks(&self, now: Moment, is_suspected: bool) -> bool {
        if self.is_unreachable() {
            return now >= self.next_check && self.checks.is_empty();
        }
        let may_check = now >= self.next_check || self.lacks_checks(now);
        may_check && (is_suspected || self.has_failures(now))
    }

    /// Whether a check hangs and others have not been started.
    fn lacks_checks(&self, now: Moment) -> bool {
        let hangs = self.checks.values().any(|started| now.since(*started) >= HOLD_TIME);
        hangs && self.checks.len() < SUSPECT_CHECKS
    }

    fn has_failures(&self, now: Moment) -> bool {
        self.failures.values().any(|at| now.since(*at) < FAILURE_WINDOW)
    }

    /// Starts checks of the first of these upstreams that have not failed and are not being checked.
    /// Returns those to check.
    pub(super) fn start_checks(
        &mut self,
        now: Moment,
        upstreams: impl Iterator<Item = UpstreamKey>,
    ) -> Vec<UpstreamKey> {
        let is_unreachable = self.is_unreachable();
        let (count, pause) = match is_unreachable {
            true => (1, PROBE_PAUSE),
            false if self.has_failures(now) || self.lacks_checks(now) => {
                (SUSPECT_CHECKS.saturating_sub(self.checks.len()), SUSPECT_PAUSE)
            }
            false => (1, SUSPECT_PAUSE),
        };
        let is_new = |upstream: &UpstreamKey| {
            let has_failed = self.failures.contains_key(upstream) && !is_unreachable;
            !has_failed && !self.checks.contains_key(upstream)
        };
        let chosen: Vec<UpstreamKey> = upstreams.filter(is_new).take(count).collect();
        self.next_check = now.after(pause);
        self.checks.extend(chosen.iter().map(|upstream| (*upstream, now)));
        chosen
    }
}
