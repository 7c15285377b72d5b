//! The leader's bucket of one account, and the requests that wait for its tokens.

use std::time::Duration;

use crate::time::Moment;

use super::bucket::TokenLevel;
use super::bucket::UseRate;
use super::limit::QuotaLimit;
use super::limit::time_for;
use super::message::QuotaAskRow;
use super::message::QuotaVerdict;

/// Share of the burst below which an account becomes metered. What hosts admit before they learn of it
/// fits into the rest.
const METERED_BELOW: f64 = 0.3;
/// Share of the burst from which an account may become open again; the difference prevents changes
/// back and forth.
const OPEN_FROM: f64 = 0.75;
/// Longest time for which tokens are promised to refused callers, so that a caller that ignores its
/// times does not put off the others for ever.
const MAX_PROMISE: Duration = Duration::from_secs(5);
/// Most tokens of one request that are taken from a message; about ten times the largest prompt.
const MAX_COST: u64 = 1_000_000;
/// Longest time for which a request waits here; a quarter of the longest usual objective.
const MAX_HOLD: Duration = Duration::from_secs(5);
/// Most requests of one account that wait here, so that a flood does not use up memory and time.
const MAX_ASKS: usize = 2_000;
/// Debt, in capacities of the bucket, beyond which nothing is charged, so that an absurd report does not
/// block an account for long.
const MAX_DEBT: f64 = 2.0;

/// A request of a host that waits for tokens.
#[derive(Debug, Clone)]
pub(super) struct WaitingAsk {
    pub(super) host: String,
    pub(super) id: u64,
    pub(super) cost: u64,
    rank: u8,
    /// Until when the request can wait.
    hold_until: Moment,
}

/// One account with a quota.
#[derive(Debug, Clone)]
pub(super) struct AccountState {
    pub(super) limit: QuotaLimit,
    /// What may be used now.
    pub(super) level: TokenLevel,
    /// Tokens that refused callers were told to come back for, and that have not been added yet.
    pub(super) promised: f64,
    pub(super) use_rate: UseRate,
    /// Shares of the hosts that were not heard at the last refill, in tokens a second.
    pub(super) silent_rate: f64,
    pub(super) metered: bool,
    pub(super) asks: Vec<WaitingAsk>,
}

impl AccountState {
    /// Creates a metered account with a part of the burst: what hosts used before is not known here.
    pub(super) fn new(now: Moment, limit: QuotaLimit) -> Self {
        let mut level = TokenLevel::empty(now);
        level.add(limit.first_level(), limit.capacity());
        Self {
            limit,
            level,
            promised: 0.0,
            use_rate: UseRate::default(),
            silent_rate: 0.0,
            metered: true,
            asks: Vec::new(),
        }
    }

    pub(super) fn floor(&self) -> f64 {
        -self.limit.capacity() * MAX_DEBT
    }

    /// Rate at which tokens are added for the hosts that are heard.
    fn refill_rate(&self) -> f64 {
        (self.limit.rate() - self.silent_rate).max(0.0)
    }

    /// Charges tokens of which `prepaid` have been subtracted before.
    pub(super) fn charge(&mut self, now: Moment, tokens: f64, prepaid: f64) {
        self.use_rate.add(now, tokens);
        let floor = self.floor();
        self.level.take((tokens - prepaid).max(0.0), floor);
    }

    /// Adds a request of a host, unless it waits here already. Returns the answer for now.
    pub(super) fn enqueue(&mut self, now: Moment, host: &str, ask: &QuotaAskRow) -> QuotaVerdict {
        if self.asks.iter().any(|waiting| waiting.id == ask.id && waiting.host == host) {
            return QuotaVerdict::Queued;
        }
        if self.asks.len() >= MAX_ASKS {
            return QuotaVerdict::Refused(MAX_PROMISE.as_millis() as u64);
        }
        self.asks.push(WaitingAsk {
            host: host.to_owned(),
            id: ask.id,
            cost: ask.cost.min(MAX_COST),
            rank: ask.rank,
            hold_until: now.after(Duration::from_millis(ask.hold_ms).min(MAX_HOLD)),
        });
        QuotaVerdict::Queued
    }

    /// Grants what fits, and refuses what cannot be granted in time. `waiting` are the tokens of granted
    /// requests that have not been sent yet. Returns the answers.
    pub(super) fn decide(&mut self, now: Moment, waiting: f64) -> Vec<(WaitingAsk, QuotaVerdict)> {
        self.asks.sort_by_key(|ask| (ask.rank, ask.hold_until, ask.id));
        let mut answers = Vec::new();
        let mut reserved = waiting;
        let mut ahead = 0.0;
        let mut left = Vec::new();
        for ask in std::mem::take(&mut self.asks) {
            let cost = ask.cost as f64;
            // Tokens of requests that are yet to be sent keep their place in the bucket; else a queue that
            // empties at once would send more than rate and burst.
            let room = self.limit.capacity() - reserved;
            let available = self.level.tokens().min(room);
            let missing = ahead + self.limit.needed(ask.cost) - available;
            if ahead == 0.0 && missing <= 0.0 {
                let floor = self.floor();
                self.level.take(cost, floor);
                self.use_rate.add(now, cost);
                reserved += cost;
                answers.push((ask, QuotaVerdict::Granted));
            } else if now.after(time_for(missing, self.refill_rate())) <= ask.hold_until {
                ahead += cost;
                left.push(ask);
            } else {
                let wait = time_for(missing + self.promised, self.refill_rate());
                let most = self.limit.rate() * MAX_PROMISE.as_secs_f64();
                self.promised = (self.promised + cost).min(most);
                // Rounded up, so that the request fits by then.
                answers.push((ask, QuotaVerdict::Refused(wait.as_millis() as u64 + 1)));
            }
        }
        self.asks = left;
        answers
    }

    /// Whether the account is to be metered now.
    pub(super) fn wants_metering(&self, now: Moment) -> bool {
        let burst = self.limit.burst();
        if !self.metered {
            return self.level.tokens() < burst * METERED_BELOW;
        }
        let has_recovered = self.level.tokens() >= burst * OPEN_FROM;
        !has_recovered || !self.asks.is_empty() || self.use_rate.at(now) >= self.limit.rate()
    }
}
