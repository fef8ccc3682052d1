//! What lives as long as the process.

pub mod dispatch;
