//! The command line: finds the subcommand, prints help, suggests similar names.
//!
//! Invariant: exit codes are those of [`Exit`], for every subcommand.

use std::ffi;
use std::io::{self, Write};
use std::process;

use lexopt::ValueExt;
use thiserror::Error;

use crate::cmd;

/// Exit codes; `--help` lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done as asked.
    Done = 0,
    /// The answer is "no": faults were found, or a change was refused or conflicts.
    Refused = 1,
    /// The command line itself is wrong; nothing was done.
    Usage = 2,
    /// A file or an instance could not be reached; nothing was done.
    Unreachable = 3,
    /// A change was sent, and its outcome is not known.
    Unknown = 4,
}

impl From<Exit> for process::ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// A command line that can't be run.
#[derive(Debug, Error)]
pub enum Error {
    /// There is no such subcommand.
    #[error("{0}; see `auburnrouter --help`")]
    Command(String),
    /// An option or argument is not understood.
    #[error("{0}; see `auburnrouter {1} --help`")]
    Args(String, &'static str),
    /// A required option is absent.
    #[error("option --{0} is missing; see `auburnrouter {1} --help`")]
    Missing(&'static str, &'static str),
}

/// One subcommand.
pub struct Command {
    /// Its name.
    pub name: &'static str,
    /// One line for the list.
    pub about: &'static str,
    /// The page that `--help` prints.
    pub help: &'static str,
    /// Long options it knows, to suggest one for an unknown option.
    pub options: &'static [&'static str],
    /// Runs it.
    pub run: fn(lexopt::Parser) -> Result<Exit, Error>,
}

/// Least similarity, from 0 to 1, at which a known name is suggested for an unknown one.
const SUGGESTION_SIMILARITY_MIN: f64 = 0.7;

const EXIT_CODES: &str = "\
Exit codes:
  0  done as asked
  1  asked and answered no: faults found, a conflict, a refusal
  2  the command line is wrong; nothing was done
  3  could not reach what was asked for; nothing was done
  4  a change was sent and its fate is not known
";

/// Runs a command line.
pub fn run(args: Vec<ffi::OsString>) -> process::ExitCode {
    let exit = match dispatch(args) {
        Ok(exit) => exit,
        Err(error) => {
            eprintln!("auburnrouter: {error}");
            Exit::Usage
        }
    };
    exit.into()
}

fn dispatch(args: Vec<ffi::OsString>) -> Result<Exit, Error> {
    let mut args = args.into_iter();
    let Some(first) = args.next() else {
        print_overview();
        return Ok(Exit::Usage);
    };
    let name = first.to_string_lossy();
    match &*name {
        "--help" | "-h" | "help" => {
            print_overview();
            return Ok(Exit::Done);
        }
        "--version" | "-V" => {
            println!("auburnrouter {}", env!("CARGO_PKG_VERSION"));
            return Ok(Exit::Done);
        }
        _ => {}
    }
    let Some(command) = cmd::ALL.iter().find(|c| c.name == name) else {
        let near = nearest(&name, cmd::ALL.iter().map(|c| c.name));
        return Err(Error::Command(unknown("command", &name, near)));
    };
    let rest: Vec<ffi::OsString> = args.collect();
    if rest.iter().any(|a| a == "--help" || a == "-h") {
        println!("{}\n{EXIT_CODES}", command.help.trim_end());
        return Ok(Exit::Done);
    }
    (command.run)(lexopt::Parser::from_args(rest))
}

fn print_overview() {
    println!("auburnrouter: a global traffic steering system\n");
    println!("Usage: auburnrouter COMMAND [OPTIONS]\n\nCommands:");
    for command in cmd::ALL {
        println!("  {:<8} {}", command.name, command.about);
    }
    println!("\n`auburnrouter COMMAND --help` explains each.\n\n{EXIT_CODES}");
}

/// Writes to standard output. Unlike `println!` it doesn't panic if the reader, such as
/// `head`, has closed it.
pub fn print(text: &str) {
    let _ = io::stdout().write_all(text.as_bytes());
}

/// One argument of a subcommand, apart from the parser it came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Arg {
    /// A long option, without its dashes.
    Long(String),
    /// A short option.
    Short(char),
    /// Anything else.
    Value(ffi::OsString),
}

/// The next argument, if any.
///
/// # Errors
/// If it is malformed.
pub fn next(args: &mut lexopt::Parser, command: &'static str) -> Result<Option<Arg>, Error> {
    let next = args.next().map_err(|e| malformed(&e, command))?;
    Ok(next.map(|arg| match arg {
        lexopt::Arg::Long(name) => Arg::Long(name.to_owned()),
        lexopt::Arg::Short(name) => Arg::Short(name),
        lexopt::Arg::Value(value) => Arg::Value(value),
    }))
}

/// The text given to an option.
///
/// # Errors
/// If there is none.
pub fn text(args: &mut lexopt::Parser, command: &'static str) -> Result<String, Error> {
    let value = args.value().map_err(|e| malformed(&e, command))?;
    value.string().map_err(|e| malformed(&e, command))
}

/// The number given to an option.
///
/// # Errors
/// If there is none, or it is no number.
pub fn number(
    args: &mut lexopt::Parser,
    option: &str,
    command: &'static str,
) -> Result<u64, Error> {
    let text = text(args, command)?;
    let wrong = |_| {
        Error::Args(
            format!("--{option} takes a whole number, not {text}"),
            command,
        )
    };
    text.parse().map_err(wrong)
}

/// The error for an argument that a subcommand doesn't know.
pub fn unexpected(arg: &Arg, command: &'static str) -> Error {
    let text = match arg {
        Arg::Long(name) => {
            let known = cmd::ALL.iter().find(|c| c.name == command);
            let options = known.map_or(&[][..], |c| c.options);
            let near = nearest(name, options.iter().copied()).map(|n| format!("--{n}"));
            unknown("option", &format!("--{name}"), near.as_deref())
        }
        Arg::Short(name) => unknown("option", &format!("-{name}"), None),
        Arg::Value(value) => format!("unexpected argument {}", value.display()),
    };
    Error::Args(text, command)
}

/// The error for an option whose value is absent or malformed.
pub fn malformed(error: &lexopt::Error, command: &'static str) -> Error {
    Error::Args(error.to_string(), command)
}

fn unknown(what: &str, name: &str, near: Option<&str>) -> String {
    match near {
        Some(near) => format!("unknown {what} {name}; did you mean {near}?"),
        None => format!("unknown {what} {name}"),
    }
}

fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    known
        .map(|k| (strsim::jaro_winkler(name, k), k))
        .filter(|(score, _)| *score >= SUGGESTION_SIMILARITY_MIN)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, k)| k)
}
