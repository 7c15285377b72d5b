//! All machines but the leader's are removed for good at the same moment. New ones come at other addresses,
//! each under the name of the machine that it replaces. RECOVER asks what is served `recoveryS` after that.

use std::path::Path;
use std::time::Duration;

use crate::Finding;
use crate::has_trouble;
use crate::rare::Fleet;
use crate::rare::RECOVERY;
use crate::rare::REQUESTS;
use crate::rare::ask_for_all;
use crate::rare::lease;
use crate::record::Record;

/// As many machines as the small deployment has.
const PLACES: [(&str, &str); 8] = [
    ("edge-dothan-1", "dothan"),
    ("edge-dothan-2", "dothan"),
    ("edge-dothan-3", "dothan"),
    ("edge-dothan-4", "dothan"),
    ("edge-gainesville-1", "gainesville"),
    ("edge-gainesville-2", "gainesville"),
    ("edge-gainesville-3", "gainesville"),
    ("edge-gainesville-4", "gainesville"),
];

pub fn run(record: &Record, folder: &Path) -> Finding {
    let Some(mut fleet) = Fleet::start(&PLACES, record, folder) else {
        return Finding::CouldNotRun("no leader with two successors".to_owned());
    };
    let before = ask_for_all("aaaa", &fleet.frontends(), record);
    record.say(&format!("before: {before} of {REQUESTS} served"));
    let Some((leader, _)) = lease(&fleet.store) else {
        return Finding::CouldNotRun("no lease record".to_owned());
    };
    if has_trouble() {
        record.say(&format!("the leader is {leader}; the other machines are removed for good"));
        fleet.hosts.iter_mut().filter(|host| host.name != leader).for_each(|host| host.kill());
        fleet.hosts.retain(|host| host.name == leader);
        std::thread::sleep(Duration::from_secs(1));
        // For comparison only: the new machines have names of their own.
        let other = std::env::var("SAME_NAMES").is_ok_and(|value| value == "0");
        record.say("new machines come at other addresses");
        for (name, zone) in PLACES.iter().filter(|(name, _)| *name != leader) {
            let name = if other { format!("{name}-new") } else { (*name).to_owned() };
            fleet.add_host(&name, zone, folder);
        }
    }
    std::thread::sleep(RECOVERY);
    record.say(&format!("{RECOVERY:?} later ready: {}", fleet.ready().join(", ")));
    if fleet.ready().len() != PLACES.len() {
        return Finding::CouldNotRun("not all machines are ready".to_owned());
    }
    let after = ask_for_all("bbbb", &fleet.frontends(), record);
    let holder = lease(&fleet.store).map(|(leader, _)| leader).unwrap_or_default();
    record.say(&format!("after: {after} of {REQUESTS} served; the lease record names {holder}"));
    if !fleet.end(record) {
        return Finding::CouldNotRun("a host has ended".to_owned());
    }
    if before * 4 < REQUESTS {
        return Finding::CouldNotRun("less than a quarter was served before".to_owned());
    }
    if after * 4 < REQUESTS { Finding::Broken } else { Finding::Held }
}
