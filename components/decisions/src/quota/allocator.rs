//! The leader's side: a bucket for each account, and the answers to hosts.

use std::collections::BTreeMap;

use crate::identity::HostIdentity;
use crate::time::Moment;

use super::buckets::AccountState;
use super::hosts::HostRecord;
use super::limit::QuotaLimit;
use super::message::QuotaAnswer;
use super::message::QuotaReport;
use super::message::QuotaStateRow;
use super::message::QuotaTable;
use super::message::QuotaVerdict;

/// Share of the rate from which the use of an account is published. Below it, hosts count the use as zero
/// in their shares, so that all shares together are at most 1.25 times the rate.
const PUBLISHED_USE: f64 = 0.25;

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
        if host.turn_to(now, from) {
            for account in self.accounts.values_mut() {
                account.asks.retain(|ask| ask.host != from.name);
            }
        }
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
