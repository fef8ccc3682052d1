//! Allotment of this instance in a number of requests that all instances together may
//! send to a target.
//!
//! The load on a target that is cold or reports a limit is bounded as a sum over all
//! instances, including those that are stopping or partitioned. Instances do not
//! coordinate before they send: each computes its allotment from the membership list.
//! Most of the sum goes to instances of the target's region, which send it most of its
//! requests; equal allotments would leave most of the sum unused while callers are
//! rejected.
//!
//! Invariant: the allotments of instances that know the same members never add up to
//! more than the sum.

use std::sync::Arc;

/// Instance that may send requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Participant {
    /// Region of the instance.
    pub region: Arc<str>,
    /// Hash of its name.
    pub name_hash: u32,
}

/// Fraction of the sum for instances of the target's region, at least one request, if
/// other regions have instances too. Those need the rest, since a region with too few
/// targets sends some of its requests to other regions.
const LOCAL_RATIO: f64 = 0.75;

/// Allotment of `own` in `total` requests to the target with the hash `target_hash` in
/// `region`. `others` are all other instances.
#[must_use]
pub fn allotment(
    total: usize,
    own: &Participant,
    others: &[Participant],
    region: &str,
    target_hash: u32,
) -> usize {
    let is_local = |s: &Participant| *s.region == *region;
    let local = others.iter().filter(|s| is_local(s)).count() + usize::from(is_local(own));
    let remote = others.len() + 1 - local;
    let (count, requests) = match (is_local(own), local, remote) {
        (true, _, 0) => (local, total),
        (true, ..) => (local, local_total(total)),
        (false, 0, _) => (remote, total),
        (false, ..) => (remote, total - local_total(total)),
    };
    let side = others.iter().filter(|s| is_local(s) == is_local(own));
    divide(requests, count, own, side, target_hash)
}

/// Allotment of `own` in `total` requests that are divided equally among all instances,
/// whatever their region; `item_hash` identifies what is divided.
#[must_use]
pub fn equal_allotment(
    total: usize,
    own: &Participant,
    others: &[Participant],
    item_hash: u32,
) -> usize {
    divide(total, others.len() + 1, own, others.iter(), item_hash)
}

/// Allotment of `own` in `requests` divided among `count` instances; `others` are the
/// rest of these.
fn divide<'a>(
    requests: usize,
    count: usize,
    own: &Participant,
    others: impl Iterator<Item = &'a Participant>,
    item_hash: u32,
) -> usize {
    let order = |s: &Participant| (s.name_hash ^ item_hash).wrapping_mul(ORDER_MULTIPLIER);
    // Two instances with equal hashes would both come first; this puts both last.
    let before = others.filter(|s| order(s) <= order(own)).count();
    requests / count + usize::from(before < requests % count)
}

/// Odd, so the multiplication maps no two hashes to one.
const ORDER_MULTIPLIER: u32 = 0x9E37_79B1;

#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small count"
)]
fn local_total(total: usize) -> usize {
    ((total as f64 * LOCAL_RATIO) as usize).max(1).min(total)
}
