//! The host's side: what it admits itself, what it asks its leader for, and what it reports.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::request::RequestKey;
use crate::time::Moment;

use super::account::AccountUse;
use super::account::QuotaDecision;
use super::account::QuotaQuery;
use super::message::QuotaAnswer;
use super::message::QuotaAskRow;
use super::message::QuotaReport;
use super::message::QuotaTable;
use super::message::QuotaUseRow;
use super::message::QuotaVerdict;

/// Interval at which unanswered requests are repeated; longer than an answer usually takes.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Time without an answer after which the leader counts as lost. Two repeats are sent before.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which the answer to a request that has ended is awaited, to return its tokens.
const ABANDONED_TIME: Duration = Duration::from_secs(2);
/// Time by which the leader has to answer before the request can wait no longer: a round trip and a tick.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);

/// What the quota of its account means for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum QuotaStanding {
    /// Its account has no quota.
    #[default]
    Free,
    /// The leader was asked; the number of the question.
    Asked(u64),
    /// It was admitted, and this many tokens were taken for it.
    Admitted(u64),
}

/// A question that was settled: the request, and whether it may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResolvedAsk {
    /// Key of the request.
    pub request: RequestKey,
    /// Tokens of the request.
    pub cost: u64,
    /// The decision; never [`QuotaDecision::Ask`].
    pub decision: QuotaDecision,
}

/// A question to the leader.
#[derive(Debug, Clone)]
struct PendingAsk {
    account: String,
    cost: u64,
    rank: u8,
    /// The request; `None` if it has ended or was decided without the leader.
    request: Option<RequestKey>,
    asked_at: Moment,
    /// When the question was asked, or the leader last said that it waits there.
    heard_at: Moment,
    /// When the question was last sent.
    sent_at: Option<Moment>,
    /// Until when the request can wait.
    hold_until: Moment,
}

/// What this host has admitted of the quotas of accounts, and its questions to the leader.
#[derive(Debug, Clone, Default)]
pub struct QuotaLedger {
    accounts: BTreeMap<String, AccountUse>,
    asks: BTreeMap<u64, PendingAsk>,
    last_ask: u64,
    last_report: u64,
    /// Epoch of the leader that the totals refer to; `None` before the first one.
    leader: Option<u64>,
    /// Whether that leader said last that it answers questions.
    leader_grants: bool,
    /// Whether it has left a question unanswered since it was last heard.
    is_leader_lost: bool,
}

impl QuotaLedger {
    /// Creates a state without use. Questions are numbered from `first_ask`, which must differ from the numbers
    /// of the host's earlier processes, as their answers may arrive here.
    pub fn new(first_ask: u64) -> Self {
        Self { last_ask: first_ask, ..Self::default() }
    }

    /// Whether this host decides alone, because no leader answers.
    pub fn is_alone(&self) -> bool {
        !self.leader_grants || self.is_leader_lost
    }

    fn account(&mut self, now: Moment, name: &str) -> &mut AccountUse {
        if !self.accounts.contains_key(name) {
            // A leader publishes only the accounts that are not open.
            self.accounts.insert(name.to_owned(), AccountUse::new(now, !self.leader_grants));
        }
        self.accounts.get_mut(name).expect("inserted above")
    }

    /// Decides about a request as far as this host can without its leader.
    pub fn admit(&mut self, now: Moment, query: &QuotaQuery<'_>) -> QuotaDecision {
        let is_alone = self.is_alone();
        let account = self.account(now, query.account);
        if is_alone { account.admit_alone(now, query) } else { account.admit_open(now, query) }
    }

    /// Asks the leader about a request that can wait until `hold_until`. Returns the number of the question.
    pub fn ask(
        &mut self,
        now: Moment,
        query: &QuotaQuery<'_>,
        rank: u8,
        hold_until: Moment,
        request: RequestKey,
    ) -> u64 {
        self.last_ask = self.last_ask.wrapping_add(1);
        let account = query.account.to_owned();
        let (cost, request) = (query.cost, Some(request));
        let ask = PendingAsk {
            account,
            cost,
            rank,
            request,
            asked_at: now,
            heard_at: now,
            sent_at: None,
            hold_until,
        };
        self.asks.insert(self.last_ask, ask);
        self.last_ask
    }

    /// Records that a request that was admitted is sent to an upstream for the first time.
    pub fn record_sent(&mut self, account: &str, cost: u64) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.waiting = account.waiting.saturating_sub(cost);
        }
    }

    /// Charges another run of a request that may have run before.
    pub fn record_repeat(&mut self, now: Moment, account: &str, cost: u64) {
        let account = self.account(now, account);
        account.record_use(now, cost);
        account.level.take(cost as f64, -(cost as f64));
    }

    /// Returns the tokens of an admitted request that never ran. `was_sent` is set if it was sent and an
    /// upstream turned it away.
    pub fn return_tokens(&mut self, now: Moment, account: &str, cost: u64, was_sent: bool) {
        if !was_sent {
            self.record_sent(account, cost);
        }
        self.return_granted(now, account, cost);
    }

    fn return_granted(&mut self, now: Moment, account: &str, cost: u64) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.return_tokens(now, cost);
        }
    }

    /// Ends a question whose request has ended. Tokens that are granted for it later come back.
    pub fn abandon(&mut self, id: u64) {
        let was_sent = self.asks.get_mut(&id).map(|ask| {
            ask.request = None;
            ask.sent_at.is_some()
        });
        if was_sent == Some(false) {
            self.asks.remove(&id);
        }
    }

    /// Applies the leader's answers. Returns the requests that are decided.
    pub fn apply_answer(&mut self, now: Moment, answer: &QuotaAnswer) -> Vec<ResolvedAsk> {
        if self.leader != Some(answer.epoch) {
            return Vec::new();
        }
        self.is_leader_lost = false;
        for (name, use_rate) in &answer.use_rates {
            self.account(now, name).record_total_use(*use_rate as f64);
        }
        let mut resolved = Vec::new();
        for (id, verdict) in &answer.verdicts {
            let decision = match verdict {
                QuotaVerdict::Granted => QuotaDecision::Admitted,
                QuotaVerdict::Refused(wait) => QuotaDecision::Refused(Duration::from_millis(*wait)),
                QuotaVerdict::Queued => {
                    if let Some(ask) = self.asks.get_mut(id) {
                        ask.heard_at = now;
                    }
                    continue;
                }
            };
            // A repeated answer finds no question.
            let Some(ask) = self.asks.remove(id) else {
                continue;
            };
            match (ask.request, decision) {
                (Some(request), _) => {
                    if decision == QuotaDecision::Admitted {
                        let account = self.account(now, &ask.account);
                        account.use_rate.add(now, ask.cost as f64);
                        account.waiting += ask.cost;
                    }
                    resolved.push(ResolvedAsk { request, cost: ask.cost, decision });
                }
                (None, QuotaDecision::Admitted) => self.return_granted(now, &ask.account, ask.cost),
                (None, _) => {}
            }
        }
        resolved
    }

    /// Takes the questions that the leader has not answered in time: the request, its account and its
    /// cost. The caller decides about them with [`QuotaLedger::decide_overdue`].
    pub fn take_overdue(&mut self, now: Moment) -> Vec<(RequestKey, String, u64)> {
        let is_unheard = |ask: &PendingAsk| {
            let was_sent = ask.request.is_some() && ask.sent_at.is_some();
            was_sent && now.since(ask.heard_at) >= ANSWER_TIMEOUT
        };
        self.is_leader_lost |= self.asks.values().any(is_unheard);
        let is_alone = self.is_alone();
        let mut overdue = Vec::new();
        for ask in self.asks.values_mut().filter(|ask| is_alone || now >= ask.hold_until) {
            if let Some(request) = ask.request.take() {
                overdue.push((request, ask.account.clone(), ask.cost));
            }
        }
        self.asks.retain(|_, ask| ask.request.is_some() || ask.sent_at.is_some());
        overdue
    }

    /// Decides about a request that the leader has not answered in time.
    pub fn decide_overdue(&mut self, now: Moment, query: &QuotaQuery<'_>) -> QuotaDecision {
        self.account(now, query.account).admit_alone(now, query)
    }

    /// Records that a leader's notice has arrived, with the states that it publishes.
    pub fn apply_table(&mut self, now: Moment, epoch: u64, table: &QuotaTable) {
        self.leader_grants = table.grants;
        if !table.grants {
            return;
        }
        if self.leader != Some(epoch) {
            self.leader = Some(epoch);
            self.leader_replaced(now);
        }
        self.is_leader_lost = false;
        for row in &table.rows {
            self.account(now, &row.account);
        }
        for (name, account) in &mut self.accounts {
            let row = table.rows.iter().find(|row| row.account == *name);
            let metered = row.is_some_and(|row| row.metered);
            account.apply_state(now, metered, row.map_or(0.0, |row| row.use_rate as f64));
        }
    }

    /// Begins new totals, as the leader has changed.
    fn leader_replaced(&mut self, now: Moment) {
        for account in self.accounts.values_mut() {
            account.reset_totals(now);
        }
        self.asks.retain(|_, ask| ask.request.is_some());
        for ask in self.asks.values_mut() {
            (ask.sent_at, ask.heard_at) = (None, now);
        }
    }

    /// Records a notice of the leader of this term without states: it lives, or it is a new one that does
    /// not answer yet.
    pub fn hear_leader(&mut self, epoch: u64) {
        self.leader_grants &= self.leader == Some(epoch);
        self.is_leader_lost &= self.leader != Some(epoch);
    }

    /// Records that this host follows no leader that answers.
    pub fn forget_leader(&mut self) {
        self.leader_grants = false;
    }

    /// Empties the host's own buckets, because this process was frozen. Without it, they would hold what
    /// others have used meanwhile.
    pub fn resume(&mut self, now: Moment) {
        for account in self.accounts.values_mut() {
            account.level.drain(now);
        }
    }

    /// Whether questions are to be sent, or repeated.
    pub fn has_due_asks(&self, now: Moment) -> bool {
        !self.is_alone() && self.asks.values().any(|ask| is_due(now, ask))
    }

    /// Whether there is use that the leader may not know.
    pub fn has_news(&self, now: Moment) -> bool {
        self.leader_grants && self.accounts.values().any(|account| account.has_changed(now))
    }

    /// Builds the next report; with the questions that are due if `with_asks` is set.
    pub fn report(&mut self, now: Moment, with_asks: bool) -> QuotaReport {
        let Some(epoch) = self.leader else {
            return QuotaReport::default();
        };
        let row = |(name, account): (&String, &AccountUse)| {
            account.has_changed(now).then(|| QuotaUseRow {
                account: name.clone(),
                used: account.used,
                returned: account.returned,
                waiting: account.waiting,
            })
        };
        let rows: Vec<QuotaUseRow> = self.accounts.iter().filter_map(row).collect();
        let mut asks = Vec::new();
        for (id, ask) in self.asks.iter_mut().filter(|(_, ask)| with_asks && is_due(now, ask)) {
            ask.sent_at = Some(now);
            asks.push(QuotaAskRow {
                id: *id,
                account: ask.account.clone(),
                cost: ask.cost,
                rank: ask.rank,
                hold_ms: ask.hold_until.before(ANSWER_MARGIN).since(now).as_millis() as u64,
            });
        }
        if rows.is_empty() && asks.is_empty() {
            return QuotaReport::default();
        }
        self.last_report += 1;
        QuotaReport { epoch, number: self.last_report, rows, asks }
    }

    /// Forgets questions whose answers are not awaited any more, and accounts for which `exists` is false.
    pub fn sweep(&mut self, now: Moment, exists: impl Fn(&str) -> bool) {
        self.asks
            .retain(|_, ask| ask.request.is_some() || now.since(ask.asked_at) < ABANDONED_TIME);
        self.accounts.retain(|name, _| exists(name));
    }

    /// Names of the accounts of which every request needs the leader.
    pub fn metered(&self) -> impl Iterator<Item = &str> + '_ {
        let metered = self.accounts.iter().filter(|(_, account)| account.metered);
        metered.map(|(name, _)| name.as_str())
    }
}

fn is_due(now: Moment, ask: &PendingAsk) -> bool {
    let is_due = ask.sent_at.is_none_or(|sent| now.since(sent) >= REPEAT_INTERVAL);
    ask.request.is_some() && is_due
}
