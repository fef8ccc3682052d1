//! Stand-ins of the users' platform for the cases of the second review: the store,
//! targets and callers, each as far as the cases need it. Standard library only.
//!
//! `standin CASE PROGRAM RECORD` plays a case against `PROGRAM`, writes what was sent,
//! answered and run to `RECORD`, and exits with 1 if the rule was broken, 0 if it held, 2
//! if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod http;
mod instance;
mod json;
mod record;
mod socket;
mod store;
mod target;

use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;
use std::time::Duration;

/// Longest time that a case may take.
const CASE_TIMEOUT: Duration = Duration::from_secs(115);

/// Why a case could not be judged.
pub type Failure = Box<dyn std::error::Error>;

/// What a case has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, file] = args.as_slice() else {
        eprintln!("standin CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::thread::spawn(|| {
        std::thread::sleep(CASE_TIMEOUT);
        instance::kill_all();
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let record = match record::Record::create(file) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{file}: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let play = || cases::play(case, program, &record, has_trouble);
    let result = panic::catch_unwind(AssertUnwindSafe(play));
    instance::kill_all();
    let result = result.unwrap_or_else(|_| Err("the stand-in panicked".into()));
    match result {
        Ok(Verdict::Held) => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("verdict: the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
