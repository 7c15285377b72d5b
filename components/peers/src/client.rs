//! Client side: sends messages to other entry hosts and status requests of operators.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client::WsClient;
use jsonrpsee::ws_client::WsClientBuilder;
use log::debug;
use log::warn;
use tokio::sync::mpsc;
use wagtailledge_decisions::message::PeerEnvelope;

use crate::seal::MessageSeal;

/// Maximum number of messages queued per host. Further messages are dropped, which is safe because
/// every message is sent again.
const MAX_QUEUED: usize = 256;
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for the response to a request, counted from sending it.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before the next connection attempt after a failure. Messages queued meanwhile are dropped.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// A connection that sends no message for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a status request failed.
#[derive(Debug)]
pub enum PeerError {
    /// The connection failed, broke or timed out; holds the cause.
    Transport(String),
    /// The host answered with a JSON-RPC error; holds its text.
    Refused(String),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Transport(problem) => write!(f, "no connection: {problem}"),
            Self::Refused(problem) => write!(f, "refused: {problem}"),
        }
    }
}

impl std::error::Error for PeerError {}

impl From<ClientError> for PeerError {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::Call(refusal) => Self::Refused(refusal.message().to_owned()),
            other => Self::Transport(other.to_string()),
        }
    }
}

/// A serialized message and its HMAC in hexadecimal.
#[derive(Debug)]
struct SealedMessage {
    text: String,
    tag: String,
}

/// Sends messages to other entry hosts, with one queue and one connection per host.
#[derive(Debug, Clone)]
pub struct PeerClient {
    seal: MessageSeal,
    queues: Rc<RefCell<HashMap<String, mpsc::Sender<Rc<SealedMessage>>>>>,
    bytes: Arc<AtomicU64>,
    messages: Arc<AtomicU64>,
}

impl PeerClient {
    /// Creates a client without connections that seals its messages with `seal`.
    pub fn new(seal: MessageSeal) -> Self {
        Self {
            seal,
            queues: Rc::default(),
            bytes: Arc::new(AtomicU64::new(0)),
            messages: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Queues a message for the hosts at `addresses`. Each receives it at most once: the message
    /// may be lost, but is never delivered twice.
    pub fn send<'a>(&self, addresses: impl Iterator<Item = &'a str>, envelope: &PeerEnvelope) {
        let text = match serde_json::to_string(envelope) {
            Ok(text) => text,
            Err(error) => {
                warn!("message to other hosts not sent, it cannot be serialized: {error}");
                return;
            }
        };
        let tag = self.seal.seal(&text);
        let sealed = Rc::new(SealedMessage { text, tag });
        for address in addresses {
            self.enqueue(address, &sealed);
        }
    }

    fn enqueue(&self, address: &str, sealed: &Rc<SealedMessage>) {
        let mut queues = self.queues.borrow_mut();
        let open = queues.get(address).filter(|queue| !queue.is_closed()).cloned();
        let queue = open.unwrap_or_else(|| {
            let (queue, messages) = mpsc::channel(MAX_QUEUED);
            let sender = self.clone();
            actix_rt::spawn(sender.run(address.to_owned(), messages));
            queues.insert(address.to_owned(), queue.clone());
            queue
        });
        if queue.try_send(Rc::clone(sealed)).is_err() {
            debug!("send queue to {address} is full: message dropped");
        }
    }

    /// Number of messages sent so far and their total size in bytes, seals included.
    pub fn sent(&self) -> (u64, u64) {
        (self.messages.load(Ordering::Relaxed), self.bytes.load(Ordering::Relaxed))
    }

    async fn run(self, address: String, mut messages: mpsc::Receiver<Rc<SealedMessage>>) {
        let mut connection: Option<WsClient> = None;
        loop {
            let next = actix_rt::time::timeout(IDLE_TIMEOUT, messages.recv()).await;
            let Ok(Some(sealed)) = next else {
                return;
            };
            if connection.as_ref().is_none_or(|client| !client.is_connected()) {
                connection = connect(&address).await;
            }
            let Some(client) = &connection else {
                self.drop_queued(&address, &mut messages).await;
                continue;
            };
            let SealedMessage { text, tag } = sealed.as_ref();
            self.messages.fetch_add(1, Ordering::Relaxed);
            self.bytes.fetch_add((text.len() + tag.len()) as u64, Ordering::Relaxed);
            let delivered: Result<bool, ClientError> =
                client.request("deliver", rpc_params![text, tag]).await;
            match delivered {
                Ok(_) => {}
                Err(ClientError::Call(refusal)) => {
                    warn!("host at {address} refused a message: {}", refusal.message());
                }
                Err(error) => {
                    debug!("no answer to a message to {address}, it may be lost: {error}");
                    connection = None;
                    self.drop_queued(&address, &mut messages).await;
                }
            }
        }
    }

    /// Waits before the next connection attempt, then drops the queued messages as outdated.
    async fn drop_queued(&self, address: &str, messages: &mut mpsc::Receiver<Rc<SealedMessage>>) {
        actix_rt::time::sleep(RECONNECT_DELAY).await;
        let mut dropped = 0;
        while messages.try_recv().is_ok() {
            dropped += 1;
        }
        debug!("{address} is unreachable: {dropped} queued messages dropped");
    }
}

async fn connect(address: &str) -> Option<WsClient> {
    let builder = WsClientBuilder::default()
        .connection_timeout(CONNECT_TIMEOUT)
        .request_timeout(DELIVERY_TIMEOUT);
    builder.build(format!("ws://{address}")).await.ok()
}

/// Requests the status of the host at `address`, as JSON.
///
/// # Errors
/// Fails when the host is unreachable or refuses the seal.
pub async fn fetch_status(address: &str, seal: &MessageSeal) -> Result<String, PeerError> {
    let client = connect(address).await;
    let client = client.ok_or_else(|| PeerError::Transport(format!("to {address}")))?;
    let nonce = format!("status {:016x}", rand::random::<u64>());
    let tag = seal.seal(&nonce);
    Ok(client.request("status", rpc_params![nonce, tag]).await?)
}
