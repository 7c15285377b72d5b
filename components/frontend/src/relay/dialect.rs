//! Header conventions of callers' requests and of refusals, which depend on the platform.

use std::fmt;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request;
use wagtailledge_decisions::request::CallerRefusal;
use wagtailledge_decisions::request::PromptShape;
use wagtailledge_decisions::request::ResumedStream;
use wagtailledge_inventory::KeyDigest;

/// Values read from the head of a request.
#[derive(Debug, Clone)]
pub struct RelayHead {
    /// The caller's request id; empty if it sent none.
    pub request_id: String,
    /// Host name in the caller's request.
    pub host: String,
    /// Time left for the answer; `None` if the caller sets no deadline.
    pub deadline: Option<Duration>,
    /// `model` or `model/adapter`, if the caller names one.
    pub asset: Option<String>,
    /// Prompt parts and token counts that the caller declares; empty if it declares none.
    pub prompt: PromptShape,
    /// Stream that the request takes up; `None` if it begins one.
    pub resumes: Option<ResumedStream>,
    /// Digest of the key by which the caller identifies its account; `None` if it states none.
    pub key: Option<KeyDigest>,
    /// Names of those `headers` that identify the caller. They are not sent to upstreams if the
    /// configuration has accounts.
    pub identity_headers: &'static [HeaderName],
    /// Headers to send to the upstream.
    pub headers: HeaderMap,
}

/// Why the head of a request is invalid; the response shows header and problem.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayFault {
    /// Name of the invalid header.
    pub header: &'static str,
    /// Requirement that the header violates, worded to follow its name.
    pub problem: String,
}

/// Reads request heads and writes refusals by the conventions of a platform.
pub trait IngressDialect: fmt::Debug {
    /// Reads the head of a request.
    ///
    /// # Errors
    /// Names the header that is missing or invalid.
    fn read_head(&self, head: &request::Parts) -> Result<RelayHead, RelayFault>;

    /// Status and headers of the response to a refused request.
    fn refusal(&self, refusal: &CallerRefusal) -> (StatusCode, HeaderMap);

    /// Value of `WWW-Authenticate` in the response to a request without the key of an account.
    fn challenge(&self) -> HeaderValue;
}
