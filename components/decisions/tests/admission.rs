//! Admission: which waiting request is served, shed or refused, and with what outcome.

mod support;

use std::time::Duration;

use support::TestHost;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::request::RefusalOutcome;
use wagtailledge_decisions::request::RefusalReason;

#[test]
fn can_serve_the_higher_class_first() {
    let mut host = TestHost::new();
    let running = [host.request_model("flock", 1, 20_000), host.request_model("flock", 1, 20_000)];
    let summary = host.request_model("flock", 1, 5_000);
    let alarm = host.request_model("heat", 2, 20_000);
    host.end_attempt(0, AttemptOutcome::Streamed);
    assert_eq!(host.dispatched_tickets(), [running[0], running[1], alarm]);
    host.end_attempt(1, AttemptOutcome::Streamed);
    assert_eq!(host.dispatched_tickets()[3], summary);
}

#[test]
fn can_serve_another_model_of_the_class_during_a_burst() {
    let mut host = TestHost::new();
    for _ in 0..4 {
        host.request_model("heat", 1, 9_000);
    }
    let other = host.request_model("fan", 2, 20_000);
    host.end_attempt(0, AttemptOutcome::Streamed);
    assert_eq!(host.dispatched_tickets()[2], other, "served although its deadline is later");
}

#[test]
fn can_shed_the_lowest_class_first() {
    let mut host = TestHost::new();
    host.request_model("heat", 1, 9_000);
    host.request_model("heat", 1, 9_000);
    let summary = host.request_model("flock", 1, 9_000);
    for caller in 2..6 {
        host.request_model("fan", caller, 9_000);
    }
    assert_eq!(host.refusals(), [(summary, RefusalOutcome::NotRun, RefusalReason::QueueFull)]);
    let alarm = host.request_model("fan", 7, 9_500);
    assert_eq!(host.refusals()[1].0, alarm, "the latest deadline in the queue");
}

#[test]
fn can_limit_the_open_requests_of_one_caller() {
    let mut host = TestHost::new();
    for _ in 0..2 {
        host.request_model("heat", 1, 9_000);
        host.end_attempt(host.dispatches().len() - 1, AttemptOutcome::Streamed);
    }
    for _ in 0..5 {
        host.request_model("heat", 1, 9_000);
    }
    let over = host.request_model("heat", 1, 9_000);
    let other = host.request_model("heat", 2, 9_000);
    assert_eq!(host.refusals(), [(over, RefusalOutcome::NotRun, RefusalReason::CallerLimit)]);
    host.end_attempt(2, AttemptOutcome::Streamed);
    host.end_attempt(3, AttemptOutcome::Streamed);
    host.end_attempt(4, AttemptOutcome::Streamed);
    host.end_attempt(5, AttemptOutcome::Streamed);
    assert!(host.dispatched_tickets().contains(&other));
}

#[test]
fn can_report_that_an_earlier_attempt_may_have_run() {
    let mut host = TestHost::new();
    let first = host.request_model("heat", 1, 1_000);
    // The engine fails until it is ejected, so the last retry waits until the deadline.
    for _ in 0..3 {
        let last = host.dispatches().len() - 1;
        host.end_attempt(last, AttemptOutcome::Broken);
    }
    host.advance(1_000);
    assert_eq!(host.refusals()[0].0, first);
    assert_eq!(host.refusals()[0].1, RefusalOutcome::Unknown);
}

#[test]
fn can_refuse_a_request_without_an_attempt_as_not_run() {
    let mut host = TestHost::new();
    host.request_model("heat", 1, 9_000);
    host.request_model("heat", 1, 9_000);
    let waiting = host.request_model("heat", 1, 300);
    host.advance(300);
    let refusal = (waiting, RefusalOutcome::NotRun, RefusalReason::DeadlinePassed);
    assert_eq!(host.refusals(), [refusal]);
}

#[test]
fn can_delay_dispatches_after_a_freeze_until_the_host_list_is_read() {
    let mut host = TestHost::new();
    host.now = host.now.after(Duration::from_secs(8));
    let read_at = host.now.before(Duration::from_secs(1));
    host.request_model("heat", 1, 9_000);
    host.submit(HostEvent::HostListRead(read_at, Vec::new()));
    assert!(
        host.dispatched_tickets().is_empty(),
        "neither at once nor after a host list requested earlier"
    );
    host.list_upstreams();
    host.advance(20);
    assert_eq!(host.dispatched_tickets().len(), 1);
}

#[test]
fn can_refuse_waiting_requests_before_the_process_exits() {
    let mut host = TestHost::new();
    let running = [host.request_model("flock", 1, 20_000), host.request_model("flock", 1, 20_000)];
    let waiting = host.request_model("heat", 2, 20_000);
    assert_eq!(host.dispatched_tickets(), running);
    host.submit(HostEvent::Drain);
    assert_eq!(host.refusals(), [], "the waiting request may still be served");
    host.submit(HostEvent::DrainOver);
    let refusal = (waiting, RefusalOutcome::NotRun, RefusalReason::HostEnds);
    assert_eq!(host.refusals(), [refusal], "running requests continue");
    // Others could not end in time: one that arrives, and one that its upstream did not run.
    let late = host.request_model("heat", 2, 20_000);
    host.end_attempt(0, AttemptOutcome::NotRun { misplaced: false });
    let refused = [waiting, late, running[0]];
    let refusals = refused.map(|ticket| (ticket, RefusalOutcome::NotRun, RefusalReason::HostEnds));
    assert_eq!(host.refusals(), refusals);
    assert_eq!(host.dispatched_tickets(), running);
}
