//! Notices between instances of what targets have asked of them: a backoff, or that they
//! are about to stop.
//!
//! In a large fleet a target gets a request of each instance every many seconds, so that
//! each would be turned away once before it knows. A backoff binds the instance that was
//! asked for it; others only prefer other targets meanwhile. A stop holds for all.
//!
//! Invariant: only what a target told this instance itself is passed on, and a notice
//! concerns one incarnation of a target.

use core::time::Duration;

use super::Direct;
use super::mechanisms::Mechanism;
use super::target::Target;
use crate::clock::Time;

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

impl TargetNotice {
    /// Notice of what a target told this instance; `None` if that is nothing.
    fn of(now: Time, target: &Target) -> Option<Self> {
        let backoff = target.backoff_left(now);
        let is_leaving = target.has_announced_stop();
        (backoff.is_some() || is_leaving).then(|| Self {
            target_hash: target.short_hash(),
            incarnation: target.entry.incarnation,
            backoff: backoff.unwrap_or_default(),
            is_leaving,
        })
    }
}

impl Direct {
    /// Notices for the next message to other instances, in turn; empty if targets have
    /// asked for nothing.
    pub fn target_notices(&mut self, now: Time) -> Vec<TargetNotice> {
        let targets = self.roster.contacted();
        let all: Vec<TargetNotice> = targets.filter_map(|t| TargetNotice::of(now, t)).collect();
        let room = NOTICES_MAX.min(all.len());
        let from = self.notice_cursor % all.len().max(1);
        self.notice_cursor = from + room;
        all.into_iter().cycle().skip(from).take(room).collect()
    }

    /// Takes notices of another instance.
    pub fn receive_target_notices(&mut self, now: Time, notices: &[TargetNotice]) {
        if !self.mechanisms.has(Mechanism::SharedHealth) {
            return;
        }
        for notice in notices {
            let backoff = notice.backoff.min(self.bounds.backoff_max);
            self.roster
                .note_target(now, &TargetNotice { backoff, ..*notice });
        }
    }
}
