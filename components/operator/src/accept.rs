//! Reads and edits the accepted configuration in the key-value service.
//!
//! A head record lists the content hash of every shard. Edits write the changed shards first and
//! then replace the head by compare-and-swap.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use wagtailledge_decisions::configuration::ConfigurationHead;
use wagtailledge_decisions::configuration::HEAD_KEY;
use wagtailledge_decisions::configuration::HistoryEntry;
use wagtailledge_decisions::configuration::ItemMap;
use wagtailledge_decisions::configuration::ShardContent;
use wagtailledge_decisions::configuration::digest_of;
use wagtailledge_decisions::configuration::shard_key;
use wagtailledge_decisions::configuration::split_shards;
use wagtailledge_decisions::configuration::to_document;
use wagtailledge_decisions::store::StoreOp;
use wagtailledge_decisions::store::StoreOutcome;
use wagtailledge_inventory::FileFault;
use wagtailledge_inventory::check::check_merged;
use wagtailledge_keyvalue::KeyValueService;

use crate::merge::EditConflict;
use crate::merge::apply_changes;
use crate::merge::merge_edit;

/// Number of attempts to read or edit the configuration before giving up.
const MAX_ATTEMPTS: u32 = 20;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of edits listed in the head record; the oldest are dropped.
const MAX_HISTORY_EDITS: usize = 64;
/// Maximum number of changed items listed by name per edit in the head record.
const MAX_HISTORY_ITEMS: usize = 8;

/// Why an edit was not accepted.
#[derive(Debug)]
pub enum AcceptError {
    /// The key-value service did not answer, or other edits won every attempt. The edit may still
    /// have been accepted if only the answer was lost.
    Unavailable,
    /// The value of this key is not a valid configuration record.
    Malformed(String, serde_json::Error),
    /// Other edits changed these items after the base of this edit was read.
    Conflicts(Vec<EditConflict>),
    /// The inventory after the merge is not valid.
    Faults(Vec<FileFault>),
}

impl fmt::Display for AcceptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable => f.write_str(
                "no answer from the key-value service, or other edits came first each time: check \
                 `key_value` in [platform] of the settings, then run the command again",
            ),
            Self::Malformed(key, error) => {
                write!(f, "key {key}: not a valid configuration record: {error}")
            }
            Self::Conflicts(conflicts) => write_lines(f, conflicts),
            Self::Faults(faults) => write_lines(f, faults),
        }
    }
}

fn write_lines<T: fmt::Display>(f: &mut fmt::Formatter<'_>, lines: &[T]) -> fmt::Result {
    for (index, line) in lines.iter().enumerate() {
        if index > 0 {
            writeln!(f)?;
        }
        write!(f, "{line}")?;
    }
    Ok(())
}

impl std::error::Error for AcceptError {}

/// Result of an accepted edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedEdit {
    /// First revision that contains the edit.
    pub revision: u64,
    /// Names of the changed items; empty if the configuration already matched the edit.
    pub items: Vec<String>,
}

/// The accepted configuration, as read from the key-value service.
#[derive(Debug, Clone, Default)]
pub struct StoredConfiguration {
    /// Version of the head record in the key-value service; 0 if there is none.
    pub version: u64,
    /// Revision, digest, shard hashes and history of the configuration.
    pub head: ConfigurationHead,
    /// Items of all shards, by name.
    pub items: ItemMap,
}

/// Reads and writes the accepted configuration.
#[derive(Debug, Clone)]
pub struct ConfigurationStore {
    service: Rc<dyn KeyValueService>,
}

impl ConfigurationStore {
    /// Accesses the configuration through `service`.
    pub fn new(service: Rc<dyn KeyValueService>) -> Self {
        Self { service }
    }

    /// Returns a random id that identifies one edit across retries.
    pub fn new_edit_id() -> String {
        format!("{:016x}", rand::random::<u64>())
    }

    /// Reads the accepted configuration.
    ///
    /// # Errors
    /// Fails when the service does not answer or a record is malformed.
    pub async fn read(&self) -> Result<StoredConfiguration, AcceptError> {
        for _ in 0..MAX_ATTEMPTS {
            let key = HEAD_KEY.to_owned();
            match self.service.call(StoreOp::Read { key }).await {
                StoreOutcome::Absent { .. } => return Ok(StoredConfiguration::default()),
                StoreOutcome::Found { version, value } => {
                    let head = serde_json::from_str::<ConfigurationHead>(&value);
                    let head =
                        head.map_err(|error| AcceptError::Malformed(HEAD_KEY.to_owned(), error))?;
                    // If a shard is missing, a newer head has replaced this one since it was read.
                    if let Some(items) = self.read_shards(&head).await? {
                        return Ok(StoredConfiguration { version, head, items });
                    }
                }
                StoreOutcome::Done { .. } | StoreOutcome::Failed => {}
            }
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
        Err(AcceptError::Unavailable)
    }

    /// Reads the items of all shards that `head` lists; `None` if one cannot be read.
    async fn read_shards(&self, head: &ConfigurationHead) -> Result<Option<ItemMap>, AcceptError> {
        let mut items = ItemMap::new();
        for (index, hash) in head.shards.iter().enumerate() {
            let key = shard_key(index, *hash);
            let StoreOutcome::Found { value, .. } =
                self.service.call(StoreOp::Read { key: key.clone() }).await
            else {
                return Ok(None);
            };
            let shard = serde_json::from_str::<ShardContent>(&value);
            let shard = shard.map_err(|error| AcceptError::Malformed(key, error))?;
            items.extend(shard.0.into_iter().map(|item| (item.name(), item)));
        }
        Ok(Some(items))
    }

    /// Merges an edit, the difference between `base` and `edited`, into the accepted configuration.
    /// The history lists accepted edits by the id `edit`, so that a retry after a lost answer does
    /// not apply the edit twice.
    ///
    /// # Errors
    /// Fails on conflicting edits, on an invalid merged inventory, or when the service does not
    /// answer.
    pub async fn accept(
        &self,
        edit: &str,
        base: &ItemMap,
        edited: &ItemMap,
    ) -> Result<AcceptedEdit, AcceptError> {
        for _ in 0..MAX_ATTEMPTS {
            let stored = self.read().await?;
            if let Some(entry) = stored.head.history.iter().find(|entry| entry.edit == edit) {
                return Ok(AcceptedEdit { revision: entry.revision, items: entry.items.clone() });
            }
            let changes =
                merge_edit(base, edited, &stored.items).map_err(AcceptError::Conflicts)?;
            if changes.is_empty() {
                return Ok(AcceptedEdit { revision: stored.head.revision, items: Vec::new() });
            }
            let mut items = stored.items.clone();
            apply_changes(&mut items, &changes);
            let faults = check_merged(&to_document(&items));
            if !faults.is_empty() {
                return Err(AcceptError::Faults(faults));
            }
            let names: Vec<String> = changes.into_iter().map(|change| change.name).collect();
            if self.write(edit, &stored, &items, &names).await {
                return Ok(AcceptedEdit { revision: stored.head.revision + 1, items: names });
            }
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
        Err(AcceptError::Unavailable)
    }

    /// Writes the changed shards, then the head. Returns whether the write of the head was
    /// confirmed.
    async fn write(
        &self,
        edit: &str,
        stored: &StoredConfiguration,
        items: &ItemMap,
        names: &[String],
    ) -> bool {
        let shards = split_shards(items);
        for (index, (hash, text)) in shards.iter().enumerate() {
            if stored.head.shards.get(index) == Some(hash) {
                continue;
            }
            let key = shard_key(index, *hash);
            let op = StoreOp::CompareAndSwap { key, expected: 0, value: text.clone(), ttl: None };
            // The key contains the hash of the content, so an existing shard has the same content.
            if self.service.call(op).await == StoreOutcome::Failed {
                return false;
            }
        }
        let revision = stored.head.revision + 1;
        let mut history = stored.head.history.clone();
        let listed = names.iter().take(MAX_HISTORY_ITEMS).cloned().collect();
        history.push(HistoryEntry { revision, edit: edit.to_owned(), items: listed });
        let excess = history.len().saturating_sub(MAX_HISTORY_EDITS);
        history.drain(..excess);
        let head = ConfigurationHead {
            revision,
            digest: digest_of(items),
            shards: shards.iter().map(|(hash, _)| *hash).collect(),
            history,
        };
        let value = serde_json::to_string(&head).expect("all map keys of a head are strings");
        let op = StoreOp::CompareAndSwap {
            key: HEAD_KEY.to_owned(),
            expected: stored.version,
            value,
            ttl: None,
        };
        matches!(self.service.call(op).await, StoreOutcome::Done { .. })
    }
}
