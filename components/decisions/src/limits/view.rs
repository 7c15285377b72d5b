//! What a host knows of the limits of upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SecondaryMap;
use wagtailledge_inventory::UpstreamKey;

use crate::time::Moment;

use super::notice::LimitEvidence;
use super::notice::LimitNotice;
use super::notice::LimitPhase;
use super::notice::PublishedLimit;
use super::notice::RequestRate;
use super::permits::is_report_since;

/// How long the end of a limit is published, for hosts of earlier builds, which need to be told.
pub(super) const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// On whose word a limit is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LimitStanding {
    /// An answer named it, and the leader is not known to have it.
    Named {
        /// Number of the first report to the leader that contained it.
        first_report: Option<u64>,
    },
    /// The leader published it.
    Published {
        phase: Option<LimitPhase>,
        eased: bool,
        /// When this host learned of the phase.
        since: Moment,
        /// Whether an answer to this host has named the limit since then.
        renamed: bool,
    },
}

/// Last known limit of one upstream.
#[derive(Debug, Clone, Copy)]
struct KnownLimit {
    /// The limit that the upstream named; `None` if it has ended.
    rate: Option<RequestRate>,
    standing: LimitStanding,
    /// When this host last learned of the limit or of its end.
    learned_at: Moment,
}

impl KnownLimit {
    /// The limit as this host, if it leads, publishes it.
    fn published(&self) -> PublishedLimit {
        match self.standing {
            LimitStanding::Named { .. } => {
                PublishedLimit { rate: self.rate, phase: None, eased: false }
            }
            LimitStanding::Published { phase, eased, .. } => {
                PublishedLimit { rate: self.rate, phase, eased }
            }
        }
    }

    fn is_named(&self) -> bool {
        matches!(self.standing, LimitStanding::Named { .. })
    }
}

/// Limits of upstreams, from the answers that this host got, from hosts that report to it, and from
/// its leader.
///
/// A lower limit applies as soon as one answer names it. Only the leader of the upstream's scope
/// decides that a limit is over or has risen. What an answer named holds here until the leader
/// publishes something after it has applied this host's report with it.
#[derive(Debug, Clone, Default)]
pub struct LimitView {
    limits: SecondaryMap<UpstreamKey, KnownLimit>,
    /// Evidence that the present phase of a limit is over, which the leader of its scope may not have.
    evidence: SecondaryMap<UpstreamKey, LimitEvidence>,
}

impl LimitView {
    /// Whether no limit is known, ended ones included.
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

    /// Records what an answer said to a request that was dispatched at `dispatched`. Returns whether
    /// the leader has to learn of it.
    pub fn observe(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        dispatched: Moment,
        notice: LimitNotice,
    ) -> bool {
        let raised = match notice {
            LimitNotice::Unlimited => None,
            LimitNotice::Limited(rate) if self.rate(upstream).is_some_and(|known| known < rate) => {
                if self.is_eased(upstream) {
                    return self.name(now, upstream, rate);
                }
                Some(rate)
            }
            LimitNotice::Limited(rate) => {
                self.mark_renamed(upstream);
                return self.name(now, upstream, rate);
            }
        };
        match self.limits.get(upstream).map(|known| known.standing) {
            // An answer that began before the phase says nothing about its end.
            Some(LimitStanding::Published { phase: Some(phase), since, .. })
                if dispatched >= since =>
            {
                self.add_evidence(upstream, LimitEvidence { phase, raised })
            }
            _ => false,
        }
    }

    /// Records that an answer named a limit, to this host or to one that reports to it. Returns
    /// whether the leader has to learn of it.
    pub fn name(&mut self, now: Moment, upstream: UpstreamKey, rate: RequestRate) -> bool {
        let known = self.limits.get(upstream).copied();
        let rate = known.and_then(|known| known.rate).map_or(rate, |known| known.min(rate));
        if self.rate(upstream) == Some(rate) && !self.is_eased(upstream) {
            return false;
        }
        let standing = LimitStanding::Named { first_report: None };
        self.limits.insert(upstream, KnownLimit { rate: Some(rate), standing, learned_at: now });
        self.evidence.remove(upstream);
        true
    }

    fn mark_renamed(&mut self, upstream: UpstreamKey) {
        let standing = self.limits.get_mut(upstream).map(|known| &mut known.standing);
        if let Some(LimitStanding::Published { renamed, .. }) = standing {
            *renamed = true;
        }
    }

    /// Whether the leader grants more requests than the limit of an upstream allows.
    fn is_eased(&self, upstream: UpstreamKey) -> bool {
        self.limits.get(upstream).is_some_and(|known| known.published().eased)
    }

    /// Records evidence about a limit, unless it is about another phase. Returns whether it is new.
    pub fn add_evidence(&mut self, upstream: UpstreamKey, evidence: LimitEvidence) -> bool {
        let Some(known) = self.limits.get(upstream).filter(|known| known.rate.is_some()) else {
            return false;
        };
        if known.published().phase != Some(evidence.phase) {
            return false;
        }
        let last = self.evidence.get(upstream).copied();
        if last.is_some_and(|last| last == evidence || last.raised.is_some()) {
            return false;
        }
        self.evidence.insert(upstream, evidence);
        true
    }

    /// Applies what the leader published last about one limit. Returns whether anything changed.
    pub fn publish(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        published: PublishedLimit,
    ) -> bool {
        let known = self.limits.get(upstream).copied();
        if known.is_some_and(|known| !known.is_named() && known.published() == published) {
            return false;
        }
        if known.is_none() && published.rate.is_none() {
            return false;
        }
        let PublishedLimit { rate, phase, eased } = published;
        let standing = LimitStanding::Published { phase, eased, since: now, renamed: false };
        self.limits.insert(upstream, KnownLimit { rate, standing, learned_at: now });
        self.evidence.remove(upstream);
        true
    }

    /// Applies all limits that a leader publishes about the upstreams for which `covers` is true.
    /// `report` is the number of this host's latest report that the leader has applied; 0 if none.
    /// Returns whether anything changed.
    pub fn apply_table(
        &mut self,
        now: Moment,
        rows: &BTreeMap<UpstreamKey, PublishedLimit>,
        report: u64,
        covers: impl Fn(UpstreamKey) -> bool,
    ) -> bool {
        let mut changed = false;
        for (upstream, published) in rows.iter().filter(|(key, _)| covers(**key)) {
            if published.rate.is_none() {
                changed |= self.reconsider_end(*upstream);
            }
            let standing = self.limits.get(*upstream).map(|known| known.standing);
            changed |= match (standing, published.rate) {
                (Some(LimitStanding::Named { first_report }), rate)
                    if !first_report.is_some_and(|first| is_report_since(report, first)) =>
                {
                    rate.is_some_and(|rate| self.name(now, *upstream, rate))
                }
                _ => self.publish(now, *upstream, *published),
            };
        }
        let missing = |key: &UpstreamKey| covers(*key) && !rows.contains_key(key);
        let keys: Vec<UpstreamKey> = self.limits.keys().filter(missing).collect();
        for upstream in keys {
            changed |= self.reconsider_end(upstream);
            let standing = self.limits.get_mut(upstream).map(|known| &mut known.standing);
            if let Some(LimitStanding::Named { first_report }) = standing {
                // The leader does not know the process yet.
                *first_report = None;
            } else {
                self.limits.remove(upstream);
                self.evidence.remove(upstream);
                changed = true;
            }
        }
        changed
    }

    /// Counts a limit as unknown to the leader that has published its end, if an answer to this host
    /// has named it and this host has not seen it being eased since, so that it reported nothing.
    /// Returns whether that is so.
    fn reconsider_end(&mut self, upstream: UpstreamKey) -> bool {
        let standing = self.limits.get_mut(upstream).map(|known| &mut known.standing);
        match standing {
            Some(standing @ LimitStanding::Published { eased: false, renamed: true, .. }) => {
                *standing = LimitStanding::Named { first_report: None };
                self.evidence.remove(upstream);
                true
            }
            _ => false,
        }
    }

    /// Applies the end of a limit that a leader of an earlier build publishes with the `age` of the
    /// answer that showed it. Returns whether anything changed.
    pub fn apply_dated_end(&mut self, now: Moment, upstream: UpstreamKey, age: Duration) -> bool {
        let known = self.limits.get(upstream);
        let is_later = known.is_some_and(|known| known.learned_at < now.before(age));
        is_later && self.publish(now, upstream, PublishedLimit::default())
    }

    /// Counts the limits for which `covers` is true as unknown to the leader, because another host
    /// leads now.
    pub fn reset_leader(&mut self, covers: impl Fn(UpstreamKey) -> bool) {
        for (upstream, known) in &mut self.limits {
            if known.rate.is_some() && covers(upstream) {
                known.standing = LimitStanding::Named { first_report: None };
                self.evidence.remove(upstream);
            }
        }
    }

    /// Takes over the limit of the upstream's process before for its next one. Returns whether the
    /// leader has to learn of it.
    pub fn inherit(&mut self, now: Moment, before: UpstreamKey, next: UpstreamKey) -> bool {
        self.rate(before).is_some_and(|rate| self.name(now, next, rate))
    }

    /// Whether the leader of a scope may not have all that is known of the upstreams for which
    /// `covers` is true.
    pub fn has_news(&self, covers: impl Fn(UpstreamKey) -> bool) -> bool {
        self.limits.iter().any(|(key, known)| known.is_named() && covers(key))
            || self.evidence.keys().any(covers)
    }

    /// Whether the limit of the upstream was named in an answer and the leader may not have it.
    pub fn is_named(&self, upstream: UpstreamKey) -> bool {
        self.limits.get(upstream).is_some_and(KnownLimit::is_named)
    }

    /// Limits that were named in answers and that the leader may not have, each with the time since.
    pub fn named(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (UpstreamKey, RequestRate, Duration)> + '_ {
        let named = self.limits.iter().filter(|(_, known)| known.is_named());
        named.filter_map(move |(key, known)| Some((key, known.rate?, now.since(known.learned_at))))
    }

    /// Signs that limits are over, which the leaders of their scopes may not have.
    pub fn evidence(&self) -> impl Iterator<Item = (UpstreamKey, LimitEvidence)> + '_ {
        self.evidence.iter().map(|(key, evidence)| (key, *evidence))
    }

    /// Records that the report with this number contains the named limits for which `covers` is true.
    pub fn record_report(&mut self, number: u64, covers: impl Fn(UpstreamKey) -> bool) {
        for (key, known) in &mut self.limits {
            if let LimitStanding::Named { first_report } = &mut known.standing
                && covers(key)
            {
                first_report.get_or_insert(number);
            }
        }
    }

    /// All known limits as this host, if it leads, publishes them, each with the time since this host
    /// learned of it.
    pub fn published(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (UpstreamKey, PublishedLimit, Duration)> + '_ {
        let row = move |(key, known): (UpstreamKey, &KnownLimit)| {
            (key, known.published(), now.since(known.learned_at))
        };
        self.limits.iter().map(row)
    }

    /// Removes limits that ended long ago, and those of upstreams for which `exists` is false.
    pub fn sweep(&mut self, now: Moment, exists: impl Fn(UpstreamKey) -> bool) {
        let oldest = now.before(ENDED_RETENTION);
        self.limits.retain(|key, known| {
            exists(key) && (known.rate.is_some() || known.learned_at > oldest)
        });
        self.evidence.retain(|key, _| self.limits.contains_key(key));
    }
}
