//! Which route a request takes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::document::RouteEntry;
use crate::document::RouteKind;

use super::records::ServiceKey;

/// One route, as the router needs it.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRecord {
    /// Unique name.
    pub name: String,
    /// Beginning of the path; starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time within which an answer is wanted.
    pub objective: Duration,
    /// Longest pause between events that still counts as in time.
    pub pause: Option<Duration>,
    /// Lower ranks are served first.
    pub rank: u8,
    /// Most upstreams that one request may be sent to.
    pub attempts: u32,
    /// Requests that share parts of their prompts should meet at one engine.
    pub sticky: bool,
    /// A stream may go on at another engine after its last event.
    pub resumable: bool,
    /// Destinations with a weight above zero.
    pub shares: Vec<(ServiceKey, u32)>,
}

impl RouteRecord {
    /// Whether a request may be sent again although it may have run.
    pub fn is_repeatable(&self) -> bool {
        self.kind == RouteKind::Idempotent || self.resumable
    }

    /// The destination of a request, by a number drawn evenly from all of `u64`.
    pub fn destination(&self, draw: u64) -> Option<ServiceKey> {
        let total: u64 = self.shares.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for (service, weight) in &self.shares {
            match left.checked_sub(u64::from(*weight)) {
                Some(rest) => left = rest,
                None => return Some(*service),
            }
        }
        None
    }
}

/// All routes, by host name and then the longest prefix first.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    hosts: BTreeMap<String, Vec<RouteRecord>>,
}

impl RouteTable {
    /// Indexes routes. Destinations that `service` does not find are left out.
    pub fn new(entries: &[RouteEntry], service: impl Fn(&str) -> Option<ServiceKey>) -> Self {
        let mut hosts: BTreeMap<String, Vec<RouteRecord>> = BTreeMap::new();
        for entry in entries {
            let shares = entry.to.iter().filter(|share| share.weight > 0);
            let shares = shares.filter_map(|share| Some((service(&share.service)?, share.weight)));
            hosts.entry(entry.host.to_ascii_lowercase()).or_default().push(RouteRecord {
                name: entry.name.clone(),
                prefix: entry.prefix.clone(),
                kind: entry.kind,
                timeout: entry.timeout.0,
                objective: entry.objective.0,
                pause: entry.pause.map(|pause| pause.0),
                rank: entry.rank,
                attempts: entry.attempts,
                sticky: entry.sticky,
                resumable: entry.resumable,
                shares: shares.collect(),
            });
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { hosts }
    }

    /// Finds the route of a request: the longest prefix that begins its path decides. `host` may
    /// carry a port, `path` must not carry a query.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRecord> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
