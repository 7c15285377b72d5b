//! Requests that are passed through by routes: any method, path and body.

mod connections;
mod dialect;
mod handle;
mod readiness;
mod server;

pub use dialect::IngressDialect;
pub use dialect::RelayFault;
pub use dialect::RelayHead;
pub use readiness::ReadinessServer;
pub use server::RelayServer;
