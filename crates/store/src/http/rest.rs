//! Which address is asked next, and which ones rest after a failure.
//!
//! Invariant: many calls that fail together count as one failure, else a burst
//! would rest an address for the longest pause at the first hiccup.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::backoff::{Backoff, Bounds};

struct Peer {
    addr: SocketAddr,
    backoff: Backoff,
    rests: Option<Instant>,
}

struct State {
    peers: Vec<Peer>,
    first: usize,
    rng: fastrand::Rng,
}

/// The addresses of the store.
pub(super) struct Rests(Mutex<State>);

impl Rests {
    pub(super) fn new(addrs: &[SocketAddr], bounds: Bounds, rng: fastrand::Rng) -> Self {
        let peer = |&addr: &SocketAddr| Peer {
            addr,
            backoff: Backoff::new(bounds),
            rests: None,
        };
        Self(Mutex::new(State {
            peers: addrs.iter().map(peer).collect(),
            first: 0,
            rng,
        }))
    }

    /// The address to ask, or the time until the first one ends its rest.
    pub(super) fn pick(&self, now: Instant) -> Result<SocketAddr, Duration> {
        let mut state = self.lock();
        let count = state.peers.len();
        let order = (0..count).map(|i| (state.first + i) % count);
        let awake = |&i: &usize| state.peers[i].rests.is_none_or(|until| until <= now);
        if let Some(at) = order.into_iter().find(awake) {
            state.first = at;
            return Ok(state.peers[at].addr);
        }
        let ends = state.peers.iter().filter_map(|peer| peer.rests);
        let end = ends.min().unwrap_or(now);
        Err(end.saturating_duration_since(now))
    }

    pub(super) fn failed(&self, addr: SocketAddr, now: Instant) {
        let state = &mut *self.lock();
        let Some(peer) = state.peers.iter_mut().find(|peer| peer.addr == addr) else {
            return;
        };
        if peer.rests.is_none_or(|until| until <= now) {
            peer.rests = Some(now + peer.backoff.failed(&mut state.rng));
        }
    }

    pub(super) fn succeeded(&self, addr: SocketAddr) {
        let mut state = self.lock();
        if let Some(peer) = state.peers.iter_mut().find(|peer| peer.addr == addr) {
            peer.backoff.succeeded();
            peer.rests = None;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
