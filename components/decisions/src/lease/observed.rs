//! The lease record as a process last saw it.

use std::fmt;

use crate::era::era_of;
use crate::time::Moment;

use super::record::LeaseRecord;

/// The last known record, and since when its version has not changed.
#[derive(Debug, Clone)]
pub struct ObservedRecord {
    /// Version of the record in the key-value service.
    pub version: u64,
    /// `None` if the key is absent or has another value.
    pub record: Option<LeaseRecord>,
    /// When this version was first seen.
    pub unchanged_since: Moment,
}

impl fmt::Display for ObservedRecord {
    /// Writes `key=value` pairs for the log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.record {
            Some(record) => {
                let ended = if record.ended { " ended" } else { "" };
                write!(f, "holder={} epoch={}{ended}", record.holder.name, record.epoch)?;
            }
            None => f.write_str("no record")?,
        }
        write!(f, " version={} era={}", self.version, era_of(self.version))
    }
}
