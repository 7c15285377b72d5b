//! Entry hosts: the program under test, as a process with the settings of the deploy file's template.

use std::fs;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::base::Setup;
use crate::base::exchange;

/// What a host's settings are rendered from; names as in `DEPLOY.md`.
pub struct HostSpec {
    pub name: String,
    zone: String,
    region: String,
    store: String,
}

pub struct Host {
    pub spec: HostSpec,
    pub callers: String,
    ready: String,
    folder: PathBuf,
    settings: PathBuf,
    child: Arc<Mutex<Option<Child>>>,
}

/// Ports that are tried; the system gives none of them to outgoing connections.
const PORTS: std::ops::Range<u32> = 20_000..30_000;
/// Longest time until a host is ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Times that a host is started, as another program may take its ports first.
const START_ATTEMPTS: usize = 3;

/// All processes that were started, so that they can be ended when the case takes too long.
static CHILDREN: Mutex<Vec<Arc<Mutex<Option<Child>>>>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn kill_all() {
    let children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
    for child in children.iter() {
        kill_child(child);
    }
}

fn kill_child(child: &Mutex<Option<Child>>) {
    let child = child.lock().unwrap_or_else(PoisonError::into_inner).take();
    if let Some(mut child) = child {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A loopback port that is free now.
fn free_port() -> std::io::Result<u16> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(37);
    for _ in PORTS {
        let place = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = (PORTS.start + place % (PORTS.end - PORTS.start)) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return Ok(port);
        }
    }
    Err(std::io::Error::from(std::io::ErrorKind::AddrInUse))
}

/// Starts hosts with these names in the zone `dothan`, and waits until they are ready.
pub fn start_hosts(names: &[&str], store: &str, setup: &Setup) -> Result<Vec<Host>, String> {
    let mut hosts = Vec::new();
    for name in names {
        hosts.push(Host::start_new(name, store, setup)?);
    }
    let started = Instant::now();
    let mut attempts = 1;
    loop {
        for host in &mut hosts {
            if !host.is_running() && attempts < START_ATTEMPTS {
                attempts += 1;
                let name = host.spec.name.clone();
                *host = Host::start_new(&name, store, setup)?;
            }
        }
        if hosts.iter().all(Host::is_ready) {
            return Ok(hosts);
        }
        if started.elapsed() > READY_LIMIT {
            return Err("an entry host is not ready".to_owned());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Fills the template of the deploy file in.
fn render(template: &str, spec: &HostSpec, ports: [u16; 4]) -> Result<String, String> {
    let [callers, ready, peers, metrics] = ports;
    let start = template.find("{{#zones}}").ok_or("the template has no zones")?;
    let end = template.find("{{/zones}}").ok_or("the template has no end of zones")?;
    let zones = template[start + "{{#zones}}".len()..end]
        .replace("{{@}}", &spec.zone)
        .replace("{{.}}", &spec.region);
    let text = format!("{}{zones}{}", &template[..start], &template[end + "{{/zones}}".len()..]);
    let values = [
        ("nodeName", spec.name.clone()),
        ("zone", spec.zone.clone()),
        ("region", spec.region.clone()),
        ("limits.cpuShare", "0.25".to_owned()),
        ("listen.frontend", format!("127.0.0.1:{callers}")),
        ("listen.ready", format!("127.0.0.1:{ready}")),
        ("ip", "127.0.0.1".to_owned()),
        ("internalPorts.0", peers.to_string()),
        ("internalPorts.1", metrics.to_string()),
        ("platform.address", spec.store.clone()),
        ("platform.ttlMinMs", "1000".to_owned()),
        ("bounds.fencingEnforced", "true".to_owned()),
        ("bounds.configApplyMs", "2000".to_owned()),
        ("bounds.drainMs", "2000".to_owned()),
        ("bounds.graceS", "8".to_owned()),
        ("bounds.retryBudgetRatio", "0.2".to_owned()),
        ("bounds.retryAllowance", "56".to_owned()),
        ("bounds.budgetWindowS", "10".to_owned()),
        ("bounds.leaseMs", "3000".to_owned()),
    ];
    let filled = values
        .iter()
        .fold(text, |text, (name, value)| text.replace(&format!("{{{{{name}}}}}"), value));
    if filled.contains("{{") {
        Err(format!("placeholders are left in the settings:\n{filled}"))
    } else {
        Ok(filled)
    }
}

impl Host {
    fn start_new(name: &str, store: &str, setup: &Setup) -> Result<Self, String> {
        let spec = HostSpec {
            name: name.to_owned(),
            zone: "dothan".to_owned(),
            region: "deep-south".to_owned(),
            store: store.to_owned(),
        };
        let host = Self::new(spec, &setup.root, &setup.temporary)?;
        host.start(&setup.root)?;
        Ok(host)
    }

    /// Writes the settings of a host to `folder`.
    fn new(spec: HostSpec, root: &str, folder: &str) -> Result<Self, String> {
        let failed = |error: std::io::Error| error.to_string();
        let template =
            fs::read_to_string(format!("{root}/deploy/settings.toml.in")).map_err(failed)?;
        let mut ports = [0; 4];
        for port in &mut ports {
            *port = free_port().map_err(failed)?;
        }
        let folder = PathBuf::from(folder);
        let settings = folder.join(format!("{}.toml", spec.name));
        fs::write(&settings, render(&template, &spec, ports)?).map_err(failed)?;
        let callers = format!("127.0.0.1:{}", ports[0]);
        let ready = format!("127.0.0.1:{}", ports[1]);
        Ok(Self { spec, callers, ready, folder, settings, child: Arc::default() })
    }

    /// Starts the program with the command of the deploy file, but for the place of its settings.
    fn start(&self, root: &str) -> Result<(), String> {
        let deploy = fs::read_to_string(format!("{root}/deploy/system.toml"))
            .map_err(|error| error.to_string())?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.ok_or("deploy/system.toml has no command")?;
        let settings = self.settings.display().to_string();
        let mut words = run.split(' ').map(|word| match word {
            "/etc/wagtailledge/settings.toml" => settings.as_str(),
            word => word,
        });
        let program = words.next().unwrap_or_default();
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.spec.name)))
            .map_err(|error| error.to_string())?;
        let child = Command::new(format!("{root}/{program}"))
            .args(words)
            .current_dir(root)
            .env_clear()
            .envs(
                std::env::vars()
                    .filter(|(name, _)| matches!(name.as_str(), "PATH" | "HOME" | "LANG")),
            )
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{program} does not start: {error}"))?;
        *self.child.lock().unwrap_or_else(PoisonError::into_inner) = Some(child);
        CHILDREN.lock().unwrap_or_else(PoisonError::into_inner).push(Arc::clone(&self.child));
        Ok(())
    }

    /// Whether the process runs.
    pub fn is_running(&self) -> bool {
        let mut child = self.child.lock().unwrap_or_else(PoisonError::into_inner);
        child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Asks the process to end, with SIGTERM.
    pub fn terminate(&self) {
        let child = self.child.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(child) = child.as_ref() {
            let _ = Command::new("sh").arg("-c").arg(format!("kill {}", child.id())).status();
        }
    }

    /// Starts the program again once its process has ended, or kills it after `grace`.
    pub fn start_again(&self, grace: Duration, root: &str) -> Result<(), String> {
        let started = Instant::now();
        while self.is_running() && started.elapsed() < grace {
            std::thread::sleep(Duration::from_millis(20));
        }
        self.kill();
        self.start(root)
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&self) {
        kill_child(&self.child);
    }

    /// Whether the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(&self.ready) else {
            return false;
        };
        let headers = [("Host", self.ready.clone())];
        let answer = exchange(&stream, "GET /-/readiness", &headers, b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
