//! Seeded random runs.
//!
//! Invariant: a run is a function of its seed, the number of steps and the
//! safeguards.

use steer::process::gate;

use crate::{check, scene, world};

/// Processes in a random run: owner, witness, another entry, in two regions.
const PROCESSES: usize = 3;

/// What a run did.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Steps made before settling.
    pub steps: usize,
    /// Faults among them.
    pub faults: usize,
    /// Copies sent.
    pub copies: usize,
    /// Copies that got a target's answer, "not run", "unknown".
    pub said: [usize; 3],
    /// A broken promise.
    pub violation: Option<check::Violation>,
}

/// One run of at most `steps` steps.
#[must_use]
pub fn run(seed: u64, steps: usize, safe: gate::Safeguards) -> Report {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (sources, plans) = workload(&mut rng);
    let limits = limits(&mut rng);
    let mut world = world::World::new(PROCESSES, (limits, safe), &sources, &plans);
    let mut report = Report::default();
    // Quiet and stormy runs reach different states.
    let storm = rng.u32(5..50);
    for _ in 0..steps {
        let fault = rng.u32(..100) < storm;
        let step = if fault {
            unusual(&mut rng, &world)
        } else {
            world.usual()
        };
        let Some(step) = step else {
            break;
        };
        report.steps += 1;
        report.faults += usize::from(fault);
        world.step(step);
        if let Some(fault) = check::safety(&world) {
            report.violation = Some(check::Violation::new(fault, &world));
            return report;
        }
    }
    world.settle();
    report.violation = check::end(&world).map(|fault| check::Violation::new(fault, &world));
    report.copies = world.sent.len();
    report.said = world.tally();
    report
}

/// In one run of four there is hardly room for records, answers or waiters.
fn limits(rng: &mut fastrand::Rng) -> gate::Limits {
    let usual = scene::limits();
    if rng.u32(..4) > 0 {
        return usual;
    }
    gate::Limits {
        records_max: rng.usize(1..=2),
        held_max: rng.usize(1..=3),
        waiters_max: rng.usize(..=1),
        answer_bytes: rng.u64(..=4),
        ..usual
    }
}

/// One or two keys and two to six copies, most of them of the first key.
fn workload(rng: &mut fastrand::Rng) -> (Vec<world::Source>, Vec<world::Plan>) {
    let source = |rng: &mut fastrand::Rng| match rng.u32(..4) {
        0 => world::Source::Chosen,
        _ => world::Source::Issued(rng.usize(..PROCESSES)),
    };
    let sources: Vec<world::Source> = (0..rng.usize(1..=2)).map(|_| source(rng)).collect();
    let plans = (0..rng.usize(2..=6))
        .map(|_| world::Plan {
            key: rng.usize(..sources.len()) * rng.usize(..=1),
            body: u32::from(rng.u32(..8) == 0),
            to: rng.usize(..PROCESSES),
        })
        .collect();
    (sources, plans)
}

/// A step from those that may happen instead of the usual one. Steps that end a
/// process are drawn less often, or there would be nobody left to go wrong.
fn unusual(rng: &mut fastrand::Rng, world: &world::World) -> Option<world::Step> {
    let steps = world.unusual();
    for _ in 0..8 {
        let step = *rng.choice(&steps)?;
        let rare = matches!(
            step,
            world::Step::Kill(_) | world::Step::Leave(_) | world::Step::Hang(_)
        );
        if !rare || rng.u32(..4) == 0 {
            return Some(step);
        }
    }
    world.usual()
}
