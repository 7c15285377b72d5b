//! `explain`: reconstructs the course and outcome of one request from the logs of the hosts.

use std::path::PathBuf;

use super::log_line::LogLine;
use super::log_line::read_lines;

impl LogLine {
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
            (None, None) => self.text().to_owned(),
        };
        format!("{} {}: {what}", self.time(), value("host"))
    }
}

/// Prints the logged events of a request in order of time, then its outcome.
pub fn run(request: &str, logs: &[PathBuf]) -> Result<(), Vec<String>> {
    let mut found = Vec::new();
    read_lines(logs, |line| {
        if line.request() == Some(request) {
            found.push(line);
        }
    })?;
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
