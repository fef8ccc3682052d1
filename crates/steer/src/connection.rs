//! Connections to targets and peers.

pub mod pool;
