//! Starts an entry host, and drains it before the process ends.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::interval;
use actix_rt::time::sleep;
use actix_rt::time::timeout;
use log::info;
use log::warn;
use tokio::sync::mpsc;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::HostIdentity;
use wagtailledge_frontend::CallerGate;
use wagtailledge_frontend::CompletionServer;
use wagtailledge_frontend::RelayServer;
use wagtailledge_frontend::ServerLimits;
use wagtailledge_frontend::TextServer;
use wagtailledge_frontend::readiness_source;
use wagtailledge_memory::MemoryBudget;
use wagtailledge_peers::MessageSeal;
use wagtailledge_peers::PeerClient;
use wagtailledge_peers::PeerServer;
use wagtailledge_peers::PeerTraffic;
use wagtailledge_settings::HostSettings;
use wagtailledge_settings::file::DrainSection;

use crate::adapters::EventSource;
use crate::adapters::HostAdapters;
use crate::adapters::HostFrontend;
use crate::gate::ShellGate;
use crate::memory::body_memory;
use crate::metrics::HostMetrics;
use crate::rules::choice_basis;
use crate::rules::retry_rules;
use crate::rules::shared_failures;
use crate::rules::timing_rules;
use crate::shell::EntryShell;
use crate::shell::ShellParts;
use crate::streams::stream_loop;

/// Time between two ticks of the reducer.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two sweeps of ended calls and idle connections. Gauges are sent after each sweep.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which the holder of a lease and its successors must be missing from the host list before
/// another host takes over: longer than a live host needs to write its key again.
const UNLISTED_TAKEOVER: Duration = Duration::from_secs(4);
/// Draining stops this long before the drain grace is over, so that the process ends in time.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Nothing is sent to upstreams any more when this share of the time between the notice and the exit is
/// left: its answer could be cut, and other hosts can serve it.
const REFUSAL_SHARE: u32 = 3;
/// Shortest time between the refusal of waiting requests and the exit, in which the refusals are sent.
const REFUSAL_MARGIN: Duration = Duration::from_millis(500);
/// Time for the last answers to leave before the process exits.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);
/// Maximum wait for callers to read the rest of their answers.
const FLUSH_LIMIT: Duration = Duration::from_secs(30);
/// Maximum wait for outcomes to be recorded while the key-value service is unreachable.
const RECORD_LIMIT: Duration = Duration::from_secs(60);

/// Why an entry host did not start.
#[derive(Debug)]
pub enum StartError {
    /// An address cannot be listened on.
    Listen(SocketAddr, std::io::Error),
    /// The UDP socket to the statsd receiver cannot be opened.
    Metrics(std::io::Error),
    /// Durations in `[timing]` contradict each other; one text for each fault.
    Timing(Vec<String>),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            Self::Metrics(error) => {
                write!(f, "cannot open the socket to the statsd receiver: {error}")
            }
            Self::Timing(faults) => write!(f, "[timing]: {}", faults.join("; ")),
        }
    }
}

impl std::error::Error for StartError {}

/// HTTP server for callers, by the protocol it offers.
#[derive(Debug)]
enum CallerServer {
    Completions(CompletionServer),
    Relay(RelayServer),
}

impl CallerServer {
    fn address(&self) -> SocketAddr {
        match self {
            Self::Completions(server) => server.address(),
            Self::Relay(server) => server.address(),
        }
    }

    fn connections(&self) -> usize {
        match self {
            Self::Completions(server) => server.connections(),
            Self::Relay(server) => server.connections(),
        }
    }

    fn stop(&self) {
        match self {
            Self::Completions(server) => server.stop(),
            Self::Relay(server) => server.stop(),
        }
    }

    fn sweep(&self) {
        if let Self::Relay(server) = self {
            server.sweep();
        }
    }
}

/// An entry host that runs on the current thread until it is drained.
#[derive(Debug)]
pub struct EntryHost {
    shell: Rc<EntryShell>,
    frontend: Rc<CallerServer>,
    peers: PeerServer,
    drain: Cell<DrainSection>,
    readiness_address: Option<SocketAddr>,
    metrics_address: Option<SocketAddr>,
}

impl EntryHost {
    /// Starts an entry host on the current thread. The host reaches the outside through `adapters`.
    ///
    /// # Errors
    /// Fails if an address cannot be listened on, the statsd socket cannot be opened, or durations
    /// contradict each other.
    pub async fn start(
        settings: &HostSettings,
        adapters: HostAdapters,
    ) -> Result<Self, StartError> {
        let mut timing = timing_rules(&settings.timing);
        timing.retries = retry_rules(settings);
        timing.shared_failures = shared_failures(settings);
        timing.choice = choice_basis(settings.routing.choice);
        if settings.platform.uses_store() {
            // The store announces each configuration, so none is polled.
            timing.configuration_read = None;
            timing.change_bound = Some(settings.platform.change_bound());
            timing.relay_hosts = settings.platform.relayed_reads.min_hosts();
            timing.unlisted_takeover = settings.platform.checks_tokens.then_some(UNLISTED_TAKEOVER);
        }
        timing.check().map_err(StartError::Timing)?;
        let seal = MessageSeal::new(&settings.security.shared_secret);
        let (peers, inbox) = PeerServer::start(settings.listen.peers, seal.clone())
            .await
            .map_err(|error| StartError::Listen(settings.listen.peers, error))?;
        let identity = HostIdentity {
            name: settings.host.name.clone(),
            zone: settings.host.zone.clone(),
            scope: settings.host.scope.as_ref().unwrap_or(&settings.host.zone).clone(),
            address: peers.address().to_string(),
            incarnation: rand::random(),
            capacity: (settings.host.cores * 1_000.0) as u32,
        };
        let HostAdapters { store, upstreams, orders, sources, frontend } = adapters;
        let metrics = HostMetrics::new(settings.metrics.statsd);
        let metrics = Rc::new(metrics.map_err(StartError::Metrics)?);
        let metrics_address = start_metrics(settings, &metrics)?;
        let parts = ShellParts {
            store,
            upstreams,
            orders,
            peers: PeerClient::new(seal),
            metrics,
            max_answer_bytes: settings.limits.answer.0 as usize,
            stream_pause: settings.limits.stream_pause.0,
            startup_wait: settings.limits.startup_wait.0,
            bodies: MemoryBudget::new(body_memory(settings)),
        };
        let shell = EntryShell::new(parts, identity, timing, rand::random());
        let gate = Rc::new(ShellGate { shell: Rc::clone(&shell) });
        let (frontend, readiness_address) = start_frontend(settings, frontend, gate).await?;
        let frontend = Rc::new(frontend);
        spawn_loops(&shell, &frontend, inbox, sources);
        info!(
            host = shell.identity.name.as_str(), zone = shell.identity.zone.as_str();
            "listening for callers on {} and for peers on {}", frontend.address(), peers.address()
        );
        let drain = Cell::new(settings.drain);
        Ok(Self { shell, frontend, peers, drain, readiness_address, metrics_address })
    }

    /// Applies the settings that may change while a host runs: `[retries]` and `[drain]`.
    pub fn apply_settings(&self, settings: &HostSettings) {
        info!("settings reloaded: retries {:?}, drain {:?}", settings.retries, settings.drain);
        self.drain.set(settings.drain);
        self.shell.submit(HostEvent::RetryRules(retry_rules(settings)));
    }

    /// Runtime of this host.
    pub fn shell(&self) -> &Rc<EntryShell> {
        &self.shell
    }

    /// Address that the callers' server listens on.
    pub fn caller_address(&self) -> SocketAddr {
        self.frontend.address()
    }

    /// Address for readiness checks; `None` if the callers' server answers them.
    pub fn readiness_address(&self) -> Option<SocketAddr> {
        self.readiness_address
    }

    /// Address where metrics are served as text; `None` if not set.
    pub fn metrics_address(&self) -> Option<SocketAddr> {
        self.metrics_address
    }

    /// Address that other entry hosts and operators connect to.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Returns once this host can no longer decide anything. Its process must then end at once, so
    /// that it is replaced.
    pub async fn failure(&self) {
        self.shell.failure().await;
    }

    /// Drains this host: readiness fails and the lease is released at once, listening stops after
    /// the notice, and requests in progress are completed. Returns by the end of the grace, even if
    /// requests are still open then.
    pub async fn drain(self) {
        let drain = self.drain.get();
        let grace = drain.grace.0.saturating_sub(EXIT_MARGIN);
        let shell = Rc::clone(&self.shell);
        let refusal_time = grace.saturating_sub(drain.notice.0) / REFUSAL_SHARE;
        actix_rt::spawn(async move {
            sleep(grace.saturating_sub(refusal_time.max(REFUSAL_MARGIN))).await;
            shell.submit(HostEvent::DrainOver);
        });
        let finished = async {
            tokio::select! {
                () = self.finish_requests(drain.notice.0) => {}
                () = self.failure() => {}
            }
        };
        if timeout(grace, finished).await.is_err() {
            let status = self.shell.status();
            warn!(
                "drain grace of {:?} over: ending with {} open requests, {} unrecorded outcomes",
                drain.grace.0, status.requests, status.unrecorded
            );
            self.shell.end_unanswered_calls();
            sleep(LAST_ANSWERS_TIME).await;
        }
    }

    /// Stops listening after `notice`, then waits for requests to end, their answers to be read and
    /// their outcomes to be recorded.
    async fn finish_requests(&self, notice: Duration) {
        self.shell.submit(HostEvent::Drain);
        sleep(notice).await;
        self.frontend.stop();
        while self.shell.status().requests > 0 {
            sleep(TICK_INTERVAL).await;
        }
        let flush_started = Instant::now();
        while self.frontend.connections() > 0 && flush_started.elapsed() < FLUSH_LIMIT {
            sleep(TICK_INTERVAL).await;
        }
        let recording_started = Instant::now();
        while !self.shell.read(wagtailledge_decisions::HostReducer::is_drained) {
            if recording_started.elapsed() > RECORD_LIMIT {
                warn!(
                    "ending after {RECORD_LIMIT:?} with {} outcomes unrecorded, or as a successor that \
                     the leader needs: key-value service unreachable",
                    self.shell.status().unrecorded
                );
                break;
            }
            sleep(TICK_INTERVAL).await;
        }
    }
}

fn start_metrics(
    settings: &HostSettings,
    metrics: &Rc<HostMetrics>,
) -> Result<Option<SocketAddr>, StartError> {
    let Some(address) = settings.listen.metrics else {
        return Ok(None);
    };
    let metrics = Rc::clone(metrics);
    let source = Rc::new(move || (hyper::StatusCode::OK, metrics.to_text()));
    let server =
        TextServer::start(address, source).map_err(|error| StartError::Listen(address, error))?;
    Ok(Some(server.address()))
}

async fn start_frontend(
    settings: &HostSettings,
    frontend: HostFrontend,
    gate: Rc<dyn CallerGate>,
) -> Result<(CallerServer, Option<SocketAddr>), StartError> {
    let address = settings.listen.callers;
    let max_connections = settings.limits.connections;
    let failed = |error| StartError::Listen(address, error);
    match frontend {
        HostFrontend::Completions => {
            let limits = ServerLimits {
                connections: max_connections,
                body: settings.limits.body.0 as usize,
                request_timeout: settings.limits.request_timeout.0,
            };
            let server = CompletionServer::start(address, limits, gate).await;
            Ok((CallerServer::Completions(server.map_err(failed)?), None))
        }
        HostFrontend::Relay { dialect, readiness } => {
            let checks = TextServer::start(readiness, readiness_source(Rc::clone(&gate)))
                .map_err(|error| StartError::Listen(readiness, error))?;
            let server = RelayServer::start(address, max_connections, gate, dialect);
            Ok((CallerServer::Relay(server.map_err(failed)?), Some(checks.address())))
        }
    }
}

fn spawn_loops(
    shell: &Rc<EntryShell>,
    frontend: &Rc<CallerServer>,
    inbox: mpsc::Receiver<PeerTraffic>,
    sources: Vec<Box<dyn EventSource>>,
) {
    shell.spawn_vital("ticks", tick_loop(Rc::clone(shell)));
    shell.spawn_vital("messages of hosts", inbox_loop(Rc::clone(shell), inbox));
    shell.spawn_vital("streams", stream_loop(Rc::clone(shell)));
    shell.spawn_vital("sweeps", sweep_loop(Rc::clone(shell), Rc::clone(frontend)));
    for source in sources {
        shell.spawn_vital("events of the platform", source.run(Rc::clone(shell)));
    }
}

async fn tick_loop(shell: Rc<EntryShell>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shell.submit(HostEvent::Tick);
    }
}

async fn inbox_loop(shell: Rc<EntryShell>, mut inbox: mpsc::Receiver<PeerTraffic>) {
    while let Some(traffic) = inbox.recv().await {
        match traffic {
            PeerTraffic::Message(envelope) => shell.submit(HostEvent::Peer(envelope)),
            PeerTraffic::Status(answer) => {
                let status = serde_json::to_string(&shell.status());
                // Sending fails only if the operator has disconnected.
                let _ = answer.send(status.unwrap_or_default());
            }
        }
    }
}

async fn sweep_loop(shell: Rc<EntryShell>, frontend: Rc<CallerServer>) {
    loop {
        shell.sweep();
        shell.parts.upstreams.sweep();
        frontend.sweep();
        shell.send_gauges();
        sleep(SWEEP_INTERVAL).await;
    }
}
