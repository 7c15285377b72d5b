//! Log lines of the hosts about requests.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;

/// Keys of the log lines about requests, in the order in which they are written.
const KEYS: [&str; 26] = [
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
    "prompt",
    "expected",
    "listing",
    "zone",
];

/// One line of a log.
#[derive(Debug)]
pub struct LogLine {
    text: String,
}

impl LogLine {
    /// Returns the line if it has the key `request` with a value.
    pub fn of_request(text: String) -> Option<Self> {
        let line = Self { text };
        line.request().is_some().then_some(line)
    }

    /// Returns the whole line.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the id of the request that the line is about.
    pub fn request(&self) -> Option<&str> {
        self.field("request").filter(|request| !request.is_empty())
    }

    /// Returns the value of `key`. Values may contain spaces, so a value extends to the next key.
    pub fn field(&self, key: &str) -> Option<&str> {
        let start = self.text.find(&format!(" {key}="))? + key.len() + 2;
        let rest = &self.text[start..];
        let ends = KEYS.iter().filter_map(|next| rest.find(&format!(" {next}=")));
        Some(&rest[..ends.min().unwrap_or(rest.len())])
    }

    /// Returns the timestamp of the line as text, whose alphabetical order is the order of time.
    pub fn time(&self) -> &str {
        let timestamp = self.text.split_once('[').map_or("", |(_, rest)| rest);
        timestamp.split_once(' ').map_or(timestamp, |(time, _)| time)
    }
}

/// Calls `take` with each line about a request in the logs, or in standard input if there are none.
///
/// # Errors
/// Names the log that cannot be read.
pub fn read_lines(logs: &[PathBuf], mut take: impl FnMut(LogLine)) -> Result<(), Vec<String>> {
    let mut read = |source: &mut dyn BufRead| -> Result<(), String> {
        for line in source.lines() {
            let line = line.map_err(|error| error.to_string())?;
            if let Some(line) = LogLine::of_request(line) {
                take(line);
            }
        }
        Ok(())
    };
    if logs.is_empty() {
        return read(&mut std::io::stdin().lock())
            .map_err(|problem| vec![format!("standard input: {problem}")]);
    }
    for path in logs {
        let failed = |problem: String| vec![format!("{}: {problem}", path.display())];
        let file = File::open(path).map_err(|error| failed(error.to_string()))?;
        read(&mut BufReader::new(file)).map_err(failed)?;
    }
    Ok(())
}
