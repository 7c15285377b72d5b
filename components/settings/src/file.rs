//! Sections and keys of the settings file, and the checks on their values.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use wagtailledge_inventory::ByteSize;
use wagtailledge_inventory::FileFault;
use wagtailledge_inventory::TimeSpan;
use wagtailledge_inventory::parse::parse_sections;

use crate::relayed_reads::RelayedReads;
use crate::switch::FeatureSwitch;

/// Shortest accepted shared secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// `[host]`: name and location of this host.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdentitySection {
    /// Unique name, the same as in the platform's host list.
    pub name: String,
    /// Availability zone of this host.
    pub zone: String,
    /// Placement scope (zones that share one leader) of this host's zone. Defaults to the zone.
    #[serde(default)]
    pub scope: Option<String>,
    /// Number of processor cores that this host may use. The hosts with the most can become leader.
    #[serde(default)]
    pub cores: f64,
}

/// `[listen]`: addresses on which this host listens.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSection {
    /// IP address and port for requests of callers.
    pub callers: SocketAddr,
    /// IP address and port for other entry hosts and operators.
    pub peers: SocketAddr,
    /// IP address and port for readiness checks. Required with protocol `store`, where the port for
    /// callers does not answer readiness checks.
    #[serde(default)]
    pub readiness: Option<SocketAddr>,
    /// IP address and port that serve metrics as text; if absent, metrics are not served.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Protocol of the platform's services.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformProtocol {
    /// etcd's JSON gateway and a host list over HTTP. Callers use the completion API.
    #[default]
    Etcd,
    /// One store for configuration, discovery and state. Requests of callers are passed through.
    Store,
}

/// `[platform]`: how this host reaches the platform's services.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSection {
    /// Protocol that all services of the platform use.
    #[serde(default)]
    pub protocol: PlatformProtocol,
    /// Base URL of the key-value service; required with protocol `etcd`.
    #[serde(default)]
    pub key_value: String,
    /// URL of the host list; required with protocol `etcd`.
    #[serde(default)]
    pub host_list: String,
    /// IP address and port of the store; required with protocol `store`.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Maximum wait for an answer from a service of the platform.
    #[serde(default = "default_platform_timeout")]
    pub timeout: TimeSpan,
    /// Shortest lease time that the store grants.
    #[serde(default = "default_lease_min")]
    pub lease_min: TimeSpan,
    /// Whether engines that register themselves reject orders with an outdated fencing token.
    #[serde(default)]
    pub checks_tokens: bool,
    /// Times within which changes in the store must take effect at this host, one for each kind of
    /// change. The shortest decides how often the host asks for changes.
    #[serde(default = "default_change_bounds")]
    pub change_bounds: Vec<TimeSpan>,
    /// Whether hosts rely on their leader's reads of the store.
    #[serde(default)]
    pub relayed_reads: RelayedReads,
}

/// `[security]`: authentication of messages between hosts and from operators.
#[derive(Clone, PartialEq, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct SecuritySection {
    /// Secret that all entry hosts and operators share. Without it messages are not sealed
    /// (authenticated), which is safe only on a private network.
    #[serde(default)]
    pub shared_secret: String,
}

/// `[retries]`: budget of retries that all hosts together may send to one service.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetrySection {
    /// Allowed retries as a fraction of the requests in a window.
    pub ratio: f64,
    /// Retries allowed in each window in addition to `ratio`, regardless of the number of requests.
    pub allowance: u32,
    /// Period over which requests and retries are counted.
    pub window: TimeSpan,
    /// Time after its start in which a host uses less of `allowance`; `window` if not set.
    pub settle: Option<TimeSpan>,
}

/// `[limits]`: limits on connections, requests and answers.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSection {
    /// Maximum number of concurrent connections of all callers together.
    pub connections: usize,
    /// Maximum size of a request body.
    pub body: ByteSize,
    /// Maximum wait for the head of a request, and again for its body.
    pub request_timeout: TimeSpan,
    /// Maximum size of an answer that is buffered completely before it is passed on.
    pub answer: ByteSize,
    /// Maximum size of all answers that are held, complete or not.
    pub answers: ByteSize,
    /// Maximum size of the bodies of all requests that are held; if not set, a quarter of the machine's memory and at
    /// most 128 MiB.
    pub bodies: Option<ByteSize>,
    /// Maximum pause within a stream from an upstream.
    pub stream_pause: TimeSpan,
    /// Time after the start of the process for which requests wait for its first configuration before
    /// they are refused; zero refuses them at once.
    pub startup_wait: TimeSpan,
}

/// What the choice among the upstreams of a request is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingChoice {
    /// The number of requests, for now.
    #[default]
    Auto,
    /// Expected work.
    Work,
    /// Number of requests.
    Requests,
}

/// `[routing]`: choice of the upstream for each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingSection {
    /// What the choice is based on.
    pub choice: RoutingChoice,
    /// Whether failures of upstreams are judged by zone and shared with other hosts.
    pub shared_failures: FeatureSwitch,
}

/// `[drain]`: timing of an orderly shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSection {
    /// Time between the first failing readiness check and closing the listeners.
    pub notice: TimeSpan,
    /// Time from the stop signal to the exit of the process, even if requests are still running.
    pub grace: TimeSpan,
}

/// `[metrics]`: where metrics are sent.
#[derive(Debug, Clone, PartialEq, Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
pub struct MetricSection {
    /// IP address and port of a statsd receiver; if absent, no metrics are sent.
    pub statsd: Option<SocketAddr>,
}

/// `[timing]`: durations used in decisions. They must be equal on all hosts of a deployment.
/// `None` leaves the built-in default.
#[derive(Debug, Clone, PartialEq, Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSection {
    /// Interval between a leader's reports to a host when nothing has changed.
    pub heartbeat: Option<TimeSpan>,
    /// Silence after which a host or scope counts as unreachable.
    pub peer_timeout: Option<TimeSpan>,
    /// How long a lease is valid after it was written.
    pub lease_ttl: Option<TimeSpan>,
    /// Interval between two renewals of a lease.
    pub lease_renewal: Option<TimeSpan>,
    /// Safety margin of leases and promises for clock drift.
    pub lease_margin: Option<TimeSpan>,
    /// How long a successor promises not to take over.
    pub promise_ttl: Option<TimeSpan>,
    /// Maximum time for which promises may extend a lease after its last renewal.
    pub max_extension: Option<TimeSpan>,
    /// Age at which an order expires. An expired order is never carried out.
    pub order_lifetime: Option<TimeSpan>,
    /// Time between announcing that a replica retires and the order to unload it.
    pub retire_grace: Option<TimeSpan>,
    /// Idle time before a replica may be unloaded to make room for another.
    pub eviction_idle: Option<TimeSpan>,
    /// Shortest interval between two messages about the same changing state.
    pub notice_pause: Option<TimeSpan>,
    /// Interval between two reads of the configuration head.
    pub configuration_read: Option<TimeSpan>,
}

/// All settings of one entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// `[host]`: name and location of this host.
    pub host: IdentitySection,
    /// `[listen]`: addresses on which this host listens.
    pub listen: ListenSection,
    /// `[platform]`: how this host reaches the platform's services.
    pub platform: PlatformSection,
    /// `[security]`: authentication of messages.
    pub security: SecuritySection,
    /// `[limits]`: limits on connections, requests and answers.
    pub limits: LimitSection,
    /// `[drain]`: timing of an orderly shutdown.
    pub drain: DrainSection,
    /// `[retries]`: budget of retries per service.
    pub retries: RetrySection,
    /// `[routing]`: choice of the upstream for each request.
    pub routing: RoutingSection,
    /// `[scopes]`: placement scope by availability zone. An unlisted zone is its own scope.
    pub scopes: BTreeMap<String, String>,
    /// `[metrics]`: where metrics are sent.
    pub metrics: MetricSection,
    /// `[timing]`: durations used in decisions.
    pub timing: TimingSection,
}

impl PlatformSection {
    /// Whether the platform's protocol is that of one store.
    pub fn uses_store(&self) -> bool {
        self.protocol == PlatformProtocol::Store
    }

    /// Time within which every change in the store must take effect at this host.
    pub fn change_bound(&self) -> Duration {
        self.change_bounds.iter().map(|bound| bound.0).min().unwrap_or_default()
    }
}

impl HostSettings {
    /// Names of the sections that differ from `other` and take effect only at the next start.
    pub fn sections_needing_restart(&self, other: &Self) -> Vec<&'static str> {
        let sections = [
            ("[host]", self.host == other.host),
            ("[listen]", self.listen == other.listen),
            ("[platform]", self.platform == other.platform),
            ("[security]", self.security == other.security),
            ("[limits]", self.limits == other.limits),
            ("[routing]", self.routing == other.routing),
            ("[scopes]", self.scopes == other.scopes),
            ("[metrics]", self.metrics == other.metrics),
            ("[timing]", self.timing == other.timing),
        ];
        sections.into_iter().filter(|(_, same)| !same).map(|(name, _)| name).collect()
    }
}

impl std::fmt::Debug for SecuritySection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SecuritySection { shared_secret: <hidden> }")
    }
}

impl Default for LimitSection {
    fn default() -> Self {
        Self {
            connections: 10_000,
            body: ByteSize(4 << 20),
            request_timeout: TimeSpan(Duration::from_secs(10)),
            answer: ByteSize(16 << 20),
            answers: ByteSize(64 << 20),
            bodies: None,
            stream_pause: TimeSpan(Duration::from_secs(30)),
            startup_wait: TimeSpan(Duration::ZERO),
        }
    }
}

impl Default for DrainSection {
    fn default() -> Self {
        Self { notice: TimeSpan(Duration::from_secs(5)), grace: TimeSpan(Duration::from_secs(90)) }
    }
}

impl Default for RetrySection {
    fn default() -> Self {
        let window = TimeSpan(Duration::from_secs(10));
        Self { ratio: 0.1, allowance: 160, window, settle: None }
    }
}

fn default_lease_min() -> TimeSpan {
    TimeSpan(Duration::from_secs(1))
}

fn default_change_bounds() -> Vec<TimeSpan> {
    vec![TimeSpan(Duration::from_secs(2))]
}

fn default_platform_timeout() -> TimeSpan {
    TimeSpan(Duration::from_secs(1))
}

/// Reads and checks a settings file.
///
/// # Errors
/// Returns the faults that [`parse_settings`] finds, or one fault if the file cannot be read.
pub fn read_settings(path: &Path) -> Result<HostSettings, Vec<FileFault>> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| {
        let problem = format!("cannot be read: {error}");
        vec![FileFault { file: file.clone(), line: 0, item: "file".to_owned(), problem }]
    })?;
    parse_settings(&file, &text)
}

/// Parses and checks settings; `file` is the name used in faults.
///
/// # Errors
/// Returns all unknown or missing sections and the first fault of each section. Values are checked
/// only once all sections parse; those faults have no line.
pub fn parse_settings(file: &str, text: &str) -> Result<HostSettings, Vec<FileFault>> {
    let settings = parse_sections(file, text, |reader, root| {
        let host = reader.required_section(root, "host");
        let listen = reader.required_section(root, "listen");
        let platform = reader.required_section(root, "platform");
        let security = reader.optional_section(root, "security").unwrap_or_default();
        let limits = reader.optional_section(root, "limits").unwrap_or_default();
        let drain = reader.optional_section(root, "drain").unwrap_or_default();
        let retries = reader.optional_section(root, "retries").unwrap_or_default();
        let routing = reader.optional_section(root, "routing").unwrap_or_default();
        let scopes = reader.optional_section(root, "scopes").unwrap_or_default();
        let metrics = reader.optional_section(root, "metrics").unwrap_or_default();
        let timing = reader.optional_section(root, "timing").unwrap_or_default();
        Some(HostSettings {
            host: host?,
            listen: listen?,
            platform: platform?,
            security,
            limits,
            drain,
            retries,
            routing,
            scopes,
            metrics,
            timing,
        })
    })?;
    let faults = check_settings(file, &settings);
    if faults.is_empty() { Ok(settings) } else { Err(faults) }
}

fn check_settings(file: &str, settings: &HostSettings) -> Vec<FileFault> {
    let mut faults = Vec::new();
    let mut require = |is_valid: bool, item: &str, problem: &str| {
        if !is_valid {
            let (file, item) = (file.to_owned(), item.to_owned());
            faults.push(FileFault { file, line: 0, item, problem: problem.to_owned() });
        }
    };
    require(!settings.host.name.is_empty(), "[host] name", "must not be empty");
    require(!settings.host.zone.is_empty(), "[host] zone", "must not be empty");
    let cores = settings.host.cores;
    let problem = format!("must be 0 or more, but is {cores}");
    require(cores >= 0.0, "[host] cores", &problem);
    let secret_bytes = settings.security.shared_secret.len();
    let uses_store = settings.platform.uses_store();
    let is_long_enough = secret_bytes >= MIN_SECRET_BYTES || (uses_store && secret_bytes == 0);
    let problem = format!("must have at least {MIN_SECRET_BYTES} bytes, but has {secret_bytes}");
    require(is_long_enough, "[security] shared_secret", &problem);
    if uses_store {
        let problem = "is missing: protocol \"store\" needs an IP address with a port";
        require(settings.platform.address.is_some(), "[platform] address", problem);
        require(settings.listen.readiness.is_some(), "[listen] readiness", problem);
        let bounds = &settings.platform.change_bounds;
        let are_bounds = !bounds.is_empty() && bounds.iter().all(|bound| !bound.0.is_zero());
        let problem = "must name at least one time, each longer than zero";
        require(are_bounds, "[platform] change_bounds", problem);
    } else {
        for (item, url) in [
            ("[platform] key_value", &settings.platform.key_value),
            ("[platform] host_list", &settings.platform.host_list),
        ] {
            let problem = "must be an http:// URL when the protocol is \"etcd\"";
            require(url.starts_with("http://"), item, problem);
        }
    }
    let ratio = settings.retries.ratio;
    let problem = format!("must be 0 or more, but is {ratio}");
    require(ratio >= 0.0, "[retries] ratio", &problem);
    require(!settings.retries.window.0.is_zero(), "[retries] window", "must be longer than zero");
    require(
        settings.limits.connections > 0,
        "[limits] connections",
        "must be at least 1, but is 0",
    );
    require(settings.limits.body.0 > 0, "[limits] body", "must be larger than zero");
    faults
}
