//! What every case needs: the record, the configuration, entries of engines and processes of the system.

use std::fs;
use std::fs::File;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::read_head;
use crate::store::Store;

/// Time between two entries of an engine; `heartbeatMs` of the example in the users' pages.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Longest time for a process to become ready.
const READY_TIME: Duration = Duration::from_secs(15);

/// Writes what was sent, answered and run to `record.txt` and to standard output.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Result<Self> {
        let file = Mutex::new(File::create(folder.join("record.txt"))?);
        Ok(Self { file, start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.start.elapsed().as_secs_f64());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

fn free_port() -> Result<u16> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}

/// A process of the system, started with the command of the deploy file. It is killed when dropped.
pub struct Host {
    child: Child,
    pub callers: SocketAddr,
    readiness: SocketAddr,
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Host {
    /// Starts a process with settings like those that the template yields for Hollis Vent.
    pub fn start(name: &str, zone: &str, store: &Store, folder: &Path) -> Result<Self> {
        let mut ports = Vec::new();
        for _ in 0..4 {
            ports.push(free_port()?);
        }
        let template = fs::read_to_string("deploy/settings.toml.in")?;
        let values: [(&str, String); 17] = [
            ("{{nodeName}}", name.to_owned()),
            ("{{zone}}", zone.to_owned()),
            ("{{region}}", "region".to_owned()),
            ("{{limits.cpuShare}}", "0.25".to_owned()),
            ("{{listen.frontend}}", format!("127.0.0.1:{}", ports[0])),
            ("{{listen.ready}}", format!("127.0.0.1:{}", ports[1])),
            ("{{ip}}:{{internalPorts.0}}", format!("127.0.0.1:{}", ports[2])),
            ("{{ip}}:{{internalPorts.1}}", format!("127.0.0.1:{}", ports[3])),
            ("{{platform.address}}", store.address.to_string()),
            ("{{platform.ttlMinMs}}", "1000".to_owned()),
            ("{{bounds.fencingEnforced}}", "true".to_owned()),
            ("{{bounds.configApplyMs}}", "2000".to_owned()),
            ("{{bounds.drainMs}}", "2000".to_owned()),
            ("{{bounds.graceS}}", "8".to_owned()),
            ("{{bounds.retryBudgetRatio}}", "0.2".to_owned()),
            ("{{bounds.retryAllowance}}", "56".to_owned()),
            ("{{bounds.budgetWindowS}}", "10".to_owned()),
        ];
        let mut text =
            values.iter().fold(template, |text, (field, value)| text.replace(field, value));
        text = text.replace("{{bounds.leaseMs}}", "3000");
        text = text
            .replace("{{#zones}}{{@}} = \"{{.}}\"\n{{/zones}}", "a = \"region\"\nb = \"region\"\n");
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, text)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let child = Command::new("target/release/wagtailledge")
            .args(["serve", "--settings"])
            .arg(&path)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Ok(Self { child, callers: address(ports[0]), readiness: address(ports[1]) })
    }

    pub fn await_ready(&self) -> bool {
        let end = Instant::now() + READY_TIME;
        while Instant::now() < end {
            if self.is_ready().unwrap_or(false) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> Result<bool> {
        let mut stream = TcpStream::connect(self.readiness)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")?;
        let head = read_head(&mut std::io::BufReader::new(stream))?;
        Ok(head.word(1) == "200")
    }
}

/// A folder for settings and logs of this run; removed when dropped.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn create() -> Result<Self> {
        let path = std::env::temp_dir().join(format!("wagtailledge-review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Configuration with one model on engines, and a route whose streams may be resumed.
pub fn configuration() -> String {
    let route = r#"{"name":"r1","host":"review.example","prefix":"/review/","routeKind":"streaming","timeoutMs":15000,"targetLatencyMs":2500,"gapTargetMs":400,"attempts":2,"priority":1,"service":"llm","sticky":true,"resumable":true}"#;
    let model = r#"{"name":"m1","weightsMb":72700,"loadS":6,"warmS":0.63,"diskS":0.84,"adapters":0,"adapterMb":66}"#;
    let engine = format!(
        r#"{{"slots":64,"kvCacheTokens":265689,"weightsMb":200000,"adapterSlots":8,"hostMb":140000,"diskMb":850000,"loadsPerS":2.1,"models":[{model}]}}"#
    );
    let service = format!(
        r#"{{"name":"llm","healthPath":"/health","connectionLimit":370,"engine":{engine}}}"#
    );
    let limits = r#"{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":10000}"#;
    format!(r#"{{"version":7,"routes":[{route}],"services":[{service}],"limits":{limits}}}"#)
}

/// Writes the entry of an engine with the model `m1` into the store until the process ends.
pub fn register_engine(store: &Store, id: &str, zone: &str, address: SocketAddr) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
    let (store, id, zone) = (store.clone(), id.to_owned(), zone.to_owned());
    thread::spawn(move || {
        for sequence in 1.. {
            let entry = format!(
                r#"{{"service":"llm","address":"{address}","zone":"{zone}","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"sequence":{sequence},"born":{born},"stage":"combined","models":[{{"name":"m1","version":1,"adapters":[]}}],"available":{{"inMemory":[],"onDisk":["m1"]}}}}"#
            );
            store.put(&format!("servers/{id}"), &entry);
            thread::sleep(HEARTBEAT);
        }
    });
}
