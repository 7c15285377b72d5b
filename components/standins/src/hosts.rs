//! The host list.

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

/// The platform's host list, kept by hand.
#[derive(Debug, Clone, Default)]
pub struct HostListStandIn {
    entries: Arc<Mutex<Vec<HostEntry>>>,
}

impl HostListStandIn {
    /// Starts it on loopback.
    pub fn start(&self) -> StandInServer {
        StandInServer::start(Arc::new(self.clone()))
    }

    /// Adds a host, or replaces the one with its name.
    pub fn put(&self, entry: HostEntry) {
        let mut entries = self.entries.lock().expect("no holder panics");
        entries.retain(|other| other.name != entry.name);
        entries.push(entry);
    }

    /// Marks a host as leaving.
    pub fn set_leaving(&self, name: &str) {
        let mut entries = self.entries.lock().expect("no holder panics");
        for entry in entries.iter_mut().filter(|entry| entry.name == name) {
            entry.leaving = true;
        }
    }

    /// Takes a host off the list.
    pub fn remove(&self, name: &str) {
        self.entries.lock().expect("no holder panics").retain(|entry| entry.name != name);
    }
}

impl StandInHandler for HostListStandIn {
    fn handle(self: Arc<Self>, _request: StandInRequest) -> LocalBoxFuture<'static, StandInAnswer> {
        let entries = self.entries.lock().expect("no holder panics").clone();
        futures::future::ready(StandInAnswer::Json(200, json!(entries))).boxed_local()
    }
}
