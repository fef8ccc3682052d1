//! The subcommands of the one binary, and the drivers around the decisions.
//!
//! Invariant: whatever decides lives in crate `steer`; the code here only
//! carries events to it and its actions out.

mod cli;
mod cmd;
pub mod daemon;
pub mod direct;
mod logs;

use std::ffi;
use std::process;

/// Runs one command line, without the program's name, to its exit code.
pub fn run(args: impl IntoIterator<Item = ffi::OsString>) -> process::ExitCode {
    cli::run(args.into_iter().collect())
}
