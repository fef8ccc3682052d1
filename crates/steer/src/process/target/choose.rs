//! Choice of one endpoint among several by their scores.
//!
//! Invariant: a policy uses nothing but the scores and the random generator.

/// Load balancing policy among endpoints that are available.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The lowest score; ties are broken at random.
    LowestScore,
    /// The lower score of two endpoints drawn at random. Entry instances that
    /// share targets see the same stale reports; with the lowest score of all
    /// they would all choose the same target.
    #[default]
    TwoChoices,
    /// One drawn at random, with a weight inverse to its score.
    Weighted,
}

impl Policy {
    /// Chooses one of `candidates`, pairs of index and score; `None` if empty.
    pub fn choose(
        self,
        candidates: impl Iterator<Item = (usize, u64)> + Clone,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        match self {
            Self::LowestScore => lowest_score(candidates, rng),
            Self::TwoChoices => two_choices(&candidates, rng),
            Self::Weighted => weighted(&candidates, rng),
        }
    }
}

fn lowest_score(
    candidates: impl Iterator<Item = (usize, u64)>,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let mut best = None;
    let mut ties = 0;
    for (index, score) in candidates {
        match best {
            Some((_, low)) if score > low => continue,
            Some((_, low)) if score == low => ties += 1,
            _ => ties = 1,
        }
        // The n-th of equal scores replaces the choice with probability 1/n,
        // so each of them is chosen with the same probability.
        if ties == 1 || rng.u32(..ties) == 0 {
            best = Some((index, score));
        }
    }
    best.map(|(index, _)| index)
}

fn two_choices(
    candidates: &(impl Iterator<Item = (usize, u64)> + Clone),
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let count = candidates.clone().count();
    if count < 2 {
        return candidates.clone().next().map(|p| p.0);
    }
    let first = rng.usize(..count);
    let second = (first + rng.usize(1..count)) % count;
    let first = candidates.clone().nth(first)?;
    let second = candidates.clone().nth(second)?;
    Some(if second.1 < first.1 {
        second.0
    } else {
        first.0
    })
}

fn weighted(
    candidates: &(impl Iterator<Item = (usize, u64)> + Clone),
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let weight = |score: u64| 1_000_000 / score.max(1) + 1;
    let sum: u64 = candidates.clone().map(|p| weight(p.1)).sum();
    if sum == 0 {
        return None;
    }
    let mut left = rng.u64(..sum);
    for (index, score) in candidates.clone() {
        let weight = weight(score);
        if left < weight {
            return Some(index);
        }
        left -= weight;
    }
    None
}
