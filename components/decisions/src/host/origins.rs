//! How hosts learn which software version began a stream that another host served.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailledge_inventory::UpstreamKey;
use wagtailledge_inventory::catalog::SoftwareVersion;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::admission::RequestRecord;
use crate::admission::SoftwareBinding;
use crate::effect::DecisionKind;
use crate::effect::DecisionRecord;
use crate::effect::HostEffect;
use crate::identity::HostIdentity;
use crate::message::OriginRow;
use crate::message::PeerMessage;
use crate::request::RefusalOutcome;
use crate::request::RefusalReason;
use crate::request::RequestKey;
use crate::request::RequestTicket;
use crate::request::RouteTerms;
use crate::software::OriginTable;
use crate::time::Moment;

use super::state::HostReducer;

/// Hosts that are told which version began a stream.
const KEEPERS: usize = 2;
/// Hosts that are asked. One more than are told, as the host that tells is none of its own keepers.
const ASKED_HOSTS: usize = KEEPERS + 1;
/// Longest wait for the replies.
const SEARCH_TIME: Duration = Duration::from_millis(300);

/// Search for the version that began a stream.
#[derive(Debug, Clone)]
struct OriginSearch {
    /// Requests that take the stream up.
    requests: Vec<RequestKey>,
    /// End of the wait for replies.
    until: Moment,
    /// Number of hosts that have not replied.
    unanswered: usize,
}

/// Versions that began streams, as this host saw or was told, and its questions to other hosts.
#[derive(Debug, Clone, Default)]
pub(super) struct StreamOrigins {
    table: OriginTable,
    /// By the ids of the streams.
    searches: BTreeMap<u64, OriginSearch>,
}

impl StreamOrigins {
    /// Whether other hosts are being asked about the stream that a request takes up.
    pub(super) fn is_searched(&self, key: RequestKey) -> bool {
        self.searches.values().any(|search| search.requests.contains(&key))
    }
}

impl HostReducer {
    /// Binds a request that takes a stream up to the version that began it, or asks other hosts.
    pub(super) fn bind_taken_up(
        &mut self,
        now: Moment,
        key: RequestKey,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let (ticket, target) = (request.ticket, request.target);
        let Some(resumed) = request.terms.as_ref().and_then(|terms| terms.resumes) else {
            return;
        };
        let known = resumed.first.and_then(|first| self.origins.table.version_of(first));
        let (version, reason) = if let Some(version) = known {
            (Some(version.clone()), "began it, as this host knows")
        } else {
            let service = self.service_of(target);
            let sole = service.and_then(|service| self.sole_version(now, service));
            (sole, "is the only one that has served")
        };
        if let Some(version) = version {
            log_origin(ticket, resumed.first, version.name(), reason, String::new(), effects);
            self.requests[key].binding = SoftwareBinding::Bound(version);
            return;
        }
        self.requests[key].binding = SoftwareBinding::Asking;
        if let Some(first) = resumed.first {
            self.search_origin(now, first, key, effects);
        }
    }

    /// Asks other hosts which version began a stream.
    fn search_origin(
        &mut self,
        now: Moment,
        stream: u64,
        key: RequestKey,
        effects: &mut Vec<HostEffect>,
    ) {
        if let Some(search) = self.origins.searches.get_mut(&stream) {
            search.requests.push(key);
            return;
        }
        let asked = self.origin_keepers(stream, ASKED_HOSTS);
        if asked.is_empty() {
            return;
        }
        let unanswered = asked.len();
        let search =
            OriginSearch { requests: vec![key], until: now.after(SEARCH_TIME), unanswered };
        self.origins.searches.insert(stream, search);
        let query = Box::new(PeerMessage::OriginQuery(stream));
        effects.push(HostEffect::Broadcast(asked, query));
    }

    /// Other hosts of this scope that are told of a stream, by the same order at all hosts.
    fn origin_keepers(&self, stream: u64, count: usize) -> Vec<HostIdentity> {
        let others = self.members.in_scope(&self.me.scope, &self.me.name);
        let mut hosts: Vec<&HostIdentity> = others.collect();
        hosts.sort_by_cached_key(|host| xxh3_64_with_seed(host.name.as_bytes(), stream));
        hosts.into_iter().take(count).cloned().collect()
    }

    /// Binds a request whose answer begins to the version of its upstream, if its stream may be taken
    /// up, and tells other hosts if there are several versions.
    pub(super) fn bind_begun(
        &mut self,
        now: Moment,
        key: RequestKey,
        upstream: UpstreamKey,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(record) = self.catalog.upstreams.get(upstream) else {
            return;
        };
        let (version, service) = (record.software.clone(), record.service);
        let request = &mut self.requests[key];
        let Some(terms) = request.terms.as_ref().filter(|terms| terms.resumable) else {
            return;
        };
        let stream = terms.origin_id();
        request.binding = SoftwareBinding::Bound(version.clone());
        let Some(stream) = stream else {
            return;
        };
        self.origins.table.record(now, stream, version.clone());
        if service.is_some_and(|service| self.is_split(service)) {
            self.tell_origin(stream, &version, effects);
        }
    }

    fn tell_origin(&self, stream: u64, version: &SoftwareVersion, effects: &mut Vec<HostEffect>) {
        let keepers = self.origin_keepers(stream, KEEPERS);
        let row = OriginRow(stream, version.name().to_owned());
        let message = Box::new(PeerMessage::StreamOrigins(vec![row]));
        effects.push(HostEffect::Broadcast(keepers, message));
    }

    /// Records what another host says of streams that it began.
    pub(super) fn record_origins(&mut self, now: Moment, rows: &[OriginRow]) {
        for OriginRow(stream, version) in rows {
            self.origins.table.record(now, *stream, SoftwareVersion::new(version));
        }
    }

    /// Replies to another host's question about a stream.
    pub(super) fn answer_origin_query(
        &self,
        from: HostIdentity,
        stream: u64,
        effects: &mut Vec<HostEffect>,
    ) {
        let version = self.origins.table.version_of(stream);
        let version = version.map(|version| version.name().to_owned());
        effects.push(HostEffect::send(from, PeerMessage::OriginReply(stream, version)));
    }

    /// Applies another host's reply: its requests go on, or are refused if no host knows the version.
    pub(super) fn apply_origin_reply(
        &mut self,
        now: Moment,
        from: &HostIdentity,
        stream: u64,
        version: Option<&str>,
        effects: &mut Vec<HostEffect>,
    ) {
        let Some(search) = self.origins.searches.get_mut(&stream) else {
            return;
        };
        search.unanswered = search.unanswered.saturating_sub(1);
        let Some(version) = version else {
            if search.unanswered == 0 {
                self.end_search(stream, effects);
            }
            return;
        };
        let requests = std::mem::take(&mut search.requests);
        self.origins.searches.remove(&stream);
        let version = SoftwareVersion::new(version);
        self.origins.table.record(now, stream, version.clone());
        for key in requests {
            let Some(request) = self.requests.get_mut(key) else {
                continue;
            };
            request.binding = SoftwareBinding::Bound(version.clone());
            let (ticket, target) = (request.ticket, request.target);
            let inputs = format!("from {}", from.name);
            let (name, reason) = (version.name(), "began it, as another host knows");
            log_origin(ticket, Some(stream), name, reason, inputs, effects);
            self.dispatch_waiting(now, target, effects);
            let is_waiting = self.requests.get(key).is_some_and(RequestRecord::is_waiting);
            if let Some(reason) = self.software_fault(key).filter(|_| is_waiting) {
                self.refuse(key, RefusalOutcome::NotRun, reason, effects);
            }
        }
    }

    /// Refuses the requests of a search that has found nothing.
    fn end_search(&mut self, stream: u64, effects: &mut Vec<HostEffect>) {
        let search = self.origins.searches.remove(&stream);
        for key in search.into_iter().flat_map(|search| search.requests) {
            if self.requests.get(key).is_some_and(RequestRecord::is_waiting) {
                let reason = RefusalReason::UnknownOrigin;
                self.refuse(key, RefusalOutcome::NotRun, reason, effects);
            }
        }
    }

    /// Ends the searches that took too long.
    pub(super) fn origins_tick(&mut self, now: Moment, effects: &mut Vec<HostEffect>) {
        let searches = self.origins.searches.iter();
        let ended: Vec<u64> =
            searches.filter(|(_, search)| search.until <= now).map(|(stream, _)| *stream).collect();
        for stream in ended {
            self.end_search(stream, effects);
        }
    }

    /// Tells other hosts which versions began the open streams of a service.
    pub(super) fn tell_open_origins(&self, service: &str, effects: &mut Vec<HostEffect>) {
        let service = self.catalog.service_named(service);
        for request in self.requests.values() {
            let SoftwareBinding::Bound(version) = &request.binding else {
                continue;
            };
            let stream = request.terms.as_ref().and_then(RouteTerms::origin_id);
            if let Some(stream) = stream.filter(|_| self.service_of(request.target) == service) {
                self.tell_origin(stream, version, effects);
            }
        }
    }
}

/// Logs which version a stream goes on at.
fn log_origin(
    ticket: RequestTicket,
    stream: Option<u64>,
    version: &str,
    reason: &'static str,
    inputs: String,
    effects: &mut Vec<HostEffect>,
) {
    effects.push(HostEffect::LogDecision(DecisionRecord {
        kind: DecisionKind::Software,
        ticket: Some(ticket),
        subject: stream.map_or_else(String::new, |stream| format!("stream {stream:x}")),
        choice: version.to_owned(),
        reason,
        alternatives: 0,
        inputs,
    }));
}
