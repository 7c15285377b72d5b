//! Pending calls to the key-value service.

use std::collections::HashMap;

use crate::effect::HostEffect;
use crate::request::LedgerKey;
use crate::request::RequestKey;
use crate::store::StoreCall;
use crate::store::StoreCallId;
use crate::store::StoreOp;
use crate::time::Moment;

/// Purpose of a call to the lease key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseCall {
    /// Reads the lease record.
    Read,
    /// Acquires the lease.
    Acquire,
    /// Renews the lease.
    Renew,
    /// Releases the lease.
    Release,
}

/// Purpose of a call to the key-value service.
#[derive(Debug, Clone)]
pub enum CallPurpose {
    /// Accesses the lease of this host's scope; the moment is when the call was sent.
    Lease(LeaseCall, Moment),
    /// Creates the ledger record of a request, or takes over that of an earlier call.
    LedgerClaim(RequestKey),
    /// Reads a ledger record back after a write whose outcome is unknown.
    LedgerReadBack(RequestKey),
    /// Records the outcome of a non-idempotent call in the ledger.
    LedgerOutcome(LedgerKey),
    /// Deletes the ledger record of a non-idempotent call that never ran.
    LedgerDelete,
    /// Reads the quarantine record.
    QuarantineRead,
    /// Writes the quarantine record.
    QuarantineWrite,
    /// Writes the record of software versions.
    SoftwareWrite,
    /// Reads the head of the configuration.
    ConfigurationHead,
    /// Reads the configuration shard with this key.
    ConfigurationShard(String),
}

/// Numbers the calls to the key-value service and keeps the purpose of each pending one.
#[derive(Debug, Clone, Default)]
pub struct PendingCalls {
    last: u64,
    pending: HashMap<StoreCallId, CallPurpose>,
}

impl PendingCalls {
    /// Adds the effect that sends a call, and keeps its purpose until [`Self::take`].
    pub fn call(&mut self, purpose: CallPurpose, op: StoreOp, effects: &mut Vec<HostEffect>) {
        self.last += 1;
        let id = StoreCallId(self.last);
        self.pending.insert(id, purpose);
        effects.push(HostEffect::Store(StoreCall { id, op }));
    }

    /// Removes the pending call `id` and returns its purpose; `None` if it is not pending.
    pub fn take(&mut self, id: StoreCallId) -> Option<CallPurpose> {
        self.pending.remove(&id)
    }
}
