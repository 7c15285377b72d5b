//! Runs the scripts of a range of seeds and stops at the first broken promise.

use std::process::ExitCode;
use std::time::Instant;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use wagtailledge_fuzzer::run::ScriptReport;
use wagtailledge_fuzzer::run::generate_script;
use wagtailledge_fuzzer::run::run_script;
use wagtailledge_fuzzer::run::shrink_script;

/// Maximum number of runs spent on shrinking a failing script.
const MAX_SHRINK_RUNS: usize = 400;

#[derive(Debug, Clone)]
struct FuzzOptions {
    first: u64,
    seeds: u64,
    steps: u64,
    returns: bool,
    shrink: bool,
    trace: bool,
}

fn options() -> FuzzOptions {
    let first = long("first").help("First seed to run").argument("SEED").fallback(0);
    let seeds =
        long("seeds").help("Number of seeds to run at most").argument("COUNT").fallback(1_000);
    let steps = long("steps")
        .help("Stop after the seed that reaches this number of steps")
        .argument("COUNT")
        .fallback(u64::MAX);
    let returns = long("returns")
        .help("Run only the scripts in which the key-value service can come back from a copy")
        .switch();
    let shrink = long("shrink").help("Shrink and print a failing script").switch();
    let trace =
        long("trace").help("Print actions, decisions, and orders that reach an engine").switch();
    construct!(FuzzOptions { first, seeds, steps, returns, shrink, trace })
        .to_options()
        .descr("Fuzzes the host reducers and checks the promises")
        .run()
}

fn main() -> ExitCode {
    let options = options();
    let started = Instant::now();
    let mut total = ScriptReport::default();
    for seed in options.first..options.first + options.seeds {
        let script = generate_script(seed);
        if options.returns && !script.returns_store() {
            continue;
        }
        let report = run_script(&script, options.trace);
        total.steps += report.steps;
        total.answered += report.answered;
        total.refused += report.refused;
        if let Some(violation) = report.violation {
            println!("seed {seed}: {violation}");
            println!(
                "replay: cargo run --release -p wagtailledge-fuzzer -- --first {seed} --seeds 1"
            );
            if options.shrink {
                let script = shrink_script(script, MAX_SHRINK_RUNS);
                println!("{script:?}");
                println!("{:?}", run_script(&script, options.trace).violation);
            }
            return ExitCode::FAILURE;
        }
        if total.steps >= options.steps {
            break;
        }
    }
    let seconds = started.elapsed().as_secs_f64();
    println!(
        "{} steps, {} calls answered, {} refused, no violation, {:.0} steps/s",
        total.steps,
        total.answered,
        total.refused,
        total.steps as f64 / seconds
    );
    ExitCode::SUCCESS
}
