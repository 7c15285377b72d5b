//! The command line: exit codes, and where messages go.

use std::path::Path;
use std::process::Command;
use std::process::Output;

fn run(arguments: &[&str]) -> Output {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut command = Command::new(env!("CARGO_BIN_EXE_wagtailledge"));
    command.current_dir(root).args(arguments).output().unwrap()
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

#[test]
fn can_help_and_tell_its_version() {
    for arguments in [&["--help"][..], &["--version"], &["inventory", "apply", "--help"]] {
        let output = run(arguments);
        assert_eq!(code(&output), 0, "{arguments:?}");
        assert!(!output.stdout.is_empty());
    }
}

#[test]
fn can_tell_wrong_usage() {
    for arguments in [&["sreve"][..], &["serve"], &["inventory"], &["status", "--jsom"]] {
        let output = run(arguments);
        assert_eq!(code(&output), 2, "{arguments:?}");
        assert!(!output.stderr.is_empty());
    }
}

#[test]
fn can_check_what_ships() {
    let output = run(&["check", "deployments/hollis-creek", "deployments/tesfaye"]);
    assert_eq!(code(&output), 0);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("45 models, 65 adapters, 12 engines"), "{text}");
}

#[test]
fn can_fail_with_the_file_and_the_item() {
    let output = run(&["check", "--settings", "Cargo.toml", "no-such-file"]);
    assert_eq!(code(&output), 1);
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("Cargo.toml:1: [host]: section is missing"), "{text}");
    assert!(text.contains("no-such-file"), "{text}");
}

/// Lines of two hosts, out of order, with another request between them.
const LOGS: &str = "\
[2026-09-07T19:32:16Z INFO  decision] refuse llm/m1@1 -> Unknown kind=refuse host=east-1 request=9a87 subject=llm/m1@1 choice=Unknown reason=upstream failed alternatives=0
[2026-09-07T19:32:12Z INFO  decision] route llm/m1@1 -> i-6e kind=route host=east-1 request=9a87 subject=llm/m1@1 choice=i-6e reason=least expected load alternatives=2
[2026-09-07T19:32:13Z INFO  decision] route llm/m1@1 -> i-6e kind=route host=east-2 request=9a88 subject=llm/m1@1 choice=i-6e reason=least expected load alternatives=2
[2026-09-07T19:32:15Z INFO  attempt] 9a87 at i-6e: broken host=east-1 request=9a87 upstream=i-6e attempt=1 outcome=broken status=200 first_ms=11 parts=166 pause_ms=85 took_ms=3662
[2026-09-07T19:32:19Z INFO  decision] abandon llm/m1@1 -> after 3199 ms kind=abandon host=east-2 request=9a89 subject=llm/m1@1 choice=after 3199 ms reason=waited for an upstream alternatives=0
";

fn explain(request: &str) -> Output {
    let folder = std::env::temp_dir().join(format!("explain-{}-{request}", std::process::id()));
    std::fs::write(&folder, LOGS).unwrap();
    let output = run(&["explain", request, folder.to_str().unwrap()]);
    std::fs::remove_file(&folder).unwrap();
    output
}

#[test]
fn can_explain_what_became_of_a_request() {
    let output = explain("9a87");
    assert_eq!(code(&output), 0);
    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4, "{text}");
    assert!(lines[0].contains("sent to i-6e for llm/m1@1"), "{text}");
    assert!(
        lines[1].contains("attempt 1 at i-6e: broken, status 200, 166 parts, 3662 ms"),
        "{text}"
    );
    assert_eq!(lines[3], "=> failed, it may have run: upstream failed");
    let left = String::from_utf8(explain("9a89").stdout).unwrap();
    assert!(
        left.ends_with("=> its caller left after 3199 ms: it waited for an upstream\n"),
        "{left}"
    );
    let open = String::from_utf8(explain("9a88").stdout).unwrap();
    assert!(open.ends_with("its host died, or has not ended it yet\n"), "{open}");
    assert_eq!(code(&explain("none")), 1);
}
