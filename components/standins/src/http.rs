//! The HTTP server that the stand-ins share; a test can kill it with all its connections.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;

use actix_http::ConnectionType;
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
use percent_encoding::percent_decode_str;
use serde_json::Value;

/// Interval at which the server checks whether it was killed.
const KILL_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A request as received by a stand-in.
#[derive(Debug, Clone)]
pub struct StandInRequest {
    /// HTTP method, as sent.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// Query string without its question mark; empty when there is none.
    pub query: String,
    /// Header values by lower-case name; the last value when a name is repeated.
    pub headers: BTreeMap<String, String>,
    /// Value of the header `x-request-id`; `None` when the header is missing.
    pub request_id: Option<String>,
    /// Complete request body.
    pub body: Bytes,
}

impl StandInRequest {
    /// Value of the header `name`, which is given in lower case; empty when the header is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Value of the query parameter `name`; empty when it is missing.
    pub fn query_parameter(&self, name: &str) -> String {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value);
        percent_decode_str(value).decode_utf8_lossy().into_owned()
    }

    /// Request body as JSON; null when it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// Chunks of a streamed response; an error closes the connection.
pub type ChunkStream = futures::stream::LocalBoxStream<'static, Result<Bytes, std::io::Error>>;

/// Response of a stand-in.
pub enum StandInAnswer {
    /// Status and JSON body.
    Json(u16, Value),
    /// Status, headers and body.
    Reply(u16, Vec<(&'static str, String)>, Bytes),
    /// Status 200 with a stream of server-sent events.
    Events(ChunkStream),
    /// Status 200 with a plain text in chunks.
    Text(ChunkStream),
    /// Headers and a stream of server-sent events, with status 200.
    EventsWithHeaders(Vec<(&'static str, String)>, ChunkStream),
    /// Like `EventsWithHeaders`, but without chunks: the body ends when its connection is closed.
    EventsUntilClose(Vec<(&'static str, String)>, ChunkStream),
    /// The request is never answered; its connection stays open.
    Hang,
}

impl std::fmt::Debug for StandInAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Json(status, value) => write!(f, "Json({status}, {value})"),
            Self::Reply(status, _, body) => write!(f, "Reply({status}, {} bytes)", body.len()),
            Self::Text(_) => f.write_str("Text"),
            Self::Events(_) | Self::EventsWithHeaders(..) | Self::EventsUntilClose(..) => {
                f.write_str("Events")
            }
            Self::Hang => f.write_str("Hang"),
        }
    }
}

/// Request handler that all connections of a stand-in share.
pub trait StandInHandler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(self: Arc<Self>, request: StandInRequest) -> LocalBoxFuture<'static, StandInAnswer>;
}

/// Closes the port and all connections of a server.
#[derive(Debug, Clone)]
pub struct KillSwitch(Arc<AtomicBool>);

impl KillSwitch {
    /// Closes the port and all connections at the server's next check.
    pub fn kill(&self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// A running HTTP server of a stand-in; killed when dropped.
#[derive(Debug)]
pub struct StandInServer {
    address: SocketAddr,
    killed: Arc<AtomicBool>,
}

impl StandInServer {
    /// Starts a server on a free loopback port, in its own thread.
    pub fn start(handler: Arc<dyn StandInHandler>) -> Self {
        let killed = Arc::new(AtomicBool::new(false));
        let (ready, address) = mpsc::channel();
        let stopped = Arc::clone(&killed);
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(serve(handler, &ready, &stopped));
        });
        let address = address.recv().expect("the server binds a free loopback port");
        Self { address, killed }
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the port and all connections at the next check.
    pub fn kill(&self) {
        self.kill_switch().kill();
    }

    /// Switch that kills the server from any thread.
    pub fn kill_switch(&self) -> KillSwitch {
        KillSwitch(Arc::clone(&self.killed))
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
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port can be bound");
    let _ = ready.send(listener.local_addr().expect("a bound socket has an address"));
    let service = HttpService::build()
        .finish(move |request: Request| {
            let handler = Arc::clone(&handler);
            async move { Ok::<_, Infallible>(respond(handler, request).await) }
        })
        .tcp()
        .new_service(())
        .await
        .expect("creating the service cannot fail");
    let service = Rc::new(service);
    let accept = async {
        while let Ok((stream, _)) = listener.accept().await {
            let service = Rc::clone(&service);
            actix_rt::spawn(async move {
                // Connection errors are for the code under test to handle.
                let _ = service.call(stream).await;
            });
        }
    };
    let until_killed = async {
        while !killed.load(Ordering::SeqCst) {
            actix_rt::time::sleep(KILL_CHECK_INTERVAL).await;
        }
    };
    // Returning stops the actix system of this thread, which closes all connections.
    futures::future::select(Box::pin(accept), Box::pin(until_killed)).await;
}

async fn respond(handler: Arc<dyn StandInHandler>, mut request: Request) -> Response<BoxBody> {
    let mut body = BytesMut::new();
    while let Some(Ok(chunk)) = request.payload().next().await {
        body.extend_from_slice(&chunk);
    }
    let id = request.headers().get("x-request-id").and_then(|value| value.to_str().ok());
    let id = id.map(str::to_owned);
    let received = StandInRequest {
        method: request.method().to_string(),
        path: request.path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        headers: header_map(&request),
        request_id: id.clone(),
        body: body.freeze(),
    };
    match handler.handle(received).await {
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
        StandInAnswer::Text(chunks) => stream_response("text/plain", Vec::new(), chunks),
        StandInAnswer::Events(chunks) => event_response(Vec::new(), chunks),
        StandInAnswer::EventsWithHeaders(headers, chunks) => event_response(headers, chunks),
        StandInAnswer::EventsUntilClose(headers, chunks) => {
            let mut response = event_response(headers, chunks);
            response.head_mut().no_chunking(true);
            response.head_mut().set_connection_type(ConnectionType::Close);
            response
        }
        StandInAnswer::Hang => futures::future::pending().await,
    }
}

fn header_map(request: &Request) -> BTreeMap<String, String> {
    let text = |value: &actix_http::header::HeaderValue| {
        String::from_utf8_lossy(value.as_bytes()).into_owned()
    };
    request.headers().iter().map(|(name, value)| (name.to_string(), text(value))).collect()
}

fn event_response(headers: Vec<(&'static str, String)>, chunks: ChunkStream) -> Response<BoxBody> {
    stream_response("text/event-stream", headers, chunks)
}

fn stream_response(
    content_type: &str,
    headers: Vec<(&'static str, String)>,
    chunks: ChunkStream,
) -> Response<BoxBody> {
    let mut builder = Response::build(StatusCode::OK);
    builder.insert_header((CONTENT_TYPE, content_type));
    for header in headers {
        builder.insert_header(header);
    }
    builder.body(BodyStream::new(chunks)).map_into_boxed_body()
}
