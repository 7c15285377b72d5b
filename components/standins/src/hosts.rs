//! The host list, an HTTP endpoint that lists entry hosts and upstreams.

use std::sync::Arc;
use std::sync::Mutex;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use serde_json::json;
use wagtailledge_keyvalue::HostEntry;

use crate::http::StandInAnswer;
use crate::http::StandInHandler;
use crate::http::StandInRequest;
use crate::http::StandInServer;

/// A host list whose entries the test sets.
#[derive(Debug, Clone, Default)]
pub struct HostListStandIn {
    entries: Arc<Mutex<Vec<HostEntry>>>,
}

impl HostListStandIn {
    /// Starts its HTTP server on a free loopback port.
    pub fn start(&self) -> StandInServer {
        StandInServer::start(Arc::new(self.clone()))
    }

    /// Adds a host or upstream, or replaces the entry with the same name.
    pub fn put(&self, entry: HostEntry) {
        let mut entries = self.entries.lock().expect("no thread panics while holding the lock");
        entries.retain(|other| other.name != entry.name);
        entries.push(entry);
    }

    /// Marks the host or upstream `name` as leaving.
    pub fn set_leaving(&self, name: &str) {
        let mut entries = self.entries.lock().expect("no thread panics while holding the lock");
        for entry in entries.iter_mut().filter(|entry| entry.name == name) {
            entry.leaving = true;
        }
    }

    /// Removes the host or upstream `name` from the list.
    pub fn remove(&self, name: &str) {
        self.entries
            .lock()
            .expect("no thread panics while holding the lock")
            .retain(|entry| entry.name != name);
    }
}

impl StandInHandler for HostListStandIn {
    fn handle(self: Arc<Self>, _request: StandInRequest) -> LocalBoxFuture<'static, StandInAnswer> {
        let entries = self.entries.lock().expect("no thread panics while holding the lock").clone();
        futures::future::ready(StandInAnswer::Json(200, json!(entries))).boxed_local()
    }
}
