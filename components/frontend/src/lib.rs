//! HTTP servers for callers: the OpenAI-compatible completion API with plain services, and a relay
//! that forwards any request by routes.
//!
//! - [`gate`]: the calls that the servers pass on, and the replies they get.
//! - [`server`]: the HTTP server of the completion API and its limits.
//! - [`relay`]: the HTTP server for requests that are forwarded by routes.

mod body;
pub mod gate;
mod key;
mod parse;
pub mod relay;
mod respond;
pub mod server;

pub use gate::CallTarget;
pub use gate::CallerCall;
pub use gate::CallerGate;
pub use gate::CallerLimits;
pub use gate::CallerReply;
pub use gate::DepartureGuard;
pub use gate::PartSender;
pub use gate::PartStream;
pub use gate::StreamCut;
pub use gate::part_channel;
pub use key::key_of_schemes;
pub use relay::IngressDialect;
pub use relay::RelayServer;
pub use relay::TextServer;
pub use relay::readiness_source;
pub use server::CompletionServer;
pub use server::ServerLimits;
