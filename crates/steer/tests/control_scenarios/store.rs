//! Simulation of the platform's store and its faults.

use core::time::Duration;
use std::sync::Arc;

use steer::clock::Time;
use steer::process::config::{Body, Hash, Head};
use steer::process::control::store::{Call, CallId, Reply, StoredHead};
use steer::process::member::Hint;

use super::{CALL_TIMEOUT, Fleet, Place, Scheduled};

/// Failure domain in which the store is.
const STORE_DOMAIN: usize = 0;
/// Time that the store takes for a call.
const STORE_WORK: Duration = Duration::from_millis(2);

pub(super) struct Watch {
    pub(super) from: usize,
    pub(super) id: CallId,
    pub(super) after: u64,
}

pub(super) struct Listed {
    pub(super) hint: Hint,
    pub(super) from: Time,
    pub(super) until: Time,
}

/// State of the simulated store.
#[derive(Default)]
pub struct Store {
    /// The head document.
    pub stored: Option<StoredHead>,
    /// All heads ever written, newest last.
    pub past: Vec<StoredHead>,
    pub(super) bodies: Vec<Body>,
    pub(super) watches: Vec<Watch>,
    /// Whether the store answers no calls, except for the platform's list.
    pub is_down: bool,
    /// Number of calls that reached the store, by second of virtual time.
    pub calls: Vec<u32>,
    pub(super) list: Vec<Listed>,
}

impl Fleet {
    /// Writes a head if the store is at the expected revision: 0 if there is
    /// none, `None` for any. Otherwise returns the present head as an error.
    pub fn write(
        &mut self,
        head: &Arc<Head>,
        expect: Option<u64>,
    ) -> Result<(), Option<StoredHead>> {
        let revision = self.store.stored.as_ref().map_or(0, |s| s.revision);
        if expect.is_some_and(|expect| expect != revision) {
            return Err(self.store.stored.clone());
        }
        let stored = StoredHead {
            head: Arc::clone(head),
            revision: revision + 1,
        };
        self.store.past.push(stored.clone());
        self.store.stored = Some(stored);
        self.wake_watches();
        Ok(())
    }

    /// Text of a body in the store.
    pub fn content(&self, hash: Hash) -> String {
        let bodies = &self.store.bodies;
        let at = bodies.binary_search_by_key(&hash, |b| b.hash);
        let bytes = at.map(|at| bodies[at].bytes.to_vec());
        String::from_utf8(bytes.unwrap_or_default()).expect("text")
    }

    /// Has a write reach the store after `span`.
    pub fn delay_write(&mut self, head: &Arc<Head>, expect: u64, span: Duration) {
        let head = Arc::clone(head);
        self.push(span, Scheduled::Write { head, expect });
    }

    /// Stores a body under its hash.
    pub fn put_body(&mut self, body: Body) {
        let bodies = &mut self.store.bodies;
        if let Err(at) = bodies.binary_search_by_key(&body.hash, |b| b.hash) {
            bodies.insert(at, body);
        }
    }

    /// Makes the store stop or start to answer. Scheduled watches fail.
    pub fn set_store_down(&mut self, is_down: bool) {
        self.store.is_down = is_down;
        let watches = core::mem::take(&mut self.store.watches);
        for watch in watches {
            self.answer(watch.from, watch.id, Reply::Unavailable);
        }
    }

    /// Answers all pending watches with this head, even an old one.
    pub fn stale_event(&mut self, stored: &StoredHead) {
        let watches = core::mem::take(&mut self.store.watches);
        for watch in watches {
            let reply = Reply::Watched(Some(stored.clone()));
            self.answer(watch.from, watch.id, reply);
        }
    }

    fn wake_watches(&mut self) {
        let Some(stored) = self.store.stored.clone() else {
            return;
        };
        let watches = core::mem::take(&mut self.store.watches);
        let (ready, rest): (Vec<_>, Vec<_>) =
            watches.into_iter().partition(|w| stored.revision > w.after);
        self.store.watches = rest;
        for watch in ready {
            let reply = Reply::Watched(Some(stored.clone()));
            self.answer(watch.from, watch.id, reply);
        }
    }

    fn answer(&mut self, to: usize, id: CallId, reply: Reply) {
        let is_connected = self.is_connected(Place::Domain(self.nodes[to].domain), Place::Store);
        let (after, reply) = if is_connected {
            let near = self.latency(self.nodes[to].domain, STORE_DOMAIN);
            (near + STORE_WORK, reply)
        } else {
            (CALL_TIMEOUT, Reply::Unavailable)
        };
        self.push(after, Scheduled::Reply { to, id, reply });
    }

    pub(super) fn call(&mut self, from: usize, id: CallId, call: Call) {
        let place = Place::Domain(self.nodes[from].domain);
        if self.is_connected(place, Place::Store) {
            let after = self.latency(self.nodes[from].domain, STORE_DOMAIN);
            self.push(after, Scheduled::Call { from, id, call });
        } else {
            self.answer(from, id, Reply::Unavailable);
        }
    }

    pub(super) fn handle_call(&mut self, from: usize, id: CallId, call: &Call) {
        let second = usize::try_from(self.now.as_micros() / 1_000_000).expect("small");
        if self.store.calls.len() <= second {
            self.store.calls.resize(second + 1, 0);
        }
        self.store.calls[second] += 1;
        if self.store.is_down && *call != Call::List {
            let reply = Reply::Unavailable;
            return self.push(
                CALL_TIMEOUT,
                Scheduled::Reply {
                    to: from,
                    id,
                    reply,
                },
            );
        }
        let reply = match *call {
            Call::Head => Reply::Head(self.store.stored.clone()),
            Call::Body(hash) => {
                let bodies = &self.store.bodies;
                let found = bodies.binary_search_by_key(&hash, |b| b.hash).ok();
                Reply::Body(hash, found.map(|at| Arc::clone(&bodies[at].bytes)))
            }
            Call::List => {
                let now = self.now;
                let seen = |l: &&Listed| l.from <= now && now < l.until;
                let list = self.store.list.iter().filter(seen);
                Reply::Listed(list.map(|l| l.hint.clone()).collect())
            }
            Call::Watch { after, wait } => return self.watch(from, id, after, wait),
        };
        self.answer(from, id, reply);
    }

    fn watch(&mut self, from: usize, id: CallId, after: u64, wait: Duration) {
        self.store.watches.push(Watch { from, id, after });
        self.push(wait, Scheduled::Expire { from, id });
        self.wake_watches();
    }

    pub(super) fn expire(&mut self, from: usize, id: CallId) {
        let before = self.store.watches.len();
        self.store.watches.retain(|w| (w.from, w.id) != (from, id));
        if self.store.watches.len() < before {
            self.answer(from, id, Reply::Watched(None));
        }
    }
}
