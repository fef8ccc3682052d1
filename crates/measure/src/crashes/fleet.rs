//! Instances, targets and callers of one play.

use core::time::Duration;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;

use fastrand::Rng;
use steer::clock::Time;
use steer::process::direct::mechanisms::Mechanisms;
use steer::process::direct::members::{Heartbeat, Registration};
use steer::process::direct::permit::{PermitReply, PermitRequest};
use steer::process::direct::suspect::SuspectMessage;
use steer::process::direct::target::Entry;
use steer::process::direct::{
    Assignment, AttemptOutcome, Decision, Direct, FollowUp, Identity, Rejection, Request, Ticket,
};
use steer::request::arrival::Fingerprint;
use steer::request::poison::Report;
use steer::version::routes::Route;

use super::{Case, Tally};
use crate::sums::setup::{self, BOUNDS};

const MS: Duration = Duration::from_millis(1);
/// Time on the way between two processes.
const WAY: Duration = MS;
/// Time that a target works on a request, or until it ends under one.
const WORK: Duration = Duration::from_millis(150);
/// Time after which an ended target is back, under a new id.
const RETURN: Duration = Duration::from_millis(2_500);
/// Time after which its old entry is removed.
const EXPIRY: Duration = Duration::from_millis(4_500);
/// Time between two heartbeats.
const BEAT: Duration = Duration::from_millis(250);
/// One in this many heartbeats goes to remote instances too.
const REMOTE_EVERY: u64 = 3;
/// Time between two steps while requests wait.
const STEP: Duration = Duration::from_millis(25);
/// Time of the first request that crashes targets.
const FIRST_CRASH: u64 = 15_000;
/// Callers of each crashing request.
const CALLERS: usize = 4;
/// Time that callers wait for an answer.
const PATIENCE: Duration = Duration::from_millis(2_500);
/// Time after which a caller of a crashing request repeats it, at least.
const REPEAT: u64 = 100;

enum Message {
    Heartbeat(Box<Heartbeat>),
    Suspects(Arc<str>, Vec<Report>),
    PermitRequest(PermitRequest),
    PermitReply(PermitReply),
}

enum Event {
    Ordinary,
    /// The caller with this number sends its crashing request.
    Crashing(usize),
    Beat(usize),
    Step,
    Land(Flight),
    /// An attempt ends, or its target does.
    End(Flight),
    Refused(Flight),
    EndTarget,
    Return(usize),
    Remove(Arc<str>),
    Receive(usize, Message),
}

/// An attempt on its way to or at a target.
#[derive(Clone)]
struct Flight {
    number: u64,
    instance: usize,
    ticket: Ticket,
    assignment: Assignment,
}

struct Target {
    id: Arc<str>,
    incarnation: u64,
    is_up: bool,
}

/// A request at an instance.
struct Pending {
    instance: usize,
    ticket: Ticket,
    fingerprint: u128,
}

pub(super) struct Fleet {
    case: Case,
    rng: Rng,
    now: Time,
    route: Arc<Route>,
    instances: Vec<Direct>,
    targets: Vec<Target>,
    flights: Vec<Flight>,
    pending: Vec<Pending>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    /// Events by number, sorted.
    events: Vec<(u64, Event)>,
    next: u64,
    beats: u64,
    tally: Tally,
}

fn addr(number: usize) -> SocketAddr {
    let port = u16::try_from(number).expect("the fleet is small") + 1;
    ([127, 0, 0, 1], port).into()
}

fn registration(number: usize) -> Registration {
    let region = setup::region(number % 3);
    Registration {
        domain: Arc::clone(&region),
        region,
        callers: addr(number),
        peers: addr(number),
        heartbeats: addr(number),
    }
}

impl Fleet {
    pub(super) fn new(case: Case, seed: u64, mechanisms: Mechanisms) -> Self {
        let routes = Arc::new(setup::routes());
        let name = |number: usize| -> Arc<str> { format!("i{number:03}").into() };
        let start = |number: usize| {
            let identity = Identity {
                name: name(number),
                region: setup::region(number % 3),
                incarnation: 1,
                registration: registration(number),
            };
            let domains = (0..3).map(|r| (setup::region(r), setup::region(r)));
            let mut direct = Direct::with(identity, BOUNDS, domains.collect(), mechanisms);
            direct.install(Arc::clone(&routes));
            for other in (0..case.instances).filter(|o| *o != number) {
                direct.set_member(Time::ZERO, &name(other), Some(registration(other)));
            }
            direct
        };
        let route = routes.find("a.example", "/view/x");
        let mut fleet = Self {
            case,
            rng: Rng::with_seed(seed),
            now: Time::ZERO,
            instances: (0..case.instances).map(start).collect(),
            route: Arc::clone(route.expect("it is configured")),
            targets: Vec::new(),
            flights: Vec::new(),
            pending: Vec::new(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            next: 0,
            beats: 0,
            tally: Tally {
                ended: vec![0; case.crashing],
                refusals: vec![Vec::new(); case.paths],
                ..Tally::default()
            },
        };
        for number in 0..case.targets {
            fleet.targets.push(Target {
                id: format!("t{number}").into(),
                incarnation: 1,
                is_up: true,
            });
            fleet.list(number);
        }
        fleet
    }

    /// Plays `span` after the first crash may have come.
    pub(super) fn run(mut self, span: Duration) -> Tally {
        let begin = Time::from_micros(FIRST_CRASH * 1_000);
        let end = begin + span;
        self.plan(Duration::ZERO, Event::Ordinary);
        for instance in 0..self.case.instances {
            let offset = self.rng.u64(0..250);
            self.plan(Duration::from_millis(offset), Event::Beat(instance));
        }
        self.plan(STEP, Event::Step);
        for caller in 0..self.case.crashing * CALLERS {
            let offset = FIRST_CRASH + self.rng.u64(0..1_000);
            self.plan(Duration::from_millis(offset), Event::Crashing(caller));
        }
        if self.case.ends > 0.0 {
            self.plan(Duration::from_millis(FIRST_CRASH), Event::EndTarget);
        }
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at >= end {
                break;
            }
            self.now = at;
            let found = self.events.binary_search_by_key(&number, |e| e.0);
            let (_, event) = self.events.remove(found.expect("each is planned once"));
            self.handle(event, end);
        }
        self.tally.finish()
    }

    fn plan(&mut self, after: Duration, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((self.now + after, self.next)));
        self.events.push((self.next, event));
    }

    fn handle(&mut self, event: Event, end: Time) {
        match event {
            Event::Ordinary => {
                let path = self.rng.usize(0..self.case.paths);
                self.tally.ordinary += usize::from(self.is_counted());
                self.submit(path as u128);
                let gap = -self.rng.f64().max(1e-9).ln() / self.case.rate;
                self.plan(Duration::from_secs_f64(gap), Event::Ordinary);
            }
            Event::Crashing(caller) => {
                let request = self.case.paths + caller / CALLERS;
                self.submit(request as u128);
                let gap = REPEAT + self.rng.u64(0..300) + 150;
                self.plan(Duration::from_millis(gap), Event::Crashing(caller));
            }
            Event::Beat(instance) => self.beat(instance),
            Event::Step => {
                for instance in 0..self.case.instances {
                    self.request_permits(instance);
                    if self.instances[instance].waiting_count() > 0 {
                        self.step(instance);
                    }
                }
                self.plan(STEP, Event::Step);
            }
            Event::Land(flight) => self.land(flight),
            Event::Refused(flight) => self.finish(&flight, AttemptOutcome::NotSent),
            Event::End(flight) => self.end_flight(&flight),
            Event::EndTarget => {
                let target = self.rng.usize(0..self.targets.len());
                if self.targets[target].is_up {
                    self.end_target(target);
                }
                // The last five seconds show what remains refused.
                if self.now + Duration::from_secs(10) < end {
                    let gap = 1.0 / self.case.ends;
                    self.plan(Duration::from_secs_f64(gap), Event::EndTarget);
                }
            }
            Event::Return(target) => {
                self.targets[target].is_up = true;
                self.list(target);
            }
            Event::Remove(id) => {
                for direct in &mut self.instances {
                    direct.unlist(self.now, &id);
                }
            }
            Event::Receive(instance, message) => {
                let direct = &mut self.instances[instance];
                match message {
                    Message::Heartbeat(beat) => direct.receive_heartbeat(self.now, *beat),
                    Message::Suspects(sender, reports) => {
                        direct.receive_suspects(self.now, &sender, &reports);
                    }
                    Message::PermitRequest(ask) => {
                        if let Some(answer) = direct.receive_permit_request(self.now, &ask) {
                            let number = ask.name.trim_start_matches('i').parse();
                            let to = number.expect("names have numbers");
                            self.plan(WAY, Event::Receive(to, Message::PermitReply(answer)));
                        }
                    }
                    Message::PermitReply(answer) => direct.receive_permit_reply(self.now, &answer),
                }
                self.step(instance);
            }
        }
    }

    fn is_counted(&self) -> bool {
        self.now >= Time::from_micros(FIRST_CRASH * 1_000)
    }

    /// Lists a target at all instances.
    fn list(&mut self, target: usize) {
        let Target {
            id, incarnation, ..
        } = &self.targets[target];
        let entry = Entry {
            id: Arc::clone(id),
            service: "sheets".into(),
            addr: ([127, 0, 0, 1], 1).into(),
            domain: setup::region(target % 3),
            slots: 3,
            draining: false,
            seq: 1,
            cold: Duration::ZERO,
            incarnation: *incarnation,
        };
        for direct in &mut self.instances {
            direct.roster.put(self.now, entry.clone());
        }
    }

    /// A caller sends a request to an instance at random.
    fn submit(&mut self, fingerprint: u128) {
        let instance = self.rng.usize(0..self.case.instances);
        let request = Request {
            route: Arc::clone(&self.route),
            authorized: None,
            object: Some(u64::try_from(fingerprint).expect("it is small")),
            deadline: self.now + PATIENCE,
            fingerprint: Fingerprint(fingerprint),
        };
        match self.instances[instance].submit(self.now, request) {
            Ok(ticket) => self.pending.push(Pending {
                instance,
                ticket,
                fingerprint,
            }),
            Err(reason) => self.reject(fingerprint, reason),
        }
        self.step(instance);
    }

    fn reject(&mut self, fingerprint: u128, reason: Rejection) {
        let path = usize::try_from(fingerprint).expect("it is small");
        if path >= self.case.paths {
            return;
        }
        match reason {
            Rejection::Poison => self.tally.refused += 1,
            Rejection::Suspect => self.tally.suspected += 1,
            _ => return,
        }
        self.tally.refusals[path].push(self.now);
    }

    fn take(&mut self, instance: usize, ticket: Ticket) -> Option<Pending> {
        let is_it = |p: &Pending| p.instance == instance && p.ticket == ticket;
        let at = self.pending.iter().position(is_it)?;
        Some(self.pending.swap_remove(at))
    }

    /// Takes all decisions of an instance.
    fn step(&mut self, instance: usize) {
        for decision in self.instances[instance].step(self.now) {
            match decision {
                Decision::Send(assignment) => {
                    self.next += 1;
                    let flight = Flight {
                        number: self.next,
                        instance,
                        ticket: assignment.ticket,
                        assignment,
                    };
                    self.plan(WAY, Event::Land(flight));
                }
                Decision::Reject { ticket, reason, .. } => {
                    if let Some(pending) = self.take(instance, ticket) {
                        self.reject(pending.fingerprint, reason);
                    }
                }
                // No instance is cut off from targets here.
                Decision::GiveUp { .. } => {}
            }
        }
        if self.instances[instance].is_news_due() {
            self.request_permits(instance);
            let news = self.instances[instance].suspect_news(self.now);
            self.send_suspects(instance, news);
        }
    }

    fn request_permits(&mut self, instance: usize) {
        for (addr, ask) in self.instances[instance].permit_requests(self.now) {
            self.send(addr, Message::PermitRequest(ask));
        }
    }

    fn send_suspects(&mut self, instance: usize, message: Option<SuspectMessage>) {
        let name: Arc<str> = format!("i{instance:03}").into();
        let Some(message) = message else {
            return;
        };
        for addr in message.recipients {
            let reports = message.reports.clone();
            self.send(addr, Message::Suspects(Arc::clone(&name), reports));
        }
    }

    fn land(&mut self, flight: Flight) {
        if self.instances[flight.instance]
            .withheld(self.now, &flight.assignment)
            .is_some()
        {
            self.finish(&flight, AttemptOutcome::Withdrawn);
            return;
        }
        let target = &flight.assignment.target;
        let is_up = self.targets.iter().any(|t| t.id == *target && t.is_up);
        if !is_up {
            self.plan(WAY, Event::Refused(flight));
            return;
        }
        self.flights.push(flight.clone());
        self.plan(WORK, Event::End(flight));
    }

    /// The work on a request is done, unless its target has ended meanwhile.
    fn end_flight(&mut self, flight: &Flight) {
        let found = self.flights.iter().position(|f| f.number == flight.number);
        let Some(at) = found else {
            return;
        };
        let fingerprint = flight.assignment.fingerprint.0;
        let paths = self.case.paths as u128;
        if fingerprint >= paths {
            let request = usize::try_from(fingerprint - paths).expect("it is small");
            self.tally.ended[request] += 1;
            let id = &flight.assignment.target;
            let target = self.targets.iter().position(|t| t.id == *id);
            self.end_target(target.expect("the flight ends with it"));
            return;
        }
        self.flights.swap_remove(at);
        self.finish(flight, AttemptOutcome::Answered);
    }

    /// A target ends, with all requests at it.
    fn end_target(&mut self, target: usize) {
        self.tally.last_crash = self.now;
        let ended = &mut self.targets[target];
        let id = Arc::clone(&ended.id);
        ended.is_up = false;
        ended.incarnation += 1;
        ended.id = format!("t{target}-{}", ended.incarnation).into();
        self.plan(RETURN, Event::Return(target));
        self.plan(EXPIRY, Event::Remove(Arc::clone(&id)));
        let all = core::mem::take(&mut self.flights);
        let (broken, rest): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|f| f.assignment.target == id);
        self.flights = rest;
        for flight in broken {
            self.finish(&flight, AttemptOutcome::ConnectionLost);
        }
    }

    fn finish(&mut self, flight: &Flight, outcome: AttemptOutcome) {
        let direct = &mut self.instances[flight.instance];
        if direct.finish_attempt(self.now, flight.ticket, outcome) != FollowUp::Retry {
            self.take(flight.instance, flight.ticket);
        }
        self.step(flight.instance);
    }

    fn beat(&mut self, instance: usize) {
        self.beats += 1;
        let direct = &mut self.instances[instance];
        direct.store_answered(self.now, 1);
        direct.sweep(self.now);
        crate::answer_probes(direct, self.now);
        let heartbeat = direct.heartbeat(self.now, false);
        let recipients = direct.recipients(self.now);
        let mut to = recipients.local;
        if self.beats.is_multiple_of(REMOTE_EVERY) {
            to.extend(recipients.region);
            to.extend(recipients.remote);
        }
        let suspects = direct.suspect_message(self.now);
        for addr in to {
            let message = Message::Heartbeat(Box::new(heartbeat.clone()));
            self.send(addr, message);
        }
        self.send_suspects(instance, suspects);
        self.plan(BEAT, Event::Beat(instance));
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        let instance = usize::from(to.port()) - 1;
        self.plan(WAY, Event::Receive(instance, message));
    }
}
