//! Finds the route of a request by its host name and path.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::document::RouteEntry;
use crate::document::RouteKind;

use super::records::ServiceKey;

/// One route, in the form that routing uses.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRecord {
    /// Name, unique among routes.
    pub name: String,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: String,
    /// Whether requests may be repeated, and how they are answered.
    pub kind: RouteKind,
    /// Time limit for the final answer, over all attempts.
    pub timeout: Duration,
    /// Target for the time to answer.
    pub objective: Duration,
    /// Target for the longest pause between two events of a stream.
    pub pause: Option<Duration>,
    /// Priority: lower ranks are served first and shed last.
    pub rank: u8,
    /// Maximum number of upstreams that one request may be sent to.
    pub attempts: u32,
    /// Whether requests with a common prompt prefix are preferably sent to the same engine.
    pub sticky: bool,
    /// Whether another engine may continue a broken stream after its last event.
    pub resumable: bool,
    /// Whether requests need no key.
    pub public: bool,
    /// Destinations and their weights, all above zero.
    pub shares: Vec<(ServiceKey, u32)>,
}

impl RouteRecord {
    /// Whether a request may be sent again even if an earlier attempt may have run.
    pub fn is_repeatable(&self) -> bool {
        self.kind == RouteKind::Idempotent || self.resumable
    }

    /// Chooses a destination by weight. `draw` is uniformly distributed over all of `u64`. Returns
    /// `None` if there is no destination.
    pub fn destination(&self, draw: u64) -> Option<ServiceKey> {
        let total: u64 = self.shares.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut remaining = draw.checked_rem(total)?;
        for (service, weight) in &self.shares {
            match remaining.checked_sub(u64::from(*weight)) {
                Some(rest) => remaining = rest,
                None => return Some(*service),
            }
        }
        None
    }
}

/// All routes by lower-case host name, each list sorted by prefix with the longest first.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    hosts: BTreeMap<String, Vec<RouteRecord>>,
}

impl RouteTable {
    /// Indexes routes. Destinations for which `service` returns no key are left out.
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
                public: entry.public,
                shares: shares.collect(),
            });
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { hosts }
    }

    /// Finds the route with the longest prefix of `path`. `host` may include a port; `path` must
    /// not include a query.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRecord> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Number of routes, over all host names.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
