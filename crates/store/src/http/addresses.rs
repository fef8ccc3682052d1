//! Selection of the store's address, with backoff after failures.
//!
//! Invariant: calls that fail while an address is backing off count as one failure.
//! Otherwise a burst of concurrent calls would raise the backoff to its maximum at
//! a short outage.

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

/// Addresses of the store and their backoff state.
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

    /// Returns the preferred usable address, or the time until one becomes usable.
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
