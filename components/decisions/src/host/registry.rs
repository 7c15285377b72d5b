//! Upstreams that register themselves with the platform.

use wagtailledge_inventory::UpstreamRecord;
use wagtailledge_inventory::catalog::UpstreamKind;

use crate::effect::HostEffect;
use crate::event::RegisteredUpstream;
use crate::event::RegistryChange;
use crate::message::ReplicaState;
use crate::time::Moment;

use super::state::HostReducer;

impl HostReducer {
    /// Takes in changes among the upstreams that register themselves.
    pub(super) fn registry_changed(
        &mut self,
        now: Moment,
        changes: Vec<RegistryChange>,
        effects: &mut Vec<HostEffect>,
    ) {
        self.hold_until = Moment::default();
        for change in changes {
            match change {
                RegistryChange::Present(upstream) => self.register(*upstream),
                RegistryChange::Absent(name) => {
                    self.registered.remove(&name);
                    self.unregister(&name);
                }
            }
        }
        self.follow_inventory(now, effects);
        self.pump_all(now, effects);
    }

    /// Puts registered upstreams in that an older configuration had no place for.
    pub(super) fn restore_registered(&mut self) {
        let all: Vec<RegisteredUpstream> = self.registered.values().cloned().collect();
        for upstream in all {
            self.put_registered(&upstream);
        }
    }

    fn register(&mut self, upstream: RegisteredUpstream) {
        let old = self.registered.get(&upstream.name);
        if old.is_some_and(|old| old.born != upstream.born) {
            // A restart under the same name: nothing known of the earlier process holds.
            self.unregister(&upstream.name);
        }
        self.put_registered(&upstream);
        self.registered.insert(upstream.name.clone(), upstream);
    }

    fn unregister(&mut self, name: &str) {
        self.members.put_upstream(name, None);
        if self.catalog.unregister_upstream(name).is_some() {
            self.view.drop_unknown(&self.catalog);
        }
    }

    fn put_registered(&mut self, upstream: &RegisteredUpstream) {
        let Some(service) = self.catalog.service_named(&upstream.service) else {
            return;
        };
        let pool = self.catalog.services[service].pool.as_ref();
        let kind = match pool {
            Some(pool) => UpstreamKind::Engine { checks_tokens: pool.checks_tokens },
            None => UpstreamKind::Service,
        };
        let record = UpstreamRecord {
            name: upstream.name.clone(),
            zone: upstream.zone.clone(),
            address: upstream.address.clone(),
            memory_bytes: pool.map_or(0, |pool| pool.memory_bytes),
            slots: upstream.slots,
            kind,
            service: Some(service),
            registered: true,
        };
        let Some(key) = self.catalog.register_upstream(record) else {
            return;
        };
        self.members.put_upstream(&upstream.name, Some(upstream.state));
        let Some(holdings) = &upstream.holdings else {
            return;
        };
        let serving: Vec<_> =
            holdings.serving.iter().filter_map(|name| self.catalog.asset_named(name)).collect();
        for asset in self.view.assets_at(key) {
            if !serving.contains(&asset) {
                self.view.put(asset, key, None);
            }
        }
        for asset in serving {
            self.view.put(asset, key, Some(ReplicaState::Ready));
        }
    }
}
