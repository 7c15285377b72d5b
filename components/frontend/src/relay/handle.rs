//! Turns an HTTP request into a call and the reply into an HTTP response.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use actix_rt::time::timeout;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::header::WWW_AUTHENTICATE;
use hyper::http::request;
use log::info;
use wagtailledge_decisions::request::RecordedAnswer;
use xxhash_rust::xxh3::xxh3_64;

use crate::body::BodyError;
use crate::body::CollectedBody;
use crate::gate::CallTarget;
use crate::gate::CallerCall;
use crate::gate::CallerGate;
use crate::gate::CallerReply;
use crate::gate::PartStream;
use crate::gate::StreamCut;

use super::connections::RequestGuard;
use super::dialect::IngressDialect;
use super::dialect::RelayFault;
use super::dialect::RelayHead;

/// Value of `Retry-After`, in seconds, while no configuration is in force.
const UNCONFIGURED_RETRY_AFTER: HeaderValue = HeaderValue::from_static("0.5");

/// Body of a response to a caller.
#[derive(Debug)]
pub enum RelayBody {
    /// Complete body; `None` once it was taken.
    Buffered(Option<Bytes>),
    /// Body that is forwarded while the upstream sends it.
    Streamed(PartStream),
}

/// Body that counts its request as being served until the body is written or dropped.
#[derive(Debug)]
pub struct CountedBody {
    body: RelayBody,
    _guard: RequestGuard,
}

impl CountedBody {
    /// Wraps `body` with the guard of its request.
    pub fn new(body: RelayBody, guard: RequestGuard) -> Self {
        Self { body, _guard: guard }
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        match &mut self.body {
            RelayBody::Buffered(body) => Poll::Ready(body.take().map(|part| Ok(Frame::data(part)))),
            RelayBody::Streamed(parts) => {
                parts.poll_next(cx).map(|next| next.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.body, RelayBody::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            RelayBody::Buffered(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, |part| part.len() as u64))
            }
            RelayBody::Streamed(_) => SizeHint::default(),
        }
    }
}

/// Serves one request: reads head and body, passes the call to `gate` and builds the response.
pub async fn handle(
    request: Request<Incoming>,
    gate: Rc<dyn CallerGate>,
    dialect: Rc<dyn IngressDialect>,
) -> Result<Response<RelayBody>, Infallible> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let relay_head = match dialect.read_head(&head) {
        Ok(relay_head) => relay_head,
        Err(fault) => return Ok(bad_head_response(&fault, &gate)),
    };
    let limits = gate.limits();
    // A request that announces a body above the limit is refused without reading the body.
    if body.size_hint().lower() > limits.body as u64 {
        return Ok(error_response(StatusCode::PAYLOAD_TOO_LARGE, "body is too long\n", &gate));
    }
    let request_id = relay_head.request_id.clone();
    let collected = CollectedBody::new(limits.body, gate.body_budget().share());
    let reply = match timeout(limits.body_timeout, read_body(body, collected)).await {
        Ok(Ok(body)) => gate.serve(caller_call(&head, relay_head, body, arrived)).await,
        Ok(Err(BodyError::NoMemory)) => CallerReply::Refusal(gate.refuse_body(&request_id)),
        Ok(Err(BodyError::TooLong)) => {
            return Ok(error_response(StatusCode::PAYLOAD_TOO_LARGE, "body is too long\n", &gate));
        }
        Ok(Err(_)) => {
            return Ok(error_response(StatusCode::BAD_REQUEST, "body ended early\n", &gate));
        }
        Err(_elapsed) => {
            return Ok(error_response(StatusCode::REQUEST_TIMEOUT, "body is late\n", &gate));
        }
    };
    let mut response = respond(reply, &dialect, &request_id);
    close_if_draining(&mut response, &gate);
    Ok(response)
}

/// Reads a request's body.
async fn read_body(mut body: Incoming, mut collected: CollectedBody) -> Result<Bytes, BodyError> {
    collected.reserve(body.size_hint().lower() as usize);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            info!("request refused, its body cannot be read: {error}");
            BodyError::Broken
        })?;
        if let Ok(part) = frame.into_data() {
            collected.push(&part)?;
        }
    }
    collected.finish()
}

/// Hash by which a request is known to all hosts.
pub fn request_hash(id: &[u8]) -> u64 {
    xxh3_64(id)
}

fn caller_call(
    head: &request::Parts,
    relay_head: RelayHead,
    body: Bytes,
    arrived: Instant,
) -> CallerCall {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    CallerCall {
        caller: request_hash(relay_head.request_id.as_bytes()),
        request_id: relay_head.request_id,
        target: CallTarget::Route { host: relay_head.host, asset: relay_head.asset },
        method: head.method.clone(),
        path,
        headers: relay_head.headers,
        body,
        arrived,
        deadline: relay_head.deadline,
        key: relay_head.key,
        identity_headers: relay_head.identity_headers,
        prompt: relay_head.prompt,
        resumes: relay_head.resumes,
        idempotency_key: None,
    }
}

fn respond(
    reply: CallerReply,
    dialect: &Rc<dyn IngressDialect>,
    request_id: &str,
) -> Response<RelayBody> {
    match reply {
        CallerReply::Answer(answer) => answer_response(answer),
        CallerReply::Stream { status, headers, parts } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            build(status, headers, RelayBody::Streamed(parts))
        }
        CallerReply::Refusal(refusal) => {
            let (status, mut headers) = dialect.refusal(&refusal);
            if let Ok(value) = HeaderValue::from_str(request_id) {
                headers.insert(HeaderName::from_static("x-request-id"), value);
            }
            let text = format!("refused: {:?}, {:?}\n", refusal.outcome, refusal.reason);
            build(status, headers, RelayBody::Buffered(Some(text.into())))
        }
        CallerReply::UnknownName => text_response(StatusCode::NOT_FOUND, "no route leads there\n"),
        CallerReply::UnknownKey => {
            let mut response = text_response(StatusCode::UNAUTHORIZED, "no key of an account\n");
            response.headers_mut().insert(WWW_AUTHENTICATE, dialect.challenge());
            response
        }
        CallerReply::Unconfigured => {
            let mut response =
                text_response(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
            response.headers_mut().insert(RETRY_AFTER, UNCONFIGURED_RETRY_AFTER);
            response
        }
    }
}

fn answer_response(answer: RecordedAnswer) -> Response<RelayBody> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut headers = HeaderMap::with_capacity(answer.headers.len() + 2);
    for (name, value) in answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_maybe_shared(value)) {
            headers.append(name, value);
        }
    }
    if let Ok(value) = HeaderValue::from_str(&answer.content_type)
        && !value.is_empty()
    {
        headers.insert(CONTENT_TYPE, value);
    }
    build(status, headers, RelayBody::Buffered(Some(answer.body)))
}

fn build(status: StatusCode, headers: HeaderMap, body: RelayBody) -> Response<RelayBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn text_response(status: StatusCode, body: &'static str) -> Response<RelayBody> {
    build(status, HeaderMap::new(), RelayBody::Buffered(Some(Bytes::from_static(body.as_bytes()))))
}

fn error_response(
    status: StatusCode,
    body: &'static str,
    gate: &Rc<dyn CallerGate>,
) -> Response<RelayBody> {
    let mut response = text_response(status, body);
    close_if_draining(&mut response, gate);
    response
}

fn bad_head_response(fault: &RelayFault, gate: &Rc<dyn CallerGate>) -> Response<RelayBody> {
    info!("request refused with status 400: header {} {}", fault.header, fault.problem);
    let text = format!("{} {}\n", fault.header, fault.problem);
    let body = RelayBody::Buffered(Some(text.into()));
    let mut response = build(StatusCode::BAD_REQUEST, HeaderMap::new(), body);
    close_if_draining(&mut response, gate);
    response
}

/// While the process drains, asks the caller to close the connection after this response.
fn close_if_draining(response: &mut Response<RelayBody>, gate: &Rc<dyn CallerGate>) {
    if gate.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
}

impl fmt::Display for RelayFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.header, self.problem)
    }
}
