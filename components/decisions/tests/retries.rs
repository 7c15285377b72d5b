//! When a request is sent to another upstream, and what its caller gets in the end.

mod support;

use std::time::Duration;

use support::TestHost;
use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::request::RecordedAnswer;
use wagtailledge_decisions::request::RequestRepeat;
use wagtailledge_decisions::request::RequestTarget;
use wagtailledge_decisions::retry::RetryRules;

const INVENTORY: &str = r#"
[[class]]
name = "alarm"
rank = 0
deadline = "10s"
[[service]]
name = "status"
class = "alarm"
idempotent = ["/"]
[[service.instance]]
name = "status-1"
zone = "east"
address = "127.0.0.1:9001"
[[service.instance]]
name = "status-2"
zone = "east"
address = "127.0.0.1:9002"
"#;

fn host_with_budget(ratio: f64) -> TestHost {
    let mut host = TestHost::with_inventory(INVENTORY);
    let window = Duration::from_secs(10);
    host.submit(HostEvent::RetryRules(RetryRules { ratio, allowance: 0, window }));
    host
}

fn ask(host: &mut TestHost, repeat: RequestRepeat) -> u64 {
    let service = host.reducer.catalog().services.keys().next().unwrap();
    host.arrive(RequestTarget::Service(service), repeat, 1, 5_000)
}

fn answer(status: u16, body: &'static str) -> AttemptOutcome {
    let (content_type, headers) = ("text/plain".to_owned(), Vec::new());
    AttemptOutcome::Answered(RecordedAnswer { status, content_type, headers, body: body.into() })
}

/// Answers so far: the front's number, status and body.
fn answers(host: &TestHost) -> Vec<(u64, u16, String)> {
    let told = |effect: &HostEffect| match effect {
        HostEffect::Answer(ticket, answer) => {
            Some((ticket.0, answer.status, String::from_utf8_lossy(&answer.body).into_owned()))
        }
        _ => None,
    };
    host.effects.iter().filter_map(told).collect()
}

#[test]
fn can_ask_another_upstream_when_one_answers_that_it_failed() {
    let mut host = host_with_budget(2.0);
    let asked = ask(&mut host, RequestRepeat::Idempotent);
    host.end(0, answer(500, "first"));
    assert_eq!(answers(&host), [], "another one is asked first");
    host.end(1, answer(200, "second"));
    assert_eq!(answers(&host), [(asked, 200, "second".to_owned())]);
    assert_eq!(host.served(), [asked, asked]);
}

#[test]
fn can_deliver_a_failure_when_no_retry_is_left() {
    let mut host = host_with_budget(0.0);
    let asked = ask(&mut host, RequestRepeat::Idempotent);
    host.end(0, answer(500, "first"));
    assert_eq!(answers(&host), [(asked, 500, "first".to_owned())], "at once");
    assert_eq!(host.served(), [asked]);
}

#[test]
fn can_deliver_the_failure_when_the_retry_brings_nothing() {
    let mut host = host_with_budget(2.0);
    let asked = ask(&mut host, RequestRepeat::Idempotent);
    host.end(0, answer(500, "first"));
    host.pass(6_000);
    assert_eq!(answers(&host), [(asked, 500, "first".to_owned())]);
    assert_eq!(host.refused(), [], "one answer only");
}

#[test]
fn can_never_repeat_what_ran_and_must_run_once() {
    let mut host = host_with_budget(2.0);
    let asked = ask(&mut host, RequestRepeat::Unkeyed);
    host.end(0, answer(500, "first"));
    assert_eq!(answers(&host), [(asked, 500, "first".to_owned())]);
    assert_eq!(host.served(), [asked]);
}
