//! All runs that differ from the usual one in at most so many places.
//!
//! Invariant: a run is a function of its deviations: at the numbered step, the
//! chosen fault happens before what usually would. Every set of up to `depth`
//! deviations within the run's length is tried, in a fixed order.

use steer::process::gate;

use crate::{check, scene, world};

/// What is explored.
#[derive(Clone, Copy, Debug)]
pub struct Case<'a> {
    /// Number of processes.
    pub processes: usize,
    /// Keys.
    pub sources: &'a [world::Source],
    /// Copies, in the order in which they are usually sent.
    pub plans: &'a [world::Plan],
    /// Safeguards that are on.
    pub safe: gate::Safeguards,
    /// Most deviations in one run.
    pub depth: usize,
    /// Which faults count as deviations.
    pub menu: fn(&world::Step) -> bool,
}

/// What an exploration did.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Runs made.
    pub runs: u64,
    /// Runs that broke a promise.
    pub violations: u64,
    /// The first of them.
    pub first: Option<check::Violation>,
}

#[derive(Clone, Copy)]
struct Deviation {
    step: usize,
    choice: usize,
}

/// Steps of a run that may carry a deviation.
const LENGTH: usize = 60;

/// Tries all runs of a case. Stops at the first violation if `first_only`.
#[must_use]
pub fn explore(case: &Case<'_>, first_only: bool) -> Report {
    let mut report = Report::default();
    let mut path = Vec::new();
    extend(case, first_only, &mut path, &mut report);
    report
}

fn extend(case: &Case<'_>, first_only: bool, path: &mut Vec<Deviation>, report: &mut Report) {
    let widths = run(case, path, report);
    if path.len() == case.depth {
        return;
    }
    let start = path.last().map_or(0, |d| d.step);
    for (step, &width) in widths.iter().enumerate().skip(start) {
        for choice in 0..width {
            // Two faults at one step are tried in one order only where the
            // second was there before the first; the list is re-read anyway.
            if first_only && report.first.is_some() {
                return;
            }
            path.push(Deviation { step, choice });
            extend(case, first_only, path, report);
            path.pop();
        }
    }
}

/// Makes one run; returns how many faults there were to choose from at each
/// step, after the last deviation made there.
fn run(case: &Case<'_>, path: &[Deviation], report: &mut Report) -> Vec<usize> {
    report.runs += 1;
    let bounds = (scene::limits(), case.safe);
    let mut world = world::World::new(case.processes, bounds, case.sources, case.plans);
    let mut widths = Vec::with_capacity(LENGTH);
    let mut fault = None;
    for at in 0..LENGTH {
        for deviation in path.iter().filter(|d| d.step == at) {
            let steps = menu(case, &world);
            if let Some(&step) = steps.get(deviation.choice) {
                world.step(step);
            }
        }
        widths.push(menu(case, &world).len());
        fault = fault.or_else(|| check::safety(&world));
        let Some(step) = world.usual() else {
            break;
        };
        if fault.is_some() {
            break;
        }
        world.step(step);
    }
    if fault.is_none() {
        world.settle();
        fault = check::end(&world);
    }
    if let Some(fault) = fault {
        report.violations += 1;
        report
            .first
            .get_or_insert_with(|| check::Violation::new(fault, &world));
    }
    widths
}

fn menu(case: &Case<'_>, world: &world::World) -> Vec<world::Step> {
    let mut steps = world.unusual();
    steps.retain(case.menu);
    steps
}
