//! How callers' requests and our own answers to them are written.

use std::fmt;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::http::request;
use wagtailledge_decisions::request::CallerRefusal;
use wagtailledge_decisions::request::PromptShape;

/// What was read from the head of a request.
#[derive(Debug, Clone)]
pub struct RelayHead {
    /// The caller's request id; empty if it sent none.
    pub request_id: String,
    /// Host name that the caller asked for.
    pub host: String,
    /// Time left, if the caller says.
    pub deadline: Option<Duration>,
    /// Model, or model and adapter with a slash between, if the caller names one.
    pub asset: Option<String>,
    /// What it says of its prompt.
    pub prompt: PromptShape,
    /// Headers that are passed on.
    pub headers: HeaderMap,
}

/// A head that cannot be served as it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayFault {
    /// Header at fault.
    pub header: &'static str,
    /// What is wrong with it.
    pub problem: String,
}

/// How callers' requests and our own answers to them are written.
pub trait IngressDialect: fmt::Debug {
    /// Reads the head of a request.
    ///
    /// # Errors
    /// Names the header that cannot be used.
    fn read_head(&self, head: &request::Parts) -> Result<RelayHead, RelayFault>;

    /// Status and headers of a refusal.
    fn refusal(&self, refusal: &CallerRefusal) -> (StatusCode, HeaderMap);
}
