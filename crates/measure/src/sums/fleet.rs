//! A fleet in virtual time: instances that decide for themselves, targets, the
//! platform's store and heartbeats, all of which fail by a plan.
//!
//! Invariant: instances learn nothing but by the store and by heartbeats, each
//! by its own clock, which starts at zero with its process.

use core::ops::Range;
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

use super::node::Node;
use super::plan::Plan;
use super::setup::{self, BOUNDS, COLD, COLD_RATE, TARGETS, Target};
use super::tally::{Arrival, Pause, Sent, Tally};

const MS: Duration = Duration::from_millis(1);

/// Step of the run.
const STEP: Duration = Duration::from_millis(5);
/// Requests a second of all callers, for as many targets.
const RATE: f64 = 80.0;
/// Instances that so many targets have. Larger fleets have more of both.
const SHARE: usize = 7;
/// Time that a target works on a request, least and most.
const WORK: (u64, u64) = (100, 500);
/// Time on the way to a target in the own region, and in another one.
const WAY: (u64, u64) = (1, 36);
/// Between two heartbeats, as instances send them to their region.
const BEAT: Duration = Duration::from_millis(250);
/// Part of the heartbeats that are lost.
const LOST: f64 = 0.05;
/// Between two reads of the store, as a watch answers when something changes.
const READ: Duration = Duration::from_millis(300);
/// Time that a row outlives its instance.
const LEASE: Duration = Duration::from_secs(3);

/// When targets name limits, ask for time without requests or announce that they are
/// about to stop.
const LIMITED: Range<Time> = Time::from_micros(8_000_000)..Time::from_micros(20_000_000);

enum Event {
    Land {
        node: usize,
        life: u64,
        go: Assignment,
        asked: Time,
        sent: Time,
    },
    End {
        node: usize,
        life: u64,
        ticket: Ticket,
        ending: AttemptOutcome,
        target: usize,
        word: Feedback,
    },
    Beat {
        node: usize,
        beat: Heartbeat,
        notices: Vec<TargetNotice>,
    },
}

/// A fleet.
pub struct Fleet {
    plan: Plan,
    rng: Rng,
    now: Time,
    nodes: Vec<Node>,
    targets: Vec<Target>,
    store: Time,
    events: BinaryHeap<Reverse<(Time, usize)>>,
    bodies: Vec<Option<Event>>,
    routes: Arc<Routes>,
    owed: f64,
    /// How many times as many targets and callers there are.
    scale: usize,
    tally: Tally,
}

impl Fleet {
    /// `size` instances, nothing started yet.
    #[must_use]
    pub fn new(size: usize, plan: Plan, seed: u64) -> Self {
        let nodes = (0..size).map(|i| Node::new(i, Time::ZERO)).collect();
        Self {
            plan,
            rng: Rng::with_seed(seed),
            now: Time::ZERO,
            nodes,
            targets: setup::targets(size.div_ceil(SHARE)),
            store: Time::ZERO,
            events: BinaryHeap::new(),
            bodies: Vec::new(),
            routes: Arc::new(setup::routes()),
            owed: 0.0,
            scale: size.div_ceil(SHARE),
            tally: Tally {
                bounds: BOUNDS,
                cold_rate: COLD_RATE,
                steady: plan.is_steady(),
                arrivals: Vec::new(),
                answered: 0,
                pauses: Vec::new(),
                notices: Vec::new(),
                requests: Vec::new(),
            },
        }
    }

    /// Runs for so many seconds.
    #[must_use]
    pub fn run(mut self, seconds: u64) -> Tally {
        let end = Time::ZERO + Duration::from_secs(seconds);
        while self.now < end {
            self.fail();
            self.restart();
            self.deliver();
            self.store();
            self.beat();
            if self.now > Time::ZERO + Duration::from_secs(2) {
                self.callers();
            }
            self.decide();
            self.now = self.now + STEP;
        }
        self.tally
    }

    /// True once in a while, by the mean time between.
    fn now_and_then(&mut self, mean: Duration) -> bool {
        self.rng.f64() < STEP.as_secs_f64() / mean.as_secs_f64()
    }

    fn some(&mut self, from: u64, upto: u64) -> Duration {
        MS * u32::try_from(self.rng.u64(from..upto)).unwrap_or(u32::MAX)
    }

    fn is_at(&self, seconds: u64) -> bool {
        self.now == Time::ZERO + Duration::from_secs(seconds)
    }

    fn fail(&mut self) {
        let plan = self.plan;
        if plan.cold && self.now_and_then(Duration::from_secs(4)) {
            let region = self.rng.usize(0..TARGETS.len());
            for target in self.targets.iter_mut().filter(|t| t.region == region) {
                target.entry.seq += 1;
                target.cold = self.now + COLD;
            }
        }
        if plan.replaced && self.now_and_then(Duration::from_secs(2)) {
            let node = self.rng.usize(0..self.nodes.len());
            self.kill(node);
        }
        if plan.herd && (self.is_at(10) || self.is_at(22)) {
            for node in 0..self.nodes.len() {
                self.kill(node);
            }
        }
        if plan.cut && self.now_and_then(Duration::from_secs(4)) {
            let node = self.rng.usize(0..self.nodes.len());
            self.nodes[node].cut = self.now + self.some(3_000, 12_000);
        }
        if plan.store && self.now_and_then(Duration::from_secs(10)) {
            self.store = self.now + self.some(2_000, 9_000);
        }
        if plan.added && self.is_at(12) {
            let size = self.nodes.len();
            let more = (size..size + size.div_ceil(2)).map(|i| Node::new(i, self.now));
            self.nodes.extend(more);
        }
    }

    fn kill(&mut self, node: usize) {
        let back = self.now + self.some(300, 2_000);
        let node = &mut self.nodes[node];
        if node.direct.take().is_some() {
            node.asks.clear();
            node.back = Some(back);
        }
    }

    fn restart(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].back.is_some_and(|at| self.now >= at) {
                self.start(node);
            }
        }
    }

    fn start(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.back = None;
        node.life += 1;
        node.told.clear();
        node.boot = self.now;
        node.read = Time::ZERO;
        let home = Identity {
            name: Arc::clone(&node.name),
            region: setup::region(node.region),
            incarnation: node.life,
            registration: setup::row(node.region),
        };
        let domains = (0..TARGETS.len())
            .map(|r| (setup::region(r), setup::region(r)))
            .collect();
        let mut direct = Direct::new(home, BOUNDS, domains);
        direct.install(Arc::clone(&self.routes));
        node.direct = Some(direct);
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, body))) = self.events.peek().copied() {
            if at > self.now {
                return;
            }
            self.events.pop();
            match self.bodies[body].take() {
                Some(Event::Land {
                    node,
                    life,
                    go,
                    asked,
                    sent,
                }) => self.land(node, life, &go, asked, sent),
                Some(Event::End {
                    node,
                    life,
                    ticket,
                    ending,
                    target,
                    word,
                }) => {
                    self.hear(node, life, target, word);
                    self.end(node, life, ticket, ending);
                }
                Some(Event::Beat {
                    node,
                    beat,
                    notices,
                }) => {
                    let node = &mut self.nodes[node];
                    let now = node.clock(self.now);
                    if let Some(direct) = &mut node.direct {
                        direct.receive_heartbeat(now, beat);
                        direct.receive_target_notices(now, &notices);
                    }
                }
                None => {}
            }
        }
    }

    fn later(&mut self, after: Duration, event: Event) {
        self.events
            .push(Reverse((self.now + after, self.bodies.len())));
        self.bodies.push(Some(event));
    }

    fn land(&mut self, node: usize, life: u64, go: &Assignment, asked: Time, sent: Time) {
        let found = self.targets.iter().position(|t| t.entry.id == go.target);
        let Some(target) = found else { return };
        let limit = self.limit(target);
        let backoff = self.backoff(target);
        self.tally.arrivals.push(Arrival {
            from: (node, life),
            asked,
            sent,
            at: self.now,
            target,
            repeat: go.attempt > 1,
            cold: self.now < self.targets[target].cold,
            limit,
            told: limit.is_some() && self.nodes[node].is_told(life, target, self.now),
        });
        let work = self.some(WORK.0, WORK.1);
        let draw = self.rng.f64();
        let ending = match draw {
            _ if backoff.is_some() => AttemptOutcome::NotRun,
            _ if !self.plan.failing => AttemptOutcome::Answered,
            _ if draw < 0.1 => AttemptOutcome::NotRun,
            _ if draw < 0.2 => AttemptOutcome::Failed,
            _ if draw < 0.25 => AttemptOutcome::ConnectionLost,
            _ => AttemptOutcome::Answered,
        };
        if let Some(backoff) = backoff {
            self.tally.pauses.push(Pause {
                by: (node, life),
                target,
                at: self.now,
                until: self.now + backoff,
            });
        }
        let ticket = go.ticket;
        let end = Event::End {
            node,
            life,
            ticket,
            ending,
            target,
            word: Feedback {
                limit,
                backoff,
                is_leaving: self.is_leaving(target),
                ..Feedback::default()
            },
        };
        self.later(
            if ending == AttemptOutcome::NotRun {
                MS
            } else {
                work
            },
            end,
        );
    }

    fn end(&mut self, at: usize, life: u64, ticket: Ticket, ending: AttemptOutcome) {
        let node = &mut self.nodes[at];
        let now = node.clock(self.now);
        if node.life != life {
            return;
        }
        let Some(direct) = &mut node.direct else {
            return;
        };
        if ending == AttemptOutcome::Answered {
            self.tally.answered += 1;
        }
        if direct.finish_attempt(now, ticket, ending) != FollowUp::Retry {
            node.asks.retain(|a| a.0 != ticket);
        }
    }

    /// The limit that a target names now.
    fn limit(&self, target: usize) -> Option<f64> {
        let named = target.is_multiple_of(self.plan.each) && LIMITED.contains(&self.now);
        self.plan.limit.filter(|_| named)
    }

    /// The time without requests that a target asks for now.
    fn backoff(&self, target: usize) -> Option<Duration> {
        let asks = target.is_multiple_of(self.plan.each) && LIMITED.contains(&self.now);
        let millis = self.plan.backoff_ms.filter(|_| asks)?;
        Some(MS * millis)
    }

    /// Whether a target announces now that it is about to stop.
    fn is_leaving(&self, target: usize) -> bool {
        self.plan.leaving && target.is_multiple_of(self.plan.each) && self.now >= LIMITED.start
    }

    /// A target's answer has come and is passed on.
    fn hear(&mut self, at: usize, life: u64, target: usize, word: Feedback) {
        let node = &mut self.nodes[at];
        let now = node.clock(self.now);
        let (true, Some(direct)) = (node.life == life, &mut node.direct) else {
            return;
        };
        let entry = &self.targets[target].entry;
        direct.apply_feedback(now, &entry.id, entry.incarnation, word);
        if word.limit.is_some() {
            node.told.push((target, self.now));
        }
        if word.is_leaving {
            self.tally.announce((at, life), target, self.now);
        }
    }

    fn has_store(&self, node: &Node) -> bool {
        self.now >= self.store && self.now >= node.cut
    }

    /// Rows are renewed and read.
    fn store(&mut self) {
        for at in 0..self.nodes.len() {
            let node = &self.nodes[at];
            if node.direct.is_none() || !self.has_store(node) {
                continue;
            }
            if node.read != Time::ZERO && self.now.since(node.read) < READ {
                continue;
            }
            let revision = self.now.as_micros();
            let listed = self.nodes.iter().filter(|n| n.row > self.now);
            let listed: Vec<(Arc<str>, usize)> =
                listed.map(|n| (Arc::clone(&n.name), n.region)).collect();
            let entries: Vec<Entry> = self.targets.iter().map(|t| t.entry_at(self.now)).collect();
            let now = self.now;
            let node = &mut self.nodes[at];
            // A row is written when the first reading is done.
            node.row = now + LEASE;
            node.read = now;
            let local = node.clock(now);
            let Some(direct) = &mut node.direct else {
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

    fn beat(&mut self) {
        for at in 0..self.nodes.len() {
            let node = &mut self.nodes[at];
            let local = node.clock(self.now);
            let Some(direct) = &mut node.direct else {
                continue;
            };
            if self.now.since(node.beaten) < BEAT {
                continue;
            }
            node.beaten = self.now;
            let beat = direct.heartbeat(local, true);
            let notices = direct.target_notices(local);
            direct.sweep(local);
            let names: Vec<Arc<str>> = direct.others(local).map(|o| Arc::clone(o.0)).collect();
            if self.now < node.cut {
                continue;
            }
            for to in 0..self.nodes.len() {
                let known = names.contains(&self.nodes[to].name);
                if !known || self.now < self.nodes[to].cut || self.rng.f64() < LOST {
                    continue;
                }
                let way = self.some(1, 40);
                self.later(
                    way,
                    Event::Beat {
                        node: to,
                        beat: beat.clone(),
                        notices: notices.clone(),
                    },
                );
            }
        }
    }

    fn callers(&mut self) {
        let second = self.now.as_micros() / 1_000_000;
        let wave = if self.plan.bursts && second % 10 >= 6 {
            2.5
        } else {
            1.0
        };
        let scale = f64::from(u32::try_from(self.scale).unwrap_or(1));
        self.owed += RATE * scale * wave * STEP.as_secs_f64();
        while self.owed >= 1.0 {
            self.owed -= 1.0 + (self.rng.f64() - 0.5) * 0.5;
            let up: Vec<usize> = (0..self.nodes.len())
                .filter(|n| self.nodes[*n].direct.is_some() && self.nodes[*n].read > Time::ZERO)
                .collect();
            if let Some(&node) = up.get(self.rng.usize(0..up.len().max(1))) {
                self.ask(node);
            }
        }
    }

    fn ask(&mut self, at: usize) {
        let object = self.rng.u64(0..60 * self.scale as u64);
        let node = &mut self.nodes[at];
        let now = node.clock(self.now);
        let Some(direct) = &mut node.direct else {
            return;
        };
        let ask = Request {
            route: Arc::clone(&self.routes.routes()[0]),
            authorized: None,
            object: Some(object),
            deadline: now + Duration::from_secs(4),
            fingerprint: Fingerprint(u128::from(now.as_micros()) << 64 | u128::from(object)),
        };
        if let Ok(ticket) = direct.submit(now, ask) {
            node.asks.push((ticket, self.tally.requests.len()));
        }
        self.tally.requests.push(Sent {
            at: self.now,
            region: node.region,
            elsewhere: None,
        });
    }

    fn decide(&mut self) {
        for at in 0..self.nodes.len() {
            let node = &mut self.nodes[at];
            let now = node.clock(self.now);
            let (life, home) = (node.life, node.region);
            let Some(direct) = &mut node.direct else {
                continue;
            };
            for order in direct.step(now) {
                match order {
                    Decision::Reject { ticket, .. } => {
                        self.nodes[at].asks.retain(|a| a.0 != ticket);
                    }
                    Decision::Send(go) => self.send(at, life, home, go),
                }
            }
        }
    }

    fn send(&mut self, node: usize, life: u64, home: usize, go: Assignment) {
        let found = self.targets.iter().find(|t| t.entry.id == go.target);
        let elsewhere = found.is_some_and(|t| t.region != home);
        let asks = &self.nodes[node].asks;
        let mut asked = self.now;
        if let Some((_, request)) = asks.iter().find(|a| a.0 == go.ticket) {
            let request = &mut self.tally.requests[*request];
            request.elsewhere.get_or_insert(elsewhere);
            asked = request.at;
        }
        let way = if elsewhere { WAY.1 } else { WAY.0 };
        let sent = self.now;
        self.later(
            MS * u32::try_from(way).unwrap_or(1),
            Event::Land {
                node,
                life,
                go,
                asked,
                sent,
            },
        );
    }
}
