//! Serves rarely used models within their deadlines, from an inventory kept in version control.

mod cli;
mod cmd;

use std::process::ExitCode;

use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    match cli::parse() {
        Ok(command) => cmd::run(command),
        Err(code) => code,
    }
}
