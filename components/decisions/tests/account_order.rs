//! Order of the waiting requests of several accounts: a burst of one account costs that account and no
//! other. Plays without host and network.

mod support;

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use support::INVENTORY;
use support::TestHost;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::Moment;
use wagtailledge_decisions::admission::AccountShares;
use wagtailledge_decisions::admission::RequestShare;
use wagtailledge_decisions::admission::WaitKey;
use wagtailledge_decisions::admission::WaitingQueue;
use wagtailledge_decisions::configuration::difference;
use wagtailledge_decisions::configuration::digest_of;
use wagtailledge_decisions::configuration::to_items;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::message::PeerMessage;
use wagtailledge_decisions::request::CallerRequest;
use wagtailledge_decisions::request::PromptShape;
use wagtailledge_decisions::request::RequestKey;
use wagtailledge_decisions::request::RequestRepeat;
use wagtailledge_decisions::request::RequestTarget;
use wagtailledge_decisions::request::RequestTicket;
use wagtailledge_decisions::request::RouteTerms;
use wagtailledge_inventory::AccountKey;
use wagtailledge_inventory::InventoryCatalog;
use wagtailledge_inventory::ServiceKey;
use wagtailledge_inventory::catalog::AccountRecord;
use wagtailledge_inventory::parse::parse_inventory;

/// Number of accounts; the first three are large.
const ACCOUNTS: usize = 16;
/// Usual tokens of a large account in a second, and of a small one.
const LARGE_RATE: f64 = 420_000.0;
const SMALL_RATE: f64 = 16_000.0;
/// What the hot account sends, in relation to its usual load.
const HOT_FACTOR: f64 = 7.5;
/// Tokens that the upstreams take in a second, in relation to the usual load of all accounts.
const CAPACITY: f64 = 1.1;
/// Mean tokens of a request: those of a long and of a short prompt.
const TOKENS: [u64; 2] = [9_190, 826];
/// Time within which a request must be sent.
const PATIENCE: Duration = Duration::from_millis(1_200);
/// Time of the play, of its hot part, and how much it advances at once.
const PLAY: Duration = Duration::from_secs(60);
const HOT_FROM: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(1);

fn target() -> RequestTarget {
    RequestTarget::Service(ServiceKey::default())
}

fn accounts(count: usize) -> Vec<AccountKey> {
    let mut catalog = InventoryCatalog::default();
    let record = |name: usize| AccountRecord { name: name.to_string(), rank: None, quota: None };
    (0..count).map(|number| catalog.accounts.insert(record(number))).collect()
}

/// What became of the requests of one account in the hot part.
#[derive(Debug, Clone, Copy, Default)]
struct AccountResult {
    sent: u32,
    late: u32,
    tokens: u64,
}

impl AccountResult {
    fn late_share(&self) -> f64 {
        f64::from(self.late) / f64::from((self.sent + self.late).max(1))
    }
}

/// Plays a queue in front of upstreams with a constant speed. The account `hot` sends more than usual
/// from `HOT_FROM` on. Without `by_account`, all requests belong to none.
fn play(hot: usize, by_account: bool, seed: u64) -> Vec<AccountResult> {
    let keys = accounts(ACCOUNTS);
    let rate = |account: usize| if account < 3 { LARGE_RATE } else { SMALL_RATE };
    let usual: f64 = (0..ACCOUNTS).map(rate).sum();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut requests: SlotMap<RequestKey, usize> = SlotMap::with_key();
    let mut queue = WaitingQueue::default();
    let mut results = vec![AccountResult::default(); ACCOUNTS];
    let start = Moment(5_000_000_000);
    let mut now = start;
    let mut credit = 0.0;
    while now.since(start) < PLAY {
        now = now.after(STEP);
        let is_hot = now.since(start) >= HOT_FROM;
        for (account, key) in keys.iter().enumerate() {
            let factor = if is_hot && account == hot { HOT_FACTOR } else { 1.0 };
            // Half of the tokens are in requests of each size.
            for mean in TOKENS {
                let tokens = rng.random_range(mean / 2..=mean * 3 / 2);
                let wanted = rate(account) * factor / 2.0 * STEP.as_secs_f64() / mean as f64;
                if rng.random::<f64>() >= wanted {
                    continue;
                }
                let request = requests.insert(account);
                let owner = by_account.then_some(*key);
                let deadline = now.after(PATIENCE);
                let key = WaitKey { rank: 1, deadline, request, account: owner };
                // The rate of a quota is above the usual load.
                let weight = rate(account) * 1.8;
                // The burst of a quota is one second of its rate.
                let share = RequestShare { tokens, weight, burst: weight as u64 };
                queue.push(target(), key, share);
            }
        }
        let expired: Vec<WaitKey> =
            queue.waiting_for(target()).filter(|key| key.deadline <= now).collect();
        for key in expired {
            queue.remove(target(), key);
            let account = requests.remove(key.request).unwrap();
            results[account].late += u32::from(is_hot);
        }
        credit = (credit + usual * CAPACITY * STEP.as_secs_f64()).min(usual * 0.1);
        while credit > 0.0
            && let Some(key) = queue.first(target())
        {
            let share = queue.remove(target(), key).unwrap();
            queue.charge(key.account, share);
            credit -= share.tokens as f64;
            let account = requests.remove(key.request).unwrap();
            if is_hot {
                results[account].sent += 1;
                results[account].tokens += share.tokens;
            }
        }
    }
    results
}

/// Most late requests of all other accounts, and of one of them: requests of a small account that come close
/// together by chance are a burst of its own.
const MAX_LATE: f64 = 0.005;
const MAX_LATE_OF_ONE: f64 = 0.1;

#[test]
fn can_keep_the_burst_of_one_account_from_the_fifteen_others() {
    for (hot, seed) in [(0, 1), (0, 2), (1, 3), (7, 4), (12, 5)] {
        let fair = play(hot, true, seed);
        let mut all = AccountResult::default();
        for (account, result) in fair.iter().enumerate().filter(|(account, _)| *account != hot) {
            let late = result.late_share();
            assert!(late < MAX_LATE_OF_ONE, "hot {hot}: {late:.3} of {account} late, {result:?}");
            all.sent += result.sent;
            all.late += result.late;
        }
        assert!(all.late_share() < MAX_LATE, "hot {hot}: {all:?} of the others");
        // What the others leave is the hot account's: at least its usual load.
        let usual = if hot < 3 { LARGE_RATE } else { SMALL_RATE };
        let rate = fair[hot].tokens as f64 / PLAY.saturating_sub(HOT_FROM).as_secs_f64();
        assert!(rate > usual * 0.95, "hot {hot} got {rate:.0} tokens a second of {usual}");
        println!("hot {hot}: {all:?} of the others, {rate:.0} tokens a second, usually {usual}");
    }
    // By deadline alone, the burst of a large account makes requests of all accounts late.
    let by_deadline = play(0, false, 1);
    let others = &by_deadline[1..];
    assert!(others.iter().all(|result| result.late_share() > 0.2), "{by_deadline:?}");
}

#[test]
fn can_order_by_deadline_without_accounts() {
    let mut requests: SlotMap<RequestKey, ()> = SlotMap::with_key();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut queue = WaitingQueue::default();
    let now = Moment(1_000_000);
    let mut expected = Vec::new();
    for _ in 0..200 {
        let deadline = now.after(Duration::from_millis(rng.random_range(0..40)));
        let (request, rank) = (requests.insert(()), rng.random_range(0..3));
        let key = WaitKey { rank, deadline, request, account: None };
        let tokens = rng.random_range(1..50_000);
        let share = RequestShare { tokens, weight: 1.0, burst: 10 };
        queue.push(target(), key, share);
        expected.push(key);
    }
    expected.sort();
    assert_eq!(queue.waiting_for(target()).collect::<Vec<_>>(), expected);
    while let Some(last) = queue.last() {
        assert_eq!(Some(last), expected.pop());
        assert_eq!(queue.remove(target(), last).is_some(), queue.len() == expected.len());
        if let Some(first) = queue.first(target()) {
            assert_eq!(first, expected[0]);
            let share = queue.remove(target(), first).unwrap();
            queue.charge(None, share);
            expected.remove(0);
        }
    }
    assert!(queue.is_empty() && expected.is_empty());
}

#[test]
fn can_serve_ranks_before_accounts_and_shed_the_account_with_the_burst() {
    let keys = accounts(2);
    let mut requests: SlotMap<RequestKey, ()> = SlotMap::with_key();
    let mut queue = WaitingQueue::default();
    let now = Moment(1_000_000);
    let mut push = |queue: &mut WaitingQueue, rank: u8, account: usize, wait_ms: u64| {
        let request = requests.insert(());
        let deadline = now.after(Duration::from_millis(wait_ms));
        let key = WaitKey { rank, deadline, request, account: Some(keys[account]) };
        queue.push(target(), key, RequestShare { tokens: 100, weight: 1.0, burst: 0 });
        key
    };
    let heavy = push(&mut queue, 1, 0, 10);
    queue.remove(target(), heavy);
    queue.charge(Some(keys[0]), RequestShare { tokens: 5_000, weight: 1.0, burst: 0 });
    let urgent = push(&mut queue, 0, 0, 90);
    let burst: Vec<WaitKey> = (0..80).map(|number| push(&mut queue, 1, 0, number)).collect();
    let quiet = push(&mut queue, 1, 1, 500);
    let order: Vec<WaitKey> = queue.waiting_for(target()).take(3).collect();
    assert_eq!(order, [urgent, quiet, burst[0]], "rank, then use, then deadline");
    assert_eq!(queue.last(), burst.last().copied(), "the quiet account has the latest deadline");
}

#[test]
fn can_forget_accounts_that_are_not_ahead_and_bound_their_marks() {
    let keys = accounts(1_000);
    let mut shares = AccountShares::default();
    let share = RequestShare { tokens: 9_000, weight: 1.0, burst: 0 };
    let mut most = 0;
    for key in keys.iter().cycle().take(200_000) {
        shares.add_waiting(Some(*key), share);
        shares.remove_waiting(Some(*key), share.tokens);
        shares.charge(Some(*key), share);
        assert!(shares.used(Some(*key)) > shares.used(None));
        most = most.max(shares.len());
    }
    assert!(most <= 1_000, "{most} entries");
    // One account alone is never ahead by more than its last request, however much it uses.
    let large = RequestShare { tokens: 1_000_000_000, ..share };
    for _ in 0..10_000 {
        shares.charge(Some(keys[0]), large);
    }
    assert_eq!(shares.len(), 1);
    shares.charge(Some(keys[1]), share);
    assert!(shares.used(Some(keys[0])) > shares.used(Some(keys[1])));
    assert!(shares.used(Some(keys[1])) > shares.used(Some(keys[2])));
}

/// Submits a request with `input` tokens for the model `flock`; returns its ticket.
fn ask(
    host: &mut TestHost,
    account: Option<&str>,
    ticket: u64,
    input: u32,
    deadline_ms: u64,
) -> u64 {
    let catalog = host.reducer.catalog();
    let terms = RouteTerms {
        rank: 5,
        attempts: 1,
        objective: Duration::from_secs(1),
        streaming: false,
        resumable: false,
        sticky: false,
        prompt: PromptShape { input, ..PromptShape::default() },
        stream_id: None,
        resumes: None,
    };
    host.submit(HostEvent::RequestArrived(CallerRequest {
        ticket: RequestTicket(ticket),
        target: host.reducer.resolve_model("flock").unwrap(),
        repeat: RequestRepeat::Idempotent,
        deadline: Some(Duration::from_millis(deadline_ms)),
        caller: ticket,
        account: account.map(|name| catalog.account_named(name).unwrap()),
        terms: Some(terms),
    }));
    ticket
}

#[test]
fn can_order_the_queue_of_a_host_by_the_rank_and_use_of_accounts() {
    let mut host = TestHost::new();
    let text = "[[account]]\nname = \"vip\"\nkeys = []\nrank = 0\n\
                [[account]]\nname = \"busy\"\nkeys = []\n[[account]]\nname = \"quiet\"\nkeys = []\n";
    let old = to_items(&parse_inventory("test", INVENTORY).unwrap());
    let new = to_items(&parse_inventory("test", &format!("{INVENTORY}{text}")).unwrap());
    host.receive(PeerMessage::ConfigurationOffer {
        base: 1,
        revision: 2,
        digest: digest_of(&new),
        changes: difference(&old, &new),
    });
    assert!(host.reducer.catalog().has_accounts());
    // Both slots are taken by an account that is far ahead of its share then.
    let mut expected = vec![ask(&mut host, Some("busy"), 1, 90_000, 9_000)];
    expected.push(ask(&mut host, Some("busy"), 2, 90_000, 9_000));
    let busy = ask(&mut host, Some("busy"), 3, 10, 7_000);
    let late = ask(&mut host, Some("quiet"), 4, 10, 9_000);
    let early = ask(&mut host, None, 5, 10, 8_000);
    let vip = ask(&mut host, Some("vip"), 6, 10, 9_900);
    for attempt in 0..4 {
        host.end_attempt(attempt, AttemptOutcome::Streamed);
    }
    expected.extend([vip, early, late, busy]);
    assert_eq!(host.dispatched_tickets(), expected, "rank, then use, then deadline");
}
