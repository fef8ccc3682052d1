//! Takes newer versions from the store and from peers.

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

/// Time that a peer has to answer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Bodies asked for at a time.
const FETCHES_MAX: usize = 8;

/// Bytes of bodies in one message, unless one body alone is larger.
const BODIES_MESSAGE_BYTES_MAX: usize = 1 << 20;

/// Troubles with the store's data that were logged already.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Alarms {
    /// The store's head is below the version in force.
    regressed: bool,
    /// Last version that was met with other files.
    forked: Version,
}

/// A head asked of a peer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pull {
    until: Time,
}

/// A body asked for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fetch {
    hash: Hash,
    tries: u32,
    until: Time,
}

impl Control {
    /// A peer has this version in force. The one behind asks.
    pub(super) fn version_heard(
        &mut self,
        now: Time,
        version: Version,
        from: &Record,
        out: &mut Vec<Action>,
    ) {
        self.heard = self.heard.max(version);
        if version > self.tracker.version() && version >= self.tracker.known() {
            self.holder = Some(from.identity.peer);
        }
        let pulling = self.pull.is_some_and(|pull| now < pull.until);
        if !self.guards.pull || pulling || !self.tracker.should_request(version) {
            return;
        }
        let until = now + FETCH_TIMEOUT;
        self.pull = Some(Pull { until });
        let known = self.tracker.known();
        self.send(from.identity.peer, Content::Pull(known), out);
    }

    /// Messages that carry heads and bodies.
    pub(super) fn exchange(&mut self, now: Time, message: &Message, out: &mut Vec<Action>) {
        let to = message.reply_addr();
        match &message.content {
            Content::Pull(known) => {
                let head = self.tracker.head().filter(|h| h.version != *known);
                if let Some(head) = head.map(Arc::clone) {
                    self.send(to, Content::Offer(head), out);
                }
            }
            Content::Offer(head) if self.guards.pull => {
                self.pull = None;
                self.offered(head, Source::Peer(to), out);
                self.adopt_step(now, out);
            }
            Content::Fetch(hashes) => {
                let bodies = self.bodies(hashes);
                if !bodies.is_empty() {
                    self.send(to, Content::Bodies(bodies), out);
                }
            }
            Content::Bodies(bodies) => {
                for body in bodies {
                    self.tracker.add_body(body.clone());
                }
                self.adopt_step(now, out);
            }
            _ => {}
        }
    }

    fn bodies(&self, hashes: &[Hash]) -> Vec<Body> {
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

    fn offered(&mut self, head: &Arc<Head>, source: Source, out: &mut Vec<Action>) {
        self.heard = self.heard.max(head.version);
        match self.tracker.offer(head, source) {
            OfferOutcome::Newer => self.fetches.clear(),
            OfferOutcome::Same | OfferOutcome::Rejected => {}
            OfferOutcome::Stale => self.counters.stale += 1,
            OfferOutcome::Forked => {
                self.counters.forked += 1;
                if self.alarms.forked != head.version {
                    self.alarms.forked = head.version;
                    out.push(Action::Notice(Notice::Forked(head.version)));
                }
            }
        }
    }

    /// Installs the next version if all of it is here, else asks for the rest.
    pub(super) fn adopt_step(&mut self, now: Time, out: &mut Vec<Action>) {
        let newer = self.heard > self.tracker.version() && self.tracker.is_installable(self.heard);
        self.slot.set_behind(now, newer);
        self.end_doubt(now, out);
        if let Some(tracker::Complete { head, bodies }) = self.tracker.take_complete() {
            self.fetches.clear();
            return out.push(Action::Install { head, bodies });
        }
        let missing = self.tracker.missing_bodies();
        self.fetches.retain(|f| missing.contains(&f.hash));
        let mut from_peer = Vec::new();
        for &hash in missing.iter().take(FETCHES_MAX) {
            if self.fetch(now, hash, out) {
                from_peer.push(hash);
            }
        }
        let Some(to) = self.body_peer() else { return };
        if !from_peer.is_empty() {
            self.send(to, Content::Fetch(from_peer), out);
        }
    }

    /// Asks the store for a body that is due, or returns true if a peer is to
    /// be asked. Sources alternate, beginning with the one that told of it.
    fn fetch(&mut self, now: Time, hash: Hash, out: &mut Vec<Action>) -> bool {
        let found = self.fetches.iter().position(|f| f.hash == hash);
        let at = found.unwrap_or_else(|| {
            let until = now;
            self.fetches.push(Fetch {
                hash,
                tries: 0,
                until,
            });
            self.fetches.len() - 1
        });
        let Fetch { tries, until, .. } = self.fetches[at];
        if now < until {
            return false;
        }
        let told = u32::from(matches!(self.tracker.source(), Some(Source::Store)));
        let mut peer = (tries + told).is_multiple_of(2) && self.guards.pull;
        if !peer {
            let mut calls = Vec::new();
            match self.store.body(now, hash, &mut calls) {
                BodyRead::Started => push_calls(calls, out),
                BodyRead::Busy => return false,
                BodyRead::Unavailable => peer = self.guards.pull,
            }
        }
        let fetch = &mut self.fetches[at];
        fetch.tries += 1;
        fetch.until = now + FETCH_TIMEOUT;
        peer
    }

    /// A peer that can be asked for bodies: the last of any domain that was
    /// heard to have the version in force, or the one that told of it. If the
    /// store went away between head and bodies, only the former has them.
    fn body_peer(&self) -> Option<SocketAddr> {
        let told = match self.tracker.source() {
            Some(Source::Peer(addr)) => Some(addr),
            Some(Source::Store) | None => None,
        };
        self.holder.or(told)
    }

    pub(super) fn installed(
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
        self.holder = None;
        self.dirty = true;
        self.slot.configure(now, slots);
        out.push(Action::Notice(Notice::InForce(version)));
        self.adopt_step(now, out);
        self.publish_due(now, out);
        if source.is_some_and(|source| self.is_first(source)) {
            self.beat_all(now, false, out);
        }
    }

    /// Whether this process is among the first of its domain to have a version,
    /// so that it tells the others at once: it had it from the store or from
    /// another domain.
    fn is_first(&self, source: Source) -> bool {
        match source {
            Source::Store => true,
            Source::Peer(addr) => !self.peers.iter().any(|p| p.addr == addr),
        }
    }

    pub(super) fn rejected(&mut self, version: Version, out: &mut Vec<Action>) {
        if self.tracker.rejected(version) {
            self.counters.rejected += 1;
            out.push(Action::Notice(Notice::Rejected(version)));
        }
    }

    pub(super) fn store_step(&mut self, now: Time, out: &mut Vec<Action>) {
        let turn = self.store.expire(now, &mut self.rng);
        turned(turn, out);
        let need = Demand {
            watcher: self.is_watcher(),
            alone: self.peers.is_empty() && self.fars.iter().all(|f| f.silent),
        };
        let mut calls = Vec::new();
        self.store.step(now, need, &mut self.rng, &mut calls);
        push_calls(calls, out);
    }

    /// Whether this process watches for its domain: one of the lowest ranks by
    /// a hash of name and version among the live ones that reach the store. All
    /// compute it alike, and the part goes round as versions rise.
    pub(super) fn is_watcher(&self) -> bool {
        let turn = self.tracker.version().0 / WATCHER_ROTATION_VERSIONS;
        let weight = |name: &str, store: bool| {
            let order = hash::stable_hash(&[name.as_bytes(), &turn.to_le_bytes()]);
            (!store, order)
        };
        let mine = weight(&self.me.identity.name, !self.store.is_unavailable());
        let before = self
            .peers
            .iter()
            .filter(|p| weight(&p.name, p.health.store) < mine);
        before.take(WATCHERS_PER_DOMAIN).count() < WATCHERS_PER_DOMAIN
    }

    pub(super) fn stored(&mut self, now: Time, id: CallId, reply: Reply, out: &mut Vec<Action>) {
        let Some(answered) = self.store.answered(now, id, &reply, &mut self.rng) else {
            return;
        };
        turned(answered.turn, out);
        match reply {
            Reply::Head(stored) => {
                let told = stored.as_ref().map_or(Version(0), |s| s.head.version);
                self.head_read(stored, out);
                self.confirmed(now, answered.since, told, out);
            }
            Reply::Watched(Some(stored)) => {
                self.offered(&stored.head, Source::Store, out);
            }
            Reply::Body(hash, Some(bytes)) if answered.call == Call::Body(hash) => {
                self.tracker.add_body(Body { hash, bytes });
            }
            Reply::Listed(hints) => self.hints.replace(hints),
            Reply::Unavailable | Reply::Malformed => self.counters.failed += 1,
            Reply::Watched(None) | Reply::Body(..) => {}
        }
        if self.status != MemberStatus::Superseded {
            self.adopt_step(now, out);
            self.store_step(now, out);
        }
    }

    fn head_read(&mut self, stored: Option<StoredHead>, out: &mut Vec<Action>) {
        let force = self.tracker.version();
        let version = stored.as_ref().map_or(Version(0), |s| s.head.version);
        let behind = version < force;
        if behind != core::mem::replace(&mut self.alarms.regressed, behind) {
            out.push(Action::Notice(if behind {
                Notice::StoreBehind {
                    stored: version,
                    force,
                }
            } else {
                Notice::StoreCaughtUp
            }));
        }
        if let Some(stored) = stored {
            self.offered(&stored.head, Source::Store, out);
        }
    }
}

fn turned(turn: Transition, out: &mut Vec<Action>) {
    match turn {
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
