//! Requests that crash the engines that begin to answer them, with stand-ins over loopback sockets.

mod support;

use std::time::Duration;
use std::time::Instant;

use support::RawAnswer;
use support::SPEC;
use support::WAIT_LIMIT;
use support::ready_stack_of;
use support::run;
use support::send;
use wagtailledge_standins::fleet::FleetEngine;
use wagtailledge_standins::fleet::FleetSpec;
use wagtailledge_standins::fleet::FleetStack;

/// Part of a prompt on which the engines crash.
const CRASH_PART: &str = "bad0";
/// Time from a crash until another engine is started in its place.
const DOWNTIME: Duration = Duration::from_secs(1);
/// Crashes after which the requests with the part are counted.
const CRASHES: usize = 5;
/// Time after the last of these crashes from which requests are counted.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests with the part that may reach engines after that.
const ALLOWED_REQUESTS: usize = 3;
/// Time between two requests with the part.
const CRASH_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which requests are sent.
const PLAY_TIME: Duration = Duration::from_secs(14);

/// What happened while requests were sent, in the order in which they were sent.
#[derive(Debug, Default)]
struct CrashPlay {
    /// Times of the crashes.
    crashes: Vec<Instant>,
    /// Times at which requests with the part reached engines.
    arrivals: Vec<Instant>,
    /// Sound requests: when they were sent, and the answers.
    sound: Vec<(Instant, RawAnswer)>,
    /// Requests with the part, likewise.
    crashing: Vec<(Instant, RawAnswer)>,
}

impl CrashPlay {
    fn record_engine(&mut self, engine: &FleetEngine) {
        self.crashes.extend(engine.crashed_at());
        let runs = engine.runs().into_iter().filter(|run| {
            run.headers.get("x-prompt-prefix").is_some_and(|prompt| prompt.contains(CRASH_PART))
        });
        self.arrivals.extend(runs.map(|run| run.arrived));
    }

    /// When the requests with the part are counted from: after the fifth crash, or the last if there
    /// are fewer.
    fn counted_from(&self) -> Instant {
        let counted = &self.crashes[..CRASHES.min(self.crashes.len())];
        *counted.last().expect("an engine crashed") + CONTACT_TIME
    }
}

type PendingAnswer = actix_rt::task::JoinHandle<(Instant, RawAnswer)>;

/// Sends a request to one of the hosts. All requests share the first part of their prompts; a sound
/// one shares its second part with one request in four that crash engines.
fn ask_with_parts(stack: &FleetStack, number: usize, crashes: bool) -> PendingAnswer {
    let address = stack.hosts[number % stack.hosts.len()].caller_address;
    let kind = if crashes { "crash" } else { "sound" };
    let middle = if crashes { format!("{CRASH_PART}:300,") } else { String::new() };
    let prompt = format!(
        "a1:800,{middle}c{}:200,{number:x}f{kind_number}:100",
        number % 4,
        kind_number = u8::from(crashes)
    );
    let headers = format!("X-Model: m0\r\nX-Token-Count: 1400,20\r\nX-Prompt-Prefix: {prompt}\r\n");
    actix_rt::spawn(async move {
        let sent = Instant::now();
        (sent, send(address, "POST", "/ask/1", &format!("{kind}-{number}"), &headers).await)
    })
}

/// Sends sound requests and requests that crash engines to four hosts and six engines.
async fn play_crashes() -> CrashPlay {
    let mut stack = ready_stack_of(FleetSpec { hosts: 4, engines: 6, ..SPEC }).await;
    let led = stack.wait_until(WAIT_LIMIT, async |stack| {
        for host in &stack.hosts {
            if host.status().await.is_none_or(|status| status.leader.is_none()) {
                return false;
            }
        }
        true
    });
    assert!(led.await, "a host knows no leader");
    for engine in &stack.engines {
        engine.crash_on_part(CRASH_PART);
    }
    let mut play = CrashPlay::default();
    let (mut sound, mut crashing) = (Vec::new(), Vec::new());
    let started = Instant::now();
    while started.elapsed() < PLAY_TIME {
        if started.elapsed() >= SOUND_INTERVAL * sound.len() as u32 {
            sound.push(ask_with_parts(&stack, sound.len(), false));
        }
        if started.elapsed() >= CRASH_INTERVAL * crashing.len() as u32 {
            crashing.push(ask_with_parts(&stack, crashing.len(), true));
        }
        for engine in stack.replace_crashed_engines(DOWNTIME) {
            play.record_engine(&engine);
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    play.sound = futures::future::try_join_all(sound).await.expect("no request panics");
    play.crashing = futures::future::try_join_all(crashing).await.expect("no request panics");
    for engine in &stack.engines {
        play.record_engine(engine);
    }
    play.crashes.sort_unstable();
    play
}

#[test]
fn can_keep_requests_that_crash_engines_from_reaching_more_of_them() {
    run(async {
        let play = play_crashes().await;
        let counted_from = play.counted_from();
        let late = play.arrivals.iter().filter(|at| **at > counted_from).count();
        let crashes = play.crashes.len();
        assert!(late <= ALLOWED_REQUESTS, "{late} requests reached engines, {crashes} crashes");
        for (sent, answer) in play.crashing.iter().filter(|(sent, _)| *sent > counted_from) {
            let refused = answer.status == 503 && answer.header("retry-after").is_some();
            assert!(
                refused,
                "{:?} after the crashes: {}",
                sent.duration_since(counted_from),
                answer.head
            );
        }
    });
}

#[test]
fn can_serve_requests_that_share_other_parts_with_those_that_crash_engines() {
    run(async {
        let play = play_crashes().await;
        let counted_from = play.counted_from() + CONTACT_TIME;
        let sent = play.sound.iter().filter(|(sent, _)| *sent > counted_from);
        let (served, failed): (Vec<_>, Vec<_>) = sent.partition(|(_, answer)| answer.status == 200);
        assert!(served.len() >= 20, "{} served, {} failed", served.len(), failed.len());
        // At most half as many as without crashes may fail.
        assert!(failed.len() <= served.len(), "{} served, {} failed", served.len(), failed.len());
    });
}
