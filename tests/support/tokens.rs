//! Fencing tokens of the orders that reached the engines of a deployment.

use std::collections::BTreeMap;

use wagtailledge_standins::fleet::FleetEngine;

/// Bits of a token below those of its epoch.
const TERM_BITS: u32 = 20;

/// What is wrong with the orders so far: a token that two hosts used, at whatever engine, or an order with a
/// lower token than an earlier one of another host at its engine.
pub fn token_faults(engines: &[FleetEngine]) -> Vec<String> {
    let mut faults = Vec::new();
    let mut holders: BTreeMap<u64, String> = BTreeMap::new();
    for engine in engines {
        let orders = engine.orders();
        for (index, order) in orders.iter().enumerate() {
            let holder = holders.entry(order.token).or_insert_with(|| order.holder.clone());
            if *holder != order.holder {
                let token = describe(order.token);
                faults.push(format!("token {token} of {holder} and {}", order.holder));
            }
            let mut earlier = orders[..index].iter();
            let later =
                earlier.find(|other| other.holder != order.holder && other.token > order.token);
            if let Some(other) = later {
                let (token, before) = (describe(order.token), describe(other.token));
                faults.push(format!(
                    "token {token} of {} after {before} of {}",
                    order.holder, other.holder
                ));
            }
        }
    }
    faults.dedup();
    faults
}

/// Holder, token, model and status of every order so far.
pub fn order_lines(engines: &[FleetEngine]) -> Vec<String> {
    let mut orders: Vec<_> = engines.iter().flat_map(FleetEngine::orders).collect();
    orders.sort_by_key(|order| order.arrived);
    let line = |order: &wagtailledge_standins::fleet::OrderRecord| {
        format!("{} {} {} {}", order.holder, describe(order.token), order.model, order.status)
    };
    orders.iter().map(line).collect()
}

fn describe(token: u64) -> String {
    format!("{}+{}", token >> TERM_BITS, token & ((1 << TERM_BITS) - 1))
}
