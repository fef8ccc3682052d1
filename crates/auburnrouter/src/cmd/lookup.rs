//! `auburnrouter lookup`: asks an instance which instances a caller should use.

use std::net::SocketAddr;

use lexopt::ValueExt;

use super::client;
use crate::cli::{self, Command, Error, Exit};

const NAME: &str = "lookup";

/// The subcommand.
pub const COMMAND: Command = Command {
    name: NAME,
    about: "ask which entry instances a caller should use",
    help: HELP,
    options: &["at", "service", "client", "help"],
    run,
};

const HELP: &str = "\
Usage: auburnrouter lookup --at ADDR --service NAME [--client IP]

Asks an instance, at its callers' address, which entry instances a caller
should use for a service, and prints the answer as JSON. No secret is needed:
this is what callers do.

Options:
  --at ADDR       callers' address of any entry instance
  --service NAME  the service
  --client IP     the caller's address, if it isn't this machine's
";

fn run(mut args: lexopt::Parser) -> Result<Exit, Error> {
    let wrong = |e: lexopt::Error| cli::malformed(&e, NAME);
    let mut at: Option<SocketAddr> = None;
    let mut service: Option<String> = None;
    let mut caller: Option<String> = None;
    while let Some(arg) = cli::next(&mut args, NAME)? {
        match &arg {
            cli::Arg::Long(name) if name == "at" => {
                at = Some(args.value().and_then(|v| v.parse()).map_err(wrong)?);
            }
            cli::Arg::Long(name) if name == "service" => {
                service = Some(cli::text(&mut args, NAME)?);
            }
            cli::Arg::Long(name) if name == "client" => {
                caller = Some(cli::text(&mut args, NAME)?);
            }
            _ => return Err(cli::unexpected(&arg, NAME)),
        }
    }
    let at = at.ok_or(Error::Missing("at", NAME))?;
    let service = service.ok_or(Error::Missing("service", NAME))?;
    let mut url = format!("http://{at}/lookup?service={service}");
    if let Some(caller) = caller {
        url = format!("{url}&client={caller}");
    }
    Ok(ask(&url))
}

fn ask(url: &str) -> Exit {
    match client::call(client::client().get(url)) {
        Ok(answer) => {
            cli::print(&format!("{}\n", answer.body));
            if answer.status == 200 {
                Exit::Done
            } else {
                Exit::Refused
            }
        }
        Err(error) => {
            eprintln!("auburnrouter: no answer from {url}: {error}");
            Exit::Unreachable
        }
    }
}
