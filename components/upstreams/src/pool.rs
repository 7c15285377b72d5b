//! Connections that are kept open between exchanges.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
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
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::http::response;
use hyper_util::rt::TokioIo;
use log::debug;
use tokio::task::AbortHandle;

/// Longest wait for a connection; shorter than the lease margin, which it counts against.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time a connection stays unused before it is closed, unless its upstream says otherwise.
const DEFAULT_KEEP: Duration = Duration::from_secs(15);
/// A connection is given up this long before its upstream would close it.
const KEEP_MARGIN: Duration = Duration::from_millis(700);
/// Unused connections kept for one address.
const MAX_IDLE: usize = 64;

/// Why an exchange got no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeFault {
    /// No byte of the request was written.
    NotSent(String),
    /// Part of the request may have arrived.
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

type RequestSender = SendRequest<Full<Bytes>>;

/// One open connection. Closes it when dropped.
#[derive(Debug)]
struct OpenConnection {
    sender: RequestSender,
    task: AbortHandle,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A connection without an exchange.
#[derive(Debug)]
struct IdleConnection {
    connection: OpenConnection,
    since: Instant,
    until: Instant,
}

/// Connections of one process to everything it talks HTTP to.
#[derive(Debug, Clone, Default)]
pub struct ConnectionPool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

/// A connection that an answer comes on. Dropping it closes the connection, so that the upstream
/// notices.
#[derive(Debug)]
pub struct HeldConnection {
    pool: ConnectionPool,
    address: SocketAddr,
    connection: OpenConnection,
}

/// An answer whose body has not been read yet.
#[derive(Debug)]
pub struct OpenAnswer {
    /// Its head.
    pub head: response::Parts,
    /// Its body.
    pub body: Incoming,
    /// What it comes on.
    pub connection: HeldConnection,
}

impl HeldConnection {
    /// Keeps the connection for later exchanges. To be called after the whole body was read.
    pub fn keep(self, span: Option<Duration>) {
        let keep = span.unwrap_or(DEFAULT_KEEP).saturating_sub(KEEP_MARGIN);
        self.pool.put(self.address, self.connection, keep);
    }
}

impl ConnectionPool {
    /// Sends a request and waits for the head of its answer. Only connections that were used
    /// within `recent` are taken up again; zero always opens a new one.
    ///
    /// # Errors
    /// Tells whether any byte of the request may have been written.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        recent: Duration,
    ) -> Result<OpenAnswer, ExchangeFault> {
        while let Some(mut connection) = self.take(address, recent) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(self.answer(address, connection, response)),
                Err(mut error) => match error.take_message() {
                    // The connection was closed before it took the request.
                    Some(unsent) => request = unsent,
                    None => return Err(ExchangeFault::Lost(error.into_error().to_string())),
                },
            }
        }
        let mut connection = Self::connect(address).await.map_err(ExchangeFault::NotSent)?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(self.answer(address, connection, response)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let problem = error.into_error().to_string();
                let fault = if unsent { ExchangeFault::NotSent } else { ExchangeFault::Lost };
                Err(fault(problem))
            }
        }
    }

    fn answer(
        &self,
        address: SocketAddr,
        connection: OpenConnection,
        response: Response<Incoming>,
    ) -> OpenAnswer {
        let (head, body) = response.into_parts();
        let connection = HeldConnection { pool: self.clone(), address, connection };
        OpenAnswer { head, body, connection }
    }

    async fn connect(address: SocketAddr) -> Result<OpenConnection, String> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(format!("connection to {address}: {error}")),
            Err(_elapsed) => return Err(format!("connection to {address}: timed out")),
        };
        // Only a hint to the kernel: without it answers are late, not wrong.
        if let Err(error) = stream.set_nodelay(true) {
            debug!("TCP_NODELAY for {address}: {error}");
        }
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| format!("connection to {address}: {error}"))?;
        let task = actix_rt::spawn(async move {
            if let Err(error) = connection.await {
                debug!("connection to {address} ended: {error}");
            }
        });
        Ok(OpenConnection { sender, task: task.abort_handle() })
    }

    /// The connection used last, if there is one that was used within `recent`.
    fn take(&self, address: SocketAddr, recent: Duration) -> Option<OpenConnection> {
        let mut idle = self.idle.borrow_mut();
        let shelf = idle.get_mut(&address)?;
        let now = Instant::now();
        shelf.retain(|entry| !entry.connection.sender.is_closed() && entry.until > now);
        let usable = shelf.iter().rposition(|entry| {
            entry.connection.sender.is_ready() && now.duration_since(entry.since) < recent
        })?;
        Some(shelf.remove(usable).connection)
    }

    fn put(&self, address: SocketAddr, connection: OpenConnection, keep: Duration) {
        if connection.sender.is_closed() || keep.is_zero() {
            return;
        }
        let since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let shelf = idle.entry(address).or_default();
        if shelf.len() >= MAX_IDLE {
            shelf.remove(0);
        }
        shelf.push(IdleConnection { connection, since, until: since + keep });
    }

    /// Closes connections that have been unused for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, shelf| {
            shelf.retain(|entry| !entry.connection.sender.is_closed() && entry.until > now);
            !shelf.is_empty()
        });
    }

    /// Closes all unused connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }
}
