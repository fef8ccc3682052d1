//! Adaptive concurrency limit of an endpoint (AIMD).
//!
//! Entry instances share targets without coordination. A refusal is the only
//! signal of the others' load without delay: it shrinks the window, and answers
//! grow it again (additive increase, multiplicative decrease).
//!
//! Invariant: the window is at least one request and at most the slots.

use core::time::Duration;

use crate::clock::Time;
use crate::process::target::latency;

/// Rates at which a window shrinks and grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Adjustment {
    /// Share of the window that is left after a refusal, in tenths.
    pub kept_tenths: u32,
    /// Answers that grow it by one request, per request that it allows.
    pub widen_answers: u32,
}

/// Adjustment for targets. They refuse late, once their slots and backlog are
/// full.
pub const TARGET_ADJUSTMENT: Adjustment = Adjustment {
    kept_tenths: 7,
    widen_answers: 4,
};
/// Adjustment for peers. They refuse early and often; with a larger cut the
/// window stays at one request while the peer has room for several.
pub const PEER_ADJUSTMENT: Adjustment = Adjustment {
    kept_tenths: 9,
    widen_answers: 1,
};

/// Minimum and maximum of the pause after a refusal, before jitter. The maximum
/// keeps a target with a wrong retry time from being shut out for good.
const PAUSE_BOUNDS: (Duration, Duration) = (Duration::from_millis(2), Duration::from_millis(500));

/// Concurrency limit, and the pause after a refusal.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// In thousandths of a request.
    limit: u32,
    /// In thousandths of a request.
    max: u32,
    adjustment: Adjustment,
    last_cut: Time,
    paused_until: Time,
}

impl Window {
    /// Creates a window of `start` requests that grows up to `max`.
    #[must_use]
    pub const fn new(start: u32, max: u32, adjustment: Adjustment) -> Self {
        Self {
            limit: start.saturating_mul(1000),
            max: max.saturating_mul(1000),
            adjustment,
            last_cut: Time::ZERO,
            paused_until: Time::ZERO,
        }
    }

    /// Sets the maximum, in requests.
    pub fn set_max(&mut self, max: u32) {
        self.max = max.saturating_mul(1000);
        self.limit = self.limit.min(self.max);
    }

    /// Requests that may be in flight, at least one.
    #[must_use]
    pub fn limit(&self) -> u32 {
        (self.limit / 1000).max(1)
    }

    /// Returns whether no new requests may be sent because of a refusal.
    #[must_use]
    pub fn is_paused(&self, now: Time) -> bool {
        now < self.paused_until
    }

    /// Records a refusal of an attempt sent at `sent_at`: pauses for about
    /// `retry_after` and shrinks the window.
    pub fn record_refusal(
        &mut self,
        now: Time,
        sent_at: Time,
        retry_after: Duration,
        rng: &mut fastrand::Rng,
    ) {
        let span = latency::micros(retry_after.clamp(PAUSE_BOUNDS.0, PAUSE_BOUNDS.1));
        self.paused_until = now + Duration::from_micros(rng.u64(span / 2..=span * 3 / 2));
        // Attempts sent before the last cut were sent under the larger window.
        if sent_at >= self.last_cut {
            self.last_cut = now;
            self.limit = (self.limit / 10 * self.adjustment.kept_tenths).max(1000);
        }
    }

    /// Records an answer, which grows the window.
    pub fn record_answer(&mut self) {
        let step = 1_000_000 / self.limit.max(1000);
        self.limit = (self.limit + step / self.adjustment.widen_answers).min(self.max);
    }
}
