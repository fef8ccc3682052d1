//! `emulator run|ablate|ceiling|check`: tries a policy in seconds on many seeds.

mod draw;
mod print;

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

use emulator::brain::Brain;
use emulator::plan::{Plan, Set};
use emulator::trial::Trial;
use lexopt::{Arg, ValueExt};
use steer::process::direct::mechanisms::Mechanisms;
use thiserror::Error;

const HELP: &str = "\
Usage: emulator run     FILE... [OPTIONS]   play files, compare who decides
       emulator ablate  FILE... [OPTIONS]   take out each mechanism, one by one
       emulator ceiling FILE... [OPTIONS]   the product against the ceiling and baselines
       emulator check   FILE...             read files, print every fault

A file is a deployment, its callers and what goes wrong, in JSON with comments:
docs/EMULATOR.md explains its fields. Runs are in virtual time; each instance is
the product's own decisions.

Options:
  --seeds N            runs of each file (default 20), on all cores
  --first N            the first seed (default 1)
  --brain NAME         who decides; may be repeated, the first is compared with:
                       product, ceiling, ceiling-free (without the bound on
                       shifts), least (least loaded at home), turn (in turn at
                       home); product-NAME-NAME is the product without mechanisms
  --without NAME[,..]  the product without these mechanisms, besides the product
  --set PATH=VALUE     replace a figure, such as callers.0.rate=60; may be repeated
  --against PATH=VALUE play the product with and without this replacement
  --json FILE          write every score as JSON
  --plots FOLDER       draw worth, load, share elsewhere and rejections over time
  --quiet              no progress

Mechanisms: ";

/// Runs unless told.
const SEEDS: usize = 20;

/// Most runs of one file.
const SEEDS_MOST: usize = 100_000;

/// A run can't be played.
#[derive(Debug, Error)]
enum Error {
    #[error("{0}; see emulator --help")]
    Usage(#[from] lexopt::Error),
    #[error("{0}; see emulator --help")]
    Brain(#[from] emulator::brain::Error),
    #[error("{0}")]
    Set(#[from] emulator::plan::SetError),
    #[error("{0}: {1}; name a file that can be read or written")]
    File(PathBuf, io::Error),
    #[error("{0}")]
    Faults(String),
    #[error(transparent)]
    Plot(#[from] report::plot::Error),
    #[error("the scores can't be written: {0}; report it")]
    Json(#[from] serde_json::Error),
    #[error("{0}; see emulator --help")]
    What(String),
}

/// The command line, read.
struct Wish {
    what: String,
    files: Vec<PathBuf>,
    seeds: usize,
    first: u64,
    brains: Vec<(String, Brain)>,
    sets: Vec<Set>,
    against: Vec<(String, Set)>,
    json: Option<PathBuf>,
    plots: Option<PathBuf>,
    quiet: bool,
}

fn main() -> ExitCode {
    match read().and_then(|wish| wish.map_or(Ok(true), |w| play(&w))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("emulator: {error}");
            ExitCode::from(2)
        }
    }
}

fn read() -> Result<Option<Wish>, Error> {
    let mut wish = Wish {
        what: String::new(),
        files: Vec::new(),
        seeds: SEEDS,
        first: 1,
        brains: Vec::new(),
        sets: Vec::new(),
        against: Vec::new(),
        json: None,
        plots: None,
        quiet: false,
    };
    let mut args = lexopt::Parser::from_env();
    while let Some(arg) = args.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => {
                println!("{HELP}{}", Mechanisms::NAMES.join(" "));
                return Ok(None);
            }
            Arg::Long("seeds") => {
                let seeds: usize = args.value()?.parse()?;
                wish.seeds = seeds.clamp(1, SEEDS_MOST);
            }
            Arg::Long("first") => wish.first = args.value()?.parse()?,
            Arg::Long("brain") => {
                let name = args.value()?.string()?;
                let brain = name.parse()?;
                wish.brains.push((name, brain));
            }
            Arg::Long("without") => {
                let names = args.value()?.string()?.replace(',', "-");
                let name = format!("product-{names}");
                let brain = name.parse()?;
                wish.brains.push((name, brain));
            }
            Arg::Long("set") => wish.sets.push(args.value()?.string()?.parse()?),
            Arg::Long("against") => {
                let text = args.value()?.string()?;
                let set = text.parse()?;
                wish.against.push((text, set));
            }
            Arg::Long("json") => wish.json = Some(args.value()?.into()),
            Arg::Long("plots") => wish.plots = Some(args.value()?.into()),
            Arg::Long("quiet") => wish.quiet = true,
            Arg::Value(what) if wish.what.is_empty() => wish.what = what.string()?,
            Arg::Value(file) => wish.files.push(file.into()),
            arg => return Err(arg.unexpected().into()),
        }
    }
    if wish.files.is_empty() {
        return Err(Error::What("no file is named".into()));
    }
    wish.brains = match (&*wish.what, wish.brains.is_empty()) {
        ("run" | "check", true) => vec![product()],
        ("run" | "check", false) if wish.brains[0].0.starts_with("product-") => {
            core::iter::once(product()).chain(wish.brains).collect()
        }
        ("run" | "check", false) => wish.brains,
        ("ablate", _) => ablated(),
        ("ceiling", _) => compared(),
        _ => return Err(Error::What(format!("there is no \"{}\"", wish.what))),
    };
    Ok(Some(wish))
}

fn product() -> (String, Brain) {
    ("product".into(), Brain::Product(Mechanisms::ALL))
}

fn ablated() -> Vec<(String, Brain)> {
    let out = Mechanisms::NAMES.iter().filter_map(|name| {
        let mechanisms = Mechanisms::ALL.without(name).ok()?;
        Some((format!("product-{name}"), Brain::Product(mechanisms)))
    });
    core::iter::once(product()).chain(out).collect()
}

fn compared() -> Vec<(String, Brain)> {
    let others = ["ceiling", "ceiling-free", "least", "turn"];
    let others = others.iter().filter_map(|name| {
        let brain = name.parse().ok()?;
        Some(((*name).to_owned(), brain))
    });
    core::iter::once(product()).chain(others).collect()
}

/// Plays all files; whether none has a fault.
fn play(wish: &Wish) -> Result<bool, Error> {
    let mut all = Vec::new();
    let mut sound = true;
    for file in &wish.files {
        let plan = match load(file, &wish.sets) {
            Ok(plan) => plan,
            Err(Error::Faults(text)) => {
                eprintln!("{text}");
                sound = false;
                continue;
            }
            Err(error) => return Err(error),
        };
        if wish.what == "check" {
            println!("{}: sound", file.display());
            continue;
        }
        let began = Instant::now();
        let trials = trials(wish, file, &plan)?;
        println!(
            "{}, seeds {} to {}, {:.1} s",
            file.display(),
            wish.first,
            wish.first + wish.seeds as u64 - 1,
            began.elapsed().as_secs_f64()
        );
        println!("{}", print::table(&trials));
        if let Some(folder) = &wish.plots {
            fs::create_dir_all(folder).map_err(|e| Error::File(folder.clone(), e))?;
            let stem = file.file_stem().unwrap_or_default().to_string_lossy();
            for path in draw::all(&plan, &trials[0], folder, &stem)? {
                eprintln!("drawn: {}", path.display());
            }
        }
        all.push((file.display().to_string(), trials));
    }
    if let Some(path) = &wish.json {
        let text = serde_json::to_vec_pretty(&all)?;
        fs::write(path, text).map_err(|e| Error::File(path.clone(), e))?;
    }
    Ok(sound)
}

fn load(file: &Path, sets: &[Set]) -> Result<Plan, Error> {
    let text = fs::read_to_string(file).map_err(|e| Error::File(file.to_owned(), e))?;
    Plan::parse(&file.display().to_string(), &text, sets).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        Error::Faults(lines.join("\n"))
    })
}

fn trials(wish: &Wish, file: &Path, plan: &Plan) -> Result<Vec<Trial>, Error> {
    let mut trials = Vec::new();
    for (name, brain) in &wish.brains {
        trials.push(trial(wish, name, plan, *brain));
    }
    for (name, set) in &wish.against {
        let sets: Vec<Set> = wish.sets.iter().chain([set]).cloned().collect();
        let plan = load(file, &sets)?;
        trials.push(trial(wish, name, &plan, wish.brains[0].1));
    }
    Ok(trials)
}

fn trial(wish: &Wish, name: &str, plan: &Plan, brain: Brain) -> Trial {
    let progress = |done: usize| {
        if !wish.quiet {
            eprint!("\r{name}: {done} of {}   ", wish.seeds);
            // Only a word on the way.
            let _ = io::stderr().flush();
        }
    };
    let trial = Trial::play(name, plan, brain, wish.first, wish.seeds, progress);
    if !wish.quiet {
        eprint!("\r{:60}\r", "");
    }
    trial
}
