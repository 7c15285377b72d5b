//! A zone that is cut off: a host tells it from slow upstreams, and its requests go elsewhere.

mod support;

use std::time::Duration;

use support::TestHost;
use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::TimingRules;
use wagtailledge_decisions::discovery::RegistryUpdate;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::event::StreamObservation;
use wagtailledge_decisions::event::UpstreamReach;
use wagtailledge_decisions::message::LeaderNotice;
use wagtailledge_decisions::message::LimitTable;
use wagtailledge_decisions::message::PeerMessage;
use wagtailledge_decisions::message::QuarantineTable;
use wagtailledge_decisions::message::StoreView;
use wagtailledge_decisions::message::TableUpdate;
use wagtailledge_decisions::quota::QuotaTable;
use wagtailledge_decisions::reachability::FailureRow;
use wagtailledge_decisions::reachability::OutageRow;
use wagtailledge_decisions::reachability::SharedFailures;
use wagtailledge_decisions::request::PromptShape;
use wagtailledge_decisions::request::RefusalOutcome;
use wagtailledge_decisions::request::RefusalReason;
use wagtailledge_decisions::request::RequestRepeat;
use wagtailledge_decisions::request::RequestTarget;
use wagtailledge_decisions::request::RouteTerms;
use wagtailledge_inventory::UpstreamKey;

/// Inventory with a service of four instances in `west` and two in `north`. The host is in `east`.
fn inventory() -> String {
    let service = "[[class]]\nname = \"alarm\"\nrank = 0\ndeadline = \"10s\"\n\
                   [[service]]\nname = \"vents\"\nclass = \"alarm\"\nidempotent = [\"/\"]\n";
    let instance = |number| {
        let zone = if number <= 4 { "west" } else { "north" };
        format!(
            "[[service.instance]]\nname = \"v{number}\"\nzone = \"{zone}\"\n\
             address = \"127.0.0.1:900{number}\"\nslots = 40\n"
        )
    };
    let instances: Vec<String> = (1..=6).map(instance).collect();
    service.to_owned() + &instances.concat()
}

fn host(shared_failures: SharedFailures) -> TestHost {
    let timing = TimingRules { shared_failures, ..TimingRules::default() };
    let mut host = TestHost::with_timing(&inventory(), timing);
    host.advance(10);
    host
}

fn leader_notice() -> LeaderNotice {
    LeaderNotice {
        epoch: 1,
        successors: Vec::new(),
        revision: 1,
        update: TableUpdate { table: 1, since: 0, version: 1, rows: Vec::new() },
        registry: RegistryUpdate::default(),
        declined: Vec::new(),
        limits: LimitTable::default(),
        quarantine: QuarantineTable::default(),
        quota: QuotaTable::default(),
        hosts: 0,
        lease: None,
        store: StoreView::default(),
        outages: Vec::new(),
    }
}

fn zone_of(host: &TestHost, upstream: UpstreamKey) -> String {
    host.reducer.catalog().upstreams[upstream].zone.clone()
}

fn terms(resumable: bool) -> RouteTerms {
    RouteTerms {
        rank: 1,
        attempts: 3,
        objective: Duration::from_millis(800),
        streaming: true,
        resumable,
        sticky: false,
        prompt: PromptShape::default(),
        stream_id: None,
        resumes: None,
    }
}

fn submit(host: &mut TestHost, repeat: RequestRepeat, terms: Option<RouteTerms>) -> u64 {
    let service = host.reducer.catalog().services.keys().next().unwrap();
    host.submit_with_terms(RequestTarget::Service(service), repeat, 1, 5_000, terms)
}

/// Zones that requests were sent to, in order.
fn zones(host: &TestHost) -> Vec<String> {
    let receiver = |effect: &HostEffect| match effect {
        HostEffect::Dispatch { upstream, .. } => Some(zone_of(host, *upstream)),
        _ => None,
    };
    host.effects.iter().filter_map(receiver).collect()
}

/// Choices of the `health` lines about zones and attempts.
fn health(host: &TestHost) -> Vec<String> {
    let line = |effect: &HostEffect| match effect {
        HostEffect::LogDecision(record)
            if record.choice.contains("zone") || record.choice == "attempt ended" =>
        {
            Some(record.choice.clone())
        }
        _ => None,
    };
    host.effects.iter().filter_map(line).collect()
}

/// Advances the clock; checks of the cut zone remain silent, others are answered.
fn advance_with_cut(host: &mut TestHost, millis: u64, cut: &str) {
    let mut seen = host.effects.len();
    for _ in 0..millis / 10 {
        host.advance(10);
        let checks: Vec<UpstreamKey> = host.effects[seen..]
            .iter()
            .filter_map(|effect| match effect {
                HostEffect::CheckUpstream(upstream) => Some(*upstream),
                _ => None,
            })
            .collect();
        seen = host.effects.len();
        for upstream in checks {
            if zone_of(host, upstream) != cut {
                host.submit(HostEvent::UpstreamChecked(upstream, UpstreamReach::Listening));
            }
        }
    }
}

/// Sends requests until one went to the zone; returns the index of its dispatch.
fn submit_to(
    host: &mut TestHost,
    zone: &str,
    repeat: &RequestRepeat,
    terms: Option<&RouteTerms>,
) -> usize {
    for _ in 0..200 {
        submit(host, repeat.clone(), terms.cloned());
        let index = zones(host).len() - 1;
        if zones(host)[index] == zone {
            return index;
        }
        host.end_attempt(index, AttemptOutcome::Streamed);
    }
    panic!("no request went to {zone}");
}

#[test]
fn can_send_a_hanging_request_elsewhere_when_its_zone_is_cut_off() {
    let mut host = host(SharedFailures::On);
    let index = submit_to(&mut host, "west", &RequestRepeat::Idempotent, None);
    advance_with_cut(&mut host, 600, "west");
    assert_eq!(health(&host), ["zone unreachable", "attempt ended"]);
    host.end_attempt(index, AttemptOutcome::Broken);
    assert_eq!(zones(&host).last().unwrap(), "north");
    // Nothing new goes to the zone until one of its upstreams answers a probe.
    let sent = zones(&host).len();
    for _ in 0..20 {
        submit(&mut host, RequestRepeat::Idempotent, None);
    }
    assert!(zones(&host)[sent..].iter().all(|zone| zone == "north"), "{:?}", zones(&host));
    advance_with_cut(&mut host, 400, "none");
    assert_eq!(health(&host).last().unwrap(), "zone back", "within a second after the cut");
    let sent = zones(&host).len();
    for _ in 0..30 {
        submit(&mut host, RequestRepeat::Idempotent, None);
    }
    let back = zones(&host)[sent..].iter().filter(|zone| *zone == "west").count();
    assert!((1..=4).contains(&back), "a few at a time, not {back}");
}

#[test]
fn can_keep_a_zone_whose_upstreams_are_slow() {
    // Several upstreams without a first event for seconds, whose machines accept connections.
    let mut host = host(SharedFailures::On);
    for _ in 0..40 {
        submit(&mut host, RequestRepeat::Idempotent, None);
    }
    advance_with_cut(&mut host, 3_000, "none");
    assert_eq!(health(&host), [] as [&str; 0]);
}

#[test]
fn can_keep_a_zone_after_this_host_was_frozen() {
    // All answers are late because the process had no processor time.
    let mut host = host(SharedFailures::On);
    for _ in 0..40 {
        submit(&mut host, RequestRepeat::Idempotent, None);
    }
    host.now = host.now.after(Duration::from_secs(2));
    host.submit(HostEvent::Tick);
    assert!(zones(&host).iter().filter(|zone| *zone == "west").count() >= 10);
    for index in 0..40 {
        host.end_attempt(index, AttemptOutcome::Unreached);
    }
    assert_eq!(health(&host), [] as [&str; 0]);
}

#[test]
fn can_take_up_a_silent_stream_and_end_one_that_cannot_go_on() {
    for resumable in [true, false] {
        let mut host = host(SharedFailures::On);
        let repeat = RequestRepeat::Idempotent;
        let index = submit_to(&mut host, "west", &repeat, Some(&terms(resumable)));
        let (request, attempt, ticket) = host.dispatches()[index];
        host.begin_answer(index);
        host.submit(HostEvent::AttemptAdvanced(request, attempt));
        let since = host.now;
        for _ in 0..16 {
            advance_with_cut(&mut host, 50, "west");
            let silent = vec![(request, attempt, since)];
            let observation = StreamObservation { silent, heard: Vec::new() };
            host.submit(HostEvent::StreamsObserved(observation));
        }
        assert_eq!(health(&host), ["zone unreachable", "attempt ended"]);
        host.end_attempt(index, AttemptOutcome::Broken);
        if resumable {
            assert_eq!(zones(&host).last().unwrap(), "north");
            assert_eq!(host.refusals(), []);
        } else {
            let reason = RefusalReason::UpstreamFailed;
            assert_eq!(host.refusals(), [(ticket, RefusalOutcome::Unknown, reason)]);
        }
    }
}

#[test]
fn can_end_a_request_that_may_not_run_twice_with_what_is_known() {
    let mut host = host(SharedFailures::On);
    let index = submit_to(&mut host, "west", &RequestRepeat::Unkeyed, None);
    let (_, _, ticket) = host.dispatches()[index];
    advance_with_cut(&mut host, 600, "west");
    let sent = zones(&host).len();
    host.end_attempt(index, AttemptOutcome::Broken);
    assert_eq!(zones(&host).len(), sent, "it is not sent again");
    let reason = RefusalReason::UpstreamFailed;
    assert_eq!(host.refusals(), [(ticket, RefusalOutcome::Unknown, reason)]);
}

#[test]
fn can_serve_as_before_while_the_setting_is_off() {
    for setting in [SharedFailures::Off, SharedFailures::Auto] {
        let mut host = host(setting);
        for _ in 0..20 {
            submit(&mut host, RequestRepeat::Idempotent, None);
        }
        host.advance(2_000);
        let is_new = |effect: &HostEffect| {
            matches!(effect, HostEffect::CheckUpstream(_) | HostEffect::EndAttempt(..))
        };
        assert!(!host.effects.iter().any(is_new), "{setting:?}");
    }
}

/// Row about an upstream as a leader publishes it.
fn outage(upstream: &str) -> OutageRow {
    OutageRow { upstream: upstream.to_owned(), started_ms: 0, age_ms: 20, left_ms: 2_980, hosts: 3 }
}

#[test]
fn can_avoid_a_reported_upstream_until_a_check_is_accepted() {
    let mut host = host(SharedFailures::On);
    host.receive(PeerMessage::Leader(LeaderNotice {
        outages: vec![outage("v5"), outage("unknown")],
        ..leader_notice()
    }));
    host.advance(40);
    let reported = host.reducer.catalog().upstream_named("v5").unwrap();
    for _ in 0..30 {
        submit(&mut host, RequestRepeat::Idempotent, None);
    }
    let is_sent = |effect: &HostEffect| matches!(effect, HostEffect::Dispatch { upstream, .. } if *upstream == reported);
    assert!(!host.effects.iter().any(is_sent));
    host.advance(50);
    let is_check =
        |effect: &HostEffect| matches!(effect, HostEffect::CheckUpstream(key) if *key == reported);
    assert!(host.effects.iter().any(is_check), "it gets probes");
    host.submit(HostEvent::UpstreamChecked(reported, UpstreamReach::Listening));
    for _ in 0..30 {
        submit(&mut host, RequestRepeat::Idempotent, None);
    }
    assert!(host.effects.iter().any(is_sent));
}

#[test]
fn can_report_failures_to_the_leader() {
    let mut host = host(SharedFailures::On);
    host.receive(PeerMessage::Leader(leader_notice()));
    let index = submit_to(&mut host, "west", &RequestRepeat::Idempotent, None);
    host.end_attempt(index, AttemptOutcome::Unreached);
    host.advance(20);
    let failures = |effect: &HostEffect| match effect {
        HostEffect::Send(_, message) => match message.as_ref() {
            PeerMessage::Demand(notice) => Some(notice.failures.clone()),
            _ => None,
        },
        _ => None,
    };
    let reports: Vec<Vec<FailureRow>> = host.effects.iter().filter_map(failures).collect();
    let named: Vec<usize> = reports.iter().map(Vec::len).filter(|count| *count > 0).collect();
    assert_eq!(named, [1], "at once, and once");
}

#[test]
fn can_omit_failures_from_messages_without_any() {
    // Hosts of earlier builds must get the same bytes.
    let notice = serde_json::to_string(&leader_notice()).unwrap();
    assert!(!notice.contains("\"o\""), "{notice}");
}
