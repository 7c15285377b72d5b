//! Requests and replicas whose model, adapter or service leaves the configuration, and returns.

mod support;

use bytes::Bytes;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::quickcheck;
use support::INVENTORY;
use support::TestHost;
use support::leader::TestLeader;
use support::leader::engine_report;
use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::configuration::to_items;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::order::OrderKind;
use wagtailledge_decisions::order::OrderOutcome;
use wagtailledge_decisions::request::RecordedAnswer;
use wagtailledge_decisions::request::RefusalOutcome;
use wagtailledge_decisions::request::RefusalReason;
use wagtailledge_decisions::request::RequestRepeat;
use wagtailledge_decisions::request::RequestTarget;
use wagtailledge_inventory::parse::parse_inventory;

/// Puts an inventory in force.
fn configure(host: &mut TestHost, revision: u64, inventory: &str) {
    let items = to_items(&parse_inventory("test", inventory).unwrap());
    host.submit(HostEvent::Inventory(revision, items));
}

fn without_heat() -> String {
    INVENTORY.replacen("[[model]]\nname = \"heat\"\nsize = \"10GiB\"\nclass = \"alarm\"\n", "", 1)
}

fn answer(status: u16) -> AttemptOutcome {
    let content_type = String::new();
    let headers = Vec::new();
    AttemptOutcome::Answered(RecordedAnswer { status, content_type, headers, body: Bytes::new() })
}

/// Guards against a host that panics when a request returns as not run after its model was removed.
#[test]
fn can_refuse_a_request_that_did_not_run_before_its_model_was_removed() {
    for misplaced in [false, true] {
        let mut host = TestHost::new();
        let ticket = host.request_model("heat", 1, 5_000);
        assert_eq!(host.dispatched_tickets(), [ticket]);
        configure(&mut host, 2, &without_heat());
        host.end_attempt(0, AttemptOutcome::NotRun { misplaced });
        let refused = (ticket, RefusalOutcome::NotRun, RefusalReason::Removed);
        assert_eq!(host.refusals(), [refused]);
        let other = host.request_model("fan", 1, 5_000);
        assert_eq!(host.dispatched_tickets(), [ticket, other]);
    }
}

#[test]
fn can_refuse_a_broken_request_whose_model_was_removed_as_possibly_run() {
    for outcome in [AttemptOutcome::Broken, AttemptOutcome::Unreached] {
        let mut host = TestHost::new();
        let ticket = host.request_model("heat", 1, 5_000);
        configure(&mut host, 2, &without_heat());
        host.end_attempt(0, outcome.clone());
        let expected = match outcome {
            AttemptOutcome::Unreached => RefusalOutcome::NotRun,
            _ => RefusalOutcome::Unknown,
        };
        assert_eq!(host.refusals(), [(ticket, expected, RefusalReason::Removed)]);
    }
}

/// Items of an inventory, each with the bits of those that it needs and its own.
const ITEMS: [(u8, &str); 5] = [
    (
        0b1,
        r#"
[[service]]
name = "llm"
class = "alarm"
[service.pool]
memory = "80GiB"
adapters = 2
slots = 64
tokens = 100000
host_memory = "100GiB"
disk = "100GiB"
loads_per_minute = 120
checks_tokens = true
"#,
    ),
    (0b11, "[[model]]\nname = \"heat\"\nsize = \"50GiB\"\nclass = \"alarm\"\nservice = \"llm\"\n"),
    (0b101, "[[model]]\nname = \"fan\"\nsize = \"50GiB\"\nclass = \"alarm\"\nservice = \"llm\"\n"),
    (0b1011, "[[adapter]]\nname = \"barn\"\nbase = \"heat\"\nsize = \"1GiB\"\nclass = \"alarm\"\n"),
    (
        0b10000,
        r#"
[[service]]
name = "vents"
class = "alarm"
idempotent = ["/"]
[[service.instance]]
name = "vents-1"
zone = "east"
address = "127.0.0.1:9002"
slots = 2
"#,
    ),
];
/// Bits of all items.
const ALL_ITEMS: u8 = 0b11111;
/// What every inventory contains.
const CLASSES: &str =
    "[rules]\nkeep_alive = \"2s\"\n[[class]]\nname = \"alarm\"\nrank = 0\ndeadline = \"5s\"\n";

/// Inventory with the items all of whose bits are set in `items`.
fn pool_inventory(items: u8) -> String {
    let kept = ITEMS.iter().filter(|(bits, _)| items & bits == *bits);
    let texts = std::iter::once(CLASSES).chain(kept.map(|(_, text)| *text));
    texts.collect()
}

/// One step of a random run.
#[derive(Debug, Clone, Copy)]
enum RemovalStep {
    /// Requests the target with this number.
    Ask(u8),
    /// Puts the inventory with these items in force.
    Configure(u8),
    /// Begins the answer of an attempt.
    Begin(u8),
    /// Ends an attempt: index, and number of the outcome.
    End(u8, u8),
    /// Answers the oldest order; the number selects the answer.
    AnswerOrder(u8),
    /// Advances the clock, in units of 10 ms.
    Advance(u8),
}

impl Arbitrary for RemovalStep {
    fn arbitrary(g: &mut Gen) -> Self {
        let (choice, value) = (u8::arbitrary(g), u8::arbitrary(g));
        match choice % 9 {
            0 | 1 => Self::Ask(value),
            2 => Self::Configure(value),
            3 => Self::Begin(value),
            4 | 5 => Self::End(value, choice / 9),
            6 | 7 => Self::AnswerOrder(value),
            _ => Self::Advance(value),
        }
    }
}

fn ask(leader: &mut TestLeader, number: u8) -> Option<u64> {
    let reducer = &leader.host.reducer;
    let target = match number % 4 {
        0 => reducer.resolve_model("heat"),
        1 => reducer.resolve_model("fan"),
        2 => reducer.resolve_model("barn"),
        _ => reducer.resolve_service("vents", "GET", "/").map(|(target, _)| target),
    };
    let target: RequestTarget = target?;
    let repeat = if number & 4 == 0 { RequestRepeat::Idempotent } else { RequestRepeat::Unkeyed };
    let ticket = leader.host.submit_request(target, repeat, u64::from(number), 4_000);
    leader.advance(10);
    Some(ticket)
}

fn order_answer(kind: &OrderKind, number: u8, sequence: &mut u64) -> OrderOutcome {
    let resident: &[&str] = match number / 8 % 4 {
        0 => &[],
        1 => &["heat@1"],
        2 => &["heat@1", "barn"],
        _ => &["fan@1"],
    };
    match (kind, number % 4) {
        (OrderKind::Claim, 0) | (_, 3) => OrderOutcome::Lost,
        (OrderKind::Claim, _) => engine_report(*sequence, number & 4 == 0, resident),
        (_, 0) => OrderOutcome::Conflict,
        (_, 1) => OrderOutcome::Unchanged,
        _ => {
            *sequence += 1;
            OrderOutcome::Started
        }
    }
}

fn apply_step(
    leader: &mut TestLeader,
    step: RemovalStep,
    revision: &mut u64,
    sequence: &mut u64,
) -> Option<u64> {
    let dispatches = leader.host.dispatches().len();
    let index = |value: u8| usize::from(value) % dispatches.max(1);
    match step {
        RemovalStep::Ask(number) => return ask(leader, number),
        RemovalStep::Configure(items) => {
            *revision += 1;
            configure(&mut leader.host, *revision, &pool_inventory(items));
        }
        RemovalStep::Begin(value) if dispatches > 0 => leader.host.begin_answer(index(value)),
        RemovalStep::End(value, outcome) if dispatches > 0 => {
            let outcome = match outcome % 7 {
                0 => {
                    leader.host.begin_answer(index(value));
                    AttemptOutcome::Streamed
                }
                1 => answer(200),
                2 => answer(503),
                3 => AttemptOutcome::NotRun { misplaced: true },
                4 => AttemptOutcome::NotRun { misplaced: false },
                5 => AttemptOutcome::Unreached,
                _ => AttemptOutcome::Broken,
            };
            leader.host.end_attempt(index(value), outcome);
        }
        RemovalStep::AnswerOrder(number) => {
            if let Some(order) = leader.next_order() {
                let outcome = order_answer(&order.kind, number, sequence);
                leader.submit(HostEvent::OrderOutcome(order.key, outcome));
            }
        }
        RemovalStep::Advance(units) => leader.advance(u64::from(units) * 10),
        RemovalStep::Begin(_) | RemovalStep::End(..) => {}
    }
    leader.advance(10);
    None
}

quickcheck! {
    /// A host goes on deciding, and ends every request in time, whatever is removed or brought back
    /// while requests are waiting, sent or streamed, and while engines load.
    fn can_decide_while_items_are_removed_and_return(steps: Vec<RemovalStep>) -> bool {
        let mut leader = TestLeader::with_engine(&pool_inventory(ALL_ITEMS), "llm");
        let (mut revision, mut sequence) = (1, 0);
        let mut tickets = Vec::new();
        for step in steps {
            tickets.extend(apply_step(&mut leader, step, &mut revision, &mut sequence));
        }
        leader.advance(5_000);
        let ended = |ticket: &u64| leader.host.effects.iter().any(|effect| match effect {
            HostEffect::Refuse(ended, _)
            | HostEffect::Answer(ended, _)
            | HostEffect::Forward { ticket: ended, .. } => ended.0 == *ticket,
            _ => false,
        });
        tickets.iter().all(ended)
    }
}
