//! Where requests lose out, read from the log lines of all instances.
//!
//! [`log::Log`] reads lines, [`trace::Trace`] lays those of all instances side
//! by side, [`tally::Report`] counts, [`table`] prints, [`plot`] draws.
//!
//! Invariant: what can't be read is counted and said, never guessed.

pub mod line;
pub mod load;
pub mod log;
pub mod plot;
pub mod table;
pub mod tally;
pub mod trace;
