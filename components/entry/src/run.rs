//! Starts an entry host and ends it.

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
use wagtailledge_decisions::HostStamp;
use wagtailledge_decisions::TimingRules;
use wagtailledge_decisions::retry::RetryRules;
use wagtailledge_frontend::CallerGate;
use wagtailledge_frontend::FrontLimits;
use wagtailledge_frontend::FrontServer;
use wagtailledge_frontend::RelayServer;
use wagtailledge_frontend::TextServer;
use wagtailledge_frontend::readiness_source;
use wagtailledge_peers::MessageSeal;
use wagtailledge_peers::PeerClient;
use wagtailledge_peers::PeerServer;
use wagtailledge_peers::PeerTraffic;
use wagtailledge_settings::HostSettings;
use wagtailledge_settings::file::DrainSection;
use wagtailledge_settings::file::PlatformProtocol;
use wagtailledge_settings::file::TimingSection;

use crate::adapters::EventSource;
use crate::adapters::HostAdapters;
use crate::adapters::HostFront;
use crate::gate::ShellGate;
use crate::metrics::HostMetrics;
use crate::shell::EntryShell;
use crate::shell::ShellParts;

/// Between two ticks of the reducer.
const TICK: Duration = Duration::from_millis(10);
/// Between two sweeps and reports of gauges.
const SWEEP: Duration = Duration::from_secs(1);
/// The process ends this long before the grace is over.
const END_MARGIN: Duration = Duration::from_millis(300);
/// What still waits is refused this long before the process ends, so that callers hear of it.
const REFUSAL_MARGIN: Duration = Duration::from_millis(500);
/// Longest wait for callers to take the rest of their answers.
const FLUSH_LIMIT: Duration = Duration::from_secs(30);
/// Longest wait for outcomes to be recorded while the key-value service is away.
const RECORD_LIMIT: Duration = Duration::from_secs(60);

/// Why an entry host did not start.
#[derive(Debug)]
pub enum StartError {
    /// An address cannot be listened on.
    Listen(SocketAddr, std::io::Error),
    /// The metrics receiver cannot be reached.
    Metrics(std::io::Error),
    /// The durations contradict each other.
    Timing(Vec<String>),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            Self::Metrics(error) => write!(f, "cannot send metrics: {error}"),
            Self::Timing(faults) => write!(f, "[timing]: {}", faults.join("; ")),
        }
    }
}

impl std::error::Error for StartError {}

/// Listens for callers.
#[derive(Debug)]
enum CallerServer {
    Completions(FrontServer),
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

/// A running entry host.
#[derive(Debug)]
pub struct EntryHost {
    shell: Rc<EntryShell>,
    front: Rc<CallerServer>,
    peers: PeerServer,
    drain: Cell<DrainSection>,
    readiness_address: Option<SocketAddr>,
    metrics_address: Option<SocketAddr>,
}

/// Durations from the settings, with defaults for those not given.
pub fn timing_rules(section: &TimingSection) -> TimingRules {
    let mut rules = TimingRules::default();
    let fields = [
        (section.heartbeat, &mut rules.heartbeat),
        (section.peer_timeout, &mut rules.peer_timeout),
        (section.lease_ttl, &mut rules.lease_ttl),
        (section.lease_renewal, &mut rules.lease_renewal),
        (section.lease_margin, &mut rules.lease_margin),
        (section.promise_ttl, &mut rules.promise_ttl),
        (section.max_extension, &mut rules.max_extension),
        (section.order_lifetime, &mut rules.order_lifetime),
        (section.retire_grace, &mut rules.retire_grace),
        (section.eviction_idle, &mut rules.eviction_idle),
        (section.notice_pause, &mut rules.notice_pause),
    ];
    for (given, rule) in fields {
        if let Some(span) = given {
            *rule = span.0;
        }
    }
    if let Some(span) = section.configuration_read {
        rules.configuration_read = Some(span.0);
    }
    rules
}

impl EntryHost {
    /// Starts an entry host on the current thread, with `adapters` to the outside.
    ///
    /// # Errors
    /// Fails when an address cannot be listened on or durations contradict each other.
    pub async fn start(
        settings: &HostSettings,
        adapters: HostAdapters,
    ) -> Result<Self, StartError> {
        let mut timing = timing_rules(&settings.timing);
        timing.retries = retry_rules(settings);
        if settings.platform.protocol == PlatformProtocol::Store {
            timing.configuration_read = None;
        }
        timing.check().map_err(StartError::Timing)?;
        let seal = MessageSeal::new(&settings.security.shared_secret);
        let (peers, inbox) = PeerServer::start(settings.listen.peers, seal.clone())
            .await
            .map_err(|error| StartError::Listen(settings.listen.peers, error))?;
        let me = HostStamp {
            name: settings.host.name.clone(),
            zone: settings.host.zone.clone(),
            scope: settings.host.scope.as_ref().unwrap_or(&settings.host.zone).clone(),
            address: peers.address().to_string(),
            incarnation: rand::random(),
            capacity: (settings.host.cores * 1_000.0) as u32,
        };
        let HostAdapters { store, upstreams, orders, sources, front } = adapters;
        let metrics = HostMetrics::new(settings.metrics.statsd).map_err(StartError::Metrics)?;
        let metrics = Rc::new(metrics);
        let metrics_address = start_metrics(settings, &metrics)?;
        let parts = ShellParts {
            store,
            upstreams,
            orders,
            peers: PeerClient::new(seal),
            metrics,
            max_answer: settings.limits.answer.0 as usize,
            stream_pause: settings.limits.stream_pause.0,
        };
        let shell = EntryShell::new(parts, me, timing, rand::random());
        let gate = Rc::new(ShellGate { shell: Rc::clone(&shell) });
        let (front, readiness_address) = start_front(settings, front, gate).await?;
        let front = Rc::new(front);
        spawn_loops(&shell, &front, inbox, sources);
        info!(
            host = shell.me.name.as_str(), zone = shell.me.zone.as_str();
            "callers on {}, peers on {}", front.address(), peers.address()
        );
        let drain = Cell::new(settings.drain);
        Ok(Self { shell, front, peers, drain, readiness_address, metrics_address })
    }

    /// Takes over what may change while a host runs: `[retries]` and `[drain]`.
    pub fn apply(&self, settings: &HostSettings) {
        info!("settings reloaded: retries {:?}, drain {:?}", settings.retries, settings.drain);
        self.drain.set(settings.drain);
        self.shell.submit(HostEvent::RetryRules(retry_rules(settings)));
    }

    /// The shell of this host.
    pub fn shell(&self) -> &Rc<EntryShell> {
        &self.shell
    }

    /// The address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.front.address()
    }

    /// The address for readiness checks, where callers' port does not answer them.
    pub fn readiness_address(&self) -> Option<SocketAddr> {
        self.readiness_address
    }

    /// The address where metrics are served as text.
    pub fn metrics_address(&self) -> Option<SocketAddr> {
        self.metrics_address
    }

    /// The address for other entry hosts and operators.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Leaves without cutting anything off: readiness fails and the lease is given up at once,
    /// listening ends after the notice, and requests in progress end by themselves. After the
    /// grace the process ends whatever still runs.
    pub async fn drain(self) {
        let drain = self.drain.get();
        let grace = drain.grace.0.saturating_sub(END_MARGIN);
        let shell = Rc::clone(&self.shell);
        actix_rt::spawn(async move {
            sleep(grace.saturating_sub(REFUSAL_MARGIN)).await;
            shell.submit(HostEvent::DrainOver);
        });
        if timeout(grace, self.leave(drain.notice.0)).await.is_err() {
            let status = self.shell.status();
            warn!(
                "ended with {} requests open and {} outcomes not recorded: grace is over",
                status.requests, status.unrecorded
            );
        }
    }

    async fn leave(&self, notice: Duration) {
        self.shell.submit(HostEvent::Drain);
        sleep(notice).await;
        self.front.stop();
        while self.shell.status().requests > 0 {
            sleep(TICK).await;
        }
        let flushing = Instant::now();
        while self.front.connections() > 0 && flushing.elapsed() < FLUSH_LIMIT {
            sleep(TICK).await;
        }
        let recording = Instant::now();
        while !self.shell.read(wagtailledge_decisions::HostReducer::is_drained) {
            if recording.elapsed() > RECORD_LIMIT {
                warn!("left with outcomes not recorded: the key-value service is away");
                break;
            }
            sleep(TICK).await;
        }
    }
}

fn retry_rules(settings: &HostSettings) -> RetryRules {
    RetryRules {
        ratio: settings.retries.ratio,
        allowance: settings.retries.allowance,
        window: settings.retries.window.0,
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

async fn start_front(
    settings: &HostSettings,
    front: HostFront,
    gate: Rc<dyn CallerGate>,
) -> Result<(CallerServer, Option<SocketAddr>), StartError> {
    let address = settings.listen.callers;
    let most = settings.limits.connections;
    let failed = |error| StartError::Listen(address, error);
    match front {
        HostFront::Completions => {
            let limits = FrontLimits {
                connections: most,
                body: settings.limits.body.0 as usize,
                request_timeout: settings.limits.request_timeout.0,
            };
            let server = FrontServer::start(address, limits, gate).await;
            Ok((CallerServer::Completions(server.map_err(failed)?), None))
        }
        HostFront::Relay { dialect, readiness } => {
            let checks = TextServer::start(readiness, readiness_source(Rc::clone(&gate)))
                .map_err(|error| StartError::Listen(readiness, error))?;
            let server = RelayServer::start(address, most, gate, dialect);
            Ok((CallerServer::Relay(server.map_err(failed)?), Some(checks.address())))
        }
    }
}

fn spawn_loops(
    shell: &Rc<EntryShell>,
    front: &Rc<CallerServer>,
    inbox: mpsc::Receiver<PeerTraffic>,
    sources: Vec<Box<dyn EventSource>>,
) {
    actix_rt::spawn(tick_loop(Rc::clone(shell)));
    actix_rt::spawn(inbox_loop(Rc::clone(shell), inbox));
    actix_rt::spawn(sweep_loop(Rc::clone(shell), Rc::clone(front)));
    for source in sources {
        actix_rt::spawn(source.run(Rc::clone(shell)));
    }
}

async fn tick_loop(shell: Rc<EntryShell>) {
    let mut ticks = interval(TICK);
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
                // It fails only when the operator is gone.
                let _ = answer.send(status.unwrap_or_default());
            }
        }
    }
}

async fn sweep_loop(shell: Rc<EntryShell>, front: Rc<CallerServer>) {
    loop {
        shell.sweep();
        shell.parts.upstreams.sweep();
        front.sweep();
        shell.report();
        sleep(SWEEP).await;
    }
}
