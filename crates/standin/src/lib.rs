//! Small stand-ins for the platform and for targets. Never published.
//!
//! A stand-in runs as a process of its own ([`run`]) or embedded in a test or
//! demo ([`store::Store`], [`target::Target`]). Invariant: a stand-in keeps to
//! the protocols of the `wire` crate until a fault is switched on, and tells
//! through its `/stats` or `/executed` what really happened.

use std::process::ExitCode;

mod command;
mod http;
pub mod memory;
mod server;
pub mod store;
pub mod table;
pub mod target;

/// Runs a stand-in as a process: `store …` or `target …`, with `args` not
/// holding the program's name. Returns once the process was asked to stop.
pub fn run(args: impl IntoIterator<Item = std::ffi::OsString>) -> ExitCode {
    match command::run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}
