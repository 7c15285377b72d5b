//! Which entry hosts and upstreams there are, from the host list and from messages heard.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use wagtailledge_inventory::InventoryCatalog;
use wagtailledge_inventory::UpstreamKey;

use crate::event::ListedHost;
use crate::event::ListedState;
use crate::identity::HostStamp;
use crate::time::Moment;

/// What is known of one other entry host.
#[derive(Debug, Clone)]
struct MemberRecord {
    /// Its incarnation is 0 until a message from it was heard.
    stamp: HostStamp,
    /// `None` until a message from it was heard.
    last_heard: Option<Moment>,
    /// What the host list last said; `None` when it no longer names the host.
    listed: Option<ListedState>,
}

/// Entry hosts and upstreams of the deployment.
#[derive(Debug, Clone, Default)]
pub struct MemberDirectory {
    members: BTreeMap<String, MemberRecord>,
    /// Names of the members of each scope. Always agrees with `members`.
    scopes: BTreeMap<String, BTreeSet<String>>,
    /// Upstream names with their listed state; `None` before the list was first read.
    upstreams: Option<BTreeMap<String, ListedState>>,
}

impl MemberDirectory {
    /// Takes in the host list.
    pub fn apply_list(&mut self, hosts: &[ListedHost]) {
        let upstreams = hosts.iter().filter(|host| host.peer_address.is_empty());
        self.upstreams = Some(upstreams.map(|host| (host.name.clone(), host.state)).collect());
        self.apply_members(hosts);
    }

    /// Takes in all entry hosts that are listed; what is not one is passed over.
    pub fn apply_members(&mut self, hosts: &[ListedHost]) {
        for record in self.members.values_mut() {
            record.listed = None;
        }
        for host in hosts.iter().filter(|host| !host.peer_address.is_empty()) {
            self.apply_member(host);
        }
        self.members.retain(|_, record| record.listed.is_some() || record.last_heard.is_some());
        self.index_scopes();
    }

    /// Takes in what the platform says of one upstream; `None` when it is gone.
    pub fn put_upstream(&mut self, name: &str, state: Option<ListedState>) {
        let upstreams = self.upstreams.get_or_insert_default();
        match state {
            Some(state) => upstreams.insert(name.to_owned(), state),
            None => upstreams.remove(name),
        };
    }

    fn apply_member(&mut self, host: &ListedHost) {
        let record = self.members.entry(host.name.clone()).or_insert_with(|| MemberRecord {
            stamp: HostStamp {
                name: host.name.clone(),
                zone: host.zone.clone(),
                scope: host.scope.clone(),
                address: host.peer_address.clone(),
                incarnation: 0,
                capacity: host.capacity,
            },
            last_heard: None,
            listed: None,
        });
        record.listed = Some(host.state);
        // Lists that do not tell it leave what the host itself said.
        if host.capacity > 0 {
            record.stamp.capacity = host.capacity;
        }
        if record.last_heard.is_none() {
            record.stamp.address.clone_from(&host.peer_address);
        }
    }

    /// Notes that `from` was heard.
    pub fn heard(&mut self, now: Moment, from: &HostStamp) {
        let record = self.members.entry(from.name.clone()).or_insert_with(|| MemberRecord {
            stamp: from.clone(),
            last_heard: None,
            listed: None,
        });
        let moved = record.stamp != *from || record.last_heard.is_none();
        if moved {
            record.stamp = from.clone();
        }
        record.last_heard = Some(now);
        if moved {
            self.index_scopes();
        }
    }

    /// Forgets hosts that are no longer listed and were not heard since `oldest`.
    pub fn forget_before(&mut self, oldest: Moment) {
        self.members.retain(|_, record| {
            record.listed.is_some() || record.last_heard.is_some_and(|heard| heard > oldest)
        });
        self.index_scopes();
    }

    fn index_scopes(&mut self) {
        self.scopes.clear();
        for (name, record) in &self.members {
            let scope = self.scopes.entry(record.stamp.scope.clone()).or_default();
            scope.insert(name.clone());
        }
    }

    fn records_in(&self, scope: &str) -> impl Iterator<Item = &MemberRecord> {
        let names = self.scopes.get(scope).into_iter().flatten();
        names.filter_map(|name| self.members.get(name))
    }

    /// Other entry hosts that are listed or were heard.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// When any host of `scope` was last heard.
    pub fn scope_heard(&self, scope: &str) -> Option<Moment> {
        self.records_in(scope).filter_map(|record| record.last_heard).max()
    }

    /// Entry hosts of `scope` other than `me` that are listed or were heard.
    pub fn in_scope<'m>(
        &'m self,
        scope: &'m str,
        me: &'m str,
    ) -> impl Iterator<Item = &'m HostStamp> + 'm {
        self.records_in(scope).map(|record| &record.stamp).filter(move |stamp| stamp.name != me)
    }

    /// Entry hosts of `scope` that were heard since `oldest`, live by the list or not listed yet.
    pub fn heard_in_scope(&self, scope: &str, me: &str, oldest: Moment) -> Vec<HostStamp> {
        let live = |record: &&MemberRecord| {
            record.listed != Some(ListedState::Leaving)
                && record.stamp.name != me
                && record.last_heard.is_some_and(|heard| heard >= oldest)
        };
        self.records_in(scope).filter(live).map(|record| record.stamp.clone()).collect()
    }

    /// Whether `scope` has an entry host that is listed or was heard since `oldest`, does not leave
    /// and may use at least `capacity` of processor time, in thousandths of a core.
    pub fn has_capable(&self, scope: &str, me: &str, oldest: Moment, capacity: u32) -> bool {
        self.records_in(scope).any(|record| {
            let present = record.listed == Some(ListedState::Live)
                || (record.listed.is_none() && record.last_heard.is_some_and(|at| at >= oldest));
            present && record.stamp.name != me && record.stamp.capacity >= capacity
        })
    }

    /// Whether the upstream may get new work.
    pub fn upstream_accepts(&self, catalog: &InventoryCatalog, upstream: UpstreamKey) -> bool {
        self.upstream_state(catalog, upstream) == Some(ListedState::Live)
    }

    /// Whether the upstream still exists, leaving or not.
    pub fn upstream_exists(&self, catalog: &InventoryCatalog, upstream: UpstreamKey) -> bool {
        self.upstream_state(catalog, upstream).is_some()
    }

    fn upstream_state(
        &self,
        catalog: &InventoryCatalog,
        upstream: UpstreamKey,
    ) -> Option<ListedState> {
        let record = catalog.upstreams.get(upstream)?;
        match &self.upstreams {
            Some(upstreams) => upstreams.get(&record.name).copied(),
            None => Some(ListedState::Live),
        }
    }
}
