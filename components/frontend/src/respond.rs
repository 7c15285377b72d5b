//! Builds HTTP responses from replies.

use actix_http::Response;
use actix_http::ResponseBuilder;
use actix_http::StatusCode;
use actix_http::body::BodyStream;
use actix_http::body::BoxBody;
use actix_http::header::CONTENT_TYPE;
use actix_http::header::HeaderValue;
use actix_http::header::RETRY_AFTER;
use actix_http::header::WWW_AUTHENTICATE;
use bytes::Bytes;
use futures::future::poll_fn;
use futures::stream;
use serde_json::Value;
use serde_json::json;
use wagtailledge_decisions::request::CallerRefusal;
use wagtailledge_decisions::request::RefusalOutcome;
use wagtailledge_decisions::request::RefusalReason;

use crate::gate::CallerReply;
use crate::gate::PartStream;
use crate::gate::StreamCut;
use crate::parse::BadRequest;
use crate::parse::REQUEST_ID_HEADER;

/// Content type of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// Response header that says whether a refused request has run.
pub const OUTCOME_HEADER: &str = "x-outcome";

/// Builds a response with a JSON body.
pub fn json_response(status: StatusCode, body: &Value) -> Response<BoxBody> {
    let mut builder = Response::build(status);
    builder.insert_header((CONTENT_TYPE, "application/json"));
    builder.body(body.to_string()).map_into_boxed_body()
}

/// Builds the response to an invalid request, which has not run.
pub fn bad_request(status: StatusCode, fault: &BadRequest) -> Response<BoxBody> {
    let message = format!("{} {}", fault.field, fault.problem);
    let error = json!({
        "message": message,
        "type": "invalid_request_error",
        "param": fault.field,
        "outcome": "not-run",
    });
    json_response(status, &json!({ "error": error }))
}

/// Builds the response for the reply to a call; `request_id` is echoed in a header.
pub fn respond(reply: CallerReply, request_id: &str) -> Response<BoxBody> {
    match reply {
        CallerReply::Answer(answer) => {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut builder = response_builder(status, request_id);
            builder.insert_header((CONTENT_TYPE, answer.content_type));
            builder.body(answer.body).map_into_boxed_body()
        }
        CallerReply::Stream { status, headers, parts } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut builder = response_builder(status, request_id);
            let content_type = headers.get(hyper::header::CONTENT_TYPE);
            let content_type = content_type.map_or(&[][..], |value| value.as_bytes());
            if !content_type.is_empty() {
                builder.insert_header((CONTENT_TYPE, content_type));
            }
            let has_events = content_type.starts_with(EVENT_STREAM);
            builder.body(BodyStream::new(body_stream(parts, has_events))).map_into_boxed_body()
        }
        CallerReply::Refusal(refusal) => refusal_response(refusal, request_id),
        CallerReply::UnknownName => {
            let problem = "names nothing in the inventory".to_owned();
            bad_request(StatusCode::NOT_FOUND, &BadRequest { field: "model".to_owned(), problem })
        }
        CallerReply::UnknownKey => unauthorized(),
        CallerReply::Unconfigured => {
            let problem = "cannot be looked up: no inventory is in force yet".to_owned();
            let fault = BadRequest { field: "model".to_owned(), problem };
            bad_request(StatusCode::SERVICE_UNAVAILABLE, &fault)
        }
    }
}

/// Builds the response to a request that needs the key of an account and has none or an unknown one.
pub fn unauthorized() -> Response<BoxBody> {
    let problem = "must be `Bearer` and the key of an account".to_owned();
    let fault = BadRequest { field: "authorization".to_owned(), problem };
    let mut response = bad_request(StatusCode::UNAUTHORIZED, &fault);
    response.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    response
}

fn response_builder(status: StatusCode, request_id: &str) -> ResponseBuilder {
    let mut builder = Response::build(status);
    builder.insert_header((REQUEST_ID_HEADER, request_id));
    builder
}

/// Body of a forwarded answer. A truncated stream of events ends with an error event in place of the
/// usual end event; after any other truncated body the connection is closed without the last chunk.
fn body_stream(
    parts: PartStream,
    has_events: bool,
) -> impl stream::Stream<Item = Result<Bytes, StreamCut>> {
    stream::unfold(Some(parts), move |parts: Option<PartStream>| async move {
        let mut parts = parts?;
        match poll_fn(|cx| parts.poll_next(cx)).await? {
            Ok(part) => Some((Ok(part), Some(parts))),
            Err(cut) if !has_events => Some((Err(cut), None)),
            Err(cut) => {
                let error =
                    json!({ "error": { "message": cut.to_string(), "outcome": "unknown" } });
                let event = format!("event: error\ndata: {error}\n\n");
                Some((Ok(Bytes::from(event)), None))
            }
        }
    })
}

fn refusal_response(refusal: CallerRefusal, request_id: &str) -> Response<BoxBody> {
    let status = match (refusal.outcome, refusal.reason) {
        (RefusalOutcome::InProgress | RefusalOutcome::Ran, _) => StatusCode::CONFLICT,
        (_, RefusalReason::KeyReused) => StatusCode::UNPROCESSABLE_ENTITY,
        (
            _,
            RefusalReason::QueueFull | RefusalReason::CallerLimit | RefusalReason::AccountQuota,
        ) => StatusCode::TOO_MANY_REQUESTS,
        (_, RefusalReason::DeadlinePassed) => StatusCode::GATEWAY_TIMEOUT,
        (_, RefusalReason::UpstreamFailed) => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let outcome = json!(refusal.outcome);
    // Rounded up, so that the request can be served by then.
    let seconds = refusal.retry_after.as_secs_f64().ceil().max(1.0) as u64;
    let error = json!({
        "message": format!("refused: {:?}", refusal.reason),
        "type": "refused",
        "outcome": outcome,
        "reason": refusal.reason,
        "retry_after_s": seconds,
    });
    let mut builder = response_builder(status, request_id);
    builder.insert_header((OUTCOME_HEADER, outcome.as_str().unwrap_or("unknown")));
    builder.insert_header((RETRY_AFTER, seconds));
    builder.insert_header((CONTENT_TYPE, "application/json"));
    builder.body(json!({ "error": error }).to_string()).map_into_boxed_body()
}
