//! Exit codes and output streams of the command line.

use std::path::Path;
use std::process::Command;
use std::process::Output;

fn run_command(arguments: &[&str]) -> Output {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut command = Command::new(env!("CARGO_BIN_EXE_wagtailledge"));
    command.current_dir(root).args(arguments).output().unwrap()
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

#[test]
fn can_print_help_and_version() {
    for arguments in [&["--help"][..], &["--version"], &["inventory", "apply", "--help"]] {
        let output = run_command(arguments);
        assert_eq!(code(&output), 0, "{arguments:?}");
        assert!(!output.stdout.is_empty());
    }
}

#[test]
fn can_report_usage_errors() {
    for arguments in [&["sreve"][..], &["serve"], &["inventory"], &["status", "--jsom"]] {
        let output = run_command(arguments);
        assert_eq!(code(&output), 2, "{arguments:?}");
        assert!(!output.stderr.is_empty());
    }
}

#[test]
fn can_check_the_shipped_deployments() {
    let output = run_command(&["check", "deployments/hollis-creek", "deployments/tesfaye"]);
    assert_eq!(code(&output), 0);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("45 models, 65 adapters, 12 engines"), "{text}");
}

#[test]
fn can_name_the_file_and_item_of_a_fault() {
    let output = run_command(&["check", "--settings", "Cargo.toml", "no-such-file"]);
    assert_eq!(code(&output), 1);
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("Cargo.toml:1: [host]: section is missing"), "{text}");
    assert!(text.contains("no-such-file"), "{text}");
}

/// Log lines of two hosts and four requests, not sorted by time.
const LOGS: &str = "\
[2026-09-07T19:32:16Z INFO  decision] refuse llm/m1@1 -> Unknown kind=refuse host=east-1 request=9a87 subject=llm/m1@1 choice=Unknown reason=upstream failed alternatives=0
[2026-09-07T19:32:12Z INFO  decision] route llm/m1@1 -> i-6e kind=route host=east-1 request=9a87 subject=llm/m1@1 choice=i-6e reason=least expected load alternatives=2
[2026-09-07T19:32:13Z INFO  decision] route llm/m1@1 -> i-6e kind=route host=east-2 request=9a88 subject=llm/m1@1 choice=i-6e reason=least expected load alternatives=2
[2026-09-07T19:32:15Z INFO  attempt] 9a87 at i-6e: broken host=east-1 request=9a87 upstream=i-6e attempt=1 outcome=broken status=200 first_ms=11 parts=166 pause_ms=85 took_ms=3662
[2026-09-07T19:32:19Z INFO  decision] abandon llm/m1@1 -> after 3199 ms kind=abandon host=east-2 request=9a89 subject=llm/m1@1 choice=after 3199 ms reason=waited for an upstream alternatives=0
[2026-09-07T19:32:21Z INFO  attempt] 9a90 at i-6e: broken host=east-1 request=9a90 upstream=i-6e attempt=1 outcome=broken status=200 first_ms=100 parts=6 pause_ms=40 took_ms=225 framing=until close end=regular open_bytes=8 limit=0.5
";

/// Runs a subcommand on a file with `LOGS`; `name` tells the files of several tests apart.
fn read_logs(name: &str, arguments: &[&str]) -> Output {
    let file = std::env::temp_dir().join(format!("logs-{}-{name}", std::process::id()));
    std::fs::write(&file, LOGS).unwrap();
    let output = run_command(&[arguments, &[file.to_str().unwrap()]].concat());
    std::fs::remove_file(&file).unwrap();
    output
}

fn explain(request: &str) -> Output {
    read_logs(request, &["explain", request])
}

#[test]
fn can_explain_the_outcome_of_a_request() {
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
    let cut = String::from_utf8(explain("9a90").stdout).unwrap();
    let end = "broken, status 200, 6 parts, 225 ms (body framed by until close, end regular, 8 bytes into an event), limit 0.5 requests a second";
    assert!(cut.contains(end), "{cut}");
    let abandoned = String::from_utf8(explain("9a89").stdout).unwrap();
    assert!(
        abandoned.ends_with("=> its caller left after 3199 ms: it waited for an upstream\n"),
        "{abandoned}"
    );
    let open = String::from_utf8(explain("9a88").stdout).unwrap();
    assert!(open.ends_with("its host died, or has not ended it yet\n"), "{open}");
    assert_eq!(code(&explain("none")), 1);
}

#[test]
fn can_count_how_requests_ended() {
    let output = read_logs("causes", &["causes", "--every", "5"]);
    assert_eq!(code(&output), 0);
    let text = String::from_utf8(output.stdout).unwrap();
    let refused = "       1  failed: upstream failed, after an attempt: broken (llm/m1@1 1)\n";
    assert!(text.contains(refused), "{text}");
    let abandoned = "       1  caller left: it waited for an upstream (llm/m1@1 1)\n";
    assert!(text.contains(abandoned), "{text}");
    // One was only sent, and of the other only a broken attempt is logged.
    assert!(text.contains("       2  no end in these logs"), "{text}");
    let window = "19:32:15       0  1 caller left: it waited for an upstream; 1 failed: ";
    assert!(text.contains(window), "{text}");
}

#[test]
fn can_count_each_request_once_however_many_lines_end_it() {
    let lines = "\
[2026-09-07T19:32:12Z INFO  attempt] 1 at i: not run host=east-1 request=1 upstream=i attempt=1 outcome=not run status=503
[2026-09-07T19:32:13Z INFO  attempt] 1 at j: streamed host=east-1 request=1 upstream=j attempt=2 outcome=streamed status=200
[2026-09-07T19:32:11Z INFO  attempt] 2 at i: answered host=east-1 request=2 upstream=i attempt=1 outcome=answered status=500
[2026-09-07T19:32:12Z INFO  decision] refuse m -> NotRun kind=refuse host=east-1 request=3 subject=m choice=NotRun reason=deadline passed alternatives=0
";
    let file = std::env::temp_dir().join(format!("causes-{}", std::process::id()));
    std::fs::write(&file, lines).unwrap();
    let output = run_command(&["causes", file.to_str().unwrap()]);
    std::fs::remove_file(&file).unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    for line in ["       1  served\n", "       1  refused: deadline passed (m 1)\n"] {
        assert!(text.contains(line), "{text}");
    }
    assert!(text.contains("       1  upstream answered 500 ( 1)\n"), "{text}");
    assert!(!text.contains("no end in these logs"), "{text}");
}
