//! Accounts with quotas, the load of their callers, and the tokens that reach upstreams.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use wagtailledge_decisions::request::CallerRequest;
use wagtailledge_decisions::request::PromptShape;
use wagtailledge_decisions::request::RequestRepeat;
use wagtailledge_decisions::request::RequestTarget;
use wagtailledge_decisions::request::RequestTicket;
use wagtailledge_decisions::request::RouteTerms;
use wagtailledge_inventory::account::AccountEntry;
use wagtailledge_inventory::account::QuotaEntry;
use wagtailledge_inventory::account::QuotaUnit;

use super::event_queue::DispatchedCall;
use super::event_queue::ScheduledEvent;
use super::inventory::ASSETS;
use super::inventory::FULL_EDIT;
use super::inventory::ZONES;
use super::state::FuzzWorld;

/// Window of the bound (`quotaWindowS`), in microseconds.
const WINDOW: u64 = 8_000_000;
/// Part of rate and burst by which the bound may be passed (`quotaOverrun`), in percent.
const OVERRUN_PERCENT: u64 = 10;
/// Tokens by which it may be passed besides (`quotaAllowance`).
const ALLOWANCE: u64 = 110_000;
/// Time after a commit by which hosts have a lowered quota (`configApplyMs`), in microseconds.
const APPLY_TIME: u64 = 3_000_000;
/// Rates of the accounts, in tokens a second; the burst is one second of it.
const RATES: [u64; 3] = [400_000, 200_000, 100_000];
/// Tokens of the requests: short, long and a few very long ones.
const COSTS: [u64; 8] = [800, 800, 800, 9_000, 9_000, 9_000, 9_000, 30_000];
/// Usual use of an account, in thousandths of its rate.
const USUAL_LOAD: u64 = 555;
/// Use of a hot account as a multiple of the usual one, in tenths.
const HOT_TENTHS: u64 = 75;
/// Time until the load begins, so that leaders and quotas are there, in microseconds.
const CALM_TIME: u64 = 2_000_000;
/// Longest time that a request may take, and its objective.
const DEADLINE: Duration = Duration::from_secs(5);
const OBJECTIVE: Duration = Duration::from_millis(2_500);

/// Account whose callers send requests all the time.
#[derive(Debug, Default)]
pub struct LoadedAccount {
    rate: u64,
    /// Earlier rates, each with the time from which it is not allowed any more.
    earlier: VecDeque<(u64, u64)>,
    /// Load in thousandths of the first rate.
    load: u64,
    /// Time and tokens of the requests of the last window that ran.
    runs: VecDeque<(u64, u64)>,
    /// Level of an ideal bucket for each scope, from which every run is taken, and when it was computed.
    ideal: BTreeMap<usize, (f64, u64)>,
    outcomes: AccountOutcomes,
}

/// What became of the requests of an account.
#[derive(Debug, Clone, Copy, Default)]
pub struct AccountOutcomes {
    /// Runs at upstreams.
    pub runs: u64,
    /// Requests that were refused because of the quota.
    pub refused: u64,
    /// Requests that fitted into the ideal bucket of their scope when they arrived.
    pub within: u64,
    /// Those of them that were refused because of the quota.
    pub refused_within: u64,
}

impl LoadedAccount {
    /// Level of an ideal bucket with a fourth of the quota, that of one scope, and its burst.
    fn ideal_level(&mut self, now: u64, scope: usize) -> (&mut f64, f64) {
        let rate = self.rate as f64 / ZONES.len() as f64;
        let (level, at) = self.ideal.entry(scope).or_insert((rate, now));
        *level = (*level + (now - *at) as f64 * rate / 1e6).min(rate);
        *at = now;
        (level, rate)
    }
}

/// Accounts with load.
#[derive(Debug, Default)]
pub struct QuotaLoad {
    pub accounts: Vec<LoadedAccount>,
    /// Account and tokens of each call, and whether it is within the limit.
    calls: BTreeMap<u64, (usize, u64, bool)>,
    /// Number of host slots that get requests; all if 0.
    pub busy_slots: usize,
    stopped: bool,
}

/// Name of an account.
fn account_name(account: usize) -> String {
    format!("account-{account}")
}

impl QuotaLoad {
    /// Accounts of the inventory.
    pub fn entries(&self) -> Vec<AccountEntry> {
        let entry = |(place, account): (usize, &LoadedAccount)| AccountEntry {
            name: account_name(place),
            keys: Vec::new(),
            rank: None,
            quota: Some(QuotaEntry {
                unit: QuotaUnit::Tokens,
                rate: account.rate,
                burst: account.rate,
                undeclared: 5_000,
            }),
        };
        self.accounts.iter().enumerate().map(entry).collect()
    }
}

impl FuzzWorld {
    /// Adds accounts whose callers send requests from now on; the account with the number `hot`, modulo four, sends
    /// 7.5 times its usual use.
    pub fn start_quota_load(&mut self, hot: usize) {
        for (place, rate) in RATES.into_iter().enumerate() {
            let load = if place == hot % 4 { USUAL_LOAD * HOT_TENTHS / 10 } else { USUAL_LOAD };
            self.quotas.accounts.push(LoadedAccount { rate, load, ..LoadedAccount::default() });
            self.schedule_after(CALM_TIME, ScheduledEvent::QuotaCall(place));
        }
        self.edit(FULL_EDIT);
    }

    /// Ends the load.
    pub fn stop_quota_load(&mut self) {
        self.quotas.stopped = true;
    }

    /// Sets the use of an account, in thousandths of its first rate.
    pub fn set_account_load(&mut self, account: usize, load: u64) {
        self.quotas.accounts[account].load = load;
    }

    /// Sets the rate of an account, for the next edit.
    pub fn set_account_rate(&mut self, account: usize, rate: u64) {
        let until = self.now + APPLY_TIME;
        let account = &mut self.quotas.accounts[account];
        account.earlier.push_back((account.rate, until));
        account.rate = rate;
    }

    /// What became of the requests of an account so far.
    pub fn account_outcomes(&self, account: usize) -> AccountOutcomes {
        self.quotas.accounts[account].outcomes
    }

    /// A request of an account arrives at some host, and the next one is scheduled.
    pub(super) fn send_quota_call(&mut self, account: usize) {
        if self.quotas.stopped {
            return;
        }
        let mean: u64 = COSTS.iter().sum::<u64>() / COSTS.len() as u64;
        let tokens = RATES[account] * self.quotas.accounts[account].load / 1_000;
        let pause = mean * 1_000_000 / tokens.max(1);
        let next = self.rng.random_range(0..=2 * pause);
        self.schedule_after(next, ScheduledEvent::QuotaCall(account));
        let busy = match self.quotas.busy_slots {
            0 => self.slots.len(),
            busy => busy,
        };
        let slot = self.rng.random_range(0..busy);
        let cost = COSTS[self.rng.random_range(0..COSTS.len())];
        let asset = self.rng.random_range(0..ASSETS.len());
        self.request_for_account(slot, asset, account, cost);
    }

    fn request_for_account(&mut self, slot: usize, asset: usize, account: usize, cost: u64) {
        if self.accepting_process(slot).is_none() {
            return;
        }
        let Some(process) = self.slots[slot].process.as_ref() else {
            return;
        };
        let Some(target) = process.reducer.resolve_model(ASSETS[asset]) else {
            return;
        };
        let RequestTarget::Asset(key) = target else {
            return;
        };
        let catalog = process.reducer.catalog();
        let account_key = catalog.account_named(&account_name(account));
        let call = self.last_call + 1;
        let expected = format!("{call} {}", catalog.assets[key].name);
        let prompt = PromptShape { parts: Vec::new(), input: cost as u32, output: 0 };
        let terms = RouteTerms {
            rank: 1,
            attempts: 2,
            objective: OBJECTIVE,
            streaming: false,
            resumable: false,
            sticky: false,
            prompt,
            stream_id: None,
            resumes: None,
        };
        let request = CallerRequest {
            ticket: RequestTicket(call),
            target,
            repeat: RequestRepeat::Idempotent,
            deadline: Some(DEADLINE),
            caller: call,
            account: account_key,
            terms: Some(terms),
        };
        let scope = self.zone_of_slot(slot);
        let loaded = &mut self.quotas.accounts[account];
        let (level, burst) = loaded.ideal_level(self.now, scope);
        let is_within = *level >= (cost as f64).min(burst);
        loaded.outcomes.within += u64::from(is_within);
        self.quotas.calls.insert(call, (account, cost, is_within));
        self.submit_request(slot, request, expected, None);
    }

    /// Records that a call was refused because of its quota.
    pub(super) fn record_quota_refusal(&mut self, call: u64) {
        if let Some((account, _, is_within)) = self.quotas.calls.get(&call) {
            let outcomes = &mut self.quotas.accounts[*account].outcomes;
            outcomes.refused += 1;
            outcomes.refused_within += u64::from(*is_within);
        }
    }

    /// Counts the tokens of a call that runs, and checks the bound of its account.
    pub(super) fn record_quota_run(&mut self, call: &DispatchedCall) {
        let Some((account, cost, _)) = self.quotas.calls.get(&call.ticket.0).copied() else {
            return;
        };
        let now = self.now;
        let scope = self.zone_of_slot(call.from.slot);
        let loaded = &mut self.quotas.accounts[account];
        *loaded.ideal_level(now, scope).0 -= cost as f64;
        loaded.outcomes.runs += 1;
        loaded.runs.push_back((now, cost));
        while loaded.runs.front().is_some_and(|(at, _)| at + WINDOW <= now) {
            loaded.runs.pop_front();
        }
        while loaded.earlier.front().is_some_and(|(_, until)| until + WINDOW <= now) {
            loaded.earlier.pop_front();
        }
        let highest = loaded.earlier.iter().map(|(rate, _)| *rate).fold(loaded.rate, Ord::max);
        let allowed = highest * (WINDOW / 1_000_000 + 1);
        let allowed = allowed + allowed * OVERRUN_PERCENT / 100 + ALLOWANCE;
        let used: u64 = loaded.runs.iter().map(|(_, cost)| cost).sum();
        if used > allowed {
            let detail = format!("account {account} ran {used} tokens in 8 s, allowed {allowed}");
            self.oracle.report_violation("quota", &detail);
        }
    }
}
