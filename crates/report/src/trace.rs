//! What became of each request, out of the lines of all instances.
//!
//! Invariant: a request has one end: the last line that tells of it.

use std::sync::Arc;

use crate::line::{Attempt, Event, OwnAnswer, Route, Target};
use crate::load::Load;
use crate::log::{Entry, Log, seconds};

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A target's success, within the objective.
    InTime,
    /// A target's success, later.
    Late,
    /// A rejection: it has not run. With its cause.
    Rejected(Arc<str>),
    /// Anything else.
    Failed,
}

/// What a request may have lost its objective by, the first that applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// It was sent more than once.
    Again,
    /// It waited here for an eighth of its objective or longer.
    Held,
    /// Its object wasn't at the target, and the target in another region.
    FarCold,
    /// Its object wasn't at the target.
    Cold,
    /// The target took over twice the work expected: a queue, or a slow target.
    Slow,
    /// None of these: work is long, or the way.
    Else,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: Arc<str>,
    /// Seconds at which it arrived.
    pub arrived: f64,
    /// Seconds at which it was sent or rejected for good.
    pub decided: f64,
    /// The instance that took it.
    pub instance: Arc<str>,
    /// That instance's region.
    pub region: Arc<str>,
    /// Its route.
    pub route: Arc<str>,
    /// Region that it ran in, last; empty if it was sent nowhere.
    pub ran: Arc<str>,
    /// Whether its object was known to be at the target, at its last attempt.
    pub warm: bool,
    /// Milliseconds until it was first sent, or rejected.
    pub held_ms: u64,
    /// Milliseconds from its first byte until it was taken up.
    pub read_ms: u64,
    /// Whether another of its connection was unanswered when it was taken up.
    pub piped: bool,
    /// Attempts.
    pub attempts: u32,
    /// How it ended.
    pub end: End,
    /// By what, if late.
    pub cause: Cause,
    /// Other regions, and its own, that had a free slot and were allowed when it
    /// was decided, if it was late or rejected.
    pub room: Vec<Arc<str>>,
}

impl Request {
    /// Whether it ran in another region than it came to.
    #[must_use]
    pub fn is_elsewhere(&self) -> bool {
        !self.ran.is_empty() && self.ran != self.region
    }
}

/// All requests, and the load they made.
#[derive(Debug, Default)]
pub struct Trace {
    /// By arrival.
    pub requests: Vec<Request>,
    /// Requests in flight and slots, by service and region.
    pub load: Load,
    /// Regions of instances, sorted by instance.
    regions: Vec<(Arc<str>, Arc<str>)>,
    /// Sorted by name.
    routes: Vec<Route>,
}

/// The part of an objective for which a request may wait here unremarked.
const HELD: f64 = 0.125;

/// How much more than the work expected is remarked.
const SLOW: f64 = 2.0;

impl Trace {
    /// Lays the lines side by side.
    #[must_use]
    pub fn of(log: &Log) -> Self {
        let mut trace = Self::default();
        for entry in &log.entries {
            trace.learn(entry);
        }
        trace.load.settle();
        let mut told: Vec<&Entry> = log
            .entries
            .iter()
            .filter(|e| matches!(e.event, Event::Attempt(_) | Event::OwnAnswer(_)))
            .collect();
        told.sort_by(|a, b| key(a).cmp(&key(b)).then(a.at.total_cmp(&b.at)));
        for lines in told.chunk_by(|a, b| key(a) == key(b) && !key(a).0.is_empty()) {
            let request = trace.request(lines);
            trace.requests.extend(request);
        }
        trace
            .requests
            .sort_by(|a, b| a.arrived.total_cmp(&b.arrived));
        trace
    }

    fn learn(&mut self, entry: &Entry) {
        match &entry.event {
            Event::Start(start) => {
                let known = self.regions.binary_search_by(|r| r.0.cmp(&entry.instance));
                if let Err(at) = known {
                    let row = (Arc::clone(&entry.instance), Arc::clone(&start.region));
                    self.regions.insert(at, row);
                }
            }
            Event::Route(route) => {
                match self.routes.binary_search_by(|r| r.route.cmp(&route.route)) {
                    Ok(at) => self.routes[at] = route.clone(),
                    Err(at) => self.routes.insert(at, route.clone()),
                }
            }
            Event::Target(target) => self.listed(entry.at, target),
            Event::TargetGone { target } => self.load.unlist(entry.at, target),
            Event::Attempt(attempt) => {
                let sent = entry.at - seconds(attempt.took_ms);
                self.load.flight(&attempt.target, sent, entry.at);
            }
            Event::OwnAnswer(_) | Event::LeftOut { .. } | Event::Other => {}
        }
    }

    fn listed(&mut self, at: f64, target: &Target) {
        if target.state == "ready" {
            self.load.list(at, target);
        } else {
            self.load.unlist(at, &target.target);
        }
    }

    fn request(&self, lines: &[&Entry]) -> Option<Request> {
        let last = lines.last()?;
        let attempts: Vec<(&Entry, &Attempt)> = lines.iter().copied().filter_map(attempt).collect();
        let own = lines.iter().rev().copied().find_map(own);
        let (arrived, read_ms) = arrival(lines.first()?);
        let sent = attempts.last().copied();
        let (id, route) = match (sent, own) {
            (Some((_, a)), _) => (&a.request, &a.route),
            (None, Some(o)) => (&o.request, &o.route),
            (None, None) => return None,
        };
        let goal = self
            .route(route)
            .map_or(f64::INFINITY, |r| seconds(r.goal_ms));
        let end = end(sent, own, last.at - arrived <= goal);
        let decided = match (&end, sent) {
            (End::InTime | End::Late, Some((e, a))) => e.at - seconds(a.took_ms),
            _ => last.at,
        };
        let held_ms = match (attempts.first(), own) {
            (Some((_, a)), _) => a.held_ms,
            (None, Some(o)) => o.held_ms,
            (None, None) => 0,
        };
        let ran = sent.and_then(|(_, a)| self.load.region(&a.target));
        let region = self.region(&last.instance);
        let mut request = Request {
            id: Arc::clone(id),
            arrived,
            decided,
            instance: Arc::clone(&last.instance),
            region,
            route: Arc::clone(route),
            ran: ran.cloned().unwrap_or_default(),
            warm: sent.is_some_and(|(_, a)| a.warm),
            held_ms,
            read_ms,
            piped: attempts.first().is_some_and(|(_, a)| a.ahead > 0),
            attempts: u32::try_from(attempts.len()).unwrap_or(u32::MAX),
            end,
            cause: Cause::Else,
            room: Vec::new(),
        };
        request.cause = cause(&request, sent.map(|s| s.1), goal);
        if matches!(request.end, End::Late | End::Rejected(_)) {
            request.room = self.room(&request);
        }
        Some(request)
    }

    /// A route as it was last in force.
    #[must_use]
    pub fn route(&self, name: &str) -> Option<&Route> {
        let at = self.routes.binary_search_by(|r| (*r.route).cmp(name));
        at.ok().map(|at| &self.routes[at])
    }

    fn region(&self, instance: &str) -> Arc<str> {
        let at = self.regions.binary_search_by(|r| (*r.0).cmp(instance));
        at.map_or_else(|_| "".into(), |at| Arc::clone(&self.regions[at].1))
    }

    /// Regions that had a free slot for a request when it was decided: all that
    /// are allowed, for one that was rejected; others than it ran in else.
    fn room(&self, request: &Request) -> Vec<Arc<str>> {
        let Some(route) = self.route(&request.route) else {
            return Vec::new();
        };
        let allowed = |region: &str| {
            route.homes.is_empty() || route.homes.iter().any(|home| **home == *region)
        };
        let sent = !matches!(request.end, End::Rejected(_));
        let free = route
            .services
            .iter()
            .flat_map(|s| self.load.free(s, request.decided))
            .filter(|region| allowed(region) && !(sent && **region == *request.ran));
        let mut free: Vec<Arc<str>> = free.collect();
        free.sort();
        free.dedup();
        free
    }
}

/// Requests are told apart by instance and id.
fn key(entry: &Entry) -> (&str, &str) {
    let id = match &entry.event {
        Event::Attempt(a) => &a.request,
        Event::OwnAnswer(o) => &o.request,
        _ => "",
    };
    (id, &entry.instance)
}

fn attempt(entry: &Entry) -> Option<(&Entry, &Attempt)> {
    match &entry.event {
        Event::Attempt(attempt) => Some((entry, attempt)),
        _ => None,
    }
}

fn own(entry: &Entry) -> Option<&OwnAnswer> {
    match &entry.event {
        Event::OwnAnswer(own) => Some(own),
        _ => None,
    }
}

/// When a request arrived, by its first line, and how long it took to be read.
fn arrival(first: &Entry) -> (f64, u64) {
    match &first.event {
        Event::Attempt(a) => (first.at - seconds(a.held_ms + a.took_ms), a.read_ms),
        Event::OwnAnswer(o) => (first.at - seconds(o.held_ms), o.read_ms),
        _ => (first.at, 0),
    }
}

fn end(sent: Option<(&Entry, &Attempt)>, own: Option<&OwnAnswer>, in_time: bool) -> End {
    if let Some(own) = own {
        return match own.status {
            408 | 421 | 429 | 503 => End::Rejected(Arc::clone(&own.why)),
            _ => End::Failed,
        };
    }
    match sent {
        Some((_, a)) if a.ending == "answered" && in_time => End::InTime,
        Some((_, a)) if a.ending == "answered" => End::Late,
        _ => End::Failed,
    }
}

fn cause(request: &Request, sent: Option<&Attempt>, goal: f64) -> Cause {
    let Some(sent) = sent else {
        return Cause::Else;
    };
    if request.attempts > 1 {
        Cause::Again
    } else if seconds(request.held_ms) >= goal * HELD {
        Cause::Held
    } else if !sent.warm && request.is_elsewhere() {
        Cause::FarCold
    } else if !sent.warm {
        Cause::Cold
    } else if seconds(sent.took_ms) * 1000.0 > sent.expected_ms * SLOW {
        Cause::Slow
    } else {
        Cause::Else
    }
}
