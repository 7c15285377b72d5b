//! The leader's side: a bucket for each account, and the answers to hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identity::HostIdentity;
use crate::time::Moment;

use super::bucket::TokenLevel;
use super::bucket::UseRate;
use super::hosts::HostRecord;
use super::limit::QuotaLimit;
use super::limit::time_for;
use super::message::QuotaAnswer;
use super::message::QuotaAskRow;
use super::message::QuotaReport;
use super::message::QuotaStateRow;
use super::message::QuotaTable;
use super::message::QuotaVerdict;

/// Share of the burst below which an account becomes metered. What hosts admit before they learn of it
/// fits into the rest.
const METERED_BELOW: f64 = 0.3;
/// Share of the burst from which an account may become open again; the difference prevents changes
/// back and forth.
const OPEN_FROM: f64 = 0.75;
/// Share of the rate from which the use of an account is published. Below it, hosts count the use as zero
/// in their shares, so that all shares together are at most 1.25 times the rate.
const PUBLISHED_USE: f64 = 0.25;
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
struct WaitingAsk {
    host: String,
    id: u64,
    cost: u64,
    rank: u8,
    /// Until when the request can wait.
    hold_until: Moment,
}

/// One account with a quota.
#[derive(Debug, Clone)]
struct AccountState {
    limit: QuotaLimit,
    /// What may be used now.
    level: TokenLevel,
    /// Tokens that refused callers were told to come back for, and that have not been added yet.
    promised: f64,
    use_rate: UseRate,
    /// Shares of the hosts that were not heard at the last refill, in tokens a second.
    silent_rate: f64,
    metered: bool,
    asks: Vec<WaitingAsk>,
}

impl AccountState {
    /// Creates a metered account with an empty bucket: what hosts used before is not known here.
    fn new(now: Moment, limit: QuotaLimit) -> Self {
        Self {
            limit,
            level: TokenLevel::empty(now),
            promised: 0.0,
            use_rate: UseRate::default(),
            silent_rate: 0.0,
            metered: true,
            asks: Vec::new(),
        }
    }

    fn floor(&self) -> f64 {
        -self.limit.capacity() * MAX_DEBT
    }

    /// Rate at which tokens are added for the hosts that are heard.
    fn refill_rate(&self) -> f64 {
        (self.limit.rate() - self.silent_rate).max(0.0)
    }

    /// Charges tokens of which `prepaid` have been subtracted before.
    fn charge(&mut self, now: Moment, tokens: f64, prepaid: f64) {
        self.use_rate.add(now, tokens);
        let floor = self.floor();
        self.level.take((tokens - prepaid).max(0.0), floor);
    }

    /// Adds a request of a host, unless it waits here already. Returns the answer for now.
    fn enqueue(&mut self, now: Moment, host: &str, ask: &QuotaAskRow) -> QuotaVerdict {
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
    fn decide(&mut self, now: Moment, waiting: f64) -> Vec<(WaitingAsk, QuotaVerdict)> {
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
    fn wants_metering(&self, now: Moment) -> bool {
        let burst = self.limit.burst();
        if !self.metered {
            return self.level.tokens() < burst * METERED_BELOW;
        }
        let has_recovered = self.level.tokens() >= burst * OPEN_FROM;
        !has_recovered || !self.asks.is_empty() || self.use_rate.at(now) >= self.limit.rate()
    }
}

/// An account that has become metered or open.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaChange {
    /// Name of the account.
    pub account: String,
    /// Whether hosts have to ask for every request now.
    pub metered: bool,
    /// Level of its bucket.
    pub level: i64,
    /// Its rate.
    pub rate: u64,
    /// Its use, per second.
    pub use_rate: u64,
}

/// Holds the buckets of all accounts with a quota, while this process leads.
#[derive(Debug, Clone)]
pub struct QuotaAllocator {
    accounts: BTreeMap<String, AccountState>,
    hosts: BTreeMap<String, HostRecord>,
    /// Answers that are to be sent, by host and number of the request, with the account.
    answers: BTreeMap<String, BTreeMap<u64, (QuotaVerdict, String)>>,
}

impl QuotaAllocator {
    /// Creates empty buckets. All `hosts` count as using an equal share until they report.
    pub fn new<'n>(
        now: Moment,
        limits: &BTreeMap<String, QuotaLimit>,
        hosts: impl Iterator<Item = &'n str>,
    ) -> Self {
        let accounts = limits.iter();
        let accounts = accounts.map(|(name, limit)| (name.clone(), AccountState::new(now, *limit)));
        let mut allocator =
            Self { accounts: accounts.collect(), hosts: BTreeMap::new(), answers: BTreeMap::new() };
        allocator.add_hosts(now, hosts);
        allocator
    }

    /// Adds hosts that are in the scope now, and forgets old answers.
    pub fn add_hosts<'n>(&mut self, now: Moment, names: impl Iterator<Item = &'n str>) {
        for name in names {
            if !self.hosts.contains_key(name) {
                self.hosts.insert(name.to_owned(), HostRecord::unheard(now));
            }
        }
        for host in self.hosts.values_mut() {
            host.remove_expired(now);
        }
    }

    /// Sets the accounts and their quotas. A lowered limit lowers the level in proportion.
    pub fn set_limits(&mut self, now: Moment, limits: &BTreeMap<String, QuotaLimit>) {
        self.advance(now);
        self.accounts.retain(|name, _| limits.contains_key(name));
        for host in self.hosts.values_mut() {
            host.accounts.retain(|name, _| limits.contains_key(name));
        }
        for (name, limit) in limits {
            let Some(account) = self.accounts.get_mut(name) else {
                self.accounts.insert(name.clone(), AccountState::new(now, *limit));
                continue;
            };
            let factor = limit.capacity() / account.limit.capacity();
            if factor < 1.0 && account.level.tokens() > 0.0 {
                account.level.scale(factor);
            }
            account.limit = *limit;
        }
    }

    /// Starts again as a new leader does, after this process was frozen: hosts have gone on without it.
    pub fn resume(&mut self, now: Moment) {
        for account in self.accounts.values_mut() {
            account.level.drain(now);
            account.metered = true;
            account.asks.clear();
        }
        for host in self.hosts.values_mut() {
            host.is_heard = false;
            host.heard_at = now;
        }
    }

    /// Refills all buckets, without the shares of the hosts that are not heard.
    fn advance(&mut self, now: Moment) {
        let counted = self.hosts.values().filter(|host| host.is_counted(now)).count();
        let mut silent: Vec<&mut HostRecord> =
            self.hosts.values_mut().filter(|host| host.is_silent(now)).collect();
        for (name, account) in &mut self.accounts {
            let (rate, capacity) = (account.limit.rate(), account.limit.capacity());
            let elapsed = account.level.refill(now, rate, capacity).as_secs_f64();
            account.promised = (account.promised - rate * elapsed).max(0.0);
            account.silent_rate = 0.0;
            let use_rate = account.use_rate.at(now);
            for host in &mut silent {
                let share = host.silent_share(name, &account.limit, use_rate, counted);
                account.silent_rate += share;
                host.accounts.entry(name.clone()).or_default().prepaid += share * elapsed;
            }
            let floor = account.floor();
            account.level.take(account.silent_rate * elapsed, floor);
        }
    }

    /// Records a host's report.
    pub fn report(&mut self, now: Moment, from: &HostIdentity, report: &QuotaReport) {
        self.advance(now);
        let known = self.hosts.entry(from.name.clone());
        let host = known.or_insert_with(|| HostRecord::unheard(now));
        if host.identity.as_ref().is_some_and(|identity| identity != from) {
            *host = HostRecord::unheard(now);
            for account in self.accounts.values_mut() {
                account.asks.retain(|ask| ask.host != from.name);
            }
        }
        host.identity = Some(from.clone());
        host.heard_at = now;
        host.is_heard = true;
        host.is_active = !report.rows.is_empty() || !report.asks.is_empty();
        // Messages may overtake each other. Totals only grow, so that late ones change nothing.
        let is_latest = report.number > host.report;
        host.report = host.report.max(report.number);
        for row in &report.rows {
            let Some(account) = self.accounts.get_mut(&row.account) else {
                continue;
            };
            let known = host.accounts.entry(row.account.clone()).or_default();
            let used = row.used.saturating_sub(known.used) as f64;
            let returned = row.returned.saturating_sub(known.returned) as f64;
            known.used = known.used.max(row.used);
            known.returned = known.returned.max(row.returned);
            if is_latest {
                known.waiting = row.waiting;
            }
            known.use_rate.add(now, used);
            let prepaid = used.min(known.prepaid);
            known.prepaid -= prepaid;
            account.charge(now, used, prepaid);
            account.level.add(returned, account.limit.capacity());
        }
        for (name, known) in &mut host.accounts {
            known.silent_share = None;
            if let Some(account) = self.accounts.get_mut(name) {
                let unused = std::mem::take(&mut known.prepaid);
                account.level.add(unused, account.limit.capacity());
            }
        }
        for ask in &report.asks {
            let verdict = match (host.answers.get(&ask.id), self.accounts.get_mut(&ask.account)) {
                (Some((verdict, _)), _) => *verdict,
                (None, Some(account)) => account.enqueue(now, &from.name, ask),
                // This host's configuration has no quota for the account.
                (None, None) => QuotaVerdict::Granted,
            };
            let answer = (verdict, ask.account.clone());
            self.answers.entry(from.name.clone()).or_default().insert(ask.id, answer);
        }
    }

    /// Answers all requests that can be answered now, by the process that gets the answers. `epoch` is
    /// that of this leader.
    pub fn decide(&mut self, now: Moment, epoch: u64) -> Vec<(HostIdentity, QuotaAnswer)> {
        self.advance(now);
        for (name, account) in &mut self.accounts {
            if account.asks.is_empty() {
                continue;
            }
            let waiting = self.hosts.values().filter_map(|host| host.accounts.get(name));
            let waiting: u64 = waiting.map(|known| known.waiting).sum();
            // While the account is open, it is the engines that are late, and not the account.
            let waiting = if account.metered { waiting as f64 } else { 0.0 };
            for (ask, verdict) in account.decide(now, waiting) {
                let Some(host) = self.hosts.get_mut(&ask.host) else {
                    continue;
                };
                host.answers.insert(ask.id, (verdict, now));
                if verdict == QuotaVerdict::Granted {
                    let known = host.accounts.entry(name.clone()).or_default();
                    known.use_rate.add(now, ask.cost as f64);
                }
                let answer = (verdict, name.clone());
                self.answers.entry(ask.host).or_default().insert(ask.id, answer);
            }
        }
        let answers = std::mem::take(&mut self.answers);
        let answer = |(name, answers): (String, BTreeMap<u64, (QuotaVerdict, String)>)| {
            let to = self.hosts.get(&name)?.identity.clone()?;
            let mut use_rates = BTreeMap::new();
            let mut verdicts = Vec::with_capacity(answers.len());
            for (id, (verdict, account)) in answers {
                verdicts.push((id, verdict));
                if let Some(state) = self.accounts.get(&account) {
                    use_rates.insert(account, state.use_rate.at(now) as u64);
                }
            }
            let use_rates = use_rates.into_iter().collect();
            Some((to, QuotaAnswer { epoch, verdicts, use_rates }))
        };
        answers.into_iter().filter_map(answer).collect()
    }

    /// Changes the states of accounts by their levels, and returns those that changed.
    pub fn update_states(&mut self, now: Moment) -> Vec<QuotaChange> {
        self.advance(now);
        let mut changes = Vec::new();
        for (name, account) in &mut self.accounts {
            let metered = account.wants_metering(now);
            if metered != account.metered {
                account.metered = metered;
                changes.push(QuotaChange {
                    account: name.clone(),
                    metered,
                    level: account.level.tokens() as i64,
                    rate: account.limit.rate() as u64,
                    use_rate: account.use_rate.at(now) as u64,
                });
            }
        }
        changes
    }

    /// What is published about the accounts.
    pub fn table(&self, now: Moment, grants: bool) -> QuotaTable {
        let row = |(name, account): (&String, &AccountState)| {
            let use_rate = account.use_rate.at(now);
            let is_notable = use_rate >= account.limit.rate() * PUBLISHED_USE;
            (account.metered || is_notable).then(|| QuotaStateRow {
                account: name.clone(),
                metered: account.metered,
                use_rate: use_rate as u64,
            })
        };
        QuotaTable { grants, rows: self.accounts.iter().filter_map(row).collect() }
    }

    /// Whether questions have arrived that were not looked at.
    pub fn has_new_questions(&self) -> bool {
        !self.answers.is_empty()
    }

    /// Whether requests wait here for tokens.
    pub fn has_waiting(&self) -> bool {
        self.accounts.values().any(|account| !account.asks.is_empty())
    }
}
