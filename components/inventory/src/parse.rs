//! Parses TOML text into typed items and continues after a fault, so that one run reports all.

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;
use toml::de::ValueDeserializer;

use crate::check::check_document;
use crate::document::InventoryDocument;
use crate::fault::FileFault;
use crate::fault::line_of;

/// Line at which each item of a document starts, counted from 1, in the order of the document.
#[derive(Debug, Clone, Default)]
pub struct ItemLines {
    /// Start line of each `[[class]]`.
    pub classes: Vec<usize>,
    /// Start line of each `[[model]]`.
    pub models: Vec<usize>,
    /// Start line of each `[[adapter]]`.
    pub adapters: Vec<usize>,
    /// Start line of each `[[engine]]`.
    pub engines: Vec<usize>,
    /// Start line of each `[[service]]`.
    pub services: Vec<usize>,
    /// Start line of each `[[route]]`.
    pub routes: Vec<usize>,
    /// Start line of each `[[account]]`.
    pub accounts: Vec<usize>,
}

/// Parses and checks an inventory; `file` is the name used in faults.
///
/// # Errors
/// Returns the first fault of each item, in the order in which sections are read. Items are checked
/// with [`check_document`] only if all of them parse.
pub fn parse_inventory(file: &str, text: &str) -> Result<InventoryDocument, Vec<FileFault>> {
    let mut reader = SectionReader { file, text, faults: Vec::new() };
    let Some(mut root) = reader.parse_root() else {
        return Err(reader.faults);
    };
    let mut lines = ItemLines::default();
    let rules = reader.optional_section(&mut root, "rules").unwrap_or_default();
    let document = InventoryDocument {
        rules,
        classes: reader.item_list(&mut root, "class", &mut lines.classes),
        models: reader.item_list(&mut root, "model", &mut lines.models),
        adapters: reader.item_list(&mut root, "adapter", &mut lines.adapters),
        engines: reader.item_list(&mut root, "engine", &mut lines.engines),
        services: reader.item_list(&mut root, "service", &mut lines.services),
        routes: reader.item_list(&mut root, "route", &mut lines.routes),
        accounts: reader.item_list(&mut root, "account", &mut lines.accounts),
    };
    reader.report_unknown_sections(&root);
    let mut faults = reader.faults;
    // Checks between items would report false faults for items that failed to parse.
    if faults.is_empty() {
        faults = check_document(file, &document, &lines);
    }
    if faults.is_empty() { Ok(document) } else { Err(faults) }
}

/// Parses a file of sections, such as a host's settings. `build` reads the sections it knows; any
/// other section is a fault.
///
/// # Errors
/// Returns all unknown or missing sections and the first fault of each section.
pub fn parse_sections<T, F>(file: &str, text: &str, build: F) -> Result<T, Vec<FileFault>>
where
    F: FnOnce(&mut SectionReader<'_>, &mut DeTable<'_>) -> Option<T>,
{
    let mut reader = SectionReader { file, text, faults: Vec::new() };
    let Some(mut root) = reader.parse_root() else {
        return Err(reader.faults);
    };
    let built = build(&mut reader, &mut root);
    reader.report_unknown_sections(&root);
    match built {
        Some(value) if reader.faults.is_empty() => Ok(value),
        _ => Err(reader.faults),
    }
}

/// Removes sections from a TOML document one by one and collects the faults. The sections that are
/// left at the end are unknown.
#[derive(Debug)]
pub struct SectionReader<'t> {
    file: &'t str,
    text: &'t str,
    faults: Vec<FileFault>,
}

impl<'t> SectionReader<'t> {
    fn parse_root(&mut self) -> Option<DeTable<'t>> {
        match DeTable::parse(self.text) {
            Ok(root) => Some(root.into_inner()),
            Err(error) => {
                let offset = error.span().map_or(0, |span| span.start);
                self.report(offset, "file", error.message());
                None
            }
        }
    }

    /// Removes and parses the table `name`. Returns `None` if it is missing or has a fault.
    pub fn optional_section<T: DeserializeOwned>(
        &mut self,
        root: &mut DeTable<'_>,
        name: &str,
    ) -> Option<T> {
        let (_, value) = root.remove_entry(name)?;
        self.parse_value(value, &format!("[{name}]"))
    }

    /// Like [`Self::optional_section`], but reports a fault if the table is missing.
    pub fn required_section<T: DeserializeOwned>(
        &mut self,
        root: &mut DeTable<'_>,
        name: &str,
    ) -> Option<T> {
        if !root.contains_key(name) {
            self.report(0, &format!("[{name}]"), "section is missing");
            return None;
        }
        self.optional_section(root, name)
    }

    fn item_list<T: DeserializeOwned>(
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
            if let Some(item) = self.parse_value(item, &label) {
                lines.push(line);
                parsed.push(item);
            }
        }
        parsed
    }

    fn parse_value<T: DeserializeOwned>(
        &mut self,
        value: Spanned<DeValue<'_>>,
        label: &str,
    ) -> Option<T> {
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

    fn report_unknown_sections(&mut self, root: &DeTable<'_>) {
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

/// Names an item in faults: by its `name`, or by its position if it has none.
fn item_label(kind: &str, index: usize, value: &DeValue<'_>) -> String {
    let name = value.get("name").and_then(|name| name.get_ref().as_str());
    match name {
        Some(name) => format!("{kind} \"{name}\""),
        None => format!("{kind} #{}", index + 1),
    }
}
