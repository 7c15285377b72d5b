//! Simulated engines.

use std::collections::BTreeMap;

use wagtailledge_decisions::order::EngineReport;
use wagtailledge_decisions::order::OrderKind;
use wagtailledge_decisions::order::OrderOutcome;
use wagtailledge_decisions::order::ResidentAsset;
use wagtailledge_decisions::order::ResidentState;

use super::limits::EngineLimit;

/// An asset that is resident in an engine, or loading.
#[derive(Debug, Clone)]
struct ResidentEntry {
    bytes: u64,
    /// End of its load, in microseconds of virtual time.
    ready_at: u64,
    running_requests: u32,
}

/// A simulated engine. It never refuses an order for lack of memory, so that the oracle sees orders
/// that exceed the memory.
#[derive(Debug)]
pub struct FuzzEngine {
    /// Name of the engine in the inventory.
    pub name: String,
    /// Availability zone of the engine.
    pub zone: String,
    /// Whether it rejects an order with an older fencing token than the highest seen.
    pub checks_tokens: bool,
    /// Virtual time at which the engine started to leave, in microseconds; `None` if it is not
    /// leaving.
    pub leaving_since: Option<u64>,
    /// Its limit on requests, and the requests that reached it.
    pub limit: EngineLimit,
    accepted_loads: BTreeMap<String, u32>,
    highest_token: u64,
    resident: BTreeMap<String, ResidentEntry>,
}

impl FuzzEngine {
    /// An engine without resident assets.
    pub fn new(name: String, zone: String, checks_tokens: bool) -> Self {
        Self {
            name,
            zone,
            checks_tokens,
            leaving_since: None,
            limit: EngineLimit::default(),
            accepted_loads: BTreeMap::new(),
            highest_token: 0,
            resident: BTreeMap::new(),
        }
    }

    /// Memory of resident and loading assets, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        self.resident.values().map(|entry| entry.bytes).sum()
    }

    /// Names of the resident and loading assets.
    pub fn assets(&self) -> impl Iterator<Item = &String> {
        self.resident.keys()
    }

    /// Whether `asset` is loaded at time `now`.
    pub fn is_ready(&self, now: u64, asset: &str) -> bool {
        self.resident.get(asset).is_some_and(|entry| entry.ready_at <= now)
    }

    /// Counts a request that starts or ends on `asset`.
    pub fn count_running(&mut self, asset: &str, starts: bool) {
        if let Some(entry) = self.resident.get_mut(asset) {
            entry.running_requests = if starts {
                entry.running_requests + 1
            } else {
                entry.running_requests.saturating_sub(1)
            };
        }
    }

    /// Number of accepted orders to load `asset`.
    pub fn load_count(&self, asset: &str) -> u32 {
        self.accepted_loads.get(asset).copied().unwrap_or(0)
    }

    /// Highest fencing token that reached the engine since its start.
    pub fn highest_token(&self) -> u64 {
        self.highest_token
    }

    /// Restarts the engine without assets and without its highest token.
    pub fn restart(&mut self) {
        self.resident.clear();
        self.highest_token = 0;
        self.limit = EngineLimit::default();
    }

    fn report(&self, now: u64) -> EngineReport {
        let item = |(asset, entry): (&String, &ResidentEntry)| ResidentAsset {
            asset: asset.clone(),
            bytes: entry.bytes,
            state: if entry.ready_at <= now {
                ResidentState::Ready
            } else {
                ResidentState::Loading
            },
        };
        let resident = self.resident.iter().map(item).collect();
        EngineReport { resident, ..EngineReport::default() }
    }

    /// Executes an order. A model takes `load_time` microseconds to load, an adapter loads at once.
    pub fn apply_order(
        &mut self,
        now: u64,
        token: u64,
        kind: &OrderKind,
        load_time: u64,
    ) -> OrderOutcome {
        if self.checks_tokens && token < self.highest_token {
            return OrderOutcome::StaleToken;
        }
        self.highest_token = self.highest_token.max(token);
        let accepted = match kind {
            OrderKind::Claim => true,
            OrderKind::LoadModel { asset, bytes } => self.load(asset, *bytes, now + load_time),
            OrderKind::LoadAdapter { asset, base, bytes } => {
                self.is_ready(now, base) && self.load(asset, *bytes, now)
            }
            OrderKind::Unload { asset } => {
                let idle =
                    self.resident.get(asset).is_some_and(|entry| entry.running_requests == 0);
                idle && self.resident.remove(asset).is_some()
            }
        };
        if accepted {
            OrderOutcome::Accepted(self.report(now))
        } else {
            OrderOutcome::Refused(self.report(now))
        }
    }

    fn load(&mut self, asset: &str, bytes: u64, ready_at: u64) -> bool {
        if self.resident.contains_key(asset) {
            return false;
        }
        *self.accepted_loads.entry(asset.to_owned()).or_default() += 1;
        self.resident
            .insert(asset.to_owned(), ResidentEntry { bytes, ready_at, running_requests: 0 });
        true
    }
}
