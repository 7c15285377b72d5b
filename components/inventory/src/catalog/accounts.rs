//! Accounts of callers in the catalog, and the lookup of the account of a key.

use std::collections::HashMap;
use std::collections::HashSet;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::account::AccountEntry;
use crate::account::QuotaEntry;
use crate::account::QuotaUnit;
use crate::key::KeyDigest;

use super::InventoryCatalog;

new_key_type! {
    /// Key of an account. It stays the same as long as an account of this name is configured, and is
    /// not used for another account after that.
    pub struct AccountKey;
}

/// How much an account may use, over all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaRecord {
    /// What `rate` and `burst` count.
    pub unit: QuotaUnit,
    /// Units per second; above zero.
    pub rate: u64,
    /// Units that may be used at once after a pause; above zero.
    pub burst: u64,
    /// Tokens that a request counts as if it does not declare its tokens.
    pub undeclared: u64,
}

impl From<&QuotaEntry> for QuotaRecord {
    fn from(entry: &QuotaEntry) -> Self {
        let QuotaEntry { unit, rate, burst, undeclared } = *entry;
        Self { unit, rate, burst, undeclared }
    }
}

/// An account of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountRecord {
    /// Name, unique among accounts.
    pub name: String,
    /// Rank of its requests, in place of the rank of their route or class.
    pub rank: Option<u8>,
    /// How much it may use; `None` for no limit.
    pub quota: Option<QuotaRecord>,
}

/// Indexes of the accounts in [`InventoryCatalog::accounts`].
#[derive(Debug, Clone, Default)]
pub(super) struct AccountIndex {
    /// Exactly the keys of the accounts, by name.
    names: HashMap<String, AccountKey>,
    /// Account of each configured key; a key of several accounts belongs to the first of them.
    digests: HashMap<KeyDigest, AccountKey>,
}

impl AccountIndex {
    /// Replaces the accounts by `entries`; those of the same name keep their keys.
    pub(super) fn replace(
        &mut self,
        accounts: &mut SlotMap<AccountKey, AccountRecord>,
        entries: &[AccountEntry],
    ) {
        let kept: HashSet<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
        accounts.retain(|_, record| kept.contains(record.name.as_str()));
        self.names.retain(|name, _| kept.contains(name.as_str()));
        self.digests.clear();
        for entry in entries {
            let record = AccountRecord {
                name: entry.name.clone(),
                rank: entry.rank,
                quota: entry.quota.as_ref().map(QuotaRecord::from),
            };
            let key = match self.names.get(&entry.name) {
                Some(key) => {
                    accounts[*key] = record;
                    *key
                }
                None => accounts.insert(record),
            };
            self.names.insert(entry.name.clone(), key);
            for digest in &entry.keys {
                self.digests.entry(*digest).or_insert(key);
            }
        }
    }
}

impl InventoryCatalog {
    /// Whether requests need the key of an account, except on public routes.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty() || self.rules.keys_required
    }

    /// Account that a key identifies.
    pub fn account_of(&self, key: &KeyDigest) -> Option<AccountKey> {
        self.account_index.digests.get(key).copied()
    }

    /// Finds an account by its unique name.
    pub fn account_named(&self, name: &str) -> Option<AccountKey> {
        self.account_index.names.get(name).copied()
    }
}
