//! `auburnrouter apply`: makes a change of the configuration.

use std::path::PathBuf;

use super::{client, files};
use crate::cli::{self, Command, Error, Exit};
use crate::daemon::{Change, ChangeAnswer, ChangeResult};

const NAME: &str = "apply";

/// The subcommand.
pub const COMMAND: Command = Command {
    name: NAME,
    about: "put a configuration in force",
    help: HELP,
    options: &[
        "over",
        "cap",
        "dry-run",
        "id",
        "settings",
        "operators",
        "secret-file",
        "json",
        "help",
    ],
    run,
};

const HELP: &str = "\
Usage: auburnrouter apply DIR --settings FILE [OPTIONS]

Puts the configuration in DIR in force: base.jsonc, overlay/SITE.jsonc and
blocks/*.txt. DIR may also be a base file alone. The change is verified and
judged first; a change that moves more traffic than its caps allow is refused,
unless the new cap is stated with it. It is then decided by one write: of two
operators at the same moment one wins, and the other sees a conflict.

Options:
  --over VERSION  the version this change started from; else the one that DIR
                  was written from by `show --to DIR`, else the one in force
  --cap SERVICE:FROM:TO=CAP
                  states a cap in requests a second; may be repeated
  --dry-run       only says what would change and move
  --id NAME       names the change, to ask for it later; else one is made up

Where to ask:
  --settings FILE     the settings of an instance: its operators' address and secret
  --operators ADDR    an instance's operators' address, instead of the settings'
  --secret-file FILE  file with the secret, instead of the settings'
  --json              print JSON, for scripts

Exit code 4 means that the answer of the store was lost and nobody can tell yet;
the line printed says how to find out.
";

/// Parsed command line.
#[derive(Default)]
struct Arguments {
    path: Option<PathBuf>,
    over: Option<u64>,
    caps: Vec<String>,
    dry_run: bool,
    id: Option<String>,
    client: client::Options,
}

fn run(mut args: lexopt::Parser) -> Result<Exit, Error> {
    let arguments = read(&mut args)?;
    let path = arguments.path.clone().ok_or(Error::Missing("DIR", NAME))?;
    Ok(match submit(&arguments, &path) {
        Ok(answer) => report(&answer, arguments.client.json),
        Err(error) => {
            eprintln!("auburnrouter: {error}");
            error.exit()
        }
    })
}

fn read(args: &mut lexopt::Parser) -> Result<Arguments, Error> {
    let mut arguments = Arguments::default();
    while let Some(arg) = cli::next(args, NAME)? {
        match &arg {
            cli::Arg::Value(path) if arguments.path.is_none() => arguments.path = Some(path.into()),
            cli::Arg::Long(name) if name == "over" => {
                arguments.over = Some(cli::number(args, "over", NAME)?);
            }
            cli::Arg::Long(name) if name == "cap" => arguments.caps.push(cli::text(args, NAME)?),
            cli::Arg::Long(name) if name == "id" => arguments.id = Some(cli::text(args, NAME)?),
            cli::Arg::Long(name) if name == "dry-run" => arguments.dry_run = true,
            arg => {
                if !arguments.client.take(arg, args, NAME)? {
                    return Err(cli::unexpected(arg, NAME));
                }
            }
        }
    }
    Ok(arguments)
}

/// The change has no answer to show.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Files(#[from] files::Error),
    #[error(transparent)]
    Client(#[from] client::Error),
    #[error("the answer was lost: {0}; find out by `auburnrouter status --change {1}`")]
    Lost(client::Error, String),
}

impl Failure {
    const fn exit(&self) -> Exit {
        match self {
            Self::Files(_) | Self::Client(_) => Exit::Unreachable,
            Self::Lost(..) => Exit::Unknown,
        }
    }
}

fn submit(arguments: &Arguments, path: &std::path::Path) -> Result<ChangeAnswer, Failure> {
    let operators = arguments.client.operators()?;
    let over = match arguments.over.or_else(|| files::version(path)) {
        Some(over) => over,
        None => client::config(&operators)?.version,
    };
    let change = Change {
        id: arguments.id.clone().unwrap_or_else(new_id),
        over,
        files: files::read(path)?,
        caps: arguments.caps.clone(),
        dry_run: arguments.dry_run,
    };
    client::change(&operators, &change).map_err(|e| match e {
        client::Error::Silent(..) if !arguments.dry_run => Failure::Lost(e, change.id.clone()),
        e => Failure::Client(e),
    })
}

/// A random id for a change.
pub fn new_id() -> String {
    format!("{:016x}", fastrand::u64(..))
}

/// Prints the result of a change and returns the exit code.
pub fn report(answer: &ChangeAnswer, json: bool) -> Exit {
    if json {
        cli::print(&format!(
            "{}\n",
            serde_json::to_string(answer).unwrap_or_default()
        ));
    } else {
        for line in &answer.lines {
            cli::print(&format!("{line}\n"));
        }
    }
    match answer.result {
        ChangeResult::Accepted | ChangeResult::WouldBe => Exit::Done,
        ChangeResult::Refused | ChangeResult::Conflict | ChangeResult::NotAccepted => Exit::Refused,
        ChangeResult::Unknown => Exit::Unknown,
    }
}
