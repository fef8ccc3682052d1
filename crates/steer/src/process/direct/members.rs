//! Which other instances there are, and what they say they have at work.
//!
//! Two sources name an instance: its row in the platform's store, which ends
//! with its lease, and its own heartbeats. Either alone misleads: rows vanish
//! when the store lapses or revokes leases, and stay when the store is away and
//! nothing can end them; heartbeats are lost where two instances are cut off
//! from each other though callers reach both.
//!
//! An instance that nobody hears and the store no longer lists may be cut off
//! and still send: it keeps its part of what is bounded as a sum for longer than
//! callers are sent to it.
//!
//! Invariant: an instance that was ended counts as there for at most
//! [`SILENT`] after its row is gone or the store is out of touch.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use super::health::Observation;
use super::limit::LimitReport;
use crate::clock::Time;

/// Time without a heartbeat after which one no longer counts as there, unless
/// the store, in touch, says so. Several heartbeats may be lost before.
pub const SILENT: Duration = Duration::from_secs(3);

/// Time for which an instance of which there is no sign keeps its part of sums:
/// cuts that heal by themselves last seconds.
const KEPT: Duration = Duration::from_secs(30);

/// Time for which an instance that has appeared counts as new: it has to learn first
/// what the others know.
const NEW: Duration = Duration::from_secs(5);

/// Age of this process up to which all others seem to have just appeared.
const ACQUAINTED: Duration = Duration::from_secs(2);

/// Time for which what an instance has at work is believed.
const FRESH: Duration = Duration::from_millis(1200);

/// Where an instance is reached, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Its region.
    pub region: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where peers call.
    pub peers: SocketAddr,
    /// Where heartbeats go.
    pub heartbeats: SocketAddr,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Who sends it.
    pub name: Arc<str>,
    /// Tells its incarnations apart.
    pub incarnation: u64,
    /// Counts its heartbeats.
    pub seq: u64,
    /// Whether it has been told to stop.
    pub is_leaving: bool,
    /// Whether callers with keys are better served elsewhere: it doesn't hear
    /// enough of the store.
    pub is_stale: bool,
    /// Revision of the store up to which it knows everything.
    pub revision: u64,
    /// Version of the configuration that it has in force.
    pub version: u64,
    /// Where it is, now and then.
    pub registration: Option<Registration>,
    /// Requests that it has at targets: the target's mark, and how many.
    pub in_flight: Vec<(u32, u8)>,
    /// Objects that targets of its region hold: the target's mark, and the
    /// object's.
    pub warm_objects: Vec<(u32, u32)>,
    /// Requests under which targets broke lately: fingerprint, and strikes.
    pub suspects: Vec<(u128, u8)>,
    /// What it saw of slow and failing targets, sorted by mark.
    pub observations: Vec<Observation>,
    /// Limits that targets have named to it, or no longer name.
    pub limits: Vec<LimitReport>,
}

#[derive(Clone, Debug)]
struct Member {
    name: Arc<str>,
    registration: Option<Registration>,
    is_listed: bool,
    /// When its row came, if it wasn't there before.
    appeared_at: Option<Time>,
    /// When its row went.
    unlisted_at: Option<Time>,
    last_seen: Option<Time>,
    incarnation: u64,
    seq: u64,
    is_leaving: bool,
    is_stale: bool,
    revision: u64,
    version: u64,
    in_flight: Vec<(u32, u8)>,
}

/// The other instances, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Members {
    members: Vec<Member>,
}

impl Members {
    /// A row in the store.
    pub fn add(&mut self, now: Time, name: &str, row: Registration) {
        let member = self.ensure(name);
        if !member.is_listed && now >= Time::ZERO + ACQUAINTED {
            member.appeared_at = Some(now);
        }
        member.registration = Some(row);
        member.is_listed = true;
        member.is_leaving = false;
    }

    /// A row is gone from the store. It counts on for a moment: its instance
    /// may be there all the same, which its heartbeats tell.
    pub fn unlist(&mut self, now: Time, name: &str) {
        if let Ok(at) = self.find(name) {
            self.members[at].unlist(now);
        }
    }

    /// Keeps only these as listed.
    pub fn retain_listed(&mut self, now: Time, names: &[&str]) {
        for member in &mut self.members {
            if !names.contains(&&*member.name) {
                member.unlist(now);
            }
        }
    }

    /// Takes a heartbeat; an older one of the same life is passed over. Says
    /// whether its sender has come to share sums by it, or no longer does.
    pub fn receive(&mut self, now: Time, beat: Heartbeat) -> bool {
        let member = self.ensure(&beat.name);
        if member.incarnation == beat.incarnation
            && beat.seq <= member.seq
            && member.last_seen.is_some()
        {
            return false;
        }
        let shares = |m: &Member| m.registration.is_some() && m.may_send(now);
        let before = shares(member);
        if beat.registration.is_some() {
            member.registration = beat.registration;
        }
        member.last_seen = Some(now);
        member.incarnation = beat.incarnation;
        member.seq = beat.seq;
        member.is_leaving = beat.is_leaving;
        member.is_stale = beat.is_stale;
        member.revision = beat.revision;
        member.version = beat.version;
        member.in_flight = beat.in_flight;
        shares(member) != before
    }

    /// Names and rows of those that are there; `store`: whether the store is in
    /// touch, so that its rows are true.
    pub fn present(
        &self,
        now: Time,
        store: bool,
    ) -> impl Iterator<Item = (&Arc<str>, &Registration)> {
        let there = move |m: &&Member| is_there(m, now, store);
        let members = self.members.iter().filter(there);
        members.filter_map(|m| m.registration.as_ref().map(|row| (&m.name, row)))
    }

    /// The same without those that have said lately that callers with keys are
    /// better served elsewhere.
    pub fn serving(
        &self,
        now: Time,
        store: bool,
    ) -> impl Iterator<Item = (&Arc<str>, &Registration)> {
        let there = move |m: &&Member| is_there(m, now, store) && !m.is_known_stale(now);
        let members = self.members.iter().filter(there);
        members.filter_map(|m| m.registration.as_ref().map(|row| (&m.name, row)))
    }

    /// Where to ask what the store holds: of those of a region heard lately, one that
    /// isn't too stale itself.
    #[must_use]
    pub fn fresh_peer(&self, now: Time, region: &str) -> Option<SocketAddr> {
        let near = |m: &Member| {
            m.registration
                .as_ref()
                .is_some_and(|row| *row.region == *region)
        };
        let fit = |m: &&Member| m.is_live(now) && !m.is_stale && !m.is_leaving && near(m);
        let newest = self
            .members
            .iter()
            .filter(fit)
            .max_by_key(|m| m.last_seen)?;
        newest.registration.as_ref().map(|row| row.peers)
    }

    /// The same, with the version of the configuration that each has said lately
    /// it has in force.
    pub fn versions(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (&Arc<str>, &Registration, Option<u64>)> {
        let may_send = move |m: &&Member| m.may_send(now);
        let members = self.members.iter().filter(may_send);
        members.filter_map(move |m| {
            let heard = m.last_seen.is_some_and(|at| now.since(at) < SILENT);
            let row = m.registration.as_ref()?;
            Some((&m.name, row, heard.then_some(m.version)))
        })
    }

    /// Whether another instance was heard lately.
    #[must_use]
    pub fn has_live_peer(&self, now: Time) -> bool {
        let heard = |m: &Member| m.last_seen.is_some_and(|at| now.since(at) < SILENT);
        self.members.iter().any(heard)
    }

    /// Whether an instance has just appeared.
    #[must_use]
    pub fn is_new(&self, now: Time, name: &str) -> bool {
        let appeared = self.find(name).map(|at| self.members[at].appeared_at);
        let appeared = appeared.ok().flatten();
        appeared.is_some_and(|at| now.since(at) < NEW)
    }

    /// Where an instance is reached, whether it is there or not.
    #[must_use]
    pub fn registration(&self, name: &str) -> Option<&Registration> {
        let at = self.find(name).ok()?;
        self.members[at].registration.as_ref()
    }

    /// Names and rows of those that may be sending requests, whether callers
    /// should still be sent to them or not.
    pub fn participants(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, &Registration)> {
        let may_send = move |m: &&Member| m.may_send(now);
        let members = self.members.iter().filter(may_send);
        members.filter_map(|m| m.registration.as_ref().map(|row| (&m.name, row)))
    }

    /// Forgets those that are gone.
    pub fn sweep(&mut self, now: Time) {
        // One that leaves and is still listed must be known to leave.
        self.members.retain(|m| m.is_listed || m.may_send(now));
    }

    /// Requests that others have said lately they have at targets, by mark; a
    /// target once for each of them.
    pub fn in_flight(&self, now: Time) -> impl Iterator<Item = (u32, u8)> {
        let fresh = move |m: &&Member| m.last_seen.is_some_and(|at| now.since(at) < FRESH);
        let members = self.members.iter().filter(fresh);
        members.flat_map(|m| m.in_flight.iter().copied())
    }

    /// Where to ask for what the store says: of those heard lately, one that
    /// knows a later revision or version than `known`.
    #[must_use]
    pub fn peer_ahead(&self, now: Time, revision: u64, version: u64) -> Option<SocketAddr> {
        let fresh = |m: &&Member| m.last_seen.is_some_and(|at| now.since(at) < SILENT);
        let ahead = |m: &&Member| m.version > version || m.revision > revision;
        let members = self.members.iter().filter(fresh).filter(ahead);
        let best = members.max_by_key(|m| (m.version, m.revision))?;
        best.registration.as_ref().map(|row| row.peers)
    }

    fn ensure(&mut self, name: &str) -> &mut Member {
        let at = match self.find(name) {
            Ok(at) => at,
            Err(at) => {
                self.members.insert(at, Member::new(name));
                at
            }
        };
        &mut self.members[at]
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.members.binary_search_by(|m| (*m.name).cmp(name))
    }
}

impl Member {
    fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            registration: None,
            is_listed: false,
            appeared_at: None,
            unlisted_at: None,
            last_seen: None,
            incarnation: 0,
            seq: 0,
            is_leaving: false,
            is_stale: false,
            revision: 0,
            version: 0,
            in_flight: Vec::new(),
        }
    }
}

impl Member {
    fn unlist(&mut self, now: Time) {
        if self.is_listed {
            self.is_listed = false;
            self.unlisted_at = Some(now);
        }
    }

    fn is_live(&self, now: Time) -> bool {
        self.last_seen.is_some_and(|at| now.since(at) < SILENT)
    }

    fn is_known_stale(&self, now: Time) -> bool {
        self.is_stale && self.is_live(now)
    }

    /// Whether it may be sending requests. One that was told to stop does so
    /// for as long as it is heard.
    fn may_send(&self, now: Time) -> bool {
        if self.is_leaving {
            return self.last_seen.is_some_and(|at| now.since(at) < SILENT);
        }
        let last = self.last_seen.max(self.unlisted_at);
        self.is_listed || last.is_some_and(|at| now.since(at) < KEPT)
    }
}

fn is_there(member: &Member, now: Time, store: bool) -> bool {
    if member.is_leaving {
        return false;
    }
    let heard = member.last_seen.is_some_and(|at| now.since(at) < SILENT);
    heard || (member.is_listed && store)
}

/// The mark by which heartbeats name a target: a few bytes of its name's hash.
/// Two targets with one mark only make each look busier.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    reason = "a mark is a part of the hash"
)]
pub fn name_hash(id: &str) -> u32 {
    (super::hash(id.as_bytes()) >> 32) as u32
}
