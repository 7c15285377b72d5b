//! The leader and both of its successors are removed for good at the same moment, where engines check no fencing
//! tokens; three new machines come at other addresses. RECOVER asks what is served `recoveryS` after that.
//!
//! `gone FOLDER` writes `FOLDER/record.txt`. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run. Store, engines and clients are those of the second review.

#[path = "../../rig-2/engine.rs"]
#[allow(dead_code)]
mod engine;
mod hosts;
#[path = "../../rig-2/http.rs"]
#[allow(dead_code)]
mod http;
#[path = "../../rig-2/json.rs"]
#[allow(dead_code)]
mod json;
#[path = "../../rig-2/rare.rs"]
#[allow(dead_code)]
mod rare;
#[path = "../../rig-2/record.rs"]
mod record;
#[path = "../../rig-2/store.rs"]
#[allow(dead_code)]
mod store;

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use rare::Fleet;
use rare::REQUESTS;
use rare::ask_for_all;
use rare::lease;
use record::Record;

/// `recoveryS` of Caudalia and Peachline.
const RECOVERY: Duration = Duration::from_secs(15);
const PLACES: [(&str, &str); 4] = [
    ("edge-dothan-1", "dothan"),
    ("edge-dothan-2", "dothan"),
    ("edge-gainesville-1", "gainesville"),
    ("edge-gainesville-2", "gainesville"),
];

/// A temporary folder, removed at the end.
struct Scratch(PathBuf);

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Whether the variable has another value than 0.
fn is_set(name: &str, default: bool) -> bool {
    std::env::var(name).map_or(default, |value| value != "0")
}

/// `fencingEnforced` of the settings: false on these sites, true for comparison with `FENCED=1`.
fn checks_tokens() -> bool {
    is_set("FENCED", false)
}

/// Whether the rule was broken, or why the case could not run.
fn run(record: &Record, folder: &Path) -> Result<bool, &'static str> {
    let mut fleet = Fleet::start(&PLACES, record, folder).ok_or("no leader with two successors")?;
    let before = ask_for_all("aaaa", &fleet.frontends(), record);
    record.say(&format!("before: {before} of {REQUESTS} served"));
    let (leader, successors) = lease(&fleet.store).ok_or("no lease record")?;
    record.say(&format!("the leader is {leader}, its successors are {}", successors.join(", ")));
    if is_set("TROUBLE", true) {
        record.say("the three are removed for good; three new machines come 1 s later");
        let is_removed = |name: &String| *name == leader || successors.contains(name);
        fleet.hosts.iter_mut().filter(|host| is_removed(&host.name)).for_each(hosts::Host::kill);
        fleet.hosts.retain(|host| !is_removed(&host.name));
        std::thread::sleep(Duration::from_secs(1));
        fleet.add_host("edge-dothan-7", "dothan", folder);
        fleet.add_host("edge-dothan-8", "dothan", folder);
        fleet.add_host("edge-gainesville-9", "gainesville", folder);
        let all_ready = || fleet.hosts.iter().all(hosts::Host::is_ready);
        if !hosts::wait_for(Duration::from_secs(10), all_ready) {
            return Err("not all machines are ready");
        }
    }
    std::thread::sleep(RECOVERY);
    let ready = fleet.ready();
    record.say(&format!("{RECOVERY:?} later ready: {}", ready.join(", ")));
    if ready.len() != PLACES.len() {
        return Err("not all machines are ready");
    }
    let after = ask_for_all("bbbb", &fleet.frontends(), record);
    let holder = lease(&fleet.store).map(|(leader, _)| leader).unwrap_or_default();
    record.say(&format!("after: {after} of {REQUESTS} served; the lease record names {holder}"));
    if !fleet.end(record) {
        return Err("a host has ended");
    }
    if before * 4 < REQUESTS {
        return Err("less than a quarter was served before");
    }
    Ok(after * 4 < REQUESTS)
}

fn main() -> ExitCode {
    let Some(folder) = std::env::args().nth(1) else {
        eprintln!("usage: gone FOLDER");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(&Path::new(&folder).join("record.txt")) else {
        eprintln!("{folder}/record.txt cannot be written");
        return ExitCode::from(2);
    };
    let scratch = Scratch(std::env::temp_dir().join(format!("review-3-{}", std::process::id())));
    if std::fs::create_dir_all(&scratch.0).is_err() {
        return ExitCode::from(2);
    }
    match run(&record, &scratch.0) {
        Ok(true) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Err(reason) => {
            record.say(&format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
