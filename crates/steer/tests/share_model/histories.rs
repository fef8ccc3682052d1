//! Caps as sums over a whole fleet through histories drawn at random.

use core::time::Duration;

use rstest::rstest;
use steer::process::control::Safeguards;
use steer::process::share::{self, SETTLING_TIME};
use steer::process::slot;

use super::bench::{Bench, Net};
use super::fleet::Place;
use super::{CAP, SECOND};

/// Histories drawn at random: replacements, pauses, cuts of a domain or an
/// instance, changes of caps and layouts, loans over a bad network.
#[rstest]
fn random_histories(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    println!("seed {seed}");
    let guards = share::Guards::default();
    let mut bench = Bench::new(4, 7, guards, Safeguards::default(), seed);
    bench.net = Net {
        loss: 0.1,
        twice: 0.2,
        delay: SECOND,
    };
    bench.commit(7, CAP);
    bench.run(slot::QUARANTINE_TIME + SETTLING_TIME + SECOND * 10);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut left = SECOND * 20;
    for _ in 0..120 {
        random_event(&mut bench, &mut rng);
        let pause = Duration::from_millis(rng.u64(10..4_000));
        bench.run(pause);
        left = left.saturating_sub(pause);
        if left.is_zero() {
            bench.fleet.cuts.clear();
            left = Duration::from_secs(rng.u64(5..150));
        }
    }
    let (over, at) = bench.over;
    assert_eq!(over, 0, "at {at}, seed {seed}");
    assert!(bench.most() > 0);
}

fn random_event(bench: &mut Bench, rng: &mut fastrand::Rng) {
    let at = rng.usize(..bench.started());
    let slot = bench.fleet.nodes[at].slot;
    match rng.u32(..21) {
        0..6 => {
            let busy = rng.bool();
            bench.busy(at, busy);
        }
        6..8 => bench.fleet.freeze(at),
        8..12 => {
            for at in 0..bench.started() {
                bench.wake(at);
            }
        }
        12 => {
            bench.fleet.start(slot, None);
        }
        13 => {
            let at = bench.fleet.slots[slot];
            if bench.fleet.nodes[at].is_alive && !bench.fleet.nodes[at].is_frozen {
                bench.fleet.stop(at);
                bench.fleet.start(slot, None);
            }
        }
        14 => {
            let at = bench.fleet.slots[slot];
            bench.fleet.kill(at);
            bench.fleet.start(slot, None);
        }
        15 => {
            let domain = Place::Domain(rng.usize(..4));
            for other in (0..4).map(Place::Domain).chain([Place::Store]) {
                if other != domain {
                    bench.fleet.cuts.push((domain, other));
                }
            }
        }
        16 => {
            let one = Place::Slot(rng.usize(..7));
            for other in (0..7).map(Place::Slot).filter(|o| *o != one) {
                bench.fleet.cuts.push((one, other));
            }
        }
        17 => {
            let at = bench.fleet.slots[slot];
            bench.hang(at);
        }
        18 | 19 => {
            let cap = rng.u64(10..100);
            bench.commit(7, cap);
        }
        _ => {
            let slots = rng.usize(4..8);
            bench.commit(slots, CAP);
        }
    }
}
