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
use super::limit::Named;
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
    pub beats: SocketAddr,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Who sends it.
    pub name: Arc<str>,
    /// Tells its incarnations apart.
    pub life: u64,
    /// Counts its heartbeats.
    pub seq: u64,
    /// Whether it has been told to stop.
    pub leaving: bool,
    /// Whether callers with keys are better served elsewhere: it doesn't hear
    /// enough of the store.
    pub doubtful: bool,
    /// Revision of the store up to which it knows everything.
    pub revision: u64,
    /// Version of the configuration that it has in force.
    pub version: u64,
    /// Where it is, now and then.
    pub row: Option<Registration>,
    /// Requests that it has at targets: the target's mark, and how many.
    pub flying: Vec<(u32, u8)>,
    /// Objects that targets of its region hold: the target's mark, and the
    /// object's.
    pub held: Vec<(u32, u32)>,
    /// Requests under which targets broke lately: fingerprint, and strikes.
    pub struck: Vec<(u128, u8)>,
    /// What it saw of slow and failing targets, sorted by mark.
    pub observations: Vec<Observation>,
    /// Limits that targets have named to it, or no longer name.
    pub limits: Vec<Named>,
}

#[derive(Clone, Debug)]
struct Member {
    name: Arc<str>,
    row: Option<Registration>,
    listed: bool,
    /// When its row came, if it wasn't there before.
    appeared: Option<Time>,
    /// When its row went.
    unlisted: Option<Time>,
    heard: Option<Time>,
    life: u64,
    seq: u64,
    leaving: bool,
    doubtful: bool,
    revision: u64,
    version: u64,
    flying: Vec<(u32, u8)>,
}

/// The other instances, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Members {
    members: Vec<Member>,
}

impl Members {
    /// A row in the store.
    pub fn list(&mut self, now: Time, name: &str, row: Registration) {
        let member = self.ensure(name);
        if !member.listed && now >= Time::ZERO + ACQUAINTED {
            member.appeared = Some(now);
        }
        member.row = Some(row);
        member.listed = true;
        member.leaving = false;
    }

    /// A row is gone from the store. It counts on for a moment: its instance
    /// may be there all the same, which its heartbeats tell.
    pub fn unlist(&mut self, now: Time, name: &str) {
        if let Ok(at) = self.find(name) {
            self.members[at].unlist(now);
        }
    }

    /// Keeps only these as listed.
    pub fn list_only(&mut self, now: Time, names: &[&str]) {
        for member in &mut self.members {
            if !names.contains(&&*member.name) {
                member.unlist(now);
            }
        }
    }

    /// Takes a heartbeat; an older one of the same life is passed over. Says
    /// whether its sender has come to share sums by it, or no longer does.
    pub fn hear(&mut self, now: Time, beat: Heartbeat) -> bool {
        let member = self.ensure(&beat.name);
        if member.life == beat.life && beat.seq <= member.seq && member.heard.is_some() {
            return false;
        }
        let shares = |m: &Member| m.row.is_some() && m.may_send(now);
        let before = shares(member);
        if beat.row.is_some() {
            member.row = beat.row;
        }
        member.heard = Some(now);
        member.life = beat.life;
        member.seq = beat.seq;
        member.leaving = beat.leaving;
        member.doubtful = beat.doubtful;
        member.revision = beat.revision;
        member.version = beat.version;
        member.flying = beat.flying;
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
        members.filter_map(|m| m.row.as_ref().map(|row| (&m.name, row)))
    }

    /// The same without those that have said lately that callers with keys are
    /// better served elsewhere.
    pub fn serving(
        &self,
        now: Time,
        store: bool,
    ) -> impl Iterator<Item = (&Arc<str>, &Registration)> {
        let there = move |m: &&Member| is_there(m, now, store) && !m.is_doubtful(now);
        let members = self.members.iter().filter(there);
        members.filter_map(|m| m.row.as_ref().map(|row| (&m.name, row)))
    }

    /// Where to ask what the store holds: of those of a region heard lately, one that
    /// isn't too stale itself.
    #[must_use]
    pub fn sound(&self, now: Time, region: &str) -> Option<SocketAddr> {
        let near = |m: &Member| m.row.as_ref().is_some_and(|row| *row.region == *region);
        let fit = |m: &&Member| m.is_heard(now) && !m.doubtful && !m.leaving && near(m);
        let newest = self.members.iter().filter(fit).max_by_key(|m| m.heard)?;
        newest.row.as_ref().map(|row| row.peers)
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
            let heard = m.heard.is_some_and(|at| now.since(at) < SILENT);
            let row = m.row.as_ref()?;
            Some((&m.name, row, heard.then_some(m.version)))
        })
    }

    /// Whether another instance was heard lately.
    #[must_use]
    pub fn is_any_heard(&self, now: Time) -> bool {
        let heard = |m: &Member| m.heard.is_some_and(|at| now.since(at) < SILENT);
        self.members.iter().any(heard)
    }

    /// Whether an instance has just appeared.
    #[must_use]
    pub fn is_new(&self, now: Time, name: &str) -> bool {
        let appeared = self.find(name).map(|at| self.members[at].appeared);
        let appeared = appeared.ok().flatten();
        appeared.is_some_and(|at| now.since(at) < NEW)
    }

    /// Where an instance is reached, whether it is there or not.
    #[must_use]
    pub fn row(&self, name: &str) -> Option<&Registration> {
        let at = self.find(name).ok()?;
        self.members[at].row.as_ref()
    }

    /// Names and rows of those that may be sending requests, whether callers
    /// should still be sent to them or not.
    pub fn sharing(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, &Registration)> {
        let may_send = move |m: &&Member| m.may_send(now);
        let members = self.members.iter().filter(may_send);
        members.filter_map(|m| m.row.as_ref().map(|row| (&m.name, row)))
    }

    /// Forgets those that are gone.
    pub fn sweep(&mut self, now: Time) {
        // One that leaves and is still listed must be known to leave.
        self.members.retain(|m| m.listed || m.may_send(now));
    }

    /// Requests that others have said lately they have at targets, by mark; a
    /// target once for each of them.
    pub fn flying(&self, now: Time) -> impl Iterator<Item = (u32, u8)> {
        let fresh = move |m: &&Member| m.heard.is_some_and(|at| now.since(at) < FRESH);
        let members = self.members.iter().filter(fresh);
        members.flat_map(|m| m.flying.iter().copied())
    }

    /// Where to ask for what the store says: of those heard lately, one that
    /// knows a later revision or version than `known`.
    #[must_use]
    pub fn ahead(&self, now: Time, revision: u64, version: u64) -> Option<SocketAddr> {
        let fresh = |m: &&Member| m.heard.is_some_and(|at| now.since(at) < SILENT);
        let ahead = |m: &&Member| m.version > version || m.revision > revision;
        let members = self.members.iter().filter(fresh).filter(ahead);
        let best = members.max_by_key(|m| (m.version, m.revision))?;
        best.row.as_ref().map(|row| row.peers)
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
            row: None,
            listed: false,
            appeared: None,
            unlisted: None,
            heard: None,
            life: 0,
            seq: 0,
            leaving: false,
            doubtful: false,
            revision: 0,
            version: 0,
            flying: Vec::new(),
        }
    }
}

impl Member {
    fn unlist(&mut self, now: Time) {
        if self.listed {
            self.listed = false;
            self.unlisted = Some(now);
        }
    }

    fn is_heard(&self, now: Time) -> bool {
        self.heard.is_some_and(|at| now.since(at) < SILENT)
    }

    fn is_doubtful(&self, now: Time) -> bool {
        self.doubtful && self.is_heard(now)
    }

    /// Whether it may be sending requests. One that was told to stop does so
    /// for as long as it is heard.
    fn may_send(&self, now: Time) -> bool {
        if self.leaving {
            return self.heard.is_some_and(|at| now.since(at) < SILENT);
        }
        let last = self.heard.max(self.unlisted);
        self.listed || last.is_some_and(|at| now.since(at) < KEPT)
    }
}

fn is_there(member: &Member, now: Time, store: bool) -> bool {
    if member.leaving {
        return false;
    }
    let heard = member.heard.is_some_and(|at| now.since(at) < SILENT);
    heard || (member.listed && store)
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
