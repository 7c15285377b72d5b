//! What upstreams say about themselves in answers: that they are leaving, or want no requests.

mod support;

use std::time::Duration;

use support::TestHost;
use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::message::PeerMessage;
use wagtailledge_decisions::message::ProcessRow;
use wagtailledge_decisions::request::RefusalOutcome;
use wagtailledge_decisions::request::RefusalReason;
use wagtailledge_decisions::request::RequestRepeat;
use wagtailledge_decisions::request::RequestTarget;
use wagtailledge_inventory::UpstreamKey;

/// Inventory with a plain service of two instances.
const INVENTORY: &str = r#"
[[class]]
name = "alarm"
rank = 0
deadline = "10s"
[[service]]
name = "vents"
class = "alarm"
idempotent = ["/"]
[[service.instance]]
name = "vents-1"
zone = "east"
address = "127.0.0.1:9001"
slots = 2
[[service.instance]]
name = "vents-2"
zone = "east"
address = "127.0.0.1:9002"
slots = 2
"#;

fn upstream(host: &TestHost, name: &str) -> UpstreamKey {
    host.reducer.catalog().upstream_named(name).unwrap()
}

fn submit(host: &mut TestHost, deadline_ms: u64) -> u64 {
    let service = host.reducer.catalog().services.keys().next().unwrap();
    let target = RequestTarget::Service(service);
    host.submit_request(target, RequestRepeat::Idempotent, 1, deadline_ms)
}

/// Upstreams that requests were sent to, in order.
fn receivers(host: &TestHost) -> Vec<UpstreamKey> {
    let receiver = |effect: &HostEffect| match effect {
        HostEffect::Dispatch { upstream, .. } => Some(*upstream),
        _ => None,
    };
    host.effects.iter().filter_map(receiver).collect()
}

#[test]
fn can_send_nothing_new_to_an_instance_that_says_it_leaves() {
    let mut host = TestHost::with_inventory(INVENTORY);
    let (leaving, other) = (upstream(&host, "vents-1"), upstream(&host, "vents-2"));
    host.submit(HostEvent::LeavingReport(leaving));
    // The platform's list still says that it is live.
    host.list_upstreams();
    for _ in 0..4 {
        submit(&mut host, 5_000);
    }
    assert_eq!(receivers(&host), [other, other], "the others wait for a slot");
    host.end_attempt(0, AttemptOutcome::Broken);
    assert!(!receivers(&host).contains(&leaving), "retries count as new");
}

#[test]
fn can_tell_the_leader_which_upstreams_leave() {
    let mut host = TestHost::new();
    let engine = upstream(&host, "llm");
    host.submit(HostEvent::LeavingReport(engine));
    host.advance(10);
    let leaving = |effect: &HostEffect| match effect {
        HostEffect::Send(_, message) => match message.as_ref() {
            PeerMessage::Demand(notice) => Some(notice.leaving.clone()),
            _ => None,
        },
        _ => None,
    };
    let told: Vec<Vec<ProcessRow>> = host.effects.iter().filter_map(leaving).collect();
    assert_eq!(told.last(), Some(&vec![ProcessRow("llm".to_owned(), 0)]));
}

#[test]
fn can_send_nothing_to_an_instance_until_its_pause_is_over() {
    let mut host = TestHost::with_inventory(INVENTORY);
    let (paused, other) = (upstream(&host, "vents-1"), upstream(&host, "vents-2"));
    host.submit(HostEvent::PauseReport(paused, Duration::from_millis(1_500)));
    for _ in 0..3 {
        submit(&mut host, 5_000);
    }
    host.advance(1_400);
    assert_eq!(receivers(&host), [other, other]);
    host.advance(200);
    assert_eq!(receivers(&host), [other, other, paused]);
}

#[test]
fn can_refuse_at_once_with_the_end_of_the_first_pause() {
    let mut host = TestHost::with_inventory(INVENTORY);
    for (name, seconds) in [("vents-1", 8), ("vents-2", 20)] {
        let instance = upstream(&host, name);
        host.submit(HostEvent::PauseReport(instance, Duration::from_secs(seconds)));
    }
    let hasty = submit(&mut host, 5_000);
    let patient = submit(&mut host, 9_000);
    let reason = RefusalReason::UpstreamsPaused;
    assert_eq!(host.refusals(), [(hasty, RefusalOutcome::NotRun, reason)]);
    let delay = host.effects.iter().find_map(|effect| match effect {
        HostEffect::Refuse(_, refusal) => Some(refusal.retry_after),
        _ => None,
    });
    let delay = delay.unwrap();
    let range = Duration::from_secs(8)..=Duration::from_secs(10);
    assert!(range.contains(&delay), "{delay:?}, at most a quarter later than the pause");
    host.advance(8_100);
    assert_eq!(host.dispatched_tickets(), [patient]);
}
