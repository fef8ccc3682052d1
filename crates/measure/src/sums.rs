//! The runs behind the sums of `docs/PROMISES.md`: repeats, requests to cold
//! targets and changes of region, over all instances of a fleet that steers
//! straight to targets, under faults.
//!
//! Invariant: what is counted is what targets see, not what instances believe.

pub mod fleet;
mod instance;
pub mod plan;
pub(crate) mod setup;
mod tally;

use core::fmt::Write;

use fleet::Fleet;
use plan::Plan;

/// What happens to a fleet: its name, and the plan.
const PLANS: [(&str, Plan); 22] = [
    ("calm", Plan::CALM),
    (
        "bursts",
        Plan {
            bursts: true,
            ..Plan::CALM
        },
    ),
    (
        "cold",
        Plan {
            cold: true,
            ..Plan::CALM
        },
    ),
    (
        "replaced",
        Plan {
            cold: true,
            failing: true,
            replaced: true,
            ..Plan::CALM
        },
    ),
    (
        "all-at-once",
        Plan {
            cold: true,
            failing: true,
            herd: true,
            ..Plan::CALM
        },
    ),
    (
        "cut-off",
        Plan {
            cold: true,
            failing: true,
            cut: true,
            ..Plan::CALM
        },
    ),
    (
        "store-away",
        Plan {
            cold: true,
            failing: true,
            store: true,
            ..Plan::CALM
        },
    ),
    (
        "added",
        Plan {
            cold: true,
            failing: true,
            added: true,
            ..Plan::CALM
        },
    ),
    (
        "turned-away",
        Plan {
            turned_away: true,
            ..Plan::CALM
        },
    ),
    (
        "turned-away-restarts",
        Plan {
            turned_away: true,
            herd: true,
            cut: true,
            ..Plan::CALM
        },
    ),
    (
        "limit",
        Plan {
            limit: Some(1.0),
            ..Plan::CALM
        },
    ),
    (
        "limit-waves",
        Plan {
            bursts: true,
            limit: Some(2.5),
            ..Plan::CALM
        },
    ),
    (
        "limit-all",
        Plan {
            limit: Some(4.0),
            each: 1,
            ..Plan::CALM
        },
    ),
    (
        "limit-churn",
        Plan {
            failing: true,
            replaced: true,
            limit: Some(1.0),
            ..Plan::CALM
        },
    ),
    (
        "limit-growth",
        Plan {
            failing: true,
            added: true,
            limit: Some(1.0),
            ..Plan::CALM
        },
    ),
    (
        "backoff",
        Plan {
            backoff_ms: Some(3_000),
            ..Plan::CALM
        },
    ),
    (
        "backoff-waves",
        Plan {
            bursts: true,
            backoff_ms: Some(1_500),
            ..Plan::CALM
        },
    ),
    (
        "backoff-all",
        Plan {
            backoff_ms: Some(2_000),
            each: 1,
            ..Plan::CALM
        },
    ),
    (
        "backoff-churn",
        Plan {
            failing: true,
            replaced: true,
            backoff_ms: Some(3_000),
            ..Plan::CALM
        },
    ),
    (
        "leaving",
        Plan {
            leaving: true,
            ..Plan::CALM
        },
    ),
    (
        "leaving-all",
        Plan {
            leaving: true,
            each: 1,
            ..Plan::CALM
        },
    ),
    (
        "leaving-cut",
        Plan {
            failing: true,
            cut: true,
            store: true,
            leaving: true,
            ..Plan::CALM
        },
    ),
];

/// Instances of a fleet. Few have a whole part of each sum; many have not.
pub const SIZES: [usize; 3] = [3, 7, 27];

/// Largest use of each sum's bound, 1 at the bound.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Use {
    /// Repeats of a service in the operator's window.
    pub repeats: f64,
    /// Requests to one cold target within a second.
    pub cold: f64,
    /// Change of the share of a region's requests that run elsewhere.
    pub shift: f64,
    /// Requests to a target that names a limit, by instances that it has told.
    pub limit: f64,
    /// Requests of an instance to a target that asked it for time without any.
    pub backoff: f64,
    /// Requests to a target too long after it announced to the instance that it is about
    /// to stop, 1 for each.
    pub leaving: f64,
}

impl Use {
    fn merge(self, other: Self) -> Self {
        Self {
            repeats: self.repeats.max(other.repeats),
            cold: self.cold.max(other.cold),
            shift: self.shift.max(other.shift),
            limit: self.limit.max(other.limit),
            backoff: self.backoff.max(other.backoff),
            leaving: self.leaving.max(other.leaving),
        }
    }
}

/// One line of the table.
#[derive(Clone, Debug)]
pub struct Line {
    /// Name of the plan.
    pub plan: &'static str,
    /// Instances.
    pub size: usize,
    /// Requests that callers sent, over all seeds.
    pub requests: usize,
    /// Those that never reached a target.
    pub rejected: usize,
    /// Those that were answered.
    pub answered: usize,
    /// Repeats that reached targets.
    pub repeats: usize,
    /// Requests that reached cold targets.
    pub cold: usize,
    /// Requests that reached targets while they named a limit.
    pub limited: usize,
    /// Answers that asked for time without requests, and instances to which a target
    /// announced that it is about to stop.
    pub asked: usize,
    /// Largest use of each bound over all seeds.
    pub max: Use,
}

/// Plays one plan, `seeds` times; `None` if there is none of this name.
#[must_use]
pub fn line(seed: u64, seeds: u64, seconds: u64, plan: &str, size: usize) -> Option<Line> {
    let (name, plan) = PLANS.iter().find(|p| p.0 == plan)?;
    let mut line = Line {
        plan: name,
        size,
        requests: 0,
        rejected: 0,
        answered: 0,
        repeats: 0,
        cold: 0,
        limited: 0,
        asked: 0,
        max: Use::default(),
    };
    for seed in seed..seed + seeds {
        let tally = Fleet::new(size, *plan, seed).run(seconds);
        line.requests += tally.requests();
        line.rejected += tally.rejected();
        line.answered += tally.answered;
        line.repeats += tally.repeats();
        line.cold += tally.cold();
        line.limited += tally.limited();
        line.asked += tally.backoffs.len() + tally.notices.len();
        line.max = line.max.merge(tally.max_use());
    }
    Some(line)
}

/// Plays all plans whose names contain `only`.
#[must_use]
pub fn lines(seed: u64, seeds: u64, seconds: u64, only: &str, sizes: &[usize]) -> Vec<Line> {
    let plans = PLANS.iter().filter(|p| p.0.contains(only));
    let each = plans.flat_map(|p| sizes.iter().map(|size| (p.0, *size)));
    each.filter_map(|(plan, size)| line(seed, seeds, seconds, plan, size))
        .collect()
}

/// The same as a table.
#[must_use]
pub fn table(seed: u64, seeds: u64, seconds: u64, only: &str) -> String {
    let mut out = format!(
        "virtual time; seeds {seed} to {}, {seconds} s each; largest use of each bound, 1 at the \
         bound (over it an over-run)\n\n| plan | instances | requests | rejected | answered | repeats | to cold targets | \
         to limited ones | asked to pause or leaving | use: repeats | cold | shift | limit | backoff | leaving \
         |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
        seed + seeds - 1
    );
    for line in lines(seed, seeds, seconds, only, &SIZES) {
        let Line { plan, size, .. } = line;
        let _ = writeln!(
            out,
            "| {plan} | {size} | {} | {} | {} | {} | {} | {} | {} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} |",
            line.requests,
            line.rejected,
            line.answered,
            line.repeats,
            line.cold,
            line.limited,
            line.asked,
            line.max.repeats,
            line.max.cold,
            line.max.shift,
            line.max.limit,
            line.max.backoff,
            line.max.leaving
        );
    }
    out
}
