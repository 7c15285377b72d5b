//! Dispatch of waiting requests to upstreams.

use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::ServiceKey;
use wagtailledge_inventory::UpstreamKey;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::admission::RequestStage;
use crate::admission::WaitKey;
use crate::effect::DecisionKind;
use crate::effect::DecisionRecord;
use crate::effect::HostEffect;
use crate::request::RequestKey;
use crate::request::RequestTarget;
use crate::routing::UpstreamCandidate;
use crate::time::Moment;

use super::state::HostReducer;
use super::work::ChosenUpstream;

/// Fewest shared prompt tokens for which requests are sent to the same upstream. For shorter
/// prefixes, uneven load costs more time than processing the prefix again.
const MIN_AFFINITY_TOKENS: u32 = 1_000;

/// Upstreams that could serve a request.
#[derive(Debug, Default)]
pub(super) struct TargetUpstreams {
    /// Those that a request may be sent to now.
    pub(super) open: Vec<UpstreamCandidate>,
    /// Those with a limit for which this host has no permit.
    pub(super) blocked: Vec<UpstreamKey>,
}

impl HostReducer {
    /// Dispatches waiting requests of all targets: the lowest rank first, within a rank the account that
    /// is least ahead of its share, and of its targets the one with the fewest in flight, so that a burst
    /// of an account or for a model does not starve the others.
    pub(super) fn dispatch_all_waiting(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        if self.queue.is_empty() {
            return;
        }
        loop {
            let mut heads: Vec<_> = self
                .queue
                .targets()
                .map(|(target, head, _)| {
                    let used = self.queue.used(head.account);
                    (head.rank, used, self.running_count(target), head, target)
                })
                .collect();
            heads.sort_unstable();
            let dispatched = heads
                .into_iter()
                .any(|(_, _, _, _, target)| self.dispatch_first(now, target, effects));
            if !dispatched {
                return;
            }
        }
    }

    fn running_count(&self, target: RequestTarget) -> usize {
        self.running.get(&target).copied().unwrap_or(0)
    }

    /// Subtracts one from the requests in flight for `target`.
    pub(super) fn decrement_running(&mut self, target: RequestTarget) {
        if let Some(running) = self.running.get_mut(&target) {
            *running -= 1;
            if *running == 0 {
                self.running.remove(&target);
            }
        }
    }

    /// Dispatches waiting requests for one target while an upstream has room.
    pub(super) fn dispatch_waiting(
        &mut self,
        now: Moment,
        target: RequestTarget,
        effects: &mut Vec<HostEffect>,
    ) {
        while self.dispatch_first(now, target, effects) {}
    }

    /// Dispatches the first waiting request for `target` that may be sent; false if there is none.
    fn dispatch_first(
        &mut self,
        now: Moment,
        target: RequestTarget,
        effects: &mut Vec<HostEffect>,
    ) -> bool {
        if now < self.dispatch_not_before {
            return false;
        }
        let TargetUpstreams { open: candidates, blocked } = self.candidates(now, target);
        if candidates.is_empty() {
            return false;
        }
        let hosts = self.host_count();
        let may_retry = self.retry_budget.allows_retry(now, self.service_of(target), hosts);
        let may_dispatch = |head: &WaitKey| {
            may_retry
                || self.requests.get(head.request).is_some_and(|request| request.attempts == 0)
        };
        let is_open = |candidate: &UpstreamCandidate| self.tracker.is_open(now, candidate);
        if !candidates.iter().any(is_open) {
            return false;
        }
        let with_upstream = |head: WaitKey| {
            let allowed = self.allowed_candidates(head.request, &candidates);
            allowed.iter().any(is_open).then_some((head, allowed))
        };
        let head = self.queue.waiting_for(target).filter(may_dispatch).find_map(with_upstream);
        let Some((head, allowed)) = head else {
            return false;
        };
        let Some(chosen) = self.choose_upstream(now, head.request, &allowed) else {
            return false;
        };
        let share = self.queue.remove(target, head);
        if let Some(share) = share.filter(|_| self.requests[head.request].attempts == 0) {
            self.queue.charge(head.account, share);
        }
        self.limits.record_spared(now, &blocked);
        self.dispatch(now, head.request, &chosen, allowed.len(), effects);
        true
    }

    /// Number of hosts that share budgets with this one, itself included; `None` while neither a host
    /// list nor a leader has told it.
    pub(super) fn host_count(&self) -> Option<usize> {
        self.members.count().map(|others| others + 1).max(self.leader_host_count)
    }

    /// The service whose retry budget a request for `target` counts towards.
    pub(super) fn service_of(&self, target: RequestTarget) -> Option<ServiceKey> {
        match target {
            RequestTarget::Asset(asset) => self.catalog.assets.get(asset)?.service,
            RequestTarget::Service(service) => Some(service),
        }
    }

    /// Upstreams that could serve a request for `target` now.
    pub(super) fn candidates(&self, now: Moment, target: RequestTarget) -> TargetUpstreams {
        let keys: &[UpstreamKey] = match target {
            RequestTarget::Asset(asset) => self.view.ready(asset),
            RequestTarget::Service(key) => {
                self.catalog.services.get(key).map_or(&[], |service| &service.instances)
            }
        };
        let mut upstreams = TargetUpstreams::default();
        for key in keys {
            let Some(record) = self.catalog.upstreams.get(*key) else {
                continue;
            };
            let excluded =
                matches!(target, RequestTarget::Asset(asset) if self.is_excluded(now, asset, *key));
            let excluded = excluded || !self.may_be_reached(now, *key);
            if excluded || !self.members.upstream_accepts(&self.catalog, *key) {
                continue;
            }
            if self.limits.allows(now, *key) {
                let local = record.zone == self.me.zone;
                let name_hash = xxh3_64(record.name.as_bytes());
                upstreams.open.push(UpstreamCandidate {
                    key: *key,
                    slots: record.slots,
                    local,
                    name_hash,
                });
            } else {
                upstreams.blocked.push(*key);
            }
        }
        upstreams
    }

    /// Whether a replica that refused requests is backing off or already has a probe in flight.
    fn is_excluded(&self, now: Moment, asset: AssetKey, upstream: UpstreamKey) -> bool {
        self.replica_backoffs.is_backing_off(now, asset, upstream)
            || self.replica_probes.contains(&(asset, upstream))
    }

    /// Chooses an upstream for a request, preferably one that has not failed it yet.
    fn choose_upstream(
        &mut self,
        now: Moment,
        key: RequestKey,
        candidates: &[UpstreamCandidate],
    ) -> Option<ChosenUpstream> {
        let request = &self.requests[key];
        let untried: Vec<UpstreamCandidate> = candidates
            .iter()
            .copied()
            .filter(|candidate| !request.tried.contains(&candidate.key))
            .collect();
        if !untried.is_empty()
            && let Some(chosen) = self.choose_among(now, key, &untried)
        {
            return Some(chosen);
        }
        self.choose_among(now, key, candidates)
    }

    /// Chooses one of the open candidates, by expected work or by the number of requests.
    fn choose_among(
        &mut self,
        now: Moment,
        key: RequestKey,
        candidates: &[UpstreamCandidate],
    ) -> Option<ChosenUpstream> {
        if self.chooses_by_work(candidates) {
            return self.choose_by_work(now, key, candidates);
        }
        let affinity = self.affinity_hash(key);
        let chosen = self.tracker.choose(now, candidates, affinity, &mut self.rng);
        chosen.map(ChosenUpstream::Requests)
    }

    /// Hash of the prompt prefix that the request shares with others; `None` if the prefix is short
    /// or the route is not sticky.
    pub(super) fn affinity_hash(&self, key: RequestKey) -> Option<u64> {
        let request = &self.requests[key];
        let terms = request.terms.as_ref().filter(|terms| terms.sticky)?;
        // The last part is specific to this request.
        let (_, shared) = terms.prompt.parts.split_last()?;
        let tokens: u32 = shared.iter().map(|(_, tokens)| *tokens).sum();
        if tokens < MIN_AFFINITY_TOKENS {
            return None;
        }
        let digest = |hash, (part, _): &(u64, u32)| xxh3_64_with_seed(&part.to_le_bytes(), hash);
        Some(shared.iter().fold(0, digest))
    }

    fn dispatch(
        &mut self,
        now: Moment,
        key: RequestKey,
        chosen: &ChosenUpstream,
        candidate_count: usize,
        effects: &mut Vec<HostEffect>,
    ) {
        let upstream = chosen.key();
        let request = &mut self.requests[key];
        request.stage = RequestStage::Dispatched(upstream);
        request.attempts += 1;
        request.dispatched = now;
        request.first_part = None;
        let (ticket, attempt, target) = (request.ticket, request.attempts, request.target);
        let rank = request.rank;
        if attempt > 1 {
            let service = self.service_of(target);
            self.retry_budget.record_retry(now, service);
        }
        self.tracker.record_dispatch(upstream);
        self.record_work(now, key, chosen);
        self.limits.record_dispatch(now, upstream);
        self.reach_dispatched(upstream);
        self.quota_dispatched(now, key);
        *self.running.entry(target).or_default() += 1;
        let subject = self.target_name(target);
        let asset = match target {
            RequestTarget::Asset(asset) => {
                self.unreported_usage.entry(asset).or_default();
                if self.replica_backoffs.is_probing(asset, upstream) {
                    self.replica_probes.insert((asset, upstream));
                }
                subject.clone()
            }
            RequestTarget::Service(_) => String::new(),
        };
        let record = self.catalog.upstreams.get(upstream);
        effects.push(HostEffect::LogDecision(DecisionRecord {
            kind: DecisionKind::Route,
            ticket: Some(ticket),
            subject,
            choice: record.map_or_else(String::new, |record| record.name.clone()),
            reason: if attempt == 1 { chosen.reason() } else { "retry" },
            alternatives: candidate_count.saturating_sub(1),
            inputs: self.describe_choice(chosen),
        }));
        effects.push(HostEffect::Dispatch { request: key, attempt, ticket, upstream, asset, rank });
    }
}
