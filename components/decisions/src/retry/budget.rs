//! This host's share of the retries that all hosts together may send to a service.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use wagtailledge_inventory::ServiceKey;

use crate::time::Moment;

/// Parts that a window is counted in.
const PARTS: u64 = 20;
/// Part of the allowance that is used at most: hosts come and go, and counts are taken at slightly
/// different moments.
const USED_PART: f64 = 0.8;

/// What all hosts together may do.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryRules {
    /// Retries per request.
    pub ratio: f64,
    /// Retries in each window without any request.
    pub allowance: u32,
    /// Time over which retries are counted.
    pub window: Duration,
}

impl Default for RetryRules {
    fn default() -> Self {
        Self { ratio: 0.1, allowance: 160, window: Duration::from_secs(10) }
    }
}

/// Requests and retries of one part of a window.
#[derive(Debug, Clone, Copy, Default)]
struct WindowPart {
    /// Number of the part since the clock's start.
    number: u64,
    requests: u32,
    repeats: u32,
}

/// Counts requests and retries by service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    rules: RetryRules,
    /// Parts of the last window, oldest first. Assets of no service share one entry.
    services: BTreeMap<Option<ServiceKey>, VecDeque<WindowPart>>,
}

impl RetryBudget {
    /// Starts without any request.
    pub fn new(rules: RetryRules) -> Self {
        Self { rules, services: BTreeMap::new() }
    }

    /// Takes over other limits; counting starts anew when the window changes.
    pub fn set_rules(&mut self, rules: RetryRules) {
        if rules.window != self.rules.window {
            self.services.clear();
        }
        self.rules = rules;
    }

    fn number(&self, now: Moment) -> u64 {
        let part = (self.rules.window.as_micros() as u64 / PARTS).max(1);
        now.0 / part
    }

    fn part(&mut self, now: Moment, service: Option<ServiceKey>) -> &mut WindowPart {
        let number = self.number(now);
        let parts = self.services.entry(service).or_default();
        while parts.front().is_some_and(|part| part.number + PARTS < number) {
            parts.pop_front();
        }
        if parts.back().is_none_or(|part| part.number < number) {
            parts.push_back(WindowPart { number, ..WindowPart::default() });
        }
        parts.back_mut().expect("a part was pushed if there was none")
    }

    /// Notes a request for a service.
    pub fn requested(&mut self, now: Moment, service: Option<ServiceKey>) {
        self.part(now, service).requests += 1;
    }

    /// Notes that a request is sent once more.
    pub fn repeated(&mut self, now: Moment, service: Option<ServiceKey>) {
        self.part(now, service).repeats += 1;
    }

    /// Whether one more request may be sent again, while `hosts` share the allowance.
    pub fn may_repeat(&self, now: Moment, service: Option<ServiceKey>, hosts: usize) -> bool {
        let oldest = self.number(now).saturating_sub(PARTS);
        let parts = self.services.get(&service).into_iter().flatten();
        let (mut requests, mut repeats) = (0, 0);
        for part in parts.filter(|part| part.number >= oldest) {
            requests += part.requests;
            repeats += part.repeats;
        }
        let share = f64::from(self.rules.allowance) / hosts.max(1) as f64;
        let allowed = (self.rules.ratio * f64::from(requests) + share) * USED_PART;
        f64::from(repeats) + 1.0 <= allowed
    }
}
