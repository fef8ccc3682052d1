//! State and decisions that live as long as the process.
//!
//! Invariant: modules take events or calls and return actions or values; none
//! does I/O.

pub mod config;
pub mod control;
pub mod direct;
pub mod dispatch;
pub mod gate;
pub mod member;
pub mod outbox;
pub mod safeguard;
pub mod share;
pub mod slot;
pub mod target;
pub mod traffic;
