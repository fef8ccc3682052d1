//! Scripted scenarios against real processes.
//!
//! A scenario is a text file of directives ([`script`]) that start, ask, break
//! and end processes ([`world`]). Invariants: nothing is synchronised by
//! sleeping, only by `await`, whose wait is bounded; every process started is
//! ended and reaped, however the scenario ends.

pub mod error;
pub mod http;
pub mod process;
pub mod script;
pub mod settings;
pub mod storm;
pub mod world;

use std::time::Duration;

/// Longest that anything in a scenario is waited for.
pub const BOUND: Duration = Duration::from_secs(30);
