//! Versioned table that lists its changes since an earlier version.

use std::collections::BTreeMap;

/// Maximum number of removed rows that are kept for readers that lag behind. Readers further behind
/// get the complete table.
const MAX_TOMBSTONES: usize = 4_096;

/// Map from keys to rows that records the version of each row's last change.
#[derive(Debug, Clone)]
pub struct VersionedTable<K, R> {
    /// Version of the latest change; each change adds one.
    version: u64,
    /// Oldest version for which changes are known; readers below it need the complete table.
    oldest_delta: u64,
    /// Rows with the version of their last change; `None` marks a removed row.
    rows: BTreeMap<K, (u64, Option<R>)>,
    /// Keys by the version of their last change. Each key occurs exactly once.
    changes: BTreeMap<u64, K>,
    /// Number of removed rows in `rows`.
    tombstones: usize,
}

/// Changes that bring a reader from version `since` to `version`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableDelta<K, R> {
    /// Version that the reader must have; 0 replaces all rows.
    pub since: u64,
    /// Version after the changes.
    pub version: u64,
    /// Changed rows; `None` removes one.
    pub rows: Vec<(K, Option<R>)>,
}

impl<K: Ord + Clone, R: Clone + PartialEq> Default for VersionedTable<K, R> {
    fn default() -> Self {
        Self {
            version: 0,
            oldest_delta: 0,
            rows: BTreeMap::new(),
            changes: BTreeMap::new(),
            tombstones: 0,
        }
    }
}

impl<K: Ord + Clone, R: Clone + PartialEq> VersionedTable<K, R> {
    /// Version of the latest change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the row of `key`.
    pub fn get(&self, key: &K) -> Option<R> {
        self.rows.get(key).and_then(|(_, row)| row.clone())
    }

    /// Iterates over the rows in key order.
    pub fn iter(&self) -> impl Iterator<Item = (K, R)> + '_ {
        self.rows.iter().filter_map(|(key, (_, row))| Some((key.clone(), row.clone()?)))
    }

    /// Keys changed after version `since`; `None` if that version is too old or unknown.
    pub fn changed_since(&self, since: u64) -> Option<impl Iterator<Item = &K>> {
        let covered = since >= self.oldest_delta && since <= self.version;
        covered.then(|| self.changes.range(since + 1..).map(|(_, key)| key))
    }

    /// Sets a row, or removes it with `None`. Returns whether the table changed.
    pub fn put(&mut self, key: K, row: Option<R>) -> bool {
        let old = self.rows.get(&key);
        if old.and_then(|(_, row)| row.as_ref()) == row.as_ref() {
            return false;
        }
        if let Some((version, old_row)) = old {
            self.tombstones -= usize::from(old_row.is_none());
            self.changes.remove(version);
        }
        self.version += 1;
        self.tombstones += usize::from(row.is_none());
        self.changes.insert(self.version, key.clone());
        self.rows.insert(key, (self.version, row));
        self.drop_tombstones();
        true
    }

    /// Lists the changes after version `since`, or the complete table if that version is too old or
    /// unknown.
    pub fn delta(&self, since: u64) -> TableDelta<K, R> {
        if since == 0 || since < self.oldest_delta || since > self.version {
            let rows = self.iter().map(|(key, row)| (key, Some(row))).collect();
            return TableDelta { since: 0, version: self.version, rows };
        }
        let keys = self.changes.range(since + 1..).map(|(_, key)| key);
        let rows = keys.map(|key| (key.clone(), self.get(key))).collect();
        TableDelta { since, version: self.version, rows }
    }

    fn drop_tombstones(&mut self) {
        if self.tombstones <= MAX_TOMBSTONES {
            return;
        }
        let changes = &mut self.changes;
        self.rows.retain(|_, (version, row)| {
            if row.is_none() {
                changes.remove(version);
            }
            row.is_some()
        });
        self.tombstones = 0;
        self.oldest_delta = self.version;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn can_bring_any_reader_up_to_date() {
        let mut table = VersionedTable::default();
        let mut copies: Vec<(u64, BTreeMap<u32, u32>)> = vec![(0, BTreeMap::new()); 7];
        for step in 0..20_000u32 {
            let key = step.wrapping_mul(2_654_435_761) % 997;
            table.put(key, (step % 3 != 0).then_some(step));
            let reader = (step as usize * 31) % copies.len();
            if step % 5 != 0 {
                continue;
            }
            let (version, copy) = &mut copies[reader];
            let delta = table.delta(*version);
            if delta.since == 0 {
                copy.clear();
            }
            for (key, row) in delta.rows {
                match row {
                    Some(row) => copy.insert(key, row),
                    None => copy.remove(&key),
                };
            }
            *version = delta.version;
            assert_eq!(*copy, table.iter().collect());
        }
    }
}
