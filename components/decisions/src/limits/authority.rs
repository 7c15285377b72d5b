//! How the leader of a scope decides that a limit of one of its upstreams applies, and when it ends.

use slotmap::SecondaryMap;
use wagtailledge_inventory::UpstreamKey;

use super::notice::LimitEvidence;
use super::notice::LimitPhase;
use super::notice::PublishedLimit;
use super::notice::RequestRate;

/// Phases in a row whose answers must leave the limit unnamed until it has ended. The first changes
/// nothing and each later one doubles the requests granted, so that answers which only omit the limit
/// do little harm.
const EASING_PHASES: u32 = 6;

/// Limit of one upstream.
#[derive(Debug, Clone, Copy)]
struct DecidedLimit {
    named: RequestRate,
    /// Number of phases in a row whose answers did not name the limit.
    unnamed_phases: u32,
    phase: LimitPhase,
}

impl DecidedLimit {
    fn has_ended(&self) -> bool {
        self.unnamed_phases >= EASING_PHASES
    }

    fn granted(&self) -> RequestRate {
        RequestRate(self.named.0 << self.unnamed_phases.saturating_sub(1))
    }
}

/// Limits of a scope's upstreams, as decided by the scope's leader.
///
/// A limit that any answer names applies at once. It ends in phases: a complete answer without the
/// limit, to a request that was sent when its host knew the present phase, ends that phase.
#[derive(Debug, Clone)]
pub struct LimitAuthority {
    /// Epoch of the leader.
    epoch: u64,
    /// Number of the latest phase of any limit.
    last_phase: u64,
    limits: SecondaryMap<UpstreamKey, DecidedLimit>,
}

impl LimitAuthority {
    /// Creates the state of a new leader without limits.
    pub fn new(epoch: u64) -> Self {
        Self { epoch, last_phase: 0, limits: SecondaryMap::new() }
    }

    fn next_phase(&mut self) -> LimitPhase {
        self.last_phase += 1;
        LimitPhase(self.epoch, self.last_phase)
    }

    /// Applies a limit that an answer named. It lowers a limit in force and never raises it.
    pub fn name(&mut self, upstream: UpstreamKey, rate: RequestRate) {
        let known = self.limits.get(upstream).filter(|known| !known.has_ended());
        let named = known.map_or(rate, |known| known.named.min(rate));
        if known.is_some_and(|known| known.named == named && known.unnamed_phases == 0) {
            return;
        }
        let phase = self.next_phase();
        self.limits.insert(upstream, DecidedLimit { named, unnamed_phases: 0, phase });
    }

    /// Ends the phase of a limit, if the evidence is about the present one. Returns whether it is.
    pub fn ease(&mut self, upstream: UpstreamKey, evidence: LimitEvidence) -> bool {
        let known = self.limits.get(upstream).copied();
        let Some(known) = known.filter(|known| known.phase == evidence.phase && !known.has_ended())
        else {
            return false;
        };
        let phase = self.next_phase();
        let limit = match evidence.raised {
            Some(named) => DecidedLimit { named, unnamed_phases: 0, phase },
            None => DecidedLimit { unnamed_phases: known.unnamed_phases + 1, phase, ..known },
        };
        self.limits.insert(upstream, limit);
        true
    }

    /// The limit of an upstream as published; `None` if none is known.
    pub fn published(&self, upstream: UpstreamKey) -> Option<PublishedLimit> {
        let limit = self.limits.get(upstream)?;
        Some(PublishedLimit {
            rate: (!limit.has_ended()).then_some(limit.named),
            phase: Some(limit.phase),
            eased: limit.unnamed_phases > 0,
        })
    }

    /// Upstreams with a limit, and the requests a second that are granted for them now.
    pub fn granted(&self) -> impl Iterator<Item = (UpstreamKey, RequestRate)> + '_ {
        let in_force = self.limits.iter().filter(|(_, limit)| !limit.has_ended());
        in_force.map(|(key, limit)| (key, limit.granted()))
    }

    /// Forgets the limits of upstreams for which `exists` is false.
    pub fn retain(&mut self, exists: impl Fn(UpstreamKey) -> bool) {
        self.limits.retain(|key, _| exists(key));
    }
}
