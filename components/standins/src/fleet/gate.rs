//! The way of one host to the platform's store.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use serde_json::json;

use crate::http::StandInAnswer;
use crate::http::StandInHandler;
use crate::http::StandInRequest;
use crate::http::StandInServer;

use super::store::FleetStore;
use super::store::writes_key;

/// Price of a renewal of a lease; any other call has price 1.
const RENEWAL_PRICE: f64 = 0.1;

/// What a gate does with the calls of its host.
#[derive(Debug, Default)]
enum GateMode {
    #[default]
    Open,
    /// Answers with status 503 and executes nothing.
    Refusing,
    /// Neither executes nor answers.
    Silent,
    /// Open until a transaction writes a key with this prefix.
    Holding(String),
    /// The transaction was held back; all other calls are neither executed nor answered.
    Held(StandInRequest),
    /// Silent until a transaction writes a key with this prefix, which opens the gate.
    Passing(String),
}

/// Way to the store for one host, which can be closed.
#[derive(Debug, Clone)]
pub struct StoreGate {
    store: FleetStore,
    mode: Arc<Mutex<GateMode>>,
    delay_ms: Arc<AtomicU64>,
    /// Calls so far, refused ones included.
    calls: Arc<AtomicU64>,
    /// Those of them that renew the lease of a key.
    renewals: Arc<AtomicU64>,
}

impl StoreGate {
    /// A way to `store`.
    pub(super) fn new(store: FleetStore) -> Self {
        Self {
            store,
            mode: Arc::default(),
            delay_ms: Arc::default(),
            calls: Arc::default(),
            renewals: Arc::default(),
        }
    }

    /// Price of the calls so far: a renewal of a lease counts a tenth of any other call.
    pub fn price(&self) -> f64 {
        let renewals = self.renewals.load(Ordering::Relaxed);
        let others = self.calls.load(Ordering::Relaxed).saturating_sub(renewals);
        others as f64 + renewals as f64 * RENEWAL_PRICE
    }

    /// Starts its HTTP server on a free loopback port.
    pub fn start(&self) -> StandInServer {
        StandInServer::start(Arc::new(self.clone()))
    }

    /// Sets whether every call of the host is answered with status 503 and not executed.
    pub fn set_refusing(&self, refusing: bool) {
        *self.lock() = if refusing { GateMode::Refusing } else { GateMode::Open };
    }

    /// Sets whether no call of the host is executed or answered. Ends any other fault but a delay.
    pub fn set_silent(&self, silent: bool) {
        *self.lock() = if silent { GateMode::Silent } else { GateMode::Open };
    }

    /// Holds the next transaction back that writes a key with this prefix. No call is executed or answered from
    /// then on.
    pub fn hold_next_write(&self, prefix: &str) {
        *self.lock() = GateMode::Holding(prefix.to_owned());
    }

    /// Whether a transaction is held back.
    pub fn is_holding(&self) -> bool {
        matches!(*self.lock(), GateMode::Held(_))
    }

    /// Executes the transaction that is held back, whose answer is lost. The gate stays silent.
    ///
    /// # Panics
    /// When none is held back.
    pub async fn execute_held(&self) {
        let mode = std::mem::replace(&mut *self.lock(), GateMode::Silent);
        let GateMode::Held(request) = mode else {
            panic!("no transaction is held back");
        };
        Arc::new(self.store.clone()).handle(request).await;
    }

    /// Executes and answers no call before the next transaction that writes a key with this prefix.
    pub fn pass_next_write(&self, prefix: &str) {
        *self.lock() = GateMode::Passing(prefix.to_owned());
    }

    /// Whether all calls are executed and answered.
    pub fn is_open(&self) -> bool {
        matches!(*self.lock(), GateMode::Open)
    }

    fn lock(&self) -> MutexGuard<'_, GateMode> {
        self.mode.lock().expect("no thread panics while holding the lock")
    }

    /// The answer to a call that is not executed; `None` if it is.
    fn turn_away(&self, request: &StandInRequest) -> Option<StandInAnswer> {
        let mut mode = self.lock();
        match &*mode {
            GateMode::Open => None,
            GateMode::Refusing => Some(StandInAnswer::Json(503, json!({}))),
            GateMode::Silent | GateMode::Held(_) => Some(StandInAnswer::Hang),
            GateMode::Holding(prefix) => {
                let is_held = writes_key(request, prefix);
                if is_held {
                    *mode = GateMode::Held(request.clone());
                }
                is_held.then_some(StandInAnswer::Hang)
            }
            GateMode::Passing(prefix) => {
                let passes = writes_key(request, prefix);
                if passes {
                    *mode = GateMode::Open;
                }
                (!passes).then_some(StandInAnswer::Hang)
            }
        }
    }

    /// Sets the time by which every answer to the host is late.
    pub fn set_delay(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::Relaxed);
    }
}

impl StandInHandler for StoreGate {
    fn handle(self: Arc<Self>, request: StandInRequest) -> LocalBoxFuture<'static, StandInAnswer> {
        async move {
            self.calls.fetch_add(1, Ordering::Relaxed);
            let is_renewal = request.path.starts_with("/-/kv-keep/");
            self.renewals.fetch_add(u64::from(is_renewal), Ordering::Relaxed);
            if let Some(answer) = self.turn_away(&request) {
                return answer;
            }
            let answer = Arc::new(self.store.clone()).handle(request).await;
            if matches!(*self.lock(), GateMode::Silent | GateMode::Held(_) | GateMode::Passing(_)) {
                return StandInAnswer::Hang;
            }
            let delay = self.delay_ms.load(Ordering::Relaxed);
            actix_rt::time::sleep(Duration::from_millis(delay)).await;
            answer
        }
        .boxed_local()
    }
}
