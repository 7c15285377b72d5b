//! Reads inventory files and deployment folders.

use std::path::Path;
use std::path::PathBuf;

use wagtailledge_inventory::FileFault;
use wagtailledge_inventory::InventoryDocument;
use wagtailledge_inventory::parse::parse_inventory;

/// File name of the inventory in a deployment folder.
pub const INVENTORY_FILE: &str = "inventory.toml";

/// Reads and checks the inventory at `path`, which is a file or a deployment folder.
///
/// # Errors
/// Returns all faults, each with its file, line and item.
pub fn read_inventory(path: &Path) -> Result<InventoryDocument, Vec<FileFault>> {
    let path: PathBuf = if path.is_dir() { path.join(INVENTORY_FILE) } else { path.to_owned() };
    let file = path.display().to_string();
    let text = std::fs::read_to_string(&path).map_err(|error| {
        let problem = format!("cannot be read: {error}");
        vec![FileFault { file: file.clone(), line: 0, item: "file".to_owned(), problem }]
    })?;
    parse_inventory(&file, &text)
}
