//! The planned end of this process, and which requests may be sent before it.
//!
//! Invariant: a request that is sent later than [`UNBOUNDED_SPAN`] after the stop signal
//! has its final answer before the process ends, however long its target takes.

use core::time::Duration;

use super::job::Job;
use super::{ANSWER_RESERVE, Direct};
use crate::clock::Time;

/// Time after the stop signal in which requests are sent although their deadline may lie
/// beyond the end of the process. The platform allows 3 s from the moment at which it sends
/// the signal; the rest is for the signal and the request to arrive.
const UNBOUNDED_SPAN: Duration = Duration::from_millis(2_900);

/// Course of a planned stop.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stop {
    /// When the process was told to stop.
    began: Time,
    /// When it ends.
    end: Time,
}

impl Stop {
    /// Whether an answer that is ready at `time` may be too late to be written.
    pub(super) fn is_too_late(self, time: Time) -> bool {
        time + ANSWER_RESERVE > self.end
    }

    /// Whether a request may be sent at `now` that gets its final answer at `limit` at the
    /// latest.
    fn may_send(self, now: Time, limit: Time) -> bool {
        now.since(self.began) < UNBOUNDED_SPAN || !self.is_too_late(limit)
    }
}

impl Direct {
    /// Records that the process was told to stop and will end at `end`. Heartbeats
    /// report it from now on.
    pub const fn stop(&mut self, now: Time, end: Time) {
        self.stop = Some(Stop { began: now, end });
    }

    /// Whether the process was told to stop.
    pub(super) const fn is_stopping(&self) -> bool {
        self.stop.is_some()
    }

    /// Whether the end of this process allows a request to be sent now. An estimate of the
    /// work decides nothing here: only the request's own limit bounds how long it takes.
    pub(super) fn stop_allows(&self, now: Time, job: &Job) -> bool {
        self.stop
            .is_none_or(|stop| stop.may_send(now, job.time_limit))
    }
}
