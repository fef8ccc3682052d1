//! `auburnrouter entry`: runs an entry instance until it is told to stop.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use futures_lite::{StreamExt, future};
use serde::Serialize;

use crate::cli::{self, Command, Error, Exit};
use crate::{daemon, logs};

const NAME: &str = "entry";

/// The subcommand.
pub const COMMAND: Command = Command {
    name: NAME,
    about: "run an entry instance",
    help: HELP,
    options: &["settings", "help"],
    run,
};

const HELP: &str = "\
Usage: auburnrouter entry --settings FILE

Runs an entry instance: answers look-ups, takes requests from callers, sends
them to targets of its failure domain or to entry instances of others.

Options:
  --settings FILE  the instance's settings, JSON with comments

Once it listens it prints one line of JSON to standard output, with the
addresses in use:
  {\"ready\":{\"name\":\"seq-1-a\",\"callers\":\"127.0.0.1:8000\",...}}
Logs go to standard error, or to the file that the settings name.

SIGTERM and SIGINT shut it down gracefully: it leaves the look-ups' answers,
tells its peers, finishes every request in flight, and exits 0. So it does when
a newer process has taken its name over. A second signal ends it at once.
";

#[derive(Serialize)]
struct Ready<'a> {
    ready: &'a daemon::Addresses,
}

fn run(mut args: lexopt::Parser) -> Result<Exit, Error> {
    let mut file: Option<PathBuf> = None;
    while let Some(arg) = cli::next(&mut args, NAME)? {
        match arg {
            cli::Arg::Long(name) if name == "settings" => {
                file = Some(cli::text(&mut args, NAME)?.into());
            }
            arg => return Err(cli::unexpected(&arg, NAME)),
        }
    }
    let file = file.ok_or(Error::Missing("settings", NAME))?;
    Ok(serve(&file))
}

fn serve(file: &Path) -> Exit {
    let name = file.display().to_string();
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("auburnrouter: can't read {name}: {error}");
            return Exit::Unreachable;
        }
    };
    let settings = match settings::Settings::parse(&name, &text) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return Exit::Refused;
        }
    };
    match start(settings, file) {
        Ok(running) => wait(running),
        Err(error) => {
            eprintln!("auburnrouter: {error}");
            Exit::Refused
        }
    }
}

fn start(settings: settings::Settings, file: &Path) -> Result<daemon::Running, StartError> {
    let level = settings.log.level.parse().unwrap_or(log::LevelFilter::Info);
    let target = settings.log.file.as_ref().map(|p| p.display().to_string());
    logs::start(level, target.as_deref())?;
    let running = daemon::Bound::new(settings, Some(file))?.start()?;
    Ok(running)
}

#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error(transparent)]
    Logs(#[from] logs::Error),
    #[error(transparent)]
    Daemon(#[from] daemon::Error),
}

fn wait(running: daemon::Running) -> Exit {
    let signals = [async_signal::Signal::Term, async_signal::Signal::Int];
    let mut signals = match async_signal::Signals::new(signals) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("auburnrouter: can't wait for signals: {error}");
            running.stop();
            return Exit::Refused;
        }
    };
    announce(running.addresses());
    let signalled = async {
        signals.next().await;
    };
    smol::block_on(future::or(signalled, running.replaced()));
    let second = std::thread::spawn(move || {
        smol::block_on(signals.next());
        std::process::exit(1);
    });
    running.stop();
    drop(second);
    Exit::Done
}

fn announce(addresses: &daemon::Addresses) {
    let line = serde_json::to_string(&Ready { ready: addresses }).unwrap_or_default();
    // A closed standard output means that nobody waits for the line.
    let _ = writeln!(io::stdout(), "{line}");
    let _ = io::stdout().flush();
}
