//! The accepted configuration in the key-value service.

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

/// Tries before an edit is given up because the service does not answer.
const MAX_TRIES: u32 = 20;
/// Pause between two tries.
const TRY_PAUSE: Duration = Duration::from_millis(100);
/// Edits kept in the head record.
const MAX_HISTORY: usize = 64;
/// Names of changed items kept per edit.
const MAX_HISTORY_ITEMS: usize = 8;

/// Why an edit was not accepted.
#[derive(Debug)]
pub enum AcceptError {
    /// The key-value service did not answer; the edit has not been accepted as far as known.
    Unavailable,
    /// The service holds something that is not a configuration.
    Damaged(String, serde_json::Error),
    /// Other edits changed the same items.
    Conflicts(Vec<EditConflict>),
    /// The merged inventory breaks rules.
    Faults(Vec<FileFault>),
}

impl fmt::Display for AcceptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable => f.write_str("the key-value service does not answer"),
            Self::Damaged(key, error) => write!(f, "{key}: holds no configuration: {error}"),
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

/// An accepted edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedEdit {
    /// Revision that holds it.
    pub revision: u64,
    /// Names of the items it changed; none when everything was as wanted already.
    pub items: Vec<String>,
}

/// The configuration as stored.
#[derive(Debug, Clone, Default)]
pub struct StoredConfiguration {
    /// Version of the head record; 0 while there is none.
    pub version: u64,
    /// The head record.
    pub head: ConfigurationHead,
    /// All items.
    pub items: ItemMap,
}

/// Reads and writes the accepted configuration.
#[derive(Debug, Clone)]
pub struct ConfigurationStore {
    service: Rc<dyn KeyValueService>,
}

impl ConfigurationStore {
    /// Uses `service`.
    pub fn new(service: Rc<dyn KeyValueService>) -> Self {
        Self { service }
    }

    /// A name for an edit that no other edit has.
    pub fn new_edit_name() -> String {
        format!("{:016x}", rand::random::<u64>())
    }

    /// Reads the accepted configuration.
    ///
    /// # Errors
    /// Fails when the service does not answer or holds something else.
    pub async fn read(&self) -> Result<StoredConfiguration, AcceptError> {
        for _ in 0..MAX_TRIES {
            let key = HEAD_KEY.to_owned();
            match self.service.call(StoreOp::Read { key }).await {
                StoreOutcome::Absent => return Ok(StoredConfiguration::default()),
                StoreOutcome::Found { version, value } => {
                    let head = serde_json::from_str::<ConfigurationHead>(&value);
                    let head =
                        head.map_err(|error| AcceptError::Damaged(HEAD_KEY.to_owned(), error))?;
                    // A shard is missing when a newer head has replaced this one meanwhile.
                    if let Some(items) = self.read_shards(&head).await? {
                        return Ok(StoredConfiguration { version, head, items });
                    }
                }
                StoreOutcome::Done { .. } | StoreOutcome::Failed => {}
            }
            actix_rt::time::sleep(TRY_PAUSE).await;
        }
        Err(AcceptError::Unavailable)
    }

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
            let shard = shard.map_err(|error| AcceptError::Damaged(key, error))?;
            items.extend(shard.0.into_iter().map(|item| (item.name(), item)));
        }
        Ok(Some(items))
    }

    /// Gets the edit from `base` to `edited` accepted, once. `edit` identifies it, so that a lost
    /// answer is settled by reading back.
    ///
    /// # Errors
    /// Fails on conflicts, on broken rules, or when the service does not answer.
    pub async fn accept(
        &self,
        edit: &str,
        base: &ItemMap,
        edited: &ItemMap,
    ) -> Result<AcceptedEdit, AcceptError> {
        for _ in 0..MAX_TRIES {
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
            actix_rt::time::sleep(TRY_PAUSE).await;
        }
        Err(AcceptError::Unavailable)
    }

    /// Writes new shards, then the head. False when the head was not seen to be written.
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
            // A shard is named by its content: finding it there is as good as writing it.
            if self.service.call(op).await == StoreOutcome::Failed {
                return false;
            }
        }
        let revision = stored.head.revision + 1;
        let mut history = stored.head.history.clone();
        let kept = names.iter().take(MAX_HISTORY_ITEMS).cloned().collect();
        history.push(HistoryEntry { revision, edit: edit.to_owned(), items: kept });
        let excess = history.len().saturating_sub(MAX_HISTORY);
        history.drain(..excess);
        let head = ConfigurationHead {
            revision,
            digest: digest_of(items),
            shards: shards.iter().map(|(hash, _)| *hash).collect(),
            history,
        };
        let value = serde_json::to_string(&head).expect("a head has only string keys");
        let op = StoreOp::CompareAndSwap {
            key: HEAD_KEY.to_owned(),
            expected: stored.version,
            value,
            ttl: None,
        };
        matches!(self.service.call(op).await, StoreOutcome::Done { .. })
    }
}
