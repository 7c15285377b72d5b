//! Three-way merge of concurrent edits. Edits of different items are merged. Different edits of the
//! same item are a conflict, reported with the name of the item.

use std::fmt;

use wagtailledge_decisions::configuration::ConfigurationChange;
use wagtailledge_decisions::configuration::ItemMap;
use wagtailledge_decisions::configuration::difference;

/// An item that this edit and a concurrent one changed differently.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EditConflict {
    /// Name of the item, such as `model/vent-alarm@1`.
    pub item: String,
}

impl fmt::Display for EditConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: changed by another edit since the base: redo this edit on the output of \
             `inventory show`",
            self.item
        )
    }
}

/// Returns the changes that apply an edit, the difference between `base` and `edited`, to
/// `current`.
///
/// # Errors
/// Returns every item that differs from `base` in both `edited` and `current`, in different ways.
pub fn merge_edit(
    base: &ItemMap,
    edited: &ItemMap,
    current: &ItemMap,
) -> Result<Vec<ConfigurationChange>, Vec<EditConflict>> {
    let mut changes = Vec::new();
    let mut conflicts = Vec::new();
    for change in difference(base, edited) {
        let current_item = current.get(&change.name);
        if current_item == change.item.as_ref() {
            continue;
        }
        if current_item == base.get(&change.name) {
            changes.push(change);
        } else {
            conflicts.push(EditConflict { item: change.name });
        }
    }
    if conflicts.is_empty() { Ok(changes) } else { Err(conflicts) }
}

/// Inserts, replaces and removes items as `changes` say.
pub fn apply_changes(items: &mut ItemMap, changes: &[ConfigurationChange]) {
    for change in changes {
        match &change.item {
            Some(item) => items.insert(change.name.clone(), item.clone()),
            None => items.remove(&change.name),
        };
    }
}
