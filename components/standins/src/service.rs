//! A plain service, that is, an upstream that serves no models.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use serde_json::json;

use crate::http::StandInAnswer;
use crate::http::StandInHandler;
use crate::http::StandInRequest;
use crate::http::StandInServer;

#[derive(Debug, Default)]
struct ServiceState {
    /// How often each call ran, by path and body.
    runs: BTreeMap<String, u32>,
    delay: Duration,
    answers_to_lose: u32,
}

/// A plain service that counts how often each call ran and can simulate faults.
#[derive(Debug, Clone, Default)]
pub struct ServiceStandIn {
    state: Arc<Mutex<ServiceState>>,
}

impl ServiceStandIn {
    /// Starts an instance on a free loopback port; all instances share the counts.
    pub fn start(&self) -> StandInServer {
        StandInServer::start(Arc::new(self.clone()))
    }

    /// How often each call ran, by path and body separated by a blank.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.state.lock().expect("no thread panics while holding the lock").runs.clone()
    }

    /// Sets the time that each call takes.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().expect("no thread panics while holding the lock").delay = delay;
    }

    /// Runs the next `count` calls and sends no answer.
    pub fn lose_next_answers(&self, count: u32) {
        self.state.lock().expect("no thread panics while holding the lock").answers_to_lose = count;
    }
}

impl StandInHandler for ServiceStandIn {
    fn handle(self: Arc<Self>, request: StandInRequest) -> LocalBoxFuture<'static, StandInAnswer> {
        async move {
            if request.path == "/load" {
                return StandInAnswer::Json(200, json!({ "running": 0, "queued": 0 }));
            }
            let call = format!("{} {}", request.path, String::from_utf8_lossy(&request.body));
            let (run, delay, lost) = {
                let mut state = self.state.lock().expect("no thread panics while holding the lock");
                let runs = state.runs.entry(call.clone()).or_default();
                *runs += 1;
                let run = *runs;
                let lost = state.answers_to_lose > 0;
                state.answers_to_lose -= u32::from(lost);
                (run, state.delay, lost)
            };
            actix_rt::time::sleep(delay).await;
            if lost {
                return StandInAnswer::Hang;
            }
            StandInAnswer::Json(200, json!({ "call": call, "run": run }))
        }
        .boxed_local()
    }
}
