//! Fencing tokens while the key-value service comes back from earlier copies: two hosts never use one.

mod support;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::scope::StoreLink;
use support::scope::TestScope;

/// Number of random days.
const DAYS: u64 = 12;
/// Steps of a random day.
const STEPS: usize = 120;

/// Guards against a token that is used again after a return of the service, whatever hosts remember.
#[test]
fn can_use_each_token_at_one_host_only_while_the_store_returns() {
    let mut shared = Vec::new();
    let mut tokens = 0;
    for seed in 0..DAYS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut scope = TestScope::with_hosts(3);
        scope.advance(5_000);
        scope.link_all(StoreLink::Open);
        let mut copy = scope.store.clone();
        for _ in 0..STEPS {
            let index = rng.random_range(0..3);
            match rng.random_range(0..15) {
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
                10 => scope.restart(index),
                11 => scope.advance(rng.random_range(1..60) * 1_000),
                12 => copy = scope.store.clone(),
                13 => scope.store.restore(&copy),
                _ => scope.deliver_answers(index),
            }
            scope.advance(rng.random_range(1..300) * 10);
            for index in 0..3 {
                if scope.leads(index) {
                    scope.request(index, ["heat", "fan", "flock"][rng.random_range(0..3)]);
                }
            }
        }
        if let Some(first) = scope.shared_tokens().first() {
            shared.push((seed, first.clone()));
        }
        tokens += scope.token_count();
    }
    assert!(shared.is_empty(), "{} of {DAYS} days with {tokens} tokens: {shared:?}", shared.len());
}
