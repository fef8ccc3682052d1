//! What lives as long as the process.

pub mod config;
pub mod control;
pub mod dispatch;
pub mod member;
pub mod slot;
