//! Messages between entry hosts.
//!
//! A scope is a set of availability zones whose engines are loaded by one leader. The leader holds
//! the scope's lease. Each term of leadership has an epoch, which grows with every new leader.

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::ConfigurationChange;
use crate::discovery::RegistryRow;
use crate::discovery::RegistryUpdate;
use crate::identity::HostIdentity;
use crate::lease::LeaseRecord;
use crate::ledger::LedgerClaim;
use crate::ledger::LedgerVerdict;
use crate::limits::LimitPhase;
use crate::limits::RequestRate;
use crate::quota::QuotaAnswer;
use crate::quota::QuotaReport;
use crate::quota::QuotaTable;
use crate::reachability::FailureRow;
use crate::reachability::OutageRow;
use crate::request::LedgerKey;

pub use crate::quarantine::CrashReport;
pub use crate::quarantine::CrashRow;
pub use crate::quarantine::QuarantineRow;
pub use crate::quarantine::QuarantineTable;
pub use crate::relay::RelayedView;
pub use crate::relay::StoreView;

/// Version of the message format; a host rejects any other.
pub const MESSAGE_VERSION: u32 = 1;

/// State of a replica, as its leader publishes it to entry hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaState {
    /// The load is ordered or in progress.
    #[serde(rename = "l")]
    Loading,
    /// The replica serves requests.
    #[serde(rename = "r")]
    Ready,
    /// The replica is about to be unloaded and accepts no new requests.
    #[serde(rename = "x")]
    Retiring,
}

/// Changed replica: unique name of the asset, name of the upstream, and the new state; `None`
/// removes the replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow(pub String, pub String, pub Option<ReplicaState>);

/// Changes between two versions of a leader's replica table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// Identifier of the table that `since` and `version` refer to.
    #[serde(rename = "t")]
    pub table: u64,
    /// Version that the receiver must have applied; 0 if `rows` is complete and replaces all rows
    /// of the scopes that the update covers.
    #[serde(rename = "s")]
    pub since: u64,
    /// Version after the update.
    #[serde(rename = "v")]
    pub version: u64,
    /// Changed replicas.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<ReplicaRow>,
}

/// Version of a leader's table that the sender has applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct TableAck {
    /// Identifier of the table.
    #[serde(rename = "t")]
    pub table: u64,
    /// Latest version applied.
    #[serde(rename = "v")]
    pub version: u64,
}

/// Waiting requests for one asset, summed up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandRow {
    /// Unique name of the asset.
    #[serde(rename = "a")]
    pub asset: String,
    /// Number of waiting requests.
    #[serde(rename = "n")]
    pub waiting: u32,
    /// Lowest rank of the waiting requests; a lower rank is served first.
    #[serde(rename = "p", default)]
    pub rank: u8,
    /// Time left to the earliest deadline of these requests, in milliseconds.
    #[serde(rename = "d")]
    pub slack_ms: u64,
}

/// Usage of one asset since the last message: its unique name, the number of requests, and the
/// tokens of their prompts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow(pub String, pub u32, pub u64);

/// Process of an upstream: the upstream's name, and when the process started by its own clock; 0 if
/// that is not known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessRow(pub String, pub u64);

/// Limit of one upstream, as the sender knows it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LimitRow {
    /// Name of the upstream.
    #[serde(rename = "u")]
    pub upstream: String,
    /// When the upstream's process started, by its own clock; 0 if the sender does not say.
    #[serde(rename = "b", default)]
    pub started_ms: u64,
    /// The limit; `None` if the upstream lifted it.
    #[serde(rename = "l")]
    pub rate: Option<RequestRate>,
    /// Time since the sender learned of it, in milliseconds. Hosts of earlier builds order rows by it.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Phase of the limit; `None` if the leader of the upstream's scope has not confirmed it.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub phase: Option<LimitPhase>,
    /// Whether more requests than the limit are granted, because answers no longer name it.
    #[serde(rename = "e", default, skip_serializing_if = "std::ops::Not::not")]
    pub eased: bool,
}

/// Evidence that a limit is over or higher, from an answer of its upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceRow {
    /// Name of the upstream.
    #[serde(rename = "u")]
    pub upstream: String,
    /// When the upstream's process started, by its own clock.
    #[serde(rename = "b")]
    pub started_ms: u64,
    /// Phase of the limit when the request was sent.
    #[serde(rename = "p")]
    pub phase: LimitPhase,
    /// The higher limit that the answer named; `None` if it named none.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub raised: Option<RequestRate>,
}

/// Expected waits for a permit of one upstream: its name, and ascending ranks. Each rank has the
/// wait, in milliseconds, of requests of this rank and of those below the next rank listed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitRow(pub String, pub Vec<(u8, u64)>);

/// Limits of upstreams, as a leader publishes them.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LimitTable {
    /// Whether the leader grants permits now.
    #[serde(rename = "g")]
    pub grants: bool,
    /// All known limits, recently lifted ones included.
    #[serde(rename = "r", default)]
    pub rows: Vec<LimitRow>,
    /// Expected waits for permits.
    #[serde(rename = "w", default)]
    pub waits: Vec<WaitRow>,
    /// Number of changes of the rows so far at the sender; 0 from hosts of earlier builds.
    #[serde(rename = "v", default)]
    pub version: u64,
    /// Number of the receiver's latest report about limits that the rows take into account; 0 if
    /// the receiver named no limit in it.
    #[serde(rename = "k", default)]
    pub report: u64,
}

impl LimitTable {
    /// Whether no limit has been known so far.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.version == 0
    }
}

/// Requests of one rank that wait for permits of one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitWant {
    /// Name of the upstream.
    #[serde(rename = "u")]
    pub upstream: String,
    /// When the upstream's process started, by its own clock; 0 if the sender does not say.
    #[serde(rename = "b", default)]
    pub started_ms: u64,
    /// Rank of the requests; the lowest is served first.
    #[serde(rename = "p")]
    pub rank: u8,
    /// Number of the requests.
    #[serde(rename = "n")]
    pub count: u32,
    /// Time left to the earliest deadline of the requests, in milliseconds.
    #[serde(rename = "d")]
    pub slack_ms: u64,
    /// Number of the latest permit for the upstream that the sender has received.
    #[serde(rename = "s")]
    pub seen: u64,
}

/// Limits that a host found, and the permits that it waits for. `wants` is always complete.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LimitReport {
    /// Number of the report, never used twice by a host; 0 if the host knows no limit.
    #[serde(rename = "i")]
    pub number: u64,
    /// Limits that answers named and the leader may not know.
    #[serde(rename = "r", default)]
    pub rows: Vec<LimitRow>,
    /// Evidence that limits are over or higher.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<EvidenceRow>,
    /// Waiting requests by upstream and rank.
    #[serde(rename = "w", default)]
    pub wants: Vec<PermitWant>,
}

impl LimitReport {
    /// Whether the host knows no limit.
    pub fn is_empty(&self) -> bool {
        self.number == 0
    }
}

/// Permits for requests to a limited upstream. They expire soon after the report that asked for
/// them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// Epoch of the leader that grants them.
    pub epoch: u64,
    /// Name of the upstream.
    pub upstream: String,
    /// When the upstream's process started, by its own clock; 0 if the sender does not say.
    #[serde(default)]
    pub started_ms: u64,
    /// Number of the receiver's report that they are granted for.
    pub report: u64,
    /// Number of the last of these permits, counted for this receiver and upstream.
    pub serial: u64,
    /// Number of permits.
    pub count: u32,
}

/// Notice of a leader to the hosts of its scope.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderNotice {
    /// Epoch of the leader's lease.
    pub epoch: u64,
    /// Names of the successors: hosts whose promises can extend the lease.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub successors: Vec<String>,
    /// Revision of the configuration in force at the sender.
    pub revision: u64,
    /// Replica changes of all scopes.
    pub update: TableUpdate,
    /// Changes of the registered upstreams.
    #[serde(default, skip_serializing_if = "RegistryUpdate::is_empty")]
    pub registry: RegistryUpdate,
    /// Unique names of the assets that the leader cannot place in its scope now.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub declined: Vec<String>,
    /// Limits of upstreams.
    #[serde(default, skip_serializing_if = "LimitTable::is_empty")]
    pub limits: LimitTable,
    /// Prompt parts that crash upstreams.
    #[serde(rename = "q", default, skip_serializing_if = "QuarantineTable::is_empty")]
    pub quarantine: QuarantineTable,
    /// States of accounts with quotas; the default if they are as they were.
    #[serde(rename = "a", default, skip_serializing_if = "QuotaTable::is_empty")]
    pub quota: QuotaTable,
    /// Number of entry hosts that the leader knows of, itself included; 0 if it has no host list.
    #[serde(rename = "n", default)]
    pub hosts: u32,
    /// The leader's lease as last stored; `None` from hosts of earlier builds.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<StoredLease>,
    /// What the leader knows of the platform's store; the default from hosts of earlier builds.
    #[serde(rename = "v", default, skip_serializing_if = "StoreView::is_empty")]
    pub store: StoreView,
    /// Upstreams that several hosts cannot reach.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub outages: Vec<OutageRow>,
}

/// Lease record with its version in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredLease {
    /// Version that the service gave the record.
    #[serde(rename = "v")]
    pub version: u64,
    /// The record.
    #[serde(rename = "r")]
    pub record: LeaseRecord,
}

/// Report of a host to the leader of its scope. `demand` is always complete, never an increment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandNotice {
    /// Epoch of the leader that the report is meant for.
    pub epoch: u64,
    /// Revision of the configuration in force at the sender.
    pub revision: u64,
    /// Version of the leader's replica table that the sender has applied.
    pub ack: TableAck,
    /// Version of the leader's table of registered upstreams that the sender has applied.
    #[serde(default)]
    pub registry_ack: TableAck,
    /// All waiting requests of the sender, by asset.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<DemandRow>,
    /// Requests that arrived at the sender since its last report, by asset.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub used: Vec<UsageRow>,
    /// Names of the upstreams that may have failed or lost assets, as found since the last report.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<String>,
    /// Limits of upstreams and permits that the sender waits for.
    #[serde(default, skip_serializing_if = "LimitReport::is_empty")]
    pub limits: LimitReport,
    /// Crashes of upstreams.
    #[serde(rename = "crashes", default, skip_serializing_if = "CrashReport::is_empty")]
    pub crash_report: CrashReport,
    /// Use of the quotas of accounts.
    #[serde(default, skip_serializing_if = "QuotaReport::is_empty")]
    pub quota: QuotaReport,
    /// Upstreams that said that they are leaving, though their entries do not.
    #[serde(rename = "departing", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<ProcessRow>,
    /// Whether the sender is draining and must not be named as a successor any more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub draining: bool,
    /// Upstreams that failed at the sender in the last seconds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failures: Vec<FailureRow>,
    /// Highest stamp of the leader's notices that the sender has received; `None` if it received none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stamp: Option<u64>,
}

/// Report of a leader to the leader of another scope.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeDigest {
    /// Epoch of the sender's lease.
    pub epoch: u64,
    /// Revision of the configuration in force at the sender.
    pub revision: u64,
    /// Replica changes in the sender's own scope.
    pub update: TableUpdate,
    /// Version of the receiver's replica table that the sender has applied.
    pub ack: TableAck,
    /// Demand in the sender's scope for assets that the receiver should place.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<DemandRow>,
    /// Requests that arrived in the sender's scope since its last digest, by asset.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub used: Vec<UsageRow>,
    /// Unique names of the assets that the sender cannot place now.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub declined: Vec<String>,
    /// Limits of upstreams in the sender's scope.
    #[serde(default, skip_serializing_if = "LimitTable::is_empty")]
    pub limits: LimitTable,
    /// Limits of upstreams in the receiver's scope, and permits that the sender's scope waits for.
    #[serde(default, skip_serializing_if = "LimitReport::is_empty")]
    pub foreign_limits: LimitReport,
    /// Prompt parts that crash upstreams; without suspects.
    #[serde(default, skip_serializing_if = "QuarantineTable::is_empty")]
    pub quarantine: QuarantineTable,
    /// Crashes of upstreams, as hosts of the sender's scope reported them.
    #[serde(rename = "crashes", default, skip_serializing_if = "CrashReport::is_empty")]
    pub crash_report: CrashReport,
}

/// Which software version began a stream: the stream's id, and the name of the version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRow(pub u64, pub String);

/// Message between entry hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Notice of a leader to a host of its scope.
    Leader(LeaderNotice),
    /// Report of a host to its leader.
    Demand(DemandNotice),
    /// Entries of upstreams that the sender knows and its leader does not, because the leader cannot
    /// read the platform's store.
    Entries(Vec<RegistryRow>),
    /// Report of a leader to the leader of another scope.
    Digest(ScopeDigest),
    /// Reply to a digest by a host that is not a leader.
    LeaderHint {
        /// Leader that the sender follows, with its epoch; `None` while it follows none.
        leader: Option<(HostIdentity, u64)>,
    },
    /// A leader no longer holds its lease, so the other hosts of its scope need not wait until it
    /// counts as unreachable.
    #[serde(rename = "LeaderEnded")]
    LeaseReleased {
        /// Epoch of the lease that it held.
        epoch: u64,
    },
    /// A leader asks a successor to promise that it won't acquire the lease for a limited time.
    #[serde(rename = "PromiseAsk")]
    PromiseRequest {
        /// Epoch of the leader's lease.
        epoch: u64,
        /// Latest version of the lease record that the leader is certain to have written.
        version: u64,
        /// Number of the round of promise requests; replies repeat it.
        round: u64,
    },
    /// A successor gives the promise that the leader requested.
    Promise {
        /// Epoch of the leader's lease.
        epoch: u64,
        /// Number of the round, as in the request.
        round: u64,
    },
    /// A candidate for the lease asks a successor to give no more promises, and to confirm that the
    /// given ones have expired.
    #[serde(rename = "ReleaseAsk")]
    PromiseReleaseRequest {
        /// Epoch of the lease to be replaced.
        epoch: u64,
        /// Version of the lease record that the candidate has read.
        version: u64,
    },
    /// A successor confirms that its promises for the epoch have expired, and gives no more.
    #[serde(rename = "Released")]
    PromiseReleased {
        /// Epoch of the lease to be replaced.
        epoch: u64,
        /// Version of the lease record, as in the request.
        version: u64,
    },
    /// A leader grants a host permits for requests to a limited upstream.
    Permit(PermitGrant),
    /// A host asks its leader about requests of accounts with quotas.
    QuotaAsk(QuotaReport),
    /// A leader answers such questions.
    QuotaAnswer(QuotaAnswer),
    /// Requests the configuration if the receiver's is newer.
    #[serde(rename = "ConfigurationAsk")]
    ConfigurationRequest {
        /// Revision of the configuration in force at the sender.
        have: u64,
    },
    /// Changes between two revisions of the configuration.
    ConfigurationOffer {
        /// Revision that the receiver must have; 0 replaces the whole configuration.
        base: u64,
        /// Revision after the changes.
        revision: u64,
        /// Digest of all items after the changes.
        digest: u64,
        /// Added, changed and removed items.
        changes: Vec<ConfigurationChange>,
    },
    /// Tells a host which software versions began streams, for the case that the sender dies.
    StreamOrigins(Vec<OriginRow>),
    /// Asks which software version began the stream with this id.
    OriginQuery(u64),
    /// Replies to a query: the id, and the name of the version; `None` if it is not known.
    OriginReply(u64, Option<String>),
    /// Queries the holder of a ledger claim for the outcome of its call.
    #[serde(rename = "LedgerAsk")]
    LedgerQuery {
        /// Key of the call.
        key: LedgerKey,
        /// Claim that the ledger records.
        claim: LedgerClaim,
    },
    /// Replies to a ledger query with the outcome of the call.
    #[serde(rename = "LedgerTell")]
    LedgerReply {
        /// Key of the call.
        key: LedgerKey,
        /// Claim, as in the query.
        claim: LedgerClaim,
        /// Outcome of the call under this claim.
        verdict: LedgerVerdict,
    },
}

/// Message with its format version and sender, as transmitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// Version of the message format, [`MESSAGE_VERSION`] at the sender.
    pub version: u32,
    /// Process that sent the message.
    pub from: HostIdentity,
    /// The message itself.
    pub message: PeerMessage,
}
