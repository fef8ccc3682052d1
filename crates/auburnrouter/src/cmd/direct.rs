//! `auburnrouter direct`: runs an entry instance on a platform whose store holds
//! everything that has to last.

use std::env;
use std::fs;
use std::path::{Path, PathBuf};

use settings::direct::Settings;

use crate::cli::{self, Command, Error, Exit};
use crate::direct;
use crate::logs;

const NAME: &str = "direct";

/// The subcommand.
pub const COMMAND: Command = Command {
    name: NAME,
    about: "run an entry instance on the users' platform",
    help: HELP,
    options: &["settings", "settings-var", "check", "help"],
    run,
};

const HELP: &str = "\
Usage: auburnrouter direct --settings FILE
       auburnrouter direct --settings-var NAME

Runs an entry instance on a platform: routes, targets and peers are found in
the platform's store, requests go straight to targets.

Options:
  --settings FILE      the instance's settings, JSON with comments
  --settings-var NAME  the environment variable that holds the file's path
  --check              verify the settings, print every fault, start nothing

Logs are lines of JSON on standard output. SIGTERM shuts it down gracefully: it
leaves the directory, finishes every request, and exits 0. SIGHUP reads the
settings again.
";

fn run(mut args: lexopt::Parser) -> Result<Exit, Error> {
    let mut file: Option<PathBuf> = None;
    let mut check = false;
    while let Some(arg) = cli::next(&mut args, NAME)? {
        match arg {
            cli::Arg::Long(name) if name == "settings" => {
                file = Some(cli::text(&mut args, NAME)?.into());
            }
            cli::Arg::Long(name) if name == "settings-var" => {
                let var = cli::text(&mut args, NAME)?;
                let path = env::var_os(&var).ok_or_else(|| {
                    Error::Args(format!("environment variable {var} is not set"), NAME)
                })?;
                file = Some(path.into());
            }
            cli::Arg::Long(name) if name == "check" => check = true,
            arg => return Err(cli::unexpected(&arg, NAME)),
        }
    }
    let file = file.ok_or(Error::Missing("settings", NAME))?;
    Ok(match read(&file) {
        Ok(_) if check => Exit::Done,
        Ok(settings) => serve(settings, &file),
        Err(exit) => exit,
    })
}

/// Reads and checks the settings; prints what is wrong with them.
fn read(file: &Path) -> Result<Settings, Exit> {
    let name = file.display().to_string();
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("auburnrouter: can't read {name}: {error}");
            return Err(Exit::Unreachable);
        }
    };
    Settings::parse(&name, &text).map_err(|faults| {
        for fault in faults {
            eprintln!("{fault}");
        }
        Exit::Refused
    })
}

fn serve(settings: Settings, file: &Path) -> Exit {
    let writer = match logs::start_events() {
        Ok(writer) => writer,
        Err(error) => {
            eprintln!("auburnrouter: {error}");
            return Exit::Refused;
        }
    };
    let ran = direct::run(settings, file);
    writer.finish();
    match ran {
        Ok(()) => Exit::Done,
        Err(error) => {
            eprintln!("auburnrouter: {error}");
            Exit::Refused
        }
    }
}
