//! What each way to run a request at most once costs, and what it is worth to a
//! caller whose owner died: counted on the real decisions, in virtual time.
//!
//! Invariant: a request's steps follow one another, so that its latency is the
//! sum of the latencies of the messages that were delivered for it.

use core::time::Duration;

use steer::process::gate;

use crate::{scene, world};

/// Processes in the layout: two in region 0, beside the store, one in region 1.
const PROCESSES: usize = 3;

/// One way between failure domains of a region.
const NEAR: Duration = Duration::from_micros(500);

/// One way between regions.
const FAR: Duration = Duration::from_millis(35);

/// One way between a caller and an entry instance.
const CALLER: Duration = Duration::from_millis(8);

/// Time a target takes to run a request.
pub const SERVICE: Duration = Duration::from_millis(20);

/// A way to run a request at most once.
#[derive(Clone, Copy, Debug)]
pub struct Way {
    /// What it is called in reports.
    pub name: &'static str,
    /// Which keys it uses.
    pub source: world::Source,
    /// The process that the first copy reaches.
    pub first: usize,
    /// The process that a resend reaches once the first is gone.
    pub other: usize,
}

/// The ways that are weighed.
pub const WAYS: [Way; 5] = [
    Way {
        name: "owner only",
        source: world::Source::Unwitnessed(0),
        first: 0,
        other: 1,
    },
    Way {
        name: "witness in the region",
        source: world::Source::Issued(0),
        first: 0,
        other: 1,
    },
    Way {
        name: "witness in another region",
        source: world::Source::Issued(2),
        first: 2,
        other: 0,
    },
    Way {
        name: "claim in the store, from its region",
        source: world::Source::Chosen,
        first: 0,
        other: 1,
    },
    Way {
        name: "claim in the store, from another region",
        source: world::Source::Chosen,
        first: 2,
        other: 1,
    },
];

/// What one request cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Messages between instances.
    pub messages: u32,
    /// Calls to the store.
    pub calls: u32,
    /// Time of messages between instances and with the store; the target's time
    /// is not counted.
    pub latency: Duration,
}

/// Of the time from a caller's send to the target's answer, in which the owner
/// may die: how much leaves the caller's resend with what.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Worth {
    /// A target's answer.
    pub answer: Duration,
    /// A certain "not run".
    pub not_run: Duration,
    /// "Unknown".
    pub unknown: Duration,
}

impl Worth {
    /// Share of certain answers in percent.
    #[must_use]
    pub fn certain(&self) -> f64 {
        let certain = self.answer + self.not_run;
        100.0 * certain.as_secs_f64() / (certain + self.unknown).as_secs_f64()
    }
}

/// Cost of a first run.
#[must_use]
pub fn first_run(way: &Way) -> Cost {
    let mut world = world(way, &[way.first]);
    run(&mut world).0
}

/// Cost of a resend to another process while the first lives.
#[must_use]
pub fn resend(way: &Way) -> Cost {
    let mut world = world(way, &[way.first, way.other]);
    let both = run(&mut world).0;
    let first = first_run(way);
    Cost {
        messages: both.messages - first.messages,
        calls: both.calls - first.calls,
        latency: both.latency.saturating_sub(first.latency),
    }
}

/// Kills the first process before each step of the run and lets the caller send
/// again to the other one. Each kill counts for as long as the step lasts.
#[must_use]
pub fn worth(way: &Way) -> Worth {
    let mut worth = Worth::default();
    let steps = run(&mut world(way, &[way.first])).1;
    for (at, span) in steps.into_iter().enumerate() {
        let said = killed(way, at);
        let sum = match said {
            Some(world::Said::Answer(_)) => &mut worth.answer,
            Some(world::Said::Refused(outcome)) if outcome.as_str() == "not-run" => {
                &mut worth.not_run
            }
            _ => &mut worth.unknown,
        };
        *sum += span;
    }
    worth
}

/// What the resend is told if the first process dies before its step `at`.
fn killed(way: &Way, at: usize) -> Option<world::Said> {
    let mut world = world(way, &[way.first, way.other]);
    for _ in 0..at {
        if let Some(step) = world.usual() {
            world.step(step);
        }
    }
    world.step(world::Step::Kill(way.first));
    for index in (0..PROCESSES).filter(|&i| i != way.first) {
        world.step(world::Step::Refresh(index));
    }
    world.settle();
    world.sent.last()?.said.first().copied()
}

fn world(way: &Way, to: &[usize]) -> world::World {
    let plans: Vec<world::Plan> = to
        .iter()
        .map(|&to| world::Plan {
            key: 0,
            body: 0,
            to,
        })
        .collect();
    let bounds = (scene::limits(), gate::Safeguards::ALL);
    let mut world = world::World::new(PROCESSES, bounds, &[way.source], &plans);
    world.look_up();
    world
}

/// Runs to the end; returns the cost and how long each step lasted.
fn run(world: &mut world::World) -> (Cost, Vec<Duration>) {
    let mut cost = Cost::default();
    let mut spans = Vec::new();
    while let Some(step) = world.usual() {
        let delivered = match step {
            world::Step::Deliver(serial) => world.message(serial),
            _ => None,
        };
        spans.push(match (step, delivered) {
            (world::Step::Call, _) => CALLER,
            (_, Some(message)) => account(message, &mut cost),
            _ => Duration::ZERO,
        });
        world.step(step);
    }
    (cost, spans)
}

/// Counts a message; returns how long it took to come.
fn account(message: &world::Message, cost: &mut Cost) -> Duration {
    let from = message.sender.process().map_or(0, |(process, _)| process);
    let span = match (&message.kind, message.sender) {
        (world::Kind::Run(_), _) => return SERVICE,
        (world::Kind::Store(..), _) => {
            cost.calls += 1;
            distance(from, 0)
        }
        (world::Kind::Stored(_), _) => distance(from, 0),
        (world::Kind::Hop { to, .. } | world::Kind::Ask { to, .. }, _) => {
            cost.messages += 1;
            distance(from, *to)
        }
        // A target's answer, from the same failure domain.
        (world::Kind::Ended(_), world::Sender::Hop { kind, .. })
            if kind != world::HopKind::Forward =>
        {
            return Duration::ZERO;
        }
        (world::Kind::Ended(_) | world::Kind::Told(_), _) => {
            cost.messages += 1;
            distance(from, message.by)
        }
    };
    cost.latency += span;
    span
}

fn distance(from: usize, to: usize) -> Duration {
    let region = |process: usize| process + 1 == PROCESSES;
    if region(from) == region(to) {
        NEAR
    } else {
        FAR
    }
}
