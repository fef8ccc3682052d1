//! Runs one seed: instances, store, targets, and faults at random times.
//!
//! Invariant: a seed determines the sequence of faults. Which requests they hit depends
//! on the machine's timing, so a failed seed is run more than once.

mod instances;
mod operator;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;
use platform_standin::store::Mode;
use platform_standin::target::Behavior;
use platform_standin::{Store, Target};
use rustix::process::Signal;
use serde_json::json;

use super::budget;
use super::callers;
use super::crashes;
use super::harness::{Entry, HOST, MS, ROUTES, wait_until};
use super::invariants::Report;
use super::links::Links;
use super::news::{self, Side};
use super::proxy::{Fault, Proxy};
use super::requests::{self, Process};
use super::store_faults::{Step, StoreFaults};

/// Failure domain of each instance.
const ENTRY_DOMAINS: [&str; 3] = ["near-a", "near-b", "far-a"];

/// Number of targets at the start, distributed over the domains.
const TARGET_COUNT: usize = 6;

/// Number of targets at most.
const TARGETS_MAX: usize = TARGET_COUNT * 2;

/// Minimum and maximum time between faults, in ms. Most faults last longer, so they
/// overlap.
const PAUSE_MS: (u64, u64) = (30, 200);

/// Minimum and maximum duration of a fault, in ms.
const FAULT_MS: (u64, u64) = (100, 1_500);

/// Recovery from a fault.
enum Recovery {
    Wake(usize),
    Restart(usize),
    Store,
    TargetProxy(usize),
    StoreProxy(usize),
    Target(usize),
    /// A target that announces its stop is listed as draining.
    Drain(usize),
    Domain(usize),
}

/// Starts a target and its proxy.
fn start_target(number: usize) -> (Target, Proxy) {
    let domain = ENTRY_DOMAINS[domain_of(number)];
    let target = Target::start(&format!("t{number}"), "sheets", domain).expect("a port is free");
    target.set(Behavior::Normal, 20 * MS);
    target.crash_on(callers::CRASHING);
    let proxy = Proxy::start(target.addr());
    (target, proxy)
}

/// Number of the failure domain of a target.
pub fn domain_of(target: usize) -> usize {
    target % ENTRY_DOMAINS.len()
}

struct Cluster {
    rng: Rng,
    /// Rule on second attempts.
    retries: budget::Rule,
    store: Store,
    /// Proxy between each instance and the store.
    store_proxies: Vec<Proxy>,
    targets: Vec<Target>,
    /// Proxy between the instances and each target.
    target_proxies: Vec<Proxy>,
    /// Targets that are not listed yet, with their proxies; the next one last.
    spare: Vec<(Target, Proxy)>,
    /// Links of each instance to the proxies.
    links: Links,
    entries: Vec<Option<Entry>>,
    /// Instances that have got SIGTERM.
    leaving: Vec<Entry>,
    /// Records of all processes, those that were killed included.
    processes: Vec<Process>,
    /// Process of each instance, as an index.
    running: Vec<usize>,
    /// Indices of the instances that have got SIGSTOP.
    frozen: Vec<usize>,
    recoveries: Vec<(Instant, Recovery)>,
    version: u64,
    faults: usize,
    news: news::Record,
    store_faults: StoreFaults,
    /// Number of the last report of each target.
    reports: Vec<u64>,
    /// Whether the configuration has the route that comes and goes.
    has_added: bool,
    failures: Vec<String>,
}

/// Runs one seed with faults for `span`, then recovers and stops everything.
pub fn run(seed: u64, span: Duration) -> Report {
    let mut cluster = Cluster::start(seed);
    let (callers, threads) = callers::start(seed);
    let publish = |cluster: &Cluster| {
        *callers.addrs.lock().expect("the lock is not poisoned") = cluster.addrs();
    };
    publish(&cluster);
    let until = Instant::now() + span;
    while Instant::now() < until {
        let pause = cluster.rng.u64(PAUSE_MS.0..PAUSE_MS.1);
        thread::sleep(Duration::from_millis(pause));
        cluster.recover_due(Instant::now());
        cluster.inject_fault();
        cluster.faults += cluster.links.step();
        cluster.inject_store_fault();
        publish(&cluster);
    }
    cluster.recover_all();
    publish(&cluster);
    cluster.await_serving();
    let exchanges = callers::stop(&callers, threads);
    cluster.stop(exchanges)
}

/// Runs one seed with news of the store and faults of the store for `span`, after all
/// instances have been in touch with it for a while; no instance ends or freezes.
pub fn run_news(seed: u64, span: Duration) -> Report {
    let mut cluster = Cluster::start(seed);
    let (callers, threads) = callers::start(seed);
    *callers.addrs.lock().expect("the lock is not poisoned") = cluster.addrs();
    thread::sleep(news::START);
    let until = Instant::now() + span;
    while Instant::now() < until {
        let pause = cluster.rng.u64(PAUSE_MS.0..PAUSE_MS.1);
        thread::sleep(Duration::from_millis(pause));
        cluster.recover_due(Instant::now());
        cluster.inject_news();
        cluster.inject_store_fault();
    }
    cluster.recover_all();
    cluster.await_serving();
    let exchanges = callers::stop(&callers, threads);
    cluster.stop(exchanges)
}

impl Cluster {
    fn start(seed: u64) -> Self {
        let store = Store::start().expect("a port is free");
        store.configure(1, HOST, &ROUTES);
        let spare: Vec<(Target, Proxy)> = (0..TARGETS_MAX).rev().map(start_target).collect();
        let target_addrs: Vec<SocketAddr> = spare.iter().rev().map(|s| s.1.addr).collect();
        let mut cluster = Self {
            links: Links::open(seed, ENTRY_DOMAINS.len(), &target_addrs),
            spare,
            rng: Rng::with_seed(seed),
            retries: budget::Rule::of(seed),
            store_proxies: ENTRY_DOMAINS
                .iter()
                .map(|_| Proxy::start(store.addr()))
                .collect(),
            store,
            targets: Vec::new(),
            target_proxies: Vec::new(),
            entries: Vec::new(),
            leaving: Vec::new(),
            processes: Vec::new(),
            running: vec![0; ENTRY_DOMAINS.len()],
            frozen: Vec::new(),
            recoveries: Vec::new(),
            version: 1,
            faults: 0,
            news: news::Record::default(),
            store_faults: StoreFaults::new(seed),
            reports: Vec::new(),
            has_added: false,
            failures: Vec::new(),
        };
        for _ in 0..TARGET_COUNT {
            cluster.add_target();
        }
        for number in 0..ENTRY_DOMAINS.len() {
            let entry = cluster.start_entry(number);
            cluster.entries.push(Some(entry));
        }
        for entry in cluster.entries.iter().flatten() {
            entry.await_ready();
        }
        cluster
    }

    fn addrs(&self) -> Vec<SocketAddr> {
        self.entries.iter().flatten().map(|e| e.callers).collect()
    }

    fn add_target(&mut self) {
        let number = self.targets.len();
        let (target, proxy) = self.spare.pop().expect("as many as may be added");
        self.target_proxies.push(proxy);
        self.targets.push(target);
        self.reports.push(0);
        self.report(number, "ready");
    }

    /// Lets a target report to the store.
    fn report(&mut self, number: usize, state: &str) {
        self.reports[number] += 1;
        self.list(number, state, self.reports[number]);
    }

    /// Registers a target in the store, with the address of its proxy.
    fn list(&self, number: usize, state: &str, seq: u64) {
        let entry = self.entry(number, state, seq);
        self.store.write(&format!("servers/t{number}"), &entry);
    }

    fn entry(&self, number: usize, state: &str, seq: u64) -> serde_json::Value {
        json!({
            "address": self.target_proxies[number].addr, "born": 1_764_700_000_000_u64,
            "info": { "service": "sheets", "version": "v1",
                      "zone": ENTRY_DOMAINS[domain_of(number)], "slots": 3 },
            "status": { "state": state, "seq": seq, "warmup_left_s": 0 },
        })
    }

    fn inject_fault(&mut self) {
        self.faults += 1;
        let entry = self.rng.usize(0..ENTRY_DOMAINS.len());
        let target = self.rng.usize(0..self.targets.len());
        match self.rng.u8(0..18) {
            0 => self.kill(entry),
            1 => self.freeze(entry),
            2 => self.terminate(entry),
            3 => self.send_hangup(entry),
            4 => {
                let mode = [Mode::Busy, Mode::Silent][self.rng.usize(0..2)];
                self.store.set(mode);
                self.news.begin(Side::Store);
                self.schedule(Recovery::Store);
            }
            5 => self.store.compact(),
            6 => {
                let fault = self.random_fault();
                self.store_proxies[entry].set(fault);
                self.news.begin(Side::Instance(entry));
                self.schedule(Recovery::StoreProxy(entry));
            }
            7 | 8 => {
                let fault = self.random_fault();
                self.target_proxies[target].set(fault);
                self.news.begin(Side::Target(target));
                self.schedule(Recovery::TargetProxy(target));
            }
            9..=13 => self.set_target_faults(target),
            14 => self.evacuate(entry),
            15 => self.ask_backoff(target),
            16 => self.announce_stop(target),
            _ => self.change_config(),
        }
    }

    /// Lets the operator or a target write news, or keeps one instance from the store.
    fn inject_news(&mut self) {
        self.faults += 1;
        let entry = self.rng.usize(0..ENTRY_DOMAINS.len());
        match self.rng.u8(0..12) {
            0 => self.evacuate(entry),
            1 => self.store.compact(),
            2 => {
                let fault = self.random_fault();
                self.store_proxies[entry].set(fault);
                self.news.begin(Side::Instance(entry));
                self.schedule(Recovery::StoreProxy(entry));
            }
            3..=5 => self.change_config(),
            _ => {}
        }
    }

    fn inject_store_fault(&mut self) {
        if self.store_faults.step(&self.store) == Step::Flood {
            self.faults += 1;
            self.flood();
        }
    }

    fn random_fault(&mut self) -> Fault {
        let delay = Fault::Delay(Duration::from_millis(self.rng.u64(1..60)));
        [delay, Fault::Cut, Fault::OneWay, Fault::Silence][self.rng.usize(0..4)]
    }

    fn schedule(&mut self, recovery: Recovery) {
        let span = self.fault_span();
        self.recoveries.push((Instant::now() + span, recovery));
    }

    fn fault_span(&mut self) -> Duration {
        Duration::from_millis(self.rng.u64(FAULT_MS.0..FAULT_MS.1))
    }

    fn set_target_faults(&mut self, number: usize) {
        let behaviors = [
            Behavior::Normal,
            Behavior::Full,
            Behavior::LoseAnswer,
            Behavior::LoseAnswer,
            Behavior::Fail,
            Behavior::Unavailable,
            Behavior::ExtraAnswer,
            Behavior::Truncate,
            Behavior::Unframed,
        ];
        let behavior = behaviors[self.rng.usize(0..behaviors.len())];
        let work_time = Duration::from_millis(self.rng.u64(1..400));
        self.targets[number].set(behavior, work_time);
        self.schedule(Recovery::Target(number));
        // Half the time all targets fail, so that a retry fails as well.
        if self.rng.bool() {
            for other in 0..self.targets.len() {
                self.targets[other].set(behavior, work_time);
                self.schedule(Recovery::Target(other));
            }
        }
    }

    /// Lets a target, or all of them, turn requests away and ask for a backoff, which may
    /// last longer than that.
    fn ask_backoff(&mut self, number: usize) {
        let behavior = [Behavior::Full, Behavior::Unavailable][self.rng.usize(0..2)];
        let seconds = ["0.6", "1.5", "3"][self.rng.usize(0..3)];
        let all = 0..self.targets.len();
        let targets = if self.rng.u8(0..4) == 0 {
            all
        } else {
            number..number + 1
        };
        for number in targets {
            self.targets[number].set(behavior, 20 * MS);
            self.targets[number].ask_backoff(Some(seconds));
            self.schedule(Recovery::Target(number));
        }
    }

    /// Lets a target announce its stop in its answers, some time before the store lists it
    /// as draining, and adds another.
    fn announce_stop(&mut self, number: usize) {
        if self.targets.len() < TARGETS_MAX {
            self.targets[number].announce_leaving(Some("1"));
            self.schedule(Recovery::Drain(number));
            self.add_target();
        }
    }

    /// Ends the faults that are due at `now`.
    fn recover_due(&mut self, now: Instant) {
        let recoveries = std::mem::take(&mut self.recoveries);
        let (due, rest): (Vec<_>, Vec<_>) = recoveries.into_iter().partition(|e| e.0 <= now);
        self.recoveries = rest;
        for (_, recovery) in due {
            self.recover(&recovery);
        }
    }

    fn recover(&mut self, recovery: &Recovery) {
        match *recovery {
            Recovery::Wake(number) => {
                self.frozen.retain(|f| *f != number);
                if let Some(entry) = &self.entries[number] {
                    entry.signal(Signal::CONT);
                }
            }
            Recovery::Restart(number) => {
                if self.entries[number].is_none() {
                    let entry = self.start_entry(number);
                    self.entries[number] = Some(entry);
                }
            }
            Recovery::Store => {
                self.store.set(Mode::Up);
                self.news.end(Side::Store);
            }
            Recovery::StoreProxy(number) => {
                self.store_proxies[number].set(Fault::None);
                self.news.end(Side::Instance(number));
            }
            Recovery::TargetProxy(number) => {
                self.target_proxies[number].set(Fault::None);
                self.news.end(Side::Target(number));
            }
            Recovery::Target(number) => {
                self.targets[number].set(Behavior::Normal, 20 * MS);
                self.targets[number].ask_backoff(None);
            }
            Recovery::Drain(number) => self.drain(number),
            Recovery::Domain(number) => {
                let key = format!("op/evacuate/{}", ENTRY_DOMAINS[number]);
                self.store.remove(&key);
                self.news.lift(number);
            }
        }
    }

    /// Ends all faults.
    fn recover_all(&mut self) {
        for (_, recovery) in std::mem::take(&mut self.recoveries) {
            self.recover(&recovery);
        }
        for target in &self.targets {
            target.set(Behavior::Normal, 20 * MS);
            target.ask_backoff(None);
        }
        self.links.restore_all();
        self.store_faults.restore(&self.store);
    }

    /// Waits until every instance serves, now that all faults have ended.
    fn await_serving(&self) {
        for (number, entry) in self.entries.iter().enumerate() {
            let entry = entry.as_ref().expect("every instance has been restarted");
            wait_until(&format!("i{number} serves again"), || {
                entry
                    .try_send("OPTIONS", "/view/again", "again", "")
                    .is_some_and(|a| a.status == 200)
            });
        }
    }

    fn stop(mut self, exchanges: Vec<super::invariants::Exchange>) -> Report {
        for entry in self.entries.drain(..).flatten() {
            entry.signal(Signal::TERM);
            self.leaving.push(entry);
        }
        for entry in &mut self.leaving {
            let code = entry.wait_exit();
            if code != Some(0) {
                let lines = entry.lines.lock().expect("the lock is not poisoned");
                let last: Vec<String> = lines.iter().rev().take(5).cloned().collect();
                self.failures.push(format!(
                    "an instance ended with {code:?} on SIGTERM: {last:?}"
                ));
            }
        }
        let runs = self.targets.iter().flat_map(Target::runs);
        let mut runs: Vec<_> = runs.filter(|r| r.id != "again").collect();
        runs.sort_by(|a, b| a.id.cmp(&b.id));
        let targets = self.targets.iter().enumerate();
        let arrivals = targets.map(|(i, target)| (format!("t{i}"), target.arrivals()));
        let arrivals: Vec<_> = arrivals.collect();
        let is_crashing = |e: &&super::invariants::Exchange| e.path == callers::CRASHING;
        let crashing = exchanges.iter().filter(is_crashing);
        let crashing: Vec<&str> = crashing.map(|e| &*e.id).collect();
        self.failures
            .extend(crashes::violation(&crashing, &arrivals, &self.processes));
        let paths = budget::Paths {
            proxies: &self.target_proxies,
            links: &self.links,
        };
        let repeats = budget::violations(self.retries, &exchanges, &arrivals, &paths);
        self.failures.extend(repeats);
        let late = self
            .news
            .violations(&arrivals, &self.processes, &self.links);
        self.failures.extend(late);
        let violations = requests::violations(arrivals, &self.processes, &self.links);
        self.failures.extend(violations);
        Report {
            exchanges,
            runs,
            faults: self.faults,
            suspected: crashes::rejections(&self.processes),
            relayed: requests::relayed(&self.processes),
            judged: self.news.judged(&self.processes),
            failures: self.failures,
        }
    }
}
