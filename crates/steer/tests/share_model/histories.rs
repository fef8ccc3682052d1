//! Random histories of a fleet, in which no cap may be exceeded.

use core::time::Duration;

use rstest::rstest;
use steer::process::control::Safeguards;
use steer::process::share::{self, SETTLING_TIME};
use steer::process::slot;

use super::fleet::Place;
use super::simulation::{Net, Simulation};
use super::{CAP_PER_SECOND, SECOND};

/// Replacements, pauses, partitions of a domain or an instance, changes of caps
/// and layouts, and loans over a faulty network, in random order.
#[rstest]
fn random_histories(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    println!("seed {seed}");
    let guards = share::Guards::default();
    let mut sim = Simulation::new(4, 7, guards, Safeguards::default(), seed);
    sim.net = Net {
        loss: 0.1,
        duplicated: 0.2,
        delay: SECOND,
    };
    sim.commit(7, CAP_PER_SECOND);
    sim.run(slot::QUARANTINE_TIME + SETTLING_TIME + SECOND * 10);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut left = SECOND * 20;
    for _ in 0..120 {
        random_event(&mut sim, &mut rng);
        let pause = Duration::from_millis(rng.u64(10..4_000));
        sim.run(pause);
        left = left.saturating_sub(pause);
        if left.is_zero() {
            sim.fleet.cuts.clear();
            left = Duration::from_secs(rng.u64(5..150));
        }
    }
    let (over, at) = sim.excess;
    assert_eq!(over, 0, "at {at}, seed {seed}");
    assert!(sim.peak() > 0);
}

fn random_event(sim: &mut Simulation, rng: &mut fastrand::Rng) {
    let at = rng.usize(..sim.started());
    let slot = sim.fleet.nodes[at].slot;
    match rng.u32(..21) {
        0..6 => {
            let busy = rng.bool();
            sim.set_busy(at, busy);
        }
        6..8 => sim.fleet.freeze(at),
        8..12 => {
            for at in 0..sim.started() {
                sim.wake(at);
            }
        }
        12 => {
            sim.fleet.start(slot, None);
        }
        13 => {
            let at = sim.fleet.slots[slot];
            if sim.fleet.nodes[at].is_alive && !sim.fleet.nodes[at].is_frozen {
                sim.fleet.stop(at);
                sim.fleet.start(slot, None);
            }
        }
        14 => {
            let at = sim.fleet.slots[slot];
            sim.fleet.kill(at);
            sim.fleet.start(slot, None);
        }
        15 => {
            let domain = Place::Domain(rng.usize(..4));
            for other in (0..4).map(Place::Domain).chain([Place::Store]) {
                if other != domain {
                    sim.fleet.cuts.push((domain, other));
                }
            }
        }
        16 => {
            let one = Place::Slot(rng.usize(..7));
            for other in (0..7).map(Place::Slot).filter(|o| *o != one) {
                sim.fleet.cuts.push((one, other));
            }
        }
        17 => {
            let at = sim.fleet.slots[slot];
            sim.hang_control(at);
        }
        18 | 19 => {
            let cap = rng.u64(10..100);
            sim.commit(7, cap);
        }
        _ => {
            let slots = rng.usize(4..8);
            sim.commit(slots, CAP_PER_SECOND);
        }
    }
}
