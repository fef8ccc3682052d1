//! Seeded soak test on the users' platform. Entry instances run as processes with
//! faults injected from outside; guarantees are checked against the requests and
//! answers that callers and targets recorded.
//!
//! `SOAK_SEEDS=50 SOAK_SECONDS=20 SOAK_FIRST=1000 cargo test -p auburnrouter
//! --test soak -- --nocapture` runs more seeds; the default is two short ones.

#[path = "soak/budget.rs"]
mod budget;
#[path = "soak/callers.rs"]
mod callers;
#[path = "soak/crashes.rs"]
mod crashes;
#[path = "direct/harness.rs"]
#[allow(dead_code, reason = "shared with other tests, which use all of it")]
mod harness;
#[path = "soak/invariants.rs"]
mod invariants;
#[path = "soak/links.rs"]
mod links;
#[path = "soak/news.rs"]
mod news;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "soak/requests.rs"]
mod requests;
#[path = "soak/runner.rs"]
mod runner;
#[path = "soak/stops.rs"]
mod stops;
#[path = "soak/store_faults.rs"]
mod store_faults;

use std::time::Duration;

/// Seeds that failed before, each with its cause; they are always run.
const REGRESSION_SEEDS: [u64; 1] = [
    // A target ended its fault between a request's arrival and its answer, which then asked
    // for no backoff.
    1011,
];

/// Reads a number from an environment variable.
fn env_number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |t| t.parse().expect("the variable is a number"))
}

/// Injects overlapping faults: kills, freezes, stops, broken connections, store
/// outages, writes that it carries out late or doesn't answer, more versions than an answer holds, instances whose links to all targets are cut, faulty targets, targets that ask for a backoff or announce their stop,
/// requests that crash targets, and configuration changes. What targets ask of an instance
/// must be kept, news of the store known in time (targets that leave, evacuations, versions), a request that crashes targets refused, second attempts must stay within
/// their bound and the caller's time, no unsafe request may run
/// twice, no rejected request may run, every success must be the target's complete
/// answer, and callers must be served again afterwards.
#[test]
fn keep_promises() {
    let first = env_number("SOAK_FIRST", 1);
    let seeds = first..first + env_number("SOAK_SEEDS", 2);
    let duration = Duration::from_secs(env_number("SOAK_SECONDS", 5));
    for seed in seeds.chain(REGRESSION_SEEDS) {
        println!("seed {seed}");
        let report = runner::run(seed, duration);
        println!("  {report}");
        let violations = report.violations();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

/// The store answers at length, carries writes out late, leaves them unanswered, forgets its
/// history and is kept from single instances, while targets leave, failure domains are
/// evacuated and versions of the configuration follow one another.
#[test]
fn keep_bounds_on_news() {
    let first = env_number("SOAK_FIRST", 1);
    let duration = Duration::from_secs(env_number("SOAK_SECONDS", 5));
    for seed in first..first + env_number("SOAK_SEEDS", 2) {
        println!("news, seed {seed}");
        let report = runner::run_news(seed, duration);
        println!("  {report}");
        let violations = report.violations();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

/// Stops that run at the same time.
const PARALLEL_STOPS: usize = 8;

/// A request was passed on late in a planned stop and cut, or dropped unanswered.
#[test]
fn keep_requests_at_stop() {
    let first = env_number("SOAK_FIRST", 1);
    let seeds: Vec<u64> = (first..first + env_number("SOAK_SEEDS", 4)).collect();
    for (seed, report) in seeds.chunks(PARALLEL_STOPS).flat_map(stops::run_all) {
        println!("stop, seed {seed}: {report}");
        let violations = report.violations();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}
