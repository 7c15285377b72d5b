//! HTTP server for requests that are forwarded by routes.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::TcpStream;
use hyper::Request;
use hyper::Version;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::debug;
use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::sync::Notify;

use crate::gate::CallerGate;

use super::connections::ConnectionPermit;
use super::connections::ConnectionTable;
use super::dialect::IngressDialect;
use super::handle::CountedBody;
use super::handle::handle;

/// Delay after a failure to accept a connection, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Largest number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;
/// Longest request head, in bytes; also the most that is read of a body at once.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Idle connections are kept open this much longer than the idle timeout that callers know.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// HTTP server that accepts connections until it is stopped.
#[derive(Debug)]
pub struct RelayServer {
    address: SocketAddr,
    stop: Rc<Notify>,
    connections: Rc<ConnectionTable>,
    gate: Rc<dyn CallerGate>,
}

/// Listens with a long accept queue, so that bursts of connections are not dropped.
pub(super) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

impl RelayServer {
    /// Listens on `address` and passes calls to `gate`. While `max_connections` are open, further
    /// ones are closed at once.
    ///
    /// # Errors
    /// Fails if the address cannot be listened on.
    pub fn start(
        address: SocketAddr,
        max_connections: usize,
        gate: Rc<dyn CallerGate>,
        dialect: Rc<dyn IngressDialect>,
    ) -> std::io::Result<Self> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let stop = Rc::new(Notify::new());
        let connections = Rc::new(ConnectionTable::default());
        let server = Self { address, stop, connections, gate };
        let (stop_signal, connections) = (Rc::clone(&server.stop), Rc::clone(&server.connections));
        let gate = Rc::clone(&server.gate);
        actix_rt::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = stop_signal.notified() => return,
                };
                match accepted {
                    Ok((stream, _)) if connections.count() < max_connections => {
                        let (gate, dialect) = (Rc::clone(&gate), Rc::clone(&dialect));
                        actix_rt::spawn(serve(stream, connections.open(), gate, dialect));
                    }
                    Ok((_, from)) => {
                        warn!(
                            "connection from {from} rejected: {max_connections} are open already"
                        );
                    }
                    Err(error) => {
                        warn!(
                            "cannot accept on {address}, retry in {ACCEPT_RETRY_DELAY:?}: {error}"
                        );
                        actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        });
        Ok(server)
    }

    /// Address listened on, with the port chosen by the system if none was given.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.count()
    }

    /// Closes connections that have been idle for longer than the idle timeout and its margin.
    pub fn sweep(&self) {
        self.connections.request_close(self.gate.limits().idle_timeout + IDLE_MARGIN, false);
    }

    /// Stops accepting connections, and closes open ones once their requests are answered.
    pub fn stop(&self) {
        self.stop.notify_one();
        self.connections.request_close(Duration::ZERO, true);
    }
}

async fn serve(
    stream: TcpStream,
    permit: ConnectionPermit,
    gate: Rc<dyn CallerGate>,
    dialect: Rc<dyn IngressDialect>,
) {
    // TCP_NODELAY is only an optimization: without it, answers are correct but may be delayed.
    if let Err(error) = stream.set_nodelay(true) {
        debug!("cannot set TCP_NODELAY for a caller, answers may be delayed: {error}");
    }
    let record = Rc::clone(&permit.record);
    let lacks_chunks = Cell::new(false);
    let service = service_fn(|request: Request<Incoming>| {
        lacks_chunks.set(request.version() < Version::HTTP_11);
        let (gate, dialect) = (Rc::clone(&gate), Rc::clone(&dialect));
        let guard = record.count_request();
        async move {
            let response = handle(request, gate, dialect).await?;
            Ok::<_, Infallible>(response.map(|body| CountedBody::new(body, guard)))
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let mut connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut close_requested = false;
    loop {
        tokio::select! {
            result = &mut connection => {
                if let Err(error) = result {
                    debug!("connection of a caller failed: {error}");
                    if lacks_chunks.get() {
                        reset(connection.into_parts().io.inner());
                    }
                }
                return;
            }
            () = permit.record.close_requested.notified(), if !close_requested => {
                close_requested = true;
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
        }
    }
}

/// Makes the end of a connection a reset. Without chunks, a regular end would say that the body in
/// progress is complete.
fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        warn!("cannot reset a caller's connection, its cut answer may look complete: {error}");
    }
}
