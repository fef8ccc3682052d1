//! What callers got of a run.
//!
//! Invariant: a request is owed its worth once, from the moment it was first
//! sent; one whose caller left early is owed nothing.

use serde::Serialize;

use crate::plan::Plan;
use crate::world::{End, Outcome, Request};

/// Windows over which the worst seconds are found.
const WINDOW: u64 = 2_000_000;

/// Earned and owed.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    earned: f64,
    owed: f64,
}

impl Sum {
    fn part(self) -> f64 {
        if self.owed > 0.0 {
            self.earned / self.owed
        } else {
            1.0
        }
    }
}

/// The account of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Score {
    /// All parts, weighed, less prices.
    pub worth: f64,
    /// Earned over owed.
    pub whole: f64,
    /// The same of the worst domain of callers.
    pub domain: f64,
    /// The same of the worst kind.
    pub kind: f64,
    /// The same of the two worst windows.
    pub windows: f64,
    /// Share answered at all.
    pub served: f64,
    /// Share answered within the objective.
    pub in_time: f64,
    /// Share rejected for good.
    pub rejected: f64,
    /// Share failed.
    pub failed: f64,
    /// Share of those answered that ran elsewhere.
    pub far: f64,
    /// Share of runs that began with the object held.
    pub warm: f64,
    /// Largest change of a region's share elsewhere.
    pub shift: f64,
    /// Earned over owed by region, in their order, and window.
    pub regions: Vec<Vec<f64>>,
    /// The same by kind.
    pub kinds: Vec<Vec<f64>>,
    /// Rejections on the way, by region and window.
    pub rejections: Vec<Vec<f64>>,
    /// In flight over slots twice a second, by service and region.
    pub load: Vec<Vec<f64>>,
}

impl Score {
    /// Counts a run.
    #[must_use]
    pub fn of(plan: &Plan, outcome: &Outcome) -> Self {
        let regions = plan.regions();
        let region = |r: &Request| {
            let name = &plan.domains[r.domain].region;
            regions.binary_search(name).unwrap_or_default()
        };
        let owed: Vec<&Request> = outcome.requests.iter().filter(|r| !has_left(r)).collect();
        let start = owed.first().map_or(0, |r| r.begun);
        let window = |r: &Request| usize::try_from((r.begun - start) / WINDOW).unwrap_or(0);
        let count = owed.last().map_or(0, |r| window(r)) + 1;
        let mut whole = Sum::default();
        let mut domains = vec![Sum::default(); plan.domains.len()];
        let mut kinds = vec![Sum::default(); plan.kinds.len()];
        let mut windows = vec![Sum::default(); count];
        let mut by_region = vec![vec![Sum::default(); count]; regions.len()];
        let mut by_kind = vec![vec![Sum::default(); count]; plan.kinds.len()];
        let mut rejections = vec![vec![0.0; count]; regions.len()];
        for request in &owed {
            let (at, place) = (window(request), region(request));
            let sums = [
                &mut whole,
                &mut domains[request.domain],
                &mut kinds[request.kind],
                &mut windows[at],
                &mut by_region[place][at],
                &mut by_kind[request.kind][at],
            ];
            let (earned, worth) = earned(plan, request);
            for sum in sums {
                sum.earned += earned;
                sum.owed += worth;
            }
            rejections[place][at] += f64::from(request.rejected);
        }
        let share = |is: &dyn Fn(&Request) -> bool| {
            let found = owed.iter().filter(|r| is(r)).count();
            float(found) / float(owed.len().max(1))
        };
        let answered = share(&|r| is_end(r, End::Answered));
        let worst = |sums: &[Sum]| {
            let seen = sums.iter().filter(|s| s.owed > 0.0);
            seen.map(|s| s.part()).fold(1.0, f64::min)
        };
        let mut score = Self {
            worth: 0.0,
            whole: whole.part(),
            domain: worst(&domains),
            kind: worst(&kinds),
            windows: two_worst(&windows),
            served: answered,
            in_time: share(&|r| is_in_time(plan, r)),
            rejected: share(&|r| is_end(r, End::Rejected)),
            failed: share(&|r| is_end(r, End::Failed) || r.end.is_none()),
            far: share(&|r| is_end(r, End::Answered) && r.far) / answered.max(1e-9),
            warm: float(outcome.warm.0) / float(outcome.warm.1.max(1)),
            shift: outcome.shift,
            regions: parts(&by_region),
            kinds: parts(&by_kind),
            rejections,
            load: load(plan, outcome),
        };
        let weights = &plan.weights;
        score.worth = weights.whole * score.whole
            + weights.domain * score.domain
            + weights.served * score.served
            + weights.windows * score.windows
            + weights.kind * score.kind
            - weights.prices;
        score
    }
}

fn has_left(request: &Request) -> bool {
    is_end(request, End::Left)
}

fn is_end(request: &Request, end: End) -> bool {
    request.end.is_some_and(|(e, _)| e == end)
}

fn is_in_time(plan: &Plan, request: &Request) -> bool {
    let goal = plan.kinds[request.kind].goal.as_micros();
    request
        .end
        .is_some_and(|(e, at)| e == End::Answered && u128::from(at - request.begun) <= goal)
}

/// What a request earned, and what it was owed.
fn earned(plan: &Plan, request: &Request) -> (f64, f64) {
    let kind = &plan.kinds[request.kind];
    let earned = if is_in_time(plan, request) {
        kind.worth
    } else if is_end(request, End::Answered) {
        kind.late
    } else {
        0.0
    };
    (earned, kind.worth)
}

/// The mean of the two worst windows; one with few requests says little.
fn two_worst(windows: &[Sum]) -> f64 {
    let mean = windows.iter().map(|w| w.owed).sum::<f64>() / float(windows.len().max(1));
    let full = windows.iter().filter(|w| w.owed > mean * 0.3);
    let mut parts: Vec<f64> = full.map(|w| w.part()).collect();
    parts.sort_by(f64::total_cmp);
    let worst = &parts[..parts.len().min(2)];
    worst.iter().sum::<f64>() / float(worst.len().max(1))
}

fn parts(sums: &[Vec<Sum>]) -> Vec<Vec<f64>> {
    let line = |s: &Vec<Sum>| s.iter().map(|s| s.part()).collect();
    sums.iter().map(line).collect()
}

fn load(plan: &Plan, outcome: &Outcome) -> Vec<Vec<f64>> {
    let places = plan.services.len() * plan.regions().len();
    let line = |place: usize| {
        let samples = outcome.samples.iter().map(|s| s.usage[place]);
        samples
            .map(|(used, slots)| float(used) / float(slots.max(1)))
            .collect()
    };
    (0..places).map(line).collect()
}

#[allow(clippy::cast_precision_loss, reason = "counts of a run")]
fn float(count: usize) -> f64 {
    count as f64
}
