//! A request between its arrival and its final answer.

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
    /// Time at which its caller stops waiting.
    pub deadline: Time,
    /// When it arrived.
    pub arrived_at: Time,
    /// Places that it was sent to.
    pub tried: Vec<(Kind, Arc<str>)>,
    /// Whether an earlier attempt may have run. From then on no refusal says
    /// that the request wasn't run.
    pub is_uncertain: bool,
    /// Why its last try failed.
    pub last_failure: Option<Reason>,
}

impl Job {
    /// Whether it was sent to a place before.
    #[must_use]
    pub fn was_sent_to(&self, endpoint: &Endpoint) -> bool {
        let same = |t: &(Kind, Arc<str>)| t.0 == endpoint.kind && t.1 == endpoint.name;
        self.tried.iter().any(same)
    }

    /// What to tell the caller if it is given up now.
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
    /// Its present try.
    pub attempt: AttemptId,
    /// Where that was sent.
    pub destination: Destination,
    /// When.
    pub sent_at: Time,
    /// Strikes against it when it was sent.
    pub strikes: u8,
    /// Whether it has its target for itself.
    pub is_exclusive: bool,
}

/// Requests in flight, sorted by their number. Boxed, so that taking one out
/// moves words and not requests.
#[derive(Clone, Debug, Default)]
pub struct RunningRequests {
    running: Vec<(RequestId, Box<Running>)>,
}

impl RunningRequests {
    /// Number of requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Adds one.
    pub fn add(&mut self, running: Running) {
        let id = running.job.arrival.id;
        let at = self.running.partition_point(|r| r.0 < id);
        self.running.insert(at, (id, Box::new(running)));
    }

    /// Takes one out; with `attempt` given, only if that is its present try.
    pub fn take(&mut self, id: RequestId, attempt: Option<AttemptId>) -> Option<Running> {
        let at = self.running.binary_search_by_key(&id, |r| r.0).ok()?;
        if attempt.is_some_and(|a| self.running[at].1.attempt != a) {
            return None;
        }
        Some(*self.running.remove(at).1)
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = &Running> {
        self.running.iter().map(|r| &*r.1)
    }
}
