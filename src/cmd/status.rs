//! `status`: shows each host's leader and revision in force, and the loaded models and adapters.

use std::path::Path;

use serde_json::json;
use wagtailledge_keyvalue::HttpHostList;
use wagtailledge_operator::fleet::FleetEntry;
use wagtailledge_operator::fleet::fetch_fleet_status;
use wagtailledge_operator::fleet::seal_of;

use super::load_settings;

/// Prints the status of every live entry host. Returns an error line for each host whose status
/// could not be fetched.
pub fn run(settings: &Path, json: bool) -> Result<(), Vec<String>> {
    let settings = load_settings(settings)?;
    let hosts = HttpHostList::new(&settings.platform.host_list, settings.platform.timeout.0);
    let seal = seal_of(&settings.security.shared_secret);
    let fleet = actix_rt::System::new().block_on(fetch_fleet_status(&hosts, &seal));
    let fleet = fleet.map_err(|error| vec![error])?;
    if json {
        println!("{}", as_json(&fleet));
    } else {
        print_table(&fleet);
    }
    let failures = fleet.iter().filter_map(|entry| {
        let problem = entry.status.as_ref().err()?;
        Some(format!("{}: {problem}", entry.host))
    });
    let failures: Vec<String> = failures.collect();
    if failures.is_empty() { Ok(()) } else { Err(failures) }
}

fn as_json(fleet: &[FleetEntry]) -> serde_json::Value {
    let entries = fleet.iter().map(|entry| match &entry.status {
        Ok(status) => json!({ "host": entry.host, "status": status }),
        Err(problem) => json!({ "host": entry.host, "problem": problem }),
    });
    entries.collect()
}

fn print_table(fleet: &[FleetEntry]) {
    println!(
        "{:<20} {:<14} {:>8} {:<20} {:>7} {:>7}",
        "host", "zone", "revision", "leader", "waiting", "open"
    );
    for entry in fleet {
        if let Ok(status) = &entry.status {
            let leader = status.leader.as_deref().unwrap_or("none");
            println!(
                "{:<20} {:<14} {:>8} {:<20} {:>7} {:>7}",
                entry.host, status.zone, status.revision, leader, status.waiting, status.requests
            );
        }
    }
    let leaders = fleet.iter().filter_map(|entry| entry.status.as_ref().ok());
    for status in leaders.filter(|status| status.authority) {
        println!();
        let gib = |bytes: u64| bytes >> 30;
        println!(
            "{}: led by {} (epoch {}), {} of {} GiB reserved",
            status.zone,
            status.host,
            status.epoch,
            gib(status.memory_reserved),
            gib(status.memory_total)
        );
        for replica in status.replicas.iter().filter(|replica| replica.zone == status.zone) {
            println!("  {:<28} {:<20} {:?}", replica.asset, replica.upstream, replica.state);
        }
    }
}
