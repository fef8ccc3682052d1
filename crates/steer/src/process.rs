//! What lives as long as the process.

pub mod dispatch;
pub mod target;
