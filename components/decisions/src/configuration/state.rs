//! Reads newer configurations, puts them in force and offers them to other hosts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use wagtailledge_inventory::InventoryCatalog;
use wagtailledge_inventory::item::ConfigurationChange;
use wagtailledge_inventory::item::ConfigurationItem;
use wagtailledge_inventory::item::ItemMap;
use wagtailledge_inventory::item::difference;
use wagtailledge_inventory::item::digest_of;

use crate::effect::HostEffect;
use crate::message::PeerMessage;
use crate::registry::CallPurpose;
use crate::registry::PendingCalls;
use crate::store::StoreOp;
use crate::store::StoreOutcome;
use crate::time::Moment;

use super::head::ConfigurationHead;
use super::head::HEAD_KEY;
use super::head::ShardContent;
use super::head::shard_key;
use super::head::shard_of;

/// Most changed items kept for hosts with an older revision; beyond that, they get all items.
const MAX_LOGGED_CHANGES: usize = 4_096;

/// Changes from one revision in force in this process to the next.
#[derive(Debug, Clone)]
struct LoggedRevision {
    /// Revision before the changes.
    base: u64,
    changes: Vec<ConfigurationChange>,
}

/// A newer configuration whose shards are being read.
#[derive(Debug, Clone)]
struct PendingHead {
    head: ConfigurationHead,
    /// Texts of the shards read so far, by key.
    shards: BTreeMap<String, String>,
    /// Keys of the requested shards that have not arrived.
    missing: BTreeSet<String>,
}

/// Where the configuration in force came from.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigurationOrigin {
    /// Revision in force; 0 before the first configuration.
    pub revision: u64,
    /// Since when it has been in force in this process.
    pub since: Moment,
    /// Name of the host that sent it, or [`STORE_SOURCE`]; empty before the first configuration.
    pub source: String,
}

/// Source of a configuration that was read from the key-value service.
pub const STORE_SOURCE: &str = "store";

/// The configuration in force in this process.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationState {
    /// Revision in force; it never decreases.
    revision: u64,
    digest: u64,
    items: ItemMap,
    /// Hash of each shard of the revision in force; 0 or absent if the shard must be read again.
    shards: Vec<u64>,
    change_log: VecDeque<LoggedRevision>,
    /// Number of changed items in `change_log`.
    logged_changes: usize,
    pending: Option<PendingHead>,
}

impl ConfigurationState {
    /// Returns the revision in force; 0 before the first configuration.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Puts a complete configuration in force that the platform accepted as `revision`. Returns
    /// false if it is not newer than the one in force.
    pub fn accept(
        &mut self,
        revision: u64,
        items: &ItemMap,
        catalog: &mut InventoryCatalog,
    ) -> bool {
        let changes = difference(&self.items, items);
        revision > self.revision && self.apply_changes(revision, digest_of(items), changes, catalog)
    }

    /// Requests the head record from the key-value service.
    pub fn request_head(&self, store_calls: &mut PendingCalls, effects: &mut Vec<HostEffect>) {
        let op = StoreOp::Read { key: HEAD_KEY.to_owned() };
        store_calls.call(CallPurpose::ConfigurationHead, op, effects);
    }

    /// Applies the outcome of a read of the head record. If it is newer, requests the shards that
    /// differ.
    pub fn apply_head(
        &mut self,
        outcome: &StoreOutcome,
        store_calls: &mut PendingCalls,
        effects: &mut Vec<HostEffect>,
    ) {
        let StoreOutcome::Found { value, .. } = outcome else {
            return;
        };
        let Ok(head) = serde_json::from_str::<ConfigurationHead>(value) else {
            return;
        };
        let known = self.pending.as_ref().map_or(0, |pending| pending.head.revision);
        if head.revision <= self.revision.max(known) {
            return;
        }
        let mut missing = BTreeSet::new();
        for (index, hash) in head.shards.iter().enumerate() {
            if self.shards.get(index) != Some(hash) {
                let key = shard_key(index, *hash);
                missing.insert(key.clone());
                let purpose = CallPurpose::ConfigurationShard(key.clone());
                store_calls.call(purpose, StoreOp::Read { key }, effects);
            }
        }
        self.pending = Some(PendingHead { head, shards: BTreeMap::new(), missing });
    }

    /// Applies the outcome of a read of one shard. Returns whether that completed a newer
    /// configuration, which is then in force.
    pub fn apply_shard(
        &mut self,
        key: &str,
        outcome: StoreOutcome,
        catalog: &mut InventoryCatalog,
    ) -> bool {
        let Some(pending) = self.pending.as_mut() else {
            return false;
        };
        if !pending.missing.remove(key) {
            return false;
        }
        let StoreOutcome::Found { value, .. } = outcome else {
            // The next read of the head record starts over.
            self.pending = None;
            return false;
        };
        pending.shards.insert(key.to_owned(), value);
        if !pending.missing.is_empty() {
            return false;
        }
        let Some(pending) = self.pending.take() else {
            return false;
        };
        let Some(changes) = self.changes_in(&pending) else {
            return false;
        };
        let head = pending.head;
        let newer = head.revision > self.revision;
        if !newer || !self.apply_changes(head.revision, head.digest, changes, catalog) {
            return false;
        }
        self.shards = head.shards;
        true
    }

    /// Changes that the newly read shards make; `None` if a shard is invalid or missing.
    fn changes_in(&self, pending: &PendingHead) -> Option<Vec<ConfigurationChange>> {
        let mut new = ItemMap::new();
        let mut read = BTreeSet::new();
        for (index, hash) in pending.head.shards.iter().enumerate() {
            if let Some(text) = pending.shards.get(&shard_key(index, *hash)) {
                let shard: ShardContent = serde_json::from_str(text).ok()?;
                new.extend(shard.0.into_iter().map(|item| (item.name(), item)));
                read.insert(index);
            } else if self.shards.get(index) != Some(hash) {
                return None;
            }
        }
        let replaced = self.items.iter().filter(|(name, _)| read.contains(&shard_of(name)));
        let old: ItemMap = replaced.map(|(name, item)| (name.clone(), item.clone())).collect();
        Some(difference(&old, &new))
    }

    /// Puts changes in force if the items then have the given digest. Otherwise returns false and
    /// changes nothing.
    fn apply_changes(
        &mut self,
        revision: u64,
        digest: u64,
        changes: Vec<ConfigurationChange>,
        catalog: &mut InventoryCatalog,
    ) -> bool {
        let change_digest = |sum: u64, change: &ConfigurationChange| {
            let old = self.items.get(&change.name).map_or(0, ConfigurationItem::digest);
            sum ^ old ^ change.item.as_ref().map_or(0, ConfigurationItem::digest)
        };
        if changes.iter().fold(self.digest, change_digest) != digest {
            return false;
        }
        for change in &changes {
            match &change.item {
                Some(item) => self.items.insert(change.name.clone(), item.clone()),
                None => self.items.remove(&change.name),
            };
            if let Some(hash) = self.shards.get_mut(shard_of(&change.name)) {
                *hash = 0;
            }
        }
        catalog.apply(revision, &self.items, &changes);
        self.log_changes(changes);
        self.revision = revision;
        self.digest = digest;
        true
    }

    fn log_changes(&mut self, changes: Vec<ConfigurationChange>) {
        self.logged_changes += changes.len();
        self.change_log.push_back(LoggedRevision { base: self.revision, changes });
        while self.logged_changes > MAX_LOGGED_CHANGES {
            let Some(entry) = self.change_log.pop_front() else {
                break;
            };
            self.logged_changes -= entry.changes.len();
        }
    }

    /// Builds an offer for a host that has revision `have`; `None` if that is not older. Offers all
    /// items if the changes since `have` are no longer logged.
    pub fn offer(&self, have: u64) -> Option<PeerMessage> {
        if have >= self.revision {
            return None;
        }
        let start = self.change_log.iter().position(|entry| entry.base == have);
        let (base, changes) = match start {
            Some(start) if have > 0 => (have, self.changes_from(start)),
            _ => (0, difference(&ItemMap::new(), &self.items)),
        };
        let revision = self.revision;
        Some(PeerMessage::ConfigurationOffer { base, revision, digest: self.digest, changes })
    }

    fn changes_from(&self, start: usize) -> Vec<ConfigurationChange> {
        let mut latest = BTreeMap::new();
        for change in self.change_log.iter().skip(start).flat_map(|entry| &entry.changes) {
            latest.insert(change.name.clone(), change.clone());
        }
        latest.into_values().collect()
    }

    /// Applies an offer of another host. Returns whether a newer configuration is now in force.
    pub fn apply_offer(
        &mut self,
        base: u64,
        revision: u64,
        digest: u64,
        changes: Vec<ConfigurationChange>,
        catalog: &mut InventoryCatalog,
    ) -> bool {
        if revision <= self.revision || (base != 0 && base != self.revision) {
            return false;
        }
        let changes = if base == 0 {
            let named = changes.into_iter().filter_map(|change| Some((change.name, change.item?)));
            difference(&self.items, &named.collect())
        } else {
            changes
        };
        self.apply_changes(revision, digest, changes, catalog)
    }
}
