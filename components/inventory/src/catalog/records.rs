//! Records of the catalog: one for each asset, upstream and service.

use std::time::Duration;

use slotmap::new_key_type;

use crate::document::LoadTimes;
use crate::document::PoolEntry;
use crate::document::VersionState;

new_key_type! {
    /// Key of a model version or an adapter.
    pub struct AssetKey;
    /// Key of one process of an engine or of an instance of a plain service.
    pub struct UpstreamKey;
    /// Key of a plain service or a pool of engines.
    pub struct ServiceKey;
}

/// An asset, which is anything that an engine loads: a model version or an adapter.
#[derive(Debug, Clone)]
pub struct AssetRecord {
    /// Unique name: `name@version` of a model, the plain name of an adapter.
    pub name: String,
    /// Name that callers use; versions of a model share it.
    pub public_name: String,
    /// Version of a model; 1 for adapters.
    pub version: u32,
    /// Rollout state; always pinned for adapters.
    pub state: VersionState,
    /// Base model of an adapter, `None` for models. An adapter is only loaded where its base is.
    pub base: Option<AssetKey>,
    /// Accelerator memory of one replica, in bytes.
    pub bytes: u64,
    /// Pool whose engines may load the asset. If `None`, only engines without a pool may.
    pub service: Option<ServiceKey>,
    /// Expected load times; zero if not known in advance.
    pub loads: LoadTimes,
    /// Rank of its priority class; lower ranks are served first.
    pub rank: u8,
    /// Default deadline, for requests that set none.
    pub deadline: Duration,
    /// Minimum number of replicas kept in the home zone, even when idle.
    pub floor: u16,
    /// Maximum number of replicas in one zone.
    pub cap: u16,
}

/// What kind of upstream a record describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A model engine, declared or registered.
    Engine {
        /// Whether the engine rejects orders with an outdated fencing token.
        checks_tokens: bool,
    },
    /// An instance of a plain service.
    Service,
}

/// Start time of a process whose start is not known, and of the processes of declared upstreams.
pub const UNDATED: u64 = 0;

/// Process of an upstream; others under the same name may follow it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamProcess {
    /// Name of the upstream.
    pub name: String,
    /// When the process started, in milliseconds since 1970 on its own clock; or [`UNDATED`], and
    /// processes of the upstream are not told apart.
    pub started_ms: u64,
}

/// Version of an upstream's software. It has no order: two versions are the same or not.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SoftwareVersion(String);

impl SoftwareVersion {
    /// The version with this name; an empty name if upstreams do not say theirs.
    pub fn new(name: &str) -> Self {
        Self(name.to_owned())
    }

    /// Name of the version.
    pub fn name(&self) -> &str {
        &self.0
    }
}

/// An engine or an instance of a plain service.
#[derive(Debug, Clone)]
pub struct UpstreamRecord {
    /// Name, unique among upstreams.
    pub name: String,
    /// Availability zone of the upstream.
    pub zone: String,
    /// Placement scope that the zone belongs to.
    pub scope: String,
    /// IP address and port of the upstream.
    pub address: String,
    /// Accelerator memory in bytes; 0 for plain services.
    pub memory_bytes: u64,
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether this is an engine or an instance of a plain service.
    pub kind: UpstreamKind,
    /// Service of an instance, or pool of an engine; `None` for an engine without a pool.
    pub service: Option<ServiceKey>,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// Whether it registered itself with the platform instead of being declared in the inventory.
    pub registered: bool,
}

/// Properties that all engines of a pool share.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolRecord {
    /// Accelerator memory for models and adapters, in bytes per engine.
    pub memory_bytes: u64,
    /// Maximum number of adapters loaded at the same time, per engine.
    pub adapters: u32,
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Tokens that running requests and cached prompts may occupy, per engine.
    pub tokens: u64,
    /// Host memory for copies of weights, in bytes per engine.
    pub host_bytes: u64,
    /// Disk space for copies of weights, in bytes per engine.
    pub disk_bytes: u64,
    /// Loads per minute that the weight store allows for all engines of the pool together.
    pub loads_per_minute: u32,
    /// Whether the engines reject orders with an outdated fencing token.
    pub checks_tokens: bool,
}

impl From<&PoolEntry> for PoolRecord {
    fn from(entry: &PoolEntry) -> Self {
        Self {
            memory_bytes: entry.memory.0,
            adapters: entry.adapters,
            slots: entry.slots,
            tokens: entry.tokens,
            host_bytes: entry.host_memory.0,
            disk_bytes: entry.disk.0,
            loads_per_minute: entry.loads_per_minute,
            checks_tokens: entry.checks_tokens,
        }
    }
}

/// A plain service or a pool of engines, in the form that routing uses.
#[derive(Debug, Clone)]
pub struct ServiceRecord {
    /// Name, unique among services.
    pub name: String,
    /// Rank of its priority class; lower ranks are served first.
    pub rank: u8,
    /// Default deadline, for requests that set none.
    pub deadline: Duration,
    /// Path prefixes of idempotent requests.
    pub idempotent: Vec<String>,
    /// Instances, or engines of the pool: exactly the upstreams whose `service` is this one.
    pub instances: Vec<UpstreamKey>,
    /// Properties of the engines if this is a pool; `None` for a plain service.
    pub pool: Option<PoolRecord>,
}
