//! Runs the whole path in one process, on stand-ins, for a first look: the
//! platform's store, the targets of a deployment, and its entry instances.
//!
//! Invariant: everything listens on loopback, on ports that the system gives,
//! and ends with the process.

mod fleet;
mod platform;

use std::env;
use std::process;
use std::time::Duration;

use futures_lite::{StreamExt, future};
use lexopt::prelude::*;

const HELP: &str = "\
Usage: demo [--deployment bluestone|tesfaye|platform] [--seconds N]

Starts a deployment on stand-ins in this process and prints commands to try.
`platform` is the product on its users' platform, in three failure domains.
Ends on Ctrl-C, or after N seconds.
";

struct Wish {
    deployment: String,
    span: Option<Duration>,
}

fn main() -> process::ExitCode {
    let wish = match read() {
        Ok(Some(wish)) => wish,
        Ok(None) => {
            print!("{HELP}");
            return process::ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("demo: {error}; see --help");
            return process::ExitCode::from(2);
        }
    };
    if wish.deployment == "platform" {
        return show_platform(wish.span);
    }
    match fleet::Fleet::start(&wish.deployment) {
        Ok(fleet) => {
            fleet.print_commands();
            wait(wish.span);
            fleet.stop();
            process::ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("demo: {error}");
            process::ExitCode::FAILURE
        }
    }
}

fn show_platform(span: Option<Duration>) -> process::ExitCode {
    match platform::Platform::start() {
        Ok(platform) => {
            platform.print_commands();
            wait(span);
            platform.stop();
            process::ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("demo: {error}");
            process::ExitCode::FAILURE
        }
    }
}

fn read() -> Result<Option<Wish>, lexopt::Error> {
    let mut wish = Wish {
        deployment: "bluestone".to_owned(),
        span: None,
    };
    let mut args = lexopt::Parser::from_iter(env::args_os());
    while let Some(arg) = args.next()? {
        match arg {
            Long("deployment") => wish.deployment = args.value()?.string()?,
            Long("seconds") => wish.span = Some(Duration::from_secs(args.value()?.parse()?)),
            Long("help") | Short('h') => return Ok(None),
            arg => return Err(arg.unexpected()),
        }
    }
    Ok(Some(wish))
}

fn wait(span: Option<Duration>) {
    let signals = [async_signal::Signal::Term, async_signal::Signal::Int];
    let signalled = async {
        match async_signal::Signals::new(signals) {
            Ok(mut signals) => {
                signals.next().await;
            }
            Err(_) => future::pending().await,
        }
    };
    let over = async {
        match span {
            Some(span) => {
                smol::Timer::after(span).await;
            }
            None => future::pending().await,
        }
    };
    smol::block_on(future::or(signalled, over));
}
