//! One request for as long as it is here.

use std::sync::Arc;

use super::message::{Admission, Rejection, Request, Ticket};
use crate::clock::Time;

#[derive(Clone, Debug)]
pub(super) enum State {
    Waiting,
    InFlight {
        target: Arc<str>,
        sent_at: Time,
        service_time: f64,
        warm: bool,
        queued: bool,
    },
}

/// One request.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) ticket: Ticket,
    pub(super) request: Request,
    pub(super) service: Arc<str>,
    pub(super) arrived: Time,
    /// End of the time that caller and operator allow.
    pub(super) time_limit: Time,
    pub(super) tried: Vec<Arc<str>>,
    /// Whether an attempt may have run it.
    pub(super) may_have_run: bool,
    /// Strikes against it when it was sent last.
    pub(super) strikes: u8,
    /// Whether it is to run in another region, once that is decided.
    pub(super) is_remote: Option<bool>,
    /// Whether its team's quota has let it in.
    pub(super) admission: Admission,
    /// Whether the regions where it is to run had slots to spare then.
    pub(super) has_spare_slots: bool,
    pub(super) state: State,
}

impl Job {
    /// Why it is given up: whatever keeps it from being sent again, a request
    /// that may have run must not be called "not run".
    pub(super) const fn rejection(&self, reason: Rejection) -> Rejection {
        if self.may_have_run {
            Rejection::OutcomeUnknown
        } else {
            reason
        }
    }

    pub(super) fn objective(&self) -> Time {
        self.arrived + self.request.route.goal
    }
}
