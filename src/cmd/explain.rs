//! `explain`: reconstructs the course and outcome of one request from the logs of the hosts.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;

/// Keys of the log lines about requests, in the order in which they are written.
const KEYS: [&str; 25] = [
    "kind",
    "host",
    "request",
    "subject",
    "choice",
    "reason",
    "alternatives",
    "inputs",
    "upstream",
    "attempt",
    "outcome",
    "status",
    "first_ms",
    "parts",
    "pause_ms",
    "took_ms",
    "framing",
    "end",
    "open_bytes",
    "limit",
    "leaving",
    "asked_pause_ms",
    "expected",
    "listing",
    "zone",
];

/// One log line about the request.
#[derive(Debug)]
struct LogLine {
    text: String,
}

impl LogLine {
    /// Returns the line if its key `request` has the value `request`.
    fn for_request(text: String, request: &str) -> Option<Self> {
        let line = Self { text };
        (line.field("request") == Some(request)).then_some(line)
    }

    /// Returns the value of `key`. Values may contain spaces, so a value extends to the next key.
    fn field(&self, key: &str) -> Option<&str> {
        let start = self.text.find(&format!(" {key}="))? + key.len() + 2;
        let rest = &self.text[start..];
        let ends = KEYS.iter().filter_map(|next| rest.find(&format!(" {next}=")));
        Some(&rest[..ends.min().unwrap_or(rest.len())])
    }

    /// Returns the timestamp of the line as text, whose alphabetical order is the order of time.
    fn time(&self) -> &str {
        let timestamp = self.text.split_once('[').map_or("", |(_, rest)| rest);
        timestamp.split_once(' ').map_or(timestamp, |(time, _)| time)
    }

    /// Describes the outcome of the request, if this line records it.
    fn outcome(&self) -> Option<String> {
        let value = |key| self.field(key).unwrap_or("?");
        match (self.field("kind"), self.field("outcome")) {
            (Some("refuse"), _) if value("choice") == "NotRun" => {
                Some(format!("refused, it has not run: {}", value("reason")))
            }
            (Some("refuse"), _) => Some(format!("failed, it may have run: {}", value("reason"))),
            (Some("abandon"), _) => {
                Some(format!("its caller left {}: it {}", value("choice"), value("reason")))
            }
            (_, Some("streamed" | "answered")) => Some(format!(
                "answered by {} with status {}: first part after {} ms, longest pause {} ms, {} ms \
                 in total",
                value("upstream"),
                value("status"),
                value("first_ms"),
                value("pause_ms"),
                value("took_ms")
            )),
            _ => None,
        }
    }

    /// Describes how the body of the answer ended; empty if none was read.
    fn body_end(&self) -> String {
        let field = |key| self.field(key).filter(|value| !value.is_empty());
        let (Some(framing), Some(end)) = (field("framing"), field("end")) else {
            return String::new();
        };
        let open = field("open_bytes").filter(|bytes| *bytes != "0");
        let open = open.map_or_else(String::new, |bytes| format!(", {bytes} bytes into an event"));
        format!(" (body framed by {framing}, end {end}{open})")
    }

    /// Describes what the answer said about its upstream; empty if nothing of note.
    fn statement(&self) -> String {
        let named = self.field("limit").filter(|limit| !matches!(*limit, "" | "none"));
        let limit =
            named.map_or_else(String::new, |rate| format!(", limit {rate} requests a second"));
        let leaving = if self.field("leaving") == Some("true") { ", leaving" } else { "" };
        let pause = self.field("asked_pause_ms").filter(|millis| *millis != "0");
        let pause = pause.map_or_else(String::new, |millis| format!(", asked to wait {millis} ms"));
        format!("{limit}{leaving}{pause}")
    }

    /// Describes the event of this line, with its time and host.
    fn event(&self) -> String {
        let value = |key| self.field(key).unwrap_or("?");
        let what = match (self.field("kind"), self.field("outcome")) {
            (Some("route"), _) => format!(
                "sent to {} for {} ({}, {} alternatives)",
                value("choice"),
                value("subject"),
                value("reason"),
                value("alternatives")
            ),
            (None, Some(outcome)) => format!(
                "attempt {} at {}: {outcome}, status {}, {} parts, {} ms{}{}",
                value("attempt"),
                value("upstream"),
                value("status"),
                value("parts"),
                value("took_ms"),
                self.body_end(),
                self.statement()
            ),
            (Some(kind), _) => format!("{kind}: {}, {}", value("choice"), value("reason")),
            (None, None) => self.text.clone(),
        };
        format!("{} {}: {what}", self.time(), value("host"))
    }
}

/// Appends the lines about the request to `found`.
fn read(source: impl BufRead, request: &str, found: &mut Vec<LogLine>) -> Result<(), String> {
    for line in source.lines() {
        let line = line.map_err(|error| error.to_string())?;
        found.extend(LogLine::for_request(line, request));
    }
    Ok(())
}

/// Prints the logged events of a request in order of time, then its outcome.
pub fn run(request: &str, logs: &[PathBuf]) -> Result<(), Vec<String>> {
    let mut found = Vec::new();
    if logs.is_empty() {
        read(std::io::stdin().lock(), request, &mut found)
            .map_err(|problem| vec![format!("standard input: {problem}")])?;
    }
    for path in logs {
        let failed = |problem: String| vec![format!("{}: {problem}", path.display())];
        let file = File::open(path).map_err(|error| failed(error.to_string()))?;
        read(BufReader::new(file), request, &mut found).map_err(failed)?;
    }
    if found.is_empty() {
        return Err(vec![format!(
            "no log line mentions request {request}: check the id, and pass the logs of all hosts"
        )]);
    }
    found.sort_by(|one, other| one.time().cmp(other.time()));
    for line in &found {
        println!("{}", line.event());
    }
    let outcome = found.iter().rev().find_map(LogLine::outcome);
    let unknown =
        "no log line records its outcome: its host died, or has not ended it yet".to_owned();
    println!("=> {}", outcome.unwrap_or(unknown));
    Ok(())
}
