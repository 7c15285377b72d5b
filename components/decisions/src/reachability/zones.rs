//! Zones that this host cannot reach, by its own observations.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use wagtailledge_inventory::UpstreamKey;

use crate::event::UpstreamReach;
use crate::time::Moment;

use super::HANG_TIME;
use super::zone::ZoneChange;
use super::zone::ZoneState;

/// Gap between two ticks after which nothing is concluded from the time before: this process may have
/// had no processor time, so that answers wait unread. Ticks come every 10 ms.
const TICK_GAP: Duration = Duration::from_millis(150);

/// Gap between two ticks after which the time limits of checks are left to the runtime, which reads what
/// has arrived before its own limits.
const UNSTEADY_GAP: Duration = Duration::from_millis(40);

/// An answer, or the next part of one, that a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AwaitedAnswer<'a> {
    /// Availability zone of the upstream.
    pub zone: &'a str,
    /// When the request was sent, or the latest part arrived.
    pub since: Moment,
}

/// Decides from attempts, streams and checks which zones this host cannot reach.
///
/// A zone is unreachable when several of its upstreams failed and nothing came from any of them since.
/// A wait alone is no failure, since an upstream may be slow: it causes checks, which its machine
/// answers at once if it can be reached.
#[derive(Debug, Clone, Default)]
pub struct ZoneWatch {
    zones: BTreeMap<String, ZoneState>,
    /// Observations that began earlier are ignored, because this process was frozen then.
    awake_since: Moment,
    last_tick: Moment,
    /// Since when ticks have come regularly.
    steady_since: Moment,
}

impl ZoneWatch {
    fn zone(&mut self, now: Moment, zone: &str) -> &mut ZoneState {
        if !self.zones.contains_key(zone) {
            self.zones.insert(zone.to_owned(), ZoneState::new(now));
        }
        self.zones.get_mut(zone).expect("the zone was added if it was missing")
    }

    /// Forgets all observations after this process was frozen or started to decide by them: what it
    /// missed may look like failures of others.
    pub fn restart(&mut self, now: Moment) {
        self.zones.clear();
        self.awake_since = now;
        self.steady_since = now;
        self.last_tick = now;
    }

    /// Whether another request may be sent to the zone.
    pub fn admits(&self, now: Moment, zone: &str) -> bool {
        self.zones.get(zone).is_none_or(|state| state.admits(now))
    }

    /// Whether the zone counts as unreachable.
    pub fn is_unreachable(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(ZoneState::is_unreachable)
    }

    /// Names of the unreachable zones.
    pub fn unreachable(&self) -> impl Iterator<Item = &str> {
        let unreachable = self.zones.iter().filter(|(_, state)| state.is_unreachable());
        unreachable.map(|(zone, _)| zone.as_str())
    }

    /// Records that a request was sent to the zone.
    pub fn record_dispatch(&mut self, zone: &str) {
        if let Some(state) = self.zones.get_mut(zone) {
            state.record_dispatch();
        }
    }

    /// Records that an attempt or a connection failed that began at `began`.
    pub fn record_failure(
        &mut self,
        now: Moment,
        zone: &str,
        upstream: UpstreamKey,
        began: Moment,
    ) -> Option<ZoneChange> {
        if began < self.awake_since {
            return None;
        }
        self.zone(now, zone).record_failure(now, upstream)
    }

    /// Records that something came from an upstream of the zone at `at`.
    pub fn record_answer(&mut self, now: Moment, zone: &str, at: Moment) -> Option<ZoneChange> {
        self.zone(now, zone).record_answer(now, at)
    }

    /// Records that a check of an upstream was started for another reason.
    pub fn record_check_started(&mut self, now: Moment, zone: &str, upstream: UpstreamKey) {
        self.zone(now, zone).record_check_started(now, upstream);
    }

    /// Forgets a check whose result shows nothing.
    pub fn forget_check(&mut self, zone: &str, upstream: UpstreamKey) {
        if let Some(state) = self.zones.get_mut(zone) {
            state.forget_check(upstream);
        }
    }

    /// Records the result of a check of an upstream.
    pub fn record_check(
        &mut self,
        now: Moment,
        zone: &str,
        upstream: UpstreamKey,
        reach: UpstreamReach,
    ) -> Option<ZoneChange> {
        self.zone(now, zone).record_check(now, upstream, reach)
    }

    /// Advances the clock; must be called with each tick. Returns the zones that changed because checks
    /// remained without a result.
    pub fn tick(&mut self, now: Moment) -> Vec<(String, ZoneChange)> {
        let gap = now.since(self.last_tick);
        if gap >= TICK_GAP {
            self.awake_since = now;
        }
        if gap >= UNSTEADY_GAP {
            self.steady_since = now;
        }
        self.last_tick = now;
        let steady_since = self.steady_since;
        let expire = |(zone, state): (&String, &mut ZoneState)| {
            let change = state.expire_checks(now, steady_since)?;
            Some((zone.clone(), change))
        };
        self.zones.iter_mut().filter_map(expire).collect()
    }

    /// Zones that have been silent for too long although a request waits for an answer from them.
    pub fn hanging_zones<'a>(
        &mut self,
        now: Moment,
        awaited: impl Iterator<Item = AwaitedAnswer<'a>>,
    ) -> BTreeSet<String> {
        let mut hanging = BTreeSet::new();
        for answer in awaited {
            let heard_at = self.zone(now, answer.zone).heard_at();
            let silent_since = answer.since.max(heard_at).max(self.awake_since);
            if now.since(silent_since) >= HANG_TIME && !hanging.contains(answer.zone) {
                hanging.insert(answer.zone.to_owned());
            }
        }
        hanging
    }

    /// Upstreams to check now: of suspected zones a few, of each unreachable zone one at a time.
    /// `suspected` holds zones that are suspected for other reasons than failures; `upstreams_of` lists
    /// the upstreams of a zone that accept requests.
    pub fn start_checks(
        &mut self,
        now: Moment,
        suspected: &BTreeSet<String>,
        upstreams_of: impl Fn(&str) -> Vec<UpstreamKey>,
        rng: &mut SmallRng,
    ) -> Vec<UpstreamKey> {
        let mut chosen = Vec::new();
        for (zone, state) in &mut self.zones {
            if state.wants_checks(now, suspected.contains(zone)) {
                let mut upstreams = upstreams_of(zone);
                // Hosts that suspect a zone at the same time check different upstreams.
                upstreams.shuffle(rng);
                chosen.extend(state.start_checks(now, upstreams.into_iter()));
            }
        }
        chosen
    }
}
