//! Quotas of accounts over all hosts of a scope.
//!
//! The leader of a scope holds a token bucket for each account with a quota. Hosts admit small
//! requests at once from a small bucket of their own and report what they admitted. For all others
//! they ask the leader, which grants or refuses at once or within the time that the request can wait.
//! A host without a leader that answers goes on with its own share of the rate; a leader subtracts the
//! shares of hosts that it does not hear. See `docs/design/quotas.md`.

mod account;
mod allocator;
mod bucket;
mod buckets;
mod hosts;
mod ledger;
mod limit;
mod message;

pub use account::QuotaDecision;
pub use account::QuotaQuery;
pub use allocator::QuotaAllocator;
pub use allocator::QuotaChange;
pub use ledger::QuotaLedger;
pub use ledger::QuotaStanding;
pub use ledger::ResolvedAsk;
pub use limit::QuotaLimit;
pub use message::QuotaAnswer;
pub use message::QuotaAskRow;
pub use message::QuotaReport;
pub use message::QuotaStateRow;
pub use message::QuotaTable;
pub use message::QuotaUseRow;
pub use message::QuotaVerdict;
