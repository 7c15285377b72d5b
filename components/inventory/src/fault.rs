//! Faults found in a file that an operator wrote.

use std::fmt;

/// One fault of an inventory or settings file: where it is and what is wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileFault {
    /// Name of the file, as the operator gave it.
    pub file: String,
    /// Line in the file, counted from 1; 0 when no line applies.
    pub line: usize,
    /// The item or key, such as `model "vent-alarm"`, `engine #3` or `[host] name`.
    pub item: String,
    /// What is wrong with the item, on one line.
    pub problem: String,
}

impl fmt::Display for FileFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}: {}", self.file, self.line, self.item, self.problem)
    }
}

impl std::error::Error for FileFault {}

/// Returns the line, counted from 1, that contains byte `offset` of `text`.
pub fn line_of(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    text.as_bytes()[..end].iter().filter(|byte| **byte == b'\n').count() + 1
}
