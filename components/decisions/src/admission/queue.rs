//! Queue of waiting requests, ordered by rank, account and deadline.

use std::collections::BTreeMap;

use wagtailledge_inventory::AccountKey;

use crate::request::RequestKey;
use crate::request::RequestTarget;
use crate::time::Moment;

use super::record::RequestRecord;
use super::shares::AccountShares;
use super::shares::RequestShare;
use super::shares::UsedShare;

/// Position in the queue: the lowest rank comes first, then the account that is least ahead of its share, then
/// the earliest deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitKey {
    /// Rank of the request; lower ranks are served first.
    pub rank: u8,
    /// When the request must have been answered or refused.
    pub deadline: Moment,
    /// Key of the waiting request.
    pub request: RequestKey,
    /// Account of its caller; `None` if it has none. Without accounts, all requests are in one group.
    pub account: Option<AccountKey>,
}

/// Requests of one rank and account: their shares, by deadline. No group is empty.
type Group = BTreeMap<(Moment, RequestKey), RequestShare>;
/// Groups by rank and account.
type Groups = BTreeMap<(u8, Option<AccountKey>), Group>;

fn wait_key((rank, account): (u8, Option<AccountKey>), place: (Moment, RequestKey)) -> WaitKey {
    WaitKey { rank, deadline: place.0, request: place.1, account }
}

fn insert(groups: &mut Groups, key: WaitKey, share: RequestShare) {
    let group = groups.entry((key.rank, key.account)).or_default();
    group.insert((key.deadline, key.request), share);
}

/// Removes a request and returns its share; `None` if it is not there.
fn remove(groups: &mut Groups, key: WaitKey) -> Option<RequestShare> {
    let group = groups.get_mut(&(key.rank, key.account))?;
    let share = group.remove(&(key.deadline, key.request));
    if group.is_empty() {
        groups.remove(&(key.rank, key.account));
    }
    share
}

/// Queue of requests that wait for an upstream.
#[derive(Debug, Clone, Default)]
pub struct WaitingQueue {
    /// Every waiting request.
    all: Groups,
    /// The same requests by target. No target has no groups.
    by_target: BTreeMap<RequestTarget, Groups>,
    /// Number of waiting requests.
    count: usize,
    shares: AccountShares,
}

impl WaitingQueue {
    /// Adds a request for `target`.
    pub fn push(&mut self, target: RequestTarget, key: WaitKey, share: RequestShare) {
        // A request that is in the queue already is replaced.
        self.remove(target, key);
        insert(&mut self.all, key, share);
        insert(self.by_target.entry(target).or_default(), key, share);
        self.count += 1;
        self.shares.add_waiting(key.account, share);
    }

    /// Removes a request for `target` and returns its share; does nothing if it is not waiting.
    pub fn remove(&mut self, target: RequestTarget, key: WaitKey) -> Option<RequestShare> {
        let groups = self.by_target.get_mut(&target)?;
        let share = remove(groups, key)?;
        if groups.is_empty() {
            self.by_target.remove(&target);
        }
        remove(&mut self.all, key);
        self.count -= 1;
        self.shares.remove_waiting(key.account, share.tokens);
        Some(share)
    }

    /// Counts a request that was removed to be dispatched as used by its account.
    pub fn charge(&mut self, account: Option<AccountKey>, share: RequestShare) {
        self.shares.charge(account, share);
    }

    /// How far an account is ahead of its share.
    pub fn used(&self, account: Option<AccountKey>) -> UsedShare {
        self.shares.used(account)
    }

    /// Position of the request to serve next for `target`.
    pub fn first(&self, target: RequestTarget) -> Option<WaitKey> {
        self.by_target.get(&target).and_then(|groups| self.head(groups))
    }

    /// The first request of the lowest rank.
    fn head(&self, groups: &Groups) -> Option<WaitKey> {
        let ((rank, _), _) = groups.first_key_value()?;
        let heads = groups.range((*rank, None)..).take_while(|((other, _), _)| other == rank);
        let heads = heads.filter_map(|(id, group)| {
            let (place, _) = group.first_key_value()?;
            Some(wait_key(*id, *place))
        });
        heads.min_by_key(|head| (self.shares.used(head.account), head.deadline, head.request))
    }

    /// Position of the request to shed first: the highest rank, then the account whose waiting requests would
    /// bring it furthest above its share, then the latest deadline.
    pub fn last(&self) -> Option<WaitKey> {
        let ((rank, _), _) = self.all.last_key_value()?;
        let ends = self.all.range((*rank, None)..).filter_map(|(id, group)| {
            let (place, _) = group.last_key_value()?;
            Some(wait_key(*id, *place))
        });
        let total = |account| self.shares.used_with_waiting(account);
        ends.max_by_key(|end| (total(end.account), end.deadline, end.request))
    }

    /// Number of requests in the queue.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether the queue has no requests.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Targets with waiting requests, each with its first request and the number of requests.
    pub fn targets(&self) -> impl Iterator<Item = (RequestTarget, WaitKey, usize)> + '_ {
        self.by_target.iter().filter_map(|(target, groups)| {
            let waiting = groups.values().map(BTreeMap::len).sum();
            Some((*target, self.head(groups)?, waiting))
        })
    }

    /// Waiting requests for `target`, in order of service: by rank, within it account by account. A dispatch may
    /// change the order of the accounts.
    pub fn waiting_for(&self, target: RequestTarget) -> impl Iterator<Item = WaitKey> + '_ {
        let groups = self.by_target.get(&target).into_iter().flatten();
        let mut groups: Vec<_> = groups.collect();
        groups.sort_by_cached_key(|((rank, account), group)| {
            (*rank, self.shares.used(*account), group.first_key_value().map(|(place, _)| *place))
        });
        groups
            .into_iter()
            .flat_map(|(id, group)| group.keys().map(move |place| wait_key(*id, *place)))
    }

    /// Earliest deadline of the waiting requests for `target`.
    pub fn earliest_deadline(&self, target: RequestTarget) -> Option<Moment> {
        let groups = self.by_target.get(&target)?.values();
        groups.filter_map(|group| group.first_key_value()).map(|((deadline, _), _)| *deadline).min()
    }
}

/// Position of `request` in the queue.
pub fn queue_key(key: RequestKey, request: &RequestRecord) -> WaitKey {
    let RequestRecord { rank, deadline, account, .. } = *request;
    WaitKey { rank, deadline, request: key, account }
}
