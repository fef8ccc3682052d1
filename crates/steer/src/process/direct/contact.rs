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
    seen: Option<Time>,
    /// When it answered again after a time out of touch.
    back: Option<Time>,
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
    pub fn in_touch(&mut self, now: Time, revision: u64) {
        self.confirmed(now, now, None, revision);
    }

    /// Another instance has told everything up to `revision`; `contact` is its own, or
    /// that of the one that told it.
    pub fn told(&mut self, now: Time, contact: StoreContact, revision: u64) {
        let since = contact.span.map(|span| now - span);
        match contact.age {
            Some(age) => self.confirmed(now, now - age, since, revision),
            None => self.store.revision = self.store.revision.max(revision),
        }
    }

    /// The store answered at `seen`, and whoever tells so without a gap from `since`.
    fn confirmed(&mut self, now: Time, seen: Time, since: Option<Time>, revision: u64) {
        let last = self.store.seen;
        let gap = last.is_some_and(|at| seen.since(at) > LAPSE);
        let only_here = since.is_some() && since <= last;
        if gap && !only_here {
            self.store.back = Some(now);
            self.store.since = Some(seen);
        }
        self.store.since.get_or_insert(seen);
        self.store.seen = last.max(Some(seen));
        self.store.revision = self.store.revision.max(revision);
    }

    /// How long changes may gather in the store before they are asked for.
    #[must_use]
    pub fn gather(&self, now: Time) -> Duration {
        let readers = u32::try_from(self.readers(now)).unwrap_or(u32::MAX);
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
        self.store.seen.map(|at| now.since(at))
    }

    /// How this instance stands to the store, for another that it tells.
    #[must_use]
    pub fn contact(&self, now: Time) -> StoreContact {
        StoreContact {
            age: self.store_age(now),
            span: self.store.since.map(|at| now.since(at)),
        }
    }

    /// Whether the store has answered lately.
    #[must_use]
    pub fn is_in_touch(&self, now: Time) -> bool {
        self.store.seen.is_some_and(|at| now.since(at) < TOUCH)
    }

    /// Whether nobody tells this instance anything, though others are there.
    pub(super) fn is_isolated(&self, now: Time) -> bool {
        !self.participants.is_empty() && !self.is_in_touch(now) && !self.members.is_any_heard(now)
    }

    /// A target is no longer listed. Says whether it is dropped at once.
    pub fn unlist(&mut self, now: Time, id: &str) -> bool {
        match self.store.back {
            Some(back) if now.since(back) < RETURN => {
                self.roster.miss(id, back + RETURN);
                false
            }
            _ => self.roster.remove(id),
        }
    }

    /// Another instance is listed in the store, or no longer.
    pub fn member(&mut self, now: Time, name: &str, row: Option<Registration>) {
        if *name == *self.home.name {
            return;
        }
        match row {
            Some(row) => self.members.list(now, name, row),
            None => self.members.unlist(now, name),
        }
        self.recount(now);
    }

    /// Only these other instances are listed in the store.
    pub fn members_only(&mut self, now: Time, names: &[&str]) {
        self.members.list_only(now, names);
        self.recount(now);
    }

    /// Takes another instance's heartbeat.
    pub fn hear(&mut self, now: Time, beat: Heartbeat) {
        for (print, strikes) in &beat.struck {
            self.suspects.merge(now, Fingerprint(*print), *strikes);
        }
        for (mark, object) in &beat.held {
            self.roster.told_held(now, *mark, *object);
        }
        self.receive_observations(now, &beat.observations);
        self.hear_limits(now, &beat.limits);
        let changed = self.members.hear(now, beat);
        self.roster.hear(now, &self.members);
        if changed {
            self.recount(now);
        }
    }

    /// The process was told to stop and will end at `end`; heartbeats say so
    /// from now on.
    pub const fn stop(&mut self, end: Time) {
        self.stops_at = Some(end);
    }

    /// This instance's heartbeat; with its row for those who may not know it.
    pub fn beat(&mut self, now: Time, row: bool) -> Heartbeat {
        self.heartbeat_seq += 1;
        let held = self.held(now);
        let observations = self.take_observations(now);
        let limits = self.named_limits(now);
        let struck = self.suspects.recent(now, TOLD);
        Heartbeat {
            name: Arc::clone(&self.home.name),
            life: self.home.life,
            seq: self.heartbeat_seq,
            leaving: self.stops_at.is_some(),
            doubtful: !self.is_sound(now),
            revision: self.store.revision,
            version: self.version(),
            row: row.then(|| self.home.row.clone()),
            held,
            struck: struck.map(|c| (c.fingerprint.0, c.strikes)).collect(),
            flying: self.roster.flying(),
            observations,
            limits,
        }
    }

    /// What heartbeats tell of objects at targets: the news, and a part of all
    /// that is known, in turn, for instances that have just started.
    fn held(&mut self, now: Time) -> Vec<(u32, u32)> {
        let mut held = core::mem::take(&mut self.object_updates);
        let all = self.roster.held(now, &self.home.region);
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
        self.members.present(now, self.is_in_touch(now))
    }

    /// Those of them that callers with keys may be sent to.
    pub fn serving(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, &Registration)> {
        self.members.serving(now, self.is_in_touch(now))
    }

    /// Where to ask what the store holds, if this instance is too stale and another
    /// isn't.
    #[must_use]
    pub fn freshest(&self, now: Time) -> Option<SocketAddr> {
        // One that starts is told everything where it reads from; asking around for it
        // besides would fill links that all others start by.
        let stale = self.store.revision > 0 && !self.is_sound(now);
        self.members.sound(now, &self.home.region).filter(|_| stale)
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
    pub fn ahead(&self, now: Time) -> Option<SocketAddr> {
        self.members.ahead(now, self.store.revision, self.version())
    }

    /// Forgets what is gone. Names targets that were missing and are dropped.
    pub fn sweep(&mut self, now: Time) -> Vec<Arc<str>> {
        self.suspects.expire(now);
        self.members.sweep(now);
        self.roster.hear(now, &self.members);
        self.recount(now);
        self.roster.sweep(now)
    }

    /// Finds the instances that share what is bounded as a sum.
    fn recount(&mut self, now: Time) {
        self.participants.clear();
        let sharer = |(name, row): (&Arc<str>, &Registration)| Participant {
            region: Arc::clone(&row.region),
            mark: members::name_hash(name),
        };
        self.participants
            .extend(self.members.sharing(now).map(sharer));
    }
}
