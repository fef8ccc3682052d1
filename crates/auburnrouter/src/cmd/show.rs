//! `auburnrouter show`: prints the configuration in force.

use std::path::PathBuf;

use super::{client, files};
use crate::cli::{self, Command, Error, Exit};

const NAME: &str = "show";

/// The subcommand.
pub const COMMAND: Command = Command {
    name: NAME,
    about: "print the configuration in force, or write it to a folder",
    help: HELP,
    options: &["to", "settings", "operators", "secret-file", "json", "help"],
    run,
};

const HELP: &str = "\
Usage: auburnrouter show --settings FILE [--to DIR]

Prints the files of the configuration in force at an instance. With --to they
are written into DIR, with a note of their version, ready to be edited and put
in force by `auburnrouter apply DIR`.

Options:
  --to DIR  write the files into DIR instead

Where to ask:
  --settings FILE     the settings of an instance: its operators' address and secret
  --operators ADDR    an instance's operators' address, instead of the settings'
  --secret-file FILE  file with the secret, instead of the settings'
  --json              print JSON, for scripts
";

fn run(mut args: lexopt::Parser) -> Result<Exit, Error> {
    let mut options = client::Options::default();
    let mut to: Option<PathBuf> = None;
    while let Some(arg) = cli::next(&mut args, NAME)? {
        match &arg {
            cli::Arg::Long(name) if name == "to" => to = Some(cli::text(&mut args, NAME)?.into()),
            arg => {
                if !options.take(arg, &mut args, NAME)? {
                    return Err(cli::unexpected(arg, NAME));
                }
            }
        }
    }
    let config = options.operators().and_then(|o| client::config(&o));
    let config = match config {
        Ok(config) => config,
        Err(error) => {
            eprintln!("auburnrouter: {error}");
            return Ok(Exit::Unreachable);
        }
    };
    if let Some(to) = to {
        return Ok(write(&to, &config));
    }
    print(&config, options.json);
    Ok(Exit::Done)
}

fn write(to: &std::path::Path, config: &files::Config) -> Exit {
    match files::write(to, config) {
        Ok(()) => {
            cli::print(&format!(
                "version {} written to {}\n",
                config.version,
                to.display()
            ));
            Exit::Done
        }
        Err(error) => {
            eprintln!("auburnrouter: {error}");
            Exit::Refused
        }
    }
}

fn print(config: &files::Config, json: bool) {
    if json {
        cli::print(&format!(
            "{}\n",
            serde_json::to_string(config).unwrap_or_default()
        ));
        return;
    }
    cli::print(&format!("// version {}\n", config.version));
    for file in &config.files {
        cli::print(&format!(
            "// file {}\n{}\n",
            file.name,
            file.text.trim_end()
        ));
    }
}
