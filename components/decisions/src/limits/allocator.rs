//! How a leader divides the limits of upstreams among the hosts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::SecondaryMap;
use wagtailledge_inventory::UpstreamKey;

use crate::identity::HostIdentity;
use crate::time::Moment;

use super::bucket::PermitBucket;
use super::notice::RequestRate;
use super::permits::HeldPermits;
use super::permits::PERMIT_LIFETIME;

/// Report number of the leader's own wants, whose permits are never in transit.
pub const OWN_REPORT: u64 = 0;

/// Requests of one rank that wait at a host for permits of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WantEntry {
    /// Upstream that they would be sent to.
    pub upstream: UpstreamKey,
    /// Rank of the requests; the lowest is served first.
    pub rank: u8,
    /// Number of the requests.
    pub count: u32,
    /// Earliest deadline of the requests.
    pub deadline: Moment,
    /// Number of the latest permit for the upstream that the host has received.
    pub seen: u64,
}

/// Permits granted to a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitAward {
    /// Process that gets the permits.
    pub host: HostIdentity,
    /// Upstream that they are for.
    pub upstream: UpstreamKey,
    /// Number of the host's report that they are granted for.
    pub report: u64,
    /// Number of the last of the permits, counted for the host and the upstream.
    pub serial: u64,
    /// Number of permits.
    pub count: u32,
}

/// Permits granted to one host for one upstream.
#[derive(Debug, Clone, Copy, Default)]
struct GrantRecord {
    /// Number of permits so far.
    serial: u64,
    /// When the last one was granted.
    last_at: Moment,
}

/// What one host last asked for.
#[derive(Debug, Clone)]
struct HostWants {
    identity: HostIdentity,
    /// Number of the host's latest report.
    report: u64,
    /// When the wants expire unless the host reports again.
    expires: Moment,
    /// Wants without the permits that were granted for them.
    entries: Vec<WantEntry>,
    grants: BTreeMap<UpstreamKey, GrantRecord>,
}

/// Grants permits at the rates of the limits: the lowest rank first, then the earliest deadline.
#[derive(Debug, Clone, Default)]
pub struct PermitAllocator {
    buckets: SecondaryMap<UpstreamKey, PermitBucket>,
    hosts: BTreeMap<String, HostWants>,
}

impl PermitAllocator {
    /// Sets the limited upstreams of the leader's own scope, with their limits.
    pub fn set_rates(&mut self, now: Moment, rates: &[(UpstreamKey, RequestRate)]) {
        self.buckets.retain(|key, _| rates.iter().any(|(limited, _)| *limited == key));
        for (key, rate) in rates {
            match self.buckets.get_mut(*key) {
                Some(bucket) => bucket.set_rate(now, *rate),
                None => {
                    self.buckets.insert(*key, PermitBucket::new(now, *rate));
                }
            }
        }
    }

    /// Replaces what a host asks for with its report number `report`.
    pub fn replace_wants(
        &mut self,
        now: Moment,
        identity: &HostIdentity,
        report: u64,
        mut entries: Vec<WantEntry>,
    ) {
        let known = self.hosts.remove(&identity.name);
        let grants = known.filter(|known| known.identity == *identity).map(|known| known.grants);
        let mut grants = grants.unwrap_or_default();
        for entry in &entries {
            // The numbers go on from those that the host has seen, whatever this leader remembers.
            let record = grants.entry(entry.upstream).or_default();
            record.serial = record.serial.max(entry.seen);
        }
        entries.sort_unstable_by_key(|entry| (entry.upstream, entry.rank, entry.deadline));
        // Requests whose permits are still in transit must not get others.
        let mut in_transit: BTreeMap<UpstreamKey, u64> = BTreeMap::new();
        for entry in &mut entries {
            let transit = in_transit.entry(entry.upstream).or_insert_with(|| {
                let grant = grants.get(&entry.upstream).copied().unwrap_or_default();
                let recent = now.since(grant.last_at) < PERMIT_LIFETIME;
                if recent && report != OWN_REPORT {
                    grant.serial.saturating_sub(entry.seen)
                } else {
                    0
                }
            });
            let covered = (*transit).min(u64::from(entry.count));
            *transit -= covered;
            entry.count -= covered as u32;
        }
        let expires = now.after(PERMIT_LIFETIME);
        let wants = HostWants { identity: identity.clone(), report, expires, entries, grants };
        self.hosts.insert(identity.name.clone(), wants);
    }

    /// Grants the permits that are available now. `foreign` holds those that the leaders of other
    /// scopes granted for their upstreams.
    pub fn allocate(&mut self, now: Moment, foreign: &mut HeldPermits) -> Vec<PermitAward> {
        self.hosts.retain(|_, wants| wants.expires > now);
        let mut awards: Vec<PermitAward> = Vec::new();
        for upstream in self.wanted() {
            while let Some(wants) = first_waiting(&mut self.hosts, upstream) {
                let available = match self.buckets.get_mut(upstream) {
                    Some(bucket) => bucket.try_take(now),
                    None => foreign.take(now, upstream),
                };
                if !available {
                    break;
                }
                let award = wants.grant(now, upstream);
                match awards.last_mut() {
                    Some(last) if last.host == award.host && last.upstream == upstream => {
                        last.serial = award.serial;
                        last.count += 1;
                    }
                    _ => awards.push(award),
                }
            }
        }
        awards
    }

    /// Upstreams that requests wait for.
    fn wanted(&self) -> BTreeSet<UpstreamKey> {
        let entries = self.hosts.values().flat_map(|wants| &wants.entries);
        entries.filter(|entry| entry.count > 0).map(|entry| entry.upstream).collect()
    }

    /// Requests that wait for upstreams of other scopes, by upstream and rank, each with its number
    /// and earliest deadline.
    pub fn foreign_wants(&self) -> BTreeMap<(UpstreamKey, u8), (u32, Moment)> {
        let mut sums: BTreeMap<(UpstreamKey, u8), (u32, Moment)> = BTreeMap::new();
        let entries = self.hosts.values().flat_map(|wants| &wants.entries);
        for entry in entries.filter(|entry| entry.count > 0) {
            if self.buckets.contains_key(entry.upstream) {
                continue;
            }
            let (count, deadline) =
                sums.entry((entry.upstream, entry.rank)).or_insert((0, entry.deadline));
            *count += entry.count;
            *deadline = entry.deadline.min(*deadline);
        }
        sums
    }

    /// Expected wait of one more request for each rank that waits for an upstream: the rank, and
    /// the wait of requests of this rank and of those up to the next one listed. `None` for
    /// upstreams of other scopes and without a limit.
    pub fn waits(&self, now: Moment, upstream: UpstreamKey) -> Option<Vec<(u8, Duration)>> {
        let bucket = self.buckets.get(upstream)?;
        let mut by_rank: BTreeMap<u8, u64> = BTreeMap::from([(0, 0)]);
        let entries = self.hosts.values().flat_map(|wants| &wants.entries);
        for entry in entries.filter(|entry| entry.upstream == upstream) {
            *by_rank.entry(entry.rank).or_default() += u64::from(entry.count);
        }
        let mut ahead = 0;
        let wait = |(rank, count): (u8, u64)| {
            ahead += count;
            (rank, bucket.time_until(now, ahead + 1))
        };
        Some(by_rank.into_iter().map(wait).collect())
    }
}

impl HostWants {
    /// Rank and deadline of the host's first request for an upstream that waits for a permit.
    fn first(&self, upstream: UpstreamKey) -> Option<(u8, Moment)> {
        let waiting =
            self.entries.iter().filter(|entry| entry.upstream == upstream && entry.count > 0);
        waiting.map(|entry| (entry.rank, entry.deadline)).min()
    }

    fn grant(&mut self, now: Moment, upstream: UpstreamKey) -> PermitAward {
        let first = self.first(upstream);
        let entry = self.entries.iter_mut().find(|entry| {
            entry.upstream == upstream
                && entry.count > 0
                && Some((entry.rank, entry.deadline)) == first
        });
        if let Some(entry) = entry {
            entry.count -= 1;
        }
        let record = self.grants.entry(upstream).or_default();
        record.serial += 1;
        record.last_at = now;
        let (host, report, serial) = (self.identity.clone(), self.report, record.serial);
        PermitAward { host, upstream, report, serial, count: 1 }
    }
}

/// The host whose first waiting request for `upstream` is served next.
fn first_waiting(
    hosts: &mut BTreeMap<String, HostWants>,
    upstream: UpstreamKey,
) -> Option<&mut HostWants> {
    let waiting = hosts.values_mut().filter_map(|wants| Some((wants.first(upstream)?, wants)));
    waiting.min_by_key(|(first, _)| *first).map(|(_, wants)| wants)
}
