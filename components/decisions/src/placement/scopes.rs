//! Which scope is responsible for placing an asset.

use wagtailledge_inventory::AssetKey;

use crate::time::Moment;

use super::state::PlacementContext;
use super::state::PlacementState;

/// Reachability of another scope, as seen by this leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScopeReachability {
    /// Its leader sent a message, or this leader's own term began, within `peer_timeout`.
    Led,
    /// Its hosts are reachable but its leader is not: one of them will take over.
    Leaderless,
    /// None of its hosts sent a message within `peer_timeout`.
    Unreachable,
}

impl PlacementState {
    /// Updates the reachability of the other scopes.
    pub fn update_reachability(&mut self, context: &PlacementContext<'_>) {
        let scopes = context.catalog.scopes.iter().filter(|scope| *scope != context.scope);
        let reachability =
            scopes.map(|scope| (scope.clone(), self.reachability_of(context, scope)));
        self.scope_reachability = reachability.collect();
    }

    fn reachability_of(&self, context: &PlacementContext<'_>, scope: &str) -> ScopeReachability {
        let oldest = context.now.before(context.timing.peer_timeout);
        let last_received =
            context.view.leader_last_alive(scope).unwrap_or_default().max(self.started);
        if last_received >= oldest {
            return ScopeReachability::Led;
        }
        let reachable =
            context.members.scope_last_contact(scope).is_some_and(|contact| contact >= oldest);
        if reachable { ScopeReachability::Leaderless } else { ScopeReachability::Unreachable }
    }

    /// Whether this scope should place `asset` for requests with this earliest deadline. Also true
    /// when no scope can place the asset.
    pub fn is_responsible(
        &self,
        context: &PlacementContext<'_>,
        asset: AssetKey,
        earliest_deadline: Moment,
    ) -> bool {
        let scope = self.placing_scope(context, asset, earliest_deadline);
        scope.is_none_or(|scope| scope == context.scope)
    }

    /// The first scope in the asset's order of scopes that can place it, as far as this leader
    /// knows. A leaderless scope counts if its next leader can still place the asset before the
    /// deadline: its engines may be loading the asset already.
    pub fn placing_scope<'c>(
        &self,
        context: &PlacementContext<'c>,
        asset: AssetKey,
        earliest_deadline: Moment,
    ) -> Option<&'c str> {
        let takeover = context.timing.lease_ttl + context.timing.peer_timeout;
        let can_wait =
            earliest_deadline >= context.now.after(takeover + self.expected_load(context.catalog));
        let order = context.catalog.scopes_by_preference(asset);
        order.into_iter().find(|scope| {
            if *scope == context.scope {
                return !self.declined.contains(&asset);
            }
            let declined = self.declined_by.get(*scope);
            if declined.is_some_and(|assets| assets.contains(&asset)) {
                return false;
            }
            match self.scope_reachability.get(*scope) {
                Some(ScopeReachability::Led) => true,
                Some(ScopeReachability::Leaderless) => can_wait,
                Some(ScopeReachability::Unreachable) | None => false,
            }
        })
    }
}
