//! State of a request from its arrival until it is answered, rejected or
//! cancelled.

use std::sync::Arc;

use super::budget::Grant;
use super::message::{Admission, Rejection, Request, Ticket};
use crate::clock::Time;

#[derive(Clone, Debug)]
pub(super) enum State {
    /// Queued at this instance.
    Waiting,
    /// Sent to a target, with no outcome yet.
    InFlight {
        target: Arc<str>,
        sent_at: Time,
        /// Expected service time in seconds, for a target with free slots.
        service_time: f64,
        /// Whether the request's object was warm at the target.
        warm: bool,
        /// Whether all slots of the target were believed taken, so that the time
        /// until the answer includes a wait.
        queued: bool,
        /// Instance that sends it for this one, if this one doesn't.
        relay: Option<Arc<str>>,
        /// Whether its sender was told to give the attempt up.
        is_given_up: bool,
    },
}

/// A request that is queued or in flight.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) ticket: Ticket,
    pub(super) request: Request,
    pub(super) service: Arc<str>,
    pub(super) arrived: Time,
    /// Time until which it may run: the earlier of its caller's deadline, less the
    /// reserve for the answer, and its route's time-out.
    pub(super) time_limit: Time,
    /// Targets that it was sent to.
    pub(super) tried: Vec<Arc<str>>,
    /// Targets that it could not be sent to.
    pub(super) unreached: Vec<Arc<str>>,
    /// Relays that refused to send it.
    pub(super) refusals: u8,
    /// Whether one of its attempts may have run it.
    pub(super) may_have_run: bool,
    /// Strikes against it when it was last sent; see
    /// [`Suspects::strike`](crate::request::poison::Suspects::strike).
    pub(super) strikes: u8,
    /// Whether it is run although it is always refused, to see whether it still crashes
    /// its target.
    pub(super) is_trial: bool,
    /// Whether the request is to run in another region; `None` until that is decided.
    pub(super) is_remote: Option<bool>,
    /// State of its admission by its team's quota.
    pub(super) admission: Admission,
    /// Whether the regions where it may run had spare slots at that decision.
    pub(super) has_spare_slots: bool,
    /// Permission for the latest retry.
    pub(super) grant: Option<Box<Grant>>,
    pub(super) state: State,
}

impl Job {
    /// Whether no further attempt may go to a target.
    pub(super) fn excludes(&self, target: &Arc<str>) -> bool {
        self.tried.contains(target) || self.unreached.contains(target)
    }

    /// The target at which it is in flight.
    pub(super) const fn target(&self) -> Option<&Arc<str>> {
        match &self.state {
            State::Waiting => None,
            State::InFlight { target, .. } => Some(target),
        }
    }

    /// The reason to report when the request is rejected for `reason`. A request
    /// that may have run must never be reported as not run.
    pub(super) const fn rejection(&self, reason: Rejection) -> Rejection {
        if self.may_have_run {
            Rejection::OutcomeUnknown
        } else {
            reason
        }
    }

    /// Time by which the route's latency objective wants it answered.
    pub(super) fn objective(&self) -> Time {
        self.arrived + self.request.route.latency_goal
    }
}
