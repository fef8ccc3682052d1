//! The subcommands, a file each.

mod apply;
pub mod client;
mod drain;
mod dump;
mod entry;
mod files;
mod lookup;
mod show;
mod status;

use crate::cli::Command;

/// All subcommands, in the order the overview lists them.
pub const ALL: &[Command] = &[
    entry::COMMAND,
    apply::COMMAND,
    show::COMMAND,
    drain::COMMAND,
    drain::REVERSE,
    status::COMMAND,
    lookup::COMMAND,
    dump::COMMAND,
];
