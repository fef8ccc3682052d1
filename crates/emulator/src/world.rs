//! One run of a plan, event by event.
//!
//! Invariant: the same plan, seed and brain give the same run. What callers and
//! targets do doesn't depend on who decides, as far as the same things happen.

mod callers;
mod central;
mod instance;
mod target;
mod trouble;

use core::time::Duration;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use fastrand::Rng;
use steer::process::direct::members::Heartbeat;
use steer::process::direct::notice::TargetNotice;
use steer::process::direct::{AttemptOutcome, Ticket};

use crate::brain::Brain;
use crate::plan::{Kind, Plan};
use callers::Crowd;
use central::Central;
use instance::Instance;
use target::{Reply, Target};

/// Microseconds of virtual time.
pub type Micros = u64;

/// Time for which instances run before callers come.
const LEAD: Micros = 8_000_000;

/// Time after the last caller for which answers are awaited.
const TAIL: Micros = 8_000_000;

/// How a request ended, for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered.
    Answered,
    /// Rejected for good.
    Rejected,
    /// Failed, or its time was over.
    Failed,
    /// Its caller left; nothing is owed.
    Left,
}

/// What a caller wanted, over all its tries.
#[derive(Clone, Debug)]
pub struct Request {
    /// Place of its kind.
    pub kind: usize,
    /// Place of the domain its caller comes from.
    pub domain: usize,
    /// When it was first sent.
    pub begun: Micros,
    /// When its caller stops waiting.
    pub until: Micros,
    /// How it ended, and when.
    pub end: Option<(End, Micros)>,
    /// Whether it ran in another region than it came to, last.
    pub far: bool,
    /// Rejections on its way.
    pub rejected: u32,
    object: u64,
    /// Place of the domain that its caller talks to.
    at: usize,
    tries: u32,
    /// Comes again at once, whatever it is told.
    hasty: bool,
    /// The request ahead of it on its connection.
    behind: Option<usize>,
    /// Current try; what belongs to an earlier one is void.
    current: u32,
}

/// What happens.
enum Event {
    Call(usize),
    Come {
        request: usize,
        current: u32,
    },
    Land(Sent),
    Done {
        target: usize,
        run: u64,
    },
    Back {
        sent: Sent,
        ending: AttemptOutcome,
        reply: Reply,
    },
    Tick(usize),
    Beat(usize),
    Hear {
        instance: usize,
        life: u64,
        beat: Box<Heartbeat>,
        notices: Vec<TargetNotice>,
    },
    Learn {
        instance: usize,
        life: u64,
    },
    Limit {
        instance: usize,
        life: u64,
        ticket: Ticket,
    },
    Look(usize),
    Expire(usize),
    Leave(usize),
    Begin(usize),
    Finish(usize),
    Restart(usize),
    Revive(usize),
}

/// A request on its way to a target, or at it.
#[derive(Clone, Debug)]
pub struct Sent {
    request: usize,
    current: u32,
    target: usize,
    /// The target's incarnation that was meant.
    born: u64,
    /// The instance, its incarnation and its name for the request; none if the
    /// ceiling or a baseline decides.
    from: Option<(usize, u64, Ticket)>,
    /// Place of the region that it was sent from.
    region: usize,
    /// When the target stops working on it.
    until: Micros,
}

/// A sample of the load.
#[derive(Clone, Debug)]
pub struct Sample {
    /// When.
    pub at: Micros,
    /// For each service and region: requests at targets, and slots.
    pub usage: Vec<(usize, usize)>,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// All requests.
    pub requests: Vec<Request>,
    /// Load, twice a second.
    pub samples: Vec<Sample>,
    /// Runs at targets that began with the object held, and all.
    pub warm: (usize, usize),
    /// Largest change of a region's share elsewhere between two windows of 2 s
    /// with 20 requests or more.
    pub shift: f64,
}

/// A run.
pub struct World<'a> {
    plan: &'a Plan,
    brain: Brain,
    rng: Rng,
    now: Micros,
    /// By time, then in the order of their setting.
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    set: u64,
    events: Vec<Option<Event>>,
    /// Places in `events` that are free again.
    free: Vec<usize>,
    regions: Vec<Arc<str>>,
    /// Region of each domain.
    region_of: Vec<usize>,
    targets: Vec<Target>,
    instances: Vec<Instance>,
    crowds: Vec<Crowd>,
    central: Central,
    requests: Vec<Request>,
    /// What is wrong now, by place in the plan.
    active: Vec<bool>,
    samples: Vec<Sample>,
    warm: (usize, usize),
    /// For each region and window of 2 s: requests sent, and those elsewhere.
    windows: Vec<Vec<(u32, u32)>>,
}

/// Window of the operator's bound on shifts.
const WINDOW: Micros = 2_000_000;

const SAMPLE: Micros = 500_000;

fn micros(span: Duration) -> Micros {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

impl<'a> World<'a> {
    /// Plays a plan once.
    #[must_use]
    pub fn play(plan: &'a Plan, brain: Brain, seed: u64) -> Outcome {
        let mut world = Self::new(plan, brain, seed);
        world.set_up();
        let end = LEAD + micros(plan.span) + TAIL;
        let mut sampled = LEAD;
        while let Some(Reverse((at, _, slot))) = world.queue.pop() {
            if at > end {
                break;
            }
            while sampled <= at && sampled < LEAD + micros(plan.span) {
                world.sample(sampled);
                sampled += SAMPLE;
            }
            world.now = at;
            if let Some(event) = world.events[slot].take() {
                world.free.push(slot);
                world.happen(event);
            }
        }
        let shift = world.largest_shift();
        Outcome {
            requests: world.requests,
            samples: world.samples,
            warm: world.warm,
            shift,
        }
    }

    fn new(plan: &'a Plan, brain: Brain, seed: u64) -> Self {
        let regions = plan.regions();
        let region_of = plan.domains.iter().map(|d| {
            let found = regions.binary_search(&d.region);
            found.unwrap_or_default()
        });
        let region_of: Vec<usize> = region_of.collect();
        let windows = vec![Vec::new(); regions.len()];
        let targets = target::all(plan, &region_of, seed);
        Self {
            plan,
            brain,
            rng: Rng::with_seed(seed),
            now: 0,
            queue: BinaryHeap::new(),
            set: 0,
            events: Vec::new(),
            free: Vec::new(),
            central: Central::new(regions.len(), plan.services.len(), &targets),
            targets,
            instances: instance::all(plan, &region_of),
            crowds: callers::all(plan, seed),
            regions,
            region_of,
            requests: Vec::new(),
            active: vec![false; plan.faults.len()],
            samples: Vec::new(),
            warm: (0, 0),
            windows,
        }
    }

    fn set_up(&mut self) {
        for instance in 0..self.instances.len() {
            // They start within a third of a second of each other.
            let at = self.rng.u64(0..300_000);
            self.at(at, Event::Restart(instance));
        }
        for crowd in 0..self.crowds.len() {
            self.at(LEAD, Event::Call(crowd));
        }
        for (number, trouble) in self.plan.faults.iter().enumerate() {
            let begin = LEAD + micros(trouble.at);
            self.at(begin, Event::Begin(number));
            self.at(begin + micros(trouble.span), Event::Finish(number));
        }
    }

    fn at(&mut self, at: Micros, event: Event) {
        let slot = self.free.pop().unwrap_or(self.events.len());
        if slot == self.events.len() {
            self.events.push(None);
        }
        self.events[slot] = Some(event);
        self.set += 1;
        self.queue.push(Reverse((at, self.set, slot)));
    }

    fn after(&mut self, span: Micros, event: Event) {
        self.at(self.now + span, event);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Call(crowd) => self.call(crowd),
            Event::Come { request, current } => self.come(request, current),
            Event::Land(sent) => self.land(sent),
            Event::Done { target, run } => self.done(target, run),
            Event::Back {
                sent,
                ending,
                reply,
            } => self.back(&sent, ending, reply),
            Event::Tick(instance) => self.tick(instance),
            Event::Beat(instance) => self.beat(instance),
            Event::Hear {
                instance,
                life,
                beat,
                notices,
            } => self.hear(instance, life, *beat, &notices),
            Event::Learn { instance, life } => self.learn(instance, life),
            Event::Limit {
                instance,
                life,
                ticket,
            } => self.limit(instance, life, ticket),
            Event::Look(request) => self.look(request),
            Event::Expire(service) => self.central_expire(service),
            Event::Leave(request) => self.leave(request),
            Event::Begin(number) => self.begin(number),
            Event::Finish(number) => self.finish(number),
            Event::Restart(instance) => self.restart(instance),
            Event::Revive(target) => self.revive(target),
        }
    }

    fn kind(&self, request: usize) -> &'a Kind {
        &self.plan.kinds[self.requests[request].kind]
    }

    /// One-way time between two domains.
    fn way(&self, from: usize, to: usize) -> Micros {
        let delays = &self.plan.delays;
        micros(if from == to {
            delays.domain
        } else if self.region_of[from] == self.region_of[to] {
            delays.region
        } else {
            delays.far
        })
    }

    fn sample(&mut self, at: Micros) {
        let mut usage = vec![(0, 0); self.plan.services.len() * self.regions.len()];
        for target in &self.targets {
            let place = &mut usage[target.service * self.regions.len() + target.region];
            place.0 += target.load();
            if target.is_up() {
                place.1 += target.slots;
            }
        }
        self.samples.push(Sample {
            at: at - LEAD,
            usage,
        });
    }

    /// Notes that a region has sent a request, for the bound on shifts.
    fn note_sent(&mut self, region: usize, far: bool) {
        let window = usize::try_from(self.now / WINDOW).unwrap_or(usize::MAX);
        let windows = &mut self.windows[region];
        if windows.len() <= window {
            windows.resize(window + 1, (0, 0));
        }
        windows[window].0 += 1;
        windows[window].1 += u32::from(far);
    }

    fn largest_shift(&self) -> f64 {
        let share = |w: &(u32, u32)| f64::from(w.1) / f64::from(w.0);
        let pairs = self.windows.iter().flat_map(|w| w.windows(2));
        let full = pairs.filter(|p| p.iter().all(|w| w.0 >= 20));
        full.map(|p| (share(&p[0]) - share(&p[1])).abs())
            .fold(0.0, f64::max)
    }
}
