//! Waiting requests on their way to upstreams.

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::ServiceKey;
use wagtailledge_inventory::UpstreamKey;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::admission::RequestStage;
use crate::admission::WaitKey;
use crate::effect::DecisionKind;
use crate::effect::DecisionNote;
use crate::effect::HostEffect;
use crate::request::RequestKey;
use crate::request::RequestTarget;
use crate::routing::UpstreamOffer;
use crate::time::Moment;

use super::state::HostReducer;

/// Shared tokens from which on it is worth to meet at one upstream: reading fewer anew takes less
/// time than an uneven load costs.
const AFFINITY_TOKENS: u32 = 1_000;

impl HostReducer {
    /// Serves all targets that have waiting requests: the highest class first, and within a class
    /// those with the fewest running, so that one model's burst does not starve the others.
    pub(super) fn pump_all(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        if self.queue.is_empty() {
            return;
        }
        loop {
            let mut heads: Vec<_> = self
                .queue
                .targets()
                .map(|(target, head, _)| (head.rank, self.running_for(target), head, target))
                .collect();
            heads.sort_unstable();
            let served =
                heads.into_iter().any(|(_, _, _, target)| self.serve_first(now, target, effects));
            if !served {
                return;
            }
        }
    }

    fn running_for(&self, target: RequestTarget) -> usize {
        self.running.get(&target).copied().unwrap_or(0)
    }

    /// Notes that a request for `target` no longer runs.
    pub(super) fn ran(&mut self, target: RequestTarget) {
        if let Some(running) = self.running.get_mut(&target) {
            *running -= 1;
            if *running == 0 {
                self.running.remove(&target);
            }
        }
    }

    /// Serves waiting requests for one target while an upstream has room.
    pub(super) fn pump(
        &mut self,
        now: Moment,
        target: RequestTarget,
        effects: &mut Vec<HostEffect>,
    ) {
        while self.serve_first(now, target, effects) {}
    }

    /// Dispatches the first waiting request for a target that may be; false when none can be now.
    fn serve_first(
        &mut self,
        now: Moment,
        target: RequestTarget,
        effects: &mut Vec<HostEffect>,
    ) -> bool {
        if now < self.hold_until {
            return false;
        }
        let offers = self.offers(now, target);
        if offers.is_empty() {
            return false;
        }
        let hosts = self.members.count() + 1;
        let retries = self.retries.may_repeat(now, self.service_of(target), hosts);
        let may_go = |head: &WaitKey| {
            retries || self.requests.get(head.request).is_some_and(|request| request.attempts == 0)
        };
        let Some(head) = self.queue.waiting_for(target).find(may_go) else {
            return false;
        };
        let Some(upstream) = self.choose(now, head.request, &offers) else {
            return false;
        };
        self.queue.remove(target, head);
        self.dispatch(now, head.request, upstream, offers.len(), effects);
        true
    }

    /// The service whose load a request for `target` is.
    pub(super) fn service_of(&self, target: RequestTarget) -> Option<ServiceKey> {
        match target {
            RequestTarget::Asset(asset) => self.catalog.assets.get(asset)?.service,
            RequestTarget::Service(service) => Some(service),
        }
    }

    /// Upstreams that could serve a request for `target` now.
    fn offers(&self, now: Moment, target: RequestTarget) -> Vec<UpstreamOffer> {
        let keys: &[UpstreamKey] = match target {
            RequestTarget::Asset(asset) => self.view.ready(asset),
            RequestTarget::Service(key) => {
                self.catalog.services.get(key).map_or(&[], |service| &service.instances)
            }
        };
        let mut offers = Vec::with_capacity(keys.len());
        for key in keys {
            let Some(record) = self.catalog.upstreams.get(*key) else {
                continue;
            };
            let held =
                matches!(target, RequestTarget::Asset(asset) if self.is_held(now, asset, *key));
            if !held && self.members.upstream_accepts(&self.catalog, *key) {
                let local = record.zone == self.me.zone;
                let digest = xxh3_64(record.name.as_bytes());
                offers.push(UpstreamOffer { key: *key, slots: record.slots, local, digest });
            }
        }
        offers
    }

    /// Whether a replica refused requests lately and is not to be tried now.
    fn is_held(&self, now: Moment, asset: AssetKey, upstream: UpstreamKey) -> bool {
        self.holds.holds(now, asset, upstream) || self.trials.contains(&(asset, upstream))
    }

    /// Chooses an upstream for a request: one that has not failed it yet, if there is any.
    fn choose(
        &mut self,
        now: Moment,
        key: RequestKey,
        offers: &[UpstreamOffer],
    ) -> Option<UpstreamKey> {
        let request = &self.requests[key];
        let untried: Vec<UpstreamOffer> =
            offers.iter().copied().filter(|offer| !request.tried.contains(&offer.key)).collect();
        let affinity = self.affinity(key);
        if !untried.is_empty()
            && let Some(chosen) = self.tracker.choose(now, &untried, affinity, &mut self.rng)
        {
            return Some(chosen);
        }
        self.tracker.choose(now, offers, affinity, &mut self.rng)
    }

    /// What requests that share the beginning of their prompts have in common.
    fn affinity(&self, key: RequestKey) -> Option<u64> {
        let request = &self.requests[key];
        let terms = request.terms.as_ref().filter(|terms| terms.sticky)?;
        // The last part is the request's own.
        let (_, shared) = terms.prompt.parts.split_last()?;
        let tokens: u32 = shared.iter().map(|(_, tokens)| *tokens).sum();
        if tokens < AFFINITY_TOKENS {
            return None;
        }
        let digest = |hash, (part, _): &(u64, u32)| xxh3_64_with_seed(&part.to_le_bytes(), hash);
        Some(shared.iter().fold(0, digest))
    }

    fn dispatch(
        &mut self,
        now: Moment,
        key: RequestKey,
        upstream: UpstreamKey,
        offered: usize,
        effects: &mut Vec<HostEffect>,
    ) {
        let request = &mut self.requests[key];
        request.stage = RequestStage::Dispatched(upstream);
        request.attempts += 1;
        let (ticket, attempt, target) = (request.ticket, request.attempts, request.target);
        let rank = request.rank;
        if attempt > 1 {
            let service = self.service_of(target);
            self.retries.repeated(now, service);
        }
        self.tracker.dispatched(upstream);
        *self.running.entry(target).or_default() += 1;
        let (subject, asset) = match target {
            RequestTarget::Asset(asset) => {
                self.used.entry(asset).or_default();
                if self.holds.is_doubtful(asset, upstream) {
                    self.trials.insert((asset, upstream));
                }
                let name = self.catalog.assets[asset].name.clone();
                (name.clone(), name)
            }
            RequestTarget::Service(key) => (self.catalog.services[key].name.clone(), String::new()),
        };
        effects.push(HostEffect::Note(DecisionNote {
            kind: DecisionKind::Route,
            ticket: Some(ticket),
            subject,
            choice: self.catalog.upstreams[upstream].name.clone(),
            reason: if attempt == 1 { "least expected load" } else { "retry" },
            alternatives: offered.saturating_sub(1),
        }));
        effects.push(HostEffect::Dispatch { request: key, attempt, ticket, upstream, asset, rank });
    }
}
