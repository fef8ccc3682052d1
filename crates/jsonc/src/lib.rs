//! JSON with comments, parsed to values that remember their places.
//!
//! Invariant: every fault names its file, line, column and remedy, and a reader
//! goes on after a fault, so that one run reports all of them. The one
//! exception is a syntax error: what follows it has no certain meaning.

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
