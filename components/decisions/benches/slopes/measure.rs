//! Measures one size of the deployment.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::configuration::ConfigurationChange;
use wagtailledge_decisions::configuration::ConfigurationItem;
use wagtailledge_decisions::configuration::ItemMap;
use wagtailledge_decisions::configuration::digest_of;
use wagtailledge_decisions::discovery::RegistryUpdate;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::message::CrashReport;
use wagtailledge_decisions::message::DemandNotice;
use wagtailledge_decisions::message::LimitReport;
use wagtailledge_decisions::message::LimitTable;
use wagtailledge_decisions::message::MESSAGE_VERSION;
use wagtailledge_decisions::message::PeerEnvelope;
use wagtailledge_decisions::message::PeerMessage;
use wagtailledge_decisions::message::QuarantineTable;
use wagtailledge_decisions::message::ReplicaRow;
use wagtailledge_decisions::message::ReplicaState;
use wagtailledge_decisions::message::ScopeDigest;
use wagtailledge_decisions::message::StoreView;
use wagtailledge_decisions::message::TableAck;
use wagtailledge_decisions::message::TableUpdate;
use wagtailledge_decisions::message::UsageRow;
use wagtailledge_decisions::quota::QuotaReport;
use wagtailledge_decisions::quota::QuotaTable;
use wagtailledge_decisions::request::CallerRequest;
use wagtailledge_decisions::request::RequestRepeat;
use wagtailledge_decisions::request::RequestTicket;

use crate::deployment::BenchHost;
use crate::deployment::DeploymentSize;
use crate::deployment::ZONES;
use crate::deployment::identity;
use crate::deployment::items;
use crate::deployment::offer;

/// Number of events measured for each kind.
const SAMPLES: usize = 400;
/// Number of hosts built as a warm-up, and again while memory is measured.
const MEMORY_HOSTS: usize = 8;
/// Number of seconds of a leader's work that are measured.
const LEADER_SECONDS: usize = 30;
/// Ticks in a second of the host's clock, one every ten milliseconds.
const TICKS_PER_SECOND: usize = 100;
/// Time for a host to acquire the lease and claim its engines.
const LEADER_SETUP: Duration = Duration::from_secs(40);
/// Longest duration that the histogram distinguishes, in nanoseconds.
const MAX_RECORDED_NANOS: u64 = 100_000_000_000;
/// Bytes that a message adds on the wire: the JSON-RPC request around its parameters, the answer,
/// the seal, WebSocket headers, and TCP/IP headers in both directions.
const OVERHEAD_BYTES: usize = 62 + 40 + 66 + 12 + 160;

/// One row of the printed table.
#[derive(Debug)]
pub struct MeasuredRow {
    /// Name of the measured event, message or state.
    pub name: String,
    /// Mean of the samples, or the only value.
    pub mean: String,
    /// Median; empty for a single value.
    pub p50: String,
    /// 99th percentile; empty for a single value.
    pub p99: String,
    /// Unit of the values; empty for a count.
    pub unit: &'static str,
}

fn time_row(name: &str, step: impl FnMut(usize)) -> MeasuredRow {
    time_row_over(name, SAMPLES, step)
}

fn time_row_over(name: &str, samples: usize, mut step: impl FnMut(usize)) -> MeasuredRow {
    let mut times =
        Histogram::<u64>::new_with_max(MAX_RECORDED_NANOS, 3).expect("the bounds are valid");
    for sample in 0..samples {
        let started = Instant::now();
        step(sample);
        times.saturating_record(started.elapsed().as_nanos() as u64);
    }
    let micros = |quantile| format!("{:.1}", times.value_at_quantile(quantile) as f64 / 1_000.0);
    let mean = format!("{:.1}", times.mean() / 1_000.0);
    MeasuredRow { name: name.to_owned(), mean, p50: micros(0.5), p99: micros(0.99), unit: "µs" }
}

fn value_row(name: &str, value: usize, unit: &'static str) -> MeasuredRow {
    let (p50, p99) = (String::new(), String::new());
    MeasuredRow { name: name.to_owned(), mean: value.to_string(), p50, p99, unit }
}

/// Returns the bytes of a message on the wire, with its answer and all headers.
fn wire_bytes(message: &PeerMessage) -> usize {
    let envelope =
        PeerEnvelope { version: MESSAGE_VERSION, from: identity(0, 0), message: message.clone() };
    let text = serde_json::to_string(&envelope).expect("a message has only string keys");
    // The envelope is sent as a JSON string within the request, so it is quoted again.
    serde_json::to_string(&text).expect("a text can be quoted").len() + OVERHEAD_BYTES
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Measures every row of the table at one size.
pub fn measure_size(size: &DeploymentSize) -> Vec<MeasuredRow> {
    let items = items(size);
    let mut leader = BenchHost::new(size, &items, 0);
    let mut rows =
        vec![value_row("memory of a host's state", host_bytes(size, &items) / 1_024, "KiB")];
    preload(&mut leader);
    leader.run(LEADER_SETUP);
    assert!(leader.reducer.has_authority(leader.now), "the host leads its zone");
    rows.extend(leader_rows(size, &mut leader));
    rows.extend(message_rows(&mut leader));
    let mut follower = BenchHost::new(size, &items, 1);
    rows.extend(router_rows(&mut follower));
    rows.extend(edit_rows(&mut follower, items));
    rows
}

/// Returns the mean memory of a host, in bytes. Builds some hosts before it measures, so that the
/// allocator has no freed memory left to reuse.
fn host_bytes(size: &DeploymentSize, items: &ItemMap) -> usize {
    let mut hosts: Vec<BenchHost> =
        (0..MEMORY_HOSTS).map(|number| BenchHost::new(size, items, number)).collect();
    let before = resident_bytes();
    hosts.extend((0..MEMORY_HOSTS).map(|number| BenchHost::new(size, items, number)));
    let after = resident_bytes();
    after.saturating_sub(before) / MEMORY_HOSTS
}

/// Makes a model and two adapters resident in one engine in ten.
fn preload(leader: &mut BenchHost) {
    let catalog = leader.reducer.catalog().clone();
    let engines: Vec<_> = catalog.engines_in("zone-00").collect();
    for (index, engine) in engines.iter().enumerate().step_by(10) {
        leader.preload(*engine, &format!("model-{:03}@1", index % 110), 30 << 30);
        for number in [index % 110, index % 110 + 110] {
            leader.preload(*engine, &format!("adapter-{number:05}"), 200 << 20);
        }
    }
}

fn idle_demand(leader: &BenchHost) -> PeerMessage {
    PeerMessage::Demand(DemandNotice {
        epoch: leader.reducer.status(leader.now).epoch,
        revision: 1,
        ack: leader.ack(),
        registry_ack: TableAck::default(),
        demand: Vec::new(),
        used: vec![
            UsageRow("model-007@1".to_owned(), 3, 27_000),
            UsageRow("adapter-00007".to_owned(), 2, 1_600),
        ],
        suspects: Vec::new(),
        limits: LimitReport::default(),
        quota: QuotaReport::default(),
        leaving: Vec::new(),
        draining: false,
        stamp: None,
        crash_report: CrashReport::default(),
        failures: Vec::new(),
    })
}

fn digest(zone_index: usize, rows: usize, version: u64) -> PeerMessage {
    let row = |index: usize| {
        let engine = format!("engine-{:05}", index * ZONES + zone_index);
        ReplicaRow(format!("model-{:03}@1", index % 110), engine, Some(ReplicaState::Ready))
    };
    let update = TableUpdate {
        table: 7 + zone_index as u64,
        since: version.saturating_sub(1),
        version,
        rows: (0..rows).map(row).collect(),
    };
    PeerMessage::Digest(ScopeDigest {
        epoch: 1,
        revision: 1,
        update,
        ack: TableAck { table: u64::MAX, version: 1 },
        demand: Vec::new(),
        used: Vec::new(),
        declined: Vec::new(),
        limits: LimitTable::default(),
        foreign_limits: LimitReport::default(),
        quarantine: QuarantineTable::default(),
        crash_report: CrashReport::default(),
    })
}

/// Measures one second of a leader's work: its ticks with the claims they send, a demand notice of
/// each host of the zone, and a digest with one changed replica of each other zone.
fn leader_rows(size: &DeploymentSize, leader: &mut BenchHost) -> Vec<MeasuredRow> {
    let members = size.hosts / ZONES;
    let mut versions = [1_u64; ZONES];
    let mut sent = 0;
    let demand = idle_demand(leader);
    let mut run_second = |leader: &mut BenchHost| {
        leader.sent.clear();
        for tick in 0..TICKS_PER_SECOND {
            leader.now = leader.now.after(Duration::from_millis(10));
            leader.submit(HostEvent::Tick);
            if tick < members {
                leader.receive(identity(0, 1 + tick), demand.clone());
            }
            if let Some(version) = versions.get_mut(tick).filter(|_| tick > 0) {
                *version += 1;
                let since = if *version == 2 { 1 } else { *version - 1 };
                leader.receive(identity(tick, 0), digest(tick, 1, since));
            }
        }
        sent = leader.sent.len();
    };
    run_second(leader);
    run_second(leader);
    let row =
        time_row_over("leader: one second of its life", LEADER_SECONDS, |_| run_second(leader));
    vec![row, value_row("leader: messages sent in a second", sent, "")]
}

fn message_rows(leader: &mut BenchHost) -> Vec<MeasuredRow> {
    leader.run(Duration::from_millis(1_500));
    let demand = idle_demand(leader);
    leader.receive(identity(0, 2), demand.clone());
    leader.sent.clear();
    leader.run(Duration::from_millis(1_500));
    let to_member = |message: &PeerMessage| matches!(message, PeerMessage::Leader(_));
    let last = leader
        .sent
        .iter()
        .rev()
        .find(|(to, message)| to.name == identity(0, 2).name && to_member(message));
    let notice = last.map_or(0, |(_, message)| wire_bytes(message));
    let edit = ConfigurationChange {
        name: "model/model-007@1".to_owned(),
        item: Some(ConfigurationItem::Model(
            crate::deployment::document(&crate::SIZES[0]).models[7].clone(),
        )),
    };
    let envelope =
        PeerEnvelope { version: MESSAGE_VERSION, from: identity(0, 0), message: demand.clone() };
    let codec = time_row("any host: a demand notice written and read as JSON", |_| {
        let text = serde_json::to_string(&envelope).expect("a message has only string keys");
        let read: PeerEnvelope = serde_json::from_str(&text).expect("it was just written");
        assert_eq!(read.version, MESSAGE_VERSION);
    });
    vec![
        codec,
        value_row("bytes: notice of a leader, nothing new", notice, "B"),
        value_row("bytes: demand, nothing new", wire_bytes(&demand), "B"),
        value_row("bytes: digest, nothing new", wire_bytes(&digest(1, 0, 1)), "B"),
        value_row(
            "bytes: each changed replica",
            wire_bytes(&digest(1, 11, 1)).abs_diff(wire_bytes(&digest(1, 1, 1))) / 10,
            "B",
        ),
        value_row(
            "bytes: one changed item of the configuration",
            wire_bytes(&offer(1, 2, 3, vec![edit])),
            "B",
        ),
    ]
}

fn router_rows(follower: &mut BenchHost) -> Vec<MeasuredRow> {
    let rows = (0..57).map(|index| {
        let engine = format!("engine-{:05}", index * ZONES);
        ReplicaRow(format!("model-{:03}@1", index % 110), engine, Some(ReplicaState::Ready))
    });
    let update = TableUpdate { table: 9, since: 0, version: 57, rows: rows.collect() };
    let notice = wagtailledge_decisions::message::LeaderNotice {
        epoch: 1,
        successors: Vec::new(),
        revision: 1,
        update,
        registry: RegistryUpdate::default(),
        declined: Vec::new(),
        limits: LimitTable::default(),
        quarantine: QuarantineTable::default(),
        quota: QuotaTable::default(),
        hosts: 0,
        lease: None,
        store: StoreView::default(),
        outages: Vec::new(),
    };
    follower.receive(identity(0, 0), PeerMessage::Leader(notice.clone()));
    follower.run(Duration::from_secs(2));
    follower.sent.clear();
    let tick = time_row("router: tick", |sample| {
        if sample % 100 == 0 {
            follower.receive(identity(0, 0), PeerMessage::Leader(notice.clone()));
        }
        follower.now = follower.now.after(Duration::from_millis(10));
        follower.submit(HostEvent::Tick);
        follower.sent.clear();
    });
    let request = time_row("router: a request from arrival to end", |sample| {
        follower.now = follower.now.after(Duration::from_micros(100));
        let target = follower.reducer.resolve_model(&format!("model-{:03}", sample % 57));
        let ticket = RequestTicket(sample as u64);
        let request = CallerRequest {
            ticket,
            target: target.expect("the model is declared"),
            repeat: RequestRepeat::Idempotent,
            deadline: None,
            caller: 0,
            account: None,
            terms: None,
        };
        let mut effects = Vec::new();
        follower.reducer.reduce(follower.now, HostEvent::RequestArrived(request), &mut effects);
        for effect in effects {
            if let wagtailledge_decisions::HostEffect::Dispatch { request, attempt, .. } = effect {
                follower.submit(HostEvent::AttemptStarted(request, attempt));
                let end = HostEvent::AttemptEnded(request, attempt, AttemptOutcome::Streamed);
                follower.submit(end);
            }
        }
    });
    vec![tick, request]
}

fn edit_rows(follower: &mut BenchHost, mut items: ItemMap) -> Vec<MeasuredRow> {
    let mut offers = Vec::new();
    let mut digest = digest_of(&items);
    for sample in 0..SAMPLES {
        let name = format!("adapter/adapter-{:05}", sample % 1_000);
        let Some(ConfigurationItem::Adapter(mut entry)) = items.get(&name).cloned() else {
            continue;
        };
        entry.size.0 += 1 << 20;
        let item = ConfigurationItem::Adapter(entry);
        digest ^= items[&name].digest() ^ item.digest();
        items.insert(name.clone(), item.clone());
        let change = ConfigurationChange { name, item: Some(item) };
        let revision = 2 + offers.len() as u64;
        offers.push(offer(revision - 1, revision, digest, vec![change]));
    }
    let mut offers = offers.into_iter();
    let row = time_row("any host: one edit put in force", |_| {
        follower.now = follower.now.after(Duration::from_millis(1));
        if let Some(offer) = offers.next() {
            follower.receive(identity(0, 0), offer);
        }
        follower.sent.clear();
    });
    let revision = follower.reducer.catalog().revision;
    assert_eq!(revision, 1 + SAMPLES as u64, "every edit is in force");
    vec![row]
}
