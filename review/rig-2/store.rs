//! The platform's store, as `PROTOCOL.md` describes it: keys with revisions, watches and leases.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::json::Json;
use crate::json::from_base64;
use crate::json::quote;
use crate::json::to_base64;

#[derive(Clone)]
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
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
}

impl State {
    fn write(&mut self, key: &str, value: Option<String>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let item = value.map(|value| {
            let created = self.items.get(key).map_or(revision, |item| item.created);
            Item { value, revision, created, lease }
        });
        match &item {
            Some(item) => self.items.insert(key.to_owned(), item.clone()),
            None => self.items.remove(key),
        };
        self.history.push((revision, key.to_owned(), item));
    }

    fn end_leases(&mut self, ended: impl Fn(u64, Instant) -> bool) {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(id, (until, _))| ended(**id, *until))
            .map(|(id, _)| *id)
            .collect();
        for id in over {
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
    }

    fn item_json(key: &str, item: &Item) -> String {
        format!(
            "{{\"key\":{},\"value\":{},\"revision\":{},\"created\":{},\"lease\":{}}}",
            quote(key),
            quote(&item.value),
            item.revision,
            item.created,
            item.lease
        )
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let expected = body.get("expected").list();
        let holds = |row: &Json| {
            let known = self.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            row.get("revision").number() == Some(known)
        };
        if !expected.iter().all(holds) {
            let present = expected.iter().filter_map(|row| {
                let key = row.get("key").text();
                self.items.get(key).map(|item| Self::item_json(key, item))
            });
            let items: Vec<String> = present.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let lease = |row: &Json| row.get("lease").number().unwrap_or(0);
        let writes = body.get("writes").list();
        if writes.iter().any(|row| lease(row) != 0 && !self.leases.contains_key(&lease(row))) {
            return (404, "{}".to_owned());
        }
        for row in writes {
            let value = row.get("value").text().to_owned();
            self.write(row.get("key").text(), Some(value), lease(row));
        }
        for key in body.get("remove").list() {
            self.write(key.text(), None, 0);
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

/// The store; clones share it.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts the store with its revision counter above 0.
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        store.state.0.lock().expect("a lock").revision = 100;
        let clock = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                clock.change(|state| state.end_leases(|_, until| until <= Instant::now()));
            }
        });
        let served = store.clone();
        let address = http::serve(Arc::new(move |request, stream| {
            let (status, body) = served.answer(request);
            http::answer(stream, status, &json_headers(), body.as_bytes())
        }));
        (store, address)
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.0.lock().expect("a lock");
        let before = state.revision;
        let result = change(&mut state);
        if state.revision != before {
            self.state.1.notify_all();
        }
        result
    }

    /// Writes a key as operators and engines do.
    pub fn put(&self, key: &str, value: &str) {
        let value = to_base64(value.as_bytes());
        self.change(|state| state.write(key, Some(value), 0));
    }

    /// Value of a key as text; empty if there is none.
    pub fn text(&self, key: &str) -> String {
        let state = self.state.0.lock().expect("a lock");
        let value = state.items.get(key).map(|item| from_base64(&item.value));
        String::from_utf8(value.unwrap_or_default()).unwrap_or_default()
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let id = |prefix: &str| request.path.strip_prefix(prefix)?.parse::<u64>().ok();
        match request.path.as_str() {
            "/-/kv-key" => self.read(&request.parameter("key")),
            "/-/kv-range" => self.range(request),
            "/-/kv-watch" => self.watch(request),
            "/-/kv-txn" => match Json::parse(&request.body) {
                Some(body) => self.change(|state| state.transact(&body)),
                None => (400, "{}".to_owned()),
            },
            "/-/kv-lease" => self.grant(request),
            _ => match (id("/-/kv-keep/"), id("/-/kv-lease-end/")) {
                (Some(id), _) => self.keep(id),
                (_, Some(id)) => {
                    self.change(|state| state.end_leases(|other, _| other == id));
                    (200, "{}".to_owned())
                }
                _ => (404, "{}".to_owned()),
            },
        }
    }

    fn read(&self, key: &str) -> (u16, String) {
        let state = self.state.0.lock().expect("a lock");
        match state.items.get(key) {
            Some(item) => (200, State::item_json(key, item)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let (prefix, after) = (request.parameter("prefix"), request.parameter("after"));
        let state = self.state.0.lock().expect("a lock");
        let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix));
        let mut found = found.filter(|(key, _)| after.is_empty() || **key > after);
        let page: Vec<String> =
            found.by_ref().take(500).map(|(key, item)| State::item_json(key, item)).collect();
        let more = found.next().is_some();
        let (items, at) = (page.join(","), state.revision);
        (200, format!("{{\"items\":[{items}],\"hasMore\":{more},\"at\":{at}}}"))
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.parameter("prefix");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.0.lock().expect("a lock");
        loop {
            let start = state.history.partition_point(|(revision, _, _)| *revision <= after);
            let events: Vec<String> = state.history[start..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => State::item_json(key, item),
                    None => format!(
                        "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
                        quote(key)
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            state = self.state.1.wait_timeout(state, left).expect("a lock").0;
        }
    }

    fn grant(&self, request: &Request) -> (u16, String) {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let ttl = body.get("ttlMs").number().unwrap_or(1_000).clamp(1_000, 600_000);
        self.change(|state| {
            state.revision += 1;
            let id = state.revision;
            let span = Duration::from_millis(ttl);
            state.leases.insert(id, (Instant::now() + span, span));
            (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"))
        })
    }

    fn keep(&self, id: u64) -> (u16, String) {
        let mut state = self.state.0.lock().expect("a lock");
        match state.leases.get_mut(&id) {
            Some((until, span)) => {
                *until = Instant::now() + *span;
                (200, format!("{{\"ttlMs\":{}}}", span.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}

pub fn json_headers() -> Vec<(&'static str, String)> {
    vec![("Content-Type", "application/json".to_owned())]
}
