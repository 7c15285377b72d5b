//! Pool of HTTP/1.1 connections that are reused.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::net::TcpStream;
use actix_rt::time::timeout;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::http::response;
use hyper_util::rt::TokioIo;
use log::debug;
use tokio::task::AbortHandle;
use wagtailledge_decisions::event::UpstreamReach;

use crate::stream::RevocableStream;
use crate::stream::StreamControl;
use crate::stream::WriteTerms;

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Keep-alive time that is assumed for an upstream whose answer states none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(15);
/// Longest keep-alive time that is used; upstreams may announce any.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(600);
/// An idle connection is closed this long before its upstream would close it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Time for which connections to an address are used once only after a second answer arrived from there.
const SINGLE_USE_TIME: Duration = Duration::from_secs(60);
/// Longest head of an answer, in bytes; also the most that is read of a body at once.
const MAX_READ_BYTES: usize = 16 << 10;
/// Maximum number of idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Why an exchange has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeFault {
    /// No byte of the request was written. Holds the error.
    NotSent(String),
    /// The upstream may have received some or all of the request. Holds the error.
    Lost(String),
}

impl fmt::Display for ExchangeFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(problem) => write!(f, "not sent: {problem}"),
            Self::Lost(problem) => write!(f, "no answer: {problem}"),
        }
    }
}

impl std::error::Error for ExchangeFault {}

/// Why a connection could not be opened.
#[derive(Debug)]
enum ConnectFault {
    /// The address refused it: no process listens there. Holds the error.
    Refused(String),
    /// Any other reason. Holds the error.
    Failed(String),
}

impl From<ConnectFault> for ExchangeFault {
    fn from(fault: ConnectFault) -> Self {
        match fault {
            ConnectFault::Refused(problem) | ConnectFault::Failed(problem) => {
                Self::NotSent(problem)
            }
        }
    }
}

type RequestSender = SendRequest<Full<Bytes>>;

/// Open connection, closed when dropped. During an exchange it is reset, so that nothing of the
/// request is sent any more.
#[derive(Debug)]
struct OpenConnection {
    sender: RequestSender,
    control: Rc<StreamControl>,
    task: AbortHandle,
    /// Whether an exchange before the current one has used it.
    is_reused: bool,
}

impl OpenConnection {
    /// The fault of an exchange whose request could not be sent.
    fn fault(&self, mut error: TrySendError<Request<Full<Bytes>>>) -> ExchangeFault {
        let unsent = error.take_message().is_some() || self.control.was_refused();
        let problem = error.into_error().to_string();
        if unsent { ExchangeFault::NotSent(problem) } else { ExchangeFault::Lost(problem) }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connection that is not used by any exchange.
#[derive(Debug)]
struct IdleConnection {
    connection: OpenConnection,
    /// End of the last exchange.
    idle_since: Instant,
    /// Time at which the connection is closed if it is still idle.
    expires: Instant,
}

/// Idle connections of one process, by address. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct ConnectionPool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    /// Addresses whose connections are used once only, and until when.
    single_use: Rc<RefCell<HashMap<SocketAddr, Instant>>>,
}

/// Connection on which an answer arrives. Dropping it resets the connection, so that the upstream
/// can stop work on the request, or never receives the rest of it.
#[derive(Debug)]
pub struct AnswerConnection {
    pool: ConnectionPool,
    address: SocketAddr,
    connection: OpenConnection,
}

/// An answer whose body has not been read yet.
#[derive(Debug)]
pub struct OpenAnswer {
    /// Status and headers.
    pub head: response::Parts,
    /// Unread body.
    pub body: Incoming,
    /// Connection on which the body arrives.
    pub connection: AnswerConnection,
}

impl AnswerConnection {
    /// Returns the connection to the pool. Must be called only after the whole body was read.
    /// `keep_alive` is the time for which the upstream keeps an idle connection open, if known.
    pub fn release(self, keep_alive: Option<Duration>) {
        let Self { pool, address, mut connection } = self;
        connection.is_reused = true;
        pool.put(address, connection, max_idle_time(keep_alive));
    }

    /// Closes the connection in the regular way. Must be called only after the whole body was read.
    pub fn close(self) {
        self.connection.control.end_exchange();
    }

    /// Whether an earlier exchange used the connection, so that an answer on it may belong to that.
    pub fn is_reused(&self) -> bool {
        self.connection.is_reused
    }
}

/// Time for which a connection is kept idle whose upstream keeps it for `keep_alive`, if known.
fn max_idle_time(keep_alive: Option<Duration>) -> Duration {
    let keep_alive = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).min(MAX_KEEP_ALIVE);
    keep_alive.saturating_sub(KEEP_ALIVE_MARGIN)
}

impl ConnectionPool {
    /// Sends a request and waits for the head of its answer. Reuses only connections that have been
    /// idle for less than `reuse_within`; zero always opens a new one.
    ///
    /// # Errors
    /// The error says whether any byte of the request may have been written.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse_within: Duration,
    ) -> Result<OpenAnswer, ExchangeFault> {
        self.send_on_terms(address, request, reuse_within, WriteTerms::default()).await
    }

    /// Like [`Self::send`], with terms for writing the request.
    pub(crate) async fn send_on_terms(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        reuse_within: Duration,
        terms: WriteTerms,
    ) -> Result<OpenAnswer, ExchangeFault> {
        while let Some(mut connection) = self.take(address, reuse_within) {
            connection.control.begin_exchange(terms.clone());
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(self.answer(address, connection, response)),
                Err(mut error) => match error.take_message() {
                    // The connection was closed before any byte of the request was written.
                    Some(unsent) => request = unsent,
                    None => return Err(connection.fault(error)),
                },
            }
        }
        let mut connection = Self::connect(address).await?;
        connection.control.begin_exchange(terms);
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(self.answer(address, connection, response)),
            Err(error) => Err(connection.fault(error)),
        }
    }

    fn answer(
        &self,
        address: SocketAddr,
        connection: OpenConnection,
        response: Response<Incoming>,
    ) -> OpenAnswer {
        let (head, body) = response.into_parts();
        let connection = AnswerConnection { pool: self.clone(), address, connection };
        OpenAnswer { head, body, connection }
    }

    /// Opens a connection to see whether an upstream accepts it. The next exchange uses it.
    pub async fn check(&self, address: SocketAddr) -> UpstreamReach {
        match Self::connect(address).await {
            Ok(connection) => {
                self.put(address, connection, max_idle_time(None));
                UpstreamReach::Listening
            }
            Err(ConnectFault::Refused(_)) => UpstreamReach::Refused,
            Err(ConnectFault::Failed(_)) => UpstreamReach::Silent,
        }
    }

    async fn connect(address: SocketAddr) -> Result<OpenConnection, ConnectFault> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                let problem = format!("connecting to {address} failed: {error}");
                let refused = error.kind() == ErrorKind::ConnectionRefused;
                return Err(if refused {
                    ConnectFault::Refused(problem)
                } else {
                    ConnectFault::Failed(problem)
                });
            }
            Err(_elapsed) => {
                let problem = format!("connecting to {address} took over {CONNECT_TIMEOUT:?}");
                return Err(ConnectFault::Failed(problem));
            }
        };
        // Without TCP_NODELAY, requests may be delayed but are still correct.
        if let Err(error) = stream.set_nodelay(true) {
            debug!("TCP_NODELAY not set for {address}, requests may be delayed: {error}");
        }
        let control = Rc::new(StreamControl::default());
        let failed = |problem: &str, error: &dyn fmt::Display| {
            ConnectFault::Failed(format!("{problem} {address}: {error}"))
        };
        let stream = RevocableStream::new(stream, Rc::clone(&control))
            .map_err(|error| failed("no reset can be set for the connection to", &error))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| failed("HTTP handshake failed with", &error))?;
        let task = actix_rt::spawn(async move {
            if let Err(error) = connection.await {
                debug!("connection to {address} failed: {error}");
            }
        });
        let task = task.abort_handle();
        Ok(OpenConnection { sender, control, task, is_reused: false })
    }

    /// Removes the most recently used of the connections that have been idle for less than
    /// `reuse_within`.
    fn take(&self, address: SocketAddr, reuse_within: Duration) -> Option<OpenConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|entry| !entry.connection.sender.is_closed() && entry.expires > now);
        let usable = connections.iter().rposition(|entry| {
            entry.connection.sender.is_ready()
                && now.duration_since(entry.idle_since) < reuse_within
        })?;
        Some(connections.remove(usable).connection)
    }

    /// Closes the idle connections to an address, as a second answer arrived on one of them, and uses
    /// each new one once only for some time.
    pub(crate) fn use_once(&self, address: SocketAddr) {
        let until = Instant::now() + SINGLE_USE_TIME;
        self.single_use.borrow_mut().insert(address, until);
        self.close_idle(address);
    }

    fn put(&self, address: SocketAddr, connection: OpenConnection, max_idle: Duration) {
        connection.control.end_exchange();
        let is_single_use = self.single_use.borrow().contains_key(&address);
        if connection.sender.is_closed() || max_idle.is_zero() || is_single_use {
            return;
        }
        let idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() >= MAX_IDLE_PER_ADDRESS {
            connections.remove(0);
        }
        connections.push(IdleConnection { connection, idle_since, expires: idle_since + max_idle });
    }

    /// Drops idle connections that are closed or have expired.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.single_use.borrow_mut().retain(|_, until| *until > now);
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|entry| !entry.connection.sender.is_closed() && entry.expires > now);
            !connections.is_empty()
        });
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }
}
