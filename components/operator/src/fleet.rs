//! Status of the live entry hosts, and the configuration revision each has in force.

use std::time::Duration;
use std::time::Instant;

use wagtailledge_decisions::host::HostStatus;
use wagtailledge_keyvalue::HostListService;
use wagtailledge_peers::MessageSeal;
use wagtailledge_peers::fetch_status;

/// Delay between two rounds of status requests while waiting for a revision.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// One entry host with its status, or the reason why it could not be fetched.
#[derive(Debug)]
pub struct FleetEntry {
    /// Name of the host in the host list.
    pub host: String,
    /// The status, or the error text of the failed request.
    pub status: Result<HostStatus, String>,
}

/// Fetches the status of every host in the host list that has a peer address, one after another.
///
/// # Errors
/// Fails when the host list cannot be read.
pub async fn fetch_fleet_status(
    hosts: &dyn HostListService,
    seal: &MessageSeal,
) -> Result<Vec<FleetEntry>, String> {
    let list = hosts.list().await.ok_or(
        "the host list cannot be read: check `host_list` in [platform] of the settings and whether \
         that service runs",
    )?;
    let mut entries = Vec::new();
    for host in list.into_iter().filter(|host| !host.peer_address.is_empty()) {
        let status = fetch_host_status(&host.peer_address, seal).await;
        entries.push(FleetEntry { host: host.name, status });
    }
    Ok(entries)
}

/// Live entry hosts, by whether they have a given revision or a later one in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutReport {
    /// Names of the hosts that have the revision or a later one in force.
    pub in_force: Vec<String>,
    /// Names of the hosts that have an older revision in force or did not answer.
    pub behind: Vec<String>,
}

/// Waits until every live entry host has `revision` in force. Stops polling after `timeout` and
/// returns the last report.
///
/// # Errors
/// Fails when the host list cannot be read.
pub async fn wait_until_in_force(
    hosts: &dyn HostListService,
    seal: &MessageSeal,
    revision: u64,
    timeout: Duration,
) -> Result<RolloutReport, String> {
    let started = Instant::now();
    loop {
        let mut report = RolloutReport { in_force: Vec::new(), behind: Vec::new() };
        for entry in fetch_fleet_status(hosts, seal).await? {
            let in_force = entry.status.is_ok_and(|status| status.revision >= revision);
            let list = if in_force { &mut report.in_force } else { &mut report.behind };
            list.push(entry.host);
        }
        if report.behind.is_empty() || started.elapsed() >= timeout {
            return Ok(report);
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the message seal for a deployment's shared secret.
pub fn seal_of(secret: &str) -> MessageSeal {
    MessageSeal::new(secret)
}

/// Fetches the status of the entry host at `address`.
///
/// # Errors
/// Fails when the host is unreachable, rejects the seal, or sends an answer that cannot be parsed.
pub async fn fetch_host_status(address: &str, seal: &MessageSeal) -> Result<HostStatus, String> {
    let text = fetch_status(address, seal).await.map_err(|error| error.to_string())?;
    serde_json::from_str(&text).map_err(|error| error.to_string())
}
