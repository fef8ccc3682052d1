//! Notices between instances of what targets have asked of them.

use core::time::Duration;

use steer::process::direct::members;
use steer::process::direct::notice::TargetNotice;
use steer::process::direct::target::{Entry, Feedback};

use super::bench::{Bench, MS, at, entry, route};

const SECOND: Duration = Duration::from_secs(1);

fn two_targets() -> Bench {
    Bench::new(route(), &[entry("t1", "near-a"), entry("t2", "near-b")])
}

fn notice(target: &str, backoff: Duration, is_leaving: bool) -> TargetNotice {
    TargetNotice {
        target_hash: members::name_hash(target),
        incarnation: 1,
        backoff,
        is_leaving,
    }
}

/// Targets that three idle requests of different objects go to.
fn targets_of(bench: &mut Bench, from: u64) -> Vec<String> {
    let target = |i: u64| {
        let sent = bench.serve(at(from + i * 1_000), from + i, 100 * MS);
        sent.target.as_ref().to_owned()
    };
    (0..3).map(target).collect()
}

/// Each instance of a fleet was turned away once before it knew of a backoff.
#[test]
fn prefer_others_while_told_of_backoff() {
    let mut bench = two_targets();
    let told = notice("t1", 5 * SECOND, false);
    bench.direct.receive_target_notices(at(1_000), &[told]);
    assert!(targets_of(&mut bench, 1_100).iter().all(|t| t == "t2"));
}

/// A backoff that was asked of another instance left callers without an answer. It binds
/// that instance alone.
#[test]
fn use_target_that_backs_off_for_others() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    let told = notice("t1", 5 * SECOND, false);
    bench.direct.receive_target_notices(at(1_000), &[told]);
    assert_eq!(&*bench.send(at(1_100), Some(5)).target, "t1");
}

#[test]
fn avoid_target_told_to_be_leaving() {
    let mut bench = two_targets();
    let told = notice("t1", Duration::ZERO, true);
    bench.direct.receive_target_notices(at(1_000), &[told]);
    assert!(targets_of(&mut bench, 20_000).iter().all(|t| t == "t2"));
}

/// A notice about an earlier incarnation shut out the one after it.
#[test]
fn ignore_notice_about_other_incarnation() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    let told = TargetNotice {
        incarnation: 7,
        ..notice("t1", Duration::ZERO, true)
    };
    bench.direct.receive_target_notices(at(1_000), &[told]);
    assert_eq!(&*bench.send(at(1_100), Some(5)).target, "t1");
}

/// Notices were passed to and fro for ever.
#[test]
fn pass_on_own_notices_only() {
    let mut bench = two_targets();
    let told = notice("t1", 5 * SECOND, true);
    bench.direct.receive_target_notices(at(1_000), &[told]);
    assert!(bench.direct.target_notices(at(1_100)).is_empty());
    let feedback = Feedback {
        backoff: Some(2 * SECOND),
        ..Feedback::default()
    };
    bench.direct.apply_feedback(at(1_200), "t2", 1, feedback);
    let expected = notice("t2", SECOND, false);
    assert_eq!(bench.direct.target_notices(at(2_200)), [expected]);
    assert!(bench.direct.target_notices(at(3_200)).is_empty());
}

/// A message grew with the number of targets that backed off, or left some out for ever.
#[test]
fn bound_message_and_tell_all_in_turn() {
    let targets: Vec<Entry> = (0..30).map(|i| entry(&format!("t{i}"), "near-a")).collect();
    let mut bench = Bench::new(route(), &targets);
    for target in &targets {
        let feedback = Feedback {
            is_leaving: true,
            ..Feedback::default()
        };
        bench
            .direct
            .apply_feedback(at(1_000), &target.id, 1, feedback);
    }
    let mut told = Vec::new();
    for _ in 0..3 {
        let notices = bench.direct.target_notices(at(1_100));
        assert!(notices.len() <= 12);
        told.extend(notices.into_iter().map(|n| n.target_hash));
    }
    told.sort_unstable();
    told.dedup();
    assert_eq!(told.len(), 30);
}
