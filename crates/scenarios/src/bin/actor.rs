//! The processes of a scenario: a thin wrapper around the product's command
//! line and the stand-ins.
//!
//! It ends with whoever holds its standard input, so that a scenario that is
//! killed leaves no process behind.

use std::ffi::OsString;
use std::io::{self, Read};
use std::process::ExitCode;
use std::thread;

/// Exit code after the scenario went away.
const ORPHANED: i32 = 99;

fn main() -> ExitCode {
    thread::spawn(|| {
        let _ = io::stdin().read_to_end(&mut Vec::new());
        std::process::exit(ORPHANED);
    });
    let mut args = std::env::args_os().skip(1);
    let program = args.next().unwrap_or_default();
    let args: Vec<OsString> = args.collect();
    if program == "standin" {
        return standin::run(args);
    }
    if program == "platform-standin" {
        return platform_standin::program::run(args);
    }
    if program == "auburnrouter" {
        return auburnrouter::run(args);
    }
    eprintln!("actor: say what to run: standin, platform-standin or auburnrouter");
    ExitCode::FAILURE
}
