//! Names the safeguards and the standard cases, and writes what was found.

use core::ops::Range;
use std::io::{self, Write};

use steer::process::gate::Safeguards;

use crate::exhaust::{self, Case};
use crate::random::Report;
use crate::world::{Plan, Source, Step};

/// One safeguard: its name, and all others without it.
pub const SAFEGUARDS: [(&str, Safeguards); 8] = {
    const ALL: Safeguards = Safeguards::ALL;
    [
        (
            "wait-word",
            Safeguards {
                wait_word: false,
                ..ALL
            },
        ),
        (
            "stay-given-up",
            Safeguards {
                stay_given_up: false,
                ..ALL
            },
        ),
        (
            "seal-window",
            Safeguards {
                seal_window: false,
                ..ALL
            },
        ),
        (
            "claim-window",
            Safeguards {
                claim_window: false,
                ..ALL
            },
        ),
        (
            "not-run-final",
            Safeguards {
                not_run_final: false,
                ..ALL
            },
        ),
        (
            "own-only",
            Safeguards {
                own_only: false,
                ..ALL
            },
        ),
        (
            "unknown-away",
            Safeguards {
                unknown_away: false,
                ..ALL
            },
        ),
        (
            "hop-final",
            Safeguards {
                hop_final: false,
                ..ALL
            },
        ),
    ]
};

/// All safeguards but the one of this name.
#[must_use]
pub fn without(name: &str) -> Option<Safeguards> {
    let found = SAFEGUARDS.iter().find(|(n, _)| *n == name);
    found.map(|&(_, safe)| safe)
}

/// The names of the safeguards, for messages.
#[must_use]
pub fn names() -> String {
    SAFEGUARDS.map(|(name, _)| name).join(", ")
}

/// A key issued by process 0 whose copies reach it and another entry.
pub const ISSUED: (&[Source], &[Plan]) = (&[Source::Issued(0)], &COPIES);

/// A key chosen by its caller whose copies reach two entries.
pub const CHOSEN: (&[Source], &[Plan]) = (&[Source::Chosen], &COPIES);

const COPIES: [Plan; 2] = [
    Plan {
        key: 0,
        body: 0,
        to: 0,
    },
    Plan {
        key: 0,
        body: 0,
        to: 2,
    },
];

/// Every fault there is.
#[must_use]
pub const fn any(_: &Step) -> bool {
    true
}

/// Writes what random runs over `seeds` find; `true` if nothing.
///
/// # Errors
/// If the report can't be written.
pub fn random(
    out: &mut impl Write,
    seeds: Range<u64>,
    run: impl Fn(u64) -> Report,
) -> io::Result<bool> {
    let (mut steps, mut faults, mut violations) = (0, 0, 0);
    let mut said = [0; 3];
    writeln!(
        out,
        "seeds {} to {}",
        seeds.start,
        seeds.end.saturating_sub(1)
    )?;
    for seed in seeds {
        let report = run(seed);
        steps += report.steps;
        faults += report.faults;
        for (sum, count) in said.iter_mut().zip(report.said) {
            *sum += count;
        }
        if let Some(violation) = &report.violation {
            violations += 1;
            if violations <= 3 {
                writeln!(out, "  seed {seed}:\n{violation}")?;
            }
        }
    }
    let [ran, not_run, unknown] = said;
    writeln!(out, "{steps} steps, {faults} faults among them")?;
    writeln!(
        out,
        "told: {ran} an answer, {not_run} not run, {unknown} unknown"
    )?;
    writeln!(out, "{violations} violations")?;
    Ok(violations == 0)
}

/// Writes what all runs with at most `depth` faults find; `true` if nothing.
///
/// # Errors
/// If the report can't be written.
pub fn exhaustive(out: &mut impl Write, depth: usize, safe: Safeguards) -> io::Result<bool> {
    let mut clean = true;
    for (name, (sources, plans)) in [("issued key", ISSUED), ("chosen key", CHOSEN)] {
        let case = Case {
            processes: 3,
            sources,
            plans,
            safe,
            depth,
            menu: any,
        };
        let report = exhaust::explore(&case, false);
        writeln!(
            out,
            "{name}: {} runs with at most {depth} faults, {} violations",
            report.runs, report.violations
        )?;
        if let Some(violation) = &report.first {
            writeln!(out, "{violation}")?;
        }
        clean &= report.violations == 0;
    }
    Ok(clean)
}
