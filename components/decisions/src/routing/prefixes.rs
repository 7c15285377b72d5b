//! Leading prompt parts that engines are expected to keep.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailledge_inventory::UpstreamKey;

use crate::time::Moment;

/// Time for which an engine is expected to keep a prefix that this host sent it. Engines keep 240,000
/// tokens, and a busy one gets about 10,000 new ones a second.
const KEEP_TIME: Duration = Duration::from_secs(20);
/// Maximum number of prefixes that are kept, 32 bytes each; a host of customer C sends about 3 a second.
const MAX_PREFIXES: usize = 1_024;

/// Prefixes of prompts that this host sent recently, by engine.
#[derive(Debug, Clone, Default)]
pub struct RecentPrefixes {
    /// When a prefix was last sent to an engine.
    sent: BTreeMap<(UpstreamKey, u64), Moment>,
}

impl RecentPrefixes {
    /// Records that the engine was sent a prompt with this prefix.
    pub fn record(&mut self, now: Moment, upstream: UpstreamKey, prefix: u64) {
        if self.sent.len() >= MAX_PREFIXES {
            self.sent.retain(|_, sent| now.since(*sent) <= KEEP_TIME);
        }
        if self.sent.len() < MAX_PREFIXES {
            self.sent.insert((upstream, prefix), now);
        }
    }

    /// Whether the engine is expected to keep the prefix.
    pub fn is_kept(&self, now: Moment, upstream: UpstreamKey, prefix: u64) -> bool {
        self.sent.get(&(upstream, prefix)).is_some_and(|sent| now.since(*sent) <= KEEP_TIME)
    }
}
