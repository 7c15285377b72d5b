//! Timeouts and intervals of the reducer.

use std::time::Duration;

use crate::reachability::SharedFailures;
use crate::retry::RetryRules;
use crate::routing::ChoiceBasis;

/// Timeouts and intervals of one deployment; all hosts must use the same values.
#[derive(Debug, Clone, PartialEq)]
pub struct TimingRules {
    /// Interval of a leader's notices to a host when there are no changes.
    pub heartbeat: Duration,
    /// Time without a message after which a host or a scope counts as unreachable.
    pub peer_timeout: Duration,
    /// Minimum interval between two messages about the same state.
    pub notice_pause: Duration,
    /// Minimum interval between two messages about changes that no request waits for.
    pub notice_idle: Duration,
    /// Validity of a lease after it was written.
    pub lease_ttl: Duration,
    /// Interval between two renewals of a lease.
    pub lease_renewal: Duration,
    /// Margin of leases and promises for clock drift and for the check before a socket write.
    pub lease_margin: Duration,
    /// Time for which a successor promises not to acquire the lease.
    pub promise_ttl: Duration,
    /// Maximum time for which promises may extend a lease after its last renewal.
    pub max_extension: Duration,
    /// Time for which the platform's host list must have named neither the holder of a lease nor its
    /// successors before another host takes over without their consent; `None` where engines do not
    /// refuse outdated fencing tokens.
    pub unlisted_takeover: Option<Duration>,
    /// Time after which an order that was written to a socket can no longer be carried out.
    pub order_lifetime: Duration,
    /// Interval between two claim orders to an engine that is loading.
    pub loading_claim: Duration,
    /// Interval between two claim orders to an idle engine.
    pub idle_claim: Duration,
    /// Delay between the notice that a replica retires and the order to unload it.
    pub retire_grace: Duration,
    /// Minimum time since the last use of a replica before it may be evicted for another.
    pub eviction_idle: Duration,
    /// Interval between two reads of the configuration's head; `None` when the platform announces
    /// new revisions.
    pub configuration_read: Option<Duration>,
    /// Time within which changes in the key-value service reach every host that can read it; `None` when
    /// the platform does not announce them.
    pub change_bound: Option<Duration>,
    /// Number of hosts of a scope from which on they rely on their leader's reads of the platform's store;
    /// `None` if each host reads for itself.
    pub relay_hosts: Option<usize>,
    /// Time before its deadline at which a waiting request is refused.
    pub refusal_lead: Duration,
    /// Limits on the retries of all hosts together.
    pub retries: RetryRules,
    /// Whether failures are judged by zone and shared with other hosts.
    pub shared_failures: SharedFailures,
    /// What the choice among the upstreams of a request is based on.
    pub choice: ChoiceBasis,
}

impl Default for TimingRules {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            peer_timeout: Duration::from_millis(3_500),
            notice_pause: Duration::from_millis(10),
            notice_idle: Duration::from_millis(250),
            lease_ttl: Duration::from_secs(5),
            lease_renewal: Duration::from_millis(1_500),
            lease_margin: Duration::from_millis(500),
            promise_ttl: Duration::from_secs(5),
            max_extension: Duration::from_secs(900),
            unlisted_takeover: None,
            order_lifetime: Duration::from_secs(3),
            loading_claim: Duration::from_millis(150),
            idle_claim: Duration::from_secs(2),
            retire_grace: Duration::from_millis(300),
            eviction_idle: Duration::from_secs(5),
            configuration_read: Some(Duration::from_secs(1)),
            change_bound: None,
            relay_hosts: None,
            refusal_lead: Duration::from_millis(40),
            retries: RetryRules::default(),
            shared_failures: SharedFailures::default(),
            choice: ChoiceBasis::default(),
        }
    }
}

impl TimingRules {
    /// Time for which a leader may send orders after it sent a renewal that was written.
    pub fn lease_authority(&self) -> Duration {
        self.lease_ttl.saturating_sub(self.lease_margin)
    }

    /// Time for which a leader may send orders after it requested promises that were all given.
    pub fn promise_authority(&self) -> Duration {
        self.promise_ttl.saturating_sub(self.lease_margin)
    }

    /// Checks the relations between the durations that safety depends on.
    ///
    /// # Errors
    /// Returns one line for each violated relation.
    pub fn check(&self) -> Result<(), Vec<String>> {
        let mut faults = Vec::new();
        let mut require = |satisfied: bool, text: &str| {
            if !satisfied {
                faults.push(text.to_owned());
            }
        };
        let two_renewals_fit = self.lease_renewal * 2 + self.lease_margin < self.lease_ttl;
        require(two_renewals_fit, "lease_ttl must exceed two lease_renewal and lease_margin");
        let margin_sufficient = self.lease_margin * 20 >= self.lease_ttl;
        require(margin_sufficient, "lease_margin must be at least a twentieth of lease_ttl");
        let two_promises_fit = self.heartbeat * 2 + self.lease_margin < self.promise_ttl;
        require(two_promises_fit, "promise_ttl must exceed two heartbeat and lease_margin");
        require(
            self.peer_timeout >= self.heartbeat * 2,
            "peer_timeout must be at least two heartbeat",
        );
        require(!self.order_lifetime.is_zero(), "order_lifetime must be longer than zero");
        if faults.is_empty() { Ok(()) } else { Err(faults) }
    }
}
