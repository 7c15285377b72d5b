//! Stand-in of the platform's store: keys with revisions, watches, transactions and leases.

use std::collections::BTreeMap;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Call;
use crate::http::serve;
use crate::json::Json;
use crate::json::base64;

#[derive(Clone)]
struct Item {
    /// Value as base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes since the start: revision, key, and the item as JSON.
    log: Vec<(u64, String, String)>,
    /// End and length of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
    )
}

impl Contents {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.log.push((revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let json = format!(r#"{{"key":"{key}","revision":{},"deleted":true}}"#, self.revision);
            self.log.push((self.revision, key.to_owned(), json));
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (end, _))| *end < now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |item| item.revision)
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let expected = body.list("expected");
        let differs = |row: &Json| self.revision_of(&row.text("key")) != row.number("revision");
        if expected.iter().any(differs) {
            let row = |row: &Json| {
                let key = row.text("key");
                let absent = || format!(r#"{{"key":"{key}","revision":0}}"#);
                self.items.get(&key).map_or_else(absent, |item| item_json(&key, item))
            };
            let rows: Vec<String> = expected.iter().map(row).collect();
            return (412, format!(r#"{{"items":[{}]}}"#, rows.join(",")));
        }
        let writes = body.list("writes");
        let lacks_lease = |write: &Json| {
            let lease = write.number("lease");
            lease != 0 && !self.leases.contains_key(&lease)
        };
        if writes.iter().any(lacks_lease) {
            return (404, "{}".to_owned());
        }
        for write in writes {
            self.put(&write.text("key"), write.text("value"), write.number("lease"));
        }
        for key in body.list("remove") {
            if let Json::Text(key) = key {
                self.remove(&key);
            }
        }
        (200, format!(r#"{{"revision":{}}}"#, self.revision))
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let items = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items = items.filter(|(key, _)| key.as_str() > after);
        let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
        format!(r#"{{"items":[{}],"hasMore":false,"at":{}}}"#, items.join(","), self.revision)
    }
}

/// The store. Clones share its contents.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Contents>, Condvar)>,
    pub address: SocketAddr,
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

impl Store {
    /// Starts a store on a free loopback port. Its revisions begin above `revision`.
    pub fn start(revision: u64) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let contents = Contents { revision, ..Contents::default() };
        let store = Self { shared: Arc::new((Mutex::new(contents), Condvar::new())), address };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || serve(stream, |call| server.answer(call)));
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator and the engines do.
    pub fn put(&self, key: &str, value: &str) {
        let (contents, changed) = &*self.shared;
        contents.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        changed.notify_all();
    }

    fn answer(&self, call: Call<'_>) -> Result<bool> {
        let (path, query) = call.path.split_once('?').unwrap_or((call.path, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode(value)))
            .collect();
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let body = Json::parse(&String::from_utf8_lossy(call.body)).unwrap_or(Json::Null);
        let (status, json) = self.execute(call.method, path, &field, &body);
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            json.len()
        );
        call.stream.write_all((head + &json).as_bytes())?;
        Ok(true)
    }

    fn execute(
        &self,
        method: &str,
        path: &str,
        field: &dyn Fn(&str) -> String,
        body: &Json,
    ) -> (u16, String) {
        let (shared, changed) = &*self.shared;
        let mut contents = shared.lock().unwrap();
        contents.end_leases();
        let (call, last) = path.rsplit_once('/').unwrap_or((path, ""));
        let lease: u64 = last.parse().unwrap_or(0);
        let answer = match (method, path) {
            ("GET", "/-/kv-key") => {
                let key = field("key");
                match contents.items.get(&key) {
                    Some(item) => (200, item_json(&key, item)),
                    None => (404, format!(r#"{{"at":{}}}"#, contents.revision)),
                }
            }
            ("GET", "/-/kv-range") => (200, contents.range(&field("prefix"), &field("after"))),
            ("GET", "/-/kv-watch") => {
                drop(contents);
                return self.watch(field);
            }
            ("POST", "/-/kv-txn") => contents.transact(body),
            ("POST", "/-/kv-lease") => {
                let ttl = body.number("ttlMs").max(1_000);
                let length = Duration::from_millis(ttl);
                contents.last_lease += 1;
                let lease = contents.last_lease;
                contents.leases.insert(lease, (Instant::now() + length, length));
                (200, format!(r#"{{"lease":{lease},"ttlMs":{ttl}}}"#))
            }
            ("POST", _) if call == "/-/kv-keep" => match contents.leases.get_mut(&lease) {
                Some((end, length)) => {
                    *end = Instant::now() + *length;
                    (200, "{}".to_owned())
                }
                None => (404, "{}".to_owned()),
            },
            ("DELETE", _) if call == "/-/kv-lease-end" => {
                contents.end_lease(lease);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        };
        changed.notify_all();
        answer
    }

    fn watch(&self, field: &dyn Fn(&str) -> String) -> (u16, String) {
        let (prefix, after) = (field("prefix"), field("after").parse::<u64>().unwrap_or(0));
        let wait = Duration::from_millis(field("waitMs").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        let (shared, changed) = &*self.shared;
        let mut contents = shared.lock().unwrap();
        loop {
            contents.end_leases();
            let newer = contents
                .log
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
            let events: Vec<&str> = newer.map(|(_, _, json)| json.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (200, format!(r#"{{"events":[{events}],"at":{}}}"#, contents.revision));
            }
            let pause = left.min(Duration::from_millis(200));
            contents = changed.wait_timeout(contents, pause).unwrap().0;
        }
    }
}
