//! Inventory files and folders.

use std::path::Path;
use std::path::PathBuf;

use wagtailledge_inventory::FileFault;
use wagtailledge_inventory::InventoryDocument;
use wagtailledge_inventory::parse::parse_inventory;

/// Name of the inventory inside a deployment's folder.
pub const INVENTORY_FILE: &str = "inventory.toml";

/// Reads and checks an inventory: a file, or the one in a deployment's folder.
///
/// # Errors
/// Returns every fault, each with file, line and item.
pub fn read_inventory(path: &Path) -> Result<InventoryDocument, Vec<FileFault>> {
    let path: PathBuf = if path.is_dir() { path.join(INVENTORY_FILE) } else { path.to_owned() };
    let file = path.display().to_string();
    let text = std::fs::read_to_string(&path).map_err(|error| {
        let problem = error.to_string();
        vec![FileFault { file: file.clone(), line: 0, item: "file".to_owned(), problem }]
    })?;
    parse_inventory(&file, &text)
}
