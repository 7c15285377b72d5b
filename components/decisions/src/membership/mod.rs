//! Directory of entry hosts and upstreams, from the platform's host list and received messages.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use wagtailledge_inventory::InventoryCatalog;
use wagtailledge_inventory::UpstreamKey;

use crate::event::ListedHost;
use crate::event::ListedProcess;
use crate::event::ListedState;
use crate::identity::HostIdentity;
use crate::time::Moment;

/// Number of peer timeouts after which a host that is not listed and sends nothing is forgotten.
const UNLISTED_TIMEOUTS: u32 = 8;

/// Last known state of another entry host.
#[derive(Debug, Clone)]
struct MemberRecord {
    /// Identity of its latest process; the incarnation is 0 while neither a message nor a list says it.
    identity: HostIdentity,
    /// When its last message arrived; `None` until it has sent one.
    last_contact: Option<Moment>,
    /// Whether its latest process said that it is draining.
    draining: bool,
    /// State in the latest host list; `None` if the list does not name the host.
    listed: Option<ListedState>,
    /// Latest entry of any host list; `None` if no list has named the host.
    entry: Option<MemberEntry>,
}

/// What the entry of a host says of its process.
#[derive(Debug, Clone, PartialEq, Eq)]
struct MemberEntry {
    /// Process that wrote the entry, if the list says it.
    process: Option<ListedProcess>,
    /// Address for messages to it.
    address: String,
}

impl MemberRecord {
    /// Whether the latest entry is of another process than the one that sent the last message.
    fn is_entry_of_other(&self) -> bool {
        self.entry.as_ref().is_some_and(|entry| match entry.process {
            Some(process) => process.incarnation != self.identity.incarnation,
            None => entry.address != self.identity.address,
        })
    }

    /// Forgets the process that sent the last message, as the entry is of a later one.
    fn adopt_entry(&mut self) {
        let Some(entry) = self.entry.as_ref() else {
            return;
        };
        self.identity.address.clone_from(&entry.address);
        self.identity.incarnation = entry.process.map_or(0, |process| process.incarnation);
        self.last_contact = None;
        self.draining = false;
    }
}

/// Other entry hosts and all upstreams of the deployment.
#[derive(Debug, Clone, Default)]
pub struct MemberDirectory {
    members: BTreeMap<String, MemberRecord>,
    /// Names of the entry hosts of each scope, kept consistent with `members`.
    scopes: BTreeMap<String, BTreeSet<String>>,
    /// Whether a host list has arrived.
    is_listed: bool,
    /// State of each upstream by name; `None` until upstreams were first listed or reported.
    upstreams: Option<BTreeMap<String, ListedState>>,
    /// Upstreams that said that they are leaving, in an answer to any host or in their entry; they
    /// never stay after that. A key stands for one process of an upstream, which has no other key.
    leaving: BTreeSet<UpstreamKey>,
}

impl MemberDirectory {
    /// Replaces the listed upstreams and entry hosts.
    pub fn apply_list(&mut self, hosts: &[ListedHost]) {
        let upstreams = hosts.iter().filter(|host| host.peer_address.is_empty());
        self.upstreams = Some(upstreams.map(|host| (host.name.clone(), host.state)).collect());
        self.apply_members(hosts);
    }

    /// Replaces the listed entry hosts and ignores the upstreams in `hosts`.
    pub fn apply_members(&mut self, hosts: &[ListedHost]) {
        self.is_listed = true;
        for record in self.members.values_mut() {
            record.listed = None;
        }
        for host in hosts.iter().filter(|host| !host.peer_address.is_empty()) {
            self.apply_member(host);
        }
        self.members.retain(|_, record| record.listed.is_some() || record.last_contact.is_some());
        self.index_scopes();
    }

    /// Sets the state of one upstream; `None` removes it.
    pub fn put_upstream(&mut self, name: &str, state: Option<ListedState>) {
        let upstreams = self.upstreams.get_or_insert_default();
        match state {
            Some(state) => upstreams.insert(name.to_owned(), state),
            None => upstreams.remove(name),
        };
    }

    fn apply_member(&mut self, host: &ListedHost) {
        let record = self.members.entry(host.name.clone()).or_insert_with(|| MemberRecord {
            identity: HostIdentity {
                name: host.name.clone(),
                zone: host.zone.clone(),
                scope: host.scope.clone(),
                address: host.peer_address.clone(),
                incarnation: 0,
                capacity: host.capacity,
            },
            last_contact: None,
            draining: false,
            listed: None,
            entry: None,
        });
        record.listed = Some(host.state);
        // A list without capacities leaves the value that the host itself reported.
        if host.capacity > 0 {
            record.identity.capacity = host.capacity;
        }
        let entry = MemberEntry { process: host.process, address: host.peer_address.clone() };
        let is_rewritten = record.entry.as_ref().is_some_and(|known| *known != entry);
        record.entry = Some(entry);
        let is_unheard = record.last_contact.is_none();
        if is_unheard || (is_rewritten && record.is_entry_of_other()) {
            record.adopt_entry();
        }
    }

    /// Records that a message from `from` arrived at `now`.
    pub fn record_contact(&mut self, now: Moment, from: &HostIdentity) {
        let record = self.members.entry(from.name.clone()).or_insert_with(|| MemberRecord {
            identity: from.clone(),
            last_contact: None,
            draining: false,
            listed: None,
            entry: None,
        });
        let identity_changed = record.identity != *from || record.last_contact.is_none();
        if identity_changed {
            record.identity = from.clone();
            record.draining = false;
        }
        record.last_contact = Some(now);
        if identity_changed {
            self.index_scopes();
        }
    }

    /// Records that a host is draining, until another process replaces it.
    pub fn record_draining(&mut self, name: &str) {
        if let Some(record) = self.members.get_mut(name) {
            record.draining = true;
        }
    }

    /// Turns to the listed processes of hosts that have been silent for `peer_timeout`: the last message may
    /// have been sent by an earlier process and have arrived late. Removes hosts that are neither listed nor
    /// have sent a message for much longer.
    pub fn sweep(&mut self, now: Moment, peer_timeout: Duration) {
        let (silent, gone) =
            (now.before(peer_timeout), now.before(peer_timeout * UNLISTED_TIMEOUTS));
        for record in self.members.values_mut() {
            let is_silent = record.last_contact.is_some_and(|at| at < silent);
            if is_silent && record.listed.is_some() && record.is_entry_of_other() {
                record.adopt_entry();
            }
        }
        self.members.retain(|_, record| {
            record.listed.is_some() || record.last_contact.is_some_and(|at| at > gone)
        });
        self.index_scopes();
    }

    fn index_scopes(&mut self) {
        self.scopes.clear();
        for (name, record) in &self.members {
            let scope = self.scopes.entry(record.identity.scope.clone()).or_default();
            scope.insert(name.clone());
        }
    }

    fn records_in(&self, scope: &str) -> impl Iterator<Item = &MemberRecord> {
        let names = self.scopes.get(scope).into_iter().flatten();
        names.filter_map(|name| self.members.get(name))
    }

    /// Whether the latest host list names the entry host, or none has arrived.
    pub fn is_listed(&self, name: &str) -> bool {
        !self.is_listed || self.members.get(name).is_some_and(|record| record.listed.is_some())
    }

    /// Whether the host list has shown that the process `identity` has ended: another process of its host
    /// wrote the host's entry later than the version `known`. An entry with an earlier version may be of a
    /// process before it.
    pub fn is_replaced(&self, identity: &HostIdentity, known: u64) -> bool {
        let record = self.members.get(&identity.name);
        let entry = record.and_then(|record| record.entry.as_ref());
        entry.and_then(|entry| entry.process).is_some_and(|process| {
            process.incarnation != identity.incarnation && process.version > known
        })
    }

    /// Latest known process of an entry host, and its address.
    pub fn latest(&self, name: &str) -> Option<&HostIdentity> {
        self.members.get(name).map(|record| &record.identity)
    }

    /// Number of other entry hosts that are listed or have sent a message; `None` before the first
    /// host list.
    pub fn count(&self) -> Option<usize> {
        self.is_listed.then_some(self.members.len())
    }

    /// When the last message from any host of `scope` arrived; `None` if there was none.
    pub fn scope_last_contact(&self, scope: &str) -> Option<Moment> {
        self.records_in(scope).filter_map(|record| record.last_contact).max()
    }

    /// Entry hosts of `scope` other than `me` that are listed or have sent a message.
    pub fn in_scope<'m>(
        &'m self,
        scope: &'m str,
        me: &'m str,
    ) -> impl Iterator<Item = &'m HostIdentity> + 'm {
        self.records_in(scope)
            .map(|record| &record.identity)
            .filter(move |identity| identity.name != me)
    }

    /// Entry hosts of `scope` other than `me` that sent a message since `oldest`, are not listed as
    /// leaving and are not draining.
    pub fn reachable_in_scope(&self, scope: &str, me: &str, oldest: Moment) -> Vec<HostIdentity> {
        let reachable = |record: &&MemberRecord| {
            record.listed != Some(ListedState::Leaving)
                && !record.draining
                && record.identity.name != me
                && record.last_contact.is_some_and(|at| at >= oldest)
        };
        self.records_in(scope).filter(reachable).map(|record| record.identity.clone()).collect()
    }

    /// Whether `scope` has an entry host other than `me` that may use at least `capacity` of CPU
    /// time, in thousandths of a core. Counts hosts that are listed as live, or are not
    /// listed but sent a message since `oldest`.
    pub fn has_host_with_capacity(
        &self,
        scope: &str,
        me: &str,
        oldest: Moment,
        capacity: u32,
    ) -> bool {
        self.records_in(scope).any(|record| {
            let in_service = record.listed == Some(ListedState::Live)
                || (record.listed.is_none() && record.last_contact.is_some_and(|at| at >= oldest));
            in_service && record.identity.name != me && record.identity.capacity >= capacity
        })
    }

    /// Whether the upstream accepts new work; assumed until upstreams were first listed or
    /// reported.
    pub fn upstream_accepts(&self, catalog: &InventoryCatalog, upstream: UpstreamKey) -> bool {
        self.upstream_state(catalog, upstream) == Some(ListedState::Live)
    }

    /// Whether the upstream exists, live or leaving; assumed until upstreams were first listed or
    /// reported.
    pub fn upstream_exists(&self, catalog: &InventoryCatalog, upstream: UpstreamKey) -> bool {
        self.upstream_state(catalog, upstream).is_some()
    }

    fn listed_state(
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

    fn upstream_state(
        &self,
        catalog: &InventoryCatalog,
        upstream: UpstreamKey,
    ) -> Option<ListedState> {
        let listed = self.listed_state(catalog, upstream)?;
        Some(if self.leaving.contains(&upstream) { ListedState::Leaving } else { listed })
    }

    /// Records that an upstream said that it is leaving. Returns whether this was unknown.
    pub fn record_leaving(&mut self, upstream: UpstreamKey) -> bool {
        self.leaving.insert(upstream)
    }

    /// Existing upstreams that said that they are leaving, though they are not listed as leaving.
    pub fn leaving_unlisted<'m>(
        &'m self,
        catalog: &'m InventoryCatalog,
    ) -> impl Iterator<Item = UpstreamKey> + 'm {
        let is_unlisted =
            |key: &UpstreamKey| self.listed_state(catalog, *key) == Some(ListedState::Live);
        self.leaving.iter().copied().filter(is_unlisted)
    }

    /// Forgets the upstreams for which `exists` is false.
    pub fn retain_leaving(&mut self, exists: impl Fn(UpstreamKey) -> bool) {
        self.leaving.retain(|key| exists(*key));
    }
}
