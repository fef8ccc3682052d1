//! The subcommands, a file each.

mod apply;
mod check;
pub mod client;
mod diff;
mod direct;
mod drain;
mod dump;
mod entry;
mod files;
mod given;
mod json;
mod lookup;
mod report;
mod show;
mod status;

use crate::cli::Command;

/// All subcommands, in the order the overview lists them.
pub const ALL: &[Command] = &[
    entry::COMMAND,
    direct::COMMAND,
    check::COMMAND,
    diff::COMMAND,
    apply::COMMAND,
    show::COMMAND,
    drain::COMMAND,
    drain::REVERSE,
    status::COMMAND,
    lookup::COMMAND,
    dump::COMMAND,
    report::COMMAND,
];
