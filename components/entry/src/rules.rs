//! Rules of the reducer from the settings.

use wagtailledge_decisions::TimingRules;
use wagtailledge_decisions::reachability::SharedFailures;
use wagtailledge_decisions::retry::RetryRules;
use wagtailledge_decisions::routing::ChoiceBasis;
use wagtailledge_settings::FeatureSwitch;
use wagtailledge_settings::HostSettings;
use wagtailledge_settings::file::RetrySection;
use wagtailledge_settings::file::RoutingChoice;
use wagtailledge_settings::file::TimingSection;

/// Durations from `[timing]`, with defaults for those not set.
pub fn timing_rules(section: &TimingSection) -> TimingRules {
    let mut rules = TimingRules::default();
    let fields = [
        (section.heartbeat, &mut rules.heartbeat),
        (section.peer_timeout, &mut rules.peer_timeout),
        (section.lease_ttl, &mut rules.lease_ttl),
        (section.lease_renewal, &mut rules.lease_renewal),
        (section.lease_margin, &mut rules.lease_margin),
        (section.promise_ttl, &mut rules.promise_ttl),
        (section.max_extension, &mut rules.max_extension),
        (section.order_lifetime, &mut rules.order_lifetime),
        (section.retire_grace, &mut rules.retire_grace),
        (section.eviction_idle, &mut rules.eviction_idle),
        (section.notice_pause, &mut rules.notice_pause),
    ];
    for (configured, rule) in fields {
        if let Some(span) = configured {
            *rule = span.0;
        }
    }
    if let Some(span) = section.configuration_read {
        rules.configuration_read = Some(span.0);
    }
    rules
}

/// Limits on retries from `[retries]`.
pub(crate) fn retry_rules(settings: &HostSettings) -> RetryRules {
    let RetrySection { ratio, allowance, window, settle } = settings.retries;
    RetryRules { ratio, allowance, window: window.0, settle: settle.unwrap_or(window).0 }
}

/// Basis of the choice of upstreams from `[routing]`.
pub(crate) fn choice_basis(choice: RoutingChoice) -> ChoiceBasis {
    match choice {
        // By requests for now: by work, the leader of 86 hosts lost its orders on the heaviest days.
        RoutingChoice::Auto | RoutingChoice::Requests => ChoiceBasis::Requests,
        RoutingChoice::Work => ChoiceBasis::Work,
    }
}

/// Whether failures are judged by zone, from `[routing]`.
pub(crate) fn shared_failures(settings: &HostSettings) -> SharedFailures {
    match settings.routing.shared_failures {
        // Off for now: with it the leader of 86 hosts lost its orders on the heaviest days.
        FeatureSwitch::Auto | FeatureSwitch::Off => SharedFailures::Off,
        FeatureSwitch::On => SharedFailures::On,
    }
}
