//! First and repeated attempts that reach engines.

use std::collections::VecDeque;

/// Attempts at engines by the time of their arrival, in microseconds.
#[derive(Debug, Default)]
pub struct RetryLog {
    first_attempts: VecDeque<u64>,
    repeated_attempts: VecDeque<u64>,
}

impl RetryLog {
    /// Records that an attempt reached an engine; `attempt` counts from 1.
    pub fn record(&mut self, now: u64, attempt: u32) {
        let attempts =
            if attempt == 1 { &mut self.first_attempts } else { &mut self.repeated_attempts };
        attempts.push_back(now);
    }

    /// For the window of `length` microseconds with the most repeated attempts: their number, and
    /// the number of first attempts in it or, if that is more, in the window before it or half a
    /// window before it.
    pub fn busiest_window(&self, length: u64) -> (usize, usize) {
        let count = |times: &VecDeque<u64>, from: u64| {
            times.iter().filter(|at| (from..from + length).contains(*at)).count()
        };
        let repeated = |start: &u64| count(&self.repeated_attempts, *start);
        let Some(start) = self.repeated_attempts.iter().copied().max_by_key(repeated) else {
            return (0, 0);
        };
        let starts = [start, start.saturating_sub(length / 2), start.saturating_sub(length)];
        let first = starts.map(|start| count(&self.first_attempts, start));
        (repeated(&start), first.into_iter().max().unwrap_or(0))
    }
}
