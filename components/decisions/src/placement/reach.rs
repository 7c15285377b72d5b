//! Which scope should hold an asset.

use wagtailledge_inventory::AssetKey;

use crate::time::Moment;

use super::state::PlacementContext;
use super::state::PlacementState;

/// What a leader knows of another scope.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScopeReach {
    /// Its leader was heard lately.
    Led,
    /// Its hosts answer, its leader does not: one of them will take over.
    Leaderless,
    /// Nothing was heard of it.
    Gone,
}

impl PlacementState {
    /// Notes which scopes can be reached.
    pub fn update_reach(&mut self, context: &PlacementContext<'_>) {
        let scopes = context.catalog.scopes.iter().filter(|scope| *scope != context.scope);
        let reaches = scopes.map(|scope| (scope.clone(), self.reach_of(context, scope)));
        self.reach = reaches.collect();
    }

    fn reach_of(&self, context: &PlacementContext<'_>, scope: &str) -> ScopeReach {
        let oldest = context.now.before(context.timing.peer_timeout);
        let led = context.view.last_heard(scope).unwrap_or_default().max(self.started);
        if led >= oldest {
            return ScopeReach::Led;
        }
        let answers = context.members.scope_heard(scope).is_some_and(|heard| heard >= oldest);
        if answers { ScopeReach::Leaderless } else { ScopeReach::Gone }
    }

    /// Whether this scope should hold `asset`, wanted by `earliest`.
    pub fn is_responsible(
        &self,
        context: &PlacementContext<'_>,
        asset: AssetKey,
        earliest: Moment,
    ) -> bool {
        let scope = self.placing_scope(context, asset, earliest);
        scope.is_none_or(|scope| scope == context.scope)
    }

    /// The first scope in the asset's order that can place it in time, as far as this leader
    /// knows. A scope that is about to get a new leader is waited for if the deadline allows: its
    /// engines may be loading the asset already.
    pub fn placing_scope<'c>(
        &self,
        context: &PlacementContext<'c>,
        asset: AssetKey,
        earliest: Moment,
    ) -> Option<&'c str> {
        let takeover = context.timing.lease_ttl + context.timing.peer_timeout;
        let patient = earliest >= context.now.after(takeover + self.expected_load(context.catalog));
        let order = context.catalog.scope_order(asset);
        order.into_iter().find(|scope| {
            if *scope == context.scope {
                return !self.declined.contains(&asset);
            }
            let declines = self.declined_by.get(*scope);
            if declines.is_some_and(|assets| assets.contains(&asset)) {
                return false;
            }
            match self.reach.get(*scope) {
                Some(ScopeReach::Led) => true,
                Some(ScopeReach::Leaderless) => patient,
                Some(ScopeReach::Gone) | None => false,
            }
        })
    }
}
