//! JSON with comments, parsed to values that remember their places.
//!
//! Invariant: every fault names its file, line, column and remedy.
