//! Plays the cases of the review: `standin CASE FOLDER`, run in the repository.
//!
//! Exit code 0: the rule held; 1: it was broken; 2: the case could not run.

#![allow(dead_code, reason = "each case uses a part of the stand-ins")]

mod config;
mod config_storm;
mod deployment;
mod http;
mod instance;
mod json;
mod late_report;
mod record;
mod slow_reader;
mod store;
mod target;

use std::panic::AssertUnwindSafe;
use std::path::Path;
use std::process::ExitCode;

use record::{Record, Verdict};

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &words[..] else {
        eprintln!("usage: standin CASE FOLDER");
        return Verdict::NotRun.code();
    };
    let Ok(record) = Record::create(Path::new(folder)) else {
        eprintln!("record.txt can't be written in {folder}");
        return Verdict::NotRun.code();
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let play = || match &**case {
        "config-storm" => config_storm::run(&record, is_troubled),
        "late-report" => late_report::run(&record, is_troubled),
        "slow-reader" => slow_reader::run(&record, is_troubled),
        _ => Verdict::NotRun,
    };
    // A stand-in that fails shows nothing.
    let verdict = std::panic::catch_unwind(AssertUnwindSafe(play)).unwrap_or(Verdict::NotRun);
    record.line(&format!("{verdict:?}"));
    println!("{verdict:?}");
    verdict.code()
}
