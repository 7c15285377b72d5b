//! State of one entry host and the entry point of its reducer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::InventoryCatalog;
use wagtailledge_inventory::UpstreamKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::admission::RequestRecord;
use crate::admission::WaitingQueue;
use crate::configuration::ConfigurationState;
use crate::discovery::UpstreamBook;
use crate::effect::DecisionKind;
use crate::effect::DecisionNote;
use crate::effect::HostEffect;
use crate::event::HostEvent;
use crate::event::ListedHost;
use crate::identity::HostStamp;
use crate::lease::LeaseContext;
use crate::lease::LeaseState;
use crate::membership::MemberDirectory;
use crate::message::PeerEnvelope;
use crate::message::PeerMessage;
use crate::placement::PlacementContext;
use crate::placement::PlacementState;
use crate::registry::CallPurpose;
use crate::registry::CallRegistry;
use crate::request::RequestKey;
use crate::request::RequestTarget;
use crate::request::RequestTicket;
use crate::retry::RetryBudget;
use crate::routing::ReplicaHolds;
use crate::routing::ReplicaView;
use crate::routing::TableRange;
use crate::routing::UpstreamTracker;
use crate::store::CallId;
use crate::store::StoreOutcome;
use crate::time::Moment;
use crate::timing::TimingRules;

use super::calls::CallLedger;
use super::links::PeerLink;
use super::neighbours::NeighbourLink;
use super::uses::UseCounts;

/// Time without any event, ticks included, that only a frozen process knows.
const FREEZE: Duration = Duration::from_secs(1);
/// After a freeze, dispatches wait this long for the host list.
const WAKE_PATIENCE: Duration = Duration::from_secs(2);
/// After the start, dispatches wait this long for the host list.
const START_PATIENCE: Duration = Duration::from_secs(3);

/// The leader that a host follows.
#[derive(Debug, Clone)]
pub(super) struct LeaderContact {
    pub(super) stamp: HostStamp,
    pub(super) epoch: u64,
    pub(super) heard: Moment,
}

/// All decisions of one entry host.
#[derive(Debug, Clone)]
pub struct HostReducer {
    pub(super) me: HostStamp,
    pub(super) timing: TimingRules,
    pub(super) catalog: InventoryCatalog,
    pub(super) configuration: ConfigurationState,
    pub(super) members: MemberDirectory,
    pub(super) view: ReplicaView,
    pub(super) tracker: UpstreamTracker,
    /// Requests between arrival and end.
    pub(super) requests: SlotMap<RequestKey, RequestRecord>,
    /// The same requests by the front's number.
    pub(super) tickets: HashMap<RequestTicket, RequestKey>,
    /// Requests in the stage `Waiting`, and no others.
    pub(super) queue: WaitingQueue,
    /// Deadlines of all unsettled requests whose answer has not begun.
    pub(super) deadlines: BTreeSet<(Moment, RequestKey)>,
    /// Requests between arrival and end of each caller that has any.
    pub(super) by_caller: HashMap<u64, usize>,
    /// Requests running at upstreams, of each target that has any.
    pub(super) running: BTreeMap<RequestTarget, usize>,
    pub(super) retries: RetryBudget,
    /// Replicas that refused requests although they are said to be ready.
    pub(super) holds: ReplicaHolds,
    /// Replicas that refused requests and are being tried again by one.
    pub(super) trials: BTreeSet<(AssetKey, UpstreamKey)>,
    pub(super) ledger: CallLedger,
    pub(super) registry: CallRegistry,
    pub(super) lease: LeaseState,
    /// Present while this process holds the lease, lapsed or not.
    pub(super) placement: Option<PlacementState>,
    pub(super) following: Option<LeaderContact>,
    /// Hosts that stand by for the leader followed, by name.
    pub(super) following_successors: Vec<String>,
    /// The leader's messages to the hosts of its scope, by name.
    pub(super) member_links: BTreeMap<String, PeerLink>,
    /// The leader's messages to the leaders of other scopes, by scope.
    pub(super) neighbours: BTreeMap<String, NeighbourLink>,
    /// This host's messages to its leader.
    pub(super) leader_link: PeerLink,
    /// Requests that arrived since the last message to the leader.
    pub(super) used: UseCounts,
    /// Upstreams that did not hold what the placement says.
    pub(super) suspects: BTreeSet<UpstreamKey>,
    /// Assets refused as too late, wanted until the moment given for callers who come back.
    pub(super) wanted_until: BTreeMap<AssetKey, Moment>,
    /// Assets that no scope can place, as the leader last told.
    pub(super) declined: BTreeSet<AssetKey>,
    /// Upstreams that registered themselves.
    pub(super) book: UpstreamBook,
    pub(super) next_configuration_read: Moment,
    pub(super) next_configuration_ask: Moment,
    pub(super) next_sweep: Moment,
    pub(super) draining: bool,
    /// Something must be told to hosts or scopes at the next tick.
    pub(super) notices_due: bool,
    /// Version of the table at the last round of notices.
    pub(super) notified: u64,
    /// When to look again whom to send something.
    pub(super) next_notices: Moment,
    /// When the latest event came in.
    last_event: Moment,
    /// When this process last went on after a freeze.
    woke: Moment,
    /// No dispatch before this moment, unless the host list is read earlier.
    pub(super) hold_until: Moment,
    pub(super) rng: SmallRng,
}

impl HostReducer {
    /// Starts a host that knows nothing yet. `seed` decides all its random choices.
    pub fn new(now: Moment, me: HostStamp, timing: TimingRules, seed: u64) -> Self {
        // Incarnations are unique on one host only.
        let table_seed = xxh3_64_with_seed(me.name.as_bytes(), me.incarnation);
        Self {
            me,
            retries: RetryBudget::new(timing.retries.clone()),
            timing,
            catalog: InventoryCatalog::default(),
            configuration: ConfigurationState::default(),
            members: MemberDirectory::default(),
            view: ReplicaView::new(table_seed),
            tracker: UpstreamTracker::default(),
            requests: SlotMap::with_key(),
            tickets: HashMap::new(),
            queue: WaitingQueue::default(),
            deadlines: BTreeSet::new(),
            by_caller: HashMap::new(),
            running: BTreeMap::new(),
            holds: ReplicaHolds::default(),
            trials: BTreeSet::new(),
            ledger: CallLedger::default(),
            registry: CallRegistry::default(),
            lease: LeaseState::new(now),
            placement: None,
            following: None,
            following_successors: Vec::new(),
            member_links: BTreeMap::new(),
            neighbours: BTreeMap::new(),
            leader_link: PeerLink::default(),
            used: UseCounts::new(),
            suspects: BTreeSet::new(),
            wanted_until: BTreeMap::new(),
            declined: BTreeSet::new(),
            book: UpstreamBook::new(table_seed),
            next_configuration_read: now,
            next_configuration_ask: now,
            next_sweep: now,
            draining: false,
            notices_due: true,
            notified: 0,
            next_notices: now,
            last_event: now,
            woke: now,
            hold_until: now.after(START_PATIENCE),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// The configuration in force.
    pub fn catalog(&self) -> &InventoryCatalog {
        &self.catalog
    }

    /// Takes in one event; what is to be done is added to `effects`.
    pub fn reduce(&mut self, now: Moment, event: HostEvent, effects: &mut Vec<HostEffect>) {
        self.notice_freeze(now);
        self.take_in(now, event, effects);
        // What others wait for is told at once, not at the next tick.
        let news = self.view.version(TableRange::Everywhere) != self.notified;
        if self.leader_link.dirty || self.notices_due || (news && self.placement.is_some()) {
            self.send_notices(now, effects);
        }
    }

    fn take_in(&mut self, now: Moment, event: HostEvent, effects: &mut Vec<HostEffect>) {
        match event {
            HostEvent::Tick => self.tick(now, effects),
            HostEvent::Arrived(request) => self.arrived(now, request, effects),
            HostEvent::CallerLeft(ticket) => self.caller_left(now, ticket, effects),
            HostEvent::AttemptStarted(request, attempt) => {
                self.attempt_started(request, attempt, effects);
            }
            HostEvent::AttemptEnded(request, attempt, outcome) => {
                self.attempt_ended(now, request, attempt, outcome, effects);
            }
            HostEvent::Peer(envelope) => self.peer(now, *envelope, effects),
            HostEvent::Store(id, outcome) => self.store_answered(now, id, outcome, effects),
            HostEvent::Order(key, outcome) => {
                self.with_placement(now, effects, |placement, context| {
                    placement.answered(context, key, outcome);
                });
                self.plan(now, effects);
            }
            HostEvent::Load(upstream, load) => {
                self.tracker.reported(now, upstream, load.running + load.waiting);
            }
            HostEvent::Inventory(revision, items) => {
                if self.configuration.accept(revision, &items, &mut self.catalog) {
                    self.configuration_changed(now, effects);
                }
            }
            HostEvent::Lease(version, value) => {
                self.with_lease(now, effects, |lease, context| {
                    lease.told(context, version, &value);
                });
            }
            HostEvent::Members(hosts) => self.members.apply_members(&hosts),
            HostEvent::Registry(changes) => self.registry_changed(now, changes, effects),
            HostEvent::Hosts(asked, hosts) => self.hosts_listed(now, asked, &hosts, effects),
            HostEvent::RetryRules(rules) => self.retries.set_rules(rules),
            HostEvent::DrainOver => self.refuse_waiting(effects),
            HostEvent::Drain => {
                self.draining = true;
                self.lease.drain();
                self.lease_tick(now, effects);
            }
        }
    }

    /// Notices that this process was frozen: what it knows of upstreams may be long out of date.
    fn notice_freeze(&mut self, now: Moment) {
        if now.since(self.last_event) >= FREEZE {
            self.woke = now;
            self.hold_until = now.after(WAKE_PATIENCE);
        }
        self.last_event = now;
    }

    fn hosts_listed(
        &mut self,
        now: Moment,
        asked: Moment,
        hosts: &[ListedHost],
        effects: &mut Vec<HostEffect>,
    ) {
        // An answer from before a freeze says nothing about now.
        if asked < self.woke {
            return;
        }
        self.hold_until = Moment::default();
        self.members.apply_list(hosts);
        self.follow_inventory(now, effects);
    }

    fn tick(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        self.expire(now, effects);
        self.lease_tick(now, effects);
        self.ledger_tick(now, effects);
        self.configuration_tick(now, effects);
        self.plan(now, effects);
        self.pump_all(now, effects);
        self.send_notices(now, effects);
        if now >= self.next_sweep {
            self.next_sweep = now.after(self.timing.peer_timeout);
            self.members.forget_before(now.before(self.timing.peer_timeout * 8));
            self.wanted_until.retain(|_, until| *until > now);
            self.holds.sweep(now);
        }
    }

    fn peer(&mut self, now: Moment, envelope: PeerEnvelope, effects: &mut Vec<HostEffect>) {
        let from = envelope.from;
        if from == self.me {
            return;
        }
        self.members.heard(now, &from);
        match envelope.message {
            PeerMessage::Leader(notice) => self.leader_notice(now, from, notice, effects),
            PeerMessage::Demand(notice) => self.demand_notice(now, from, notice, effects),
            PeerMessage::Digest(digest) => self.scope_digest(now, from, digest, effects),
            PeerMessage::LeaderHint { leader } => self.leader_hint(leader),
            PeerMessage::LeaderEnded { epoch } => self.leader_ended(&from, epoch),
            PeerMessage::PromiseAsk { epoch, version, round } => {
                let allowed = from.scope == self.me.scope;
                self.with_lease(now, effects, |lease, context| {
                    if allowed {
                        lease.promise_asked(context, from, epoch, version, round);
                    }
                });
            }
            PeerMessage::Promise { epoch, round } => {
                self.lease.promised(&self.timing, &from, epoch, round);
            }
            PeerMessage::ReleaseAsk { epoch, version } => {
                self.with_lease(now, effects, |lease, context| {
                    lease.release_asked(context, from, epoch, version);
                });
            }
            PeerMessage::Released { epoch, version } => self.lease.released(&from, epoch, version),
            PeerMessage::ConfigurationAsk { have } => {
                if let Some(offer) = self.configuration.offer(have) {
                    effects.push(HostEffect::send(from, offer));
                }
            }
            PeerMessage::ConfigurationOffer { base, revision, digest, changes } => {
                let state = &mut self.configuration;
                if state.apply_offer(base, revision, digest, changes, &mut self.catalog) {
                    self.configuration_changed(now, effects);
                }
            }
            PeerMessage::LedgerAsk { key, claim } => self.ledger_asked(from, key, claim, effects),
            PeerMessage::LedgerTell { key, claim, verdict } => {
                self.ledger_told(&key, &claim, &verdict, effects);
            }
        }
    }

    fn store_answered(
        &mut self,
        now: Moment,
        id: CallId,
        outcome: StoreOutcome,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(purpose) = self.registry.take(id) else {
            return;
        };
        match purpose {
            CallPurpose::Lease(call, sent) => {
                let mut changed = false;
                self.with_lease(now, effects, |lease, context| {
                    changed = lease.answered(context, &call, sent, outcome);
                });
                if changed {
                    self.leadership_changed(now, effects);
                }
            }
            CallPurpose::ConfigurationHead => {
                self.configuration.head_read(&outcome, &mut self.registry, effects);
            }
            CallPurpose::ConfigurationShard(key) => {
                if self.configuration.shard_read(&key, outcome, &mut self.catalog) {
                    self.configuration_changed(now, effects);
                }
            }
            CallPurpose::LedgerClaim(request) => {
                self.claim_answered(now, request, outcome, effects);
            }
            CallPurpose::LedgerReadBack(request) => {
                self.read_back_answered(now, request, outcome, effects);
            }
            CallPurpose::LedgerFinish(key) => self.finish_answered(now, &key, &outcome),
            CallPurpose::LedgerDrop => {}
        }
    }

    /// Runs a step of the lease logic.
    pub(super) fn with_lease(
        &mut self,
        now: Moment,
        effects: &mut Vec<HostEffect>,
        step: impl FnOnce(&mut LeaseState, &mut LeaseContext<'_>),
    ) {
        let mut context = LeaseContext {
            now,
            me: &self.me,
            timing: &self.timing,
            members: &self.members,
            rng: &mut self.rng,
            registry: &mut self.registry,
            effects,
        };
        step(&mut self.lease, &mut context);
    }

    fn lease_tick(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let heard = self
            .following
            .as_ref()
            .is_some_and(|leader| now.since(leader.heard) < self.timing.peer_timeout);
        self.with_lease(now, effects, |lease, context| lease.tick(context, heard));
    }

    /// Runs a step of the placement logic, if this process leads.
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
            valid_until: authority.map(|(_, until)| until),
            effects,
        };
        step(placement, &mut context);
    }

    /// Plans placements, if this process leads, with its own demand taken in first.
    pub(super) fn plan(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        if self.placement.is_none() {
            return;
        }
        let demand = self.demand_rows(now);
        let used = std::mem::take(&mut self.used);
        let suspects = std::mem::take(&mut self.suspects);
        let name = self.me.name.clone();
        let scope = self.me.scope.clone();
        self.view.mark_heard(&scope, now);
        self.note_neighbour_use(&used);
        self.with_placement(now, effects, |placement, context| {
            placement.hosts.replace(now, context.catalog, &name, &demand);
            for (asset, count) in used {
                placement.used(context, asset, count.requests, count.tokens);
            }
            for upstream in suspects {
                placement.suspect(now, upstream);
            }
            placement.plan(context);
        });
        if let Some(placement) = &self.placement {
            self.notices_due |= self.declined != placement.declined;
            self.declined.clone_from(&placement.declined);
        }
    }

    /// Starts or ends a term as leader.
    fn leadership_changed(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let held = self.lease.held_epoch();
        if let (None, Some(placement)) = (held, &self.placement) {
            let epoch = placement.epoch;
            for stamp in self.members.in_scope(&self.me.scope, &self.me.name) {
                let message = PeerMessage::LeaderEnded { epoch };
                effects.push(HostEffect::send(stamp.clone(), message));
            }
        }
        self.member_links.clear();
        self.notices_due = true;
        self.neighbours.clear();
        if held.is_some() {
            self.view.start_leading(&self.catalog, &self.me.scope);
        }
        self.placement = held.map(|epoch| PlacementState::new(now, epoch));
        if let Some(epoch) = held {
            let heard = now;
            self.following = Some(LeaderContact { stamp: self.me.clone(), epoch, heard });
        } else if self.following.as_ref().is_some_and(|leader| leader.stamp == self.me) {
            self.following = None;
        }
        self.replay_published(now, effects);
        let reason = if held.is_some() { "lease taken" } else { "lease lost" };
        effects.push(HostEffect::Note(DecisionNote {
            kind: DecisionKind::Lead,
            ticket: None,
            subject: self.me.scope.clone(),
            choice: format!("epoch {}", held.unwrap_or(0)),
            reason,
            alternatives: 0,
        }));
        self.follow_inventory(now, effects);
    }

    /// Follows a new host list or configuration.
    pub(super) fn follow_inventory(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        self.with_placement(now, effects, |placement, context| {
            placement.follow_inventory(context);
            placement.next_plan_now();
        });
        self.plan(now, effects);
    }

    fn configuration_changed(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        effects.push(HostEffect::Note(DecisionNote {
            kind: DecisionKind::Configure,
            ticket: None,
            subject: "configuration".to_owned(),
            choice: format!("revision {}", self.catalog.revision),
            reason: "newer revision accepted",
            alternatives: 0,
        }));
        self.replay_published(now, effects);
        self.view.drop_unknown(&self.catalog);
        self.refuse_removed(effects);
        self.follow_inventory(now, effects);
        self.leader_link.dirty = true;
        self.notices_due = true;
        for link in self.member_links.values_mut() {
            link.dirty = true;
        }
    }

    fn configuration_tick(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let Some(pause) = self.timing.configuration_read else {
            return;
        };
        if now < self.next_configuration_read {
            return;
        }
        self.next_configuration_read = now.after(pause);
        let alone = self
            .following
            .as_ref()
            .is_none_or(|leader| now.since(leader.heard) >= self.timing.peer_timeout);
        if alone || self.placement.is_some() || self.is_standby_reader() {
            self.configuration.read_head(&mut self.registry, effects);
        }
    }

    /// Besides the leader one more host of each scope reads the configuration.
    fn is_standby_reader(&self) -> bool {
        let leader = self.following.as_ref().map_or("", |leader| &leader.stamp.name);
        let mut others = self.members.in_scope(&self.me.scope, &self.me.name);
        !others.any(|stamp| stamp.name != leader && stamp.name < self.me.name)
    }
}
