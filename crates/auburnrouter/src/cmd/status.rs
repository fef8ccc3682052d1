//! `auburnrouter status`: which version is in force where.

use serde::Deserialize;

use super::client;
use crate::cli::{self, Command, Error, Exit};
use crate::daemon::Status;

const NAME: &str = "status";

/// The subcommand.
pub const COMMAND: Command = Command {
    name: NAME,
    about: "say which version is in force at every instance, or what became of a change",
    help: HELP,
    options: &[
        "change",
        "settings",
        "operators",
        "secret-file",
        "json",
        "help",
    ],
    run,
};

const HELP: &str = "\
Usage: auburnrouter status --settings FILE [--change ID]

Prints the version in force at every entry instance that the one asked can
reach, and names those it can't. Exits 1 if an instance was not reached or is
behind.

Options:
  --change ID  says instead whether the change of this name was accepted; exits
               0 if so, 1 if not, 4 if nobody can tell any more

Where to ask:
  --settings FILE     the settings of an instance: its operators' address and secret
  --operators ADDR    an instance's operators' address, instead of the settings'
  --secret-file FILE  file with the secret, instead of the settings'
  --json              print JSON, for scripts
";

/// The answer about a change.
#[derive(Debug, Deserialize)]
struct Fate {
    accepted: Option<bool>,
}

fn run(mut args: lexopt::Parser) -> Result<Exit, Error> {
    let mut options = client::Options::default();
    let mut change: Option<String> = None;
    while let Some(arg) = cli::next(&mut args, NAME)? {
        match &arg {
            cli::Arg::Long(name) if name == "change" => {
                change = Some(cli::text(&mut args, NAME)?);
            }
            arg => {
                if !options.take(arg, &mut args, NAME)? {
                    return Err(cli::unexpected(arg, NAME));
                }
            }
        }
    }
    let asked = options.operators().and_then(|operators| match &change {
        Some(id) => fate(&operators, id),
        None => everywhere(&operators, options.json),
    });
    Ok(asked.unwrap_or_else(|error| {
        eprintln!("auburnrouter: {error}");
        Exit::Unreachable
    }))
}

fn fate(operators: &client::Operators, id: &str) -> Result<Exit, client::Error> {
    let fate: Fate = operators.read(&format!("/changes/{id}"))?;
    let (word, exit) = match fate.accepted {
        Some(true) => ("accepted", Exit::Done),
        Some(false) => ("not accepted", Exit::Refused),
        None => ("unknown: too many changes have followed", Exit::Unknown),
    };
    cli::print(&format!("change {id}: {word}\n"));
    Ok(exit)
}

fn everywhere(operators: &client::Operators, json: bool) -> Result<Exit, client::Error> {
    let status: Status = operators.read("/status")?;
    if json {
        cli::print(&format!(
            "{}\n",
            serde_json::to_string(&status).unwrap_or_default()
        ));
    } else {
        print(&status);
    }
    let whole = status
        .entries
        .iter()
        .all(|e| e.version == Some(status.version));
    Ok(if whole { Exit::Done } else { Exit::Refused })
}

fn print(status: &Status) {
    cli::print(&format!(
        "version {} in force at {}\n",
        status.version, status.name
    ));
    for entry in &status.entries {
        let version = match entry.version {
            Some(version) => format!("version {version}"),
            None => "not reached".to_owned(),
        };
        cli::print(&format!(
            "  {:<16} {:<16} {version}\n",
            entry.name, entry.domain
        ));
    }
}
