//! Implementation of the subcommands.

mod causes;
mod check;
mod explain;
mod inventory;
mod log_line;
mod serve;
mod status;

use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;

use wagtailledge_settings::HostSettings;
use wagtailledge_settings::read_settings;

use crate::cli::Command;

/// Runs a subcommand. Prints its errors to standard error and returns the exit code.
pub fn run(command: Command) -> ExitCode {
    let result = match command {
        Command::Serve { settings } => serve::run(&settings),
        Command::Check { settings, inventories } => check::run(settings.as_deref(), &inventories),
        Command::Inventory(command) => inventory::run(command),
        Command::Explain { request, logs } => explain::run(&request, &logs),
        Command::Causes { every, logs } => causes::run(every, &logs),
        Command::Status { settings, json } => status::run(&settings, json),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(lines) => {
            for line in lines {
                eprintln!("{line}");
            }
            ExitCode::FAILURE
        }
    }
}

/// Formats each error as one line of output.
fn lines<E: Display>(errors: Vec<E>) -> Vec<String> {
    errors.iter().map(ToString::to_string).collect()
}

fn load_settings(path: &Path) -> Result<HostSettings, Vec<String>> {
    read_settings(path).map_err(lines)
}
