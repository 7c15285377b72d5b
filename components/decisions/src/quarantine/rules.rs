//! Causes of crashes whose requests a host refuses.

use std::collections::BTreeSet;

use crate::request::PromptShape;
use crate::time::Moment;

/// Most rules that are kept.
const MAX_RULES: usize = 32;

/// Requests with all of these parts are refused.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuarantineRule {
    /// The parts; never empty.
    pub parts: BTreeSet<u64>,
    /// End of the quarantine.
    pub until: Moment,
}

impl QuarantineRule {
    /// The parts as they are logged.
    pub fn name(&self) -> String {
        rule_name(&self.parts)
    }
}

/// Parts of a rule as they are logged.
pub fn rule_name(parts: &BTreeSet<u64>) -> String {
    let names: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
    names.join("+")
}

/// The rules in force at a host.
#[derive(Debug, Clone, Default)]
pub struct QuarantineRules {
    rules: Vec<QuarantineRule>,
}

impl QuarantineRules {
    /// Adds a rule, or extends it to a later end. Returns whether it is new.
    pub fn put(&mut self, rule: QuarantineRule) -> bool {
        if rule.parts.is_empty() {
            return false;
        }
        if let Some(known) = self.rules.iter_mut().find(|known| known.parts == rule.parts) {
            known.until = known.until.max(rule.until);
            return false;
        }
        if self.rules.len() == MAX_RULES {
            let first = (0..MAX_RULES).min_by_key(|index| self.rules[*index].until);
            first.map(|index| self.rules.swap_remove(index));
        }
        self.rules.push(rule);
        true
    }

    /// Removes the rule with exactly these parts; returns whether there was one.
    pub fn remove(&mut self, parts: &BTreeSet<u64>) -> bool {
        let before = self.rules.len();
        self.rules.retain(|rule| rule.parts != *parts);
        self.rules.len() != before
    }

    /// Removes the rules that have ended at `now`.
    pub fn remove_expired(&mut self, now: Moment) {
        self.rules.retain(|rule| rule.until > now);
    }

    /// The rule that a request with this prompt meets; `None` if it may be sent to upstreams.
    pub fn rule_for(&self, now: Moment, prompt: &PromptShape) -> Option<&QuarantineRule> {
        if self.rules.is_empty() {
            return None;
        }
        let shared: BTreeSet<u64> = prompt.shared_parts().collect();
        self.rules.iter().find(|rule| rule.until > now && rule.parts.is_subset(&shared))
    }

    /// All rules.
    pub fn iter(&self) -> impl Iterator<Item = &QuarantineRule> {
        self.rules.iter()
    }

    /// The parts of each rule.
    pub fn names(&self) -> BTreeSet<BTreeSet<u64>> {
        self.rules.iter().map(|rule| rule.parts.clone()).collect()
    }
}
