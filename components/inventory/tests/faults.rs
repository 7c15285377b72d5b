//! Invalid inventories: every fault is reported at once, each on one line that names the item.

use wagtailledge_inventory::parse::parse_inventory;

/// A valid inventory that each case breaks in one place.
const GOOD: &str = r#"
[rules]
keep_alive = "5m"

[[class]]
name = "alarm"
rank = 0
deadline = "10s"

[[model]]
name = "triage"
size = "30GiB"
class = "alarm"
floor = 1
cap = 2

[[adapter]]
name = "triage-georgia"
base = "triage"
size = "200MiB"
class = "alarm"

[[engine]]
name = "llm-1"
zone = "east"
address = "127.0.0.1:9001"
accelerators = 2
memory = "80GiB"
checks_tokens = true

[[service]]
name = "control"
class = "alarm"
idempotent = ["/status"]

[[service.instance]]
name = "app-1"
zone = "east"
address = "127.0.0.1:9002"
"#;

/// Text to replace, its replacement, the expected item and a part of the expected problem.
const CASES: [(&str, &str, &str, &str); 26] = [
    ("keep_alive", "keep_alife", "[rules]", "unknown field"),
    (
        "\"5m\"",
        "\"5min\"",
        "[rules]",
        "\"5min\" is not a number followed by a unit, one of ms, s, m, h, d",
    ),
    ("\"5m\"", "300", "[rules]", "invalid type"),
    ("[rules]", "[rulez]", "rulez", "unknown section"),
    ("rank = 0", "rank = 300", "class \"alarm\"", "300"),
    ("rank = 0\n", "", "class \"alarm\"", "missing field `rank`"),
    ("\"10s\"", "\"0s\"", "class \"alarm\"", "longer than zero"),
    ("name = \"alarm\"", "name = \"\"", "class \"\"", "name must be"),
    ("\"30GiB\"", "\"30GB\"", "model \"triage\"", "one of KiB, MiB, GiB, B"),
    (
        "\"30GiB\"",
        "\"90GiB\"",
        "model \"triage@1\"",
        "size 90GiB is larger than any engine's memory, at most 80GiB",
    ),
    ("\"30GiB\"", "\"0B\"", "model \"triage@1\"", "larger than zero"),
    ("cap = 2", "cap = 0", "model \"triage@1\"", "cap 0 is below floor 1"),
    ("floor = 1", "floor = -1", "model \"triage\"", "invalid value"),
    ("name = \"triage\"", "name = \"tri@ge\"", "model \"tri@ge@1\"", "must not contain @"),
    (
        "base = \"triage\"",
        "base = \"triaje\"",
        "adapter \"triage-georgia\"",
        "\"triaje\" is not declared or has no pinned version",
    ),
    (
        "name = \"triage-georgia\"",
        "name = \"triage\"",
        "adapter \"triage\"",
        "name is used twice: \"triage\"",
    ),
    ("\"200MiB\"", "\"0MiB\"", "adapter \"triage-georgia\"", "larger than zero"),
    ("127.0.0.1:9001", "llm-1.example:9001", "engine \"llm-1\"", "not an IP address with a port"),
    ("127.0.0.1:9002", "127.0.0.1:9001", "instance \"app-1\"", "used twice"),
    (
        "accelerators = 2",
        "accelerators = 0",
        "engine \"llm-1\"",
        "accelerators must be at least 1, but is 0",
    ),
    ("checks_tokens = true", "checks_tokens = \"yes\"", "engine \"llm-1\"", "invalid type"),
    ("name = \"app-1\"", "name = \"llm-1\"", "instance \"llm-1\"", "name is used twice: \"llm-1\""),
    ("[\"/status\"]", "[\"status\"]", "service \"control\"", "must start with /"),
    ("[[adapter]]", "[adapter]", "adapter", "list of [[adapter]] items"),
    ("zone = \"east\"\naddress = \"127.0.0.1:9001\"", "zone = ", "file", "string"),
    (
        "[rules]\n",
        "[rules]\nstore_loads_per_second = 0\n",
        "[rules]",
        "store_loads_per_second must be at least 1, but is 0",
    ),
];

#[test]
fn can_accept_a_good_inventory() {
    let document = parse_inventory("good.toml", GOOD).unwrap();
    assert_eq!(document.models.len(), 1);
}

#[test]
fn can_name_each_fault() {
    for (old, new, item, problem) in CASES {
        assert!(GOOD.contains(old), "{old}");
        let text = GOOD.replacen(old, new, 1);
        let faults = parse_inventory("broken.toml", &text).unwrap_err();
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        let named =
            faults.iter().any(|fault| fault.item == item && fault.problem.contains(problem));
        assert!(named, "{new}: expected {item}: {problem}, got {lines:?}");
        assert!(lines.iter().all(|line| !line.contains('\n')), "{lines:?}");
    }
}

#[test]
fn can_give_the_line_of_a_fault() {
    let text = GOOD.replace("\"200MiB\"", "\"200MB\"");
    let faults = parse_inventory("broken.toml", &text).unwrap_err();
    let line = text.lines().position(|line| line.contains("200MB")).unwrap() + 1;
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].line, line);
}

#[test]
fn can_report_all_faults_at_once() {
    let text = GOOD
        .replace("\"30GiB\"", "\"30GB\"")
        .replace("accelerators = 2", "accelerators = \"two\"")
        .replace("rank = 0", "rang = 0");
    assert_eq!(parse_inventory("broken.toml", &text).unwrap_err().len(), 3);
}
