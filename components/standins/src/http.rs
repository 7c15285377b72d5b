//! A small HTTP server that can be killed, with all its connections.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::HttpService;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BodyStream;
use actix_http::body::BoxBody;
use actix_http::header::CONTENT_TYPE;
use actix_rt::net::TcpListener;
use actix_service::Service;
use actix_service::ServiceFactory;
use bytes::Bytes;
use bytes::BytesMut;
use futures::StreamExt;
use futures::future::LocalBoxFuture;
use serde_json::Value;

/// Between two looks whether the server was killed.
const KILL_CHECK: Duration = Duration::from_millis(5);

/// A request as a stand-in sees it.
#[derive(Debug)]
pub struct StandInRequest {
    /// HTTP method.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// Query, without its question mark.
    pub query: String,
    /// Headers; names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The request id, if the caller sent one.
    pub request_id: Option<String>,
    /// Body.
    pub body: Bytes,
}

impl StandInRequest {
    /// A header's value; empty when there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// A value of the query; empty when there is none.
    pub fn parameter(&self, name: &str) -> &str {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
    }

    /// The body as JSON; null when it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// Parts of a streamed answer; an error cuts the connection.
pub type PartStream = futures::stream::LocalBoxStream<'static, Result<Bytes, std::io::Error>>;

/// What a stand-in answers.
pub enum StandInAnswer {
    /// Status and JSON body.
    Json(u16, Value),
    /// Status, headers and body.
    Reply(u16, Vec<(&'static str, String)>, Bytes),
    /// A stream of server-sent events.
    Events(PartStream),
    /// The same, with headers.
    MarkedEvents(Vec<(&'static str, String)>, PartStream),
    /// No answer ever comes.
    Hang,
}

impl std::fmt::Debug for StandInAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Json(status, value) => write!(f, "Json({status}, {value})"),
            Self::Reply(status, _, body) => write!(f, "Reply({status}, {} bytes)", body.len()),
            Self::Events(_) | Self::MarkedEvents(..) => f.write_str("Events"),
            Self::Hang => f.write_str("Hang"),
        }
    }
}

/// Handles requests; shared by all connections of a stand-in.
pub trait StandInHandler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(self: Arc<Self>, request: StandInRequest) -> LocalBoxFuture<'static, StandInAnswer>;
}

/// A running stand-in; stops when dropped.
#[derive(Debug)]
pub struct StandInServer {
    address: SocketAddr,
    killed: Arc<AtomicBool>,
}

impl StandInServer {
    /// Starts on a free port of the loopback interface, on a thread of its own.
    pub fn start(handler: Arc<dyn StandInHandler>) -> Self {
        let killed = Arc::new(AtomicBool::new(false));
        let (ready, address) = mpsc::channel();
        let stopped = Arc::clone(&killed);
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(serve(handler, &ready, &stopped));
        });
        let address = address.recv().expect("a free port of the loopback interface");
        Self { address, killed }
    }

    /// The address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the port and all connections.
    pub fn kill(&self) {
        self.killed.store(true, Ordering::SeqCst);
    }
}

impl Drop for StandInServer {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn serve(
    handler: Arc<dyn StandInHandler>,
    ready: &mpsc::Sender<SocketAddr>,
    killed: &Arc<AtomicBool>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be listened on");
    let _ = ready.send(listener.local_addr().expect("a bound socket has an address"));
    let service = HttpService::build()
        .finish(move |request: Request| {
            let handler = Arc::clone(&handler);
            async move { Ok::<_, Infallible>(answer(handler, request).await) }
        })
        .tcp()
        .new_service(())
        .await
        .expect("the service has no start-up of its own");
    let service = Rc::new(service);
    let accept = async {
        while let Ok((stream, _)) = listener.accept().await {
            let service = Rc::clone(&service);
            actix_rt::spawn(async move {
                // A connection that ends early is the tested side's business.
                let _ = service.call(stream).await;
            });
        }
    };
    let watch = async {
        while !killed.load(Ordering::SeqCst) {
            actix_rt::time::sleep(KILL_CHECK).await;
        }
    };
    // Returning ends the system of this thread, and with it all connections.
    futures::future::select(Box::pin(accept), Box::pin(watch)).await;
}

async fn answer(handler: Arc<dyn StandInHandler>, mut request: Request) -> Response<BoxBody> {
    let mut body = BytesMut::new();
    while let Some(Ok(part)) = request.payload().next().await {
        body.extend_from_slice(&part);
    }
    let id = request.headers().get("x-request-id").and_then(|value| value.to_str().ok());
    let id = id.map(str::to_owned);
    let seen = StandInRequest {
        method: request.method().to_string(),
        path: request.path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        headers: headers(&request),
        request_id: id.clone(),
        body: body.freeze(),
    };
    match handler.handle(seen).await {
        StandInAnswer::Json(status, value) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            let mut builder = Response::build(status);
            builder.insert_header((CONTENT_TYPE, "application/json"));
            if let Some(id) = id {
                builder.insert_header(("x-request-id", id));
            }
            builder.body(value.to_string()).map_into_boxed_body()
        }
        StandInAnswer::Reply(status, headers, body) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            let mut builder = Response::build(status);
            for header in headers {
                builder.insert_header(header);
            }
            builder.body(body).map_into_boxed_body()
        }
        StandInAnswer::Events(parts) => events(Vec::new(), parts),
        StandInAnswer::MarkedEvents(headers, parts) => events(headers, parts),
        StandInAnswer::Hang => futures::future::pending().await,
    }
}

fn headers(request: &Request) -> BTreeMap<String, String> {
    let text = |value: &actix_http::header::HeaderValue| {
        String::from_utf8_lossy(value.as_bytes()).into_owned()
    };
    request.headers().iter().map(|(name, value)| (name.to_string(), text(value))).collect()
}

fn events(headers: Vec<(&'static str, String)>, parts: PartStream) -> Response<BoxBody> {
    let mut builder = Response::build(StatusCode::OK);
    builder.insert_header((CONTENT_TYPE, "text/event-stream"));
    for header in headers {
        builder.insert_header(header);
    }
    builder.body(BodyStream::new(parts)).map_into_boxed_body()
}
