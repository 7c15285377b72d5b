//! Items of the configuration: the unit of change, and of conflicts between edits.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::document::AccountEntry;
use crate::document::AdapterEntry;
use crate::document::ClassRule;
use crate::document::EngineEntry;
use crate::document::InventoryDocument;
use crate::document::ModelEntry;
use crate::document::RouteEntry;
use crate::document::RuleSet;
use crate::document::ServiceEntry;

/// One declared item of any kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigurationItem {
    /// Rules that apply to the whole deployment; there is at most one such item.
    Rules(RuleSet),
    /// A priority class of requests.
    Class(ClassRule),
    /// One version of a model.
    Model(ModelEntry),
    /// An adapter of a base model.
    Adapter(AdapterEntry),
    /// A declared model engine.
    Engine(EngineEntry),
    /// A plain service with its instances, or a pool of engines.
    Service(ServiceEntry),
    /// A route of requests that are passed through.
    Route(RouteEntry),
    /// An account of callers.
    Account(AccountEntry),
}

/// An item that was added, replaced or removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    /// Name of the item, such as `model/vent-alarm@1`.
    pub name: String,
    /// New content of the item; `None` removes it.
    pub item: Option<ConfigurationItem>,
}

/// Items by their unique name, see [`ConfigurationItem::name`].
pub type ItemMap = BTreeMap<String, ConfigurationItem>;

impl ConfigurationItem {
    /// Name that is unique among items of all kinds, such as `model/vent-alarm@1`.
    pub fn name(&self) -> String {
        match self {
            Self::Rules(_) => "rules".to_owned(),
            Self::Class(class) => format!("class/{}", class.name),
            Self::Model(model) => format!("model/{}@{}", model.name, model.version),
            Self::Adapter(adapter) => format!("adapter/{}", adapter.name),
            Self::Engine(engine) => format!("engine/{}", engine.name),
            Self::Service(service) => format!("service/{}", service.name),
            Self::Route(route) => format!("route/{}", route.name),
            Self::Account(account) => format!("account/{}", account.name),
        }
    }

    /// Hash of the item's kind and of its content, which includes its name.
    pub fn digest(&self) -> u64 {
        let text = serde_json::to_vec(self).expect("an item has only string keys");
        xxh3_64(&text)
    }
}

/// Splits a document into its items.
pub fn to_items(document: &InventoryDocument) -> ItemMap {
    let rules = std::iter::once(ConfigurationItem::Rules(document.rules.clone()));
    let classes = document.classes.iter().cloned().map(ConfigurationItem::Class);
    let models = document.models.iter().cloned().map(ConfigurationItem::Model);
    let adapters = document.adapters.iter().cloned().map(ConfigurationItem::Adapter);
    let engines = document.engines.iter().cloned().map(ConfigurationItem::Engine);
    let services = document.services.iter().cloned().map(ConfigurationItem::Service);
    let routes = document.routes.iter().cloned().map(ConfigurationItem::Route);
    let accounts = document.accounts.iter().cloned().map(ConfigurationItem::Account);
    let all = rules.chain(classes).chain(models).chain(adapters);
    let all = all.chain(engines).chain(services).chain(routes).chain(accounts);
    all.map(|item| (item.name(), item)).collect()
}

/// Builds the document that consists of `items`. Without a rules item, default rules apply.
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
            ConfigurationItem::Account(account) => document.accounts.push(account),
        }
    }
    document
}

/// Returns the changes that turn `old` into `new`: removals first, each part sorted by name.
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

/// Digest of all items: their digests combined by XOR, so that one change updates it cheaply.
pub fn digest_of(items: &ItemMap) -> u64 {
    items.values().fold(0, |sum, item| sum ^ item.digest())
}
