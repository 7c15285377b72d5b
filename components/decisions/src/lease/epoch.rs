//! Numbers of the terms of a lease, which the fencing tokens of orders begin with.
//!
//! An epoch begins with the era of the key-value service in which its record was stored. Within an era the
//! service loses nothing, and compare-and-swap makes each epoch unique. In a later era it may have forgotten
//! the latest terms, as may all processes, but no epoch of that era has been used before.

use crate::era::era_of;

/// Number of low bits of an epoch that count the terms of an era.
const TERM_BITS: u32 = 20;

/// Epoch of a term that follows the record with this version. It is later than `known`, the highest epoch
/// that the new holder heard of.
pub fn next_epoch(version: u64, known: u64) -> u64 {
    known.max(era_of(version) << TERM_BITS) + 1
}

/// Whether a term may continue with a record stored as `version`: the service has not come back from an
/// earlier copy since the term began.
pub fn is_current(epoch: u64, version: u64) -> bool {
    epoch >> TERM_BITS >= era_of(version)
}

/// Text for the log: the era, if the service numbers its eras, and the number of the term in it.
pub fn epoch_text(epoch: u64) -> String {
    let (era, term) = (epoch >> TERM_BITS, epoch & ((1 << TERM_BITS) - 1));
    if era == 0 { term.to_string() } else { format!("{era}.{term}") }
}
