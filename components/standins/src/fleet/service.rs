//! An instance of a plain service of the platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use futures::FutureExt;
use futures::future::LocalBoxFuture;

use crate::http::StandInAnswer;
use crate::http::StandInHandler;
use crate::http::StandInRequest;
use crate::http::StandInServer;

/// How an instance handles requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ServiceBehavior {
    /// Runs requests and answers with their method, path, query and body.
    #[default]
    Echo,
    /// Runs requests and answers them with status 500.
    Fail,
    /// Answers with status 503 and a header that says that the request did not run.
    Overloaded,
    /// Runs requests and never answers.
    NoAnswer,
}

#[derive(Debug, Default)]
struct ServiceState {
    /// Ids of the requests that ran, in order.
    runs: Vec<String>,
    /// Headers of these requests by lower-case name.
    headers: Vec<BTreeMap<String, String>>,
    /// Number of requests that arrived.
    arrivals: usize,
    /// Value of `retry-after` in refusals; no header if empty.
    retry_after: String,
    behavior: ServiceBehavior,
}

/// An instance of a plain service that can simulate faults.
#[derive(Debug, Clone)]
pub struct FleetService {
    name: String,
    state: Arc<Mutex<ServiceState>>,
}

impl FleetService {
    /// Creates an instance that behaves as [`ServiceBehavior::Echo`].
    pub fn new(name: &str) -> Self {
        Self { name: name.to_owned(), state: Arc::default() }
    }

    /// Starts its HTTP server on a free loopback port.
    pub fn start(&self) -> StandInServer {
        StandInServer::start(Arc::new(self.clone()))
    }

    /// Name of the instance in the store.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Ids of the requests that ran, in the order of arrival.
    pub fn runs(&self) -> Vec<String> {
        self.state.lock().expect("no thread panics while holding the lock").runs.clone()
    }

    /// Headers of the requests that ran, by lower-case name, in the order of arrival.
    pub fn run_headers(&self) -> Vec<BTreeMap<String, String>> {
        self.state.lock().expect("no thread panics while holding the lock").headers.clone()
    }

    /// Number of requests that arrived, those that did not run included.
    pub fn arrivals(&self) -> usize {
        self.state.lock().expect("no thread panics while holding the lock").arrivals
    }

    /// Sets the value of `retry-after` in later refusals; no header if empty.
    pub fn set_retry_after(&self, seconds: &str) {
        let mut state = self.state.lock().expect("no thread panics while holding the lock");
        seconds.clone_into(&mut state.retry_after);
    }

    /// Changes how later requests are handled.
    pub fn set_behavior(&self, behavior: ServiceBehavior) {
        self.state.lock().expect("no thread panics while holding the lock").behavior = behavior;
    }
}

impl StandInHandler for FleetService {
    fn handle(self: Arc<Self>, request: StandInRequest) -> LocalBoxFuture<'static, StandInAnswer> {
        async move {
            let id = request.request_id.clone().unwrap_or_default();
            if request.header("x-expect-instance") != self.name {
                return StandInAnswer::Reply(421, Vec::new(), bytes::Bytes::new());
            }
            let mut state = self.state.lock().expect("no thread panics while holding the lock");
            state.arrivals += 1;
            let mut headers = vec![("x-request-id", id.clone())];
            if state.behavior == ServiceBehavior::Overloaded {
                headers.push(("x-not-executed", "1".to_owned()));
                if !state.retry_after.is_empty() {
                    headers.push(("retry-after", state.retry_after.clone()));
                }
                return StandInAnswer::Reply(503, headers, bytes::Bytes::new());
            }
            state.runs.push(id);
            state.headers.push(request.headers.clone());
            headers.push(("x-server-stamp", self.name.clone()));
            let StandInRequest { method, path, query, body, .. } = request;
            let text = String::from_utf8_lossy(&body);
            let echo = format!("{method} {path}?{query} {text}").into();
            match state.behavior {
                ServiceBehavior::Echo => StandInAnswer::Reply(200, headers, echo),
                ServiceBehavior::Fail => StandInAnswer::Reply(500, headers, echo),
                ServiceBehavior::NoAnswer | ServiceBehavior::Overloaded => StandInAnswer::Hang,
            }
        }
        .boxed_local()
    }
}
