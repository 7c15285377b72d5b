//! Last known load and health of upstreams.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use slotmap::SecondaryMap;
use wagtailledge_inventory::UpstreamKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::time::Moment;

/// Consecutive failures after which an upstream is ejected.
const EJECT_FAILURES: u32 = 3;
/// First ejection time; doubles with each failed probe.
const EJECT_BASE: Duration = Duration::from_millis(500);
/// Maximum ejection time.
const EJECT_LIMIT: Duration = Duration::from_secs(8);
/// Time for which an upstream gets no new request from this host after it replied that it was busy.
const BUSY_BACKOFF: Duration = Duration::from_millis(50);

/// Time constant of the exponential decay of a load report: requests of one or two seconds have
/// ended by then.
const REPORT_DECAY: Duration = Duration::from_secs(2);

/// Maximum load, relative to the average, at which an upstream still gets requests by affinity.
const AFFINITY_LOAD_RATIO: f64 = 1.25;
/// Requests added to the maximum load for affinity, so that affinity holds at low load.
const AFFINITY_LOAD_SLACK: f64 = 3.0;

/// Last known state of one upstream.
#[derive(Debug, Clone, Default)]
struct UpstreamStatus {
    /// Requests of this host in flight to the upstream.
    inflight: u32,
    /// Requests running and queued at the upstream by its last load report.
    reported_load: u32,
    /// Dispatches of this host since the last load report.
    dispatched_since: u32,
    /// When the last load report was received.
    reported_at: Moment,
    /// Consecutive failures.
    failures: u32,
    /// The upstream gets no new request before this moment.
    blocked_until: Moment,
    /// End of the pause that the upstream asked for.
    paused_until: Moment,
    /// Whether the upstream was ejected and has not answered since; it gets one request at a time.
    probing: bool,
}

/// Upstream that is a candidate for a request.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamCandidate {
    /// Key of the upstream.
    pub key: UpstreamKey,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is in the availability zone of this host.
    pub local: bool,
    /// Hash of its name, equal on all hosts.
    pub name_hash: u64,
}

/// Last known load and health of all upstreams.
#[derive(Debug, Clone, Default)]
pub struct UpstreamTracker {
    statuses: SecondaryMap<UpstreamKey, UpstreamStatus>,
}

impl UpstreamTracker {
    fn status(&mut self, key: UpstreamKey) -> Option<&mut UpstreamStatus> {
        if !self.statuses.contains_key(key) {
            self.statuses.insert(key, UpstreamStatus::default());
        }
        self.statuses.get_mut(key)
    }

    /// Whether the upstream may get another request of this host: it is not blocked after a failure
    /// or a busy reply, has not asked for a pause, and this host has a free slot there.
    pub fn is_open(&self, now: Moment, candidate: &UpstreamCandidate) -> bool {
        let Some(status) = self.statuses.get(candidate.key) else {
            return true;
        };
        let slots = if status.probing { 1 } else { candidate.slots };
        status.blocked_until <= now && status.paused_until <= now && status.inflight < slots
    }

    /// Chooses one of the open upstreams. Requests with the same `affinity` go to the same upstream
    /// as long as it is not much busier than the others. Without affinity, upstreams in the host's
    /// own zone are preferred, because they stay reachable when the zone is partitioned off. Among
    /// these, the less loaded of two random ones is chosen, so that hosts with the same outdated
    /// load reports do not all choose the same upstream.
    pub fn choose(
        &self,
        now: Moment,
        candidates: &[UpstreamCandidate],
        affinity: Option<u64>,
        rng: &mut SmallRng,
    ) -> Option<UpstreamKey> {
        self.choose_by_pace(now, candidates, affinity, |_| 1.0, rng)
    }

    /// As [`Self::choose`], with the load of the two random ones weighted by their pace.
    pub fn choose_by_pace(
        &self,
        now: Moment,
        candidates: &[UpstreamCandidate],
        affinity: Option<u64>,
        pace: impl Fn(UpstreamKey) -> f64,
        rng: &mut SmallRng,
    ) -> Option<UpstreamKey> {
        let open: Vec<&UpstreamCandidate> =
            candidates.iter().filter(|candidate| self.is_open(now, candidate)).collect();
        if let Some(affinity) = affinity.filter(|_| open.len() > 1) {
            return self.choose_by_affinity(now, &open, affinity);
        }
        let local: Vec<&UpstreamCandidate> =
            open.iter().copied().filter(|candidate| candidate.local).collect();
        let pool = if local.is_empty() { open } else { local };
        match pool.len() {
            0 => None,
            1 => Some(pool[0].key),
            count => {
                let first = rng.random_range(0..count);
                let second = (first + rng.random_range(1..count)) % count;
                let (first, second) = (pool[first], pool[second]);
                // The request itself counts, so that the pace also decides between idle upstreams.
                let load = |key| f64::from(self.expected_load(now, key) + 1) * pace(key);
                Some(if load(first.key) <= load(second.key) { first.key } else { second.key })
            }
        }
    }

    /// Rendezvous hashing with bounded loads: returns the upstream with the highest hash for
    /// `affinity` among those not much busier than the average. Hashes are equal on all hosts.
    fn choose_by_affinity(
        &self,
        now: Moment,
        open: &[&UpstreamCandidate],
        affinity: u64,
    ) -> Option<UpstreamKey> {
        let loads = open.iter().map(|candidate| self.expected_load(now, candidate.key));
        let average = loads.map(f64::from).sum::<f64>() / open.len() as f64;
        let bound = average * AFFINITY_LOAD_RATIO + AFFINITY_LOAD_SLACK;
        let weight = |candidate: &&&UpstreamCandidate| {
            xxh3_64_with_seed(&candidate.name_hash.to_le_bytes(), affinity)
        };
        let eligible = open
            .iter()
            .filter(|candidate| f64::from(self.expected_load(now, candidate.key)) <= bound);
        eligible.max_by_key(weight).map(|candidate| candidate.key)
    }

    /// Estimated number of requests at the upstream: its last load report and the dispatches of
    /// this host since then, decayed by the age of the report, but at least this host's own
    /// requests in flight.
    pub fn expected_load(&self, now: Moment, key: UpstreamKey) -> u32 {
        let Some(status) = self.statuses.get(key) else {
            return 0;
        };
        let age = now.since(status.reported_at).as_secs_f64() / REPORT_DECAY.as_secs_f64();
        let decayed = f64::from(status.reported_load + status.dispatched_since) * (-age).exp();
        (decayed.round() as u32).max(status.inflight)
    }

    /// Records a dispatch to the upstream.
    pub fn record_dispatch(&mut self, key: UpstreamKey) {
        if let Some(status) = self.status(key) {
            status.inflight += 1;
            status.dispatched_since += 1;
        }
    }

    /// Records that a dispatch ended, with any outcome.
    pub fn record_end(&mut self, key: UpstreamKey) {
        if let Some(status) = self.status(key) {
            status.inflight = status.inflight.saturating_sub(1);
        }
    }

    /// Records an answer. Returns whether it readmits an ejected upstream.
    pub fn record_success(&mut self, key: UpstreamKey) -> bool {
        let Some(status) = self.status(key) else {
            return false;
        };
        status.failures = 0;
        std::mem::take(&mut status.probing)
    }

    /// Records that the upstream replied that it was busy.
    pub fn record_busy(&mut self, now: Moment, key: UpstreamKey) {
        if let Some(status) = self.status(key) {
            status.blocked_until = status.blocked_until.max(now.after(BUSY_BACKOFF));
        }
    }

    /// Records that the upstream wants no request for `pause`.
    pub fn record_pause(&mut self, now: Moment, key: UpstreamKey, pause: Duration) {
        if let Some(status) = self.status(key) {
            status.paused_until = status.paused_until.max(now.after(pause));
        }
    }

    /// Time until the end of the pause that the upstream asked for; zero if there is none.
    pub fn pause_left(&self, now: Moment, key: UpstreamKey) -> Duration {
        self.statuses.get(key).map_or(Duration::ZERO, |status| status.paused_until.since(now))
    }

    /// Records a failure. Returns whether it ejects the upstream.
    pub fn record_failure(&mut self, now: Moment, key: UpstreamKey) -> bool {
        let Some(status) = self.status(key) else {
            return false;
        };
        status.failures += 1;
        if status.failures < EJECT_FAILURES && !status.probing {
            return false;
        }
        let doublings = status.failures.saturating_sub(EJECT_FAILURES).min(8);
        let ejection = (EJECT_BASE * 2u32.pow(doublings)).min(EJECT_LIMIT);
        status.blocked_until = now.after(ejection);
        status.probing = true;
        true
    }

    /// Ends the ejection of an upstream: it gets one request at a time until it answers.
    pub fn end_ejection(&mut self, now: Moment, key: UpstreamKey) {
        if let Some(status) = self.statuses.get_mut(key) {
            status.blocked_until = status.blocked_until.min(now);
            status.failures = status.failures.min(EJECT_FAILURES);
        }
    }

    /// Records a load report: `load` counts the requests running and queued.
    pub fn record_load(&mut self, now: Moment, key: UpstreamKey, load: u32) {
        if let Some(status) = self.status(key) {
            status.reported_at = now;
            status.reported_load = load;
            status.dispatched_since = 0;
        }
    }

    /// Requests of this host in flight to all upstreams.
    pub fn inflight(&self) -> u32 {
        self.statuses.values().map(|status| status.inflight).sum()
    }
}

#[cfg(test)]
mod tests {
    use rand::SeedableRng;
    use slotmap::SlotMap;

    use super::*;

    #[test]
    fn can_eject_and_probe() {
        let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
        let key = keys.insert(());
        let candidate = UpstreamCandidate { key, slots: 8, local: true, name_hash: 1 };
        let mut tracker = UpstreamTracker::default();
        let start = Moment(1_000_000);
        assert!(!tracker.record_failure(start, key));
        assert!(!tracker.record_failure(start, key));
        assert!(tracker.record_failure(start, key));
        assert!(!tracker.is_open(start, &candidate));
        let later = start.after(EJECT_BASE);
        assert!(tracker.is_open(later, &candidate));
        tracker.record_dispatch(key);
        assert!(!tracker.is_open(later, &candidate), "one probe at a time");
        tracker.record_end(key);
        assert!(tracker.record_success(key));
        assert!(tracker.is_open(later, &candidate));
    }

    #[test]
    fn can_prefer_the_own_zone_and_the_less_loaded_upstream() {
        let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
        let (near, nearer, far) = (keys.insert(()), keys.insert(()), keys.insert(()));
        let mut tracker = UpstreamTracker::default();
        let start = Moment(1_000_000);
        tracker.record_load(start, near, 9);
        let candidate = |key, local| UpstreamCandidate { key, slots: 8, local, name_hash: 1 };
        let candidates = [candidate(near, true), candidate(nearer, true), candidate(far, false)];
        let mut rng = SmallRng::seed_from_u64(1);
        for _ in 0..100 {
            assert_eq!(tracker.choose(start, &candidates, None, &mut rng), Some(nearer));
        }
        let later = start.after(REPORT_DECAY * 5);
        assert_eq!(tracker.expected_load(later, near), 0, "the report is too old");
    }
}
