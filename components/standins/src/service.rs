//! A plain service, that is, an upstream that serves no models.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::StreamExt;
use futures::future::LocalBoxFuture;
use serde_json::json;

use crate::http::StandInAnswer;
use crate::http::StandInHandler;
use crate::http::StandInRequest;
use crate::http::StandInServer;

/// Time before each chunk of an answer.
const CHUNK_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct ServiceState {
    /// How often each call ran, by path and body.
    runs: BTreeMap<String, u32>,
    delay: Duration,
    answers_to_lose: u32,
    /// How the next answers end that are sent in chunks; later ones are sent with a length.
    chunked_ends: VecDeque<ChunkedEnd>,
}

/// How an answer ends that is sent in chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkedEnd {
    /// With the last chunk.
    Complete,
    /// With the end of the connection, without the last chunk.
    Cut,
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

    /// Sends the next answers in chunks, with these ends.
    pub fn chunk_next_answers(&self, ends: &[ChunkedEnd]) {
        let mut state = self.state.lock().expect("no thread panics while holding the lock");
        state.chunked_ends = ends.iter().copied().collect();
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
            let (run, delay, lost, chunked) = {
                let mut state = self.state.lock().expect("no thread panics while holding the lock");
                let runs = state.runs.entry(call.clone()).or_default();
                *runs += 1;
                let run = *runs;
                let lost = state.answers_to_lose > 0;
                state.answers_to_lose -= u32::from(lost);
                (run, state.delay, lost, state.chunked_ends.pop_front())
            };
            actix_rt::time::sleep(delay).await;
            if lost {
                return StandInAnswer::Hang;
            }
            if let Some(end) = chunked {
                let mut chunks = vec![Ok(Bytes::from(call))];
                if end == ChunkedEnd::Cut {
                    chunks.push(Err(std::io::Error::other("cut")));
                }
                let chunks = futures::stream::iter(chunks).then(|chunk| async move {
                    actix_rt::time::sleep(CHUNK_INTERVAL).await;
                    chunk
                });
                return StandInAnswer::Text(chunks.boxed_local());
            }
            StandInAnswer::Json(200, json!({ "call": call, "run": run }))
        }
        .boxed_local()
    }
}
