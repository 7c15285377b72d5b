//! `[platform] relayed_reads`.

use serde::Deserialize;

/// Number of hosts of a scope from which on reads are relayed by default. Their direct reads would be 1,500
/// calls a second, about a tenth of what the store of a large deployment serves.
const AUTO_RELAY_HOSTS: usize = 1_000;

/// Whether hosts rely on their leader's reads of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RelayedReads {
    /// Each host reads for itself.
    Off,
    /// Hosts rely on their leader's reads.
    On,
    /// Hosts rely on their leader's reads if there are many of them in the scope.
    #[default]
    Auto,
}

impl RelayedReads {
    /// Number of hosts of a scope from which on they rely on their leader; `None` if they never do.
    pub fn min_hosts(self) -> Option<usize> {
        match self {
            Self::Off => None,
            Self::On => Some(0),
            Self::Auto => Some(AUTO_RELAY_HOSTS),
        }
    }
}
