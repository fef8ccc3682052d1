//! Names the safeguards and the standard cases, and writes what was found.

use core::ops::Range;
use core::time::Duration;
use std::io::{self, Write};

use steer::process::gate;

use crate::{cost, exhaust, random, speed, world};

/// One safeguard: its name, and all others without it.
pub const SAFEGUARDS: [(&str, gate::Safeguards); 9] = {
    const ALL: gate::Safeguards = gate::Safeguards::ALL;
    [
        (
            "wait-word",
            gate::Safeguards {
                wait_word: false,
                ..ALL
            },
        ),
        (
            "stay-given-up",
            gate::Safeguards {
                stay_given_up: false,
                ..ALL
            },
        ),
        (
            "seal-window",
            gate::Safeguards {
                seal_window: false,
                ..ALL
            },
        ),
        (
            "claim-window",
            gate::Safeguards {
                claim_window: false,
                ..ALL
            },
        ),
        (
            "keep-window",
            gate::Safeguards {
                keep_window: false,
                ..ALL
            },
        ),
        (
            "not-run-final",
            gate::Safeguards {
                not_run_final: false,
                ..ALL
            },
        ),
        (
            "own-only",
            gate::Safeguards {
                own_only: false,
                ..ALL
            },
        ),
        (
            "unknown-away",
            gate::Safeguards {
                unknown_away: false,
                ..ALL
            },
        ),
        (
            "hop-final",
            gate::Safeguards {
                hop_final: false,
                ..ALL
            },
        ),
    ]
};

/// All safeguards but the one of this name.
#[must_use]
pub fn without(name: &str) -> Option<gate::Safeguards> {
    let found = SAFEGUARDS.iter().find(|(n, _)| *n == name);
    found.map(|&(_, safe)| safe)
}

/// The names of the safeguards, for messages.
#[must_use]
pub fn names() -> String {
    SAFEGUARDS.map(|(name, _)| name).join(", ")
}

/// A key issued by process 0 whose copies reach it and another entry.
pub const ISSUED: (&[world::Source], &[world::Plan]) = (&[world::Source::Issued(0)], &COPIES);

/// A key chosen by its caller whose copies reach two entries.
pub const CHOSEN: (&[world::Source], &[world::Plan]) = (&[world::Source::Chosen], &COPIES);

const COPIES: [world::Plan; 2] = [
    world::Plan {
        key: 0,
        body: 0,
        to: 0,
    },
    world::Plan {
        key: 0,
        body: 0,
        to: 2,
    },
];

/// Every fault there is.
#[must_use]
pub const fn any(_: &world::Step) -> bool {
    true
}

/// Writes what random runs over `seeds` find; `true` if nothing.
///
/// # Errors
/// If the report can't be written.
pub fn random(
    out: &mut impl Write,
    seeds: Range<u64>,
    run: impl Fn(u64) -> random::Report,
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
pub fn exhaustive(out: &mut impl Write, depth: usize, safe: gate::Safeguards) -> io::Result<bool> {
    let mut clean = true;
    for (name, (sources, plans)) in [("issued key", ISSUED), ("chosen key", CHOSEN)] {
        let case = exhaust::Case {
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

/// Writes what each way costs and is worth. `clock` reads processor or wall
/// time, `memory` the bytes this process uses.
///
/// # Errors
/// If the report can't be written.
pub fn cost(
    out: &mut impl Write,
    clock: impl Fn() -> Duration,
    memory: impl Fn() -> u64,
) -> io::Result<()> {
    writeln!(out, "memory of a full table, answers of 200 bytes kept:")?;
    // First of all, so that no memory freed before is used again.
    let mut gates = Vec::new();
    for (name, work) in [
        ("owner", speed::Work::Owner),
        ("witness", speed::Work::Witness),
    ] {
        let before = memory();
        let gate = speed::fill(work);
        let bytes = memory().saturating_sub(before);
        let (own, witnessed) = gate.records();
        let records = own + witnessed;
        writeln!(out, "  {name}: {records} records, {bytes} bytes")?;
        gates.push(gate);
    }
    drop(gates);
    writeln!(out, "a request, without its target's time:")?;
    for way in &cost::WAYS {
        writeln!(out, "  {}", way.name)?;
        line(out, "first run", cost::first_run(way))?;
        line(out, "resend elsewhere", cost::resend(way))?;
        let worth = cost::worth(way);
        writeln!(
            out,
            "    resend after the owner's death, certain: {:.1} % ({:?} answer, {:?} not run, {:?} unknown)",
            worth.certain(),
            worth.answer,
            worth.not_run,
            worth.unknown
        )?;
    }
    writeln!(out, "processor time of the gate, a request:")?;
    for (name, work) in speed::WORKS {
        for rate in [20, 150] {
            let (mean, records) = speed::measure(work, rate, SPAN, &clock);
            writeln!(out, "  {name}, {rate}/s: {mean:?} with {records} records")?;
        }
    }
    Ok(())
}

/// Virtual time over which the gate's records build up: longer than they last.
const SPAN: Duration = Duration::from_mins(12);

fn line(out: &mut impl Write, name: &str, cost: cost::Cost) -> io::Result<()> {
    writeln!(
        out,
        "    {name}: {} messages, {} store calls, {:?}",
        cost.messages, cost.calls, cost.latency
    )
}
