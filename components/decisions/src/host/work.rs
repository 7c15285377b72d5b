//! Choice of the engine for a request by expected work.

use std::time::Duration;

use wagtailledge_inventory::UpstreamKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::effect::HostEffect;
use crate::event::UpstreamLoad;
use crate::request::CallerRefusal;
use crate::request::RefusalReason;
use crate::request::RequestKey;
use crate::request::RequestTarget;
use crate::routing::ChoiceBasis;
use crate::routing::PromptWork;
use crate::routing::UpstreamCandidate;
use crate::routing::WorkChoice;
use crate::routing::WorkEstimate;
use crate::time::Moment;

use super::state::DrainStage;
use super::state::HostReducer;

/// Share of the retry delay that is added at random, so that refused callers do not return together.
const RETRY_SPREAD: f64 = 0.25;
/// Shortest retry delay: a shorter one would meet the same queues.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Highest number of tokens that a prompt is read as, so that an absurd declaration does not outweigh all
/// others: engines keep 240,000 tokens.
const MAX_PROMPT_TOKENS: u32 = 240_000;

/// Upstream that was chosen for a request, and by what.
#[derive(Debug, Clone)]
pub(super) enum ChosenUpstream {
    /// By the number of requests.
    Requests(UpstreamKey),
    /// By the number of requests, weighted with the pace that upstreams state.
    RequestsAndPace(UpstreamKey),
    /// By expected work.
    Work(PromptWork, WorkChoice),
}

impl ChosenUpstream {
    pub(super) fn key(&self) -> UpstreamKey {
        match self {
            Self::Requests(key) | Self::RequestsAndPace(key) => *key,
            Self::Work(_, choice) => choice.best.key,
        }
    }

    /// Log value `reason` of a first attempt.
    pub(super) fn reason(&self) -> &'static str {
        match self {
            Self::Requests(_) => "least expected load",
            Self::RequestsAndPace(_) => "least expected load by pace",
            Self::Work(..) => "least expected work",
        }
    }
}

impl HostReducer {
    /// Records the load that an upstream reports.
    pub(super) fn load_reported(&mut self, now: Moment, upstream: UpstreamKey, load: UpstreamLoad) {
        self.tracker.record_load(now, upstream, load.running.saturating_add(load.waiting));
        self.work.record_load(now, upstream, load);
    }

    /// Whether the choice among `candidates` is by expected work.
    pub(super) fn chooses_by_work(&self, candidates: &[UpstreamCandidate]) -> bool {
        match self.timing.choice {
            ChoiceBasis::Work => true,
            ChoiceBasis::Requests => false,
            ChoiceBasis::Auto => {
                self.catalog.has_accounts()
                    || candidates.iter().any(|candidate| self.work.pace(candidate.key).is_some())
            }
        }
    }

    /// Chooses one of the open candidates by expected work, or by requests and pace if the request
    /// declares no prompt.
    pub(super) fn choose_by_work(
        &mut self,
        now: Moment,
        key: RequestKey,
        candidates: &[UpstreamCandidate],
    ) -> Option<ChosenUpstream> {
        let Some(prompt) = self.prompt_work(key) else {
            let affinity = self.affinity_hash(key);
            let pace = |key| self.work.pace(key).unwrap_or(1.0);
            let (tracker, rng) = (&self.tracker, &mut self.rng);
            let chosen = tracker.choose_by_pace(now, candidates, affinity, pace, rng);
            return chosen.map(ChosenUpstream::RequestsAndPace);
        };
        let is_open = |candidate: &&UpstreamCandidate| self.tracker.is_open(now, candidate);
        let open: Vec<UpstreamCandidate> = candidates.iter().filter(is_open).copied().collect();
        let choice = self.work.choose(now, &open, &prompt, &mut self.rng)?;
        Some(ChosenUpstream::Work(prompt, choice))
    }

    /// Prompt that the request declares; `None` if it declares none.
    fn prompt_work(&self, key: RequestKey) -> Option<PromptWork> {
        let request = &self.requests[key];
        let terms = request.terms.as_ref()?;
        let parts = &terms.prompt.parts;
        let sum = |parts: &[(u64, u32)]| {
            parts.iter().fold(0, |sum: u32, (_, tokens)| sum.saturating_add(*tokens))
        };
        let tokens = terms.prompt.input.max(sum(parts)).min(MAX_PROMPT_TOKENS);
        if tokens == 0 {
            return None;
        }
        let shared_parts = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let digest = |hash, (part, _): &(u64, u32)| xxh3_64_with_seed(&part.to_le_bytes(), hash);
        // Engines share computed parts only between requests for the same asset.
        let asset = xxh3_64_with_seed(self.target_name(request.target).as_bytes(), 0);
        Some(PromptWork {
            tokens,
            shared: sum(shared_parts).min(tokens),
            prefix: (!shared_parts.is_empty()).then(|| shared_parts.iter().fold(asset, digest)),
            sticky: terms.sticky,
            output: terms.prompt.output,
        })
    }

    /// Records that a request is sent to the chosen upstream.
    pub(super) fn record_work(&mut self, now: Moment, key: RequestKey, chosen: &ChosenUpstream) {
        if let ChosenUpstream::Work(prompt, choice) = chosen {
            self.work.record_sent(now, key, prompt, choice.best);
        }
    }

    /// Records the first event of a request, and how far it was from the estimate.
    pub(super) fn first_event_arrived(
        &mut self,
        now: Moment,
        key: RequestKey,
        effects: &mut Vec<HostEffect>,
    ) {
        if let Some(first) = self.work.record_first_event(now, key) {
            effects.push(HostEffect::RecordEstimate(first));
        }
    }

    /// Log value `inputs` of a choice: the estimates for the chosen engine and the best other one.
    pub(super) fn describe_choice(&self, chosen: &ChosenUpstream) -> String {
        let describe = |estimate: &WorkEstimate| {
            let age =
                estimate.age.map_or_else(|| "-".to_owned(), |age| age.as_millis().to_string());
            format!(
                "expected {:.0} ms, pace {:.2}, {:.0} tokens ahead, age {age} ms",
                estimate.first_ms, estimate.pace, estimate.ahead,
            )
        };
        match chosen {
            ChosenUpstream::Requests(_) => String::new(),
            ChosenUpstream::RequestsAndPace(key) => {
                self.work.pace(*key).map_or_else(String::new, |pace| format!("pace {pace:.2}"))
            }
            ChosenUpstream::Work(_, WorkChoice { best, other: None }) => describe(best),
            ChosenUpstream::Work(_, WorkChoice { best, other: Some(other) }) => {
                let name = self.catalog.upstreams.get(other.key).map_or("", |record| &record.name);
                format!("{}; {name}: {}", describe(best), describe(other))
            }
        }
    }

    /// Reason to refuse a request that was just queued before it is sent to any upstream.
    pub(super) fn reason_not_to_send(&self, now: Moment, key: RequestKey) -> Option<RefusalReason> {
        if self.quarantine_rule(now, key).is_some() {
            return Some(RefusalReason::Quarantined);
        }
        if self.drain == DrainStage::Over {
            return Some(RefusalReason::HostEnds);
        }
        self.wait_beyond_deadline(now, key).map(|_| RefusalReason::EnginesBusy)
    }

    /// Expected time until the first replica can begin a request that was never sent, if that is
    /// beyond its deadline.
    fn wait_beyond_deadline(&self, now: Moment, key: RequestKey) -> Option<Duration> {
        let request = &self.requests[key];
        let RequestTarget::Asset(_) = request.target else {
            return None;
        };
        if self.timing.choice == ChoiceBasis::Requests || request.attempts > 0 {
            return None;
        }
        let prompt = self.prompt_work(key)?;
        let candidates = self.candidates(now, request.target).open;
        let may_begin_elsewhere = candidates.is_empty() || self.is_loading(request.target);
        if may_begin_elsewhere || !self.chooses_by_work(&candidates) {
            return None;
        }
        let time_left = request.deadline.since(now);
        self.work.wait_beyond(now, &candidates, &prompt, time_left)
    }

    /// Sets the retry delay of a refused request to the time at which a replica can begin it, spread
    /// at random; returns the log value `inputs` of the refusal.
    pub(super) fn delay_by_work(&self, key: RequestKey, refusal: &mut CallerRefusal) -> String {
        let now = self.last_event;
        let Some(wait) = self.wait_beyond_deadline(now, key) else {
            return String::new();
        };
        // Tickets differ between requests, which spreads the callers.
        let ticket = self.requests[key].ticket.0.to_le_bytes();
        let share = xxh3_64_with_seed(&ticket, now.0) as f64 / u64::MAX as f64;
        refusal.retry_after = wait.max(MIN_RETRY_AFTER).mul_f64(1.0 + RETRY_SPREAD * share);
        format!("expected wait {} ms", wait.as_millis())
    }
}
