//! The subcommands of the one binary, and the drivers around the decisions.
