//! What this instance learns from the store and from other instances.
//!
//! Invariant: updates from another instance never take this one back to an earlier
//! revision.

use super::super::Direct;
use super::super::allotment::Participant;
use super::super::members::{self, Heartbeat, Registration};
use super::super::suspect::Cause;
use super::{
    ENTRY_EXPIRY_GAP, ENTRY_RENEWAL_GRACE, HEARTBEAT_KNOWN_OBJECTS_MAX, HEARTBEAT_NEW_OBJECTS_MAX,
    READ_PAUSE_MAX, READ_PAUSE_MIN, READ_PAUSE_PER_READER, STORE_TIMEOUT, SUSPECT_REPORT_SPAN,
    StoreContact,
};
use crate::clock::Time;
use crate::request::arrival::Fingerprint;
use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

impl Direct {
    /// Records an answer of the store, by which everything up to `revision` is known.
    pub fn store_answered(&mut self, now: Time, revision: u64) {
        self.note_answer(now, now, None, revision);
    }

    /// Records an answer of another instance, by which everything up to `revision` is
    /// known; `contact` is that instance's own, or that of the instance it read from.
    pub fn peer_answered(&mut self, now: Time, contact: StoreContact, revision: u64) {
        let since = contact.span.map(|span| now - span);
        match contact.age {
            Some(age) => self.note_answer(now, now - age, since, revision),
            None => self.store.revision = self.store.revision.max(revision),
        }
    }

    /// Records that the store answered at `answered_at`, and without a gap from `since`
    /// if that is known.
    fn note_answer(&mut self, now: Time, answered_at: Time, since: Option<Time>, revision: u64) {
        self.store.known_at.get_or_insert(now);
        let last = self.store.answered_at;
        let is_gap = last.is_some_and(|at| answered_at.since(at) > ENTRY_EXPIRY_GAP);
        let is_own_gap = since.is_some() && since <= last;
        if is_gap && !is_own_gap {
            self.store.back_at = Some(now);
            self.store.since = Some(answered_at);
        }
        self.store.since.get_or_insert(answered_at);
        self.store.answered_at = last.max(Some(answered_at));
        self.store.revision = self.store.revision.max(revision);
    }

    /// Pause before the next read of the store, in which changes may accumulate.
    #[must_use]
    pub fn read_pause(&self, now: Time) -> Duration {
        let readers = u32::try_from(self.reader_count(now)).unwrap_or(u32::MAX);
        READ_PAUSE_PER_READER
            .saturating_mul(readers)
            .clamp(READ_PAUSE_MIN, READ_PAUSE_MAX)
    }

    /// Whether the store is reachable and has answered without a gap since `at`.
    pub(in crate::process::direct) fn is_store_known_since(&self, now: Time, at: Time) -> bool {
        self.is_store_reachable(now) && self.store.since.is_some_and(|since| since <= at)
    }

    /// Whether this process has known for this long what the store holds, so that it knows the
    /// other instances; the store may be unreachable since.
    pub(in crate::process::direct) fn has_known_store_for(
        &self,
        now: Time,
        span: Duration,
    ) -> bool {
        self.store.known_at.is_some_and(|at| now.since(at) >= span)
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

    /// Contact with the store, to be reported to another instance.
    #[must_use]
    pub fn store_contact(&self, now: Time) -> StoreContact {
        StoreContact {
            age: self.store_age(now),
            span: self.store.since.map(|at| now.since(at)),
        }
    }

    /// Returns whether the store has answered recently.
    #[must_use]
    pub fn is_store_reachable(&self, now: Time) -> bool {
        self.store
            .answered_at
            .is_some_and(|at| now.since(at) < STORE_TIMEOUT)
    }

    /// Returns whether this instance is cut off from the store and from all other
    /// instances.
    pub(in crate::process::direct) fn is_isolated(&self, now: Time) -> bool {
        !self.participants.is_empty()
            && !self.is_store_reachable(now)
            && !self.members.has_live_peer(now)
    }

    /// Records that a target is no longer listed. Returns whether it is dropped at
    /// once; after a gap in the store's answers it is kept until its entry could be
    /// renewed.
    pub fn unlist(&mut self, now: Time, id: &str) -> bool {
        self.unlist_all(now, &[id]) == [true]
    }

    /// The same for several targets. A failure domain that is lost takes thousands with
    /// it at once.
    pub fn unlist_all(&mut self, now: Time, ids: &[&str]) -> Vec<bool> {
        match self.store.back_at {
            Some(back) if now.since(back) < ENTRY_RENEWAL_GRACE => {
                for id in ids {
                    self.roster.mark_missing(id, back + ENTRY_RENEWAL_GRACE);
                }
                vec![false; ids.len()]
            }
            _ => self.roster.remove_all(now, ids),
        }
    }

    /// Records that another instance is registered in the store, or no longer is.
    pub fn set_member(&mut self, now: Time, name: &str, registration: Option<Registration>) {
        self.set_members(now, vec![(name, registration)]);
    }

    /// The same for several instances; all of a deployment start together.
    pub fn set_members(&mut self, now: Time, members: Vec<(&str, Option<Registration>)>) {
        for (name, registration) in members {
            if *name == *self.identity.name {
                continue;
            }
            match registration {
                Some(registration) => self.members.add(now, name, registration),
                None => self.members.unlist(now, name),
            }
        }
        self.update_participants(now);
    }

    /// Records that of the other instances only these are registered in the store.
    pub fn retain_members(&mut self, now: Time, names: &[&str]) {
        self.members.retain_listed(now, names);
        self.update_participants(now);
    }

    /// Takes another instance's heartbeat.
    pub fn receive_heartbeat(&mut self, now: Time, mut heartbeat: Heartbeat) {
        for (fingerprint, strikes) in &heartbeat.suspects {
            let fingerprint = Fingerprint(*fingerprint);
            let before = self.suspects.strikes(fingerprint);
            // Heartbeats don't tell the round. Messages on verdicts do.
            if self.suspects.round(fingerprint) == 0 {
                self.suspects.merge(now, fingerprint, *strikes);
            }
            let cause = Cause::Told(Arc::clone(&heartbeat.name));
            self.log_suspect(fingerprint, before, cause);
        }
        for (target_hash, object) in &heartbeat.warm_objects {
            self.roster.note_warm_object(now, *target_hash, *object);
        }
        self.receive_observations(now, &heartbeat.observations);
        self.receive_limits(now, &heartbeat.limits);
        self.merge_heartbeat_counts(now, &mut heartbeat);
        let changed = self.members.receive(now, heartbeat);
        self.roster.update_peer_load(now, &self.members);
        if changed {
            self.update_participants(now);
        }
    }

    /// Next heartbeat of this instance, with its registration for receivers that may
    /// not know it.
    pub fn heartbeat(&mut self, now: Time, with_registration: bool) -> Heartbeat {
        self.heartbeat_seq += 1;
        let warm_objects = self.object_reports(now);
        let observations = self.take_observations(now);
        let limits = self.limit_reports(now);
        let suspects = self.suspects.recent(now, SUSPECT_REPORT_SPAN).into_iter();
        Heartbeat {
            name: Arc::clone(&self.identity.name),
            incarnation: self.identity.incarnation,
            seq: self.heartbeat_seq,
            is_leaving: self.is_stopping(),
            is_stale: !self.is_fit_for_callers(now) || self.is_cut_off(),
            revision: self.store.revision,
            version: self.version(),
            registration: with_registration.then(|| self.identity.registration.clone()),
            warm_objects,
            suspects: suspects.map(|c| (c.fingerprint.0, c.strikes)).collect(),
            in_flight: self.roster.in_flight(),
            observations,
            limits,
        }
    }

    /// Objects for the next heartbeat: the new ones or, if there are none, a part of
    /// all known ones in turn, for instances that have just started.
    fn object_reports(&mut self, now: Time) -> Vec<(u32, u32)> {
        let mut objects = core::mem::take(&mut self.object_updates);
        let all = self.roster.warm_objects(now, &self.identity.region);
        objects.truncate(HEARTBEAT_NEW_OBJECTS_MAX);
        if !objects.is_empty() {
            return objects;
        }
        let room = HEARTBEAT_KNOWN_OBJECTS_MAX.min(all.len());
        let turn = all
            .iter()
            .cycle()
            .skip(self.object_cursor % all.len().max(1));
        objects.extend(turn.take(room));
        self.object_cursor = self.object_cursor.wrapping_add(room);
        objects
    }

    /// Other instances that are present.
    pub fn others(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, &Registration)> {
        self.members.present(now, self.is_store_reachable(now))
    }

    /// Other instances that are present and may get callers with keys.
    pub fn serving(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, &Registration)> {
        self.members.serving(now, self.is_store_reachable(now))
    }

    /// Address of an instance to read the store's content from, if this one is stale
    /// and another is not.
    #[must_use]
    pub fn fresh_peer(&self, now: Time) -> Option<SocketAddr> {
        // An instance that has just started gets everything from its upstream. Asking
        // others too would fill links that all instances need for their start.
        let is_stale = self.store.revision > 0 && !self.is_fit_for_callers(now);
        self.members
            .fresh_peer(now, &self.identity.region)
            .filter(|_| is_stale)
    }

    /// Other instances with the version that each has in force, if they were heard from
    /// recently.
    pub fn versions(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (&Arc<str>, &Registration, Option<u64>)> {
        self.members.versions(now)
    }

    /// Address of an instance that knows more of the store than this one.
    #[must_use]
    pub fn peer_ahead(&self, now: Time) -> Option<SocketAddr> {
        self.members
            .peer_ahead(now, self.store.revision, self.version())
    }

    /// Removes what is gone. Returns the names of targets that were missing and are
    /// dropped.
    pub fn sweep(&mut self, now: Time) -> Vec<Arc<str>> {
        self.suspects.expire(now);
        self.sweep_rows();
        self.sweep_breaks(now);
        self.sweep_reach(now);
        self.members.sweep(now);
        self.sweep_loads(now);
        self.roster.update_peer_load(now, &self.members);
        self.update_participants(now);
        self.update_referral(now);
        self.roster.sweep(now)
    }

    /// Updates the instances that share sums with this one.
    fn update_participants(&mut self, now: Time) {
        self.participants.clear();
        let participant = |(name, registration): (&Arc<str>, &Registration)| Participant {
            region: Arc::clone(&registration.region),
            name_hash: members::name_hash(name),
        };
        self.participants
            .extend(self.members.participants(now).map(participant));
    }
}
