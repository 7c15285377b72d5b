//! Stateful fuzzing of several host reducers in virtual time.
//!
//! A promise is a guarantee to callers or operators, such as "a non-idempotent call runs at most
//! once". The oracle checks promises without knowledge of how the system keeps them.
//!
//! - [`action`]: requests, faults and edits that quickcheck generates and shrinks.
//! - [`world`]: simulated hosts, engines, services and key-value service.
//! - [`oracle`]: checks of the promises.
//! - [`run`]: generates, runs and shrinks scripts.

pub mod action;
pub mod oracle;
pub mod run;
pub mod world;
