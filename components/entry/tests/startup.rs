//! Requests that arrive before the first configuration. When all hosts of a deployment restart at
//! once, refusing them at once turned hundreds of callers away who have a single retry.

mod support;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use support::NoUpstreams;
use support::call;
use support::inventory_event;
use support::unconfigured_shell;
use wagtailledge_entry::ShellGate;
use wagtailledge_entry::startup::StartupQueue;
use wagtailledge_frontend::CallerGate;
use wagtailledge_frontend::CallerReply;

fn gate(startup_wait: Duration) -> ShellGate {
    ShellGate { shell: unconfigured_shell(Rc::new(NoUpstreams), startup_wait) }
}

#[actix_rt::test]
async fn can_serve_a_request_that_arrived_before_the_first_configuration() {
    let gate = gate(Duration::from_secs(20));
    let mut reply = gate.serve(call());
    assert!((&mut reply).now_or_never().is_none(), "it waits");
    gate.shell.submit(inventory_event());
    // Its route is in the configuration, and its upstream can't be reached.
    let reply = actix_rt::time::timeout(Duration::from_secs(5), reply).await.unwrap();
    assert!(matches!(reply, CallerReply::Refusal(_)), "{reply:?}");
}

#[actix_rt::test]
async fn can_refuse_at_the_end_of_the_startup_wait_and_never_later() {
    let gate = gate(Duration::from_millis(80));
    let waiting = gate.serve(call());
    assert!(matches!(waiting.await, CallerReply::Unconfigured));
    let late = gate.serve(call()).now_or_never();
    assert!(matches!(late, Some(CallerReply::Unconfigured)), "the wait is over");
}

#[actix_rt::test]
async fn can_refuse_at_once_without_a_startup_wait() {
    let gate = gate(Duration::ZERO);
    assert!(matches!(gate.serve(call()).now_or_never(), Some(CallerReply::Unconfigured)));
}

#[actix_rt::test]
async fn can_leave_three_quarters_of_the_time_of_a_request() {
    let gate = gate(Duration::from_secs(20));
    let started = std::time::Instant::now();
    let mut hurried = call();
    hurried.deadline = Some(Duration::from_millis(400));
    assert!(matches!(gate.serve(hurried).await, CallerReply::Unconfigured));
    assert!(started.elapsed() < Duration::from_millis(300), "{:?}", started.elapsed());
}

#[actix_rt::test]
async fn can_bound_the_bodies_of_waiting_requests() {
    let gate = gate(Duration::from_secs(20));
    let body = Bytes::from(vec![0; 1 << 20]);
    let mut waiting = Vec::new();
    let refused = (0..20).filter(|_| {
        let mut large = call();
        large.body = body.clone();
        let mut reply = gate.serve(large);
        let refused = (&mut reply).now_or_never().is_some();
        waiting.push(reply);
        refused
    });
    assert_eq!(refused.count(), 12, "eight of 1 MiB fit");
}

#[test]
fn can_free_the_place_of_a_caller_that_leaves() {
    let queue = StartupQueue::new(Duration::from_secs(20));
    let place = queue.enter(10, None);
    assert_eq!(queue.waiting(), 1);
    drop(place);
    assert_eq!(queue.waiting(), 0);
}
