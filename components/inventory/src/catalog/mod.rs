//! The document indexed by small keys that stay the same from revision to revision.

mod records;
mod routes;

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

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

pub use records::AssetKey;
pub use records::AssetRecord;
pub use records::PoolRecord;
pub use records::ServiceKey;
pub use records::ServiceRecord;
pub use records::UpstreamKey;
pub use records::UpstreamKind;
pub use records::UpstreamRecord;
pub use routes::RouteRecord;
pub use routes::RouteTable;

/// Start of the names of adapters among the items.
const ADAPTER_PREFIX: &str = "adapter/";

/// The inventory in force, indexed.
#[derive(Debug, Clone, Default)]
pub struct InventoryCatalog {
    /// Revision in force; 0 before the first one arrives.
    pub revision: u64,
    /// Rules of the deployment.
    pub rules: RuleSet,
    /// Model versions and adapters. Keys stay valid over revisions while the item exists.
    pub assets: SlotMap<AssetKey, AssetRecord>,
    /// Engines and service instances. Keys stay valid over revisions while the item exists.
    pub upstreams: SlotMap<UpstreamKey, UpstreamRecord>,
    /// Plain services and pools. Keys stay valid over revisions while the item exists.
    pub services: SlotMap<ServiceKey, ServiceRecord>,
    /// Routes of requests that are passed through.
    pub routes: RouteTable,
    /// Scopes of placement that have engines, sorted.
    pub scopes: Vec<String>,
    asset_names: BTreeMap<String, AssetKey>,
    upstream_names: BTreeMap<String, UpstreamKey>,
    service_names: BTreeMap<String, ServiceKey>,
    versions: BTreeMap<String, Vec<AssetKey>>,
    classes: BTreeMap<String, (u8, Duration)>,
    /// Assets with a floor or in a rolling version, which are wanted without any demand.
    standing: Vec<AssetKey>,
}

impl InventoryCatalog {
    /// Replaces the content with `document`, keeping the keys of items that stay.
    pub fn replace(&mut self, revision: u64, document: &InventoryDocument) {
        self.revision = revision;
        self.rules = document.rules.clone();
        self.classes = document
            .classes
            .iter()
            .map(|class| (class.name.clone(), (class.rank, class.deadline.0)))
            .collect();
        self.replace_services(document);
        self.replace_models(document);
        for adapter in &document.adapters {
            self.put_adapter(adapter);
        }
        self.drop_assets(document);
        self.replace_upstreams(document);
        self.index(document);
    }

    /// Puts single changes in force; `items` is everything afterwards. Changes of adapters and of
    /// models that keep their state are taken over one by one, all others by replacing everything.
    pub fn apply(&mut self, revision: u64, items: &ItemMap, changes: &[ConfigurationChange]) {
        if !changes.iter().all(|change| self.is_small(change)) {
            self.replace(revision, &to_document(items));
            return;
        }
        self.revision = revision;
        for change in changes {
            match &change.item {
                Some(ConfigurationItem::Adapter(adapter)) => self.put_adapter(adapter),
                Some(ConfigurationItem::Model(model)) => {
                    self.put_model(model);
                }
                _ => self.remove_adapter(change.name.trim_start_matches(ADAPTER_PREFIX)),
            }
        }
        self.index_standing();
    }

    fn is_small(&self, change: &ConfigurationChange) -> bool {
        match &change.item {
            Some(ConfigurationItem::Adapter(_)) => true,
            Some(ConfigurationItem::Model(model)) => {
                let key = self.asset_named(&format!("{}@{}", model.name, model.version));
                // Caps pass on to adapters.
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

    /// Assets that are wanted without any demand: with a floor, or in a rolling version.
    pub fn always_desired(&self) -> &[AssetKey] {
        &self.standing
    }

    fn index_standing(&mut self) {
        let wanted = |record: &AssetRecord| {
            let rolling = record.state == VersionState::Rolling;
            rolling || (record.floor > 0 && record.state != VersionState::Retired)
        };
        // Adapters have no floors and no states.
        let models = self.assets.iter().filter(|(_, record)| record.base.is_none());
        self.standing = models.filter(|(_, record)| wanted(record)).map(|(key, _)| key).collect();
    }

    fn class(&self, name: &str) -> (u8, Duration) {
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

    /// Finds a service by name.
    pub fn service_named(&self, name: &str) -> Option<ServiceKey> {
        self.service_names.get(name).copied()
    }

    /// Puts in an upstream that registered itself, or changes it. It stays when the document
    /// changes, as long as its service is declared.
    pub fn register_upstream(&mut self, mut record: UpstreamRecord) -> Option<UpstreamKey> {
        record.registered = true;
        let service = record.service.filter(|service| self.services.contains_key(*service))?;
        let scope = record.scope.clone();
        let engine = matches!(record.kind, UpstreamKind::Engine { .. });
        let key = self.put_upstream(record);
        let instances = &mut self.services[service].instances;
        if !instances.contains(&key) {
            instances.push(key);
        }
        if engine && let Err(place) = self.scopes.binary_search(&scope) {
            self.scopes.insert(place, scope);
        }
        Some(key)
    }

    /// Takes out an upstream that had registered itself.
    pub fn unregister_upstream(&mut self, name: &str) -> Option<UpstreamKey> {
        let key = self.upstream_named(name)?;
        if !self.upstreams[key].registered {
            return None;
        }
        self.upstream_names.remove(name);
        let record = self.upstreams.remove(key)?;
        if let Some(service) = record.service.and_then(|service| self.services.get_mut(service)) {
            service.instances.retain(|instance| *instance != key);
        }
        Some(key)
    }

    /// Whether the engine may hold the asset: both belong to the same pool.
    pub fn is_compatible(&self, asset: AssetKey, upstream: UpstreamKey) -> bool {
        let (asset, upstream) = (self.assets.get(asset), self.upstreams.get(upstream));
        asset.zip(upstream).is_some_and(|(asset, upstream)| asset.service == upstream.service)
    }

    /// What the engines of the upstream's pool have in common.
    pub fn pool_of(&self, upstream: UpstreamKey) -> Option<&PoolRecord> {
        let service = self.upstreams.get(upstream)?.service?;
        self.services.get(service)?.pool.as_ref()
    }

    /// Versions that may serve calls for `public_name`: rolling ones first, then the pinned one.
    pub fn versions_of(&self, public_name: &str) -> &[AssetKey] {
        self.versions.get(public_name).map_or(&[], Vec::as_slice)
    }

    /// Names that callers may use for models, sorted.
    pub fn public_names(&self) -> impl Iterator<Item = &str> {
        self.versions.keys().map(String::as_str)
    }

    /// Scopes in the order in which they should hold the model of `asset`, its home first.
    ///
    /// An adapter lives with its base, so both give the same order.
    pub fn scopes_by_preference(&self, asset: AssetKey) -> Vec<&str> {
        let record = &self.assets[asset];
        let named = record.base.and_then(|base| self.assets.get(base)).unwrap_or(record);
        let seed = xxh3_64_with_seed(named.name.as_bytes(), 0);
        let mut scopes: Vec<&str> = self.scopes.iter().map(String::as_str).collect();
        scopes.sort_by_key(|scope| std::cmp::Reverse(xxh3_64_with_seed(scope.as_bytes(), seed)));
        scopes
    }

    /// Engines of `scope`.
    pub fn engines_in<'c>(&'c self, scope: &'c str) -> impl Iterator<Item = UpstreamKey> + 'c {
        let engine = |kind: UpstreamKind| matches!(kind, UpstreamKind::Engine { .. });
        let inside = move |record: &UpstreamRecord| record.scope == scope && engine(record.kind);
        self.upstreams.iter().filter(move |(_, record)| inside(record)).map(|(key, _)| key)
    }

    fn put_asset(&mut self, record: AssetRecord) -> AssetKey {
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
            let key = self.put_model(model);
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

    fn put_model(&mut self, model: &ModelEntry) -> AssetKey {
        let class = self.class(&model.class);
        self.put_asset(AssetRecord {
            name: format!("{}@{}", model.name, model.version),
            public_name: model.name.clone(),
            version: model.version,
            state: model.state,
            base: None,
            bytes: model.size.0,
            service: model.service.as_deref().and_then(|name| self.service_named(name)),
            loads: model.loads,
            rank: class.0,
            deadline: class.1,
            floor: model.floor,
            cap: model.cap,
        })
    }

    fn put_adapter(&mut self, adapter: &AdapterEntry) {
        let class = self.class(&adapter.class);
        let base = self.base_of(adapter);
        let key = self.put_asset(AssetRecord {
            name: adapter.name.clone(),
            public_name: adapter.name.clone(),
            version: 1,
            state: VersionState::Pinned,
            base,
            bytes: adapter.size.0,
            service: base.and_then(|base| self.assets[base].service),
            loads: LoadTimes::default(),
            rank: class.0,
            deadline: class.1,
            floor: 0,
            cap: base.map_or(1, |base| self.assets[base].cap),
        });
        self.versions.insert(adapter.name.clone(), vec![key]);
    }

    fn base_of(&self, adapter: &AdapterEntry) -> Option<AssetKey> {
        if adapter.base.contains('@') {
            return self.asset_named(&adapter.base);
        }
        let pinned = |key: &&AssetKey| self.assets[**key].state == VersionState::Pinned;
        self.versions_of(&adapter.base).iter().find(pinned).copied()
    }

    fn drop_assets(&mut self, document: &InventoryDocument) {
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
                    registered: false,
                });
            }
        }
        let kept: std::collections::HashSet<&str> =
            records.iter().map(|record| record.name.as_str()).collect();
        let services = &self.services;
        self.upstreams.retain(|_, record| {
            let served = record.service.is_some_and(|service| services.contains_key(service));
            kept.contains(record.name.as_str()) || (record.registered && served)
        });
        let upstreams = &self.upstreams;
        self.upstream_names.retain(|_, key| upstreams.contains_key(*key));
        for record in records {
            self.put_upstream(record);
        }
    }

    fn put_upstream(&mut self, record: UpstreamRecord) -> UpstreamKey {
        if let Some(key) = self.upstream_names.get(&record.name) {
            self.upstreams[*key] = record;
            return *key;
        }
        let name = record.name.clone();
        let key = self.upstreams.insert(record);
        self.upstream_names.insert(name, key);
        key
    }

    fn index(&mut self, document: &InventoryDocument) {
        let engine = |kind: UpstreamKind| matches!(kind, UpstreamKind::Engine { .. });
        let engines = self.upstreams.values().filter(|record| engine(record.kind));
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
        self.index_standing();
    }

    fn replace_services(&mut self, document: &InventoryDocument) {
        let kept: std::collections::HashSet<&str> =
            document.services.iter().map(|service| service.name.as_str()).collect();
        self.services.retain(|_, record| kept.contains(record.name.as_str()));
        self.service_names.retain(|name, _| kept.contains(name.as_str()));
        for service in &document.services {
            let mut record = self.service(service);
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

    fn service(&self, service: &ServiceEntry) -> ServiceRecord {
        let class = self.class(&service.class);
        ServiceRecord {
            name: service.name.clone(),
            rank: class.0,
            deadline: class.1,
            idempotent: service.idempotent.clone(),
            instances: Vec::new(),
            pool: service.pool.as_ref().map(PoolRecord::from),
        }
    }
}
