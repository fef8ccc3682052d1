//! Steering straight to targets: any instance sends to any target that it
//! knows of, without a hop by a peer.
//!
//! Requests wait here and not at the targets, so that a more urgent one can
//! still go first and one that can't be answered in time is rejected at once.
//!
//! Invariants: a request that isn't idempotent is sent again only if it
//! certainly hasn't run; "not run" is only said of a request that never ran and
//! will not be sent any more; no request goes to more targets than its route
//! allows, nor to a target that leaves or whose domain is evacuated.

pub mod access;
pub mod allotment;
pub mod budget;
mod completion;
mod contact;
mod hash;
pub mod health;
mod job;
pub mod latency;
pub mod limit;
pub mod mechanisms;
pub mod members;
mod message;
pub mod place;
mod queue;
pub mod quota;
pub mod recipients;
pub mod replica;
pub mod roster;
pub mod spillover;
pub mod split;
pub mod target;
pub mod upstream;

use core::time::Duration;
use std::sync::Arc;

pub use hash::{hash, short_hash, unit_interval};
pub use message::{
    Admission, Assignment, AttemptOutcome, Bounds, Decision, FollowUp, Identity, Rejection,
    Request, Ticket,
};

use crate::clock::Time;
use crate::request::poison::{STRIKES, Suspects};
use crate::version::routes::Routes;

use allotment::Participant;
use budget::Budget;
pub use contact::StoreContact;
use contact::StoreLink;
use health::Observation;
use job::{Job, State};
use latency::LatencyEstimates;
use mechanisms::{Mechanism, Mechanisms};
use members::Members;
use roster::Roster;
use spillover::Spillover;
use split::Splits;
use upstream::Failed;

/// Steering of one instance.
#[derive(Debug)]
pub struct Direct {
    identity: Identity,
    bounds: Bounds,
    mechanisms: Mechanisms,
    routes: Option<Arc<Routes>>,
    /// Targets.
    pub roster: Roster,
    latency: LatencyEstimates,
    splits: Splits,
    budgets: Vec<(Arc<str>, Budget)>,
    spillovers: Vec<(Arc<str>, Spillover)>,
    members: Members,
    store: StoreLink,
    /// Up to when the store's content is known.
    confirmed: access::Confirmed,
    quotas: quota::Quotas,
    /// Where not to read from for a while.
    failed_upstreams: Failed,
    /// When this process ends, once it was told to stop.
    stops_at: Option<Time>,
    suspects: Suspects,
    /// Objects that targets have come to hold since the last heartbeat.
    object_updates: Vec<(u32, u32)>,
    /// What was seen of slow and failing targets since then.
    observations: Vec<Observation>,
    /// How far heartbeats have told all that targets hold.
    object_cursor: usize,
    /// The same of the limits that targets name.
    limit_cursor: usize,
    heartbeat_seq: u64,
    /// Other instances that sums are shared with.
    participants: Vec<Participant>,
    jobs: Vec<Job>,
    next_ticket: u64,
}

/// Time kept free at the end of a request's limit to write its last answer.
const ANSWER_RESERVE: Duration = Duration::from_millis(30);

impl Direct {
    /// Nothing known yet.
    #[must_use]
    pub fn new(identity: Identity, bounds: Bounds, domains: Vec<(Arc<str>, Arc<str>)>) -> Self {
        Self::with(identity, bounds, domains, Mechanisms::ALL)
    }

    /// The same with only some mechanisms, to measure the others.
    #[must_use]
    pub fn with(
        identity: Identity,
        bounds: Bounds,
        domains: Vec<(Arc<str>, Arc<str>)>,
        mechanisms: Mechanisms,
    ) -> Self {
        Self {
            identity,
            bounds,
            mechanisms,
            routes: None,
            roster: Roster::new(domains),
            latency: LatencyEstimates::default(),
            splits: Splits::default(),
            budgets: Vec::new(),
            spillovers: Vec::new(),
            members: Members::default(),
            store: StoreLink::default(),
            confirmed: access::Confirmed::default(),
            quotas: quota::Quotas::default(),
            failed_upstreams: Failed::default(),
            stops_at: None,
            suspects: Suspects::default(),
            object_updates: Vec::new(),
            observations: Vec::new(),
            object_cursor: 0,
            limit_cursor: 0,
            heartbeat_seq: 0,
            participants: Vec::new(),
            jobs: Vec::new(),
            next_ticket: 1,
        }
    }

    /// Takes a version of the configuration. An older one is passed over:
    /// versions only rise.
    pub fn install(&mut self, routes: Arc<Routes>) -> bool {
        self.config_readable();
        let newer = self
            .routes
            .as_ref()
            .is_none_or(|known| known.version < routes.version);
        if newer {
            let before = self.routes.replace(routes);
            let teams = before.as_ref().map(|r| r.teams.all());
            self.quotas_changed(teams.unwrap_or_default());
        }
        newer
    }

    /// The configuration in force.
    #[must_use]
    pub fn routes(&self) -> Option<&Arc<Routes>> {
        self.routes.as_ref()
    }

    /// Its version; 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.routes.as_ref().map_or(0, |r| r.version)
    }

    /// Sets the domains that must get nothing; see [`Roster::evacuate`].
    pub fn evacuate(&mut self, now: Time, domains: Vec<Arc<str>>) {
        let warmups = self.routes.iter().flat_map(|r| r.services());
        let warmup = warmups.map(|s| s.warmup).max().unwrap_or_default();
        self.roster.evacuate(now, domains, warmup);
    }

    /// Requests that are here.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.jobs.len()
    }

    /// The share of each service's requests that runs in other regions.
    #[must_use]
    pub fn spillover_shares(&self) -> Vec<(Arc<str>, f64)> {
        let share = |p: &(Arc<str>, Spillover)| (Arc::clone(&p.0), p.1.share());
        self.spillovers.iter().map(share).collect()
    }

    /// Requests that wait for a target.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        let waiting = |j: &&Job| matches!(j.state, State::Waiting);
        self.jobs.iter().filter(waiting).count()
    }

    /// A request has arrived; [`Direct::step`] says what becomes of it.
    ///
    /// # Errors
    /// If its route has no service, no region is home to both its route and its
    /// team, or it has crashed targets before.
    pub fn submit(&mut self, now: Time, ask: Request) -> Result<Ticket, Rejection> {
        if self.suspects.strikes(ask.fingerprint) >= STRIKES {
            return Err(Rejection::Poison);
        }
        if !self.has_region(&ask) {
            return Err(Rejection::NoRegion);
        }
        let offset = unit_interval(hash(self.identity.name.as_bytes()));
        let service = self
            .splits
            .next(&ask.route, offset)
            .ok_or(Rejection::NoTarget)?;
        let rule = self.bounds.retries;
        self.budget(&service).record_request(now, &rule);
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let limit = (ask.deadline - ANSWER_RESERVE).min(now + ask.route.timeout);
        self.jobs.push(Job {
            ticket,
            ask,
            service,
            arrived: now,
            limit,
            tried: Vec::new(),
            may_have_run: false,
            strikes: 0,
            elsewhere: None,
            admission: Admission::New,
            spare: false,
            state: State::Waiting,
        });
        Ok(ticket)
    }

    /// The end of the time that caller and operator allow a request.
    #[must_use]
    pub fn time_limit(&self, ticket: Ticket) -> Option<Time> {
        self.find(ticket).ok().map(|at| self.jobs[at].limit)
    }

    /// Whether any region may serve a request, by its route and its team.
    fn has_region(&self, ask: &Request) -> bool {
        let mut regions = self.roster.regions().peekable();
        regions.peek().is_none() || regions.any(|region| ask.allows(region))
    }

    /// What a request takes at a service.
    fn estimate(&self, job: &Job) -> latency::Estimate {
        let route = &job.ask.route;
        let goal = route.goal.as_secs_f64();
        if self.mechanisms.has(Mechanism::Learning) {
            self.latency.estimate(&job.service, &route.name, goal)
        } else {
            LatencyEstimates::default().estimate(&job.service, &route.name, goal)
        }
    }

    fn budget(&mut self, service: &Arc<str>) -> &mut Budget {
        let at = match self.budgets.binary_search_by(|b| b.0.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                self.budgets
                    .insert(at, (Arc::clone(service), Budget::default()));
                at
            }
        };
        &mut self.budgets[at].1
    }

    fn find(&self, ticket: Ticket) -> Result<usize, usize> {
        self.jobs.binary_search_by_key(&ticket, |j| j.ticket)
    }
}

/// Time after which a target's report of others' requests has faded.
const REPORT_DECAY_TIME: Duration = Duration::from_millis(400);

/// Longest time between two calls of [`Direct::step`] while something waits.
pub const STEP_INTERVAL_MAX: Duration = Duration::from_millis(25);
