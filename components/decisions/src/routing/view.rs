//! What every zone holds, as its leader last told.

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

/// Key of a row: the asset and where it is.
type ReplicaKey = (AssetKey, UpstreamKey);

/// What changed by an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewChange {
    /// Applied; lists the assets that became ready somewhere.
    Applied(Vec<AssetKey>),
    /// Out of order, or it names items of a configuration not in force here yet.
    Refused,
}

/// Which rows a reader follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableScope {
    /// All zones, as a leader passes them on to its hosts.
    Everywhere,
    /// The sender's own zone, as leaders tell each other.
    OwnZone,
}

/// Placement of all zones.
#[derive(Debug, Clone)]
pub struct ReplicaView {
    /// Identifies this process's tables.
    id: u64,
    /// Rows of all zones. A row's zone is that of its upstream.
    all: VersionedTable<ReplicaKey, ReplicaState>,
    /// Rows of the own zone; kept while this process leads.
    own: VersionedTable<ReplicaKey, ReplicaState>,
    /// What was applied of each sender's table, by the sender's zone.
    sources: BTreeMap<String, TableAck>,
    /// When the leader of each zone was last heard.
    heard: BTreeMap<String, Moment>,
    /// Upstreams of each asset in any state. Always agrees with `all`.
    held: SecondaryMap<AssetKey, Vec<(UpstreamKey, ReplicaState)>>,
    /// Upstreams of each asset that are ready. Always agrees with `all`.
    ready: SecondaryMap<AssetKey, Vec<UpstreamKey>>,
}

impl ReplicaView {
    /// Starts empty; `id` must be unlike that of any other process.
    pub fn new(id: u64) -> Self {
        Self {
            id,
            all: VersionedTable::default(),
            own: VersionedTable::default(),
            sources: BTreeMap::new(),
            heard: BTreeMap::new(),
            held: SecondaryMap::new(),
            ready: SecondaryMap::new(),
        }
    }

    /// Upstreams that hold `asset` ready, in any zone.
    pub fn ready(&self, asset: AssetKey) -> &[UpstreamKey] {
        self.ready.get(asset).map_or(&[], Vec::as_slice)
    }

    /// Upstreams that hold `asset` or are about to, in any zone, with their states.
    pub fn held(&self, asset: AssetKey) -> &[(UpstreamKey, ReplicaState)] {
        self.held.get(asset).map_or(&[], Vec::as_slice)
    }

    /// Sets one replica as a leader tells it.
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

    /// Sets one replica of the own zone, as this process decides it.
    pub fn put_own(
        &mut self,
        asset: AssetKey,
        upstream: UpstreamKey,
        state: Option<ReplicaState>,
    ) -> bool {
        self.own.put((asset, upstream), state);
        self.put(asset, upstream, state)
    }

    /// Starts to keep the own zone's rows, with what the predecessor told.
    pub fn start_leading(&mut self, catalog: &InventoryCatalog, zone: &str) {
        let inside =
            |upstream| catalog.upstreams.get(upstream).is_some_and(|record| record.zone == zone);
        let rows: BTreeMap<ReplicaKey, ReplicaState> =
            self.all.iter().filter(|((_, upstream), _)| inside(*upstream)).collect();
        for (key, _) in self.own_rows() {
            if !rows.contains_key(&key) {
                self.own.put(key, None);
            }
        }
        for (key, state) in rows {
            self.own.put(key, Some(state));
        }
    }

    /// Rows of the own zone, while this process leads.
    pub fn own_rows(&self) -> Vec<(ReplicaKey, ReplicaState)> {
        self.own.iter().collect()
    }

    /// Rows of all zones.
    pub fn rows(&self) -> impl Iterator<Item = (ReplicaKey, ReplicaState)> + '_ {
        self.all.iter()
    }

    /// Assets that `upstream` holds in any state.
    pub fn assets_at(&self, upstream: UpstreamKey) -> Vec<AssetKey> {
        self.all
            .iter()
            .filter(|((_, at), _)| *at == upstream)
            .map(|((asset, _), _)| asset)
            .collect()
    }

    /// When the leader of `zone` was last heard.
    pub fn last_heard(&self, zone: &str) -> Option<Moment> {
        self.heard.get(zone).copied()
    }

    /// Notes that the leader of `zone` is alive.
    pub fn mark_heard(&mut self, zone: &str, now: Moment) {
        match self.heard.get_mut(zone) {
            Some(heard) => *heard = now,
            None => {
                self.heard.insert(zone.to_owned(), now);
            }
        }
    }

    /// What this process has applied of the table of the leader of `zone`.
    pub fn ack(&self, zone: &str) -> TableAck {
        self.sources.get(zone).copied().unwrap_or_default()
    }

    /// Version of a table, in this process's counting.
    pub fn version(&self, scope: TableScope) -> u64 {
        self.table(scope).version()
    }

    fn table(&self, scope: TableScope) -> &VersionedTable<ReplicaKey, ReplicaState> {
        match scope {
            TableScope::Everywhere => &self.all,
            TableScope::OwnZone => &self.own,
        }
    }

    /// Whether a reader that confirmed `ack` has something to learn.
    pub fn is_behind(&self, scope: TableScope, ack: TableAck) -> bool {
        ack.table != self.id || ack.version != self.version(scope)
    }

    /// Builds the update that brings a reader that confirmed `ack` up to date.
    pub fn update_for(
        &self,
        catalog: &InventoryCatalog,
        scope: TableScope,
        ack: TableAck,
    ) -> TableUpdate {
        let since = if ack.table == self.id { ack.version } else { 0 };
        let delta = self.table(scope).delta(since);
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

    /// Applies an update from the leader of `zone`. `scope` tells which rows it speaks for.
    pub fn apply(
        &mut self,
        catalog: &InventoryCatalog,
        zone: &str,
        scope: TableScope,
        update: &TableUpdate,
    ) -> ViewChange {
        let applied = self.ack(zone);
        let same = applied.table == update.table;
        if same && applied.version == update.version && update.rows.is_empty() {
            return ViewChange::Applied(Vec::new());
        }
        let follows = update.since == 0 || (same && applied.version == update.since);
        let older = same && applied.version > update.version;
        if !follows || older {
            return ViewChange::Refused;
        }
        self.apply_rows(catalog, zone, scope, update)
    }

    fn apply_rows(
        &mut self,
        catalog: &InventoryCatalog,
        zone: &str,
        scope: TableScope,
        update: &TableUpdate,
    ) -> ViewChange {
        let mut rows = Vec::with_capacity(update.rows.len());
        let mut complete = true;
        for ReplicaRow(asset, upstream, state) in &update.rows {
            match (catalog.asset_named(asset), catalog.upstream_named(upstream)) {
                (Some(asset), Some(upstream)) => rows.push(((asset, upstream), *state)),
                // Removing what is not known here changes nothing.
                _ => complete &= state.is_none(),
            }
        }
        if update.since == 0 {
            self.drop_absent(catalog, zone, scope, &rows);
        }
        let mut became_ready = Vec::new();
        for ((asset, upstream), state) in rows {
            let changed = self.put(asset, upstream, state);
            if changed && state == Some(ReplicaState::Ready) {
                became_ready.push(asset);
            }
        }
        if !complete {
            return ViewChange::Refused;
        }
        let ack = TableAck { table: update.table, version: update.version };
        self.sources.insert(zone.to_owned(), ack);
        ViewChange::Applied(became_ready)
    }

    /// Removes the rows that a whole table of `zone` no longer names.
    fn drop_absent(
        &mut self,
        catalog: &InventoryCatalog,
        zone: &str,
        scope: TableScope,
        kept: &[(ReplicaKey, Option<ReplicaState>)],
    ) {
        let kept: BTreeSet<ReplicaKey> = kept.iter().map(|(key, _)| *key).collect();
        let spoken_for = |upstream| {
            scope == TableScope::Everywhere
                || catalog.upstreams.get(upstream).is_none_or(|record| record.zone == zone)
        };
        let absent: Vec<ReplicaKey> = self
            .all
            .iter()
            .map(|(key, _)| key)
            .filter(|key| spoken_for(key.1) && !kept.contains(key))
            .collect();
        for (asset, upstream) in absent {
            self.put(asset, upstream, None);
        }
    }

    /// Drops rows whose asset or upstream the configuration no longer names.
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

    fn index(&mut self, asset: AssetKey, upstream: UpstreamKey, state: Option<ReplicaState>) {
        if !self.held.contains_key(asset) {
            self.held.insert(asset, Vec::new());
            self.ready.insert(asset, Vec::new());
        }
        // A key of an older generation cannot be inserted; its rows are of no use.
        let (Some(held), Some(ready)) = (self.held.get_mut(asset), self.ready.get_mut(asset))
        else {
            return;
        };
        held.retain(|(holder, _)| *holder != upstream);
        ready.retain(|holder| *holder != upstream);
        if let Some(state) = state {
            held.push((upstream, state));
        }
        if state == Some(ReplicaState::Ready) {
            ready.push(upstream);
        }
    }
}
