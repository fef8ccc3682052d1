//! Membership status: whether this process may act on its state.
//!
//! Invariant: a process that was frozen or declared dead does so again only
//! after an answer to a question that it sent afterwards.

use std::sync::Arc;

use super::{
    Action, Control, FREEZE_GAP_MIN, ISOLATION_TIMEOUT, JOIN_WINDOW, MemberStatus, Notice,
    RAISE_INTERVAL_MIN,
};
use crate::clock::Time;
use crate::process::member::{Lifecycle, Record, Stamp};
use crate::version::view::Version;

/// Progress of a doubt towards its end.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Doubt {
    /// When it began; answers to questions sent before don't count.
    since: Time,
    /// Version in the first confirming answer, which has to be in force before
    /// the doubt ends.
    reported: Option<Version>,
}

impl Control {
    /// Detects by the gap between two events that the process was frozen.
    ///
    /// Otherwise a process that wakes up would serve callers with a
    /// configuration and a share that others have replaced, until the first
    /// message corrects it. Messages waiting in its sockets are as old as the
    /// freeze and prove nothing; the answer to a question sent after it does.
    pub(super) fn detect_freeze(&mut self, now: Time, out: &mut Vec<Action>) {
        let gap = now.since(self.last_event);
        self.last_event = now;
        if !self.guards.doubt || gap <= FREEZE_GAP_MIN || self.status == MemberStatus::Superseded {
            return;
        }
        self.counters.frozen += 1;
        for peer in &mut self.peers {
            peer.last_seen = now;
            peer.is_queried = false;
        }
        self.enter_doubt(now, out);
    }

    pub(super) fn enter_doubt(&mut self, now: Time, out: &mut Vec<Action>) {
        self.is_joining = false;
        self.doubt = Doubt {
            since: now,
            reported: None,
        };
        self.store.schedule_read(now);
        self.set_status(now, MemberStatus::Doubt, out);
        self.broadcast_heartbeat(now, true, out);
        self.domain_round(now, out);
    }

    /// Handles an answer that confirms this process: `asked` is the local time
    /// at which it sent the question, `reported` the version that the answer
    /// reports.
    pub(super) fn confirm(
        &mut self,
        now: Time,
        asked: Time,
        reported: Version,
        out: &mut Vec<Action>,
    ) {
        if asked < self.doubt.since || asked > now {
            return;
        }
        self.slot.confirm(asked);
        let first = *self.first_answer.get_or_insert(now);
        if now.since(first) >= JOIN_WINDOW {
            self.is_joining = false;
        }
        let is_in_doubt = matches!(self.status, MemberStatus::Doubt | MemberStatus::Isolated);
        if is_in_doubt && self.doubt.reported.is_none() {
            self.doubt.reported = Some(reported);
        }
        self.end_doubt(now, out);
    }

    /// Ends the doubt once the reported version, or a later one, is in force,
    /// or if the reported one was rejected here.
    pub(super) fn end_doubt(&mut self, now: Time, out: &mut Vec<Action>) {
        let is_in_doubt = matches!(self.status, MemberStatus::Doubt | MemberStatus::Isolated);
        let Some(reported) = self.doubt.reported.filter(|_| is_in_doubt) else {
            return;
        };
        if reported <= self.tracker.version() || !self.tracker.is_installable(reported) {
            self.set_status(now, MemberStatus::Current, out);
        }
    }

    pub(super) fn check_isolation(&mut self, now: Time, out: &mut Vec<Action>) {
        let has_waited = now.since(self.doubt.since) >= ISOLATION_TIMEOUT;
        if self.status == MemberStatus::Doubt && self.doubt.reported.is_none() && has_waited {
            self.set_status(now, MemberStatus::Isolated, out);
        }
    }

    /// Handles a record of this process's own name.
    pub(super) fn handle_own_name(
        &mut self,
        now: Time,
        record: &Arc<Record>,
        out: &mut Vec<Action>,
    ) {
        if record.stamp > self.own.stamp {
            return self.handle_superseded(now, record.stamp, out);
        }
        if record.stamp < self.own.stamp {
            self.slot.note_predecessor(record.stamp);
            if record.lifecycle == Lifecycle::Released {
                self.slot.note_release(now, record.stamp);
            }
            return;
        }
        let is_dead = !record.lifecycle.is_alive() && self.own.lifecycle.is_alive();
        if is_dead && record.serial >= self.own.serial {
            self.refute(now, record.serial, out);
        }
    }

    /// Refutes a tombstone of this process by raising the serial above it.
    /// The process may have been paused in a way that its clock doesn't show,
    /// so it also enters doubt.
    pub(super) fn refute(&mut self, now: Time, tombstone: u32, out: &mut Vec<Action>) {
        if tombstone < self.own.serial || !self.own.lifecycle.is_alive() {
            return;
        }
        let mut own = Record::clone(&self.own);
        own.serial = tombstone.saturating_add(1);
        self.set_record(own);
        self.counters.refuted += 1;
        if self.guards.doubt {
            self.enter_doubt(now, out);
        } else {
            self.broadcast_heartbeat(now, false, out);
        }
    }

    /// Handles a higher stamp under this process's name.
    ///
    /// A process that is still joining raises its generation above it: its
    /// clock is behind that of its predecessor's host. It does so at most once
    /// per [`RAISE_INTERVAL_MIN`], so that two processes that start together
    /// don't outbid each other at the rate of messages. A process that has
    /// joined, or was ever in doubt, gives way, as the other one is newer.
    pub(super) fn handle_superseded(&mut self, now: Time, stamp: Stamp, out: &mut Vec<Action>) {
        if stamp <= self.own.stamp || self.status == MemberStatus::Superseded {
            return;
        }
        if !self.is_joining {
            return self.set_status(now, MemberStatus::Superseded, out);
        }
        if self
            .last_raise
            .is_some_and(|t| now.since(t) < RAISE_INTERVAL_MIN)
        {
            return;
        }
        self.last_raise = Some(now);
        self.slot.reset_quarantine();
        let mut own = Record::clone(&self.own);
        own.stamp.generation = stamp.generation.saturating_add(1);
        self.set_record(own);
        self.slot.note_predecessor(stamp);
        out.push(Action::Notice(Notice::Raised(self.own.stamp)));
        self.broadcast_heartbeat(now, true, out);
    }

    fn set_status(&mut self, now: Time, status: MemberStatus, out: &mut Vec<Action>) {
        if self.status == status {
            return;
        }
        self.status = status;
        self.is_dirty = true;
        out.push(Action::Notice(Notice::Standing(status)));
        self.publish_if_due(now, out);
    }
}
