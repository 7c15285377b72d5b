//! Choice of engines by expected work, and refusals for which it is the reason.

mod engine_fleet;
mod support;

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::Moment;
use wagtailledge_decisions::TimingRules;
use wagtailledge_decisions::effect::DecisionKind;
use wagtailledge_decisions::event::UpstreamLoad;
use wagtailledge_decisions::request::PromptShape;
use wagtailledge_decisions::request::RefusalOutcome;
use wagtailledge_decisions::request::RefusalReason;
use wagtailledge_decisions::request::RequestKey;
use wagtailledge_decisions::request::RequestRepeat;
use wagtailledge_decisions::request::RouteTerms;
use wagtailledge_decisions::routing::ChoiceBasis;
use wagtailledge_decisions::routing::PromptWork;
use wagtailledge_decisions::routing::UpstreamCandidate;
use wagtailledge_decisions::routing::WorkTracker;
use wagtailledge_inventory::UpstreamKey;

use engine_fleet::Basis;
use engine_fleet::LONG;
use engine_fleet::SHORT;
use engine_fleet::run_fleet;
use support::TestHost;

/// Objectives for the first event of long and short prompts in ms.
const OBJECTIVES_MS: [f64; 2] = [800.0, 500.0];
const SHORT_PROMPT: PromptWork =
    PromptWork { tokens: 826, shared: 0, prefix: None, sticky: false, output: 294 };

#[test]
fn can_meet_the_objectives_of_long_and_short_prompts() {
    // Guards against long prompts that gather where streams run, and against engines of pace 1.2 that
    // get as much as those of pace 0.55.
    for seed in 1..=2 {
        let by_requests = run_fleet(seed, Basis::Requests, None);
        let by_work = run_fleet(seed, Basis::Work, None);
        for kind in [LONG, SHORT] {
            let bound = OBJECTIVES_MS[kind];
            let (before, late) = (by_requests.late(kind, bound), by_work.late(kind, bound));
            println!("seed {seed}, kind {kind}: {before:.3} late by requests, {late:.3} by work");
            assert!(before > 0.04, "the load is no test: {before}");
            assert!(late < 0.04 && late < before * 0.6, "{late} by work, {before} by requests");
        }
        // 105 engines of pace 1.2 and 35 of pace 0.55 have 58 % of the speed in the former.
        assert!(by_requests.share_of_slow() > 0.7);
        assert!(by_work.share_of_slow() < 0.6, "{}", by_work.share_of_slow());
    }
}

#[test]
fn can_withstand_absurd_paces() {
    // Guards against an engine that draws all requests, or none, by what it says about itself.
    for pace in [0, 10, 30, 600, u16::MAX] {
        let result = run_fleet(1, Basis::Work, Some(pace));
        for kind in [LONG, SHORT] {
            let late = result.late(kind, OBJECTIVES_MS[kind]);
            println!("pace {pace}, kind {kind}: {late:.3} late");
            // A figure that could be true draws requests or keeps them away, within the target.
            assert!(late < 0.08, "{late} of kind {kind} late with pace {pace}");
            let changes = (30..=600).contains(&pace);
            assert!(changes || late < 0.04, "{late} of kind {kind} late with pace {pace}");
        }
    }
}

/// Two engines of a host, its clock and its estimates.
struct Pair {
    work: WorkTracker,
    candidates: [UpstreamCandidate; 2],
    requests: SlotMap<RequestKey, ()>,
    now: Moment,
    rng: SmallRng,
}

impl Pair {
    fn new() -> Self {
        let mut upstreams: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
        let candidates = [1, 2].map(|name_hash| UpstreamCandidate {
            key: upstreams.insert(()),
            slots: 32,
            local: true,
            name_hash,
        });
        let (work, requests) = (WorkTracker::default(), SlotMap::with_key());
        let rng = SmallRng::seed_from_u64(1);
        Self { work, candidates, requests, now: Moment(1_000_000_000), rng }
    }

    fn report(&mut self, engine: usize, running: u32, pace: u16) {
        self.now = self.now.after(Duration::from_millis(300));
        let load = UpstreamLoad { running, waiting: 0, pace: Some(pace) };
        self.work.record_load(self.now, self.candidates[engine].key, load);
    }

    /// Requests of a hundred that the first engine gets.
    fn share_of_first(&mut self) -> usize {
        let (work, now) = (&self.work, self.now);
        let first = self.candidates[0].key;
        let choices = (0..100).map(|_| {
            work.choose(now, &self.candidates, &SHORT_PROMPT, &mut self.rng).unwrap().best.key
        });
        choices.filter(|key| *key == first).count()
    }

    fn send_to_first(&mut self, prompt: &PromptWork) -> RequestKey {
        let request = self.requests.insert(());
        let estimate = self.work.estimates(self.now, &self.candidates, prompt)[0];
        self.work.record_sent(self.now, request, prompt, estimate);
        request
    }
}

#[test]
fn can_leave_an_engine_that_became_slow() {
    let mut pair = Pair::new();
    for _ in 0..5 {
        pair.report(0, 1, 55);
        pair.report(1, 1, 120);
    }
    assert_eq!(pair.share_of_first(), 100);
    // A short peak has no effect.
    pair.report(0, 1, 300);
    pair.report(0, 1, 250);
    assert_eq!(pair.share_of_first(), 100);
    pair.report(0, 1, 300);
    assert_eq!(pair.share_of_first(), 0, "the third answer shows that it is slow");
    for _ in 0..4 {
        pair.report(0, 1, 55);
    }
    assert_eq!(pair.share_of_first(), 0, "it gets requests again gradually");
    for _ in 0..6 {
        pair.report(0, 1, 55);
    }
    assert_eq!(pair.share_of_first(), 100);
}

#[test]
fn can_leave_an_engine_that_does_not_answer() {
    // Guards against requests queued behind a stuck one, of which no load report tells.
    let mut pair = Pair::new();
    pair.report(0, 1, 55);
    pair.report(1, 1, 120);
    let request = pair.send_to_first(&SHORT_PROMPT);
    assert_eq!(pair.share_of_first(), 100);
    pair.now = pair.now.after(Duration::from_millis(400));
    assert_eq!(pair.share_of_first(), 0);
    pair.work.record_ended(request);
    assert_eq!(pair.share_of_first(), 100);
}

#[test]
fn can_keep_long_prompts_and_streams_apart() {
    let mut pair = Pair::new();
    let long = PromptWork { tokens: 9_190, ..SHORT_PROMPT };
    pair.report(0, 6, 100);
    pair.report(1, 0, 100);
    let choice = pair.work.choose(pair.now, &pair.candidates, &long, &mut pair.rng).unwrap();
    assert_eq!(choice.best.key, pair.candidates[1].key, "few streams are delayed there");
    // The short prompt goes where no prompt of 240 ms is ahead, although streams run there.
    let mut pair = Pair::new();
    pair.report(0, 1, 100);
    pair.report(1, 3, 100);
    pair.send_to_first(&long);
    assert_eq!(pair.share_of_first(), 0);
}

#[test]
fn can_refuse_only_by_fresh_observations_of_all_engines() {
    let mut pair = Pair::new();
    let long = PromptWork { tokens: 9_190, ..SHORT_PROMPT };
    let time_left = Duration::from_millis(800);
    for _ in 0..40 {
        pair.send_to_first(&long);
    }
    pair.report(0, 40, 100);
    let wait = |pair: &Pair, count: usize, time_left: Duration| {
        pair.work.wait_beyond(pair.now, &pair.candidates[..count], &SHORT_PROMPT, time_left)
    };
    assert!(wait(&pair, 1, time_left).is_some_and(|wait| wait > time_left * 2));
    assert_eq!(wait(&pair, 2, time_left), None, "the other engine may be idle");
    assert_eq!(wait(&pair, 1, Duration::from_secs(60)), None);
    pair.now = pair.now.after(Duration::from_millis(1_100));
    assert_eq!(wait(&pair, 1, time_left), None, "the report is too old");
}

/// Host with an engine that reported its load.
fn host_with_report(choice: ChoiceBasis, pace: Option<u16>) -> TestHost {
    let timing = TimingRules { choice, ..TimingRules::default() };
    let mut host = TestHost::with_models(timing);
    let (upstream, _) = host.reducer.catalog().upstreams.iter().next().unwrap();
    let load = UpstreamLoad { running: 1, waiting: 0, pace };
    host.submit(HostEvent::LoadReport(upstream, load));
    host
}

/// Submits a request with a prompt of this size; returns its ticket.
fn submit_prompt(host: &mut TestHost, tokens: u32, deadline_ms: u64) -> u64 {
    let terms = RouteTerms {
        rank: 1,
        attempts: 2,
        objective: Duration::from_millis(800),
        streaming: true,
        resumable: false,
        sticky: true,
        prompt: PromptShape { parts: Vec::new(), input: tokens, output: 54 },
        stream_id: None,
        resumes: None,
    };
    let target = host.reducer.resolve_model("heat").unwrap();
    host.submit_with_terms(target, RequestRepeat::Idempotent, 1, deadline_ms, Some(terms))
}

/// Reason and inputs of the route line of a request with a declared prompt.
fn route_line(choice: ChoiceBasis, pace: Option<u16>) -> (&'static str, String) {
    let mut host = host_with_report(choice, pace);
    submit_prompt(&mut host, 9_190, 5_000);
    let route = |effect: &HostEffect| match effect {
        HostEffect::LogDecision(record) if record.kind == DecisionKind::Route => {
            Some((record.reason, record.inputs.clone()))
        }
        _ => None,
    };
    host.effects.iter().find_map(route).unwrap()
}

#[test]
fn can_choose_as_before_where_no_pace_is_stated() {
    let before = ("least expected load", String::new());
    assert_eq!(route_line(ChoiceBasis::Auto, None), before);
    assert_eq!(route_line(ChoiceBasis::Requests, Some(120)), before);
    for (choice, pace) in [(ChoiceBasis::Auto, Some(120)), (ChoiceBasis::Work, Some(120))] {
        let (reason, inputs) = route_line(choice, pace);
        assert_eq!(reason, "least expected work");
        assert!(inputs.contains("pace 1.20") && inputs.contains("tokens ahead"), "{inputs}");
    }
    assert_eq!(route_line(ChoiceBasis::Work, None).0, "least expected work");
}

#[test]
fn can_refuse_at_once_what_no_replica_can_begin_in_time() {
    // Guards against callers that wait for their whole deadline behind prompts of ten seconds.
    for (choice, refused) in [(ChoiceBasis::Auto, true), (ChoiceBasis::Requests, false)] {
        let mut host = host_with_report(choice, Some(100));
        submit_prompt(&mut host, 400_000, 60_000);
        let late = submit_prompt(&mut host, 826, 2_000);
        submit_prompt(&mut host, 826, 60_000);
        let expected = [(late, RefusalOutcome::NotRun, RefusalReason::EnginesBusy)];
        assert_eq!(host.refusals(), &expected[..usize::from(refused)]);
        for effect in &host.effects {
            if let HostEffect::Refuse(_, refusal) = effect {
                let seconds = refusal.retry_after.as_secs_f64();
                assert!((10.0..14.0).contains(&seconds), "{seconds}");
            }
        }
    }
}
