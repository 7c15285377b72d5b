//! `check`: reports all faults of a settings file and of inventories.

use std::path::Path;
use std::path::PathBuf;

use wagtailledge_entry::rules::timing_rules;
use wagtailledge_operator::read_inventory;

use super::lines;
use super::load_settings;

/// Checks the files and prints one line per valid file. Returns all faults of the others.
pub fn run(settings: Option<&Path>, inventories: &[PathBuf]) -> Result<(), Vec<String>> {
    let mut faults = Vec::new();
    if let Some(path) = settings {
        match load_settings(path) {
            Ok(settings) => match timing_rules(&settings.timing).check() {
                Ok(()) => println!("{}: valid", path.display()),
                Err(found) => {
                    let file = path.display();
                    faults.extend(found.iter().map(|fault| format!("{file}:0: [timing]: {fault}")));
                }
            },
            Err(found) => faults.extend(found),
        }
    }
    for path in inventories {
        match read_inventory(path) {
            Ok(document) => println!(
                "{}: valid: {} models, {} adapters, {} engines, {} services",
                path.display(),
                document.models.len(),
                document.adapters.len(),
                document.engines.len(),
                document.services.len()
            ),
            Err(found) => faults.extend(lines(found)),
        }
    }
    if settings.is_none() && inventories.is_empty() {
        faults.push(
            "nothing to check: give --settings FILE, an inventory file or a deployment folder"
                .to_owned(),
        );
    }
    if faults.is_empty() { Ok(()) } else { Err(faults) }
}
