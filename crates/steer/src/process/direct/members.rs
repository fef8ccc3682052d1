//! Membership: the other instances, and the load and health that they report.
//!
//! An instance is known from its registration in the platform's store, which ends with
//! its lease, and from its own heartbeats. Either source alone misleads. Registrations
//! disappear when the store expires or revokes leases, and stay while the store is
//! unreachable and can't end them. Heartbeats are lost between two instances that are
//! partitioned, although callers reach both.
//!
//! An instance that is silent and no longer registered may be partitioned and still
//! send requests. It therefore keeps its allotment of sums for longer than callers are
//! sent to it.
//!
//! Invariant: an instance that has ended counts as present for at most
//! [`HEARTBEAT_TIMEOUT`] after its registration is gone or the store became
//! unreachable.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use super::health::Observation;
use super::limit::LimitReport;
use super::referral::size::Size;
use crate::clock::Time;

/// Time without a heartbeat after which an instance no longer counts as present, unless
/// the reachable store lists it. Several heartbeats in a row may be lost before.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which an instance without any sign of life keeps its allotment of sums;
/// partitions that heal by themselves last seconds.
const ALLOTMENT_RETENTION: Duration = Duration::from_secs(30);

/// Time for which an instance that has appeared counts as new, as it first has to learn
/// the state of the others.
const NEWCOMER_SPAN: Duration = Duration::from_secs(5);

/// Age of this process up to which no other instance counts as new, since it sees all
/// of them appear.
const STARTUP_SPAN: Duration = Duration::from_secs(2);

/// Time for which an instance that is known by its heartbeats only counts as one whose row
/// is about to be read; reads of the store are several times as frequent.
const ROW_WAIT: Duration = Duration::from_secs(5);

/// Time for which an instance's report of its requests in flight is used.
const IN_FLIGHT_TTL: Duration = Duration::from_millis(1200);

/// Largest number of targets with requests in flight in one heartbeat, so that it fits a
/// datagram.
pub const IN_FLIGHT_MAX: usize = 70;

/// Location and addresses of an instance, as registered in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Region of the instance.
    pub region: Arc<str>,
    /// Failure domain of the instance.
    pub domain: Arc<str>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for calls of peers.
    pub peers: SocketAddr,
    /// Address for heartbeats.
    pub heartbeats: SocketAddr,
}

/// Heartbeat of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Name of the sender.
    pub name: Arc<str>,
    /// Distinguishes processes of the same name.
    pub incarnation: u64,
    /// Counts the heartbeats of this incarnation.
    pub seq: u64,
    /// Whether the sender has been told to stop.
    pub is_leaving: bool,
    /// Whether callers are better served elsewhere: the sender's knowledge of the store is
    /// too old for keys, or it is cut off from all targets.
    pub is_stale: bool,
    /// Revision of the store up to which the sender knows everything.
    pub revision: u64,
    /// Version of the configuration in force at the sender.
    pub version: u64,
    /// Registration of the sender; only in some heartbeats.
    pub registration: Option<Registration>,
    /// Requests of the sender that are at targets: hash of the target's name, and
    /// number.
    pub in_flight: Vec<(u32, u8)>,
    /// Objects that targets of the sender's region hold: hash of the target's name, and
    /// hash of the object.
    pub warm_objects: Vec<(u32, u32)>,
    /// Requests during which targets recently broke off: fingerprint and strikes.
    pub suspects: Vec<(u128, u8)>,
    /// Observations of slow and failing targets, sorted by target hash.
    pub observations: Vec<Observation>,
    /// Limits that targets reported to the sender, or recently lifted.
    pub limits: Vec<LimitReport>,
}

/// What is known of an instance's size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sizing {
    /// Its row told it.
    Known(Size),
    /// Its row is yet to be read.
    Pending,
    /// Its row doesn't tell, or can't be read.
    Unknown,
}

#[derive(Clone, Debug)]
struct Member {
    name: Arc<str>,
    registration: Option<Registration>,
    /// Size in its last row. Heartbeats carry none.
    size: Option<Size>,
    /// Time of its first heartbeat.
    heard_at: Option<Time>,
    is_listed: bool,
    /// Time at which it was registered, if that was after the start of this process.
    appeared_at: Option<Time>,
    /// Time at which its registration went.
    unlisted_at: Option<Time>,
    last_seen: Option<Time>,
    incarnation: u64,
    seq: u64,
    is_leaving: bool,
    is_stale: bool,
    revision: u64,
    version: u64,
}

/// Requests that an instance has reported to have at targets.
#[derive(Clone, Debug)]
struct LoadReport {
    sender: Arc<str>,
    received_at: Time,
    in_flight: Vec<(u32, u8)>,
}

/// Other instances, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Members {
    all: Vec<Member>,
    /// Latest reports of the instances that send heartbeats to this one, sorted by
    /// sender: few, however many instances there are.
    load_reports: Vec<LoadReport>,
    /// Time of the last heartbeat of any instance.
    last_heard: Option<Time>,
}

impl Members {
    /// Adds an instance that is registered in the store.
    pub fn add(&mut self, now: Time, name: &str, registration: Registration) {
        let member = self.ensure(name);
        if !member.is_listed && now >= Time::ZERO + STARTUP_SPAN {
            member.appeared_at = Some(now);
        }
        member.registration = Some(registration);
        member.is_listed = true;
        member.is_leaving = false;
    }

    /// Records that a registration is gone from the store. The instance may still run
    /// and count as present by its heartbeats.
    pub fn unlist(&mut self, now: Time, name: &str) {
        if let Ok(at) = self.find(name) {
            self.all[at].unlist(now);
        }
    }

    /// Treats all instances but these as no longer registered.
    pub fn retain_listed(&mut self, now: Time, names: &[&str]) {
        let mut sorted = names.to_vec();
        sorted.sort_unstable();
        for member in &mut self.all {
            if sorted.binary_search(&&*member.name).is_err() {
                member.unlist(now);
            }
        }
    }

    /// Takes a heartbeat, unless a later one of the same incarnation was received.
    /// Returns whether its sender has become a participant in sums, or has ceased to be
    /// one.
    pub fn receive(&mut self, now: Time, heartbeat: Heartbeat) -> bool {
        if !self.is_newer(&heartbeat) {
            return false;
        }
        let member = self.ensure(&heartbeat.name);
        let participates = |m: &Member| m.registration.is_some() && m.may_send(now);
        let before = participates(member);
        if heartbeat.registration.is_some() {
            member.registration = heartbeat.registration;
        }
        member.last_seen = Some(now);
        member.heard_at.get_or_insert(now);
        member.incarnation = heartbeat.incarnation;
        member.seq = heartbeat.seq;
        member.is_leaving = heartbeat.is_leaving;
        member.is_stale = heartbeat.is_stale;
        member.revision = heartbeat.revision;
        member.version = heartbeat.version;
        let has_changed = participates(member) != before;
        self.last_heard = Some(now);
        self.record_load(LoadReport {
            sender: heartbeat.name,
            received_at: now,
            in_flight: heartbeat.in_flight,
        });
        has_changed
    }

    /// Whether no later heartbeat of the same incarnation was received.
    pub(super) fn is_newer(&self, heartbeat: &Heartbeat) -> bool {
        let Ok(at) = self.find(&heartbeat.name) else {
            return true;
        };
        let member = &self.all[at];
        member.incarnation != heartbeat.incarnation
            || heartbeat.seq > member.seq
            || member.last_seen.is_none()
    }

    /// Drops the counts that an instance's heartbeats told. Returns whether there were
    /// any.
    pub(super) fn forget_load(&mut self, name: &str) -> bool {
        let found = self
            .load_reports
            .binary_search_by(|r| (*r.sender).cmp(name));
        found.is_ok_and(|at| !self.load_reports.remove(at).in_flight.is_empty())
    }

    /// Replaces the report of its sender.
    fn record_load(&mut self, report: LoadReport) {
        let reports = &mut self.load_reports;
        match reports.binary_search_by(|r| r.sender.cmp(&report.sender)) {
            Ok(at) => reports[at] = report,
            Err(at) => reports.insert(at, report),
        }
    }

    /// Instances that are present. The store's list counts only if
    /// `is_store_reachable`.
    pub fn present(
        &self,
        now: Time,
        is_store_reachable: bool,
    ) -> impl Iterator<Item = (&Arc<str>, &Registration)> {
        let present = move |m: &&Member| is_present(m, now, is_store_reachable);
        let members = self.all.iter().filter(present);
        members.filter_map(|m| {
            m.registration
                .as_ref()
                .map(|registration| (&m.name, registration))
        })
    }

    /// Instances that are present and have not reported that callers with keys are
    /// better served elsewhere.
    pub fn serving(
        &self,
        now: Time,
        is_store_reachable: bool,
    ) -> impl Iterator<Item = (&Arc<str>, &Registration)> {
        let present =
            move |m: &&Member| is_present(m, now, is_store_reachable) && !m.is_known_stale(now);
        let members = self.all.iter().filter(present);
        members.filter_map(|m| {
            m.registration
                .as_ref()
                .map(|registration| (&m.name, registration))
        })
    }

    /// Address of an instance to read the store's content from: of those in the region
    /// that are live and not stale, the one heard from last.
    #[must_use]
    pub fn fresh_peer(&self, now: Time, region: &str) -> Option<SocketAddr> {
        let in_region = |m: &Member| {
            m.registration
                .as_ref()
                .is_some_and(|registration| *registration.region == *region)
        };
        let is_fit = |m: &&Member| m.is_live(now) && !m.is_stale && !m.is_leaving && in_region(m);
        let newest = self.all.iter().filter(is_fit).max_by_key(|m| m.last_seen)?;
        newest
            .registration
            .as_ref()
            .map(|registration| registration.peers)
    }

    /// Instances that may be sending requests, with the version of the configuration in
    /// force if they were heard from recently.
    pub fn versions(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (&Arc<str>, &Registration, Option<u64>)> {
        let may_send = move |m: &&Member| m.may_send(now);
        let members = self.all.iter().filter(may_send);
        members.filter_map(move |m| {
            let is_live = m
                .last_seen
                .is_some_and(|at| now.since(at) < HEARTBEAT_TIMEOUT);
            let registration = m.registration.as_ref()?;
            Some((&m.name, registration, is_live.then_some(m.version)))
        })
    }

    /// Returns whether a heartbeat of any other instance arrived recently.
    #[must_use]
    pub fn has_live_peer(&self, now: Time) -> bool {
        self.last_heard
            .is_some_and(|at| now.since(at) < HEARTBEAT_TIMEOUT)
    }

    /// Returns whether an instance has appeared recently.
    #[must_use]
    pub fn is_new(&self, now: Time, name: &str) -> bool {
        let appeared = self.find(name).map(|at| self.all[at].appeared_at);
        let appeared = appeared.ok().flatten();
        appeared.is_some_and(|at| now.since(at) < NEWCOMER_SPAN)
    }

    /// Addresses for heartbeats of the instances that have appeared recently, sorted.
    #[must_use]
    pub fn newcomers(&self, now: Time) -> Vec<SocketAddr> {
        let is_new = |m: &&Member| {
            m.appeared_at
                .is_some_and(|at| now.since(at) < NEWCOMER_SPAN)
        };
        let all = self.all.iter().filter(is_new);
        let addrs = all.filter_map(|m| Some(m.registration.as_ref()?.heartbeats));
        let mut addrs: Vec<SocketAddr> = addrs.collect();
        addrs.sort_unstable();
        addrs
    }

    /// Registration of an instance, whether or not it is present.
    #[must_use]
    pub fn registration(&self, name: &str) -> Option<&Registration> {
        let at = self.find(name).ok()?;
        self.all[at].registration.as_ref()
    }

    /// Sets the size that an instance's row tells, if the instance is known.
    pub fn set_size(&mut self, name: &str, size: Option<Size>) {
        if let Ok(at) = self.find(name) {
            self.all[at].size = size;
        }
    }

    /// What is known of an instance's size.
    #[must_use]
    pub fn sizing(&self, now: Time, name: &str, is_store_reachable: bool) -> Sizing {
        let Ok(at) = self.find(name) else {
            return Sizing::Unknown;
        };
        let member = &self.all[at];
        let is_new = member.heard_at.is_some_and(|at| now.since(at) < ROW_WAIT);
        match member.size {
            Some(size) => Sizing::Known(size),
            None if !member.is_listed && is_store_reachable && is_new => Sizing::Pending,
            None => Sizing::Unknown,
        }
    }

    /// Instances that may be sending requests, including those that get no more
    /// callers.
    pub fn participants(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, &Registration)> {
        let may_send = move |m: &&Member| m.may_send(now);
        let members = self.all.iter().filter(may_send);
        members.filter_map(|m| {
            m.registration
                .as_ref()
                .map(|registration| (&m.name, registration))
        })
    }

    /// Removes instances that are gone, and reports that are too old to be used.
    pub fn sweep(&mut self, now: Time) {
        self.load_reports.retain(|r| r.is_fresh(now));
        // One that leaves while it is registered must stay known as leaving.
        self.all.retain(|m| m.is_listed || m.may_send(now));
    }

    /// Requests that other instances recently reported to have at targets, by target
    /// hash; a target appears once for each instance.
    pub fn in_flight(&self, now: Time) -> impl Iterator<Item = (u32, u8)> {
        let reports = self.load_reports.iter().filter(move |r| r.is_fresh(now));
        reports.flat_map(|r| r.in_flight.iter().copied())
    }

    /// Address of an instance that knows a later revision or version than these; the
    /// one with the latest version among those heard from recently.
    #[must_use]
    pub fn peer_ahead(&self, now: Time, revision: u64, version: u64) -> Option<SocketAddr> {
        let is_fresh = |m: &&Member| {
            m.last_seen
                .is_some_and(|at| now.since(at) < HEARTBEAT_TIMEOUT)
        };
        let ahead = |m: &&Member| m.version > version || m.revision > revision;
        let members = self.all.iter().filter(is_fresh).filter(ahead);
        let best = members.max_by_key(|m| (m.version, m.revision))?;
        best.registration
            .as_ref()
            .map(|registration| registration.peers)
    }

    fn ensure(&mut self, name: &str) -> &mut Member {
        let at = match self.find(name) {
            Ok(at) => at,
            Err(at) => {
                self.all.insert(at, Member::new(name));
                at
            }
        };
        &mut self.all[at]
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.all.binary_search_by(|m| (*m.name).cmp(name))
    }
}

impl Member {
    fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            registration: None,
            size: None,
            heard_at: None,
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
        }
    }
    fn unlist(&mut self, now: Time) {
        if self.is_listed {
            self.is_listed = false;
            self.unlisted_at = Some(now);
        }
    }

    fn is_live(&self, now: Time) -> bool {
        self.last_seen
            .is_some_and(|at| now.since(at) < HEARTBEAT_TIMEOUT)
    }

    fn is_known_stale(&self, now: Time) -> bool {
        self.is_stale && self.is_live(now)
    }

    /// Returns whether it may be sending requests. One that was told to stop does so
    /// while its heartbeats arrive.
    fn may_send(&self, now: Time) -> bool {
        if self.is_leaving {
            return self
                .last_seen
                .is_some_and(|at| now.since(at) < HEARTBEAT_TIMEOUT);
        }
        let last = self.last_seen.max(self.unlisted_at);
        self.is_listed || last.is_some_and(|at| now.since(at) < ALLOTMENT_RETENTION)
    }
}

impl LoadReport {
    fn is_fresh(&self, now: Time) -> bool {
        now.since(self.received_at) < IN_FLIGHT_TTL
    }
}

fn is_present(member: &Member, now: Time, is_store_reachable: bool) -> bool {
    if member.is_leaving {
        return false;
    }
    let is_live = member
        .last_seen
        .is_some_and(|at| now.since(at) < HEARTBEAT_TIMEOUT);
    is_live || (member.is_listed && is_store_reachable)
}

/// Hash by which heartbeats identify a target or an instance: the upper half of the
/// full hash of its name. Targets whose hashes collide each look busier than they are.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    reason = "the upper half of the hash"
)]
pub fn name_hash(id: &str) -> u32 {
    (super::hash(id.as_bytes()) >> 32) as u32
}
