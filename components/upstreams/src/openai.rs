//! Protocol of the project's own upstreams: OpenAI-compatible engines and plain services.

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
use wagtailledge_decisions::event::UpstreamStatement;
use wagtailledge_decisions::order::OrderOutcome;

use crate::call::UpstreamCall;
use crate::dialect::HeadCheck;
use crate::dialect::HeadVerdict;
use crate::dialect::UpstreamDialect;
use crate::json::ShortRequest;
use crate::order::OrderAnswer;
use crate::order::OrderReply;
use crate::order::OrderRequest;
use crate::order::OrderSender;
use crate::order::OrderTarget;
use crate::pool::ConnectionPool;
use crate::pool::ExchangeFault;
use crate::stream::WritePermit;

/// Maximum wait for the answer to an order or for a load report.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Last event of a complete stream.
const END_OF_STREAM: &[u8] = b"data: [DONE]";
/// Header that carries the request's id; the answer echoes it.
const REQUEST_ID: &str = "x-request-id";

#[derive(Debug, Deserialize)]
struct LoadReport {
    running: u32,
    queued: u32,
}

/// Dialect of the project's own upstreams.
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

    fn read_head(&self, call: &UpstreamCall, head: &response::Parts) -> HeadCheck {
        let echoed = head.headers.get(REQUEST_ID);
        let matches = echoed.is_none_or(|value| value.as_bytes() == call.request_id.as_bytes());
        let is_engine = !call.asset.is_empty();
        let verdict = match head.status {
            _ if !matches => HeadVerdict::Foreign,
            StatusCode::CONFLICT if is_engine => HeadVerdict::Misplaced,
            StatusCode::SERVICE_UNAVAILABLE if is_engine => HeadVerdict::Refused,
            _ => HeadVerdict::Answer,
        };
        let names_request = matches && echoed.is_some();
        HeadCheck { verdict, names_request, statement: UpstreamStatement::default() }
    }

    fn is_complete(&self, tail: &[u8]) -> bool {
        tail.trim_ascii_end().ends_with(END_OF_STREAM)
    }

    fn load(
        &self,
        pool: ConnectionPool,
        address: SocketAddr,
    ) -> LocalBoxFuture<'static, Option<UpstreamLoad>> {
        async move {
            let request = ShortRequest::new(address, Method::GET, "/load".to_owned());
            let request = request.on_own_connection();
            let answer = pool.exchange(request, CONTROL_TIMEOUT).await.ok()?;
            let report: LoadReport = serde_json::from_slice(&answer.body).ok()?;
            Some(UpstreamLoad { running: report.running, waiting: report.queued, pace: None })
        }
        .boxed_local()
    }
}

/// Returns the body with the caller's model name replaced by the asset's unique name.
fn with_model_name(body: &Bytes, asset: &str) -> Bytes {
    let Ok(mut value) = serde_json::from_slice::<serde_json::Value>(body) else {
        return body.clone();
    };
    if let Some(fields) = value.as_object_mut() {
        fields.insert("model".to_owned(), asset.into());
    }
    Bytes::from(value.to_string())
}

/// Sends orders as JSON to the project's own engines.
#[derive(Debug, Clone)]
pub struct JsonOrders {
    pool: ConnectionPool,
}

impl JsonOrders {
    /// Creates a sender that uses connections of `pool`.
    pub fn new(pool: ConnectionPool) -> Self {
        Self { pool }
    }
}

impl OrderSender for JsonOrders {
    fn send(
        &self,
        target: OrderTarget,
        request: OrderRequest,
        permit: WritePermit,
    ) -> LocalBoxFuture<'static, OrderReply> {
        let pool = self.pool.clone();
        let address = target.address;
        async move {
            let Ok(body) = serde_json::to_vec(&request) else {
                return OrderOutcome::NotSent;
            };
            let order = ShortRequest::new(address, Method::POST, "/orders".to_owned());
            let order = order.with_body(body).with_permit(permit).on_own_connection();
            match pool.exchange(order, CONTROL_TIMEOUT).await {
                Ok(answer) => match serde_json::from_slice::<OrderAnswer>(&answer.body) {
                    Ok(answer) => answer.into(),
                    Err(_invalid) => OrderOutcome::Lost,
                },
                Err(ExchangeFault::NotSent(_)) => OrderOutcome::NotSent,
                Err(ExchangeFault::Lost(_)) => OrderOutcome::Lost,
            }
        }
        .map(OrderReply::from)
        .boxed_local()
    }
}
