//! Abstraction over the HTTP protocols of different kinds of upstreams.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::header::CONNECTION;
use hyper::header::HeaderName;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;
use hyper::http::response;
use wagtailledge_decisions::event::UpstreamLoad;
use wagtailledge_decisions::event::UpstreamStatement;

use crate::call::UpstreamCall;
use crate::pool::ConnectionPool;

/// Hop-by-hop headers, which concern one connection only and are not forwarded.
const HOP_HEADERS: [HeaderName; 5] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
/// Hop-by-hop headers for which `hyper` has no constant.
const OTHER_HOP_HEADERS: [&str; 3] = ["keep-alive", "proxy-connection", "proxy-authenticate"];

/// Meaning of the head of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadVerdict {
    /// The upstream answered the request.
    Answer,
    /// The upstream did not run the request: it is full or draining, or the deadline has passed.
    Refused,
    /// The upstream did not run the request: the request names another upstream, or the asset is
    /// not resident.
    Misplaced,
    /// The answer has the id of another request.
    Foreign,
}

/// Result of checking the head of an answer.
#[derive(Debug, Clone)]
pub struct HeadCheck {
    /// Meaning of the answer for the request.
    pub verdict: HeadVerdict,
    /// Whether the answer has the id of the request. One without any id belongs to it only if the
    /// connection was never used before.
    pub names_request: bool,
    /// What the head says about the upstream; nothing if it belongs to another request.
    pub statement: UpstreamStatement,
}

/// HTTP protocol of one kind of upstream.
pub trait UpstreamDialect: fmt::Debug {
    /// Builds the HTTP request of a call.
    ///
    /// # Errors
    /// Fails if a header or the path is invalid; nothing is sent then.
    fn request(&self, call: &UpstreamCall) -> Result<Request<Full<Bytes>>, hyper::http::Error>;

    /// Checks the head of the answer to `call`.
    fn read_head(&self, call: &UpstreamCall, head: &response::Parts) -> HeadCheck;

    /// Whether an event stream is complete that ended at an event boundary with the bytes `tail`.
    fn is_complete(&self, tail: &[u8]) -> bool;

    /// Requests an upstream's load. `None` if the dialect has no such request or it failed.
    fn load(
        &self,
        pool: ConnectionPool,
        address: SocketAddr,
    ) -> LocalBoxFuture<'static, Option<UpstreamLoad>>;
}

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    for name in OTHER_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Time for which the upstream keeps an idle connection open. Zero if it closes the connection
/// after this answer, `None` if the answer does not say.
pub fn keep_alive_time(head: &response::Parts) -> Option<Duration> {
    let text = |name: HeaderName| head.headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text(CONNECTION).is_some_and(|value| {
        value.split(',').any(|option| option.trim().eq_ignore_ascii_case("close"))
    });
    if closes {
        return Some(Duration::ZERO);
    }
    let options = text(HeaderName::from_static("keep-alive"))?;
    let seconds = options.split(',').find_map(|option| option.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
