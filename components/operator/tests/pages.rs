//! Every settings key, inventory key and metric is listed on its documentation page.

use std::path::Path;

use wagtailledge_entry::metrics::METRIC_NAMES;

fn read(path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    std::fs::read_to_string(root.join(path)).unwrap()
}

/// Returns the TOML keys of the public fields in a source file, with serde renames applied.
fn fields(source: &str) -> Vec<String> {
    let mut names = Vec::new();
    let mut renamed: Option<String> = None;
    for line in source.lines().map(str::trim) {
        if let Some((_, rest)) = line.split_once("rename = \"") {
            renamed = rest.split('"').next().map(str::to_owned);
        }
        let field = line.strip_prefix("pub ").and_then(|rest| rest.split_once(": "));
        if let Some((name, _)) = field.filter(|(name, _)| !name.contains([' ', '('])) {
            names.push(renamed.take().unwrap_or_else(|| name.to_owned()));
        }
    }
    names
}

fn assert_listed(source: &str, page: &str, min_fields: usize) {
    let text = read(page);
    let names = fields(&read(source));
    assert!(names.len() >= min_fields, "{source}: found only {names:?}");
    for name in names {
        let listed = text.contains(&format!("`{name}`"))
            || text.contains(&format!("[{name}]"))
            || text.contains(&format!(".{name}]"));
        assert!(listed, "{page} does not list {name}");
    }
}

#[test]
fn can_find_every_settings_key_on_its_page() {
    assert_listed("components/settings/src/file.rs", "docs/SETTINGS.md", 25);
}

#[test]
fn can_find_every_inventory_key_on_its_page() {
    assert_listed("components/inventory/src/document.rs", "docs/INVENTORY.md", 30);
}

#[test]
fn can_find_every_metric_on_its_page_and_in_the_code() {
    let page = read("docs/METRICS.md");
    let sources = ["dispatch.rs", "effects.rs", "gate.rs", "shell.rs", "log_records.rs"];
    let code: String =
        sources.iter().map(|file| read(&format!("components/entry/src/{file}"))).collect();
    for name in METRIC_NAMES {
        assert!(page.contains(&format!("`{name}`")), "docs/METRICS.md does not list {name}");
        let kind = name.strip_prefix("decision.");
        let used = kind.map_or_else(|| code.contains(name), |kind| code.contains(kind));
        assert!(used, "{name} is not sent anywhere");
    }
}
