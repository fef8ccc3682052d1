//! Requests between their arrival and their final answer.
//!
//! Invariant: a request in flight has exactly one current attempt, and once an
//! attempt may have run no refusal of the request says "not run".

use std::sync::Arc;

use crate::clock::Time;
use crate::process::dispatch::message::Destination;
use crate::process::target::{Endpoint, Kind};
use crate::request::arrival::{Arrival, AttemptId, RequestId};
use crate::request::outcome::{Reason, Refusal};
use core::time::Duration;

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request.
    pub arrival: Arrival,
    /// Time at which the caller stops waiting.
    pub deadline: Time,
    /// Time of arrival.
    pub arrived_at: Time,
    /// Endpoints that the request was sent to, by kind and name.
    pub tried: Vec<(Kind, Arc<str>)>,
    /// Whether an earlier attempt may have run. No refusal may then say that
    /// the request was not run.
    pub is_uncertain: bool,
    /// Reason for which the last attempt failed.
    pub last_failure: Option<Reason>,
}

impl Job {
    /// Returns whether the request was sent to an endpoint before.
    #[must_use]
    pub fn was_sent_to(&self, endpoint: &Endpoint) -> bool {
        let same = |t: &(Kind, Arc<str>)| t.0 == endpoint.kind && t.1 == endpoint.name;
        self.tried.iter().any(same)
    }

    /// Returns the refusal of the request: "not run" only if no attempt may
    /// have run. `after` is the time after which to ask again.
    #[must_use]
    pub fn refusal(&self, reason: Reason, after: Option<Duration>) -> Refusal {
        if self.is_uncertain {
            Refusal::unknown(reason, after)
        } else {
            Refusal::not_run(reason, after)
        }
    }
}

/// A request in flight.
#[derive(Clone, Debug)]
pub struct Running {
    /// The request.
    pub job: Job,
    /// Current attempt.
    pub attempt: AttemptId,
    /// Target or peer that the attempt was sent to.
    pub destination: Destination,
    /// Time at which the attempt was sent.
    pub sent_at: Time,
    /// Strikes against the request when the attempt was sent.
    pub strikes: u8,
    /// Whether the request runs alone on its target.
    pub is_exclusive: bool,
}

/// Requests in flight, sorted by id. Boxed, so that inserting or removing one
/// moves pointers and not requests.
#[derive(Clone, Debug, Default)]
pub struct RunningRequests {
    running: Vec<(RequestId, Box<Running>)>,
}

impl RunningRequests {
    /// Number of requests in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Adds a request.
    pub fn add(&mut self, running: Running) {
        let id = running.job.arrival.id;
        let at = self.running.partition_point(|r| r.0 < id);
        self.running.insert(at, (id, Box::new(running)));
    }

    /// Removes a request and returns it; if `attempt` is given, only if that is
    /// its current attempt.
    pub fn take(&mut self, id: RequestId, attempt: Option<AttemptId>) -> Option<Running> {
        let at = self.running.binary_search_by_key(&id, |r| r.0).ok()?;
        if attempt.is_some_and(|a| self.running[at].1.attempt != a) {
            return None;
        }
        Some(*self.running.remove(at).1)
    }

    /// Iterates over the requests by id.
    pub fn iter(&self) -> impl Iterator<Item = &Running> {
        self.running.iter().map(|r| &*r.1)
    }
}
