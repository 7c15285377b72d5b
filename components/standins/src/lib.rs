//! Small stand-ins for the outside systems; used in tests and examples only.
//!
//! - [`store`]: the key-value service.
//! - [`hosts`]: the host list.
//! - [`engine`]: a model engine.
//! - [`service`]: a plain service.
//! - [`stack`]: all of them with entry hosts, on loopback.
//! - [`fleet`]: the users' platform, with a stack of its own.
//! - [`client`]: a caller.

pub mod client;
pub mod engine;
pub mod fleet;
pub mod hosts;
pub mod http;
pub mod service;
pub mod stack;
pub mod store;
