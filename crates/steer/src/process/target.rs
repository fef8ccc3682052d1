//! State of each target and peer, measured from this instance's own traffic.
//!
//! Invariant: an [`Endpoint`] is kept by name across views, and no report of a
//! target makes it look less loaded than this instance's own in-flight count.

pub mod choose;
pub mod health;
pub mod latency;
pub mod report;
pub mod window;

use core::time::Duration;
use std::sync::Arc;

use crate::clock::Time;
use crate::process::safeguard::{Safeguard, Safeguards};
use crate::version::view::{Incarnation, State};

/// Time for which a report or refusal that says "leaving" outweighs a view in
/// which the target is live. Views lag by seconds; a target that does not leave
/// after all gets no requests for at most this long.
pub const LEAVING_HOLD_TIME: Duration = Duration::from_secs(30);

/// Time over which the limit of a cold target rises to its full value.
pub const RAMP_TIME: Duration = Duration::from_secs(10);

/// Share of the full limit at which a cold target starts, in thousandths.
const RAMP_START_PERMILLE: u64 = 250;

/// Whether an endpoint may be sent a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Healthy and below its limit.
    Free,
    /// The ejection time is over; one request at a time may try it.
    Trial,
    /// Healthy, but at its limit, paused by a refusal, or reserved.
    Busy,
    /// Ejected; only a request without any other endpoint may try it.
    Ejected,
    /// Shutting down or gone.
    Leaving,
}

/// Kind of an endpoint. Targets and entry instances have separate name spaces,
/// so one of each may have the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A target.
    Target,
    /// An entry instance of another failure domain.
    Peer,
}

/// State of one target or peer for one service.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Target or peer.
    pub kind: Kind,
    /// Name of the target or entry instance.
    pub name: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Incarnation of the process, if this is an entry instance.
    pub incarnation: Incarnation,
    /// Requests that it runs at a time, as configured; for an entry instance
    /// the maximum that may be outstanding there.
    pub slots: u32,
    /// State in the view in force.
    pub state: State,
    /// Requests of this instance in flight there.
    pub in_flight: u32,
    /// Measured latency of its answers.
    pub latency: latency::Latency,
    /// Recent faults, and the ejection that they led to.
    pub health: health::Health,
    /// Concurrency limit learned from its answers and refusals.
    pub window: window::Window,
    /// Load that other instances cause, as the target reports it.
    pub reported: report::ReportedLoad,
    /// Whether the target is kept for one suspected request, which runs or is
    /// to run there alone.
    pub is_reserved: bool,
    /// Time of the last attempt's end, report or probe.
    pub last_evidence: Time,
    /// Whether the view in force contains it.
    pub in_view: bool,
    leaving_since: Option<Time>,
    cold_since: Option<Time>,
}

impl Endpoint {
    /// Creates an endpoint without history.
    #[must_use]
    pub fn new(
        kind: Kind,
        name: Arc<str>,
        service: Arc<str>,
        slots: u32,
        window: window::Window,
        now: Time,
    ) -> Self {
        Self {
            kind,
            name,
            service,
            incarnation: Incarnation::default(),
            slots,
            state: State::Live,
            in_flight: 0,
            latency: latency::Latency::default(),
            health: health::Health::default(),
            window,
            reported: report::ReportedLoad::default(),
            is_reserved: false,
            last_evidence: now,
            in_view: true,
            leaving_since: None,
            cold_since: None,
        }
    }

    /// Restarts the ramp, for a target that is new or has come back.
    pub const fn mark_cold(&mut self, now: Time) {
        self.cold_since = Some(now);
    }

    /// Records that a report or refusal said "leaving", ahead of the view.
    pub const fn mark_leaving(&mut self, now: Time) {
        self.leaving_since = Some(now);
    }

    /// Sets the state that the view gives. Only a change from leaving to live
    /// cancels what a report or refusal said: a view in which the target was
    /// live all along may be older than they are.
    pub fn set_view_state(&mut self, now: Time, state: State) {
        if self.state == State::Leaving && state == State::Live {
            self.leaving_since = None;
            self.mark_cold(now);
        }
        self.state = state;
    }

    /// Cancels a report of leaving after [`LEAVING_HOLD_TIME`]. The target then
    /// counts as new, with a cold cache.
    pub fn expire_leaving(&mut self, now: Time) {
        if self
            .leaving_since
            .is_some_and(|at| now >= at + LEAVING_HOLD_TIME)
        {
            self.leaving_since = None;
            self.mark_cold(now);
        }
    }

    /// Returns whether the view says that the endpoint is leaving, or a recent
    /// report or refusal does.
    #[must_use]
    pub fn is_leaving(&self, now: Time, enabled: Safeguards) -> bool {
        let is_reported = self
            .leaving_since
            .is_some_and(|at| now < at + LEAVING_HOLD_TIME);
        self.state == State::Leaving || (is_reported && enabled.has(Safeguard::Leaving))
    }

    /// Share of the slots that may be used, in thousandths; below 1000 while
    /// the endpoint is cold.
    #[must_use]
    pub fn ramp_permille(&self, now: Time, enabled: Safeguards) -> u64 {
        let Some(cold) = self.cold_since.filter(|_| enabled.has(Safeguard::Ramp)) else {
            return 1000;
        };
        let full = latency::micros(RAMP_TIME);
        let age = latency::micros(now.since(cold)).min(full);
        RAMP_START_PERMILLE + (1000 - RAMP_START_PERMILLE) * age / full
    }

    /// Requests that this instance may have in flight there, at least one.
    #[must_use]
    pub fn limit(&self, now: Time, enabled: Safeguards) -> u32 {
        if !enabled.has(Safeguard::OwnCount) {
            return u32::MAX;
        }
        let warm = u64::from(self.slots) * self.ramp_permille(now, enabled) / 1000;
        let warm = u32::try_from(warm).unwrap_or(u32::MAX);
        self.window.limit().min(warm).max(1)
    }

    /// Returns whether the endpoint may be sent a request now.
    #[must_use]
    pub fn availability(&self, now: Time, enabled: Safeguards) -> Availability {
        if self.is_leaving(now, enabled) {
            return Availability::Leaving;
        }
        match self.health.status(now) {
            health::Status::Ejected => Availability::Ejected,
            _ if self.is_reserved => Availability::Busy,
            health::Status::TrialDue if self.in_flight == 0 => Availability::Trial,
            health::Status::Healthy if self.has_room(now, enabled) => Availability::Free,
            health::Status::TrialDue | health::Status::Healthy => Availability::Busy,
        }
    }

    fn has_room(&self, now: Time, enabled: Safeguards) -> bool {
        !self.window.is_paused(now) && self.in_flight < self.limit(now, enabled)
    }

    /// Cost of one more request there; lower is better. `best` is the lowest
    /// mean latency among the endpoints compared, in microseconds.
    #[must_use]
    pub fn score(&self, now: Time, best: u64, enabled: Safeguards) -> u64 {
        let reported = self.reported.extra_load(now, self.slots, enabled);
        if !enabled.has(Safeguard::OwnCount) {
            return reported;
        }
        let load = u64::from(self.in_flight + 1) * 1000 + reported;
        load * self.latency.ratio(now, best) / self.ramp_permille(now, enabled)
    }
}

/// All endpoints, sorted by kind, name and service.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    endpoints: Vec<Endpoint>,
}

impl EndpointTable {
    /// Returns the index of an endpoint.
    ///
    /// # Errors
    /// The index to insert it at, if there is no such endpoint.
    pub fn find(&self, kind: Kind, name: &str, service: &str) -> Result<usize, usize> {
        self.endpoints
            .binary_search_by(|t| (t.kind, &*t.name, &*t.service).cmp(&(kind, name, service)))
    }

    /// Returns the index of a target by its name alone. A target that moved to
    /// another service while it had requests in flight has two entries; the one
    /// in the view is returned.
    #[must_use]
    pub fn target(&self, name: &str) -> Option<usize> {
        let first = self
            .endpoints
            .partition_point(|t| (t.kind, &*t.name) < (Kind::Target, name));
        let same = self.endpoints[first..]
            .iter()
            .take_while(|t| t.kind == Kind::Target && &*t.name == name);
        let mut same = (first..).zip(same);
        same.find(|(_, endpoint)| endpoint.in_view)
            .map(|(at, _)| at)
    }

    /// Adds endpoints that are not yet in the table.
    pub fn merge(&mut self, fresh: Vec<Endpoint>) {
        self.endpoints.extend(fresh);
        self.endpoints
            .sort_by(|a, b| (a.kind, &a.name, &a.service).cmp(&(b.kind, &b.name, &b.service)));
    }

    /// Removes the endpoints for which `keep` returns false.
    pub fn retain(&mut self, keep: impl FnMut(&Endpoint) -> bool) {
        self.endpoints.retain(keep);
    }

    /// Returns all endpoints in order.
    #[must_use]
    pub fn as_slice(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// Returns all endpoints in order, mutably.
    pub fn as_mut_slice(&mut self) -> &mut [Endpoint] {
        &mut self.endpoints
    }
}
