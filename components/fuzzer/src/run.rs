//! Generates, runs and shrinks scripts.

use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::action::FuzzScript;
use crate::world::FuzzWorld;

/// Number of actions in a generated script.
pub const SCRIPT_LENGTH: usize = 160;

/// Totals and result of one or more script runs.
#[derive(Debug, Clone, Default)]
pub struct ScriptReport {
    /// Events that reducers processed.
    pub steps: u64,
    /// Number of calls answered.
    pub answered: u64,
    /// Number of calls refused.
    pub refused: u64,
    /// The first broken promise; `None` if all were kept.
    pub violation: Option<String>,
}

/// Runs a script until a promise is broken. If all are kept, ends all faults and checks recovery.
/// `trace` prints actions, decisions and orders.
pub fn run_script(script: &FuzzScript, trace: bool) -> ScriptReport {
    let mut world = FuzzWorld::new(script.seed);
    world.trace = trace;
    if script.seed % 8 == 1 {
        world.start_quota_load((script.seed / 8) as usize);
    }
    if script.returns_store() {
        world.keep_store_copies();
    }
    world.advance(1_000_000);
    for action in &script.actions {
        world.apply_action(*action);
        if world.oracle.violation().is_some() {
            break;
        }
    }
    if world.oracle.violation().is_none() {
        world.check_recovery();
    }
    ScriptReport {
        steps: world.steps,
        answered: world.oracle.answered,
        refused: world.oracle.refused,
        violation: world.oracle.violation().map(str::to_owned),
    }
}

/// The script that quickcheck generates from `seed`.
pub fn generate_script(seed: u64) -> FuzzScript {
    FuzzScript::arbitrary(&mut Gen::from_size_and_seed(SCRIPT_LENGTH, seed))
}

/// Shrinks a failing script until no candidate fails or `max_runs` runs are spent.
pub fn shrink_script(script: FuzzScript, max_runs: usize) -> FuzzScript {
    let mut smallest = script;
    let mut runs_left = max_runs;
    loop {
        let mut failing = None;
        for candidate in smallest.shrink() {
            if runs_left == 0 {
                return smallest;
            }
            runs_left -= 1;
            if run_script(&candidate, false).violation.is_some() {
                failing = Some(candidate);
                break;
            }
        }
        match failing {
            Some(candidate) => smallest = candidate,
            None => return smallest,
        }
    }
}
