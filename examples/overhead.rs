//! Measures the overhead of an entry host, as ratios to calling the stand-in engine directly.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use serde_json::json;
use wagtailledge_operator::read_inventory;
use wagtailledge_standins::client::complete;
use wagtailledge_standins::stack::EngineTiming;
use wagtailledge_standins::stack::LocalStack;

/// Number of sequential calls in a latency measurement.
const SEQUENTIAL_CALLS: usize = 3_000;
/// Number of concurrent callers in a throughput measurement; fewer than the engine's slots.
const CALLERS: usize = 24;
/// Number of calls by each concurrent caller.
const CALLS_PER_CALLER: usize = 400;
/// Number of rounds; each measures both paths, so that both run under the same machine load.
const ROUNDS: usize = 3;
/// Time limit for the start of the stack, and for the first call, which loads the model.
const START_LIMIT: Duration = Duration::from_secs(30);

fn main() {
    actix_rt::System::new().block_on(run());
}

async fn run() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("deployments/local");
    let document = read_inventory(&root).expect("the shipped inventory is valid");
    let timing = EngineTiming { load_time: Duration::from_millis(50), token_time: Duration::ZERO };
    let stack =
        LocalStack::start(document, timing, &[("east-1", "east"), ("west-1", "west")]).await;
    assert!(stack.wait_until_ready(START_LIMIT).await, "some zones have no leader");
    let host = stack.entry_hosts[0].caller_address.to_string();
    assert_eq!(complete(&host, "fan-advice", "warm", START_LIMIT).await.status, 200);
    let index = stack.engines.iter().position(|engine| engine.has_asset("fan-advice@1"));
    let engine = stack.engine_servers[index.expect("the model is loaded")].address().to_string();
    println!("| round | path | p50 | p99 | calls/s with {CALLERS} callers |");
    println!("|---|---|---|---|---|");
    for round in 1..=ROUNDS {
        let direct = measure(&engine, "fan-advice@1").await;
        let through = measure(&host, "fan-advice").await;
        for (path, result) in [("direct", direct), ("entry host", through)] {
            let (p50, p99, rate) = result;
            println!("| {round} | {path} | {p50:?} | {p99:?} | {rate:.0} |");
        }
        println!(
            "| {round} | ratio | {:.2} | {:.2} | {:.2} |",
            through.0.as_secs_f64() / direct.0.as_secs_f64(),
            through.1.as_secs_f64() / direct.1.as_secs_f64(),
            through.2 / direct.2
        );
    }
}

/// Returns the latency at p50 and p99, and the throughput in calls per second.
async fn measure(address: &str, model: &str) -> (Duration, Duration, f64) {
    let client = awc::Client::default();
    let mut times = Vec::with_capacity(SEQUENTIAL_CALLS);
    for _ in 0..SEQUENTIAL_CALLS {
        let started = Instant::now();
        call(&client, address, model).await;
        times.push(started.elapsed());
    }
    times.sort();
    let started = Instant::now();
    let callers = (0..CALLERS).map(|_| async {
        for _ in 0..CALLS_PER_CALLER {
            call(&client, address, model).await;
        }
    });
    join_all(callers).await;
    let rate = (CALLERS * CALLS_PER_CALLER) as f64 / started.elapsed().as_secs_f64();
    (times[SEQUENTIAL_CALLS / 2], times[SEQUENTIAL_CALLS * 99 / 100], rate)
}

async fn call(client: &awc::Client, address: &str, model: &str) {
    let body = json!({ "model": model, "prompt": "house 7 runs hot" });
    let sent = client.post(format!("http://{address}/v1/completions")).send_json(&body).await;
    let mut response = sent.expect("the call is answered");
    assert_eq!(response.status().as_u16(), 200);
    response.body().await.expect("the answer is complete");
}
