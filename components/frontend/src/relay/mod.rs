//! HTTP server that forwards requests with any method, path and body by routes.

mod connections;
mod dialect;
mod handle;
mod readiness;
mod server;
mod text;

pub use dialect::IngressDialect;
pub use dialect::RelayFault;
pub use dialect::RelayHead;
pub use handle::request_hash;
pub use readiness::readiness_source;
pub use server::RelayServer;
pub use text::TextServer;
pub use text::TextSource;
