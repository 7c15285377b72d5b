//! Invalid settings: each fault names the section, the key and what is wrong.

use wagtailledge_settings::file::parse_settings;

/// Valid settings that each case breaks in one place.
const GOOD: &str = r#"
[host]
name = "east-1"
zone = "east"
[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:7070"
[platform]
key_value = "http://127.0.0.1:2379"
host_list = "http://127.0.0.1:2380/hosts"
[security]
shared_secret = "0123456789abcdef"
[limits]
body = "1MiB"
"#;

/// Text to replace, its replacement, the expected item and a part of the expected problem.
const CASES: [(&str, &str, &str, &str); 10] = [
    ("[host]", "[hosts]", "[host]", "section is missing"),
    ("[limits]", "[limit]", "limit", "unknown section"),
    ("name = \"east-1\"", "name = \"\"", "[host] name", "must not be empty"),
    (
        "[limits]",
        "[routing]\nshared_failures = 1\n[limits]",
        "[routing]",
        "true, false or \"auto\"",
    ),
    ("callers =", "caller =", "[listen]", "unknown field"),
    ("127.0.0.1:8080", "localhost:8080", "[listen]", "invalid socket address"),
    ("http://127.0.0.1:2379", "127.0.0.1:2379", "[platform] key_value", "must be an http:// URL"),
    ("0123456789abcdef", "short", "[security] shared_secret", "at least 16 bytes, but has 5"),
    ("\"1MiB\"", "\"1MB\"", "[limits]", "one of KiB, MiB, GiB, B"),
    ("\"1MiB\"", "\"0B\"", "[limits] body", "larger than zero"),
];

#[test]
fn can_accept_good_settings() {
    assert_eq!(parse_settings("good.toml", GOOD).unwrap().host.zone, "east");
}

#[test]
fn can_name_each_fault() {
    for (old, new, item, problem) in CASES {
        assert!(GOOD.contains(old), "{old}");
        let faults = parse_settings("broken.toml", &GOOD.replacen(old, new, 1)).unwrap_err();
        let named =
            faults.iter().any(|fault| fault.item == item && fault.problem.contains(problem));
        assert!(named, "{new}: expected {item}: {problem}, got {faults:?}");
    }
}

#[test]
fn can_keep_the_secret_out_of_debug_output() {
    let settings = parse_settings("good.toml", GOOD).unwrap();
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
}

#[test]
fn can_name_missing_and_empty_bounds_of_changes() {
    let store = GOOD
        .replace("callers", "readiness = \"127.0.0.1:8081\"\ncallers")
        .replace("[platform]", "[platform]\nprotocol = \"store\"\naddress = \"127.0.0.1:9000\"");
    let with = |bounds: &str| {
        let text = store.replace("[platform]", &format!("[platform]\nchange_bounds = {bounds}"));
        parse_settings("store.toml", &text)
    };
    assert_eq!(with("[\"4s\", \"3s\"]").unwrap().platform.change_bound().as_secs(), 3);
    for bounds in ["[]", "[\"2s\", \"0s\"]"] {
        let faults = with(bounds).unwrap_err();
        assert!(faults.iter().any(|fault| fault.item == "[platform] change_bounds"), "{faults:?}");
    }
}
