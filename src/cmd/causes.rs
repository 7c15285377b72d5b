//! `causes`: counts how requests ended and why, from the logs of the hosts.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::path::PathBuf;

use super::log_line::LogLine;
use super::log_line::read_lines;

/// Most subjects named for each cause.
const MAX_SUBJECTS: usize = 3;
/// Cause of the requests that were served.
const SERVED: &str = "served";

/// What the logs say about one request.
#[derive(Debug, Default)]
struct RequestTrace {
    /// Model, adapter or service that was requested.
    subject: String,
    /// Time of the last line that ends it, and how it ended.
    end: Option<(String, String)>,
    /// Outcome of the last attempt that failed before the end.
    last_fault: Option<String>,
}

impl RequestTrace {
    fn add(&mut self, line: &LogLine) {
        if let Some(subject) = line.field("subject") {
            subject.clone_into(&mut self.subject);
        }
        let end_time = self.end.as_ref().map(|(time, _)| time.as_str());
        if let Some(cause) = describe_end(line) {
            if end_time.is_none_or(|time| line.time() >= time) {
                self.end = Some((line.time().to_owned(), cause));
            }
        } else if let Some(fault) = line.field("outcome") {
            // The attempt that an end cancels is logged behind it, in the same second.
            if end_time.is_none_or(|time| line.time() < time) {
                self.last_fault = Some(fault.to_owned());
            }
        }
    }

    /// How the request ended, and what the last attempt before met.
    fn cause(&self) -> Option<(&str, String)> {
        let (time, cause) = self.end.as_ref()?;
        let cause = match &self.last_fault {
            Some(fault) if cause != SERVED => format!("{cause}, after an attempt: {fault}"),
            _ => cause.clone(),
        };
        Some((time, cause))
    }
}

/// How the line ends its request; `None` if it does not.
fn describe_end(line: &LogLine) -> Option<String> {
    let value = |key| line.field(key).unwrap_or("?");
    match (line.field("kind"), line.field("outcome")) {
        (Some("refuse"), _) if value("choice") == "NotRun" => {
            Some(format!("refused: {}", value("reason")))
        }
        (Some("refuse"), _) => Some(format!("failed: {}", value("reason"))),
        (Some("abandon"), _) => Some(format!("caller left: it {}", value("reason"))),
        (_, Some("streamed" | "answered")) if value("status").starts_with('5') => {
            Some(format!("upstream answered {}", value("status")))
        }
        (_, Some("streamed" | "answered")) => Some(SERVED.to_owned()),
        _ => None,
    }
}

/// Requests with one cause.
#[derive(Debug, Default)]
struct CauseCount {
    total: usize,
    subjects: BTreeMap<String, usize>,
}

/// Start of the window of `every` seconds that a log time is in, as hours, minutes and seconds.
fn window_of(time: &str, every: u32) -> Option<String> {
    let (_, clock) = time.split_once('T')?;
    let mut parts = clock.trim_end_matches('Z').split(':').map(|part| part.parse::<f64>().ok());
    let (hours, minutes, seconds) = (parts.next()??, parts.next()??, parts.next()??);
    let second = (hours * 3_600.0 + minutes * 60.0 + seconds) as u32 / every * every;
    Some(format!("{:02}:{:02}:{:02}", second / 3_600, second / 60 % 60, second % 60))
}

/// Prints the causes with their counts, then the counts of every window of `every` seconds.
pub fn run(every: u32, logs: &[PathBuf]) -> Result<(), Vec<String>> {
    let mut traces: HashMap<String, RequestTrace> = HashMap::new();
    read_lines(logs, |line| {
        if let Some(request) = line.request() {
            traces.entry(request.to_owned()).or_default().add(&line);
        }
    })?;
    if traces.is_empty() {
        return Err(vec!["no log line mentions a request: pass the logs of all hosts".to_owned()]);
    }
    let mut causes: HashMap<String, CauseCount> = HashMap::new();
    let mut windows: BTreeMap<String, HashMap<String, usize>> = BTreeMap::new();
    let mut open = 0;
    for trace in traces.values() {
        let Some((time, cause)) = trace.cause() else {
            open += 1;
            continue;
        };
        if let Some(window) = window_of(time, every.max(1)) {
            *windows.entry(window).or_default().entry(cause.clone()).or_default() += 1;
        }
        let count = causes.entry(cause).or_default();
        count.total += 1;
        *count.subjects.entry(trace.subject.clone()).or_default() += 1;
    }
    let mut ranked: Vec<(&String, &CauseCount)> = causes.iter().collect();
    ranked.sort_by(|one, other| other.1.total.cmp(&one.1.total).then(one.0.cmp(other.0)));
    println!("requests  cause (most frequent models or services)");
    for (cause, count) in &ranked {
        println!("{:>8}  {cause}{}", count.total, subjects_text(cause, count));
    }
    if open > 0 {
        println!("{open:>8}  no end in these logs: the host died, or the log stops before");
    }
    println!("\nfrom      served  others");
    for (window, counts) in &windows {
        let served = counts.get(SERVED).copied().unwrap_or(0);
        let others = ranked.iter().filter(|(cause, _)| *cause != SERVED);
        let others: Vec<String> = others
            .filter_map(|(cause, _)| Some(format!("{} {cause}", counts.get(*cause)?)))
            .collect();
        println!("{window}  {served:>6}  {}", others.join("; "));
    }
    Ok(())
}

fn subjects_text(cause: &str, count: &CauseCount) -> String {
    if cause == SERVED {
        return String::new();
    }
    let mut subjects: Vec<(&String, &usize)> = count.subjects.iter().collect();
    subjects.sort_by(|one, other| other.1.cmp(one.1).then(one.0.cmp(other.0)));
    let named: Vec<String> = subjects
        .iter()
        .take(MAX_SUBJECTS)
        .map(|(subject, total)| format!("{subject} {total}"))
        .collect();
    format!(" ({})", named.join(", "))
}
