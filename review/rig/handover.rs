//! The leader is stopped for planned work while rare models are asked for.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::base::Finding;
use crate::base::Setup;
use crate::engine::Engine;
use crate::host::Host;
use crate::host::start_hosts;
use crate::lapse::SHORT_WAIT;
use crate::lapse::configuration;
use crate::lapse::keep_asking;
use crate::lapse::start_engine;
use crate::limit::LONG_WAIT;
use crate::limit::ask;
use crate::store::Store;

/// `graceS` of the sheet.
const GRACE: Duration = Duration::from_secs(8);
/// Time from the request for a rare model to the stop, in the rounds in turn. A plan is made every
/// 0.5 s.
const BEFORE_STOP_MS: [u64; 4] = [450, 350, 250, 150];
/// Number of stops at most, and the time after which no further one begins.
const ROUNDS: usize = 14;
const LAST_ROUND: Duration = Duration::from_secs(90);
/// Names of the hosts.
const HOSTS: [&str; 3] = ["edge-dothan-1", "edge-dothan-2", "edge-dothan-3"];

/// Position of the host that leads, by the lease in the store.
fn leader(store: &Store) -> Option<usize> {
    let lease = store.text("lease/deep-south");
    HOSTS.iter().position(|name| lease.starts_with(&format!("{{\"holder\":{{\"name\":\"{name}\"")))
}

pub fn run(setup: &Setup) -> Finding {
    let record = &setup.record;
    let failed = |error: std::io::Error| error.to_string();
    let begun = Instant::now();
    let store = Store::default();
    let address = store.start().map_err(failed)?.to_string();
    store.put("op/config", &configuration());
    let engines = [
        start_engine("i-1", &["full-1"], &["full-1"], &store, record)?,
        start_engine(
            "i-2",
            &["often", "small"],
            &["often", "small", "other", "large"],
            &store,
            record,
        )?,
    ];
    let hosts = start_hosts(&HOSTS, &address, setup)?;
    std::thread::sleep(Duration::from_secs(5));
    for round in 0..ROUNDS {
        if begun.elapsed() > LAST_ROUND {
            break;
        }
        let leads = leader(&store).ok_or("no host leads")?;
        // Clients use another host, as those of a host that ends do.
        let callers = hosts[(leads + 1) % HOSTS.len()].callers.clone();
        let busy = Arc::new(AtomicBool::new(false));
        for model in ["often", "full-1"] {
            keep_asking(&callers, model, &busy, setup);
        }
        std::thread::sleep(Duration::from_millis(800));
        let large = ask(&callers, &format!("large-{round}"), "large", 8, LONG_WAIT, record);
        std::thread::sleep(Duration::from_millis(BEFORE_STOP_MS[round % BEFORE_STOP_MS.len()]));
        if setup.trouble {
            record.line(&format!("{} gets SIGTERM", HOSTS[leads]));
            hosts[leads].terminate();
        }
        std::thread::sleep(Duration::from_millis(100));
        let other = ask(&callers, &format!("other-{round}"), "other", 8, SHORT_WAIT, record);
        std::thread::sleep(Duration::from_millis(2_000));
        if engines.iter().any(|engine| engine.overload().is_some()) {
            break;
        }
        for request in [large, other] {
            let _ = request.join();
        }
        // Brings the engine back to the models with which the round began.
        for model in ["large", "small"] {
            let _ = ask(&callers, &format!("{model}-again-{round}"), model, 8, LONG_WAIT, record)
                .join();
        }
        busy.store(true, Ordering::Relaxed);
        if setup.trouble {
            hosts[leads].start_again(GRACE, &setup.root)?;
            std::thread::sleep(Duration::from_millis(1_000));
        }
    }
    let found = engines.iter().find_map(Engine::overload);
    if found.is_none() && !hosts.iter().all(Host::is_running) {
        return Err("an entry host ended by itself".to_owned());
    }
    Ok(found)
}
