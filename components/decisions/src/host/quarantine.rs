//! Quarantine of prompt parts: which requests this host refuses, and what a leader publishes.

use std::collections::BTreeSet;
use std::time::Duration;

use wagtailledge_inventory::UpstreamKey;
use wagtailledge_inventory::catalog::UpstreamProcess;

use crate::admission::RequestStage;
use crate::effect::DecisionKind;
use crate::effect::DecisionRecord;
use crate::effect::HostEffect;
use crate::identity::HostIdentity;
use crate::message::CrashReport;
use crate::message::QuarantineRow;
use crate::message::QuarantineTable;
use crate::quarantine::CrashJudge;
use crate::quarantine::QUARANTINE_KEY;
use crate::quarantine::QuarantineRecord;
use crate::quarantine::QuarantineRule;
use crate::quarantine::QuarantineRules;
use crate::registry::CallPurpose;
use crate::request::RefusalOutcome;
use crate::request::RefusalReason;
use crate::request::RequestKey;
use crate::store::StoreOutcome;
use crate::time::Moment;

use super::crashes::crash_row;
use super::state::HostReducer;
use super::stored_record::StoredRecord;

/// Quarantine as this host knows it.
#[derive(Debug, Clone, Default)]
pub(super) struct HostQuarantine {
    /// Rules in force here.
    pub(super) rules: QuarantineRules,
    /// Decides on quarantines; present while this process leads.
    judge: Option<CrashJudge>,
    /// If this process leads: when hosts have next had the time to object to suspects.
    decide_at: Option<Moment>,
    /// Rules that the leader's last notice did not list.
    unlisted: BTreeSet<BTreeSet<u64>>,
    /// The record in the key-value service; compared by the parts of its rules.
    record: StoredRecord<BTreeSet<BTreeSet<u64>>>,
}

/// Effect that logs a change of a rule, which is named by its parts.
fn log_rule(parts: &str, choice: String, reason: &'static str, inputs: String) -> HostEffect {
    HostEffect::LogDecision(DecisionRecord {
        kind: DecisionKind::Quarantine,
        ticket: None,
        subject: parts.to_owned(),
        choice,
        reason,
        alternatives: 0,
        inputs,
    })
}

fn row_rule(now: Moment, row: &QuarantineRow) -> QuarantineRule {
    let until = now.after(Duration::from_millis(row.left_ms));
    QuarantineRule { parts: row.parts.iter().copied().collect(), until }
}

fn rule_row(now: Moment, rule: &QuarantineRule) -> QuarantineRow {
    let left_ms = rule.until.since(now).as_millis() as u64;
    QuarantineRow { parts: rule.parts.iter().copied().collect(), left_ms }
}

impl HostReducer {
    /// Rule that forbids to send a request to upstreams; `None` if it may be sent.
    pub(super) fn quarantine_rule(&self, now: Moment, key: RequestKey) -> Option<&QuarantineRule> {
        let terms = self.requests.get(key)?.terms.as_ref()?;
        self.quarantine.rules.rule_for(now, &terms.prompt)
    }

    /// Acts on a crash that became known: decides if this host leads, or if no other host does.
    pub(super) fn crash_recorded(
        &mut self,
        now: Moment,
        process: &UpstreamProcess,
        seen: Moment,
        parts: Vec<u64>,
        is_own: bool,
        effects: &mut Vec<HostEffect>,
    ) {
        if let Some(judge) = &mut self.quarantine.judge {
            if judge.record_crash(now, process, seen, parts, is_own) {
                self.mark_digests_due();
            }
            self.decide_quarantine(now, effects);
        } else if !self.has_live_leader(now) {
            for rule in self.crashes.log.causes(now, |_| true) {
                self.impose_rule(now, rule, "crashes seen without a leader", "", effects);
            }
        }
    }

    /// If this host leads: asks hosts about new suspects, and quarantines what crashes have in common
    /// and no host objected to.
    pub(super) fn decide_quarantine(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let Some(judge) = &mut self.quarantine.judge else {
            return;
        };
        let new_suspects = judge.new_suspects();
        let mut changed = !new_suspects.is_empty();
        for part in new_suspects {
            judge.ask_about(now, part);
            if self.crashes.is_sound(part) {
                judge.clear_part(now, part);
                self.crashes.forget_sound(part);
            }
        }
        self.quarantine.decide_at = judge.next_decision(now);
        for rule in judge.causes(now) {
            changed |= self.impose_rule(now, rule, "common to crashes", "", effects);
        }
        if changed {
            self.publish_quarantine();
        }
    }

    /// If this host leads: records that parts are sound, and lifts the rules that they contradict.
    pub(super) fn clear_parts(
        &mut self,
        now: Moment,
        parts: impl Iterator<Item = u64>,
        effects: &mut Vec<HostEffect>,
    ) {
        let mut changed = false;
        for part in parts {
            let Some(judge) = &mut self.quarantine.judge else {
                return;
            };
            if !judge.clear_part(now, part) {
                continue;
            }
            changed = true;
            let rules = self.quarantine.rules.iter();
            let wrong: Vec<QuarantineRule> =
                rules.filter(|rule| rule.parts.contains(&part)).cloned().collect();
            for mut rule in wrong {
                self.lift_rule(now, &rule.parts, "a request with a part ended well", effects);
                rule.parts.remove(&part);
                self.impose_rule(now, rule, "the other part is sound", "", effects);
            }
        }
        if changed {
            self.publish_quarantine();
            self.decide_quarantine(now, effects);
        }
    }

    /// Makes notices to all hosts and other leaders due.
    fn publish_quarantine(&mut self) {
        self.notices_due = true;
        for sync in self.member_syncs.values_mut() {
            sync.dirty = true;
        }
        self.mark_digests_due();
    }

    /// Puts a rule in force. Returns whether it is new.
    fn impose_rule(
        &mut self,
        now: Moment,
        rule: QuarantineRule,
        reason: &'static str,
        from: &str,
        effects: &mut Vec<HostEffect>,
    ) -> bool {
        if rule.until <= now {
            return false;
        }
        if let Some(judge) = &mut self.quarantine.judge {
            judge.record_rule(&rule.parts);
        }
        if !self.quarantine.rules.put(rule.clone()) {
            return false;
        }
        let left = rule.until.since(now).as_secs();
        let inputs = if from.is_empty() { self.crash_names(&rule) } else { format!("from {from}") };
        effects.push(log_rule(&rule.name(), format!("refused for {left} s"), reason, inputs));
        self.refuse_quarantined(now, effects);
        true
    }

    /// Names of the upstreams that crashed with all parts of a rule, as far as this host knows.
    fn crash_names(&self, rule: &QuarantineRule) -> String {
        let crashes = match &self.quarantine.judge {
            Some(judge) => judge.crashes_with(&rule.parts),
            None => self.crashes.log.crashes_with(&rule.parts),
        };
        format!("crashes of {}", crashes.join(", "))
    }

    fn lift_rule(
        &mut self,
        now: Moment,
        parts: &BTreeSet<u64>,
        reason: &'static str,
        effects: &mut Vec<HostEffect>,
    ) -> bool {
        if let Some(judge) = &mut self.quarantine.judge {
            judge.record_lift(now, parts.clone());
        }
        if !self.quarantine.rules.remove(parts) {
            return false;
        }
        let name = crate::quarantine::rule_name(parts);
        effects.push(log_rule(&name, "lifted".to_owned(), reason, String::new()));
        true
    }

    /// Logs that an upstream crashed, with the parts that may have caused it.
    pub(super) fn log_crash(
        &self,
        upstream: UpstreamKey,
        parts: &[u64],
        effects: &mut Vec<HostEffect>,
    ) {
        let process = self.catalog.process(upstream);
        let (name, started_ms) =
            process.map_or(("", 0), |process| (process.name.as_str(), process.started_ms));
        let parts: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
        effects.push(HostEffect::LogDecision(DecisionRecord {
            kind: DecisionKind::Health,
            ticket: None,
            subject: name.to_owned(),
            choice: "crashed".to_owned(),
            reason: "refuses connections after exchanges broke at their start",
            alternatives: parts.len(),
            inputs: format!("process {started_ms}, prompt parts {}", parts.join(",")),
        }));
    }

    /// Refuses requests that meet a rule and whose answers have not begun.
    fn refuse_quarantined(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let forbidden: Vec<(RequestKey, RefusalOutcome)> = self
            .requests
            .iter()
            .filter(|(_, request)| !request.settled && request.first_part.is_none())
            .filter(|(key, _)| self.quarantine_rule(now, *key).is_some())
            .filter_map(|(key, request)| match request.stage {
                RequestStage::Waiting => Some((key, RefusalOutcome::NotRun)),
                // Cancelling it may save the upstream.
                RequestStage::Dispatched(_) | RequestStage::Streaming(_)
                    if request.is_cancellable() =>
                {
                    Some((key, RefusalOutcome::Unknown))
                }
                _ => None,
            })
            .collect();
        for (key, outcome) in forbidden {
            self.refuse(key, outcome, RefusalReason::Quarantined, effects);
        }
    }

    /// What this leader publishes to the hosts of its scope, or without suspects to other leaders.
    pub(super) fn quarantine_table(&self, now: Moment, has_suspects: bool) -> QuarantineTable {
        let rules = self.quarantine.rules.iter().filter(|rule| rule.until > now);
        let mut rows: Vec<QuarantineRow> = rules.map(|rule| rule_row(now, rule)).collect();
        let mut suspects = Vec::new();
        if let Some(judge) = &self.quarantine.judge {
            let lifted = judge
                .lifted()
                .map(|parts| QuarantineRow { parts: parts.iter().copied().collect(), left_ms: 0 });
            rows.extend(lifted);
            if has_suspects {
                suspects.extend(judge.suspects());
            }
        }
        QuarantineTable { rows, suspects }
    }

    /// Applies what this host's leader, or the leader of another scope, publishes.
    pub(super) fn apply_quarantine_table(
        &mut self,
        now: Moment,
        from: &HostIdentity,
        table: &QuarantineTable,
        effects: &mut Vec<HostEffect>,
    ) {
        let mut changed = false;
        for row in &table.rows {
            let rule = row_rule(now, row);
            changed |= if row.left_ms == 0 {
                self.lift_rule(now, &rule.parts, "published by a leader", effects)
            } else {
                self.impose_rule(now, rule, "published by a leader", &from.name, effects)
            };
        }
        if self.quarantine.judge.is_some() {
            if changed {
                self.publish_quarantine();
            }
            return;
        }
        let listed: BTreeSet<BTreeSet<u64>> =
            table.rows.iter().map(|row| row.parts.iter().copied().collect()).collect();
        let rules = self.quarantine.rules.iter().filter(|rule| !listed.contains(&rule.parts));
        self.quarantine.unlisted = rules.map(|rule| rule.parts.clone()).collect();
        let objects = self.crashes.set_suspects(table.suspects.iter().copied().collect());
        self.leader_sync.dirty |= objects || !self.quarantine.unlisted.is_empty();
    }

    /// Rules that the leader's last notice did not list.
    pub(super) fn unlisted_rules(&self, now: Moment) -> Vec<QuarantineRow> {
        let unlisted = |rule: &&QuarantineRule| {
            rule.until > now && self.quarantine.unlisted.contains(&rule.parts)
        };
        let rules = self.quarantine.rules.iter().filter(unlisted);
        rules.map(|rule| rule_row(now, rule)).collect()
    }

    /// Applies a host's report about crashes, or that of another scope's leader, if this host leads.
    pub(super) fn handle_crash_report(
        &mut self,
        now: Moment,
        from: &HostIdentity,
        report: &CrashReport,
        effects: &mut Vec<HostEffect>,
    ) {
        if self.quarantine.judge.is_none() {
            return;
        }
        let is_own = from.scope == self.me.scope;
        for row in &report.crashes {
            let (name, started_ms) = (row.upstream.clone(), row.started_ms);
            let process = UpstreamProcess { name, started_ms };
            let seen = now.before(Duration::from_millis(row.age_ms));
            self.crash_recorded(now, &process, seen, row.parts.clone(), is_own, effects);
        }
        let mut changed = false;
        for row in &report.rules {
            let rule = row_rule(now, row);
            let judge = self.quarantine.judge.as_ref();
            if !judge.is_some_and(|judge| judge.is_lifted(&rule.parts)) {
                changed |= self.impose_rule(now, rule, "known to a host", &from.name, effects);
            }
        }
        if changed {
            self.publish_quarantine();
        }
        self.clear_parts(now, report.sound.iter().copied(), effects);
    }

    /// What this leader tells the leaders of other scopes.
    pub(super) fn relayed_crash_report(&self, now: Moment) -> CrashReport {
        let Some(judge) = &self.quarantine.judge else {
            return CrashReport::default();
        };
        let crashes = judge.relayed_crashes(now).map(|crash| crash_row(now, crash));
        let sound = judge.relayed_sound(now).collect();
        CrashReport { crashes: crashes.collect(), sound, rules: Vec::new() }
    }

    /// Begins or ends deciding, after this process acquired or lost the lease.
    pub(super) fn quarantine_leadership_changed(&mut self, now: Moment, leads: bool) {
        self.quarantine.unlisted.clear();
        self.quarantine.judge = leads.then(CrashJudge::default);
        if let Some(judge) = &mut self.quarantine.judge {
            for crash in self.crashes.log.crashes() {
                let parts = crash.parts.iter().copied();
                judge.record_crash(now, &crash.process, crash.seen, parts, true);
            }
        }
    }

    /// Ends rules that are over, decides what waited for objections, and keeps the record up to date.
    pub(super) fn quarantine_tick(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        self.quarantine.rules.remove_expired(now);
        if self.quarantine.decide_at.take_if(|at| *at <= now).is_some() {
            self.decide_quarantine(now, effects);
        }
        self.sync_record(now, effects);
    }

    /// Forgets crashes that are too old.
    pub(super) fn quarantine_sweep(&mut self, now: Moment) {
        self.crashes.remove_expired(now);
        if let Some(judge) = &mut self.quarantine.judge {
            judge.remove_expired(now);
        }
    }

    /// Reads the record if this host leads and does not know it, and writes it if its rules changed.
    fn sync_record(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let quarantine = &mut self.quarantine;
        if quarantine.judge.is_none() || !quarantine.record.may_call(now) {
            return;
        }
        if quarantine.record.known().is_none() {
            // A platform that announces changes announces this record, too.
            if self.timing.configuration_read.is_some() {
                let read = quarantine.record.read(QUARANTINE_KEY);
                self.store_calls.call(CallPurpose::QuarantineRead, read, effects);
            }
            return;
        }
        let names = quarantine.rules.names();
        let rules = &quarantine.rules;
        let value = |_: &_| {
            let rules = rules.iter().map(|rule| rule_row(now, rule)).collect();
            QuarantineRecord { rules }.to_value()
        };
        if let Some(write) = quarantine.record.write(QUARANTINE_KEY, names, value) {
            self.store_calls.call(CallPurpose::QuarantineWrite, write, effects);
        }
    }

    /// Handles the reply to reading or writing the record.
    pub(super) fn handle_record_reply(
        &mut self,
        now: Moment,
        outcome: StoreOutcome,
        effects: &mut Vec<HostEffect>,
    ) {
        if let Some((version, value)) = self.quarantine.record.apply_reply(now, outcome) {
            self.apply_record(now, version, &value, effects);
        }
    }

    /// Applies the record in the key-value service; `value` is empty if there is none.
    pub(super) fn apply_record(
        &mut self,
        now: Moment,
        version: u64,
        value: &str,
        effects: &mut Vec<HostEffect>,
    ) {
        let record = QuarantineRecord::parse(value).unwrap_or_default();
        if !self.quarantine.record.observe(version, record.names()) {
            return;
        }
        let mut changed = false;
        for row in &record.rules {
            let rule = row_rule(now, row);
            let judge = self.quarantine.judge.as_ref();
            if !judge.is_some_and(|judge| judge.is_lifted(&rule.parts)) {
                changed |= self.impose_rule(now, rule, "stored", QUARANTINE_KEY, effects);
            }
        }
        if changed && self.quarantine.judge.is_some() {
            self.publish_quarantine();
        }
    }
}
