//! On what a takeover was based, for the log.

use std::fmt;

use crate::era::era_of;

use super::epoch::epoch_text;
use super::ground::TakeoverGround;

/// How a process learned of an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EpochSource {
    /// From a lease record: read, written, or announced by the key-value service or the holder.
    #[default]
    Record,
    /// From a notice of a leader.
    Notice,
}

/// Highest epoch that a process heard of.
#[derive(Debug, Clone, Copy, Default)]
pub struct KnownEpoch {
    /// The epoch; 0 if it heard of none.
    pub epoch: u64,
    source: EpochSource,
}

impl KnownEpoch {
    /// Records that the process heard of `epoch`.
    pub fn record(&mut self, epoch: u64, source: EpochSource) {
        if epoch > self.epoch {
            *self = Self { epoch, source };
        }
    }
}

impl fmt::Display for KnownEpoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let source = match self.source {
            EpochSource::Record => "record",
            EpochSource::Notice => "notice",
        };
        write!(f, "{} ({source})", epoch_text(self.epoch))
    }
}

/// On what a process based a takeover.
#[derive(Debug, Clone, Copy)]
pub struct TakeoverBasis {
    /// Why no other process could have authority.
    pub ground: TakeoverGround,
    /// Version of the record that the takeover replaced.
    pub version: u64,
    /// Highest epoch heard of before.
    pub known: KnownEpoch,
}

impl fmt::Display for TakeoverBasis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (ground, version) = (self.ground.text(), self.version);
        let era = era_of(version);
        write!(f, "{ground}; replaces version={version} era={era} known={}", self.known)
    }
}
