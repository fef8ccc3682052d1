//! A model of targets, links and callers in virtual time.
//!
//! It has what the decisions react to: slots, a short queue that sheds, service
//! times, latencies, connections to open, cold starts, reports that lag. Events
//! are taken in order of their time and number, so a seed gives one result.

mod asking;
pub mod deployment;
mod driver;
mod fleet;
pub mod meter;
mod targets;

use core::cmp::Reverse;
use core::time::Duration;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;

use hdrhistogram::Histogram;
use steer::clock::Time;
use steer::connection::pool::Pool;
use steer::process::dispatch::tuning::Tuning;
use steer::process::dispatch::{self, AttemptOutcome, Event, Report};
use steer::request::answer::Answer;
use steer::request::arrival::{AttemptId, Fingerprint, RequestId};
use steer::version::view::View;

use crate::robin::Engine;
use deployment::{Deployment, Layout};
use meter::Meter;
use steer::process::share::Route;

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

/// Which engine decides.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// The baseline.
    Robin,
    /// The product's.
    Steer(Tuning),
    /// The product's with a second attempt after a time.
    Hedge(Tuning, Duration),
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
    /// Requests of each service from callers of one region that were served in
    /// another.
    pub shifts: Vec<Meter>,
    /// Bytes between regions.
    pub links: Vec<Meter>,
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
    /// Region of its caller.
    home: usize,
    /// Whether it has been sent to a target.
    sent: bool,
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
    Back(Work, AttemptOutcome, Option<(usize, Report)>),
    Late(Work),
    Stop(usize, Work),
    Probed(usize, usize),
    Told(usize, Fingerprint, u8),
    Wanted(usize, Loan),
    Lent(usize, Loan, u64),
    Tick(usize),
    View(Arc<View>),
    Fault(Fault),
}

/// A wish for a part of a cap.
#[derive(Clone)]
struct Loan {
    from: usize,
    route: Route,
    amount: u64,
    asked: Time,
}

type Queued = Reverse<(Time, u64)>;

/// The model.
pub struct Model {
    setup: Setup,
    regions: usize,
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
        let targets = fleet::targets(&setup);
        let entries = fleet::entries(&setup, targets.len(), &mut rng);
        let figures = || Figures {
            latency: Histogram::new(3).expect("three digits are allowed"),
            asked: 0,
            refused: 0,
            failed: 0,
        };
        let faults = setup.faults.clone();
        let pairs = setup.layout.regions() * setup.layout.regions();
        let specs = setup.deployment.services.iter();
        let shifts = specs
            .flat_map(|spec| vec![Meter::new(spec.cap); pairs])
            .collect();
        let links = vec![Meter::new(setup.deployment.link * 125_000); pairs];
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
                shifts,
                links,
            },
            answer: Arc::new(Answer {
                status: 200,
                headers: Vec::new(),
                body: Arc::from([0; 8192]),
            }),
            version: 0,
            serial: 0,
            regions: setup.layout.regions(),
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

    const fn regions(&self) -> usize {
        self.regions
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
            Happening::Wanted(entry, loan) => self.wanted(entry, &loan),
            Happening::Lent(entry, loan, amount) => {
                let Loan { route, asked, .. } = loan;
                let event = Event::LoanGranted {
                    route,
                    amount,
                    asked_at: asked,
                };
                self.tell(entry, event);
            }
            Happening::Tick(entry) => {
                self.tell(entry, Event::SlotHeld(true));
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
