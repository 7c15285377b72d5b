//! Checks values of items and references between items.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use crate::document::AdapterEntry;
use crate::document::InventoryDocument;
use crate::document::ModelEntry;
use crate::document::RouteEntry;
use crate::document::VersionState;
use crate::fault::FileFault;
use crate::parse::ItemLines;

/// Longest accepted name of an item, in bytes.
const MAX_NAME_BYTES: usize = 100;

struct DocumentCheck<'d> {
    file: &'d str,
    document: &'d InventoryDocument,
    faults: Vec<FileFault>,
}

/// Checks all items and their references. `lines` holds the line reported for each item.
pub fn check_document(
    file: &str,
    document: &InventoryDocument,
    lines: &ItemLines,
) -> Vec<FileFault> {
    let mut check = DocumentCheck { file, document, faults: Vec::new() };
    check.check_rules();
    check.check_classes(&lines.classes);
    check.check_models(&lines.models);
    check.check_pinned_versions(&lines.models);
    check.check_adapters(&lines.adapters);
    check.check_upstreams(lines);
    check.check_services(&lines.services);
    check.check_routes(&lines.routes);
    check.check_accounts(&lines.accounts);
    check.faults
}

/// Checks a document that was not read from a file, such as the result of merging an edit. Its
/// faults have no line.
pub fn check_merged(document: &InventoryDocument) -> Vec<FileFault> {
    let lines = ItemLines {
        classes: vec![0; document.classes.len()],
        models: vec![0; document.models.len()],
        adapters: vec![0; document.adapters.len()],
        engines: vec![0; document.engines.len()],
        services: vec![0; document.services.len()],
        routes: vec![0; document.routes.len()],
        accounts: vec![0; document.accounts.len()],
    };
    check_document("inventory", document, &lines)
}

impl DocumentCheck<'_> {
    fn report(&mut self, line: usize, item: String, problem: String) {
        self.faults.push(FileFault { file: self.file.to_owned(), line, item, problem });
    }

    fn check_rules(&mut self) {
        let rules = &self.document.rules;
        let counts = [
            ("store_loads_per_second", rules.store_loads_per_second),
            ("store_concurrent_loads", rules.store_concurrent_loads),
            ("adapters_in_flight", rules.adapters_in_flight),
            ("max_waiting", rules.max_waiting),
            ("max_waiting_per_caller", rules.max_waiting_per_caller),
        ];
        for (name, value) in counts {
            if value == 0 {
                self.report(0, "[rules]".into(), format!("{name} must be at least 1, but is 0"));
            }
        }
    }

    fn check_classes(&mut self, lines: &[usize]) {
        let mut names = HashSet::new();
        for (class, line) in self.document.classes.iter().zip(lines) {
            let item = format!("class \"{}\"", class.name);
            self.check_name(*line, &item, &class.name, &mut names);
            if class.deadline.0.is_zero() {
                self.report(*line, item, "deadline must be longer than zero".into());
            }
        }
    }

    /// Checks the form of a name and adds it to `used`; a name that is there already is a fault.
    fn check_name(&mut self, line: usize, item: &str, name: &str, used: &mut HashSet<String>) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.@/".contains(c);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
            let problem =
                format!("name must be 1 to {MAX_NAME_BYTES} letters, digits or any of - _ . @ /");
            self.report(line, item.to_owned(), problem);
        }
        if !used.insert(name.to_owned()) {
            self.report(line, item.to_owned(), format!("name is used twice: \"{name}\""));
        }
    }

    fn check_class_reference(&mut self, line: usize, item: &str, class: &str) {
        if !self.document.classes.iter().any(|rule| rule.name == class) {
            self.report(line, item.to_owned(), format!("class \"{class}\" is not declared"));
        }
    }

    fn check_models(&mut self, lines: &[usize]) {
        let mut names = HashSet::new();
        let largest_memory = self.document.engines.iter().map(|engine| engine.memory).max();
        for (model, line) in self.document.models.iter().zip(lines) {
            let item = format!("model \"{}@{}\"", model.name, model.version);
            let full_name = format!("{}@{}", model.name, model.version);
            self.check_name(*line, &item, &full_name, &mut names);
            if model.name.contains('@') {
                self.report(*line, item.clone(), "name must not contain @".into());
            }
            self.check_class_reference(*line, &item, &model.class);
            self.check_model_limits(*line, &item, model);
            if let Some(memory) = largest_memory.filter(|memory| model.size > *memory) {
                let size = model.size;
                let problem =
                    format!("size {size} is larger than any engine's memory, at most {memory}");
                self.report(*line, item, problem);
            }
        }
    }

    fn check_model_limits(&mut self, line: usize, item: &str, model: &ModelEntry) {
        if model.cap < model.floor {
            let problem = format!("cap {} is below floor {}", model.cap, model.floor);
            self.report(line, item.to_owned(), problem);
        }
        if model.cap == 0 {
            self.report(line, item.to_owned(), "cap must be at least 1, but is 0".into());
        }
        if model.size.0 == 0 {
            self.report(line, item.to_owned(), "size must be larger than zero".into());
        }
    }

    fn check_pinned_versions(&mut self, lines: &[usize]) {
        let mut pinned: HashMap<&str, u32> = HashMap::new();
        let mut conflicts = Vec::new();
        for (model, line) in self.document.models.iter().zip(lines) {
            if model.state != VersionState::Pinned {
                continue;
            }
            if let Some(other) = pinned.insert(&model.name, model.version) {
                conflicts.push((*line, model.name.clone(), other, model.version));
            }
        }
        for (line, name, first, second) in conflicts {
            let problem =
                format!("versions {first} and {second} are both pinned, but only one may be");
            self.report(line, format!("model \"{name}\""), problem);
        }
    }

    fn check_adapters(&mut self, lines: &[usize]) {
        let models = &self.document.models;
        let mut names: HashSet<String> = models.iter().map(|model| model.name.clone()).collect();
        for (adapter, line) in self.document.adapters.iter().zip(lines) {
            let item = format!("adapter \"{}\"", adapter.name);
            self.check_name(*line, &item, &adapter.name, &mut names);
            self.check_class_reference(*line, &item, &adapter.class);
            if find_base(self.document, adapter).is_none() {
                let base = &adapter.base;
                let problem =
                    format!("base model \"{base}\" is not declared or has no pinned version");
                self.report(*line, item.clone(), problem);
            }
            if adapter.size.0 == 0 {
                self.report(*line, item, "size must be larger than zero".into());
            }
        }
    }

    fn check_upstreams(&mut self, lines: &ItemLines) {
        let mut names = HashSet::new();
        let mut addresses = HashSet::new();
        for (engine, line) in self.document.engines.iter().zip(&lines.engines) {
            let item = format!("engine \"{}\"", engine.name);
            self.check_name(*line, &item, &engine.name, &mut names);
            self.check_address(*line, &item, &engine.address, &mut addresses);
            let counts = [
                ("accelerators", u64::from(engine.accelerators)),
                ("memory", engine.memory.0),
                ("slots", u64::from(engine.slots)),
            ];
            for (name, value) in counts {
                if value == 0 {
                    let problem = format!("{name} must be at least 1, but is 0");
                    self.report(*line, item.clone(), problem);
                }
            }
        }
        for (service, line) in self.document.services.iter().zip(&lines.services) {
            for instance in &service.instances {
                let item = format!("instance \"{}\"", instance.name);
                self.check_name(*line, &item, &instance.name, &mut names);
                self.check_address(*line, &item, &instance.address, &mut addresses);
            }
        }
    }

    fn check_address(&mut self, line: usize, item: &str, text: &str, used: &mut HashSet<String>) {
        if text.parse::<SocketAddr>().is_err() {
            let problem = format!("address \"{text}\" is not an IP address with a port");
            self.report(line, item.to_owned(), problem);
        } else if !used.insert(text.to_owned()) {
            self.report(line, item.to_owned(), format!("address {text} is used twice"));
        }
    }

    fn check_services(&mut self, lines: &[usize]) {
        let mut names = HashSet::new();
        for (service, line) in self.document.services.iter().zip(lines) {
            let item = format!("service \"{}\"", service.name);
            self.check_name(*line, &item, &service.name, &mut names);
            self.check_class_reference(*line, &item, &service.class);
            if service.instances.is_empty() && service.pool.is_none() {
                self.report(*line, item.clone(), "has neither an instance nor a pool".into());
            }
            for prefix in &service.idempotent {
                if !prefix.starts_with('/') {
                    let problem = format!("idempotent path \"{prefix}\" must start with /");
                    self.report(*line, item.clone(), problem);
                }
            }
        }
    }
}

impl DocumentCheck<'_> {
    fn check_routes(&mut self, lines: &[usize]) {
        let mut names = HashSet::new();
        let mut host_prefixes = HashSet::new();
        for (route, line) in self.document.routes.iter().zip(lines) {
            let item = format!("route \"{}\"", route.name);
            self.check_name(*line, &item, &route.name, &mut names);
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                let problem = format!("prefix \"{}\" must start and end with /", route.prefix);
                self.report(*line, item.clone(), problem);
            }
            if !host_prefixes.insert((&route.host, &route.prefix)) {
                let (host, prefix) = (&route.host, &route.prefix);
                let problem =
                    format!("another route has the same host \"{host}\" and prefix \"{prefix}\"");
                self.report(*line, item.clone(), problem);
            }
            if route.timeout.0.is_zero() {
                self.report(*line, item.clone(), "timeout must be longer than zero".into());
            }
            if route.attempts == 0 {
                self.report(*line, item.clone(), "attempts must be at least 1".into());
            }
            self.check_destinations(*line, &item, route);
        }
    }

    fn check_accounts(&mut self, lines: &[usize]) {
        let mut names = HashSet::new();
        let mut owners = HashMap::new();
        for (account, line) in self.document.accounts.iter().zip(lines) {
            let item = format!("account \"{}\"", account.name);
            self.check_name(*line, &item, &account.name, &mut names);
            for (index, key) in account.keys.iter().enumerate() {
                if let Some(owner) = owners.insert(*key, &account.name) {
                    let problem = format!("key #{} also belongs to account \"{owner}\"", index + 1);
                    self.report(*line, item.clone(), problem);
                }
            }
        }
    }

    fn check_destinations(&mut self, line: usize, item: &str, route: &RouteEntry) {
        if route.to.iter().all(|share| share.weight == 0) {
            self.report(line, item.to_owned(), "to: no destination has a weight above zero".into());
        }
        for share in &route.to {
            if !self.document.services.iter().any(|service| service.name == share.service) {
                let problem = format!("service \"{}\" is not declared", share.service);
                self.report(line, item.to_owned(), problem);
            }
        }
    }
}

/// Finds the model version that an adapter is based on. A base without `@version` means the pinned
/// version.
pub fn find_base<'d>(
    document: &'d InventoryDocument,
    adapter: &AdapterEntry,
) -> Option<&'d ModelEntry> {
    let matches = |model: &&ModelEntry| match adapter.base.split_once('@') {
        Some((name, version)) => model.name == name && model.version.to_string() == version,
        None => model.name == adapter.base && model.state == VersionState::Pinned,
    };
    document.models.iter().find(matches)
}
