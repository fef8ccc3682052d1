//! The stand-ins as a program of their own.

use std::process::ExitCode;

fn main() -> ExitCode {
    standin::run(std::env::args_os().skip(1))
}
