//! The way of one host to the platform's store.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
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

/// Price of a renewal of a lease; any other call has price 1.
const RENEWAL_PRICE: f64 = 0.1;

/// Way to the store for one host, which can be closed.
#[derive(Debug, Clone)]
pub struct StoreGate {
    store: FleetStore,
    refusing: Arc<AtomicBool>,
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
            refusing: Arc::default(),
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
        self.refusing.store(refusing, Ordering::Relaxed);
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
            if self.refusing.load(Ordering::Relaxed) {
                return StandInAnswer::Json(503, json!({}));
            }
            let answer = Arc::new(self.store.clone()).handle(request).await;
            let delay = self.delay_ms.load(Ordering::Relaxed);
            actix_rt::time::sleep(Duration::from_millis(delay)).await;
            answer
        }
        .boxed_local()
    }
}
