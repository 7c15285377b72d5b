//! Runs the fuzzer with fixed seeds; the binary of this crate runs any others.

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;
use wagtailledge_fuzzer::action::FuzzScript;
use wagtailledge_fuzzer::run::SCRIPT_LENGTH;
use wagtailledge_fuzzer::run::generate_script;
use wagtailledge_fuzzer::run::run_script;

/// Number of generated scripts in one test run.
const SCRIPTS: u64 = 40;
/// Seed of quickcheck's generator.
const SEED: u64 = 20_261_203;
/// Seeds of scripts that once broke promises, with the names of these promises. Later extensions of
/// the simulation may keep the first four scripts from reaching their faults, which have tests and
/// mutations of their own.
const REGRESSIONS: [(u64, &str); 7] = [
    (5, "not run is true; replicas"),
    (22, "memory"),
    (216, "recovery"),
    (524, "leaving upstreams"),
    (148, "replicas"),
    (60, "whole stream"),
    (910_018, "one leader"),
];

fn keeps_promises(script: FuzzScript) -> TestResult {
    match run_script(&script, false).violation {
        None => TestResult::passed(),
        Some(violation) => TestResult::error(violation),
    }
}

#[test]
fn can_keep_promises_under_generated_faults() {
    let generator = Gen::from_size_and_seed(SCRIPT_LENGTH, SEED);
    let check: fn(FuzzScript) -> TestResult = keeps_promises;
    QuickCheck::new().rng(generator).tests(SCRIPTS).quickcheck(check);
}

#[test]
fn can_keep_promises_that_were_broken_once() {
    for (seed, promise) in REGRESSIONS {
        let report = run_script(&generate_script(seed), false);
        assert_eq!(report.violation, None, "seed {seed}, which broke: {promise}");
    }
}

#[test]
fn can_replay_a_script_to_the_same_end() {
    let (first, second) =
        (run_script(&generate_script(7), false), run_script(&generate_script(7), false));
    assert_eq!(first.steps, second.steps);
    assert_eq!(first.answered, second.answered);
    assert_eq!(first.refused, second.refused);
}
