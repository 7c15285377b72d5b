//! Prompt parts that upstreams have answered.

use std::collections::HashMap;

use crate::time::Moment;

/// Parts after which a new generation begins. Two generations are kept.
const GENERATION_PARTS: usize = 4_096;

/// When each of the latest parts was last seen to be sound: an upstream answered a request with it,
/// or went on answering it for a while.
#[derive(Debug, Clone, Default)]
pub struct SoundParts {
    recent: HashMap<u64, Moment>,
    older: HashMap<u64, Moment>,
}

impl SoundParts {
    /// Records that a part is sound.
    pub fn record(&mut self, now: Moment, part: u64) {
        if self.recent.len() >= GENERATION_PARTS && !self.recent.contains_key(&part) {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(part, now);
    }

    /// When the part was last seen to be sound; `None` if that is not known.
    pub fn last_seen(&self, part: u64) -> Option<Moment> {
        self.recent.get(&part).or_else(|| self.older.get(&part)).copied()
    }

    /// Forgets that a part was sound.
    pub fn forget(&mut self, part: u64) {
        self.recent.remove(&part);
        self.older.remove(&part);
    }
}
