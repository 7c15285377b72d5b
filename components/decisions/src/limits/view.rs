//! What a host knows of the limits of upstreams.

use std::time::Duration;

use slotmap::SecondaryMap;
use wagtailledge_inventory::UpstreamKey;

use crate::time::Moment;

use super::notice::LimitNotice;
use super::notice::RequestRate;

/// How long the end of a limit is remembered, to correct hosts that have not heard of it.
const LIFTED_RETENTION: Duration = Duration::from_secs(60);

/// Last known limit of one upstream.
#[derive(Debug, Clone, Copy)]
struct KnownLimit {
    /// The limit; `None` if the upstream lifted it.
    rate: Option<RequestRate>,
    /// Since when this host knows that the upstream is limited, or not limited any more.
    since: Moment,
    /// When the upstream last said so.
    observed_at: Moment,
    /// Whether the leader is known to have the same limit.
    confirmed: bool,
}

/// Limit of an upstream, with the time since the upstream last named or lifted it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRecord {
    /// The limit; `None` if the upstream lifted it.
    pub rate: Option<RequestRate>,
    /// Time since the upstream last said so.
    pub age: Duration,
}

/// Limits of upstreams, from the answers that this host got and from other hosts. The latest
/// statement of an upstream applies, whoever received it.
#[derive(Debug, Clone, Default)]
pub struct LimitView {
    limits: SecondaryMap<UpstreamKey, KnownLimit>,
}

impl LimitView {
    /// Whether no limit is known, lifted ones included.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// The limit of an upstream; `None` if it has none.
    pub fn rate(&self, upstream: UpstreamKey) -> Option<RequestRate> {
        self.limits.get(upstream)?.rate
    }

    /// Upstreams with a limit.
    pub fn limited(&self) -> impl Iterator<Item = (UpstreamKey, RequestRate)> + '_ {
        self.limits.iter().filter_map(|(key, limit)| Some((key, limit.rate?)))
    }

    /// Records what an answer said to a request that was dispatched at `dispatched`. Returns
    /// whether the limit changed.
    pub fn observe(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        dispatched: Moment,
        notice: LimitNotice,
    ) -> bool {
        let known = self.limits.get(upstream).copied();
        let rate = match notice {
            LimitNotice::Limited(rate) => Some(rate),
            // An answer that began before the limit was named does not lift it.
            LimitNotice::Unlimited => match known {
                Some(limit) if limit.rate.is_none() || dispatched >= limit.since => None,
                _ => return false,
            },
        };
        self.put(now, upstream, rate, now, false)
    }

    /// Applies what another host knows. Returns whether the limit changed.
    pub fn merge(&mut self, now: Moment, upstream: UpstreamKey, record: LimitRecord) -> bool {
        let observed_at = now.before(record.age);
        match self.limits.get_mut(upstream) {
            None if record.rate.is_none() => false,
            Some(known) if known.observed_at >= observed_at => {
                known.confirmed = known.rate == record.rate;
                false
            }
            _ => self.put(now, upstream, record.rate, observed_at, true),
        }
    }

    fn put(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        rate: Option<RequestRate>,
        observed_at: Moment,
        confirmed: bool,
    ) -> bool {
        let known = self.limits.get(upstream).copied();
        let same_rate = known.is_some_and(|known| known.rate == rate);
        let same_state = known.is_some_and(|known| known.rate.is_some() == rate.is_some());
        let since = known.filter(|_| same_state).map_or(now, |known| known.since);
        let confirmed = confirmed || (same_rate && known.is_some_and(|known| known.confirmed));
        self.limits.insert(upstream, KnownLimit { rate, since, observed_at, confirmed });
        !same_rate
    }

    /// All known limits, lifted ones included.
    pub fn records(&self, now: Moment) -> impl Iterator<Item = (UpstreamKey, LimitRecord)> + '_ {
        self.limits.iter().map(move |(key, limit)| {
            (key, LimitRecord { rate: limit.rate, age: now.since(limit.observed_at) })
        })
    }

    /// Known limits that the leader may not have.
    pub fn unconfirmed(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (UpstreamKey, LimitRecord)> + '_ {
        self.records(now).filter(|(key, _)| !self.limits[*key].confirmed)
    }

    /// Counts all limits as unknown to the leader, because another host leads now.
    pub fn reset_confirmations(&mut self) {
        for limit in self.limits.values_mut() {
            limit.confirmed = false;
        }
    }

    /// Removes limits that were lifted long ago, and those of upstreams for which `exists` is false.
    pub fn sweep(&mut self, now: Moment, exists: impl Fn(UpstreamKey) -> bool) {
        let oldest = now.before(LIFTED_RETENTION);
        self.limits.retain(|key, limit| {
            exists(key) && (limit.rate.is_some() || limit.observed_at > oldest)
        });
    }
}
