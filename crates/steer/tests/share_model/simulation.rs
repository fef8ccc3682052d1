//! Simulates the shares of a fleet in virtual time, with the production control.
//!
//! Every busy process uses all that its limit allows as soon as it can, which is
//! the worst case. The use of all processes, including dead and replaced ones, is
//! summed over each second, closed at both ends.

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
use crate::views::Plan;

/// Step of virtual time.
pub const STEP_TIME: Duration = Duration::from_millis(10);
/// Number of steps between two rounds of loan requests.
const LOAN_REQUEST_STEPS: u64 = 30;

/// Time for which a cap is still allowed after the last process replaced it: the
/// longest loan plus the second over which use is summed.
pub const CAP_LINGER_TIME: Duration = Duration::from_secs(6);

/// Faults of the network for loan messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Net {
    /// Fractions of messages that are lost, and that are delivered twice.
    pub loss: f64,
    pub duplicated: f64,
    /// Longest delay.
    pub delay: Duration,
}

/// The traffic threads of a process.
struct Process {
    shares: Shares,
    offset: Duration,
    published: u64,
    version: Version,
    /// Whether it uses all that its limit allows.
    is_busy: bool,
    /// Whether its control hangs while its traffic continues.
    is_hung: bool,
    waiting: Vec<Loan>,
    /// Total use of the first route since the start.
    taken_total: u64,
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

/// Returns the view with the members that a process considers alive.
fn visible_view(view: &View, node: &Node) -> Arc<View> {
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

/// Use of a route by all processes within the last second.
#[derive(Default)]
struct Sum {
    taken: VecDeque<(Time, u64)>,
    current: u64,
    peak: u64,
}

pub struct Simulation {
    pub fleet: Fleet,
    pub net: Net,
    pub rng: fastrand::Rng,
    guards: share::Guards,
    domains: usize,
    /// Number of instances and cap, by version.
    versions: Vec<(Version, Arc<View>, u64)>,
    processes: Vec<Process>,
    routes: Vec<Route>,
    sums: Vec<Sum>,
    in_transit: Vec<(Time, usize, Loan)>,
    steps: u64,
    /// Largest excess of a one-second sum over the cap in force, and its time.
    pub excess: (u64, Time),
    lent: u64,
    /// Largest caps in force at any live process within [`CAP_LINGER_TIME`].
    caps: VecDeque<(Time, u64)>,
}

impl Simulation {
    /// Starts a process under a name, whether or not its predecessor still runs.
    pub fn replace(&mut self, name: &str) {
        let slot = self.fleet.slot(name);
        self.fleet.start(slot, None);
    }

    /// Creates a fleet of `nodes` instances in `domains` failure domains of two
    /// regions, with no version in force.
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
            processes: Vec::new(),
            sums: routes.iter().map(|_| Sum::default()).collect(),
            routes,
            in_transit: Vec::new(),
            steps: 0,
            excess: (0, Time::ZERO),
            lent: 0,
            caps: VecDeque::new(),
        }
    }

    /// Commits a version with `slots` instances and the cap `cap` to the store,
    /// even if no process can read it.
    pub fn commit(&mut self, slots: usize, cap: u64) {
        let number = self.versions.len() as u64 + 1;
        let version = Version(number);
        let half = self.domains.div_ceil(2);
        let mut plan = Plan::new(2, &[]).shift(0, 1, cap).link(0, 1, cap);
        let entry = |slot: usize| (self.fleet.name(slot), slot % self.domains / half);
        plan.entries = (0..self.fleet.slots.len()).map(entry).collect();
        // Processes that the configuration does not name may still run.
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

    /// Advances virtual time.
    pub fn run(&mut self, span: Duration) {
        let end = self.fleet.now + span;
        while self.fleet.now < end {
            self.fleet.run(STEP_TIME);
            self.step();
        }
    }

    fn step(&mut self) {
        self.steps += 1;
        while self.processes.len() < self.fleet.nodes.len() {
            self.processes.push(Process {
                shares: Shares::new(self.guards),
                offset: Duration::from_micros(self.rng.u64(..1_000_000_000)),
                published: 0,
                version: Version(0),
                is_busy: true,
                is_hung: false,
                waiting: Vec::new(),
                taken_total: 0,
            });
        }
        self.deliver();
        for at in 0..self.processes.len() {
            if self.is_running(at) {
                self.apply_published(at);
                self.take_all(at);
            }
        }
        if self.steps.is_multiple_of(LOAN_REQUEST_STEPS) {
            for at in 0..self.processes.len() {
                self.request_loans(at);
            }
        }
        self.check();
    }

    /// Returns whether the traffic threads of a process run.
    fn is_running(&self, at: usize) -> bool {
        let node = &self.fleet.nodes[at];
        node.is_alive && (!node.is_frozen || self.processes[at].is_hung)
    }

    /// Clock of a process.
    fn local_time(&self, at: usize) -> Time {
        self.fleet.now + self.processes[at].offset
    }

    /// Applies what control published to the traffic threads.
    fn apply_published(&mut self, at: usize) {
        if self.processes[at].is_hung {
            return;
        }
        let now = self.local_time(at);
        let node = &self.fleet.nodes[at];
        let version = node.installs.last().map_or(Version(0), |f| f.1);
        let process = &mut self.processes[at];
        if version != process.version || node.publications != process.published {
            let found = self.versions.iter().find(|v| v.0 == version);
            if let Some((_, view, _)) = found {
                let view = visible_view(view, node);
                let name = self.fleet.name(node.slot);
                process.shares.configure(now, &view, &name);
            }
            process.version = version;
        }
        if node.publications != process.published {
            process.published = node.publications;
            let shown = node.snapshot.as_ref().expect("published");
            process
                .shares
                .set_slot_held(now, shown.share.divisor.is_some());
        }
    }

    fn take_all(&mut self, at: usize) {
        let now = self.local_time(at);
        let process = &mut self.processes[at];
        if !process.is_busy {
            return;
        }
        for (nth, route) in self.routes.iter().enumerate() {
            let amount = process.shares.take_up_to(now, route, u64::MAX);
            if amount > 0 {
                let sum = &mut self.sums[nth];
                sum.taken.push_back((self.fleet.now, amount));
                sum.current += amount;
                process.taken_total += if nth == 0 { amount } else { 0 };
            }
        }
    }

    /// Requests a loan from two other processes for each route.
    fn request_loans(&mut self, at: usize) {
        if !self.is_running(at) || !self.processes[at].is_busy {
            return;
        }
        let now = self.local_time(at);
        for route in self.routes.clone() {
            let request = self.processes[at].shares.request_loan(now, &route, 1, 2);
            let others: Vec<usize> = (0..self.processes.len()).filter(|&o| o != at).collect();
            let lenders = self.rng.choose_multiple(others, request.asked_at.len());
            for (to, asked) in lenders.into_iter().zip(request.asked_at) {
                let loan = Loan::Wanted {
                    from: at,
                    route: route.clone(),
                    amount: request.amount,
                    asked,
                };
                self.send(at, to, &loan);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, loan: &Loan) {
        let place = |at: usize| Place::Domain(self.fleet.nodes[at].domain);
        let slot = |at: usize| Place::Slot(self.fleet.nodes[at].slot);
        let joined = self.fleet.is_connected(place(from), place(to))
            && self.fleet.is_connected(slot(from), slot(to));
        if !joined || self.rng.f64() < self.net.loss {
            return;
        }
        let copies = 1 + usize::from(self.rng.f64() < self.net.duplicated);
        for _ in 0..copies {
            let max_micros = u64::try_from(self.net.delay.as_micros()).expect("short");
            let delay = Duration::from_micros(self.rng.u64(..=max_micros));
            self.in_transit
                .push((self.fleet.now + delay, to, loan.clone()));
        }
    }

    fn deliver(&mut self) {
        let now = self.fleet.now;
        let due: Vec<_> = self.in_transit.extract_if(.., |m| m.0 <= now).collect();
        for (_, to, loan) in due {
            if self.fleet.nodes[to].is_alive {
                self.processes[to].waiting.push(loan);
            }
        }
        for at in 0..self.processes.len() {
            if self.is_running(at) {
                for loan in core::mem::take(&mut self.processes[at].waiting) {
                    self.take_loan(at, loan);
                }
            }
        }
    }

    fn take_loan(&mut self, at: usize, loan: Loan) {
        let now = self.local_time(at);
        match loan {
            Loan::Wanted {
                from,
                route,
                amount,
                asked,
            } => {
                let amount = self.processes[at].shares.lend(now, &route, amount);
                self.lent += amount;
                if amount > 0 {
                    let loan = Loan::Lent {
                        route,
                        amount,
                        asked,
                    };
                    self.send(at, from, &loan);
                }
            }
            Loan::Lent {
                route,
                amount,
                asked,
            } => self.processes[at].shares.borrow(asked, &route, amount),
        }
    }

    /// Compares each sum with the largest cap that was in force at any live
    /// process within [`CAP_LINGER_TIME`].
    fn check(&mut self) {
        let now = self.fleet.now;
        let live = (0..self.processes.len()).filter(|&at| self.fleet.nodes[at].is_alive);
        let caps = live.filter_map(|at| {
            let version = self.processes[at].version;
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
                sum.current -= sum.taken.pop_front().map_or(0, |t| t.1);
            }
            sum.peak = sum.peak.max(sum.current);
            let excess = sum.current.saturating_sub(cap);
            if excess > self.excess.0 {
                self.excess = (excess, now);
            }
        }
    }

    /// Use of the first route within the last second.
    pub fn sum(&self) -> u64 {
        self.sums[0].current
    }

    /// Runs for 2.5 s and returns the highest use of the first route in a second.
    pub fn peak_rate(&mut self) -> u64 {
        let mut peak = 0;
        for _ in 0..250 {
            self.run(STEP_TIME);
            peak = peak.max(self.sum());
        }
        peak
    }

    /// Highest use of the first route in a second so far.
    pub fn peak(&self) -> u64 {
        self.sums[0].peak
    }

    /// Total amount lent so far on all routes.
    pub const fn lent_total(&self) -> u64 {
        self.lent
    }

    /// Index of the newest process of a name.
    pub fn index_of(&self, name: &str) -> usize {
        self.fleet.slots[self.fleet.slot(name)]
    }

    /// Sets whether a process uses all that its limit allows.
    pub fn set_busy(&mut self, at: usize, is_busy: bool) {
        self.processes[at].is_busy = is_busy;
    }

    /// Makes a process's control hang while its traffic continues.
    pub fn hang_control(&mut self, at: usize) {
        self.fleet.freeze(at);
        self.processes[at].is_hung = true;
    }

    /// Resumes a process or its control.
    pub fn wake(&mut self, at: usize) {
        self.processes[at].is_hung = false;
        if self.fleet.nodes[at].is_frozen {
            self.fleet.thaw(at);
        }
    }

    /// Use of the first route by a process since it started.
    pub fn taken_by(&self, at: usize) -> u64 {
        self.processes[at].taken_total
    }

    /// Number of processes started so far.
    pub fn started(&self) -> usize {
        self.processes.len()
    }
}
