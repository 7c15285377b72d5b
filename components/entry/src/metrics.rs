//! Counters, gauges and timers, sent to statsd and rendered as text.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;

use crate::scrape::TextSink;

/// Names of all metrics; `docs/METRICS.md` lists the same.
pub const METRIC_NAMES: &[&str] = &[
    "decision.route",
    "decision.refuse",
    "decision.abandon",
    "decision.load",
    "decision.unload",
    "decision.lead",
    "decision.configure",
    "decision.health",
    "decision.limit",
    "decision.permit",
    "decision.quarantine",
    "decision.quota",
    "decision.software",
    "decision.register",
    "route.estimate_error",
    "request.time",
    "request.waiting",
    "request.open",
    "request.startup_wait",
    "account.unknown_key",
    "answer.truncated",
    "answer.broken_at_start",
    "attempt.cut_off",
    "zone.unreachable",
    "order.not_sent",
    "store.failed",
    "quota.asked",
    "quota.refused",
    "peer.messages",
    "peer.bytes",
    "configuration.revision",
    "ledger.unrecorded",
];

/// Aggregates and sends metrics. Errors are ignored, because metrics must not delay a request.
#[derive(Debug)]
pub struct HostMetrics {
    client: StatsdClient,
    sink: TextSink,
}

impl HostMetrics {
    /// Aggregates metrics, and sends them to the statsd address `receiver` if one is given.
    ///
    /// # Errors
    /// Fails if the UDP socket to `receiver` cannot be opened.
    pub fn new(receiver: Option<SocketAddr>) -> std::io::Result<Self> {
        let sink = TextSink::new(receiver.map(udp_sink).transpose()?);
        let client = StatsdClient::from_sink("wagtailledge", sink.clone());
        Ok(Self { client, sink })
    }

    /// All metrics since the start of the process as lines of name and value.
    pub fn to_text(&self) -> String {
        self.sink.to_text()
    }

    /// Adds one to the counter `name`.
    pub fn count(&self, name: &str) {
        let _ = self.client.count(name, 1);
    }

    /// Sets the gauge `name`.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration under `name`, in milliseconds.
    pub fn time(&self, name: &str, duration: Duration) {
        let _ = self.client.time(name, duration);
    }
}

fn udp_sink(receiver: SocketAddr) -> std::io::Result<UdpMetricSink> {
    let local = if receiver.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    UdpMetricSink::from(receiver, socket).map_err(std::io::Error::other)
}
