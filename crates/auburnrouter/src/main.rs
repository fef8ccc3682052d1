//! The driver binary: hands its arguments to [`auburnrouter::run`].

use std::env;
use std::process;

fn main() -> process::ExitCode {
    auburnrouter::run(env::args_os().skip(1))
}
