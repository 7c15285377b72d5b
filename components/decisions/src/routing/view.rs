//! Replicas of every scope, as last reported by its leader.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use slotmap::SecondaryMap;
use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::InventoryCatalog;
use wagtailledge_inventory::UpstreamKey;

use crate::message::ReplicaRow;
use crate::message::ReplicaState;
use crate::message::TableAck;
use crate::message::TableUpdate;
use crate::table::VersionedTable;
use crate::time::Moment;

/// Key of a row: the asset and the upstream that has or loads it.
type ReplicaKey = (AssetKey, UpstreamKey);

/// Result of applying an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The update was applied; lists the assets that became ready on some upstream.
    Applied(Vec<AssetKey>),
    /// The update is out of order, or names items of a configuration that is not in force here yet.
    Rejected,
}

/// Rows that an update covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableRange {
    /// Rows of all scopes, as a leader sends them to its hosts.
    AllScopes,
    /// Rows of the sender's own scope, as leaders send them to each other.
    OwnScope,
}

/// Replicas of all scopes, with their states.
#[derive(Debug, Clone)]
pub struct ReplicaView {
    /// Identifier of this process's tables.
    id: u64,
    /// Rows of all scopes. A row belongs to the scope of its upstream.
    all: VersionedTable<ReplicaKey, ReplicaState>,
    /// Rows of this host's scope, maintained while this process leads it.
    own: VersionedTable<ReplicaKey, ReplicaState>,
    /// Version that this process has applied of each leader's table, by the leader's scope.
    sources: BTreeMap<String, TableAck>,
    /// When the leader of each scope was last known to be alive.
    leaders_alive_at: BTreeMap<String, Moment>,
    /// Index of `all`: upstreams and states of each asset's replicas.
    replicas: SecondaryMap<AssetKey, Vec<(UpstreamKey, ReplicaState)>>,
    /// Index of `all`: upstreams of each asset's ready replicas.
    ready: SecondaryMap<AssetKey, Vec<UpstreamKey>>,
}

impl ReplicaView {
    /// Creates an empty view; `id` must differ from that of any other process.
    pub fn new(id: u64) -> Self {
        Self {
            id,
            all: VersionedTable::default(),
            own: VersionedTable::default(),
            sources: BTreeMap::new(),
            leaders_alive_at: BTreeMap::new(),
            replicas: SecondaryMap::new(),
            ready: SecondaryMap::new(),
        }
    }

    /// Upstreams with a ready replica of `asset`, in any scope.
    pub fn ready(&self, asset: AssetKey) -> &[UpstreamKey] {
        self.ready.get(asset).map_or(&[], Vec::as_slice)
    }

    /// Upstreams with a replica of `asset`, in any scope, with its state; includes pending loads.
    pub fn replicas_of(&self, asset: AssetKey) -> &[(UpstreamKey, ReplicaState)] {
        self.replicas.get(asset).map_or(&[], Vec::as_slice)
    }

    /// Sets or removes a replica as a leader reports it. Returns whether anything changed.
    pub fn put(
        &mut self,
        asset: AssetKey,
        upstream: UpstreamKey,
        state: Option<ReplicaState>,
    ) -> bool {
        let changed = self.all.put((asset, upstream), state);
        if changed {
            self.index(asset, upstream, state);
        }
        changed
    }

    /// Sets or removes a replica of the own scope, as this process decides it as leader. Returns
    /// whether anything changed.
    pub fn put_own(
        &mut self,
        asset: AssetKey,
        upstream: UpstreamKey,
        state: Option<ReplicaState>,
    ) -> bool {
        self.own.put((asset, upstream), state);
        self.put(asset, upstream, state)
    }

    /// Starts to maintain the own scope's rows, from those that the previous leader reported.
    pub fn start_leading(&mut self, catalog: &InventoryCatalog, scope: &str) {
        let in_scope =
            |upstream| catalog.upstreams.get(upstream).is_some_and(|record| record.scope == scope);
        let rows: BTreeMap<ReplicaKey, ReplicaState> =
            self.all.iter().filter(|((_, upstream), _)| in_scope(*upstream)).collect();
        for (key, _) in self.own_rows() {
            if !rows.contains_key(&key) {
                self.own.put(key, None);
            }
        }
        for (key, state) in rows {
            self.own.put(key, Some(state));
        }
    }

    /// Rows of the own scope; current only while this process leads.
    pub fn own_rows(&self) -> Vec<(ReplicaKey, ReplicaState)> {
        self.own.iter().collect()
    }

    /// Rows of all scopes.
    pub fn rows(&self) -> impl Iterator<Item = (ReplicaKey, ReplicaState)> + '_ {
        self.all.iter()
    }

    /// Assets with a replica on `upstream`, in any state.
    pub fn assets_at(&self, upstream: UpstreamKey) -> Vec<AssetKey> {
        assets_in(&self.all, upstream)
    }

    /// Assets with a replica on `upstream` of the own scope, in any state; current only while this
    /// process leads.
    pub fn own_assets_at(&self, upstream: UpstreamKey) -> Vec<AssetKey> {
        assets_in(&self.own, upstream)
    }

    /// When the leader of `scope` was last known to be alive.
    pub fn leader_last_alive(&self, scope: &str) -> Option<Moment> {
        self.leaders_alive_at.get(scope).copied()
    }

    /// Records that the leader of `scope` was alive at `now`.
    pub fn mark_leader_alive(&mut self, scope: &str, now: Moment) {
        match self.leaders_alive_at.get_mut(scope) {
            Some(alive_at) => *alive_at = now,
            None => {
                self.leaders_alive_at.insert(scope.to_owned(), now);
            }
        }
    }

    /// Version that this process has applied of the table of `scope`'s leader.
    pub fn ack(&self, scope: &str) -> TableAck {
        self.sources.get(scope).copied().unwrap_or_default()
    }

    /// Version of this process's own table for `range`.
    pub fn version(&self, range: TableRange) -> u64 {
        self.table(range).version()
    }

    fn table(&self, range: TableRange) -> &VersionedTable<ReplicaKey, ReplicaState> {
        match range {
            TableRange::AllScopes => &self.all,
            TableRange::OwnScope => &self.own,
        }
    }

    /// Identifier of this process's tables.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Assets whose replicas changed after this version of the table of all scopes; `None` if that
    /// version is too old or unknown.
    pub fn changed_since(&self, version: u64) -> Option<BTreeSet<AssetKey>> {
        let changed = self.all.changed_since(version)?;
        Some(changed.map(|(asset, _)| *asset).collect())
    }

    /// Builds the update that brings a reader at version `since` up to date.
    pub fn update_for(
        &self,
        catalog: &InventoryCatalog,
        range: TableRange,
        since: u64,
    ) -> TableUpdate {
        let delta = self.table(range).delta(since);
        let row = |((asset, upstream), state): (ReplicaKey, Option<ReplicaState>)| {
            let asset = catalog.assets.get(asset)?.name.clone();
            let upstream = catalog.upstreams.get(upstream)?.name.clone();
            Some(ReplicaRow(asset, upstream, state))
        };
        TableUpdate {
            table: self.id,
            since: delta.since,
            version: delta.version,
            rows: delta.rows.into_iter().filter_map(row).collect(),
        }
    }

    /// Builds an update without changes for a reader at `version`.
    pub fn unchanged(&self, version: u64) -> TableUpdate {
        TableUpdate { table: self.id, since: version, version, rows: Vec::new() }
    }

    /// Applies an update from the leader of `scope`, which covers the rows of `range`.
    pub fn apply(
        &mut self,
        catalog: &InventoryCatalog,
        scope: &str,
        range: TableRange,
        update: &TableUpdate,
    ) -> UpdateOutcome {
        let applied = self.ack(scope);
        let same_table = applied.table == update.table;
        // A repeat of changes that arrived after all.
        if same_table && applied.version >= update.version {
            return UpdateOutcome::Applied(Vec::new());
        }
        // An update that starts earlier contains all later changes as well.
        if update.since != 0 && (!same_table || applied.version < update.since) {
            return UpdateOutcome::Rejected;
        }
        self.apply_rows(catalog, scope, range, update)
    }

    fn apply_rows(
        &mut self,
        catalog: &InventoryCatalog,
        scope: &str,
        range: TableRange,
        update: &TableUpdate,
    ) -> UpdateOutcome {
        let mut rows = Vec::with_capacity(update.rows.len());
        let mut complete = true;
        for ReplicaRow(asset, upstream, state) in &update.rows {
            match (catalog.asset_named(asset), catalog.upstream_named(upstream)) {
                (Some(asset), Some(upstream)) => rows.push(((asset, upstream), *state)),
                // A removal needs no lookup: a row with an unknown name is not in the table.
                _ => complete &= state.is_none(),
            }
        }
        if update.since == 0 {
            self.drop_absent(catalog, scope, range, &rows);
        }
        let mut became_ready = Vec::new();
        for ((asset, upstream), state) in rows {
            let changed = self.put(asset, upstream, state);
            if changed && state == Some(ReplicaState::Ready) {
                became_ready.push(asset);
            }
        }
        if !complete {
            return UpdateOutcome::Rejected;
        }
        let ack = TableAck { table: update.table, version: update.version };
        self.sources.insert(scope.to_owned(), ack);
        UpdateOutcome::Applied(became_ready)
    }

    /// Removes the rows that a complete table from the leader of `scope` covers but does not list.
    fn drop_absent(
        &mut self,
        catalog: &InventoryCatalog,
        scope: &str,
        range: TableRange,
        kept: &[(ReplicaKey, Option<ReplicaState>)],
    ) {
        let kept: BTreeSet<ReplicaKey> = kept.iter().map(|(key, _)| *key).collect();
        let covered = |upstream| {
            range == TableRange::AllScopes
                || catalog.upstreams.get(upstream).is_none_or(|record| record.scope == scope)
        };
        let absent: Vec<ReplicaKey> = self
            .all
            .iter()
            .map(|(key, _)| key)
            .filter(|key| covered(key.1) && !kept.contains(key))
            .collect();
        for (asset, upstream) in absent {
            self.put(asset, upstream, None);
        }
    }

    /// Removes the rows whose asset or upstream is no longer in the configuration.
    pub fn drop_unknown(&mut self, catalog: &InventoryCatalog) {
        let unknown: Vec<ReplicaKey> = self
            .all
            .iter()
            .map(|(key, _)| key)
            .filter(|(asset, upstream)| {
                !catalog.assets.contains_key(*asset) || !catalog.upstreams.contains_key(*upstream)
            })
            .collect();
        for (asset, upstream) in unknown {
            self.put_own(asset, upstream, None);
        }
    }

    /// Updates `replicas` and `ready` after a change of `all`.
    fn index(&mut self, asset: AssetKey, upstream: UpstreamKey, state: Option<ReplicaState>) {
        if !self.replicas.contains_key(asset) {
            self.replicas.insert(asset, Vec::new());
            self.ready.insert(asset, Vec::new());
        }
        // The key's slot was reused by a newer asset: such a row is obsolete and gets no index.
        let (Some(replicas), Some(ready)) =
            (self.replicas.get_mut(asset), self.ready.get_mut(asset))
        else {
            return;
        };
        replicas.retain(|(holder, _)| *holder != upstream);
        ready.retain(|holder| *holder != upstream);
        if let Some(state) = state {
            replicas.push((upstream, state));
        }
        if state == Some(ReplicaState::Ready) {
            ready.push(upstream);
        }
    }
}

fn assets_in(
    table: &VersionedTable<ReplicaKey, ReplicaState>,
    upstream: UpstreamKey,
) -> Vec<AssetKey> {
    table.iter().filter(|((_, at), _)| *at == upstream).map(|((asset, _), _)| asset).collect()
}
