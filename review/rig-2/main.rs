//! Stand-ins of the review's scripts: the store, engines, clients and the platform, on loopback.
//!
//! `rig CASE FOLDER` runs a case and writes `FOLDER/record.txt`. Exit code: 1 if the rule was broken, 0 if
//! it held, 2 if the case could not run.

mod address;
mod cut;
mod engine;
mod hosts;
mod http;
mod json;
mod lease;
mod rare;
mod record;
mod store;

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// What a case found.
pub enum Finding {
    Broken,
    Held,
    /// Holds the reason.
    CouldNotRun(String),
}

/// A temporary folder, removed at the end.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Whether the case has its disruption; TROUBLE=0 leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [mode, id] = arguments.as_slice()
        && mode == "engine"
    {
        cut::run_engine(id);
    }
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(&Path::new(folder).join("record.txt")) else {
        eprintln!("{folder}/record.txt cannot be written");
        return ExitCode::from(2);
    };
    let Ok(scratch) = Scratch::create() else {
        return ExitCode::from(2);
    };
    let finding = match case.as_str() {
        "address" => address::run(&record, &scratch.0),
        "cut" => cut::run(&record, &scratch.0),
        "lease" => lease::run(&record, &scratch.0),
        _ => Finding::CouldNotRun(format!("no case {case}")),
    };
    match finding {
        Finding::Broken => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Finding::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Finding::CouldNotRun(reason) => {
            record.say(&format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
