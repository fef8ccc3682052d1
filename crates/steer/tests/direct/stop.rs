//! Requests at an instance that was told to stop.

use core::time::Duration;

use rstest::rstest;
use steer::process::direct::{AttemptOutcome, Decision, FollowUp, Rejection, Withheld};
use steer::version::routes::Route;

use super::bench::{Bench, MS, at, entry, route};

/// All slots are taken by long requests when the process is told to stop. A request
/// that still waited at its end would get no answer. It must be rejected in time, so
/// that the caller can try another instance.
#[test]
fn reject_who_still_waits() {
    let patient = Route {
        timeout: Duration::from_secs(20),
        ..route()
    };
    let mut bench = Bench::new(patient, &[entry("t1", "near-a")]);
    bench.serve(at(0), 1, 900 * MS);
    for _ in 0..4 {
        bench.send(at(1_000), Some(1));
    }
    bench.direct.stop(at(0), at(2_500));
    bench.submit_until(at(1_100), Some(1), at(21_000));
    let mut rejected = None;
    for millis in (1_100..2_500).step_by(25) {
        if let Some(Decision::Reject { reason, .. }) = bench.decide(at(millis)) {
            assert_eq!(reason, Rejection::Overload);
            rejected.get_or_insert(millis);
        }
    }
    assert!(
        rejected.is_some(),
        "the request still waits when the process ends"
    );
}

/// A slot is free, but the request would take longer than the process lasts.
#[test]
fn reject_what_outlasts_process() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    bench.serve(at(0), 1, 900 * MS);
    bench.direct.stop(at(0), at(2_500));
    let sent = bench.send(at(1_000), Some(1));
    bench
        .direct
        .finish_attempt(at(1_900), sent.ticket, AttemptOutcome::Answered);
    bench.submit(at(2_000), Some(1));
    let decision = bench.decide(at(2_000));
    assert!(
        matches!(decision, Some(Decision::Reject { .. })),
        "{decision:?}"
    );
}

/// The caller's deadline still holds if it comes before the end of the process.
#[test]
fn keep_callers_limit() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    bench.direct.stop(at(0), at(60_000));
    let ticket = bench.submit_until(at(1_000), None, at(2_000));
    let limit = bench.direct.time_limit(ticket);
    assert!(limit.is_some_and(|l| l <= at(2_000) && l > at(2_000) - Duration::from_millis(100)));
}

/// Longest limit of these requests, of the route and of the caller.
const LIMIT: Duration = Duration::from_secs(8);

/// An instance told to stop at 20 s, with a grace period of 10 s, that expects 0.6 s of work
/// of a route whose timeout is [`LIMIT`].
fn stopping(targets: &[&str]) -> Bench {
    let patient = Route {
        timeout: LIMIT,
        ..route()
    };
    let entries: Vec<_> = targets.iter().map(|id| entry(id, "near-a")).collect();
    let mut bench = Bench::new(patient, &entries);
    for i in 0..10 {
        bench.serve(at(i * 2_000), i, 600 * MS);
    }
    bench.direct.stop(at(20_000), at(29_700));
    bench
}

/// A request was passed on by an estimate of its work and cut at the end of the process.
#[rstest]
#[case::excused(22_800, 30_800, true)]
#[case::before_the_signal_is_certain(22_950, 30_950, false)]
#[case::later(24_000, 44_000, false)]
#[case::route_timeout_ends_in_time(21_600, 41_600, true)]
#[case::caller_leaves_in_time(24_000, 29_600, true)]
#[case::caller_leaves_too_late(24_000, 29_720, false)]
fn pass_on_only_what_ends_before_process(
    #[case] sent: u64,
    #[case] deadline: u64,
    #[case] is_passed_on: bool,
) {
    let mut bench = stopping(&["t1"]);
    bench.submit_until(at(sent), None, at(deadline));
    let decision = bench.decide(at(sent));
    if is_passed_on {
        assert!(matches!(decision, Some(Decision::Send(_))), "{decision:?}");
    } else {
        assert!(is_stopping(decision.as_ref()), "{decision:?}");
    }
}

/// Whether a request is rejected at once because the process ends.
fn is_stopping(decision: Option<&Decision>) -> bool {
    matches!(
        decision,
        Some(Decision::Reject {
            reason: Rejection::Stopping,
            retry_after: Duration::ZERO,
            ..
        })
    )
}

/// A request that had waited for a slot was passed on later than the platform excuses.
#[test]
fn reject_who_waits_once_nothing_is_excused() {
    let mut bench = stopping(&["t1"]);
    for _ in 0..4 {
        bench.submit_until(at(22_500), None, at(40_000));
        assert!(bench.decide(at(22_500)).is_some());
    }
    bench.submit_until(at(22_600), None, at(40_000));
    assert_eq!(bench.decide(at(22_600)), None);
    assert_eq!(bench.decide(at(22_890)), None);
    let decision = bench.decide(at(22_900));
    assert!(is_stopping(decision.as_ref()), "{decision:?}");
}

/// A second attempt was sent late and cut, although the first target had given an answer.
#[test]
fn keep_answer_when_no_retry_ends_in_time() {
    let mut bench = stopping(&["t1", "t2"]);
    bench.submit_until(at(22_500), None, at(40_000));
    let Some(Decision::Send(sent)) = bench.decide(at(22_500)) else {
        panic!("not sent");
    };
    let follow_up = bench.finish(at(23_500), &sent, AttemptOutcome::Failed);
    assert_eq!(follow_up, FollowUp::Settled);
}

/// A request was decided on in time, and its bytes left later, once its connection was open.
#[test]
fn withhold_what_leaves_too_late() {
    let mut bench = stopping(&["t1"]);
    bench.submit_until(at(22_800), None, at(40_000));
    let Some(Decision::Send(sent)) = bench.decide(at(22_800)) else {
        panic!("not sent");
    };
    assert_eq!(bench.direct.withheld(at(22_850), &sent), None);
    let withheld = bench.direct.withheld(at(22_950), &sent);
    assert_eq!(withheld, Some(Withheld::Stopping));
    let follow_up = bench.finish(at(22_950), &sent, AttemptOutcome::Withdrawn);
    assert_eq!(follow_up, FollowUp::Retry);
    let decision = bench.decide(at(22_950));
    assert!(is_stopping(decision.as_ref()), "{decision:?}");
}
