//! Direct steering: each instance sends requests straight to any target that it
//! knows, without a hop over another instance.
//!
//! Requests queue at the instance instead of at targets, so that a more urgent
//! request can overtake and one that can't be answered in time is rejected at once.
//!
//! Invariants: a request that isn't idempotent is sent again only if it certainly
//! hasn't run; a request is reported as not run only if it never ran and will not
//! be sent any more; no request goes to more targets than its route allows, to a
//! draining target, or to one in an evacuated domain.

pub mod access;
pub mod allotment;
mod answered;
mod backoff;
pub mod budget;
mod completion;
mod contact;
mod hash;
pub mod health;
mod job;
pub mod lag;
pub mod latency;
pub mod limit;
pub mod loads;
pub mod mechanisms;
pub mod members;
mod message;
pub mod mix;
pub mod notice;
pub mod permit;
pub mod place;
mod queue;
pub mod quota;
pub mod reach;
pub mod recipients;
pub mod referral;
pub mod regions;
pub mod relay;
pub mod replica;
pub mod report;
pub mod roster;
pub mod shortness;
pub mod spillover;
pub mod split;
pub mod starters;
mod stop;
pub mod suspect;
pub mod target;
pub mod upstream;
pub mod urgency;
pub mod verdict;

use core::time::Duration;
use std::sync::Arc;

pub use hash::{hash, short_hash, unit_interval};
pub use message::{
    Admission, Assignment, AttemptOutcome, Bounds, Decision, FollowUp, Identity, Rejection,
    Request, Ticket, Withheld,
};

use crate::clock::Time;
use crate::request::poison::Suspects;
use crate::version::routes::Routes;

use allotment::Participant;
use budget::Budget;
pub use contact::StoreContact;
use contact::StoreLink;
use health::Observation;
use job::{Job, State};
use latency::LatencyEstimates;
use loads::Received;
use mechanisms::{Mechanism, Mechanisms};
use members::Members;
use mix::PriorityMix;
use referral::Referral;
use regions::Regions;
use roster::Roster;
use shortness::Shortness;
use spillover::Spillover;
use split::Splits;
use starters::Starters;
use stop::Stop;
use upstream::FailedUpstreams;
use urgency::Urgency;

/// State and decisions of direct steering at one instance. It does no I/O and
/// takes the time as an argument.
#[derive(Debug)]
pub struct Direct {
    identity: Identity,
    bounds: Bounds,
    mechanisms: Mechanisms,
    routes: Option<Arc<Routes>>,
    /// All known targets.
    pub roster: Roster,
    latency: LatencyEstimates,
    splits: Splits,
    /// Retry budgets, sorted by service.
    budgets: Vec<(Arc<str>, Budget)>,
    /// Spillover controllers, sorted by service.
    spillovers: Vec<(Arc<str>, Spillover)>,
    /// Recent requests by service and priority.
    mix: PriorityMix,
    /// Mixed services with too few free slots.
    shortness: Shortness,
    /// Requests in flight at targets, as other instances reported.
    loads: Received,
    /// When and to whom this instance reports its own.
    load_schedule: loads::Schedule,
    /// Loads that other regions report.
    regions: Regions,
    /// Competition for the slots of short services.
    urgency: Urgency,
    members: Members,
    /// Choice of the instances that callers are told.
    referral: Referral,
    store: StoreLink,
    /// The time up to which the store's content is known.
    confirmed: access::Confirmed,
    quotas: quota::Quotas,
    /// Upstreams that failed lately, which are not read from for a while.
    failed_upstreams: FailedUpstreams,
    starters: Starters,
    /// Set once the process was told to stop.
    stop: Option<Stop>,
    /// Whether this instance reaches targets by itself.
    reach: reach::Reach,
    /// Instances that don't relay for now, and until when.
    paused_relays: Vec<(Arc<str>, Time)>,
    suspects: Suspects,
    /// Requests that were answered lately.
    answered: answered::Answered,
    /// Breaks of connections to targets that may have crashed.
    breaks: Vec<suspect::TargetBreak>,
    /// Rows of the store on requests that crash targets.
    rows: verdict::Rows,
    /// Counts the turns of messages on suspects.
    suspect_turn: u64,
    /// Permits of suspects.
    permits: permit::Permits,
    /// Whether a permit is to be requested or released at once.
    is_permit_request_due: bool,
    /// Whether others are to be told of changed strikes at once.
    news_due: suspect::NewsDue,
    /// Position of the next message in the rotation over all suspects.
    suspect_cursor: usize,
    /// Changes of strikes that wait to be logged.
    suspect_changes: Vec<suspect::Change>,
    /// Objects that have become warm at targets since the last heartbeat, each with
    /// the hash of the target.
    object_updates: Vec<(u32, u32)>,
    /// Slow and failed requests since the last heartbeat.
    observations: Vec<Observation>,
    /// Position of the next heartbeat in the rotation over all warm objects.
    object_cursor: usize,
    /// Position of the next heartbeat in the rotation over all targets' limits.
    limit_cursor: usize,
    /// Position of the next message in the rotation over all notices.
    notice_cursor: usize,
    heartbeat_seq: u64,
    /// Other instances that share the bounds on sums with this one.
    participants: Vec<Participant>,
    /// Requests queued or in flight, sorted by ticket.
    jobs: Vec<Job>,
    next_ticket: u64,
}

/// Time reserved before a caller's deadline to write the answer.
const ANSWER_RESERVE: Duration = Duration::from_millis(30);

impl Direct {
    /// Creates steering with no configuration and no targets. `domains` lists the
    /// failure domains, each with its region.
    #[must_use]
    pub fn new(identity: Identity, bounds: Bounds, domains: Vec<(Arc<str>, Arc<str>)>) -> Self {
        Self::with(identity, bounds, domains, Mechanisms::ALL)
    }

    /// Creates steering with only some mechanisms, to measure the others.
    #[must_use]
    pub fn with(
        identity: Identity,
        bounds: Bounds,
        domains: Vec<(Arc<str>, Arc<str>)>,
        mechanisms: Mechanisms,
    ) -> Self {
        let load_schedule = loads::Schedule::new(Arc::clone(&identity.region));
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
            mix: PriorityMix::default(),
            shortness: Shortness::default(),
            loads: Received::default(),
            load_schedule,
            regions: Regions::default(),
            urgency: Urgency::default(),
            members: Members::default(),
            referral: Referral::default(),
            store: StoreLink::default(),
            confirmed: access::Confirmed::default(),
            quotas: quota::Quotas::default(),
            failed_upstreams: FailedUpstreams::default(),
            starters: Starters::default(),
            stop: None,
            reach: reach::Reach::default(),
            paused_relays: Vec::new(),
            suspects: Suspects::new(suspect::STRIKES_MAX),
            answered: answered::Answered::default(),
            breaks: Vec::new(),
            rows: verdict::Rows::default(),
            suspect_turn: 0,
            permits: permit::Permits::default(),
            is_permit_request_due: false,
            news_due: suspect::NewsDue::None,
            suspect_cursor: 0,
            suspect_changes: Vec::new(),
            object_updates: Vec::new(),
            observations: Vec::new(),
            object_cursor: 0,
            limit_cursor: 0,
            notice_cursor: 0,
            heartbeat_seq: 0,
            participants: Vec::new(),
            jobs: Vec::new(),
            next_ticket: 1,
        }
    }

    /// Installs a version of the configuration unless the one in force is at least as
    /// new. Returns whether it was installed.
    pub fn install(&mut self, routes: Arc<Routes>) -> bool {
        self.config_readable();
        let is_newer = self
            .routes
            .as_ref()
            .is_none_or(|known| known.version < routes.version);
        if is_newer {
            let before = self.routes.replace(routes);
            let teams = before.as_ref().map(|r| r.teams.all());
            self.apply_quotas(teams.unwrap_or_default());
        }
        is_newer
    }

    /// The configuration in force, if there is one.
    #[must_use]
    pub fn routes(&self) -> Option<&Arc<Routes>> {
        self.routes.as_ref()
    }

    /// The version of the configuration in force; 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.routes.as_ref().map_or(0, |r| r.version)
    }

    /// Sets the failure domains that must not receive requests. Targets in a domain
    /// that is no longer among them are cold for the longest warm-up of any service.
    pub fn evacuate(&mut self, now: Time, domains: Vec<Arc<str>>) {
        let warmups = self.routes.iter().flat_map(|r| r.services());
        let warmup = warmups.map(|s| s.warmup).max().unwrap_or_default();
        self.roster.evacuate(now, domains, warmup);
    }

    /// Number of requests queued or in flight.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.jobs.len()
    }

    /// The share of requests that runs in other regions, by service.
    #[must_use]
    pub fn spillover_shares(&self) -> Vec<(Arc<str>, f64)> {
        let share = |p: &(Arc<str>, Spillover)| (Arc::clone(&p.0), p.1.share());
        self.spillovers.iter().map(share).collect()
    }

    /// Number of requests that wait for a target.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        let is_waiting = |j: &&Job| matches!(j.state, State::Waiting);
        self.jobs.iter().filter(is_waiting).count()
    }

    /// Queues a request that has arrived; [`Direct::step`] decides on it.
    ///
    /// # Errors
    /// Returns the reason if the route has no service, if no region is allowed by
    /// both the route and the team, or if the request has crashed targets before.
    pub fn submit(&mut self, now: Time, request: Request) -> Result<Ticket, Rejection> {
        self.record_caller(now);
        let is_trial = self.is_refused(now, request.fingerprint);
        if is_trial && !self.take_trial(now, request.fingerprint) {
            self.note_refusal(request.fingerprint);
            return Err(Rejection::Poison);
        }
        if !self.has_region(&request) {
            return Err(Rejection::NoRegion);
        }
        let offset = unit_interval(hash(self.identity.name.as_bytes()));
        let service = self
            .splits
            .next(&request.route, offset)
            .ok_or(Rejection::NoTarget)?;
        let rule = self.bounds.retries;
        self.budget(&service).record_request(now, &rule);
        self.record_priority(now, &service, &request);
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let time_limit = (request.deadline - ANSWER_RESERVE).min(now + request.route.timeout);
        self.jobs.push(Job {
            ticket,
            request,
            service,
            arrived: now,
            time_limit,
            tried: Vec::new(),
            unreached: Vec::new(),
            refusals: 0,
            may_have_run: false,
            strikes: 0,
            is_trial,
            is_remote: None,
            admission: Admission::New,
            has_spare_slots: false,
            grant: None,
            state: State::Waiting,
        });
        Ok(ticket)
    }

    /// The time until which a request may run, by its caller's deadline and its
    /// route's time-out.
    #[must_use]
    pub fn time_limit(&self, ticket: Ticket) -> Option<Time> {
        self.find(ticket).ok().map(|at| self.jobs[at].time_limit)
    }

    /// Whether any region may serve a request by its route and its team; true if no
    /// regions are known.
    fn has_region(&self, request: &Request) -> bool {
        let mut regions = self.roster.regions().peekable();
        regions.peek().is_none() || regions.any(|region| request.allows(region))
    }

    /// Expected service time of a request.
    fn estimate(&self, job: &Job) -> latency::Estimate {
        let route = &job.request.route;
        let goal = route.latency_goal.as_secs_f64();
        if self.mechanisms.has(Mechanism::Learning) {
            self.latency.estimate(&job.service, &route.name, goal)
        } else {
            LatencyEstimates::default().estimate(&job.service, &route.name, goal)
        }
    }

    /// The retry budget of a service, created on first use.
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

    /// The bound on retries that applies now. A process that has not known the other
    /// instances for a while uses none of the slack: it can't tell with how many it shares it.
    fn retry_rule(&self, now: Time) -> budget::Rule {
        let rule = self.bounds.retries;
        if self.has_known_store_for(now, rule.slack_span()) {
            return rule;
        }
        budget::Rule { slack: 0.0, ..rule }
    }

    /// Use of each service's retry budget in the window that ends now.
    pub fn budget_uses(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, budget::Use)> {
        let rule = self.bounds.retries;
        let uses = self.budgets.iter();
        uses.map(move |(service, budget)| (service, budget.recent_use(now, &rule)))
    }

    /// Number of instances that share the bounds on sums, this one included.
    #[must_use]
    pub fn sharing_instances(&self) -> usize {
        self.participants.len() + 1
    }

    /// Index of a request in `jobs`.
    fn find(&self, ticket: Ticket) -> Result<usize, usize> {
        self.jobs.binary_search_by_key(&ticket, |j| j.ticket)
    }
}

/// Time constant of the exponential decay of a target's report on the requests of
/// other instances.
const REPORT_DECAY_TIME: Duration = Duration::from_millis(400);

/// Longest time between two calls of [`Direct::step`] while requests wait.
pub const STEP_INTERVAL_MAX: Duration = Duration::from_millis(25);
