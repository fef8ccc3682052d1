//! Bound on requests to a cold target, as a sum over all instances.

use core::time::Duration;

use rstest::rstest;
use steer::process::direct::Decision;
use steer::process::direct::allotment::{self, Participant};
use steer::process::direct::members::Heartbeat;
use steer::process::direct::target::Entry;

use super::bench::{Bench, at, entry, heartbeat, route};

fn participant(number: u32, is_near: bool) -> Participant {
    Participant {
        region: if is_near { "near".into() } else { "far".into() },
        name_hash: number.wrapping_mul(0x0101_0163),
    }
}

/// A cold target crashes above its rate, and instances don't communicate before they
/// send. Their allotments must add up to the bound exactly: not more, and nothing of
/// it may be left unused.
#[rstest]
#[case::alone(1, 0)]
#[case::today(2, 5)]
#[case::none_near(0, 7)]
#[case::all_near(7, 0)]
#[case::fleet(9, 18)]
#[case::target(70, 1_430)]
fn divide_bound_completely(#[case] near: u32, #[case] far: u32) {
    let all: Vec<Participant> = (0..near + far).map(|i| participant(i, i < near)).collect();
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

/// Submits ten requests from `now` on, in milliseconds, and counts those sent.
fn burst(bench: &mut Bench, now: u64) -> usize {
    let mut sent = 0;
    for i in 0..10 {
        bench.submit(at(now + i), None);
        let decisions = bench.direct.step(at(now + i));
        sent += decisions
            .iter()
            .filter(|d| matches!(d, Decision::Send(_)))
            .count();
    }
    sent
}

/// Sets up a cold target that seven instances share: 2 per second x 1.5 + 5 are 8
/// for all of them.
fn with_seven_instances() -> Bench {
    let mut bench = Bench::new(route(), &[cold_target()]);
    bench.direct.store_answered(at(0), 1);
    for i in 0..6 {
        let heartbeat = heartbeat(&format!("near-{}", i + 2), 1);
        bench.direct.receive_heartbeat(at(2_000), heartbeat);
    }
    bench
}

#[test]
fn keep_to_allotment() {
    let sent = burst(&mut with_seven_instances(), 2_000);
    assert!((1..=2).contains(&sent), "{sent} of 8 by one of seven");
}

/// An instance is cut off from the others and from the store for ten seconds, while
/// callers still reach it and it reaches the cold target, as the others do. It must
/// not use the whole bound by itself.
#[test]
fn keep_to_allotment_while_cut_off() {
    let mut bench = with_seven_instances();
    bench.direct.sweep(at(12_000));
    let sent = burst(&mut bench, 12_000);
    assert!((1..=2).contains(&sent), "{sent} of 8 by one of seven");
}

/// Another instance has announced that it stops. Until it is gone, it still serves the
/// callers connected to it and uses its allotment, which must be left to it.
#[test]
fn leave_allotment_to_leaving_instance() {
    let mut bench = Bench::new(route(), &[cold_target()]);
    bench.direct.store_answered(at(0), 1);
    let leaving = |seq| Heartbeat {
        is_leaving: true,
        ..heartbeat("near-2", seq)
    };
    bench.direct.receive_heartbeat(at(2_000), leaving(1));
    assert_eq!(burst(&mut bench, 2_000), 3);
    bench.direct.sweep(at(8_000));
    assert!(burst(&mut bench, 8_000) > 3, "the other instance is gone");
}

/// A target becomes cold while an instance is cut off from the store and from all
/// others. The instance can't know, and must treat every target as cold meanwhile.
#[test]
fn treat_targets_as_cold_while_cut_off() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    for i in 0..6 {
        let heartbeat = heartbeat(&format!("near-{}", i + 2), 1);
        bench.direct.receive_heartbeat(at(2_000), heartbeat);
    }
    bench.direct.store_answered(at(2_000), 1);
    assert!(
        burst(&mut bench, 3_000) > 2,
        "in touch with the store, the target isn't cold"
    );
    let sent = burst(&mut bench, 8_000);
    assert!(sent <= 2, "{sent} of 6 by one of seven, cut off");
}

/// An instance is killed and restarted within a second. Its earlier process has used
/// the allotment of that second, so that the new one must send nothing in it.
#[test]
fn send_nothing_right_after_start() {
    let mut bench = Bench::new(route(), &[cold_target()]);
    bench.direct.store_answered(at(0), 1);
    assert_eq!(burst(&mut bench, 500), 0);
    assert!(burst(&mut bench, 1_300) > 0);
}

/// Instances that started together knew the targets, but not yet each other, and each used
/// most of a cold target's bound.
#[test]
fn send_nothing_before_instances_are_known() {
    let mut bench = Bench::new(route(), &[cold_target()]);
    assert_eq!(burst(&mut bench, 2_000), 0);
    bench.direct.store_answered(at(3_000), 1);
    assert_eq!(
        burst(&mut bench, 3_010),
        0,
        "others may be about to register"
    );
    assert!(burst(&mut bench, 4_300) > 0);
}
