//! What lives as long as the process.

pub mod dispatch;
pub mod gate;
pub mod traffic;
