//! Request rates of assets.

use std::time::Duration;

use slotmap::SparseSecondaryMap;
use wagtailledge_inventory::AssetKey;

use crate::time::Moment;

/// Time constant of the exponential averages: long enough to average out chance at a few requests
/// a second, short enough to follow demand that changes within seconds.
const AVERAGING_TIME: Duration = Duration::from_secs(5);

/// Exponentially decaying usage counts of one asset.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingUsage {
    /// Requests, each weighted by its age.
    requests: f64,
    /// Prompt tokens, weighted the same way.
    tokens: f64,
    /// The moment up to which the sums have decayed.
    decayed_at: Moment,
    /// When it was last requested.
    last_requested: Moment,
}

impl DecayingUsage {
    /// The sums decayed up to `now`.
    fn decayed(self, now: Moment) -> Self {
        let decay =
            (-now.since(self.decayed_at).as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        Self {
            requests: self.requests * decay,
            tokens: self.tokens * decay,
            decayed_at: now,
            ..self
        }
    }
}

/// Usage of every asset: of one host, or as reported to a leader by the hosts of its scope and by
/// other leaders.
#[derive(Debug, Clone, Default)]
pub struct UsageTable {
    assets: SparseSecondaryMap<AssetKey, DecayingUsage>,
}

impl UsageTable {
    /// Records requests for an asset and the sum of their prompt tokens.
    pub fn add(&mut self, now: Moment, asset: AssetKey, requests: u32, tokens: u64) {
        let old = self.assets.get(asset).copied().unwrap_or_default().decayed(now);
        let new = DecayingUsage {
            requests: old.requests + f64::from(requests),
            tokens: old.tokens + tokens as f64,
            decayed_at: now,
            last_requested: now,
        };
        self.assets.insert(asset, new);
    }

    /// Requests for each asset and their prompt tokens, weighted by age. Recording them in another
    /// table at `now` gives the same averages there.
    pub fn recent(&self, now: Moment) -> impl Iterator<Item = (AssetKey, u32, u64)> + '_ {
        let rounded = move |(asset, usage): (AssetKey, &DecayingUsage)| {
            let usage = usage.decayed(now);
            let requests = usage.requests.round() as u32;
            (requests > 0).then_some((asset, requests, usage.tokens.round() as u64))
        };
        self.assets.iter().filter_map(rounded)
    }

    /// Average requests a second for `asset`.
    pub fn rate(&self, now: Moment, asset: AssetKey) -> f64 {
        let usage = self.assets.get(asset).map_or(0.0, |usage| usage.decayed(now).requests);
        usage / AVERAGING_TIME.as_secs_f64()
    }

    /// Average prompt tokens a second for `asset`.
    pub fn token_rate(&self, now: Moment, asset: AssetKey) -> f64 {
        let usage = self.assets.get(asset).map_or(0.0, |usage| usage.decayed(now).tokens);
        usage / AVERAGING_TIME.as_secs_f64()
    }

    /// When the asset was last requested; `None` if it never was.
    pub fn last_requested(&self, asset: AssetKey) -> Option<Moment> {
        self.assets.get(asset).map(|usage| usage.last_requested)
    }

    /// Assets in the table.
    pub fn assets(&self) -> impl Iterator<Item = AssetKey> + '_ {
        self.assets.keys()
    }

    /// Removes the assets that were not requested since `oldest`.
    pub fn remove_requested_before(&mut self, oldest: Moment) {
        self.assets.retain(|_, usage| usage.last_requested >= oldest);
    }

    /// Removes the assets for which `exists` is false.
    pub fn retain(&mut self, exists: impl Fn(AssetKey) -> bool) {
        self.assets.retain(|asset, _| exists(asset));
    }
}
