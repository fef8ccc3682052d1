//! Runs storms one after the other: `storm --seed N --seconds S [--count C] [--trace]`.
//! The actor is the binary of that name in the same folder.

use std::process::ExitCode;
use std::time::Duration;

use lexopt::{Arg, Parser, ValueExt};
use scenarios::storm::{self, Plan};

struct Wish {
    seed: u64,
    seconds: u64,
    count: u64,
    trace: bool,
}

fn main() -> ExitCode {
    let wish = match read() {
        Ok(wish) => wish,
        Err(error) => {
            eprintln!("storm: {error}; usage: storm --seed N --seconds S [--count C] [--trace]");
            return ExitCode::from(2);
        }
    };
    let mut code = ExitCode::SUCCESS;
    for seed in wish.seed..wish.seed + wish.count {
        if !one(seed, Duration::from_secs(wish.seconds), wish.trace) {
            code = ExitCode::FAILURE;
        }
    }
    code
}

fn read() -> Result<Wish, lexopt::Error> {
    let mut wish = Wish {
        seed: 1,
        seconds: 20,
        count: 1,
        trace: false,
    };
    let mut parser = Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("seed") => wish.seed = parser.value()?.parse()?,
            Arg::Long("seconds") => wish.seconds = parser.value()?.parse()?,
            Arg::Long("count") => wish.count = parser.value()?.parse()?,
            Arg::Long("trace") => wish.trace = true,
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(wish)
}

/// Whether the storm of this seed passed.
fn one(seed: u64, span: Duration, trace: bool) -> bool {
    let Ok(program) = std::env::current_exe() else {
        eprintln!("storm: the folder of this program can't be told");
        return false;
    };
    let actor = program.with_file_name("actor");
    let dir = std::env::temp_dir().join(format!("storm-{}-{seed}", std::process::id()));
    let report = match storm::run(&actor, &dir, Plan { seed, span }) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("storm of seed {seed}: {error}");
            return false;
        }
    };
    println!("{}", report.summary(seed));
    if trace || !report.faults.is_empty() {
        println!("{}", report.trace.join("\n"));
    }
    report.faults.is_empty()
}
