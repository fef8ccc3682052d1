//! Dispatcher state of one service: its targets, its peers, its queue.
//!
//! Invariant: indices into the table of endpoints are rebuilt with each view;
//! the queue and the measurements are carried over by the service's name.

use core::time::Duration;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Time;
use crate::process::dispatch::job::Job;
use crate::process::safeguard::{Safeguard, Safeguards};
use crate::process::target::{Availability, EndpointTable, latency};
use crate::request::admission::QueueEstimate;
use crate::version::view::{Incarnation, Member, Region};

/// A target of this failure domain.
#[derive(Clone, Debug)]
pub struct Local {
    /// Index in the table of endpoints.
    pub endpoint: usize,
    /// Address on which it listens.
    pub addr: SocketAddr,
}

/// An entry instance of another failure domain that serves the service.
#[derive(Clone, Debug)]
pub struct Remote {
    /// Index in the table of endpoints.
    pub endpoint: usize,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Address on which it listens for peers.
    pub peer: SocketAddr,
    /// Key in the view in force.
    pub member: Member,
    /// Region of the instance.
    pub region: Region,
    /// Whether that is this instance's own region.
    pub is_same_region: bool,
}

/// State of one service.
#[derive(Clone, Debug)]
pub struct ServiceState {
    /// Name of the service.
    pub name: Arc<str>,
    /// Index of the service's class; a lower one is served first.
    pub class: usize,
    /// Share of the queue that the class may fill, in percent.
    pub queue_share: usize,
    /// Whether running a request twice does no harm.
    pub is_idempotent: bool,
    /// Default deadline of a request whose caller gives none.
    pub deadline: Duration,
    /// Targets of this failure domain.
    pub locals: Vec<Local>,
    /// Number of targets, from the first, that this instance prefers.
    pub subset: usize,
    /// Peers, those of this instance's region first.
    pub remotes: Vec<Remote>,
    /// Number of peers in this instance's region.
    pub same_region: usize,
    /// Requests that wait, oldest in front, except that those sent before go to
    /// the front.
    pub queue: VecDeque<Job>,
    /// Time since which the queue has not been empty.
    pub queued_since: Time,
    /// Measured latency of all local targets together.
    pub latency: latency::Latency,
    /// Number of attempts that timed out before any latency was measured.
    pub early_timeouts: usize,
    /// Lowest mean latency of a local target, in microseconds; zero if unknown.
    pub best_mean: u64,
    /// Sum of the limits of the usable local targets, in requests.
    pub limit: u32,
    /// Number of local targets that are ejected.
    pub ejected: usize,
    /// Requests of this instance in flight on local targets.
    pub local_running: u32,
    /// Requests of this instance in flight, on local targets and peers.
    pub in_flight: usize,
}

impl ServiceState {
    /// Recomputes the fields that are derived from the endpoints.
    pub fn refresh(&mut self, now: Time, table: &EndpointTable, enabled: Safeguards) {
        let endpoints = table.as_slice();
        let means = self
            .locals
            .iter()
            .map(|l| endpoints[l.endpoint].latency.mean());
        self.best_mean = means.flatten().min().map_or(0, latency::micros);
        self.limit = 0;
        self.ejected = 0;
        for local in &self.locals {
            let endpoint = &endpoints[local.endpoint];
            let availability = endpoint.availability(now, enabled);
            let is_slow = endpoint.latency.speed(now, self.best_mean, 0) != latency::Speed::Good;
            let is_slow = is_slow && enabled.has(Safeguard::SlowTarget);
            if matches!(availability, Availability::Free | Availability::Busy) && !is_slow {
                self.limit = self.limit.saturating_add(endpoint.limit(now, enabled));
            }
            self.ejected += usize::from(matches!(
                availability,
                Availability::Ejected | Availability::Trial
            ));
        }
    }

    /// Returns the figures from which the next request's waiting time follows.
    #[must_use]
    pub fn estimate(&self) -> QueueEstimate {
        QueueEstimate {
            ahead: self.queue.len(),
            limit: self.limit,
            mean: self.latency.mean(),
            high: self.latency.high(),
        }
    }

    /// Requests of the service at this instance, in flight or waiting.
    #[must_use]
    pub fn total(&self) -> usize {
        self.in_flight + self.queue.len()
    }
}
