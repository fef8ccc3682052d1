//! Targets: slots, a queue, objects that they hold, and their faults.

use std::collections::VecDeque;
use std::sync::Arc;

use fastrand::Rng;
use steer::process::direct::AttemptOutcome;

use super::{Event, Micros, Sent, World, micros};
use crate::plan::Plan;

/// A request that a target runs.
#[derive(Clone, Debug)]
struct Run {
    number: u64,
    sent: Sent,
    ends: Micros,
}

/// What a target says of itself in an answer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reply {
    /// Requests at it, the answered one included; 0 if it doesn't say.
    pub load: u32,
    /// Time for which it wants no requests.
    pub backoff: Micros,
    /// Whether it is about to stop.
    pub is_leaving: bool,
}

/// A target.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub name: Arc<str>,
    pub service: usize,
    pub domain: usize,
    pub region: usize,
    pub slots: usize,
    queue: usize,
    keeps: usize,
    /// Counts its incarnations.
    pub born: u64,
    pub up: bool,
    pub cold_until: Micros,
    /// Own speed; targets differ a little.
    pace: f64,
    pub slow: f64,
    pub shed: f64,
    /// Time for which it asks for no requests while it turns all away; 0 if it doesn't.
    pub backoff: Micros,
    /// Whether its answers announce that it is about to stop.
    pub is_leaving: bool,
    pub fail: f64,
    pub lose: f64,
    running: Vec<Run>,
    waiting: VecDeque<Sent>,
    /// Objects, the last used behind.
    held: VecDeque<u64>,
    runs: u64,
    rng: Rng,
}

/// All targets of a plan.
pub(super) fn all(plan: &Plan, region_of: &[usize], seed: u64) -> Vec<Target> {
    let mut targets = Vec::new();
    for (number, service) in plan.services.iter().enumerate() {
        for (domain, count) in service.targets.iter().enumerate() {
            for _ in 0..*count {
                let place = targets.len() as u64;
                targets.push(Target {
                    name: format!("t{place}-0").into(),
                    service: number,
                    domain,
                    region: region_of[domain],
                    slots: service.slots,
                    queue: service.queue,
                    keeps: service.keeps,
                    born: 0,
                    up: true,
                    cold_until: 0,
                    pace: 1.0,
                    slow: 1.0,
                    shed: 0.0,
                    backoff: 0,
                    is_leaving: false,
                    fail: 0.0,
                    lose: 0.0,
                    running: Vec::new(),
                    waiting: VecDeque::new(),
                    held: VecDeque::new(),
                    runs: 0,
                    rng: Rng::with_seed(seed ^ place.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
                });
            }
        }
    }
    targets
}

impl Target {
    pub fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    pub const fn is_up(&self) -> bool {
        self.up
    }

    pub fn has_slot(&self) -> bool {
        self.running.len() < self.slots
    }

    pub fn holds(&self, object: u64) -> bool {
        self.held.contains(&object)
    }

    pub const fn slowness(&self) -> f64 {
        self.slow * self.pace
    }

    /// When the first of its slots is free.
    pub fn next_free(&self, now: Micros) -> Micros {
        if self.has_slot() {
            return now;
        }
        self.running.iter().map(|r| r.ends).min().unwrap_or(now)
    }

    /// It knows nothing any more.
    pub fn forget(&mut self) {
        self.held.clear();
    }

    fn handle(&mut self, object: u64) {
        self.held.retain(|held| *held != object);
        self.held.push_back(object);
        if self.held.len() > self.keeps {
            self.held.pop_front();
        }
    }

    /// Normally distributed about 1, and never near zero.
    fn scatter(&mut self, spread: f64) -> f64 {
        // The sum of twelve even draws is near enough to a normal one.
        let sum: f64 = (0..12).map(|_| self.rng.f64()).sum();
        ((sum - 6.0) * spread + 1.0).clamp(0.2, 3.0)
    }
}

impl World<'_> {
    /// A request has reached its target.
    pub(super) fn land(&mut self, sent: Sent) {
        let place = sent.target;
        let target = &mut self.targets[place];
        if !target.up || target.born != sent.born {
            self.answer(sent, AttemptOutcome::Unreachable, 0);
            return;
        }
        if target.backoff > 0 {
            self.answer(sent, AttemptOutcome::NotRun, 0);
            return;
        }
        let shed = target.shed > 0.0 && target.rng.f64() < target.shed;
        let full = !target.has_slot() && target.waiting.len() >= target.queue;
        if shed || full {
            self.answer(sent, AttemptOutcome::NotRun, 0);
            return;
        }
        self.bear(place);
        let target = &mut self.targets[place];
        if !target.up {
            self.answer(sent, AttemptOutcome::ConnectionLost, 0);
            return;
        }
        if target.has_slot() {
            self.run(place, sent);
        } else {
            target.waiting.push_back(sent);
        }
    }

    /// A cold target crashes when it gets far more than it bears.
    fn bear(&mut self, place: usize) {
        let target = &mut self.targets[place];
        if self.now >= target.cold_until {
            return;
        }
        let service = &self.plan.services[target.service];
        // Twice what the operator's bound allows is well above it.
        let most =
            (service.cold_rate * self.plan.bounds.cold_factor + self.plan.bounds.cold_slack) * 2.0;
        #[allow(clippy::cast_precision_loss, reason = "a small count")]
        let load = target.load() as f64;
        if load > most {
            self.crash(place, micros(service.cold));
        }
    }

    fn run(&mut self, place: usize, sent: Sent) {
        let kind = &self.plan.kinds[self.requests[sent.request].kind];
        let object = self.requests[sent.request].object;
        let target = &mut self.targets[place];
        let service = &self.plan.services[target.service];
        let warm = target.holds(object);
        self.warm.0 += usize::from(warm);
        self.warm.1 += 1;
        let mut work = kind.work.as_secs_f64() * target.scatter(kind.spread) * target.slowness();
        if warm {
            work *= 1.0 - kind.gain;
        }
        if self.now < target.cold_until {
            work *= service.cold_x;
        }
        #[allow(clippy::cast_precision_loss, reason = "slots are few")]
        let used = (target.running.len() + 1) as f64 / target.slots as f64;
        if used > service.knee {
            let beyond = (used - service.knee) / (1.0 - service.knee).max(0.01);
            work *= 1.0 + (service.knee_x - 1.0) * beyond.min(1.0);
        }
        // It holds the object from its first use on.
        target.handle(object);
        let span = micros(core::time::Duration::from_secs_f64(work));
        let ends = (self.now + span).min(sent.until.max(self.now));
        let number = target.runs;
        target.runs += 1;
        target.running.push(Run { number, sent, ends });
        self.at(
            ends,
            Event::Done {
                target: place,
                run: number,
            },
        );
    }

    /// A target has done its work, or given it up at the request's deadline.
    pub(super) fn done(&mut self, place: usize, run: u64) {
        let target = &mut self.targets[place];
        let Some(at) = target.running.iter().position(|r| r.number == run) else {
            return;
        };
        let run = target.running.swap_remove(at);
        let load = u32::try_from(target.load() + 1).unwrap_or(u32::MAX);
        let lost = target.lose > 0.0 && target.rng.f64() < target.lose;
        let failed = target.fail > 0.0 && target.rng.f64() < target.fail;
        let late = self.now >= run.sent.until;
        let ending = if lost {
            AttemptOutcome::ConnectionLost
        } else if failed || late {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Answered
        };
        self.answer(run.sent, ending, load);
        self.next_run(place);
    }

    /// A slot is free: the next that waits and can still be answered has it.
    fn next_run(&mut self, place: usize) {
        while self.targets[place].has_slot() {
            let Some(sent) = self.targets[place].waiting.pop_front() else {
                break;
            };
            if self.now >= sent.until {
                self.answer(sent, AttemptOutcome::NotRun, 0);
            } else {
                self.run(place, sent);
            }
        }
        self.central_look(self.targets[place].service);
    }

    /// Whoever sent a request has closed its connection.
    pub(super) fn cancel(&mut self, place: usize, request: usize, current: u32) {
        let is_it = |s: &Sent| s.request == request && s.current == current;
        let target = &mut self.targets[place];
        target.waiting.retain(|s| !is_it(s));
        let before = target.running.len();
        target.running.retain(|r| !is_it(&r.sent));
        if target.running.len() < before {
            self.next_run(place);
        }
    }

    /// Sends an ending back the way the request came.
    fn answer(&mut self, sent: Sent, ending: AttemptOutcome, load: u32) {
        let target = &self.targets[sent.target];
        let from = sent
            .from
            .map_or(target.domain, |f| self.instances[f.0].domain);
        let mut way = self.way(target.domain, from);
        if sent.from.is_none() {
            way = self.central_way(&sent);
        }
        if self.is_cut(target.region, sent.region) {
            // Nothing arrives; the instance waits until the request's limit.
            return;
        }
        let has_answer = matches!(
            ending,
            AttemptOutcome::Answered | AttemptOutcome::Failed | AttemptOutcome::NotRun
        );
        let reply = Reply {
            load,
            backoff: if ending == AttemptOutcome::NotRun {
                target.backoff
            } else {
                0
            },
            is_leaving: has_answer && target.is_leaving,
        };
        let back = Event::Back {
            sent,
            ending,
            reply,
        };
        self.after(way, back);
    }

    /// A target ends; what it ran is lost. It is back after `span`, as another.
    pub(super) fn crash(&mut self, place: usize, span: Micros) {
        let target = &mut self.targets[place];
        if !target.up {
            return;
        }
        target.up = false;
        let runs: Vec<Sent> = target.running.drain(..).map(|r| r.sent).collect();
        let waits: Vec<Sent> = target.waiting.drain(..).collect();
        target.forget();
        for sent in runs.into_iter().chain(waits) {
            self.answer(sent, AttemptOutcome::ConnectionLost, 0);
        }
        self.after(span, Event::Revive(place));
        // Its entry lapses by itself, some heartbeats later.
        self.tell_all(3_000_000);
    }

    pub(super) fn revive(&mut self, place: usize) {
        let cold = micros(self.plan.services[self.targets[place].service].cold);
        let target = &mut self.targets[place];
        target.up = true;
        target.born += 1;
        target.is_leaving = false;
        target.name = format!("t{place}-{}", target.born).into();
        target.cold_until = self.now + cold;
        self.tell_all(0);
    }
}
