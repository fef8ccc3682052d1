//! Entry instances of several regions in virtual time, each a whole engine of
//! its own; links that take time, and loans between the instances.

mod carry;

use core::cmp::Reverse;
use core::time::Duration;
use std::collections::BinaryHeap;
use std::sync::Arc;

use hdrhistogram::Histogram;
use steer::clock::Time;
use steer::process::dispatch::{AttemptOutcome, Identity, TICK};
use steer::process::gate;
use steer::process::share::{Guards, Route};
use steer::process::traffic::{Event, Traffic};
use steer::request::answer::Answer;
use steer::request::arrival::{Arrival, AttemptId, Fingerprint, Origin, RequestId};
use steer::request::record::{Question, QuestionId, Reply};
use steer::version::view::{Incarnation, Region, View};

use super::tally::Tallies;

const LOCAL: Duration = Duration::from_micros(250);
const NEAR: Duration = Duration::from_micros(500);
const FAR: Duration = Duration::from_millis(35);
const CALLER: Duration = Duration::from_millis(8);
/// Time until the list of instances shows a loss.
const LIST_LAG: Duration = Duration::from_secs(3);
/// Time between two words of control.
const HOLD: Duration = Duration::from_secs(1);
/// Spread of service times: sigma of the log-normal distribution.
const SIGMA: f64 = 0.6;
/// Bytes of a request, and of a message's frame.
const REQUEST: u64 = 500;
const FRAME: u64 = 512;

/// What a service's requests are like.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Mean service time in seconds.
    pub mean: f64,
    /// Bytes of an answer.
    pub answer: usize,
}

/// One run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Everything that runs, with nothing lost.
    pub view: Arc<View>,
    /// By service.
    pub kinds: Vec<Kind>,
    /// Offered load as a share of the capacity of all targets.
    pub load: f64,
    /// Seed of everything random.
    pub seed: u64,
    /// Failure domains that are lost, and when.
    pub lost: (Vec<usize>, Duration),
    /// When measuring begins, and ends.
    pub span: (Duration, Duration),
    /// Whether instances lend.
    pub loans: bool,
    /// Safeguards of caps.
    pub guards: Guards,
}

/// Figures of one service.
#[derive(Debug)]
pub struct Figures {
    /// Microseconds from the caller's asking to the whole answer.
    pub latency: Histogram<u64>,
    /// Requests asked.
    pub asked: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Of them, because of a cap.
    pub capped: u64,
    /// Lost, late or unknown.
    pub failed: u64,
}

struct Node {
    name: Arc<str>,
    domain: usize,
    region: Region,
    dead: bool,
    held: Time,
    traffic: Traffic,
}

/// A request at an instance.
#[derive(Clone, Debug)]
struct Job {
    service: usize,
    /// The instance that has it.
    node: usize,
    home: Region,
    asked: Time,
    /// Way back to whoever asked.
    way: Duration,
    /// The instance and attempt that passed it on.
    hop: Option<(usize, RequestId, AttemptId)>,
    done: bool,
    /// Whether a target got it.
    sent: bool,
}

enum Happening {
    Ask(usize, Region),
    Reach(usize, RequestId, Option<Duration>),
    Ended(usize, RequestId, AttemptId, AttemptOutcome),
    Finish(usize, usize, RequestId, AttemptId, AttemptOutcome),
    Gone(usize, RequestId),
    Wanted(usize, usize, Route, u64, Time),
    Borrowed(usize, Route, u64, Time),
    Asked(usize, usize, QuestionId, Question),
    Told(usize, QuestionId, Option<Reply>),
    Tick(usize),
    Lose,
    View(Arc<View>),
}

/// The model.
pub struct World {
    setup: Setup,
    now: Time,
    rng: fastrand::Rng,
    heap: BinaryHeap<Reverse<(Time, u64)>>,
    slots: Vec<Option<Happening>>,
    nodes: Vec<Node>,
    /// Requests that each target runs.
    running: Vec<u32>,
    jobs: Vec<Job>,
    answers: Vec<Arc<Answer>>,
    /// Who asked for a loan.
    asks: Vec<(usize, Route, Time)>,
    /// Who asked a witness, and what it calls the question.
    questions: Vec<(usize, QuestionId)>,
    /// By service.
    pub figures: Vec<Figures>,
    /// What went over each route since measuring began.
    pub tallies: Tallies,
    /// Most requests waiting at an instance at once.
    pub waiting: usize,
}

/// Runs a setup to its end.
#[must_use]
pub fn run(setup: Setup) -> World {
    let mut world = World::new(setup);
    let end = Time::ZERO + world.setup.span.1 + Duration::from_secs(11);
    while let Some(Reverse((at, number))) = world.heap.pop() {
        if at > end {
            break;
        }
        world.now = at;
        let slot = usize::try_from(number).unwrap_or(usize::MAX);
        if let Some(happening) = world.slots[slot].take() {
            world.happen(happening);
        }
    }
    for job in world.jobs.iter().filter(|j| !j.done && j.hop.is_none()) {
        if world.setup.measures(job.asked) {
            world.figures[job.service].asked += 1;
            world.figures[job.service].failed += 1;
        }
    }
    world
}

impl Setup {
    fn measures(&self, at: Time) -> bool {
        at >= Time::ZERO + self.span.0 && at < Time::ZERO + self.span.1
    }
}

impl World {
    fn new(setup: Setup) -> Self {
        let mut rng = fastrand::Rng::with_seed(setup.seed);
        let view = Arc::clone(&setup.view);
        let figures = || Figures {
            latency: Histogram::new(3).expect("three digits are allowed"),
            asked: 0,
            refused: 0,
            capped: 0,
            failed: 0,
        };
        let answer = |kind: &Kind| {
            Arc::new(Answer {
                status: 200,
                headers: Vec::new(),
                body: vec![0; kind.answer].into(),
            })
        };
        let mut world = Self {
            now: Time::ZERO,
            heap: BinaryHeap::new(),
            slots: Vec::new(),
            nodes: nodes(&view, setup.guards, &mut rng),
            running: vec![0; view.targets.len()],
            jobs: Vec::new(),
            answers: setup.kinds.iter().map(answer).collect(),
            asks: Vec::new(),
            questions: Vec::new(),
            figures: setup.kinds.iter().map(|_| figures()).collect(),
            tallies: Tallies::new(&view),
            waiting: 0,
            rng,
            setup,
        };
        world.after(Duration::ZERO, Happening::View(Arc::clone(&view)));
        world.after(world.setup.lost.1, Happening::Lose);
        for node in 0..world.nodes.len() {
            world.after(TICK, Happening::Tick(node));
        }
        for service in 0..world.setup.kinds.len() {
            for region in view.regions.keys() {
                world.after(Duration::ZERO, Happening::Ask(service, region));
            }
        }
        world
    }

    fn after(&mut self, span: Duration, happening: Happening) {
        let number = self.slots.len() as u64;
        self.slots.push(Some(happening));
        self.heap.push(Reverse((self.now + span, number)));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Ask(service, region) => self.ask(service, region),
            Happening::Reach(node, id, left) => self.reach(node, id, left),
            Happening::Finish(target, node, id, attempt, ending) => {
                self.running[target] -= 1;
                self.after(LOCAL, Happening::Ended(node, id, attempt, ending));
            }
            Happening::Ended(node, id, attempt, ending) => {
                let event = Event::Ended {
                    id,
                    attempt,
                    outcome: ending,
                };
                self.tell(node, event);
            }
            Happening::Gone(node, id) => self.tell(node, Event::Disconnected(id)),
            Happening::Wanted(node, from, route, amount, asked) => {
                let ask = QuestionId(self.asks.len() as u64);
                self.asks.push((from, route.clone(), asked));
                self.tell(node, Event::LoanRequested { ask, route, amount });
            }
            Happening::Borrowed(node, route, amount, asked) => {
                let event = Event::LoanGranted {
                    route,
                    amount,
                    asked_at: asked,
                };
                self.tell(node, event);
            }
            Happening::Asked(node, from, ask, _) if self.nodes[node].dead => {
                let way = self.way(node, from);
                self.after(way, Happening::Told(from, ask, None));
            }
            Happening::Asked(node, from, ask, question) => {
                let own = QuestionId(self.questions.len() as u64);
                self.questions.push((from, ask));
                self.tell(node, Event::PeerAsked { ask: own, question });
            }
            Happening::Told(node, ask, word) => {
                self.tell(node, Event::AskEnded { ask, reply: word });
            }
            Happening::Tick(node) => self.tick(node),
            Happening::Lose => self.lose(),
            Happening::View(view) => {
                for node in 0..self.nodes.len() {
                    self.tell(node, Event::View(Arc::clone(&view)));
                }
            }
        }
    }

    fn tick(&mut self, node: usize) {
        if self.now >= self.nodes[node].held {
            self.nodes[node].held = self.now + HOLD;
            self.tell(node, Event::SlotHeld(true));
        }
        self.tell(node, Event::Tick);
        let waiting = self.nodes[node].traffic.dispatch_state().waiting();
        self.waiting = self.waiting.max(waiting);
        self.after(TICK, Happening::Tick(node));
    }

    /// The domains' targets and instances are gone; the list follows.
    fn lose(&mut self) {
        let lost = self.setup.lost.0.clone();
        let mut view = View::clone(&self.setup.view);
        for node in &mut self.nodes {
            node.dead |= lost.contains(&node.domain);
        }
        let index = |d| entity::EntityRef::index(d);
        let gone = |domain| lost.contains(&index(domain));
        let full = Arc::clone(&self.setup.view);
        let targets = full.targets.iter();
        let targets = targets.filter(|(key, _)| !gone(full.target_domain(*key)));
        view.targets = targets.map(|(_, data)| data.clone()).collect();
        let members = full.members.values().filter(|m| !gone(m.domain));
        view.members = members.cloned().collect();
        self.after(LIST_LAG, Happening::View(Arc::new(view)));
        // What others had running there breaks.
        let there = |j: &&Job| !j.done && self.nodes[j.node].dead;
        let hops: Vec<_> = self
            .jobs
            .iter()
            .filter(there)
            .filter_map(|j| j.hop)
            .collect();
        for (node, id, attempt) in hops {
            self.after(
                FAR,
                Happening::Ended(node, id, attempt, AttemptOutcome::Broken),
            );
        }
    }

    fn ask(&mut self, service: usize, region: Region) {
        let kind = self.setup.kinds[service];
        let count = self.setup.view.targets.values();
        let count = count.filter(|t| entity::EntityRef::index(t.service) == service);
        let slots: u32 = count.map(|t| t.slots).sum();
        let regions = u32::try_from(self.setup.view.regions.len()).unwrap_or(1);
        let rate = f64::from(slots) / kind.mean * self.setup.load / f64::from(regions);
        let gap = -(1.0 - self.rng.f64()).ln() / rate;
        if self.now < Time::ZERO + self.setup.span.1 {
            let gap = Duration::from_secs_f64(gap);
            self.after(gap, Happening::Ask(service, region));
        }
        let (node, way) = self.look_up(region);
        let id = RequestId(self.jobs.len() as u64);
        self.jobs.push(Job {
            service,
            node,
            home: region,
            asked: self.now,
            way: if self.nodes[node].region == region {
                CALLER
            } else {
                CALLER + FAR
            },
            hop: None,
            done: false,
            sent: false,
        });
        self.after(way, Happening::Reach(node, id, None));
    }

    /// The instance that a caller uses, and the way there. A dead one costs a
    /// round trip, then the caller takes its next choice.
    fn look_up(&mut self, region: Region) -> (usize, Duration) {
        let all = 0..self.nodes.len();
        let home: Vec<usize> = all.filter(|&n| self.nodes[n].region == region).collect();
        let first = home[self.rng.usize(..home.len())];
        if !self.nodes[first].dead {
            return (first, CALLER);
        }
        let live = |n: &usize| !self.nodes[*n].dead;
        let near: Vec<usize> = home.iter().copied().filter(live).collect();
        if !near.is_empty() {
            return (near[self.rng.usize(..near.len())], CALLER * 3);
        }
        let far: Vec<usize> = (0..self.nodes.len()).filter(live).collect();
        (far[self.rng.usize(..far.len())], CALLER * 3 + FAR)
    }

    fn reach(&mut self, node: usize, id: RequestId, left: Option<Duration>) {
        if self.nodes[node].dead {
            return;
        }
        let job = self.job(id).clone();
        let view = Arc::clone(&self.setup.view);
        let service = &view.services.as_slice()[job.service];
        let name = |region| Arc::clone(&view.regions[region].name);
        let (origin, peer_region) = match job.hop {
            Some((from, ..)) => (Origin::Peer, Some(name(self.nodes[from].region))),
            None => (Origin::Caller, None),
        };
        // A key as a look-up at this instance would have given it.
        let key = if service.is_idempotent || job.hop.is_some() {
            None
        } else {
            let prefix = self.nodes[node].traffic.key_prefix(self.now);
            prefix.map(|p| format!("{p}nonce-of-sixteen-{}", id.0).into())
        };
        let arrival = Arrival {
            id,
            service: Arc::clone(&service.name),
            caller: format!("caller-{}", id.0 % 997).into(),
            key,
            fingerprint: Fingerprint(u128::from(id.0)),
            deadline: left.or(Some(service.deadline)),
            bytes: REQUEST,
            origin,
            caller_region: Some(name(job.home)),
            peer_region,
        };
        self.tell(node, Event::Arrive(arrival));
    }

    fn count_shift(&mut self, service: usize, from: Region, to: Region) {
        let view = &self.setup.view;
        let route = Route::Shift {
            service: Arc::clone(&view.services.as_slice()[service].name),
            from: Arc::clone(&view.regions[from].name),
            to: Arc::clone(&view.regions[to].name),
        };
        self.tallies.add(self.now, &route, 1);
    }

    /// A caller of another region, who asked here, is served here.
    fn count_served(&mut self, node: usize, id: RequestId) {
        let at = usize::try_from(id.0).unwrap_or(usize::MAX);
        let first = !core::mem::replace(&mut self.jobs[at].sent, true);
        let job = &self.jobs[at];
        let (service, home, here) = (job.service, job.home, self.nodes[node].region);
        if first && job.hop.is_none() && here != home {
            self.count_shift(service, home, here);
        }
    }

    fn count_link(&mut self, from: Region, to: Region, bytes: u64) {
        if from == to {
            return;
        }
        let name = |region: Region| Arc::clone(&self.setup.view.regions[region].name);
        let (from, to) = (name(from), name(to));
        let route = Route::Link { from, to };
        self.tallies.add(self.now, &route, bytes);
    }
}

fn nodes(view: &View, guards: Guards, rng: &mut fastrand::Rng) -> Vec<Node> {
    let make = |(at, data): (usize, &steer::version::view::MemberData)| {
        let home = Identity {
            name: Arc::clone(&data.name),
            domain: Arc::clone(&view.domains[data.domain].name),
        };
        let me = Incarnation(at as u64 + 1);
        let traffic = Traffic::new(home, me, gate::Limits::default(), rng.fork());
        Node {
            name: Arc::clone(&data.name),
            domain: entity::EntityRef::index(data.domain),
            region: view.domains[data.domain].region,
            dead: false,
            held: Time::ZERO,
            traffic: traffic.with_shares(guards),
        }
    };
    view.members.values().enumerate().map(make).collect()
}
