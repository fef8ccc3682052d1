//! How an instance stands to the platform's store and to other instances.
//!
//! Invariant: what another instance tells never takes this one back to an
//! earlier revision, and a target whose entry may only have lapsed while the
//! store was away is kept for a bounded time.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use super::Direct;
use super::allotment::Participant;
use super::members::{self, Heartbeat, Registration};
use crate::clock::Time;
use crate::request::arrival::Fingerprint;

/// How this instance stands to the platform's store.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreLink {
    /// Revision up to which everything is known.
    revision: u64,
    /// Last answer.
    answered_at: Option<Time>,
    /// When it answered again after a time out of touch.
    back_at: Option<Time>,
    /// Since when it has answered, as far as is known, without such a time.
    since: Option<Time>,
}

/// How another instance stands to the platform's store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreContact {
    /// Time since the store's last answer, if there was one.
    pub age: Option<Duration>,
    /// Time since which it has answered without a gap in which entries may have
    /// lapsed.
    pub span: Option<Duration>,
}

impl StoreContact {
    /// The store has just answered; nothing is known of the time before.
    pub const NOW: Self = Self {
        age: Some(Duration::ZERO),
        span: None,
    };
}

/// Time without an answer of the store after which it counts as out of touch.
/// A watch that waits without changes answers more often than that.
const TOUCH: Duration = Duration::from_secs(4);

/// Time without an answer after which entries may have lapsed meanwhile.
const LAPSE: Duration = Duration::from_millis(2600);

/// Time in which entries that lapsed while the store was away come back, by the
/// platform's word "about two seconds"; still missing then, they are gone.
const RETURN: Duration = Duration::from_millis(2200);

/// Pause between an answer of the store and the next question. Changes come in
/// bursts, each call is paid, and what is due in seconds can wait for this.
const GATHER: Duration = Duration::from_millis(300);

/// The same for each instance that reads the store, as their calls add up.
const GATHER_EACH: Duration = Duration::from_millis(25);

/// The longest such pause. What changes has to be in force within seconds.
const GATHER_MOST: Duration = Duration::from_millis(800);

/// Objects at targets that one heartbeat tells of as news ...
const HELD_MOST: usize = 32;

/// ... and in turn when there are none: all that a small region's targets hold
/// within a few seconds.
const HELD_TURN: usize = 12;

/// Time for which heartbeats tell of a request that broke a target.
const TOLD: Duration = Duration::from_secs(5);

impl Direct {
    /// The store has answered and everything up to `revision` is known.
    pub fn store_answered(&mut self, now: Time, revision: u64) {
        self.note_answer(now, now, None, revision);
    }

    /// Another instance has told everything up to `revision`; `contact` is its own, or
    /// that of the one that told it.
    pub fn peer_answered(&mut self, now: Time, contact: StoreContact, revision: u64) {
        let since = contact.span.map(|span| now - span);
        match contact.age {
            Some(age) => self.note_answer(now, now - age, since, revision),
            None => self.store.revision = self.store.revision.max(revision),
        }
    }

    /// The store answered at `seen`, and whoever tells so without a gap from `since`.
    fn note_answer(&mut self, now: Time, seen: Time, since: Option<Time>, revision: u64) {
        let last = self.store.answered_at;
        let gap = last.is_some_and(|at| seen.since(at) > LAPSE);
        let only_here = since.is_some() && since <= last;
        if gap && !only_here {
            self.store.back_at = Some(now);
            self.store.since = Some(seen);
        }
        self.store.since.get_or_insert(seen);
        self.store.answered_at = last.max(Some(seen));
        self.store.revision = self.store.revision.max(revision);
    }

    /// How long changes may gather in the store before they are asked for.
    #[must_use]
    pub fn read_pause(&self, now: Time) -> Duration {
        let readers = u32::try_from(self.reader_count(now)).unwrap_or(u32::MAX);
        GATHER_EACH
            .saturating_mul(readers)
            .clamp(GATHER, GATHER_MOST)
    }

    /// Revision up to which everything is known.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.store.revision
    }

    /// Time since the store's last answer, if there was one.
    #[must_use]
    pub fn store_age(&self, now: Time) -> Option<Duration> {
        self.store.answered_at.map(|at| now.since(at))
    }

    /// How this instance stands to the store, for another that it tells.
    #[must_use]
    pub fn store_contact(&self, now: Time) -> StoreContact {
        StoreContact {
            age: self.store_age(now),
            span: self.store.since.map(|at| now.since(at)),
        }
    }

    /// Whether the store has answered lately.
    #[must_use]
    pub fn is_store_reachable(&self, now: Time) -> bool {
        self.store
            .answered_at
            .is_some_and(|at| now.since(at) < TOUCH)
    }

    /// Whether nobody tells this instance anything, though others are there.
    pub(super) fn is_isolated(&self, now: Time) -> bool {
        !self.participants.is_empty()
            && !self.is_store_reachable(now)
            && !self.members.has_live_peer(now)
    }

    /// A target is no longer listed. Says whether it is dropped at once.
    pub fn unlist(&mut self, now: Time, id: &str) -> bool {
        match self.store.back_at {
            Some(back) if now.since(back) < RETURN => {
                self.roster.mark_missing(id, back + RETURN);
                false
            }
            _ => self.roster.remove(id),
        }
    }

    /// Another instance is listed in the store, or no longer.
    pub fn set_member(&mut self, now: Time, name: &str, row: Option<Registration>) {
        if *name == *self.identity.name {
            return;
        }
        match row {
            Some(row) => self.members.add(now, name, row),
            None => self.members.unlist(now, name),
        }
        self.update_participants(now);
    }

    /// Only these other instances are listed in the store.
    pub fn retain_members(&mut self, now: Time, names: &[&str]) {
        self.members.retain_listed(now, names);
        self.update_participants(now);
    }

    /// Takes another instance's heartbeat.
    pub fn receive_heartbeat(&mut self, now: Time, beat: Heartbeat) {
        for (print, strikes) in &beat.suspects {
            self.suspects.merge(now, Fingerprint(*print), *strikes);
        }
        for (mark, object) in &beat.warm_objects {
            self.roster.note_warm_object(now, *mark, *object);
        }
        self.receive_observations(now, &beat.observations);
        self.receive_limits(now, &beat.limits);
        let changed = self.members.receive(now, beat);
        self.roster.update_peer_load(now, &self.members);
        if changed {
            self.update_participants(now);
        }
    }

    /// The process was told to stop and will end at `end`; heartbeats say so
    /// from now on.
    pub const fn stop(&mut self, end: Time) {
        self.stops_at = Some(end);
    }

    /// This instance's heartbeat; with its row for those who may not know it.
    pub fn heartbeat(&mut self, now: Time, row: bool) -> Heartbeat {
        self.heartbeat_seq += 1;
        let held = self.object_reports(now);
        let observations = self.take_observations(now);
        let limits = self.limit_reports(now);
        let struck = self.suspects.recent(now, TOLD);
        Heartbeat {
            name: Arc::clone(&self.identity.name),
            incarnation: self.identity.incarnation,
            seq: self.heartbeat_seq,
            is_leaving: self.stops_at.is_some(),
            is_stale: !self.is_fit_for_callers(now),
            revision: self.store.revision,
            version: self.version(),
            registration: row.then(|| self.identity.registration.clone()),
            warm_objects: held,
            suspects: struck.map(|c| (c.fingerprint.0, c.strikes)).collect(),
            in_flight: self.roster.in_flight(),
            observations,
            limits,
        }
    }

    /// What heartbeats tell of objects at targets: the news, and a part of all
    /// that is known, in turn, for instances that have just started.
    fn object_reports(&mut self, now: Time) -> Vec<(u32, u32)> {
        let mut held = core::mem::take(&mut self.object_updates);
        let all = self.roster.warm_objects(now, &self.identity.region);
        held.truncate(HELD_MOST);
        if !held.is_empty() {
            return held;
        }
        let room = HELD_TURN.min(all.len());
        let turn = all
            .iter()
            .cycle()
            .skip(self.object_cursor % all.len().max(1));
        held.extend(turn.take(room));
        self.object_cursor = self.object_cursor.wrapping_add(room);
        held
    }

    /// Other instances that are there, with where they are reached.
    pub fn others(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, &Registration)> {
        self.members.present(now, self.is_store_reachable(now))
    }

    /// Those of them that callers with keys may be sent to.
    pub fn serving(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, &Registration)> {
        self.members.serving(now, self.is_store_reachable(now))
    }

    /// Where to ask what the store holds, if this instance is too stale and another
    /// isn't.
    #[must_use]
    pub fn fresh_peer(&self, now: Time) -> Option<SocketAddr> {
        // One that starts is told everything where it reads from; asking around for it
        // besides would fill links that all others start by.
        let stale = self.store.revision > 0 && !self.is_fit_for_callers(now);
        self.members
            .fresh_peer(now, &self.identity.region)
            .filter(|_| stale)
    }

    /// Other instances with the version that each has in force, if it was heard
    /// lately.
    pub fn versions(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (&Arc<str>, &Registration, Option<u64>)> {
        self.members.versions(now)
    }

    /// Where to ask for what this instance has missed, if another knows more.
    #[must_use]
    pub fn peer_ahead(&self, now: Time) -> Option<SocketAddr> {
        self.members
            .peer_ahead(now, self.store.revision, self.version())
    }

    /// Forgets what is gone. Names targets that were missing and are dropped.
    pub fn sweep(&mut self, now: Time) -> Vec<Arc<str>> {
        self.suspects.expire(now);
        self.members.sweep(now);
        self.roster.update_peer_load(now, &self.members);
        self.update_participants(now);
        self.roster.sweep(now)
    }

    /// Finds the instances that share what is bounded as a sum.
    fn update_participants(&mut self, now: Time) {
        self.participants.clear();
        let sharer = |(name, row): (&Arc<str>, &Registration)| Participant {
            region: Arc::clone(&row.region),
            name_hash: members::name_hash(name),
        };
        self.participants
            .extend(self.members.participants(now).map(sharer));
    }
}
