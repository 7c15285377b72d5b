//! Resolves the names and paths in callers' requests to targets.

use std::time::Duration;

use wagtailledge_inventory::AccountKey;
use wagtailledge_inventory::AssetKey;
use wagtailledge_inventory::document::RouteKind;
use wagtailledge_inventory::document::VersionState;

use crate::order::token_epoch;
use crate::request::LedgerKey;
use crate::request::PromptShape;
use crate::request::RequestRepeat;
use crate::request::RequestTarget;
use crate::request::RequestTicket;
use crate::request::RouteTerms;
use crate::time::Moment;

use super::state::HostReducer;

/// Target of a request that matched a route, and the settings of that route.
#[derive(Debug, Clone)]
pub struct RouteMatch {
    /// Asset or service that the request is for.
    pub target: RequestTarget,
    /// Whether the request may be sent more than once.
    pub repeat: RequestRepeat,
    /// Longest time from arrival to the final answer.
    pub timeout: Duration,
    /// Settings of the route, without what the request itself says.
    pub terms: RouteTerms,
}

/// Result of looking up the route of a request.
#[derive(Debug, Clone)]
pub enum RouteResolution {
    /// No configuration is in force yet.
    Unconfigured,
    /// No route matches, or the route has no destination for the request.
    Unknown,
    /// The route is not public, the configuration has accounts, and the request belongs to none.
    KeyNeeded,
    /// A route matches.
    Found(Box<RouteMatch>),
}

impl HostReducer {
    /// The version that serves `name` now: a rolling one once it is ready, else the pinned one.
    /// `name@version` selects that version unless it is retired.
    pub fn resolve_model(&self, name: &str) -> Option<RequestTarget> {
        let exact = self
            .catalog
            .asset_named(name)
            .filter(|asset| self.catalog.assets[*asset].state != VersionState::Retired);
        let versions = self.catalog.versions_of(name);
        let ready = |asset: &&AssetKey| !self.view.ready(**asset).is_empty();
        let chosen = versions.iter().find(ready).or(versions.last()).copied();
        chosen.or(exact).map(RequestTarget::Asset)
    }

    /// Finds the route for the host name and path of a request. `draw` is a uniform random number
    /// that selects one of several destinations; `account` is that of the caller's key.
    pub fn resolve_route(
        &self,
        host: &str,
        path: &str,
        asset: Option<&str>,
        account: Option<AccountKey>,
        draw: u64,
    ) -> RouteResolution {
        if self.catalog.revision == 0 {
            return RouteResolution::Unconfigured;
        }
        let bare = path.split('?').next().unwrap_or(path);
        let Some(route) = self.catalog.routes.find(host, bare) else {
            return RouteResolution::Unknown;
        };
        if account.is_none() && !route.public && self.catalog.has_accounts() {
            return RouteResolution::KeyNeeded;
        }
        let Some(service) = route.destination(draw) else {
            return RouteResolution::Unknown;
        };
        let record = &self.catalog.services[service];
        let target = match asset.filter(|_| record.pool.is_some()) {
            Some(asset) => {
                let name = format!("{}/{asset}", record.name);
                let model = || self.catalog.asset_named(&format!("{name}@1"));
                match self.catalog.asset_named(&name).or_else(model) {
                    Some(asset) => RequestTarget::Asset(asset),
                    None => return RouteResolution::Unknown,
                }
            }
            None => RequestTarget::Service(service),
        };
        let repeat =
            if route.is_repeatable() { RequestRepeat::Idempotent } else { RequestRepeat::Unkeyed };
        let terms = RouteTerms {
            rank: route.rank,
            attempts: route.attempts,
            objective: route.objective,
            streaming: route.kind == RouteKind::Streaming,
            resumable: route.resumable,
            sticky: route.sticky,
            prompt: PromptShape::default(),
            stream_id: None,
            resumes: None,
        };
        RouteResolution::Found(Box::new(RouteMatch {
            target,
            repeat,
            timeout: route.timeout,
            terms,
        }))
    }

    /// The service `name`, and whether a call of `method` to its `path` is idempotent.
    pub fn resolve_service(
        &self,
        name: &str,
        method: &str,
        path: &str,
    ) -> Option<(RequestTarget, bool)> {
        let key = self.catalog.service_named(name)?;
        let prefixes = &self.catalog.services[key].idempotent;
        let declared = prefixes.iter().any(|prefix| is_at_or_below(prefix, path));
        let reads = matches!(method, "GET" | "HEAD" | "OPTIONS");
        Some((RequestTarget::Service(key), declared || reads))
    }

    /// Whether a call to a service is idempotent, recorded under its idempotency key, or neither.
    pub fn service_repeat(
        &self,
        service: &str,
        idempotent: bool,
        key: Option<&str>,
        fingerprint: u64,
    ) -> RequestRepeat {
        match key {
            _ if idempotent => RequestRepeat::Idempotent,
            Some(key) => RequestRepeat::Keyed(LedgerKey {
                service: service.to_owned(),
                key: key.to_owned(),
                fingerprint,
            }),
            None => RequestRepeat::Unkeyed,
        }
    }

    /// Whether the request of this ticket is still open.
    pub fn is_request_open(&self, ticket: RequestTicket) -> bool {
        self.tickets.contains_key(&ticket)
    }

    /// Whether this process may send orders to the engines of its scope.
    pub fn has_authority(&self, now: Moment) -> bool {
        self.lease.authority(now).is_some()
    }

    /// Whether an order with this fencing token may still be sent.
    pub fn may_send_order(&self, now: Moment, token: u64) -> bool {
        self.lease.authority(now).is_some_and(|(epoch, _)| epoch == token_epoch(token))
    }
}

/// Whether `path`, without its query, is `prefix` or lies below it.
fn is_at_or_below(prefix: &str, path: &str) -> bool {
    let path = path.split('?').next().unwrap_or(path);
    let rest = path.strip_prefix(prefix);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}

#[cfg(test)]
mod tests {
    use super::is_at_or_below;

    #[test]
    fn can_match_paths_at_or_below_a_prefix() {
        assert!(is_at_or_below("/status", "/status"));
        assert!(is_at_or_below("/status", "/status/7?x=1"));
        assert!(is_at_or_below("/status/", "/status/7"));
        assert!(!is_at_or_below("/status", "/statuses"));
        assert!(!is_at_or_below("/status", "/start?p=/status"));
    }
}
