//! Runs the whole system on loopback, with stand-ins for the external systems.
//!
//! Without arguments it prints an example `curl` command and runs until it is interrupted. With
//! `--once` it sends a burst of requests for unloaded models to all entry hosts at once and prints
//! a table. Then its exit code is 0 only if every request was served or refused in time and no
//! limit on loads or memory was exceeded. `--kill-engine` kills an engine while the engine loads a
//! model.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use wagtailledge_operator::read_inventory;
use wagtailledge_standins::client::CallerOutcome;
use wagtailledge_standins::client::complete;
use wagtailledge_standins::stack::EngineTiming;
use wagtailledge_standins::stack::LocalStack;

/// Entry hosts and their zones.
const ENTRY_HOSTS: [(&str, &str); 3] = [("east-1", "east"), ("east-2", "east"), ("west-1", "west")];
/// Number of requests for each model and adapter through each entry host.
const REQUESTS_PER_ASSET: usize = 8;
/// Deadline of each request, and maximum wait for a load during which an engine can be killed.
const DEADLINE: Duration = Duration::from_secs(15);
/// Time by which an answer may miss its deadline and still count as in time, for busy machines.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(500);
/// Time within which every zone must have a leader.
const START_LIMIT: Duration = Duration::from_secs(30);
/// Interval at which engines are checked for a load.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let once = arguments.iter().any(|argument| argument == "--once");
    let kill = arguments.iter().any(|argument| argument == "--kill-engine");
    actix_rt::System::new().block_on(run(once, kill))
}

async fn run(once: bool, kill: bool) -> ExitCode {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("deployments/local");
    let document = match read_inventory(&root) {
        Ok(document) => document,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return ExitCode::FAILURE;
        }
    };
    let timing = EngineTiming {
        load_time: Duration::from_millis(800),
        token_time: Duration::from_millis(5),
    };
    let stack = LocalStack::start(document, timing, &ENTRY_HOSTS).await;
    if !stack.wait_until_ready(START_LIMIT).await {
        eprintln!("some zones have no leader after {START_LIMIT:?}");
        return ExitCode::FAILURE;
    }
    if once {
        return run_burst(&stack, kill).await;
    }
    println!("Three entry hosts in two zones are up; no model is loaded. Try:");
    println!(
        "curl -sS http://{}/v1/completions -H 'content-type: application/json' \
         -d '{{\"model\":\"alarm-triage\",\"prompt\":\"house 7 runs hot\"}}'",
        stack.entry_hosts[0].caller_address
    );
    println!("Ctrl-C ends it.");
    futures::future::pending().await
}

async fn run_burst(stack: &LocalStack, kill: bool) -> ExitCode {
    let names: Vec<String> = stack
        .document
        .models
        .iter()
        .map(|model| model.name.clone())
        .chain(stack.document.adapters.iter().map(|adapter| adapter.name.clone()))
        .collect();
    let mut calls = Vec::new();
    for host in &stack.entry_hosts {
        for name in &names {
            for number in 0..REQUESTS_PER_ASSET {
                calls.push(call_model(host.caller_address.to_string(), name.clone(), number));
            }
        }
    }
    let kill_engine = async { !kill || kill_loading_engine(stack).await };
    let (outcomes, kill_done) = futures::future::join(join_all(calls), kill_engine).await;
    if !kill_done {
        eprintln!("no engine was killed: none started a load in time");
        return ExitCode::FAILURE;
    }
    report(stack, &outcomes, kill)
}

/// Kills the first engine that starts a load. Returns `false` if no load started in `DEADLINE`.
async fn kill_loading_engine(stack: &LocalStack) -> bool {
    let started = Instant::now();
    while started.elapsed() < DEADLINE {
        let loading = stack.engines.iter().position(|engine| !engine.loads().is_empty());
        if let Some(index) = loading {
            let name = &stack.engines[index].spec().name;
            println!("killing {name} in the middle of its loads");
            stack.engine_servers[index].kill();
            stack.host_list.remove(name);
            return true;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    false
}

async fn call_model(
    address: String,
    model: String,
    number: usize,
) -> (String, String, CallerOutcome) {
    let prompt = format!("call {number} through {address}");
    let outcome = complete(&address, &model, &prompt, DEADLINE).await;
    (model, prompt, outcome)
}

fn report(
    stack: &LocalStack,
    outcomes: &[(String, String, CallerOutcome)],
    killed: bool,
) -> ExitCode {
    let mut refused: BTreeMap<String, usize> = BTreeMap::new();
    let mut times = Vec::new();
    let (mut late, mut wrong) = (0, 0);
    for (model, prompt, outcome) in outcomes {
        late += usize::from(outcome.elapsed > DEADLINE + DEADLINE_TOLERANCE);
        if outcome.status == 200 {
            let text = outcome.json()["choices"][0]["text"].as_str().unwrap_or("").to_owned();
            let matches = text.starts_with(model.as_str()) && text.ends_with(prompt.as_str());
            wrong += usize::from(!matches);
            times.push(outcome.elapsed);
        } else {
            let kind = format!("{} {}", outcome.status, outcome.outcome);
            *refused.entry(kind).or_default() += 1;
        }
    }
    times.sort();
    let unanswered = outcomes.iter().filter(|(_, _, outcome)| outcome.status == 0).count();
    println!("requests            {:>6}", outcomes.len());
    println!("served              {:>6}", times.len());
    for (kind, count) in &refused {
        println!("refused {kind:<12}{count:>6}");
    }
    println!("late                {late:>6}");
    println!("wrong answers       {wrong:>6}");
    println!("cold start p50      {:>6} ms", percentile(&times, 50).as_millis());
    println!("cold start p99      {:>6} ms", percentile(&times, 99).as_millis());
    let exceeded = report_loads(stack, killed) + report_memory(stack);
    let passed = late == 0 && wrong == 0 && unanswered == 0 && exceeded == 0 && !times.is_empty();
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn percentile(times: &[Duration], percent: usize) -> Duration {
    let last = times.len().saturating_sub(1);
    times.get(last * percent / 100).copied().unwrap_or_default()
}

/// Prints the loads of each asset and returns how many assets exceeded the limit: one load, or two
/// if an engine was killed.
fn report_loads(stack: &LocalStack, killed: bool) -> usize {
    let mut loads: BTreeMap<String, u32> = BTreeMap::new();
    for engine in &stack.engines {
        for (asset, count) in engine.loads() {
            *loads.entry(asset).or_default() += count;
        }
    }
    let allowed = 1 + u32::from(killed);
    for (asset, count) in &loads {
        println!("loads of {asset:<24}{count:>3} of {allowed} decided at most");
    }
    loads.values().filter(|count| **count > allowed).count()
}

/// Prints the peak memory of each engine and returns how many engines exceeded their
/// memory.
fn report_memory(stack: &LocalStack) -> usize {
    let mut exceeded = 0;
    for engine in &stack.engines {
        let (peak, total) = (engine.peak_bytes() >> 30, engine.spec().memory >> 30);
        println!("peak memory of {:<16}{peak:>4} of {total} GiB", engine.spec().name);
        exceeded += usize::from(engine.peak_bytes() > engine.spec().memory);
    }
    exceeded
}
