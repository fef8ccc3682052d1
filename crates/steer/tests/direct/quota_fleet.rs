//! A fleet that shares quotas, in virtual time: over a network that loses, delays,
//! doubles and reorders messages, with cuts and restarts.

use core::time::Duration;
use std::sync::Arc;

use steer::clock::Time;
use steer::process::direct::access::{self, Authorized};
use steer::process::direct::members::{Heartbeat, Registration};
use steer::process::direct::{
    AttemptOutcome, Bounds, Decision, Direct, Identity, Rejection, Request, Ticket, budget, limit,
    quota, target,
};
use steer::request::arrival::Fingerprint;
use steer::version::teams::{KeyDigest, Quota, Team, Teams};

use super::bench::{entry, registration, route, routes};

pub const RULE: quota::Rule = quota::Rule {
    window: Duration::from_secs(5),
    excess: 0.1,
    slack: 20.0,
};

pub const STEP: u64 = 10;

/// Time between two instances that are stopped in turn.
const ROLL: u64 = 2_000;

/// Instances that get each heartbeat of one, and it; the store lists the others.
const AUDIENCE: usize = 40;

/// Time for which one that was told to stop goes on.
const GRACE: u64 = 500;

/// What the network and the instances suffer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Part of the messages that is lost, and that comes twice.
    pub lost: f64,
    pub doubled: f64,
    /// Longest delay in milliseconds, within a region and between two.
    pub near: u64,
    pub delay: u64,
    /// From when to when the instances of odd numbers hear nothing of the others,
    /// in one way or both.
    pub cut: Option<(u64, u64, bool)>,
    /// When an instance restarts; which, and every how many milliseconds.
    pub restart: Option<u64>,
    /// Whether instances are stopped in turn, each for three seconds.
    pub rolled: bool,
    /// When the quota is cut to a fifth.
    pub lowered: Option<u64>,
}

enum Message {
    Beat(Box<Heartbeat>),
    Report(usize, quota::Report),
    Grant(quota::Grant),
}

struct Node {
    direct: Direct,
    /// When this process started.
    start: u64,
    /// Requests that came, and when.
    came: Vec<(Ticket, u64)>,
    /// When it reports next.
    due: u64,
    /// Until when it is down, once it has ended.
    down: u64,
    last: u64,
}

pub struct Fleet {
    nodes: Vec<Node>,
    pass: Authorized,
    pub quota: Quota,
    faults: Faults,
    mail: Vec<(u64, usize, Message)>,
    rng: fastrand::Rng,
    now: u64,
    version: u64,
    pub admitted: Vec<u64>,
    /// Milliseconds for which those were held.
    pub held: Vec<u64>,
    pub refused: Vec<u64>,
    pub asked: usize,
    /// Instances that were restarted.
    pub restarts: usize,
}

fn name(at: usize) -> String {
    format!("node-{at}")
}

const REGIONS: [&str; 3] = ["near", "far", "west"];

/// Each instance takes heartbeats on a port of its number.
fn place(at: usize) -> Registration {
    let port = u16::try_from(at).expect("few") + 1;
    Registration {
        heartbeats: ([127, 0, 0, 1], port).into(),
        ..registration(REGIONS[at % REGIONS.len()])
    }
}

impl Fleet {
    pub fn new(count: usize, quota: Quota, faults: Faults, seed: u64) -> Self {
        let team = Team {
            name: "masons".into(),
            priority: None,
            home_regions: Vec::new(),
            quota: Some(quota),
        };
        let mut fleet = Self {
            nodes: Vec::new(),
            pass: Authorized {
                team: Arc::new(team),
                key: KeyDigest::of(b"k"),
            },
            quota,
            faults,
            mail: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            version: 1,
            admitted: Vec::new(),
            held: Vec::new(),
            refused: Vec::new(),
            asked: 0,
            restarts: 0,
        };
        for at in 0..count {
            let node = fleet.node(at, count);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn node(&mut self, at: usize, count: usize) -> Node {
        let life = self.rng.u64(1..);
        let home = Identity {
            name: name(at).into(),
            region: REGIONS[at % REGIONS.len()].into(),
            incarnation: life,
            registration: place(at),
        };
        let bounds = Bounds {
            retries: budget::Rule {
                ratio: 0.2,
                slack: 20.0,
                window: Duration::from_secs(10),
            },
            cold_factor: 1.5,
            cold_slack: 5.0,
            limit: limit::Rule::default(),
            shift_max: 0.15,
            access: access::Bounds::default(),
            quota: RULE,
        };
        let domains = vec![("near-a".into(), "near".into())];
        let mut direct = Direct::new(home, bounds, domains);
        let wide = target::Entry {
            slots: 10_000,
            ..entry("t", "near-a")
        };
        direct.roster.put(Time::ZERO, wide);
        for other in (0..count).filter(|other| *other != at) {
            direct.set_member(Time::ZERO, &name(other), Some(place(other)));
        }
        direct.install(self.configuration());
        Node {
            direct,
            start: self.now,
            came: Vec::new(),
            due: self.now + self.rng.u64(0..250),
            down: 0,
            last: 0,
        }
    }

    fn configuration(&self) -> Arc<steer::version::routes::Routes> {
        let team = Team::clone(&self.pass.team);
        let teams = Teams::new(vec![(team, vec![self.pass.key])]).expect("one team");
        Arc::new(routes(self.version, route()).with_teams(teams))
    }

    fn clock(&self, at: usize) -> Time {
        Time::ZERO + Duration::from_millis(self.now - self.nodes[at].start)
    }

    fn post(&mut self, from: usize, to: usize, message: impl Fn() -> Message) {
        let cut = self.faults.cut.is_some_and(|(start, end, both)| {
            let apart = from % 2 != to % 2;
            let way = both || from % 2 == 1;
            (start..end).contains(&self.now) && apart && way
        });
        if cut || self.rng.f64() < self.faults.lost {
            return;
        }
        let copies = if self.rng.f64() < self.faults.doubled {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let near = from % REGIONS.len() == to % REGIONS.len();
            let delay = if near {
                self.faults.near
            } else {
                self.faults.delay
            };
            let after = 1 + self.rng.u64(0..=delay);
            self.mail.push((self.now + after, to, message()));
        }
    }

    /// Runs until `end`, with requests at the given instances at this rate.
    pub fn run(&mut self, end: u64, at: &[usize], rate: f64) {
        while self.now < end {
            self.fail();
            self.deliver();
            for node in 0..self.nodes.len() {
                if !self.is_down(node) {
                    self.tell(node);
                }
            }
            #[allow(clippy::cast_precision_loss, reason = "small")]
            let expected = rate * STEP as f64 / 1000.0;
            let mut count = expected.floor();
            count += f64::from(u8::from(self.rng.f64() < expected - count));
            while count >= 1.0 {
                count -= 1.0;
                let node = at[self.rng.usize(0..at.len())];
                if self.nodes[node].down <= self.now {
                    self.ask(node);
                }
            }
            for node in 0..self.nodes.len() {
                self.settle(node);
            }
            self.now += STEP;
        }
    }

    fn fail(&mut self) {
        let count = self.nodes.len();
        if let Some(every) = self.faults.restart
            && self.now > 0
            && self.now.is_multiple_of(every)
        {
            let at = self.rng.usize(0..count);
            self.nodes[at] = self.node(at, count);
            self.restarts += 1;
        }
        if self.faults.rolled && self.now.is_multiple_of(ROLL) {
            self.roll();
        }
        if self.faults.lowered == Some(self.now) {
            self.version += 1;
            let lower = Quota {
                rate: self.quota.rate / 5.0,
                burst: self.quota.burst / 5.0,
            };
            self.pass.team = Arc::new(Team {
                quota: Some(lower),
                ..Team::clone(&self.pass.team)
            });
            let new = self.configuration();
            for node in &mut self.nodes {
                node.direct.install(Arc::clone(&new));
            }
        }
    }

    /// Stops one instance, and starts the one that was stopped before.
    fn roll(&mut self) {
        let count = self.nodes.len();
        let turn = usize::try_from(self.now / ROLL).expect("few");
        let (stopped, started) = (turn % count, (turn + count - 1) % count);
        if self.nodes[started].down > 0 {
            self.nodes[started] = self.node(started, count);
        }
        let clock = self.clock(stopped);
        let end = clock + Duration::from_secs(10);
        self.nodes[stopped].direct.stop(end);
        let farewell = self.nodes[stopped].direct.heartbeat(clock, true);
        self.nodes[stopped].down = self.now + ROLL;
        self.nodes[stopped].last = self.now + GRACE;
        for at in 0..count {
            let clock = self.clock(at);
            let direct = &mut self.nodes[at].direct;
            if at != stopped {
                direct.receive_heartbeat(clock, farewell.clone());
                direct.set_member(clock, &name(stopped), None);
            }
            if at != started {
                direct.set_member(clock, &name(started), Some(place(started)));
            }
        }
    }

    fn is_down(&self, at: usize) -> bool {
        self.nodes[at].down > self.now && self.nodes[at].last <= self.now
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest) = core::mem::take(&mut self.mail)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.mail = rest;
        for (_, to, message) in due {
            if self.is_down(to) {
                continue;
            }
            let clock = self.clock(to);
            let direct = &mut self.nodes[to].direct;
            match message {
                Message::Beat(beat) => direct.receive_heartbeat(clock, *beat),
                Message::Grant(grant) => direct.receive_grant(clock, &grant),
                Message::Report(from, report) => {
                    let grant = direct.receive_report(clock, report);
                    self.post(to, from, || Message::Grant(grant.clone()));
                }
            }
        }
    }

    fn tell(&mut self, at: usize) {
        let clock = self.clock(at);
        let urgent = self.nodes[at].direct.take_report_due();
        let phase = u64::try_from(at).expect("few") * STEP;
        if (self.now + phase).is_multiple_of(250) {
            let beat = self.nodes[at].direct.heartbeat(clock, true);
            let count = self.nodes.len();
            for step in 1..count.min(AUDIENCE) {
                let to = (at + step) % count;
                self.post(at, to, || Message::Beat(Box::new(beat.clone())));
            }
        }
        let node = &mut self.nodes[at];
        if !urgent && self.now < node.due {
            return;
        }
        let pace = node.direct.report_interval().as_millis();
        node.due = self.now + u64::try_from(pace).expect("short");
        for due in self.nodes[at].direct.quota_reports(clock) {
            let to = usize::from(due.addr.port()) - 1;
            self.post(at, to, || Message::Report(at, due.report.clone()));
        }
    }

    fn ask(&mut self, at: usize) {
        let now = self.clock(at);
        let came = self.now;
        let ask = Request {
            route: Arc::new(route()),
            authorized: Some(self.pass.clone()),
            object: None,
            deadline: now + Duration::from_secs(2),
            fingerprint: Fingerprint(self.rng.u128(..)),
        };
        self.asked += 1;
        let taken = self.nodes[at].direct.submit(now, ask);
        let ticket = taken.expect("its route has a service");
        self.nodes[at].came.push((ticket, came));
    }

    fn settle(&mut self, at: usize) {
        let now = self.clock(at);
        // The store answers also who hears no other instance.
        self.nodes[at].direct.store_answered(now, 1);
        for order in self.nodes[at].direct.step(now) {
            match order {
                Decision::Send(go) => {
                    self.admitted.push(self.now);
                    let came = &self.nodes[at].came;
                    let came = came.iter().find(|(ticket, _)| *ticket == go.ticket);
                    self.held.extend(came.map(|(_, came)| self.now - came));
                    let direct = &mut self.nodes[at].direct;
                    direct.finish_attempt(
                        now + Duration::from_millis(1),
                        go.ticket,
                        AttemptOutcome::Answered,
                    );
                }
                Decision::Reject { why, .. } => {
                    assert_eq!(why, Rejection::Quota);
                    self.refused.push(self.now);
                }
            }
        }
    }

    /// Most requests admitted in any window that begins in this span.
    pub fn most(&self, from: u64, to: u64) -> usize {
        let window = 5_000;
        let starts = self.admitted.iter().filter(|t| (from..to).contains(t));
        let count = |start: u64| {
            let within = |t: &&u64| (start..start + window).contains(t);
            self.admitted.iter().filter(within).count()
        };
        starts.map(|start| count(*start)).max().unwrap_or_default()
    }
}
