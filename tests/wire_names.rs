//! Protocol names of the users' platform may appear only in the platform adapter and its stand-ins.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Folders whose sources may contain the names.
const ALLOWED: [&str; 3] = ["platform", "components/standins/src/fleet", "tests"];

/// Headers, paths and store keys; compared without regard to case.
const NAMES: [&str; 21] = [
    "x-tenant",
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

/// Fields of JSON bodies; compared with regard to case.
const FIELDS: [&str; 26] = [
    "apiKeys",
    "ratePerS",
    "uncachedTokens",
    "token_stream",
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

/// Appends the paths of all Rust sources below `folder` to `found`.
fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    let Ok(entries) = fs::read_dir(folder) else {
        return;
    };
    for entry in entries.flatten() {
        let path = entry.path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn can_confine_protocol_names_to_the_platform_adapter() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = Vec::new();
    for folder in ["src", "components", "examples", "platform"] {
        collect_sources(&root.join(folder), &mut found);
    }
    assert!(found.len() > 100, "only {} source files were found", found.len());
    let mut violations = Vec::new();
    let mut allowed_uses = 0;
    for path in found {
        let relative = path.strip_prefix(root).expect("every path is below the root");
        let allowed = ALLOWED.iter().any(|folder| relative.starts_with(folder));
        let text = fs::read_to_string(&path).expect("a source file is UTF-8");
        let lower = text.to_lowercase();
        let names = NAMES.iter().filter(|name| lower.contains(**name));
        for name in names.chain(FIELDS.iter().filter(|field| text.contains(**field))) {
            if allowed {
                allowed_uses += 1;
            } else {
                violations.push(format!("{}: {name}", relative.display()));
            }
        }
    }
    assert!(
        allowed_uses > 20,
        "only {allowed_uses} uses of the names in the allowed folders: the lists are out of date"
    );
    assert!(
        violations.is_empty(),
        "protocol names outside the platform adapter:\n{}",
        violations.join("\n")
    );
}

#[test]
fn can_keep_the_platform_adapter_small() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let lines = |folders: &[&str]| -> usize {
        let mut found = Vec::new();
        for folder in folders {
            collect_sources(&root.join(folder), &mut found);
        }
        let is_product = |path: &&PathBuf| {
            let text = path.to_string_lossy();
            !["/tests/", "/benches/", "/standins/", "/fuzzer/"]
                .iter()
                .any(|part| text.contains(part))
        };
        found
            .iter()
            .filter(is_product)
            .map(|path| fs::read_to_string(path).map_or(0, |text| text.lines().count()))
            .sum()
    };
    let (adapter, product) = (lines(&["platform"]), lines(&["src", "components"]));
    // The users require that the adapter is less than a tenth of the product.
    assert!(adapter * 10 < product, "{adapter} lines of adapter, {product} of product");
}
