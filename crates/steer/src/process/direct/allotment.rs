//! This instance's part of what all instances together may send to a target.
//!
//! What a cold target bears, or one that names a limit, is bounded as a sum over
//! all instances, those that are dying or cut off too. No instance asks another
//! before it sends; each works out its own part from the list of instances that
//! all of them know. Most of the sum goes to instances of the target's region:
//! they send it most of its requests, and equal parts for all would leave the
//! greater part of the sum unused while callers are rejected.
//!
//! Invariant: the parts of instances that know the same list never add up to
//! more than the sum.

use std::sync::Arc;

/// An instance that may send requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Participant {
    /// Its region.
    pub region: Arc<str>,
    /// Hash of its name.
    pub name_hash: u32,
}

/// Part of the sum for instances of the target's region, if there are others, and
/// one request at least.
/// A region with too few targets sends a share of its requests to others' ones.
const NEAR: f64 = 0.75;

/// The part of `own` in `total` requests to the target of mark `target`, which
/// stands in `region`. `others` are all other instances.
#[must_use]
pub fn allotment(
    total: usize,
    own: &Participant,
    others: &[Participant],
    region: &str,
    target: u32,
) -> usize {
    let is_near = |s: &Participant| *s.region == *region;
    let near = others.iter().filter(|s| is_near(s)).count() + usize::from(is_near(own));
    let far = others.len() + 1 - near;
    let (count, tokens) = match (is_near(own), near, far) {
        (true, _, 0) => (near, total),
        (true, ..) => (near, local_part(total)),
        (false, 0, _) => (far, total),
        (false, ..) => (far, total - local_part(total)),
    };
    let side = others.iter().filter(|s| is_near(s) == is_near(own));
    slice(tokens, count, own, side, target)
}

/// The part of `own` in `total` requests that concern no region more than another;
/// `mark` is that of what is divided.
#[must_use]
pub fn equal_allotment(
    total: usize,
    own: &Participant,
    others: &[Participant],
    mark: u32,
) -> usize {
    slice(total, others.len() + 1, own, others.iter(), mark)
}

/// The part of `own` in `tokens` for `count` instances, of whom `others` are the rest.
fn slice<'a>(
    tokens: usize,
    count: usize,
    own: &Participant,
    others: impl Iterator<Item = &'a Participant>,
    mark: u32,
) -> usize {
    let order = |s: &Participant| (s.name_hash ^ mark).wrapping_mul(SPREAD);
    // Two of the same hash would both stand first: both stand last instead.
    let before = others.filter(|s| order(s) <= order(own)).count();
    tokens / count + usize::from(before < tokens % count)
}

/// Odd, so that no two instances change places into one.
const SPREAD: u32 = 0x9E37_79B1;

#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small count"
)]
fn local_part(total: usize) -> usize {
    ((total as f64 * NEAR) as usize).max(1).min(total)
}
