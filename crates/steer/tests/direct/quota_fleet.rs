//! Model of a fleet that shares quotas, in virtual time. Its network loses, delays,
//! duplicates and reorders messages; instances are partitioned and restarted.

use core::time::Duration;
use std::sync::Arc;

use steer::clock::Time;
use steer::process::direct::access::Authorized;
use steer::process::direct::members::{Heartbeat, Registration};
use steer::process::direct::{
    AttemptOutcome, Bounds, Decision, Direct, Identity, Rejection, Request, Ticket, quota, target,
};
use steer::request::arrival::Fingerprint;
use steer::version::teams::{KeyDigest, Quota, Team, Teams};

use super::bench::{bounds, entry, registration, route, routes};

pub const RULE: quota::Rule = quota::Rule {
    window: Duration::from_secs(5),
    excess: 0.1,
    slack: 20.0,
};

pub const STEP_MS: u64 = 10;

/// Time between the stops of two instances in a rolling restart, in milliseconds.
const ROLLING_RESTART_INTERVAL_MS: u64 = 2_000;

/// Instances that get each heartbeat of one, counting that one; the store lists the
/// others.
const HEARTBEAT_RECIPIENTS: usize = 40;

/// Time for which an instance that was told to stop continues, in milliseconds.
const STOP_GRACE_MS: u64 = 500;

/// Faults of the network and the instances.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Fractions of the messages that are lost, and that arrive twice.
    pub loss_ratio: f64,
    pub duplicate_ratio: f64,
    /// Longest delays in milliseconds, within a region and between regions.
    pub region_delay: u64,
    pub cross_delay: u64,
    /// Start and end of a partition between odd and even instances, and whether it cuts
    /// both directions; otherwise only messages from odd to even ones are lost.
    pub partition: Option<(u64, u64, bool)>,
    /// Interval in milliseconds at which a random instance restarts.
    pub restart_interval: Option<u64>,
    /// Whether instances are stopped and started in turn.
    pub is_rolling: bool,
    /// Time at which the quota is cut to a fifth.
    pub lowered_at: Option<u64>,
}

enum Message {
    Heartbeat(Box<Heartbeat>),
    Report(usize, quota::Report),
    Grant(quota::Grant),
}

struct Node {
    direct: Direct,
    /// Start of the process.
    started_at: u64,
    /// Requests with their arrival times.
    arrivals: Vec<(Ticket, u64)>,
    /// Time of the next report.
    next_report: u64,
    /// End of the time in which it is down, once its process has ended.
    down_until: u64,
    stops_at: u64,
}

pub struct Fleet {
    nodes: Vec<Node>,
    authorized: Authorized,
    pub quota: Quota,
    faults: Faults,
    in_transit: Vec<(u64, usize, Message)>,
    rng: fastrand::Rng,
    now: u64,
    version: u64,
    pub admitted: Vec<u64>,
    /// Milliseconds for which admitted requests waited.
    pub waits: Vec<u64>,
    pub refused: Vec<u64>,
    pub request_count: usize,
    /// Number of restarts.
    pub restarts: usize,
}

fn name(at: usize) -> String {
    format!("node-{at}")
}

const REGIONS: [&str; 3] = ["near", "far", "west"];

/// Registration whose port for heartbeats identifies the instance.
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
            authorized: Authorized {
                team: Arc::new(team),
                key: KeyDigest::of(b"k"),
            },
            quota,
            faults,
            in_transit: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            version: 1,
            admitted: Vec::new(),
            waits: Vec::new(),
            refused: Vec::new(),
            request_count: 0,
            restarts: 0,
        };
        for at in 0..count {
            let node = fleet.node(at, count);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn node(&mut self, at: usize, count: usize) -> Node {
        let incarnation = self.rng.u64(1..);
        let home = Identity {
            name: name(at).into(),
            region: REGIONS[at % REGIONS.len()].into(),
            incarnation,
            registration: place(at),
        };
        let bounds = Bounds {
            quota: RULE,
            ..bounds()
        };
        let domains = vec![("near-a".into(), "near".into())];
        let mut direct = Direct::new(home, bounds, domains);
        let target = target::Entry {
            slots: 10_000,
            ..entry("t", "near-a")
        };
        direct.roster.put(Time::ZERO, target);
        for other in (0..count).filter(|other| *other != at) {
            direct.set_member(Time::ZERO, &name(other), Some(place(other)));
        }
        direct.install(self.configuration());
        Node {
            direct,
            started_at: self.now,
            arrivals: Vec::new(),
            next_report: self.now + self.rng.u64(0..250),
            down_until: 0,
            stops_at: 0,
        }
    }

    fn configuration(&self) -> Arc<steer::version::routes::Routes> {
        let team = Team::clone(&self.authorized.team);
        let teams = Teams::new(vec![(team, vec![self.authorized.key])]).expect("one team");
        Arc::new(routes(self.version, route()).with_teams(teams))
    }

    fn clock(&self, at: usize) -> Time {
        Time::ZERO + Duration::from_millis(self.now - self.nodes[at].started_at)
    }

    fn send(&mut self, from: usize, to: usize, message: impl Fn() -> Message) {
        let is_cut = self.faults.partition.is_some_and(|(start, end, both)| {
            let apart = from % 2 != to % 2;
            let way = both || from % 2 == 1;
            (start..end).contains(&self.now) && apart && way
        });
        if is_cut || self.rng.f64() < self.faults.loss_ratio {
            return;
        }
        let copies = if self.rng.f64() < self.faults.duplicate_ratio {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let is_same_region = from % REGIONS.len() == to % REGIONS.len();
            let delay = if is_same_region {
                self.faults.region_delay
            } else {
                self.faults.cross_delay
            };
            let after = 1 + self.rng.u64(0..=delay);
            self.in_transit.push((self.now + after, to, message()));
        }
    }

    /// Runs until `end`, with `rate` requests a second at the given instances.
    pub fn run(&mut self, end: u64, at: &[usize], rate: f64) {
        while self.now < end {
            self.inject_faults();
            self.deliver();
            for node in 0..self.nodes.len() {
                if !self.is_down(node) {
                    self.send_messages(node);
                }
            }
            #[allow(clippy::cast_precision_loss, reason = "small")]
            let expected = rate * STEP_MS as f64 / 1000.0;
            let mut count = expected.floor();
            count += f64::from(u8::from(self.rng.f64() < expected - count));
            while count >= 1.0 {
                count -= 1.0;
                let node = at[self.rng.usize(0..at.len())];
                if self.nodes[node].down_until <= self.now {
                    self.submit(node);
                }
            }
            for node in 0..self.nodes.len() {
                self.step(node);
            }
            self.now += STEP_MS;
        }
    }

    fn inject_faults(&mut self) {
        let count = self.nodes.len();
        if let Some(every) = self.faults.restart_interval
            && self.now > 0
            && self.now.is_multiple_of(every)
        {
            let at = self.rng.usize(0..count);
            self.nodes[at] = self.node(at, count);
            self.restarts += 1;
        }
        if self.faults.is_rolling && self.now.is_multiple_of(ROLLING_RESTART_INTERVAL_MS) {
            self.restart_next();
        }
        if self.faults.lowered_at == Some(self.now) {
            self.version += 1;
            let lower = Quota {
                rate: self.quota.rate / 5.0,
                burst: self.quota.burst / 5.0,
            };
            self.authorized.team = Arc::new(Team {
                quota: Some(lower),
                ..Team::clone(&self.authorized.team)
            });
            let new = self.configuration();
            for node in &mut self.nodes {
                node.direct.install(Arc::clone(&new));
            }
        }
    }

    /// Stops one instance and starts the one stopped before.
    fn restart_next(&mut self) {
        let count = self.nodes.len();
        let turn = usize::try_from(self.now / ROLLING_RESTART_INTERVAL_MS).expect("few");
        let (stopped, started) = (turn % count, (turn + count - 1) % count);
        if self.nodes[started].down_until > 0 {
            self.nodes[started] = self.node(started, count);
        }
        let clock = self.clock(stopped);
        let end = clock + Duration::from_secs(10);
        self.nodes[stopped].direct.stop(clock, end);
        let last_heartbeat = self.nodes[stopped].direct.heartbeat(clock, true);
        self.nodes[stopped].down_until = self.now + ROLLING_RESTART_INTERVAL_MS;
        self.nodes[stopped].stops_at = self.now + STOP_GRACE_MS;
        for at in 0..count {
            let clock = self.clock(at);
            let direct = &mut self.nodes[at].direct;
            if at != stopped {
                direct.receive_heartbeat(clock, last_heartbeat.clone());
                direct.set_member(clock, &name(stopped), None);
            }
            if at != started {
                direct.set_member(clock, &name(started), Some(place(started)));
            }
        }
    }

    fn is_down(&self, at: usize) -> bool {
        self.nodes[at].down_until > self.now && self.nodes[at].stops_at <= self.now
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest) = core::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.in_transit = rest;
        for (_, to, message) in due {
            if self.is_down(to) {
                continue;
            }
            let clock = self.clock(to);
            let direct = &mut self.nodes[to].direct;
            match message {
                Message::Heartbeat(heartbeat) => direct.receive_heartbeat(clock, *heartbeat),
                Message::Grant(grant) => direct.receive_grant(clock, &grant),
                Message::Report(from, report) => {
                    let grant = direct.receive_report(clock, report);
                    self.send(to, from, || Message::Grant(grant.clone()));
                }
            }
        }
    }

    fn send_messages(&mut self, at: usize) {
        let clock = self.clock(at);
        let is_due = self.nodes[at].direct.take_report_due();
        let phase = u64::try_from(at).expect("few") * STEP_MS;
        if (self.now + phase).is_multiple_of(250) {
            let heartbeat = self.nodes[at].direct.heartbeat(clock, true);
            let count = self.nodes.len();
            for step in 1..count.min(HEARTBEAT_RECIPIENTS) {
                let to = (at + step) % count;
                self.send(at, to, || Message::Heartbeat(Box::new(heartbeat.clone())));
            }
        }
        let node = &mut self.nodes[at];
        if !is_due && self.now < node.next_report {
            return;
        }
        let interval = node.direct.report_interval().as_millis();
        node.next_report = self.now + u64::try_from(interval).expect("short");
        for due in self.nodes[at].direct.quota_reports(clock) {
            let to = usize::from(due.addr.port()) - 1;
            self.send(at, to, || Message::Report(at, due.report.clone()));
        }
    }

    fn submit(&mut self, at: usize) {
        let now = self.clock(at);
        let arrived_at = self.now;
        let request = Request {
            route: Arc::new(route()),
            authorized: Some(self.authorized.clone()),
            object: None,
            deadline: now + Duration::from_secs(2),
            fingerprint: Fingerprint(self.rng.u128(..)),
        };
        self.request_count += 1;
        let accepted = self.nodes[at].direct.submit(now, request);
        let ticket = accepted.expect("its route has a service");
        self.nodes[at].arrivals.push((ticket, arrived_at));
    }

    fn step(&mut self, at: usize) {
        let now = self.clock(at);
        // The store also answers instances that hear from no other.
        self.nodes[at].direct.store_answered(now, 1);
        for decision in self.nodes[at].direct.step(now) {
            match decision {
                Decision::Send(assignment) => {
                    self.admitted.push(self.now);
                    let arrivals = &self.nodes[at].arrivals;
                    let arrival = arrivals
                        .iter()
                        .find(|(ticket, _)| *ticket == assignment.ticket);
                    self.waits
                        .extend(arrival.map(|(_, arrived_at)| self.now - arrived_at));
                    let direct = &mut self.nodes[at].direct;
                    direct.finish_attempt(
                        now + Duration::from_millis(1),
                        assignment.ticket,
                        AttemptOutcome::Answered,
                    );
                }
                Decision::Reject { reason, .. } => {
                    assert_eq!(reason, Rejection::Quota);
                    self.refused.push(self.now);
                }
                Decision::GiveUp { .. } => panic!("no instance is cut off from targets"),
            }
        }
    }

    /// Largest number of requests admitted in any window that begins in this span.
    pub fn max_in_window(&self, from: u64, to: u64) -> usize {
        let window = 5_000;
        let starts = self.admitted.iter().filter(|t| (from..to).contains(t));
        let count = |start: u64| {
            let within = |t: &&u64| (start..start + window).contains(t);
            self.admitted.iter().filter(within).count()
        };
        starts.map(|start| count(*start)).max().unwrap_or_default()
    }
}
