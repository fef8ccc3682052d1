//! The subcommands, a file each.

pub mod client;
mod dump;
mod entry;
mod lookup;

use crate::cli::Command;

/// All subcommands, in the order the overview lists them.
pub const ALL: &[Command] = &[entry::COMMAND, lookup::COMMAND, dump::COMMAND];
