//! From the names callers use to targets.

use std::time::Duration;

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

/// Where a request goes, and on what terms.
#[derive(Debug, Clone)]
pub struct RouteMatch {
    /// What it is for.
    pub target: RequestTarget,
    /// Whether it may be repeated.
    pub repeat: RequestRepeat,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Terms of its route, without the request's own prompt.
    pub terms: RouteTerms,
}

/// What the routes say of a request.
#[derive(Debug, Clone)]
pub enum RouteResolution {
    /// No configuration is in force yet.
    Unconfigured,
    /// No route leads anywhere for it.
    Unknown,
    /// A route was found.
    Found(Box<RouteMatch>),
}

impl HostReducer {
    /// The version that serves `name` now: a rolling one once it is ready, else the pinned one.
    /// `name@version` asks for that version.
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

    /// Where a request that is passed through goes, and on what terms. `draw` is an even random
    /// number for routes with several destinations.
    pub fn resolve_route(
        &self,
        host: &str,
        path: &str,
        asset: Option<&str>,
        draw: u64,
    ) -> RouteResolution {
        if self.catalog.revision == 0 {
            return RouteResolution::Unconfigured;
        }
        let bare = path.split('?').next().unwrap_or(path);
        let Some(route) = self.catalog.routes.find(host, bare) else {
            return RouteResolution::Unknown;
        };
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
        };
        RouteResolution::Found(Box::new(RouteMatch {
            target,
            repeat,
            timeout: route.timeout,
            terms,
        }))
    }

    /// The service called `name`, and whether a call to `path` of it is idempotent.
    pub fn resolve_service(
        &self,
        name: &str,
        method: &str,
        path: &str,
    ) -> Option<(RequestTarget, bool)> {
        let key = self.catalog.service_named(name)?;
        let prefixes = &self.catalog.services[key].idempotent;
        let declared = prefixes.iter().any(|prefix| covers(prefix, path));
        let reads = matches!(method, "GET" | "HEAD" | "OPTIONS");
        Some((RequestTarget::Service(key), declared || reads))
    }

    /// How a call to a service may be repeated.
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

    /// Whether the request is not done with.
    pub fn holds(&self, ticket: RequestTicket) -> bool {
        self.tickets.contains_key(&ticket)
    }

    /// Whether this process may send orders to its zone's engines.
    pub fn has_authority(&self, now: Moment) -> bool {
        self.lease.authority(now).is_some()
    }

    /// Whether an order with this token may still be written.
    pub fn may_order(&self, now: Moment, token: u64) -> bool {
        self.lease.authority(now).is_some_and(|(epoch, _)| epoch == token_epoch(token))
    }
}

/// Whether `path` is `prefix` or lies below it.
fn covers(prefix: &str, path: &str) -> bool {
    let path = path.split('?').next().unwrap_or(path);
    let rest = path.strip_prefix(prefix);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}

#[cfg(test)]
mod tests {
    use super::covers;

    #[test]
    fn can_tell_paths_below_a_prefix() {
        assert!(covers("/status", "/status"));
        assert!(covers("/status", "/status/7?x=1"));
        assert!(covers("/status/", "/status/7"));
        assert!(!covers("/status", "/statuses"));
        assert!(!covers("/status", "/start?p=/status"));
    }
}
