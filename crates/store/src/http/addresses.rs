//! Which address is asked next, and which ones rest after a failure.
//!
//! Invariant: many calls that fail together count as one failure, else a burst
//! would rest an address for the longest pause at the first hiccup.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::backoff::{Backoff, Bounds};

struct Address {
    addr: SocketAddr,
    backoff: Backoff,
    retry_at: Option<Instant>,
}

struct State {
    addresses: Vec<Address>,
    preferred: usize,
    rng: fastrand::Rng,
}

/// The addresses of the store.
pub(super) struct Addresses(Mutex<State>);

impl Addresses {
    pub(super) fn new(addrs: &[SocketAddr], bounds: Bounds, rng: fastrand::Rng) -> Self {
        let address = |&addr: &SocketAddr| Address {
            addr,
            backoff: Backoff::new(bounds),
            retry_at: None,
        };
        Self(Mutex::new(State {
            addresses: addrs.iter().map(address).collect(),
            preferred: 0,
            rng,
        }))
    }

    /// The address to ask, or the time until the first one ends its rest.
    pub(super) fn pick(&self, now: Instant) -> Result<SocketAddr, Duration> {
        let mut state = self.lock();
        let count = state.addresses.len();
        let order = (0..count).map(|i| (state.preferred + i) % count);
        let is_usable = |&i: &usize| state.addresses[i].retry_at.is_none_or(|until| until <= now);
        if let Some(at) = order.into_iter().find(is_usable) {
            state.preferred = at;
            return Ok(state.addresses[at].addr);
        }
        let times = state
            .addresses
            .iter()
            .filter_map(|address| address.retry_at);
        let earliest = times.min().unwrap_or(now);
        Err(earliest.saturating_duration_since(now))
    }

    pub(super) fn record_failure(&self, addr: SocketAddr, now: Instant) {
        let state = &mut *self.lock();
        let Some(address) = state
            .addresses
            .iter_mut()
            .find(|address| address.addr == addr)
        else {
            return;
        };
        if address.retry_at.is_none_or(|until| until <= now) {
            address.retry_at = Some(now + address.backoff.record_failure(&mut state.rng));
        }
    }

    pub(super) fn record_success(&self, addr: SocketAddr) {
        let mut state = self.lock();
        if let Some(address) = state
            .addresses
            .iter_mut()
            .find(|address| address.addr == addr)
        {
            address.backoff.record_success();
            address.retry_at = None;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
