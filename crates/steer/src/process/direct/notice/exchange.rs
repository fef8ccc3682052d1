//! Exchange of notices with other instances.
//!
//! Invariant: all notices take their turn, however many there are.

use super::super::Direct;
use super::super::mechanisms::Mechanism;
use super::super::target::Target;
use super::{NOTICES_MAX, TargetNotice};
use crate::clock::Time;

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
