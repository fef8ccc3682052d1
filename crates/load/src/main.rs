//! A small load-and-measure tool on the stand-ins.
//!
//! `load path` sends requests to a target directly and through an entry
//! instance; `load lookup` asks for look-ups over HTTP and of the decision
//! alone; `load memory` measures entry instances with the target's
//! configuration; `load callers` sends requests of the users' platform, also in
//! pipelines; `load fleet` sizes the configuration, `load changes` times
//! changes. Invariant: traffic stays on loopback, bounded in count and time.

mod callers;
mod changes;
mod decision;
mod drive;
mod fleet;
mod memory;
mod setup;
mod shape;

use std::env;
use std::process;
use std::time::Duration;

use lexopt::prelude::*;

const HELP: &str = "\
Usage: load path|lookup|callers|memory|fleet|changes [--seconds N] [--connections N]... [--threads N]

  path    requests to a target directly, and through an entry instance
  lookup  look-ups over HTTP, and of the decision alone
  callers requests on the users' platform, alone and in pipelines; processor
          time of the thread that serves them
  memory  memory and processor time of entry instances as processes, with the
          target's configuration and up to 830,000 client blocks; wants the
          program built: cargo build --release -p auburnrouter
  fleet   bytes and time of the configuration, by sites and by services
  changes time until a change is in force, peers' bytes and store calls, with 7,
          20, 40 and 80 entry instances

  --seconds N      time of each run, 1 to 30 (default 3)
  --connections N  connections of a run; may be repeated (default 1, 16, 64)
  --threads N      traffic threads of the entry instance (default 4)
";

/// Longest run in seconds.
const SECONDS_MAX: u64 = 30;

/// The command line, read.
struct Wish {
    what: String,
    span: Duration,
    connections: Vec<usize>,
    threads: u64,
}

fn main() -> process::ExitCode {
    let wish = match read() {
        Ok(Some(wish)) => wish,
        Ok(None) => {
            print!("{HELP}");
            return process::ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("load: {error}; see --help");
            return process::ExitCode::from(2);
        }
    };
    match run(&wish) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("load: {error}");
            process::ExitCode::FAILURE
        }
    }
}

fn read() -> Result<Option<Wish>, lexopt::Error> {
    let mut wish = Wish {
        what: String::new(),
        span: Duration::from_secs(3),
        connections: Vec::new(),
        threads: 4,
    };
    let mut args = lexopt::Parser::from_iter(env::args_os());
    while let Some(arg) = args.next()? {
        match arg {
            Long("seconds") => {
                let seconds: u64 = args.value()?.parse()?;
                wish.span = Duration::from_secs(seconds.clamp(1, SECONDS_MAX));
            }
            Long("connections") => wish.connections.push(args.value()?.parse()?),
            Long("threads") => wish.threads = args.value()?.parse()?,
            Long("help") | Short('h') => return Ok(None),
            Value(what) if wish.what.is_empty() => wish.what = what.string()?,
            arg => return Err(arg.unexpected()),
        }
    }
    if wish.connections.is_empty() {
        wish.connections = vec![1, 16, 64];
    }
    Ok((!wish.what.is_empty()).then_some(wish))
}

fn run(wish: &Wish) -> Result<(), setup::Error> {
    match wish.what.as_str() {
        "callers" => return callers::print(wish.span),
        "memory" => return memory::print(),
        "fleet" => return fleet::print(),
        "changes" => return changes::print(),
        _ => {}
    }
    let path = setup::Path::start(wish.threads)?;
    println!(
        "one process; {} s a run; entry instance with {} traffic threads",
        wish.span.as_secs(),
        wish.threads
    );
    println!("{}", drive::HEADER);
    for &connections in &wish.connections {
        for run in path.runs(&wish.what) {
            let report = drive::drive(&run, connections, wish.span);
            println!("{report}");
        }
    }
    path.stop();
    if wish.what == "lookup" {
        decision::print();
    }
    Ok(())
}
