//! A fleet in virtual time: instances that decide for themselves, targets, the
//! platform's store and heartbeats, all of which fail by a plan.
//!
//! Invariant: instances learn nothing but by the store and by heartbeats, each
//! by its own clock, which starts at zero with its process.

mod faults;

use core::time::Duration;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use fastrand::Rng;
use steer::clock::Time;
use steer::process::direct::members::Heartbeat;
use steer::process::direct::notice::TargetNotice;
use steer::process::direct::target::{Entry, Feedback};
use steer::process::direct::{
    Assignment, AttemptOutcome, Decision, Direct, FollowUp, Identity, Request, Ticket,
};
use steer::request::arrival::Fingerprint;
use steer::version::routes::Routes;

use super::instance::Instance;
use super::plan::Plan;
use super::setup::{self, BOUNDS, COLD_RATE, TARGETS, Target};
use super::tally::{Arrival, BackoffRequest, CallerRequest, Tally};

const MS: Duration = Duration::from_millis(1);

/// Step of virtual time.
const STEP: Duration = Duration::from_millis(5);
/// Requests per second of all callers, for each multiple of [`TARGETS`].
const REQUEST_RATE: f64 = 80.0;
/// Instances for each multiple of [`TARGETS`].
const INSTANCES_PER_SCALE: usize = 7;
/// Shortest and longest time that a target works on a request, in milliseconds.
const WORK_TIME_MS: (u64, u64) = (100, 500);
/// Network latency to a target in the own region and in another one, in milliseconds.
const LATENCY_MS: (u64, u64) = (1, 36);
/// Time between two heartbeats of an instance.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Share of heartbeats that are lost.
const HEARTBEAT_LOSS: f64 = 0.05;
/// Time between two reads of the store; stands for a watch.
const STORE_READ_INTERVAL: Duration = Duration::from_millis(300);
/// Share of the requests that targets turn away while they do.
const TURNED_AWAY: f64 = 0.95;
/// Time for which a registration outlives its instance.
const REGISTRATION_TTL: Duration = Duration::from_secs(3);

enum Event {
    Arrival {
        instance: usize,
        incarnation: u64,
        assignment: Assignment,
        submitted_at: Time,
        sent_at: Time,
    },
    Completion {
        instance: usize,
        incarnation: u64,
        ticket: Ticket,
        outcome: AttemptOutcome,
        target: usize,
        feedback: Feedback,
    },
    Heartbeat {
        instance: usize,
        heartbeat: Heartbeat,
        notices: Vec<TargetNotice>,
    },
}

/// Instances, targets, store and callers of one run.
pub struct Fleet {
    plan: Plan,
    rng: Rng,
    now: Time,
    instances: Vec<Instance>,
    targets: Vec<Target>,
    store_away_until: Time,
    queue: BinaryHeap<Reverse<(Time, usize)>>,
    /// Events by number; `None` once handled.
    events: Vec<Option<Event>>,
    routes: Arc<Routes>,
    due_requests: f64,
    /// Multiple of [`TARGETS`] and of [`REQUEST_RATE`].
    scale: usize,
    tally: Tally,
}

impl Fleet {
    /// Creates a fleet of `size` instances, none of which has started.
    #[must_use]
    pub fn new(size: usize, plan: Plan, seed: u64) -> Self {
        let instances = (0..size).map(|i| Instance::new(i, Time::ZERO)).collect();
        Self {
            plan,
            rng: Rng::with_seed(seed),
            now: Time::ZERO,
            instances,
            targets: setup::targets(size.div_ceil(INSTANCES_PER_SCALE)),
            store_away_until: Time::ZERO,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            routes: Arc::new(setup::routes()),
            due_requests: 0.0,
            scale: size.div_ceil(INSTANCES_PER_SCALE),
            tally: Tally {
                bounds: BOUNDS,
                cold_rate: COLD_RATE,
                is_steady: plan.is_steady(),
                arrivals: Vec::new(),
                answered: 0,
                backoffs: Vec::new(),
                notices: Vec::new(),
                requests: Vec::new(),
            },
        }
    }

    /// Runs for `seconds` of virtual time.
    #[must_use]
    pub fn run(mut self, seconds: u64) -> Tally {
        let end = Time::ZERO + Duration::from_secs(seconds);
        while self.now < end {
            self.inject_faults();
            self.restart_due();
            self.handle_due_events();
            self.sync_with_store();
            self.send_heartbeats();
            if self.now > Time::ZERO + Duration::from_secs(2) {
                self.send_due_requests();
            }
            self.decide();
            self.now = self.now + STEP;
        }
        self.tally
    }

    /// Whether an event with this mean time between occurrences occurs in this step.
    fn occurs(&mut self, mean: Duration) -> bool {
        self.rng.f64() < STEP.as_secs_f64() / mean.as_secs_f64()
    }

    fn random_duration(&mut self, from: u64, upto: u64) -> Duration {
        MS * u32::try_from(self.rng.u64(from..upto)).unwrap_or(u32::MAX)
    }

    fn restart_due(&mut self) {
        for instance in 0..self.instances.len() {
            if self.instances[instance]
                .restarts_at
                .is_some_and(|at| self.now >= at)
            {
                self.start(instance);
            }
        }
    }

    fn start(&mut self, at: usize) {
        let instance = &mut self.instances[at];
        instance.restarts_at = None;
        instance.incarnation += 1;
        instance.limits_told.clear();
        instance.started_at = self.now;
        instance.read_at = Time::ZERO;
        let identity = Identity {
            name: Arc::clone(&instance.name),
            region: setup::region(instance.region),
            incarnation: instance.incarnation,
            registration: setup::row(instance.region),
        };
        let domains = (0..TARGETS.len())
            .map(|r| (setup::region(r), setup::region(r)))
            .collect();
        let mut direct = Direct::new(identity, BOUNDS, domains);
        direct.install(Arc::clone(&self.routes));
        instance.direct = Some(direct);
    }

    fn handle_due_events(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > self.now {
                return;
            }
            self.queue.pop();
            match self.events[number].take() {
                Some(Event::Arrival {
                    instance,
                    incarnation,
                    assignment,
                    submitted_at,
                    sent_at,
                }) => self.arrive(instance, incarnation, &assignment, submitted_at, sent_at),
                Some(Event::Completion {
                    instance,
                    incarnation,
                    ticket,
                    outcome,
                    target,
                    feedback,
                }) => {
                    self.pass_on_answer(instance, incarnation, target, feedback);
                    self.complete(instance, incarnation, ticket, outcome);
                }
                Some(Event::Heartbeat {
                    instance,
                    heartbeat,
                    notices,
                }) => {
                    let instance = &mut self.instances[instance];
                    let now = instance.clock(self.now);
                    if let Some(direct) = &mut instance.direct {
                        direct.receive_heartbeat(now, heartbeat);
                        direct.receive_target_notices(now, &notices);
                    }
                }
                None => {}
            }
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.queue
            .push(Reverse((self.now + after, self.events.len())));
        self.events.push(Some(event));
    }

    fn arrive(
        &mut self,
        instance: usize,
        incarnation: u64,
        assignment: &Assignment,
        submitted_at: Time,
        sent_at: Time,
    ) {
        let found = self
            .targets
            .iter()
            .position(|t| t.entry.id == assignment.target);
        let Some(target) = found else { return };
        let limit = self.limit(target);
        let backoff = self.backoff(target);
        self.tally.arrivals.push(Arrival {
            process: (instance, incarnation),
            submitted_at,
            sent_at,
            at: self.now,
            target,
            is_repeat: assignment.attempt > 1,
            is_cold: self.now < self.targets[target].cold,
            limit,
            is_told: limit.is_some()
                && self.instances[instance].is_limit_told(incarnation, target, self.now),
        });
        let work = self.random_duration(WORK_TIME_MS.0, WORK_TIME_MS.1);
        let draw = self.rng.f64();
        let outcome = match draw {
            _ if backoff.is_some() => AttemptOutcome::NotRun,
            _ if self.is_turning_away() && draw < TURNED_AWAY => AttemptOutcome::NotRun,
            _ if !self.plan.failing => AttemptOutcome::Answered,
            _ if draw < 0.1 => AttemptOutcome::NotRun,
            _ if draw < 0.2 => AttemptOutcome::Failed,
            _ if draw < 0.25 => AttemptOutcome::ConnectionLost,
            _ => AttemptOutcome::Answered,
        };
        if let Some(backoff) = backoff {
            self.tally.backoffs.push(BackoffRequest {
                process: (instance, incarnation),
                target,
                at: self.now,
                until: self.now + backoff,
            });
        }
        let ticket = assignment.ticket;
        let end = Event::Completion {
            instance,
            incarnation,
            ticket,
            outcome,
            target,
            feedback: Feedback {
                limit,
                backoff,
                is_leaving: self.is_leaving(target),
                ..Feedback::default()
            },
        };
        self.schedule(
            if outcome == AttemptOutcome::NotRun {
                MS
            } else {
                work
            },
            end,
        );
    }

    fn complete(&mut self, at: usize, incarnation: u64, ticket: Ticket, outcome: AttemptOutcome) {
        let instance = &mut self.instances[at];
        let now = instance.clock(self.now);
        if instance.incarnation != incarnation {
            return;
        }
        let Some(direct) = &mut instance.direct else {
            return;
        };
        if outcome == AttemptOutcome::Answered {
            self.tally.answered += 1;
        }
        if direct.finish_attempt(now, ticket, outcome) != FollowUp::Retry {
            instance.pending.retain(|a| a.0 != ticket);
        }
    }

    /// Applies what a target's answer reports.
    fn pass_on_answer(&mut self, at: usize, incarnation: u64, target: usize, feedback: Feedback) {
        let instance = &mut self.instances[at];
        let now = instance.clock(self.now);
        let (true, Some(direct)) = (instance.incarnation == incarnation, &mut instance.direct)
        else {
            return;
        };
        let entry = &self.targets[target].entry;
        direct.apply_feedback(now, &entry.id, entry.incarnation, feedback);
        if feedback.limit.is_some() {
            instance.limits_told.push((target, self.now));
        }
        if feedback.is_leaving {
            self.tally.announce((at, incarnation), target, self.now);
        }
    }

    fn has_store(&self, instance: &Instance) -> bool {
        self.now >= self.store_away_until && self.now >= instance.cut_until
    }

    /// Renews registrations and reads the store at all instances that reach it.
    fn sync_with_store(&mut self) {
        for at in 0..self.instances.len() {
            let instance = &self.instances[at];
            if instance.direct.is_none() || !self.has_store(instance) {
                continue;
            }
            if instance.read_at != Time::ZERO
                && self.now.since(instance.read_at) < STORE_READ_INTERVAL
            {
                continue;
            }
            let revision = self.now.as_micros();
            let listed = self.instances.iter().filter(|n| n.listed_until > self.now);
            let listed: Vec<(Arc<str>, usize)> =
                listed.map(|n| (Arc::clone(&n.name), n.region)).collect();
            let entries: Vec<Entry> = self.targets.iter().map(|t| t.entry_at(self.now)).collect();
            let now = self.now;
            let instance = &mut self.instances[at];
            // An instance registers once it has read the store.
            instance.listed_until = now + REGISTRATION_TTL;
            instance.read_at = now;
            let local = instance.clock(now);
            let Some(direct) = &mut instance.direct else {
                continue;
            };
            direct.store_answered(local, revision);
            let names: Vec<&str> = listed.iter().map(|l| &*l.0).collect();
            direct.retain_members(local, &names);
            for (name, region) in &listed {
                direct.set_member(local, name, Some(setup::row(*region)));
            }
            for entry in entries {
                direct.roster.put(local, entry);
            }
            direct.sweep(local);
        }
    }

    fn send_heartbeats(&mut self) {
        for at in 0..self.instances.len() {
            let instance = &mut self.instances[at];
            let local = instance.clock(self.now);
            let Some(direct) = &mut instance.direct else {
                continue;
            };
            if self.now.since(instance.heartbeat_at) < HEARTBEAT_INTERVAL {
                continue;
            }
            instance.heartbeat_at = self.now;
            let heartbeat = direct.heartbeat(local, true);
            let notices = direct.target_notices(local);
            direct.sweep(local);
            crate::answer_probes(direct, local);
            let names: Vec<Arc<str>> = direct.others(local).map(|o| Arc::clone(o.0)).collect();
            if self.now < instance.cut_until {
                continue;
            }
            for to in 0..self.instances.len() {
                let known = names.contains(&self.instances[to].name);
                if !known
                    || self.now < self.instances[to].cut_until
                    || self.rng.f64() < HEARTBEAT_LOSS
                {
                    continue;
                }
                let latency = self.random_duration(1, 40);
                self.schedule(
                    latency,
                    Event::Heartbeat {
                        instance: to,
                        heartbeat: heartbeat.clone(),
                        notices: notices.clone(),
                    },
                );
            }
        }
    }

    fn send_due_requests(&mut self) {
        let burst_factor = self.burst_factor();
        let scale = f64::from(u32::try_from(self.scale).unwrap_or(1));
        self.due_requests += REQUEST_RATE * scale * burst_factor * STEP.as_secs_f64();
        while self.due_requests >= 1.0 {
            self.due_requests -= 1.0 + (self.rng.f64() - 0.5) * 0.5;
            let ready: Vec<usize> = (0..self.instances.len())
                .filter(|n| {
                    self.instances[*n].direct.is_some() && self.instances[*n].read_at > Time::ZERO
                })
                .collect();
            if let Some(&instance) = ready.get(self.rng.usize(0..ready.len().max(1))) {
                self.submit(instance);
            }
        }
    }

    fn submit(&mut self, at: usize) {
        let object = self.rng.u64(0..60 * self.scale as u64);
        let instance = &mut self.instances[at];
        let now = instance.clock(self.now);
        let Some(direct) = &mut instance.direct else {
            return;
        };
        let request = Request {
            route: Arc::clone(&self.routes.routes()[0]),
            authorized: None,
            object: Some(object),
            deadline: now + Duration::from_secs(4),
            fingerprint: Fingerprint(u128::from(now.as_micros()) << 64 | u128::from(object)),
        };
        if let Ok(ticket) = direct.submit(now, request) {
            instance.pending.push((ticket, self.tally.requests.len()));
        }
        self.tally.requests.push(CallerRequest {
            at: self.now,
            region: instance.region,
            elsewhere: None,
        });
    }

    fn decide(&mut self) {
        for at in 0..self.instances.len() {
            let instance = &mut self.instances[at];
            let now = instance.clock(self.now);
            let (incarnation, home_region) = (instance.incarnation, instance.region);
            let Some(direct) = &mut instance.direct else {
                continue;
            };
            for decision in direct.step(now) {
                match decision {
                    Decision::Reject { ticket, .. } => {
                        self.instances[at].pending.retain(|a| a.0 != ticket);
                    }
                    Decision::Send(assignment) => {
                        self.send(at, incarnation, home_region, assignment);
                    }
                    // No instance is cut off from targets here.
                    Decision::GiveUp { .. } => {}
                }
            }
        }
    }

    fn send(
        &mut self,
        instance: usize,
        incarnation: u64,
        home_region: usize,
        assignment: Assignment,
    ) {
        let found = self
            .targets
            .iter()
            .find(|t| t.entry.id == assignment.target);
        let elsewhere = found.is_some_and(|t| t.region != home_region);
        let pending = &self.instances[instance].pending;
        let mut submitted_at = self.now;
        if let Some((_, request)) = pending.iter().find(|a| a.0 == assignment.ticket) {
            let request = &mut self.tally.requests[*request];
            request.elsewhere.get_or_insert(elsewhere);
            submitted_at = request.at;
        }
        let latency = if elsewhere {
            LATENCY_MS.1
        } else {
            LATENCY_MS.0
        };
        let sent_at = self.now;
        self.schedule(
            MS * u32::try_from(latency).unwrap_or(1),
            Event::Arrival {
                instance,
                incarnation,
                assignment,
                submitted_at,
                sent_at,
            },
        );
    }
}
