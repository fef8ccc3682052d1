//! Retry budget that all instances share.

use core::time::Duration;

use rstest::rstest;
use steer::process::direct::budget::{Budget, Rule};

use super::bench::at;

const RULE: Rule = Rule {
    ratio: 0.2,
    slack: 58.0,
    window: Duration::from_secs(10),
};

/// Every instance spends its budget as soon as it can. The sum over all instances
/// must stay within the operator's bound in every window.
#[rstest]
#[case::one(1)]
#[case::today(7)]
#[case::many(300)]
fn keep_sum_in_every_window(#[case] instances: usize) {
    let mut budgets = vec![Budget::default(); instances];
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for millis in (0..30_000).step_by(50) {
        let now = at(millis);
        for (i, budget) in budgets.iter_mut().enumerate() {
            if (millis / 50 + i as u64).is_multiple_of(4) {
                budget.record_request(now, &RULE);
                requests.push(millis);
            }
            while budget.try_spend(now, &RULE, instances).is_some() {
                retries.push(millis);
            }
        }
    }
    for start in (0..20_000).step_by(500) {
        let within = |times: &[u64]| {
            times
                .iter()
                .filter(|t| (start..start + 10_000).contains(*t))
                .count()
        };
        // Counted in fifths, to stay in integers.
        let bound = within(&requests) + 5 * 58;
        let spent = 5 * within(&retries);
        assert!(spent <= bound, "{spent} fifths from {start}, bound {bound}");
    }
    assert!(!retries.is_empty() || instances == 300);
}

/// Requests earn retries at the rule's ratio, besides the share of the slack.
#[test]
fn earn_by_requests() {
    let mut budget = Budget::default();
    let mut spent = 0;
    for i in 0..100 {
        budget.record_request(at(i), &RULE);
    }
    while budget.try_spend(at(100), &RULE, 1_000).is_some() {
        spent += 1;
    }
    assert_eq!(spent, 16, "0.8 of a fifth of 100 and of 0.058");
}

/// Processes that started anew spent the slack of their predecessors once more, and took
/// all of it while they knew no other instance.
#[rstest]
#[case::all_at_once(7, 5_000, 0)]
#[case::all_every_second(7, 1_000, 0)]
#[case::in_turn(7, 7_000, 1_000)]
#[case::large_all_at_once(100, 5_000, 0)]
#[case::large_in_turn(100, 5_000, 50)]
fn keep_sum_through_restarts(#[case] instances: usize, #[case] life: u64, #[case] stagger: u64) {
    /// Time in which a process knows no other instance.
    const ALONE: u64 = 500;
    let start = |i: usize| 15_000 + stagger * i as u64;
    let mut budgets = vec![(0, Budget::default()); instances];
    let mut retries = Vec::new();
    for millis in (0..40_000).step_by(50) {
        for (i, (started, budget)) in budgets.iter_mut().enumerate() {
            let is_due = millis >= start(i) && (millis - start(i)).is_multiple_of(life);
            if is_due && millis < 30_000 {
                (*started, *budget) = (millis, Budget::default());
            }
            let age = millis - *started;
            let known = if age < ALONE { 1 } else { instances };
            while budget.try_spend(at(age), &RULE, known).is_some() {
                retries.push(millis);
            }
        }
    }
    for from in (0..30_000).step_by(500) {
        let is_within = |t: &&u64| (from..from + 10_000).contains(*t);
        let spent = retries.iter().filter(is_within).count();
        assert!(spent <= 58, "{spent} from {from}");
    }
    assert!(!retries.is_empty() || instances == 100);
}
