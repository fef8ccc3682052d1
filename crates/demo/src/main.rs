//! Runs the whole path in one process, on stand-ins, for a first look.

fn main() {}
