//! Server side: receives messages of other entry hosts and status requests of operators.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use jsonrpsee::RpcModule;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::Params;
use log::warn;
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use wagtailledge_decisions::message::MESSAGE_VERSION;
use wagtailledge_decisions::message::PeerEnvelope;

use crate::seal::MessageSeal;

/// Maximum number of requests received and not yet processed; further messages are refused.
const MAX_QUEUED: usize = 4_096;
/// Maximum size of a request, in bytes.
const MAX_MESSAGE_BYTES: u32 = 16 << 20;
/// Maximum number of open connections, from other hosts and operators together.
const MAX_CONNECTIONS: u32 = 4_096;

/// JSON-RPC error: the seal does not match.
const ERROR_SEAL: i32 = 1;
/// JSON-RPC error: the message has a version that this host does not support.
const ERROR_VERSION: i32 = 2;
/// JSON-RPC error: the inbox is full, or this host is shutting down.
const ERROR_BUSY: i32 = 3;
/// JSON-RPC error: the message cannot be parsed.
const ERROR_FORMAT: i32 = 4;

/// A verified request to this host.
#[derive(Debug)]
pub enum PeerTraffic {
    /// A message from another entry host.
    Message(Box<PeerEnvelope>),
    /// An operator's status request; the answer is sent as JSON.
    Status(oneshot::Sender<String>),
}

/// The version field alone, which can be read from messages of every version.
#[derive(Debug, Deserialize)]
struct VersionOnly {
    version: u32,
}

struct ServerContext {
    seal: MessageSeal,
    inbox: mpsc::Sender<PeerTraffic>,
    bytes: Arc<AtomicU64>,
}

/// JSON-RPC server for other entry hosts and operators; stops when dropped.
#[derive(Debug)]
pub struct PeerServer {
    handle: ServerHandle,
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl PeerServer {
    /// Starts listening on `address`; verified requests arrive at the returned receiver.
    ///
    /// # Errors
    /// Fails when the address cannot be listened on.
    pub async fn start(
        address: SocketAddr,
        seal: MessageSeal,
    ) -> std::io::Result<(Self, mpsc::Receiver<PeerTraffic>)> {
        let config = ServerConfig::builder()
            .max_connections(MAX_CONNECTIONS)
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .build();
        let server = Server::builder().set_config(config).build(address).await?;
        let address = server.local_addr()?;
        let (inbox, received) = mpsc::channel(MAX_QUEUED);
        let bytes = Arc::new(AtomicU64::new(0));
        let context = ServerContext { seal, inbox, bytes: Arc::clone(&bytes) };
        let mut module = RpcModule::new(context);
        module
            .register_method("deliver", |params, context, _| deliver(&params, context))
            .map_err(std::io::Error::other)?;
        module
            .register_async_method("status", |params, context, _| async move {
                status(params, context).await
            })
            .map_err(std::io::Error::other)?;
        let handle = server.start(module);
        Ok((Self { handle, address, bytes }, received))
    }

    /// The local address, with the port chosen by the system if 0 was given.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Total bytes of messages received so far, seals and refused messages included.
    pub fn received_bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        // Fails only if the server has already stopped.
        let _ = self.handle.stop();
    }
}

fn rpc_error(code: i32, text: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, text, None::<()>)
}

/// Returns the text of a request, or an error if its seal is wrong.
fn verified_text(params: &Params<'_>, context: &ServerContext) -> Result<String, ErrorObjectOwned> {
    let (text, tag): (String, String) = params.parse()?;
    context.bytes.fetch_add((text.len() + tag.len()) as u64, Ordering::Relaxed);
    if !context.seal.is_valid(&text, &tag) {
        return Err(rpc_error(ERROR_SEAL, "the seal does not match: wrong shared secret"));
    }
    Ok(text)
}

fn deliver(params: &Params<'_>, context: &ServerContext) -> Result<bool, ErrorObjectOwned> {
    let text = verified_text(params, context)?;
    let version: VersionOnly = serde_json::from_str(&text)
        .map_err(|error| rpc_error(ERROR_FORMAT, &format!("message without a version: {error}")))?;
    if version.version != MESSAGE_VERSION {
        let problem = format!(
            "message version {} is not spoken here, only {MESSAGE_VERSION}",
            version.version
        );
        warn!("message refused: {problem}");
        return Err(rpc_error(ERROR_VERSION, &problem));
    }
    let envelope: PeerEnvelope = serde_json::from_str(&text)
        .map_err(|error| rpc_error(ERROR_FORMAT, &format!("message cannot be read: {error}")))?;
    match context.inbox.try_send(PeerTraffic::Message(Box::new(envelope))) {
        Ok(()) => Ok(true),
        Err(error) => Err(rpc_error(ERROR_BUSY, &format!("inbox: {error}"))),
    }
}

async fn status(
    params: Params<'static>,
    context: Arc<ServerContext>,
) -> Result<String, ErrorObjectOwned> {
    verified_text(&params, &context)?;
    let (answer, status) = oneshot::channel();
    let sent = context.inbox.send(PeerTraffic::Status(answer)).await;
    sent.map_err(|error| rpc_error(ERROR_BUSY, &error.to_string()))?;
    status.await.map_err(|error| rpc_error(ERROR_BUSY, &error.to_string()))
}
