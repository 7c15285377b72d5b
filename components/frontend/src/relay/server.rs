//! Listening for callers whose requests are passed through.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::TcpStream;
use hyper::Request;
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

/// Pause after a failure to accept a connection, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Longest head, in bytes; also the longest part of a body that is read at once.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Unused connections stay open this much longer than callers are told.
const IDLE_SLACK: Duration = Duration::from_secs(2);

/// Listens for callers until it is told to stop.
#[derive(Debug)]
pub struct RelayServer {
    address: SocketAddr,
    stop: Rc<Notify>,
    table: Rc<ConnectionTable>,
    gate: Rc<dyn CallerGate>,
}

/// Listens with a long queue, so that a burst of connections is not dropped.
pub(super) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl RelayServer {
    /// Listens on `address` and hands calls to `gate`; more than `most` connections at once are
    /// closed at once.
    ///
    /// # Errors
    /// Fails when the address cannot be listened on.
    pub fn start(
        address: SocketAddr,
        most: usize,
        gate: Rc<dyn CallerGate>,
        dialect: Rc<dyn IngressDialect>,
    ) -> std::io::Result<Self> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let stop = Rc::new(Notify::new());
        let table = Rc::new(ConnectionTable::default());
        let server = Self { address, stop, table, gate };
        let (stopped, counted) = (Rc::clone(&server.stop), Rc::clone(&server.table));
        let gate = Rc::clone(&server.gate);
        actix_rt::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = stopped.notified() => return,
                };
                match accepted {
                    Ok((stream, _)) if counted.count() < most => {
                        let (gate, dialect) = (Rc::clone(&gate), Rc::clone(&dialect));
                        actix_rt::spawn(serve(stream, counted.open(), gate, dialect));
                    }
                    Ok((_, from)) => warn!("too many connections: {from} turned away"),
                    Err(error) => {
                        warn!("accept failed: {error}");
                        actix_rt::time::sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
        });
        Ok(server)
    }

    /// The address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections open now.
    pub fn connections(&self) -> usize {
        self.table.count()
    }

    /// Closes connections that have been unused for longer than callers may expect.
    pub fn sweep(&self) {
        self.table.close_idle(self.gate.limits().idle_timeout + IDLE_SLACK, false);
    }

    /// Stops accepting. Connections are closed once their requests are answered.
    pub fn stop(&self) {
        self.stop.notify_one();
        self.table.close_idle(Duration::ZERO, true);
    }
}

async fn serve(
    stream: TcpStream,
    permit: ConnectionPermit,
    gate: Rc<dyn CallerGate>,
    dialect: Rc<dyn IngressDialect>,
) {
    // Only a hint to the kernel: without it answers are late, not wrong.
    if let Err(error) = stream.set_nodelay(true) {
        debug!("TCP_NODELAY: {error}");
    }
    let record = Rc::clone(&permit.record);
    let service = service_fn(|request: Request<Incoming>| {
        let (gate, dialect) = (Rc::clone(&gate), Rc::clone(&dialect));
        let active = record.serve();
        async move {
            let response = handle(request, gate, dialect).await?;
            Ok::<_, Infallible>(response.map(|body| CountedBody::new(body, active)))
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut closing = false;
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    debug!("connection ended: {error}");
                }
                return;
            }
            () = permit.record.closing.notified(), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}
