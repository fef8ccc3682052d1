//! What this instance knows of a place from its own traffic.
//!
//! Invariant: a [`Endpoint`] is kept by name across views, and nothing a target
//! says of itself can make the endpoint look better than the own count does.

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

/// How long a sign of leaving outweighs a view that says otherwise. The list
/// lags by seconds; a target that changed its mind loses no more than this.
pub const LEAVING_HOLD_TIME: Duration = Duration::from_secs(30);

/// Time over which a cold target is brought to its full share.
pub const RAMP_TIME: Duration = Duration::from_secs(10);

/// Share in thousandths that a cold target starts with.
const RAMP_START_PERMILLE: u64 = 250;

/// Whether a place may be given a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It has room.
    Free,
    /// Its ejection is over; one request may try it.
    Trial,
    /// It works but has no room.
    Busy,
    /// It is ejected; only a request with no other place may try it.
    Ejected,
    /// It leaves or has left.
    Leaving,
}

/// What a place is. Targets and entry instances are named apart, so one of each
/// may have the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A target.
    Target,
    /// An entry instance of another failure domain.
    Peer,
}

/// One place for one service.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// What it is.
    pub kind: Kind,
    /// Name of the target or entry instance.
    pub name: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Which process, where the place is an entry instance.
    pub incarnation: Incarnation,
    /// Requests it runs at a time, as configured; for an entry instance the
    /// most that may be outstanding there.
    pub slots: u32,
    /// What the view says.
    pub state: State,
    /// Requests of this instance in flight there.
    pub in_flight: u32,
    /// Measured time per request.
    pub latency: latency::Latency,
    /// Evidence of failures.
    pub health: health::Health,
    /// How much of the place this instance may use.
    pub window: window::Window,
    /// What the place says of itself.
    pub reported: report::ReportedLoad,
    /// Set while a suspected request has or awaits the target for itself.
    pub is_reserved: bool,
    /// When it last showed a sign of life or death.
    pub last_evidence: Time,
    /// Whether the view in force has it.
    pub in_view: bool,
    leaving_since: Option<Time>,
    cold_since: Option<Time>,
}

impl Endpoint {
    /// A place without history.
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

    /// Starts the ramp of a target that is new or has come back.
    pub const fn mark_cold(&mut self, now: Time) {
        self.cold_since = Some(now);
    }

    /// Notes a sign of leaving that came before the view's.
    pub const fn mark_leaving(&mut self, now: Time) {
        self.leaving_since = Some(now);
    }

    /// Takes the view's word. Only a view that went from leaving to live takes
    /// back what a report or refusal said: one that was live all along may be
    /// older than they are.
    pub fn set_view_state(&mut self, now: Time, state: State) {
        if self.state == State::Leaving && state == State::Live {
            self.leaving_since = None;
            self.mark_cold(now);
        }
        self.state = state;
    }

    /// Ends what time ends: a target that said it was leaving, and is still in
    /// the view as live, is taken for a new one.
    pub fn expire_leaving(&mut self, now: Time) {
        if self
            .leaving_since
            .is_some_and(|at| now >= at + LEAVING_HOLD_TIME)
        {
            self.leaving_since = None;
            self.mark_cold(now);
        }
    }

    /// Whether any sign says that the place is leaving.
    #[must_use]
    pub fn is_leaving(&self, now: Time, on: Safeguards) -> bool {
        let is_reported = self
            .leaving_since
            .is_some_and(|at| now < at + LEAVING_HOLD_TIME);
        self.state == State::Leaving || (is_reported && on.has(Safeguard::Leaving))
    }

    /// Share of full use in thousandths, below 1000 while cold.
    #[must_use]
    pub fn ramp_permille(&self, now: Time, on: Safeguards) -> u64 {
        let Some(cold) = self.cold_since.filter(|_| on.has(Safeguard::Ramp)) else {
            return 1000;
        };
        let full = latency::micros(RAMP_TIME);
        let age = latency::micros(now.since(cold)).min(full);
        RAMP_START_PERMILLE + (1000 - RAMP_START_PERMILLE) * age / full
    }

    /// Requests this instance may have in flight there.
    #[must_use]
    pub fn limit(&self, now: Time, on: Safeguards) -> u32 {
        if !on.has(Safeguard::OwnCount) {
            return u32::MAX;
        }
        let warm = u64::from(self.slots) * self.ramp_permille(now, on) / 1000;
        let warm = u32::try_from(warm).unwrap_or(u32::MAX);
        self.window.limit().min(warm).max(1)
    }

    /// Whether the place may be given a request now.
    #[must_use]
    pub fn availability(&self, now: Time, on: Safeguards) -> Availability {
        if self.is_leaving(now, on) {
            return Availability::Leaving;
        }
        match self.health.status(now) {
            health::Status::Ejected => Availability::Ejected,
            _ if self.is_reserved => Availability::Busy,
            health::Status::TrialDue if self.in_flight == 0 => Availability::Trial,
            health::Status::Healthy if self.has_room(now, on) => Availability::Free,
            health::Status::TrialDue | health::Status::Healthy => Availability::Busy,
        }
    }

    fn has_room(&self, now: Time, on: Safeguards) -> bool {
        !self.window.is_paused(now) && self.in_flight < self.limit(now, on)
    }

    /// Cost of one more request there; lower is better. `best` is the lowest
    /// mean time among the places it is compared with, in microseconds.
    #[must_use]
    pub fn score(&self, now: Time, best: u64, on: Safeguards) -> u64 {
        let reported = self.reported.extra_load(now, self.slots, on);
        if !on.has(Safeguard::OwnCount) {
            return reported;
        }
        let load = u64::from(self.in_flight + 1) * 1000 + reported;
        load * self.latency.ratio(now, best) / self.ramp_permille(now, on)
    }
}

/// All endpoints, sorted by kind, name and service.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    endpoints: Vec<Endpoint>,
}

impl EndpointTable {
    /// Where the endpoint of a place is, or where it belongs.
    ///
    /// # Errors
    /// The place to insert at, if there is no such endpoint.
    pub fn find(&self, kind: Kind, name: &str, service: &str) -> Result<usize, usize> {
        self.endpoints
            .binary_search_by(|t| (t.kind, &*t.name, &*t.service).cmp(&(kind, name, service)))
    }

    /// Where the endpoint of a target is, by its name alone. A target that was
    /// given to another service while it had work has two; the present counts.
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

    /// Forgets the endpoints that `keep` refuses.
    pub fn retain(&mut self, keep: impl FnMut(&Endpoint) -> bool) {
        self.endpoints.retain(keep);
    }

    /// All endpoints in order.
    #[must_use]
    pub fn as_slice(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// All endpoints in order, to change.
    pub fn as_mut_slice(&mut self) -> &mut [Endpoint] {
        &mut self.endpoints
    }
}
