//! End-to-end tests of quotas on the users' platform, with stand-ins over loopback sockets.

mod support;

use std::time::Duration;

use serde_json::json;
use support::WAIT_LIMIT;
use support::ready_stack;
use support::run;
use support::send;
use wagtailledge_standins::fleet::FleetStack;

/// Header line with the key of the account.
const KEY: &str = "Authorization: Token key-of-anna-7f3a\r\n";
/// Requests that are sent one after the other, far more than the quota allows in that time.
const REQUESTS: usize = 100;

async fn get(stack: &FleetStack, host: usize, id: &str) -> support::RawAnswer {
    let address = stack.hosts[host % stack.hosts.len()].caller_address;
    send(address, "GET", "/read/1", id, KEY).await
}

#[test]
fn can_limit_an_account_over_all_hosts() {
    run(async {
        let stack = ready_stack().await;
        let accounts = json!([
            { "name": "anna", "apiKeys": ["key-of-anna-7f3a"], "ratePerS": 8, "burst": 8 },
        ]);
        stack.configure_with(2, json!([]), &accounts);
        let wait = stack.wait_until(WAIT_LIMIT, async |stack| {
            let mut known = true;
            for host in &stack.hosts {
                known &=
                    send(host.caller_address, "GET", "/read/1", "wait", "").await.status == 401;
            }
            known
        });
        assert!(wait.await, "the accounts are not in force");
        // The bucket of a new account is empty.
        actix_rt::time::sleep(Duration::from_secs(3)).await;
        let (mut served, mut refused) = (0, None);
        for number in 0..REQUESTS {
            let answer = get(&stack, number, &format!("call-{number}")).await;
            match answer.status {
                200 => served += 1,
                429 => refused = Some(answer),
                other => panic!("{other}: {}", answer.head),
            }
        }
        let refused = refused.expect("some are beyond the quota");
        assert!(served > 0, "none was served");
        let seconds: f64 = refused.header("retry-after").unwrap().parse().unwrap();
        assert!((0.0..10.0).contains(&seconds), "{}", refused.head);
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(get(&stack, 0, "later").await.status, 200);
    });
}
