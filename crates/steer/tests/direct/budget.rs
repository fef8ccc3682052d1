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
            while budget.try_spend(now, &RULE, instances) {
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
    while budget.try_spend(at(100), &RULE, 1_000) {
        spent += 1;
    }
    assert_eq!(spent, 16, "0.8 of a fifth of 100 and of 0.058");
}
