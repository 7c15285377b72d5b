//! Which waiting request is served, shed or refused, and with what outcome.

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
    let running = [host.ask("flock", 1, 20_000), host.ask("flock", 1, 20_000)];
    let summary = host.ask("flock", 1, 5_000);
    let alarm = host.ask("heat", 2, 20_000);
    host.end(0, AttemptOutcome::Streamed);
    assert_eq!(host.served(), [running[0], running[1], alarm]);
    host.end(1, AttemptOutcome::Streamed);
    assert_eq!(host.served()[3], summary);
}

#[test]
fn can_keep_one_burst_from_starving_another_model_of_its_class() {
    let mut host = TestHost::new();
    for _ in 0..4 {
        host.ask("heat", 1, 9_000);
    }
    let other = host.ask("fan", 2, 20_000);
    host.end(0, AttemptOutcome::Streamed);
    assert_eq!(host.served()[2], other, "although its deadline is later");
}

#[test]
fn can_shed_the_lowest_class_first() {
    let mut host = TestHost::new();
    host.ask("heat", 1, 9_000);
    host.ask("heat", 1, 9_000);
    let summary = host.ask("flock", 1, 9_000);
    for caller in 2..6 {
        host.ask("fan", caller, 9_000);
    }
    assert_eq!(host.refused(), [(summary, RefusalOutcome::NotRun, RefusalReason::QueueFull)]);
    let alarm = host.ask("fan", 7, 9_500);
    assert_eq!(host.refused()[1].0, alarm, "the latest deadline of what is left");
}

#[test]
fn can_limit_one_caller() {
    let mut host = TestHost::new();
    for _ in 0..2 {
        host.ask("heat", 1, 9_000);
        host.end(host.dispatched().len() - 1, AttemptOutcome::Streamed);
    }
    for _ in 0..5 {
        host.ask("heat", 1, 9_000);
    }
    let over = host.ask("heat", 1, 9_000);
    let other = host.ask("heat", 2, 9_000);
    assert_eq!(host.refused(), [(over, RefusalOutcome::NotRun, RefusalReason::CallerLimit)]);
    host.end(2, AttemptOutcome::Streamed);
    host.end(3, AttemptOutcome::Streamed);
    host.end(4, AttemptOutcome::Streamed);
    host.end(5, AttemptOutcome::Streamed);
    assert!(host.served().contains(&other));
}

#[test]
fn can_tell_that_an_earlier_attempt_may_have_run() {
    let mut host = TestHost::new();
    let first = host.ask("heat", 1, 1_000);
    // The engine fails until it is set aside, so that the retry waits to the end.
    for _ in 0..3 {
        let last = host.dispatched().len() - 1;
        host.end(last, AttemptOutcome::Broken);
    }
    host.pass(1_000);
    assert_eq!(host.refused()[0].0, first);
    assert_eq!(host.refused()[0].1, RefusalOutcome::Unknown);
}

#[test]
fn can_refuse_as_not_run_what_never_left() {
    let mut host = TestHost::new();
    host.ask("heat", 1, 9_000);
    host.ask("heat", 1, 9_000);
    let waiting = host.ask("heat", 1, 300);
    host.pass(300);
    let refusal = (waiting, RefusalOutcome::NotRun, RefusalReason::DeadlinePassed);
    assert_eq!(host.refused(), [refusal]);
}

#[test]
fn can_hold_dispatches_after_a_freeze_until_the_list_is_read() {
    let mut host = TestHost::new();
    host.now = host.now.after(Duration::from_secs(8));
    let asked = host.now.before(Duration::from_secs(1));
    host.ask("heat", 1, 9_000);
    host.submit(HostEvent::Hosts(asked, Vec::new()));
    assert!(host.served().is_empty(), "neither at once nor by a list from before");
    host.list();
    host.pass(20);
    assert_eq!(host.served().len(), 1);
}

#[test]
fn can_refuse_what_waits_before_the_process_ends() {
    let mut host = TestHost::new();
    let running = [host.ask("flock", 1, 20_000), host.ask("flock", 1, 20_000)];
    let waiting = host.ask("heat", 2, 20_000);
    assert_eq!(host.served(), running);
    host.submit(HostEvent::Drain);
    assert_eq!(host.refused(), [], "it may still be served");
    host.submit(HostEvent::DrainOver);
    let refusal = (waiting, RefusalOutcome::NotRun, RefusalReason::HostEnds);
    assert_eq!(host.refused(), [refusal], "what runs goes on");
}
