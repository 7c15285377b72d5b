//! TOML text to typed items; goes on after a fault so that all are reported at once.

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;
use toml::de::ValueDeserializer;

use crate::check::check_document;
use crate::document::InventoryDocument;
use crate::fault::FileFault;
use crate::fault::line_of;

/// Lines at which the items of a document start, in the order of its lists.
#[derive(Debug, Clone, Default)]
pub struct ItemLines {
    /// One entry per `[[class]]`.
    pub classes: Vec<usize>,
    /// One entry per `[[model]]`.
    pub models: Vec<usize>,
    /// One entry per `[[adapter]]`.
    pub adapters: Vec<usize>,
    /// One entry per `[[engine]]`.
    pub engines: Vec<usize>,
    /// One entry per `[[service]]`.
    pub services: Vec<usize>,
    /// One entry per `[[route]]`.
    pub routes: Vec<usize>,
}

/// Parses and checks an inventory.
///
/// # Errors
/// Returns every fault found, in the order of the file's sections.
pub fn parse_inventory(file: &str, text: &str) -> Result<InventoryDocument, Vec<FileFault>> {
    let mut reader = SectionReader { file, text, faults: Vec::new() };
    let Some(mut root) = reader.root() else {
        return Err(reader.faults);
    };
    let mut lines = ItemLines::default();
    let rules = reader.table(&mut root, "rules").unwrap_or_default();
    let document = InventoryDocument {
        rules,
        classes: reader.list(&mut root, "class", &mut lines.classes),
        models: reader.list(&mut root, "model", &mut lines.models),
        adapters: reader.list(&mut root, "adapter", &mut lines.adapters),
        engines: reader.list(&mut root, "engine", &mut lines.engines),
        services: reader.list(&mut root, "service", &mut lines.services),
        routes: reader.list(&mut root, "route", &mut lines.routes),
    };
    reader.reject_rest(&root);
    let mut faults = reader.faults;
    // Rules between items say little while items are missing.
    if faults.is_empty() {
        faults = check_document(file, &document, &lines);
    }
    if faults.is_empty() { Ok(document) } else { Err(faults) }
}

/// Parses one table of typed keys, such as a host's settings.
///
/// # Errors
/// Returns the faults found: all unknown or missing sections, and the first of each section.
pub fn parse_sections<T, F>(file: &str, text: &str, build: F) -> Result<T, Vec<FileFault>>
where
    F: FnOnce(&mut SectionReader<'_>, &mut DeTable<'_>) -> Option<T>,
{
    let mut reader = SectionReader { file, text, faults: Vec::new() };
    let Some(mut root) = reader.root() else {
        return Err(reader.faults);
    };
    let built = build(&mut reader, &mut root);
    reader.reject_rest(&root);
    match built {
        Some(value) if reader.faults.is_empty() => Ok(value),
        _ => Err(reader.faults),
    }
}

/// Takes sections out of a TOML document one by one and collects the faults.
#[derive(Debug)]
pub struct SectionReader<'t> {
    file: &'t str,
    text: &'t str,
    faults: Vec<FileFault>,
}

impl<'t> SectionReader<'t> {
    fn root(&mut self) -> Option<DeTable<'t>> {
        match DeTable::parse(self.text) {
            Ok(root) => Some(root.into_inner()),
            Err(error) => {
                let offset = error.span().map_or(0, |span| span.start);
                self.report(offset, "file", error.message());
                None
            }
        }
    }

    /// Takes the table `name`; `None` when it is missing or has a fault.
    pub fn table<T: DeserializeOwned>(&mut self, root: &mut DeTable<'_>, name: &str) -> Option<T> {
        let (_, value) = root.remove_entry(name)?;
        self.item(value, &format!("[{name}]"))
    }

    /// Takes the table `name`; reports a fault when it is missing.
    pub fn required<T: DeserializeOwned>(
        &mut self,
        root: &mut DeTable<'_>,
        name: &str,
    ) -> Option<T> {
        if !root.contains_key(name) {
            self.report(0, &format!("[{name}]"), "section is missing");
            return None;
        }
        self.table(root, name)
    }

    fn list<T: DeserializeOwned>(
        &mut self,
        root: &mut DeTable<'_>,
        name: &str,
        lines: &mut Vec<usize>,
    ) -> Vec<T> {
        let Some((_, value)) = root.remove_entry(name) else {
            return Vec::new();
        };
        let offset = value.span().start;
        let DeValue::Array(items) = value.into_inner() else {
            self.report(offset, name, &format!("must be a list of [[{name}]] items"));
            return Vec::new();
        };
        let mut parsed = Vec::new();
        for (index, item) in items.into_iter().enumerate() {
            let label = item_label(name, index, item.get_ref());
            let line = line_of(self.text, item.span().start);
            if let Some(item) = self.item(item, &label) {
                lines.push(line);
                parsed.push(item);
            }
        }
        parsed
    }

    fn item<T: DeserializeOwned>(&mut self, value: Spanned<DeValue<'_>>, label: &str) -> Option<T> {
        let start = value.span().start;
        match T::deserialize(ValueDeserializer::from(value)) {
            Ok(item) => Some(item),
            Err(error) => {
                let offset = error.span().map_or(start, |span| span.start);
                self.report(offset, label, error.message());
                None
            }
        }
    }

    fn reject_rest(&mut self, root: &DeTable<'_>) {
        for (name, _) in root {
            let offset = name.span().start;
            self.report(offset, name.get_ref(), "unknown section");
        }
    }

    fn report(&mut self, offset: usize, item: &str, problem: &str) {
        self.faults.push(FileFault {
            file: self.file.to_owned(),
            line: line_of(self.text, offset),
            item: item.to_owned(),
            problem: problem.trim().replace('\n', " "),
        });
    }
}

fn item_label(kind: &str, index: usize, value: &DeValue<'_>) -> String {
    let name = value.get("name").and_then(|name| name.get_ref().as_str());
    match name {
        Some(name) => format!("{kind} \"{name}\""),
        None => format!("{kind} #{}", index + 1),
    }
}
