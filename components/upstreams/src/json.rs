//! Short exchanges: requests with a JSON body or none, whose answers are buffered.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::time::timeout;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper::http::response;

use crate::dialect::keep_alive_time;
use crate::pool::ConnectionPool;
use crate::pool::ExchangeFault;
use crate::stream::WritePermit;
use crate::stream::WriteTerms;

/// Maximum size of the body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Maximum size of an answer on a connection of its own, which a faulty receiver may send without end.
const MAX_OWN_ANSWER_BYTES: usize = 1 << 20;
/// Short exchanges reuse connections regardless of their idle time.
const ANY_IDLE_TIME: Duration = Duration::MAX;
/// Idle time of reused connections for exchanges that have a connection of their own.
const NO_REUSE: Duration = Duration::ZERO;

/// Request of a short exchange.
#[derive(Debug, Clone)]
pub struct ShortRequest {
    /// IP address and port of the receiver.
    pub address: SocketAddr,
    /// HTTP method of the request.
    pub method: Method,
    /// Path and query of the request.
    pub path: String,
    /// Headers other than `Host` and `Content-Type`.
    pub headers: Vec<(&'static str, String)>,
    /// Body, empty or JSON.
    pub body: Bytes,
    /// Checked right before the request is written; `None` always permits it.
    pub permit: Option<WritePermit>,
    /// Whether the exchange has a connection of its own. Answers do not say which request they belong
    /// to, so a receiver that may answer twice needs that.
    pub has_own_connection: bool,
}

impl ShortRequest {
    /// Creates a request without a body.
    pub fn new(address: SocketAddr, method: Method, path: String) -> Self {
        Self {
            address,
            method,
            path,
            headers: Vec::new(),
            body: Bytes::new(),
            permit: None,
            has_own_connection: false,
        }
    }

    /// Opens a connection for this exchange and closes it afterwards.
    #[must_use]
    pub fn on_own_connection(self) -> Self {
        Self { has_own_connection: true, ..self }
    }

    /// Sets the body, which must be JSON.
    #[must_use]
    pub fn with_body(self, body: Vec<u8>) -> Self {
        Self { body: body.into(), ..self }
    }

    /// Sets the condition under which the request may be written.
    #[must_use]
    pub fn with_permit(self, permit: WritePermit) -> Self {
        Self { permit: Some(permit), ..self }
    }

    fn build(self) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header(HOST, self.address.to_string());
        if !self.body.is_empty() {
            request = request.header(CONTENT_TYPE, "application/json");
        }
        for (name, value) in self.headers {
            request = request.header(name, value);
        }
        request.body(Full::new(self.body))
    }
}

/// Answer of a short exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShortAnswer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Complete body of the answer.
    pub body: Bytes,
}

impl ConnectionPool {
    /// Sends a request and reads the whole answer, both within `max_wait`. Bytes of the request that
    /// have not left this host by then are dropped.
    ///
    /// # Errors
    /// The error says whether any byte of the request may have been written.
    pub async fn exchange(
        &self,
        request: ShortRequest,
        max_wait: Duration,
    ) -> Result<ShortAnswer, ExchangeFault> {
        let address = request.address;
        let has_own_connection = request.has_own_connection;
        let reuse_within = if has_own_connection { NO_REUSE } else { ANY_IDLE_TIME };
        let terms = WriteTerms { permit: request.permit.clone(), ack_timeout: Some(max_wait) };
        let request = request.build().map_err(|error| ExchangeFault::NotSent(error.to_string()))?;
        let lost = |problem: &str| ExchangeFault::Lost(format!("{address}: {problem}"));
        let exchange = async {
            let answer = self.send_on_terms(address, request, reuse_within, terms).await?;
            let most = if has_own_connection { MAX_OWN_ANSWER_BYTES } else { MAX_ANSWER_BYTES };
            let body = Limited::new(answer.body, most).collect().await;
            let body = body.map_err(|error| lost(&error.to_string()))?.to_bytes();
            if has_own_connection {
                answer.connection.close();
            } else {
                answer.connection.release(keep_alive_time(&answer.head));
            }
            let response::Parts { status, headers, .. } = answer.head;
            Ok(ShortAnswer { status: status.as_u16(), headers, body })
        };
        match timeout(max_wait, exchange).await {
            Ok(result) => result,
            Err(_elapsed) => Err(lost(&format!("no complete answer within {max_wait:?}"))),
        }
    }
}
