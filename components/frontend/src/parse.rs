//! Parses HTTP requests to the completion API and to plain services.

use std::time::Duration;
use std::time::Instant;

use actix_http::RequestHead;
use actix_http::header::AUTHORIZATION;
use actix_http::header::CONTENT_TYPE;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use serde_json::Value;
use wagtailledge_decisions::request::PromptShape;
use wagtailledge_inventory::KeyDigest;
use xxhash_rust::xxh3::xxh3_64;

use crate::gate::CallTarget;
use crate::gate::CallerCall;
use crate::key::key_of_schemes;

/// Request header with the time left for the answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the caller's request id, echoed in the response.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Request header that identifies a non-idempotent call across retries of the caller.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);
/// Longest value of the headers read as text, such as request ids, in bytes.
const MAX_HEADER_TEXT_BYTES: usize = 200;

/// Why a request is invalid; the response shows field and problem.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadRequest {
    /// Name of the invalid field or header.
    pub field: String,
    /// Requirement that the field violates, worded to follow its name.
    pub problem: String,
}

impl BadRequest {
    fn new(field: &str, problem: &str) -> Self {
        Self { field: field.to_owned(), problem: problem.to_owned() }
    }
}

/// Reads a header whose value must be visible ASCII characters; `None` if it is missing.
fn visible_text(headers: &HeaderMap, name: &str) -> Result<Option<String>, BadRequest> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or("");
    let visible = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
    if !visible || text.len() > MAX_HEADER_TEXT_BYTES {
        let problem = format!("must be 1 to {MAX_HEADER_TEXT_BYTES} visible characters");
        return Err(BadRequest::new(name, &problem));
    }
    Ok(Some(text.to_owned()))
}

fn read_deadline(headers: &HeaderMap) -> Result<Option<Duration>, BadRequest> {
    let Some(text) = visible_text(headers, DEADLINE_HEADER)? else {
        return Ok(None);
    };
    let millis = text.parse::<u64>().ok().map(Duration::from_millis);
    match millis.filter(|span| !span.is_zero() && *span <= MAX_DEADLINE) {
        Some(span) => Ok(Some(span)),
        None => Err(BadRequest::new(DEADLINE_HEADER, "must be 1 to 3600000 milliseconds")),
    }
}

/// Digest of the key in the header `Authorization`, which names the scheme `Bearer` or `Token`.
pub fn read_key(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut values = headers.get_all(AUTHORIZATION);
    let value = values.next().filter(|_| values.next().is_none())?;
    key_of_schemes(value.as_bytes(), &["bearer", "token"])
}

fn build_call(
    head: &RequestHead,
    target: CallTarget,
    path: String,
    body: Bytes,
) -> Result<CallerCall, BadRequest> {
    let mut headers = hyper::HeaderMap::new();
    let content_type = head.headers().get(CONTENT_TYPE);
    if let Some(value) = content_type.and_then(|value| value.as_bytes().try_into().ok()) {
        headers.insert(hyper::header::CONTENT_TYPE, value);
    }
    let method = hyper::Method::from_bytes(head.method.as_str().as_bytes());
    Ok(CallerCall {
        request_id: visible_text(head.headers(), REQUEST_ID_HEADER)?.unwrap_or_default(),
        target,
        method: method.map_err(|_invalid| BadRequest::new("method", "is not an HTTP method"))?,
        path,
        headers,
        body,
        arrived: Instant::now(),
        deadline: read_deadline(head.headers())?,
        key: read_key(head.headers()),
        identity_headers: &[],
        prompt: PromptShape::default(),
        resumes: None,
        idempotency_key: visible_text(head.headers(), IDEMPOTENCY_KEY_HEADER)?,
        caller: caller_hash(head),
    })
}

/// Parses a call to a model: `/v1/completions` or `/v1/chat/completions`.
pub fn parse_model_call(head: &RequestHead, body: Bytes) -> Result<CallerCall, BadRequest> {
    let parsed: Value = serde_json::from_slice(&body)
        .map_err(|error| BadRequest::new("body", &format!("is not JSON: {error}")))?;
    let Value::Object(fields) = &parsed else {
        return Err(BadRequest::new("body", "must be a JSON object"));
    };
    let name = match fields.get("model") {
        Some(Value::String(name)) if !name.is_empty() => name.clone(),
        Some(_) => return Err(BadRequest::new("model", "must be a name")),
        None => return Err(BadRequest::new("model", "is missing")),
    };
    let stream = match fields.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(BadRequest::new("stream", "must be true or false")),
    };
    check_prompt(head.uri.path(), fields)?;
    if let Some(tokens) = fields.get("max_tokens")
        && tokens.as_u64().is_none_or(|tokens| tokens == 0)
        && !tokens.is_null()
    {
        return Err(BadRequest::new("max_tokens", "must be a whole number of at least 1"));
    }
    let target = CallTarget::Model { name, stream };
    build_call(head, target, head.uri.path().to_owned(), body)
}

fn check_prompt(path: &str, fields: &serde_json::Map<String, Value>) -> Result<(), BadRequest> {
    if path.ends_with("/chat/completions") {
        return match fields.get("messages") {
            Some(Value::Array(messages)) if !messages.is_empty() => check_messages(messages),
            Some(_) => Err(BadRequest::new("messages", "must be a list with at least one message")),
            None => Err(BadRequest::new("messages", "is missing")),
        };
    }
    match fields.get("prompt") {
        Some(Value::String(_)) => Ok(()),
        Some(Value::Array(parts)) if !parts.is_empty() => Ok(()),
        Some(_) => Err(BadRequest::new("prompt", "must be text or a list")),
        None => Err(BadRequest::new("prompt", "is missing")),
    }
}

fn check_messages(messages: &[Value]) -> Result<(), BadRequest> {
    for (index, message) in messages.iter().enumerate() {
        if message.get("role").and_then(Value::as_str).is_none() {
            return Err(BadRequest::new(&format!("messages[{index}].role"), "must be a text"));
        }
    }
    Ok(())
}

/// Identifies the caller by a hash of its `Authorization` header or, without one, its IP address.
fn caller_hash(head: &RequestHead) -> u64 {
    match (head.headers().get(AUTHORIZATION), head.peer_addr) {
        (Some(value), _) => xxh3_64(value.as_bytes()),
        (None, Some(address)) => xxh3_64(address.ip().to_string().as_bytes()),
        (None, None) => 0,
    }
}

/// Parses a call to a plain service: `/services/{service}/{path}`.
pub fn parse_service_call(head: &RequestHead, body: Bytes) -> Result<CallerCall, BadRequest> {
    let path = head.uri.path();
    let rest = path.strip_prefix("/services/").unwrap_or("");
    let (name, tail) = rest.split_once('/').unwrap_or((rest, ""));
    if name.is_empty() {
        return Err(BadRequest::new("path", "must be /services/{service}/{path}"));
    }
    let query = head.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    let target = CallTarget::Service { name: name.to_owned() };
    build_call(head, target, format!("/{tail}{query}"), body)
}
