//! Fencing tokens while the key-value service loses nothing: two hosts never use one.

mod support;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::identity;
use support::scope::StoreLink;
use support::scope::TestScope;
use wagtailledge_decisions::HostIdentity;
use wagtailledge_decisions::order::fencing_token;

/// Time in which a lease lapses and is taken over, in milliseconds.
const TAKEOVER_MS: u64 = 20_000;
/// Time after which a takeover needs no release, in milliseconds.
const LONGEST_TAKEOVER_MS: u64 = 1_200_000;
/// Time in which a leader orders a load for a request, in milliseconds.
const ORDER_MS: u64 = 3_000;
/// Number of random days.
const DAYS: u64 = 12;
/// Steps of a random day.
const STEPS: usize = 120;

/// A scope in which one host leads and has sent orders; its index.
fn led_scope(hosts: usize) -> (TestScope, usize) {
    let mut scope = TestScope::with_hosts(hosts);
    scope.advance(5_000);
    scope.link_all(StoreLink::Open);
    let leader = scope.wait_for_leader(TAKEOVER_MS).expect("a host leads");
    order_from(&mut scope, leader);
    (scope, leader)
}

/// Lets a leader order a load.
fn order_from(scope: &mut TestScope, leader: usize) {
    let before = scope.orders.len();
    scope.request(leader, "heat");
    assert!(scope.wait_until(ORDER_MS, |scope| scope.orders.len() > before), "no order");
    assert_eq!(scope.orders.last().unwrap().holder, scope.hosts[leader].me.name);
}

/// Waits until another host than `first` is named by the record.
fn wait_for_takeover(scope: &mut TestScope, first: usize) -> bool {
    let name = scope.hosts[first].me.name.clone();
    scope.wait_until(LONGEST_TAKEOVER_MS, |scope| {
        scope.lease("east").is_some_and(|record| record.holder.name != name)
    })
}

/// Guards against a takeover that counts as stored for its writer though another candidate's was.
#[test]
fn can_tell_a_takeover_whose_answer_was_lost_from_that_of_another_host() {
    let (mut scope, first) = led_scope(3);
    scope.hosts[first].is_up = false;
    let others: Vec<usize> = (0..3).filter(|index| *index != first).collect();
    scope.hosts[others[0]].link = StoreLink::LosesAnswers;
    scope.hosts[others[0]].is_heard = false;
    assert!(wait_for_takeover(&mut scope, first), "nobody took over");
    scope.advance(TAKEOVER_MS * 2);
    scope.hosts[others[0]].link = StoreLink::Open;
    for _ in 0..20 {
        scope.advance(1_000);
        let leaders: Vec<usize> =
            others.iter().copied().filter(|index| scope.leads(*index)).collect();
        for index in leaders {
            order_from(&mut scope, index);
        }
    }
    assert_eq!(scope.shared_tokens(), []);
    assert_eq!(scope.overlaps, []);
}

/// Guards against a takeover that is carried out after that of another host.
#[test]
fn can_fail_a_takeover_that_is_carried_out_after_another_one() {
    let (mut scope, first) = led_scope(3);
    scope.hosts[first].is_up = false;
    let others: Vec<usize> = (0..3).filter(|index| *index != first).collect();
    scope.link_all(StoreLink::Late);
    scope.advance(LONGEST_TAKEOVER_MS);
    let carried_out = others.iter().map(|index| scope.deliver_late(*index)).sum::<usize>();
    assert_eq!(carried_out, 1, "one takeover of one version");
    scope.link_all(StoreLink::Open);
    let leader = scope.wait_for_leader(LONGEST_TAKEOVER_MS).expect("a host leads");
    order_from(&mut scope, leader);
    assert_eq!(scope.shared_tokens(), []);
}

/// Guards against an order that is written with the token of a term that has ended.
#[test]
fn can_bar_an_order_that_waits_while_its_term_ends() {
    let (mut scope, first) = led_scope(2);
    let token = scope.orders[0].token;
    let may_send = |scope: &TestScope| {
        let host = &scope.hosts[first].host;
        host.reducer.may_send_order(host.now, token)
    };
    assert!(may_send(&scope));
    scope.hosts[first].is_heard = false;
    scope.hosts[first].link = StoreLink::Down;
    assert!(wait_for_takeover(&mut scope, first), "nobody took over");
    assert!(!may_send(&scope));
    scope.hosts[1 - first].is_up = false;
    scope.hosts[first].link = StoreLink::Open;
    let leads = scope.wait_until(LONGEST_TAKEOVER_MS, |scope| scope.leads(first));
    assert!(leads, "the first host takes the lease over again");
    assert!(!may_send(&scope), "the token is of its first term");
}

/// Guards against one token of two processes of one host, of which the earlier one still runs.
#[test]
fn can_use_another_token_than_the_earlier_process_of_the_same_host() {
    let later = HostIdentity { incarnation: 2, address: "h0:2".to_owned(), ..identity("h0") };
    let mut scope = TestScope::with_identities(vec![identity("h0"), later]);
    scope.advance(5_000);
    scope.hosts[0].link = StoreLink::Open;
    scope.wait_until(TAKEOVER_MS, |scope| scope.leads(0));
    order_from(&mut scope, 0);
    scope.hosts[0].is_heard = false;
    scope.hosts[1].link = StoreLink::Open;
    assert!(scope.wait_until(TAKEOVER_MS, |scope| scope.leads(1)), "the later process leads");
    let first = scope.orders[0].token;
    scope.request(1, "fan");
    let has_ordered = |scope: &TestScope| scope.orders.iter().any(|order| order.token > first);
    assert!(scope.wait_until(TAKEOVER_MS, has_ordered), "{:?}", scope.orders);
    assert!(scope.orders.is_sorted_by_key(|order| order.token), "{:?}", scope.orders);
}

/// Guards against a token that two leaders use while answers are lost or late, writes are late, hosts do not hear
/// each other and processes are replaced.
#[test]
fn can_use_each_token_at_one_host_only() {
    let mut terms = 0;
    for seed in 0..DAYS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut scope = TestScope::with_hosts(3);
        scope.advance(5_000);
        scope.link_all(StoreLink::Open);
        for _ in 0..STEPS {
            let index = rng.random_range(0..3);
            match rng.random_range(0..14) {
                0 => scope.hosts[index].link = StoreLink::Down,
                1 => scope.hosts[index].link = StoreLink::LosesAnswers,
                2 => scope.hosts[index].link = StoreLink::Late,
                3 => scope.hosts[index].link = StoreLink::Slow,
                4..7 => scope.hosts[index].link = StoreLink::Open,
                7 => scope.hosts[index].is_heard ^= true,
                8 => {
                    scope.deliver_late(index);
                }
                9 => scope.announce_lease(index),
                10 if rng.random_range(0..4) == 0 => scope.restart(index),
                11 => scope.advance(rng.random_range(1..60) * 1_000),
                _ => scope.deliver_answers(index),
            }
            scope.advance(rng.random_range(1..300) * 10);
            for index in 0..3 {
                if scope.leads(index) {
                    scope.request(index, ["heat", "fan", "flock"][rng.random_range(0..3)]);
                }
            }
        }
        assert_eq!(scope.shared_tokens(), [], "day {seed}");
        assert_eq!(scope.overlaps, [], "day {seed}");
        terms += scope.token_count();
    }
    assert!(terms > 3 * DAYS as usize, "only {terms} tokens in {DAYS} days");
}

/// Guards against tokens that repeat, as the term or the epoch of one does not fit.
#[test]
fn can_keep_tokens_apart_whose_fencing_term_is_too_large() {
    assert!(fencing_token(1, u64::MAX) < fencing_token(2, 0));
    assert!(fencing_token((1 << 44) - 1, u64::MAX) > fencing_token((1 << 44) - 2, u64::MAX));
}
