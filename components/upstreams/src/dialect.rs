//! How requests and answers of one kind of upstream are written.

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

use crate::call::UpstreamCall;
use crate::pool::ConnectionPool;

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 5] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
/// The same, without a constant of the library.
const OTHER_HOP_HEADERS: [&str; 3] = ["keep-alive", "proxy-connection", "proxy-authenticate"];

/// What the head of an answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadVerdict {
    /// An answer to the request.
    Answer,
    /// The upstream did not run the request, as it is full, leaving or asked too late.
    Refused,
    /// The upstream did not run the request, as it is another one or holds something else.
    Misplaced,
    /// The answer belongs to another request.
    Stranger,
}

/// What was read from the head of an answer.
#[derive(Debug, Clone)]
pub struct HeadReading {
    /// What it means.
    pub verdict: HeadVerdict,
    /// Load of the upstream, if it says.
    pub load: Option<UpstreamLoad>,
}

/// How requests and answers of one kind of upstream are written.
pub trait UpstreamDialect: fmt::Debug {
    /// Writes a request.
    ///
    /// # Errors
    /// Fails when a header or the path cannot be written; nothing is sent then.
    fn request(&self, call: &UpstreamCall) -> Result<Request<Full<Bytes>>, hyper::http::Error>;

    /// Reads the head of an answer.
    fn read_head(&self, call: &UpstreamCall, head: &response::Parts) -> HeadReading;

    /// Whether a stream that ended with `tail` is whole.
    fn is_whole(&self, tail: &[u8]) -> bool;

    /// Reads an upstream's load; `None` where it is not to be asked or does not say.
    fn load(
        &self,
        pool: ConnectionPool,
        address: SocketAddr,
    ) -> LocalBoxFuture<'static, Option<UpstreamLoad>>;
}

/// Removes the headers that concern one connection only, and those that `Connection` names.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    for name in OTHER_HOP_HEADERS {
        headers.remove(name);
    }
}

/// How long the upstream keeps an unused connection; zero when it closes it after this answer.
pub fn keep_time(head: &response::Parts) -> Option<Duration> {
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
