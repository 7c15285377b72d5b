//! HTTP server of the completion API and of plain services.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_rt::net::TcpListener;
use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_service::ServiceFactory;
use log::debug;
use log::warn;
use serde_json::json;
use tokio::sync::Notify;

use crate::body::BodyError;
use crate::body::read_body;
use crate::gate::CallerCall;
use crate::gate::CallerGate;
use crate::gate::CallerReply;
use crate::parse::BadRequest;
use crate::parse::parse_model_call;
use crate::parse::parse_service_call;
use crate::parse::read_key;
use crate::respond::bad_request;
use crate::respond::json_response;
use crate::respond::respond;
use crate::respond::unauthorized;

/// Delay after a failure to accept a connection, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest wait for a connection to be closed after its last response.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Limits of the HTTP server.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Largest number of open connections; further ones are closed at once.
    pub connections: usize,
    /// Longest request body, in bytes.
    pub body: usize,
    /// Longest wait for the head of a request, and again for its body.
    pub request_timeout: Duration,
}

/// Counts a connection as open until the permit is dropped.
#[derive(Debug)]
struct ConnectionPermit {
    open_count: Rc<Cell<usize>>,
}

impl ConnectionPermit {
    fn new(open_count: &Rc<Cell<usize>>) -> Self {
        open_count.set(open_count.get() + 1);
        Self { open_count: Rc::clone(open_count) }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open_count.set(self.open_count.get() - 1);
    }
}

/// HTTP server that accepts connections until it is stopped.
#[derive(Debug)]
pub struct CompletionServer {
    address: SocketAddr,
    stop: Rc<Notify>,
    open_count: Rc<Cell<usize>>,
}

impl CompletionServer {
    /// Listens on `address` and passes calls to `gate`.
    ///
    /// # Errors
    /// Fails if the address cannot be listened on.
    pub async fn start(
        address: SocketAddr,
        limits: ServerLimits,
        gate: Rc<dyn CallerGate>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let stop = Rc::new(Notify::new());
        let open_count = Rc::new(Cell::new(0));
        let service = {
            let limits = limits.clone();
            HttpService::build()
                .client_request_timeout(limits.request_timeout)
                .client_disconnect_timeout(DISCONNECT_TIMEOUT)
                .finish(move |request: Request| {
                    let gate = Rc::clone(&gate);
                    let limits = limits.clone();
                    async move { Ok::<_, Infallible>(handle(request, gate, limits).await) }
                })
                .tcp()
        };
        let service = service
            .new_service(())
            .await
            .map_err(|()| std::io::Error::other("the HTTP service cannot be created"))?;
        let service = Rc::new(service);
        let (stop_signal, counter) = (Rc::clone(&stop), Rc::clone(&open_count));
        actix_rt::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = stop_signal.notified() => return,
                };
                match accepted {
                    Ok((stream, from)) if counter.get() < limits.connections => {
                        let permit = ConnectionPermit::new(&counter);
                        let service = Rc::clone(&service);
                        actix_rt::spawn(async move {
                            let _permit = permit;
                            let stream: TcpStream = stream;
                            if let Err(error) = service.call(stream).await {
                                debug!("connection from {from} failed: {error}");
                            }
                        });
                    }
                    Ok((_, from)) => warn!(
                        "connection from {from} rejected: {} are open already",
                        limits.connections
                    ),
                    Err(error) => {
                        warn!(
                            "cannot accept on {address}, retry in {ACCEPT_RETRY_DELAY:?}: {error}"
                        );
                        actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        });
        Ok(Self { address, stop, open_count })
    }

    /// Address listened on, with the port chosen by the system if none was given.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.open_count.get()
    }

    /// Stops accepting connections; requests on open ones are still served.
    pub fn stop(&self) {
        self.stop.notify_one();
    }
}

async fn handle(
    mut request: Request,
    gate: Rc<dyn CallerGate>,
    limits: ServerLimits,
) -> Response<BoxBody> {
    let path = request.path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/livez") => return json_response(StatusCode::OK, &json!({ "live": true })),
        (&Method::GET, "/readyz") => return readiness_response(gate.is_ready()),
        (&Method::GET, "/v1/models")
            if !gate.admits(read_key(request.head().headers()).as_ref()) =>
        {
            return unauthorized();
        }
        (&Method::GET, "/v1/models") => return models_response(&gate.model_names()),
        _ => {}
    }
    let is_completion = matches!(path.as_str(), "/v1/completions" | "/v1/chat/completions");
    if !is_completion && !path.starts_with("/services/") {
        let fault = BadRequest { field: "path".to_owned(), problem: "is not served".to_owned() };
        return bad_request(StatusCode::NOT_FOUND, &fault);
    }
    if is_completion && request.method() != Method::POST {
        let fault = BadRequest { field: "method".to_owned(), problem: "must be POST".to_owned() };
        return bad_request(StatusCode::METHOD_NOT_ALLOWED, &fault);
    }
    let share = gate.body_budget().share();
    let body = read_body(request.payload(), limits.body, limits.request_timeout, share).await;
    let body = match body {
        Ok(body) => body,
        Err(BodyError::NoMemory) => {
            let request_id = format!("{:016x}", rand::random::<u64>());
            return respond(CallerReply::Refusal(gate.refuse_body(&request_id)), &request_id);
        }
        Err(error) => return body_error_response(error, limits.body),
    };
    let parse = if is_completion { parse_model_call } else { parse_service_call };
    match parse(request.head(), body) {
        Ok(call) => serve(call, &gate).await,
        Err(fault) => bad_request(StatusCode::BAD_REQUEST, &fault),
    }
}

async fn serve(mut call: CallerCall, gate: &Rc<dyn CallerGate>) -> Response<BoxBody> {
    if call.request_id.is_empty() {
        call.request_id = format!("{:016x}", rand::random::<u64>());
    }
    let request_id = call.request_id.clone();
    let reply = gate.serve(call).await;
    respond(reply, &request_id)
}

fn body_error_response(error: BodyError, limit: usize) -> Response<BoxBody> {
    let (status, problem) = match error {
        BodyError::TooLong => {
            (StatusCode::PAYLOAD_TOO_LARGE, format!("is longer than {limit} bytes"))
        }
        BodyError::TooSlow => (StatusCode::REQUEST_TIMEOUT, "did not come in time".to_owned()),
        BodyError::Broken | BodyError::NoMemory => {
            (StatusCode::BAD_REQUEST, "ended early".to_owned())
        }
    };
    bad_request(status, &BadRequest { field: "body".to_owned(), problem })
}

fn readiness_response(is_ready: bool) -> Response<BoxBody> {
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    json_response(status, &json!({ "ready": is_ready }))
}

fn models_response(names: &[String]) -> Response<BoxBody> {
    let data: Vec<_> = names.iter().map(|name| json!({ "id": name, "object": "model" })).collect();
    json_response(StatusCode::OK, &json!({ "object": "list", "data": data }))
}
