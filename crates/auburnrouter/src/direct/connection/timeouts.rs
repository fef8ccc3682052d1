//! Timeouts of a caller's connection.
//!
//! Invariant: a connection has one timer, set for the first of its timeouts.

use core::pin::Pin;
use core::task::Context;
use std::io;
use std::time::Instant;

use super::{Connection, Limits, ReadError, Service, StepResult};

/// Timer of a connection and the moments from which its timeouts run.
pub(super) struct Timeouts {
    pub(super) timer: Option<smol::Timer>,
    /// Expiry of `timer`.
    pub(super) timer_at: Option<Instant>,
    /// First byte of the arriving request, or the end of the last pause of reading.
    pub(super) arriving_since: Option<Instant>,
    /// When the head of the arriving request was complete.
    pub(super) head_read: Option<Instant>,
    /// Since when the socket takes no more output.
    pub(super) write_blocked: Option<Instant>,
    /// When bytes of an answer were last written, or the connection opened.
    pub(super) idle_since: Instant,
}

impl<S: Service> Connection<S> {
    /// Handles the next timeout if it is due, else registers a wake-up for it.
    pub(super) fn poll_timeouts(&mut self, cx: &mut Context<'_>) -> io::Result<StepResult> {
        loop {
            let Some(due) = self.deadline() else {
                self.timeouts.timer_at = None;
                self.timeouts.timer = None;
                return Ok(StepResult::Pending);
            };
            // A timer that expires before `due` is left to fire and is then set again:
            // resetting it with each request would cost more.
            if self.timeouts.timer_at.is_none_or(|at| at > due) {
                self.timeouts.timer_at = Some(due);
                self.timeouts.timer = Some(smol::Timer::at(due));
            }
            let timer = self.timeouts.timer.as_mut().map(Pin::new);
            if timer.is_none_or(|timer| timer.poll(cx).is_pending()) {
                return Ok(StepResult::Pending);
            }
            self.timeouts.timer_at = None;
            if Instant::now() < due {
                continue;
            }
            return self.expire();
        }
    }

    /// Moment of the next timeout.
    fn deadline(&self) -> Option<Instant> {
        let Limits {
            request_timeout,
            idle_timeout,
            ..
        } = self.limits;
        // A timeout beyond the range of the clock never expires.
        let write_due = self
            .timeouts
            .write_blocked
            .and_then(|s| s.checked_add(request_timeout));
        let request_due = self
            .reading_since()
            .and_then(|s| s.checked_add(request_timeout));
        let is_empty = self.pipeline.is_empty() && !self.reader.is_partial() && self.is_flushed();
        let idle_due = self
            .timeouts
            .idle_since
            .checked_add(idle_timeout)
            .filter(|_| is_empty);
        [write_due, request_due, idle_due]
            .into_iter()
            .flatten()
            .min()
    }

    /// Start of the arriving request's timeout; `None` while it is paused.
    fn reading_since(&self) -> Option<Instant> {
        self.timeouts.arriving_since.filter(|_| !self.is_paused())
    }

    /// Handles an expired timeout: blocked output or an idle connection ends the
    /// connection, a request that is too slow is answered with an error.
    fn expire(&mut self) -> io::Result<StepResult> {
        let now = Instant::now();
        let request_timeout = self.limits.request_timeout;
        let timed_out = |since: Instant| now.saturating_duration_since(since) >= request_timeout;
        if self.timeouts.write_blocked.is_some_and(timed_out) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        if self.reading_since().is_some_and(timed_out) {
            self.fail_read(ReadError::TimedOut);
            return Ok(StepResult::Again);
        }
        Ok(StepResult::Closed)
    }
}
