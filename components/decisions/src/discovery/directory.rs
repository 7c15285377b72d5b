//! Directory of the registered upstreams, as last reported by the platform or by another host.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::event::RegisteredUpstream;
use crate::event::RegistryChange;
use crate::message::TableAck;
use crate::table::VersionedTable;

/// Entry of one registered upstream: its name, the platform's revision of the entry, and the entry
/// itself; `None` if it was deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryRow(pub String, pub u64, pub Option<RegisteredUpstream>);

impl RegistryRow {
    /// The change that the row reports.
    pub fn change(&self) -> RegistryChange {
        let Self(name, revision, upstream) = self;
        match upstream {
            Some(upstream) => {
                let upstream = RegisteredUpstream { revision: *revision, ..upstream.clone() };
                RegistryChange::Present(Box::new(upstream))
            }
            None => RegistryChange::Absent(name.clone(), *revision),
        }
    }
}

/// Changes between two versions of a host's directory.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RegistryUpdate {
    /// Identifier of the directory that `since` and `version` refer to.
    #[serde(rename = "t")]
    pub table: u64,
    /// Version that the receiver must have applied; 0 if `rows` lists every upstream, deleted ones
    /// included.
    #[serde(rename = "s")]
    pub since: u64,
    /// Version after the update.
    #[serde(rename = "v")]
    pub version: u64,
    /// Entries of the changed upstreams.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<RegistryRow>,
}

impl RegistryUpdate {
    /// Whether the update is the default one, with neither a version nor rows.
    pub fn is_empty(&self) -> bool {
        self.version == 0
    }
}

/// Last known entry of one upstream.
#[derive(Debug, Clone)]
struct DirectoryEntry {
    /// Platform revision of the entry. Reports with a lower revision are outdated and ignored.
    revision: u64,
    /// The registered upstream; `None` if its entry was deleted.
    upstream: Option<RegisteredUpstream>,
}

impl DirectoryEntry {
    /// The entry as sent to other hosts, without the engine report.
    fn row(&self, name: &str) -> RegistryRow {
        let upstream = self.upstream.clone();
        let upstream = upstream.map(|upstream| RegisteredUpstream { report: None, ..upstream });
        RegistryRow(name.to_owned(), self.revision, upstream)
    }
}

/// All registered upstreams. For each, the entry with the highest platform revision is kept, from
/// whichever source.
#[derive(Debug, Clone)]
pub struct RegistryDirectory {
    /// Identifier of this process's directory.
    id: u64,
    entries: BTreeMap<String, DirectoryEntry>,
    /// Highest platform revision of any entry; 0 without entries.
    revision: u64,
    /// Platform revision of each entry, versioned so that updates can be sent to readers.
    table: VersionedTable<String, u64>,
    /// Version of another host's directory that this process has applied.
    source: TableAck,
}

impl RegistryDirectory {
    /// Creates an empty directory; `id` must differ from that of any other process.
    pub fn new(id: u64) -> Self {
        let (entries, table) = (BTreeMap::new(), VersionedTable::default());
        Self { id, entries, revision: 0, table, source: TableAck::default() }
    }

    /// Applies a change; returns whether it was new.
    pub fn put(&mut self, change: &RegistryChange) -> bool {
        let (name, revision, upstream) = match change {
            RegistryChange::Present(upstream) => {
                (&upstream.name, upstream.revision, Some(upstream.as_ref()))
            }
            RegistryChange::Absent(name, revision) => (name, *revision, None),
        };
        if let Some(entry) = self.entries.get(name) {
            // An entry from another host has no engine report; one from the platform may add it.
            let adds_report = entry.revision == revision
                && upstream.is_some_and(|upstream| upstream.report.is_some())
                && entry.upstream.as_ref().is_some_and(|known| known.report.is_none());
            if entry.revision >= revision && !adds_report {
                return false;
            }
        } else if upstream.is_none() {
            return false;
        }
        let entry = DirectoryEntry { revision, upstream: upstream.cloned() };
        self.entries.insert(name.clone(), entry);
        self.revision = self.revision.max(revision);
        self.table.put(name.clone(), Some(revision));
        true
    }

    /// The registered upstream with this name; `None` if it is unknown or its entry was deleted.
    pub fn get(&self, name: &str) -> Option<&RegisteredUpstream> {
        self.entries.get(name)?.upstream.as_ref()
    }

    /// All registered upstreams, without deleted entries.
    pub fn present(&self) -> impl Iterator<Item = &RegisteredUpstream> {
        self.entries.values().filter_map(|entry| entry.upstream.as_ref())
    }

    /// Highest platform revision of any entry; 0 without entries.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the change is newer than what is known of its upstream.
    pub fn is_newer(&self, change: &RegistryChange) -> bool {
        let (revision, is_present) = match change {
            RegistryChange::Present(upstream) => (upstream.revision, true),
            RegistryChange::Absent(_, revision) => (*revision, false),
        };
        let known = self.entries.get(change.name());
        known.map_or(is_present, |entry| entry.revision < revision)
    }

    /// The entries that follow the platform revision `revision`, deleted ones included, at most `limit`.
    pub fn rows_above(&self, revision: u64, limit: usize) -> Vec<RegistryRow> {
        let newer = self.entries.iter().filter(|(_, entry)| entry.revision > revision);
        let mut newer: Vec<_> = newer.collect();
        newer.sort_unstable_by_key(|(_, entry)| entry.revision);
        newer.into_iter().take(limit).map(|(name, entry)| entry.row(name)).collect()
    }

    /// Version of this process's directory.
    pub fn version(&self) -> u64 {
        self.table.version()
    }

    /// Identifier of this process's directory.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Version of another host's directory that this process has applied.
    pub fn ack(&self) -> TableAck {
        self.source
    }

    /// Builds the update for a reader at version `since` of this directory. It omits the engine
    /// reports, because leaders announce replicas in their replica tables.
    pub fn update_since(&self, since: u64) -> RegistryUpdate {
        let delta = self.table.delta(since);
        let row = |(name, _): (String, Option<u64>)| {
            let entry = self.entries.get(&name)?;
            Some(entry.row(&name))
        };
        RegistryUpdate {
            table: self.id,
            since: delta.since,
            version: delta.version,
            rows: delta.rows.into_iter().filter_map(row).collect(),
        }
    }

    /// Builds an update without changes for a reader at `version` of this directory.
    pub fn unchanged(&self, version: u64) -> RegistryUpdate {
        RegistryUpdate { table: self.id, since: version, version, rows: Vec::new() }
    }

    /// Records the version of another host's update and returns its changes, for [`Self::put`].
    /// Returns `None` if earlier changes are missing.
    pub fn apply(&mut self, update: &RegistryUpdate) -> Option<Vec<RegistryChange>> {
        let same_table = self.source.table == update.table;
        if update.since != 0 && (!same_table || self.source.version < update.since) {
            return None;
        }
        if !same_table || self.source.version < update.version {
            self.source = TableAck { table: update.table, version: update.version };
        }
        Some(update.rows.iter().map(RegistryRow::change).collect())
    }
}
