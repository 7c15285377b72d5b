//! Counters, gauges and timers, by statsd and as text.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;

use crate::scrape::TextSink;

/// Names of all metrics, as listed in `docs/METRICS.md`.
pub const METRIC_NAMES: [&str; 17] = [
    "decision.route",
    "decision.refuse",
    "decision.abandon",
    "decision.load",
    "decision.unload",
    "decision.lead",
    "decision.configure",
    "decision.health",
    "request.time",
    "request.waiting",
    "request.open",
    "order.not_sent",
    "store.failed",
    "peer.messages",
    "peer.bytes",
    "configuration.revision",
    "ledger.unrecorded",
];

/// Keeps and sends metrics; failures are ignored, as metrics must never slow down a request.
#[derive(Debug)]
pub struct HostMetrics {
    client: StatsdClient,
    kept: TextSink,
}

impl HostMetrics {
    /// Keeps metrics, and sends them to `receiver` if there is one.
    ///
    /// # Errors
    /// Fails when no socket can be opened.
    pub fn new(receiver: Option<SocketAddr>) -> std::io::Result<Self> {
        let kept = TextSink::new(receiver.map(udp_sink).transpose()?);
        let client = StatsdClient::from_sink("wagtailledge", kept.clone());
        Ok(Self { client, kept })
    }

    /// All metrics since the start as text, one a line.
    pub fn to_text(&self) -> String {
        self.kept.to_text()
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &str) {
        let _ = self.client.count(name, 1);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration.
    pub fn time(&self, name: &str, span: Duration) {
        let _ = self.client.time(name, span);
    }
}

fn udp_sink(receiver: SocketAddr) -> std::io::Result<UdpMetricSink> {
    let local = if receiver.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    UdpMetricSink::from(receiver, socket).map_err(std::io::Error::other)
}
