//! Counts of one play, or of several.

use core::fmt;
use core::time::Duration;

use steer::clock::Time;

/// What was seen.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Targets ended by each crashing request.
    pub ended: Vec<usize>,
    /// Ordinary requests.
    pub ordinary: usize,
    /// Those refused because they crash targets.
    pub refused: usize,
    /// Those rejected while a copy of a suspect was in flight.
    pub suspected: usize,
    /// Refusals of each ordinary path.
    pub refusals: Vec<Vec<Time>>,
    /// Time of the last crash.
    pub last_crash: Time,
    /// Paths refused more than twice after it.
    pub paths: usize,
    /// Longest time from the last crash to a refusal of such a path.
    pub longest: Duration,
}

impl Tally {
    /// Sums up the refusals by path, at the end of a play.
    #[must_use]
    pub fn finish(mut self) -> Self {
        for refusals in &self.refusals {
            let later = refusals.iter().filter(|at| **at > self.last_crash);
            if later.count() > 2 {
                self.paths += 1;
                let last = refusals.last().copied().unwrap_or_default();
                self.longest = self.longest.max(last.since(self.last_crash));
            }
        }
        self
    }

    /// Counts of both.
    #[must_use]
    pub fn merge(mut self, other: Self) -> Self {
        self.ended.extend(other.ended);
        self.ordinary += other.ordinary;
        self.refused += other.refused;
        self.suspected += other.suspected;
        self.paths += other.paths;
        self.longest = self.longest.max(other.longest);
        self
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sum: usize = self.ended.iter().sum();
        let most = self.ended.iter().max().copied().unwrap_or_default();
        #[allow(clippy::cast_precision_loss, reason = "counts are small")]
        let mean = sum as f64 / self.ended.len().max(1) as f64;
        write!(
            f,
            "{mean:.1}, {most} | {} | {} | {} | {} | {:.1}",
            self.ordinary,
            self.refused,
            self.suspected,
            self.paths,
            self.longest.as_secs_f64()
        )
    }
}
