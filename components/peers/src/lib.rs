//! Messages between entry hosts, and status requests of operators, as JSON-RPC over `WebSockets`.
//!
//! Each message carries an HMAC keyed with the deployment's shared secret. A message with a wrong
//! HMAC is refused before it is parsed.

mod client;
mod seal;
mod server;

pub use client::PeerClient;
pub use client::PeerError;
pub use client::fetch_status;
pub use seal::MessageSeal;
pub use server::PeerServer;
pub use server::PeerTraffic;
