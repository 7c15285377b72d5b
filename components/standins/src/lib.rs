//! Stand-ins (simulated versions) of the external systems, for tests and examples only.
//!
//! - [`store`]: the key-value service (etcd).
//! - [`hosts`]: the host list.
//! - [`engine`]: a model engine.
//! - [`service`]: a plain service, that is, an upstream that serves no models.
//! - [`stack`]: a deployment of all of these and entry hosts on loopback.
//! - [`fleet`]: the users' platform, which speaks another protocol, and its deployment.
//! - [`client`]: HTTP calls to an entry host.
//! - [`http`]: the HTTP server that the stand-ins share.

pub mod client;
pub mod engine;
pub mod fleet;
pub mod hosts;
pub mod http;
pub mod service;
pub mod stack;
pub mod store;
