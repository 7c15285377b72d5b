//! Why a lease may be taken over.

/// Shows that no process can have authority under a lease record any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeoverGround {
    /// There is no record.
    NoRecord,
    /// The key-value service came back from an earlier copy while this process had authority.
    StoreReturned,
    /// The record says that its holder has ended the lease.
    Ended,
    /// This process wrote the record by a takeover that it did not count as stored.
    OwnTakeover,
    /// The process that ran before this one on the same host held it.
    EarlierProcess,
    /// It expired and names no successors whose promises could extend it.
    NoSuccessors,
    /// It expired, and the host list has named neither the holder nor a successor for some time.
    Unlisted,
    /// It expired, and the host list names another process in place of the holder's or a successor's.
    Replaced,
    /// It expired, and a successor, or another process of the holder's host, confirmed that no promise holds.
    Released,
    /// It expired longer ago than promises can extend it.
    LongestExtension,
}

impl TakeoverGround {
    /// Text for the log.
    pub fn text(self) -> &'static str {
        match self {
            Self::NoRecord => "no record",
            Self::StoreReturned => "the store came back older during a term of this process",
            Self::Ended => "ended by its holder",
            Self::OwnTakeover => "stored by an earlier takeover of this process",
            Self::EarlierProcess => "held by an earlier process of this host",
            Self::NoSuccessors => "expired without successors",
            Self::Unlisted => "holder and successors are not listed",
            Self::Replaced => "holder or a successor is listed as another process",
            Self::Released => "released",
            Self::LongestExtension => "longest extension is over",
        }
    }
}
