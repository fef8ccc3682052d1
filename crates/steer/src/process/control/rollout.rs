//! Fetches newer versions from the store and from peers, and has them
//! installed.
//!
//! Invariant: a version is installed once its head and all its bodies are
//! present; the [`tracker`] decides which version is next.

use core::time::Duration;
use std::net::SocketAddr;
use std::sync::Arc;

use super::message::{Content, Message};
use super::store::{BodyRead, Call, CallId, Demand, Reply, Request, StoredHead, Transition};
use super::{
    Action, Control, MemberStatus, Notice, WATCHER_ROTATION_VERSIONS, WATCHERS_PER_DOMAIN,
};
use crate::clock::Time;
use crate::process::config::tracker::{self, OfferOutcome, Source};
use crate::process::config::{Body, Hash, Head};
use crate::process::member::{Record, hash};
use crate::version::view::Version;

/// Time within which a peer has to answer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of bodies requested at a time.
const FETCHES_MAX: usize = 8;

/// Size of the bodies in one message, in bytes, unless a single body is larger.
const BODIES_MESSAGE_BYTES_MAX: usize = 1 << 20;

/// Faults of the store's data that were already reported.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedFaults {
    /// Whether the store's head is below the version in force.
    has_regressed: bool,
    /// Last version that was received with other content.
    forked: Version,
}

/// A head requested from a peer.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeadRequest {
    until: Time,
}

/// A requested body.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyRequest {
    hash: Hash,
    attempts: u32,
    until: Time,
}

impl Control {
    /// Handles the version that a peer has in force, and requests the peer's
    /// head if the version is newer.
    pub(super) fn note_version(
        &mut self,
        now: Time,
        version: Version,
        from: &Record,
        out: &mut Vec<Action>,
    ) {
        self.newest_seen = self.newest_seen.max(version);
        if version > self.tracker.version() && version >= self.tracker.known() {
            self.body_source = Some(from.identity.peer);
        }
        let is_requested = self.head_request.is_some_and(|r| now < r.until);
        if !self.guards.pull || is_requested || !self.tracker.should_request(version) {
            return;
        }
        let until = now + FETCH_TIMEOUT;
        self.head_request = Some(HeadRequest { until });
        let known = self.tracker.known();
        self.send(from.identity.peer, Content::Pull(known), out);
    }

    /// Handles messages that transfer heads and bodies.
    pub(super) fn handle_transfer(&mut self, now: Time, message: &Message, out: &mut Vec<Action>) {
        let to = message.reply_addr();
        match &message.content {
            Content::Pull(known) => {
                let head = self.tracker.head().filter(|h| h.version != *known);
                if let Some(head) = head.map(Arc::clone) {
                    self.send(to, Content::Offer(head), out);
                }
            }
            Content::Offer(head) if self.guards.pull => {
                self.head_request = None;
                self.handle_offer(head, Source::Peer(to), out);
                self.rollout_step(now, out);
            }
            Content::Fetch(hashes) => {
                let bodies = self.collect_bodies(hashes);
                if !bodies.is_empty() {
                    self.send(to, Content::Bodies(bodies), out);
                }
            }
            Content::Bodies(bodies) => {
                for body in bodies {
                    self.tracker.add_body(body.clone());
                }
                self.rollout_step(now, out);
            }
            _ => {}
        }
    }

    fn collect_bodies(&self, hashes: &[Hash]) -> Vec<Body> {
        let mut bodies: Vec<Body> = Vec::new();
        let mut bytes = 0;
        for body in hashes.iter().filter_map(|&h| self.tracker.body(h)) {
            bytes += body.bytes.len();
            if bytes > BODIES_MESSAGE_BYTES_MAX && !bodies.is_empty() {
                break;
            }
            bodies.push(body.clone());
        }
        bodies
    }

    fn handle_offer(&mut self, head: &Arc<Head>, source: Source, out: &mut Vec<Action>) {
        self.newest_seen = self.newest_seen.max(head.version);
        match self.tracker.offer(head, source) {
            OfferOutcome::Newer => self.body_requests.clear(),
            OfferOutcome::Same | OfferOutcome::Rejected => {}
            OfferOutcome::Stale => self.counters.stale += 1,
            OfferOutcome::Forked => {
                self.counters.forked += 1;
                if self.reported_faults.forked != head.version {
                    self.reported_faults.forked = head.version;
                    out.push(Action::Notice(Notice::Forked(head.version)));
                }
            }
        }
    }

    /// Has the next version installed if it is complete, otherwise requests
    /// missing bodies.
    pub(super) fn rollout_step(&mut self, now: Time, out: &mut Vec<Action>) {
        let is_behind = self.newest_seen > self.tracker.version()
            && self.tracker.is_installable(self.newest_seen);
        self.slot.set_behind(now, is_behind);
        self.end_doubt(now, out);
        if let Some(tracker::Complete { head, bodies }) = self.tracker.take_complete() {
            self.body_requests.clear();
            return out.push(Action::Install { head, bodies });
        }
        let missing = self.tracker.missing_bodies();
        self.body_requests.retain(|r| missing.contains(&r.hash));
        let mut from_peer = Vec::new();
        for &hash in missing.iter().take(FETCHES_MAX) {
            if self.request_body(now, hash, out) {
                from_peer.push(hash);
            }
        }
        let Some(to) = self.body_peer() else { return };
        if !from_peer.is_empty() {
            self.send(to, Content::Fetch(from_peer), out);
        }
    }

    /// Requests a body from the store if a request is due. Returns true if a
    /// peer has to be asked instead. Attempts alternate between the store and a
    /// peer, starting with the origin of the head.
    fn request_body(&mut self, now: Time, hash: Hash, out: &mut Vec<Action>) -> bool {
        let found = self.body_requests.iter().position(|r| r.hash == hash);
        let at = found.unwrap_or_else(|| {
            let until = now;
            self.body_requests.push(BodyRequest {
                hash,
                attempts: 0,
                until,
            });
            self.body_requests.len() - 1
        });
        let BodyRequest {
            attempts, until, ..
        } = self.body_requests[at];
        if now < until {
            return false;
        }
        let from_store = u32::from(matches!(self.tracker.source(), Some(Source::Store)));
        let mut peer = (attempts + from_store).is_multiple_of(2) && self.guards.pull;
        if !peer {
            let mut calls = Vec::new();
            match self.store.read_body(now, hash, &mut calls) {
                BodyRead::Started => push_calls(calls, out),
                BodyRead::Busy => return false,
                BodyRead::Unavailable => peer = self.guards.pull,
            }
        }
        let request = &mut self.body_requests[at];
        request.attempts += 1;
        request.until = now + FETCH_TIMEOUT;
        peer
    }

    /// The peer to request bodies from: the last one heard to have the newest
    /// version in force, otherwise the origin of the head. The former has the
    /// bodies even if the store became unavailable between head and bodies.
    fn body_peer(&self) -> Option<SocketAddr> {
        let origin = match self.tracker.source() {
            Some(Source::Peer(addr)) => Some(addr),
            Some(Source::Store) | None => None,
        };
        self.body_source.or(origin)
    }

    pub(super) fn handle_installed(
        &mut self,
        now: Time,
        version: Version,
        slots: Option<u32>,
        out: &mut Vec<Action>,
    ) {
        let source = self.tracker.source();
        if !self.tracker.installed(version) {
            return;
        }
        self.counters.installed += 1;
        self.body_source = None;
        self.is_dirty = true;
        self.slot.configure(now, slots);
        out.push(Action::Notice(Notice::InForce(version)));
        self.rollout_step(now, out);
        self.publish_if_due(now, out);
        if source.is_some_and(|source| self.is_announcer(source)) {
            self.broadcast_heartbeat(now, false, out);
        }
    }

    /// Whether this process got a version from the store or another domain, and
    /// so has to announce it within its own domain.
    fn is_announcer(&self, source: Source) -> bool {
        match source {
            Source::Store => true,
            Source::Peer(addr) => !self.peers.iter().any(|p| p.addr == addr),
        }
    }

    pub(super) fn handle_rejected(&mut self, version: Version, out: &mut Vec<Action>) {
        if self.tracker.rejected(version) {
            self.counters.rejected += 1;
            out.push(Action::Notice(Notice::Rejected(version)));
        }
    }

    pub(super) fn store_step(&mut self, now: Time, out: &mut Vec<Action>) {
        let transition = self.store.expire(now, &mut self.rng);
        notify_transition(transition, out);
        let demand = Demand {
            is_watcher: self.is_watcher(),
            is_alone: self.peers.is_empty() && self.domains.iter().all(|d| d.is_silent),
        };
        let mut calls = Vec::new();
        self.store.step(now, demand, &mut self.rng, &mut calls);
        push_calls(calls, out);
    }

    /// Whether this process watches the head for its domain: it is among the
    /// [`WATCHERS_PER_DOMAIN`] lowest by a hash of name and version, with
    /// processes that reach the store first. All processes compute the same
    /// order, which changes as versions rise.
    pub(super) fn is_watcher(&self) -> bool {
        let round = self.tracker.version().0 / WATCHER_ROTATION_VERSIONS;
        let weight = |name: &str, store: bool| {
            let order = hash::stable_hash(&[name.as_bytes(), &round.to_le_bytes()]);
            (!store, order)
        };
        let mine = weight(&self.own.identity.name, !self.store.is_unavailable());
        let before = self
            .peers
            .iter()
            .filter(|p| weight(&p.name, p.health.store) < mine);
        before.take(WATCHERS_PER_DOMAIN).count() < WATCHERS_PER_DOMAIN
    }

    pub(super) fn handle_store_reply(
        &mut self,
        now: Time,
        id: CallId,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        let Some(answered) = self.store.take_answer(now, id, &reply, &mut self.rng) else {
            return;
        };
        notify_transition(answered.transition, out);
        match reply {
            Reply::Head(stored) => {
                let reported = stored.as_ref().map_or(Version(0), |s| s.head.version);
                self.check_store_head(stored, out);
                self.confirm(now, answered.sent_at, reported, out);
            }
            Reply::Watched(Some(stored)) => {
                self.handle_offer(&stored.head, Source::Store, out);
            }
            Reply::Body(hash, Some(bytes)) if answered.call == Call::Body(hash) => {
                self.tracker.add_body(Body { hash, bytes });
            }
            Reply::Listed(hints) => self.hints.replace(hints),
            Reply::Unavailable | Reply::Malformed => self.counters.failed += 1,
            Reply::Watched(None) | Reply::Body(..) => {}
        }
        if self.status != MemberStatus::Superseded {
            self.rollout_step(now, out);
            self.store_step(now, out);
        }
    }

    fn check_store_head(&mut self, stored: Option<StoredHead>, out: &mut Vec<Action>) {
        let force = self.tracker.version();
        let version = stored.as_ref().map_or(Version(0), |s| s.head.version);
        let is_behind = version < force;
        if is_behind != core::mem::replace(&mut self.reported_faults.has_regressed, is_behind) {
            out.push(Action::Notice(if is_behind {
                Notice::StoreBehind {
                    stored: version,
                    force,
                }
            } else {
                Notice::StoreCaughtUp
            }));
        }
        if let Some(stored) = stored {
            self.handle_offer(&stored.head, Source::Store, out);
        }
    }
}

fn notify_transition(transition: Transition, out: &mut Vec<Action>) {
    match transition {
        Transition::None => {}
        Transition::Lost => out.push(Action::Notice(Notice::StoreAway)),
        Transition::Restored => out.push(Action::Notice(Notice::StoreBack)),
    }
}

fn push_calls(calls: Vec<Request>, out: &mut Vec<Action>) {
    let actions = calls
        .into_iter()
        .map(|Request { id, call }| Action::Store { id, call });
    out.extend(actions);
}
