//! Ways to one fencing token of two hosts that need no return of the key-value service.

mod support;

use support::identity;
use support::scope::StoreLink;
use support::scope::TestScope;
use wagtailledge_decisions::HostIdentity;

/// Time in which a lease lapses and is taken over, in milliseconds.
const TAKEOVER_MS: u64 = 20_000;
/// Time in which a leader orders a load for a request, in milliseconds.
const ORDER_MS: u64 = 3_000;

/// Waits until a host leads, and lets it order a load.
fn order_from(scope: &mut TestScope, index: usize) {
    assert!(scope.wait_until(TAKEOVER_MS, |scope| scope.leads(index)), "host {index} leads");
    let before = scope.orders.len();
    scope.request(index, "heat");
    assert!(scope.wait_until(ORDER_MS, |scope| scope.orders.len() > before), "no order");
}

/// Guards against two leases, each with its own epochs, whose holders order one engine while hosts have other
/// settings of the scopes.
#[test]
fn can_use_another_token_than_the_leader_of_another_scope_that_has_the_engine() {
    let west = HostIdentity { scope: "west".to_owned(), ..identity("h1") };
    let mut scope = TestScope::with_identities(vec![identity("h0"), west]);
    scope.advance(5_000);
    scope.link_all(StoreLink::Open);
    order_from(&mut scope, 0);
    order_from(&mut scope, 1);
    assert_eq!(scope.shared_tokens(), [], "{:?}", scope.orders);
}

/// Guards against a record that can't be read and counts as the first one: its epoch is not known.
#[test]
fn can_use_another_token_than_the_holder_whose_record_cannot_be_read() {
    let mut scope = TestScope::with_hosts(2);
    scope.advance(5_000);
    scope.hosts[0].link = StoreLink::Open;
    scope.hosts[0].is_heard = false;
    order_from(&mut scope, 0);
    scope.hosts[0].is_up = false;
    scope.store.write("lease/east", "{\"holder\":\"someone\"}");
    scope.hosts[1].link = StoreLink::Open;
    order_from(&mut scope, 1);
    assert_eq!(scope.shared_tokens(), [], "{:?}", scope.orders);
}

/// Guards against a record whose epoch leaves no room for the fencing term: the token of the next one is as low as
/// that of the first.
#[test]
fn can_keep_tokens_growing_after_a_record_with_a_huge_epoch() {
    let mut scope = TestScope::with_hosts(2);
    scope.advance(5_000);
    scope.hosts[0].link = StoreLink::Open;
    scope.hosts[0].is_heard = false;
    order_from(&mut scope, 0);
    let mut record = scope.lease("east").unwrap();
    record.epoch = 1 << 44;
    record.ended = true;
    scope.store.write("lease/east", &record.to_value());
    scope.hosts[0].is_up = false;
    scope.hosts[1].link = StoreLink::Open;
    order_from(&mut scope, 1);
    assert!(scope.orders.is_sorted_by_key(|order| order.token), "{:?}", scope.orders);
    assert_eq!(scope.shared_tokens(), [], "{:?}", scope.orders);
}
