//! Limit on the retries that a host may add to the load of a service.

mod budget;

pub use budget::RetryBudget;
pub use budget::RetryRules;
