//! Entry hosts as separate processes, started with the command and the settings of `deploy/`.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// Figures of the settings that differ between cases.
#[derive(Debug, Clone)]
pub struct Deployment {
    pub store: SocketAddr,
    /// Zones with their region.
    pub zones: Vec<(String, String)>,
}

/// One entry host.
pub struct Host {
    pub name: String,
    pub frontend: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// First port that hosts get: below those that the system gives to outgoing connections, so that a host
/// that is started again finds its own free.
const FIRST_PORT: u32 = 20_000;
const PORTS: u32 = 12_000;

fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (std::process::id().wrapping_mul(97) + number) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Fills in the template of the settings as the platform does.
fn render(template: &str, values: &[(&str, String)], zones: &[(String, String)]) -> String {
    let mut text = template.to_owned();
    if let (Some(start), Some(end)) = (text.find("{{#zones}}"), text.find("{{/zones}}")) {
        let inner = text[start + "{{#zones}}".len()..end].to_owned();
        let rows = zones
            .iter()
            .map(|(zone, region)| inner.replace("{{@}}", zone).replace("{{.}}", region));
        let rows: String = rows.collect();
        text.replace_range(start..end + "{{/zones}}".len(), &rows);
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "the template has a placeholder that the rig does not know");
    text
}

impl Host {
    /// Writes the settings of a host; [`Self::start`] starts it.
    pub fn new(name: &str, zone: &str, deployment: &Deployment, folder: &Path) -> Self {
        let template = std::fs::read_to_string("deploy/settings.toml.in").expect("the template");
        let (frontend, ready) = (free_address(), free_address());
        let region = deployment.zones.iter().find(|(other, _)| other == zone);
        let values = [
            ("nodeName", name.to_owned()),
            ("zone", zone.to_owned()),
            ("region", region.map_or("", |(_, region)| region).to_owned()),
            ("ip", "127.0.0.1".to_owned()),
            ("limits.cpuShare", "0.25".to_owned()),
            ("listen.frontend", frontend.to_string()),
            ("listen.ready", ready.to_string()),
            ("internalPorts.0", free_address().port().to_string()),
            ("internalPorts.1", free_address().port().to_string()),
            ("platform.address", deployment.store.to_string()),
            ("platform.ttlMinMs", "1000".to_owned()),
            ("bounds.fencingEnforced", crate::checks_tokens().to_string()),
            ("bounds.configApplyMs", "3000".to_owned()),
            ("bounds.drainMs", "3000".to_owned()),
            ("bounds.graceS", "8".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.retryAllowance", "212".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
            ("bounds.leaseMs", "3000".to_owned()),
        ];
        let text = render(&template, &values, &deployment.zones);
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("the folder can be written");
        let log = folder.join(format!("{name}.log"));
        Self { name: name.to_owned(), frontend, ready, settings, log, process: None }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let process = Command::new("target/release/wagtailledge")
            .args(["serve", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        self.process = Some(process.expect("the binary of the deploy file"));
    }

    /// Ends the process at once, as a loss of power does.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_none_or(|process| !matches!(process.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let wait = Duration::from_millis(500);
        http::call(self.ready, "GET", "/-/readiness", &[("Host", "x".to_owned())], b"", wait).status
            == 200
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until `condition` holds; false after `limit`.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
