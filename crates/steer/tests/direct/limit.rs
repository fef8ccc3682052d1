//! Targets that report a limit of requests a second from all instances together.

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

/// One of `count` instances, with a single target.
fn one_of(count: usize) -> Bench {
    let mut bench = Bench::new(route(), &[wide("t1")]);
    for number in 2..=count {
        let heartbeat = heartbeat(&format!("near-{number}"), 1);
        bench.direct.receive_heartbeat(at(1_000), heartbeat);
    }
    bench
}

fn report_limit(bench: &mut Bench, now: Time, limit: Option<f64>) {
    let feedback = Feedback {
        limit,
        ..Feedback::default()
    };
    bench.direct.apply_feedback(now, "t1", 1, feedback);
}

/// Submits a request every 100 ms in this span and returns the number sent.
fn requests_sent(bench: &mut Bench, from: u64, until: u64) -> usize {
    let times = (from..until).step_by(100);
    times.map(|now| sent_at_once(bench, now, 1)).sum()
}

/// Submits requests at once, answers those that are sent and returns their number.
fn sent_at_once(bench: &mut Bench, now: u64, requests: usize) -> usize {
    for _ in 0..requests {
        bench.submit(at(now), None);
    }
    let mut count = 0;
    for decision in bench.direct.step(at(now)) {
        if let Decision::Send(assignment) = decision {
            count += 1;
            bench.finish(at(now), &assignment, AttemptOutcome::Answered);
        }
    }
    count
}

#[rstest]
#[case::none_taken(0.0, 0)]
#[case::tenth(0.1, 1)]
#[case::quarter(0.25, 2)]
#[case::one(1.0, 8)]
#[case::fraction(2.6, 20)]
fn send_what_limit_allows(#[case] limit: f64, #[case] expected: usize) {
    let mut bench = one_of(1);
    report_limit(&mut bench, at(2_000), Some(limit));
    assert_eq!(requests_sent(&mut bench, 2_100, 10_300), expected);
}

/// The allowance beyond a limit went unused while callers were rejected. A target gets
/// at most twice what it reports.
#[rstest]
#[case::none_taken(0.0, 0)]
#[case::tenth(0.1, 2)]
#[case::one(1.0, 16)]
#[case::ten(10.0, 96)]
fn send_part_of_what_operator_allows(#[case] limit: f64, #[case] expected: usize) {
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
    report_limit(&mut bench, at(2_000), Some(limit));
    let mut all = 0;
    for from in (2_100..10_300).step_by(100) {
        all += sent_at_once(&mut bench, from, 3);
    }
    assert_eq!(all, expected);
}

/// All targets of a region reported limits, and the excess was rejected while other
/// regions had room.
#[test]
fn run_elsewhere_while_home_is_limited() {
    let targets = [wide("t1"), entry("t9", "far-a")];
    let mut bench = Bench::new(route(), &targets);
    report_limit(&mut bench, at(2_000), Some(0.0));
    requests_sent(&mut bench, 2_100, 20_000);
    let served = requests_sent(&mut bench, 20_000, 30_000);
    assert!(served >= 60, "{served} of 100");
}

/// Each instance used the whole limit instead of its allotment.
#[test]
fn keep_to_allotment_of_limit() {
    let mut bench = one_of(7);
    report_limit(&mut bench, at(2_000), Some(2.0));
    let count = requests_sent(&mut bench, 2_100, 6_100);
    assert!(
        (1..=2).contains(&count),
        "{count} of 8 sent by one of seven"
    );
}

/// A lifted limit was still enforced.
#[test]
fn send_freely_once_limit_is_lifted() {
    let mut bench = one_of(7);
    report_limit(&mut bench, at(2_000), Some(1.0));
    assert!(requests_sent(&mut bench, 2_100, 6_000) <= 1);
    bench.direct.store_answered(at(6_000), 1);
    report_limit(&mut bench, at(6_000), None);
    assert!(requests_sent(&mut bench, 6_000, 7_000) >= 10);
}

fn limit_report(rate: Option<f64>, age: Duration) -> LimitReport {
    let target_hash = members::name_hash("t1");
    LimitReport {
        target_hash,
        rate,
        age,
    }
}

fn limit_heartbeat(rate: Option<f64>, age: Duration, seq: u64) -> Heartbeat {
    Heartbeat {
        limits: vec![limit_report(rate, age)],
        ..heartbeat("near-2", seq)
    }
}

/// An instance that got no answer from a target ignored its limit.
#[test]
fn apply_limit_reports_of_others() {
    let mut bench = one_of(7);
    bench
        .direct
        .receive_heartbeat(at(2_000), limit_heartbeat(Some(1.0), MS * 100, 2));
    assert!(requests_sent(&mut bench, 2_100, 6_000) <= 1);
    bench
        .direct
        .receive_heartbeat(at(6_000), limit_heartbeat(None, MS * 100, 3));
    assert!(requests_sent(&mut bench, 6_000, 7_000) >= 10);
}

/// An older report of another instance replaced the limit of a later answer.
#[test]
fn ignore_older_limit_reports() {
    let mut bench = one_of(7);
    report_limit(&mut bench, at(2_000), Some(1.0));
    bench
        .direct
        .receive_heartbeat(at(2_100), limit_heartbeat(None, MS * 900, 2));
    assert!(requests_sent(&mut bench, 2_100, 6_000) <= 1);
}

#[test]
fn report_limits_in_heartbeats() {
    let mut bench = one_of(7);
    report_limit(&mut bench, at(2_000), Some(1.0));
    let report = bench.direct.heartbeat(at(2_300), false);
    assert_eq!(report.limits, [limit_report(Some(1.0), MS * 300)]);
    report_limit(&mut bench, at(3_000), None);
    let report = bench.direct.heartbeat(at(4_000), false);
    assert_eq!(report.limits, [limit_report(None, MS * 1_000)]);
    assert!(bench.direct.heartbeat(at(9_000), false).limits.is_empty());
}

/// Heartbeats reported every target that answered without a limit, and grew by that.
#[test]
fn omit_targets_without_limit() {
    let mut bench = one_of(7);
    report_limit(&mut bench, at(2_000), None);
    report_limit(&mut bench, at(2_100), None);
    assert!(bench.direct.heartbeat(at(2_300), false).limits.is_empty());
}

/// Limits learned from other instances were passed back and forth for ever.
#[test]
fn omit_limits_learned_from_others() {
    let mut bench = one_of(7);
    bench
        .direct
        .receive_heartbeat(at(2_000), limit_heartbeat(Some(1.0), MS * 100, 2));
    assert!(bench.direct.heartbeat(at(2_300), false).limits.is_empty());
}

/// Some limits were never reported when targets with limits exceeded a heartbeat's
/// room.
#[test]
fn report_all_limits_in_turn() {
    let targets: Vec<Entry> = (0..25).map(|i| wide(&format!("t{i}"))).collect();
    let mut bench = Bench::new(route(), &targets);
    for target in &targets {
        let feedback = Feedback {
            limit: Some(1.0),
            ..Feedback::default()
        };
        bench
            .direct
            .apply_feedback(at(1_000), &target.id, 1, feedback);
    }
    let reports = (0..3).flat_map(|_| bench.direct.heartbeat(at(1_100), false).limits);
    let mut hashes: Vec<u32> = reports.map(|n| n.target_hash).collect();
    hashes.sort_unstable();
    hashes.dedup();
    assert_eq!(hashes.len(), 25);
}

/// Nobody probed a target again after it had reported a limit and its few senders
/// stopped.
#[test]
fn probe_limit_once() {
    let mut bench = one_of(7);
    bench.direct.store_answered(at(0), 1);
    report_limit(&mut bench, at(2_000), Some(0.0));
    assert_eq!(
        requests_sent(&mut bench, 2_100, 12_000),
        0,
        "the report is recent"
    );
    let count = requests_sent(&mut bench, 12_000, 42_000);
    assert!((1..=3).contains(&count), "{count} in 30 s");
}

/// A target that restarted under its old name was held to the limit of its former
/// incarnation.
#[test]
fn forget_limit_with_target() {
    let mut bench = one_of(7);
    report_limit(&mut bench, at(2_000), Some(0.0));
    let restarted = Entry {
        incarnation: 2,
        ..wide("t1")
    };
    bench.direct.roster.put(at(3_000), restarted);
    assert_eq!(requests_sent(&mut bench, 3_000, 4_000), 10);
}

#[test]
fn send_to_other_target_beyond_limit() {
    let targets = [wide("t1"), wide("t2")];
    let mut bench = Bench::new(route(), &targets);
    report_limit(&mut bench, at(2_000), Some(0.0));
    assert_eq!(requests_sent(&mut bench, 2_100, 3_100), 10);
}
