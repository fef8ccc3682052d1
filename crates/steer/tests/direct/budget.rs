//! Retry budget that all instances share.

use core::time::Duration;

use fastrand::Rng;
use rstest::rstest;
use steer::process::direct::budget::{Budget, Rule};
use steer::process::direct::{AttemptOutcome, Bounds, Decision, FollowUp, Rejection};
use steer::version::routes::Route;

use super::bench::{Bench, at, entry, route};

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

/// Requests earn retries at half of the rule's ratio, besides the share of the slack.
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
    assert_eq!(spent, 10, "half of a fifth of 100, and none of 0.058");
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

/// What the operator counts: times in milliseconds at which callers sent requests and at
/// which retries arrived at targets.
#[derive(Default)]
struct Operator {
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl Operator {
    const WINDOW: u64 = 10_000;
    /// Time between the starts of two windows.
    const STEP: usize = 50;

    /// Largest number of retries in a window over what its requests allow; the requests are
    /// those of that window, of the one before or of the one half a window before,
    /// whichever has most.
    #[allow(
        clippy::cast_precision_loss,
        reason = "counts within a window are small"
    )]
    fn largest_use(mut self) -> f64 {
        self.requests.sort_unstable();
        self.retries.sort_unstable();
        let count = |times: &[u64], start: u64| {
            let before = |end: u64| times.partition_point(|t| *t < end);
            before(start + Self::WINDOW) - before(start)
        };
        let use_from = |start: u64| {
            let back = [0, Self::WINDOW / 2, Self::WINDOW];
            let requests = back.map(|back| count(&self.requests, start.saturating_sub(back)));
            let most = requests.into_iter().max().unwrap_or_default();
            count(&self.retries, start) as f64 / (RULE.ratio * most as f64 + RULE.slack)
        };
        let last = self.retries.last().copied().unwrap_or_default();
        let starts = (Self::WINDOW..last).step_by(Self::STEP);
        starts.map(use_from).fold(0.0, f64::max)
    }
}

/// Instances counted the requests of two waves as one window's, which no window of the
/// operator holds both.
#[rstest]
#[case::at_all(|_| true, |_| true)]
#[case::at_other_instances(|i| i < 3, |i| i >= 3)]
fn keep_sum_over_two_waves(
    #[case] is_in_first: fn(usize) -> bool,
    #[case] is_in_second: fn(usize) -> bool,
    #[values(8_000, 9_500, 12_000)] gap: u64,
) {
    const INSTANCES: usize = 7;
    const FIRST: u64 = 20_000;
    let mut budgets = vec![Budget::default(); INSTANCES];
    let mut seen = Operator::default();
    for millis in (0..50_000).step_by(50) {
        for (i, budget) in budgets.iter_mut().enumerate() {
            let is_wave = |start: u64| (start..start + 1_000).contains(&millis);
            let first = is_wave(FIRST) && is_in_first(i);
            let second = is_wave(FIRST + gap) && is_in_second(i);
            for _ in 0..if first || second { 20 } else { 1 } {
                budget.record_request(at(millis), &RULE);
                seen.requests.push(millis);
            }
            while millis >= FIRST + 4_000
                && budget.try_spend(at(millis), &RULE, INSTANCES).is_some()
            {
                seen.retries.push(millis);
            }
        }
    }
    assert!(!seen.retries.is_empty());
    let largest = seen.largest_use();
    assert!(largest <= 1.0, "{largest} of the bound");
}

/// Waves, outages, requests that are read late and retries that arrive late added up to more
/// retries in a window than its requests allow.
#[rstest]
fn keep_sum_under_waves_and_delays(#[values(3, 7)] instances: usize) {
    for seed in 0..60 {
        let mut rng = Rng::with_seed(seed);
        let mut budgets = vec![Budget::default(); instances];
        let mut seen = Operator::default();
        // Waves and outages begin about a window apart, and delays differ by instance.
        let mut wave = vec![0..0; instances];
        let mut outage = vec![0..0; instances];
        let mut read_delay = vec![0; instances];
        let mut transit = vec![0; instances];
        for millis in (0..70_000).step_by(50) {
            for (i, budget) in budgets.iter_mut().enumerate() {
                if millis >= wave[i].end + 7_000 && rng.u32(..20) == 0 {
                    wave[i] = millis..millis + rng.u64(200..2_000);
                    read_delay[i] = rng.u64(..1_000);
                }
                if millis >= outage[i].end && rng.u32(..50) == 0 {
                    outage[i] = millis..millis + rng.u64(500..9_000);
                    transit[i] = rng.u64(..2_500);
                }
                for _ in 0..if wave[i].contains(&millis) { 15 } else { 1 } {
                    budget.record_request(at(millis), &RULE);
                    seen.requests.push(millis.saturating_sub(read_delay[i]));
                }
                while outage[i].contains(&millis)
                    && budget.try_spend(at(millis), &RULE, instances).is_some()
                {
                    // What lies behind a cut arrives when the cut heals.
                    let healed = (millis + transit[i]).min(outage[i].end).max(millis);
                    seen.retries.push(healed);
                }
            }
        }
        let largest = seen.largest_use();
        assert!(largest <= 1.0, "seed {seed}: {largest} of the bound");
    }
}

/// A retry that waited for a target was sent long after it was allowed, by requests that were
/// long past.
#[rstest]
#[case::recent_requests(true)]
#[case::no_recent_requests(false)]
fn renew_permission_of_retry_that_waited(#[case] has_requests: bool) {
    let route = Route {
        timeout: Duration::from_mins(2),
        latency_goal: Duration::from_mins(1),
        ..route()
    };
    let only_earned = |bounds: Bounds| Bounds {
        retries: Rule {
            slack: 0.0,
            ..bounds.retries
        },
        ..bounds
    };
    let mut bench = Bench::bounded(route, &[entry("t1", "near-a")], only_earned);
    bench.submit_until(at(0), Some(1), at(120_000));
    let Some(Decision::Send(first)) = bench.decide(at(0)) else {
        panic!("a target is free");
    };
    let follow_up = bench.finish(at(10), &first, AttemptOutcome::Failed);
    assert_eq!(follow_up, FollowUp::Retry);
    assert_eq!(bench.decide(at(20)), None, "there is no other target");
    if has_requests {
        bench.submit_until(at(5_000), Some(2), at(120_000));
        assert!(matches!(bench.decide(at(5_000)), Some(Decision::Send(_))));
    }
    bench.direct.roster.put(at(6_000), entry("t2", "near-a"));
    match bench.decide(at(6_000)) {
        Some(Decision::Send(retry)) => {
            assert!(has_requests, "no request has earned it");
            assert_eq!(retry.ticket, first.ticket);
            assert_eq!(retry.grant.map(|grant| grant.at), Some(at(6_000)));
        }
        Some(Decision::Reject { reason, .. }) => {
            assert!(!has_requests, "a request has earned it");
            assert_eq!(reason, Rejection::OutcomeUnknown);
        }
        other => panic!("not decided: {other:?}"),
    }
}

/// Instances that started behind a cut, each with no knowledge of the others, used the whole
/// slack each.
#[rstest]
#[case::no_contact(None, FollowUp::Settled)]
#[case::contact_just_made(Some(29_000), FollowUp::Settled)]
#[case::contact_for_a_window(Some(14_000), FollowUp::Retry)]
fn use_no_slack_before_instances_are_known(
    #[case] contact: Option<u64>,
    #[case] expected: FollowUp,
) {
    let targets = [entry("t1", "near-a"), entry("t2", "near-a")];
    let mut bench = Bench::bounded(route(), &targets, |bounds| Bounds {
        retries: Rule {
            ratio: 0.0,
            ..bounds.retries
        },
        ..bounds
    });
    if let Some(millis) = contact {
        bench.direct.store_answered(at(millis), 1);
    }
    let sent = bench.send(at(30_000), Some(1));
    let follow_up = bench.finish(at(30_010), &sent, AttemptOutcome::Failed);
    assert_eq!(follow_up, expected);
}
