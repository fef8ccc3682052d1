//! A seeded soak of the product on its users' platform: entry instances as
//! processes, faults from outside them, promises held against what callers and
//! targets saw.
//!
//! `SOAK_SEEDS=50 SOAK_SECONDS=20 SOAK_FIRST=1000 cargo test -p auburnrouter
//! --test soak -- --nocapture` plays more; without them two short seeds are
//! played.

#[path = "soak/callers.rs"]
mod callers;
#[path = "direct/harness.rs"]
#[allow(dead_code, reason = "shared with other tests, which use all of it")]
mod harness;
#[path = "soak/invariants.rs"]
mod invariants;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "soak/runner.rs"]
mod runner;

use std::time::Duration;

/// Seeds that failed once, each with its cause.
const REGRESSION_SEEDS: [u64; 0] = [];

/// A number from the environment.
fn env_number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |t| t.parse().expect("it is a number"))
}

/// Kills, freezes, stops, cuts, outages of the store, targets with every fault
/// and changes of the configuration, in series and overlapping. Whatever comes,
/// nothing unsafe runs twice, nothing that was rejected runs, every success is
/// the target's whole answer, and afterwards callers are served again.
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
