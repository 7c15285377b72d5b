//! What upstreams said about themselves, after their entries lapsed and returned.

mod support;

use std::time::Duration;

use bytes::Bytes;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::quickcheck;
use support::TestHost;
use support::identity;
use support::leader::TestLeader;
use wagtailledge_decisions::HostEffect;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::Moment;
use wagtailledge_decisions::configuration::ItemMap;
use wagtailledge_decisions::configuration::to_items;
use wagtailledge_decisions::discovery::RegistryUpdate;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::event::ListedState;
use wagtailledge_decisions::event::RegisteredUpstream;
use wagtailledge_decisions::event::RegistryChange;
use wagtailledge_decisions::limits::LimitNotice;
use wagtailledge_decisions::limits::LimitPhase;
use wagtailledge_decisions::limits::RequestRate;
use wagtailledge_decisions::message::LeaderNotice;
use wagtailledge_decisions::message::LimitRow;
use wagtailledge_decisions::message::LimitTable;
use wagtailledge_decisions::message::MESSAGE_VERSION;
use wagtailledge_decisions::message::PeerEnvelope;
use wagtailledge_decisions::message::PeerMessage;
use wagtailledge_decisions::message::QuarantineTable;
use wagtailledge_decisions::message::StoreView;
use wagtailledge_decisions::message::TableUpdate;
use wagtailledge_decisions::quota::QuotaTable;
use wagtailledge_decisions::request::RecordedAnswer;
use wagtailledge_decisions::request::RequestRepeat;
use wagtailledge_decisions::request::RequestTarget;
use wagtailledge_inventory::UpstreamKey;
use wagtailledge_inventory::parse::parse_inventory;

/// Inventory with a pool, and a plain service with one declared instance. Another instance of it
/// registers itself.
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
name = "declared"
zone = "east"
address = "127.0.0.1:9001"
slots = 6
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
"#;
/// Inventory without the service.
const EMPTY_INVENTORY: &str = "[[class]]\nname = \"alarm\"\nrank = 0\ndeadline = \"10s\"\n";
/// Instance that registers itself.
const REGISTERED: &str = "registered";
/// Requests after the entry returned.
const REQUESTS: usize = 40;

fn items(inventory: &str) -> ItemMap {
    to_items(&parse_inventory("test", inventory).unwrap())
}

/// Event that brings the entry of the registered instance.
fn entry(started_ms: u64, state: ListedState, revision: u64) -> HostEvent {
    HostEvent::Registry(vec![RegistryChange::Present(Box::new(RegisteredUpstream {
        name: REGISTERED.to_owned(),
        started_ms,
        service: "vents".to_owned(),
        zone: "east".to_owned(),
        scope: "east".to_owned(),
        address: "127.0.0.1:9002".to_owned(),
        software: "v1".to_owned(),
        slots: 6,
        state,
        remaining: None,
        revision,
        report: None,
    }))])
}

/// Host that reads the entry of an instance.
struct EntryReader {
    host: TestHost,
    /// Revision of the latest change of the entry.
    revision: u64,
}

impl EntryReader {
    fn new() -> Self {
        let mut reader = Self { host: TestHost::with_inventory(INVENTORY), revision: 0 };
        reader.put_entry(1, ListedState::Live);
        reader
    }

    /// Reads the entry of a process that started at `started_ms`.
    fn put_entry(&mut self, started_ms: u64, state: ListedState) {
        self.revision += 1;
        self.host.submit(entry(started_ms, state, self.revision));
    }

    /// Reads that the entry is missing.
    fn remove_entry(&mut self) {
        self.revision += 1;
        let change = RegistryChange::Absent(REGISTERED.to_owned(), self.revision);
        self.host.submit(HostEvent::Registry(vec![change]));
        // Outlasts the sweeps of outdated state.
        self.host.advance(20_000);
    }

    fn key(&self) -> UpstreamKey {
        self.host.reducer.catalog().upstream_named(REGISTERED).unwrap()
    }

    /// Sends [`REQUESTS`] requests one after the other; returns how many the registered instance got.
    fn requests_to_registered(&mut self) -> usize {
        requests_to_registered(&mut self.host)
    }
}

/// Sends [`REQUESTS`] requests one after the other; returns how many the registered instance got.
fn requests_to_registered(host: &mut TestHost) -> usize {
    let service = host.reducer.catalog().service_named("vents").unwrap();
    let Some(registered) = host.reducer.catalog().upstream_named(REGISTERED) else {
        return 0;
    };
    let first = host.dispatches().len();
    for index in first..first + REQUESTS {
        let target = RequestTarget::Service(service);
        host.submit_request(target, RequestRepeat::Idempotent, 1, 5_000);
        let answer = RecordedAnswer {
            status: 200,
            content_type: String::new(),
            headers: Vec::new(),
            body: Bytes::new(),
        };
        host.end_attempt(index, AttemptOutcome::Answered(answer));
    }
    let receiver = |effect: &HostEffect| match effect {
        HostEffect::Dispatch { upstream, .. } => Some(*upstream),
        _ => None,
    };
    let receivers = host.effects.iter().filter_map(receiver).skip(first);
    receivers.filter(|upstream| *upstream == registered).count()
}

/// When the answer with a statement arrives.
#[derive(Debug, Clone, Copy)]
enum AnswerTime {
    /// Before the entry lapses.
    Before,
    /// While the entry is missing.
    Meanwhile,
    /// After the entry returned.
    After,
}

/// Sends requests after an instance made a statement and its entry lapsed and returned; returns how
/// many the instance got.
fn requests_after_lapse(
    answer_time: AnswerTime,
    statement: impl Fn(UpstreamKey, Moment) -> HostEvent,
) -> usize {
    let mut reader = EntryReader::new();
    let key = reader.key();
    let event = statement(key, reader.host.now);
    if matches!(answer_time, AnswerTime::Before) {
        reader.host.submit(event.clone());
        assert_eq!(reader.requests_to_registered(), 0, "without a lapse");
    }
    reader.remove_entry();
    if matches!(answer_time, AnswerTime::Meanwhile) {
        reader.host.submit(event.clone());
    }
    reader.put_entry(1, ListedState::Live);
    if matches!(answer_time, AnswerTime::After) {
        reader.host.submit(event);
    }
    reader.requests_to_registered()
}

fn assert_kept(statement: impl Fn(UpstreamKey, Moment) -> HostEvent) {
    for answer_time in [AnswerTime::Before, AnswerTime::Meanwhile, AnswerTime::After] {
        let requests = requests_after_lapse(answer_time, &statement);
        assert_eq!(requests, 0, "answer {answer_time:?}");
    }
}

#[test]
fn can_send_nothing_new_to_a_leaving_upstream_whose_entry_lapsed_and_returned() {
    assert_kept(|key, _| HostEvent::LeavingReport(key));
}

#[test]
fn can_keep_the_pause_of_an_upstream_whose_entry_lapsed_and_returned() {
    assert_kept(|key, _| HostEvent::PauseReport(key, Duration::from_secs(300)));
}

#[test]
fn can_keep_the_limit_of_an_upstream_whose_entry_lapsed_and_returned() {
    let notice = LimitNotice::Limited(RequestRate(100));
    assert_kept(|key, dispatched| HostEvent::LimitStatement(key, dispatched, notice));
}

#[test]
fn can_keep_the_limit_of_an_upstream_that_restarted() {
    for lapses in [false, true] {
        let mut reader = EntryReader::new();
        let notice = LimitNotice::Limited(RequestRate(100));
        reader.host.submit(HostEvent::LimitStatement(reader.key(), reader.host.now, notice));
        if lapses {
            reader.remove_entry();
        }
        reader.put_entry(2, ListedState::Live);
        assert_eq!(reader.requests_to_registered(), 0, "lapse: {lapses}");
    }
}

#[test]
fn can_end_the_limit_of_a_restarted_upstream_for_good() {
    let mut reader = EntryReader::new();
    let notice = LimitNotice::Limited(RequestRate(100));
    reader.host.submit(HostEvent::LimitStatement(reader.key(), reader.host.now, notice));
    reader.put_entry(2, ListedState::Live);
    let mut ended: LimitRow =
        serde_json::from_str("{\"u\":\"registered\",\"b\":2,\"l\":null,\"a\":0}").unwrap();
    ended.phase = Some(LimitPhase(1, 7));
    reader.host.receive(PeerMessage::Leader(leader_notice(LimitTable::default())));
    reader.host.advance(10);
    let PeerMessage::Demand(report) = last_report(&reader.host) else {
        panic!("no report");
    };
    assert_eq!(report.limits.rows.len(), 2, "both processes");
    let (rows, report) = (vec![ended], report.limits.number);
    let limits = LimitTable { rows, version: 1, report, ..LimitTable::default() };
    reader.host.receive(PeerMessage::Leader(leader_notice(limits)));
    assert!(reader.requests_to_registered() > 0);
    // Outlasts the time for which ends are remembered.
    reader.host.advance(70_000);
    reader.put_entry(2, ListedState::Live);
    assert!(reader.requests_to_registered() > 0, "after the next heartbeat");
}

#[test]
fn can_send_nothing_new_to_a_leaving_upstream_whose_entry_says_again_that_it_stays() {
    let mut reader = EntryReader::new();
    reader.put_entry(1, ListedState::Leaving);
    reader.put_entry(1, ListedState::Live);
    assert_eq!(reader.requests_to_registered(), 0);
}

#[test]
fn can_send_nothing_new_to_a_leaving_upstream_after_an_entry_without_a_start_time() {
    for lapses in [false, true] {
        let mut reader = EntryReader::new();
        reader.host.submit(HostEvent::LeavingReport(reader.key()));
        if lapses {
            reader.remove_entry();
        }
        reader.put_entry(0, ListedState::Live);
        reader.put_entry(1, ListedState::Live);
        assert_eq!(reader.requests_to_registered(), 0, "lapse: {lapses}");
    }
}

#[test]
fn can_use_upstreams_whose_entries_never_have_a_start_time() {
    let mut reader = EntryReader { host: TestHost::with_inventory(INVENTORY), revision: 0 };
    reader.put_entry(0, ListedState::Live);
    reader.remove_entry();
    reader.put_entry(0, ListedState::Live);
    assert!(reader.requests_to_registered() > 0);
}

#[test]
fn can_send_nothing_new_to_a_leaving_upstream_after_a_late_heartbeat_of_the_process_before() {
    let mut reader = EntryReader::new();
    reader.put_entry(2, ListedState::Live);
    reader.host.submit(HostEvent::LeavingReport(reader.key()));
    reader.put_entry(1, ListedState::Live);
    reader.put_entry(2, ListedState::Live);
    assert_eq!(reader.requests_to_registered(), 0);
}

#[test]
fn can_send_nothing_new_to_a_leaving_upstream_whose_service_was_not_configured_meanwhile() {
    let mut reader = EntryReader::new();
    reader.host.submit(HostEvent::LeavingReport(reader.key()));
    reader.host.submit(HostEvent::Inventory(2, items(EMPTY_INVENTORY)));
    assert_eq!(reader.host.reducer.catalog().upstream_named(REGISTERED), None);
    reader.host.submit(HostEvent::Inventory(3, items(INVENTORY)));
    reader.host.list_upstreams();
    assert_eq!(reader.requests_to_registered(), 0);
}

/// Something that happens to the registered instance or its entry.
#[derive(Debug, Clone, Copy)]
enum EntryStep {
    /// The process writes its entry, which says whether it is leaving.
    Write { leaving: bool },
    /// A late heartbeat of the process before brings back its entry.
    WriteLate { leaving: bool },
    /// Another writer leaves an entry without a start time.
    WriteUndated,
    /// The entry is removed.
    Remove,
    /// Another process starts and writes its entry.
    Restart,
    /// An answer of the latest process says that it is leaving.
    Say,
    /// A late answer of the process before says that that one is leaving.
    SayLate,
}

/// Start time of the process with this index.
fn start_of(process: usize) -> u64 {
    process as u64 + 1
}

fn listed_state(leaving: bool) -> ListedState {
    if leaving { ListedState::Leaving } else { ListedState::Live }
}

impl Arbitrary for EntryStep {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 14 {
            0..=3 => Self::Write { leaving: false },
            4 => Self::Write { leaving: true },
            5 => Self::WriteLate { leaving: bool::arbitrary(g) },
            6 => Self::WriteUndated,
            7..=9 => Self::Remove,
            10..=11 => Self::Restart,
            12 => Self::Say,
            _ => Self::SayLate,
        }
    }
}

quickcheck! {
    fn can_send_requests_only_to_processes_that_never_said_they_leave(steps: Vec<EntryStep>) -> bool {
        let mut reader = EntryReader::new();
        let mut keys = vec![reader.key()];
        let mut leaves = vec![false];
        // Index of the process whose entry is there.
        let mut present = Some(0);
        for step in steps {
            let latest = keys.len() - 1;
            match step {
                EntryStep::Write { leaving } => {
                    reader.put_entry(start_of(latest), listed_state(leaving));
                    leaves[latest] |= leaving;
                    present = Some(latest);
                }
                EntryStep::WriteLate { leaving } if latest > 0 => {
                    reader.put_entry(start_of(latest - 1), listed_state(leaving));
                    leaves[latest - 1] |= leaving;
                    present = Some(latest - 1);
                }
                EntryStep::WriteUndated => reader.put_entry(0, ListedState::Live),
                EntryStep::Remove => {
                    reader.remove_entry();
                    present = None;
                }
                EntryStep::Restart => {
                    reader.put_entry(start_of(latest + 1), ListedState::Live);
                    keys.push(reader.key());
                    leaves.push(false);
                    present = Some(latest + 1);
                }
                EntryStep::Say => {
                    reader.host.submit(HostEvent::LeavingReport(keys[latest]));
                    leaves[latest] = true;
                }
                EntryStep::SayLate if latest > 0 => {
                    reader.host.submit(HostEvent::LeavingReport(keys[latest - 1]));
                    leaves[latest - 1] = true;
                }
                EntryStep::WriteLate { .. } | EntryStep::SayLate => {}
            }
            let is_usable = present.is_some_and(|process| !leaves[process]);
            if (reader.requests_to_registered() > 0) != is_usable {
                return false;
            }
        }
        true
    }
}

#[test]
fn can_forget_the_process_of_an_entry_that_is_missing_for_hours() {
    let mut reader = EntryReader::new();
    let key = reader.key();
    reader.remove_entry();
    assert!(reader.host.reducer.catalog().has_process(key));
    for _ in 0..3 * 60 * 60 {
        reader.host.now = reader.host.now.after(Duration::from_secs(1));
        reader.host.submit(HostEvent::Tick);
    }
    assert!(!reader.host.reducer.catalog().has_process(key));
}

#[test]
fn can_send_requests_to_the_next_process_of_a_leaving_upstream() {
    for lapses in [false, true] {
        let mut reader = EntryReader::new();
        reader.host.submit(HostEvent::LeavingReport(reader.key()));
        if lapses {
            reader.remove_entry();
        }
        reader.put_entry(2, ListedState::Live);
        assert!(reader.requests_to_registered() > 0, "lapse: {lapses}");
    }
}

#[test]
fn can_read_limits_of_hosts_whose_build_names_no_processes() {
    let row: LimitRow = serde_json::from_str("{\"u\":\"registered\",\"l\":100,\"a\":5}").unwrap();
    let mut reader = EntryReader::new();
    let limits = LimitTable { grants: true, rows: vec![row], ..LimitTable::default() };
    reader.host.receive(PeerMessage::Leader(leader_notice(limits)));
    assert_eq!(reader.requests_to_registered(), 0, "no permit");
}

/// Latest report of the host to its leader.
fn last_report(host: &TestHost) -> PeerMessage {
    let report = |effect: &HostEffect| match effect {
        HostEffect::Send(_, message) => match message.as_ref() {
            PeerMessage::Demand(notice) => Some(PeerMessage::Demand(notice.clone())),
            _ => None,
        },
        _ => None,
    };
    host.effects.iter().rev().find_map(report).expect("the host reported")
}

fn leader_notice(limits: LimitTable) -> LeaderNotice {
    LeaderNotice {
        epoch: 1,
        successors: Vec::new(),
        revision: 1,
        update: TableUpdate { table: 1, since: 0, version: 1, rows: Vec::new() },
        registry: RegistryUpdate::default(),
        declined: Vec::new(),
        limits,
        quarantine: QuarantineTable::default(),
        quota: QuotaTable::default(),
        hosts: 2,
        lease: None,
        store: StoreView::default(),
        outages: Vec::new(),
    }
}

/// A leader that knows the entry of one process, told by a host what that or an earlier process said.
fn told_leader(
    leader_knows: u64,
    host_knows: u64,
    statement: impl Fn(UpstreamKey, Moment) -> HostEvent,
) -> TestLeader {
    let mut reader = EntryReader::new();
    reader.put_entry(host_knows, ListedState::Live);
    reader.host.receive(PeerMessage::Leader(leader_notice(LimitTable::default())));
    let event = statement(reader.key(), reader.host.now);
    reader.host.submit(event);
    reader.host.advance(1_000);
    let mut leader = TestLeader::with_engine(INVENTORY, "llm");
    leader.submit(entry(leader_knows, ListedState::Live, 1));
    leader.submit(HostEvent::Peer(Box::new(PeerEnvelope {
        version: MESSAGE_VERSION,
        from: identity("east-3"),
        message: last_report(&reader.host),
    })));
    leader
}

#[test]
fn can_publish_the_limit_of_a_process_whose_entry_is_missing() {
    let notice = LimitNotice::Limited(RequestRate(100));
    let mut leader =
        told_leader(2, 2, |key, dispatched| HostEvent::LimitStatement(key, dispatched, notice));
    let absent = RegistryChange::Absent(REGISTERED.to_owned(), 2);
    leader.submit(HostEvent::Registry(vec![absent]));
    leader.host.effects.clear();
    leader.host.advance(2_000);
    let published = |effect: &HostEffect| match effect {
        HostEffect::Broadcast(_, message) => match message.as_ref() {
            PeerMessage::Leader(notice) => notice.limits.rows.first().cloned(),
            _ => None,
        },
        _ => None,
    };
    let row = leader.host.effects.iter().find_map(published).expect("a row");
    assert_eq!((row.started_ms, row.rate), (2, Some(RequestRate(100))));
}

#[test]
fn can_keep_what_a_process_said_apart_from_the_next_one_at_the_leader() {
    let notice = LimitNotice::Limited(RequestRate(100));
    let statements: [&dyn Fn(UpstreamKey, Moment) -> HostEvent; 2] =
        [&|key, _| HostEvent::LeavingReport(key), &|key, dispatched| {
            HostEvent::LimitStatement(key, dispatched, notice)
        }];
    for statement in statements {
        let mut same = told_leader(2, 2, statement);
        let to_same = requests_to_registered(&mut same.host);
        assert!(to_same <= 1, "{to_same} requests to the process that said so");
        let mut next = told_leader(2, 1, statement);
        let to_next = requests_to_registered(&mut next.host);
        assert!(to_next > 1, "{to_next} requests to the next process");
    }
}
