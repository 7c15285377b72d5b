//! State of an open request.

use wagtailledge_inventory::AccountKey;
use wagtailledge_inventory::UpstreamKey;
use wagtailledge_inventory::catalog::SoftwareVersion;

use crate::ledger::LedgerClaim;
use crate::quota::QuotaStanding;
use crate::request::RecordedAnswer;
use crate::request::RequestRepeat;
use crate::request::RequestTarget;
use crate::request::RequestTicket;
use crate::request::RouteTerms;
use crate::time::Moment;

/// Progress of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStage {
    /// It waits until it is known to be within the quota of its account, and was never dispatched.
    Asking,
    /// It waits for its claim in the ledger or for an earlier call, and was never dispatched.
    Claiming,
    /// It waits for an upstream, and no dispatch of it is in flight.
    Waiting,
    /// It was sent to this upstream, whose answer has not begun.
    Dispatched(UpstreamKey),
    /// The answer of this upstream is being streamed to the caller.
    Streaming(UpstreamKey),
}

/// Which upstreams may get a request, by the version of their software.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum SoftwareBinding {
    /// Any.
    #[default]
    Free,
    /// None yet: other hosts are asked which version began the stream that it takes up.
    Asking,
    /// Only those with the version that began its stream.
    Bound(SoftwareVersion),
}

/// State of a request between its arrival and its end.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Number that the frontend gave the request.
    pub ticket: RequestTicket,
    /// Asset or service that it is sent to.
    pub target: RequestTarget,
    /// Whether it may be sent more than once.
    pub repeat: RequestRepeat,
    /// Rank of its account, route or class; lower ranks are served first.
    pub rank: u8,
    /// When it arrived.
    pub arrived: Moment,
    /// When it must have been answered or refused.
    pub deadline: Moment,
    /// Progress of the request.
    pub stage: RequestStage,
    /// Number of dispatches so far.
    pub attempts: u32,
    /// When it was last dispatched; the arrival before that.
    pub dispatched: Moment,
    /// Number of the last attempt that this host ended because its upstream cannot be reached; 0 if
    /// there is none.
    pub ended_attempt: u32,
    /// Whether the caller was answered or refused, or has disconnected. Only a call that must not
    /// be cancelled continues after that.
    pub settled: bool,
    /// Whether an earlier dispatch ran or may have run.
    pub may_have_run: bool,
    /// Claim of this host in the ledger, with the version of the ledger record; `None` without one.
    pub claim: Option<(LedgerClaim, u64)>,
    /// Hash that identifies the caller.
    pub caller: u64,
    /// Account of the caller; `None` if it has none.
    pub account: Option<AccountKey>,
    /// What the quota of its account means for it. Exactly the requests in the stage `Asking` are asked
    /// about.
    pub quota: QuotaStanding,
    /// Settings of its route; `None` if it matched none.
    pub terms: Option<RouteTerms>,
    /// Number of dispatches that ran or may have run.
    pub runs: u32,
    /// Upstreams that failed the request or did not run it.
    pub tried: Vec<UpstreamKey>,
    /// Last failure that an upstream answered with. The caller gets it if no retry succeeds.
    pub failure: Option<Box<RecordedAnswer>>,
    /// Which upstreams may get it, by the version of their software.
    pub binding: SoftwareBinding,
    /// When the first part of the answer of its latest dispatch arrived.
    pub first_part: Option<Moment>,
    /// Whether its wait for a permit was compared with its deadline since the leader knows of it.
    pub permit_checked: bool,
}

impl RequestRecord {
    /// Whether the request may be sent again although it may have run.
    pub fn is_idempotent(&self) -> bool {
        self.repeat == RequestRepeat::Idempotent
    }

    /// Whether the attempt in flight is cancelled when the caller disconnects.
    pub fn is_cancellable(&self) -> bool {
        self.is_idempotent() || self.terms.as_ref().is_some_and(|terms| terms.streaming)
    }

    /// Whether another upstream may get the request although an earlier one may have run it.
    pub fn may_run_again(&self) -> bool {
        let allowed = self.terms.as_ref().map_or(u32::MAX, |terms| terms.attempts);
        self.is_idempotent() && self.runs < allowed
    }

    /// Whether it waits for an upstream.
    pub fn is_waiting(&self) -> bool {
        self.stage == RequestStage::Waiting
    }

    /// Upstream that the request was sent to and that has not finished it; `None` if there is none.
    pub fn upstream(&self) -> Option<UpstreamKey> {
        match self.stage {
            RequestStage::Dispatched(upstream) | RequestStage::Streaming(upstream) => {
                Some(upstream)
            }
            RequestStage::Asking | RequestStage::Claiming | RequestStage::Waiting => None,
        }
    }
}
