//! `auburnrouter dump`: prints the state of a running instance.

use super::client;
use crate::cli::{self, Command, Error, Exit};

const NAME: &str = "dump";

/// The subcommand.
pub const COMMAND: Command = Command {
    name: NAME,
    about: "print the state of a running instance",
    help: HELP,
    options: client::NAMES,
    run,
};

const HELP: &str = "\
Usage: auburnrouter dump --settings FILE

Prints the whole state of a running instance as JSON: the configuration in
force, members, targets as it sees them, requests in flight. Works also while
the platform's store is away and while the instance is overloaded.

Where to ask:
  --settings FILE     the settings of an instance: its operators' address and secret
  --operators ADDR    an instance's operators' address, instead of the settings'
  --secret-file FILE  file with the secret, instead of the settings'
";

fn run(mut args: lexopt::Parser) -> Result<Exit, Error> {
    let mut options = client::Options::default();
    while let Some(arg) = cli::next(&mut args, NAME)? {
        if !options.take(&arg, &mut args, NAME)? {
            return Err(cli::unexpected(&arg, NAME));
        }
    }
    let answer = options.operators().and_then(|o| o.get("/dump"));
    Ok(match answer {
        Ok(answer) => {
            cli::print(&format!("{}\n", pretty(&answer.body)));
            Exit::Done
        }
        Err(error) => {
            eprintln!("auburnrouter: {error}");
            Exit::Unreachable
        }
    })
}

fn pretty(text: &str) -> String {
    let parsed = serde_json::from_str::<serde_json::Value>(text);
    let pretty = parsed
        .ok()
        .and_then(|v| serde_json::to_string_pretty(&v).ok());
    pretty.unwrap_or_else(|| text.to_owned())
}
