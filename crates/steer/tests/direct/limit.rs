//! Targets that name a limit of requests a second from all instances together.

use core::time::Duration;

use rstest::rstest;
use steer::clock::Time;
use steer::process::direct::limit::{LimitReport, Rule};
use steer::process::direct::members::{self, Heartbeat};
use steer::process::direct::target::{Entry, Feedback};
use steer::process::direct::{AttemptOutcome, Bounds, Decision};

use super::bench::{Bench, MS, at, entry, heartbeat, route};

fn wide(id: &str) -> Entry {
    Entry {
        slots: 100,
        ..entry(id, "near-a")
    }
}

/// One of `count` instances, with the only target.
fn one_of(count: usize) -> Bench {
    let mut bench = Bench::new(route(), &[wide("t1")]);
    for number in 2..=count {
        let heartbeat = heartbeat(&format!("near-{number}"), 1);
        bench.direct.receive_heartbeat(at(1_000), heartbeat);
    }
    bench
}

fn name(bench: &mut Bench, now: Time, limit: Option<f64>) {
    let word = Feedback { load: None, limit };
    bench.direct.apply_feedback(now, "t1", word);
}

/// Requests sent of one every 100 ms, in this span.
fn sent(bench: &mut Bench, from: u64, upto: u64) -> usize {
    let mut sent = 0;
    for now in (from..upto).step_by(100) {
        bench.submit(at(now), None);
        for order in bench.direct.step(at(now)) {
            if let Decision::Send(go) = order {
                sent += 1;
                bench
                    .direct
                    .finish_attempt(at(now), go.ticket, AttemptOutcome::Answered);
            }
        }
    }
    sent
}

#[rstest]
#[case::none_taken(0.0, 0)]
#[case::tenth(0.1, 1)]
#[case::quarter(0.25, 2)]
#[case::one(1.0, 8)]
#[case::fraction(2.6, 20)]
fn send_what_limit_allows(#[case] limit: f64, #[case] most: usize) {
    let mut bench = one_of(1);
    name(&mut bench, at(2_000), Some(limit));
    assert_eq!(sent(&mut bench, 2_100, 10_300), most);
}

/// What the operator allows beyond a limit went unused while callers were rejected;
/// a target gets twice what it names at most.
#[rstest]
#[case::none_taken(0.0, 0)]
#[case::tenth(0.1, 2)]
#[case::one(1.0, 16)]
#[case::ten(10.0, 96)]
fn send_part_of_what_operator_allows(#[case] limit: f64, #[case] most: usize) {
    let rule = Rule {
        window: Duration::from_secs(4),
        factor: 1.5,
        slack: 5.0,
    };
    let bounds = |bounds| Bounds {
        limit: rule,
        ..bounds
    };
    let mut bench = Bench::bounded(route(), &[wide("t1")], bounds);
    name(&mut bench, at(2_000), Some(limit));
    let mut all = 0;
    for from in (2_100..10_300).step_by(100) {
        all += sent_at_once(&mut bench, from);
    }
    assert_eq!(all, most);
}

/// Requests sent of three that come at once.
fn sent_at_once(bench: &mut Bench, now: u64) -> usize {
    for _ in 0..3 {
        bench.submit(at(now), None);
    }
    let mut sent = 0;
    for order in bench.direct.step(at(now)) {
        if let Decision::Send(go) = order {
            sent += 1;
            bench
                .direct
                .finish_attempt(at(now), go.ticket, AttemptOutcome::Answered);
        }
    }
    sent
}

/// All targets of a region named a limit, and what they didn't take was rejected
/// while other regions had room.
#[test]
fn run_elsewhere_while_home_is_limited() {
    let targets = [wide("t1"), entry("t9", "far-a")];
    let mut bench = Bench::new(route(), &targets);
    name(&mut bench, at(2_000), Some(0.0));
    sent(&mut bench, 2_100, 20_000);
    let served = sent(&mut bench, 20_000, 30_000);
    assert!(served >= 60, "{served} of 100");
}

/// Each instance took the whole limit for itself.
#[test]
fn keep_to_part_of_limit() {
    let mut bench = one_of(7);
    name(&mut bench, at(2_000), Some(2.0));
    let sent = sent(&mut bench, 2_100, 6_100);
    assert!((1..=2).contains(&sent), "{sent} of 8 by one of seven");
}

/// A limit that was lifted went on to bind.
#[test]
fn send_freely_once_limit_is_lifted() {
    let mut bench = one_of(7);
    name(&mut bench, at(2_000), Some(1.0));
    assert!(sent(&mut bench, 2_100, 6_000) <= 1);
    bench.direct.store_answered(at(6_000), 1);
    name(&mut bench, at(6_000), None);
    assert!(sent(&mut bench, 6_000, 7_000) >= 10);
}

fn named(rate: Option<f64>, age: Duration) -> LimitReport {
    let mark = members::name_hash("t1");
    LimitReport {
        target_hash: mark,
        rate,
        age,
    }
}

fn told(rate: Option<f64>, age: Duration, seq: u64) -> Heartbeat {
    Heartbeat {
        limits: vec![named(rate, age)],
        ..heartbeat("near-2", seq)
    }
}

/// An instance that got no answer of a target went on as before.
#[test]
fn hear_of_limit_and_its_end_from_others() {
    let mut bench = one_of(7);
    bench
        .direct
        .receive_heartbeat(at(2_000), told(Some(1.0), MS * 100, 2));
    assert!(sent(&mut bench, 2_100, 6_000) <= 1);
    bench
        .direct
        .receive_heartbeat(at(6_000), told(None, MS * 100, 3));
    assert!(sent(&mut bench, 6_000, 7_000) >= 10);
}

/// What another instance had heard before the last answer here undid that answer.
#[test]
fn pass_over_older_word_of_others() {
    let mut bench = one_of(7);
    name(&mut bench, at(2_000), Some(1.0));
    bench
        .direct
        .receive_heartbeat(at(2_100), told(None, MS * 900, 2));
    assert!(sent(&mut bench, 2_100, 6_000) <= 1);
}

#[test]
fn tell_others_what_targets_said() {
    let mut bench = one_of(7);
    name(&mut bench, at(2_000), Some(1.0));
    let beat = bench.direct.heartbeat(at(2_300), false);
    assert_eq!(beat.limits, [named(Some(1.0), MS * 300)]);
    name(&mut bench, at(3_000), None);
    let beat = bench.direct.heartbeat(at(4_000), false);
    assert_eq!(beat.limits, [named(None, MS * 1_000)]);
    assert!(bench.direct.heartbeat(at(9_000), false).limits.is_empty());
}

/// Heartbeats told of every target that answered without a limit, and grew by that.
#[test]
fn tell_nothing_where_no_limit_was() {
    let mut bench = one_of(7);
    name(&mut bench, at(2_000), None);
    name(&mut bench, at(2_100), None);
    assert!(bench.direct.heartbeat(at(2_300), false).limits.is_empty());
}

/// What was heard of others went to and fro between instances for ever.
#[test]
fn tell_others_own_word_only() {
    let mut bench = one_of(7);
    bench
        .direct
        .receive_heartbeat(at(2_000), told(Some(1.0), MS * 100, 2));
    assert!(bench.direct.heartbeat(at(2_300), false).limits.is_empty());
}

/// More targets named limits than a heartbeat has room for, and some were never
/// told.
#[test]
fn tell_all_limits_in_turn() {
    let targets: Vec<Entry> = (0..25).map(|i| wide(&format!("t{i}"))).collect();
    let mut bench = Bench::new(route(), &targets);
    for target in &targets {
        let word = Feedback {
            load: None,
            limit: Some(1.0),
        };
        bench.direct.apply_feedback(at(1_000), &target.id, word);
    }
    let beats = (0..3).flat_map(|_| bench.direct.heartbeat(at(1_100), false).limits);
    let mut marks: Vec<u32> = beats.map(|n| n.target_hash).collect();
    marks.sort_unstable();
    marks.dedup();
    assert_eq!(marks.len(), 25);
}

/// A target named a limit, its few senders went quiet, and nobody ever asked it
/// again.
#[test]
fn ask_once_whether_limit_holds() {
    let mut bench = one_of(7);
    name(&mut bench, at(2_000), Some(0.0));
    assert_eq!(sent(&mut bench, 2_100, 12_000), 0, "news is fresh");
    let sent = sent(&mut bench, 12_000, 42_000);
    assert!((1..=3).contains(&sent), "{sent} in 30 s");
}

/// A target that has started anew under its old name was held to the limit of its
/// last life.
#[test]
fn forget_limit_with_target() {
    let mut bench = one_of(7);
    name(&mut bench, at(2_000), Some(0.0));
    let anew = Entry {
        incarnation: 2,
        ..wide("t1")
    };
    bench.direct.roster.put(at(3_000), anew);
    assert_eq!(sent(&mut bench, 3_000, 4_000), 10);
}

#[test]
fn go_to_other_target_beyond_limit() {
    let targets = [wide("t1"), wide("t2")];
    let mut bench = Bench::new(route(), &targets);
    name(&mut bench, at(2_000), Some(0.0));
    assert_eq!(sent(&mut bench, 2_100, 3_100), 10);
}
