//! What one service has here: its targets, peers that serve it, its queue.
//!
//! Invariant: references into the table of endpoints are renewed with each view;
//! the queue and what was measured are carried over by the service's name.

use core::time::Duration;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Time;
use crate::process::dispatch::job::Job;
use crate::process::safeguard::{Safeguard, Safeguards};
use crate::process::target::{Availability, EndpointTable, latency};
use crate::request::admission::Outlook;
use crate::version::view::{Incarnation, Member, Region};

/// A target of this failure domain.
#[derive(Clone, Debug)]
pub struct Local {
    /// Its endpoint.
    pub endpoint: usize,
    /// Where it listens.
    pub addr: SocketAddr,
}

/// An entry instance of another failure domain that serves the service.
#[derive(Clone, Debug)]
pub struct Remote {
    /// Its endpoint.
    pub endpoint: usize,
    /// Which process.
    pub incarnation: Incarnation,
    /// Where it listens for peers.
    pub peer: SocketAddr,
    /// Its reference in the view in force.
    pub member: Member,
    /// Its region.
    pub region: Region,
    /// Whether that is this instance's region.
    pub is_same_region: bool,
}

/// One service.
#[derive(Clone, Debug)]
pub struct ServiceState {
    /// Its name.
    pub name: Arc<str>,
    /// Index of its class; lower goes first.
    pub class: usize,
    /// Share of the queue that the class may fill, in percent.
    pub queue_share: usize,
    /// Whether running a request twice does no harm.
    pub is_idempotent: bool,
    /// Time a request has when its caller states no deadline.
    pub deadline: Duration,
    /// Targets of this failure domain.
    pub locals: Vec<Local>,
    /// Targets, from the first, that this instance prefers.
    pub subset: usize,
    /// Peers, the near ones in front.
    pub remotes: Vec<Remote>,
    /// Number of near peers.
    pub same_region: usize,
    /// Requests that wait, oldest in front.
    pub queue: VecDeque<Job>,
    /// Since when the queue hasn't been empty.
    pub queued_since: Time,
    /// Measured time per request on the local targets.
    pub latency: latency::Latency,
    /// Attempts that timed out before any answer told how long one takes.
    pub early_timeouts: usize,
    /// Lowest mean time of a local target, in microseconds; zero if unknown.
    pub best_mean: u64,
    /// Requests that the local targets may run at a time.
    pub limit: u32,
    /// Local targets that are ejected.
    pub ejected: usize,
    /// Requests of this instance in flight on local targets.
    pub local_running: u32,
    /// Requests of this service in flight anywhere.
    pub in_flight: usize,
}

impl ServiceState {
    /// Renews what is derived from the endpoints.
    pub fn refresh(&mut self, now: Time, table: &EndpointTable, on: Safeguards) {
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
            let availability = endpoint.availability(now, on);
            let is_slow = endpoint.latency.speed(now, self.best_mean, 0) != latency::Speed::Good;
            let is_slow = is_slow && on.has(Safeguard::SlowTarget);
            if matches!(availability, Availability::Free | Availability::Busy) && !is_slow {
                self.limit = self.limit.saturating_add(endpoint.limit(now, on));
            }
            self.ejected += usize::from(matches!(
                availability,
                Availability::Ejected | Availability::Trial
            ));
        }
    }

    /// What waiting here would mean for the next request.
    #[must_use]
    pub fn outlook(&self) -> Outlook {
        Outlook {
            ahead: self.queue.len(),
            limit: self.limit,
            mean: self.latency.mean(),
            high: self.latency.high(),
        }
    }

    /// Requests of this service here.
    #[must_use]
    pub fn total(&self) -> usize {
        self.in_flight + self.queue.len()
    }
}
