//! Whether this process may act on what it knows.

use std::sync::Arc;

use super::{
    Action, Control, FREEZE_GAP_MIN, ISOLATION_TIMEOUT, JOIN_WINDOW, MemberStatus, Notice,
    RAISE_INTERVAL_MIN,
};
use crate::clock::Time;
use crate::process::member::{Lifecycle, Record, Stamp};
use crate::version::view::Version;

/// How doubt ends.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Doubt {
    /// When it began; answers to older questions don't count.
    from: Time,
    /// Version that the answer told of, which has to be in force first.
    told: Option<Version>,
}

impl Control {
    /// A gap between events means that the process was frozen.
    ///
    /// Without this, a process that wakes serves callers by a configuration and
    /// a share that others have replaced, until the first message tells it. The
    /// messages that wait in its sockets can't tell it, since they are as old as
    /// the freeze; an answer to a question asked after it can.
    pub(super) fn notice_freeze(&mut self, now: Time, out: &mut Vec<Action>) {
        let gap = now.since(self.last);
        self.last = now;
        if !self.guards.doubt || gap <= FREEZE_GAP_MIN || self.status == MemberStatus::Superseded {
            return;
        }
        self.counters.frozen += 1;
        for peer in &mut self.peers {
            peer.heard = now;
            peer.asked = false;
        }
        self.enter_doubt(now, out);
    }

    pub(super) fn enter_doubt(&mut self, now: Time, out: &mut Vec<Action>) {
        self.joining = false;
        self.doubt = Doubt {
            from: now,
            told: None,
        };
        self.store.hurry(now);
        self.stand(now, MemberStatus::Doubt, out);
        self.beat_all(now, true, out);
        self.round_across(now, out);
    }

    /// Somebody answered a question of this process's own time `asked`, and
    /// told the version that it knows.
    pub(super) fn confirmed(
        &mut self,
        now: Time,
        asked: Time,
        told: Version,
        out: &mut Vec<Action>,
    ) {
        if asked < self.doubt.from || asked > now {
            return;
        }
        self.slot.confirm(asked);
        let first = *self.answered.get_or_insert(now);
        if now.since(first) >= JOIN_WINDOW {
            self.joining = false;
        }
        let unsure = matches!(self.status, MemberStatus::Doubt | MemberStatus::Isolated);
        if unsure && self.doubt.told.is_none() {
            self.doubt.told = Some(told);
        }
        self.end_doubt(now, out);
    }

    /// Doubt ends once a version no older than the one told of is in force.
    pub(super) fn end_doubt(&mut self, now: Time, out: &mut Vec<Action>) {
        let unsure = matches!(self.status, MemberStatus::Doubt | MemberStatus::Isolated);
        let Some(told) = self.doubt.told.filter(|_| unsure) else {
            return;
        };
        if told <= self.tracker.version() || !self.tracker.is_installable(told) {
            self.stand(now, MemberStatus::Current, out);
        }
    }

    pub(super) fn age_doubt(&mut self, now: Time, out: &mut Vec<Action>) {
        let waited = now.since(self.doubt.from) >= ISOLATION_TIMEOUT;
        if self.status == MemberStatus::Doubt && self.doubt.told.is_none() && waited {
            self.stand(now, MemberStatus::Isolated, out);
        }
    }

    /// A record of this process's own name came up.
    pub(super) fn own_name(&mut self, now: Time, record: &Arc<Record>, out: &mut Vec<Action>) {
        if record.stamp > self.me.stamp {
            return self.superseded(now, record.stamp, out);
        }
        if record.stamp < self.me.stamp {
            self.slot.note_predecessor(record.stamp);
            if record.lifecycle == Lifecycle::Released {
                self.slot.note_release(now, record.stamp);
            }
            return;
        }
        let dead = !record.lifecycle.is_alive() && self.me.lifecycle.is_alive();
        if dead && record.serial >= self.me.serial {
            self.refute(now, record.serial, out);
        }
    }

    /// Others hold this process for dead. It raises its serial above their
    /// tombstone; and since it may have been paused in a way that its clock
    /// doesn't show, it is in doubt.
    pub(super) fn refute(&mut self, now: Time, held: u32, out: &mut Vec<Action>) {
        if held < self.me.serial || !self.me.lifecycle.is_alive() {
            return;
        }
        let mut me = Record::clone(&self.me);
        me.serial = held.saturating_add(1);
        self.set_me(me);
        self.counters.refuted += 1;
        if self.guards.doubt {
            self.enter_doubt(now, out);
        } else {
            self.beat_all(now, false, out);
        }
    }

    /// A process with a higher stamp has this process's name. A starting
    /// process raises its generation instead: its clock is behind that of its
    /// predecessor's host. It does so once a second, lest two that start together
    /// drive each other up as fast as messages go. One that was ever in doubt doesn't, since then it is
    /// the other that is newer.
    pub(super) fn superseded(&mut self, now: Time, stamp: Stamp, out: &mut Vec<Action>) {
        if stamp <= self.me.stamp || self.status == MemberStatus::Superseded {
            return;
        }
        if !self.joining {
            return self.stand(now, MemberStatus::Superseded, out);
        }
        if self
            .raised
            .is_some_and(|t| now.since(t) < RAISE_INTERVAL_MIN)
        {
            return;
        }
        self.raised = Some(now);
        self.slot.reset_quarantine();
        let mut me = Record::clone(&self.me);
        me.stamp.generation = stamp.generation.saturating_add(1);
        self.set_me(me);
        self.slot.note_predecessor(stamp);
        out.push(Action::Notice(Notice::Raised(self.me.stamp)));
        self.beat_all(now, true, out);
    }

    fn stand(&mut self, now: Time, status: MemberStatus, out: &mut Vec<Action>) {
        if self.status == status {
            return;
        }
        self.status = status;
        self.dirty = true;
        out.push(Action::Notice(Notice::Standing(status)));
        self.publish_due(now, out);
    }
}
