//! The platform's metadata store, as `PROTOCOL.md` describes it. It is always sound.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::base::Json;
use crate::base::Message;
use crate::base::from_base64;
use crate::base::reply_json;
use crate::base::serve;
use crate::base::to_base64;

/// Most items of a page.
const PAGE_ITEMS: usize = 500;

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision and event.
    history: Vec<(u64, String, String)>,
    /// End and time of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
    /// Engines' keys, and when they are removed unless they are written again.
    beats: BTreeMap<String, Instant>,
    /// Whether every call is answered with 503 and not executed.
    down: bool,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl State {
    fn write(&mut self, key: &str, value: Option<String>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let event = match value {
            Some(value) => {
                let created = self.items.get(key).map_or(revision, |item| item.created);
                let item = Item { value, revision, created, lease };
                let event = item_json(key, &item);
                self.items.insert(key.to_owned(), item);
                event
            }
            None => {
                if self.items.remove(key).is_none() {
                    return;
                }
                format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}")
            }
        };
        self.history.push((revision, key.to_owned(), event));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: BTreeSet<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
        let silent = self.beats.iter().filter(|(_, end)| **end <= now);
        let silent: Vec<String> = silent.map(|(key, _)| key.clone()).collect();
        for key in silent {
            self.beats.remove(&key);
            self.write(&key, None, 0);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.write(&key, None, 0);
        }
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let matches = |row: &Json| {
            let known = self.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            row.get("revision").number() == Some(known)
        };
        if !body.get("expected").list().iter().all(matches) {
            let items = body.get("expected").list().iter();
            let items = items.filter_map(|row| {
                let key = row.get("key").text();
                self.items.get(key).map(|item| item_json(key, item))
            });
            let items: Vec<String> = items.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let lease = |row: &Json| row.get("lease").number().unwrap_or(0);
        let writes = body.get("writes").list();
        if writes.iter().any(|row| lease(row) != 0 && !self.leases.contains_key(&lease(row))) {
            return (404, "{}".to_owned());
        }
        for row in writes {
            let (key, value) = (row.get("key").text(), row.get("value").text());
            self.write(key, Some(value.to_owned()), lease(row));
        }
        for key in body.get("remove").list() {
            self.write(key.text(), None, 0);
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

impl Store {
    pub fn start(&self) -> std::io::Result<SocketAddr> {
        let store = self.clone();
        let address = serve(Arc::new(move |request: Message, writer: &mut TcpStream| {
            let (status, body) = store.answer(&request);
            reply_json(writer, status, &body)
        }))?;
        let store = self.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                store.change(State::expire);
            }
        });
        Ok(address)
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let (lock, changed) = &*self.0;
        let mut state = lock.lock().unwrap();
        let before = state.revision;
        let result = change(&mut state);
        if state.revision != before {
            changed.notify_all();
        }
        result
    }

    /// Writes a key, as operators and engines do.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|state| state.write(key, Some(to_base64(value.as_bytes())), 0));
    }

    /// Writes an engine's key, which is removed unless it is written again within `ttl`. Returns
    /// false if the store is down.
    pub fn beat(&self, key: &str, value: &str, ttl: Duration) -> bool {
        self.change(|state| {
            if state.down {
                return false;
            }
            state.beats.insert(key.to_owned(), Instant::now() + ttl);
            state.write(key, Some(to_base64(value.as_bytes())), 0);
            true
        })
    }

    /// Starts or ends an outage: every call is answered with 503. Leases go on running out.
    pub fn set_down(&self, down: bool) {
        let (lock, changed) = &*self.0;
        lock.lock().unwrap().down = down;
        changed.notify_all();
    }

    /// Value of a key as text; empty if there is none.
    pub fn text(&self, key: &str) -> String {
        self.change(|state| {
            state.items.get(key).map_or_else(String::new, |item| from_base64(&item.value))
        })
    }

    pub fn remove(&self, key: &str) {
        self.change(|state| state.write(key, None, 0));
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        if self.change(|state| state.down) {
            return (503, "{}".to_owned());
        }
        let number = |prefix: &str| request.path().strip_prefix(prefix)?.parse::<u64>().ok();
        match request.path() {
            "/-/kv-watch" => self.watch(request),
            "/-/kv-key" => self.change(|state| {
                let key = request.query("key");
                match state.items.get(&key) {
                    Some(item) => {
                        let item = item_json(&key, item);
                        let at = state.revision;
                        (200, format!("{},\"at\":{at}}}", item.trim_end_matches('}')))
                    }
                    None => (404, "{}".to_owned()),
                }
            }),
            "/-/kv-range" => self.change(|state| {
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                let found = state.items.iter().filter(|(key, _)| {
                    key.starts_with(&prefix) && (after.is_empty() || **key > after)
                });
                let mut items: Vec<String> =
                    found.take(PAGE_ITEMS + 1).map(|(key, item)| item_json(key, item)).collect();
                let has_more = items.len() > PAGE_ITEMS;
                items.truncate(PAGE_ITEMS);
                let (items, at) = (items.join(","), state.revision);
                (200, format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"at\":{at}}}"))
            }),
            "/-/kv-txn" => {
                let body = request.json();
                let rows = body.get("writes").list().iter().map(|row| row.get("key"));
                let keys = rows.chain(body.get("remove").list());
                let is_reserved = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
                if keys.map(Json::text).any(is_reserved) {
                    return (403, "{}".to_owned());
                }
                self.change(|state| state.transact(&body))
            }
            "/-/kv-lease" => self.change(|state| {
                let ttl_ms =
                    request.json().get("ttlMs").number().unwrap_or(1_000).clamp(1_000, 600_000);
                let ttl = Duration::from_millis(ttl_ms);
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
            }),
            _ => self.change(|state| {
                if let Some(id) = number("/-/kv-keep/") {
                    return match state.leases.get_mut(&id) {
                        Some((end, ttl)) => {
                            *end = Instant::now() + *ttl;
                            (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                        }
                        None => (404, "{}".to_owned()),
                    };
                }
                if let Some(id) = number("/-/kv-lease-end/") {
                    state.end_lease(id);
                    return (200, "{}".to_owned());
                }
                (404, "{}".to_owned())
            }),
        }
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("waitMs").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let (lock, changed) = &*self.0;
        let mut state = lock.lock().unwrap();
        loop {
            if state.down {
                return (503, "{}".to_owned());
            }
            let new =
                state.history.iter().filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
            let events: Vec<&str> = new.map(|(_, _, event)| event.as_str()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
