//! When a host asks the platform's store.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::message::TableAck;
use crate::time::Moment;

use super::stamps::StampLog;
use super::view::RelayedView;

/// Interval of reads of a host that no informed leader reports changes to.
const DIRECT_INTERVAL: Duration = Duration::from_millis(600);
/// Interval of reads of a leader that relays them. The age of its view adds to that of all hosts' views,
/// while its calls are those of one host.
const LEADER_INTERVAL: Duration = Duration::from_millis(400);
/// Interval of reads of a host with an informed leader, as a share of the time within which changes must
/// take effect. The rest is for the call.
const FOLLOWER_SHARE: f64 = 0.7;
/// Age of a host's view at which it asks the store itself, as a share of the time within which changes must
/// take effect. The rest is for the call, and for one that fails and its retry.
const STALE_SHARE: f64 = 0.65;
/// Each host asks at a time of its own, up to this share before its view is too old: half a second for a
/// bound of 3 s, so that 86 hosts that lose their leader make some 160 calls a second.
const STALE_SPREAD: f64 = 0.25;
/// Interval of reads of a host that need not read. They bring what leaders do not relay: the list of hosts,
/// and engines' published reports.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);
/// Time without notices of a leader that relays reads after which all hosts read as if it never had. Longer
/// than a takeover, and than an outage of the store after which reads are relayed again.
const RELAY_RETENTION: Duration = Duration::from_secs(60);
/// First and longest delay after a failed call of a host that others rely on, or without relayed reads.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(800));
/// First delay after a failed call of a host that relies on others. The longest one is the age at which its
/// view would be too old: then its own read after the store's return is in time even if it has no leader.
const RELAYED_RETRY_DELAY: Duration = Duration::from_millis(600);

/// Part of a host in following the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRole {
    /// It leads its scope.
    Leader,
    /// It may soon lead its scope, and follows the store so that a takeover takes no longer.
    Standby,
    /// It relies on its leader.
    Follower,
}

/// What the time of a host's next read depends on besides its own view.
#[derive(Debug, Clone, Copy)]
pub struct StoreSituation {
    /// The present.
    pub now: Moment,
    /// Part of the host.
    pub role: ReadRole,
    /// Whether another host leads the scope, is alive and follows the store.
    pub has_informed_leader: bool,
    /// Time within which changes in the store must take effect.
    pub bound: Duration,
}

/// What a host knows of the platform's store, and from whom.
#[derive(Debug, Clone)]
pub struct StoreReads {
    /// Number of hosts of a scope from which on reads are relayed; `None` if they never are.
    min_hosts: Option<usize>,
    /// Spreads the reads of the hosts.
    seed: u64,
    /// Whether the last own call to follow the store failed.
    pub is_lost: bool,
    /// Number of calls to follow the store that failed since the last one that did not.
    failures: u32,
    /// This host's view is complete as of this moment; `None` before its first own read, as leaders do
    /// not relay everything.
    complete_at: Option<Moment>,
    /// When the last own read ended.
    read_at: Option<Moment>,
    /// When the last notice of a leader that relays reads arrived.
    relayed_at: Option<Moment>,
    stamps: StampLog,
}

impl StoreReads {
    /// A host that has not read the store.
    pub fn new(min_hosts: Option<usize>, seed: u64) -> Self {
        Self {
            min_hosts,
            seed,
            is_lost: false,
            failures: 0,
            complete_at: None,
            read_at: None,
            relayed_at: None,
            stamps: StampLog::default(),
        }
    }

    /// Whether this host relays its reads if it leads a scope with this many hosts, itself included.
    pub fn relays(&self, hosts: usize) -> bool {
        self.min_hosts.is_some_and(|least| hosts >= least)
    }

    /// Whether this host relies on a leader's reads, or did a short time ago.
    pub fn is_relayed(&self, now: Moment) -> bool {
        self.relayed_at.is_some_and(|at| now.since(at) < RELAY_RETENTION)
    }

    /// Records that this host relays its own reads.
    pub fn record_relaying(&mut self, now: Moment) {
        self.relayed_at = Some(now);
    }

    /// This host's view is complete as of this moment; `None` if it has not read the store.
    pub fn complete_at(&self) -> Option<Moment> {
        self.complete_at
    }

    /// Time since the last own read ended; `None` before the first.
    pub fn since_read(&self, now: Moment) -> Option<Duration> {
        Some(now.since(self.read_at?))
    }

    /// Time since the moment as of which this host's view is complete, in milliseconds, rounded up.
    pub fn age_ms(&self, now: Moment) -> Option<u64> {
        Some(now.since(self.complete_at?).as_micros().div_ceil(1_000) as u64)
    }

    /// Records a successful own read whose call was sent at `requested`.
    pub fn record_read(&mut self, now: Moment, requested: Moment) {
        self.failures = 0;
        self.read_at = Some(now);
        self.complete_at = self.complete_at.max(Some(requested.min(now)));
    }

    /// Records that an own call to follow the store failed.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Forgets the stamps of an earlier leader.
    pub fn leader_replaced(&mut self) {
        self.stamps = StampLog::default();
    }

    /// Records a leader's notice. `directory` is the version of the leader's directory that is applied here,
    /// and `is_applied` whether the rest of what the leader knows is. Returns the moment as of which this
    /// host's view is complete by it; `None` if it does not show any.
    pub fn record_notice(
        &mut self,
        now: Moment,
        relay: &RelayedView,
        directory: TableAck,
        is_applied: bool,
    ) -> Option<Moment> {
        // With the setting off, this host reads for itself.
        self.min_hosts?;
        self.relayed_at = Some(now);
        self.stamps.record(now, relay.stamp);
        let has_entries = relay.directory.version == 0
            || (directory.table == relay.directory.table
                && directory.version >= relay.directory.version);
        if !is_applied || !has_entries || self.read_at.is_none() {
            return None;
        }
        let confirmed_at = self.stamps.received_at(relay.confirmed)?;
        let complete_at = confirmed_at.before(Duration::from_millis(relay.age_ms?));
        self.complete_at = self.complete_at.max(Some(complete_at));
        Some(complete_at)
    }

    /// Whether the leader should soon hear which stamp arrived here.
    pub fn owes_stamp(&self) -> bool {
        self.stamps.has_unreported()
    }

    /// The stamp to report to the leader, if one arrived.
    pub fn report_stamp(&mut self) -> Option<u64> {
        self.stamps.report()
    }

    /// Time until this host should ask the store; zero if it should now.
    pub fn wait(&self, situation: &StoreSituation) -> Duration {
        let StoreSituation { now, bound, .. } = *situation;
        let Some(read_at) = self.read_at else {
            return Duration::ZERO;
        };
        let until = |at: Moment| at.since(now);
        let direct = if situation.has_informed_leader {
            bound.mul_f64(FOLLOWER_SHARE)
        } else {
            DIRECT_INTERVAL
        };
        if !self.is_relayed(now) {
            return until(read_at.after(direct));
        }
        let spread = |salt| 1.0 - STALE_SPREAD * self.draw(salt);
        let stale = self.complete_at.unwrap_or_default();
        let stale = stale.after(bound.mul_f64(STALE_SHARE * spread(0)));
        // A call that waited without changes ends with a view as old as the wait.
        let stale = stale.max(read_at.after(DIRECT_INTERVAL));
        match situation.role {
            ReadRole::Leader => until(read_at.after(LEADER_INTERVAL)),
            ReadRole::Standby => until(stale.min(read_at.after(direct))),
            ReadRole::Follower => {
                let refresh = REFRESH_INTERVAL.mul_f64(spread(read_at.0));
                until(stale.min(read_at.after(refresh)))
            }
        }
    }

    /// Delay after a failed call.
    pub fn retry_delay(&self, situation: &StoreSituation) -> Duration {
        let relies = self.is_relayed(situation.now) && situation.role == ReadRole::Follower;
        let (first, longest) = if relies {
            (RELAYED_RETRY_DELAY, situation.bound.mul_f64(STALE_SHARE))
        } else {
            RETRY_DELAYS
        };
        let doublings = self.failures.saturating_sub(1).min(8);
        let delay = (first * 2u32.pow(doublings)).min(longest);
        if !self.is_relayed(situation.now) {
            return delay;
        }
        // Between three quarters of it and all of it, so that hosts do not return together.
        delay.mul_f64(1.0 - 0.25 * self.draw(situation.now.0))
    }

    /// A number from 0 to 1 that differs between hosts.
    fn draw(&self, salt: u64) -> f64 {
        let hash = xxh3_64_with_seed(&salt.to_le_bytes(), self.seed);
        (hash >> 11) as f64 / (1u64 << 53) as f64
    }
}
