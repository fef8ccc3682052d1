//! JSON with comments, parsed into values that keep their places.
//!
//! Invariant: every fault has its file, line, column and remedy, and reading continues
//! after a fault, so that one run reports all of them. The exception is a syntax error,
//! after which the text has no certain meaning.

pub mod edit;
pub mod fault;
pub mod fields;
pub mod nearest;
pub mod node;
pub mod parse;
pub mod read;

pub use fault::{Fault, Kind, Place};
pub use node::Node;
pub use parse::parse;
