//! Shares of a whole fleet in virtual time, under the real control.
//!
//! Every process asks for all it can get, in the worst place for it: at once.
//! What all of them took, dead and replaced ones too, is summed over each
//! second, closed at both ends.

use core::time::Duration;
use std::collections::VecDeque;
use std::sync::Arc;

use steer::clock::Time;
use steer::process::config::File;
use steer::process::control::Safeguards;
use steer::process::control::apply::{self, Apply, Base, Expect, Outcome, Step};
use steer::process::share::{self, Route, Shares};
use steer::version::view::{Version, View};

use crate::fleet::{self, Fleet, Layout, Node, Place};
use crate::world::Plan;

/// Time between two looks at the fleet.
pub const STEP: Duration = Duration::from_millis(10);
/// Looks between two questions for loans.
const LOAN_REQUEST_STEPS: u64 = 30;

/// Time for which a cap goes on counting after the last process has another:
/// loans of it run out, and the second over which is summed.
pub const CAP_LINGER_TIME: Duration = Duration::from_secs(6);

/// What the network does with loan messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Net {
    /// Part that is lost, and part that comes twice.
    pub loss: f64,
    pub twice: f64,
    /// Longest delay.
    pub delay: Duration,
}

/// A process's part in traffic.
struct Proc {
    shares: Shares,
    offset: Duration,
    published: u64,
    version: Version,
    /// Whether it wants to shift now.
    busy: bool,
    /// Whether its control hangs while its traffic goes on.
    hung: bool,
    waiting: Vec<Loan>,
    /// What it took of the first route, over all time.
    took: u64,
}

/// A message about a loan.
#[derive(Clone, Debug)]
enum Loan {
    Wanted {
        from: usize,
        route: Route,
        amount: u64,
        asked: Time,
    },
    Lent {
        route: Route,
        amount: u64,
        asked: Time,
    },
}

/// A view with the members that a process believes alive.
fn believed(view: &View, node: &Node) -> Arc<View> {
    let mut view = view.clone();
    let shown = node.snapshot.as_ref().map(|s| s.members.as_ref());
    let alive = |name: &str| {
        let mut members = shown.unwrap_or_default().iter();
        let own = *node.control.record().identity.name == *name;
        own || members.any(|seen| *seen.record.identity.name == *name)
    };
    let members = view.members.values().filter(|m| alive(&m.name)).cloned();
    view.members = members.collect();
    Arc::new(view)
}

/// What was taken of a route within the last second.
#[derive(Default)]
struct Sum {
    taken: VecDeque<(Time, u64)>,
    now: u64,
    most: u64,
}

pub struct Bench {
    pub fleet: Fleet,
    pub net: Net,
    pub rng: fastrand::Rng,
    guards: share::Guards,
    domains: usize,
    /// Number of instances and cap, by version.
    versions: Vec<(Version, Arc<View>, u64)>,
    procs: Vec<Proc>,
    routes: Vec<Route>,
    sums: Vec<Sum>,
    mail: Vec<(Time, usize, Loan)>,
    steps: u64,
    /// Largest sum in a second above the largest cap in force, and when.
    pub over: (u64, Time),
    lent: u64,
    /// Largest cap in force anywhere, of late.
    caps: VecDeque<(Time, u64)>,
}

impl Bench {
    /// Starts a process under a name, whatever became of the one before it.
    pub fn replace(&mut self, name: &str) {
        let slot = self.fleet.slot(name);
        self.fleet.start(slot, None);
    }

    /// A fleet of `nodes` instances in `domains` failure domains of two
    /// regions, with nothing in force.
    pub fn new(
        domains: usize,
        nodes: usize,
        guards: share::Guards,
        control: Safeguards,
        seed: u64,
    ) -> Self {
        let layout = Layout {
            domains,
            nodes,
            per_region: domains.div_ceil(2),
            loss: 0.0,
            seed,
            guards: control,
            lag: Duration::from_secs(10),
        };
        let plan = Plan::new(2, &[]);
        let routes = vec![plan.route(0, 1), plan.link_route(0, 1)];
        Self {
            fleet: Fleet::new(layout),
            net: Net::default(),
            rng: fastrand::Rng::with_seed(seed),
            guards,
            domains,
            versions: Vec::new(),
            procs: Vec::new(),
            sums: routes.iter().map(|_| Sum::default()).collect(),
            routes,
            mail: Vec::new(),
            steps: 0,
            over: (0, Time::ZERO),
            lent: 0,
            caps: VecDeque::new(),
        }
    }

    /// An operator puts a version with so many instances and such a cap into
    /// the store, whether or not anybody hears of it.
    pub fn commit(&mut self, slots: usize, cap: u64) {
        let number = self.versions.len() as u64 + 1;
        let version = Version(number);
        let half = self.domains.div_ceil(2);
        let mut plan = Plan::new(2, &[]).shift(0, 1, cap).link(0, 1, cap);
        let entry = |slot: usize| (self.fleet.name(slot), slot % self.domains / half);
        plan.entries = (0..self.fleet.slots.len()).map(entry).collect();
        // Processes that the configuration doesn't name may run all the same.
        let members = plan.build(number).members.clone();
        plan.entries.truncate(slots);
        let mut view = View::clone(&plan.build(number));
        view.members = members;
        self.versions.push((version, Arc::new(view), cap));
        let stored = self.fleet.store.stored.clone();
        let body = fleet::body(&slots.to_string());
        let file = File {
            name: "slots".into(),
            hash: body.hash,
        };
        let text = fleet::body(&format!("version {number}"));
        let base = File {
            name: "base".into(),
            hash: text.hash,
        };
        let files = vec![base, file];
        let id: Arc<str> = format!("change-{number}").into();
        let force = Version(0);
        let base = Base { stored, force };
        let mut apply =
            Apply::new(id, base, files, vec![text, body]).with_guards(apply::Guards::default());
        let mut step = apply.start();
        loop {
            let outcome = match step {
                Step::Done(_) => return,
                Step::PutBody(body) => {
                    self.fleet.put_body(body);
                    Outcome::Written
                }
                Step::ReadHead => Outcome::Read(self.fleet.store.stored.clone()),
                Step::PutHead { head, expect } => {
                    let expect = match expect {
                        Expect::Any => None,
                        Expect::Absent => Some(0),
                        Expect::Revision(revision) => Some(revision),
                    };
                    match self.fleet.write(&head, expect) {
                        Ok(()) => Outcome::Written,
                        Err(stored) => Outcome::Conflict(stored),
                    }
                }
            };
            step = apply.next(outcome);
        }
    }

    /// Lets virtual time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.fleet.now + span;
        while self.fleet.now < end {
            self.fleet.run(STEP);
            self.step();
        }
    }

    fn step(&mut self) {
        self.steps += 1;
        while self.procs.len() < self.fleet.nodes.len() {
            self.procs.push(Proc {
                shares: Shares::new(self.guards),
                offset: Duration::from_micros(self.rng.u64(..1_000_000_000)),
                published: 0,
                version: Version(0),
                busy: true,
                hung: false,
                waiting: Vec::new(),
                took: 0,
            });
        }
        self.deliver();
        for at in 0..self.procs.len() {
            if self.runs(at) {
                self.follow(at);
                self.use_up(at);
            }
        }
        if self.steps.is_multiple_of(LOAN_REQUEST_STEPS) {
            for at in 0..self.procs.len() {
                self.ask(at);
            }
        }
        self.check();
    }

    /// Whether a process's traffic runs.
    fn runs(&self, at: usize) -> bool {
        let node = &self.fleet.nodes[at];
        node.is_alive && (!node.is_frozen || self.procs[at].hung)
    }

    /// A process's own time.
    fn own(&self, at: usize) -> Time {
        self.fleet.now + self.procs[at].offset
    }

    /// Traffic hears what control published.
    fn follow(&mut self, at: usize) {
        if self.procs[at].hung {
            return;
        }
        let now = self.own(at);
        let node = &self.fleet.nodes[at];
        let version = node.installs.last().map_or(Version(0), |f| f.1);
        let proc = &mut self.procs[at];
        if version != proc.version || node.publications != proc.published {
            let found = self.versions.iter().find(|v| v.0 == version);
            if let Some((_, view, _)) = found {
                let view = believed(view, node);
                let name = self.fleet.name(node.slot);
                proc.shares.configure(now, &view, &name);
            }
            proc.version = version;
        }
        if node.publications != proc.published {
            proc.published = node.publications;
            let shown = node.snapshot.as_ref().expect("published");
            proc.shares
                .set_slot_held(now, shown.share.divisor.is_some());
        }
    }

    fn use_up(&mut self, at: usize) {
        let now = self.own(at);
        let proc = &mut self.procs[at];
        if !proc.busy {
            return;
        }
        for (nth, route) in self.routes.iter().enumerate() {
            let amount = proc.shares.take_up_to(now, route, u64::MAX);
            if amount > 0 {
                let sum = &mut self.sums[nth];
                sum.taken.push_back((self.fleet.now, amount));
                sum.now += amount;
                proc.took += if nth == 0 { amount } else { 0 };
            }
        }
    }

    /// Asks two others for a loan.
    fn ask(&mut self, at: usize) {
        if !self.runs(at) || !self.procs[at].busy {
            return;
        }
        let now = self.own(at);
        for route in self.routes.clone() {
            let request = self.procs[at].shares.request_loan(now, &route, 1, 2);
            let others: Vec<usize> = (0..self.procs.len()).filter(|&o| o != at).collect();
            let lenders = self.rng.choose_multiple(others, request.asked_at.len());
            for (to, asked) in lenders.into_iter().zip(request.asked_at) {
                let loan = Loan::Wanted {
                    from: at,
                    route: route.clone(),
                    amount: request.amount,
                    asked,
                };
                self.post(at, to, &loan);
            }
        }
    }

    fn post(&mut self, from: usize, to: usize, loan: &Loan) {
        let place = |at: usize| Place::Domain(self.fleet.nodes[at].domain);
        let slot = |at: usize| Place::Slot(self.fleet.nodes[at].slot);
        let joined = self.fleet.is_connected(place(from), place(to))
            && self.fleet.is_connected(slot(from), slot(to));
        if !joined || self.rng.f64() < self.net.loss {
            return;
        }
        let copies = 1 + usize::from(self.rng.f64() < self.net.twice);
        for _ in 0..copies {
            let most = u64::try_from(self.net.delay.as_micros()).expect("short");
            let delay = Duration::from_micros(self.rng.u64(..=most));
            self.mail.push((self.fleet.now + delay, to, loan.clone()));
        }
    }

    fn deliver(&mut self) {
        let now = self.fleet.now;
        let due: Vec<_> = self.mail.extract_if(.., |m| m.0 <= now).collect();
        for (_, to, loan) in due {
            if self.fleet.nodes[to].is_alive {
                self.procs[to].waiting.push(loan);
            }
        }
        for at in 0..self.procs.len() {
            if self.runs(at) {
                for loan in core::mem::take(&mut self.procs[at].waiting) {
                    self.take_loan(at, loan);
                }
            }
        }
    }

    fn take_loan(&mut self, at: usize, loan: Loan) {
        let now = self.own(at);
        match loan {
            Loan::Wanted {
                from,
                route,
                amount,
                asked,
            } => {
                let amount = self.procs[at].shares.lend(now, &route, amount);
                self.lent += amount;
                if amount > 0 {
                    let loan = Loan::Lent {
                        route,
                        amount,
                        asked,
                    };
                    self.post(at, from, &loan);
                }
            }
            Loan::Lent {
                route,
                amount,
                asked,
            } => self.procs[at].shares.borrow(asked, &route, amount),
        }
    }

    /// Compares each sum with the largest cap that is or lately was in force at
    /// any live process.
    fn check(&mut self) {
        let now = self.fleet.now;
        let live = (0..self.procs.len()).filter(|&at| self.fleet.nodes[at].is_alive);
        let caps = live.filter_map(|at| {
            let version = self.procs[at].version;
            self.versions.iter().find(|v| v.0 == version).map(|v| v.2)
        });
        let cap = caps.max().unwrap_or(0);
        self.caps.push_back((now, cap));
        while self
            .caps
            .front()
            .is_some_and(|c| now.since(c.0) > CAP_LINGER_TIME)
        {
            self.caps.pop_front();
        }
        let cap = self.caps.iter().map(|c| c.1).max().unwrap_or(0);
        for sum in &mut self.sums {
            while sum
                .taken
                .front()
                .is_some_and(|t| now.since(t.0) > share::window::RATE_PERIOD)
            {
                sum.now -= sum.taken.pop_front().map_or(0, |t| t.1);
            }
            sum.most = sum.most.max(sum.now);
            let over = sum.now.saturating_sub(cap);
            if over > self.over.0 {
                self.over = (over, now);
            }
        }
    }

    /// What was taken of the first route within the last second.
    pub fn sum(&self) -> u64 {
        self.sums[0].now
    }

    /// The most that is taken of the first route in a second from now on.
    pub fn level(&mut self) -> u64 {
        let mut most = 0;
        for _ in 0..250 {
            self.run(STEP);
            most = most.max(self.sum());
        }
        most
    }

    /// The most that was taken of the first route in a second.
    pub fn most(&self) -> u64 {
        self.sums[0].most
    }

    /// What was lent so far, in either route.
    pub const fn lent(&self) -> u64 {
        self.lent
    }

    /// The newest process of a name.
    pub fn at(&self, name: &str) -> usize {
        self.fleet.slots[self.fleet.slot(name)]
    }

    /// Whether a process wants to shift.
    pub fn busy(&mut self, at: usize, busy: bool) {
        self.procs[at].busy = busy;
    }

    /// Control hangs while traffic goes on.
    pub fn hang(&mut self, at: usize) {
        self.fleet.freeze(at);
        self.procs[at].hung = true;
    }

    /// Wakes a process, or its control.
    pub fn wake(&mut self, at: usize) {
        self.procs[at].hung = false;
        if self.fleet.nodes[at].is_frozen {
            self.fleet.thaw(at);
        }
    }

    /// What a process took of the first route since it started.
    pub fn took(&self, at: usize) -> u64 {
        self.procs[at].took
    }

    /// Number of processes that ever started.
    pub fn started(&self) -> usize {
        self.procs.len()
    }
}
