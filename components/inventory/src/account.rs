//! Accounts of callers, as operators declare them.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::Error;

use crate::key::KeyDigest;

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaUnit {
    /// Tokens of prompts and answers, as requests declare them.
    Tokens,
    /// Requests.
    #[default]
    Requests,
}

/// How much an account may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaEntry {
    /// What `rate` and `burst` count.
    pub unit: QuotaUnit,
    /// Units per second; above zero.
    pub rate: u64,
    /// Units that may be used at once after a pause; above zero.
    pub burst: u64,
    /// Tokens that a request counts as if it does not declare its tokens.
    pub undeclared: u64,
}

/// One account of callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "AccountFields", into = "AccountFields")]
pub struct AccountEntry {
    /// Name, unique among accounts.
    pub name: String,
    /// Digests of the keys that identify the account; each belongs to one account only.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests, in place of the rank of their route or class.
    pub rank: Option<u8>,
    /// How much it may use; `None` for no limit.
    pub quota: Option<QuotaEntry>,
}

/// An account in its written form, in which the quota is not a table of its own.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct AccountFields {
    name: String,
    #[serde(deserialize_with = "read_digests")]
    keys: Vec<KeyDigest>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    rank: Option<u8>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    unit: Option<QuotaUnit>,
    #[serde(default, skip_serializing_if = "is_zero")]
    rate: u64,
    #[serde(default, skip_serializing_if = "is_zero")]
    burst: u64,
    #[serde(default, skip_serializing_if = "is_zero")]
    undeclared: u64,
}

/// Reads the keys. An error does not repeat what it finds there, as that may be a key.
fn read_digests<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<KeyDigest>, D::Error> {
    let problem = "keys must be a list of SHA-256 digests, each in 64 hexadecimal digits";
    Vec::deserialize(deserializer).map_err(|_found| D::Error::custom(problem))
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(value: &u64) -> bool {
    *value == 0
}

impl TryFrom<AccountFields> for AccountEntry {
    type Error = &'static str;

    fn try_from(fields: AccountFields) -> Result<Self, Self::Error> {
        let AccountFields { name, keys, rank, unit, rate, burst, undeclared } = fields;
        let quota = match (rate, burst) {
            (0, 0) => None,
            (0, _) | (_, 0) => return Err("rate and burst must be given together"),
            _ => Some(QuotaEntry { unit: unit.unwrap_or_default(), rate, burst, undeclared }),
        };
        if quota.is_none() && (unit.is_some() || undeclared > 0) {
            return Err("unit and undeclared need a rate and a burst");
        }
        Ok(Self { name, keys, rank, quota })
    }
}

impl From<AccountEntry> for AccountFields {
    fn from(entry: AccountEntry) -> Self {
        let AccountEntry { name, keys, rank, quota } = entry;
        Self {
            name,
            keys,
            rank,
            unit: quota.map(|quota| quota.unit),
            rate: quota.map_or(0, |quota| quota.rate),
            burst: quota.map_or(0, |quota| quota.burst),
            undeclared: quota.map_or(0, |quota| quota.undeclared),
        }
    }
}
