//! Notices between instances of what targets have asked of them: a backoff, or that they
//! are about to stop.
//!
//! In a large fleet a target gets a request of each instance every many seconds, so that
//! each would be turned away once before it knows. A backoff binds the instance that was
//! asked for it; others only prefer other targets meanwhile. A stop holds for all.
//!
//! Invariant: only what a target told this instance itself is passed on, and a notice
//! concerns one incarnation of a target.

mod exchange;

use core::time::Duration;

/// Largest number of notices in one message; further ones follow in turn.
const NOTICES_MAX: usize = 12;

/// What a target has told the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetNotice {
    /// Hash of the target's name.
    pub target_hash: u32,
    /// Incarnation of the target.
    pub incarnation: u64,
    /// Remaining time of a backoff that it asked for; zero if there is none.
    pub backoff: Duration,
    /// Whether it has announced that it is about to stop.
    pub is_leaving: bool,
}
