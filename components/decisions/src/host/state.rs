//! State of one entry host and the dispatch of events to their handlers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SecondaryMap;
use slotmap::SlotMap;
use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::InventoryCatalog;
use wagtailledge_inventory::UpstreamKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::admission::RequestRecord;
use crate::admission::WaitingQueue;
use crate::configuration::ConfigurationOrigin;
use crate::configuration::ConfigurationState;
use crate::configuration::STORE_SOURCE;
use crate::discovery::RegistryDirectory;
use crate::effect::DecisionKind;
use crate::effect::DecisionRecord;
use crate::effect::HostEffect;
use crate::event::HostEvent;
use crate::event::ListedHost;
use crate::identity::HostIdentity;
use crate::lease::LeaseContext;
use crate::lease::LeaseRecord;
use crate::lease::LeaseState;
use crate::lease::epoch_text;
use crate::membership::MemberDirectory;
use crate::message::PeerEnvelope;
use crate::message::PeerMessage;
use crate::message::StoreView;
use crate::placement::PlacementContext;
use crate::placement::PlacementState;
use crate::placement::UsageTable;
use crate::registry::CallPurpose;
use crate::registry::PendingCalls;
use crate::relay::StoreReads;
use crate::request::RequestKey;
use crate::request::RequestTarget;
use crate::request::RequestTicket;
use crate::retry::RetryBudget;
use crate::routing::ReplicaBackoffs;
use crate::routing::ReplicaView;
use crate::routing::TableRange;
use crate::routing::UpstreamTracker;
use crate::routing::WorkTracker;
use crate::store::StoreCallId;
use crate::store::StoreOutcome;
use crate::time::Moment;
use crate::timing::TimingRules;

use super::calls::CallLedger;
use super::crashes::CrashObserver;
use super::limits::HostLimits;
use super::origins::StreamOrigins;
use super::peer_leaders::PeerLeader;
use super::peer_sync::PeerSync;
use super::quarantine::HostQuarantine;
use super::quota_exchange::HostQuotas;
use super::reachability::HostReach;
use super::software::HostSoftware;
use super::usage::UsageCounts;

/// Gap between two events, ticks included, after which the process counts as having been frozen.
const FREEZE_THRESHOLD: Duration = Duration::from_secs(1);
/// Longest time that dispatches wait for a new host list after a freeze.
const HOST_LIST_WAIT_AFTER_FREEZE: Duration = Duration::from_secs(2);
/// Time for which this host's usage is kept for a new leader.
const RECENT_USAGE_TIME: Duration = Duration::from_secs(30);
/// Longest time that dispatches wait for the first host list after the start.
const HOST_LIST_WAIT_AT_START: Duration = Duration::from_secs(3);

/// The current leader of this host's scope; the host itself while it leads.
#[derive(Debug, Clone)]
pub(super) struct LeaderContact {
    pub(super) identity: HostIdentity,
    pub(super) epoch: u64,
    /// When its latest message arrived.
    pub(super) last_message: Moment,
    /// How far it follows the platform's store, as it last said.
    pub(super) store: StoreView,
    /// Since when this host has known entries of upstreams that the leader does not know.
    pub(super) behind_since: Option<Moment>,
}

/// How far a process has shut down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DrainStage {
    /// It takes requests.
    Serving,
    /// It says that it is leaving, and completes requests.
    Draining,
    /// It is about to exit, and sends nothing to upstreams any more.
    Over,
}

/// State machine that takes all decisions of one entry host, without I/O or a clock of its own.
#[derive(Debug, Clone)]
pub struct HostReducer {
    pub(super) me: HostIdentity,
    pub(super) timing: TimingRules,
    pub(super) catalog: InventoryCatalog,
    pub(super) configuration: ConfigurationState,
    pub(super) members: MemberDirectory,
    pub(super) view: ReplicaView,
    pub(super) tracker: UpstreamTracker,
    pub(super) work: WorkTracker,
    pub(super) limits: HostLimits,
    pub(super) quotas: HostQuotas,
    pub(super) crashes: CrashObserver,
    pub(super) quarantine: HostQuarantine,
    pub(super) software: HostSoftware,
    pub(super) origins: StreamOrigins,
    pub(super) reach: HostReach,
    /// All open requests, settled ones included.
    pub(super) requests: SlotMap<RequestKey, RequestRecord>,
    /// Keys of the open requests by the ticket that the frontend gave them.
    pub(super) tickets: HashMap<RequestTicket, RequestKey>,
    /// Exactly the requests in the stage `Waiting`.
    pub(super) queue: WaitingQueue,
    /// Deadlines of unsettled requests; without route terms, only until the answer begins.
    pub(super) deadlines: BTreeSet<(Moment, RequestKey)>,
    /// Number of open requests of each caller that has any.
    pub(super) open_by_caller: HashMap<u64, usize>,
    /// Number of requests in flight to upstreams, for each target that has any.
    pub(super) running: BTreeMap<RequestTarget, usize>,
    pub(super) retry_budget: RetryBudget,
    /// Retry delays of replicas that refused requests although they are reported ready.
    pub(super) replica_backoffs: ReplicaBackoffs,
    /// Replicas that refused requests and now have a single probe request in flight.
    pub(super) replica_probes: BTreeSet<(AssetKey, UpstreamKey)>,
    pub(super) ledger: CallLedger,
    /// Calls to the key-value service without a reply so far.
    pub(super) store_calls: PendingCalls,
    pub(super) lease: LeaseState,
    /// Present while this process holds the lease, even if its authority has expired.
    pub(super) placement: Option<PlacementState>,
    pub(super) leader: Option<LeaderContact>,
    /// Number of hosts that the leader knows of, itself included; `None` if it has not said.
    pub(super) leader_host_count: Option<usize>,
    /// Names of the successors in the current leader's lease.
    pub(super) leader_successors: Vec<String>,
    /// If this host leads: what each other host of its scope was sent, by host name.
    pub(super) member_syncs: BTreeMap<String, PeerSync>,
    /// If this host leads: last known state of the leaders of other scopes, by scope.
    pub(super) peer_leaders: BTreeMap<String, PeerLeader>,
    /// If another host leads: when the last message was sent to it, and whether one is needed.
    pub(super) leader_sync: PeerSync,
    /// Usage since the last demand notice to the leader, or since the last plan if this host leads.
    pub(super) unreported_usage: UsageCounts,
    /// Usage of the last seconds, for the first report to a new leader, which knows no usage yet.
    pub(super) recent_usage: UsageTable,
    /// Upstreams that may have lost assets or failed, not reported to the leader yet.
    pub(super) suspects: BTreeSet<UpstreamKey>,
    /// Assets for which a request was refused because it could not be served in time, and until
    /// when demand for them is still reported, so that a retry finds a replica.
    pub(super) retry_demand_until: BTreeMap<AssetKey, Moment>,
    /// Assets that the leader cannot place in its scope, as last reported by it.
    pub(super) declined: BTreeSet<AssetKey>,
    /// Upstreams that registered themselves with the platform.
    pub(super) registered_upstreams: RegistryDirectory,
    /// How far this host follows the platform's store, and when it asks next.
    pub(super) store_reads: StoreReads,
    /// Entries that were last sent to a leader which lacks them: when, and their highest revision.
    pub(super) entries_sent: (Moment, u64),
    /// When a sweep first found the entry of a registered process missing.
    pub(super) missing_since: SecondaryMap<UpstreamKey, Moment>,
    /// The configuration in force, and where it came from.
    pub(super) configuration_origin: ConfigurationOrigin,
    pub(super) next_configuration_read: Moment,
    pub(super) next_configuration_request: Moment,
    pub(super) next_sweep: Moment,
    /// How far this process has shut down.
    pub(super) drain: DrainStage,
    /// Whether this host, if it leads, has something to send before the next regular check.
    pub(super) notices_due: bool,
    /// Version of the replica table at the last check for due messages.
    pub(super) notified_version: u64,
    /// When to check next for due messages to other hosts and scopes.
    pub(super) next_notice_check: Moment,
    /// Earliest time of the next check for changes that are to be sent at once.
    pub(super) next_notice_scan: Moment,
    /// When the latest event arrived.
    pub(super) last_event: Moment,
    /// When the process started, or received its first event after its latest freeze.
    pub(super) resumed_at: Moment,
    /// Dispatches wait until this moment, or until a host list or registry update arrives.
    pub(super) dispatch_not_before: Moment,
    pub(super) rng: SmallRng,
}

impl HostReducer {
    /// Creates a host without configuration or peers. `seed` determines all its random choices.
    pub fn new(now: Moment, me: HostIdentity, timing: TimingRules, seed: u64) -> Self {
        // Incarnations are unique only within one host, so the name is hashed too.
        let table_seed = xxh3_64_with_seed(me.name.as_bytes(), me.incarnation);
        let store_reads = StoreReads::new(timing.relay_hosts, table_seed);
        Self {
            me,
            retry_budget: RetryBudget::new(now, timing.retries.clone()),
            timing,
            catalog: InventoryCatalog::default(),
            configuration: ConfigurationState::default(),
            members: MemberDirectory::default(),
            view: ReplicaView::new(table_seed),
            tracker: UpstreamTracker::default(),
            work: WorkTracker::default(),
            limits: HostLimits::new(now, table_seed),
            quotas: HostQuotas::new(table_seed),
            crashes: CrashObserver::default(),
            quarantine: HostQuarantine::default(),
            software: HostSoftware::default(),
            origins: StreamOrigins::default(),
            reach: HostReach::default(),
            requests: SlotMap::with_key(),
            tickets: HashMap::new(),
            queue: WaitingQueue::default(),
            deadlines: BTreeSet::new(),
            open_by_caller: HashMap::new(),
            running: BTreeMap::new(),
            replica_backoffs: ReplicaBackoffs::default(),
            replica_probes: BTreeSet::new(),
            ledger: CallLedger::default(),
            store_calls: PendingCalls::default(),
            lease: LeaseState::new(now),
            placement: None,
            leader: None,
            leader_host_count: None,
            leader_successors: Vec::new(),
            member_syncs: BTreeMap::new(),
            peer_leaders: BTreeMap::new(),
            leader_sync: PeerSync::default(),
            unreported_usage: UsageCounts::new(),
            recent_usage: UsageTable::default(),
            suspects: BTreeSet::new(),
            retry_demand_until: BTreeMap::new(),
            declined: BTreeSet::new(),
            registered_upstreams: RegistryDirectory::new(table_seed),
            store_reads,
            entries_sent: (Moment::default(), 0),
            missing_since: SecondaryMap::new(),
            configuration_origin: ConfigurationOrigin::default(),
            next_configuration_read: now,
            next_configuration_request: now,
            next_sweep: now,
            drain: DrainStage::Serving,
            notices_due: true,
            notified_version: 0,
            next_notice_check: now,
            next_notice_scan: now,
            last_event: now,
            resumed_at: now,
            dispatch_not_before: now.after(HOST_LIST_WAIT_AT_START),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// The configuration in force.
    pub fn catalog(&self) -> &InventoryCatalog {
        &self.catalog
    }

    /// Handles one event and appends the resulting effects to `effects`.
    pub fn reduce(&mut self, now: Moment, event: HostEvent, effects: &mut Vec<HostEffect>) {
        self.detect_freeze(now);
        self.handle_event(now, event, effects);
        self.allocate_permits(now, effects);
        self.exchange_quotas(now, effects);
        // Other hosts may be waiting for these changes: sends them without waiting for a tick.
        let changed = self.view.version(TableRange::AllScopes) != self.notified_version;
        if self.leader_sync.dirty || self.notices_due || (changed && self.placement.is_some()) {
            self.send_notices(now, effects);
        }
    }

    fn handle_event(&mut self, now: Moment, event: HostEvent, effects: &mut Vec<HostEffect>) {
        match event {
            HostEvent::Tick => self.tick(now, effects),
            HostEvent::RequestArrived(request) => self.accept_request(now, request, effects),
            HostEvent::CallerDisconnected(ticket) => self.caller_disconnected(now, ticket, effects),
            HostEvent::AttemptStarted(request, attempt) => {
                self.attempt_started(now, request, attempt, effects);
            }
            HostEvent::AttemptAdvanced(request, attempt) => {
                self.attempt_advanced(now, request, attempt, effects);
            }
            HostEvent::AttemptEnded(request, attempt, outcome) => {
                self.attempt_ended(now, request, attempt, outcome, effects);
            }
            HostEvent::StreamsObserved(streams) => self.streams_observed(now, streams, effects),
            HostEvent::Peer(envelope) => self.handle_peer_message(now, *envelope, effects),
            HostEvent::StoreOutcome(id, outcome) => {
                self.handle_store_outcome(now, id, outcome, effects);
            }
            HostEvent::OrderOutcome(key, outcome) => {
                self.with_placement(now, effects, |placement, context| {
                    placement.apply_outcome(context, key, outcome);
                });
                self.plan(now, effects);
            }
            HostEvent::LoadReport(upstream, load) => {
                self.load_reported(now, upstream, load);
                self.reach_load_reported(now, upstream, load, effects);
            }
            HostEvent::LimitStatement(upstream, dispatched, notice) => {
                self.limit_observed(now, upstream, dispatched, notice, effects);
            }
            HostEvent::LeavingReport(upstream) => self.upstream_leaves(now, upstream, effects),
            HostEvent::PauseReport(upstream, pause) => {
                self.upstream_pauses(now, upstream, pause, effects);
            }
            HostEvent::UpstreamChecked(upstream, reach) => {
                self.upstream_checked(now, upstream, reach, effects);
                self.reach_checked(now, upstream, reach, effects);
            }
            HostEvent::Quarantine(version, value) => {
                self.apply_record(now, version, &value, effects);
            }
            HostEvent::SoftwareRecord(version, value) => {
                self.apply_software_record(now, version, &value, effects);
            }
            HostEvent::StoreSeen(at) => self.store_read(now, at),
            HostEvent::StoreLost => self.store_read_failed(),
            HostEvent::Inventory(revision, items) => {
                if self.configuration.accept(revision, &items, &mut self.catalog) {
                    self.configuration_changed(now, STORE_SOURCE, effects);
                }
            }
            HostEvent::Lease(version, value) => {
                self.with_lease(now, effects, |lease, context| {
                    lease.apply_announced(context, version, LeaseRecord::parse(&value));
                });
            }
            HostEvent::Members(hosts) => self.members.apply_members(&hosts),
            HostEvent::Registry(changes) => self.apply_registry_changes(now, changes, effects),
            HostEvent::HostListRead(requested, hosts) => {
                self.apply_host_list(now, requested, &hosts, effects);
            }
            HostEvent::EarlierProcess => self.retry_budget.record_predecessor(),
            HostEvent::RetryRules(rules) => self.retry_budget.set_rules(rules),
            HostEvent::DrainOver => {
                self.drain = DrainStage::Over;
                self.refuse_waiting(effects);
            }
            HostEvent::Drain => {
                self.drain = DrainStage::Draining;
                self.lease.drain();
                self.lease_tick(now, effects);
                self.leader_sync.dirty = true;
            }
        }
    }

    /// Detects that this process was frozen, and delays dispatches because its view of the
    /// upstreams may be out of date.
    fn detect_freeze(&mut self, now: Moment) {
        if now.since(self.last_event) >= FREEZE_THRESHOLD {
            self.resumed_at = now;
            self.limits.permits.expire_all();
            self.reach_restart(now);
            self.quota_resumed(now);
            self.dispatch_not_before = now.after(HOST_LIST_WAIT_AFTER_FREEZE);
        }
        self.last_event = now;
    }

    fn apply_host_list(
        &mut self,
        now: Moment,
        requested: Moment,
        hosts: &[ListedHost],
        effects: &mut Vec<HostEffect>,
    ) {
        // A list requested before a freeze may be out of date.
        if requested < self.resumed_at {
            return;
        }
        self.dispatch_not_before = Moment::default();
        self.members.apply_list(hosts);
        self.inventory_changed(now, effects);
    }

    fn tick(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        self.refuse_expired(now, effects);
        self.lease_tick(now, effects);
        self.ledger_tick(now, effects);
        self.configuration_tick(now, effects);
        self.plan(now, effects);
        self.limit_tick(now, effects);
        self.quarantine_tick(now, effects);
        self.origins_tick(now, effects);
        self.software_tick(now, effects);
        self.reach_tick(now, effects);
        self.dispatch_all_waiting(now, effects);
        self.send_notices(now, effects);
        if now >= self.next_sweep {
            self.next_sweep = now.after(self.timing.peer_timeout);
            self.members.sweep(now, self.timing.peer_timeout);
            self.forget_departed_hosts();
            self.recent_usage.remove_requested_before(now.before(RECENT_USAGE_TIME));
            self.retry_demand_until.retain(|_, until| *until > now);
            self.replica_backoffs.sweep(now);
            self.quarantine_sweep(now);
            self.forget_processes(now);
        }
    }

    fn handle_peer_message(
        &mut self,
        now: Moment,
        envelope: PeerEnvelope,
        effects: &mut Vec<HostEffect>,
    ) {
        let from = envelope.from;
        if from == self.me {
            return;
        }
        self.members.record_contact(now, &from);
        match envelope.message {
            PeerMessage::Leader(notice) => self.handle_leader_notice(now, from, notice, effects),
            PeerMessage::Demand(notice) => self.handle_demand_notice(now, from, notice, effects),
            PeerMessage::Entries(rows) => self.handle_entries(now, &from, &rows, effects),
            PeerMessage::Digest(digest) => self.handle_digest(now, from, digest, effects),
            PeerMessage::Permit(grant) => self.handle_permit_grant(now, &from, &grant, effects),
            PeerMessage::QuotaAsk(report) => {
                self.handle_quota_report(now, &from, report.epoch, &report);
            }
            PeerMessage::QuotaAnswer(answer) => {
                self.handle_quota_answer(now, &from, &answer, effects);
            }
            PeerMessage::LeaderHint { leader } => self.handle_leader_hint(leader),
            PeerMessage::LeaseReleased { epoch } => self.handle_lease_released(&from, epoch),
            PeerMessage::PromiseRequest { epoch, version, round } => {
                let same_scope = from.scope == self.me.scope;
                self.with_lease(now, effects, |lease, context| {
                    if same_scope {
                        lease.answer_promise_request(context, from, epoch, version, round);
                    }
                });
            }
            PeerMessage::Promise { epoch, round } => {
                self.lease.record_promise(&self.timing, &from, epoch, round);
            }
            PeerMessage::PromiseReleaseRequest { epoch, version } => {
                self.with_lease(now, effects, |lease, context| {
                    lease.answer_release_request(context, from, epoch, version);
                });
            }
            PeerMessage::PromiseReleased { epoch, version } => {
                self.lease.record_release(&from, epoch, version);
            }
            PeerMessage::ConfigurationRequest { have } => {
                if let Some(offer) = self.configuration.offer(have) {
                    effects.push(HostEffect::send(from, offer));
                }
            }
            PeerMessage::ConfigurationOffer { base, revision, digest, changes } => {
                let state = &mut self.configuration;
                if state.apply_offer(base, revision, digest, changes, &mut self.catalog) {
                    self.configuration_changed(now, &from.name, effects);
                } else if revision > self.catalog.revision {
                    self.log_rejected_offer(&from, base, revision, effects);
                }
            }
            PeerMessage::StreamOrigins(rows) => self.record_origins(now, &rows),
            PeerMessage::OriginQuery(stream) => self.answer_origin_query(from, stream, effects),
            PeerMessage::OriginReply(stream, version) => {
                self.apply_origin_reply(now, &from, stream, version.as_deref(), effects);
            }
            PeerMessage::LedgerQuery { key, claim } => {
                self.answer_ledger_query(from, key, claim, effects);
            }
            PeerMessage::LedgerReply { key, claim, verdict } => {
                self.handle_ledger_verdict(&key, &claim, &verdict, effects);
            }
        }
    }

    fn handle_store_outcome(
        &mut self,
        now: Moment,
        id: StoreCallId,
        outcome: StoreOutcome,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(purpose) = self.store_calls.take(id) else {
            return;
        };
        match purpose {
            CallPurpose::Lease(call, sent) => {
                let mut changed = false;
                self.with_lease(now, effects, |lease, context| {
                    changed = lease.apply_outcome(context, &call, sent, outcome);
                });
                if changed {
                    self.leadership_changed(now, effects);
                }
            }
            CallPurpose::ConfigurationHead => {
                self.configuration.apply_head(&outcome, &mut self.store_calls, effects);
            }
            CallPurpose::ConfigurationShard(key) => {
                if self.configuration.apply_shard(&key, outcome, &mut self.catalog) {
                    self.configuration_changed(now, STORE_SOURCE, effects);
                }
            }
            CallPurpose::LedgerClaim(request) => {
                self.handle_claim_reply(now, request, outcome, effects);
            }
            CallPurpose::LedgerReadBack(request) => {
                self.handle_read_back(now, request, outcome, effects);
            }
            CallPurpose::LedgerOutcome(key) => self.handle_outcome_reply(now, &key, &outcome),
            CallPurpose::LedgerDelete => {}
            CallPurpose::SoftwareWrite => self.handle_software_reply(now, outcome, effects),
            CallPurpose::QuarantineRead | CallPurpose::QuarantineWrite => {
                self.handle_record_reply(now, outcome, effects);
            }
        }
    }

    /// Runs `step` on the lease state.
    pub(super) fn with_lease(
        &mut self,
        now: Moment,
        effects: &mut Vec<HostEffect>,
        step: impl FnOnce(&mut LeaseState, &mut LeaseContext<'_>),
    ) {
        let read_interval = self.lease_read_interval(now);
        let mut context = LeaseContext {
            now,
            me: &self.me,
            timing: &self.timing,
            members: &self.members,
            read_interval,
            rng: &mut self.rng,
            store_calls: &mut self.store_calls,
            effects,
        };
        step(&mut self.lease, &mut context);
    }

    fn lease_tick(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let leader_reachable = self
            .leader
            .as_ref()
            .is_some_and(|leader| now.since(leader.last_message) < self.timing.peer_timeout);
        self.with_lease(now, effects, |lease, context| lease.tick(context, leader_reachable));
    }

    /// Runs `step` on the placement state, if this process leads.
    pub(super) fn with_placement(
        &mut self,
        now: Moment,
        effects: &mut Vec<HostEffect>,
        step: impl FnOnce(&mut PlacementState, &mut PlacementContext<'_>),
    ) {
        let Some(placement) = self.placement.as_mut() else {
            return;
        };
        let authority = self.lease.authority(now).filter(|(epoch, _)| *epoch == placement.epoch);
        let mut context = PlacementContext {
            now,
            scope: &self.me.scope,
            catalog: &self.catalog,
            members: &self.members,
            timing: &self.timing,
            view: &mut self.view,
            limits: &self.limits.pressure,
            valid_until: authority.map(|(_, until)| until),
            effects,
        };
        step(placement, &mut context);
    }

    /// Plans placements, if this process leads, after adding its own demand and usage.
    pub(super) fn plan(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        if self.placement.is_none() {
            return;
        }
        let demand = self.demand_rows(now);
        let usage = std::mem::take(&mut self.unreported_usage);
        let suspects = std::mem::take(&mut self.suspects);
        let name = self.me.name.clone();
        let scope = self.me.scope.clone();
        self.view.mark_leader_alive(&scope, now);
        self.add_peer_usage(&usage);
        self.with_placement(now, effects, |placement, context| {
            placement.host_demand.replace(now, context.catalog, &name, &demand);
            for (asset, count) in usage {
                placement.record_usage(context, asset, count.requests, count.tokens);
            }
            for upstream in suspects {
                placement.schedule_claim(now, upstream);
            }
            placement.plan(context);
        });
        if let Some(placement) = &self.placement {
            self.notices_due |= self.declined != placement.declined;
            self.declined.clone_from(&placement.declined);
        }
    }

    /// Starts or ends this process's term as leader, after it acquired or lost the lease.
    pub(super) fn leadership_changed(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let held_epoch = self.lease.held_epoch();
        let epoch_before = self.placement.as_ref().map(|placement| placement.epoch);
        if let (None, Some(epoch)) = (held_epoch, epoch_before) {
            for identity in self.members.in_scope(&self.me.scope, &self.me.name) {
                let message = PeerMessage::LeaseReleased { epoch };
                effects.push(HostEffect::send(identity.clone(), message));
            }
        }
        self.member_syncs.clear();
        self.notices_due = true;
        self.peer_leaders.clear();
        if held_epoch.is_some() {
            self.view.start_leading(&self.catalog, &self.me.scope);
        }
        self.placement = held_epoch.map(|epoch| PlacementState::new(now, epoch));
        self.report_recent_usage(now);
        self.limit_leadership_changed(now, held_epoch.is_some(), effects);
        self.quota_leadership_changed(now, held_epoch.is_some());
        self.quarantine_leadership_changed(now, held_epoch.is_some());
        self.reset_outages();
        self.software_leadership_changed(now);
        if let Some(epoch) = held_epoch {
            let last_message = now;
            self.leader = Some(LeaderContact {
                identity: self.me.clone(),
                epoch,
                last_message,
                store: StoreView::default(),
                behind_since: None,
            });
        } else if self.leader.as_ref().is_some_and(|leader| leader.identity == self.me) {
            self.leader = None;
        }
        self.reapply_engine_reports(now, effects);
        let reason = if held_epoch.is_some() { "lease taken" } else { "lease lost" };
        effects.push(HostEffect::LogDecision(DecisionRecord {
            kind: DecisionKind::Lead,
            ticket: None,
            subject: self.me.scope.clone(),
            choice: format!("epoch {}", epoch_text(held_epoch.or(epoch_before).unwrap_or(0))),
            reason,
            alternatives: 0,
            inputs: self.lease.describe(),
        }));
        self.inventory_changed(now, effects);
    }

    /// Updates the placement after a change of hosts, upstreams or configuration, and replans.
    pub(super) fn inventory_changed(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        self.with_placement(now, effects, |placement, context| {
            placement.update_engines(context);
            placement.schedule_plan();
        });
        self.plan(now, effects);
    }

    /// The configuration in force, and where it came from.
    pub fn configuration_origin(&self) -> &ConfigurationOrigin {
        &self.configuration_origin
    }

    /// Records that a configuration came into force, which `source` sent: a host, or the key-value
    /// service.
    fn configuration_changed(&mut self, now: Moment, source: &str, effects: &mut Vec<HostEffect>) {
        let revision = self.catalog.revision;
        self.configuration_origin =
            ConfigurationOrigin { revision, since: now, source: source.to_owned() };
        effects.push(HostEffect::LogDecision(DecisionRecord {
            kind: DecisionKind::Configure,
            ticket: None,
            subject: "configuration".to_owned(),
            choice: format!("revision {}", self.catalog.revision),
            reason: "newer revision accepted",
            alternatives: 0,
            inputs: format!("from={source}"),
        }));
        self.reapply_engine_reports(now, effects);
        self.view.drop_unknown(&self.catalog);
        self.refuse_removed(effects);
        self.refresh_quotas(now);
        self.inventory_changed(now, effects);
        self.leader_sync.dirty = true;
        self.notices_due = true;
        for sync in self.member_syncs.values_mut() {
            sync.dirty = true;
        }
    }
}
