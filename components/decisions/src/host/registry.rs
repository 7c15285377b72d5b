//! Handling of upstreams that register themselves with the platform.

use std::time::Duration;

use wagtailledge_inventory::UpstreamKey;
use wagtailledge_inventory::UpstreamRecord;
use wagtailledge_inventory::catalog::SoftwareVersion;
use wagtailledge_inventory::catalog::UNDATED;
use wagtailledge_inventory::catalog::UpstreamKind;

use crate::discovery::RegistryRow;
use crate::discovery::RegistryUpdate;
use crate::effect::DecisionKind;
use crate::effect::DecisionRecord;
use crate::effect::HostEffect;
use crate::event::ListedState;
use crate::event::RegisteredUpstream;
use crate::event::RegistryChange;
use crate::identity::HostIdentity;
use crate::message::PeerMessage;
use crate::message::ReplicaState;
use crate::order::EngineReport;
use crate::time::Moment;

use super::state::HostReducer;

/// Time for which the process of a missing entry is remembered. Must exceed the longest outage after
/// which the entry may return.
const PROCESS_RETENTION: Duration = Duration::from_secs(2 * 60 * 60);
/// Time for which a leader may lack entries that this host knows before they are sent to it, if it does
/// not say that it cannot read the store. It may learn of them by itself, a little later.
const LACKING_ENTRIES_TIME: Duration = Duration::from_secs(1);
/// Time until entries that a leader still lacks are sent again.
const ENTRIES_REPEAT_TIME: Duration = Duration::from_millis(400);
/// Most entries that are sent to a leader at once.
const MAX_SENT_ENTRIES: usize = 500;
/// Most changed entries that are logged one by one when many change at once.
const MAX_LOGGED_ENTRIES: usize = 16;

/// What a new entry says that the upstream's last known one did not; `None` if nothing of note.
fn describe_entry(
    old: Option<&RegisteredUpstream>,
    new: &RegisteredUpstream,
) -> Option<&'static str> {
    match old {
        None => Some("entry appeared"),
        Some(old) if old.started_ms != new.started_ms => Some("process restarted"),
        Some(old) if old.state != new.state && new.state == ListedState::Leaving => {
            Some("entry says that it is leaving")
        }
        Some(old) if old.state != new.state => Some("entry says that it stays"),
        Some(_) => None,
    }
}

/// Logs changes of entries: the name of each upstream, its process and what changed.
fn log_entries(changes: Vec<(String, String, &'static str)>, effects: &mut Vec<HostEffect>) {
    let kind = DecisionKind::Register;
    let log = |subject, choice, reason, alternatives| {
        let (ticket, inputs) = (None, String::new());
        let record = DecisionRecord { kind, ticket, subject, choice, reason, alternatives, inputs };
        HostEffect::LogDecision(record)
    };
    let omitted = changes.len().saturating_sub(MAX_LOGGED_ENTRIES);
    let shown = changes.into_iter().take(MAX_LOGGED_ENTRIES);
    effects.extend(shown.map(|(subject, choice, reason)| log(subject, choice, reason, 0)));
    if omitted > 0 {
        let choice = format!("{omitted} more entries");
        effects.push(log(String::new(), choice, "too many to log", omitted));
    }
}

impl HostReducer {
    /// Applies changes among the registered upstreams to the catalog, view and placement.
    pub(super) fn apply_registry_changes(
        &mut self,
        now: Moment,
        changes: Vec<RegistryChange>,
        effects: &mut Vec<HostEffect>,
    ) {
        self.dispatch_not_before = Moment::default();
        let mut logged = Vec::new();
        let mut registered = Vec::new();
        for change in changes {
            if self.lacks_known_start(&change) {
                let name = change.name().to_owned();
                logged.push((name, "ignored".to_owned(), "entry without a start time"));
                continue;
            }
            let old = self.registered_upstreams.get(change.name()).cloned();
            if !self.registered_upstreams.put(&change) {
                continue;
            }
            self.notices_due = true;
            match change {
                RegistryChange::Present(upstream) => {
                    if let Some(reason) = describe_entry(old.as_ref(), &upstream) {
                        let choice = format!("process {}", upstream.started_ms);
                        logged.push((upstream.name.clone(), choice, reason));
                    }
                    // The upstream restarted: discards the state of its earlier process.
                    let restarted = old.filter(|old| old.started_ms != upstream.started_ms);
                    if let Some(old) = restarted {
                        let process = self.catalog.process_named(&old.name, old.started_ms);
                        if let Some(process) = process {
                            self.confirm_crash(now, process, effects);
                        }
                        self.unregister_upstream(&upstream.name);
                    }
                    let key = self.register_upstream(now, &upstream, effects);
                    registered.extend(key.map(|key| (key, *upstream)));
                }
                RegistryChange::Absent(name, _) => {
                    self.unregister_upstream(&name);
                    let choice = old.map(|old| format!("process {}", old.started_ms));
                    logged.push((name, choice.unwrap_or_default(), "entry removed"));
                }
            }
        }
        self.apply_engine_reports(now, &registered, effects);
        log_entries(logged, effects);
        if self.decide_limits(now, effects) {
            self.limits_changed(now, effects);
        }
        self.update_granted_rates(now);
        self.inventory_changed(now, effects);
        self.dispatch_all_waiting(now, effects);
    }

    /// Whether the change is an entry without a start time although the upstream's process is known
    /// to have one. Such an entry was not written by the upstream.
    fn lacks_known_start(&self, change: &RegistryChange) -> bool {
        let RegistryChange::Present(upstream) = change else {
            return false;
        };
        upstream.started_ms == UNDATED && self.catalog.has_dated_process(&upstream.name)
    }

    /// Applies an update of the registered upstreams from this host's leader.
    pub(super) fn apply_registry_update(
        &mut self,
        now: Moment,
        update: &RegistryUpdate,
        effects: &mut Vec<HostEffect>,
    ) {
        match self.registered_upstreams.apply(update) {
            Some(changes) if !changes.is_empty() => {
                self.apply_registry_changes(now, changes, effects);
            }
            Some(_) => {}
            // The sender learns of the gap from the acknowledgement in this host's next message.
            None => self.leader_sync.has_gap = true,
        }
    }

    /// Sends the leader the entries of upstreams that it does not know, because it cannot read the
    /// platform's store. Hosts that cannot read it either learn of them through the leader.
    pub(super) fn send_lacking_entries(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let revision = self.registered_upstreams.revision();
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        if leader.store.revision == 0 || leader.store.revision >= revision {
            leader.behind_since = None;
            return;
        }
        let behind_since = *leader.behind_since.get_or_insert(now);
        let may_catch_up = now.since(behind_since) < LACKING_ENTRIES_TIME;
        let (sent_at, sent_revision) = self.entries_sent;
        let was_sent = sent_revision == revision && now.since(sent_at) < ENTRIES_REPEAT_TIME;
        if (may_catch_up && !leader.store.is_lost) || was_sent {
            return;
        }
        let rows = self.registered_upstreams.rows_above(leader.store.revision, MAX_SENT_ENTRIES);
        let message = PeerMessage::Entries(rows);
        effects.push(HostEffect::send(leader.identity.clone(), message));
        self.entries_sent = (now, revision);
    }

    /// Applies the entries of upstreams that another host knows, if this host leads its scope.
    pub(super) fn handle_entries(
        &mut self,
        now: Moment,
        from: &HostIdentity,
        rows: &[RegistryRow],
        effects: &mut Vec<HostEffect>,
    ) {
        if from.scope != self.me.scope || self.placement.is_none() {
            return;
        }
        let directory = &self.registered_upstreams;
        let changes = rows.iter().map(RegistryRow::change);
        let changes: Vec<RegistryChange> =
            changes.filter(|change| directory.is_newer(change)).collect();
        if !changes.is_empty() {
            self.apply_registry_changes(now, changes, effects);
        }
    }

    /// Names of the registered upstreams whose entries are there.
    pub fn registered_names(&self) -> impl Iterator<Item = &str> {
        self.registered_upstreams.present().map(|upstream| upstream.name.as_str())
    }

    /// Removes an upstream and its replicas from the members, the catalog and the view. What its
    /// process said stays known, as the entry may return.
    fn unregister_upstream(&mut self, name: &str) {
        self.members.put_upstream(name, None);
        if self.catalog.unregister_upstream(name).is_some() {
            self.view.drop_unknown(&self.catalog);
        }
    }

    /// Forgets what processes said whose entries have been missing for long.
    pub(super) fn forget_processes(&mut self, now: Moment) {
        let catalog = &self.catalog;
        let is_missing = |key| catalog.has_process(key) && !catalog.upstreams.contains_key(key);
        self.missing_since.retain(|key, _| is_missing(key));
        let missing: Vec<UpstreamKey> = catalog.unregistered_processes().collect();
        for key in missing {
            match self.missing_since.get(key) {
                None => {
                    self.missing_since.insert(key, now);
                }
                Some(since) if now.since(*since) >= PROCESS_RETENTION => {
                    self.catalog.forget_process(key);
                }
                Some(_) => {}
            }
        }
        let catalog = &self.catalog;
        self.members.retain_leaving(|key| catalog.has_process(key));
    }

    /// Adds or updates a registered upstream, unless its service is not configured. Returns its key.
    fn register_upstream(
        &mut self,
        now: Moment,
        upstream: &RegisteredUpstream,
        effects: &mut Vec<HostEffect>,
    ) -> Option<UpstreamKey> {
        let service = self.catalog.service_named(&upstream.service)?;
        let pool = self.catalog.services[service].pool.as_ref();
        let kind = match pool {
            Some(pool) => UpstreamKind::Engine { checks_tokens: pool.checks_tokens },
            None => UpstreamKind::Service,
        };
        let started_ms = upstream.started_ms;
        let known = self.catalog.process_named(&upstream.name, started_ms);
        // A process keeps its software.
        let software = known.and_then(|key| self.catalog.upstreams.get(key));
        let software = software.map(|record| record.software.clone());
        let stated = || SoftwareVersion::new(&upstream.software);
        let record = UpstreamRecord {
            name: upstream.name.clone(),
            zone: upstream.zone.clone(),
            scope: upstream.scope.clone(),
            address: upstream.address.clone(),
            memory_bytes: pool.map_or(0, |pool| pool.memory_bytes),
            slots: upstream.slots,
            kind,
            service: Some(service),
            software: software.filter(|version| !version.name().is_empty()).unwrap_or_else(stated),
            registered: true,
        };
        let key = self.catalog.register_upstream(record, started_ms)?;
        self.members.put_upstream(&upstream.name, Some(upstream.state));
        if upstream.state == ListedState::Leaving {
            // A heartbeat written late may say again that it stays.
            self.members.record_leaving(key);
        }
        if known != Some(key) {
            self.inherit_limit(now, key, effects);
        }
        Some(key)
    }

    /// Applies the published reports of upstreams after all of them have been registered, so that none
    /// of them seems to be missing meanwhile.
    fn apply_engine_reports(
        &mut self,
        now: Moment,
        upstreams: &[(UpstreamKey, RegisteredUpstream)],
        effects: &mut Vec<HostEffect>,
    ) {
        if upstreams.is_empty() {
            return;
        }
        self.with_placement(now, effects, |placement, context| placement.update_engines(context));
        for (key, upstream) in upstreams {
            // Another entry of the same changes may have replaced its process.
            if !self.catalog.upstreams.contains_key(*key) {
                continue;
            }
            if let Some(report) = &upstream.report {
                self.apply_engine_report(now, *key, upstream, report, effects);
            }
        }
    }

    /// Applies an engine's published report of resident assets: to the placement if this process
    /// leads the engine's scope, else to the view, but only while that scope's leader is silent.
    fn apply_engine_report(
        &mut self,
        now: Moment,
        key: UpstreamKey,
        upstream: &RegisteredUpstream,
        report: &EngineReport,
        effects: &mut Vec<HostEffect>,
    ) {
        if self.placement.is_some() && upstream.scope == self.me.scope {
            self.with_placement(now, effects, |placement, context| {
                placement.apply_registry_report(context, key, report);
            });
            return;
        }
        let last_update = self.view.leader_last_alive(&upstream.scope);
        if last_update.is_some_and(|at| now.since(at) < self.timing.peer_timeout) {
            return;
        }
        let serving: Vec<_> = report
            .resident
            .iter()
            .filter_map(|item| self.catalog.asset_named(&item.asset))
            .collect();
        for asset in self.view.assets_at(key) {
            if !serving.contains(&asset) {
                self.view.put(asset, key, None);
            }
        }
        for asset in serving {
            self.view.put(asset, key, Some(ReplicaState::Ready));
        }
    }

    /// Registers all present upstreams again and applies their reports, after a change of
    /// leadership or configuration.
    pub(super) fn reapply_engine_reports(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let upstreams: Vec<RegisteredUpstream> =
            self.registered_upstreams.present().cloned().collect();
        let mut registered = Vec::new();
        for upstream in upstreams {
            let key = self.register_upstream(now, &upstream, effects);
            registered.extend(key.map(|key| (key, upstream)));
        }
        self.apply_engine_reports(now, &registered, effects);
    }
}
