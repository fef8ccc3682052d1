//! Requests that crash targets, beside ordinary ones, in virtual time.
//!
//! Shows both errors of the verdicts that instances reach: targets that a crashing request
//! ends before it is refused, and ordinary requests that are refused by mistake.
//!
//! Invariant: instances learn nothing but by datagrams and the platform's list of targets.

use core::fmt::Write;
use core::time::Duration;

use steer::process::direct::mechanisms::Mechanisms;

mod fleet;
mod tally;

pub use tally::Tally;

/// One setting.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Name in the table.
    pub name: &'static str,
    /// Instances.
    pub instances: usize,
    /// Targets.
    pub targets: usize,
    /// Requests that crash targets; each has four callers that repeat it at any instance.
    pub crashing: usize,
    /// Ordinary paths.
    pub paths: usize,
    /// Ordinary requests a second, each of a path at random.
    pub rate: f64,
    /// Targets that end by themselves, a second.
    pub ends: f64,
}

const USUAL: Case = Case {
    name: "usual",
    instances: 7,
    targets: 14,
    crashing: 3,
    paths: 40,
    rate: 60.0,
    ends: 0.0,
};

/// The settings of the table.
pub const CASES: [Case; 7] = [
    USUAL,
    Case {
        name: "many paths",
        paths: 400,
        ..USUAL
    },
    Case {
        name: "four times the load",
        rate: 240.0,
        ..USUAL
    },
    Case {
        name: "ten crashing",
        crashing: 10,
        ..USUAL
    },
    Case {
        name: "targets end by themselves",
        crashing: 0,
        ends: 2.0,
        ..USUAL
    },
    Case {
        name: "hundred",
        instances: 100,
        targets: 200,
        paths: 400,
        rate: 860.0,
        ..USUAL
    },
    Case {
        name: "hundred, forty crashing",
        instances: 100,
        targets: 200,
        paths: 400,
        rate: 860.0,
        crashing: 40,
        ..USUAL
    },
];

/// Plays a setting.
#[must_use]
pub fn play(case: Case, seed: u64, span: Duration, mechanisms: Mechanisms) -> Tally {
    fleet::Fleet::new(case, seed, mechanisms).run(span)
}

/// Table over all settings whose name contains `only`, `seeds` plays of each.
#[must_use]
pub fn table(seed: u64, seeds: u64, seconds: u64, only: &str) -> String {
    let mut text = String::from(
        "| setting | targets ended by a request, mean and most | ordinary requests | refused as crashing | as suspects | paths refused more than twice after the last crash | longest such time, s |\n|---|---|---|---|---|---|---|\n",
    );
    for case in CASES.into_iter().filter(|c| c.name.contains(only)) {
        let plays = (seed..seed + seeds)
            .map(|seed| play(case, seed, Duration::from_secs(seconds), Mechanisms::ALL));
        let sum = plays.reduce(Tally::merge).unwrap_or_default();
        let _ = writeln!(text, "| {} | {sum} |", case.name);
    }
    text
}
