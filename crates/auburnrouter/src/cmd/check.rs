//! `auburnrouter check`: verifies settings and configurations.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;

use intent::bundle::{self, Checked};
use intent::listing;
use jsonc::fault::{Fault, Kind, Place};
use serde::Serialize;
use settings::{Settings, direct, secret};

use super::{given, json};
use crate::cli::{self, Command, Error, Exit};

const NAME: &str = "check";

/// The subcommand.
pub const COMMAND: Command = Command {
    name: NAME,
    about: "verify settings, base files, overlays and client blocks",
    help: HELP,
    options: &["site", "quiet", "json", "help"],
    run,
};

const HELP: &str = "\
Usage: auburnrouter check PATH… [OPTIONS]

Verifies files and prints every fault as file:line:column: message; remedy.
Without a fault it prints what the files mean: settings with their defaults, the
configuration, and for each site that has an overlay all merged values, each
with the file, line and column that it comes from, or \"default\".

A path is a file or a folder as `apply` takes it: base.jsonc,
overlay/SITE.jsonc, blocks/*.txt; settings may lie beside the base file, those of
`direct` too. What a file is, is told by its fields, block files by their ending .txt.
Nothing is asked of any instance.

Options:
  --site SITE  print the merged values of this site only
  --quiet      print faults only
  --json       print JSON, for scripts

After a syntax error the rest of that file is not looked at.
";

/// Parsed command line.
#[derive(Default)]
struct Arguments {
    paths: Vec<PathBuf>,
    site: Option<String>,
    quiet: bool,
    json: bool,
}

/// What the files are.
struct Found {
    settings: Vec<(String, Settings)>,
    direct: Vec<(String, direct::Settings)>,
    checked: Option<Checked>,
    faults: Vec<Fault>,
}

fn run(mut args: lexopt::Parser) -> Result<Exit, Error> {
    let arguments = read(&mut args)?;
    if arguments.paths.is_empty() {
        return Err(Error::Args("no file is given".into(), NAME));
    }
    let given = match given::InputFiles::read(&arguments.paths) {
        Ok(given) => given,
        Err(error) => {
            eprintln!("auburnrouter: {error}");
            return Ok(Exit::Unreachable);
        }
    };
    let found = verify(given);
    if let Some(site) = &arguments.site
        && let Some(checked) = &found.checked
        && checked.base.site(site).is_none()
    {
        let known = checked.base.sites.values().map(|s| &*s.name);
        let remedy = jsonc::nearest::remedy(site, known);
        let message = format!("no site \"{site}\" in the base; {remedy}");
        return Err(Error::Args(message, NAME));
    }
    let text = if arguments.json {
        json(&found, &arguments)
    } else {
        text(&found, &arguments)
    };
    cli::print(&text);
    Ok(if found.faults.is_empty() {
        Exit::Done
    } else {
        Exit::Refused
    })
}

fn read(args: &mut lexopt::Parser) -> Result<Arguments, Error> {
    let mut arguments = Arguments::default();
    while let Some(arg) = cli::next(args, NAME)? {
        match &arg {
            cli::Arg::Value(path) => arguments.paths.push(path.into()),
            cli::Arg::Long(name) if name == "site" => arguments.site = Some(cli::text(args, NAME)?),
            cli::Arg::Long(name) if name == "quiet" => arguments.quiet = true,
            cli::Arg::Long(name) if name == "json" => arguments.json = true,
            _ => return Err(cli::unexpected(&arg, NAME)),
        }
    }
    Ok(arguments)
}

fn verify(given: given::InputFiles) -> Found {
    let mut found = Found {
        settings: Vec::new(),
        direct: Vec::new(),
        checked: None,
        faults: Vec::new(),
    };
    for file in &given.settings {
        match Settings::parse(&file.name, &file.text) {
            Ok(settings) => {
                found.faults.extend(mode_fault(file, &settings));
                found.settings.push((file.name.to_string(), settings));
            }
            Err(faults) => found.faults.extend(faults),
        }
    }
    for file in &given.direct {
        match direct::Settings::parse(&file.name, &file.text) {
            Ok(settings) => found.direct.push((file.name.to_string(), settings)),
            Err(faults) => found.faults.extend(faults),
        }
    }
    let bundle = given.bundle();
    match bundle.and_then(|b| b.map(|b| b.check()).transpose()) {
        Ok(checked) => found.checked = checked,
        Err(faults) => found.faults.extend(faults),
    }
    found.faults.sort();
    found
}

/// A secret in a file that others can read gives them all operators' calls.
fn mode_fault(file: &bundle::File, settings: &Settings) -> Option<Fault> {
    let secret::Source::Inline(_) = settings.secret else {
        return None;
    };
    let mode = fs::metadata(&*file.name).ok()?.permissions().mode();
    let error = secret::mode_fault(mode)?.to_string();
    let (message, remedy) = error.split_once("; ").unwrap_or((&error, "chmod 600"));
    let place = Place::start(&file.name);
    Some(Fault::new(&place, Kind::OutOfRange, message, remedy))
}

/// Sites whose merged values are shown, with the values.
fn sites<'a>(
    checked: &'a Checked,
    arguments: &'a Arguments,
) -> Vec<(&'a str, Vec<listing::Setting>)> {
    if let Some(site) = &arguments.site {
        return vec![(site, listing::settings(&checked.root_at(site)))];
    }
    let sites = checked.overlays.iter().map(|o| &*o.site);
    sites
        .map(|site| (site, listing::settings(&checked.root_at(site))))
        .collect()
}

fn text(found: &Found, arguments: &Arguments) -> String {
    if arguments.quiet || !found.faults.is_empty() {
        let lines = found.faults.iter().map(|fault| format!("{fault}\n"));
        return lines.collect::<Vec<String>>().concat();
    }
    let mut parts = Vec::new();
    if arguments.site.is_none() {
        let all = found.settings.iter();
        parts.extend(all.map(|(name, settings)| format!("settings {name}\n{settings}")));
        let all = found.direct.iter();
        parts.extend(all.map(|(name, settings)| {
            let row = crate::direct::row(settings);
            format!("settings {name}\n{settings}  row       {row}\n")
        }));
        let plan = found.checked.as_ref().map(|checked| &checked.base);
        parts.extend(plan.map(|plan| format!("configuration\n{plan}")));
    }
    let checked = found.checked.iter();
    for (site, settings) in checked.flat_map(|checked| sites(checked, arguments)) {
        let lines = settings.iter().map(|setting| format!("  {setting}\n"));
        let lines = lines.collect::<Vec<String>>().concat();
        parts.push(format!("site {site}\n{lines}"));
    }
    parts.join("\n")
}

#[derive(Serialize)]
struct Report<'a> {
    good: bool,
    faults: Vec<json::Fault>,
    sites: Vec<Site<'a>>,
}

#[derive(Serialize)]
struct Site<'a> {
    site: &'a str,
    values: Vec<json::Merged>,
}

fn json(found: &Found, arguments: &Arguments) -> String {
    let shown = found.checked.as_ref().filter(|_| !arguments.quiet);
    let sites = shown.map_or(Vec::new(), |checked| sites(checked, arguments));
    let sites = sites.iter().map(|(site, settings)| Site {
        site,
        values: settings.iter().map(json::Merged::from).collect(),
    });
    let report = Report {
        good: found.faults.is_empty(),
        faults: found.faults.iter().map(json::Fault::from).collect(),
        sites: sites.collect(),
    };
    serde_json::to_string(&report).unwrap_or_default() + "\n"
}
