//! Which of several places gets a request.
//!
//! Invariant: none of the ways looks at anything but the scores it is given.

/// How to choose among places that have room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The lowest score; ties are broken at random.
    LowestScore,
    /// The lower score of two places drawn at random. Entry instances that
    /// share targets have the same stale reports; taking the lowest of all,
    /// they would all go to the same target.
    #[default]
    TwoChoices,
    /// Drawn at random, in inverse proportion to the score.
    Weighted,
}

impl Policy {
    /// Chooses one of `places`, each with its score.
    pub fn choose(
        self,
        places: impl Iterator<Item = (usize, u64)> + Clone,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        match self {
            Self::LowestScore => lowest_score(places, rng),
            Self::TwoChoices => two_choices(&places, rng),
            Self::Weighted => weighted(&places, rng),
        }
    }
}

fn lowest_score(
    places: impl Iterator<Item = (usize, u64)>,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let mut best = None;
    let mut ties = 0;
    for (place, score) in places {
        match best {
            Some((_, low)) if score > low => continue,
            Some((_, low)) if score == low => ties += 1,
            _ => ties = 1,
        }
        // The n-th of equals takes the lead with chance 1/n: all the same.
        if ties == 1 || rng.u32(..ties) == 0 {
            best = Some((place, score));
        }
    }
    best.map(|(place, _)| place)
}

fn two_choices(
    places: &(impl Iterator<Item = (usize, u64)> + Clone),
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let count = places.clone().count();
    if count < 2 {
        return places.clone().next().map(|p| p.0);
    }
    let first = rng.usize(..count);
    let second = (first + rng.usize(1..count)) % count;
    let first = places.clone().nth(first)?;
    let second = places.clone().nth(second)?;
    Some(if second.1 < first.1 {
        second.0
    } else {
        first.0
    })
}

fn weighted(
    places: &(impl Iterator<Item = (usize, u64)> + Clone),
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let weight = |score: u64| 1_000_000 / score.max(1) + 1;
    let sum: u64 = places.clone().map(|p| weight(p.1)).sum();
    if sum == 0 {
        return None;
    }
    let mut left = rng.u64(..sum);
    for (place, score) in places.clone() {
        let weight = weight(score);
        if left < weight {
            return Some(place);
        }
        left -= weight;
    }
    None
}
