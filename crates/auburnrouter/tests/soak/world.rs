//! Instances, stand-ins, and faults at random moments.
//!
//! Invariant: one seed gives one series of faults; what meets which request
//! depends on the machine, so a seed that failed is played more than once.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;
use platform_standin::store::{Mode, Route};
use platform_standin::target::Behavior;
use platform_standin::{Store, Target};
use rustix::process::Signal;
use serde_json::json;

use super::callers;
use super::harness::{Entry, HOST, MS, ROUTES, wait_until};
use super::ledger::Seen;
use super::proxy::{Harm, Proxy};

/// Domains of the instances.
const DOMAINS: [&str; 3] = ["near-a", "near-b", "far-a"];

/// Targets at the start, spread over the domains.
const TARGETS: usize = 6;

/// Time between faults, least and most. They last longer, so they overlap.
const PAUSE: (u64, u64) = (30, 200);

/// How long a fault lasts, least and most.
const SPAN: (u64, u64) = (100, 1_500);

/// A fault's end.
enum End {
    Wake(usize),
    Return(usize),
    Store,
    Way(usize),
    Link(usize),
    Target(usize),
    Domain(usize),
}

struct World {
    rng: Rng,
    store: Store,
    /// Between each instance and the store.
    links: Vec<Proxy>,
    targets: Vec<Target>,
    /// Between instances and each target.
    ways: Vec<Proxy>,
    entries: Vec<Option<Entry>>,
    /// Instances that were told to stop.
    leaving: Vec<Entry>,
    /// Instances that stand still.
    frozen: Vec<usize>,
    ends: Vec<(Instant, End)>,
    version: u64,
    faults: usize,
    wrong: Vec<String>,
}

/// Plays one seed.
pub fn play(seed: u64, span: Duration) -> Seen {
    let mut world = World::start(seed);
    let (callers, threads) = callers::start(seed);
    let publish = |world: &World| {
        *callers.addrs.lock().expect("no one panics with it") = world.addrs();
    };
    publish(&world);
    let until = Instant::now() + span;
    while Instant::now() < until {
        let pause = world.rng.u64(PAUSE.0..PAUSE.1);
        thread::sleep(Duration::from_millis(pause));
        world.finish(Instant::now());
        world.fault();
        publish(&world);
    }
    world.heal();
    publish(&world);
    world.serve_again();
    let asked = callers::stop(&callers, threads);
    world.stop(asked)
}

impl World {
    fn start(seed: u64) -> Self {
        let store = Store::start().expect("a port is free");
        store.configure(1, HOST, &ROUTES);
        let mut world = Self {
            rng: Rng::with_seed(seed),
            links: DOMAINS.iter().map(|_| Proxy::start(store.addr())).collect(),
            store,
            targets: Vec::new(),
            ways: Vec::new(),
            entries: Vec::new(),
            leaving: Vec::new(),
            frozen: Vec::new(),
            ends: Vec::new(),
            version: 1,
            faults: 0,
            wrong: Vec::new(),
        };
        for _ in 0..TARGETS {
            world.add_target();
        }
        for number in 0..DOMAINS.len() {
            let entry = world.entry(number);
            world.entries.push(Some(entry));
        }
        for entry in world.entries.iter().flatten() {
            entry.await_ready();
        }
        world
    }

    fn addrs(&self) -> Vec<SocketAddr> {
        self.entries.iter().flatten().map(|e| e.callers).collect()
    }

    fn entry(&self, number: usize) -> Entry {
        let seeds: Vec<SocketAddr> = self.entries.iter().flatten().map(|e| e.peers).collect();
        let name = format!("i{number}");
        Entry::start(&name, DOMAINS[number], self.links[number].addr, &seeds)
    }

    fn add_target(&mut self) {
        let number = self.targets.len();
        let domain = DOMAINS[number % DOMAINS.len()];
        let target =
            Target::start(&format!("t{number}"), "sheets", domain).expect("a port is free");
        target.set(Behavior::Normal, 20 * MS);
        self.ways.push(Proxy::start(target.addr()));
        self.targets.push(target);
        self.list(number, "ready", 1);
    }

    /// Lists a target in the store, at the address of its proxy.
    fn list(&self, number: usize, state: &str, seq: u64) {
        let entry = json!({
            "address": self.ways[number].addr, "born": 1_764_700_000_000_u64,
            "info": { "service": "sheets", "version": "v1",
                      "zone": DOMAINS[number % DOMAINS.len()], "slots": 3 },
            "status": { "state": state, "seq": seq, "warmup_left_s": 0 },
        });
        self.store.write(&format!("servers/t{number}"), &entry);
    }

    fn fault(&mut self) {
        self.faults += 1;
        let entry = self.rng.usize(0..DOMAINS.len());
        let target = self.rng.usize(0..self.targets.len());
        match self.rng.u8(0..16) {
            0 => self.kill(entry),
            1 => self.freeze(entry),
            2 => self.terminate(entry),
            3 => self.hang_up(entry),
            4 => {
                let mode = [Mode::Busy, Mode::Silent][self.rng.usize(0..2)];
                self.store.set(mode);
                self.later(End::Store);
            }
            5 => self.store.compact(),
            6 => {
                let harm = self.harm();
                self.links[entry].set(harm);
                self.later(End::Link(entry));
            }
            7 | 8 => {
                let harm = self.harm();
                self.ways[target].set(harm);
                self.later(End::Way(target));
            }
            9..=13 => self.misbehave(target),
            14 => self.evacuate(entry),
            _ => self.change(),
        }
    }

    fn harm(&mut self) -> Harm {
        let delay = Harm::Delay(Duration::from_millis(self.rng.u64(1..60)));
        [delay, Harm::Cut, Harm::OneWay, Harm::Silence][self.rng.usize(0..4)]
    }

    fn later(&mut self, end: End) {
        let span = Duration::from_millis(self.rng.u64(SPAN.0..SPAN.1));
        self.ends.push((Instant::now() + span, end));
    }

    fn kill(&mut self, number: usize) {
        if self.frozen.contains(&number) || self.entries[number].take().is_none() {
            return;
        }
        self.later(End::Return(number));
    }

    fn freeze(&mut self, number: usize) {
        let Some(entry) = &self.entries[number] else {
            return;
        };
        if self.frozen.contains(&number) {
            return;
        }
        entry.signal(Signal::STOP);
        self.frozen.push(number);
        self.later(End::Wake(number));
    }

    /// Stops it as planned; its callers use their connections until it is gone.
    fn terminate(&mut self, number: usize) {
        if self.frozen.contains(&number) {
            return;
        }
        let Some(entry) = self.entries[number].take() else {
            return;
        };
        entry.signal(Signal::TERM);
        self.leaving.push(entry);
        // Another takes its place meanwhile, as a release does.
        self.entries[number] = Some(self.entry(number));
    }

    fn hang_up(&self, number: usize) {
        if let Some(entry) = &self.entries[number] {
            entry.signal(Signal::HUP);
        }
    }

    fn misbehave(&mut self, number: usize) {
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
        let work = Duration::from_millis(self.rng.u64(1..400));
        self.targets[number].set(behavior, work);
        self.later(End::Target(number));
        // All of a service at times, so that an attempt elsewhere meets it too.
        if self.rng.bool() {
            for other in 0..self.targets.len() {
                self.targets[other].set(behavior, work);
                self.later(End::Target(other));
            }
        }
    }

    fn evacuate(&mut self, number: usize) {
        let key = format!("op/evacuate/{}", DOMAINS[number]);
        self.store.write(&key, &json!({}));
        self.later(End::Domain(number));
    }

    /// A configuration with one route more or less, or a target more.
    fn change(&mut self) {
        if self.rng.bool() && self.targets.len() < TARGETS * 2 {
            let leaving = self.rng.usize(0..self.targets.len());
            self.list(leaving, "draining", 9);
            self.add_target();
            return;
        }
        self.version += 1;
        let added = Route {
            prefix: "/added/",
            service: "sheets",
            is_idempotent: true,
        };
        let mut routes = ROUTES.to_vec();
        if self.rng.bool() {
            routes.push(added);
        }
        self.store.configure(self.version, HOST, &routes);
    }

    /// Ends what is due at `now`.
    fn finish(&mut self, now: Instant) {
        let ends = std::mem::take(&mut self.ends);
        let (due, rest): (Vec<_>, Vec<_>) = ends.into_iter().partition(|e| e.0 <= now);
        self.ends = rest;
        for (_, end) in due {
            self.end(&end);
        }
    }

    fn end(&mut self, end: &End) {
        match *end {
            End::Wake(number) => {
                self.frozen.retain(|f| *f != number);
                if let Some(entry) = &self.entries[number] {
                    entry.signal(Signal::CONT);
                }
            }
            End::Return(number) => {
                if self.entries[number].is_none() {
                    self.entries[number] = Some(self.entry(number));
                }
            }
            End::Store => self.store.set(Mode::Up),
            End::Link(number) => self.links[number].set(Harm::None),
            End::Way(number) => self.ways[number].set(Harm::None),
            End::Target(number) => self.targets[number].set(Behavior::Normal, 20 * MS),
            End::Domain(number) => {
                let key = format!("op/evacuate/{}", DOMAINS[number]);
                self.store.remove(&key);
            }
        }
    }

    /// Ends all faults.
    fn heal(&mut self) {
        for (_, end) in std::mem::take(&mut self.ends) {
            self.end(&end);
        }
        for target in &self.targets {
            target.set(Behavior::Normal, 20 * MS);
        }
    }

    /// Each instance serves again once nothing is wrong any more.
    fn serve_again(&self) {
        for (number, entry) in self.entries.iter().enumerate() {
            let entry = entry.as_ref().expect("all have returned");
            wait_until(&format!("i{number} serves again"), || {
                entry
                    .try_send("OPTIONS", "/view/again", "again", "")
                    .is_some_and(|a| a.status == 200)
            });
        }
    }

    fn stop(mut self, asked: Vec<super::ledger::Asked>) -> Seen {
        for entry in self.entries.drain(..).flatten() {
            entry.signal(Signal::TERM);
            self.leaving.push(entry);
        }
        for entry in &mut self.leaving {
            let code = entry.wait_exit();
            if code != Some(0) {
                let lines = entry.lines.lock().expect("no one panics with it");
                let last: Vec<String> = lines.iter().rev().take(5).cloned().collect();
                self.wrong.push(format!(
                    "an instance ended with {code:?} on SIGTERM: {last:?}"
                ));
            }
        }
        let runs = self.targets.iter().flat_map(Target::runs);
        let mut runs: Vec<_> = runs.filter(|r| r.id != "again").collect();
        runs.sort_by(|a, b| a.id.cmp(&b.id));
        Seen {
            asked,
            runs,
            faults: self.faults,
            wrong: self.wrong,
        }
    }
}
