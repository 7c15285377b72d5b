//! Names on the users' platform's wire stay in the adapter and in the stand-ins that speak to it.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Folders whose sources may know the names.
const ALLOWED: [&str; 3] = ["platform", "components/standins/src/fleet", "tests"];

/// Headers, paths and keys; compared in any case.
const NAMES: [&str; 20] = [
    "x-server-stamp",
    "x-expect-instance",
    "x-not-executed",
    "x-server-load",
    "x-instance-id",
    "x-request-priority",
    "x-token-count",
    "x-prompt-prefix",
    "x-expect-version",
    "x-weight-versions",
    "x-pin-ms",
    "x-kv-backup",
    "kv-from",
    "kv-fetch",
    "/-/order",
    "/-/report",
    "/-/readiness",
    "/-/kv-",
    "op/config",
    "servers/",
];

/// Fields of bodies; compared as they are written.
const FIELDS: [&str; 22] = [
    "fencingToken",
    "adapterSlots",
    "kvCacheTokens",
    "kvBytes",
    "weightsMb",
    "adapterMb",
    "hostMb",
    "diskMb",
    "loadsPerS",
    "gapTargetMs",
    "targetLatencyMs",
    "routeKind",
    "timeoutMs",
    "maxBodyBytes",
    "headerTimeoutMs",
    "idleTimeoutMs",
    "coldRemainingMs",
    "remainingMs",
    "waitMs",
    "ttlMs",
    "hasMore",
    "inMemory",
];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    let Ok(entries) = fs::read_dir(folder) else {
        return;
    };
    for entry in entries.flatten() {
        let path = entry.path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn can_keep_the_wire_names_in_the_adapter() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = Vec::new();
    for folder in ["src", "components", "examples", "platform"] {
        sources(&root.join(folder), &mut found);
    }
    assert!(found.len() > 100, "only {} sources were looked at", found.len());
    let mut hits = Vec::new();
    let mut known = 0;
    for path in found {
        let inside = path.strip_prefix(root).expect("it was found below the root");
        let allowed = ALLOWED.iter().any(|folder| inside.starts_with(folder));
        let text = fs::read_to_string(&path).expect("a source is text");
        let lower = text.to_lowercase();
        let names = NAMES.iter().filter(|name| lower.contains(**name));
        for name in names.chain(FIELDS.iter().filter(|field| text.contains(**field))) {
            if allowed {
                known += 1;
            } else {
                hits.push(format!("{}: {name}", inside.display()));
            }
        }
    }
    assert!(known > 20, "the adapter itself names only {known}: the list is out of date");
    assert!(hits.is_empty(), "names of the wire outside the adapter:\n{}", hits.join("\n"));
}

#[test]
fn can_keep_the_adapter_small() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let lines = |folders: &[&str]| -> usize {
        let mut found = Vec::new();
        for folder in folders {
            sources(&root.join(folder), &mut found);
        }
        let product = |path: &&PathBuf| {
            let text = path.to_string_lossy();
            !["/tests/", "/benches/", "/standins/", "/fuzzer/"]
                .iter()
                .any(|part| text.contains(part))
        };
        found
            .iter()
            .filter(product)
            .map(|path| fs::read_to_string(path).map_or(0, |text| text.lines().count()))
            .sum()
    };
    let (adapter, product) = (lines(&["platform"]), lines(&["src", "components"]));
    // The users ask for under a tenth of the product.
    assert!(adapter * 10 < product, "{adapter} lines of {product}");
}
