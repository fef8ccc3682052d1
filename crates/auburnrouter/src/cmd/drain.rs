//! `auburnrouter drain` and `undrain`: say that a site, target or entry
//! instance is leaving, or that it is back.

use jsonc::edit;

use super::{apply, client, files};
use crate::cli::{self, Command, Error, Exit};
use crate::daemon::{Change, ChangeAnswer};

const DRAIN: &str = "drain";
const UNDRAIN: &str = "undrain";

/// The subcommand `drain`.
pub const COMMAND: Command = Command {
    name: DRAIN,
    about: "say that a site, target or entry instance is leaving",
    help: DRAIN_HELP,
    options: OPTIONS,
    run: |args| run(args, DRAIN),
};

/// The subcommand `undrain`.
pub const REVERSE: Command = Command {
    name: UNDRAIN,
    about: "say that it is back",
    help: UNDRAIN_HELP,
    options: OPTIONS,
    run: |args| run(args, UNDRAIN),
};

const OPTIONS: &[&str] = &[
    "site",
    "target",
    "entry",
    "cap",
    "dry-run",
    "settings",
    "operators",
    "secret-file",
    "json",
    "help",
];

const DRAIN_HELP: &str = "\
Usage: auburnrouter drain (--site | --target | --entry) NAME --settings FILE

Says in the configuration in force that a site, a target or an entry instance is
leaving: it gets no new work within seconds, and finishes what it has. Nothing
else changes. A drain that moves more traffic than its caps allow is refused,
unless the new cap is stated with it.

Options:
  --site NAME    the site to drain
  --target NAME  the target to drain
  --entry NAME   the entry instance to drain
  --cap SERVICE:FROM:TO=CAP
                 states a cap in requests a second; may be repeated
  --dry-run      only says what would change and move

Where to ask:
  --settings FILE     the settings of an instance: its operators' address and secret
  --operators ADDR    an instance's operators' address, instead of the settings'
  --secret-file FILE  file with the secret, instead of the settings'
  --json              print JSON, for scripts
";

const UNDRAIN_HELP: &str = "\
Usage: auburnrouter undrain (--site | --target | --entry) NAME --settings FILE

Takes back a drain: the site, target or entry instance gets new work again, a
target slowly at first.

Options:
  --site NAME    the site
  --target NAME  the target
  --entry NAME   the entry instance
  --cap SERVICE:FROM:TO=CAP
                 states a cap in requests a second; may be repeated
  --dry-run      only says what would change and move

Where to ask:
  --settings FILE     the settings of an instance: its operators' address and secret
  --operators ADDR    an instance's operators' address, instead of the settings'
  --secret-file FILE  file with the secret, instead of the settings'
  --json              print JSON, for scripts
";

/// What leaves: the list in the base file, and a name.
struct What {
    list: &'static str,
    name: String,
}

#[derive(Default)]
struct Arguments {
    what: Option<What>,
    caps: Vec<String>,
    dry_run: bool,
    client: client::Options,
}

/// Why a drain was not made.
#[derive(Debug, thiserror::Error)]
enum Failed {
    #[error(transparent)]
    Client(#[from] client::Error),
    #[error("no configuration is in force; put one in force by `auburnrouter apply`")]
    Nothing,
    #[error(transparent)]
    Edit(#[from] edit::Error),
}

fn run(mut args: lexopt::Parser, name: &'static str) -> Result<Exit, Error> {
    let arguments = read(&mut args, name)?;
    let what = arguments.what.as_ref();
    let what = what.ok_or(Error::Missing("site, --target or --entry", name))?;
    Ok(match make(&arguments, what, name == DRAIN) {
        Ok(made) => apply::report(&made, arguments.client.json),
        Err(error) => {
            eprintln!("auburnrouter: {error}");
            match error {
                Failed::Client(_) => Exit::Unreachable,
                Failed::Nothing | Failed::Edit(_) => Exit::Refused,
            }
        }
    })
}

fn read(args: &mut lexopt::Parser, command: &'static str) -> Result<Arguments, Error> {
    let mut arguments = Arguments::default();
    while let Some(arg) = cli::next(args, command)? {
        let list = match &arg {
            cli::Arg::Long(name) if name == "site" => "sites",
            cli::Arg::Long(name) if name == "target" => "targets",
            cli::Arg::Long(name) if name == "entry" => "entries",
            cli::Arg::Long(name) if name == "cap" => {
                arguments.caps.push(cli::text(args, command)?);
                continue;
            }
            cli::Arg::Long(name) if name == "dry-run" => {
                arguments.dry_run = true;
                continue;
            }
            arg if arguments.client.take(arg, args, command)? => continue,
            arg => return Err(cli::unexpected(arg, command)),
        };
        let name = cli::text(args, command)?;
        arguments.what = Some(What { list, name });
    }
    Ok(arguments)
}

fn make(arguments: &Arguments, what: &What, drain: bool) -> Result<ChangeAnswer, Failed> {
    let operators = arguments.client.operators()?;
    let files::Config { version, mut files } = client::config(&operators)?;
    let base = files.iter_mut().find(|f| f.name == "base");
    let base = base.ok_or(Failed::Nothing)?;
    base.text = if drain {
        edit::list_add(&base.text, "drain", what.list, &what.name)?
    } else {
        edit::list_remove(&base.text, "drain", what.list, &what.name)?
    };
    let change = Change {
        id: apply::new_id(),
        over: version,
        files,
        caps: arguments.caps.clone(),
        dry_run: arguments.dry_run,
    };
    Ok(client::change(&operators, &change)?)
}
