//! Short exchanges whose bodies are kept whole.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::time::timeout;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;

use crate::dialect::keep_time;
use crate::pool::ConnectionPool;
use crate::pool::ExchangeFault;

/// Longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Connections of short exchanges are taken up again whatever their age.
const ANY_AGE: Duration = Duration::MAX;

/// What to send.
#[derive(Debug, Clone)]
pub struct ShortRequest {
    /// IP address and port.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body, empty or JSON.
    pub body: Bytes,
}

impl ShortRequest {
    /// A request without a body.
    pub fn new(address: SocketAddr, method: Method, path: String) -> Self {
        Self { address, method, path, headers: Vec::new(), body: Bytes::new() }
    }

    /// The same with a body.
    #[must_use]
    pub fn with_body(self, body: Vec<u8>) -> Self {
        Self { body: body.into(), ..self }
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

/// Status and body of a short exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShortAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

impl ConnectionPool {
    /// Carries out a short exchange within `patience`.
    ///
    /// # Errors
    /// Tells whether any byte of the request may have been written.
    pub async fn exchange(
        &self,
        request: ShortRequest,
        patience: Duration,
    ) -> Result<ShortAnswer, ExchangeFault> {
        let address = request.address;
        let request = request.build().map_err(|error| ExchangeFault::NotSent(error.to_string()))?;
        let lost = |problem: &str| ExchangeFault::Lost(format!("{address}: {problem}"));
        let exchange = async {
            let answer = self.send(address, request, ANY_AGE).await?;
            let body = Limited::new(answer.body, MAX_ANSWER_BYTES).collect().await;
            let body = body.map_err(|error| lost(&error.to_string()))?.to_bytes();
            answer.connection.keep(keep_time(&answer.head));
            Ok(ShortAnswer { status: answer.head.status.as_u16(), body })
        };
        match timeout(patience, exchange).await {
            Ok(result) => result,
            Err(_elapsed) => Err(lost("no answer in time")),
        }
    }
}
