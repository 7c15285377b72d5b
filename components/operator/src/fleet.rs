//! What each entry host has in force.

use std::time::Duration;
use std::time::Instant;

use wagtailledge_decisions::host::HostStatus;
use wagtailledge_keyvalue::HostListService;
use wagtailledge_peers::MessageSeal;
use wagtailledge_peers::ask_status;

/// Between two rounds of questions while waiting.
const WAIT_PAUSE: Duration = Duration::from_millis(200);

/// One entry host and its status, or why there is none.
#[derive(Debug)]
pub struct FleetEntry {
    /// Name of the host.
    pub host: String,
    /// Its status, or what went wrong.
    pub status: Result<HostStatus, String>,
}

/// Asks every live entry host of the list for its status.
///
/// # Errors
/// Fails when the host list cannot be read.
pub async fn ask_fleet(
    hosts: &dyn HostListService,
    seal: &MessageSeal,
) -> Result<Vec<FleetEntry>, String> {
    let list = hosts.list().await.ok_or("the host list does not answer")?;
    let mut entries = Vec::new();
    for host in list.into_iter().filter(|host| !host.peer_address.is_empty()) {
        let status = fetch_host_status(&host.peer_address, seal).await;
        entries.push(FleetEntry { host: host.name, status });
    }
    Ok(entries)
}

/// Which entry hosts have a revision in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForceReport {
    /// Hosts that have it.
    pub in_force: Vec<String>,
    /// Hosts that do not, or do not answer.
    pub behind: Vec<String>,
}

/// Waits until every live entry host has `revision` in force, for at most `patience`.
///
/// # Errors
/// Fails when the host list cannot be read.
pub async fn wait_in_force(
    hosts: &dyn HostListService,
    seal: &MessageSeal,
    revision: u64,
    patience: Duration,
) -> Result<ForceReport, String> {
    let started = Instant::now();
    loop {
        let mut report = ForceReport { in_force: Vec::new(), behind: Vec::new() };
        for entry in ask_fleet(hosts, seal).await? {
            let has = entry.status.is_ok_and(|status| status.revision >= revision);
            let list = if has { &mut report.in_force } else { &mut report.behind };
            list.push(entry.host);
        }
        if report.behind.is_empty() || started.elapsed() >= patience {
            return Ok(report);
        }
        actix_rt::time::sleep(WAIT_PAUSE).await;
    }
}

/// Seal of the deployment that uses `secret`.
pub fn seal_of(secret: &str) -> MessageSeal {
    MessageSeal::new(secret)
}

/// Asks one entry host for its status.
///
/// # Errors
/// Fails when the host cannot be reached, refuses the seal, or answers something else.
pub async fn fetch_host_status(address: &str, seal: &MessageSeal) -> Result<HostStatus, String> {
    let text = ask_status(address, seal).await.map_err(|error| error.to_string())?;
    serde_json::from_str(&text).map_err(|error| error.to_string())
}
