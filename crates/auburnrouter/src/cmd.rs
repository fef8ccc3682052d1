//! The subcommands, a file each.

mod apply;
pub mod client;
mod dump;
mod entry;
mod files;
mod lookup;
mod show;

use crate::cli::Command;

/// All subcommands, in the order the overview lists them.
pub const ALL: &[Command] = &[
    entry::COMMAND,
    apply::COMMAND,
    show::COMMAND,
    lookup::COMMAND,
    dump::COMMAND,
];
