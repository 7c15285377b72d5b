//! How much of its share each account has used recently.
//!
//! This is start-time fair queueing with an allowance for bursts. Each account has a mark that advances with the
//! tokens of its dispatched requests, divided by what the account is due. The common mark follows the dispatched
//! requests at the distance of their accounts' bursts. An account whose mark is behind it begins at the common mark:
//! time in which it sent nothing earns it nothing but its burst. One whose mark is further ahead than its burst has
//! used more than its share recently, and comes after the others until they catch up. Without the burst, an account
//! of few requests would wait whenever some of them happen to come close together.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use wagtailledge_inventory::AccountKey;
use wagtailledge_inventory::InventoryCatalog;
use wagtailledge_inventory::catalog::AccountRecord;
use wagtailledge_inventory::document::QuotaUnit;

use super::record::RequestRecord;

/// Common mark from which on all marks are set back. The mark of an account that is due 1 grows by a token for each
/// used, and an `f64` has whole tokens up to 9e15.
const MAX_MARK: f64 = 1e12;
/// Smallest burst, in tokens: that of the largest requests, so that one of them alone is within it.
const MIN_BURST: u64 = 55_000;

/// What a request takes of its account's share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestShare {
    /// Tokens of prompt and answer; at least 1.
    pub tokens: u64,
    /// What the account is due, relative to other accounts; above zero.
    pub weight: f64,
    /// Tokens by which the account may be ahead of its share.
    pub burst: u64,
}

/// The share of a request. An account is due the rate and the burst of its quota in tokens. One without such a
/// quota is due the mean rate of those that have one, and if there are none, all accounts are due the same.
pub fn share_of(catalog: &InventoryCatalog, request: &RequestRecord) -> RequestShare {
    let quota =
        |record: &AccountRecord| record.quota.filter(|quota| quota.unit == QuotaUnit::Tokens);
    let rate = |record: &AccountRecord| quota(record).map(|quota| quota.rate as f64);
    let record = request.account.and_then(|account| catalog.accounts.get(account));
    let weight = record.and_then(rate).unwrap_or_else(|| {
        let rates = catalog.accounts.values().filter_map(rate);
        let (count, sum) = rates.fold((0.0, 0.0), |(count, sum), rate| (count + 1.0, sum + rate));
        if count > 0.0 { sum / count } else { 1.0 }
    });
    let declared = request
        .terms
        .as_ref()
        .map_or(0, |terms| u64::from(terms.prompt.input) + u64::from(terms.prompt.output));
    let undeclared = record.and_then(|record| record.quota).map_or(0, |quota| quota.undeclared);
    let tokens = if declared > 0 { declared } else { undeclared };
    let burst = record.and_then(quota).map_or(0, |quota| quota.burst).max(MIN_BURST);
    RequestShare { tokens: tokens.max(1), weight: weight.max(1.0), burst }
}

/// How far an account is ahead of its share; zero if it has used no more than that. Accounts with less of it are
/// served first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsedShare(f64);

impl Eq for UsedShare {}

impl Ord for UsedShare {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for UsedShare {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

#[derive(Debug, Clone, Copy)]
struct AccountUse {
    /// Mark of the account.
    mark: f64,
    /// Tokens of the waiting requests.
    waiting: u64,
    /// What the account is due, as its last request said.
    weight: f64,
    /// How far its mark may be ahead.
    allowance: f64,
}

/// Marks of the accounts whose requests wait, or that are ahead of their shares. Requests without an account share
/// an entry.
#[derive(Debug, Clone, Default)]
pub struct AccountShares {
    /// The common mark; never decreases except when all marks are set back.
    common: f64,
    uses: BTreeMap<Option<AccountKey>, AccountUse>,
}

impl AccountShares {
    /// Adds a waiting request.
    pub fn add_waiting(&mut self, account: Option<AccountKey>, share: RequestShare) {
        let entry = self.entry(account, share);
        entry.waiting = entry.waiting.saturating_add(share.tokens);
    }

    /// Removes a waiting request of `tokens`, which was not dispatched.
    pub fn remove_waiting(&mut self, account: Option<AccountKey>, tokens: u64) {
        if let Some(entry) = self.uses.get_mut(&account) {
            entry.waiting = entry.waiting.saturating_sub(tokens);
        }
        self.forget_account(account);
    }

    /// Counts `tokens` of a request, which is dispatched and waits no more, as used by its account.
    pub fn charge(&mut self, account: Option<AccountKey>, share: RequestShare) {
        let common = self.common;
        let entry = self.entry(account, share);
        let begin = entry.mark.max(common);
        entry.mark = begin + share.tokens as f64 / share.weight;
        self.common = common.max(begin - entry.allowance);
        self.forget_behind();
    }

    /// Entry of an account with the weight and burst of its latest request.
    fn entry(&mut self, account: Option<AccountKey>, share: RequestShare) -> &mut AccountUse {
        let RequestShare { weight, burst, .. } = share;
        let allowance = burst as f64 / weight;
        let unused = AccountUse { mark: self.common, waiting: 0, weight, allowance };
        let entry = self.uses.entry(account).or_insert(unused);
        (entry.weight, entry.allowance) = (weight, allowance);
        entry
    }

    /// How far the account is ahead of its share.
    pub fn used(&self, account: Option<AccountKey>) -> UsedShare {
        UsedShare(self.uses.get(&account).map_or(0.0, |entry| self.lead(entry)))
    }

    /// How far the account would be ahead of its share if all its waiting requests were dispatched now.
    pub fn used_with_waiting(&self, account: Option<AccountKey>) -> UsedShare {
        let total = |entry: &AccountUse| self.lead(entry) + entry.waiting as f64 / entry.weight;
        UsedShare(self.uses.get(&account).map_or(0.0, total))
    }

    /// Number of accounts with an entry.
    pub fn len(&self) -> usize {
        self.uses.len()
    }

    /// Whether no account has an entry.
    pub fn is_empty(&self) -> bool {
        self.uses.is_empty()
    }

    fn lead(&self, entry: &AccountUse) -> f64 {
        (entry.mark - entry.allowance - self.common).max(0.0)
    }

    /// Removes the entry of an account that begins at the common mark anyway.
    fn forget_account(&mut self, account: Option<AccountKey>) {
        let common = self.common;
        if self.uses.get(&account).is_some_and(|entry| entry.waiting == 0 && entry.mark <= common) {
            self.uses.remove(&account);
        }
    }

    /// Removes the entries of accounts that begin at the common mark anyway, and sets marks back that are large.
    fn forget_behind(&mut self) {
        let common = self.common;
        self.uses.retain(|_, entry| entry.waiting > 0 || entry.mark > common);
        if common > MAX_MARK {
            self.common = 0.0;
            for entry in self.uses.values_mut() {
                entry.mark = (entry.mark - common).max(0.0);
            }
        }
    }
}
