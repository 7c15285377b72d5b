//! HTTP for callers: the OpenAI-compatible completion API, plain services, and requests that are
//! passed through by routes.
//!
//! - [`gate`]: what the front hands on, and what it gets back.
//! - [`server`]: listening and connection limits of the completion API.
//! - [`relay`]: listening for requests that are passed through.

mod body;
pub mod gate;
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
pub use relay::IngressDialect;
pub use relay::RelayServer;
pub use relay::TextServer;
pub use relay::readiness_source;
pub use server::FrontLimits;
pub use server::FrontServer;
