//! Many seeds, and two sets of runs against each other.
//!
//! Invariant: runs of one seed meet the same callers and targets, so that
//! differences are taken seed by seed.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use serde::Serialize;

use crate::brain::Brain;
use crate::plan::Plan;
use crate::score::Score;
use crate::world::World;

/// Scores by seed.
#[derive(Clone, Debug, Serialize)]
pub struct Trial {
    /// What decided.
    pub name: String,
    /// The first seed; the others follow it.
    pub first: u64,
    /// One score for each seed.
    pub scores: Vec<Score>,
}

/// Mean, spread, and how sure the mean is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// Standard deviation over seeds.
    pub spread: f64,
    /// Half the width of the interval that holds the true mean 19 times in 20.
    pub sure: f64,
}

impl Mean {
    /// Of some figures.
    #[must_use]
    pub fn of(figures: &[f64]) -> Self {
        #[allow(clippy::cast_precision_loss, reason = "seeds are few")]
        let count = figures.len().max(1) as f64;
        let mean = figures.iter().sum::<f64>() / count;
        let squares: f64 = figures.iter().map(|f| (f - mean).powi(2)).sum();
        let spread = (squares / (count - 1.0).max(1.0)).sqrt();
        Self {
            mean,
            spread,
            sure: quantile(figures.len()) * spread / count.sqrt(),
        }
    }
}

/// Student's t for 19 in 20, two-sided, by the number of figures.
fn quantile(count: usize) -> f64 {
    const TABLE: [f64; 12] = [
        12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18,
    ];
    match count {
        0 | 1 => f64::INFINITY,
        2..=13 => TABLE[count - 2],
        14..=20 => 2.12,
        21..=40 => 2.05,
        _ => 1.98,
    }
}

impl Trial {
    /// Plays `seeds` runs from `first` on, on all cores; `progress` is told how
    /// many are done.
    pub fn play(
        name: &str,
        plan: &Plan,
        brain: Brain,
        first: u64,
        seeds: usize,
        progress: impl Fn(usize) + Sync,
    ) -> Self {
        let next = AtomicUsize::new(0);
        let done = AtomicUsize::new(0);
        let scores: Mutex<Vec<(usize, Score)>> = Mutex::new(Vec::new());
        let cores = thread::available_parallelism().map_or(1, usize::from);
        thread::scope(|scope| {
            for _ in 0..cores.min(seeds) {
                scope.spawn(|| {
                    loop {
                        let number = next.fetch_add(1, Ordering::Relaxed);
                        if number >= seeds {
                            return;
                        }
                        let outcome = World::play(plan, brain, first + number as u64);
                        let score = Score::of(plan, &outcome);
                        let mut all = scores.lock().unwrap_or_else(PoisonError::into_inner);
                        all.push((number, score));
                        progress(done.fetch_add(1, Ordering::Relaxed) + 1);
                    }
                });
            }
        });
        let mut scores = scores.into_inner().unwrap_or_else(PoisonError::into_inner);
        scores.sort_by_key(|s| s.0);
        Self {
            name: name.to_owned(),
            first,
            scores: scores.into_iter().map(|s| s.1).collect(),
        }
    }

    /// One figure over all seeds.
    #[must_use]
    pub fn mean(&self, figure: impl Fn(&Score) -> f64) -> Mean {
        let figures: Vec<f64> = self.scores.iter().map(figure).collect();
        Mean::of(&figures)
    }

    /// How much more this earns than another, seed by seed.
    #[must_use]
    pub fn over(&self, other: &Self) -> Mean {
        let pairs = self.scores.iter().zip(&other.scores);
        let gains: Vec<f64> = pairs.map(|(a, b)| a.worth - b.worth).collect();
        Mean::of(&gains)
    }
}
