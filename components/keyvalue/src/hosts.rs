//! Client of a host list served as JSON over HTTP.

use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use serde::Deserialize;
use serde::Serialize;
use wagtailledge_decisions::event::ListedHost;
use wagtailledge_decisions::event::ListedState;

use crate::HostListService;

/// Largest accepted host list, in bytes.
const MAX_LIST_BYTES: usize = 8 << 20;

/// One entry of the host list: an entry host or an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name, unique in the deployment.
    pub name: String,
    /// Availability zone of the host or upstream.
    pub zone: String,
    /// Address for messages between entry hosts; empty for upstreams.
    #[serde(default)]
    pub peer_address: String,
    /// Whether the host or upstream is shutting down.
    #[serde(default)]
    pub leaving: bool,
}

impl From<HostEntry> for ListedHost {
    fn from(entry: HostEntry) -> Self {
        let state = if entry.leaving { ListedState::Leaving } else { ListedState::Live };
        let scope = entry.zone.clone();
        let HostEntry { name, zone, peer_address, .. } = entry;
        Self { name, zone, scope, peer_address, capacity: 0, state, process: None }
    }
}

/// Reads the host list with an HTTP GET request.
#[derive(Debug)]
pub struct HttpHostList {
    url: String,
    timeout: Duration,
}

impl HttpHostList {
    /// Creates a client that reads from `url` and waits at most `timeout` per read.
    pub fn new(url: &str, timeout: Duration) -> Self {
        Self { url: url.to_owned(), timeout }
    }
}

impl HostListService for HttpHostList {
    fn list(&self) -> LocalBoxFuture<'static, Option<Vec<ListedHost>>> {
        let client = awc::Client::builder().timeout(self.timeout).finish();
        let request = client.get(&self.url);
        async move {
            let mut response = request.send().await.ok()?;
            if !response.status().is_success() {
                return None;
            }
            let body = response.body().limit(MAX_LIST_BYTES).await.ok()?;
            let entries: Vec<HostEntry> = serde_json::from_slice(&body).ok()?;
            Some(entries.into_iter().map(ListedHost::from).collect())
        }
        .boxed_local()
    }
}
