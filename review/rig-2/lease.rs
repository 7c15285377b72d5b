//! Three processes are killed at the same moment: the leader and the two hosts that its lease names as
//! successors. The leader's process is started again; the other two machines are removed for good, and new
//! ones come at other addresses. RECOVER asks what is served `recoveryS` after that.

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

const PLACES: [(&str, &str); 4] = [
    ("edge-dothan-1", "dothan"),
    ("edge-dothan-2", "dothan"),
    ("edge-gainesville-1", "gainesville"),
    ("edge-gainesville-2", "gainesville"),
];

pub fn run(record: &Record, folder: &Path) -> Finding {
    let Some(mut fleet) = Fleet::start(&PLACES, record, folder) else {
        return Finding::CouldNotRun("no leader with two successors".to_owned());
    };
    let before = ask_for_all("aaaa", &fleet.frontends(), record);
    record.say(&format!("before: {before} of {REQUESTS} served"));
    let Some((leader, successors)) = lease(&fleet.store) else {
        return Finding::CouldNotRun("no lease record".to_owned());
    };
    record.say(&format!("the leader is {leader}, its successors are {}", successors.join(", ")));
    if has_trouble() {
        record.say("the three are killed at the same moment");
        for host in &mut fleet.hosts {
            if host.name == leader || successors.contains(&host.name) {
                host.kill();
            }
        }
        std::thread::sleep(Duration::from_secs(1));
        fleet.hosts.retain(|host| !successors.contains(&host.name));
        // For comparison only: the leader's machine is removed for good as well.
        let returns = std::env::var("LEADER_RETURNS").map_or(true, |value| value != "0");
        if returns {
            record.say(&format!("{leader} is started again; two new machines come"));
            let mut hosts = fleet.hosts.iter_mut();
            hosts.find(|host| host.name == leader).into_iter().for_each(|host| host.start());
        } else {
            record.say("three new machines come");
            fleet.hosts.retain(|host| host.name != leader);
            fleet.add_host("edge-dothan-7", "dothan", folder);
        }
        fleet.add_host("edge-dothan-8", "dothan", folder);
        fleet.add_host("edge-dothan-9", "dothan", folder);
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
