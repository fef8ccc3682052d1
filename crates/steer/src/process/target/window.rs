//! How much of a place this instance may use beside the others.
//!
//! Entry instances share targets without agreeing. A refusal is the one thing
//! that tells of the others' load without lag: it cuts the window, and answers
//! widen it again (additive increase, multiplicative decrease).
//!
//! Invariant: the window is at least one request and at most the slots.

use core::time::Duration;

use crate::clock::Time;
use crate::process::target::latency;

/// How a window moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Adjustment {
    /// What is left of it after a refusal, in tenths.
    pub kept_tenths: u32,
    /// Answers that widen it by one request, per request that it allows.
    pub widen_answers: u32,
}

/// For targets. They refuse after their slots and backlog are full: too late.
pub const TARGET_ADJUSTMENT: Adjustment = Adjustment {
    kept_tenths: 7,
    widen_answers: 4,
};
/// For peers. They refuse before they are full, and often; cut by more than
/// this, the window stays at one request while the peer has room for several.
pub const PEER_ADJUSTMENT: Adjustment = Adjustment {
    kept_tenths: 9,
    widen_answers: 1,
};

/// Shortest and longest time that a refusal keeps new requests away. The upper
/// bound keeps a target that misleads from shutting itself out for ever.
const PAUSE_BOUNDS: (Duration, Duration) = (Duration::from_millis(2), Duration::from_millis(500));

/// A limit in thousandths of a request.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    limit: u32,
    max: u32,
    adjustment: Adjustment,
    last_cut: Time,
    paused_until: Time,
}

impl Window {
    /// A window that starts at `start` requests.
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

    /// Sets the most it may reach, in requests.
    pub fn set_max(&mut self, max: u32) {
        self.max = max.saturating_mul(1000);
        self.limit = self.limit.min(self.max);
    }

    /// Requests that may be in flight.
    #[must_use]
    pub fn limit(&self) -> u32 {
        (self.limit / 1000).max(1)
    }

    /// Whether a refusal keeps new requests away.
    #[must_use]
    pub fn is_paused(&self, now: Time) -> bool {
        now < self.paused_until
    }

    /// Takes a refusal of an attempt sent at `sent_at`.
    pub fn record_refusal(
        &mut self,
        now: Time,
        sent_at: Time,
        retry_after: Duration,
        rng: &mut fastrand::Rng,
    ) {
        let span = latency::micros(retry_after.clamp(PAUSE_BOUNDS.0, PAUSE_BOUNDS.1));
        self.paused_until = now + Duration::from_micros(rng.u64(span / 2..=span * 3 / 2));
        // Attempts sent before the last cut were sent under the wider window.
        if sent_at >= self.last_cut {
            self.last_cut = now;
            self.limit = (self.limit / 10 * self.adjustment.kept_tenths).max(1000);
        }
    }

    /// Takes an answer.
    pub fn record_answer(&mut self) {
        let step = 1_000_000 / self.limit.max(1000);
        self.limit = (self.limit + step / self.adjustment.widen_answers).min(self.max);
    }
}
