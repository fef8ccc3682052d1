//! `explorer`: seeded and exhaustive runs of the decisions, by command line.

use std::fs;
use std::io::{self, Write};
use std::process::ExitCode;
use std::time::Instant;

use explorer::{random, report};
use steer::process::gate;

const USAGE: &str = "\
usage: explorer [--seed N] [--runs N] [--steps N] [--off SAFEGUARD]
  --seed N         first seed; run i uses seed N + i (default 1)
  --runs N         random runs (default 20000)
  --steps N        most steps of a run (default 120)
  --off SAFEGUARD  take one safeguard out; violations are then expected
  --depth N        instead: all runs with at most N faults, on the standard cases
  --cost           instead: what each way costs, in virtual and processor time";

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("{0}; see --help")]
    Arguments(#[from] lexopt::Error),
    #[error("no safeguard is called {0:?}; there are: {names}", names = report::names())]
    Safeguard(String),
    #[error("the report could not be written: {0}")]
    Output(#[from] io::Error),
}

struct Options {
    seed: u64,
    runs: u64,
    steps: usize,
    safe: gate::Safeguards,
    depth: Option<usize>,
    other: Other,
}

/// What is asked for instead of an exploration.
#[derive(PartialEq, Eq)]
enum Other {
    Nothing,
    Help,
    Cost,
}

fn main() -> ExitCode {
    match explore() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            let _ = writeln!(io::stderr(), "explorer: {error}");
            ExitCode::from(2)
        }
    }
}

/// Returns whether every promise was kept.
fn explore() -> Result<bool, Error> {
    let options = options()?;
    let mut out = io::stdout().lock();
    match options.other {
        Other::Nothing => {}
        Other::Help => {
            writeln!(out, "{USAGE}")?;
            return Ok(true);
        }
        Other::Cost => {
            let start = Instant::now();
            report::cost(&mut out, || start.elapsed(), resident)?;
            return Ok(true);
        }
    }
    if let Some(depth) = options.depth {
        return Ok(report::exhaustive(&mut out, depth, options.safe)?);
    }
    let one = |seed| random::run(seed, options.steps, options.safe);
    let seeds = options.seed..options.seed.saturating_add(options.runs);
    Ok(report::random(&mut out, seeds, one)?)
}

/// Bytes of memory that this process holds; zero where the system doesn't say.
fn resident() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|l| l.trim().strip_suffix(" kB")?.parse().ok());
    kilobytes.unwrap_or(0_u64) * 1024
}

fn options() -> Result<Options, Error> {
    use lexopt::prelude::{Long, ValueExt};
    let mut options = Options {
        seed: 1,
        runs: 20_000,
        steps: 120,
        safe: gate::Safeguards::ALL,
        depth: None,
        other: Other::Nothing,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("runs") => options.runs = parser.value()?.parse()?,
            Long("steps") => options.steps = parser.value()?.parse()?,
            Long("depth") => options.depth = Some(parser.value()?.parse()?),
            Long("off") => {
                let name = parser.value()?.string()?;
                options.safe = report::without(&name).ok_or(Error::Safeguard(name))?;
            }
            Long("cost") => options.other = Other::Cost,
            Long("help") => options.other = Other::Help,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(options)
}
