//! The inventory indexed by stable keys: an item keeps its key from revision to revision.

mod accounts;
mod records;
mod routes;
mod scopes;

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SecondaryMap;
use slotmap::SlotMap;

use crate::document::AdapterEntry;
use crate::document::InventoryDocument;
use crate::document::LoadTimes;
use crate::document::ModelEntry;
use crate::document::RuleSet;
use crate::document::ServiceEntry;
use crate::document::VersionState;
use crate::item::ConfigurationChange;
use crate::item::ConfigurationItem;
use crate::item::ItemMap;
use crate::item::to_document;

use accounts::AccountIndex;

pub use accounts::AccountKey;
pub use accounts::AccountRecord;
pub use accounts::QuotaRecord;
pub use records::AssetKey;
pub use records::AssetRecord;
pub use records::PoolRecord;
pub use records::ServiceKey;
pub use records::ServiceRecord;
pub use records::SoftwareVersion;
pub use records::UNDATED;
pub use records::UpstreamKey;
pub use records::UpstreamKind;
pub use records::UpstreamProcess;
pub use records::UpstreamRecord;
pub use routes::RouteRecord;
pub use routes::RouteTable;

/// Prefix of the item names of adapters, see [`ConfigurationItem::name`].
const ADAPTER_PREFIX: &str = "adapter/";

/// The inventory in force, with indexes by name, model and scope.
#[derive(Debug, Clone, Default)]
pub struct InventoryCatalog {
    /// Revision in force; 0 before the first one arrives.
    pub revision: u64,
    /// Rules that apply to the whole deployment.
    pub rules: RuleSet,
    /// Model versions and adapters. A key stays valid as long as its item exists.
    pub assets: SlotMap<AssetKey, AssetRecord>,
    /// Engines and service instances that are declared or registered now.
    pub upstreams: SecondaryMap<UpstreamKey, UpstreamRecord>,
    /// Process of each key. Contains the keys of all `upstreams`, and of processes that registered
    /// themselves, have no record now and may register again. A process never gets another key.
    processes: SlotMap<UpstreamKey, UpstreamProcess>,
    /// Exactly the keys of `processes`, by name and start time.
    process_keys: BTreeMap<String, BTreeMap<u64, UpstreamKey>>,
    /// Plain services and pools. A key stays valid as long as its item exists.
    pub services: SlotMap<ServiceKey, ServiceRecord>,
    /// Accounts of callers, by keys that stay the same when the configuration changes.
    pub accounts: SlotMap<AccountKey, AccountRecord>,
    account_index: AccountIndex,
    /// Routes for requests that are passed through to a service.
    pub routes: RouteTable,
    /// Placement scopes that have engines, sorted. A scope whose last engine unregisters stays
    /// until the content is replaced.
    pub scopes: Vec<String>,
    asset_names: BTreeMap<String, AssetKey>,
    /// Exactly the keys of `upstreams`, by name.
    upstream_names: BTreeMap<String, UpstreamKey>,
    service_names: BTreeMap<String, ServiceKey>,
    /// Serving versions by public name, see [`Self::versions_of`].
    versions: BTreeMap<String, Vec<AssetKey>>,
    /// Rank and deadline of each priority class.
    classes: BTreeMap<String, (u8, Duration)>,
    /// Model versions to load regardless of demand, see [`Self::always_desired`].
    always_desired: Vec<AssetKey>,
}

impl InventoryCatalog {
    /// Replaces the content with `document`. Items that `document` still declares keep their keys.
    pub fn replace(&mut self, revision: u64, document: &InventoryDocument) {
        self.revision = revision;
        self.rules = document.rules.clone();
        self.classes = document
            .classes
            .iter()
            .map(|class| (class.name.clone(), (class.rank, class.deadline.0)))
            .collect();
        self.account_index.replace(&mut self.accounts, &document.accounts);
        self.replace_services(document);
        self.replace_models(document);
        for adapter in &document.adapters {
            self.upsert_adapter(adapter);
        }
        self.remove_undeclared_assets(document);
        self.replace_upstreams(document);
        self.rebuild_indexes(document);
    }

    /// Applies `changes`; `items` is the whole inventory after them. Updates only the changed items
    /// if each is an adapter, or a model that keeps its state and cap. Otherwise replaces the
    /// content.
    pub fn apply(&mut self, revision: u64, items: &ItemMap, changes: &[ConfigurationChange]) {
        if !changes.iter().all(|change| self.is_independent(change)) {
            self.replace(revision, &to_document(items));
            return;
        }
        self.revision = revision;
        for change in changes {
            match &change.item {
                Some(ConfigurationItem::Adapter(adapter)) => self.upsert_adapter(adapter),
                Some(ConfigurationItem::Model(model)) => {
                    self.upsert_model(model);
                }
                _ => self.remove_adapter(change.name.trim_start_matches(ADAPTER_PREFIX)),
            }
        }
        self.index_always_desired();
    }

    /// Whether the change can be applied without replacing the whole content.
    fn is_independent(&self, change: &ConfigurationChange) -> bool {
        match &change.item {
            Some(ConfigurationItem::Adapter(_)) => true,
            Some(ConfigurationItem::Model(model)) => {
                let key = self.asset_named(&format!("{}@{}", model.name, model.version));
                // Adapters inherit the cap of their base, and the versions are indexed by state.
                key.is_some_and(|key| {
                    let record = &self.assets[key];
                    record.state == model.state && record.cap == model.cap
                })
            }
            Some(_) => false,
            None => change.name.starts_with(ADAPTER_PREFIX),
        }
    }

    fn remove_adapter(&mut self, name: &str) {
        if let Some(key) = self.asset_names.remove(name) {
            self.assets.remove(key);
            self.versions.remove(name);
        }
    }

    /// Model versions to load regardless of demand: rolling ones, and pinned ones with a floor.
    pub fn always_desired(&self) -> &[AssetKey] {
        &self.always_desired
    }

    fn index_always_desired(&mut self) {
        let is_desired = |record: &AssetRecord| {
            let rolling = record.state == VersionState::Rolling;
            rolling || (record.floor > 0 && record.state != VersionState::Retired)
        };
        // Adapters have neither a floor nor a rollout state.
        let models = self.assets.iter().filter(|(_, record)| record.base.is_none());
        self.always_desired =
            models.filter(|(_, record)| is_desired(record)).map(|(key, _)| key).collect();
    }

    /// Rank and deadline of a class: the last rank and the default deadline if it is undeclared.
    fn rank_and_deadline(&self, name: &str) -> (u8, Duration) {
        let fallback = (u8::MAX, self.rules.default_deadline.0);
        self.classes.get(name).copied().unwrap_or(fallback)
    }

    /// Finds an asset by its unique name.
    pub fn asset_named(&self, name: &str) -> Option<AssetKey> {
        self.asset_names.get(name).copied()
    }

    /// Finds an upstream by its unique name.
    pub fn upstream_named(&self, name: &str) -> Option<UpstreamKey> {
        self.upstream_names.get(name).copied()
    }

    /// The process with this key, even if its upstream has no record now.
    pub fn process(&self, key: UpstreamKey) -> Option<&UpstreamProcess> {
        self.processes.get(key)
    }

    /// Whether a process of the upstream with this name is known whose start time is known.
    pub fn has_dated_process(&self, name: &str) -> bool {
        let keys = self.process_keys.get(name);
        keys.is_some_and(|keys| keys.keys().any(|started_ms| *started_ms != UNDATED))
    }

    /// Process of the upstream with this name that started at `started_ms`, even if it has no record
    /// now. If that is [`UNDATED`], the process that has a record, or else the last one.
    pub fn process_named(&self, name: &str, started_ms: u64) -> Option<UpstreamKey> {
        let keys = self.process_keys.get(name)?;
        if started_ms == UNDATED {
            let last = keys.last_key_value().map(|(_, key)| *key);
            return self.upstream_named(name).or(last);
        }
        keys.get(&started_ms).or_else(|| keys.get(&UNDATED)).copied()
    }

    /// The process of the same upstream that started last before this one; `None` if none is known.
    pub fn process_before(&self, key: UpstreamKey) -> Option<UpstreamKey> {
        let process = self.processes.get(key)?;
        let earlier = self.process_keys.get(&process.name)?.range(..process.started_ms);
        earlier.last().map(|(_, key)| *key)
    }

    /// Whether the process of an upstream is known, even if the upstream has no record now.
    pub fn has_process(&self, key: UpstreamKey) -> bool {
        self.processes.contains_key(key)
    }

    /// Processes that registered themselves and whose upstreams have no record now.
    pub fn unregistered_processes(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        self.processes.keys().filter(|key| !self.upstreams.contains_key(*key))
    }

    /// Forgets a process whose upstream has no record. If it registers again, it gets a new key.
    pub fn forget_process(&mut self, key: UpstreamKey) {
        if !self.upstreams.contains_key(key) {
            self.remove_process(key);
        }
    }

    fn remove_process(&mut self, key: UpstreamKey) {
        self.remove_record(key);
        let Some(UpstreamProcess { name, started_ms }) = self.processes.remove(key) else {
            return;
        };
        if let Some(keys) = self.process_keys.get_mut(&name) {
            keys.remove(&started_ms);
            if keys.is_empty() {
                self.process_keys.remove(&name);
            }
        }
    }

    fn remove_record(&mut self, key: UpstreamKey) -> Option<UpstreamRecord> {
        let record = self.upstreams.remove(key)?;
        self.upstream_names.remove(&record.name);
        if let Some(service) = record.service.and_then(|service| self.services.get_mut(service)) {
            service.instances.retain(|instance| *instance != key);
        }
        Some(record)
    }

    /// Finds a service by its unique name.
    pub fn service_named(&self, name: &str) -> Option<ServiceKey> {
        self.service_names.get(name).copied()
    }

    /// Adds or updates an upstream whose process registered itself at `started_ms`. The upstream
    /// stays when the document changes, as long as its service is declared. Returns `None` if the
    /// service is not declared.
    pub fn register_upstream(
        &mut self,
        mut record: UpstreamRecord,
        started_ms: u64,
    ) -> Option<UpstreamKey> {
        record.registered = true;
        let service = record.service.filter(|service| self.services.contains_key(*service))?;
        let scope = record.scope.clone();
        let is_engine = matches!(record.kind, UpstreamKind::Engine { .. });
        let key = self.upsert_upstream(record, started_ms);
        let instances = &mut self.services[service].instances;
        if !instances.contains(&key) {
            instances.push(key);
        }
        if is_engine && let Err(position) = self.scopes.binary_search(&scope) {
            self.scopes.insert(position, scope);
        }
        Some(key)
    }

    /// Removes an upstream that registered itself; its process keeps its key. Returns `None` if none
    /// of these has the name.
    pub fn unregister_upstream(&mut self, name: &str) -> Option<UpstreamKey> {
        let key = self.upstream_named(name)?;
        if !self.upstreams[key].registered {
            return None;
        }
        self.remove_record(key);
        Some(key)
    }

    /// Whether the engine may load the asset: both belong to the same pool, or both to none.
    pub fn is_compatible(&self, asset: AssetKey, upstream: UpstreamKey) -> bool {
        let (asset, upstream) = (self.assets.get(asset), self.upstreams.get(upstream));
        asset.zip(upstream).is_some_and(|(asset, upstream)| asset.service == upstream.service)
    }

    /// Shared properties of the pool that the upstream belongs to; `None` outside of pools.
    pub fn pool_of(&self, upstream: UpstreamKey) -> Option<&PoolRecord> {
        let service = self.upstreams.get(upstream)?.service?;
        self.services.get(service)?.pool.as_ref()
    }

    /// Versions that may serve requests for `public_name`: rolling ones first, newest first, then
    /// the pinned one. Retired versions are left out.
    pub fn versions_of(&self, public_name: &str) -> &[AssetKey] {
        self.versions.get(public_name).map_or(&[], Vec::as_slice)
    }

    /// Names of models and adapters that callers may use, sorted.
    pub fn public_names(&self) -> impl Iterator<Item = &str> {
        self.versions.keys().map(String::as_str)
    }

    fn upsert_asset(&mut self, record: AssetRecord) -> AssetKey {
        if let Some(key) = self.asset_names.get(&record.name) {
            self.assets[*key] = record;
            return *key;
        }
        let name = record.name.clone();
        let key = self.assets.insert(record);
        self.asset_names.insert(name, key);
        key
    }

    fn replace_models(&mut self, document: &InventoryDocument) {
        self.versions.clear();
        for model in &document.models {
            let key = self.upsert_model(model);
            if model.state != VersionState::Retired {
                self.versions.entry(model.name.clone()).or_default().push(key);
            }
        }
        let assets = &self.assets;
        for keys in self.versions.values_mut() {
            keys.sort_by_key(|key| {
                let record = &assets[*key];
                (record.state == VersionState::Pinned, std::cmp::Reverse(record.version))
            });
        }
    }

    fn upsert_model(&mut self, model: &ModelEntry) -> AssetKey {
        let (rank, deadline) = self.rank_and_deadline(&model.class);
        self.upsert_asset(AssetRecord {
            name: format!("{}@{}", model.name, model.version),
            public_name: model.name.clone(),
            version: model.version,
            state: model.state,
            base: None,
            bytes: model.size.0,
            service: model.service.as_deref().and_then(|name| self.service_named(name)),
            loads: model.loads,
            rank,
            deadline,
            floor: model.floor,
            cap: model.cap,
        })
    }

    fn upsert_adapter(&mut self, adapter: &AdapterEntry) {
        let (rank, deadline) = self.rank_and_deadline(&adapter.class);
        let base = self.resolve_base(adapter);
        let key = self.upsert_asset(AssetRecord {
            name: adapter.name.clone(),
            public_name: adapter.name.clone(),
            version: 1,
            state: VersionState::Pinned,
            base,
            bytes: adapter.size.0,
            service: base.and_then(|base| self.assets[base].service),
            loads: LoadTimes::default(),
            rank,
            deadline,
            floor: 0,
            cap: base.map_or(1, |base| self.assets[base].cap),
        });
        self.versions.insert(adapter.name.clone(), vec![key]);
    }

    fn resolve_base(&self, adapter: &AdapterEntry) -> Option<AssetKey> {
        if adapter.base.contains('@') {
            return self.asset_named(&adapter.base);
        }
        let is_pinned = |key: &&AssetKey| self.assets[**key].state == VersionState::Pinned;
        self.versions_of(&adapter.base).iter().find(is_pinned).copied()
    }

    fn remove_undeclared_assets(&mut self, document: &InventoryDocument) {
        let models =
            document.models.iter().map(|model| format!("{}@{}", model.name, model.version));
        let adapters = document.adapters.iter().map(|adapter| adapter.name.clone());
        let kept: std::collections::HashSet<String> = models.chain(adapters).collect();
        self.assets.retain(|_, record| kept.contains(&record.name));
        self.asset_names.retain(|name, _| kept.contains(name));
    }

    fn replace_upstreams(&mut self, document: &InventoryDocument) {
        let mut records = Vec::new();
        for engine in &document.engines {
            records.push(UpstreamRecord {
                name: engine.name.clone(),
                zone: engine.zone.clone(),
                scope: engine.zone.clone(),
                address: engine.address.clone(),
                memory_bytes: engine.memory.0,
                slots: engine.slots,
                kind: UpstreamKind::Engine { checks_tokens: engine.checks_tokens },
                service: engine.service.as_deref().and_then(|name| self.service_named(name)),
                software: SoftwareVersion::default(),
                registered: false,
            });
        }
        for service in &document.services {
            let key = self.service_named(&service.name);
            for instance in &service.instances {
                records.push(UpstreamRecord {
                    name: instance.name.clone(),
                    zone: instance.zone.clone(),
                    scope: instance.zone.clone(),
                    address: instance.address.clone(),
                    memory_bytes: 0,
                    slots: instance.slots,
                    kind: UpstreamKind::Service,
                    service: key,
                    software: SoftwareVersion::default(),
                    registered: false,
                });
            }
        }
        let kept: std::collections::HashSet<&str> =
            records.iter().map(|record| record.name.as_str()).collect();
        let undeclared: Vec<(UpstreamKey, bool)> = self
            .upstreams
            .iter()
            .filter(|(_, record)| !kept.contains(record.name.as_str()))
            .map(|(key, record)| (key, record.registered))
            .collect();
        for (key, registered) in undeclared {
            let service = self.upstreams[key].service;
            if !registered {
                self.remove_process(key);
            } else if !service.is_some_and(|service| self.services.contains_key(service)) {
                self.remove_record(key);
            }
        }
        for record in records {
            self.upsert_upstream(record, UNDATED);
        }
    }

    /// Adds or updates an upstream. Another process of it loses its record.
    fn upsert_upstream(&mut self, record: UpstreamRecord, started_ms: u64) -> UpstreamKey {
        let name = record.name.clone();
        let keys = self.process_keys.entry(name.clone()).or_default();
        let key = *keys.entry(started_ms).or_insert_with(|| {
            self.processes.insert(UpstreamProcess { name: name.clone(), started_ms })
        });
        if let Some(other) = self.upstream_named(&name).filter(|other| *other != key) {
            self.remove_record(other);
        }
        self.upstreams.insert(key, record);
        self.upstream_names.insert(name, key);
        key
    }

    fn rebuild_indexes(&mut self, document: &InventoryDocument) {
        let is_engine = |kind: UpstreamKind| matches!(kind, UpstreamKind::Engine { .. });
        let engines = self.upstreams.values().filter(|record| is_engine(record.kind));
        let mut scopes: Vec<String> = engines.map(|record| record.scope.clone()).collect();
        scopes.sort();
        scopes.dedup();
        self.scopes = scopes;
        for service in self.services.values_mut() {
            service.instances.clear();
        }
        for (key, record) in &self.upstreams {
            let service = record.service.and_then(|service| self.services.get_mut(service));
            if let Some(service) = service {
                service.instances.push(key);
            }
        }
        self.routes = RouteTable::new(&document.routes, |name| self.service_named(name));
        self.index_always_desired();
    }

    fn replace_services(&mut self, document: &InventoryDocument) {
        let kept: std::collections::HashSet<&str> =
            document.services.iter().map(|service| service.name.as_str()).collect();
        self.services.retain(|_, record| kept.contains(record.name.as_str()));
        self.service_names.retain(|name, _| kept.contains(name.as_str()));
        for service in &document.services {
            let mut record = self.service_record(service);
            if let Some(key) = self.service_names.get(&service.name) {
                let old = &mut self.services[*key];
                record.instances = std::mem::take(&mut old.instances);
                *old = record;
            } else {
                let key = self.services.insert(record);
                self.service_names.insert(service.name.clone(), key);
            }
        }
    }

    fn service_record(&self, service: &ServiceEntry) -> ServiceRecord {
        let (rank, deadline) = self.rank_and_deadline(&service.class);
        ServiceRecord {
            name: service.name.clone(),
            rank,
            deadline,
            idempotent: service.idempotent.clone(),
            instances: Vec::new(),
            pool: service.pool.as_ref().map(PoolRecord::from),
        }
    }
}
