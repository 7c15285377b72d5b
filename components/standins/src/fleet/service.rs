//! An instance of a plain service of the platform.

use std::sync::Arc;
use std::sync::Mutex;

use futures::FutureExt;
use futures::future::LocalBoxFuture;

use crate::http::StandInAnswer;
use crate::http::StandInHandler;
use crate::http::StandInRequest;
use crate::http::StandInServer;

/// What an instance does with the next requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ServiceMood {
    /// Answers with what it was asked.
    #[default]
    Well,
    /// Runs them and fails.
    Failing,
    /// Says that it did not run them.
    Full,
    /// Runs them and never answers.
    Silent,
}

#[derive(Debug, Default)]
struct ServiceContent {
    /// Ids of the requests that ran, in order.
    runs: Vec<String>,
    mood: ServiceMood,
}

/// An instance with a switch for its faults.
#[derive(Debug, Clone)]
pub struct FleetService {
    name: String,
    content: Arc<Mutex<ServiceContent>>,
}

impl FleetService {
    /// An instance that answers with what it was asked.
    pub fn new(name: &str) -> Self {
        Self { name: name.to_owned(), content: Arc::default() }
    }

    /// Starts it on loopback.
    pub fn start(&self) -> StandInServer {
        StandInServer::start(Arc::new(self.clone()))
    }

    /// Name under which it registers itself.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Ids of the requests that ran, in order.
    pub fn runs(&self) -> Vec<String> {
        self.content.lock().expect("no holder panics").runs.clone()
    }

    /// Changes what it does with requests.
    pub fn set_mood(&self, mood: ServiceMood) {
        self.content.lock().expect("no holder panics").mood = mood;
    }
}

impl StandInHandler for FleetService {
    fn handle(self: Arc<Self>, request: StandInRequest) -> LocalBoxFuture<'static, StandInAnswer> {
        async move {
            let id = request.request_id.clone().unwrap_or_default();
            if request.header("x-expect-instance") != self.name {
                return StandInAnswer::Reply(421, Vec::new(), bytes::Bytes::new());
            }
            let mut content = self.content.lock().expect("no holder panics");
            let mut marks = vec![("x-request-id", id.clone())];
            if content.mood == ServiceMood::Full {
                marks.push(("x-not-executed", "1".to_owned()));
                return StandInAnswer::Reply(503, marks, bytes::Bytes::new());
            }
            content.runs.push(id);
            marks.push(("x-server-stamp", self.name.clone()));
            let StandInRequest { method, path, query, body, .. } = request;
            let text = String::from_utf8_lossy(&body);
            let echo = format!("{method} {path}?{query} {text}").into();
            match content.mood {
                ServiceMood::Well => StandInAnswer::Reply(200, marks, echo),
                ServiceMood::Failing => StandInAnswer::Reply(500, marks, echo),
                ServiceMood::Silent | ServiceMood::Full => StandInAnswer::Hang,
            }
        }
        .boxed_local()
    }
}
