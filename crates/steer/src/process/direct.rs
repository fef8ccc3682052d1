//! Steering straight to targets: any instance sends to any target that it
//! knows of, without a hop by a peer.
//!
//! Requests wait here and not at the targets, so that a more urgent one can
//! still go first and one that can't be answered in time is rejected at once.
//!
//! Invariants: a request that isn't idempotent is sent again only if it
//! certainly hasn't run; "not run" is only said of a request that never ran and
//! will not be sent any more; no request goes to more targets than its route
//! allows, nor to a target that leaves or whose domain is evacuated.

pub mod budget;
pub mod learn;
pub mod members;
pub mod pace;
pub mod place;
pub mod roster;
pub mod split;

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use crate::clock::Time;
use crate::request::arrival::Fingerprint;
use crate::request::poison::{STRIKES, Suspects};
use crate::version::routes::{Route, Routes};

use budget::{Budget, Rule};
use learn::Learnt;
use members::{Beat, Members, Row};
use pace::Pace;
use roster::Roster;
use split::Splits;

/// Bounds that the settings give.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// On repeats.
    pub repeats: Rule,
    /// A cold target gets this times its own rate in any second ...
    pub cold_factor: f64,
    /// ... plus this, from all instances together.
    pub cold_slack: f64,
    /// Largest change of the share of a region's requests that run elsewhere.
    pub shift: f64,
}

/// Who this instance is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Home {
    /// Its name.
    pub name: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Tells this process from earlier ones of its name.
    pub life: u64,
    /// Where it is reached.
    pub row: Row,
}

/// Names a request for as long as it is here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// A request that asks for a target.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its route.
    pub route: Arc<Route>,
    /// The object it concerns, if it says so.
    pub object: Option<u64>,
    /// When its caller stops waiting.
    pub deadline: Time,
    /// Equal for a repeat of the same request by the same caller.
    pub print: Fingerprint,
}

/// Why a request is given up. But for [`Why::Doubt`] it has not run and will
/// not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// No target of its service is known.
    NoTarget,
    /// It can't be answered in time.
    Overload,
    /// It crashes the targets that run it.
    Poison,
    /// It may have run at a target that gave no whole answer.
    Doubt,
}

/// A request is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Go {
    /// The request.
    pub ticket: Ticket,
    /// Name of the target.
    pub target: Arc<str>,
    /// Its address.
    pub addr: SocketAddr,
    /// Which of the request's attempts this is, from 1.
    pub attempt: usize,
    /// Seconds of work expected.
    pub work: f64,
    /// Whether the target is known to have handled the object lately.
    pub warm: bool,
    /// Requests believed to be at the target.
    pub load: f64,
}

/// What is to be done now.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Send.
    Go(Go),
    /// Reject; the caller may come back after the given time.
    Reject {
        /// The request.
        ticket: Ticket,
        /// Why.
        why: Why,
        /// When to come back.
        after: Duration,
    },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A whole answer that goes to the caller.
    Answered,
    /// A whole answer that says that the target failed.
    Failed,
    /// The target says that it didn't run it.
    NotRun,
    /// Another target has the address.
    Elsewhere,
    /// Nothing was sent.
    Unreached,
    /// The connection broke after something was sent.
    Broken,
    /// What came back isn't the answer to this request.
    Garbled,
    /// No answer in time.
    Late,
}

/// What follows from an ending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The request is settled: hand on what the target said, or say that its
    /// fate isn't known.
    Settled,
    /// It waits for another target.
    Again,
    /// It has not run and is not tried again.
    Reject {
        /// When the caller may come back.
        after: Duration,
    },
}

#[derive(Clone, Debug)]
enum State {
    Waiting,
    At {
        target: Arc<str>,
        since: Time,
        expected: f64,
        warm: bool,
        queued: bool,
    },
}

/// One request.
#[derive(Clone, Debug)]
struct Job {
    ticket: Ticket,
    ask: Ask,
    service: Arc<str>,
    arrived: Time,
    /// End of the time that caller and operator allow.
    limit: Time,
    tried: Vec<Arc<str>>,
    /// Whether an attempt may have run it.
    may_have_run: bool,
    /// Strikes against it when it was sent last.
    strikes: u8,
    /// Whether it is to run in another region, once that is decided.
    elsewhere: Option<bool>,
    state: State,
}

impl Job {
    /// Why it is given up: whatever keeps it from being sent again, a request
    /// that may have run must not be called "not run".
    const fn why(&self, why: Why) -> Why {
        if self.may_have_run { Why::Doubt } else { why }
    }

    fn objective(&self) -> Time {
        self.arrived + self.ask.route.goal
    }
}

/// How this instance stands to the platform's store.
#[derive(Clone, Copy, Debug, Default)]
struct Touch {
    /// Revision up to which everything is known.
    revision: u64,
    /// Last answer.
    seen: Option<Time>,
    /// When it answered again after a time out of touch.
    back: Option<Time>,
}

/// Time without an answer of the store after which it counts as out of touch.
/// A watch that waits without changes answers more often than that.
const TOUCH: Duration = Duration::from_secs(4);

/// Time without an answer after which entries may have lapsed meanwhile.
const LAPSE: Duration = Duration::from_millis(2600);

/// Time in which entries that lapsed while the store was away come back, by the
/// platform's word "about two seconds"; still missing then, they are gone.
const RETURN: Duration = Duration::from_millis(2200);

/// Steering of one instance.
#[derive(Debug)]
pub struct Direct {
    home: Home,
    bounds: Bounds,
    routes: Option<Arc<Routes>>,
    /// Targets.
    pub roster: Roster,
    learnt: Learnt,
    splits: Splits,
    budgets: Vec<(Arc<str>, Budget)>,
    paces: Vec<(Arc<str>, Pace)>,
    members: Members,
    store: Touch,
    leaving: bool,
    suspects: Suspects,
    /// Objects that targets have come to hold since the last heartbeat.
    news: Vec<(u32, u32)>,
    /// How far heartbeats have told all that targets hold.
    told: usize,
    beats: u64,
    instances: usize,
    jobs: Vec<Job>,
    next: u64,
}

/// Share of a request's latency objective for which it may be held before it is
/// rejected. Later rejections leave the caller too little time to come back.
const HOLD: f64 = 0.125;

/// How much longer than estimated a wait may get: a request is only taken in
/// if it would be answered in time even so.
const DOUBT: f64 = 1.5;

/// Shortest and longest time after which a rejected caller is told to return.
const AFTER_LEAST: Duration = Duration::from_millis(150);
const AFTER_MOST: Duration = Duration::from_secs(2);

/// Objects at targets that one heartbeat tells of as news ...
const HELD_MOST: usize = 32;
/// ... and in turn when there are none: all that a small region's targets hold
/// within a few seconds.
const HELD_TURN: usize = 12;

/// Time for which heartbeats tell of a request that broke a target.
const TOLD: Duration = Duration::from_secs(5);

/// Time kept free at the end of a request's limit to write its last answer.
const SPARE: Duration = Duration::from_millis(30);

impl Direct {
    /// Nothing known yet.
    #[must_use]
    pub fn new(home: Home, bounds: Bounds, domains: Vec<(Arc<str>, Arc<str>)>) -> Self {
        Self {
            home,
            bounds,
            routes: None,
            roster: Roster::new(domains),
            learnt: Learnt::default(),
            splits: Splits::default(),
            budgets: Vec::new(),
            paces: Vec::new(),
            members: Members::default(),
            store: Touch::default(),
            leaving: false,
            suspects: Suspects::default(),
            news: Vec::new(),
            told: 0,
            beats: 0,
            instances: 1,
            jobs: Vec::new(),
            next: 1,
        }
    }

    /// Takes a version of the configuration. An older one is passed over:
    /// versions only rise.
    pub fn install(&mut self, routes: Arc<Routes>) -> bool {
        let newer = self
            .routes
            .as_ref()
            .is_none_or(|known| known.version < routes.version);
        if newer {
            self.routes = Some(routes);
        }
        newer
    }

    /// The configuration in force.
    #[must_use]
    pub fn routes(&self) -> Option<&Arc<Routes>> {
        self.routes.as_ref()
    }

    /// Sets the domains that must get nothing; see [`Roster::evacuate`].
    pub fn evacuate(&mut self, now: Time, domains: Vec<Arc<str>>) {
        let warmups = self.routes.iter().flat_map(|r| r.services());
        let warmup = warmups.map(|s| s.warmup).max().unwrap_or_default();
        self.roster.evacuate(now, domains, warmup);
    }

    /// The store has answered and everything up to `revision` is known.
    pub fn in_touch(&mut self, now: Time, revision: u64) {
        let away = self.store.seen.is_some_and(|at| now.since(at) > LAPSE);
        if away {
            self.store.back = Some(now);
        }
        self.store.seen = Some(now);
        self.store.revision = self.store.revision.max(revision);
    }

    /// Another instance has told everything up to `revision`.
    pub fn told(&mut self, revision: u64) {
        self.store.revision = self.store.revision.max(revision);
    }

    /// Revision up to which everything is known.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.store.revision
    }

    /// Whether the store has answered lately.
    #[must_use]
    pub fn is_in_touch(&self, now: Time) -> bool {
        self.store.seen.is_some_and(|at| now.since(at) < TOUCH)
    }

    /// A target is no longer listed. Says whether it is dropped at once.
    pub fn unlist(&mut self, now: Time, id: &str) -> bool {
        match self.store.back {
            Some(back) if now.since(back) < RETURN => {
                self.roster.miss(id, back + RETURN);
                false
            }
            _ => self.roster.remove(id),
        }
    }

    /// Another instance is listed in the store, or no longer.
    pub fn member(&mut self, now: Time, name: &str, row: Option<Row>) {
        if *name == *self.home.name {
            return;
        }
        match row {
            Some(row) => self.members.list(name, row),
            None => self.members.unlist(name),
        }
        self.recount(now);
    }

    /// Only these other instances are listed in the store.
    pub fn members_only(&mut self, now: Time, names: &[&str]) {
        self.members.list_only(names);
        self.recount(now);
    }

    /// Takes another instance's heartbeat.
    pub fn hear(&mut self, now: Time, beat: Beat) {
        for (print, strikes) in &beat.struck {
            self.suspects.told(now, Fingerprint(*print), *strikes);
        }
        for (mark, object) in &beat.held {
            self.roster.told_held(now, *mark, *object);
        }
        self.members.hear(now, beat);
        self.roster.hear(now, &self.members);
        self.recount(now);
    }

    /// The process was told to stop; heartbeats say so from now on.
    pub const fn stop(&mut self) {
        self.leaving = true;
    }

    /// This instance's heartbeat; with its row for those who may not know it.
    pub fn beat(&mut self, now: Time, row: bool) -> Beat {
        self.beats += 1;
        let held = self.held(now);
        let struck = self.suspects.lately(now, TOLD);
        Beat {
            name: Arc::clone(&self.home.name),
            life: self.home.life,
            seq: self.beats,
            leaving: self.leaving,
            revision: self.store.revision,
            version: self.routes.as_ref().map_or(0, |r| r.version),
            row: row.then(|| self.home.row.clone()),
            held,
            struck: struck.map(|c| (c.print.0, c.strikes)).collect(),
            flying: self.roster.flying(),
        }
    }

    /// What heartbeats tell of objects at targets: the news, and a part of all
    /// that is known, in turn, for instances that have just started.
    fn held(&mut self, now: Time) -> Vec<(u32, u32)> {
        let mut held = core::mem::take(&mut self.news);
        let all = self.roster.held(now, &self.home.region);
        held.truncate(HELD_MOST);
        if !held.is_empty() {
            return held;
        }
        let room = HELD_TURN.min(all.len());
        let turn = all.iter().cycle().skip(self.told % all.len().max(1));
        held.extend(turn.take(room));
        self.told = self.told.wrapping_add(room);
        held
    }

    /// Other instances that are there, with where they are reached.
    pub fn others(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, &Row)> {
        self.members.present(now, self.is_in_touch(now))
    }

    /// Where to ask for what this instance has missed, if another knows more.
    #[must_use]
    pub fn ahead(&self, now: Time) -> Option<SocketAddr> {
        let version = self.routes.as_ref().map_or(0, |r| r.version);
        self.members.ahead(now, self.store.revision, version)
    }

    /// Forgets what is gone. Names targets that were missing and are dropped.
    pub fn sweep(&mut self, now: Time) -> Vec<Arc<str>> {
        self.suspects.forget(now);
        self.members.sweep(now);
        self.roster.hear(now, &self.members);
        self.recount(now);
        self.roster.sweep(now)
    }

    /// Counts the instances that share what is bounded as a sum.
    fn recount(&mut self, now: Time) {
        self.instances = 1 + self.members.present(now, true).count();
    }

    /// Requests that are here.
    #[must_use]
    pub fn count(&self) -> usize {
        self.jobs.len()
    }

    /// The share of each service's requests that runs in other regions.
    #[must_use]
    pub fn elsewhere(&self) -> Vec<(Arc<str>, f64)> {
        let share = |p: &(Arc<str>, Pace)| (Arc::clone(&p.0), p.1.share());
        self.paces.iter().map(share).collect()
    }

    /// Requests that wait for a target.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let waiting = |j: &&Job| matches!(j.state, State::Waiting);
        self.jobs.iter().filter(waiting).count()
    }

    /// A request has arrived; [`Direct::step`] says what becomes of it.
    ///
    /// # Errors
    /// If its route has no service, or it has crashed targets before.
    pub fn arrive(&mut self, now: Time, ask: Ask) -> Result<Ticket, Why> {
        if self.suspects.strikes(ask.print) >= STRIKES {
            return Err(Why::Poison);
        }
        let offset = unit(hash(self.home.name.as_bytes()));
        let service = self.splits.next(&ask.route, offset).ok_or(Why::NoTarget)?;
        let rule = self.bounds.repeats;
        self.budget(&service).request(now, &rule);
        let ticket = Ticket(self.next);
        self.next += 1;
        let limit = (ask.deadline - SPARE).min(now + ask.route.timeout);
        self.jobs.push(Job {
            ticket,
            ask,
            service,
            arrived: now,
            limit,
            tried: Vec::new(),
            may_have_run: false,
            strikes: 0,
            elsewhere: None,
            state: State::Waiting,
        });
        Ok(ticket)
    }

    /// The end of the time that caller and operator allow a request.
    #[must_use]
    pub fn limit(&self, ticket: Ticket) -> Option<Time> {
        self.find(ticket).ok().map(|at| self.jobs[at].limit)
    }

    /// The caller has left, or the request's time is over.
    pub fn leave(&mut self, ticket: Ticket) {
        let Ok(at) = self.find(ticket) else { return };
        let job = self.jobs.remove(at);
        if let State::At { target, .. } = job.state {
            self.landed(&target);
        }
    }

    /// An attempt has ended.
    pub fn ended(&mut self, now: Time, ticket: Ticket, ending: Ending) -> Next {
        let Ok(at) = self.find(ticket) else {
            return Next::Settled;
        };
        let State::At {
            target,
            since,
            expected,
            warm,
            queued,
        } = core::mem::replace(&mut self.jobs[at].state, State::Waiting)
        else {
            return Next::Settled;
        };
        self.landed(&target);
        self.judge(now, &self.jobs[at].clone(), &target, since, ending);
        let took = now.since(since).as_secs_f64();
        let object = self.jobs[at].ask.object;
        if let Some(target) = self.roster.get_mut(&target) {
            match ending {
                Ending::Answered => {
                    let ratio = (!queued).then_some(took / expected.max(0.001));
                    target.answered(ratio);
                    if let Some(object) = object
                        && target.handled(now, mark_of(object), true)
                    {
                        let mark = members::mark(&target.entry.id);
                        self.news.push((mark, mark_of(object)));
                    }
                }
                Ending::Failed | Ending::NotRun | Ending::Garbled | Ending::Late => {
                    target.failed();
                }
                Ending::Elsewhere | Ending::Unreached | Ending::Broken => target.unreached(now),
            }
        }
        if ending == Ending::Answered {
            if !queued {
                let job = &self.jobs[at];
                self.learnt
                    .add(&job.service, &job.ask.route.name, warm, took);
            }
            self.jobs.remove(at);
            return Next::Settled;
        }
        self.after_failure(now, at, ending)
    }

    /// What an ending says for or against the request itself: one that crashes
    /// its targets comes again and again, at any instance.
    fn judge(&mut self, now: Time, job: &Job, target: &Arc<str>, since: Time, ending: Ending) {
        let print = job.ask.print;
        match ending {
            Ending::Broken => {
                self.suspects.strike(now, job.strikes, print, target);
            }
            Ending::Answered if !self.suspects.is_empty() => {
                self.suspects.clear(print);
                // What follows is told by the next heartbeats.
                self.suspects.survived(target, since, &mut Vec::new());
            }
            _ => {}
        }
    }

    /// Whether a request whose attempt failed is tried elsewhere.
    fn after_failure(&mut self, now: Time, at: usize, ending: Ending) -> Next {
        let not_run = matches!(
            ending,
            Ending::NotRun | Ending::Elsewhere | Ending::Unreached
        );
        let job = &mut self.jobs[at];
        job.may_have_run |= !not_run;
        let crashes = self.suspects.strikes(job.ask.print) >= STRIKES;
        let again = !crashes && (!job.may_have_run || job.ask.route.idempotent);
        let left = job.tried.len() < job.ask.route.attempts.max(1);
        let time = now + SPARE < job.limit;
        let service = Arc::clone(&job.service);
        let may_have_run = job.may_have_run;
        let arrived = ending != Ending::Unreached;
        let rule = self.bounds.repeats;
        let instances = self.instances;
        // What never arrived costs no target anything, and the budget counts
        // arrivals only. It is counted all the same: a connection that was
        // refused here may have been taken elsewhere.
        let leave = !arrived || self.budget(&service).spend(now, &rule, instances);
        if again && left && time && leave {
            return Next::Again;
        }
        let job = self.jobs.remove(at);
        if may_have_run {
            return Next::Settled;
        }
        Next::Reject {
            after: Self::after(&job, 0.0),
        }
    }

    /// Decides on everything that waits. To be called after each event, and at
    /// the latest after [`TICK`] while something waits.
    pub fn step(&mut self, now: Time) -> Vec<Order> {
        let mut order: Vec<(u32, bool, Time, Ticket)> = Vec::new();
        for job in &self.jobs {
            if matches!(job.state, State::Waiting) {
                let late = now > job.objective();
                let rank = (job.ask.route.priority, late, job.objective(), job.ticket);
                order.push(rank);
            }
        }
        if order.is_empty() {
            return Vec::new();
        }
        order.sort_unstable();
        for target in self.roster.all_mut() {
            target.reserved = 0;
        }
        let mut orders = Vec::new();
        for (_, _, _, ticket) in order {
            if let Some(decided) = self.decide(now, ticket) {
                orders.push(decided);
            }
        }
        orders
    }

    fn decide(&mut self, now: Time, ticket: Ticket) -> Option<Order> {
        let at = self.find(ticket).ok()?;
        if self.jobs[at].elsewhere.is_none() {
            self.choose_side(now, at);
        }
        let Some(best) = self.place(now, &self.jobs[at]) else {
            return self.without_place(now, at);
        };
        let job = &self.jobs[at];
        if best.open {
            return Some(Order::Go(self.send(now, at, &best)));
        }
        let held = now.since(job.arrived).as_secs_f64();
        let goal = job.ask.route.goal.as_secs_f64();
        let finish = now + Duration::from_secs_f64(best.cost);
        let hopeless = finish + SPARE > job.limit;
        let far_off = now + Duration::from_secs_f64(best.cost * DOUBT) > job.limit;
        if hopeless || (far_off && held <= goal * HOLD) {
            let job = self.jobs.remove(at);
            let after = Self::after(&job, best.wait);
            let why = job.why(Why::Overload);
            return Some(Order::Reject { ticket, why, after });
        }
        self.roster.all_mut()[best.index].reserved += 1;
        None
    }

    /// No target can be used now.
    fn without_place(&mut self, now: Time, at: usize) -> Option<Order> {
        let job = &self.jobs[at];
        let goal = job.ask.route.goal.mul_f64(HOLD);
        // One that was sent already, or has just come, waits for a target that
        // is only set aside for a moment.
        if now < job.arrived + goal && now + SPARE < job.limit {
            return None;
        }
        let job = self.jobs.remove(at);
        let why = job.why(Why::NoTarget);
        let after = Self::after(&job, 0.0);
        Some(Order::Reject {
            ticket: job.ticket,
            why,
            after,
        })
    }

    fn send(&mut self, now: Time, at: usize, best: &place::Place) -> Go {
        let target = &mut self.roster.all_mut()[best.index];
        let load = target.load(now, FADE);
        let queued = load >= f64::from(target.entry.slots);
        target.sent(now);
        let id = Arc::clone(&target.entry.id);
        let addr = target.entry.addr;
        let job = &mut self.jobs[at];
        job.strikes = self.suspects.strikes(job.ask.print);
        job.tried.push(Arc::clone(&id));
        job.state = State::At {
            target: Arc::clone(&id),
            since: now,
            expected: best.work,
            warm: best.warm,
            queued,
        };
        Go {
            ticket: job.ticket,
            target: id,
            addr,
            attempt: job.tried.len(),
            work: best.work,
            warm: best.warm,
            load,
        }
    }

    /// When a rejected caller may come back: once the queue ahead of it is
    /// done. The spread keeps callers rejected together from returning so.
    fn after(job: &Job, wait: f64) -> Duration {
        let spread = unit(job.ticket.0.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let goal = job.ask.route.goal.as_secs_f64();
        let seconds = wait.max(goal * 0.2) * (0.75 + spread * 0.75);
        Duration::from_secs_f64(seconds).clamp(AFTER_LEAST, AFTER_MOST)
    }

    fn landed(&mut self, target: &str) {
        if let Some(target) = self.roster.get_mut(target) {
            target.flying = target.flying.saturating_sub(1);
        }
    }

    /// Decides in which region a request is to run.
    fn choose_side(&mut self, now: Time, at: usize) {
        let (wish, lean) = self.wish(now, &self.jobs[at]);
        let service = Arc::clone(&self.jobs[at].service);
        let side = wish.is_some_and(|wish| {
            let share = self.lacking(&service);
            let bound = self.bounds.shift;
            let paces = &mut self.paces;
            let at = match paces.binary_search_by(|p| p.0.cmp(&service)) {
                Ok(at) => at,
                Err(at) => {
                    paces.insert(at, (service, Pace::new(bound, share)));
                    at
                }
            };
            paces[at].1.next(now, wish, lean)
        });
        self.jobs[at].elsewhere = Some(side);
    }

    fn budget(&mut self, service: &Arc<str>) -> &mut Budget {
        let at = match self.budgets.binary_search_by(|b| b.0.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                self.budgets
                    .insert(at, (Arc::clone(service), Budget::default()));
                at
            }
        };
        &mut self.budgets[at].1
    }

    fn find(&self, ticket: Ticket) -> Result<usize, usize> {
        self.jobs.binary_search_by_key(&ticket, |j| j.ticket)
    }
}

/// Time after which a target's report of others' requests has faded.
const FADE: Duration = Duration::from_millis(400);

/// Longest time between two calls of [`Direct::step`] while something waits.
pub const TICK: Duration = Duration::from_millis(25);

/// FNV-1a, for spreading only.
#[must_use]
pub fn hash(bytes: &[u8]) -> u64 {
    let mixed = bytes.iter().fold(0xCBF2_9CE4_8422_2325_u64, |h, b| {
        (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01B3)
    });
    // The last bytes reach the high bits only by this.
    (mixed ^ (mixed >> 32)).wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

/// A part of an object's hash, by which targets' objects are remembered.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    reason = "a mark is a part of the hash"
)]
pub const fn mark_of(object: u64) -> u32 {
    (object >> 32) as u32
}

/// A hash as a number from 0 to 1.
#[must_use]
pub fn unit(hash: u64) -> f64 {
    #[allow(clippy::cast_precision_loss, reason = "53 bits are kept")]
    let top = (hash >> 11) as f64;
    top / 9_007_199_254_740_992.0
}
