//! Rules of the reducer, from the settings.

use wagtailledge_decisions::reachability::SharedFailures;
use wagtailledge_decisions::retry::RetryRules;
use wagtailledge_settings::FeatureSwitch;
use wagtailledge_settings::HostSettings;

/// Limits on retries, from `[retries]`.
pub fn retry_rules(settings: &HostSettings) -> RetryRules {
    RetryRules {
        ratio: settings.retries.ratio,
        allowance: settings.retries.allowance,
        window: settings.retries.window.0,
    }
}

/// Whether failures are judged by zone, from `[routing]`.
pub fn shared_failures(settings: &HostSettings) -> SharedFailures {
    match settings.routing.shared_failures {
        FeatureSwitch::Auto => SharedFailures::Auto,
        FeatureSwitch::On => SharedFailures::On,
        FeatureSwitch::Off => SharedFailures::Off,
    }
}
