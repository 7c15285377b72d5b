//! HTTP calls and orders to model engines and plain services.
//!
//! - [`ConnectionPool`]: HTTP/1.1 connections that are reused.
//! - [`HttpUpstreams`]: calls to upstreams that speak any [`UpstreamDialect`].
//! - [`OpenAiDialect`], [`JsonOrders`]: protocol of the project's own upstreams.

mod body;
mod call;
mod dialect;
mod events;
mod exchange;
mod framing;
mod json;
mod openai;
mod order;
mod pool;
mod stop;
mod stream;

pub use call::AnswerHead;
pub use call::CallEvent;
pub use call::UpstreamCall;
pub use call::UpstreamCaller;
pub use dialect::HeadCheck;
pub use dialect::HeadVerdict;
pub use dialect::UpstreamDialect;
pub use dialect::strip_hop_headers;
pub use events::EventSplitter;
pub use events::OwnPart;
pub use exchange::HttpUpstreams;
pub use framing::BodyEnd;
pub use framing::BodyFraming;
pub use framing::EndCause;
pub use json::ShortAnswer;
pub use json::ShortRequest;
pub use openai::JsonOrders;
pub use openai::OpenAiDialect;
pub use order::OrderAnswer;
pub use order::OrderReply;
pub use order::OrderRequest;
pub use order::OrderSender;
pub use order::OrderTarget;
pub use order::OrderVerdict;
pub use pool::AnswerConnection;
pub use pool::ConnectionPool;
pub use pool::ExchangeFault;
pub use pool::OpenAnswer;
pub use stop::ExchangeStop;
pub use stream::WritePermit;
