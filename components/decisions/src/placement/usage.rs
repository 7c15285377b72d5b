//! How much each asset is asked for.

use std::time::Duration;

use slotmap::SecondaryMap;
use wagtailledge_inventory::AssetKey;

use crate::time::Moment;

/// Time over which use is averaged: long enough to tell a few requests a second from chance,
/// short enough to follow demand that moves within seconds.
const MEMORY: Duration = Duration::from_secs(5);

/// Use of one asset.
#[derive(Debug, Clone, Copy, Default)]
struct AssetUse {
    /// Requests, each counted less the older it is.
    requests: f64,
    /// Prompt tokens, counted the same way.
    tokens: f64,
    /// When the sums were last brought up to date.
    at: Moment,
    /// When it was last asked for.
    last: Moment,
}

impl AssetUse {
    fn faded(self, now: Moment) -> Self {
        let fading = (-now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64()).exp();
        Self { requests: self.requests * fading, tokens: self.tokens * fading, at: now, ..self }
    }
}

/// How much each asset is asked for, over all hosts that tell this one.
#[derive(Debug, Clone, Default)]
pub struct UsageTable {
    uses: SecondaryMap<AssetKey, AssetUse>,
}

impl UsageTable {
    /// Notes requests for an asset, with the sum of their prompt tokens.
    pub fn add(&mut self, now: Moment, asset: AssetKey, requests: u32, tokens: u64) {
        let old = self.uses.get(asset).copied().unwrap_or_default().faded(now);
        let new = AssetUse {
            requests: old.requests + f64::from(requests),
            tokens: old.tokens + tokens as f64,
            at: now,
            last: now,
        };
        self.uses.insert(asset, new);
    }

    /// Requests a second.
    pub fn rate(&self, now: Moment, asset: AssetKey) -> f64 {
        let uses = self.uses.get(asset).map_or(0.0, |uses| uses.faded(now).requests);
        uses / MEMORY.as_secs_f64()
    }

    /// Prompt tokens a second.
    pub fn token_rate(&self, now: Moment, asset: AssetKey) -> f64 {
        let uses = self.uses.get(asset).map_or(0.0, |uses| uses.faded(now).tokens);
        uses / MEMORY.as_secs_f64()
    }

    /// When the asset was last asked for.
    pub fn last(&self, asset: AssetKey) -> Option<Moment> {
        self.uses.get(asset).map(|uses| uses.last)
    }

    /// Assets that were ever asked for.
    pub fn assets(&self) -> impl Iterator<Item = AssetKey> + '_ {
        self.uses.keys()
    }

    /// Forgets assets that the configuration no longer names.
    pub fn retain(&mut self, exists: impl Fn(AssetKey) -> bool) {
        self.uses.retain(|asset, _| exists(asset));
    }
}
