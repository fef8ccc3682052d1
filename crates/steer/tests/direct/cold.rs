//! What a cold target gets, as a sum over all instances.

use core::time::Duration;

use rstest::rstest;
use steer::process::direct::Decision;
use steer::process::direct::allotment::{self, Participant};
use steer::process::direct::members::Heartbeat;
use steer::process::direct::target::Entry;

use super::bench::{Bench, at, entry, heartbeat, route};

fn sharer(number: u32, near: bool) -> Participant {
    Participant {
        region: if near { "near".into() } else { "far".into() },
        name_hash: number.wrapping_mul(0x0101_0163),
    }
}

/// A cold target crashes above its rate. Instances don't speak to each other
/// before they send: their parts must add up to the sum at most, and none of
/// it may be left unused where its own region has instances.
#[rstest]
#[case::alone(1, 0)]
#[case::today(2, 5)]
#[case::none_near(0, 7)]
#[case::all_near(7, 0)]
#[case::fleet(9, 18)]
#[case::target(70, 1_430)]
fn share_whole_sum(#[case] near: u32, #[case] far: u32) {
    let all: Vec<Participant> = (0..near + far).map(|i| sharer(i, i < near)).collect();
    for target in [3, 0x7777_1234, u32::MAX] {
        for total in [1, 8, 9, 40] {
            let (mut sum, mut even) = (0, 0);
            for (i, own) in all.iter().enumerate() {
                let mut others = all.clone();
                others.remove(i);
                sum += allotment::allotment(total, own, &others, "near", target);
                even += allotment::equal_allotment(total, own, &others, target);
            }
            assert_eq!((sum, even), (total, total), "of {total} at {target}");
        }
    }
}

fn cold_target() -> Entry {
    Entry {
        slots: 30,
        cold: Duration::from_mins(1),
        ..entry("t1", "near-a")
    }
}

/// Requests that a burst of ten gets through to the cold target at `now`.
fn burst(bench: &mut Bench, now: u64) -> usize {
    let mut sent = 0;
    for i in 0..10 {
        bench.submit(at(now + i), None);
        let orders = bench.direct.step(at(now + i));
        sent += orders
            .iter()
            .filter(|o| matches!(o, Decision::Send(_)))
            .count();
    }
    sent
}

/// Six others share the target: 2 a second x 1.5 + 5 are 8 for all.
fn shared() -> Bench {
    let mut bench = Bench::new(route(), &[cold_target()]);
    for i in 0..6 {
        let heartbeat = heartbeat(&format!("near-{}", i + 2), 1);
        bench.direct.receive_heartbeat(at(2_000), heartbeat);
    }
    bench
}

#[test]
fn keep_to_part() {
    let sent = burst(&mut shared(), 2_000);
    assert!((1..=2).contains(&sent), "{sent} of 8 by one of seven");
}

/// An instance is cut off from the others and from the store for ten seconds.
/// It hears nobody, yet callers reach it and it reaches the cold target, as the
/// others do: it must not take the whole sum for itself.
#[test]
fn keep_to_part_while_cut_off() {
    let mut bench = shared();
    bench.direct.sweep(at(12_000));
    let sent = burst(&mut bench, 12_000);
    assert!((1..=2).contains(&sent), "{sent} of 8 by one of seven");
}

/// Another instance has told that it stops. Until it is gone it answers those
/// that are still connected to it, and uses its part.
#[test]
fn leave_part_to_leaving_instance() {
    let mut bench = Bench::new(route(), &[cold_target()]);
    let leaving = |seq| Heartbeat {
        is_leaving: true,
        ..heartbeat("near-2", seq)
    };
    bench.direct.receive_heartbeat(at(2_000), leaving(1));
    assert_eq!(burst(&mut bench, 2_000), 3);
    bench.direct.sweep(at(8_000));
    assert!(burst(&mut bench, 8_000) > 3, "it is gone");
}

/// A target turns cold while an instance is cut off from the store and from
/// all others. Nobody tells it; it takes any target for cold until it hears.
#[test]
fn take_targets_for_cold_while_cut_off() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    for i in 0..6 {
        let heartbeat = heartbeat(&format!("near-{}", i + 2), 1);
        bench.direct.receive_heartbeat(at(2_000), heartbeat);
    }
    bench.direct.store_answered(at(2_000), 1);
    assert!(burst(&mut bench, 3_000) > 2, "in touch, it isn't cold");
    let sent = burst(&mut bench, 8_000);
    assert!(sent <= 2, "{sent} of 6 by one of seven, cut off");
}

/// An instance is killed and replaced within a second. The one before has used
/// its part in that second.
#[test]
fn start_with_nothing() {
    let mut bench = Bench::new(route(), &[cold_target()]);
    assert_eq!(burst(&mut bench, 500), 0);
    assert!(burst(&mut bench, 1_300) > 0);
}
