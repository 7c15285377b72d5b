//! What hosts do when the platform's store comes back from an earlier copy of what it held.

mod support;

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use support::WAIT_LIMIT;
use support::ask;
use support::ready_stack;
use support::run;
use support::send;
use wagtailledge_standins::fleet::FleetStack;

/// Time after the return of the store within which its contents must be in force.
const BOUND: Duration = Duration::from_secs(5);
/// Changes by others that raise the store's revision.
const OTHER_CHANGES: usize = 60;

fn route(name: &str) -> Value {
    json!({
        "name": name, "host": "farm.example", "prefix": format!("/{name}/"),
        "routeKind": "idempotent", "timeoutMs": 5000, "targetLatencyMs": 500, "priority": 1,
        "service": "app", "attempts": 1
    })
}

fn raise_revision(stack: &FleetStack) {
    for number in 0..OTHER_CHANGES {
        stack.store.put("other/key", number.to_string().as_bytes());
    }
}

/// Whether every host serves the route `name`.
async fn serves(stack: &FleetStack, name: &str) -> bool {
    for host in &stack.hosts {
        let answer = send(host.caller_address, "GET", &format!("/{name}/1"), name, "").await;
        if answer.status != 200 {
            return false;
        }
    }
    true
}

/// Lets the store go away and come back from a copy that is older than what all hosts have seen. Then
/// `write` changes it, and other changes raise its revision above the one that the hosts have seen.
async fn return_from_copy(write: impl Fn(&FleetStack)) -> FleetStack {
    let stack = ready_stack().await;
    let copy = stack.store.copy();
    raise_revision(&stack);
    stack.configure(2, json!([route("seen")]));
    let seen = stack.wait_until(WAIT_LIMIT, async |stack| serves(stack, "seen").await).await;
    assert!(seen, "the hosts do not follow the store");
    stack.store.set_silent(true);
    stack.store.restore(&copy);
    stack.configure(2, json!([route("seen")]));
    write(&stack);
    raise_revision(&stack);
    raise_revision(&stack);
    stack.store.set_silent(false);
    stack
}

/// Guards against a watch that goes on from a revision which the store has given out again.
#[test]
fn can_apply_a_configuration_that_was_written_below_the_revision_seen_before() {
    run(async {
        let stack = return_from_copy(|stack| {
            stack.configure(3, json!([route("seen"), route("more")]));
        })
        .await;
        let applied = stack.wait_until(BOUND, async |stack| serves(stack, "more").await).await;
        assert!(applied, "the newer configuration is not in force");
        assert!(serves(&stack, "seen").await, "a route of both configurations is gone");
    });
}

/// Guards against entries that are taken for older ones because their revision is lower.
#[test]
fn can_leave_an_engine_whose_entry_was_removed_below_the_revision_seen_before() {
    run(async {
        let stack = return_from_copy(|stack| {
            stack.register();
            stack.store.remove("servers/i-engine-0");
        })
        .await;
        actix_rt::time::sleep(BOUND).await;
        let before = stack.engines[0].arrivals().len();
        for number in 0..40 {
            let answer = ask(&stack, number % 2, "m0", &format!("after-{number}")).await;
            assert_eq!(answer.status, 200, "{}{}", answer.head, answer.body);
        }
        assert_eq!(stack.engines[0].arrivals().len(), before);
    });
}

/// Guards against a host that answers as an older configuration allows once the store has that again.
#[test]
fn can_keep_the_configuration_in_force_when_the_store_has_an_older_one() {
    run(async {
        let stack = ready_stack().await;
        let copy = stack.store.copy();
        stack.configure(2, json!([route("seen")]));
        let seen = stack.wait_until(WAIT_LIMIT, async |stack| serves(stack, "seen").await).await;
        assert!(seen, "the hosts do not follow the store");
        stack.store.restore(&copy);
        for _ in 0..20 {
            assert!(serves(&stack, "seen").await, "an older configuration is in force");
            actix_rt::time::sleep(BOUND / 20).await;
        }
    });
}

#[test]
fn can_place_models_after_the_store_came_back_older() {
    run(async {
        let stack = return_from_copy(FleetStack::register).await;
        actix_rt::time::sleep(BOUND).await;
        for (number, model) in ["m1", "m2", "m3"].into_iter().enumerate() {
            let answer = ask(&stack, number % 2, model, &format!("load-{number}")).await;
            assert_eq!(answer.status, 200, "{model}: {}{}", answer.head, answer.body);
        }
    });
}
