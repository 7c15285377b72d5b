//! The project's own upstreams: engines with the OpenAI-compatible API, and plain services.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper::http::response;
use serde::Deserialize;
use wagtailledge_decisions::event::UpstreamLoad;
use wagtailledge_decisions::order::OrderOutcome;

use crate::call::UpstreamCall;
use crate::dialect::HeadReading;
use crate::dialect::HeadVerdict;
use crate::dialect::UpstreamDialect;
use crate::json::ShortRequest;
use crate::order::OrderAnswer;
use crate::order::OrderRequest;
use crate::order::OrderSender;
use crate::order::OrderTarget;
use crate::pool::ConnectionPool;
use crate::pool::ExchangeFault;

/// Longest wait for the answer to an order or a load report.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Last event of a whole stream.
const END_OF_STREAM: &[u8] = b"data: [DONE]";
/// Header with the request's id.
const REQUEST_ID: &str = "x-request-id";

#[derive(Debug, Deserialize)]
struct LoadReport {
    running: u32,
    queued: u32,
}

/// How the project's own upstreams are spoken to.
#[derive(Debug, Clone, Copy, Default)]
pub struct OpenAiDialect;

impl UpstreamDialect for OpenAiDialect {
    fn request(&self, call: &UpstreamCall) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let body = if call.asset.is_empty() {
            call.body.clone()
        } else {
            with_model_name(&call.body, &call.asset)
        };
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(&call.path)
            .header(HOST, call.address.to_string())
            .header(REQUEST_ID, &call.request_id)
            .header("x-priority", call.rank.to_string());
        if let Some(content_type) = call.headers.get(CONTENT_TYPE) {
            request = request.header(CONTENT_TYPE, content_type);
        }
        request.body(Full::new(body))
    }

    fn read_head(&self, call: &UpstreamCall, head: &response::Parts) -> HeadReading {
        let echoed = head.headers.get(REQUEST_ID);
        let own = echoed.is_none_or(|value| value.as_bytes() == call.request_id.as_bytes());
        let engine = !call.asset.is_empty();
        let verdict = match head.status {
            _ if !own => HeadVerdict::Stranger,
            StatusCode::CONFLICT if engine => HeadVerdict::Misplaced,
            StatusCode::SERVICE_UNAVAILABLE if engine => HeadVerdict::Refused,
            _ => HeadVerdict::Answer,
        };
        HeadReading { verdict, load: None }
    }

    fn is_whole(&self, tail: &[u8]) -> bool {
        tail.trim_ascii_end().ends_with(END_OF_STREAM)
    }

    fn load(
        &self,
        pool: ConnectionPool,
        address: SocketAddr,
    ) -> LocalBoxFuture<'static, Option<UpstreamLoad>> {
        async move {
            let request = ShortRequest::new(address, Method::GET, "/load".to_owned());
            let answer = pool.exchange(request, CONTROL_TIMEOUT).await.ok()?;
            let report: LoadReport = serde_json::from_slice(&answer.body).ok()?;
            Some(UpstreamLoad { running: report.running, waiting: report.queued })
        }
        .boxed_local()
    }
}

/// The call's body with the asset's unique name in place of the caller's name for it.
fn with_model_name(body: &Bytes, asset: &str) -> Bytes {
    let Ok(mut value) = serde_json::from_slice::<serde_json::Value>(body) else {
        return body.clone();
    };
    if let Some(fields) = value.as_object_mut() {
        fields.insert("model".to_owned(), asset.into());
    }
    Bytes::from(value.to_string())
}

/// Sends orders as JSON.
#[derive(Debug, Clone)]
pub struct JsonOrders {
    pool: ConnectionPool,
}

impl JsonOrders {
    /// Sends over connections of `pool`.
    pub fn new(pool: ConnectionPool) -> Self {
        Self { pool }
    }
}

impl OrderSender for JsonOrders {
    fn send(
        &self,
        target: OrderTarget,
        request: OrderRequest,
        may_write: Box<dyn Fn() -> bool>,
    ) -> LocalBoxFuture<'static, OrderOutcome> {
        let pool = self.pool.clone();
        let address = target.address;
        async move {
            // Leaves an open connection in the pool, so that nothing waits between the check and
            // the write of the order.
            if OpenAiDialect.load(pool.clone(), address).await.is_none() || !may_write() {
                return OrderOutcome::NotSent;
            }
            let Ok(body) = serde_json::to_vec(&request) else {
                return OrderOutcome::NotSent;
            };
            let order = ShortRequest::new(address, Method::POST, "/orders".to_owned());
            match pool.exchange(order.with_body(body), CONTROL_TIMEOUT).await {
                Ok(answer) => match serde_json::from_slice::<OrderAnswer>(&answer.body) {
                    Ok(answer) => answer.into(),
                    Err(_unreadable) => OrderOutcome::Lost,
                },
                Err(ExchangeFault::NotSent(_)) => OrderOutcome::NotSent,
                Err(ExchangeFault::Lost(_)) => OrderOutcome::Lost,
            }
        }
        .boxed_local()
    }
}
