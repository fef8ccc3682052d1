//! A model of targets, links and callers in virtual time.
//!
//! It has what the decisions react to: slots, a short queue that sheds, service
//! times, latencies, connections to open, cold starts, reports that lag. Events
//! are taken in order of their time and number, so a seed gives one result.

use core::cmp::Reverse;
use core::time::Duration;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use entity::EntityRef;
use hdrhistogram::Histogram;
use steer::clock::Time;
use steer::connection::pool::{Connection, Pool, Taken};
use steer::process::dispatch::tuning::Tuning;
use steer::process::dispatch::{self, Action, Dispatch, Ending, Event, Place, Report};
use steer::request::answer::Answer;
use steer::request::arrival::{Arrival, AttemptId, Fingerprint, Origin, RequestId};
use steer::request::outcome::{Outcome, Refusal};
use steer::version::view::{
    Class, ClassData, Domain, DomainData, Incarnation, MemberData, Region, RegionData, Service,
    ServiceData, Site, SiteData, State, TargetData, Version, View,
};

use crate::robin::{Engine, Robin};

/// One way between an entry instance and a target of its failure domain.
const LOCAL: Duration = Duration::from_micros(250);
/// One way between failure domains of a region.
const NEAR: Duration = Duration::from_micros(500);
/// One way between regions.
const FAR: Duration = Duration::from_millis(35);
/// One way between a caller and its region.
const CALLER: Duration = Duration::from_millis(8);
/// Opening a connection.
const OPEN: Duration = Duration::from_millis(1);
/// Requests that a target lets wait before it sheds.
const BACKLOG: usize = 3;
/// Age that a target's reported load may have.
const REPORT_LAG: Duration = Duration::from_millis(100);
/// A cold target is this much slower at first, and warm after [`WARM`].
const COLD: f64 = 3.0;
const WARM: Duration = Duration::from_secs(5);
/// Spread of service times: sigma of the log-normal distribution.
const SIGMA: f64 = 0.6;
/// Time until the list of instances shows a change.
pub const LIST_LAG: Duration = Duration::from_secs(3);
/// Time until an operator's change is in force.
pub const CHANGE_LAG: Duration = Duration::from_secs(1);
/// Time at the start that isn't measured.
pub const WARM_UP: Duration = Duration::from_secs(5);

/// One service of a deployment.
#[derive(Debug)]
pub struct ServiceSpec {
    /// Its name.
    pub name: &'static str,
    /// Index of its class.
    pub class: usize,
    /// Whether a repeat does no harm.
    pub idempotent: bool,
    /// Mean service time in seconds.
    pub mean: f64,
    /// Deadline in seconds.
    pub deadline: u64,
}

/// A deployment's sizes, as in `deploy/`; service times are assumed.
#[derive(Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Its services, sorted by name.
    pub services: [ServiceSpec; 4],
    /// Longest expected wait: short for latency, long for headroom.
    pub wait: Duration,
}

const fn spec(
    name: &'static str,
    class: usize,
    idempotent: bool,
    mean: f64,
    deadline: u64,
) -> ServiceSpec {
    ServiceSpec {
        name,
        class,
        idempotent,
        mean,
        deadline,
    }
}

/// Weighted to latency.
pub static BLUESTONE: Deployment = Deployment {
    name: "bluestone",
    services: [
        spec("archive", 2, true, 0.060, 10),
        spec("billing", 1, false, 0.040, 10),
        spec("lodgement", 0, false, 0.040, 5),
        spec("sheetview", 0, true, 0.020, 2),
    ],
    wait: Duration::from_millis(100),
};

/// Weighted to headroom.
pub static TESFAYE: Deployment = Deployment {
    name: "tesfaye",
    services: [
        spec("archive", 2, true, 0.060, 10),
        spec("payout", 1, false, 0.040, 10),
        spec("reserve", 0, false, 0.040, 5),
        spec("stock", 0, true, 0.020, 2),
    ],
    wait: Duration::from_millis(500),
};

/// All deployments.
pub static DEPLOYMENTS: [&Deployment; 2] = [&BLUESTONE, &TESFAYE];

/// Where instances are.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Region of each failure domain.
    pub domains: Vec<usize>,
    /// Failure domain of each entry instance.
    pub entries: Vec<usize>,
    /// Targets of each service in each failure domain.
    pub targets: usize,
}

impl Layout {
    /// Six domains in three regions, seven entry instances, 12 targets a service.
    #[must_use]
    pub fn today() -> Self {
        Self {
            domains: vec![0, 0, 1, 1, 2, 2],
            entries: vec![0, 0, 1, 2, 3, 4, 5],
            targets: 2,
        }
    }

    /// One domain in which `entries` instances share 12 targets a service.
    #[must_use]
    pub fn shared(entries: usize) -> Self {
        Self {
            domains: vec![0],
            entries: vec![0; entries],
            targets: 12,
        }
    }
}

/// Which engine decides.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// The baseline.
    Robin,
    /// The product's.
    Steer(Tuning),
}

/// How a target tells that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// By the reports in its answers.
    Report,
    /// By refusing.
    Refusal,
    /// By the list alone, [`LIST_LAG`] later.
    List,
    /// By an operator's change, [`CHANGE_LAG`] later.
    Operator,
}

/// Something that happens to the fleet.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A target gets slower by a factor.
    Slow(usize, f64),
    /// A target reports this load whatever it runs.
    Lie(usize, u32),
    /// A target's process dies.
    Crash(usize),
    /// It is back, cold.
    Restart(usize),
    /// A failure domain is lost with all that runs there.
    LoseDomain(usize),
    /// A region is lost.
    LoseRegion(usize),
    /// A target leaves.
    Leave(usize, Sign),
}

/// One run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Services.
    pub deployment: &'static Deployment,
    /// Places.
    pub layout: Layout,
    /// Who decides.
    pub kind: Kind,
    /// Offered load as a share of the capacity of all targets.
    pub load: f64,
    /// Seed of everything random.
    pub seed: u64,
    /// Length, with [`WARM_UP`].
    pub span: Duration,
    /// What happens when.
    pub faults: Vec<(Duration, Fault)>,
}

/// Figures of one service.
pub struct Figures {
    /// Microseconds from the caller's asking to the whole answer.
    pub latency: Histogram<u64>,
    /// Requests asked.
    pub asked: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Lost, late or unknown.
    pub failed: u64,
}

/// Figures of a run.
pub struct Outcomes {
    /// By service.
    pub services: Vec<Figures>,
    /// Attempts that reached targets.
    pub attempts: u64,
    /// Attempts that targets shed.
    pub shed: u64,
    /// For a leaving target: when it left, last new work sent, last work done.
    pub drain: [Option<Time>; 3],
}

#[derive(Clone)]
struct Work {
    entry: usize,
    id: RequestId,
    attempt: AttemptId,
}

struct Target {
    name: Arc<str>,
    domain: usize,
    service: usize,
    running: Vec<(u64, Work)>,
    backlog: VecDeque<Work>,
    dead: bool,
    slow: f64,
    lie: Option<u32>,
    born: Option<Time>,
    sign: Option<Sign>,
    sampled: (Time, u32),
}

struct Entry {
    name: Arc<str>,
    domain: usize,
    dead: bool,
    engine: Box<dyn Engine>,
    out: Vec<(AttemptId, RequestId, Way)>,
    pools: Vec<Pool<()>>,
}

#[derive(Clone, Copy)]
enum Way {
    Target(usize),
    Member,
}

#[derive(Clone, Copy)]
struct Request {
    service: usize,
    asked: Time,
    caller: Duration,
    entry: usize,
    hop: Option<(usize, RequestId, AttemptId)>,
    done: bool,
}

enum Happening {
    Ask(usize, usize),
    Reach(RequestId),
    Work(usize, Work),
    Finish(usize, u64),
    Back(Work, Ending, Option<(usize, Report)>),
    Late(Work),
    Stop(usize, Work),
    Probed(usize, usize),
    Told(usize, Fingerprint, u8),
    Tick(usize),
    View(Arc<View>),
    Fault(Fault),
}

type Queued = Reverse<(Time, u64)>;

/// The model.
pub struct Model {
    setup: Setup,
    now: Time,
    rng: fastrand::Rng,
    /// Times and numbers; the happenings are in `slots`, by number.
    heap: BinaryHeap<Queued>,
    slots: VecDeque<Option<Happening>>,
    first: u64,
    requests: Vec<Request>,
    entries: Vec<Entry>,
    targets: Vec<Target>,
    outcomes: Outcomes,
    answer: Arc<Answer>,
    version: u64,
    serial: u64,
}

/// Runs a setup to its end.
#[must_use]
pub fn run(setup: Setup) -> Outcomes {
    let mut model = Model::new(setup);
    let end = Time::ZERO + model.setup.span;
    while let Some(&Reverse((at, number))) = model.heap.peek() {
        // What was asked in time is followed to its end.
        if at > end + Duration::from_secs(11) {
            break;
        }
        model.heap.pop();
        model.now = at;
        let slot = usize::try_from(number - model.first).unwrap_or(usize::MAX);
        let happening = model.slots.get_mut(slot).and_then(Option::take);
        while model.slots.front().is_some_and(Option::is_none) {
            model.slots.pop_front();
            model.first += 1;
        }
        if let Some(happening) = happening {
            model.happen(happening, end);
        }
    }
    model.finish()
}

impl Model {
    fn new(setup: Setup) -> Self {
        let mut rng = fastrand::Rng::with_seed(setup.seed);
        let targets = targets(&setup);
        let entries = entries(&setup, targets.len(), &mut rng);
        let figures = || Figures {
            latency: Histogram::new(3).expect("three digits are allowed"),
            asked: 0,
            refused: 0,
            failed: 0,
        };
        let faults = setup.faults.clone();
        let mut model = Self {
            now: Time::ZERO,
            rng,
            heap: BinaryHeap::new(),
            slots: VecDeque::new(),
            first: 0,
            requests: Vec::new(),
            entries,
            targets,
            outcomes: Outcomes {
                services: (0..4).map(|_| figures()).collect(),
                attempts: 0,
                shed: 0,
                drain: [None; 3],
            },
            answer: Arc::new(Answer {
                status: 200,
                headers: Vec::new(),
                body: Arc::from([]),
            }),
            version: 0,
            serial: 0,
            setup,
        };
        let view = model.view();
        model.after(Duration::ZERO, Happening::View(view));
        for entry in 0..model.entries.len() {
            model.after(dispatch::TICK, Happening::Tick(entry));
        }
        for (at, fault) in faults {
            model.after(at, Happening::Fault(fault));
        }
        let regions = model.regions();
        for service in 0..4 {
            for region in 0..regions {
                model.after(Duration::ZERO, Happening::Ask(service, region));
            }
        }
        model
    }

    fn regions(&self) -> usize {
        self.setup.layout.domains.iter().max().map_or(0, |r| r + 1)
    }

    fn after(&mut self, span: Duration, happening: Happening) {
        let number = self.first + self.slots.len() as u64;
        self.slots.push_back(Some(happening));
        self.heap.push(Reverse((self.now + span, number)));
    }

    fn happen(&mut self, happening: Happening, end: Time) {
        match happening {
            Happening::Ask(service, region) if self.now < end => self.ask(service, region),
            Happening::Ask(..) => {}
            Happening::Reach(id) => self.reach(id),
            Happening::Work(target, work) => self.work(target, work),
            Happening::Finish(target, serial) => self.finish_work(target, serial),
            Happening::Back(work, ending, report) => self.back(&work, ending, report),
            Happening::Late(work) => self.late(&work),
            Happening::Stop(target, work) => self.stop(target, &work),
            Happening::Probed(entry, target) => self.probed(entry, target),
            Happening::Told(entry, fingerprint, strikes) => {
                let event = Event::Suspected {
                    fingerprint,
                    strikes,
                };
                self.tell(entry, event);
            }
            Happening::Tick(entry) => {
                self.tell(entry, Event::Tick);
                self.after(dispatch::TICK, Happening::Tick(entry));
            }
            Happening::View(view) => {
                for entry in 0..self.entries.len() {
                    self.tell(entry, Event::View(Arc::clone(&view)));
                }
            }
            Happening::Fault(fault) => self.fault(fault),
        }
    }

    fn ask(&mut self, service: usize, region: usize) {
        let spec = &self.setup.deployment.services[service];
        let slots = f64::from(u32::try_from(self.targets.len()).unwrap_or(0)) * 3.0 / 4.0;
        let regions = f64::from(u32::try_from(self.regions()).unwrap_or(1));
        let rate = slots / spec.mean * self.setup.load / regions;
        let gap = -(1.0 - self.rng.f64()).ln() / rate;
        self.after(
            Duration::from_secs_f64(gap),
            Happening::Ask(service, region),
        );
        let (entry, caller) = self.look_up(region);
        let id = RequestId(self.requests.len() as u64);
        self.requests.push(Request {
            service,
            asked: self.now,
            caller,
            entry,
            hop: None,
            done: false,
        });
        self.after(caller, Happening::Reach(id));
    }

    /// The entry instance that a caller of a region uses, and the way there. A
    /// dead one costs a round trip, then the caller takes its next choice.
    fn look_up(&mut self, region: usize) -> (usize, Duration) {
        let domains = &self.setup.layout.domains;
        let here = |e: &&usize| domains[self.entries[**e].domain] == region;
        let all: Vec<usize> = (0..self.entries.len()).collect();
        let home: Vec<usize> = all.iter().filter(here).copied().collect();
        let chosen = home[self.rng.usize(..home.len())];
        if !self.entries[chosen].dead {
            return (chosen, CALLER);
        }
        let live = |e: &usize| !self.entries[*e].dead;
        let near: Vec<usize> = home.iter().copied().filter(live).collect();
        if !near.is_empty() {
            return (near[self.rng.usize(..near.len())], CALLER * 3);
        }
        let far: Vec<usize> = all.into_iter().filter(live).collect();
        (far[self.rng.usize(..far.len())], CALLER * 3 + FAR)
    }

    fn reach(&mut self, id: RequestId) {
        let request = self.request(id);
        let spec = &self.setup.deployment.services[request.service];
        if self.entries[request.entry].dead {
            return;
        }
        let arrival = Arrival {
            id,
            service: Arc::from(spec.name),
            caller: Arc::from(format!("caller-{}", id.0 % 997)),
            key: None,
            fingerprint: Fingerprint(u128::from(id.0)),
            deadline: Some(Duration::from_secs(spec.deadline)),
            bytes: 500,
            origin: Origin::Caller,
            home: None,
            via: None,
        };
        self.tell(request.entry, Event::Arrive(arrival));
    }

    fn request(&self, id: RequestId) -> Request {
        self.requests[usize::try_from(id.0).unwrap_or(usize::MAX)]
    }

    fn tell(&mut self, entry: usize, event: Event) {
        if self.entries[entry].dead {
            return;
        }
        let mut actions = Vec::new();
        self.entries[entry]
            .engine
            .handle(self.now, event, &mut actions);
        for action in actions {
            self.act(entry, action);
        }
    }

    fn act(&mut self, entry: usize, action: Action) {
        match action {
            Action::Send {
                id,
                attempt,
                place,
                budget,
            } => self.send(entry, id, attempt, &place, budget),
            Action::Cancel { attempt, .. } => self.cancel(entry, attempt),
            Action::Reply { id, answer } => self.settle(id, Ok(answer)),
            Action::Refuse { id, refusal } => self.settle(id, Err(refusal)),
            Action::Probe { target, .. } => {
                let target = self.target(&target);
                self.after(LOCAL * 2, Happening::Probed(entry, target));
            }
            Action::Suspect {
                fingerprint,
                strikes,
            } => {
                for peer in (0..self.entries.len()).filter(|&e| e != entry) {
                    let way = self.way(entry, peer);
                    self.after(way, Happening::Told(peer, fingerprint, strikes));
                }
            }
        }
    }

    fn target(&self, name: &str) -> usize {
        let found = self.targets.iter().position(|t| &*t.name == name);
        found.expect("a target of the model")
    }

    fn way(&self, from: usize, to: usize) -> Duration {
        let domains = &self.setup.layout.domains;
        let (from, to) = (self.entries[from].domain, self.entries[to].domain);
        if domains[from] == domains[to] {
            NEAR
        } else {
            FAR
        }
    }

    fn send(
        &mut self,
        entry: usize,
        id: RequestId,
        attempt: AttemptId,
        place: &Place,
        budget: Duration,
    ) {
        let work = Work { entry, id, attempt };
        self.after(budget, Happening::Late(work.clone()));
        let way = match place {
            Place::Target { name, .. } => {
                let target = self.target(name);
                let open = match self.entries[entry].pools[target].take() {
                    Taken::Open(_) => Duration::ZERO,
                    Taken::Permit | Taken::Full => OPEN,
                };
                if self.targets[target].sign.is_some() {
                    self.outcomes.drain[1] = Some(self.now);
                }
                self.after(open + LOCAL, Happening::Work(target, work));
                Way::Target(target)
            }
            Place::Member { name, .. } => {
                self.hop(&work, name, budget);
                Way::Member
            }
        };
        self.entries[entry].out.push((attempt, id, way));
    }

    /// Passes a request to a peer, under a number of its own there.
    fn hop(&mut self, work: &Work, name: &str, budget: Duration) {
        let peer = self.entries.iter().position(|e| &*e.name == name);
        let peer = peer.expect("an entry instance of the model");
        let way = self.way(work.entry, peer);
        if self.entries[peer].dead {
            return self.after(
                way * 2,
                Happening::Back(work.clone(), Ending::Unreachable, None),
            );
        }
        let id = RequestId(self.requests.len() as u64);
        let service = self.request(work.id).service;
        self.requests.push(Request {
            service,
            asked: self.now,
            caller: way,
            entry: peer,
            hop: Some((work.entry, work.id, work.attempt)),
            done: false,
        });
        let spec = &self.setup.deployment.services[service];
        let arrival = Arrival {
            id,
            service: Arc::from(spec.name),
            caller: Arc::from(format!("caller-{}", work.id.0 % 997)),
            key: None,
            fingerprint: Fingerprint(u128::from(work.id.0)),
            deadline: Some(budget.saturating_sub(way * 2)),
            bytes: 500,
            origin: Origin::Peer,
            home: None,
            via: None,
        };
        // The peer decides on arrival; the model lets the way there pass with
        // the way back, which no decision can tell apart.
        self.tell(peer, Event::Arrive(arrival));
    }

    fn settle(&mut self, id: RequestId, end: Result<Arc<Answer>, Refusal>) {
        let at = usize::try_from(id.0).unwrap_or(usize::MAX);
        let request = self.requests[at];
        self.requests[at].done = true;
        if let Some((entry, id, attempt)) = request.hop {
            let ending = match end {
                Ok(answer) => Ending::Answered(answer),
                Err(refusal) => Ending::PeerRefused(refusal),
            };
            let work = Work { entry, id, attempt };
            return self.after(request.caller * 2, Happening::Back(work, ending, None));
        }
        if request.asked < Time::ZERO + WARM_UP {
            return;
        }
        let took = (self.now + request.caller).since(request.asked);
        let figures = &mut self.outcomes.services[request.service];
        figures.asked += 1;
        match end {
            Ok(_) => {
                let took = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
                figures.latency.record(took).expect("the histogram grows");
            }
            Err(refusal) if refusal.outcome == Outcome::NotRun => figures.refused += 1,
            Err(_) => figures.failed += 1,
        }
    }

    fn work(&mut self, target: usize, work: Work) {
        let state = &mut self.targets[target];
        if state.dead {
            return self.after(LOCAL, Happening::Back(work, Ending::Unreachable, None));
        }
        self.outcomes.attempts += 1;
        let full = state.running.len() >= 3 && state.backlog.len() >= BACKLOG;
        let leaving = state.sign == Some(Sign::Refusal);
        if full || leaving {
            self.outcomes.shed += 1;
            let mean = self.setup.deployment.services[state.service].mean;
            let ending = Ending::Refused {
                after: Some(Duration::from_secs_f64(mean)),
                leaving,
            };
            let report = self.report(target);
            return self.after(LOCAL, Happening::Back(work, ending, Some((target, report))));
        }
        if self.targets[target].running.len() < 3 {
            self.begin(target, work);
        } else {
            self.targets[target].backlog.push_back(work);
        }
    }

    fn begin(&mut self, target: usize, work: Work) {
        let state = &self.targets[target];
        let mean = self.setup.deployment.services[state.service].mean;
        let (a, b) = (1.0 - self.rng.f64(), self.rng.f64());
        let normal = (-2.0 * a.ln()).sqrt() * (core::f64::consts::TAU * b).cos();
        let draw = (SIGMA * normal - SIGMA * SIGMA / 2.0).exp();
        let cold = state.born.map_or(1.0, |born| {
            let age = self.now.since(born).as_secs_f64() / WARM.as_secs_f64();
            1.0 + (COLD - 1.0) * (1.0 - age).max(0.0)
        });
        let took = Duration::from_secs_f64(mean * draw * cold * state.slow);
        self.serial += 1;
        self.targets[target].running.push((self.serial, work));
        self.after(took, Happening::Finish(target, self.serial));
    }

    fn finish_work(&mut self, target: usize, serial: u64) {
        let Some(at) = self.targets[target]
            .running
            .iter()
            .position(|r| r.0 == serial)
        else {
            return;
        };
        let work = self.targets[target].running.remove(at).1;
        if self.targets[target].sign.is_some() {
            self.outcomes.drain[2] = Some(self.now);
        }
        let report = self.report(target);
        let ending = Ending::Answered(Arc::clone(&self.answer));
        self.after(LOCAL, Happening::Back(work, ending, Some((target, report))));
        self.next(target);
    }

    fn next(&mut self, target: usize) {
        if let Some(work) = self.targets[target].backlog.pop_front() {
            self.begin(target, work);
        }
    }

    /// What a target says of itself: a load that may be [`REPORT_LAG`] old.
    fn report(&mut self, target: usize) -> Report {
        let now = self.now;
        let state = &mut self.targets[target];
        if now.since(state.sampled.0) >= REPORT_LAG {
            let load = state.running.len() + state.backlog.len();
            state.sampled = (now, u32::try_from(load).unwrap_or(u32::MAX));
        }
        Report {
            load: state.lie.unwrap_or(state.sampled.1),
            state: match state.sign {
                Some(Sign::Report) => State::Leaving,
                _ => State::Live,
            },
        }
    }

    fn back(&mut self, work: &Work, ending: Ending, report: Option<(usize, Report)>) {
        let Some(way) = self.land(work) else { return };
        if let Way::Target(target) = way {
            let pool = &mut self.entries[work.entry].pools[target];
            let whole = matches!(ending, Ending::Answered(_) | Ending::Refused { .. });
            if whole {
                pool.give(self.now, Connection::warm(()));
            } else {
                pool.closed();
            }
        }
        if let Some((target, report)) = report {
            let target = Arc::clone(&self.targets[target].name);
            self.tell(work.entry, Event::Report { target, report });
        }
        let event = Event::Ended {
            id: work.id,
            attempt: work.attempt,
            ending,
        };
        self.tell(work.entry, event);
    }

    /// Takes an attempt out of those under way; `None` if it no longer is.
    fn land(&mut self, work: &Work) -> Option<Way> {
        let out = &mut self.entries[work.entry].out;
        let at = out.binary_search_by_key(&work.attempt, |o| o.0).ok()?;
        Some(out.remove(at).2)
    }

    fn late(&mut self, work: &Work) {
        let out = &self.entries[work.entry].out;
        if out.binary_search_by_key(&work.attempt, |o| o.0).is_err() {
            return;
        }
        self.cancel(work.entry, work.attempt);
        let event = Event::Ended {
            id: work.id,
            attempt: work.attempt,
            ending: Ending::TimedOut,
        };
        self.tell(work.entry, event);
    }

    fn cancel(&mut self, entry: usize, attempt: AttemptId) {
        let id = RequestId(0);
        let work = Work { entry, id, attempt };
        if let Some(Way::Target(target)) = self.land(&work) {
            self.entries[entry].pools[target].closed();
            self.after(LOCAL, Happening::Stop(target, work));
        }
    }

    fn stop(&mut self, target: usize, work: &Work) {
        let same = |w: &Work| w.entry == work.entry && w.attempt == work.attempt;
        let state = &mut self.targets[target];
        state.backlog.retain(|w| !same(w));
        let before = state.running.len();
        state.running.retain(|r| !same(&r.1));
        if state.running.len() < before {
            self.next(target);
        }
    }

    fn probed(&mut self, entry: usize, target: usize) {
        let report = (!self.targets[target].dead).then(|| self.report(target));
        let target = Arc::clone(&self.targets[target].name);
        self.tell(entry, Event::Probed { target, report });
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Slow(target, factor) => self.targets[target].slow = factor,
            Fault::Lie(target, load) => self.targets[target].lie = Some(load),
            Fault::Crash(target) => self.crash(target),
            Fault::Restart(target) => {
                self.targets[target].dead = false;
                self.targets[target].born = Some(self.now);
            }
            Fault::LoseDomain(domain) => self.lose(domain),
            Fault::LoseRegion(region) => {
                for domain in 0..self.setup.layout.domains.len() {
                    if self.setup.layout.domains[domain] == region {
                        self.lose(domain);
                    }
                }
            }
            Fault::Leave(target, sign) => {
                self.targets[target].sign = Some(sign);
                self.outcomes.drain[0] = Some(self.now);
                let lag = match sign {
                    Sign::Operator => CHANGE_LAG,
                    _ => LIST_LAG,
                };
                let view = self.view();
                self.after(lag, Happening::View(view));
            }
        }
    }

    fn crash(&mut self, target: usize) {
        let state = &mut self.targets[target];
        state.dead = true;
        let cut: Vec<Work> = state.running.drain(..).map(|r| r.1).collect();
        let cut: Vec<Work> = cut.into_iter().chain(state.backlog.drain(..)).collect();
        for work in cut {
            self.after(LOCAL, Happening::Back(work, Ending::Broken, None));
        }
    }

    fn lose(&mut self, domain: usize) {
        for target in 0..self.targets.len() {
            if self.targets[target].domain == domain {
                self.targets[target].dead = true;
                self.targets[target].running.clear();
                self.targets[target].backlog.clear();
            }
        }
        for at in 0..self.entries.len() {
            self.entries[at].dead |= self.entries[at].domain == domain;
        }
        // What peers had running there breaks.
        let broken: Vec<Work> = self
            .requests
            .iter()
            .filter(|r| !r.done && self.entries[r.entry].dead)
            .filter_map(|r| r.hop)
            .map(|(entry, id, attempt)| Work { entry, id, attempt })
            .collect();
        for work in broken {
            self.after(FAR, Happening::Back(work, Ending::Broken, None));
        }
        let view = self.view();
        self.after(LIST_LAG, Happening::View(view));
    }

    fn view(&mut self) -> Arc<View> {
        self.version += 1;
        let layout = &self.setup.layout;
        let mut view = View {
            version: Version(self.version),
            ..View::default()
        };
        for region in 0..self.regions() {
            let name = Arc::from(format!("region-{region}"));
            view.regions.push(RegionData { name });
        }
        for (domain, region) in layout.domains.iter().enumerate() {
            view.domains.push(DomainData {
                name: domain_name(domain),
                region: Region::new(*region),
            });
            view.sites.push(SiteData {
                name: domain_name(domain),
                domain: Domain::new(domain),
                state: State::Live,
            });
        }
        for (name, queue) in [("urgent", 100), ("normal", 70), ("archive", 30)] {
            let name = Arc::from(name);
            view.classes.push(ClassData { name, queue });
        }
        for spec in &self.setup.deployment.services {
            view.services.push(ServiceData {
                name: Arc::from(spec.name),
                class: Class::new(spec.class),
                idempotent: spec.idempotent,
                deadline: Duration::from_secs(spec.deadline),
                sites: (0..layout.domains.len()).map(Site::new).collect(),
            });
        }
        for target in self.targets.iter().filter(|t| self.listed(t)) {
            let said = matches!(target.sign, Some(Sign::List | Sign::Operator));
            view.targets.push(TargetData {
                name: Arc::clone(&target.name),
                addr: addr(),
                site: Site::new(target.domain),
                service: Service::new(target.service),
                slots: 3,
                state: if said { State::Leaving } else { State::Live },
            });
        }
        for (at, entry) in self.entries.iter().enumerate().filter(|(_, e)| !e.dead) {
            view.members.push(MemberData {
                name: Arc::clone(&entry.name),
                incarnation: Incarnation(at as u64 + 1),
                domain: Domain::new(entry.domain),
                addr: addr(),
                peer: addr(),
                state: State::Live,
            });
        }
        Arc::new(view)
    }

    /// Whether the list has a target: those of a lost domain drop out.
    fn listed(&self, target: &Target) -> bool {
        let here = |e: &&Entry| e.domain == target.domain;
        let mut entries = self.entries.iter().filter(here);
        entries.any(|e| !e.dead)
    }

    /// Counts what never got an answer.
    fn finish(mut self) -> Outcomes {
        for request in &self.requests {
            let measured = request.asked >= Time::ZERO + WARM_UP;
            if !request.done && request.hop.is_none() && measured {
                let figures = &mut self.outcomes.services[request.service];
                figures.asked += 1;
                figures.failed += 1;
            }
        }
        self.outcomes
    }
}

fn targets(setup: &Setup) -> Vec<Target> {
    let mut targets = Vec::new();
    for domain in 0..setup.layout.domains.len() {
        for (service, spec) in setup.deployment.services.iter().enumerate() {
            for number in 0..setup.layout.targets {
                targets.push(Target {
                    name: Arc::from(format!("{}-{domain}-{number:02}", spec.name)),
                    domain,
                    service,
                    running: Vec::new(),
                    backlog: VecDeque::new(),
                    dead: false,
                    slow: 1.0,
                    lie: None,
                    born: None,
                    sign: None,
                    sampled: (Time::ZERO, 0),
                });
            }
        }
    }
    targets.sort_by(|a, b| a.name.cmp(&b.name));
    targets
}

fn entries(setup: &Setup, targets: usize, rng: &mut fastrand::Rng) -> Vec<Entry> {
    let layout = &setup.layout;
    let bound = Pool::<()>::share(330, layout.entries.len());
    let make = |(at, &domain): (usize, &usize)| {
        let name: Arc<str> = Arc::from(format!("entry-{at:02}"));
        let home = dispatch::Home {
            name: Arc::clone(&name),
            domain: domain_name(domain),
        };
        let engine: Box<dyn Engine> = match setup.kind {
            Kind::Robin => Box::new(Robin::new(domain_name(domain))),
            Kind::Steer(tuning) => Box::new(Dispatch::tuned(home, tuning, rng.fork())),
        };
        Entry {
            name,
            domain,
            dead: false,
            engine,
            out: Vec::new(),
            pools: (0..targets).map(|_| Pool::new(bound, 0)).collect(),
        }
    };
    layout.entries.iter().enumerate().map(make).collect()
}

fn domain_name(domain: usize) -> Arc<str> {
    Arc::from(format!("domain-{domain}"))
}

fn addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}
