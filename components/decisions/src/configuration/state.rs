//! The configuration in force in this process.

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
use crate::registry::CallRegistry;
use crate::store::StoreOp;
use crate::store::StoreOutcome;

use super::head::ConfigurationHead;
use super::head::HEAD_KEY;
use super::head::ShardContent;
use super::head::shard_key;
use super::head::shard_of;

/// Changed items that are remembered for hosts that lag.
const MAX_LOGGED_CHANGES: usize = 4_096;

/// One step from a revision to the next one that was in force here.
#[derive(Debug, Clone)]
struct LoggedStep {
    base: u64,
    changes: Vec<ConfigurationChange>,
}

/// A newer configuration that is being read.
#[derive(Debug, Clone)]
struct PendingHead {
    head: ConfigurationHead,
    /// Texts of the shards read so far, by key.
    shards: BTreeMap<String, String>,
    /// Shards asked for and not answered.
    missing: BTreeSet<String>,
}

/// The configuration in force in this process.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationState {
    /// Revision in force; never goes back.
    revision: u64,
    digest: u64,
    items: ItemMap,
    /// Shard hashes of the revision in force; 0, or no entry, where a shard must be read anew.
    shards: Vec<u64>,
    log: VecDeque<LoggedStep>,
    logged: usize,
    pending: Option<PendingHead>,
}

impl ConfigurationState {
    /// Revision in force.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Puts a whole configuration in force that the platform accepted as `revision`. Returns
    /// whether it is newer than the one in force.
    pub fn accept(
        &mut self,
        revision: u64,
        items: &ItemMap,
        catalog: &mut InventoryCatalog,
    ) -> bool {
        let changes = difference(&self.items, items);
        revision > self.revision && self.adopt(revision, digest_of(items), changes, catalog)
    }

    /// Reads the head record.
    pub fn read_head(&self, registry: &mut CallRegistry, effects: &mut Vec<HostEffect>) {
        let op = StoreOp::Read { key: HEAD_KEY.to_owned() };
        registry.call(CallPurpose::ConfigurationHead, op, effects);
    }

    /// Takes in the head record; asks for the shards that differ.
    pub fn head_read(
        &mut self,
        outcome: &StoreOutcome,
        registry: &mut CallRegistry,
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
                registry.call(purpose, StoreOp::Read { key }, effects);
            }
        }
        self.pending = Some(PendingHead { head, shards: BTreeMap::new(), missing });
    }

    /// Takes in one shard. Returns whether a newer configuration is complete and now in force.
    pub fn shard_read(
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
            // The next look at the head starts over.
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
        if !newer || !self.adopt(head.revision, head.digest, changes, catalog) {
            return false;
        }
        self.shards = head.shards;
        true
    }

    /// What the newly read shards change.
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
        let inside = self.items.iter().filter(|(name, _)| read.contains(&shard_of(name)));
        let old: ItemMap = inside.map(|(name, item)| (name.clone(), item.clone())).collect();
        Some(difference(&old, &new))
    }

    /// Puts changes in force if they lead to `digest`; false leaves everything as it was.
    fn adopt(
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
        self.log(changes);
        self.revision = revision;
        self.digest = digest;
        true
    }

    fn log(&mut self, changes: Vec<ConfigurationChange>) {
        self.logged += changes.len();
        self.log.push_back(LoggedStep { base: self.revision, changes });
        while self.logged > MAX_LOGGED_CHANGES {
            let Some(step) = self.log.pop_front() else {
                break;
            };
            self.logged -= step.changes.len();
        }
    }

    /// Builds the answer to a host that has revision `have`; `None` when it is not behind.
    pub fn offer(&self, have: u64) -> Option<PeerMessage> {
        if have >= self.revision {
            return None;
        }
        let start = self.log.iter().position(|step| step.base == have);
        let (base, changes) = match start {
            Some(start) if have > 0 => (have, self.changes_from(start)),
            _ => (0, difference(&ItemMap::new(), &self.items)),
        };
        let revision = self.revision;
        Some(PeerMessage::ConfigurationOffer { base, revision, digest: self.digest, changes })
    }

    fn changes_from(&self, start: usize) -> Vec<ConfigurationChange> {
        let mut latest = BTreeMap::new();
        for change in self.log.iter().skip(start).flat_map(|step| &step.changes) {
            latest.insert(change.name.clone(), change.clone());
        }
        latest.into_values().collect()
    }

    /// Applies an offer. Returns whether a newer configuration is now in force.
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
        self.adopt(revision, digest, changes, catalog)
    }
}
