//! `auburnrouter diff`: what a change would alter and move, before it does.

use std::path::PathBuf;

use intent::bundle::{Bundle, Checked};
use intent::diff;
use intent::moves::judge::{self, Stated};
use jsonc::fault::Fault;
use thiserror::Error;

use super::{client, given, json};
use crate::cli::{self, Command, Exit};

const NAME: &str = "diff";

/// The subcommand.
pub const COMMAND: Command = Command {
    name: NAME,
    about: "show what a change would alter and move, before it does",
    help: HELP,
    options: &[
        "from",
        "cap",
        "settings",
        "operators",
        "secret-file",
        "json",
        "help",
    ],
    run,
};

const HELP: &str = "\
Usage: auburnrouter diff PATH… --settings FILE [--cap …]
       auburnrouter diff PATH… --from PATH [--cap …]

Compares the configuration in PATH… with the one in force at an instance, or
with another one's files. Prints each setting that differs, then what traffic
may move for each service and pair of regions, as a share of a region's callers.
Files know no rates: what is told is what may move, never less than what does.

Options:
  --from PATH     compare with these files instead; may be repeated
  --cap SERVICE:FROM:TO=CAP
                  states a cap in requests a second, as for `apply`; may be
                  repeated; TO is \"none\" for callers that no region would take

Where to ask:
  --settings FILE     the settings of an instance: its operators' address and secret
  --operators ADDR    an instance's operators' address, instead of the settings'
  --secret-file FILE  file with the secret, instead of the settings'
  --json              print JSON, for scripts

Exit code 1 means that the files have faults, or that `apply` would refuse the
change as it is; the lines printed say why and what to do.
";

/// Parsed command line.
#[derive(Default)]
struct Arguments {
    paths: Vec<PathBuf>,
    from: Vec<PathBuf>,
    caps: Vec<Stated>,
    client: client::Options,
}

/// Why two configurations can't be compared.
#[derive(Debug, Error)]
enum Failed {
    #[error("auburnrouter: {0}")]
    Unread(#[from] given::Unread),
    #[error("auburnrouter: {0}")]
    Client(#[from] client::Error),
    #[error("auburnrouter: no base file among the {0}; name one, or its folder")]
    NoBase(&'static str),
    #[error("auburnrouter: nothing is in force yet; `auburnrouter check` verifies the files")]
    Nothing,
    #[error("{}", lines(.0))]
    Faults(Vec<Fault>),
}

impl Failed {
    const fn exit(&self) -> Exit {
        match self {
            Self::Unread(_) | Self::Client(_) | Self::Nothing => Exit::Unreachable,
            Self::NoBase(_) | Self::Faults(_) => Exit::Refused,
        }
    }
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

fn run(mut args: lexopt::Parser) -> Result<Exit, cli::Error> {
    let arguments = read(&mut args)?;
    if arguments.paths.is_empty() {
        return Err(cli::Error::Args("no file is given".into(), NAME));
    }
    let pair = old(&arguments).and_then(|old| Ok((old, files(&arguments.paths, "new files")?)));
    Ok(match pair {
        Ok((old, new)) => compare(&old, &new, &arguments),
        Err(error) => {
            eprintln!("{error}");
            error.exit()
        }
    })
}

fn read(args: &mut lexopt::Parser) -> Result<Arguments, cli::Error> {
    let mut arguments = Arguments::default();
    while let Some(arg) = cli::next(args, NAME)? {
        match &arg {
            cli::Arg::Value(path) => arguments.paths.push(path.into()),
            cli::Arg::Long(name) if name == "from" => {
                arguments.from.push(cli::text(args, NAME)?.into());
            }
            cli::Arg::Long(name) if name == "cap" => {
                let cap = cli::text(args, NAME)?.parse();
                let cap = cap.map_err(|e: judge::StatedError| e.to_string());
                arguments
                    .caps
                    .push(cap.map_err(|e| cli::Error::Args(e, NAME))?);
            }
            arg => {
                if !arguments.client.take(arg, args, NAME)? {
                    return Err(cli::unexpected(arg, NAME));
                }
            }
        }
    }
    Ok(arguments)
}

fn old(arguments: &Arguments) -> Result<Checked, Failed> {
    if !arguments.from.is_empty() {
        return files(&arguments.from, "old files");
    }
    let config = client::config(&arguments.client.operators()?)?;
    let bundle = given::in_force(&config).ok_or(Failed::Nothing)?;
    check(&bundle)
}

fn files(paths: &[PathBuf], what: &'static str) -> Result<Checked, Failed> {
    let bundle = given::InputFiles::read(paths)?.bundle();
    let bundle = bundle.map_err(Failed::Faults)?;
    check(&bundle.ok_or(Failed::NoBase(what))?)
}

fn check(bundle: &Bundle) -> Result<Checked, Failed> {
    bundle.check().map_err(Failed::Faults)
}

fn compare(old: &Checked, new: &Checked, arguments: &Arguments) -> Exit {
    let diff = diff::diff(old, new);
    let percent = new.base.move_percent;
    let refusals = judge::refusals(&diff.moves, percent, &[], &arguments.caps);
    let text = if arguments.client.json {
        let change = json::Change::new(&diff, &refusals);
        serde_json::to_string(&change).unwrap_or_default() + "\n"
    } else {
        let mut lines = vec![diff.to_string()];
        lines.extend(refusals.iter().map(|r| format!("refused: {r}\n")));
        lines.concat()
    };
    cli::print(&text);
    if refusals.is_empty() {
        Exit::Done
    } else {
        Exit::Refused
    }
}
