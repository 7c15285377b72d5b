//! Engines and service instances.

use std::collections::BTreeMap;

use wagtailledge_decisions::order::EngineListing;
use wagtailledge_decisions::order::HeldAsset;
use wagtailledge_decisions::order::HeldState;
use wagtailledge_decisions::order::OrderKind;
use wagtailledge_decisions::order::OrderOutcome;

/// One asset on an engine.
#[derive(Debug, Clone)]
struct HeldEntry {
    bytes: u64,
    /// When it is loaded, in microseconds.
    ready_at: u64,
    running: u32,
}

/// An engine. It carries out any order that it may not refuse, whether or not that is wise.
#[derive(Debug)]
pub struct FuzzEngine {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Whether it refuses an order with an old fencing token.
    pub checks_tokens: bool,
    /// Since when it has been leaving, in microseconds.
    pub leaving_since: Option<u64>,
    loads: BTreeMap<String, u32>,
    token: u64,
    held: BTreeMap<String, HeldEntry>,
}

impl FuzzEngine {
    /// An engine that holds nothing.
    pub fn new(name: String, zone: String, checks_tokens: bool) -> Self {
        Self {
            name,
            zone,
            checks_tokens,
            leaving_since: None,
            loads: BTreeMap::new(),
            token: 0,
            held: BTreeMap::new(),
        }
    }

    /// Memory held, in bytes.
    pub fn held_bytes(&self) -> u64 {
        self.held.values().map(|entry| entry.bytes).sum()
    }

    /// Names of the assets held or being loaded.
    pub fn assets(&self) -> impl Iterator<Item = &String> {
        self.held.keys()
    }

    /// Whether `asset` serves.
    pub fn is_ready(&self, now: u64, asset: &str) -> bool {
        self.held.get(asset).is_some_and(|entry| entry.ready_at <= now)
    }

    /// A request starts or ends on `asset`.
    pub fn count_running(&mut self, asset: &str, starts: bool) {
        if let Some(entry) = self.held.get_mut(asset) {
            entry.running =
                if starts { entry.running + 1 } else { entry.running.saturating_sub(1) };
        }
    }

    /// How often an order to load `asset` was accepted.
    pub fn loads_of(&self, asset: &str) -> u32 {
        self.loads.get(asset).copied().unwrap_or(0)
    }

    /// Restarts it empty; the token is forgotten too.
    pub fn restart(&mut self) {
        self.held.clear();
        self.token = 0;
    }

    fn listing(&self, now: u64) -> EngineListing {
        let item = |(asset, entry): (&String, &HeldEntry)| HeldAsset {
            asset: asset.clone(),
            bytes: entry.bytes,
            state: if entry.ready_at <= now { HeldState::Ready } else { HeldState::Loading },
        };
        let held = self.held.iter().map(item).collect();
        EngineListing { held, ..EngineListing::default() }
    }

    /// Carries out an order; a model takes `load_time` microseconds.
    pub fn order(
        &mut self,
        now: u64,
        token: u64,
        kind: &OrderKind,
        load_time: u64,
    ) -> OrderOutcome {
        if self.checks_tokens && token < self.token {
            return OrderOutcome::StaleToken;
        }
        self.token = self.token.max(token);
        let done = match kind {
            OrderKind::Claim => true,
            OrderKind::LoadModel { asset, bytes } => self.load(asset, *bytes, now + load_time),
            OrderKind::LoadAdapter { asset, base, bytes } => {
                self.is_ready(now, base) && self.load(asset, *bytes, now)
            }
            OrderKind::Unload { asset } => {
                let idle = self.held.get(asset).is_some_and(|entry| entry.running == 0);
                idle && self.held.remove(asset).is_some()
            }
        };
        if done {
            OrderOutcome::Accepted(self.listing(now))
        } else {
            OrderOutcome::Refused(self.listing(now))
        }
    }

    fn load(&mut self, asset: &str, bytes: u64, ready_at: u64) -> bool {
        if self.held.contains_key(asset) {
            return false;
        }
        *self.loads.entry(asset.to_owned()).or_default() += 1;
        self.held.insert(asset.to_owned(), HeldEntry { bytes, ready_at, running: 0 });
        true
    }
}
