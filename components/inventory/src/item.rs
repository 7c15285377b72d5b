//! Items of the configuration: the unit of change and of conflict.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::document::AdapterEntry;
use crate::document::ClassRule;
use crate::document::EngineEntry;
use crate::document::InventoryDocument;
use crate::document::ModelEntry;
use crate::document::RouteEntry;
use crate::document::RuleSet;
use crate::document::ServiceEntry;

/// One declared item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigurationItem {
    /// The rules of the deployment.
    Rules(RuleSet),
    /// A priority class.
    Class(ClassRule),
    /// A model version.
    Model(ModelEntry),
    /// An adapter.
    Adapter(AdapterEntry),
    /// An engine.
    Engine(EngineEntry),
    /// A service.
    Service(ServiceEntry),
    /// A route.
    Route(RouteEntry),
}

/// One changed item; `None` removes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    /// Name of the item, such as `model/vent-alarm@1`.
    pub name: String,
    /// The item afterwards.
    pub item: Option<ConfigurationItem>,
}

/// Items by name.
pub type ItemMap = BTreeMap<String, ConfigurationItem>;

impl ConfigurationItem {
    /// Name that is unique among all items.
    pub fn name(&self) -> String {
        match self {
            Self::Rules(_) => "rules".to_owned(),
            Self::Class(class) => format!("class/{}", class.name),
            Self::Model(model) => format!("model/{}@{}", model.name, model.version),
            Self::Adapter(adapter) => format!("adapter/{}", adapter.name),
            Self::Engine(engine) => format!("engine/{}", engine.name),
            Self::Service(service) => format!("service/{}", service.name),
            Self::Route(route) => format!("route/{}", route.name),
        }
    }

    /// Hash of name and content.
    pub fn digest(&self) -> u64 {
        let text = serde_json::to_vec(self).expect("an item has only string keys");
        xxh3_64(&text)
    }
}

/// Splits a document into items.
pub fn to_items(document: &InventoryDocument) -> ItemMap {
    let rules = std::iter::once(ConfigurationItem::Rules(document.rules.clone()));
    let classes = document.classes.iter().cloned().map(ConfigurationItem::Class);
    let models = document.models.iter().cloned().map(ConfigurationItem::Model);
    let adapters = document.adapters.iter().cloned().map(ConfigurationItem::Adapter);
    let engines = document.engines.iter().cloned().map(ConfigurationItem::Engine);
    let services = document.services.iter().cloned().map(ConfigurationItem::Service);
    let routes = document.routes.iter().cloned().map(ConfigurationItem::Route);
    let all = rules.chain(classes).chain(models).chain(adapters);
    let all = all.chain(engines).chain(services).chain(routes);
    all.map(|item| (item.name(), item)).collect()
}

/// Puts items together to a document.
pub fn to_document(items: &ItemMap) -> InventoryDocument {
    let mut document = InventoryDocument::default();
    for item in items.values() {
        match item.clone() {
            ConfigurationItem::Rules(rules) => document.rules = rules,
            ConfigurationItem::Class(class) => document.classes.push(class),
            ConfigurationItem::Model(model) => document.models.push(model),
            ConfigurationItem::Adapter(adapter) => document.adapters.push(adapter),
            ConfigurationItem::Engine(engine) => document.engines.push(engine),
            ConfigurationItem::Service(service) => document.services.push(service),
            ConfigurationItem::Route(route) => document.routes.push(route),
        }
    }
    document
}

/// Lists what turns `old` into `new`.
pub fn difference(old: &ItemMap, new: &ItemMap) -> Vec<ConfigurationChange> {
    let removed = old.keys().filter(|name| !new.contains_key(*name));
    let mut changes: Vec<ConfigurationChange> =
        removed.map(|name| ConfigurationChange { name: name.clone(), item: None }).collect();
    for (name, item) in new {
        if old.get(name) != Some(item) {
            changes.push(ConfigurationChange { name: name.clone(), item: Some(item.clone()) });
        }
    }
    changes
}

/// Digest of all items, independent of their order.
pub fn digest_of(items: &ItemMap) -> u64 {
    items.values().fold(0, |sum, item| sum ^ item.digest())
}
