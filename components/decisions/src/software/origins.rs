//! Which software version began each of the latest streams.

use std::collections::HashMap;
use std::time::Duration;

use wagtailledge_inventory::catalog::SoftwareVersion;

use crate::time::Moment;

/// Least time for which an origin is kept. Longer than callers wait for a stream.
const ORIGIN_RETENTION: Duration = Duration::from_secs(60);
/// Most origins of a generation; two generations are kept.
const GENERATION_STREAMS: usize = 16_384;

/// Software versions by the ids of the streams that they began.
#[derive(Debug, Clone, Default)]
pub struct OriginTable {
    recent: HashMap<u64, SoftwareVersion>,
    older: HashMap<u64, SoftwareVersion>,
    /// When the recent generation began.
    began: Moment,
}

impl OriginTable {
    /// Records which version began a stream. The first record of a stream stays.
    pub fn record(&mut self, now: Moment, stream: u64, version: SoftwareVersion) {
        let is_full = self.recent.len() >= GENERATION_STREAMS;
        if is_full || now.since(self.began) >= ORIGIN_RETENTION {
            self.older = std::mem::take(&mut self.recent);
            self.began = now;
        }
        let version = self.older.remove(&stream).unwrap_or(version);
        self.recent.entry(stream).or_insert(version);
    }

    /// The version that began a stream; `None` if it is not known.
    pub fn version_of(&self, stream: u64) -> Option<&SoftwareVersion> {
        self.recent.get(&stream).or_else(|| self.older.get(&stream))
    }
}
