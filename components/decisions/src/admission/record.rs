//! One request.

use wagtailledge_inventory::UpstreamKey;

use crate::ledger::LedgerClaim;
use crate::request::RecordedAnswer;
use crate::request::RequestRepeat;
use crate::request::RequestTarget;
use crate::request::RequestTicket;
use crate::request::RouteTerms;
use crate::time::Moment;

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStage {
    /// Its ledger record is being written; it has not been dispatched.
    Claiming,
    /// Waits for an upstream; it has not been dispatched since its last "not run".
    Waiting,
    /// Sent to an upstream, whose answer has not begun.
    Dispatched(UpstreamKey),
    /// The answer is being passed on to the caller.
    Streaming(UpstreamKey),
}

/// One request between its arrival and its end.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Number given by the front.
    pub ticket: RequestTicket,
    /// What it is for.
    pub target: RequestTarget,
    /// Whether it may be repeated.
    pub repeat: RequestRepeat,
    /// Rank of its class.
    pub rank: u8,
    /// When it arrived.
    pub arrived: Moment,
    /// When it must have been answered or refused.
    pub deadline: Moment,
    /// Where it stands.
    pub stage: RequestStage,
    /// Dispatches so far.
    pub attempts: u32,
    /// The caller has its answer or refusal, or is gone. Only a call that must not be cut off
    /// goes on after that.
    pub settled: bool,
    /// An earlier dispatch ended without word whether it ran.
    pub may_have_run: bool,
    /// The ledger record that is this host's own, with its version.
    pub claim: Option<(LedgerClaim, u64)>,
    /// Hash that tells callers apart.
    pub caller: u64,
    /// Terms of its route, if it was passed through by one.
    pub terms: Option<RouteTerms>,
    /// Dispatches that may have run.
    pub runs: u32,
    /// Upstreams that failed it or did not run it.
    pub tried: Vec<UpstreamKey>,
    /// Failure that an upstream answered with: the caller gets it unless another one does better.
    pub failure: Option<Box<RecordedAnswer>>,
}

impl RequestRecord {
    /// Whether it may be sent again although it may have run.
    pub fn is_idempotent(&self) -> bool {
        self.repeat == RequestRepeat::Idempotent
    }

    /// Whether its exchange is to be ended when its caller is gone.
    pub fn is_cancellable(&self) -> bool {
        self.is_idempotent() || self.terms.as_ref().is_some_and(|terms| terms.streaming)
    }

    /// Whether one more upstream may be given the request although an earlier one may have run it.
    pub fn may_run_again(&self) -> bool {
        let allowed = self.terms.as_ref().map_or(u32::MAX, |terms| terms.attempts);
        self.is_idempotent() && self.runs < allowed
    }

    /// The upstream it runs on, if any.
    pub fn upstream(&self) -> Option<UpstreamKey> {
        match self.stage {
            RequestStage::Dispatched(upstream) | RequestStage::Streaming(upstream) => {
                Some(upstream)
            }
            RequestStage::Claiming | RequestStage::Waiting => None,
        }
    }
}
