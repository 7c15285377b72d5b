//! Items of the inventory, as operators declare them in TOML.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

pub use crate::account::AccountEntry;
pub use crate::account::QuotaEntry;
pub use crate::account::QuotaUnit;
use crate::units::ByteSize;
use crate::units::TimeSpan;

/// Everything operators declare. It is accepted and propagated as one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct InventoryDocument {
    /// Rules that apply to the whole deployment.
    #[serde(default)]
    pub rules: RuleSet,
    /// Priority classes of requests.
    #[serde(default, rename = "class")]
    pub classes: Vec<ClassRule>,
    /// Versions of models.
    #[serde(default, rename = "model")]
    pub models: Vec<ModelEntry>,
    /// Adapters, each for one base model.
    #[serde(default, rename = "adapter")]
    pub adapters: Vec<AdapterEntry>,
    /// Model engines that are declared here; others may register themselves.
    #[serde(default, rename = "engine")]
    pub engines: Vec<EngineEntry>,
    /// Plain services, and pools of engines that models refer to by name.
    #[serde(default, rename = "service")]
    pub services: Vec<ServiceEntry>,
    /// Routes for requests that are passed through to a service.
    #[serde(default, rename = "route")]
    pub routes: Vec<RouteEntry>,
    /// Accounts of callers. If there are any, requests need a key, except on public routes.
    #[serde(default, rename = "account", skip_serializing_if = "Vec::is_empty")]
    pub accounts: Vec<AccountEntry>,
}

/// Rules that apply to the whole deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RuleSet {
    /// How long an idle replica stays loaded.
    pub keep_alive: TimeSpan,
    /// Deadline of a request if neither its headers nor its class set one.
    pub default_deadline: TimeSpan,
    /// How long the ledger keeps the record of a finished request.
    pub ledger_retention: TimeSpan,
    /// Expected duration of one model load; updated from observed loads.
    pub expected_load: TimeSpan,
    /// Loads per second that the weight store allows, in all zones together.
    pub store_loads_per_second: u32,
    /// Concurrent loads that the weight store serves at full speed, in all zones together.
    pub store_concurrent_loads: u32,
    /// Maximum number of concurrent adapter loads, in all zones together.
    pub adapters_in_flight: u32,
    /// Maximum number of waiting requests at one host. Above it the host sheds the least important.
    pub max_waiting: u32,
    /// Maximum number of open requests of one caller at one host.
    pub max_waiting_per_caller: u32,
    /// Maximum body size of a request that is passed through.
    pub max_body: ByteSize,
    /// Time limit for the rest of a request after its head has arrived.
    pub head_timeout: TimeSpan,
    /// Idle time after which a caller's connection is closed.
    pub idle_timeout: TimeSpan,
    /// Whether requests need the key of an account even if no account is declared.
    #[serde(skip_serializing_if = "is_false")]
    pub keys_required: bool,
}

impl Default for RuleSet {
    fn default() -> Self {
        Self {
            keep_alive: TimeSpan(Duration::from_secs(300)),
            default_deadline: TimeSpan(Duration::from_secs(30)),
            ledger_retention: TimeSpan(Duration::from_secs(86_400)),
            expected_load: TimeSpan(Duration::from_secs(8)),
            store_loads_per_second: 2,
            store_concurrent_loads: 4,
            adapters_in_flight: 30,
            max_waiting: 2_000,
            max_waiting_per_caller: 1_000,
            max_body: ByteSize(4 << 20),
            head_timeout: TimeSpan(Duration::from_secs(10)),
            idle_timeout: TimeSpan(Duration::from_secs(60)),
            keys_required: false,
        }
    }
}

/// One priority class of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassRule {
    /// Name, unique among classes.
    pub name: String,
    /// Priority: lower ranks are served first and shed last.
    pub rank: u8,
    /// Default deadline, for requests that set none.
    pub deadline: TimeSpan,
}

/// Rollout state of one version of a model, set by operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
pub enum VersionState {
    /// Serves requests that name no version. At most one version of a model is pinned.
    #[default]
    Pinned,
    /// Replaces the pinned version as soon as it is loaded.
    Rolling,
    /// Serves no requests and is unloaded.
    Retired,
}

/// One version of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// Model name that callers use.
    pub name: String,
    /// Version number; `name@version` is unique.
    #[serde(default = "first_version")]
    pub version: u32,
    /// Rollout state of this version.
    #[serde(default)]
    pub state: VersionState,
    /// Accelerator memory that one replica takes.
    pub size: ByteSize,
    /// Name of the priority class of its requests.
    pub class: String,
    /// Pool whose engines may load the model. If absent, only engines without a pool may.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Expected load times.
    #[serde(default)]
    pub loads: LoadTimes,
    /// Minimum number of replicas kept in the home zone, even when idle.
    #[serde(default)]
    pub floor: u16,
    /// Maximum number of replicas in one zone.
    #[serde(default = "default_cap")]
    pub cap: u16,
}

/// How long a load of one model takes, by where the engine finds the weights.
///
/// Zero means that the time is not known in advance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadTimes {
    /// Load time from the weight store.
    pub store: TimeSpan,
    /// Load time from the engine's disk.
    pub disk: TimeSpan,
    /// Load time from the engine's host memory.
    pub memory: TimeSpan,
}

impl Default for LoadTimes {
    fn default() -> Self {
        let unknown = TimeSpan(Duration::ZERO);
        Self { store: unknown, disk: unknown, memory: unknown }
    }
}

/// One adapter: a small set of weights that is loaded on top of a base model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterEntry {
    /// Name that callers use as the model name; unique among models and adapters.
    pub name: String,
    /// Base model as `name`, which means the pinned version, or as `name@version`.
    pub base: String,
    /// Accelerator memory that the adapter takes in addition to its base.
    pub size: ByteSize,
    /// Name of the priority class of its requests.
    pub class: String,
}

/// One model engine: a server that loads models and runs requests on them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineEntry {
    /// Name, unique among engines and instances; the same as in the host list.
    pub name: String,
    /// Availability zone of the engine.
    pub zone: String,
    /// IP address and port of the engine.
    pub address: String,
    /// Number of accelerators.
    pub accelerators: u16,
    /// Memory of all accelerators together.
    pub memory: ByteSize,
    /// Requests that the engine runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the engine rejects orders with an outdated fencing token.
    pub checks_tokens: bool,
    /// Pool that the engine belongs to, by the name of its service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
}

/// Properties that all engines of a pool share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolEntry {
    /// Accelerator memory for models and adapters, per engine.
    pub memory: ByteSize,
    /// Maximum number of adapters loaded at the same time, per engine.
    pub adapters: u32,
    /// Requests that one engine runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Tokens that running requests and cached prompts may occupy, per engine.
    pub tokens: u64,
    /// Host memory for copies of weights, per engine.
    pub host_memory: ByteSize,
    /// Disk space for copies of weights, per engine.
    pub disk: ByteSize,
    /// Loads per minute that the weight store allows for all engines of the pool together.
    pub loads_per_minute: u32,
    /// Whether the engines reject orders with an outdated fencing token.
    pub checks_tokens: bool,
}

/// One plain service with its instances, or a pool of engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Name, unique among services.
    pub name: String,
    /// Name of the priority class of its requests.
    pub class: String,
    /// Path prefixes of idempotent requests. Requests to other paths are not idempotent.
    #[serde(default)]
    pub idempotent: Vec<String>,
    /// Declared instances; others may register themselves.
    #[serde(default, rename = "instance")]
    pub instances: Vec<InstanceEntry>,
    /// Properties of the engines if this is a pool; `None` for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<PoolEntry>,
}

/// Whether requests of a route may be repeated, and how they are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
    /// The answer is a stream of events. A request may run at most once unless the route is
    /// resumable.
    Streaming,
}

/// One destination of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteShare {
    /// Name of the service that receives the requests.
    pub service: String,
    /// Share of the requests relative to the weights of the other destinations.
    pub weight: u32,
}

/// Destination and handling of requests that are passed through, by host name and path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// Name, unique among routes.
    pub name: String,
    /// Host name in the request, in any case.
    pub host: String,
    /// Prefix of the path, with a slash at both ends. The longest matching prefix wins.
    pub prefix: String,
    /// Whether requests may be repeated, and how they are answered.
    pub kind: RouteKind,
    /// Time limit for the final answer, over all attempts.
    pub timeout: TimeSpan,
    /// Target for the time to answer.
    pub objective: TimeSpan,
    /// Target for the longest pause between two events of a stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pause: Option<TimeSpan>,
    /// Priority: lower ranks are served first and shed last.
    pub rank: u8,
    /// Maximum number of upstreams that one request may be sent to.
    pub attempts: u32,
    /// Whether requests with a common prompt prefix are preferably sent to the same engine.
    #[serde(default)]
    pub sticky: bool,
    /// Whether another engine may continue a broken stream after its last event.
    #[serde(default)]
    pub resumable: bool,
    /// Whether requests need no key.
    #[serde(default, skip_serializing_if = "is_false")]
    pub public: bool,
    /// Services that receive the requests, by weight.
    pub to: Vec<RouteShare>,
}

/// One instance of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceEntry {
    /// Name, unique among engines and instances; the same as in the host list.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// IP address and port of the instance.
    pub address: String,
    /// Requests that the instance runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_false(value: &bool) -> bool {
    !*value
}

fn first_version() -> u32 {
    1
}

fn default_cap() -> u16 {
    2
}

fn default_slots() -> u32 {
    32
}
