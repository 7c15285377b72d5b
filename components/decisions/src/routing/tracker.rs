//! Load and health of upstreams, as one router knows them.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use slotmap::SecondaryMap;
use wagtailledge_inventory::UpstreamKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::time::Moment;

/// Failures in a row that set an upstream aside.
const EJECT_FAILURES: u32 = 3;
/// First time aside; doubles with each failed probe.
const EJECT_BASE: Duration = Duration::from_millis(500);
/// Longest time aside.
const EJECT_LIMIT: Duration = Duration::from_secs(8);
/// Time that an upstream which said "busy" gets no new request from this host.
const BUSY_PAUSE: Duration = Duration::from_millis(50);

/// Time in which a report loses most of its meaning: requests of a second or two have ended.
const REPORT_MEMORY: Duration = Duration::from_secs(2);

/// How much busier than the average an upstream may be and still get requests by affinity.
const LOAD_BOUND: f64 = 1.25;
/// The same, in requests, so that little load does not count.
const LOAD_SLACK: f64 = 3.0;

/// What one router knows of one upstream.
#[derive(Debug, Clone, Default)]
struct UpstreamStatus {
    /// Requests of this host running there.
    inflight: u32,
    /// Requests running and queued there by its last report.
    reported: u32,
    /// Dispatches of this host since that report.
    since_report: u32,
    /// When that report came.
    reported_at: Moment,
    /// Failures in a row.
    failures: u32,
    /// No new request before this moment.
    closed_until: Moment,
    /// It was set aside and has not answered since: gets one request at a time.
    probing: bool,
}

/// An upstream that may get a request, as the router offers it.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamOffer {
    /// The upstream.
    pub key: UpstreamKey,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it is in the host's own zone.
    pub local: bool,
    /// Hash of its name, the same on all hosts.
    pub digest: u64,
}

/// Load and health of all upstreams.
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

    /// Whether the upstream has room for a request of this host.
    pub fn is_open(&self, now: Moment, offer: &UpstreamOffer) -> bool {
        let Some(status) = self.statuses.get(offer.key) else {
            return true;
        };
        let slots = if status.probing { 1 } else { offer.slots };
        status.closed_until <= now && status.inflight < slots
    }

    /// Chooses among open upstreams. Requests with the same `affinity` go to the same one as long
    /// as it is not much busier than the others. Else the own zone goes first, whose
    /// upstreams a partition leaves, then the less loaded of two drawn at random, so that hosts
    /// with the same lagged reports do not all choose the same one.
    pub fn choose(
        &self,
        now: Moment,
        offers: &[UpstreamOffer],
        affinity: Option<u64>,
        rng: &mut SmallRng,
    ) -> Option<UpstreamKey> {
        let open: Vec<&UpstreamOffer> =
            offers.iter().filter(|offer| self.is_open(now, offer)).collect();
        if let Some(affinity) = affinity.filter(|_| open.len() > 1) {
            return self.choose_by_affinity(now, &open, affinity);
        }
        let local: Vec<&UpstreamOffer> = open.iter().copied().filter(|offer| offer.local).collect();
        let pool = if local.is_empty() { open } else { local };
        match pool.len() {
            0 => None,
            1 => Some(pool[0].key),
            count => {
                let first = rng.random_range(0..count);
                let second = (first + rng.random_range(1..count)) % count;
                let (first, second) = (pool[first], pool[second]);
                let lighter =
                    self.expected_load(now, first.key) <= self.expected_load(now, second.key);
                Some(if lighter { first.key } else { second.key })
            }
        }
    }

    /// The first upstream in the order that `affinity` gives all hosts alike, passing over those
    /// that are much busier than the average.
    fn choose_by_affinity(
        &self,
        now: Moment,
        open: &[&UpstreamOffer],
        affinity: u64,
    ) -> Option<UpstreamKey> {
        let total: u32 = open.iter().map(|offer| self.expected_load(now, offer.key)).sum();
        let average = f64::from(total) / open.len() as f64;
        let bound = average * LOAD_BOUND + LOAD_SLACK;
        let place =
            |offer: &&&UpstreamOffer| xxh3_64_with_seed(&offer.digest.to_le_bytes(), affinity);
        let light =
            open.iter().filter(|offer| f64::from(self.expected_load(now, offer.key)) <= bound);
        light.max_by_key(place).map(|offer| offer.key)
    }

    /// Requests expected there: the last report, which counts less the older it is, and what this
    /// host sent since.
    pub fn expected_load(&self, now: Moment, key: UpstreamKey) -> u32 {
        let Some(status) = self.statuses.get(key) else {
            return 0;
        };
        let age = now.since(status.reported_at).as_secs_f64() / REPORT_MEMORY.as_secs_f64();
        let known = f64::from(status.reported + status.since_report) * (-age).exp();
        (known.round() as u32).max(status.inflight)
    }

    /// Notes a dispatch.
    pub fn dispatched(&mut self, key: UpstreamKey) {
        if let Some(status) = self.status(key) {
            status.inflight += 1;
            status.since_report += 1;
        }
    }

    /// Notes the end of a dispatch, however it ended.
    pub fn released(&mut self, key: UpstreamKey) {
        if let Some(status) = self.status(key) {
            status.inflight = status.inflight.saturating_sub(1);
        }
    }

    /// Notes an answer. Returns whether that ends a time of probing.
    pub fn succeeded(&mut self, key: UpstreamKey) -> bool {
        let Some(status) = self.status(key) else {
            return false;
        };
        status.failures = 0;
        std::mem::take(&mut status.probing)
    }

    /// Notes that the upstream was busy.
    pub fn was_busy(&mut self, now: Moment, key: UpstreamKey) {
        if let Some(status) = self.status(key) {
            status.closed_until = status.closed_until.max(now.after(BUSY_PAUSE));
        }
    }

    /// Notes a failure. Returns whether the upstream is set aside now.
    pub fn failed(&mut self, now: Moment, key: UpstreamKey) -> bool {
        let Some(status) = self.status(key) else {
            return false;
        };
        status.failures += 1;
        if status.failures < EJECT_FAILURES && !status.probing {
            return false;
        }
        let doublings = status.failures.saturating_sub(EJECT_FAILURES).min(8);
        let pause = (EJECT_BASE * 2u32.pow(doublings)).min(EJECT_LIMIT);
        status.closed_until = now.after(pause);
        status.probing = true;
        true
    }

    /// Takes in a load report.
    pub fn reported(&mut self, now: Moment, key: UpstreamKey, load: u32) {
        if let Some(status) = self.status(key) {
            status.reported_at = now;
            status.reported = load;
            status.since_report = 0;
        }
    }

    /// Requests of this host running anywhere.
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
    fn can_set_aside_and_probe() {
        let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
        let key = keys.insert(());
        let offer = UpstreamOffer { key, slots: 8, local: true, digest: 1 };
        let mut tracker = UpstreamTracker::default();
        let start = Moment(1_000_000);
        assert!(!tracker.failed(start, key));
        assert!(!tracker.failed(start, key));
        assert!(tracker.failed(start, key));
        assert!(!tracker.is_open(start, &offer));
        let later = start.after(EJECT_BASE);
        assert!(tracker.is_open(later, &offer));
        tracker.dispatched(key);
        assert!(!tracker.is_open(later, &offer), "one probe at a time");
        tracker.released(key);
        assert!(tracker.succeeded(key));
        assert!(tracker.is_open(later, &offer));
    }

    #[test]
    fn can_prefer_the_own_zone_and_the_lighter_one() {
        let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
        let (near, nearer, far) = (keys.insert(()), keys.insert(()), keys.insert(()));
        let mut tracker = UpstreamTracker::default();
        let start = Moment(1_000_000);
        tracker.reported(start, near, 9);
        let offer = |key, local| UpstreamOffer { key, slots: 8, local, digest: 1 };
        let offers = [offer(near, true), offer(nearer, true), offer(far, false)];
        let mut rng = SmallRng::seed_from_u64(1);
        for _ in 0..100 {
            assert_eq!(tracker.choose(start, &offers, None, &mut rng), Some(nearer));
        }
        let later = start.after(REPORT_MEMORY * 5);
        assert_eq!(tracker.expected_load(later, near), 0, "the report is too old");
    }
}
