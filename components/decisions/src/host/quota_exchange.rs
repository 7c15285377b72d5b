//! Quotas of accounts: reports and questions to the leader of the scope, and its answers.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailledge_inventory::account::QuotaUnit;
use wagtailledge_inventory::catalog::QuotaRecord;
use xxhash_rust::xxh3::xxh3_64;

use crate::effect::DecisionKind;
use crate::effect::DecisionRecord;
use crate::effect::HostEffect;
use crate::identity::HostIdentity;
use crate::message::PeerMessage;
use crate::quota::QuotaAllocator;
use crate::quota::QuotaAnswer;
use crate::quota::QuotaChange;
use crate::quota::QuotaDecision;
use crate::quota::QuotaLedger;
use crate::quota::QuotaLimit;
use crate::quota::QuotaQuery;
use crate::quota::QuotaReport;
use crate::quota::QuotaTable;
use crate::time::Moment;

use super::peer_sync::PeerSync;
use super::state::HostReducer;

/// Tokens that an account's bucket holds besides the burst: three long prompts. Without it, an account
/// whose burst is a few prompts is refused some that arrive together. Part of the bound's allowance.
const TOKEN_HEADROOM: u64 = 30_000;
/// The same for accounts whose quota counts requests.
const REQUEST_HEADROOM: u64 = 4;
/// Interval at which hosts, scopes and quotas are counted again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Number of hosts that a host counts with while it knows none: more than the largest scope has.
const UNKNOWN_HOSTS: usize = 2_000;
/// Interval at which a leader looks at its buckets without a request of a host.
const LEADER_INTERVAL: Duration = Duration::from_millis(50);
/// The same while requests wait for tokens; a tick.
const GRANT_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which a leader repeats the published states to a host: a lost notice costs little, as hosts
/// ask for what their own buckets do not cover.
const TABLE_INTERVAL: Duration = Duration::from_secs(2);
/// What a host knows of quotas.
#[derive(Debug, Clone, Default)]
pub(super) struct HostQuotas {
    pub(super) ledger: QuotaLedger,
    /// Buckets of all accounts; present while this process leads.
    allocator: Option<QuotaAllocator>,
    /// Quotas of this scope by the names of the accounts.
    limits: BTreeMap<String, QuotaLimit>,
    /// Number of hosts of the scope, and this host's position among them, from 0 to below 1.
    hosts: usize,
    position: f64,
    next_refresh: Moment,
    next_leader_check: Moment,
    /// If this host leads: number of changes of the published states.
    version: u64,
}

impl HostQuotas {
    /// Creates a state without accounts; `first_ask` as for [`QuotaLedger::new`].
    pub(super) fn new(first_ask: u64) -> Self {
        Self { ledger: QuotaLedger::new(first_ask), ..Self::default() }
    }

    /// What is asked about a request of the account; `None` if that has no quota here.
    pub(super) fn query<'a>(&self, account: &'a str, cost: u64) -> Option<QuotaQuery<'a>> {
        let limit = *self.limits.get(account)?;
        Some(self.query_of(account, limit, cost))
    }

    fn query_of<'a>(&self, account: &'a str, limit: QuotaLimit, cost: u64) -> QuotaQuery<'a> {
        // Each account has the hosts in another order.
        let offset = xxh3_64(account.as_bytes()) as f64 / u64::MAX as f64;
        let position = (self.position + offset).fract();
        QuotaQuery { account, limit, cost, hosts: self.hosts.max(1), position }
    }

    /// Forgets what may have changed while this process was frozen.
    pub(super) fn resume(&mut self, now: Moment) {
        self.ledger.resume(now);
        if let Some(allocator) = &mut self.allocator {
            allocator.resume(now);
        }
    }

    /// Whether the next notice to a host of the scope is to contain the states of accounts; records that
    /// it does.
    pub(super) fn record_table_sent(
        &self,
        now: Moment,
        has_authority: bool,
        sync: &mut PeerSync,
    ) -> bool {
        let (sent, at) = sync.quotas_sent;
        let is_due = sent != self.version || now.since(at) >= TABLE_INTERVAL;
        let is_sent = is_due && has_authority && !self.limits.is_empty();
        if is_sent {
            sync.quotas_sent = (self.version, now);
        }
        is_sent
    }

    /// Names of the accounts that are metered, as far as this host knows.
    pub(super) fn metered(&self) -> Vec<String> {
        self.ledger.metered().map(str::to_owned).collect()
    }
}

impl HostReducer {
    /// Counts the hosts of the scope, and works out this scope's part of the quotas.
    pub(super) fn refresh_quotas(&mut self, now: Moment) {
        self.quotas.next_refresh = now.after(REFRESH_INTERVAL);
        let scopes = self.catalog.scopes.len();
        let limit = |quota: &QuotaRecord| {
            let headroom = match quota.unit {
                QuotaUnit::Tokens => TOKEN_HEADROOM,
                QuotaUnit::Requests => REQUEST_HEADROOM,
            };
            QuotaLimit::new(quota.rate, quota.burst, headroom, scopes)
        };
        let accounts = self.catalog.accounts.values();
        let limits: BTreeMap<String, QuotaLimit> = accounts
            .filter_map(|account| Some((account.name.clone(), limit(account.quota.as_ref()?))))
            .collect();
        if limits != self.quotas.limits {
            self.quotas.limits = limits;
            if let Some(allocator) = &mut self.quotas.allocator {
                allocator.set_limits(now, &self.quotas.limits);
            }
        }
        if self.quotas.limits.is_empty() {
            return;
        }
        let limits = &self.quotas.limits;
        self.quotas.ledger.sweep(now, |name| limits.contains_key(name));
        let hash = |name: &str| xxh3_64(name.as_bytes());
        let own = hash(&self.me.name);
        let names = || self.members.in_scope(&self.me.scope, &self.me.name);
        let before = names().filter(|other| hash(&other.name) < own).count();
        // At its start a host may know no other one, and must not take the whole rate for its share.
        let listed = self.host_count().map_or(UNKNOWN_HOSTS, |hosts| hosts / scopes.max(1));
        self.quotas.hosts = listed.max(names().count() + 1);
        self.quotas.position = before as f64 / self.quotas.hosts as f64;
        if let Some(allocator) = &mut self.quotas.allocator {
            allocator.add_hosts(now, names().map(|identity| identity.name.as_str()));
        }
    }

    /// Starts or ends answering questions, after this process acquired or lost the lease.
    pub(super) fn quota_leadership_changed(&mut self, now: Moment, leads: bool) {
        let members = self.members.in_scope(&self.me.scope, &self.me.name);
        let names = members.map(|identity| identity.name.as_str());
        let allocator = leads.then(|| QuotaAllocator::new(now, &self.quotas.limits, names));
        self.quotas.allocator = allocator;
        self.quotas.version += 1;
        self.quotas.next_leader_check = now;
    }

    /// Exchanges questions, answers and decisions that are due.
    pub(super) fn exchange_quotas(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        if now >= self.quotas.next_refresh {
            self.refresh_quotas(now);
        }
        if self.quotas.limits.is_empty() {
            return;
        }
        if self.placement.is_some() {
            self.answer_quota_questions(now, effects);
        } else if let Some(leader) = self.leader.clone() {
            if self.quotas.ledger.has_due_asks(now) {
                let report = self.quotas.ledger.report(now, true);
                effects.push(HostEffect::send(leader.identity, PeerMessage::QuotaAsk(report)));
            }
        } else {
            self.quotas.ledger.forget_leader();
        }
        for (key, account, cost) in self.quotas.ledger.take_overdue(now) {
            let Some(limit) = self.quotas.limits.get(&account).copied() else {
                // The quota was removed.
                self.quota_decided(now, key, cost, QuotaDecision::Admitted, effects);
                continue;
            };
            let query = self.quotas.query_of(&account, limit, cost);
            let decision = self.quotas.ledger.decide_overdue(now, &query);
            self.quota_decided(now, key, cost, decision, effects);
        }
    }

    /// Answers the questions of all hosts, this one's included, while this process leads.
    fn answer_quota_questions(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let is_check_due = now >= self.quotas.next_leader_check;
        let asks = self.quotas.ledger.has_due_asks(now);
        let epoch = self.placement.as_ref().map_or(0, |placement| placement.epoch);
        let has_authority = self.lease.authority(now).is_some();
        let Some(allocator) = &mut self.quotas.allocator else {
            return;
        };
        if is_check_due || asks {
            let report = self.quotas.ledger.report(now, true);
            // Totals of the term of another leader mean nothing here.
            let report = if report.epoch == epoch { report } else { QuotaReport::default() };
            allocator.report(now, &self.me, &report);
        }
        if !has_authority || !(is_check_due || allocator.has_new_questions()) {
            if is_check_due {
                self.quotas.ledger.forget_leader();
            }
            return;
        }
        let answers = allocator.decide(now, epoch);
        let changes = allocator.update_states(now);
        let pause = if allocator.has_waiting() { GRANT_INTERVAL } else { LEADER_INTERVAL };
        self.quotas.next_leader_check = now.after(pause);
        if is_check_due || !changes.is_empty() {
            let table = allocator.table(now, true);
            self.quotas.ledger.apply_table(now, epoch, &table);
        }
        if !changes.is_empty() {
            self.quotas.version += 1;
            self.notices_due = true;
            for sync in self.member_syncs.values_mut() {
                sync.dirty = true;
            }
        }
        for change in changes {
            log_change(change, effects);
        }
        for (to, answer) in answers {
            if to == self.me {
                self.apply_quota_answer(now, &answer, effects);
            } else {
                effects.push(HostEffect::send(to, PeerMessage::QuotaAnswer(answer)));
            }
        }
    }

    fn apply_quota_answer(
        &mut self,
        now: Moment,
        answer: &QuotaAnswer,
        effects: &mut Vec<HostEffect>,
    ) {
        for ask in self.quotas.ledger.apply_answer(now, answer) {
            self.quota_decided(now, ask.request, ask.cost, ask.decision, effects);
        }
    }

    /// Applies answers of this host's leader.
    pub(super) fn handle_quota_answer(
        &mut self,
        now: Moment,
        from: &HostIdentity,
        answer: &QuotaAnswer,
        effects: &mut Vec<HostEffect>,
    ) {
        if self.leader.as_ref().is_some_and(|leader| leader.identity == *from) {
            self.apply_quota_answer(now, answer, effects);
        }
    }

    /// Records what a host of this scope reports to this leader's term `epoch`, if this host leads. Any
    /// report shows that the host is heard.
    pub(super) fn handle_quota_report(
        &mut self,
        now: Moment,
        from: &HostIdentity,
        epoch: u64,
        report: &QuotaReport,
    ) {
        let is_current = self.placement.as_ref().is_some_and(|placement| placement.epoch == epoch);
        let is_own_scope = from.scope == self.me.scope && !self.quotas.limits.is_empty();
        if let Some(allocator) = &mut self.quotas.allocator
            && is_current
            && is_own_scope
        {
            allocator.report(now, from, report);
        }
    }

    /// The states of accounts that this host publishes if it leads.
    pub(super) fn quota_table(&self, now: Moment) -> QuotaTable {
        let allocator = self.quotas.allocator.as_ref();
        allocator.map_or_else(QuotaTable::default, |allocator| allocator.table(now, true))
    }

    /// Applies what this host's leader publishes about quotas in its term `epoch`.
    pub(super) fn apply_quota_table(&mut self, now: Moment, epoch: u64, table: &QuotaTable) {
        if table.is_empty() {
            self.quotas.ledger.hear_leader(epoch);
        } else if !self.quotas.limits.is_empty() {
            self.quotas.ledger.apply_table(now, epoch, table);
        }
    }
}

fn log_change(change: QuotaChange, effects: &mut Vec<HostEffect>) {
    let QuotaChange { account, metered, level, rate, use_rate } = change;
    effects.push(HostEffect::LogDecision(DecisionRecord {
        kind: DecisionKind::Quota,
        ticket: None,
        subject: account,
        choice: if metered { "metered" } else { "open" }.to_owned(),
        reason: if metered { "level below its share of the burst" } else { "level recovered" },
        alternatives: 0,
        inputs: format!("level {level}, rate {rate}, use {use_rate}"),
    }));
}
