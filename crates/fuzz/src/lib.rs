//! Property tests that play the same cases each time, and more by hand.
//!
//! `FUZZ_CASES=100000 FUZZ_SEED=7 cargo test --release …` plays more cases, or
//! others. Never published.
//!
//! Invariant: a seed gives one series of cases, and is printed with what failed.

use std::env;

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};

/// Cases of one test unless told: under a second each in CI.
const CASES: u64 = 500;

/// Seed unless told.
const SEED: u64 = 1;

fn number(name: &str, usual: u64) -> u64 {
    let text = env::var(name).ok();
    text.map_or(usual, |t| {
        t.parse()
            .unwrap_or_else(|_| panic!("{name} takes a number, not {t}"))
    })
}

/// Plays cases drawn from `strategy`.
///
/// # Panics
/// If a case fails: with the seed and the smallest such case.
pub fn check<S: Strategy>(strategy: &S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let seed = number("FUZZ_SEED", SEED);
    let cases = u32::try_from(number("FUZZ_CASES", CASES)).unwrap_or(u32::MAX);
    println!("seed {seed}, {cases} cases");
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    };
    if let Err(error) = TestRunner::new(config).run(strategy, test) {
        panic!("seed {seed}: {error}");
    }
}
