//! `auburnrouter report`: where requests lose out, from instances' log lines.

use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use report::log::Log;
use report::tally::Report;
use report::trace::Trace;
use report::{plot, table};

use crate::cli::{self, Command, Error, Exit};

const NAME: &str = "report";

/// The subcommand.
pub const COMMAND: Command = Command {
    name: NAME,
    about: "where requests lose out, from instances' log lines",
    help: HELP,
    options: &["span", "plots", "json", "help"],
    run,
};

const HELP: &str = "\
Usage: auburnrouter report [OPTIONS] FILE...

Reads the log lines of instances of `auburnrouter direct` and prints what became
of requests: by route, region, instance and span of time; by what late ones lost
their objective; why others were rejected; and how many of both would have had a
free slot in a region that they were allowed. FILE is one instance's lines, or
those of all with the instance's name before each (and the time in seconds
before that, if the collector notes it); - is standard input.

Options:
  --span SECONDS  width of a span (default 2)
  --plots FOLDER  draw the spans as SVG into a folder
  --json          print JSON instead of tables
";

/// Width of a span in seconds unless told: the window in which the users' rules
/// on shifts count.
const SPAN: f64 = 2.0;

struct Arguments {
    files: Vec<PathBuf>,
    span: f64,
    plots: Option<PathBuf>,
    json: bool,
}

fn run(args: lexopt::Parser) -> Result<Exit, Error> {
    let arguments = read(args)?;
    let mut log = Log::default();
    for file in &arguments.files {
        match text(file) {
            Ok(text) => log.read(&name(file), &text),
            Err(error) => {
                eprintln!(
                    "auburnrouter: {}: {error}; name a file of log lines",
                    file.display()
                );
                return Ok(Exit::Unreachable);
            }
        }
    }
    log.finish();
    let trace = Trace::of(&log);
    if trace.requests.is_empty() {
        eprintln!(
            "auburnrouter: no line tells of a request; collect the lines of `auburnrouter direct`"
        );
        return Ok(Exit::Refused);
    }
    let report = Report::of(&log, &trace, arguments.span);
    let printed = if arguments.json {
        serde_json::to_string_pretty(&report).map_err(|e| e.to_string())
    } else {
        table::print(&report).map_err(|e| e.to_string())
    };
    match printed {
        Ok(text) => cli::print(&format!("{text}\n")),
        Err(error) => {
            eprintln!("auburnrouter: the report can't be printed: {error}; report it");
            return Ok(Exit::Refused);
        }
    }
    Ok(arguments
        .plots
        .map_or(Exit::Done, |folder| draw(&report, &folder)))
}

fn read(mut args: lexopt::Parser) -> Result<Arguments, Error> {
    let mut arguments = Arguments {
        files: Vec::new(),
        span: SPAN,
        plots: None,
        json: false,
    };
    while let Some(arg) = cli::next(&mut args, NAME)? {
        match arg {
            cli::Arg::Long(name) if name == "span" => {
                let text = cli::text(&mut args, NAME)?;
                let span = text.parse().ok().filter(|s| (0.1..=86_400.0).contains(s));
                let wrong = || Error::Args(format!("--span takes seconds, not {text}"), NAME);
                arguments.span = span.ok_or_else(wrong)?;
            }
            cli::Arg::Long(name) if name == "plots" => {
                arguments.plots = Some(cli::text(&mut args, NAME)?.into());
            }
            cli::Arg::Long(name) if name == "json" => arguments.json = true,
            cli::Arg::Value(file) => arguments.files.push(file.into()),
            arg => return Err(cli::unexpected(&arg, NAME)),
        }
    }
    if arguments.files.is_empty() {
        return Err(Error::Args("no file of log lines is named".into(), NAME));
    }
    Ok(arguments)
}

fn text(file: &Path) -> io::Result<String> {
    let mut bytes = Vec::new();
    if file == Path::new("-") {
        io::stdin().read_to_end(&mut bytes)?;
    } else {
        bytes = fs::read(file)?;
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn name(file: &Path) -> String {
    let stem = file.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}

fn draw(report: &Report, folder: &Path) -> Exit {
    let drawn = fs::create_dir_all(folder)
        .map_err(|e| format!("{}: {e}; name a folder that can be made", folder.display()))
        .and_then(|()| plot::draw(report, folder).map_err(|e| e.to_string()));
    match drawn {
        Ok(files) => {
            for file in files {
                eprintln!("drawn: {}", file.display());
            }
            Exit::Done
        }
        Err(error) => {
            eprintln!("auburnrouter: {error}");
            Exit::Refused
        }
    }
}
