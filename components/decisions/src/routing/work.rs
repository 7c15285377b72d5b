//! Choice of the engine that is expected to begin a request first and that delays the fewest streams.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use slotmap::SecondaryMap;
use wagtailledge_inventory::UpstreamKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::event::UpstreamLoad;
use crate::request::RequestKey;
use crate::time::Moment;

use super::engine_work::EngineWork;
use super::prefixes::RecentPrefixes;
use super::tracker::UpstreamCandidate;

/// Time in ms that an engine of pace 1 needs for a prompt token, until first events show it: engines
/// process 38 tokens in a ms.
const INITIAL_TOKEN_MS: f64 = 1.0 / 38.0;
/// Bounds of the learned time for a prompt token, in ms.
const TOKEN_MS_RANGE: std::ops::RangeInclusive<f64> = 0.005..=0.5;
/// Step by which a first event changes the learned time for a token.
const TOKEN_STEP: f64 = 0.04;
/// Quantile of the observed times for a token that is learned. Most first events include a wait, so a
/// low one shows the engine's own speed.
const TOKEN_QUANTILE: f64 = 0.25;
/// Fewest uncached tokens for which a first event shows the time for a token; the steps before the
/// event dominate for fewer.
const MIN_LEARNING_TOKENS: f64 = 1_500.0;
/// Time in ms from the processed prompt to the first event, at pace 1: six steps of about 5 ms.
const FIRST_EVENT_MS: f64 = 30.0;
/// Time in ms of a step, at pace 1, in which each running stream gets one token.
const STEP_MS: f64 = 5.0;

/// Share of the requests running at an engine that have a prompt which is not processed yet: prompts
/// take a few tens of ms of requests that run for about a second.
const UNPROCESSED_SHARE: f64 = 0.12;
/// Tokens of a prompt that is not declared, until this host has seen declared ones.
const INITIAL_PROMPT_TOKENS: f64 = 2_000.0;
/// Weight of a prompt in the average size of prompts.
const PROMPT_WEIGHT: f64 = 0.05;
/// Requests that usually run at an engine that has not reported its load.
const USUAL_STREAMS: f64 = 2.0;

/// Weight of the delay of each stream that runs at the engine against the wait of the request itself.
const STREAM_DELAY_WEIGHT: f64 = 0.3;
/// Weight of the time that the request's own answer takes. Its first event has an objective in hundreds
/// of ms, while the answer as a whole has one in seconds.
const ANSWER_WEIGHT: f64 = 0.1;
/// Cost of an engine in another zone: up to 1.4 ms, and the price of the bytes.
const ZONE_COST_MS: f64 = 2.0;
/// Random part of the cost, relative to the cost. Hosts know as little about each other's latest choices
/// as their reports are old, and must not all choose the same engine.
const RANDOM_SHARE: f64 = 0.2;

/// Probability that an engine keeps a prefix that this host sent it recently.
const SENT_HIT: f64 = 0.9;
/// Probability that an engine keeps a prefix for which it is the first, the second or a later choice of
/// all hosts by rendezvous hashing.
const RENDEZVOUS_HITS: [f64; 3] = [0.9, 0.3, 0.1];

/// Part of an expected wait that must exceed the time left for a refusal at once: the estimate is rough.
const REFUSAL_WAIT_SHARE: f64 = 0.5;
/// Greatest age of the last observation of an engine on which a refusal may be based.
const REFUSAL_OBSERVATION_AGE: Duration = Duration::from_secs(1);

/// Declared prompt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PromptWork {
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Tokens of the leading parts that other prompts share.
    pub shared: u32,
    /// Hash of the asset and these parts; `None` if there are none.
    pub prefix: Option<u64>,
    /// Whether all hosts send prompts with this prefix to the same engines where these have room.
    pub sticky: bool,
    /// Maximum number of tokens of the answer.
    pub output: u32,
}

/// What a request is expected to meet at an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkEstimate {
    /// Engine.
    pub key: UpstreamKey,
    /// Factor of time of its work.
    pub pace: f64,
    /// Prompt tokens that it processes before those of the request.
    pub ahead: f64,
    /// Uncached prompt tokens of the request.
    pub own: f64,
    /// Time in ms until the request's own prompt is processed.
    pub wait_ms: f64,
    /// Time in ms until the first event.
    pub first_ms: f64,
    /// Value that the choice minimizes, in ms.
    pub cost: f64,
    /// Age of the last observation of the engine; `None` without one.
    pub age: Option<Duration>,
}

/// Chosen engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkChoice {
    /// Estimate for it.
    pub best: WorkEstimate,
    /// Estimate for the best other one.
    pub other: Option<WorkEstimate>,
}

/// Expected and observed time from the dispatch of a request to its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstEvent {
    /// Expected time.
    pub expected: Duration,
    /// Observed time.
    pub observed: Duration,
}

/// Attempt that was sent to an engine chosen by expected work.
#[derive(Debug, Clone, Copy)]
struct SentAttempt {
    upstream: UpstreamKey,
    sent: Moment,
    estimate: WorkEstimate,
    /// Whether its first event arrived.
    begun: bool,
}

/// Expected work of all engines.
#[derive(Debug, Clone)]
pub struct WorkTracker {
    engines: SecondaryMap<UpstreamKey, EngineWork>,
    /// Attempts in flight that were sent by expected work.
    attempts: BTreeMap<RequestKey, SentAttempt>,
    prefixes: RecentPrefixes,
    /// Learned time in ms for a prompt token at pace 1.
    token_ms: f64,
    /// Average of the uncached tokens of this host's prompts.
    mean_tokens: f64,
}

impl Default for WorkTracker {
    fn default() -> Self {
        Self {
            engines: SecondaryMap::new(),
            attempts: BTreeMap::new(),
            prefixes: RecentPrefixes::default(),
            token_ms: INITIAL_TOKEN_MS,
            mean_tokens: INITIAL_PROMPT_TOKENS,
        }
    }
}

impl WorkTracker {
    fn engine(&mut self, key: UpstreamKey) -> Option<&mut EngineWork> {
        if !self.engines.contains_key(key) {
            self.engines.insert(key, EngineWork::default());
        }
        self.engines.get_mut(key)
    }

    /// Records a load report of an upstream.
    pub fn record_load(&mut self, now: Moment, key: UpstreamKey, load: UpstreamLoad) {
        if let Some(engine) = self.engine(key) {
            engine.record_load(now, load);
        }
    }

    /// Usual pace of an upstream; `None` if it has not stated it.
    pub fn pace(&self, key: UpstreamKey) -> Option<f64> {
        self.engines.get(key)?.pace.usual()
    }

    /// Records that a request was sent to the chosen engine.
    pub fn record_sent(
        &mut self,
        now: Moment,
        request: RequestKey,
        prompt: &PromptWork,
        estimate: WorkEstimate,
    ) {
        let upstream = estimate.key;
        let expected = now.after(millis(estimate.first_ms));
        if let Some(engine) = self.engine(upstream) {
            engine.record_sent(now, request, estimate.own, expected);
        }
        if let Some(prefix) = prompt.prefix {
            self.prefixes.record(now, upstream, prefix);
        }
        self.mean_tokens += (estimate.own - self.mean_tokens) * PROMPT_WEIGHT;
        let attempt = SentAttempt { upstream, sent: now, estimate, begun: false };
        self.attempts.insert(request, attempt);
    }

    /// Records the first event of a request; `None` if it was not sent by expected work.
    pub fn record_first_event(&mut self, now: Moment, request: RequestKey) -> Option<FirstEvent> {
        let attempt = self.attempts.get_mut(&request).filter(|attempt| !attempt.begun)?;
        attempt.begun = true;
        let SentAttempt { upstream, sent, estimate, .. } = *attempt;
        let observed = now.since(sent);
        let own_ms = estimate.own * self.token_ms * estimate.pace;
        let processing = millis(own_ms + FIRST_EVENT_MS * estimate.pace);
        if let Some(engine) = self.engine(upstream) {
            engine.record_begun(now, request, observed.saturating_sub(processing));
        }
        self.learn_token_time(observed, &estimate);
        Some(FirstEvent { expected: millis(estimate.first_ms), observed })
    }

    /// Moves the learned time for a token towards the quantile [`TOKEN_QUANTILE`] of the observed ones.
    fn learn_token_time(&mut self, observed: Duration, estimate: &WorkEstimate) {
        if estimate.own < MIN_LEARNING_TOKENS {
            return;
        }
        let processing_ms = observed.as_secs_f64() * 1e3 / estimate.pace - FIRST_EVENT_MS;
        let factor = if processing_ms > estimate.own * self.token_ms {
            1.0 + TOKEN_STEP * TOKEN_QUANTILE
        } else {
            1.0 - TOKEN_STEP * (1.0 - TOKEN_QUANTILE)
        };
        let learned = self.token_ms * factor;
        self.token_ms = learned.clamp(*TOKEN_MS_RANGE.start(), *TOKEN_MS_RANGE.end());
    }

    /// Records that the latest attempt of a request ended.
    pub fn record_ended(&mut self, request: RequestKey) {
        if let Some(attempt) = self.attempts.remove(&request)
            && let Some(engine) = self.engine(attempt.upstream)
        {
            engine.record_ended(request);
        }
    }

    /// Chooses the candidate with the lowest cost; `None` if there is no candidate.
    pub fn choose(
        &self,
        now: Moment,
        candidates: &[UpstreamCandidate],
        prompt: &PromptWork,
        rng: &mut SmallRng,
    ) -> Option<WorkChoice> {
        let mut estimates = self.estimates(now, candidates, prompt);
        for estimate in &mut estimates {
            estimate.cost *= 1.0 + RANDOM_SHARE * rng.random::<f64>();
        }
        estimates.sort_by(|first, second| first.cost.total_cmp(&second.cost));
        let best = *estimates.first()?;
        Some(WorkChoice { best, other: estimates.get(1).copied() })
    }

    /// Time until the first of the candidates is expected to begin a request, if even half of it
    /// exceeds `time_left` and recent observations of every candidate support that.
    pub fn wait_beyond(
        &self,
        now: Moment,
        candidates: &[UpstreamCandidate],
        prompt: &PromptWork,
        time_left: Duration,
    ) -> Option<Duration> {
        let estimates = self.estimates(now, candidates, prompt);
        let is_late = |estimate: &WorkEstimate| {
            let is_observed = estimate.age.is_some_and(|age| age <= REFUSAL_OBSERVATION_AGE);
            is_observed && millis(estimate.wait_ms * REFUSAL_WAIT_SHARE) > time_left
        };
        if !estimates.iter().all(is_late) {
            return None;
        }
        estimates.iter().map(|estimate| millis(estimate.wait_ms)).min()
    }

    /// Estimates for a request at each of the candidates.
    pub fn estimates(
        &self,
        now: Moment,
        candidates: &[UpstreamCandidate],
        prompt: &PromptWork,
    ) -> Vec<WorkEstimate> {
        let engines = || candidates.iter().filter_map(|candidate| self.engines.get(candidate.key));
        // Engines that have said nothing are taken for average ones among the candidates.
        let usual_pace = mean(engines().filter_map(|engine| engine.pace.usual())).unwrap_or(1.0);
        let usual_streams = mean(engines().filter_map(EngineWork::average_running));
        let usual = (usual_pace, usual_streams.unwrap_or(USUAL_STREAMS));
        let ranks = rendezvous_ranks(candidates, prompt);
        let estimate = |(candidate, rank)| self.estimate(now, candidate, prompt, rank, usual);
        candidates.iter().zip(ranks).map(estimate).collect()
    }

    fn estimate(
        &self,
        now: Moment,
        candidate: &UpstreamCandidate,
        prompt: &PromptWork,
        rendezvous_rank: usize,
        (usual_pace, usual_streams): (f64, f64),
    ) -> WorkEstimate {
        let unknown = EngineWork::default();
        let engine = self.engines.get(candidate.key).unwrap_or(&unknown);
        let pace = engine.pace.usual().unwrap_or(usual_pace);
        let token_ms = self.token_ms * pace;
        let streams = engine.streams(now, usual_streams);
        let of_others = streams * UNPROCESSED_SHARE + engine.waiting(now);
        let pending = engine.pending_tokens(now, token_ms);
        let ahead = pending + of_others * self.mean_tokens;
        let hit = self.hit_probability(now, candidate.key, prompt, rendezvous_rank);
        let own = f64::from(prompt.tokens) - f64::from(prompt.shared) * hit;
        let modelled_ms = ahead * token_ms;
        let wait_ms = modelled_ms.max(engine.observed_wait(now)) + engine.overdue_ms(now);
        let own_ms = own * token_ms;
        let first_ms = wait_ms + own_ms + FIRST_EVENT_MS * pace;
        let answer_ms = f64::from(prompt.output) * STEP_MS * pace;
        let zone_ms = if candidate.local { 0.0 } else { ZONE_COST_MS };
        let cost =
            first_ms + own_ms * streams * STREAM_DELAY_WEIGHT + answer_ms * ANSWER_WEIGHT + zone_ms;
        let age = engine.report_age(now);
        WorkEstimate { key: candidate.key, pace, ahead, own, wait_ms, first_ms, cost, age }
    }

    /// Probability that the engine keeps the shared parts of the prompt.
    fn hit_probability(
        &self,
        now: Moment,
        key: UpstreamKey,
        prompt: &PromptWork,
        rendezvous_rank: usize,
    ) -> f64 {
        match prompt.prefix {
            None => 0.0,
            Some(prefix) if self.prefixes.is_kept(now, key, prefix) => SENT_HIT,
            Some(_) if !prompt.sticky => 0.0,
            Some(_) => RENDEZVOUS_HITS[rendezvous_rank.min(RENDEZVOUS_HITS.len() - 1)],
        }
    }
}

/// Position of each candidate in the order of rendezvous hashing for the prompt's prefix, which is equal
/// on all hosts.
fn rendezvous_ranks(candidates: &[UpstreamCandidate], prompt: &PromptWork) -> Vec<usize> {
    let prefix = prompt.prefix.unwrap_or_default();
    let weight = |candidate: &UpstreamCandidate| {
        xxh3_64_with_seed(&candidate.name_hash.to_le_bytes(), prefix)
    };
    let weights: Vec<u64> = candidates.iter().map(weight).collect();
    weights.iter().map(|own| weights.iter().filter(|other| *other > own).count()).collect()
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    (count > 0.0).then(|| sum / count)
}

fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or_default()
}
