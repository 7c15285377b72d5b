//! Checks of the promises. The oracle sees what callers, upstreams and operators can see, and
//! nothing of how the system works.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use wagtailledge_decisions::request::RefusalOutcome;

/// A call as its caller sees it. Times are in microseconds of the entry host's clock.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Content of the correct answer.
    pub expected: String,
    /// Time by which the call must be answered or refused.
    pub deadline: u64,
    /// Idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// Whether upstreams may run the call more than once.
    pub idempotent: bool,
    /// Number of times that upstreams ran the call, without runs of other calls with the same key.
    pub runs: u32,
    /// Whether the call was answered or refused, its caller disconnected, or its host died.
    pub settled: bool,
    /// Whether the call was refused with the outcome "not run".
    pub refused_as_not_run: bool,
}

/// Records what callers, upstreams and operators see, and collects violations.
#[derive(Debug, Default)]
pub struct PromiseOracle {
    calls: BTreeMap<u64, CallRecord>,
    runs_by_key: BTreeMap<String, u32>,
    revision_by_process: BTreeMap<u64, u64>,
    /// Host whose order first reached an engine with a fencing token, by index of the engine and token.
    host_by_token: BTreeMap<(usize, u64), String>,
    violations: Vec<String>,
    answered_calls: BTreeSet<u64>,
    /// Number of calls answered.
    pub answered: u64,
    /// Number of calls refused.
    pub refused: u64,
}

impl PromiseOracle {
    /// The first violation, as promise and detail.
    pub fn violation(&self) -> Option<&str> {
        self.violations.first().map(String::as_str)
    }

    /// Adds a violation of `promise`.
    pub fn report_violation(&mut self, promise: &str, detail: &str) {
        self.violations.push(format!("{promise}: {detail}"));
    }

    /// Records that a call arrived at a host.
    pub fn record_call(&mut self, call: u64, record: CallRecord) {
        self.calls.insert(call, record);
    }

    /// Content of the correct answer to the call.
    pub fn expected_content(&self, call: u64) -> String {
        self.calls.get(&call).map_or_else(String::new, |record| record.expected.clone())
    }

    /// Whether the caller got an answer.
    pub fn was_answered(&self, call: u64) -> bool {
        self.answered_calls.contains(&call)
    }

    /// Number of idempotency keys with a call that ran.
    pub fn executed_key_count(&self) -> usize {
        self.runs_by_key.len()
    }

    /// Records that the caller disconnected or its host died: no answer is due any more.
    pub fn record_abandoned(&mut self, call: u64) {
        if let Some(record) = self.calls.get_mut(&call) {
            record.settled = true;
        }
    }

    /// Records that an upstream ran the call, and checks that it was allowed to.
    pub fn record_run(&mut self, call: u64) {
        let Some(record) = self.calls.get_mut(&call) else {
            return;
        };
        record.runs += 1;
        let (after_refusal, twice) =
            (record.refused_as_not_run, !record.idempotent && record.runs > 1);
        let key = record.key.clone();
        if after_refusal {
            self.report_violation(
                "not run is true",
                &format!("call {call} ran after it was refused"),
            );
        }
        if twice {
            self.report_violation("non-idempotent at most once", &format!("call {call} ran twice"));
        }
        if let Some(key) = key {
            let runs = self.runs_by_key.entry(key.clone()).or_default();
            *runs += 1;
            if *runs > 1 {
                self.report_violation("non-idempotent at most once", &format!("{key} ran twice"));
            }
        }
    }

    /// Records an answer that the caller received, and checks its content.
    pub fn record_answer(&mut self, call: u64, now: u64, content: &str) {
        self.answered += 1;
        self.answered_calls.insert(call);
        self.settle(call, now, "answer");
        let expected = self.calls.get(&call).map_or("", |record| &record.expected).to_owned();
        if content != expected {
            let detail = format!("call {call} expected {expected:?} and got {content:?}");
            self.report_violation("own answer", &detail);
        }
    }

    /// Records that the caller got an event of a stream, whose last event so far is `last`. Checks
    /// that none is missing or comes twice.
    pub fn record_event(&mut self, call: u64, last: u64, event: u64) {
        if event != last + 1 {
            let detail = format!("call {call} got event {event} after event {last}");
            self.report_violation("whole stream", &detail);
        }
    }

    /// Checks that a stream that ends as complete has all its events.
    pub fn check_stream_end(&mut self, call: u64, last: u64, events: u64) {
        if last != events {
            let detail = format!("call {call} got {last} of {events} events as complete");
            self.report_violation("whole stream", &detail);
        }
    }

    /// Records a refusal that the caller received, and checks its outcome.
    pub fn record_refusal(&mut self, call: u64, now: u64, outcome: RefusalOutcome) {
        self.refused += 1;
        self.settle(call, now, "refusal");
        let Some(record) = self.calls.get_mut(&call) else {
            return;
        };
        if outcome == RefusalOutcome::NotRun {
            record.refused_as_not_run = true;
            if record.runs > 0 {
                self.report_violation("not run is true", &format!("call {call} had run"));
            }
        }
    }

    /// Records that the call got its outcome. Checks that it is the only one and came in time.
    fn settle(&mut self, call: u64, now: u64, kind: &str) {
        let Some(record) = self.calls.get_mut(&call) else {
            return;
        };
        let (repeated, late) = (record.settled, now > record.deadline);
        record.settled = true;
        if repeated {
            self.report_violation("one answer", &format!("call {call} got another {kind}"));
        }
        if late {
            self.report_violation(
                "served or refused in time",
                &format!("call {call}: {kind} came late"),
            );
        }
    }

    /// Moves a call's deadline to `now` if that is later, because its host cannot answer before.
    pub fn extend_deadline(&mut self, call: u64, now: u64) {
        if let Some(record) = self.calls.get_mut(&call) {
            record.deadline = record.deadline.max(now);
        }
    }

    /// Checks that an open call's deadline is not past when its host's clock shows `now`.
    pub fn check_deadline(&mut self, call: u64, now: u64) {
        let open =
            self.calls.get(&call).is_some_and(|record| !record.settled && now > record.deadline);
        if open {
            self.report_violation(
                "served or refused in time",
                &format!("call {call} is still open"),
            );
        }
    }

    /// Checks that an engine's resident assets fit its memory; both in bytes.
    pub fn check_memory(&mut self, engine: &str, resident: u64, memory: u64) {
        if resident > memory {
            self.report_violation(
                "memory",
                &format!("{engine} holds {resident} of {memory} bytes"),
            );
        }
    }

    /// Checks that a zone has at most `cap` replicas of an asset.
    pub fn check_replicas(&mut self, zone: &str, asset: &str, replicas: usize, cap: usize) {
        if replicas > cap {
            let detail = format!("{zone} holds {replicas} of {asset}, decided {cap} at most");
            self.report_violation("replicas", &detail);
        }
    }

    /// Reports that an order reached an engine that ignores fencing tokens after one with a higher
    /// token.
    pub fn report_overtaken_order(&mut self, engine: &str, token: u64, seen: u64) {
        let detail = format!("{engine} got an order with token {token} after token {seen}");
        self.report_violation("one orderer", &detail);
    }

    /// Records that an order reached an engine, and checks that no other host ordered there with its
    /// fencing token.
    pub fn record_order(&mut self, index: usize, engine: &str, token: u64, host: &str) {
        let first = self.host_by_token.entry((index, token)).or_insert_with(|| host.to_owned());
        if first != host {
            let detail = format!("{engine} got orders of {first} and {host} with token {token}");
            self.report_violation("one token, one host", &detail);
        }
    }

    /// Forgets the orders that reached an engine which restarts.
    pub fn forget_orders(&mut self, index: usize) {
        self.host_by_token.retain(|(engine, _), _| *engine != index);
    }

    /// Reports that an upstream got new work later than the grace period after it began to leave.
    pub fn report_work_while_leaving(&mut self, upstream: &str) {
        self.report_violation("leaving upstreams", &format!("{upstream} got new work"));
    }

    /// Checks that the revision in force in a process never decreases.
    pub fn check_revision(&mut self, process: u64, revision: u64) {
        let before = self.revision_by_process.entry(process).or_default();
        let old = std::mem::replace(before, revision);
        if revision < old {
            self.report_violation("configuration", &format!("went back from {old} to {revision}"));
        }
    }

    /// Checks that at most one process may send orders to a zone's engines.
    pub fn check_leader_count(&mut self, zone: &str, count: usize) {
        if count > 1 {
            self.report_violation("one leader", &format!("{count} may order in {zone}"));
        }
    }
}
